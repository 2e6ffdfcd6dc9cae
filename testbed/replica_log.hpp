// Log replication to one replica. Pure: times are passed in, nothing is sent.
#pragma once

#include <deque>

#include "testbed/time.hpp"

namespace stonebay::testbed {

/// A replica receives the primary's log and applies it with one thread. Its position is the instant up to
/// which it has applied all commits.
class ReplicaLog {
 public:
  ReplicaLog(Time shippingDelay, Time applyDuration)
      : shippingDelay_(shippingDelay), applyDuration_(applyDuration) {}

  /// A commit on the primary.
  void commit(Time at);
  void setApplySlowdown(double factor) { applySlowdown_ = factor; }
  /// While disconnected from the primary its position stands still.
  void setDisconnected(bool disconnected, Time now);
  /// Everything that was committed before this instant has been applied.
  Time position(Time now);
  /// Drops what is pending and continues from a position.
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
