// Measures the passes of the event loop: how long each one takes and what it handles.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "dispatch/events.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// Totals and maxima over the passes of an interval.
struct LoopStatistics {
  std::uint64_t passes = 0;
  std::uint64_t stalls = 0;       ///< passes that took at least kStallThreshold
  std::uint64_t interrupted = 0;  ///< passes that the dispatcher ended although callbacks were active
  Duration longestPass{};
  std::size_t longestEventQueue = 0;
  std::uint64_t listEntries = 0;
};

/// A pass begins with the first callback that reads the clock and ends when its actions have been carried
/// out. A long pass delays all clients and endpoints: if it takes at least kStallThreshold, it is logged as
/// "loop_stalled" with the duration of each phase and what the pass handled.
class LoopMonitor {
 public:
  /// Called when a callback of the event loop runs. The first call in a pass starts the pass.
  void onCallback(TimePoint now) {
    if (!passStartedAt_) passStartedAt_ = now;
  }
  /// Called before the `count` events that the callbacks recorded are handled.
  void onEventsStart(TimePoint now, std::size_t count);
  void onEvent(const DispatchEvent& event);
  void onTimer() { ++pass_.timers; }
  void onPassInterrupted() { ++statistics_.interrupted; }
  /// Called after the events have been handled and before `count` actions are carried out.
  void onActionsStart(TimePoint now, std::size_t count);
  void onPassEnd(TimePoint now);

  /// Returns the earliest time at which input read in this pass can have arrived. This is `now` unless the
  /// previous pass stalled and the loop was not idle since: then the input may have been waiting since the
  /// start of the previous pass.
  TimePoint earliestArrival(TimePoint now) const;

  /// Returns the statistics since the last call.
  LoopStatistics takeStatistics();

 private:
  static constexpr std::size_t kEventKindCount = std::variant_size_v<DispatchEvent>;

  struct Pass {
    std::array<std::size_t, kEventKindCount> events{};  // indexed by kind
    std::size_t listEntries = 0;
    std::size_t timers = 0;
    std::size_t actions = 0;
    TimePoint eventsStartedAt{};
    TimePoint actionsStartedAt{};
  };
  void logStall(TimePoint startedAt, TimePoint endedAt) const;
  std::string eventsText() const;

  std::optional<TimePoint> passStartedAt_;
  TimePoint lastPassStartedAt_{};
  TimePoint lastPassEndedAt_{};
  Pass pass_;
  LoopStatistics statistics_;
};

}  // namespace stonebay
