#include "invariant_checker.hpp"

#include <gtest/gtest.h>

namespace stonebay::test {

std::size_t TrackedRequest::earliestInFlight() const {
  std::size_t index = 0;
  while (index < attempts.size() && !attempts[index].inFlight) ++index;
  return index;
}

void TrackedRequest::endAttempt(std::size_t attempt, bool attemptMayHaveRun) {
  attempts[attempt].inFlight = false;
  if (!attemptMayHaveRun || mayHaveRun) return;
  mayHaveRun = true;
  mayHaveRunSince = attempts[attempt].sentAt;
}

const ClassSettings& InvariantChecker::classOf(const TrackedRequest& request) const {
  return settings_.classes[static_cast<std::size_t>(request.classIndex)];
}

void InvariantChecker::checkSend(TimePoint now, RequestId id, EndpointId endpoint) {
  TrackedRequest& request = requests.at(id);
  ASSERT_FALSE(request.isFinished) << "a send after the final response";
  ASSERT_LT(request.attempts.size(), static_cast<std::size_t>(settings_.maxAttempts));
  ASSERT_NO_FATAL_FAILURE(checkEndpointAcceptsRequests(endpoints[endpoint]));
  ASSERT_NO_FATAL_FAILURE(checkMayBeSentAgain(now, request));
  ASSERT_NO_FATAL_FAILURE(checkStaleness(now, endpoints[endpoint], request));
  request.attempts.push_back({endpoint, now});
}

void InvariantChecker::checkEndpointAcceptsRequests(const EndpointState& state) const {
  if (settings_.removedEndpointsAcceptRequests) {
    ASSERT_FALSE(state.isDraining);
  } else {
    ASSERT_EQ(state.listed, Lifecycle::Ready) << "a send to a draining or removed endpoint";
  }
}

void InvariantChecker::checkMayBeSentAgain(TimePoint now, const TrackedRequest& request) const {
  const ClassSettings& itsClass = classOf(request);
  if (!settings_.hedgingAllowed || itsClass.idempotency == Idempotency::NonIdempotent) {
    ASSERT_FALSE(request.hasAttemptInFlight()) << "two attempts in flight at the same time";
  }
  if (itsClass.idempotency == Idempotency::NonIdempotent) {
    ASSERT_FALSE(request.mayHaveRun) << "a retry of a request that may have been executed";
  }
  if (itsClass.idempotency == Idempotency::IdempotencyKey && request.mayHaveRun) {
    ASSERT_LT(now, request.mayHaveRunSince + itsClass.deduplicationWindow);
  }
}

void InvariantChecker::checkStaleness(TimePoint now, const EndpointState& state,
                                      const TrackedRequest& request) const {
  if (settings_.staleReadPolicy != StaleReadPolicy::Serve || state.isPrimary) return;
  const ClassSettings& itsClass = classOf(request);
  if (itsClass.consistency == Consistency::Write) return;
  const bool isBounded = itsClass.consistency == Consistency::BoundedStaleness;
  const TimePoint required = isBounded ? now - itsClass.maxStaleness : request.requiredPosition;
  ASSERT_GE(state.provenPosition, required)
      << "a send to an endpoint whose data is not proven to be new enough";
}

void InvariantChecker::checkFinalResponse(RequestId id, ActionKind kind) {
  TrackedRequest& request = requests.at(id);
  ASSERT_FALSE(request.isFinished) << "two final responses";
  const ClassSettings& itsClass = classOf(request);
  const bool mayRun = request.mayHaveRun || request.hasAttemptInFlight();
  const bool everyEndpointDeduplicates = itsClass.idempotency != Idempotency::NonIdempotent &&
                                         itsClass.deduplicationScope == DeduplicationScope::All;
  const bool mayBeRejected =
      itsClass.idempotency == Idempotency::Idempotent || everyEndpointDeduplicates || !mayRun;
  if (kind == ActionKind::Reject) {
    ASSERT_TRUE(mayBeRejected) << "a rejection of a request that may have been executed";
  }
  request.isFinished = true;
}

}  // namespace stonebay::test
