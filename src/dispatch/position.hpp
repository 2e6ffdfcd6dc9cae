// Converts positions, which endpoints send as Unix times, to the forms that the LoadBalancer takes: seconds
// after an epoch in load reports, instants elsewhere.
#pragma once

#include <cstdint>
#include <optional>

#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// Converts a Unix time in seconds to seconds after the epoch. Returns 0 if the time is not after the epoch.
/// Rounds down, because data must not look newer than it is.
float secondsSince(TimePoint epoch, double unixSeconds);

/// Converts a Unix time in milliseconds to milliseconds after the epoch. Returns 0 if the result would not be
/// positive, or would be 2^30 or more.
std::uint32_t millisecondsSince(TimePoint epoch, std::int64_t unixMs);

/// The time from which positions are measured. It is a whole number of milliseconds.
///
/// Seconds after the epoch are kept in a 32-bit float, which loses precision as it grows. The epoch is
/// therefore set shortly before the present and has to be advanced regularly.
class PositionEpoch {
 public:
  explicit PositionEpoch(TimePoint now);

  TimePoint value() const { return value_; }
  /// Moves the epoch forward if it is too far in the past. Returns whether it has moved.
  bool advance(TimePoint now);
  /// Converts a position in Unix milliseconds. Returns std::nullopt if it is 0 (not reported), not after the
  /// epoch, or 2^30 ms or more after it.
  std::optional<TimePoint> position(std::int64_t unixMs) const;

 private:
  TimePoint value_;
};

}  // namespace stonebay
