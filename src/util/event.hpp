// Owning pointers for libevent objects, and helpers. The destructor of a pointer frees its object; after
// that, no callback of the object runs.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <chrono>
#include <memory>
#include <string_view>

namespace stonebay {

/// Frees a libevent object with the function for its type.
struct LibeventDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
  void operator()(event* handler) const { event_free(handler); }
  void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
  void operator()(bufferevent* connection) const { bufferevent_free(connection); }
  void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
};

using EventBase = std::unique_ptr<event_base, LibeventDeleter>;
using Event = std::unique_ptr<event, LibeventDeleter>;
using Buffer = std::unique_ptr<evbuffer, LibeventDeleter>;
using BufferEvent = std::unique_ptr<bufferevent, LibeventDeleter>;
using Listener = std::unique_ptr<evconnlistener, LibeventDeleter>;

inline Buffer newBuffer() { return Buffer(evbuffer_new()); }

/// Appends a copy of the bytes to the buffer.
inline void append(evbuffer* buffer, std::string_view bytes) {
  evbuffer_add(buffer, bytes.data(), bytes.size());
}

/// Converts an interval to the type that libevent uses. Negative intervals are converted to 0.
inline timeval toTimeval(std::chrono::microseconds interval) {
  constexpr std::chrono::microseconds::rep kMicrosecondsPerSecond = 1000000;
  const auto us = interval.count() > 0 ? interval.count() : 0;
  return {static_cast<time_t>(us / kMicrosecondsPerSecond),
          static_cast<suseconds_t>(us % kMicrosecondsPerSecond)};
}

/// Starts or restarts a timer. With a delay of 0 or less it fires in the next pass of the event loop.
inline void startTimer(event* timer, std::chrono::microseconds delay) {
  const timeval timeout = toTimeval(delay);
  event_add(timer, &timeout);
}

}  // namespace stonebay
