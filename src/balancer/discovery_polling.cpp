#include "balancer/discovery_polling.hpp"

#include <algorithm>

namespace stonebay::balancer {

void DiscoveryPoller::start() {
  if (context_.settings.discovery != DiscoveryMode::Poll) return;
  ++generation_;
  if (jitterWindow() > kMinPollBackoff)
    schedule(randomized(jitterWindow() / 2));
  else
    poll();
}

void DiscoveryPoller::onList() {
  pollPending_ = false;
  pollSent_ = false;
  backoff_ = std::min(jitterWindow(), kMaxPollBackoff);
}

void DiscoveryPoller::onFailure(Duration sinceContact) {
  pollPending_ = context_.settings.discovery == DiscoveryMode::Poll;
  if (!pollPending_) return;
  ++generation_;
  if (!pollSent_) return schedule(delayAfterWatch(sinceContact));
  schedule(delayAfterPoll());
  const Duration maxBackoff = std::max(context_.settings.maxPollInterval / 4, kMinPollBackoff);
  backoff_ = std::min({2 * backoff_, maxBackoff, kMaxPollBackoff});
}

void DiscoveryPoller::onTimer(std::uint64_t generation) {
  if (pollPending_ && generation == generation_) poll();
}

Duration DiscoveryPoller::jitterWindow() const {
  return std::clamp<Duration>(context_.settings.proxyCount * kPollJitterPerProxy, kMinPollBackoff,
                              kMaxPollJitter);
}

Duration DiscoveryPoller::delayAfterWatch(Duration sinceContact) const {
  const Duration spare = kMaxNotificationDelay - sinceContact - kTimeForFailedPolls;
  return randomized(std::clamp(spare, kMinPollSpread, jitterWindow()));
}

Duration DiscoveryPoller::delayAfterPoll() const {
  const TimePoint next = lastPollAt_ + randomized(backoff_);
  return std::max(next - context_.now, randomized(kMinPollSpread));
}

Duration DiscoveryPoller::randomized(Duration limit) const {
  return scaled(limit, 0.5 + context_.hash.fraction(generation_) / 2);
}

void DiscoveryPoller::schedule(Duration delay) {
  pollPending_ = true;
  context_.sink.scheduleTimer(delay, {TimerKind::Poll, generation_});
}

void DiscoveryPoller::poll() {
  pollPending_ = true;
  pollSent_ = true;
  lastPollAt_ = context_.now;
  context_.sink.pollDiscovery();
  if (context_.settings.maxPollInterval <= Duration(0)) return;
  ++generation_;
  schedule(context_.settings.maxPollInterval / 2);
}

}  // namespace stonebay::balancer
