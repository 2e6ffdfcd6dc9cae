#include "dispatch/position.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace stonebay {
namespace {

// Age of the epoch when it is set. Positions that are older than the epoch count as unknown.
constexpr Duration kInitialEpochAge = std::chrono::minutes(1);
// Age at which the epoch is advanced. At two hours a 32-bit float of seconds still resolves half a
// millisecond; 4 x milliseconds would overflow a u32 only after twelve days.
constexpr Duration kMaxEpochAge = std::chrono::hours(2);
// Milliseconds after the epoch must be below this, so that 4 x milliseconds fit in a u32.
constexpr std::int64_t kMillisecondsLimit = std::int64_t{1} << 30;

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;

// Positions are whole milliseconds of Unix time. If the epoch were not, rounding could make data look newer.
TimePoint toWholeMilliseconds(TimePoint time) {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(time);
}

}  // namespace

float secondsSince(TimePoint epoch, double unixSeconds) {
  const double seconds =
      unixSeconds - static_cast<double>(epoch.time_since_epoch().count()) / kMicrosecondsPerSecond;
  const bool isAfterEpoch = seconds > 0;  // false for NaN
  if (!isAfterEpoch) return 0;
  const auto nearest = static_cast<float>(seconds);
  return static_cast<double>(nearest) > seconds ? std::nextafterf(nearest, 0.0F) : nearest;
}

std::uint32_t millisecondsSince(TimePoint epoch, std::int64_t unixMs) {
  const std::int64_t ms = unixMs - epoch.time_since_epoch().count() / kMicrosecondsPerMillisecond;
  return ms > 0 && ms < kMillisecondsLimit ? static_cast<std::uint32_t>(ms) : 0;
}

PositionEpoch::PositionEpoch(TimePoint now)
    : value_(toWholeMilliseconds(std::max(now - kInitialEpochAge, TimePoint()))) {}

bool PositionEpoch::advance(TimePoint now) {
  if (now - value_ < kMaxEpochAge) return false;
  value_ = toWholeMilliseconds(now - kInitialEpochAge);
  return true;
}

std::optional<TimePoint> PositionEpoch::position(std::int64_t unixMs) const {
  const std::uint32_t ms = millisecondsSince(value_, unixMs);
  if (ms == 0) return std::nullopt;
  return value_ + std::chrono::milliseconds(ms);
}

}  // namespace stonebay
