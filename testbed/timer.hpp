// A one-shot timer of the event loop.
#pragma once

#include <event2/event.h>

#include <functional>

#include "testbed/run_context.hpp"

namespace stonebay::testbed {

/// Calls a function once, when the started timer expires. Destroying the timer cancels the call.
class Timer {
 public:
  Timer(const RunContext& context, std::function<void()> onExpiry)
      : onExpiry_(std::move(onExpiry)),
        event_(event_new(
            context.eventBase(), -1, 0,
            [](evutil_socket_t /*fd*/, short /*events*/, void* self) {
              static_cast<Timer*>(self)->onExpiry_();
            },
            this)) {}
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Starts or restarts the timer. With a delay of zero or less it expires in the next pass of the event
  /// loop.
  void startIn(Time delay) { startTimer(event_.get(), delay); }
  void stop() { event_del(event_.get()); }

 private:
  std::function<void()> onExpiry_;
  Event event_;
};

/// Runs the event loop until `isDone`, which is called every few milliseconds, returns true. Returns false if
/// the timeout expires first.
inline bool runUntil(const RunContext& context, const std::function<bool()>& isDone, Time timeout) {
  constexpr Time kPollInterval = std::chrono::milliseconds(5);
  const Time end = context.now() + timeout;
  Timer poll(context, [] {});
  while (!isDone()) {
    if (context.now() >= end) return false;
    poll.startIn(kPollInterval);
    event_base_loop(context.eventBase(), EVLOOP_ONCE);
  }
  return true;
}

}  // namespace stonebay::testbed
