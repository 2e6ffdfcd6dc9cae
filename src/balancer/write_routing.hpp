// Where a write goes, and how its group's primary is found.
#pragma once

#include "balancer/admission_control.hpp"
#include "balancer/outlier_detection.hpp"
#include "balancer/retry_policy.hpp"

namespace stonebay::balancer {

/// Routes writes.
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

  Route route(PendingRequest& pending);
  /// Checks a group's endpoints while writes want a primary that is not in service.
  void discoverPrimary(const ReplicaGroup& group);

 private:
  Route routeToPrimary(PendingRequest& pending, Endpoint& primary);
  /// One write tries the endpoints by id and keeps its last attempt for the primary; the others wait.
  Endpoint* nextToTry(const PendingRequest& pending, ReplicaGroup& group);
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
