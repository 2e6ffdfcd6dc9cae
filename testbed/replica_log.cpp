#include "testbed/replica_log.hpp"

#include <algorithm>

namespace stonebay::testbed {

void ReplicaLog::commit(Time at) {
  if (disconnected_) return;
  const Time arrivesAt = at + shippingDelay_;
  busyUntil_ = std::max(arrivesAt, busyUntil_) +
               fromMicroseconds(static_cast<double>(applyDuration_.count()) * applySlowdown_);
  pending_.push_back({at, busyUntil_});
}

void ReplicaLog::setDisconnected(bool disconnected, Time now) {
  if (disconnected) lastPosition_ = position(now);
  disconnected_ = disconnected;
}

Time ReplicaLog::position(Time now) {
  while (!pending_.empty() && pending_.front().appliedAt <= now) {
    lastPosition_ = std::max(lastPosition_, pending_.front().committedAt);
    pending_.pop_front();
  }
  if (disconnected_) return lastPosition_;
  // Without pending commits, everything shipped so far has been applied; otherwise everything before the
  // oldest pending commit.
  Time appliedUpTo = now - shippingDelay_;
  if (!pending_.empty()) appliedUpTo = std::min(pending_.front().committedAt - Time(1), appliedUpTo);
  lastPosition_ = std::max(lastPosition_, appliedUpTo);
  return lastPosition_;
}

void ReplicaLog::restartFrom(Time position, Time now) {
  pending_.clear();
  busyUntil_ = now;
  lastPosition_ = position;
}

}  // namespace stonebay::testbed
