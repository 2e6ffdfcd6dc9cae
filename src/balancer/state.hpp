// What a LoadBalancer remembers: plain records, without any decision.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// An instant that has not come.
constexpr Time never{-1};

/// The latency of one attempt.
struct LatencySample {
  double latency;  ///< microseconds; infinite: never answered
  int classIndex;
  double load;  ///< requests at the endpoint when the attempt was sent
  Time at;      ///< when it ended
};

/// An attempt that has been sent to an endpoint and has not ended.
struct InFlightAttempt {
  RequestId request;
  int attempt;
  int classIndex;
  double load;  ///< requests at the endpoint when it was sent
  Time sentAt;
  bool knownStale;  ///< the endpoint's known position was older than the request requires
};

/// An endpoint, and what is known of it.
struct Endpoint {
  EndpointUpdate info;
  bool drainingObserved = false;
  Time departedAt = never;  ///< when the list first lacked it
  Role role = Role::Unknown;
  Time roleObservedAt = never;  ///< when the newest evidence of its role was true
  Time position = never;        ///< it has applied all commits up to here; a lower bound that only grows
  std::vector<std::pair<Time, Time>> positionLags;        ///< (observed at, age of the position then)
  std::vector<LatencySample> freshSamples, staleSamples;  ///< of attempts that were not, or were, known stale
  Time lastAnswerAt = never, lastUsedAt = never;
  Time latestAnsweredSentAt = never;  ///< when the youngest of the answered attempts was sent
  std::vector<InFlightAttempt> inFlight;
  int consecutiveFailures = 0;
  Time ejectedUntil = never;  ///< ejected until then, then one trial request at a time
  Time ejectionBackoff{};
  bool failingFast = false;  ///< ejected for errors alone: it answers
  bool healthCheckPending = false;
  Time healthCheckSentAt = never;
  Time lastResponseAt = never;  ///< of any kind, answers to health checks included
  int reportedInFlight = 0;     ///< requests at the endpoint, by its newest load report
  Time loadReportedAt = never;
  Time lastBroadcastAt = never;     ///< when the proxies last heard of it, from this one or another
  Time lastOwnBroadcastAt = never;  ///< when they did from this one
  std::uint64_t tieBreaker = 0;     ///< this proxy's own order of endpoints that are alike
};

/// A primary and its replicas.
struct ReplicaGroup {
  std::vector<EndpointId> endpoints;  ///< ascending: the order in which writes look for a primary
  EndpointId primary = 0;             ///< 0: none known
  Time lastFaultAt = never;
  Time primaryWantedAt = never;
  RequestId discoveryRequest = 0;   ///< the one write that looks for the primary; 0: none
  bool discoveryExhausted = false;  ///< it has tried all endpoints in vain
  Time evictedCommit = never;       ///< sessions that are no longer remembered may have written until then
  std::vector<RequestId> waiting;
};

/// One attempt of a pending request.
struct Attempt {
  EndpointId endpoint;
  Time sentAt;
  bool open = true;
  bool cancelled = false;
};

/// A request that is owed its final response.
struct PendingRequest {
  Request request;
  Time arrivedAt{};
  Time requiredCommit = never;  ///< ReadYourWrites and Strong: data must reach this
  std::vector<Attempt> attempts;
  std::vector<EndpointId> attemptedEndpoints;
  int outstandingAttempts = 0;
  bool reachedEndpoint = false;  ///< some endpoint has had it, whatever came of it
  bool maybeExecuted = false;    ///< some attempt may have run
  Time maybeExecutedAt{};        ///< when the earliest such attempt was sent, and where
  EndpointId maybeExecutedOn = 0;
  bool waiting = false;
  bool healthChecksSent = false;  ///< for its next attempt
};

/// An endpoint that a read may go to.
struct Candidate {
  Endpoint* endpoint;
  double missProbability;  ///< of no response within the budget
  double expectedLatency;  ///< microseconds
};

}  // namespace stonebay
