#include "balancer/consistency.hpp"

#include <algorithm>
#include <cmath>

namespace stonebay::balancer {
namespace {

Duration tightestStalenessOf(const Settings& settings) {
  Duration tightest = Duration::max();
  for (const ClassSettings& requestClass : settings.classes) {
    if (requestClass.consistency != Consistency::BoundedStaleness) continue;
    tightest = std::min(tightest, requestClass.maxStaleness);
  }
  return tightest == Duration::max() ? seconds(1) : tightest;
}

}  // namespace

ConsistencyPolicy::ConsistencyPolicy(const Context& context, EndpointTable& table)
    : context_(context), table_(table), tightestStaleness_(tightestStalenessOf(context.settings)) {}

TimePoint ConsistencyPolicy::requiredPosition(const PendingRequest& pending) const {
  const ClassSettings& requestClass = context_.classOf(pending);
  const bool isBounded = requestClass.consistency == Consistency::BoundedStaleness;
  return isBounded ? context_.now - requestClass.maxStaleness : pending.requiredCommit;
}

void ConsistencyPolicy::setRequiredCommit(PendingRequest& pending) {
  const Consistency consistency = context_.classOf(pending).consistency;
  if (consistency == Consistency::Strong) pending.requiredCommit = context_.now;
  if (consistency != Consistency::ReadYourWrites) return;
  const Request& request = pending.request;
  if (!context_.settings.requestsCarrySessionToken) {
    pending.requiredCommit = commits_.find(request.session).value_or(evictedCommit_);
  } else if (request.sessionTokenAgeMs > 0) {
    // Rounding to 32 bits may have increased the age. With the next smaller number the required position is
    // never too old.
    const double age = static_cast<double>(std::nextafterf(request.sessionTokenAgeMs, 0.0F)) * 1e3;
    const double bounded = std::min(age, static_cast<double>(context_.now.time_since_epoch().count()));
    pending.requiredCommit = context_.now - Duration(static_cast<std::int64_t>(bounded));
  }
}

void ConsistencyPolicy::recordCommit(const PendingRequest& pending, const AttemptOutcome& outcome) {
  if (context_.settings.requestsCarrySessionToken || !context_.isWrite(pending)) return;
  if (pending.request.session == 0) return;
  commits_.record(pending.request.session, outcome.position.value_or(context_.now));
  if (commits_.size() > kMaxRememberedSessions) evictSessions();
}

void ConsistencyPolicy::shiftCommits(Duration shift) {
  commits_.shiftAll(shift);
  if (evictedCommit_ != kNever) evictedCommit_ += shift;
}

// Reads of forgotten sessions must not become stale: they require the latest commit of all sessions.
void ConsistencyPolicy::evictSessions() { evictedCommit_ = std::max(evictedCommit_, commits_.evictAll()); }

bool isKnownStale(const Endpoint& endpoint, TimePoint required) {
  return required != kNever && !endpoint.isPrimary() && endpoint.position < required;
}

std::optional<double> ConsistencyPolicy::freshnessProbability(const Endpoint& endpoint,
                                                              TimePoint required) const {
  if (!isKnownStale(endpoint, required)) return 1;
  if (context_.settings.staleReadPolicy == StaleReadPolicy::Serve) return std::nullopt;
  const Duration tolerated = context_.now - required;
  double fresh = 0;
  double observed = 0;
  for (const PositionLag& lag : endpoint.positionLags) {
    if (lag.observedAt + kMaxSampleAge < context_.now) continue;
    observed += 1;
    if (lag.age <= tolerated) fresh += 1;
  }
  return observed > 0 ? fresh / observed : 0.5;
}

}  // namespace stonebay::balancer
