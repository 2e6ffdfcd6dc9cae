// Routing of writes, and discovery of the primary of a group.
#pragma once

#include "balancer/admission_control.hpp"
#include "balancer/outlier_detection.hpp"
#include "balancer/retry_policy.hpp"

namespace stonebay::balancer {

/// Routes writes to the primary of their group, and discovers the primary if it is unknown.
class WriteRouter {
 public:
  WriteRouter(const Context& context, EndpointTable& table, const LatencyModel& latencies,
              const SlowStart& slowStart, RetryPolicy& retries, const AdmissionControl& admission,
              const OutlierDetector& outliers, HealthChecker& healthChecker)
      : context_(context),
        table_(table),
        latencies_(latencies),
        slowStart_(slowStart),
        retries_(retries),
        admission_(admission),
        outliers_(outliers),
        healthChecker_(healthChecker) {}

  /// Returns the next step of a write without an attempt in flight.
  Route route(PendingRequest& pending);
  /// Sends health checks to the endpoints of a group if writes wait and its primary is unknown or unhealthy.
  void discoverPrimary(const ReplicaGroup& group);

 private:
  Route routeToPrimary(PendingRequest& pending, Endpoint& primary);
  /// Returns the next endpoint for a write of a group without a known primary, or nullptr if it has to wait.
  /// One write at a time is tried on the endpoints in the order of their ids; it keeps its last attempt for
  /// the primary. The other writes of the group wait.
  Endpoint* nextDiscoveryCandidate(const PendingRequest& pending, ReplicaGroup& group);
  /// Returns whether the retry policy and slow start allow the write at the endpoint.
  bool maySend(const PendingRequest& pending, const Endpoint& endpoint);

  const Context& context_;
  EndpointTable& table_;
  const LatencyModel& latencies_;
  const SlowStart& slowStart_;
  RetryPolicy& retries_;
  const AdmissionControl& admission_;
  const OutlierDetector& outliers_;
  HealthChecker& healthChecker_;
};

}  // namespace stonebay::balancer
