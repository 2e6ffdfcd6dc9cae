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

// How long a poll takes that fails: a reset, a 503 after the time for which the registry lets it wait, and
// one that is never answered.
constexpr Duration kFailedPollTimes[] = {0ms, 1000ms, 1050ms};
// Discovery may have returned right after a poll, so that the next one comes so much later.
constexpr Duration kMaxPollInterval = 1150ms;
constexpr int kFleetSizes[] = {1, 10, 30, 100, 300, 900};

// Lets polls fail, each after `pollTime`, from `elapsed` on, and returns when the one after `failures` of
// them is sent. The failure of a watch, or of a poll that the poller has not sent, comes first.
Duration timeOfPollAfterFailures(BalancerFixture& fixture, Duration elapsed, int failures,
                                 Duration pollTime) {
  const TimePoint start = fixture.now - elapsed;
  fixture.balancer.onDiscoveryFailure(fixture.now, elapsed);
  fire(fixture, lastTimer(fixture));
  for (int k = 0; k < failures; ++k) {
    fixture.advanceTime(pollTime);
    fixture.balancer.onDiscoveryFailure(fixture.now, fixture.now - start);
    fire(fixture, lastTimer(fixture));
  }
  return fixture.now - start;
}

// Guards against a change that arrives too late: with 100 proxies or more, two polls that failed after the
// end of a watch moved the next one beyond the 6 s within which a change counts as notified.
TEST(DiscoveryPolling, ThreeFailedPollsFitBetweenALostWatchAndTheNotificationLimit) {
  for (const int proxies : kFleetSizes)
    for (const Duration pollTime : kFailedPollTimes)
      for (const Duration sinceContact :
           {Duration(0ms), Duration(1000ms), Duration(2000ms), Duration(2500ms)})
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
          BalancerFixture fixture(settingsWithPolling(proxies), 3, seed);
          fixture.updateEndpoints({});
          EXPECT_LE(timeOfPollAfterFailures(fixture, sinceContact, 3, pollTime), 6s)
              << proxies << " proxies, polls of " << pollTime.count() << " us, seed " << seed;
        }
}

// The same after a change of the registry's address, which leaves 4 s. The first poll is sent by the reload.
TEST(DiscoveryPolling, ThreeFailedPollsFitIntoTheTimeAfterAReload) {
  constexpr Duration kReloadHeadStart = 2s;
  for (const int proxies : kFleetSizes)
    for (const Duration pollTime : kFailedPollTimes)
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        BalancerFixture fixture(settingsWithPolling(proxies), 3, seed);
        fixture.updateEndpoints({});
        fixture.advanceTime(pollTime);
        EXPECT_LE(timeOfPollAfterFailures(fixture, kReloadHeadStart + pollTime, 2, pollTime), 6s)
            << proxies << " proxies, polls of " << pollTime.count() << " us, seed " << seed;
      }
}

// The same for a new process, and for the return of discovery after an outage: the first of the polls comes
// within a second or so.
TEST(DiscoveryPolling, ThreeFailedPollsFitIntoTheTimeAfterAStartOrAnOutage) {
  for (const int proxies : kFleetSizes)
    for (const Duration pollTime : kFailedPollTimes)
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        BalancerFixture fixture(settingsWithPolling(proxies), 3, seed);
        const TimePoint start = fixture.now;
        if (fixture.actions.count(ActionKind::PollDiscovery) == 0) fire(fixture, lastTimer(fixture));
        for (int k = 0; k < 20; ++k) {
          const TimePoint returnedAt = fixture.now;
          for (int failures = 0; failures < 3; ++failures) {
            fixture.advanceTime(pollTime);
            fixture.balancer.onDiscoveryFailure(fixture.now, fixture.now - start);
            fire(fixture, lastTimer(fixture));
          }
          EXPECT_LE(fixture.now - (k == 0 ? start : returnedAt), 6s - kMaxPollInterval)
              << proxies << " proxies, seed " << seed;
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
