// Flap damping after RFC 2439 section 4.2: names that are withdrawn repeatedly are suppressed for some time.
#pragma once

#include <chrono>

namespace stonebay {

/// When a name that is withdrawn repeatedly is suppressed, and for how long.
struct FlapDampingPolicy {
  using Time = std::chrono::microseconds;
  bool enabled = true;
  double suppressThreshold = 1.5;            ///< a name that returns with this penalty or more is suppressed
  double reuseThreshold = 0.75;              ///< penalty at which a suppressed name may be used again
  Time halfLife = std::chrono::seconds(15);  ///< of the penalty
  Time maxSuppression = std::chrono::seconds(60);
};

/// The penalty of one name. Each withdrawal adds 1; the penalty decays exponentially. Pure.
class FlapPenalty {
 public:
  using Time = FlapDampingPolicy::Time;

  void onWithdrawal(const FlapDampingPolicy& policy, Time now);
  /// Suppresses the returning name if its penalty has reached the suppress threshold.
  void onReturn(const FlapDampingPolicy& policy, Time now);
  /// Ends the suppression if its time has passed.
  void update(Time now);

  bool isSuppressed() const { return suppressed_; }
  /// Returns when the suppression ends. Meaningful only if isSuppressed() is true.
  Time suppressedUntil() const { return suppressedUntil_; }
  /// Returns the penalty, decayed until `now`.
  double value(const FlapDampingPolicy& policy, Time now) const;

 private:
  double penalty_ = 0;  // value at updatedAt_
  Time updatedAt_{};
  bool suppressed_ = false;
  Time suppressedUntil_{};
};

}  // namespace stonebay
