// The position that a request requires, and the probability that an endpoint has reached it.
#pragma once

#include <optional>

#include "balancer/endpoint_table.hpp"
#include "balancer/session_commits.hpp"

namespace stonebay::balancer {

/// Returns whether the endpoint's known position is older than the required one. `required` kNever means that
/// any position suffices.
bool isKnownStale(const Endpoint& endpoint, TimePoint required);

/// Determines required positions. Owns the last commits of sessions whose requests do not carry them.
class ConsistencyPolicy {
 public:
  ConsistencyPolicy(const Context& context, EndpointTable& table);

  /// Returns the position that an endpoint must have reached if the request is sent now; kNever means that
  /// any position suffices.
  TimePoint requiredPosition(const PendingRequest& pending) const;
  /// Sets PendingRequest::requiredCommit; called once, when the request arrives.
  void setRequiredCommit(PendingRequest& pending);
  /// Records the commit of a successful write for its session.
  void recordCommit(const PendingRequest& pending, const AttemptOutcome& outcome);
  /// Adds `shift` to all commits recorded so far; see LoadBalancer::shiftUnixTimes().
  void shiftCommits(Duration shift);

  /// Returns the probability that the endpoint's data is new enough (the staleness factor of the paper that
  /// replica_selection.hpp describes): 1 if its known position proves it, otherwise the share of its recent
  /// position samples that were new enough, or 0.5 without samples. Returns std::nullopt if there is no proof
  /// and the endpoint would answer from old data, so that the read must not be sent there.
  std::optional<double> freshnessProbability(const Endpoint& endpoint, TimePoint required) const;
  /// Returns the smallest ClassSettings::maxStaleness of all classes; 1 s if no class has one.
  Duration tightestStaleness() const { return tightestStaleness_; }

 private:
  /// Replaces the commits of all sessions by one commit per replica group.
  void evictSessions();

  const Context& context_;
  EndpointTable& table_;
  SessionCommits commits_;
  TimePoint evictedCommit_ = kNever;  // latest commit of all sessions that are no longer remembered
  Duration tightestStaleness_;
};

}  // namespace stonebay::balancer
