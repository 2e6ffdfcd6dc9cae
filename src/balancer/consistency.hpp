// How fresh an endpoint's data has to be for a request, and how likely it is to be.
#pragma once

#include <optional>

#include "balancer/endpoint_table.hpp"
#include "balancer/session_commits.hpp"

namespace stonebay::balancer {

/// Whether the endpoint's known position falls short of the required one; `kNever`: any position will do.
bool isKnownStale(const Endpoint& endpoint, TimePoint required);

/// Owns the commits of sessions that do not carry them themselves.
class ConsistencyPolicy {
 public:
  ConsistencyPolicy(const Context& context, EndpointTable& table);

  /// The instant that an endpoint's data must reach if the request is sent now; kNever: any data will do.
  TimePoint requiredPosition(const PendingRequest& pending) const;
  void setRequiredCommit(PendingRequest& pending);
  void recordCommit(const PendingRequest& pending, const AttemptOutcome& outcome);
  /// The commits that came so far were converted by a clock that was wrong by so much.
  void shiftCommits(Duration shift);

  /// The staleness factor of the paper: the share of recent position samples that were new enough, 1 where
  /// the position proves it. Nothing: the endpoint would answer from old data, so that only a proof will do.
  std::optional<double> freshnessProbability(const Endpoint& endpoint, TimePoint required) const;
  /// The tightest bound on staleness of any class; 1 s where there is none.
  Duration tightestStaleness() const { return tightestStaleness_; }

 private:
  void evictSessions();

  const Context& context_;
  EndpointTable& table_;
  SessionCommits commits_;
  Duration tightestStaleness_;
};

}  // namespace stonebay::balancer
