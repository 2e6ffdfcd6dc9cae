// Which endpoints are out of service: ejection after failures, and silence.
#pragma once

#include "balancer/health_checker.hpp"
#include "balancer/latency_model.hpp"

namespace stonebay::balancer {

/// Ejects endpoints that fail or fall silent, for a time that doubles with each ejection, and readmits them
/// by one trial request at a time.
class OutlierDetector {
 public:
  OutlierDetector(const Context& context, EndpointTable& table, const LatencyModel& latencies,
                  const HealthChecker& healthChecker)
      : context_(context), table_(table), latencies_(latencies), healthChecker_(healthChecker) {}

  /// False while an endpoint is ejected, has a trial request out, or leaves a health check unanswered.
  bool isHealthy(const Endpoint& endpoint) const;
  /// What an attempt's end says of the endpoint's health; `attempt` is no longer in flight.
  void recordOutcome(Endpoint& endpoint, const InFlightAttempt& attempt, AttemptStatus status);
  void recordHealthCheck(Endpoint& endpoint, bool isAnswered);
  /// Whether an attempt is to be given up, for its endpoint has answered nothing since it was sent, for
  /// longer than the silence timeout. The endpoint is checked then: if that stays unanswered too it is
  /// ejected, else that attempt alone is lost. Where nothing can be checked it is ejected at once. An
  /// endpoint that still answers others has a heavy request, no more.
  bool detectSilence(Endpoint& endpoint, const InFlightAttempt& attempt);

 private:
  void eject(Endpoint& endpoint, bool failingFast);
  void recordFailure(Endpoint& endpoint, const InFlightAttempt& attempt, AttemptStatus status);
  /// Whether a failure is new evidence: of an ejected endpoint it is only where it was ejected for errors.
  bool isServingOrFailingFast(const Endpoint& endpoint) const;

  const Context& context_;
  EndpointTable& table_;
  const LatencyModel& latencies_;
  const HealthChecker& healthChecker_;
};

}  // namespace stonebay::balancer
