// The watch on the registry: received lists, failures and reloads. scenario.hpp explains the script language.
#include <chrono>
#include <string>

#include "scenario.hpp"

namespace stonebay::test {
namespace {

TEST(DiscoveryWatch, DrainsAnEndpointAfterAListInOneByteChunks) {
  Scenario scenario;
  scenario.run("s2 wait idle 2\nlist send bits " + scenario.list(2, "leaving", 6) + R"(
    s2 expect drained
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s1 expect query id=1
    s1 send row v
    c1 expect row v
  )");
}
// Guards against endless retries: a parser that reads line by line rejects an indented list and ends the
// watch, and the next watch receives the same list.
TEST(DiscoveryWatch, AcceptsAnIndentedList) {
  Scenario scenario;
  scenario.run("s2 wait idle 2\nlist send indented " + scenario.list(2, "leaving", 6) + R"(
    s2 expect drained
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s1 expect query id=1
    s1 send row v
    c1 expect row v
  )");
}
// A response without a length ends with its connection, and a connection reset does not end it properly.
// Lists that are complete must be used nevertheless; a truncated list must not.
TEST(DiscoveryWatch, UsesOnlyCompleteListsOfAResponseThatIsReset) {
  Scenario scenario;
  const std::string list = scenario.list(2, "leaving", 6), truncated = list.substr(0, list.size() - 2);
  scenario.run("list close\nlist expect endless after=5\nlist send raw " + truncated + R"(
    list reset
    list expect endless after=5
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send row v
    c1 expect row v
    list send raw )" +
               list + R"(
    s2 expect closed
    list reset
    list expect watch after=6
  )");
}
TEST(DiscoveryWatch, WatchesAgainAfterACloseAnErrorStatusOrSilence) {
  Scenario scenario;
  scenario.run("list send line " + scenario.list(2, "leaving", 6) + R"(
    list close
    list expect call after=6
    list send status 503 Service Unavailable
    list expect call after=6
    list send status nonsense
    list expect watch after=6
    list send line {"generation":9,"reset":true,"instances":[]}
    # silence: a registry sends at least an empty line every 2 s
    list expect watch after=9
    s1 expect drained
  )");
}
// With so many proxies the polls are spread over the longest time.
constexpr int kManyProxies = 300;
// A change counts as notified 6 s after a watch has fallen silent, and a leaving endpoint may get requests
// for 250 ms after that.
constexpr auto kNotificationLimit = std::chrono::milliseconds(6250);

// Lets the watch fall silent and three calls fail, each by the steps of `failure`, and expects that the next
// one comes in time.
void expectListAfterThreeFailedCalls(const std::string& failure) {
  Setting setting;
  setting.proxyCount = kManyProxies;
  Scenario scenario(setting);
  const auto lastLineAt = std::chrono::steady_clock::now();
  for (int call = 0; call < 3; ++call) scenario.run("list expect call after=5\n" + failure);
  scenario.run("list expect watch after=5\nlist send line " + scenario.list(2, "leaving", 6) +
               "\ns2 expect drained");
  EXPECT_LT(std::chrono::steady_clock::now() - lastLineAt, kNotificationLimit);
}

// Guards against a change that arrives too late: the backoff after each call that failed left no time for
// others, so that a leaving endpoint got requests for seconds and cut them.
TEST(DiscoveryWatch, ListArrivesInTimeAfterThreeCallsThatWaitedAndFailed) {
  expectListAfterThreeFailedCalls("time passes 1000\nlist send status 503 Service Unavailable");
}
TEST(DiscoveryWatch, ListArrivesInTimeAfterThreeResetCalls) { expectListAfterThreeFailedCalls("list reset"); }
TEST(DiscoveryWatch, ListArrivesInTimeAfterThreeSilentCalls) { expectListAfterThreeFailedCalls(""); }

// Guards against a watch that is given up between two lines, which come every 2 s.
TEST(DiscoveryWatch, WatchStaysOpenWhileItsLinesCome) {
  Scenario scenario;
  for (int line = 0; line < 2; ++line) scenario.run("time passes 2100\nlist expect calls 1\nlist send line");
  scenario.run("time passes 2100\nlist expect calls 1");
}

// Without a signal handler, SIGHUP would end the process. Neither the signal nor an invalid file may end it.
TEST(DiscoveryWatch, SighupReloadsTheConfigurationAndMovesTheWatch) {
  Scenario scenario;
  scenario.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    proxy reload broken
    proxy expect log event=settings_unchanged why="no JSON
    proxy reload moved
    list expect watch after=5
    s2 send row v
    c1 expect row v
  )");
  scenario.run("list send line " + scenario.list(2, "leaving", 6) + R"(
    s2 expect closed
    proxy send TERM
    proxy reload moved
    list expect watch after=6
    proxy expect exit 0
  )");
}
// Guards against a lost watch: if a reload starts a watch during the backoff after a failure, the watch
// request at the end of the backoff must not replace it.
TEST(DiscoveryWatch, KeepsTheWatchThatAReloadStartsDuringTheBackoff) {
  Scenario scenario;
  scenario.run(R"(
    list close
    proxy expect log event=watch_ended
    proxy reload moved
    list expect watch after=5
    time passes 400
    list expect calls 2
  )");
  scenario.run("list send line " + scenario.list(2, "leaving", 6) + "\ns2 expect drained");
}

}  // namespace
}  // namespace stonebay::test
