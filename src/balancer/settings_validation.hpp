// Validation of the settings of a LoadBalancer.
#pragma once

#include "stonebay/load_balancer.hpp"

namespace stonebay::balancer {

/// Throws std::invalid_argument if a setting is out of range or contradicts another one.
void validate(const Settings& settings);

}  // namespace stonebay::balancer
