// Tests of primary discovery and of the routing of writes.
#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

TEST(WriteRouting, EndpointsAreTriedByIdAndThenThePrimaryIsAwaited) {
  BalancerFixture fixture;
  const RequestId id = fixture.submit(kWrite);
  for (EndpointId endpoint = 1; endpoint <= 3; ++endpoint) {
    ASSERT_EQ(fixture.lastEndpoint(id), endpoint);
    fixture.endAttempt(id, AttemptStatus::TooStale, kFromReplica);
  }
  EXPECT_EQ(fixture.sends(id).size(), 3u);
  const RequestId other = fixture.submit(kWrite);
  EXPECT_TRUE(fixture.sends(other).empty()) << "one write is enough to find the primary";
  fixture.runTimers(300ms);
  EXPECT_GT(fixture.actions.count(ActionKind::HealthCheck), 0u);
  fixture.reportPrimary(2);
  EXPECT_EQ(fixture.lastEndpoint(id), 2u);
  EXPECT_EQ(fixture.lastEndpoint(other), 2u);
}

// Guards against a latency sample from a write that a replica rejected, which does not show how fast the
// replica serves reads.
TEST(WriteRouting, MisroutedWriteLeavesNoLatencySample) {
  BalancerFixture fixture;
  const RequestId id = fixture.submit(kWrite);
  fixture.endAttempt(id, AttemptStatus::TooStale, kFromReplica);
  fixture.endAttempt(id, AttemptStatus::Ok, fixture.evidence(0ms, Role::Primary));
  ASSERT_EQ(fixture.lastEndpoint(id), 2u);
  fixture.updateEndpoints({BalancerFixture::endpointUpdate(3, Lifecycle::Removed)});
  EXPECT_EQ(fixture.lastEndpoint(fixture.submit(kEventualRead)), 1u);
}

// Guards against rejecting writes seconds before their deadline: while a new primary was elected, they used
// up all their attempts on replicas.
TEST(WriteRouting, LastAttemptOfAWriteIsReservedForThePrimary) {
  BalancerFixture fixture(defaultSettings(), 7);
  const RequestId id = fixture.submit(kWrite);
  for (int k = 0; k < 12 && !fixture.hasFinalResponse(id); ++k) {
    const std::size_t before = fixture.sends(id).size();
    if (before > 0) fixture.endAttempt(id, AttemptStatus::TooStale, kFromReplica);
    fixture.updateEndpoints(
        {BalancerFixture::endpointUpdate(7)});  // any change of the list resumes the discovery
    fixture.runTimers(20ms);
    if (fixture.sends(id).size() == before) break;
  }
  EXPECT_FALSE(fixture.hasFinalResponse(id));
  ASSERT_EQ(fixture.sends(id).size(), 5u);
  fixture.reportPrimary(7);
  ASSERT_EQ(fixture.sends(id).size(), 6u);
  EXPECT_EQ(fixture.lastEndpoint(id), 7u);
}

}  // namespace
}  // namespace stonebay::test
