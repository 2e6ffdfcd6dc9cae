// Tests of broadcasts between proxies: their contents, their rate and their effect on the receiver.
#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

Settings settingsWithGossip() {
  Settings settings = defaultSettings();
  settings.gossipAllowed = true;
  return settings;
}

// Guards against a health check for almost every read: without gossip, each of a hundred proxies received a
// report of a given endpoint only every few seconds.
TEST(GossipPolicy, ReportToOneProxyMakesHealthChecksOfTheOthersUnnecessary) {
  BalancerFixture sender(settingsWithGossip());
  BalancerFixture receiver(settingsWithGossip());
  sender.reportPrimary(1);
  sender.reportPosition(2, 40ms);
  sender.reportPosition(2, 30ms);
  ASSERT_EQ(sender.actions.broadcasts.size(), 2u)
      << "one message per endpoint, then none for kBroadcastInterval";
  for (const GossipMessage& message : sender.actions.broadcasts)
    receiver.balancer.onGossip(receiver.now, message);
  receiver.advanceTime(20ms);
  receiver.reportPosition(2, 0ms);
  EXPECT_TRUE(receiver.actions.broadcasts.empty()) << "all proxies have just received a broadcast of it";
  const RequestId read = receiver.submit(kBoundedRead);
  const RequestId write = receiver.submit(kWrite);
  EXPECT_EQ(receiver.actions.count(ActionKind::HealthCheck), 0u);
  EXPECT_EQ(receiver.lastEndpoint(read), 2u);
  EXPECT_EQ(receiver.lastEndpoint(write), 1u);
  receiver.advanceTime(400ms);
  receiver.reportPosition(3, 0ms);
  receiver.reportPosition(2, 0ms);
  EXPECT_EQ(receiver.actions.broadcasts.size(), 2u);
}

// Guards against a flood of broadcasts when messages are lost: no proxy learned of the broadcasts of the
// others, and all 300 proxies broadcast every report.
TEST(GossipPolicy, BroadcastRateStaysBelowTwiceTheProxysShareWhenNoGossipArrives) {
  Settings settings = settingsWithGossip();
  for (const int proxies : {3, 300}) {
    settings.proxyCount = proxies;
    BalancerFixture fixture(settings);
    constexpr int kReports = 1200;  // one every 50 ms, for a minute
    for (int k = 0; k < kReports; ++k) {
      fixture.reportPosition(2, 0ms);
      fixture.advanceTime(50ms);
    }
    const double share = 60 / 0.25 / proxies;  // all proxies together: one message every 250 ms
    EXPECT_GT(fixture.actions.broadcasts.size(), share);
    EXPECT_LT(fixture.actions.broadcasts.size(), 2.5 * share + 1);
  }
}

// Guards against redundant health checks during primary discovery: each of a hundred proxies checked all
// endpoints of a group.
TEST(GossipPolicy, EndpointsWithRecentGossipAreNotCheckedDuringPrimaryDiscovery) {
  BalancerFixture fixture(settingsWithGossip());
  const RequestId id = fixture.submit(kWrite);
  for (int k = 0; k < 3; ++k) fixture.endAttempt(id, AttemptStatus::TooStale, kFromReplica);
  for (int k = 0; k < 5; ++k) {
    for (EndpointId endpoint = 1; endpoint <= 3; ++endpoint)
      fixture.balancer.onGossip(fixture.now, {endpoint, fixture.now - 20ms, false, 0});
    fixture.runTimers(100ms);
  }
  EXPECT_EQ(fixture.actions.count(ActionKind::HealthCheck), 0u);
  fixture.runTimers(400ms);
  EXPECT_GE(fixture.actions.count(ActionKind::HealthCheck), 3u);
}

TEST(GossipPolicy, MessagesFromTheFutureOrAboutUnknownEndpointsAreIgnored) {
  BalancerFixture fixture(settingsWithGossip(), 1);
  fixture.balancer.onGossip(fixture.now, {1, fixture.now + 1ms, false, 0});
  fixture.balancer.onGossip(fixture.now, {9, fixture.now, true, 0});
  EXPECT_TRUE(fixture.sends(fixture.submit(kBoundedRead)).empty());
  fixture.balancer.onGossip(fixture.now, {1, fixture.now, false, 0});
  EXPECT_EQ(fixture.actions.count(ActionKind::Send), 1u);
}

TEST(GossipPolicy, NothingIsBroadcastIfGossipIsNotAllowed) {
  BalancerFixture fixture;
  fixture.reportPosition(2, 0ms);
  EXPECT_TRUE(fixture.actions.broadcasts.empty());
}

}  // namespace
}  // namespace stonebay::test
