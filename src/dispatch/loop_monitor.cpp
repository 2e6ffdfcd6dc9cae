#include "dispatch/loop_monitor.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "log/log.hpp"

namespace stonebay {
namespace {

constexpr Duration kStallThreshold = std::chrono::milliseconds(50);
// A loop that waited this long between two passes had no input left to read.
constexpr Duration kIdleThreshold = std::chrono::milliseconds(5);

// In the order of the alternatives of DispatchEvent.
constexpr const char* kEventNames[] = {"request",      "client_left", "connected",    "attempt_ended",
                                       "health_check", "list",        "list_failure", "gossip"};
static_assert(std::size(kEventNames) == std::variant_size_v<DispatchEvent>);

}  // namespace

void LoopMonitor::onEventsStart(TimePoint now, std::size_t count) {
  onCallback(now);
  pass_.eventsStartedAt = now;
  statistics_.longestEventQueue = std::max(statistics_.longestEventQueue, count);
}

void LoopMonitor::onEvent(const DispatchEvent& event) {
  ++pass_.events[event.index()];
  const auto* const list = std::get_if<EndpointListReceived>(&event);
  if (list != nullptr) pass_.listEntries += list->list.instances.size();
}

void LoopMonitor::onActionsStart(TimePoint now, std::size_t count) {
  pass_.actionsStartedAt = now;
  pass_.actions = count;
}

void LoopMonitor::onPassEnd(TimePoint now) {
  const TimePoint startedAt = passStartedAt_.value_or(now);
  const Duration duration = now - startedAt;
  ++statistics_.passes;
  statistics_.listEntries += pass_.listEntries;
  statistics_.longestPass = std::max(statistics_.longestPass, duration);
  if (duration >= kStallThreshold) {
    ++statistics_.stalls;
    logStall(startedAt, now);
  }
  passStartedAt_.reset();
  lastPassStartedAt_ = startedAt;
  lastPassEndedAt_ = now;
  pass_ = Pass();
}

TimePoint LoopMonitor::earliestArrival(TimePoint now) const {
  const bool lastPassStalled = lastPassEndedAt_ - lastPassStartedAt_ >= kStallThreshold;
  const bool followsWithoutIdle = passStartedAt_ && *passStartedAt_ - lastPassEndedAt_ < kIdleThreshold;
  return lastPassStalled && followsWithoutIdle ? std::min(now, lastPassStartedAt_) : now;
}

void LoopMonitor::logStall(TimePoint startedAt, TimePoint endedAt) const {
  logEvent(LogLevel::Warning, "loop_stalled",
           {{"us", (endedAt - startedAt).count()},
            {"callbacks_us", (pass_.eventsStartedAt - startedAt).count()},
            {"events_us", (pass_.actionsStartedAt - pass_.eventsStartedAt).count()},
            {"actions_us", (endedAt - pass_.actionsStartedAt).count()},
            {"events", eventsText()},
            {"list_entries", pass_.listEntries},
            {"timers", pass_.timers},
            {"actions", pass_.actions}});
}

std::string LoopMonitor::eventsText() const {
  std::string text;
  for (std::size_t kind = 0; kind < kEventKindCount; ++kind) {
    if (pass_.events[kind] == 0) continue;
    text +=
        (text.empty() ? "" : ",") + std::string(kEventNames[kind]) + ":" + std::to_string(pass_.events[kind]);
  }
  return text;
}

LoopStatistics LoopMonitor::takeStatistics() { return std::exchange(statistics_, LoopStatistics()); }

}  // namespace stonebay
