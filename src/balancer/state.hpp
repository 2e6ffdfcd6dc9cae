// What a LoadBalancer remembers: plain records, without any decision.
#pragma once

#include <cstdint>
#include <vector>

#include "balancer/fixed_window.hpp"
#include "balancer/tuning.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay::balancer {

/// An instant that has not come.
constexpr TimePoint kNever{Duration(-1)};

/// The latency of one attempt.
struct LatencySample {
  double latency;  ///< microseconds; infinite: never answered
  int classIndex;
  double load;   ///< requests at the endpoint when the attempt was sent
  TimePoint at;  ///< when it ended
};

using LatencyWindow = FixedWindow<LatencySample, kLatencyWindowSize>;

/// An attempt that has been sent to an endpoint and has not ended.
struct InFlightAttempt {
  RequestId request;
  int attempt;
  int classIndex;
  double load;  ///< requests at the endpoint when it was sent
  TimePoint sentAt;
  bool knownStale;  ///< the endpoint's known position was older than the request requires
};

/// How old an endpoint's data was at some instant.
struct PositionLag {
  TimePoint observedAt;
  Duration age;
};

/// Whether an endpoint is ejected; owned by OutlierDetector.
struct Ejection {
  int consecutiveFailures = 0;
  TimePoint until = kNever;  ///< ejected until then, afterwards one trial request at a time
  Duration backoff{};
  bool failingFast = false;  ///< ejected for errors alone: it answers
};

/// The health check of an endpoint; owned by HealthChecker.
struct HealthCheck {
  bool pending = false;
  TimePoint sentAt = kNever;
};

/// The load that an endpoint reported.
struct ReportedLoad {
  int inFlight = 0;
  TimePoint reportedAt = kNever;
};

/// When the proxies last heard of an endpoint by gossip; owned by GossipPolicy.
struct BroadcastTimes {
  TimePoint last = kNever;     ///< from this proxy or another
  TimePoint lastOwn = kNever;  ///< from this one
};

/// A primary and its replicas.
struct ReplicaGroup {
  std::vector<EndpointId> endpoints;  ///< ascending: the order in which writes look for a primary
  EndpointId primary = 0;             ///< 0: none known
  TimePoint lastFaultAt = kNever;
  TimePoint primaryWantedAt = kNever;
  RequestId discoveryRequest = 0;          ///< the one write that looks for the primary; 0: none
  std::uint64_t discoveryExhaustedIn = 0;  ///< version of the list whose endpoints it has all tried in vain
  TimePoint evictedCommit = kNever;  ///< sessions that are no longer remembered may have written until then
  std::vector<RequestId> waiting;

  /// Nothing of it has to be kept.
  bool isUnused() const {
    return endpoints.empty() && waiting.empty() && discoveryRequest == 0 && evictedCommit == kNever;
  }
};

/// An endpoint, and what is known of it.
struct Endpoint {
  EndpointUpdate info;
  ReplicaGroup* replicaGroup = nullptr;  ///< that info names; owned by EndpointTable, which keeps it as long
  bool drainingObserved = false;
  TimePoint departedAt = kNever;      ///< when the list first lacked it
  TimePoint roleObservedAt = kNever;  ///< when the newest evidence of its role was true
  TimePoint position = kNever;  ///< it has applied all commits up to here; a lower bound that only grows
  FixedWindow<PositionLag, kPositionWindowSize> positionLags;
  LatencyWindow freshSamples;  ///< of attempts that were not known stale
  LatencyWindow staleSamples;  ///< of those that were
  std::vector<InFlightAttempt> inFlight;
  TimePoint lastUsedAt = kNever;
  TimePoint lastAnswerAt = kNever;          ///< to a request
  TimePoint lastResponseAt = kNever;        ///< of any kind: answers to health checks and gossip included
  TimePoint latestAnsweredSentAt = kNever;  ///< when the youngest of the answered attempts was sent
  Ejection ejection;
  HealthCheck healthCheck;
  ReportedLoad load;
  BroadcastTimes broadcast;
  std::uint64_t tieBreaker = 0;  ///< this proxy's own order of endpoints that are alike

  bool isPrimary() const { return replicaGroup->primary == info.id; }
  /// A new process has started: nothing of the former one's latencies and health holds on.
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
  bool open = true;
  bool cancelled = false;
};

/// A request that is owed its final response.
struct PendingRequest {
  Request request;
  TimePoint arrivedAt{};
  TimePoint requiredCommit = kNever;  ///< ReadYourWrites and Strong: data must reach this
  std::vector<Attempt> attempts;
  std::vector<EndpointId> attemptedEndpoints;
  int outstandingAttempts = 0;
  bool reachedEndpoint = false;  ///< some endpoint has had it, whatever came of it
  bool maybeExecuted = false;    ///< some attempt may have run
  TimePoint maybeExecutedAt{};   ///< when the earliest such attempt was sent, and where
  EndpointId maybeExecutedOn = 0;
  bool waiting = false;
  bool healthChecksSent = false;  ///< for its next attempt

  int attemptCount() const { return static_cast<int>(attempts.size()); }
};

/// What to do with a pending request.
struct Route {
  enum class Action { Send, Wait, WaitForHealthChecks, GiveUp };
  Action action = Action::Wait;
  std::vector<Endpoint*> endpoints{};  ///< Send: all of these
};

}  // namespace stonebay::balancer
