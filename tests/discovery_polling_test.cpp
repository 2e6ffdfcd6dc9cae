#include <set>

#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

TEST(Discovery, IsAskedAtTheStartAndAgainAfterAFailure) {
  Settings s = settings();
  s.discovery = DiscoveryMode::Poll;
  Bench t(s);
  EXPECT_EQ(t.out.of("subscribe").size(), 1u);
  t.b.onEndpointList(t.now, EndpointListKind::Failed, {});
  const Action again = t.out.of("timer").back();
  EXPECT_LT(again.time, s.maxPollInterval / 4);
  t.now += again.time;
  t.b.onTimer(t.now, again.token);
  EXPECT_EQ(t.out.of("subscribe").size(), 2u);
  t.b.onEndpointList(t.now, EndpointListKind::Delta, {});
  for (const Action& a : t.out.of("timer"))
    if (a.token.encoded() != 0) t.b.onTimer(t.now + seconds(9), a.token);
  EXPECT_EQ(t.out.of("subscribe").size(), 2u) << "an answered call is not repeated";
}

// event4996: all proxies lost their watch at once and asked again at the same instants; some got no list in
// 25 s.
TEST(Discovery, ManyRoutersAskEachAtATimeOfItsOwn) {
  Settings s = settings();
  s.discovery = DiscoveryMode::Poll;
  s.proxyCount = 100;
  std::set<Time> first, again;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Bench t(s, 3, seed);
    EXPECT_TRUE(t.out.of("subscribe").empty());
    const Action start = t.out.of("timer").back();
    first.insert(start.time);
    EXPECT_LT(start.time, seconds(2));
    t.b.onTimer(t.now += start.time, start.token);
    EXPECT_EQ(t.out.of("subscribe").size(), 1u);
    t.b.onEndpointList(t.now, EndpointListKind::Failed, {});
    again.insert(t.out.of("timer").back().time);
  }
  EXPECT_GT(first.size(), 90u);
  EXPECT_GT(again.size(), 90u);
  EXPECT_GT(*again.rbegin() - *again.begin(), milliseconds(500));
}

// A change counts as told 6 s after discovery had it and could be reached, and after a watch fell silent: 3 s
// of silence and 6 s of spread, as 300 routers had, are too many.
TEST(Discovery, AsksAgainInTimeHoweverManyTheRoutersAre) {
  Settings s = settings();
  s.discovery = DiscoveryMode::Poll;
  for (const int routers : {1, 30, 300, 3000}) {
    s.proxyCount = routers;
    Bench t(s);
    for (int k = 0; k < 8; ++k) {
      t.b.onEndpointList(t.now, EndpointListKind::Failed, {});
      const Action again = t.out.of("timer").back();
      EXPECT_LE(again.time, seconds(2)) << routers;
      t.b.onTimer(t.now += again.time, again.token);
      EXPECT_FALSE(t.out.of("subscribe").empty());
      t.out.all.clear();
    }
  }
}

TEST(Discovery, AnUnansweredCallIsRepeatedBeforeItIsTooLate) {
  Settings s = settings();
  s.discovery = DiscoveryMode::Poll;
  Bench t(s);
  const Action guard = t.out.of("timer").back();
  EXPECT_LT(guard.time, s.maxPollInterval);
  t.now += guard.time;
  t.b.onTimer(t.now, guard.token);
  EXPECT_EQ(t.out.of("subscribe").size(), 2u);
}

}  // namespace
}  // namespace stonebay::test
