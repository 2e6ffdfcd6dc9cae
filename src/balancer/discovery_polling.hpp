// Polling of discovery for the endpoint list.
#pragma once

#include <cstdint>

#include "balancer/context.hpp"
#include "balancer/tuning.hpp"

namespace stonebay::balancer {

/// Polls for the endpoint list with DiscoveryMode::Poll. The polls of different proxies are spread over a
/// time that grows with the number of proxies, because discovery can serve only a few at a time.
class DiscoveryPoller {
 public:
  explicit DiscoveryPoller(const Context& context) : context_(context) {}

  /// Polls for the first time; with many proxies after a delay.
  void start();
  /// Called when a list arrived, or a poll or watch failed. After a failure, schedules another poll with a
  /// delay that doubles with each failure.
  void onList(EndpointListKind kind);
  /// Called when the timer of a poll expired. Ignored if a later poll has been scheduled or no poll is
  /// pending.
  void onTimer(std::uint64_t generation);

 private:
  /// Returns the time over which the polls of all proxies are spread.
  Duration jitterWindow() const;
  /// Schedules a poll after a pseudo-random delay between half of `maxDelay` and `maxDelay`.
  void schedule(Duration maxDelay);
  /// Polls, and schedules another poll for the case that this one is not answered.
  void poll();

  const Context& context_;
  bool pollPending_ = false;  ///< a poll is scheduled or has not been answered
  Duration backoff_ = kMinPollBackoff;
  std::uint64_t generation_ = 0;  ///< number of the latest timer
};

}  // namespace stonebay::balancer
