// Owning pointers for libevent's objects, and a few helpers. An owner frees its object when it is destroyed,
// after which no callback of that object runs.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <chrono>
#include <memory>
#include <string_view>

namespace stonebay {

/// Frees any of libevent's objects by the function that belongs to its type.
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

/// Copies the bytes to the end of the buffer.
inline void append(evbuffer* to, std::string_view bytes) { evbuffer_add(to, bytes.data(), bytes.size()); }

/// The same interval as libevent's functions take it; a negative one is 0.
inline timeval toTimeval(std::chrono::microseconds interval) {
  constexpr std::chrono::microseconds::rep kMicrosecondsPerSecond = 1000000;
  const auto us = interval.count() > 0 ? interval.count() : 0;
  return {static_cast<time_t>(us / kMicrosecondsPerSecond),
          static_cast<suseconds_t>(us % kMicrosecondsPerSecond)};
}

/// Starts a timer, or starts it anew. One that is already due fires in the next pass of the event loop.
inline void startTimer(event* timer, std::chrono::microseconds in) {
  const timeval delay = toTimeval(in);
  event_add(timer, &delay);
}

}  // namespace stonebay
