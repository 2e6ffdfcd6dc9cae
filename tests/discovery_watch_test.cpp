// The watch on the registry: its events, its failures, reloads. scenario.hpp explains the language.
#include "scenario.hpp"

namespace stonebay::test {
namespace {

TEST(DiscoveryWatch, DrainsAnEndpointWhateverTheChunksOfTheEvent) {
  Scenario t;
  t.run("s2 wait idle 2\nlist send bits " + t.list(2, "leaving", 6) + R"(
    s2 expect drained
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s1 expect query id=1
    s1 send row v
    c1 expect row v
  )");
}
// Read line by line, an indented list was malformed, its watch ended, and so on for ever.
TEST(DiscoveryWatch, AcceptsAnIndentedList) {
  Scenario t;
  t.run("s2 wait idle 2\nlist send indented " + t.list(2, "leaving", 6) + R"(
    s2 expect drained
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s1 expect query id=1
    s1 send row v
    c1 expect row v
  )");
}
// A response without a length lasts until the end of its connection, and a reset is no end: complete lists
// are used, half a list is not.
TEST(DiscoveryWatch, UsesOnlyCompleteListsOfAResponseThatIsReset) {
  Scenario t;
  const std::string whole = t.list(2, "leaving", 6), half = whole.substr(0, whole.size() - 2);
  t.run("list close\nlist expect endless after=5\nlist send raw " + half + R"(
    list reset
    list expect endless after=5
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send row v
    c1 expect row v
    list send raw )" +
        whole + R"(
    s2 expect closed
    list reset
    list expect watch after=6
  )");
}
TEST(DiscoveryWatch, WatchesAgainAfterAnEndA503OrSilence) {
  Scenario t;
  t.run("list send line " + t.list(2, "leaving", 6) + R"(
    list close
    list expect call after=6
    list send status 503 Service Unavailable
    list expect call after=6
    list send status nonsense
    list expect watch after=6
    list send line {"generation":9,"reset":true,"instances":[]}
    # nothing more: a watch brings an empty line every 2 s
    list expect watch after=9
    s1 expect drained
  )");
}
// A program without a handler ends on SIGHUP; nor may a file that can't be used end it.
TEST(DiscoveryWatch, SighupReloadsTheConfigurationAndMovesTheWatch) {
  Scenario t;
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    proxy reload broken
    proxy expect log event=settings_unchanged why="no JSON
    proxy reload moved
    list expect watch after=5
    s2 send row v
    c1 expect row v
  )");
  t.run("list send line " + t.list(2, "leaving", 6) + R"(
    s2 expect closed
    proxy send TERM
    proxy reload moved
    list expect watch after=6
    proxy expect exit 0
  )");
}
// SIGHUP comes during the backoff after a failed call: the call at its end gave up the one under way.
TEST(DiscoveryWatch, CallsOnceWhereAReloadCrossesTheBackoff) {
  Scenario t;
  t.run(R"(
    list close
    proxy expect log event=watch_ended
    proxy reload moved
    list expect watch after=5
    time passes 400
    list expect calls 2
  )");
  t.run("list send line " + t.list(2, "leaving", 6) + "\ns2 expect drained");
}

}  // namespace
}  // namespace stonebay::test
