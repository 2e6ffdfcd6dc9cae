// Checks of the settings of a LoadBalancer.
#pragma once

#include "stonebay/load_balancer.hpp"

namespace stonebay::balancer {

/// Throws std::invalid_argument for settings that contradict each other.
void validate(const Settings& settings);

}  // namespace stonebay::balancer
