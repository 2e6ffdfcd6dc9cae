// Selection of the endpoints that a read is sent to.
//
// The mechanism is that of the paper on probabilistic replica selection. For each read it selects the
// smallest set of replicas, least recently used first, for which the probability that at least one of them
// answers by the deadline reaches a target. The probability that a replica's data is new enough is part of
// the estimate. The primary is added only if the replicas do not reach the target. The read is sent to the
// best endpoint of the set and, as hedged requests, to the others if that is allowed. The first answer is
// used.
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

  /// Returns the next step of a read without an attempt in flight.
  Route route(PendingRequest& pending);
  /// Returns whether the read could be sent to some endpoint now.
  bool hasAlternative(const PendingRequest& pending);

 private:
  /// An endpoint that a read may be sent to.
  struct Candidate {
    Endpoint* endpoint;
    double missProbability;
    double expectedLatency;  ///< microseconds
  };
  /// The endpoints to choose from: healthy ones or, if none of these is suitable, those that were ejected
  /// only because of error responses.
  enum class Pool { Healthy, FailingFast };
  struct ReadSet {
    std::vector<Candidate> candidates;  ///< the lowest miss probability first
    bool overloaded = false;            ///< some endpoint was skipped because of its load
  };
  class SetBuilder;

  /// Returns the endpoints that the read may be sent to, in order of preference.
  std::vector<Endpoint*> eligibleEndpoints(const PendingRequest& pending, Pool pool);
  void sortByLastUse(std::vector<Endpoint*>& endpoints, bool acceptsAnyData) const;
  /// Selects a read set; `set.candidates` stays empty if no endpoint is suitable.
  void select(const PendingRequest& pending, Pool pool, ReadSet& set);
  Candidate evaluate(const PendingRequest& pending, Endpoint& endpoint, double freshness) const;
  Route makeSendRoute(const PendingRequest& pending, const ReadSet& set);

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
