// The records that a LoadBalancer keeps of endpoints, replica groups and requests.
#pragma once

#include <cstdint>
#include <vector>

#include "balancer/fixed_window.hpp"
#include "balancer/tuning.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay::balancer {

/// Stands for an instant that is not set; earlier than every valid instant.
constexpr TimePoint kNever{Duration(-1)};

/// The latency of one attempt.
struct LatencySample {
  double latency;  ///< microseconds; kNeverAnswered if there was no response
  int classIndex;
  double load;   ///< LatencyModel::loadOf() when the attempt was sent
  TimePoint at;  ///< when the attempt ended
};

using LatencyWindow = FixedWindow<LatencySample, kLatencyWindowSize>;

/// An attempt that has been sent to an endpoint and has not ended.
struct InFlightAttempt {
  RequestId request;
  int attempt;
  int classIndex;
  double load;  ///< LatencyModel::loadOf() when the attempt was sent
  TimePoint sentAt;
  bool knownStale;  ///< the endpoint's known position was older than the request required
};

/// The age of an endpoint's data at one instant.
struct PositionLag {
  TimePoint observedAt;
  Duration age;
};

/// The ejection state of an endpoint; owned by OutlierDetector.
struct Ejection {
  int consecutiveFailures = 0;
  TimePoint until = kNever;  ///< end of the ejection; after it, one trial request at a time
  Duration backoff{};        ///< duration of the next ejection
  bool failingFast = false;  ///< ejected because of error responses: the endpoint still responds
};

/// The latest health check of an endpoint; owned by HealthChecker.
struct HealthCheck {
  bool pending = false;
  TimePoint sentAt = kNever;
};

/// The latest load that an endpoint reported.
struct ReportedLoad {
  int inFlight = 0;
  TimePoint reportedAt = kNever;
};

/// When an endpoint was last broadcast; owned by GossipPolicy.
struct BroadcastTimes {
  TimePoint last = kNever;     ///< by any proxy
  TimePoint lastOwn = kNever;  ///< by this proxy
};

/// A primary and its replicas.
struct ReplicaGroup {
  std::vector<EndpointId> endpoints;  ///< ascending: the order in which primary discovery tries them
  EndpointId primary = 0;             ///< 0 means unknown
  TimePoint lastFaultAt = kNever;
  TimePoint primaryRequestedAt = kNever;  ///< when a write was last routed
  RequestId discoveryRequest = 0;         ///< the write that is tried to find the primary; 0 means none
  /// Version of the endpoint list in which all endpoints have been tried without finding the primary.
  std::uint64_t discoveryExhaustedVersion = 0;
  std::vector<RequestId> waitingRequests;

  /// Returns whether the record may be erased.
  bool isUnused() const { return endpoints.empty() && waitingRequests.empty() && discoveryRequest == 0; }
};

/// An endpoint and what is known about it.
struct Endpoint {
  EndpointUpdate info;
  ReplicaGroup* replicaGroup = nullptr;  ///< owned by EndpointTable, which keeps it while it has endpoints
  bool drainingObserved = false;         ///< the last listed state other than Removed was Draining
  TimePoint departedAt = kNever;         ///< when the endpoint left the list
  TimePoint roleObservedAt = kNever;     ///< the instant at which the newest known role was valid
  TimePoint position = kNever;           ///< the endpoint has applied at least all commits up to here
  FixedWindow<PositionLag, kPositionWindowSize> positionLags;
  LatencyWindow freshSamples;  ///< of attempts without InFlightAttempt::knownStale
  LatencyWindow staleSamples;  ///< of attempts with InFlightAttempt::knownStale
  std::vector<InFlightAttempt> inFlight;
  TimePoint lastUsedAt = kNever;            ///< the least recently used endpoint is selected first
  TimePoint lastAnswerAt = kNever;          ///< last attempt that ended as Ok, TooStale or Rejected
  TimePoint lastResponseAt = kNever;        ///< last such attempt, answered health check or gossip
  TimePoint latestAnsweredSentAt = kNever;  ///< latest send time among the successful attempts
  Ejection ejection;
  HealthCheck healthCheck;
  ReportedLoad load;
  BroadcastTimes broadcast;
  std::uint64_t tieBreaker = 0;  ///< orders endpoints that are otherwise equal; differs between proxies

  bool isPrimary() const { return replicaGroup->primary == info.id; }
  /// Discards latencies and ejection, which do not apply to a new process.
  void resetHistory() {
    freshSamples.clear();
    staleSamples.clear();
    ejection = Ejection();
  }
};

/// One attempt of a pending request.
struct Attempt {
  EndpointId endpoint;
  TimePoint sentAt;
  bool inFlight = true;
  bool cancelled = false;
};

/// A request without a final response so far.
struct PendingRequest {
  Request request;
  TimePoint arrivedAt{};
  TimePoint requiredCommit = kNever;  ///< ReadYourWrites and Strong: the data must include this commit
  std::vector<Attempt> attempts;
  std::vector<EndpointId> attemptedEndpoints;  ///< not to be tried again in the current round
  int outstandingAttempts = 0;                 ///< number of attempts that have not ended
  bool reachedEndpoint = false;    ///< some attempt was sent over a connection, whatever its result
  bool maybeExecuted = false;      ///< some attempt may have been executed
  TimePoint maybeExecutedAt{};     ///< send time of the earliest such attempt
  EndpointId maybeExecutedOn = 0;  ///< endpoint of the earliest such attempt
  bool waiting = false;            ///< in ReplicaGroup::waitingRequests
  bool healthChecksSent = false;   ///< for the next attempt

  int attemptCount() const { return static_cast<int>(attempts.size()); }
};

/// The decision about the next step of a pending request.
struct Route {
  enum class Action {
    Send,                 ///< send an attempt to each of `endpoints`
    Wait,                 ///< wait until an endpoint may become available
    WaitForHealthChecks,  ///< wait for the health checks that were sent for this request
    Shed                  ///< end the request: the endpoints have too much load
  };
  Action action = Action::Wait;
  std::vector<Endpoint*> endpoints{};
};

}  // namespace stonebay::balancer
