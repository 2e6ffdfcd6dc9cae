// The clock of the process.
#pragma once

#include <chrono>

namespace stonebay {

/// Wall time that never goes backwards. The system clock is read once, at construction; from then on the time
/// advances with the monotonic clock.
class Clock {
 public:
  /// Microseconds since the Unix epoch.
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

/// A time of Clock, or an interval, in microseconds.
using Time = Clock::Time;

}  // namespace stonebay
