#include "balancer/discovery_polling.hpp"

#include <algorithm>

namespace stonebay::balancer {

void DiscoveryPoller::start() {
  if (context_.settings.discovery != DiscoveryMode::Poll) return;
  if (jitter() > kMinPollBackoff)
    schedule(jitter() / 2);
  else
    poll();
}

void DiscoveryPoller::onList(EndpointListKind kind) {
  polling_ = kind == EndpointListKind::Failed && context_.settings.discovery == DiscoveryMode::Poll;
  if (kind != EndpointListKind::Failed) backoff_ = jitter();
  if (!polling_) return;
  schedule(backoff_);
  const Duration longest = std::max(context_.settings.maxPollInterval / 4, kMinPollBackoff);
  backoff_ = std::min({2 * backoff_, longest, kMaxPollBackoff});
}

void DiscoveryPoller::onTimer(std::uint64_t generation) {
  if (polling_ && generation == generation_) poll();
}

Duration DiscoveryPoller::jitter() const {
  return std::clamp<Duration>(context_.settings.proxyCount * kPollJitterPerProxy, kMinPollBackoff,
                              kMaxPollBackoff);
}

void DiscoveryPoller::schedule(Duration longest) {
  polling_ = true;
  ++generation_;
  const Duration delay = scaled(longest, 0.5 + context_.hash.fraction(generation_) / 2);
  context_.sink.scheduleTimer(delay, {TimerKind::Poll, generation_});
}

void DiscoveryPoller::poll() {
  polling_ = true;
  context_.sink.pollDiscovery();
  if (context_.settings.maxPollInterval <= Duration(0)) return;
  ++generation_;
  context_.sink.scheduleTimer(context_.settings.maxPollInterval / 2, {TimerKind::Poll, generation_});
}

}  // namespace stonebay::balancer
