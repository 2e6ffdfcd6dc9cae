// Health checks: when they are sent, and how requests wait for their results.
#pragma once

#include <vector>

#include "balancer/consistency.hpp"

namespace stonebay::balancer {

/// Sends health checks. Endpoints answer them without queueing, normally within kHealthCheckTimeout.
class HealthChecker {
 public:
  HealthChecker(const Context& context, EndpointTable& table, const ConsistencyPolicy& consistency)
      : context_(context), table_(table), consistency_(consistency), loadIsReported_(context.reportsLoad()) {}

  /// Sends a health check.
  void check(Endpoint& endpoint) const;
  /// Returns whether a health check is in flight and has not exceeded kHealthCheckTimeout.
  bool isAwaited(const Endpoint& endpoint) const;
  /// Checks the first endpoints of `next` if there is no recent information about any of them: their
  /// positions may be outdated, and changes of load or failures may not have been reported. `next` lists the
  /// endpoints that the request may be sent to, in order of preference. Returns whether the request has to
  /// wait for the results, for waitLimit() at most.
  bool checkBeforeSend(PendingRequest& pending, std::vector<Endpoint*> next);
  /// Returns how long a request may wait for the results of health checks.
  Duration waitLimit(const PendingRequest& pending) const;
  /// Records a successful health check.
  void recordAnswer(Endpoint& endpoint) const;
  /// Returns whether waiting requests of the group may be routed. If loads are reported, routing waits until
  /// no health check of the group can still be answered in time, because it compares the loads.
  bool mayResumeWaiting(const ReplicaGroup& group) const;

 private:
  /// Returns whether the endpoint can be chosen without a health check.
  bool hasRecentEvidence(const PendingRequest& pending, const Endpoint& endpoint) const;

  const Context& context_;
  EndpointTable& table_;
  const ConsistencyPolicy& consistency_;
  const bool loadIsReported_;  ///< load reports contain the number of requests in flight
};

}  // namespace stonebay::balancer
