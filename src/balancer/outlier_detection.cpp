#include "balancer/outlier_detection.hpp"

#include <algorithm>

namespace stonebay::balancer {

bool OutlierDetector::isHealthy(const Endpoint& endpoint) const {
  if (endpoint.healthCheck.pending && !healthChecker_.isAwaited(endpoint)) return false;
  const TimePoint until = endpoint.ejection.until;
  if (until == kNever) return true;
  if (context_.now < until) return false;
  return std::none_of(endpoint.inFlight.begin(), endpoint.inFlight.end(),
                      [&](const InFlightAttempt& attempt) { return attempt.sentAt >= until; });
}

void OutlierDetector::eject(Endpoint& endpoint, bool failingFast) {
  Ejection& ejection = endpoint.ejection;
  ejection.failingFast = failingFast;
  ejection.backoff = std::max(ejection.backoff, kMinEjection);
  ejection.until = context_.now + ejection.backoff;
  ejection.backoff = std::min(2 * ejection.backoff, kMaxEjection);
  table_.recordFault(endpoint);
}

bool OutlierDetector::isServingOrFailingFast(const Endpoint& endpoint) const {
  return endpoint.ejection.failingFast || context_.now >= endpoint.ejection.until;
}

void OutlierDetector::recordOutcome(Endpoint& endpoint, const InFlightAttempt& attempt,
                                    AttemptStatus status) {
  if (status == AttemptStatus::Ok) endpoint.ejection = Ejection();
  // The endpoint is full, draining or about to stop, so it receives no requests for a short time.
  if (status == AttemptStatus::Rejected)
    endpoint.ejection.until = std::max(endpoint.ejection.until, context_.now + kRejectionPause);
  if (!latencies_.countsAsFailure(attempt, status)) return;
  if (status == AttemptStatus::TooStale || status == AttemptStatus::Timeout) table_.recordFault(endpoint);
  if (status != AttemptStatus::TooStale) recordFailure(endpoint, attempt, status);
}

void OutlierDetector::recordFailure(Endpoint& endpoint, const InFlightAttempt& attempt,
                                    AttemptStatus status) {
  // A connection that cannot be established, without an answer since the attempt was sent, means that the
  // process is down. A reset alone does not.
  const bool isDown = status == AttemptStatus::ConnectFailed && endpoint.lastAnswerAt < attempt.sentAt;
  ++endpoint.ejection.consecutiveFailures;
  if (endpoint.ejection.consecutiveFailures < kConsecutiveFailuresToEject && !isDown) return;
  const bool isConnectionFailure = status == AttemptStatus::ConnectFailed || status == AttemptStatus::Reset;
  if (isConnectionFailure && context_.canCheckHealth()) {
    // Connections may break at random, so a health check decides whether the endpoint has failed.
    if (!endpoint.healthCheck.pending && isServingOrFailingFast(endpoint)) healthChecker_.check(endpoint);
    return;
  }
  if (context_.now >= endpoint.ejection.until) eject(endpoint, status == AttemptStatus::Error);
  // The process is down. If it was the primary, the role is unknown until an endpoint states it again.
  if (isDown) table_.observeRole(endpoint, Role::Unknown, context_.now);
}

void OutlierDetector::recordHealthCheck(Endpoint& endpoint, bool isAnswered) {
  if (isAnswered) {
    endpoint.ejection.consecutiveFailures = 0;
    return;
  }
  if (endpoint.lastResponseAt >= endpoint.healthCheck.sentAt || !isServingOrFailingFast(endpoint)) return;
  eject(endpoint, false);
  // Connections had failed before, so the process is down. If it was the primary, the role is unknown until
  // an endpoint states it again.
  if (endpoint.ejection.consecutiveFailures > 0) table_.observeRole(endpoint, Role::Unknown, context_.now);
}

bool OutlierDetector::detectSilence(Endpoint& endpoint, const InFlightAttempt& attempt) {
  const TimePoint due = attempt.sentAt + latencies_.silenceTimeout(attempt.classIndex);
  if (endpoint.lastAnswerAt >= attempt.sentAt || context_.now < due) return false;
  const bool canCheck = context_.canCheckHealth();
  const TimePoint until = endpoint.ejection.until;
  const bool sentBeforeEjection = until != kNever && attempt.sentAt < until;
  const bool isSilent = endpoint.lastResponseAt < due;
  if (!sentBeforeEjection && !canCheck) eject(endpoint, false);
  if (!sentBeforeEjection && canCheck && isSilent && !endpoint.healthCheck.pending)
    healthChecker_.check(endpoint);
  const bool isInService = context_.now >= endpoint.ejection.until && isHealthy(endpoint);
  return !isInService || (canCheck && !isSilent);
}

}  // namespace stonebay::balancer
