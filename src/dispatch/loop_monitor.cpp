#include "dispatch/loop_monitor.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "log/log.hpp"

namespace stonebay {
namespace {

constexpr Duration kStallThreshold = std::chrono::milliseconds(50);
// A loop that has waited for so long had nothing to read.
constexpr Duration kRest = std::chrono::milliseconds(5);

// In the order of DispatchEvent's alternatives.
constexpr const char* kEventNames[] = {"request",      "client_left", "connected",    "attempt_ended",
                                       "health_check", "list",        "list_failure", "gossip"};
static_assert(std::size(kEventNames) == std::variant_size_v<DispatchEvent>);

}  // namespace

void LoopMonitor::onEvents(TimePoint now, std::size_t count) {
  onCallback(now);
  pass_.eventsAt = now;
  statistics_.longestEventQueue = std::max(statistics_.longestEventQueue, count);
}

void LoopMonitor::onEvent(const DispatchEvent& event) {
  ++pass_.events[event.index()];
  const auto* const list = std::get_if<EndpointListReceived>(&event);
  if (list != nullptr) pass_.listEntries += list->list.instances.size();
}

void LoopMonitor::onActions(TimePoint now, std::size_t count) {
  pass_.actionsAt = now;
  pass_.actions = count;
}

void LoopMonitor::onPassEnd(TimePoint now) {
  const TimePoint startedAt = startedAt_.value_or(now);
  const Duration took = now - startedAt;
  ++statistics_.passes;
  statistics_.listEntries += pass_.listEntries;
  statistics_.longestPass = std::max(statistics_.longestPass, took);
  if (took >= kStallThreshold) {
    ++statistics_.stalls;
    logStall(startedAt, now);
  }
  startedAt_.reset();
  lastStartedAt_ = startedAt;
  lastEndedAt_ = now;
  pass_ = Pass();
}

TimePoint LoopMonitor::earliestArrival(TimePoint now) const {
  const bool wasLong = lastEndedAt_ - lastStartedAt_ >= kStallThreshold;
  const bool followsAtOnce = startedAt_ && *startedAt_ - lastEndedAt_ < kRest;
  return wasLong && followsAtOnce ? std::min(now, lastStartedAt_) : now;
}

void LoopMonitor::logStall(TimePoint startedAt, TimePoint endedAt) const {
  logEvent(LogLevel::Warning, "loop_stalled",
           {{"us", (endedAt - startedAt).count()},
            {"callbacks_us", (pass_.eventsAt - startedAt).count()},
            {"events_us", (pass_.actionsAt - pass_.eventsAt).count()},
            {"actions_us", (endedAt - pass_.actionsAt).count()},
            {"events", eventsText()},
            {"list_entries", pass_.listEntries},
            {"timers", pass_.timers},
            {"actions", pass_.actions}});
}

std::string LoopMonitor::eventsText() const {
  std::string text;
  for (std::size_t kind = 0; kind < kEventKinds; ++kind) {
    if (pass_.events[kind] == 0) continue;
    text +=
        (text.empty() ? "" : ",") + std::string(kEventNames[kind]) + ":" + std::to_string(pass_.events[kind]);
  }
  return text;
}

LoopStatistics LoopMonitor::takeStatistics() { return std::exchange(statistics_, LoopStatistics()); }

}  // namespace stonebay
