#include "balancer/replica_selection.hpp"

#include <algorithm>
#include <optional>
#include <tuple>

namespace stonebay::balancer {

// Adds candidates until their combined chance reaches the target.
class ReplicaSelector::SetBuilder {
 public:
  // `leaveBestOut`: the set must reach the target without its best member, since there was a fault lately.
  SetBuilder(bool leaveBestOut, std::vector<Candidate>& set) : leaveBestOut_(leaveBestOut), set_(set) {}

  void add(const Candidate& candidate) {
    const double miss = std::max(candidate.missProbability, kMinMissProbability);
    set_.push_back(candidate);
    allMiss_ *= miss;
    lowestMiss_ = std::min(lowestMiss_, miss);
  }
  bool reachesTarget() const {
    const double relevant = leaveBestOut_ ? allMiss_ / std::max(lowestMiss_, kMinMissProbability) : allMiss_;
    return 1 - relevant >= kTargetProbability;
  }

 private:
  static constexpr double kMinMissProbability = 1e-9;

  const bool leaveBestOut_;
  std::vector<Candidate>& set_;
  double allMiss_ = 1;
  double lowestMiss_ = 1;
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
  sortByUse(eligible, consistency_.requiredPosition(pending) == kNever);
  return eligible;
}

// Least recently used first. A send counts as use: by answers alone a burst would all go to one endpoint. A
// read for which any data will do leaves the fresh endpoints to those that need them, so that a lag does not
// spread.
void ReplicaSelector::sortByUse(std::vector<Endpoint*>& endpoints, bool anyDataWillDo) const {
  const auto isLagging = [&](const Endpoint* endpoint) {
    const auto& lags = endpoint->positionLags;
    return !lags.empty() && lags.back().age > consistency_.tightestStaleness();
  };
  std::sort(endpoints.begin(), endpoints.end(), [&](const Endpoint* left, const Endpoint* right) {
    if (anyDataWillDo && isLagging(left) != isLagging(right)) return isLagging(left);
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

// Endpoints that are too loaded for the read are passed over: the next in turn may be idle.
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
  const bool faultLately = group.lastFaultAt != kNever && context_.now - group.lastFaultAt < kFaultWindow;
  set.candidates.clear();
  SetBuilder builder(faultLately, set.candidates);
  for (const Candidate& replica : replicas) {
    builder.add(replica);
    if (builder.reachesTarget()) break;
  }
  const bool fallsShort = set.candidates.empty() || !builder.reachesTarget();
  if (primary && !set.overloaded && fallsShort) builder.add(*primary);
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
    pending.attemptedEndpoints.clear();  // all have been attempted: another round
    select(pending, Pool::Healthy, set);
  }
  if (set.candidates.empty()) select(pending, Pool::FailingFast, set);
  if (set.candidates.empty()) {
    pending.attemptedEndpoints.clear();
    select(pending, Pool::FailingFast, set);
  }
  if (set.candidates.empty()) return {set.overloaded ? Route::Action::GiveUp : Route::Action::Wait};
  return routeTo(pending, set);
}

// The best one, and hedged requests to the others of the set where these are allowed and earned.
Route ReplicaSelector::routeTo(const PendingRequest& pending, const ReadSet& set) {
  Route route{Route::Action::Send, {set.candidates.front().endpoint}};
  const bool isIdempotent = context_.classOf(pending).idempotency == Idempotency::Idempotent;
  if (!context_.settings.hedgingAllowed || !isIdempotent || !pending.attempts.empty()) return route;
  const std::size_t limit = std::min(set.candidates.size(), index(context_.settings.maxAttempts));
  for (std::size_t k = 1; k < limit && retries_.tryTakeHedgingToken(); ++k)
    route.endpoints.push_back(set.candidates[k].endpoint);
  return route;
}

}  // namespace stonebay::balancer
