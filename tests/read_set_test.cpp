#include <vector>

#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

// ankara-schools-later: most routers see a member's queue in its reports only.
TEST(Asking, TheLessLoadedOfTwoIsChosenByTheirReports) {
  Settings s = settings();
  s.staleReadPolicy = StaleReadPolicy::Reject;
  s.reportFields = {ReportField::Position, ReportField::Primary, ReportField::InFlight};
  Bench t(s);
  t.teachPrimary(3);
  const RequestId warm = t.ask(kAny);
  const auto tell = [&](EndpointId m, float held) {
    HealthCheckResult p;
    p.endpoint = m;
    p.ok = true;
    p.report = {static_cast<float>(std::chrono::duration<double>(t.now - s.positionEpoch).count()), 0, held};
    t.b.onHealthCheck(t.now, p);
  };
  tell(1, 0);
  tell(2, 0);
  t.pass(100);
  t.end(warm, AttemptStatus::Ok, kFromReplica);
  t.pass(2000);
  const RequestId id = t.ask(kAny);
  ASSERT_TRUE(t.sends(id).empty());
  tell(1, 60);
  EXPECT_TRUE(t.sends(id).empty()) << "the other one's word is still out";
  tell(2, 1);
  EXPECT_EQ(t.lastTo(id), 2u);
}

// Three replicas whose turn comes one after another; the first two are known to hold as much each.
struct TwoBusy {
  Settings s = [] {
    Settings given = settings();
    given.staleReadPolicy = StaleReadPolicy::Reject;
    given.reportFields = {ReportField::Position, ReportField::Primary, ReportField::InFlight};
    return given;
  }();
  Bench t{s, 4};
  RequestId id = 0;
  EndpointId third = 0;
  explicit TwoBusy(bool thirdIsIdle, int held = 8, int agoMs = 0) {
    t.reportLoad(4, true, 0);
    for (EndpointId m = 1; m <= 3; ++m) t.reportLoad(m, false, 0);
    for (int k = 0; k < 15; ++k) {  // one in five takes longer
      const RequestId warm = t.ask(kAny);
      third = t.lastTo(warm);
      t.pass(k % 5 == 4 ? 300 : 100);
      t.end(warm, AttemptStatus::Ok, kFromReplica);
      for (EndpointId m = 1; m <= 3; ++m) t.reportLoad(m, false, 0);
    }
    t.pass(2000);
    t.out.all.clear();
    if (thirdIsIdle) t.reportLoad(third, false, 0);
    for (EndpointId m = 1; thirdIsIdle && m <= 3; ++m)
      if (m != third) t.reportLoad(m, false, held);
    t.pass(agoMs);
    id = t.ask(kAny);
    const std::vector<Action> asked = t.out.of("probe");
    for (const Action& a : asked) t.reportLoad(a.endpoint, false, a.endpoint == third ? 0 : held);
    EXPECT_EQ(asked.size(), thirdIsIdle ? 0u : 2u);
  }
};

// event4996: two replicas together promised enough and neither alone did: the read was refused at once, while
// others were idle.
TEST(ReadSet, PassesOverBusyReplicasInsteadOfRefusing) {
  TwoBusy busy(true);
  ASSERT_EQ(busy.t.sends(busy.id).size(), 1u) << "refused";
  EXPECT_EQ(busy.t.lastTo(busy.id), busy.third) << "the idle replica, not the primary";
}

// A variant's calm day: for a second after one word of nothing, all of 300 proxies ran there whatever the
// others of its group held by then.
TEST(ReadSet, AnOldWordOfNothingIsWeighedAgainstItsGroup) {
  TwoBusy fresh(true, 30, 0), old(true, 30, 600);
  ASSERT_EQ(fresh.t.sends(fresh.id).size(), 1u);
  EXPECT_EQ(fresh.t.lastTo(fresh.id), fresh.third);
  EXPECT_TRUE(old.t.sends(old.id).empty());
  EXPECT_TRUE(old.t.finalAnswer(old.id));
}

// Another deployment, without words between proxies: each of 300 proxies took every replica that it had not
// heard of for idle, and whole groups drowned one after another.
TEST(ReadSet, AMemberThatNobodyHeardOfIsAsLoadedAsTheOthersOfItsGroup) {
  TwoBusy busy(false);
  EXPECT_TRUE(busy.t.sends(busy.id).empty());
  EXPECT_TRUE(busy.t.finalAnswer(busy.id));
}

// event7574: a hundred routers heard that one replica was idle and all ran there for a quarter of a second.
TEST(ReadSet, AnOldWordOfALoadCountsForLessThanItsGroupsMean) {
  Settings s = settings();
  s.reportFields = {ReportField::Position, ReportField::Primary, ReportField::InFlight};
  Bench t(s);
  const auto tell = [&](EndpointId m, bool primary, int held) { t.reportLoad(m, primary, held); };
  tell(1, true, 60);
  tell(2, false, 0);
  for (int k = 0; k < 10; ++k) {
    const RequestId warm = t.ask(kAny);
    t.pass(100);
    t.end(warm, AttemptStatus::Ok, kFromReplica);
    tell(2, false, 0);
    tell(3, false, 0);
  }
  tell(1, true, 60);
  tell(2, false, 1);
  tell(3, false, 60);
  const RequestId fresh = t.ask(kAny);
  EXPECT_EQ(t.lastTo(fresh), 2u);
  t.pass(100);
  t.end(fresh, AttemptStatus::Ok, kFromReplica);
  tell(2, false, 1);
  t.pass(700);
  const RequestId old = t.ask(kAny);
  EXPECT_TRUE(t.sends(old).empty());
}

}  // namespace
}  // namespace stonebay::test
