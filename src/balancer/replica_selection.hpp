// Which endpoints a read goes to.
//
// The mechanism is that of the paper on probabilistic replica selection: each read goes to the smallest set
// of fresh-enough replicas, least recently used first, whose combined chance of an answer by the deadline,
// weighted by each one's odds of being fresh enough, reaches a target. The first answer wins. The primary is
// spared.
#pragma once

#include <vector>

#include "balancer/admission_control.hpp"
#include "balancer/outlier_detection.hpp"
#include "balancer/retry_policy.hpp"

namespace stonebay::balancer {

/// Routes reads.
class ReplicaSelector {
 public:
  ReplicaSelector(const Context& context, EndpointTable& table, const ConsistencyPolicy& consistency,
                  const LatencyModel& latencies, const SlowStart& slowStart, RetryPolicy& retries,
                  const AdmissionControl& admission, const OutlierDetector& outliers,
                  HealthChecker& healthChecker)
      : context_(context),
        table_(table),
        consistency_(consistency),
        latencies_(latencies),
        slowStart_(slowStart),
        retries_(retries),
        admission_(admission),
        outliers_(outliers),
        healthChecker_(healthChecker) {}

  Route route(PendingRequest& pending);
  /// Whether some endpoint could take the read now.
  bool hasAlternative(const PendingRequest& pending);

 private:
  /// An endpoint that a read may go to.
  struct Candidate {
    Endpoint* endpoint;
    double missProbability;
    double expectedLatency;  ///< microseconds
  };
  /// Which endpoints may be chosen: those in service, or as a last resort those that fail fast.
  enum class Pool { Healthy, FailingFast };
  struct ReadSet {
    std::vector<Candidate> candidates;  ///< the most promising first
    bool overloaded = false;            ///< some endpoint was left out for its load
  };
  class SetBuilder;

  std::vector<Endpoint*> eligibleEndpoints(const PendingRequest& pending, Pool pool);
  void sortByUse(std::vector<Endpoint*>& endpoints, bool anyDataWillDo) const;
  void select(const PendingRequest& pending, Pool pool, ReadSet& set);
  Candidate evaluate(const PendingRequest& pending, Endpoint& endpoint, double freshness) const;
  Route routeTo(const PendingRequest& pending, const ReadSet& set);

  const Context& context_;
  EndpointTable& table_;
  const ConsistencyPolicy& consistency_;
  const LatencyModel& latencies_;
  const SlowStart& slowStart_;
  RetryPolicy& retries_;
  const AdmissionControl& admission_;
  const OutlierDetector& outliers_;
  HealthChecker& healthChecker_;
};

}  // namespace stonebay::balancer
