// The graceful shutdown on SIGTERM. See scenario.hpp for the script language.
#include "scenario.hpp"

namespace stonebay::test {
namespace {

TEST(Shutdown, FinishesRequestsInFlightAndExits) {
  Scenario t;
  t.run(R"(
    c2 send query
    c2 expect empty
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    proxy send TERM
    c3 send query SELECT 1 /* id=2,c=read,d=7000,cluster=3 */
    s2 expect query id=2
    c2 expect closed
    s2 send row two
    c3 expect row two
    c3 expect closed
    s1 wait idle 0
  )");
  t.run(R"(
    c1 close
    proxy expect exit 0
  )");
}
// After SIGTERM clients keep sending on every connection that is open. If new requests were not rejected with
// a Retry-After once accepting has stopped, the shutdown would never end. No response is lost when the
// connection is closed.
TEST(Shutdown, RejectsRequestsThatArriveAfterAcceptingHasStopped) {
  Scenario t;
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    proxy send TERM
    time passes 600
    c1 send query SELECT 2 /* id=2,c=read,d=60000,cluster=3 */
    c1 send query SELECT 3 /* id=3,c=read,d=60000,cluster=3 */
    s2 send row big
    c1 expect row big
    c1 expect retry-after
    c1 expect retry-after
    c1 expect closed
    proxy expect exit 0
  )");
}
// A connection and its first request have arrived, but have not been read, when accepting stops.
TEST(Shutdown, RespondsToAConnectionThatArrivesAsAcceptingStops) {
  Scenario t;
  t.run(R"(
    proxy send TERM
    proxy expect log event=drain_started
    proxy send STOP
    c1 open
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    time passes 600
    proxy send CONT
    c1 expect greeted
    c1 expect retry-after
    c1 expect closed
    proxy expect exit 0
  )");
}

}  // namespace
}  // namespace stonebay::test
