// Tests of how replica selection weighs the loads that endpoints report.
#include <vector>

#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

Settings settingsWithReportedLoad() {
  Settings settings = defaultSettings();
  settings.reportFields = {ReportField::Position, ReportField::Primary, ReportField::InFlight};
  return settings;
}

Settings settingsWithReportedLoadAndStaleReadsRejected() {
  Settings settings = settingsWithReportedLoad();
  settings.staleReadPolicy = StaleReadPolicy::Reject;
  return settings;
}

// Deployment ankara-schools-later: most proxies learn of an endpoint's queue from its reports only.
TEST(ReadSet, LessLoadedOfTwoReplicasIsChosenByTheirReports) {
  BalancerFixture fixture(settingsWithReportedLoadAndStaleReadsRejected());
  fixture.reportPrimary(3);
  const RequestId warmUp = fixture.submit(kEventualRead);
  fixture.reportLoad(1, false, 0);
  fixture.reportLoad(2, false, 0);
  fixture.advanceTime(100ms);
  fixture.endAttempt(warmUp, AttemptStatus::Ok, kFromReplica);
  fixture.advanceTime(2000ms);
  const RequestId id = fixture.submit(kEventualRead);
  ASSERT_TRUE(fixture.sends(id).empty());
  fixture.reportLoad(1, false, 60);
  EXPECT_TRUE(fixture.sends(id).empty()) << "the other one's report is still to come";
  fixture.reportLoad(2, false, 1);
  EXPECT_EQ(fixture.lastEndpoint(id), 2u);
}

// Three replicas whose turn comes one after another, and a primary. Two replicas hold the same load; the
// third one is idle, and the proxy knows so or has no report of any.
struct LoadedGroup {
  BalancerFixture fixture{settingsWithReportedLoadAndStaleReadsRejected(), 4};
  EndpointId third = 0;  // the replica that is last in turn
  RequestId id = 0;      // the read that is submitted once the loads are as described

  explicit LoadedGroup(bool thirdIsKnownIdle, int inFlight = 8, Duration reportAge = Duration(0)) {
    warmUp();
    fixture.advanceTime(2000ms);
    fixture.actions.recorded.clear();
    if (thirdIsKnownIdle) reportLoads(inFlight);
    fixture.advanceTime(reportAge);
    id = fixture.submit(kEventualRead);
    const std::vector<Action> healthChecks = fixture.actions.of(ActionKind::HealthCheck);
    for (const Action& action : healthChecks)
      fixture.reportLoad(action.endpoint, false, action.endpoint == third ? 0 : inFlight);
    EXPECT_EQ(healthChecks.size(), thirdIsKnownIdle ? 0u : 2u);
  }

 private:
  void reportReplicasIdle() {
    for (EndpointId endpoint = 1; endpoint <= 3; ++endpoint) fixture.reportLoad(endpoint, false, 0);
  }
  void warmUp() {
    fixture.reportLoad(4, true, 0);
    reportReplicasIdle();
    for (int k = 0; k < 15; ++k) {  // one response in five takes longer
      third = fixture.lastEndpoint(fixture.serve(kEventualRead, k % 5 == 4 ? 300ms : 100ms));
      reportReplicasIdle();
    }
  }
  void reportLoads(int inFlight) {
    fixture.reportLoad(third, false, 0);
    for (EndpointId endpoint = 1; endpoint <= 3; ++endpoint)
      if (endpoint != third) fixture.reportLoad(endpoint, false, inFlight);
  }
};

// event4996: two replicas together reached the target probability and neither alone did: the read was
// rejected immediately, while others were idle.
TEST(ReadSet, BusyReplicasArePassedOverInsteadOfRejectingTheRead) {
  LoadedGroup group(true);
  ASSERT_EQ(group.fixture.sends(group.id).size(), 1u) << "rejected";
  EXPECT_EQ(group.fixture.lastEndpoint(group.id), group.third) << "the idle replica, not the primary";
}

// A variant's calm day: for a second after one report of an idle replica, all of 300 proxies sent there,
// whatever load the others of its group had by then.
TEST(ReadSet, OldReportOfAnIdleReplicaIsWeighedAgainstItsGroup) {
  LoadedGroup fresh(true, 30, 0ms);
  LoadedGroup old(true, 30, 600ms);
  ASSERT_EQ(fresh.fixture.sends(fresh.id).size(), 1u);
  EXPECT_EQ(fresh.fixture.lastEndpoint(fresh.id), fresh.third);
  EXPECT_TRUE(old.fixture.sends(old.id).empty());
  EXPECT_TRUE(old.fixture.hasFinalResponse(old.id));
}

// Another deployment, without gossip: each of 300 proxies took every replica without a report for idle, and
// complete groups were overloaded one after another.
TEST(ReadSet, ReplicaWithoutAReportIsTakenToBeAsLoadedAsItsGroup) {
  LoadedGroup group(false);
  EXPECT_TRUE(group.fixture.sends(group.id).empty());
  EXPECT_TRUE(group.fixture.hasFinalResponse(group.id));
}

// event7574: a hundred proxies learned that one replica was idle and all sent there for a quarter of a
// second.
TEST(ReadSet, OldReportOfALoadCountsForLessThanTheMeanOfItsGroup) {
  BalancerFixture fixture(settingsWithReportedLoad());
  fixture.reportLoad(1, true, 60);
  fixture.reportLoad(2, false, 0);
  for (int k = 0; k < 10; ++k) {
    fixture.serve(kEventualRead, 100ms);
    fixture.reportLoad(2, false, 0);
    fixture.reportLoad(3, false, 0);
  }
  fixture.reportLoad(1, true, 60);
  fixture.reportLoad(2, false, 1);
  fixture.reportLoad(3, false, 60);
  const RequestId withFreshReport = fixture.submit(kEventualRead);
  EXPECT_EQ(fixture.lastEndpoint(withFreshReport), 2u);
  fixture.advanceTime(100ms);
  fixture.endAttempt(withFreshReport, AttemptStatus::Ok, kFromReplica);
  fixture.reportLoad(2, false, 1);
  fixture.advanceTime(700ms);
  const RequestId withOldReport = fixture.submit(kEventualRead);
  EXPECT_TRUE(fixture.sends(withOldReport).empty());
}

}  // namespace
}  // namespace stonebay::test
