#include "balancer/health_checker.hpp"

#include <algorithm>

namespace stonebay::balancer {

void HealthChecker::check(Endpoint& endpoint) const {
  endpoint.healthCheck.pending = true;
  endpoint.healthCheck.sentAt = context_.now;
  context_.sink.checkHealth(endpoint.info.id);
}

bool HealthChecker::isAwaited(const Endpoint& endpoint) const {
  const HealthCheck& check = endpoint.healthCheck;
  return check.pending && context_.now - check.sentAt <= kHealthCheckTimeout;
}

// If endpoints serve stale reads, their position must prove that the data is new enough. If loads are
// reported, the endpoint must have responded within kMaxLoadReportAge. A write must not be lost to a failed
// endpoint, so that the endpoint must have responded within the latency objective of the class.
bool HealthChecker::hasRecentEvidence(const PendingRequest& pending, const Endpoint& endpoint) const {
  const bool servesStale = context_.settings.staleReadPolicy == StaleReadPolicy::Serve;
  if (servesStale && isKnownStale(endpoint, consistency_.requiredPosition(pending))) return false;
  const bool isWrite = context_.isWrite(pending);
  if (!loadIsReported_ && !isWrite) return true;
  const Duration maxAge = isWrite ? context_.classOf(pending).latencyObjective : kMaxLoadReportAge;
  return endpoint.lastResponseAt != kNever && context_.now - endpoint.lastResponseAt < maxAge;
}

bool HealthChecker::checkBeforeSend(PendingRequest& pending, std::vector<Endpoint*> next) {
  if (!context_.canCheckHealth() || pending.healthChecksSent) return false;
  // A strong read requires a position as new as the request, which no replica can have reached.
  if (context_.classOf(pending).consistency == Consistency::Strong) return false;
  if (!context_.isWrite(pending)) {
    const Endpoint* const primary = table_.find(table_.group(pending.request.group).primary);
    next.erase(std::remove(next.begin(), next.end(), primary), next.end());
  }
  const auto isKnown = [&](const Endpoint* endpoint) { return hasRecentEvidence(pending, *endpoint); };
  if (std::any_of(next.begin(), next.end(), isKnown)) return false;
  next.resize(std::min(next.size(), kHealthChecksPerSend));
  const Duration interval = loadIsReported_ ? kTickInterval : consistency_.tightestStaleness() / 4;
  for (Endpoint* endpoint : next) {
    const HealthCheck& last = endpoint->healthCheck;
    const bool isDue = last.sentAt == kNever || context_.now - last.sentAt >= interval;
    if (!last.pending && isDue) check(*endpoint);
    if (last.pending) pending.healthChecksSent = true;
  }
  return pending.healthChecksSent;
}

Duration HealthChecker::waitLimit(const PendingRequest& pending) const {
  const Duration objective = context_.classOf(pending).latencyObjective;
  return std::max(context_.settings.clockResolution, objective / kHealthCheckWaitDivisor);
}

void HealthChecker::recordAnswer(Endpoint& endpoint) const {
  endpoint.lastResponseAt = context_.now;
  // A health check that shows too old a position counts as use of the endpoint. Otherwise the same lagging
  // endpoints would remain the least recently used ones, and no others would be checked.
  const TimePoint tolerated = context_.now - consistency_.tightestStaleness();
  if (endpoint.position < tolerated) endpoint.lastUsedAt = context_.now;
}

bool HealthChecker::mayResumeWaiting(const ReplicaGroup& group) const {
  const auto mayAnswer = [&](EndpointId id) { return isAwaited(table_.at(id)); };
  return !loadIsReported_ || std::none_of(group.endpoints.begin(), group.endpoints.end(), mayAnswer);
}

}  // namespace stonebay::balancer
