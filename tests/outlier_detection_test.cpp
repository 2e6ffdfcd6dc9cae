// Tests of ejection after missing responses, broken connections, immediate failures and health checks.
#include <set>
#include <vector>

#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

// Gives the balancer latency samples of 20 ms for every endpoint.
void warmUp(BalancerFixture& fixture) {
  for (int k = 0; k < 30; ++k) fixture.serve(kEventualRead, 20ms);
}

// Guards against selecting an endpoint that hangs: it is the least recently used one and its window contains
// only good samples, so it can be detected only by its missing responses.
TEST(OutlierDetection, SilentEndpointIsEjectedAndItsReadsAreRetriedElsewhere) {
  BalancerFixture fixture;
  warmUp(fixture);
  const RequestId stuck = fixture.submit(kEventualRead);
  const EndpointId hung = fixture.lastEndpoint(stuck);
  fixture.runTimers(110ms);
  ASSERT_EQ(fixture.actions.count(ActionKind::HealthCheck), 1u)
      << "it shows whether the endpoint is down or only a response was lost";
  EXPECT_EQ(fixture.actions.count(ActionKind::Cancel, stuck), 0u);
  // The health check is not answered either. The attempt is cancelled before the health check has timed out,
  // because reads were lost when the proxy waited for that.
  fixture.runTimers(60ms);
  ASSERT_EQ(fixture.actions.count(ActionKind::Cancel, stuck), 1u);
  EXPECT_EQ(fixture.sends(stuck).size(), 1u) << "no second attempt before the outcome of the first";
  fixture.endAttempt(stuck, AttemptStatus::Cancelled);
  ASSERT_EQ(fixture.sends(stuck).size(), 2u);
  EXPECT_NE(fixture.lastEndpoint(stuck), hung);
  for (int k = 0; k < 6; ++k) {
    const RequestId id = fixture.submit(kEventualRead);
    EXPECT_NE(fixture.lastEndpoint(id), hung);
    fixture.advanceTime(10ms);
    fixture.endAttempt(id, AttemptStatus::Ok, kFromReplica);
  }
}

// Guards against ejecting healthy endpoints (incident if8264e): connections broke at random on all endpoints,
// each reset ejected one, and finally all requests were rejected.
TEST(OutlierDetection, SingleResetDoesNotEject) {
  BalancerFixture fixture(defaultSettings(), 1);
  fixture.serve(kEventualRead);
  const RequestId id = fixture.submit(kEventualRead);
  fixture.advanceTime(5ms);
  fixture.endAttempt(id, AttemptStatus::Reset);
  EXPECT_FALSE(fixture.sends(fixture.submit(kEventualRead)).empty());
}

TEST(OutlierDetection, ConnectFailureWithoutALaterResponseEjects) {
  Settings settings = defaultSettings();
  settings.healthChecksAllowed = false;
  BalancerFixture fixture(settings, 1);
  const RequestId id = fixture.submit(kEventualRead);
  fixture.advanceTime(5ms);
  fixture.endAttempt(id, AttemptStatus::ConnectFailed);
  EXPECT_EQ(fixture.sends(fixture.submit(kEventualRead)).size(), 0u);
}

// Guards against ejecting healthy endpoints one after another when established and new connections are reset
// at random.
TEST(OutlierDetection, HealthCheckDecidesAfterBrokenConnections) {
  for (const bool isAnswered : {true, false}) {
    BalancerFixture fixture(defaultSettings(), 1);
    fixture.reportPrimary(1);
    for (int k = 0; k < 3; ++k) {
      const RequestId id = fixture.submit(kWrite);
      ASSERT_EQ(fixture.sends(id).size(), 1u) << k;
      fixture.advanceTime(1ms);
      fixture.endAttempt(id, k < 2 ? AttemptStatus::Reset : AttemptStatus::ConnectFailed);
    }
    ASSERT_EQ(fixture.actions.count(ActionKind::HealthCheck), 1u);
    fixture.advanceTime(1ms);
    if (isAnswered)
      fixture.reportPrimary(1);
    else
      fixture.failHealthCheck(1);
    EXPECT_EQ(fixture.sends(fixture.submit(kWrite)).size(), isAnswered ? 1u : 0u);
  }
}

// Fails up to five attempts of a request as long as they are sent to endpoint 1. Returns the number of failed
// attempts.
int failAttemptsAtEndpointOne(BalancerFixture& fixture, RequestId id) {
  int failed = 0;
  while (failed < 5 && !fixture.hasFinalResponse(id) && fixture.lastEndpoint(id) == 1) {
    ++failed;
    fixture.advanceTime(1ms);
    fixture.endAttempt(id, AttemptStatus::Error, kFromReplica);
  }
  return failed;
}

TEST(OutlierDetection, EndpointThatFailsFastIsEjected) {
  BalancerFixture fixture;
  int failedAtOne = 0;
  for (int k = 0; k < 60; ++k) {
    const RequestId id = fixture.submit(kEventualRead);
    failedAtOne += failAttemptsAtEndpointOne(fixture, id);
    fixture.advanceTime(15ms);
    if (!fixture.hasFinalResponse(id)) fixture.endAttempt(id, AttemptStatus::Ok, kFromReplica);
  }
  EXPECT_LE(failedAtOne, 6);
}

// Guards against ejecting endpoints because responses were lost, although they still answer health checks.
TEST(OutlierDetection, EndpointThatAnswersAHealthCheckIsNotEjectedForALostResponse) {
  BalancerFixture fixture;
  warmUp(fixture);
  const RequestId lost = fixture.submit(kEventualRead);
  const EndpointId endpoint = fixture.lastEndpoint(lost);
  fixture.runTimers(110ms);
  fixture.reportPosition(endpoint, 10ms);
  fixture.runTimers(30ms);
  EXPECT_EQ(fixture.actions.count(ActionKind::Cancel, lost), 1u);
  fixture.endAttempt(lost, AttemptStatus::Cancelled);
  EXPECT_NE(fixture.lastEndpoint(lost), endpoint);
  std::set<EndpointId> used;
  for (int k = 0; k < 6; ++k) {
    const RequestId id = fixture.serve(kEventualRead);
    used.insert(fixture.lastEndpoint(id));
  }
  EXPECT_EQ(used.count(endpoint), 1u) << "it is not ejected";
}

// Three bounded reads fail immediately at replica 2, which is ejected. One is retried at the primary,
// endpoint 1. The replica then reports a new position.
void ejectReplicaTwo(BalancerFixture& fixture) {
  std::vector<RequestId> reads;
  for (int k = 0; k < 3; ++k) reads.push_back(fixture.submit(kBoundedRead));
  for (const RequestId id : reads) {
    ASSERT_EQ(fixture.lastEndpoint(id), 2u);
    fixture.endAttempt(id, AttemptStatus::Error, fixture.evidence(0ms, Role::Replica));
  }
  fixture.advanceTime(100ms);
  ASSERT_EQ(fixture.lastEndpoint(reads[0]), 1u);
  fixture.endAttempt(reads[0], AttemptStatus::Ok, fixture.evidence(0ms, Role::Primary));
  fixture.reportPosition(2, 10ms);
}

// Guards against rejecting reads because the primary is at its capacity, while an ejected replica has fresh
// data and fails only some requests. It happens when some replicas lag and others return immediate errors.
TEST(OutlierDetection, ReadIsSentToAnEndpointThatFailsFastIfThePrimaryIsBusy) {
  BalancerFixture fixture(defaultSettings(), 2);
  fixture.reportPrimary(1);
  fixture.reportPosition(2, 10ms);
  ASSERT_NO_FATAL_FAILURE(ejectReplicaTwo(fixture));
  int atPrimary = 0;
  int atReplica = 0;
  for (int k = 0; k < 30 && atReplica == 0; ++k) {
    const RequestId id = fixture.submit(kBoundedRead);
    ASSERT_FALSE(fixture.hasFinalResponse(id)) << "rejected, with " << atPrimary << " at the primary";
    if (fixture.lastEndpoint(id) == 1) ++atPrimary;
    if (fixture.lastEndpoint(id) == 2) ++atReplica;
  }
  EXPECT_GT(atPrimary, 1);
  EXPECT_EQ(atReplica, 1);
}

// Guards against an ejected primary blocking all writes: after three immediate errors, writes waited for up
// to 8 s, although the primary answered half of them.
TEST(OutlierDetection, PrimaryThatFailsFastStillGetsWritesUntilItsConnectionFails) {
  BalancerFixture fixture;
  fixture.reportPrimary(1);
  for (int k = 0; k < 6; ++k) {
    const RequestId id = fixture.submit(kWrite);
    ASSERT_EQ(fixture.lastEndpoint(id), 1u) << k;
    fixture.endAttempt(id, AttemptStatus::Error, fixture.evidence(0ms, Role::Primary));
    fixture.advanceTime(1ms);
  }
  // A primary to which no connection can be established is presumed down and ejected.
  const RequestId last = fixture.submit(kWrite);
  fixture.endAttempt(last, AttemptStatus::ConnectFailed);
  fixture.failHealthCheck(1);
  const RequestId next = fixture.submit(kWrite);
  EXPECT_NE(fixture.lastEndpoint(next), 1u);
}

TEST(OutlierDetection, ReadIsRetriedAtAnEndpointThatFailsFastIfNoOtherIsAvailable) {
  BalancerFixture fixture(defaultSettings(), 1);
  fixture.reportPrimary(1);
  const RequestId served = fixture.submit(kBoundedRead);
  fixture.advanceTime(40ms);
  fixture.endAttempt(served, AttemptStatus::Ok, fixture.evidence(0ms, Role::Primary));
  const RequestId id = fixture.submit(kBoundedRead);
  for (int k = 0; k < 5; ++k) {
    ASSERT_EQ(fixture.sends(id).size(), static_cast<std::size_t>(k + 1));
    // An immediate failure does not draw on the retry budget.
    fixture.endAttempt(id, AttemptStatus::Error, fixture.evidence(0ms, Role::Primary));
  }
  fixture.endAttempt(id, AttemptStatus::Ok, fixture.evidence(0ms, Role::Primary));
  EXPECT_FALSE(fixture.hasFinalResponse(id));
}

TEST(OutlierDetection, UnansweredHealthCheckEjects) {
  BalancerFixture fixture;
  fixture.reportPrimary(1);
  const RequestId id = fixture.submit(kBoundedRead);
  const std::vector<Action> healthChecks = fixture.actions.of(ActionKind::HealthCheck);
  ASSERT_EQ(healthChecks.size(), 2u);
  fixture.advanceTime(30ms);
  fixture.reportPosition(healthChecks[1].endpoint, 10ms);
  EXPECT_EQ(fixture.lastEndpoint(id), healthChecks[1].endpoint);
  fixture.advanceTime(220ms);
  fixture.failHealthCheck(healthChecks[0].endpoint);
  for (int k = 0; k < 5; ++k)
    EXPECT_NE(fixture.lastEndpoint(fixture.submit(kEventualRead)), healthChecks[0].endpoint);
}

}  // namespace
}  // namespace stonebay::test
