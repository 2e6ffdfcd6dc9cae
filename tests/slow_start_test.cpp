#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

// Found on the bench (izmir-glaze-later, ankara-schools-later): hundreds of routers, each of which sent one
// request at a time to a member that had just started, pushed it over.
TEST(Cold, ManyRoutersTogetherSendAMemberItsShare) {
  int cold = 0, all = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Bench t(settings(), 3, seed);
    t.next = 1000 * seed;
    t.b.onEndpointList(t.now, EndpointListKind::Delta, {Bench::entry(1, Lifecycle::Ready, t.now)});
    for (int k = 0; k < 3; ++k, ++all) {
      const RequestId id = t.ask(kAny);
      cold += t.lastTo(id) == 1;
      t.end(id, AttemptStatus::Ok, kFromReplica);
    }
  }
  // A third of the requests is a warm member's; it can do a fifth of that at least, half of which it gets.
  EXPECT_GT(cold, 0);
  EXPECT_LE(cold, all / 3 / 5);
}

TEST(Cold, TheShareIsOfTheWholeGroupThoughTheOthersAreGone) {
  Bench t;
  t.b.onEndpointList(t.now, EndpointListKind::Full, {Bench::entry(1, Lifecycle::Ready, t.now)});
  int sent = 0;
  for (int k = 0; k < 300; ++k) sent += !t.sends(t.ask(kAny)).empty();
  EXPECT_GT(sent, 0);
  EXPECT_LE(sent, 300 / 3 / 5);
}

// Incident i4914d4: routers that looked for a primary pushed cold replicas over with misplaced writes.
TEST(Cold, MisplacedWritesCountInTheShareOfAMember) {
  int cold = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Bench t(settings(), 3, seed);
    t.next = 1000 * seed;
    t.b.onEndpointList(t.now, EndpointListKind::Delta, {Bench::entry(1, Lifecycle::Ready, t.now)});
    cold += t.lastTo(t.ask(kWrite)) == 1;  // no primary is known, 1 is first by id
  }
  EXPECT_LE(cold, 300 / 3 / 5);
}

// event6935: after a release two warm replicas of six drowned while four cold ones, known to be idle, got
// next to nothing and the rest was refused.
TEST(ColdStart, AToldLoadOpensAMemberToItsShareOfReads) {
  Settings s = settings();
  s.reportFields = {ReportField::Position, ReportField::Primary, ReportField::InFlight};
  s.overloadFactor = 4;
  const auto share = [&](bool told) {
    int cold = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      Bench t(s, 3, seed);
      t.next = 1000 * seed;
      t.b.onEndpointList(t.now, EndpointListKind::Delta,
                         {Bench::entry(2, Lifecycle::Ready, t.now - seconds(5))});
      for (EndpointId m = 1; m <= 3; ++m)
        told ? t.reportLoad(m, m == 1, m == 2 ? 0 : 9) : t.report(m, 0, m == 1);
      for (int k = 0; k < 4; ++k) cold += t.lastTo(t.ask(kAny)) == 2;
    }
    return cold / 1200.0;
  };
  const double blind = share(false), told = share(true), capacity = 0.2 + 0.8 * 5 / 10;
  EXPECT_GT(told, 2 * blind);
  EXPECT_LT(told, 1.6 * capacity / 3) << "never more than half above its share, whatever it tells";
}

}  // namespace
}  // namespace stonebay::test
