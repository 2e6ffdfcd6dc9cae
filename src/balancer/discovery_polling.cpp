#include "balancer/discovery_polling.hpp"

#include <algorithm>

namespace stonebay::balancer {

void DiscoveryPoller::start() {
  if (context_.settings.discovery != DiscoveryMode::Poll) return;
  if (jitterWindow() > kMinPollBackoff)
    schedule(jitterWindow() / 2);
  else
    poll();
}

void DiscoveryPoller::onList(EndpointListKind kind) {
  pollPending_ = kind == EndpointListKind::Failed && context_.settings.discovery == DiscoveryMode::Poll;
  if (kind != EndpointListKind::Failed) backoff_ = jitterWindow();
  if (!pollPending_) return;
  schedule(backoff_);
  const Duration maxBackoff = std::max(context_.settings.maxPollInterval / 4, kMinPollBackoff);
  backoff_ = std::min({2 * backoff_, maxBackoff, kMaxPollBackoff});
}

void DiscoveryPoller::onTimer(std::uint64_t generation) {
  if (pollPending_ && generation == generation_) poll();
}

Duration DiscoveryPoller::jitterWindow() const {
  return std::clamp<Duration>(context_.settings.proxyCount * kPollJitterPerProxy, kMinPollBackoff,
                              kMaxPollBackoff);
}

void DiscoveryPoller::schedule(Duration maxDelay) {
  pollPending_ = true;
  ++generation_;
  const Duration delay = scaled(maxDelay, 0.5 + context_.hash.fraction(generation_) / 2);
  context_.sink.scheduleTimer(delay, {TimerKind::Poll, generation_});
}

void DiscoveryPoller::poll() {
  pollPending_ = true;
  context_.sink.pollDiscovery();
  if (context_.settings.maxPollInterval <= Duration(0)) return;
  ++generation_;
  context_.sink.scheduleTimer(context_.settings.maxPollInterval / 2, {TimerKind::Poll, generation_});
}

}  // namespace stonebay::balancer
