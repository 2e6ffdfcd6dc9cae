// The event loop of the proxy: an event base whose callbacks cannot delay timers and signals without bound.
#pragma once

#include <chrono>

#include "util/event.hpp"

namespace stonebay {

/// Callbacks of sockets run for at most this long, plus one callback, before due timers and pending signals
/// are looked for again.
constexpr std::chrono::milliseconds kMaxDispatchTime{5};

/// The lower number runs first.
enum EventPriority : int {
  kUrgentPriority = 0,  ///< signals, and events that end a pass of the event loop
  kNormalPriority = 1   ///< everything else; the default
};

/// Returns an event base with both priorities. Events of kNormalPriority that keep becoming active, such as
/// the deferred callbacks of busy connections, are interrupted after kMaxDispatchTime, so that events of
/// kUrgentPriority run. Throws std::bad_alloc if libevent cannot create it.
EventBase newEventBase();

}  // namespace stonebay
