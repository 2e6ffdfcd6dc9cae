#include "balancer/replica_selection.hpp"

#include <algorithm>
#include <optional>
#include <tuple>

namespace stonebay::balancer {

// Collects candidates and computes whether their joint probability of an answer in time reaches the target.
class ReplicaSelector::SetBuilder {
 public:
  // With `excludeBest`, the set must reach the target without its best member, because a recent fault shows
  // that even the best one may fail.
  SetBuilder(bool excludeBest, std::vector<Candidate>& set) : excludeBest_(excludeBest), set_(set) {}

  void add(const Candidate& candidate) {
    const double miss = std::max(candidate.missProbability, kMinMissProbability);
    set_.push_back(candidate);
    jointMissProbability_ *= miss;
    lowestMissProbability_ = std::min(lowestMissProbability_, miss);
  }
  bool reachesTarget() const {
    const double relevant =
        excludeBest_ ? jointMissProbability_ / std::max(lowestMissProbability_, kMinMissProbability)
                     : jointMissProbability_;
    return 1 - relevant >= kTargetProbability;
  }

 private:
  static constexpr double kMinMissProbability = 1e-9;

  const bool excludeBest_;
  std::vector<Candidate>& set_;
  double jointMissProbability_ = 1;
  double lowestMissProbability_ = 1;
};

std::vector<Endpoint*> ReplicaSelector::eligibleEndpoints(const PendingRequest& pending, Pool pool) {
  const double costShare = latencies_.costShare(pending.request.classIndex);
  std::vector<Endpoint*> eligible;
  for (const EndpointId id : table_.group(pending.request.group).endpoints) {
    Endpoint& endpoint = table_.at(id);
    const bool isLastResort = pool == Pool::FailingFast && endpoint.ejection.failingFast;
    if (!table_.isRoutable(endpoint) || !(outliers_.isHealthy(endpoint) || isLastResort)) continue;
    if (!retries_.mayAttempt(pending, endpoint)) continue;
    if (slowStart_.isWithinBudget(endpoint, pending.request.id, costShare)) eligible.push_back(&endpoint);
  }
  sortByLastUse(eligible, consistency_.requiredPosition(pending) == kNever);
  return eligible;
}

// Least recently used first. Both sends and answers count as use; if only answers did, all reads of a burst
// would be sent to the same endpoint. A read that accepts any data prefers lagging endpoints and leaves the
// up-to-date ones to the reads that need them; otherwise its load would make these lag, too.
void ReplicaSelector::sortByLastUse(std::vector<Endpoint*>& endpoints, bool acceptsAnyData) const {
  const auto isLagging = [&](const Endpoint* endpoint) {
    const auto& lags = endpoint->positionLags;
    return !lags.empty() && lags.back().age > consistency_.tightestStaleness();
  };
  std::sort(endpoints.begin(), endpoints.end(), [&](const Endpoint* left, const Endpoint* right) {
    if (acceptsAnyData && isLagging(left) != isLagging(right)) return isLagging(left);
    return std::tie(left->lastUsedAt, left->tieBreaker) < std::tie(right->lastUsedAt, right->tieBreaker);
  });
}

ReplicaSelector::Candidate ReplicaSelector::evaluate(const PendingRequest& pending, Endpoint& endpoint,
                                                     double freshness) const {
  const int classIndex = pending.request.classIndex;
  Duration budget = pending.arrivedAt + context_.classOf(pending).latencyObjective - context_.now;
  if (budget <= Duration(0)) budget = std::max(pending.request.deadline - context_.now, Duration(1));
  const LatencyEstimate fresh =
      latencies_.estimate(endpoint, endpoint.freshSamples, classIndex, budget, MissScope::All);
  Candidate candidate{&endpoint, fresh.missProbability * freshness, fresh.expectedLatency};
  if (freshness < 1 && !endpoint.staleSamples.empty()) {
    const LatencyEstimate stale =
        latencies_.estimate(endpoint, endpoint.staleSamples, classIndex, budget, MissScope::All);
    candidate.missProbability += stale.missProbability * (1 - freshness);
  }
  return candidate;
}

// Endpoints with too much load for the read are skipped, because the next one in order may be idle.
void ReplicaSelector::select(const PendingRequest& pending, Pool pool, ReadSet& set) {
  const ReplicaGroup& group = table_.group(pending.request.group);
  const TimePoint required = consistency_.requiredPosition(pending);
  std::vector<Candidate> replicas;
  std::optional<Candidate> primary;
  for (Endpoint* endpoint : eligibleEndpoints(pending, pool)) {
    const std::optional<double> freshness = consistency_.freshnessProbability(*endpoint, required);
    if (!freshness || (pool == Pool::FailingFast && !endpoint->ejection.failingFast)) continue;
    if (!admission_.isAdmissible(pending, *endpoint)) {
      set.overloaded = true;
      continue;
    }
    const Candidate candidate = evaluate(pending, *endpoint, *freshness);
    if (endpoint->isPrimary())
      primary = candidate;
    else
      replicas.push_back(candidate);
  }
  const bool hasRecentFault = group.lastFaultAt != kNever && context_.now - group.lastFaultAt < kFaultWindow;
  set.candidates.clear();
  SetBuilder builder(hasRecentFault, set.candidates);
  for (const Candidate& replica : replicas) {
    builder.add(replica);
    if (builder.reachesTarget()) break;
  }
  const bool isBelowTarget = set.candidates.empty() || !builder.reachesTarget();
  if (primary && !set.overloaded && isBelowTarget) builder.add(*primary);
  const auto isMorePromising = [](const Candidate& left, const Candidate& right) {
    return std::tie(left.missProbability, left.expectedLatency) <
           std::tie(right.missProbability, right.expectedLatency);
  };
  std::stable_sort(set.candidates.begin(), set.candidates.end(), isMorePromising);
}

bool ReplicaSelector::hasAlternative(const PendingRequest& pending) {
  ReadSet set;
  select(pending, Pool::Healthy, set);
  return !set.candidates.empty();
}

Route ReplicaSelector::route(PendingRequest& pending) {
  if (healthChecker_.checkBeforeSend(pending, eligibleEndpoints(pending, Pool::Healthy)))
    return {Route::Action::WaitForHealthChecks};
  ReadSet set;
  select(pending, Pool::Healthy, set);
  if (set.candidates.empty() && !set.overloaded && !pending.attemptedEndpoints.empty()) {
    pending.attemptedEndpoints.clear();  // all have been attempted: start another round
    select(pending, Pool::Healthy, set);
  }
  if (set.candidates.empty()) select(pending, Pool::FailingFast, set);
  if (set.candidates.empty()) {
    pending.attemptedEndpoints.clear();
    select(pending, Pool::FailingFast, set);
  }
  if (set.candidates.empty()) return {set.overloaded ? Route::Action::Shed : Route::Action::Wait};
  return makeSendRoute(pending, set);
}

// Sends the read to the best candidate. The first attempt of an idempotent read is sent to further candidates
// as well, if hedging is allowed and as far as its budget suffices.
Route ReplicaSelector::makeSendRoute(const PendingRequest& pending, const ReadSet& set) {
  Route route{Route::Action::Send, {set.candidates.front().endpoint}};
  const bool isIdempotent = context_.classOf(pending).idempotency == Idempotency::Idempotent;
  if (!context_.settings.hedgingAllowed || !isIdempotent || !pending.attempts.empty()) return route;
  const std::size_t limit = std::min(set.candidates.size(), index(context_.settings.maxAttempts));
  for (std::size_t k = 1; k < limit && retries_.tryTakeHedgingToken(); ++k)
    route.endpoints.push_back(set.candidates[k].endpoint);
  return route;
}

}  // namespace stonebay::balancer
