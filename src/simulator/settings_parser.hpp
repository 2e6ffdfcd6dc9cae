// Parses the settings sent by the simulator, and those in the platform's configuration, into Settings.
#pragma once

#include <string>

#include "simulator/settings_text.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay::simulator {

/// Parses lines of the form path=value. Unknown keys are ignored. Throws InvalidSetting for the first setting
/// that is missing or invalid.
Settings parseSettings(const std::string& text);

}  // namespace stonebay::simulator
