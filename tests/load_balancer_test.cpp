#include <string>

#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

TEST(Settings, ContradictionsAreTold) {
  Recorder r;
  Settings s = settings();
  s.classes.clear();
  EXPECT_THROW(LoadBalancer(s, 1, r), std::invalid_argument);
  s = settings();
  s.classes[0].latencyObjective = s.classes[0].deadline + milliseconds(1);
  EXPECT_THROW(LoadBalancer(s, 1, r), std::invalid_argument);
  s = settings();
  s.initialCapacity = 0;
  EXPECT_THROW(LoadBalancer(s, 1, r), std::invalid_argument);
}

TEST(FinalAnswer, OkEndsARequestAndNothingMoreIsSent) {
  Bench t;
  const RequestId id = t.ask(kAny);
  ASSERT_EQ(t.sends(id).size(), 1u);
  t.pass(20);
  t.end(id, AttemptStatus::Ok, kFromReplica);
  t.run(3000);
  EXPECT_EQ(t.sends(id).size(), 1u);
  EXPECT_FALSE(t.finalAnswer(id));
}

TEST(FinalAnswer, AReadThatTimedOutAtItsDeadlineIsRefusedAtOnce) {
  Bench t;
  const RequestId id = t.ask(kAny);
  t.pass(2000);
  t.end(id, AttemptStatus::Timeout);
  EXPECT_EQ(t.out.of("refuse", id).size(), 1u);
}

TEST(Fit, OldDataADrainOrTheEndOfTheRequestForbidALateSend) {
  Bench t;
  t.report(1, 0);
  const RequestId id = t.ask(kBounded);
  ASSERT_EQ(t.lastTo(id), 1u);
  EXPECT_TRUE(t.b.isStillEligible(t.now + milliseconds(400), id, 1));
  EXPECT_FALSE(t.b.isStillEligible(t.now + milliseconds(600), id, 1));  // the bound is 500 ms
  t.now += milliseconds(600);
  t.report(1, 0);
  EXPECT_TRUE(t.b.isStillEligible(t.now, id, 1));  // newer word has come
  t.b.onEndpointList(t.now, EndpointListKind::Delta, {Bench::entry(1, Lifecycle::Draining)});
  EXPECT_FALSE(t.b.isStillEligible(t.now, id, 1));
  t.b.onEndpointList(t.now, EndpointListKind::Delta, {Bench::entry(1)});
  EXPECT_TRUE(t.b.isStillEligible(t.now, id, 1));
  t.b.onClientLeft(t.now, id);
  EXPECT_FALSE(t.b.isStillEligible(t.now, id, 1));
}

TEST(FinalAnswer, NothingIsOwedOnceTheClientHasLeft) {
  Bench t;
  const RequestId id = t.ask(kAny);
  t.b.onClientLeft(t.now, id);
  t.end(id, AttemptStatus::Cancelled);
  t.run(3000);
  EXPECT_FALSE(t.finalAnswer(id));
  EXPECT_EQ(t.sends(id).size(), 1u);
}

TEST(FinalAnswer, UnknownClassesAndUnknownEventsDoNoHarm) {
  Bench t;
  Request q;
  q.id = 9;
  q.classIndex = 99;
  t.b.onRequest(t.now, q);
  EXPECT_EQ(t.out.of("refuse", 9).size(), 1u);
  AttemptOutcome o;
  o.request = 12345;
  o.endpoint = 55;
  t.b.onAttemptOutcome(t.now, o);
  HealthCheckResult p;
  p.endpoint = 77;
  t.b.onHealthCheck(t.now, p);
  t.b.onClientLeft(t.now, 4711);
  t.b.onTimer(t.now, TimerToken::decode(~0ull));
  const RequestId id = t.ask(kAny);
  t.end(id, AttemptStatus::Ok);
  t.end(id, AttemptStatus::Error);  // looks like a second outcome of the same attempt
  EXPECT_FALSE(t.finalAnswer(id));
}

TEST(Idle, ARouterWithNothingOutSetsNoTimer) {
  Bench t;
  const RequestId id = t.ask(kAny);
  t.end(id, AttemptStatus::Ok, kFromReplica);
  t.run(100);
  const std::size_t before = t.out.of("timer").size();
  t.run(5000);
  EXPECT_EQ(t.out.of("timer").size(), before);
}

TEST(Determinism, TheSameEventsGiveTheSameActions) {
  const auto play = [] {
    Bench t;
    for (int k = 0; k < 50; ++k) {
      const RequestId id = t.ask(k % 4);
      t.report(static_cast<EndpointId>(k % 3 + 1), k, k % 7 == 0);
      t.run(15);
      if (!t.sends(id).empty()) t.end(id, k % 5 ? AttemptStatus::Ok : AttemptStatus::Error, kFromReplica);
    }
    std::string s;
    for (const Action& a : t.out.all)
      s += a.what + std::to_string(a.id) + "/" + std::to_string(a.endpoint) + " ";
    return s;
  };
  EXPECT_EQ(play(), play());
}

}  // namespace
}  // namespace stonebay::test
