// The time type of a run.
#pragma once

#include <chrono>
#include <cstdint>

namespace stonebay::testbed {

/// A duration, or an instant given as the time since the start of the run (see RunContext::now()).
using Time = std::chrono::microseconds;

inline double toSeconds(Time time) { return static_cast<double>(time.count()) / 1e6; }
inline double toMilliseconds(Time time) { return static_cast<double>(time.count()) / 1e3; }
/// Rounds toward zero.
inline Time fromMicroseconds(double us) { return Time(static_cast<std::int64_t>(us)); }

}  // namespace stonebay::testbed
