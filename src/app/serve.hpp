// Runs the proxy with a validated configuration until it exits.
#pragma once

#include <functional>

#include "config/config.hpp"

namespace stonebay {

/// Runs the proxy until SIGTERM or SIGINT arrives and all clients have been drained. Returns the exit status.
/// SIGHUP calls `reloadConfig`, which must read and validate the configuration again and throw InvalidInput
/// if it has errors. Throws std::runtime_error if the proxy cannot listen.
int serve(const Config& config, const std::function<Config()>& reloadConfig);

}  // namespace stonebay
