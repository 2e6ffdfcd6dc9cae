// The implementation of LoadBalancer: its components, and the requests without a final response.
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

/// Passes each event to the components and carries out their decisions. Owns the pending requests.
class LoadBalancer::Core {
 public:
  Core(const Settings& settings, std::uint64_t seed, ActionSink& sink);
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  /// Sets the time of the event that follows.
  Core& setTime(TimePoint now);

  void onEndpointList(EndpointListKind kind, const std::vector<EndpointUpdate>& updates);
  void onDiscoveryFailure(Duration sinceContact);
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
  /// Takes the next step of a request without an attempt in flight: sends an attempt, waits, or ends the
  /// request. Does nothing while an attempt is in flight.
  void advance(PendingRequest& pending);
  void send(PendingRequest& pending, Endpoint& endpoint);
  /// Lets the request wait until the state of its replica group changes, but not longer than `limit`.
  void wait(PendingRequest& pending, Duration limit);
  /// Takes the next step of all waiting requests of the group.
  void resumeWaiting(balancer::ReplicaGroup& group);
  void onWaitExpired(RequestId id);
  /// Ends a request with a rejection if that is safe, otherwise with a failure.
  void rejectOrFail(PendingRequest& pending, EndReason reason);
  /// Cancels the attempts in flight and erases the request.
  void finish(PendingRequest& pending);

  /// Removes the attempt from its endpoint. Returns std::nullopt if it is not in flight there.
  std::optional<InFlightAttempt> removeInFlight(Endpoint& endpoint, const AttemptOutcome& outcome);
  /// Updates the state of the endpoint, whether or not the request is still pending.
  void recordEndpointOutcome(Endpoint& endpoint, const InFlightAttempt& attempt,
                             const AttemptOutcome& outcome);
  /// Ends the request or takes its next step.
  void processRequestOutcome(PendingRequest& pending, const AttemptOutcome& outcome);

  /// Schedules the next tick if none is scheduled. Ticks continue only while attempts are in flight or
  /// requests wait.
  void startPolling();
  void scheduleTick();
  void onTick();
  void resumeWaitingGroups();
  /// Cancels the attempts that the endpoint has left unanswered for too long, so that they are retried.
  void retrySilentAttempts(Endpoint& endpoint);
  /// Cancels an attempt if its request may be sent to another endpoint. The next attempt is sent when the
  /// outcome of the cancelled one arrives.
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
  std::set<EndpointId> busyEndpoints_;  ///< endpoints with attempts in flight
  std::set<GroupId> waitingGroups_;     ///< groups in which requests wait, or have waited since the last tick
  bool tickScheduled_ = false;
  bool started_ = false;  ///< the first endpoint list has arrived
};

}  // namespace stonebay
