// The settings file of a proxy under test.
#pragma once

#include <string>

#include "testbed/experiment.hpp"

namespace stonebay::testbed {

/// Returns the complete INI text, with the experiment's proxy settings merged in.
/// @param proxy number of the proxy, from 1
/// @param discoverySettings keys of [discovery], optionally followed by further sections
std::string proxySettings(const Experiment& experiment, int proxy, const std::string& discoverySettings);

/// Returns `settings` with the lines of `additions` inserted into the sections of the same name. Sections
/// that `settings` lacks are appended.
std::string mergeSettings(std::string settings, const std::string& additions);

}  // namespace stonebay::testbed
