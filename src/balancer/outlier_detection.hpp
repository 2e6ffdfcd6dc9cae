// Detection of failed endpoints: ejection after failures or when responses are overdue.
#pragma once

#include "balancer/health_checker.hpp"
#include "balancer/latency_model.hpp"

namespace stonebay::balancer {

/// Ejects endpoints that fail or stop responding, for a time that doubles with each ejection. After that time
/// an endpoint receives one trial request at a time until one succeeds.
class OutlierDetector {
 public:
  OutlierDetector(const Context& context, EndpointTable& table, const LatencyModel& latencies,
                  const HealthChecker& healthChecker)
      : context_(context), table_(table), latencies_(latencies), healthChecker_(healthChecker) {}

  /// Returns false while an endpoint is ejected, has a trial request in flight, or has a health check in
  /// flight that has exceeded kHealthCheckTimeout.
  bool isHealthy(const Endpoint& endpoint) const;
  /// Updates the health of an endpoint after an attempt. `attempt` must have been removed from the attempts
  /// in flight.
  void recordOutcome(Endpoint& endpoint, const InFlightAttempt& attempt, AttemptStatus status);
  /// Updates the health of an endpoint after a health check.
  void recordHealthCheck(Endpoint& endpoint, bool isAnswered);
  /// Returns whether an attempt should be abandoned because its endpoint has not answered any attempt since
  /// it was sent, for longer than the silence timeout. The endpoint is then checked: if it does not respond
  /// to the health check either, it is ejected; if it responds, only this attempt is lost. If health checks
  /// are not possible, the endpoint is ejected without one. If the endpoint has answered other attempts
  /// meanwhile, this attempt is merely slow and the function returns false.
  bool detectSilence(Endpoint& endpoint, const InFlightAttempt& attempt);

 private:
  void eject(Endpoint& endpoint, bool failingFast);
  void recordFailure(Endpoint& endpoint, const InFlightAttempt& attempt, AttemptStatus status);
  /// Returns whether a failure is new information: the endpoint is not ejected, or was ejected only because
  /// of error responses.
  bool isServingOrFailingFast(const Endpoint& endpoint) const;

  const Context& context_;
  EndpointTable& table_;
  const LatencyModel& latencies_;
  const HealthChecker& healthChecker_;
};

}  // namespace stonebay::balancer
