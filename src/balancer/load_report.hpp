// The load report of an endpoint, decoded.
#pragma once

#include <optional>
#include <vector>

#include "stonebay/load_balancer.hpp"

namespace stonebay::balancer {

/// What an endpoint says of itself.
struct LoadReport {
  std::optional<TimePoint> position;  ///< proven: it has applied all commits up to here
  Role role = Role::Unknown;
  std::optional<int> inFlight;  ///< requests that it holds
};

/// Decodes the values of a report, in the order of Settings::reportFields. Values out of range are left out.
/// A position is rounded down, since the 32-bit float that carries it may have been rounded up.
LoadReport decodeLoadReport(const std::vector<float>& values, const Settings& settings);

}  // namespace stonebay::balancer
