// The settings file of a proxy under test.
#pragma once

#include <string>

#include "testbed/experiment.hpp"

namespace stonebay::testbed {

/// The complete INI text, with the experiment's own settings merged in.
/// @param proxy from 1
/// @param discoverySettings keys of [discovery] and further sections
std::string proxySettings(const Experiment& experiment, int proxy, const std::string& discoverySettings);

/// Inserts the lines of `additions` into the sections of the same name; sections that `settings` lacks are
/// appended.
std::string mergeSettings(std::string settings, const std::string& additions);

}  // namespace stonebay::testbed
