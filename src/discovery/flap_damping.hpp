// Flap damping after RFC 2439 section 4.2.
#pragma once

#include <chrono>

namespace stonebay {

/// When a name that is withdrawn again and again is suppressed, and for how long.
struct FlapDampingPolicy {
  using Time = std::chrono::microseconds;
  bool enabled = true;
  double suppressThreshold = 1.5;            ///< penalty from which on a name that returns is suppressed
  double reuseThreshold = 0.75;              ///< penalty at which a suppressed name may be used again
  Time halfLife = std::chrono::seconds(15);  ///< of a penalty
  Time maxSuppression = std::chrono::seconds(60);
};

/// The penalty of one name: each withdrawal adds 1, and it decays exponentially. Pure.
class FlapPenalty {
 public:
  using Time = FlapDampingPolicy::Time;

  void onWithdrawal(const FlapDampingPolicy& policy, Time now);
  /// Suppresses the name when its penalty has reached the threshold.
  void onReturn(const FlapDampingPolicy& policy, Time now);
  /// Ends the suppression when it is due.
  void update(Time now);

  bool isSuppressed() const { return suppressed_; }
  /// When the suppression ends; while isSuppressed only.
  Time suppressedUntil() const { return suppressedUntil_; }
  /// The penalty as it has decayed until now.
  double value(const FlapDampingPolicy& policy, Time now) const;

 private:
  double penalty_ = 0;  // at updatedAt_
  Time updatedAt_{};
  bool suppressed_ = false;
  Time suppressedUntil_{};
};

}  // namespace stonebay
