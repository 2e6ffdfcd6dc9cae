// Timers of the LoadBalancer, in the order in which they are due.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// Timers that are due at the same time come in the order in which they were scheduled.
class TimerQueue {
 public:
  void schedule(TimePoint due, TimerToken token);
  /// Removes and returns the next timer that is due, if any.
  std::optional<TimerToken> popDue(TimePoint now);
  /// When the next timer is due; nothing while none is scheduled.
  std::optional<TimePoint> nextDue() const;

 private:
  struct Timer {
    TimePoint due;
    std::uint64_t order;
    TimerToken token;
    bool operator>(const Timer& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };

  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t scheduled_ = 0;
};

}  // namespace stonebay
