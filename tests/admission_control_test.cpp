// Tests of waiting requests and load shedding.
#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

// Writes earn part of their priority weight after the latency objective; otherwise they would not wait
// longer.
Settings settingsWithLateWrites() {
  Settings settings = defaultSettings();
  settings.classes[kWrite].latePriorityShare = 0.5;
  return settings;
}

// Runs timers until the request is rejected, but not longer than 3 s.
void runUntilRejected(BalancerFixture& fixture, RequestId id, TimePoint submittedAt) {
  while (fixture.actions.count(ActionKind::Reject, id) == 0 && fixture.now < submittedAt + 3s)
    fixture.runTimers(5ms);
}

// Guards against waiting past the client's deadline: the tick timer that all requests share may run only
// after the deadline, so each waiting request needs its own timer.
TEST(AdmissionControl, WaitingRequestIsRejectedByItsOwnTimerBeforeItsDeadline) {
  BalancerFixture fixture;
  const std::size_t timersBefore = fixture.actions.count(ActionKind::Timer);
  const RequestId id = fixture.submit(kBoundedRead);  // waits, because no position and no primary is known
  ASSERT_TRUE(fixture.sends(id).empty());
  const TimePoint submittedAt = fixture.now;
  ASSERT_GT(fixture.actions.count(ActionKind::Timer), timersBefore);
  runUntilRejected(fixture, id, submittedAt);
  EXPECT_EQ(fixture.actions.count(ActionKind::Reject, id), 1u);
  EXPECT_LE(fixture.now - submittedAt, fixture.settings.classes[kBoundedRead].deadline);
}

// Guards against rejecting a request too late: if no endpoint has received it, a rejection after half of the
// deadline costs a third of its priority weight, because the client could have retried in the meantime.
TEST(AdmissionControl, WriteThatNoEndpointReceivedIsRejectedBeforeHalfOfItsDeadline) {
  BalancerFixture fixture(settingsWithLateWrites());
  for (EndpointId id = 1; id <= 3; ++id)
    fixture.updateEndpoints({BalancerFixture::endpointUpdate(id, Lifecycle::Draining)});
  const TimePoint submittedAt = fixture.now;
  const RequestId id = fixture.submit(kWrite);
  runUntilRejected(fixture, id, submittedAt);
  EXPECT_EQ(fixture.actions.count(ActionKind::Reject, id), 1u);
  EXPECT_LT(fixture.now - submittedAt, fixture.settings.classes[kWrite].deadline / 2);
}

TEST(AdmissionControl, WriteThatReplicasRejectedKeepsWaitingForThePrimary) {
  BalancerFixture fixture(settingsWithLateWrites());
  const TimePoint submittedAt = fixture.now;
  const RequestId id = fixture.submit(kWrite);
  for (int k = 0; k < 3; ++k)
    fixture.endAttempt(id, AttemptStatus::TooStale, fixture.evidence(0ms, Role::Replica));
  while (fixture.now < submittedAt + fixture.settings.classes[kWrite].deadline * 6 / 10)
    fixture.runTimers(5ms);
  EXPECT_FALSE(fixture.hasFinalResponse(id));
}

// Guards against shedding because of failures that do not depend on load (incident if8264e): they counted as
// late responses, and requests for healthy endpoints were rejected.
TEST(AdmissionControl, FailuresThatDoNotDependOnLoadShedNoRequests) {
  BalancerFixture fixture(defaultSettings(), 1);
  for (int k = 0; k < 40; ++k) {
    const RequestId id = fixture.submit(kEventualRead);
    const RequestId concurrent = fixture.submit(kEventualRead);
    EXPECT_EQ(fixture.sends(concurrent).size(), 1u);
    fixture.advanceTime(10ms);
    fixture.endAttempt(id, k % 3 != 0 ? AttemptStatus::Ok : AttemptStatus::Reset, kFromReplica, 0);
    if (!fixture.sends(concurrent).empty())
      fixture.endAttempt(concurrent, AttemptStatus::Ok, kFromReplica, 0);
    if (fixture.sends(id).size() > 1) fixture.endAttempt(id, AttemptStatus::Ok, kFromReplica);
  }
}

// Guards against queues that never shrink because every response in them is late (incidents ife0563, i404a82,
// ieb4c96).
TEST(AdmissionControl, RequestsThatABusyEndpointWouldServeLateAreShed) {
  BalancerFixture fixture;
  for (int k = 0; k < 20; ++k) fixture.serve(kEventualRead, 100ms);
  int rejected = 0;
  for (int k = 0; k < 200; ++k)
    if (fixture.hasFinalResponse(fixture.submit(kEventualRead))) ++rejected;
  EXPECT_GT(rejected, 100);
  EXPECT_LT(rejected, 195);
}

// Guards against counting lost attempts as load (incident i1a9b26): some attempts were never answered, and
// each counted as load for seconds.
TEST(AdmissionControl, AttemptsThatArePresumedLostDoNotCountAsLoad) {
  Settings settings = defaultSettings();
  settings.cancellationAllowed = false;
  BalancerFixture fixture(settings, 1);
  for (int k = 0; k < 20; ++k) fixture.serve(kEventualRead, 20ms);
  for (int k = 0; k < 12; ++k) {
    fixture.submit(kEventualRead);  // its outcome never comes
    const RequestId id = fixture.submit(kEventualRead);
    ASSERT_EQ(fixture.sends(id).size(), 1u) << k;
    fixture.advanceTime(20ms);
    fixture.endAttempt(id, AttemptStatus::Ok, kFromReplica);
    fixture.advanceTime(130ms);
  }
}

}  // namespace
}  // namespace stonebay::test
