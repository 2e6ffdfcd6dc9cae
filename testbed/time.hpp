// Time within a run.
#pragma once

#include <chrono>
#include <cstdint>

namespace stonebay::testbed {

/// An instant, counted from the start of the run's process, or the length of an interval.
using Time = std::chrono::microseconds;

inline double toSeconds(Time time) { return static_cast<double>(time.count()) / 1e6; }
inline double toMilliseconds(Time time) { return static_cast<double>(time.count()) / 1e3; }
/// Rounds towards zero.
inline Time fromMicroseconds(double us) { return Time(static_cast<std::int64_t>(us)); }

}  // namespace stonebay::testbed
