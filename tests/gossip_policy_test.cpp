#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

// event4996: one of a hundred routers heard from a member every few seconds, so each read paid for probes.
TEST(GossipChannel, WhatOneRouterHeardSparesTheOthersTheirProbes) {
  Settings s = settings();
  s.gossipAllowed = true;
  Bench here(s), there(s);
  here.report(1, 0, true);
  here.report(2, 40);
  here.report(2, 30);
  ASSERT_EQ(here.out.words.size(), 2u) << "a word a member, then none for a while";
  for (const GossipMessage& w : here.out.words) there.b.onGossip(there.now, w);
  there.pass(20);
  there.report(2, 0);
  EXPECT_TRUE(there.out.words.empty()) << "all routers have just heard of it";
  const RequestId read = there.ask(kBounded), write = there.ask(kWrite);
  EXPECT_TRUE(there.out.of("probe").empty());
  EXPECT_EQ(there.lastTo(read), 2u);
  EXPECT_EQ(there.lastTo(write), 1u);
  there.pass(400);
  there.report(3, 0);
  there.report(2, 0);
  EXPECT_EQ(there.out.words.size(), 2u);
}

// A day on which words are lost on the way: nobody heard that it had been told, and all 300 told everything.
TEST(GossipChannel, NoRouterTellsMoreThanTwiceItsPartThoughItHearsOfNobody) {
  Settings s = settings();
  s.gossipAllowed = true;
  for (const int routers : {3, 300}) {
    s.proxyCount = routers;
    Bench t(s);
    constexpr int kPasses = 1200;  // of 50 ms: a minute
    for (int k = 0; k < kPasses; ++k, t.pass(50)) t.report(2, 0);
    const double part = 60 / 0.25 / routers;  // a word in a quarter of a second from all of them
    EXPECT_GT(t.out.words.size(), part);
    EXPECT_LT(t.out.words.size(), 2.5 * part + 1);
  }
}

// Day 4 of the full score: each of a hundred proxies asked all members of a group for its primary.
TEST(GossipChannel, WhatAPeerJustSaidIsNotAskedAgainInTheSearchForAPrimary) {
  Settings s = settings();
  s.gossipAllowed = true;
  Bench t(s);
  const RequestId id = t.ask(kWrite);
  for (int k = 0; k < 3; ++k) t.end(id, AttemptStatus::TooStale, kFromReplica);
  for (int k = 0; k < 5; ++k) {
    for (EndpointId m = 1; m <= 3; ++m) t.b.onGossip(t.now, {m, t.now - milliseconds(20), false, 0});
    t.run(100);
  }
  EXPECT_TRUE(t.out.of("probe").empty());
  t.run(400);
  EXPECT_GE(t.out.of("probe").size(), 3u);
}

TEST(GossipChannel, AWordOfTheFutureOrOfNoMemberIsNone) {
  Settings s = settings();
  s.gossipAllowed = true;
  Bench t(s, 1);
  t.b.onGossip(t.now, {1, t.now + milliseconds(1), false, 0});
  t.b.onGossip(t.now, {9, t.now, true, 0});
  EXPECT_TRUE(t.sends(t.ask(kBounded)).empty());
  t.b.onGossip(t.now, {1, t.now, false, 0});
  EXPECT_EQ(t.out.of("send").size(), 1u);
}

TEST(GossipChannel, NothingIsToldWhereItIsNotAllowed) {
  Bench t;
  t.report(2, 0);
  EXPECT_TRUE(t.out.words.empty());
}

}  // namespace
}  // namespace stonebay::test
