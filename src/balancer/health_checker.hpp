// When endpoints are asked for their load and position.
#pragma once

#include <vector>

#include "balancer/consistency.hpp"

namespace stonebay::balancer {

/// Sends health checks. An endpoint answers them beside its queue, within kHealthCheckTimeout.
class HealthChecker {
 public:
  HealthChecker(const Context& context, EndpointTable& table, const ConsistencyPolicy& consistency)
      : context_(context), table_(table), consistency_(consistency), loadIsReported_(context.reportsLoad()) {}

  void check(Endpoint& endpoint) const;
  /// Whether a check's answer may still come in time.
  bool isAwaited(const Endpoint& endpoint) const;
  /// Guards against choosing blindly where no proxy has heard of a suitable endpoint lately: positions that
  /// are outdated, loads and failures that nobody has reported. Checks the endpoints that are next in turn.
  /// True: the request has to wait for the answers, for waitLimit at most.
  bool checkBeforeSend(PendingRequest& pending, std::vector<Endpoint*> next);
  Duration waitLimit(const PendingRequest& pending) const;
  void recordAnswer(Endpoint& endpoint) const;
  /// Whether requests that wait may be served: a choice by load wants all answers that may still come in
  /// time.
  bool mayServeWaiting(const ReplicaGroup& group) const;

 private:
  bool hasRecentEvidence(const PendingRequest& pending, const Endpoint& endpoint) const;

  const Context& context_;
  EndpointTable& table_;
  const ConsistencyPolicy& consistency_;
  const bool loadIsReported_;  ///< reports say how many requests an endpoint holds
};

}  // namespace stonebay::balancer
