// A model of the capacity of a stand-in endpoint's machine. Does no I/O and reads no clock: times are passed
// in.
//
// A machine has a queue and cores of equal speed, each serving one request at a time. After a restart it
// warms up: its speed rises linearly from `warmUpInitialShare` to the full speed. If the work offered within
// `overloadWindow` exceeds `overloadFactor` times its capacity while it warms up, it crashes and stays down
// (rule 4 of the operators' page PROTOCOL).
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

#include "testbed/time.hpp"

namespace stonebay::testbed {

struct MachineSettings {
  int cores = 3;
  double coreSpeed = 1;              ///< relative to a standard core
  std::size_t queueCapacity = 200;   ///< requests that may wait for a core
  double warmUpInitialShare = 0.21;  ///< of the full speed
  Time warmUpDuration = std::chrono::seconds(18);
  double overloadFactor = 2.5;
  Time overloadWindow = std::chrono::milliseconds(1500);
};

/// Work is measured in microseconds of a standard core.
class Machine {
 public:
  /// @param startsWarm the machine runs at full speed from the start, without a warm-up
  Machine(const MachineSettings& settings, Time startedAt, bool startsWarm);

  /// Standard core-seconds of work per second.
  double capacity(Time now) const;
  bool isWarmingUp(Time now) const { return !startsWarm_ && now < startedAt_ + settings_.warmUpDuration; }

  /// Counts work that was sent to the machine, whether or not it can be served.
  /// @return true if this work crashes it.
  bool addOfferedWork(Time now, double work);
  /// The largest multiple of its capacity that was offered over the overload window during a warm-up.
  double peakOverload() const { return peakOverload_; }

  /// Reserves a core for work that arrives now.
  /// @return when the work will be done, or std::nullopt if the queue is full.
  std::optional<Time> enqueue(Time now, double work);
  /// Cancels the work that would be done at `completesAt`. Frees its core if no other work is queued behind
  /// it.
  void cancel(Time now, Time completesAt);
  /// Requests being served or queued.
  std::size_t inFlight(Time now);

  /// Multiplies the duration of all work that is enqueued from now on.
  void setSlowdown(double factor) { slowdown_ = factor; }

 private:
  struct OfferedWork {
    Time at;
    double work;
  };
  double currentCoreSpeed(Time now) const;

  const MachineSettings settings_;
  const Time startedAt_;
  const bool startsWarm_;
  double slowdown_ = 1;
  std::deque<Time> coreFreeAt_;
  std::deque<Time> completions_;  // of the requests in flight, ascending
  std::deque<OfferedWork> offered_;
  double offeredInWindow_ = 0;
  double peakOverload_ = 0;
};

}  // namespace stonebay::testbed
