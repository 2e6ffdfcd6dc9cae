// State shared by all parts of a run: the event loop, the clock and the random numbers.
#pragma once

#include <event2/event.h>

#include <chrono>
#include <cstdint>
#include <pcg_random.hpp>
#include <random>

#include "testbed/time.hpp"
#include "util/event.hpp"

namespace stonebay::testbed {

/// Owns the event loop, the clock and the seeded random numbers of one run.
class RunContext {
 public:
  explicit RunContext(std::uint64_t seed)
      : eventBase_(event_base_new()),
        random_(seed),
        startedAt_(std::chrono::steady_clock::now()),
        startedAtUnix_(
            std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch())) {}

  event_base* eventBase() const { return eventBase_.get(); }
  pcg64& random() { return random_; }

  /// Returns the monotonic time since the construction of this object.
  Time now() const { return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now() - startedAt_); }
  /// Converts an instant of this run to Unix time in milliseconds.
  std::int64_t unixMs(Time instant) const { return (startedAtUnix_ + instant).count() / 1000; }

  /// Returns a uniformly distributed number from [min, max).
  double uniform(double min, double max) { return std::uniform_real_distribution<>(min, max)(random_); }
  /// Returns a uniformly distributed duration from [min, max).
  Time uniform(Time min, Time max) {
    return fromMicroseconds(uniform(static_cast<double>(min.count()), static_cast<double>(max.count())));
  }

 private:
  const EventBase eventBase_;
  pcg64 random_;
  const std::chrono::steady_clock::time_point startedAt_;
  const Time startedAtUnix_;
};

}  // namespace stonebay::testbed
