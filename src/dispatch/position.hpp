// Replication positions: from Unix time on the sockets to the LoadBalancer's time after an epoch, and back.
#pragma once

#include <cstdint>
#include <optional>

#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// A Unix time in seconds as seconds after the epoch, 0 if it is not after it. Rounded down: data must not
/// look newer than it is.
float secondsSince(TimePoint epoch, double unixSeconds);

/// A Unix time in milliseconds as milliseconds after the epoch; 0 if it is not after it, or 2^30 or more.
std::uint32_t millisecondsSince(TimePoint epoch, std::int64_t unixMs);

/// The instant from which positions are measured, a whole millisecond.
///
/// It stands shortly before the present and has to follow it, because an f32 of seconds loses precision as it
/// grows.
class PositionEpoch {
 public:
  explicit PositionEpoch(TimePoint now);

  TimePoint value() const { return value_; }
  /// Moves the epoch when it has fallen too far behind; returns whether it moved.
  bool advance(TimePoint now);
  /// The position as an instant; nothing if it was not reported or precedes the epoch.
  std::optional<TimePoint> position(std::int64_t unixMs) const;

 private:
  TimePoint value_;
};

}  // namespace stonebay
