// Tests of the attempts that idempotency allows, and of the budgets for retries and hedged requests.
#include <ostream>
#include <string>

#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

TEST(RetryPolicy, AttemptThatWasNeverSentIsNotCountedAgainstTheRequest) {
  BalancerFixture fixture;
  for (EndpointId endpoint = 1; endpoint <= 3; ++endpoint) fixture.reportPosition(endpoint, 0ms);
  const RequestId id = fixture.submit(kEventualRead);
  for (int k = 0; k < 3; ++k) fixture.endAttempt(id, AttemptStatus::NotSent);
  EXPECT_EQ(fixture.sends(id).size(), 4u);
  EXPECT_FALSE(fixture.hasFinalResponse(id));
}

struct StatusCase {
  AttemptStatus status;
  bool mayHaveRun;
  const char* name;
};

// Without this, gtest would print the bytes of the parameter, including padding, into the test names.
void PrintTo(const StatusCase& statusCase, std::ostream* out) { *out << statusCase.name; }

class RetryPolicyByStatus : public testing::TestWithParam<StatusCase> {};

TEST_P(RetryPolicyByStatus, IdempotentReadIsRetriedOnAnotherEndpoint) {
  BalancerFixture fixture;
  const RequestId id = fixture.submit(kEventualRead);
  fixture.advanceTime(10ms);
  fixture.endAttempt(id, GetParam().status, kFromReplica);
  ASSERT_EQ(fixture.sends(id).size(), 2u);
  EXPECT_NE(fixture.sends(id)[0].endpoint, fixture.sends(id)[1].endpoint);
}

TEST_P(RetryPolicyByStatus, NonIdempotentWriteThatMayHaveRunFails) {
  BalancerFixture fixture;
  fixture.reportPrimary(2);
  const RequestId id = fixture.submit(kWrite);
  ASSERT_EQ(fixture.lastEndpoint(id), 2u);
  fixture.advanceTime(10ms);
  fixture.endAttempt(id, GetParam().status);
  fixture.runTimers(3200ms);
  EXPECT_EQ(fixture.actions.count(ActionKind::Fail, id), GetParam().mayHaveRun ? 1u : 0u);
  if (!GetParam().mayHaveRun) return;
  EXPECT_EQ(fixture.sends(id).size(), 1u);
  EXPECT_EQ(fixture.actions.count(ActionKind::Reject, id), 0u);
}

TEST_P(RetryPolicyByStatus, KeyedReadIsNotRetriedAfterTheDeduplicationWindow) {
  BalancerFixture fixture;
  const RequestId id = fixture.submit(kGroupKeyedRead);
  fixture.advanceTime(450ms);  // the window is 400 ms
  fixture.endAttempt(id, GetParam().status);
  fixture.runTimers(1500ms);
  if (!GetParam().mayHaveRun) return;
  EXPECT_EQ(fixture.sends(id).size(), 1u);
  EXPECT_EQ(fixture.actions.count(ActionKind::Reject, id), 0u);
  EXPECT_EQ(fixture.actions.count(ActionKind::Fail, id), 1u);
}

INSTANTIATE_TEST_SUITE_P(AllStatuses, RetryPolicyByStatus,
                         testing::Values(StatusCase{AttemptStatus::Error, true, "Error"},
                                         StatusCase{AttemptStatus::Timeout, true, "Timeout"},
                                         StatusCase{AttemptStatus::Reset, true, "Reset"},
                                         StatusCase{AttemptStatus::Cancelled, true, "Cancelled"},
                                         StatusCase{AttemptStatus::Rejected, false, "Rejected"},
                                         StatusCase{AttemptStatus::ConnectFailed, false, "ConnectFailed"},
                                         StatusCase{AttemptStatus::TooStale, false, "TooStale"},
                                         StatusCase{AttemptStatus::NotSent, false, "NotSent"}),
                         [](const testing::TestParamInfo<StatusCase>& info) {
                           return std::string(info.param.name);
                         });

// A request that waited for an endpoint got its failure only at its deadline.
TEST(RetryPolicy, KeyedWriteThatWaitsFailsWhenTheDeduplicationWindowEnds) {
  Settings settings = defaultSettings();
  settings.classes[kWrite].idempotency = Idempotency::IdempotencyKey;
  settings.classes[kWrite].deduplicationScope = DeduplicationScope::ReplicaGroup;
  settings.classes[kWrite].deduplicationWindow = 400ms;
  BalancerFixture fixture(settings);
  fixture.reportPrimary(2);
  const RequestId id = fixture.submit(kWrite, 0, 0, 3000ms);
  ASSERT_EQ(fixture.lastEndpoint(id), 2u);
  fixture.advanceTime(10ms);
  fixture.updateEndpoints({BalancerFixture::endpointUpdate(1, Lifecycle::Draining),
                           BalancerFixture::endpointUpdate(2, Lifecycle::Draining),
                           BalancerFixture::endpointUpdate(3, Lifecycle::Draining)});
  fixture.endAttempt(id, AttemptStatus::Reset);
  fixture.runTimers(350ms);
  EXPECT_FALSE(fixture.hasFinalResponse(id)) << "an endpoint may become available in time";
  fixture.runTimers(80ms);
  EXPECT_EQ(fixture.actions.count(ActionKind::Fail, id), 1u);
}

TEST(RetryPolicy, KeyedReadIsRetriedWithinTheDeduplicationWindow) {
  BalancerFixture fixture;
  const RequestId id = fixture.submit(kGroupKeyedRead);
  fixture.advanceTime(100ms);
  fixture.endAttempt(id, AttemptStatus::Reset);
  EXPECT_EQ(fixture.sends(id).size(), 2u);
}

TEST(RetryPolicy, KeyedReadIsRejectedWhenAllEndpointsDeduplicate) {
  BalancerFixture fixture;
  const RequestId id = fixture.submit(kGlobalKeyedRead);
  fixture.advanceTime(1000ms);
  fixture.endAttempt(id, AttemptStatus::Timeout);
  EXPECT_EQ(fixture.actions.count(ActionKind::Reject, id), 1u);
}

// Ends all attempts after the first one, which the balancer has cancelled.
void endCancelledAttempts(BalancerFixture& fixture, RequestId id) {
  const int sent = static_cast<int>(fixture.sends(id).size());
  for (int attempt = 1; attempt < sent; ++attempt)
    fixture.endAttempt(id, AttemptStatus::Cancelled, {}, attempt);
}

TEST(RetryPolicy, HedgedRequestsAreSentWithinTheirBudget) {
  Settings settings = defaultSettings();
  settings.hedgingAllowed = true;
  BalancerFixture fixture(settings);
  int hedged = 0;
  for (int k = 0; k < 200; ++k) {
    const RequestId id = fixture.submit(kEventualRead);
    if (fixture.sends(id).size() > 1) ++hedged;
    fixture.advanceTime(k % 2 != 0 ? 10ms : 900ms);
    fixture.endAttempt(id, AttemptStatus::Ok, kFromReplica, 0);
    if (fixture.sends(id).size() <= 1) continue;
    EXPECT_EQ(fixture.actions.count(ActionKind::Cancel, id), fixture.sends(id).size() - 1)
        << "the first response cancels the other attempts";
    endCancelledAttempts(fixture, id);
  }
  EXPECT_GT(hedged, 0);
  EXPECT_LT(hedged, 40);
}

TEST(RetryPolicy, AttemptsThatFailImmediatelyDoNotDrawOnTheRetryBudget) {
  BalancerFixture fixture(defaultSettings(), 1);
  fixture.serve(kEventualRead, 100ms);
  const RequestId id = fixture.submit(kEventualRead);
  for (int k = 0; k < 4; ++k) {
    ASSERT_EQ(fixture.sends(id).size(), static_cast<std::size_t>(k + 1));
    fixture.endAttempt(id, AttemptStatus::Reset);
    if (k == 2) fixture.reportPosition(1, 0ms);  // answers the health check after three failures
  }
}

// Guards against retries that feed an overload: hundreds of proxies had saved up retry budget and used it
// when the overload began.
TEST(RetryPolicy, UnusedRetryBudgetDecaysWithTime) {
  BalancerFixture fixture;
  for (int k = 0; k < 60; ++k) fixture.serve(kEventualRead, 300ms);
  int failed = 0;
  int retried = 0;
  for (int k = 0; k < 20; ++k) {
    const RequestId id = fixture.submit(kEventualRead);
    if (fixture.sends(id).empty()) continue;  // endpoints are ejected
    fixture.advanceTime(160ms);               // too long for an immediate failure
    fixture.endAttempt(id, AttemptStatus::Error, kFromReplica);
    ++failed;
    if (fixture.sends(id).size() < 2) continue;
    ++retried;
    fixture.endAttempt(id, AttemptStatus::Ok, kFromReplica);
  }
  EXPECT_GE(retried, 1);
  EXPECT_LE(retried, 1 + failed / 5);
}

}  // namespace
}  // namespace stonebay::test
