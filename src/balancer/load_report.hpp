// Decoding of the load reports of endpoints.
#pragma once

#include <optional>
#include <vector>

#include "stonebay/load_balancer.hpp"

namespace stonebay::balancer {

/// The state that an endpoint reports of itself.
struct LoadReport {
  std::optional<TimePoint> position;  ///< the endpoint has applied at least all commits up to here
  Role role = Role::Unknown;
  std::optional<int> inFlight;  ///< number of requests in flight at the endpoint
};

/// Decodes the values of a report, in the order of Settings::reportFields. Ignores values out of range.
/// A position is rounded down, since the 32-bit float that carries it may have been rounded up.
LoadReport decodeLoadReport(const std::vector<float>& values, const Settings& settings);

}  // namespace stonebay::balancer
