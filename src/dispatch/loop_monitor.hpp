// Measures the passes of the event loop: how long each one took, and what it handled.
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

/// What the passes of some span of time add up to.
struct LoopStatistics {
  std::uint64_t passes = 0;
  std::uint64_t stalls = 0;  ///< passes of kStallThreshold or more
  Duration longestPass{};
  std::size_t longestEventQueue = 0;
  std::uint64_t listEntries = 0;
};

/// A pass begins with the first callback that reads the clock and ends when its actions have been carried
/// out. One that takes long holds up all clients and endpoints: it is logged ("loop_stalled") with its parts.
class LoopMonitor {
 public:
  /// A callback of the event loop runs. Only the first call of a pass counts.
  void onCallback(TimePoint now) {
    if (!startedAt_) startedAt_ = now;
  }
  /// The events that the callbacks recorded are about to be handled.
  void onEvents(TimePoint now, std::size_t count);
  void onEvent(const DispatchEvent& event);
  void onTimer() { ++pass_.timers; }
  /// The events have been handled, and so many actions are about to be carried out.
  void onActions(TimePoint now, std::size_t count);
  void onPassEnd(TimePoint now);

  /// The earliest instant at which input that is read in this pass can have arrived: if the pass follows a
  /// long one without a rest, the input may have waited for as long as that one took.
  TimePoint earliestArrival(TimePoint now) const;

  /// Since the last call.
  LoopStatistics takeStatistics();

 private:
  static constexpr std::size_t kEventKinds = std::variant_size_v<DispatchEvent>;

  struct Pass {
    std::array<std::size_t, kEventKinds> events{};  // by kind
    std::size_t listEntries = 0;
    std::size_t timers = 0;
    std::size_t actions = 0;
    TimePoint eventsAt{};
    TimePoint actionsAt{};
  };
  void logStall(TimePoint startedAt, TimePoint endedAt) const;
  std::string eventsText() const;

  std::optional<TimePoint> startedAt_;
  TimePoint lastStartedAt_{};
  TimePoint lastEndedAt_{};
  Pass pass_;
  LoopStatistics statistics_;
};

}  // namespace stonebay
