// Tests of the selection of endpoints for reads: staleness, order of last use, and use of the primary.
#include <set>
#include <vector>

#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

TEST(ReplicaSelection, BoundedReadNeedsAProvenPositionWhereStaleReadsAreServed) {
  BalancerFixture fixture;
  EXPECT_TRUE(fixture.sends(fixture.submit(kBoundedRead)).empty());
  fixture.reportPosition(2, 100ms);
  EXPECT_EQ(fixture.lastEndpoint(fixture.submit(kBoundedRead)), 2u);
  fixture.advanceTime(450ms);  // 550 ms old, more than the bound of 500 ms
  EXPECT_TRUE(fixture.sends(fixture.submit(kBoundedRead)).empty());
}

TEST(ReplicaSelection, ReadYourWritesReadWaitsForTheRememberedCommitOfItsSession) {
  BalancerFixture fixture;
  fixture.reportPrimary(1);
  const RequestId write = fixture.submit(kWrite, 5);
  fixture.advanceTime(20ms);
  fixture.endAttempt(write, AttemptStatus::Ok, fixture.evidence(0ms, Role::Primary));
  fixture.reportPosition(2, 10ms);  // from before the commit
  fixture.reportPosition(3, 10ms);
  const RequestId read = fixture.submit(kReadYourWritesRead, 5);
  EXPECT_TRUE(fixture.sends(read).empty())
      << "a replica may have applied it by now: two health checks are in flight";
  fixture.reportPosition(2, 30ms);
  EXPECT_EQ(fixture.lastEndpoint(read), 1u) << "only the primary is certain to have the commit";
  EXPECT_NE(fixture.lastEndpoint(fixture.submit(kReadYourWritesRead, 6)), 1u)
      << "another session has not written, so any replica suffices";
  fixture.advanceTime(30ms);
  fixture.reportPosition(2, 1ms);
  EXPECT_EQ(fixture.lastEndpoint(fixture.submit(kReadYourWritesRead, 5)), 2u);
}

TEST(ReplicaSelection, AgeInASessionTokenIsRoundedUp) {
  Settings settings = defaultSettings();
  settings.requestsCarrySessionToken = true;
  BalancerFixture fixture(settings);
  fixture.reportPosition(2, 100ms);
  EXPECT_TRUE(fixture.sends(fixture.submit(kReadYourWritesRead, 5, 99.0f)).empty());
  EXPECT_EQ(fixture.lastEndpoint(fixture.submit(kReadYourWritesRead, 5, 101.0f)), 2u);
  EXPECT_FALSE(fixture.sends(fixture.submit(kReadYourWritesRead, 5, 0.0f)).empty())
      << "the session has not written, so any data suffices";
}

TEST(ReplicaSelection, StrongReadIsSentToThePrimary) {
  BalancerFixture fixture;
  fixture.reportPosition(2, 0ms);
  fixture.reportPosition(3, 0ms);
  fixture.reportPrimary(1);
  fixture.advanceTime(1ms);
  EXPECT_EQ(fixture.lastEndpoint(fixture.submit(kStrongRead)), 1u);
}

TEST(ReplicaSelection, EndpointsThatRejectStaleReadsMayBeTriedWithoutAProvenPosition) {
  Settings settings = defaultSettings();
  settings.staleReadPolicy = StaleReadPolicy::Reject;
  BalancerFixture fixture(settings);
  EXPECT_EQ(fixture.sends(fixture.submit(kBoundedRead)).size(), 1u);
}

TEST(ReplicaSelection, LeastRecentlyUsedReplicaIsPreferred) {
  BalancerFixture fixture;
  std::set<EndpointId> used;
  for (int k = 0; k < 3; ++k) {
    const RequestId id = fixture.serve(kEventualRead, 10ms);
    used.insert(fixture.lastEndpoint(id));
    fixture.advanceTime(10ms);
  }
  EXPECT_EQ(used.size(), 3u);
}

TEST(ReplicaSelection, PrimaryIsNotUsedWhileReplicasReachTheTargetProbability) {
  BalancerFixture fixture;
  fixture.reportPrimary(1);
  for (int k = 0; k < 20; ++k) {
    const RequestId id = fixture.submit(kEventualRead);
    EXPECT_NE(fixture.lastEndpoint(id), 1u);
    fixture.advanceTime(10ms);
    fixture.endAttempt(id, AttemptStatus::Ok, kFromReplica);
  }
}

// Half of the latest samples of endpoints 1 and 2 are late, while most samples of all endpoints are in time.
// The replicas do not reach the target probability. The primary has no samples of its own, so it is added to
// the read set as its best endpoint.
TEST(ReplicaSelection, PrimaryIsAddedIfReplicasDoNotReachTheTargetProbability) {
  BalancerFixture fixture;
  fixture.reportPrimary(3);
  RequestId id = 0;
  for (int k = 0; k < 80 && fixture.lastEndpoint(id) != 3; ++k) {
    id = fixture.submit(kEventualRead, 0, 0, 2000ms);
    fixture.advanceTime(k < 40 || k % 4 < 2 ? 10ms : 700ms);
    fixture.endAttempt(id, AttemptStatus::Ok, kFromReplica);
  }
  EXPECT_EQ(fixture.lastEndpoint(id), 3u);
}

// Guards against making every replica stale: long reads were sent to all replicas in turn and made each of
// them lag.
TEST(ReplicaSelection, EventualReadsLeaveUpToDateReplicasToBoundedReads) {
  BalancerFixture fixture;
  fixture.reportPosition(1, 10ms);
  fixture.reportPosition(2, 700ms);  // too old for the bound of 500 ms
  fixture.reportPosition(3, 10ms);
  for (int k = 0; k < 3; ++k) {
    const RequestId id = fixture.submit(kEventualRead);
    EXPECT_EQ(fixture.lastEndpoint(id), 2u);
    fixture.advanceTime(10ms);
    fixture.endAttempt(id, AttemptStatus::Ok, kFromReplica);
  }
  EXPECT_NE(fixture.lastEndpoint(fixture.submit(kBoundedRead)), 2u);
}

// Guards against all proxies starting with the same endpoint: the busiest server had 12 times the mean load.
TEST(ReplicaSelection, ProxiesStartWithDifferentEndpoints) {
  std::set<EndpointId> initial;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    BalancerFixture fixture(defaultSettings(), 3, seed);
    initial.insert(fixture.lastEndpoint(fixture.submit(kEventualRead)));
  }
  EXPECT_EQ(initial.size(), 3u);
}

// Guards against the lack of proven positions at a proxy with only a few requests per second.
TEST(ReplicaSelection, BoundedReadWaitsForTheFirstHealthCheckThatProvesAPosition) {
  BalancerFixture fixture;
  fixture.reportPrimary(1);
  const RequestId id = fixture.submit(kBoundedRead);
  ASSERT_TRUE(fixture.sends(id).empty());
  const std::vector<Action> healthChecks = fixture.actions.of(ActionKind::HealthCheck);
  ASSERT_EQ(healthChecks.size(), 2u);
  fixture.reportPosition(healthChecks[0].endpoint, 100ms);
  EXPECT_EQ(fixture.lastEndpoint(id), healthChecks[0].endpoint);
  const RequestId second = fixture.submit(kBoundedRead);
  EXPECT_FALSE(fixture.sends(second).empty()) << "a replica with a proven position is known";
}

// Endpoint 1 is the primary; replicas 2 and 3 lag by 5 s, 4 and 5 by 10 ms. Submits a bounded read, answers
// the health checks that it causes, and returns the endpoints that were checked.
std::set<EndpointId> checkedForBoundedRead(BalancerFixture& fixture) {
  std::set<EndpointId> checked;
  const std::size_t before = fixture.actions.count(ActionKind::HealthCheck);
  const RequestId id = fixture.submit(kBoundedRead);
  const std::vector<Action> healthChecks = fixture.actions.of(ActionKind::HealthCheck);
  for (std::size_t i = before; i < healthChecks.size(); ++i) {
    const EndpointId endpoint = healthChecks[i].endpoint;
    checked.insert(endpoint);
    fixture.reportPosition(endpoint, endpoint <= 3 ? 5000ms : 10ms, endpoint == 1);
  }
  if (fixture.sends(id).empty()) return checked;
  const Role role = fixture.lastEndpoint(id) == 1 ? Role::Primary : Role::Replica;
  fixture.endAttempt(id, AttemptStatus::Ok, fixture.evidence(10ms, role));
  return checked;
}

// Guards against checking only lagging replicas: two of them received no requests, so they remained the least
// recently used ones and the only ones checked, while the known positions of all others became too old.
TEST(ReplicaSelection, LaggingReplicasDoNotPreventHealthChecksOfOthers) {
  BalancerFixture fixture(defaultSettings(), 5);
  fixture.reportPrimary(1);
  std::set<EndpointId> checked;
  for (int k = 0; k < 4; ++k) {
    fixture.advanceTime(1000ms);
    checked.merge(checkedForBoundedRead(fixture));
  }
  EXPECT_GT(checked.count(4) + checked.count(5), 0u);
}

}  // namespace
}  // namespace stonebay::test
