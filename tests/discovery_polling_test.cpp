// Tests of the times at which discovery is polled.
#include <set>

#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

Settings settingsWithPolling(int proxyCount = 1) {
  Settings settings = defaultSettings();
  settings.discovery = DiscoveryMode::Poll;
  settings.proxyCount = proxyCount;
  return settings;
}

Action lastTimer(const BalancerFixture& fixture) { return fixture.actions.of(ActionKind::Timer).back(); }

void fire(BalancerFixture& fixture, const Action& timer) {
  fixture.advanceTime(timer.time);
  fixture.balancer.onTimer(fixture.now, timer.token);
}

void failPoll(BalancerFixture& fixture) {
  fixture.balancer.onEndpointList(fixture.now, EndpointListKind::Failed, {});
}

TEST(DiscoveryPolling, PollsAtTheStartAndAgainAfterAFailure) {
  BalancerFixture fixture(settingsWithPolling());
  EXPECT_EQ(fixture.actions.count(ActionKind::PollDiscovery), 1u);
  failPoll(fixture);
  const Action retry = lastTimer(fixture);
  EXPECT_LT(retry.time, fixture.settings.maxPollInterval / 4);
  fire(fixture, retry);
  EXPECT_EQ(fixture.actions.count(ActionKind::PollDiscovery), 2u);
  fixture.updateEndpoints({});
  for (const Action& timer : fixture.actions.of(ActionKind::Timer))
    if (timer.token.encoded() != 0) fixture.balancer.onTimer(fixture.now + 9s, timer.token);
  EXPECT_EQ(fixture.actions.count(ActionKind::PollDiscovery), 2u) << "an answered poll is not repeated";
}

// Guards against synchronized polls: all proxies lost their watch at the same time and polled again at the
// same instants, so that some did not get a list for 25 s.
TEST(DiscoveryPolling, ManyProxiesPollAtJitteredTimes) {
  std::set<Duration> initialDelays;
  std::set<Duration> retryDelays;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    BalancerFixture fixture(settingsWithPolling(100), 3, seed);
    EXPECT_EQ(fixture.actions.count(ActionKind::PollDiscovery), 0u);
    const Action initial = lastTimer(fixture);
    initialDelays.insert(initial.time);
    EXPECT_LT(initial.time, 2s);
    fire(fixture, initial);
    EXPECT_EQ(fixture.actions.count(ActionKind::PollDiscovery), 1u);
    failPoll(fixture);
    retryDelays.insert(lastTimer(fixture).time);
  }
  EXPECT_GT(initialDelays.size(), 90u);
  EXPECT_GT(retryDelays.size(), 90u);
  EXPECT_GT(*retryDelays.rbegin() - *retryDelays.begin(), 500ms);
}

// Guards against too long a retry delay with many proxies. A proxy must learn of a change within 6 s while
// discovery is reachable. Noticing a silent watch takes 3 s, so 6 s of jitter, as 300 proxies had, is too
// much.
TEST(DiscoveryPolling, RetryDelayIsBoundedForAnyNumberOfProxies) {
  for (const int proxies : {1, 30, 300, 3000}) {
    BalancerFixture fixture(settingsWithPolling(proxies));
    for (int k = 0; k < 8; ++k) {
      failPoll(fixture);
      const Action retry = lastTimer(fixture);
      EXPECT_LE(retry.time, 2s) << proxies;
      fire(fixture, retry);
      EXPECT_GT(fixture.actions.count(ActionKind::PollDiscovery), 0u);
      fixture.actions.recorded.clear();
    }
  }
}

TEST(DiscoveryPolling, UnansweredPollIsRepeatedWithinTheMaximumInterval) {
  BalancerFixture fixture(settingsWithPolling());
  const Action timeout = lastTimer(fixture);
  EXPECT_LT(timeout.time, fixture.settings.maxPollInterval);
  fire(fixture, timeout);
  EXPECT_EQ(fixture.actions.count(ActionKind::PollDiscovery), 2u);
}

}  // namespace
}  // namespace stonebay::test
