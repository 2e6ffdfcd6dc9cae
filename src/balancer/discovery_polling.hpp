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
  /// Called when a list arrived.
  void onList();
  /// Called when a poll or a watch failed. Schedules another poll. A change that was missed counts as
  /// notified kMaxNotificationDelay after the last contact with discovery, `sinceContact` ago, so the delay
  /// leaves time for several polls that fail before then.
  void onFailure(Duration sinceContact);
  /// Called when the timer of a poll expired. Ignored if a later poll has been scheduled or no poll is
  /// pending.
  void onTimer(std::uint64_t generation);

 private:
  /// Returns the time over which the polls of all proxies are spread.
  Duration jitterWindow() const;
  /// Returns the delay of the poll that follows the end of a watch.
  Duration delayAfterWatch(Duration sinceContact) const;
  /// Returns the delay of the poll that follows a failed one. Counts from the start of that one, because a
  /// poll that waited long has been a pause already.
  Duration delayAfterPoll() const;
  /// Returns a pseudo-random duration between half of `limit` and `limit`; differs from proxy to proxy.
  Duration randomized(Duration limit) const;
  /// Schedules a poll after this delay.
  void schedule(Duration delay);
  /// Polls, and schedules another poll for the case that this one is not answered.
  void poll();

  const Context& context_;
  bool pollPending_ = false;  ///< a poll is scheduled or has not been answered
  bool pollSent_ = false;     ///< a poll was sent since the last list
  TimePoint lastPollAt_{};
  Duration backoff_ = kMinPollBackoff;  ///< between the starts of failed polls
  std::uint64_t generation_ = 0;        ///< number of the latest timer
};

}  // namespace stonebay::balancer
