// The capacity of a stand-in endpoint's machine. Pure: times are passed in, nothing is sent.
//
// A machine has cores of one speed, each serving one request at a time, and a queue. After a restart it warms
// up: its speed rises linearly from a share to the full speed. If it is sent more than `overloadFactor` times
// its capacity over any `overloadWindow` while it warms up, it crashes and stays down (PROTOCOL, rule 4 of
// the operators' pages).
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

#include "testbed/time.hpp"

namespace stonebay::testbed {

struct MachineSettings {
  int cores = 3;
  double coreSpeed = 1;             ///< relative to the standard core
  std::size_t queueCapacity = 200;  ///< requests that may wait
  double warmUpInitialShare = 0.21;
  Time warmUpDuration = std::chrono::seconds(18);
  double overloadFactor = 2.5;
  Time overloadWindow = std::chrono::milliseconds(1500);
};

/// Work is measured in microseconds of a standard core.
class Machine {
 public:
  /// `startsWarm`: it has been running for long and does not warm up.
  Machine(const MachineSettings& settings, Time startedAt, bool startsWarm);

  /// Standard core-seconds of work a second.
  double capacity(Time now) const;
  bool isWarmingUp(Time now) const { return !startsWarm_ && now < startedAt_ + settings_.warmUpDuration; }

  /// Counts work that was sent to the machine, whether or not it can be served.
  /// @return true if this work crashes it.
  bool addOfferedWork(Time now, double work);
  /// The largest multiple of its capacity that was offered over the overload window during a warm-up.
  double peakOverload() const { return peakOverload_; }

  /// Reserves a core for work that arrives now.
  /// @return when it will be done, or nothing if the queue is full.
  std::optional<Time> enqueue(Time now, double work);
  /// Stops work that was to be done at `completesAt` and frees its core for the rest of that time.
  void cancel(Time now, Time completesAt);
  /// Requests being served or queued.
  std::size_t inFlight(Time now);

  /// With a factor of 4 everything takes four times as long.
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
  std::deque<Time> completions_;  // of all that is in flight, ascending
  std::deque<OfferedWork> offered_;
  double offeredInWindow_ = 0;
  double peakOverload_ = 0;
};

}  // namespace stonebay::testbed
