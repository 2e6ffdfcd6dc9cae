// The settings of the simulator's wire, and of the platform's configuration, in the field's terms.
#pragma once

#include <string>

#include "simulator/settings_text.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay::simulator {

/// Reads settings from lines path=value. Keys that are not known are ignored. Throws InvalidSetting for the
/// first setting that is missing or unreadable.
Settings parseSettings(const std::string& text);

}  // namespace stonebay::simulator
