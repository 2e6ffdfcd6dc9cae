// The pending timers of the LoadBalancer, ordered by due time.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// Timers that are due at the same time are returned in the order in which they were scheduled.
class TimerQueue {
 public:
  void schedule(TimePoint due, TimerToken token);
  /// Removes and returns the earliest timer that is due. Returns std::nullopt if none is due.
  std::optional<TimerToken> popDue(TimePoint now);
  /// Returns the due time of the earliest timer, or std::nullopt if none is scheduled.
  std::optional<TimePoint> nextDue() const;

 private:
  struct Timer {
    TimePoint due;
    std::uint64_t sequenceNumber;
    TimerToken token;
    bool operator>(const Timer& other) const {
      return due != other.due ? due > other.due : sequenceNumber > other.sequenceNumber;
    }
  };

  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t lastSequenceNumber_ = 0;
};

}  // namespace stonebay
