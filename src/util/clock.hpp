// The clock of the process.
#pragma once

#include <chrono>

namespace stonebay {

/// Wall time that never goes back: the system clock is read once, at construction, and advanced by the
/// monotonic clock from then on.
class Clock {
 public:
  /// Microseconds since 1970.
  using Time = std::chrono::microseconds;

  Clock()
      : wallAtStart_(std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch())),
        start_(std::chrono::steady_clock::now()) {}

  Time now() const {
    return wallAtStart_ + std::chrono::duration_cast<Time>(std::chrono::steady_clock::now() - start_);
  }

 private:
  Time wallAtStart_;
  std::chrono::steady_clock::time_point start_;
};

/// An instant of Clock, or an interval, in microseconds.
using Time = Clock::Time;

}  // namespace stonebay
