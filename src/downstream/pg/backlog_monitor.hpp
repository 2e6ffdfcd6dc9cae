// Decides when connections that wait in the backlog of a listener must be refused.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// While there is no room for more clients, connections wait in the backlog, and their clients get no answer.
/// They may wait as long as clients keep leaving at a rate that soon makes room for all of them.
class BacklogMonitor {
 public:
  /// The wait is too long if fewer than `minAdmissions` clients are admitted in kMaxWait.
  explicit BacklogMonitor(std::size_t minAdmissions) : minAdmissions_(minAdmissions) {}

  /// Whether connections waited when there was no room, and onEmpty() was not called since.
  bool waiting() const { return intervalStart_.has_value(); }
  /// No connection waits.
  void onEmpty() {
    intervalStart_.reset();
    refusing_ = false;
  }
  void onAdmitted() { ++admitted_; }
  /// Connections wait and there is no room. Returns whether they must be refused.
  bool mustRefuse(TimePoint now) {
    if (!intervalStart_) {
      startInterval(now);
    } else if (now - *intervalStart_ >= kMaxWait) {
      refusing_ = admitted_ < minAdmissions_;
      startInterval(now);
    }
    return refusing_;
  }

 private:
  // Short against the deadlines of requests, so that a refused client has the time to try again.
  static constexpr Duration kMaxWait = std::chrono::milliseconds(100);

  void startInterval(TimePoint now) {
    intervalStart_ = now;
    admitted_ = 0;
  }

  const std::size_t minAdmissions_;
  std::optional<TimePoint> intervalStart_;
  std::size_t admitted_ = 0;  // in the current interval
  bool refusing_ = false;
};

}  // namespace stonebay
