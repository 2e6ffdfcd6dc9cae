// The parts of a LoadBalancer, and the requests that are owed a final response.
#pragma once

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "balancer/discovery_polling.hpp"
#include "balancer/gossip_policy.hpp"
#include "balancer/replica_selection.hpp"
#include "balancer/write_routing.hpp"

namespace stonebay {

/// Joins the parts: events in, actions out. Owns the pending requests.
class LoadBalancer::Core {
 public:
  Core(const Settings& settings, std::uint64_t seed, ActionSink& sink);
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  /// Sets the present of the event that follows.
  Core& at(TimePoint now);

  void onEndpointList(EndpointListKind kind, const std::vector<EndpointUpdate>& updates);
  void onRequest(const Request& request);
  void onAttemptOutcome(const AttemptOutcome& outcome);
  void onClientLeft(RequestId id);
  void onHealthCheck(const HealthCheckResult& result);
  void onTimer(TimerToken token);
  void onGossip(const GossipMessage& message);
  bool isStillEligible(RequestId id, EndpointId endpoint);
  std::vector<EndpointId> removeDeparted() { return table_.removeDeparted(); }
  void shiftUnixTimes(Duration shift) {
    table_.shiftUnixTimes(shift);
    consistency_.shiftCommits(shift);
  }
  void setPositionEpoch(TimePoint epoch) { context_.settings.positionEpoch = epoch; }

 private:
  using PendingRequest = balancer::PendingRequest;
  using Endpoint = balancer::Endpoint;
  using InFlightAttempt = balancer::InFlightAttempt;

  PendingRequest* findPending(RequestId id);
  /// Takes the next step of a request that has no attempt out: an attempt, a wait, or its final response.
  void advance(PendingRequest& pending);
  void send(PendingRequest& pending, Endpoint& endpoint);
  /// Until something changes in the group, for `limit` at most.
  void wait(PendingRequest& pending, Duration limit);
  void serveWaiting(balancer::ReplicaGroup& group);
  void onWaitOver(RequestId id);
  void giveUp(PendingRequest& pending, EndReason reason);
  void close(PendingRequest& pending);

  std::optional<InFlightAttempt> takeInFlight(Endpoint& endpoint, const AttemptOutcome& outcome);
  /// What an outcome says of its endpoint, whether or not the request is still pending.
  void learn(Endpoint& endpoint, const InFlightAttempt& attempt, const AttemptOutcome& outcome);
  /// What an outcome means for its request.
  void settle(PendingRequest& pending, const AttemptOutcome& outcome);

  /// Runs only while attempts are in flight or requests wait.
  void scheduleTick();
  void onTick();
  void serveWaitingGroups();
  void retrySilentAttempts(Endpoint& endpoint);
  /// Cancels an attempt whose request can go elsewhere; its outcome brings the next attempt.
  void cancelForRetry(const InFlightAttempt& inFlight);

  balancer::Context context_;
  balancer::EndpointTable table_;
  balancer::SlowStart slowStart_;
  balancer::LatencyModel latencies_;
  balancer::ConsistencyPolicy consistency_;
  balancer::RetryPolicy retries_;
  balancer::HealthChecker healthChecker_;
  balancer::OutlierDetector outliers_;
  balancer::AdmissionControl admission_;
  balancer::ReplicaSelector reads_;
  balancer::WriteRouter writes_;
  balancer::GossipPolicy gossip_;
  balancer::DiscoveryPoller poller_;
  std::unordered_map<RequestId, PendingRequest> pending_;
  std::set<EndpointId> busyEndpoints_;  ///< with attempts in flight
  std::set<GroupId> waitingGroups_;     ///< with requests that wait, and some that had
  bool tickScheduled_ = false;
  bool started_ = false;  ///< the first list has come
};

}  // namespace stonebay
