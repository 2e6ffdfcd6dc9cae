#include "dispatch/wall_clock_correction.hpp"

#include <algorithm>
#include <chrono>

namespace stonebay {
namespace {

// Smaller errors are caused by delayed reports and rounding.
constexpr Duration kMinError = std::chrono::seconds(1);
// Reports that were queued while this process stalled are old as well, but do not keep arriving for this
// long.
constexpr Duration kMinBehindDuration = std::chrono::seconds(3);
constexpr int kMinBehindCount = 5;
// No report is queued for this long, so a single primary's position that is this far behind is sufficient.
constexpr Duration kCertainError = std::chrono::seconds(30);

}  // namespace

Duration WallClockCorrection::observe(TimePoint position, bool isPrimary, TimePoint now) {
  const Duration error = position - now;
  if (error > kMaxError || error < -kMaxError) return Duration(0);
  // Once the clock is known to be wrong, every position ahead of the corrected time improves the estimate.
  const Duration tolerance = value_ == Duration(0) ? kMinError : Duration(0);
  if (error > value_ + tolerance) return setValue(error);
  return isPrimary ? observePrimaryPosition(error, now) : Duration(0);
}

Duration WallClockCorrection::observePrimaryPosition(Duration error, TimePoint now) {
  if (error >= value_ - kMinError) {
    behindPositions_.reset();
    return Duration(0);
  }
  if (!behindPositions_) behindPositions_ = BehindPositions{now, 0, error};
  ++behindPositions_->count;
  behindPositions_->greatestError = std::max(behindPositions_->greatestError, error);
  const bool isLasting = behindPositions_->count >= kMinBehindCount &&
                         now - behindPositions_->firstObservedAt >= kMinBehindDuration;
  const bool isCertain = error < value_ - kCertainError;
  if (isCertain) return setValue(error);
  return isLasting ? setValue(behindPositions_->greatestError) : Duration(0);
}

Duration WallClockCorrection::setValue(Duration value) {
  const Duration change = value - value_;
  value_ = value;
  behindPositions_.reset();
  return change;
}

}  // namespace stonebay
