// Tests of LoadBalancer as a whole: settings, final responses, delayed sends, idle timers and determinism.
#include <stdexcept>
#include <string>

#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

TEST(LoadBalancer, ContradictorySettingsThrow) {
  RecordingSink sink;
  Settings settings = defaultSettings();
  settings.classes.clear();
  EXPECT_THROW(LoadBalancer(settings, 1, sink), std::invalid_argument);
  settings = defaultSettings();
  settings.classes[0].latencyObjective = settings.classes[0].deadline + 1ms;
  EXPECT_THROW(LoadBalancer(settings, 1, sink), std::invalid_argument);
  settings = defaultSettings();
  settings.initialCapacity = 0;
  EXPECT_THROW(LoadBalancer(settings, 1, sink), std::invalid_argument);
}

TEST(LoadBalancer, SuccessfulResponseEndsTheRequest) {
  BalancerFixture fixture;
  const RequestId id = fixture.submit(kEventualRead);
  ASSERT_EQ(fixture.sends(id).size(), 1u);
  fixture.advanceTime(20ms);
  fixture.endAttempt(id, AttemptStatus::Ok, kFromReplica);
  fixture.runTimers(3000ms);
  EXPECT_EQ(fixture.sends(id).size(), 1u);
  EXPECT_FALSE(fixture.hasFinalResponse(id));
}

TEST(LoadBalancer, ReadThatTimesOutAtItsDeadlineIsRejectedImmediately) {
  BalancerFixture fixture;
  const RequestId id = fixture.submit(kEventualRead);
  fixture.advanceTime(2000ms);
  fixture.endAttempt(id, AttemptStatus::Timeout);
  EXPECT_EQ(fixture.actions.count(ActionKind::Reject, id), 1u);
}

TEST(LoadBalancer, StaleDataDrainingOrTheEndOfTheRequestMakeADelayedSendIneligible) {
  BalancerFixture fixture;
  fixture.reportPosition(1, 0ms);
  const RequestId id = fixture.submit(kBoundedRead);
  ASSERT_EQ(fixture.lastEndpoint(id), 1u);
  EXPECT_TRUE(fixture.balancer.isStillEligible(fixture.now + 400ms, id, 1));
  EXPECT_FALSE(fixture.balancer.isStillEligible(fixture.now + 600ms, id, 1));  // the bound is 500 ms
  fixture.advanceTime(600ms);
  fixture.reportPosition(1, 0ms);
  EXPECT_TRUE(fixture.balancer.isStillEligible(fixture.now, id, 1));  // because of the newer report
  fixture.updateEndpoints({BalancerFixture::endpointUpdate(1, Lifecycle::Draining)});
  EXPECT_FALSE(fixture.balancer.isStillEligible(fixture.now, id, 1));
  fixture.updateEndpoints({BalancerFixture::endpointUpdate(1)});
  EXPECT_TRUE(fixture.balancer.isStillEligible(fixture.now, id, 1));
  fixture.balancer.onClientLeft(fixture.now, id);
  EXPECT_FALSE(fixture.balancer.isStillEligible(fixture.now, id, 1));
}

// Guards against a request that is executed twice: whether endpoints still drop repeats was checked when a
// retry was decided, but not when the connection was ready that it had to wait for.
TEST(LoadBalancer, EndOfTheDeduplicationWindowMakesADelayedRetryIneligible) {
  Settings settings = defaultSettings();
  settings.classes[kGroupKeyedRead].deduplicationWindow = 150ms;
  BalancerFixture fixture(settings);
  const RequestId id = fixture.submit(kGroupKeyedRead);
  fixture.advanceTime(100ms);
  fixture.endAttempt(id, AttemptStatus::Reset);
  ASSERT_EQ(fixture.sends(id).size(), 2u);
  const EndpointId endpoint = fixture.lastEndpoint(id);
  EXPECT_TRUE(fixture.balancer.isStillEligible(fixture.now + 49ms, id, endpoint));
  EXPECT_FALSE(fixture.balancer.isStillEligible(fixture.now + 50ms, id, endpoint));
  fixture.advanceTime(50ms);
  fixture.endAttempt(id, AttemptStatus::NotSent);
  EXPECT_EQ(fixture.sends(id).size(), 2u);
  EXPECT_EQ(fixture.actions.count(ActionKind::Fail, id), 1u) << "the client need not wait for its deadline";
}

// An attempt that was certainly not executed starts no window.
TEST(LoadBalancer, DelayedRetryStaysEligibleIfNoAttemptMayHaveBeenExecuted) {
  BalancerFixture fixture;
  const RequestId id = fixture.submit(kGroupKeyedRead);
  fixture.advanceTime(100ms);
  fixture.endAttempt(id, AttemptStatus::Rejected);
  ASSERT_EQ(fixture.sends(id).size(), 2u);
  EXPECT_TRUE(fixture.balancer.isStillEligible(fixture.now + 500ms, id, fixture.lastEndpoint(id)));
}

TEST(LoadBalancer, NoFinalResponseOnceTheClientHasLeft) {
  BalancerFixture fixture;
  const RequestId id = fixture.submit(kEventualRead);
  fixture.balancer.onClientLeft(fixture.now, id);
  fixture.endAttempt(id, AttemptStatus::Cancelled);
  fixture.runTimers(3000ms);
  EXPECT_FALSE(fixture.hasFinalResponse(id));
  EXPECT_EQ(fixture.sends(id).size(), 1u);
}

TEST(LoadBalancer, UnknownClassIsRejectedAndUnknownEventsAreIgnored) {
  BalancerFixture fixture;
  Request request;
  request.id = 9;
  request.classIndex = 99;
  fixture.balancer.onRequest(fixture.now, request);
  EXPECT_EQ(fixture.actions.count(ActionKind::Reject, 9), 1u);
  AttemptOutcome outcome;
  outcome.request = 12345;
  outcome.endpoint = 55;
  fixture.balancer.onAttemptOutcome(fixture.now, outcome);
  fixture.failHealthCheck(77);
  fixture.balancer.onClientLeft(fixture.now, 4711);
  fixture.balancer.onTimer(fixture.now, TimerToken::decode(~0ull));
  const RequestId id = fixture.submit(kEventualRead);
  fixture.endAttempt(id, AttemptStatus::Ok);
  fixture.endAttempt(id, AttemptStatus::Error);  // a second outcome of the same attempt
  EXPECT_FALSE(fixture.hasFinalResponse(id));
}

TEST(LoadBalancer, NoTimerIsScheduledWhileNothingIsInFlight) {
  BalancerFixture fixture;
  fixture.serve(kEventualRead);
  fixture.runTimers(100ms);
  const std::size_t before = fixture.actions.count(ActionKind::Timer);
  fixture.runTimers(5000ms);
  EXPECT_EQ(fixture.actions.count(ActionKind::Timer), before);
}

std::string actionsOfFixedEvents() {
  BalancerFixture fixture;
  for (int k = 0; k < 50; ++k) {
    const RequestId id = fixture.submit(k % 4);
    fixture.reportPosition(static_cast<EndpointId>(k % 3 + 1), milliseconds(k), k % 7 == 0);
    fixture.runTimers(15ms);
    if (fixture.sends(id).empty()) continue;
    fixture.endAttempt(id, k % 5 != 0 ? AttemptStatus::Ok : AttemptStatus::Error, kFromReplica);
  }
  std::string transcript;
  for (const Action& action : fixture.actions.recorded)
    transcript += std::to_string(static_cast<int>(action.kind)) + ":" + std::to_string(action.request) + "/" +
                  std::to_string(action.endpoint) + " ";
  return transcript;
}

TEST(LoadBalancer, SameEventsGiveTheSameActions) {
  EXPECT_EQ(actionsOfFixedEvents(), actionsOfFixedEvents());
}

}  // namespace
}  // namespace stonebay::test
