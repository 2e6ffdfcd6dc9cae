#include "discovery/flap_damping.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace stonebay {
namespace {

using Time = FlapDampingPolicy::Time;

constexpr double kPenaltyPerWithdrawal = 1;

double toHalfLives(Time time, const FlapDampingPolicy& policy) {
  const std::int64_t halfLife = std::max<std::int64_t>(policy.halfLife.count(), 1);
  return static_cast<double>(time.count()) / static_cast<double>(halfLife);
}

// Returns the penalty that decays to the reuse threshold within the maximum suppression time. With this
// limit, a name that has flapped for hours is not suppressed for hours.
double maxPenalty(const FlapDampingPolicy& policy) {
  const double limit = policy.reuseThreshold * std::exp2(toHalfLives(policy.maxSuppression, policy));
  return std::max(limit, kPenaltyPerWithdrawal);
}

}  // namespace

double FlapPenalty::value(const FlapDampingPolicy& policy, Time now) const {
  if (penalty_ == 0) return 0;
  return penalty_ * std::exp2(-toHalfLives(now - updatedAt_, policy));
}

void FlapPenalty::onWithdrawal(const FlapDampingPolicy& policy, Time now) {
  penalty_ = std::min(value(policy, now) + kPenaltyPerWithdrawal, maxPenalty(policy));
  updatedAt_ = now;
  suppressed_ = false;
}

void FlapPenalty::onReturn(const FlapDampingPolicy& policy, Time now) {
  const double penalty = value(policy, now);
  suppressed_ = policy.enabled && penalty >= policy.suppressThreshold;
  if (!suppressed_) return;
  const double halfLivesToReuse = std::log2(penalty / policy.reuseThreshold);
  const double wait = static_cast<double>(policy.halfLife.count()) * halfLivesToReuse;
  suppressedUntil_ = now + std::clamp(Time(static_cast<std::int64_t>(wait)), Time(0), policy.maxSuppression);
}

void FlapPenalty::update(Time now) {
  if (suppressed_ && now >= suppressedUntil_) suppressed_ = false;
}

}  // namespace stonebay
