#include "balancer/write_routing.hpp"

#include <algorithm>

namespace stonebay::balancer {

bool WriteRouter::maySend(const PendingRequest& pending, const Endpoint& endpoint) {
  const double costShare = latencies_.costShare(pending.request.classIndex);
  return retries_.mayAttempt(pending, endpoint) &&
         slowStart_.isWithinBudget(endpoint, pending.request.id, costShare);
}

Route WriteRouter::route(PendingRequest& pending) {
  ReplicaGroup& group = table_.group(pending.request.group);
  group.primaryRequestedAt = context_.now;
  if (Endpoint* const primary = table_.routablePrimary(group)) return routeToPrimary(pending, *primary);
  if (Endpoint* const endpoint = nextDiscoveryCandidate(pending, group)) {
    group.discoveryRequest = pending.request.id;
    return {Route::Action::Send, {endpoint}};
  }
  if (group.discoveryRequest == pending.request.id) group.discoveryRequest = 0;
  pending.attemptedEndpoints.clear();
  return {Route::Action::Wait};
}

Route WriteRouter::routeToPrimary(PendingRequest& pending, Endpoint& primary) {
  pending.attemptedEndpoints.clear();
  // Only the primary executes writes, so it is used even if it was ejected because of error responses. It is
  // not used if it does not respond.
  const bool isInService = outliers_.isHealthy(primary) || primary.ejection.failingFast;
  if (!isInService || !maySend(pending, primary)) return {Route::Action::Wait};
  if (healthChecker_.checkBeforeSend(pending, {&primary})) return {Route::Action::WaitForHealthChecks};
  if (!admission_.isAdmissible(pending, primary)) return {Route::Action::Shed};
  return {Route::Action::Send, {&primary}};
}

Endpoint* WriteRouter::nextDiscoveryCandidate(const PendingRequest& pending, ReplicaGroup& group) {
  const int attemptsForDiscovery = std::max(context_.settings.maxAttempts - 1, 1);
  const bool isOtherRequestSearching =
      group.discoveryRequest != 0 && group.discoveryRequest != pending.request.id;
  if (pending.attemptCount() >= attemptsForDiscovery || table_.isDiscoveryExhausted(group) ||
      isOtherRequestSearching)
    return nullptr;
  for (const EndpointId id : group.endpoints) {
    Endpoint& endpoint = table_.at(id);
    if (!table_.isRoutable(endpoint) || !outliers_.isHealthy(endpoint)) continue;
    if (maySend(pending, endpoint)) return &endpoint;
  }
  table_.setDiscoveryExhausted(group);
  return nullptr;
}

void WriteRouter::discoverPrimary(const ReplicaGroup& group) {
  if (!context_.canCheckHealth() || context_.now > group.primaryRequestedAt + kTickInterval) return;
  const Endpoint* const primary = table_.routablePrimary(group);
  if (primary && outliers_.isHealthy(*primary)) return;
  for (const EndpointId id : group.endpoints) {
    Endpoint& endpoint = table_.at(id);
    if (!table_.isRoutable(endpoint) || endpoint.healthCheck.pending) continue;
    const TimePoint lastContact = std::max(endpoint.healthCheck.sentAt, endpoint.lastResponseAt);
    if (context_.now - lastContact >= kPrimaryDiscoveryInterval) healthChecker_.check(endpoint);
  }
}

}  // namespace stonebay::balancer
