// A running proxy: everything that serves, from the checked configuration to the exit.
#pragma once

#include <functional>

#include "config/config.hpp"

namespace stonebay {

/// Serves until SIGTERM or SIGINT has drained the clients; returns the exit status. SIGHUP calls
/// `reloadConfig`, which reads and checks the configuration again and throws InvalidInput if it has errors.
/// Throws std::runtime_error if the proxy cannot listen.
int serve(const Config& config, const std::function<Config()>& reloadConfig);

}  // namespace stonebay
