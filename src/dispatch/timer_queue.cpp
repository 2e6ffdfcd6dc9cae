#include "dispatch/timer_queue.hpp"

namespace stonebay {

void TimerQueue::schedule(TimePoint due, TimerToken token) {
  ++lastSequenceNumber_;
  timers_.push(Timer{due, lastSequenceNumber_, token});
}

std::optional<TimerToken> TimerQueue::popDue(TimePoint now) {
  if (timers_.empty() || timers_.top().due > now) return std::nullopt;
  const TimerToken token = timers_.top().token;
  timers_.pop();
  return token;
}

std::optional<TimePoint> TimerQueue::nextDue() const {
  if (timers_.empty()) return std::nullopt;
  return timers_.top().due;
}

}  // namespace stonebay
