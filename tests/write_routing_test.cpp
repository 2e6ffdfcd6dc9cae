#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

TEST(Writes, TryMembersByIdThenWaitForAnAnswerAsPrimary) {
  Bench t;
  const RequestId id = t.ask(kWrite);
  for (EndpointId m = 1; m <= 3; ++m) {
    ASSERT_EQ(t.lastTo(id), m);
    t.end(id, AttemptStatus::TooStale, kFromReplica);
  }
  EXPECT_EQ(t.sends(id).size(), 3u);
  const RequestId other = t.ask(kWrite);
  EXPECT_TRUE(t.sends(other).empty()) << "one scout is enough";
  t.run(300);
  EXPECT_FALSE(t.out.of("probe").empty());
  t.report(2, 0, true);
  EXPECT_EQ(t.lastTo(id), 2u);
  EXPECT_EQ(t.lastTo(other), 2u);
}

// Found by the example: a write turned away by a replica says nothing of how that replica serves reads.
TEST(Writes, AMisplacedWriteLeavesNoLatencySample) {
  Bench t;
  const RequestId id = t.ask(kWrite);
  t.end(id, AttemptStatus::TooStale, kFromReplica);
  t.end(id, AttemptStatus::Ok, t.evidence(0, Role::Primary));
  ASSERT_EQ(t.lastTo(id), 2u);
  t.b.onEndpointList(t.now, EndpointListKind::Delta, {Bench::entry(3, Lifecycle::Gone)});
  EXPECT_EQ(t.lastTo(t.ask(kAny)), 1u);
}

// A release on day 4 of the full score: writes used up all their attempts on replicas while a primary was
// elected, and were refused seconds before their time.
TEST(Primary, AWriteKeepsItsLastAttemptForThePrimary) {
  Bench t(settings(), 7);
  const RequestId id = t.ask(kWrite);
  for (int k = 0; k < 12 && !t.finalAnswer(id); ++k) {
    const std::size_t before = t.sends(id).size();
    if (before > 0) t.end(id, AttemptStatus::TooStale, kFromReplica);
    t.b.onEndpointList(t.now, EndpointListKind::Delta,
                       {Bench::entry(7)});  // any change of the list lets it look again
    t.run(20);
    if (t.sends(id).size() == before) break;
  }
  EXPECT_FALSE(t.finalAnswer(id));
  ASSERT_EQ(t.sends(id).size(), 5u);
  t.report(7, 0, true);
  ASSERT_EQ(t.sends(id).size(), 6u);
  EXPECT_EQ(t.lastTo(id), 7u);
}

}  // namespace
}  // namespace stonebay::test
