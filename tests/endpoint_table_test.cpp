// Tests of the endpoint table: listed states, roles, positions and removal.
#include "balancer/endpoint_table.hpp"

#include <set>
#include <vector>

#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

TEST(EndpointTable, PositionsCountFromTheLatestEpochAndKnownOnesStayValid) {
  BalancerFixture fixture;
  fixture.reportPosition(1, 100ms);
  fixture.balancer.setPositionEpoch(fixture.now - 60s);
  const RequestId id = fixture.submit(kBoundedRead);
  EXPECT_EQ(fixture.lastEndpoint(id), 1u);
  fixture.endAttempt(id, AttemptStatus::Ok, kFromReplica);
  fixture.reportPositionAfterEpoch(1, 59.95f);  // 50 ms ago, by the new epoch
  fixture.advanceTime(420ms);
  // The second report is 470 ms old, the first one 520 ms.
  EXPECT_EQ(fixture.lastEndpoint(fixture.submit(kBoundedRead)), 1u);
}

// Guards against memory that grows with the names that a client sends: each request for a new group without
// endpoints left a record behind, for up to a second.
TEST(EndpointTable, GroupsThatOnlyClientsNameAreRemoved) {
  const Settings settings = defaultSettings();
  RecordingSink sink;
  const balancer::Context context{settings, sink, balancer::SeededHash(1)};
  balancer::EndpointTable table(context);
  for (GroupId id = 1; id <= 100000; ++id) {
    table.group(id);
    ASSERT_LE(table.groups().size(), balancer::kMinEmptyGroupLimit + 1);
  }
}

TEST(EndpointTable, PositionsNeverRegress) {
  BalancerFixture fixture;
  fixture.reportPosition(2, 50ms);
  fixture.reportPosition(2, 900ms);  // an older report that arrives after a newer one
  EXPECT_EQ(fixture.lastEndpoint(fixture.submit(kBoundedRead)), 2u);
}

TEST(EndpointTable, SinglePrecisionPositionIsRoundedDown) {
  Settings settings = defaultSettings();
  settings.positionEpoch = TimePoint();  // a float of 1100 s is only accurate to +- 61 us
  BalancerFixture fixture(settings);
  fixture.now = TimePoint(1100s + 500ms);  // at the bound if the float were exact
  fixture.reportPositionAfterEpoch(2, 1100.0f);
  EXPECT_TRUE(fixture.sends(fixture.submit(kBoundedRead)).empty());
}

TEST(EndpointTable, FormerPrimaryThatRespondsAsReplicaNeedsAProvenPosition) {
  BalancerFixture fixture;
  fixture.reportPrimary(1);
  fixture.advanceTime(600ms);
  const RequestId id = fixture.submit(kBoundedRead);
  fixture.reportPosition(2, 550ms);
  fixture.reportPosition(3, 550ms);
  ASSERT_EQ(fixture.lastEndpoint(id), 1u);
  fixture.advanceTime(10ms);
  fixture.endAttempt(id, AttemptStatus::Ok, kFromReplica);
  EXPECT_TRUE(fixture.sends(fixture.submit(kBoundedRead)).empty());
}

TEST(EndpointTable, NewestEvidenceOfARoleWins) {
  BalancerFixture fixture;
  fixture.reportPrimary(1);
  fixture.advanceTime(100ms);
  fixture.reportPrimary(3);
  fixture.reportPosition(1, 90ms, true);  // an old report that arrives late
  EXPECT_EQ(fixture.lastEndpoint(fixture.submit(kWrite)), 3u);
}

TEST(EndpointTable, ListedRoleIsTheWeakestEvidence) {
  Settings settings = defaultSettings();
  settings.listedRole = ListedRole::AtStart;
  settings.healthChecksAllowed = false;
  BalancerFixture fixture(settings);
  EndpointUpdate listedPrimary = BalancerFixture::endpointUpdate(2);
  listedPrimary.primary = true;
  fixture.updateEndpoints({listedPrimary});
  EXPECT_EQ(fixture.lastEndpoint(fixture.submit(kWrite)), 2u);
  fixture.reportPrimary(3);
  fixture.updateEndpoints({listedPrimary});
  EXPECT_EQ(fixture.lastEndpoint(fixture.submit(kWrite)), 3u);
}

TEST(EndpointTable, DrainingAndRemovedEndpointsGetNoFurtherRequests) {
  BalancerFixture fixture;
  fixture.updateEndpoints({BalancerFixture::endpointUpdate(1, Lifecycle::Draining),
                           BalancerFixture::endpointUpdate(2, Lifecycle::Removed)});
  for (int k = 0; k < 5; ++k) EXPECT_EQ(fixture.lastEndpoint(fixture.submit(kEventualRead)), 3u);
  fixture.balancer.onEndpointList(fixture.now, EndpointListKind::Full, {BalancerFixture::endpointUpdate(1)});
  EXPECT_EQ(fixture.lastEndpoint(fixture.submit(kEventualRead)), 1u)
      << "listed as ready again, and 3 is absent from a complete list";
}

TEST(EndpointTable, OnlyDrainingForbidsRequestsIfRemovedEndpointsAcceptThem) {
  Settings settings = defaultSettings();
  settings.removedEndpointsAcceptRequests = true;
  BalancerFixture fixture(settings);
  fixture.updateEndpoints({BalancerFixture::endpointUpdate(1, Lifecycle::Draining),
                           BalancerFixture::endpointUpdate(2, Lifecycle::Removed)});
  fixture.updateEndpoints({BalancerFixture::endpointUpdate(1, Lifecycle::Removed)});
  std::set<EndpointId> used;
  for (int k = 0; k < 6; ++k) {
    const RequestId id = fixture.serve(kEventualRead, 10ms);
    used.insert(fixture.lastEndpoint(id));
  }
  EXPECT_EQ(used, (std::set<EndpointId>{2, 3}));
}

TEST(EndpointTable, OnlyDepartedAndIdleEndpointsAreRemoved) {
  BalancerFixture fixture;
  fixture.reportPrimary(1);
  const RequestId id = fixture.submit(kEventualRead);
  const EndpointId busy = fixture.lastEndpoint(id);
  const EndpointId idle = busy == 2 ? 3 : 2;
  fixture.updateEndpoints({BalancerFixture::endpointUpdate(idle, Lifecycle::Removed),
                           BalancerFixture::endpointUpdate(busy, Lifecycle::Removed)});
  fixture.advanceTime(9000ms);
  EXPECT_TRUE(fixture.balancer.removeDeparted(fixture.now).empty());
  fixture.advanceTime(1000ms);
  EXPECT_EQ(fixture.balancer.removeDeparted(fixture.now), std::vector<EndpointId>{idle});
  fixture.endAttempt(id, AttemptStatus::Ok, kFromReplica);
  EXPECT_EQ(fixture.balancer.removeDeparted(fixture.now), std::vector<EndpointId>{busy});
  fixture.reportPosition(idle, 0ms);  // ignored, because the endpoint is unknown by now
  fixture.updateEndpoints({BalancerFixture::endpointUpdate(idle)});
  fixture.advanceTime(20000ms);
  EXPECT_TRUE(fixture.balancer.removeDeparted(fixture.now).empty()) << "it is listed again";
}

}  // namespace
}  // namespace stonebay::test
