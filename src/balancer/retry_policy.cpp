#include "balancer/retry_policy.hpp"

#include <algorithm>
#include <cmath>

namespace stonebay::balancer {

namespace {

// With every other status the attempt is known not to have been executed.
bool mayHaveExecuted(AttemptStatus status) {
  return status != AttemptStatus::Rejected && status != AttemptStatus::ConnectFailed &&
         status != AttemptStatus::NotSent && status != AttemptStatus::TooStale;
}

}  // namespace

bool RetryPolicy::mayAttempt(const PendingRequest& pending, const Endpoint& endpoint) const {
  const std::vector<EndpointId>& attempted = pending.attemptedEndpoints;
  if (std::find(attempted.begin(), attempted.end(), endpoint.info.id) != attempted.end()) return false;
  return isSafeToSend(pending, endpoint);
}

bool RetryPolicy::isSafeToSend(const PendingRequest& pending, const Endpoint& endpoint) const {
  const ClassSettings& requestClass = context_.classOf(pending);
  if (!pending.maybeExecuted || requestClass.idempotency == Idempotency::Idempotent) return true;
  if (requestClass.idempotency == Idempotency::NonIdempotent || isDeduplicationOver(pending)) return false;
  const Endpoint* const first = table_.find(pending.maybeExecutedOn);
  if (!first) return false;
  const DeduplicationScope scope = requestClass.deduplicationScope;
  if (scope == DeduplicationScope::All) return true;
  if (scope == DeduplicationScope::Zone) return first->info.zone == endpoint.info.zone;
  return first->info.group == endpoint.info.group;
}

// Attempts that were cancelled, rejected, too stale or not sent are exempt, as are failures within
// kImmediateFailureShare of the baseline latency.
bool RetryPolicy::isExemptFromRetryBudget(const Attempt& attempt, AttemptStatus status,
                                          double baselineLatency) const {
  if (attempt.cancelled) return true;
  if (!mayHaveExecuted(status) && status != AttemptStatus::ConnectFailed) return true;
  const bool failed = status == AttemptStatus::Error || status == AttemptStatus::Reset ||
                      status == AttemptStatus::ConnectFailed;
  const auto duration = static_cast<double>((context_.now - attempt.sentAt).count());
  return failed && duration < baselineLatency * kImmediateFailureShare;
}

std::optional<EndReason> RetryPolicy::reasonToStop(const PendingRequest& pending) const {
  const bool isRepeatable = context_.classOf(pending).idempotency != Idempotency::NonIdempotent;
  if (isExhausted(pending)) return EndReason::AttemptsExhausted;
  if (pending.maybeExecuted && (!isRepeatable || isDeduplicationOver(pending)))
    return EndReason::NotRetryable;
  return std::nullopt;
}

std::optional<TimePoint> RetryPolicy::deduplicationEnd(const PendingRequest& pending) const {
  const ClassSettings& requestClass = context_.classOf(pending);
  const bool isDeduplicated = requestClass.idempotency == Idempotency::IdempotencyKey;
  if (!isDeduplicated || !pending.maybeExecuted) return std::nullopt;
  return pending.maybeExecutedAt + requestClass.deduplicationWindow;
}

bool RetryPolicy::isDeduplicationOver(const PendingRequest& pending) const {
  const std::optional<TimePoint> end = deduplicationEnd(pending);
  return end && context_.now >= *end;
}

TimePoint RetryPolicy::latestArrival(const PendingRequest& pending) const {
  const TimePoint deadline = pending.request.deadline;
  return std::min(deduplicationEnd(pending).value_or(deadline), deadline);
}

bool RetryPolicy::mayCancelForRetry(const PendingRequest& pending, const Attempt& attempt) const {
  const bool isIdempotent = context_.classOf(pending).idempotency == Idempotency::Idempotent;
  const bool isCancellable = context_.settings.cancellationAllowed && !attempt.cancelled;
  return isIdempotent && isCancellable && retryBudget_.hasToken() && !isExhausted(pending);
}

void RetryPolicy::recordOutcome(PendingRequest& pending, const AttemptOutcome& outcome) {
  Attempt& attempt = pending.attempts[index(outcome.attempt)];
  attempt.inFlight = false;
  --pending.outstandingAttempts;
  if (outcome.status != AttemptStatus::ConnectFailed && outcome.status != AttemptStatus::NotSent)
    pending.reachedEndpoint = true;
  const bool isEarliest = !pending.maybeExecuted || attempt.sentAt < pending.maybeExecutedAt;
  if (!mayHaveExecuted(outcome.status) || !isEarliest) return;
  pending.maybeExecuted = true;
  pending.maybeExecutedAt = attempt.sentAt;
  pending.maybeExecutedOn = attempt.endpoint;
}

bool RetryPolicy::tryTakeRetryTokenFor(const PendingRequest& pending, const AttemptOutcome& outcome,
                                       double baselineLatency) {
  if (pending.outstandingAttempts > 0 || context_.now >= pending.request.deadline) return true;
  const Attempt& attempt = pending.attempts[index(outcome.attempt)];
  return isExemptFromRetryBudget(attempt, outcome.status, baselineLatency) || retryBudget_.tryTake();
}

void RetryPolicy::recordArrival() {
  const double retained = std::exp(-ratio(context_.now - lastArrivalAt_, kBudgetDecay));
  lastArrivalAt_ = context_.now;
  retryBudget_.deposit(kRetryBudgetRatio, retained);
  hedgingBudget_.deposit(kHedgingBudgetRatio, retained);
}

}  // namespace stonebay::balancer
