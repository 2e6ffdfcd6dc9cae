// Rules and budgets for retries and hedged requests.
#pragma once

#include <optional>

#include "balancer/endpoint_table.hpp"
#include "balancer/token_budget.hpp"

namespace stonebay::balancer {

/// Decides which attempts a request may have. Owns the retry budget and the hedging budget.
class RetryPolicy {
 public:
  RetryPolicy(const Context& context, EndpointTable& table) : context_(context), table_(table) {}

  /// Returns whether a request may be sent to an endpoint, given its idempotency and its earlier attempts.
  bool mayAttempt(const PendingRequest& pending, const Endpoint& endpoint) const;
  /// Returns whether a send to an endpoint now cannot execute a request twice, given its idempotency and the
  /// earlier attempts that may have been executed. The answer changes with time, so an attempt that was
  /// decided earlier must be checked again when it is written.
  bool isSafeToSend(const PendingRequest& pending, const Endpoint& endpoint) const;
  /// Returns the time by which an attempt that is sent now must have arrived at its endpoint.
  TimePoint latestArrival(const PendingRequest& pending) const;
  /// Returns why a request may not have another attempt at any endpoint; std::nullopt if it may.
  std::optional<EndReason> reasonToStop(const PendingRequest& pending) const;
  /// Returns whether an unanswered attempt may be cancelled in order to retry it at another endpoint.
  bool mayCancelForRetry(const PendingRequest& pending, const Attempt& attempt) const;

  /// Adds to both budgets the fraction of a token that each request earns.
  void recordArrival();
  /// Records in the request whether the attempt reached an endpoint and whether it may have been executed.
  static void recordOutcome(PendingRequest& pending, const AttemptOutcome& outcome);
  /// Takes a token for the retry that would follow the end of an attempt, if it needs one. Returns false if
  /// the budget is exhausted. `baselineLatency` is that of the request's class in microseconds.
  bool tryTakeRetryTokenFor(const PendingRequest& pending, const AttemptOutcome& outcome,
                            double baselineLatency);
  bool tryTakeRetryToken() { return retryBudget_.tryTake(); }
  bool tryTakeHedgingToken() { return hedgingBudget_.tryTake(); }

 private:
  /// Returns until when endpoints drop a repeat of the attempt that may have been executed; std::nullopt if
  /// there is no such attempt or they do not drop repeats.
  std::optional<TimePoint> deduplicationEnd(const PendingRequest& pending) const;
  /// Returns whether endpoints may no longer drop a repeat of an attempt that may have been executed.
  bool isDeduplicationOver(const PendingRequest& pending) const;
  bool isExhausted(const PendingRequest& pending) const {
    return pending.attemptCount() >= context_.settings.maxAttempts;
  }
  /// Returns whether the attempt caused no work at its endpoint, so that a retry needs no token.
  bool isExemptFromRetryBudget(const Attempt& attempt, AttemptStatus status, double baselineLatency) const;

  const Context& context_;
  EndpointTable& table_;
  TokenBudget retryBudget_{1};
  TokenBudget hedgingBudget_{0};
  TimePoint lastArrivalAt_{};
};

}  // namespace stonebay::balancer
