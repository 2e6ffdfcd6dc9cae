// Tests of the influence of reported loads on replica selection.
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

// With many proxies, most of them learn of the queue of an endpoint only from its load reports.
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
  EXPECT_TRUE(fixture.sends(id).empty()) << "the report of the other replica has not arrived";
  fixture.reportLoad(2, false, 1);
  EXPECT_EQ(fixture.lastEndpoint(id), 2u);
}

// Three replicas in order of their last use, and a primary. Two replicas have the same load and the third one
// is idle. The proxy has reports of all replicas, or of none before the read is submitted.
struct LoadedGroup {
  BalancerFixture fixture{settingsWithReportedLoadAndStaleReadsRejected(), 4};
  EndpointId third = 0;  // the most recently used replica
  RequestId id = 0;      // the read that is submitted with these loads

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

// Guards against rejecting a read while replicas are idle: two busy replicas reached the target probability
// only together, and the read was rejected without considering the others.
TEST(ReadSet, BusyReplicasAreSkippedInsteadOfRejectingTheRead) {
  LoadedGroup group(true);
  ASSERT_EQ(group.fixture.sends(group.id).size(), 1u) << "rejected";
  EXPECT_EQ(group.fixture.lastEndpoint(group.id), group.third) << "the idle replica, not the primary";
}

// Guards against a rush to one replica: for a second after a report of an idle replica, all 300 proxies sent
// their reads there, although the loads of its group had changed by then.
TEST(ReadSet, OldReportOfAnIdleReplicaIsAveragedWithItsGroup) {
  LoadedGroup fresh(true, 30, 0ms);
  LoadedGroup old(true, 30, 600ms);
  ASSERT_EQ(fresh.fixture.sends(fresh.id).size(), 1u);
  EXPECT_EQ(fresh.fixture.lastEndpoint(fresh.id), fresh.third);
  EXPECT_TRUE(old.fixture.sends(old.id).empty());
  EXPECT_TRUE(old.fixture.hasFinalResponse(old.id));
}

// Guards against overload without gossip: each of 300 proxies took every replica without a report to be idle,
// and complete groups were overloaded one after another.
TEST(ReadSet, ReplicaWithoutAReportIsAssumedToHaveTheMeanLoadOfItsGroup) {
  LoadedGroup group(false);
  EXPECT_TRUE(group.fixture.sends(group.id).empty());
  EXPECT_TRUE(group.fixture.hasFinalResponse(group.id));
}

// Guards against a rush to one replica: a hundred proxies learned that it was idle, and all sent their reads
// there for a quarter of a second.
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
