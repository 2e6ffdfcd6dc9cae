// Generates the random experiments of the soak test. The seed alone determines an experiment.
#pragma once

#include <cstdint>
#include <string>

namespace stonebay::testbed {

/// Returns an experiment as INI text, with 10 to 3,200 endpoints and random faults of many kinds. Its claims
/// are the rules that a proxy must keep.
std::string generateSoakExperiment(std::uint64_t seed);

}  // namespace stonebay::testbed
