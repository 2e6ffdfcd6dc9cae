#include "stonebay/load_balancer.hpp"

#include "balancer/core.hpp"

namespace stonebay {

LoadBalancer::LoadBalancer(const Settings& settings, std::uint64_t seed, ActionSink& sink)
    : core_(std::make_unique<Core>(settings, seed, sink)) {}
LoadBalancer::~LoadBalancer() = default;
LoadBalancer::LoadBalancer(LoadBalancer&&) noexcept = default;

void LoadBalancer::onEndpointList(TimePoint now, EndpointListKind kind,
                                  const std::vector<EndpointUpdate>& updates) {
  core_->setTime(now).onEndpointList(kind, updates);
}
void LoadBalancer::onDiscoveryFailure(TimePoint now, Duration sinceContact) {
  core_->setTime(now).onDiscoveryFailure(sinceContact);
}
void LoadBalancer::onRequest(TimePoint now, const Request& request) {
  core_->setTime(now).onRequest(request);
}
void LoadBalancer::onAttemptOutcome(TimePoint now, const AttemptOutcome& outcome) {
  core_->setTime(now).onAttemptOutcome(outcome);
}
void LoadBalancer::onClientLeft(TimePoint now, RequestId id) { core_->setTime(now).onClientLeft(id); }
void LoadBalancer::onHealthCheck(TimePoint now, const HealthCheckResult& result) {
  core_->setTime(now).onHealthCheck(result);
}
void LoadBalancer::onTimer(TimePoint now, TimerToken token) { core_->setTime(now).onTimer(token); }
void LoadBalancer::onGossip(TimePoint now, const GossipMessage& message) {
  core_->setTime(now).onGossip(message);
}
bool LoadBalancer::isStillEligible(TimePoint now, RequestId id, EndpointId endpoint) {
  return core_->setTime(now).isStillEligible(id, endpoint);
}
std::vector<EndpointId> LoadBalancer::removeDeparted(TimePoint now) {
  return core_->setTime(now).removeDeparted();
}
void LoadBalancer::shiftUnixTimes(TimePoint now, Duration shift) {
  core_->setTime(now).shiftUnixTimes(shift);
}
void LoadBalancer::setPositionEpoch(TimePoint epoch) { core_->setPositionEpoch(epoch); }

}  // namespace stonebay
