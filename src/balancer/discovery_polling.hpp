// When discovery is polled for the endpoint list.
#pragma once

#include <cstdint>

#include "balancer/context.hpp"
#include "balancer/tuning.hpp"

namespace stonebay::balancer {

/// Polls where lists do not come by themselves. Each proxy polls at a time of its own, spread over the longer
/// the more proxies there are: discovery serves but a few at once.
class DiscoveryPoller {
 public:
  explicit DiscoveryPoller(const Context& context) : context_(context) {}

  /// The first poll.
  void start();
  /// A list came, or a poll failed: that is polled for again after a pause that doubles with each failure.
  void onList(EndpointListKind kind);
  /// The timer of a poll; ignored where a later one has been scheduled.
  void onTimer(std::uint64_t generation);

 private:
  Duration jitter() const;
  void schedule(Duration longest);
  void poll();

  const Context& context_;
  bool polling_ = false;
  Duration backoff_ = kMinPollBackoff;
  std::uint64_t generation_ = 0;
};

}  // namespace stonebay::balancer
