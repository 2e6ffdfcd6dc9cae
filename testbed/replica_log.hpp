// A model of log replication to one replica. Does no I/O and reads no clock: times are passed in.
#pragma once

#include <deque>

#include "testbed/time.hpp"

namespace stonebay::testbed {

/// A replica receives the primary's log and applies it with one thread. Its position is the time up to which
/// it has applied all commits.
class ReplicaLog {
 public:
  ReplicaLog(Time shippingDelay, Time applyDuration)
      : shippingDelay_(shippingDelay), applyDuration_(applyDuration) {}

  /// Records a commit on the primary.
  void commit(Time at);
  /// Multiplies the apply duration of the commits that follow.
  void setApplySlowdown(double factor) { applySlowdown_ = factor; }
  /// While disconnected from the primary, the replica receives no commits and its position advances only by
  /// applying those already pending.
  void setDisconnected(bool disconnected, Time now);
  /// The time up to which all commits have been applied.
  Time position(Time now);
  /// Drops the pending commits and continues from `position`.
  void restartFrom(Time position, Time now);

 private:
  struct PendingCommit {
    Time committedAt;
    Time appliedAt;
  };
  const Time shippingDelay_;
  const Time applyDuration_;
  double applySlowdown_ = 1;
  Time busyUntil_{};
  Time lastPosition_{};
  bool disconnected_ = false;
  std::deque<PendingCommit> pending_;
};

}  // namespace stonebay::testbed
