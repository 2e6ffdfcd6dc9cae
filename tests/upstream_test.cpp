// Attempts, health checks and connections to endpoints, tested from outside on a running proxy process. See
// scenario.hpp for the script language.
#include <ctime>

#include "scenario.hpp"

namespace stonebay::test {
namespace {

TEST(Upstream, RetriesARejectedAttemptOnAnotherEndpoint) {
  Scenario t;
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send error 53300
    s1 expect query id=1
    s1 send row v
    c1 expect row v
  )");
}
// No part of an incomplete row is forwarded to the client, so the load balancer can retry the request.
TEST(Upstream, ConnectionLostWithinARowIsAReset) {
  Scenario t;
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send part half
    s2 close
    s1 expect query id=1
    s1 send row whole
    c1 expect row whole
  )");
}
// Data that is not a valid response ends the attempt immediately, as one that may have run, and closes the
// connection.
TEST(Upstream, MalformedResponseEndsTheAttemptAndItsConnection) {
  for (const std::string kind :
       {"noise", "huge", "column", "columns", "endless", "rows", "order", "none", "count"}) {
    SCOPED_TRACE(kind);
    Scenario t;
    t.run(R"(
      c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
      s2 expect query id=1
      s2 send malformed )" +
          kind + R"(
      s2 expect closed
      s1 expect query id=1
      s1 send row v
      c1 expect row v
    )");
  }
}
// The response is valid, but the data that follows it must not be taken for the next response.
TEST(Upstream, DoesNotReuseAConnectionWithUnsolicitedData) {
  for (const std::string kind : {"twice", "behind"}) {
    Scenario t;
    t.run(R"(
      c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
      s2 expect query id=1
      s2 send malformed )" +
          kind + R"(
      c1 expect row other
      s2 expect closed
      c1 send query SELECT 1 /* id=2,c=read,d=7000,cluster=3 */
      s2 expect query id=2
      s2 send row v
      c1 expect row v
    )");
  }
}
// Guards against silence until the deadline: a write that could not be repeated any more, because endpoints
// had ceased to drop repeats, still waited for an endpoint.
TEST(Upstream, KeyedWriteFailsWhenTheDeduplicationWindowEnds) {
  Setting s;
  s.servers = 1;
  s.deduplicationWindowUs = "400000";
  Scenario t(s);
  t.run(R"(
    c1 send query INSERT 1 /* id=1,c=write,d=60000,k=1,cluster=3 */
    s1 expect query id=1
    s1 wait silent
    s1 close idle
    s1 close
    c1 expect error 40003
    s1 wait speak
    c1 send query INSERT 2 /* id=2,c=write,d=7000,k=2,cluster=3 */
    s1 expect query id=2
  )");
}
// Smaller than the large statements of the tests, so that they do not fit into the buffer of an endpoint that
// does not read.
constexpr int kSmallReceiveBuffer = 4096;

// Guards against a write that runs twice: a retry larger than the socket's buffer was written while its
// endpoint did not read, and the rest left after the time in which endpoints drop repeats.
TEST(Upstream, LargeKeyedRetryDoesNotArriveAfterTheDeduplicationWindow) {
  for (const char* const length : {"20000", "60000", "130000"}) {
    Setting s;
    s.servers = 1;
    s.receiveBuffer = kSmallReceiveBuffer;
    s.deduplicationWindowUs = "1000000";
    Scenario t(s);
    t.run(std::string("c1 send long ") + length + " /* id=1,c=write,d=60000,k=1,cluster=3 */");
    t.run(R"(
      s1 expect query id=1
      time passes 900
      s1 wait stalled
      s1 send error XX000
      c1 expect error 40003
      s1 wait resumed
      s1 expect no-query 300
      c1 send query INSERT 2 /* id=2,c=write,d=7000,k=2,cluster=3 */
      s1 expect query id=2
    )");
  }
}
// The same for a first attempt: its client had left, or had got its answer, when the endpoint read again.
TEST(Upstream, LargeStatementDoesNotArriveAfterItsClientHasLeft) {
  Setting s;
  s.servers = 1;
  s.receiveBuffer = kSmallReceiveBuffer;
  Scenario t(s);
  t.run(R"(
    c2 send query INSERT 2 /* id=2,c=write,d=7000,k=2,cluster=3 */
    s1 expect query id=2
    s1 send row v
    c2 expect row v
    s1 wait stalled
    c1 send long 60000 /* id=1,c=write,d=7000,k=1,cluster=3 */
    time passes 60
    c1 close
    time passes 60
    s1 wait resumed
    s1 expect no-query 500
  )");
}
TEST(Upstream, LargeStatementDoesNotArriveAfterItsDeadline) {
  Setting s;
  s.servers = 1;
  s.receiveBuffer = kSmallReceiveBuffer;
  Scenario t(s);
  t.run(R"(
    c2 send query INSERT 2 /* id=2,c=write,d=7000,k=2,cluster=3 */
    s1 expect query id=2
    s1 send row v
    c2 expect row v
    s1 wait stalled
    c1 send long 60000 /* id=1,c=write,d=120,k=1,cluster=3 */
    c1 expect retry-after
    s1 wait resumed
    s1 expect no-query 500
  )");
}
// Guards against a refusal of useful work: an endpoint that stops reading for some time gets the statement
// once it reads again, with the time that is left then.
TEST(Upstream, LargeStatementIsWrittenAgainWhenItsEndpointReadsAgain) {
  Setting s;
  s.servers = 1;
  s.receiveBuffer = kSmallReceiveBuffer;
  Scenario t(s);
  t.run(R"(
    c2 send query INSERT 2 /* id=2,c=write,d=7000,k=2,cluster=3 */
    s1 expect query id=2
    s1 send row v
    c2 expect row v
    s1 wait stalled
    c1 send long 60000 /* id=1,c=write,d=8000,k=1,cluster=3 */
    time passes 700
    s1 wait resumed
    s1 expect query d=7
    s1 send row v
    c1 expect row v
  )");
}
TEST(Upstream, InvalidStatementIsNotRetried) {
  Scenario t;
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send error 42601
    c1 expect error 40003
    c1 send query SELECT 1 /* id=2,c=read,d=7000,cluster=3 */
    s2 expect query id=2
    s2 send row v
    c1 expect row v
  )");
}
// So many proxies that none opens connections in advance.
constexpr int kManyProxies = 100;

// Guards against an answer for another request: a second copy of a response arrived behind it, after the next
// statement had been written on the connection, and was taken for the response to that one.
TEST(Upstream, SecondCopyOfAResponseIsNotTakenForTheNextOne) {
  for (const char* const statement : {"SELECT 1 /* id=2,c=read", "INSERT 1 /* id=2,k=2,c=write"}) {
    Setting s;
    s.servers = 1;
    s.proxyCount = kManyProxies;
    Scenario t(s);
    t.run(R"(
      c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
      s1 expect query id=1
      s1 send row a
      c1 expect row a
      s1 wait stalled
    )");
    t.run(std::string("c1 send query ") + statement + ",d=7000,cluster=3 */");
    t.run(R"(
      time passes 10
      s1 send stray a
      time passes 10
      s1 wait resumed
      s1 expect query id=2
      s1 send row b
      c1 expect row b
    )");
  }
}
// The same for an endpoint that hangs with its copy unsent: the next statement does not wait for it for long.
TEST(Upstream, ConnectionThatDoesNotSettleIsReplaced) {
  Setting s;
  s.servers = 1;
  s.proxyCount = kManyProxies;
  Scenario t(s);
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s1 expect query id=1
    s1 send row a
    c1 expect row a
    s1 wait stalled
    c1 send query SELECT 1 /* id=2,c=read,d=7000,cluster=3 */
    time passes 200
    s1 wait resumed
    s1 expect query id=2
    s1 send row b
    c1 expect row b
  )");
}
// Guards against a handshake for each statement: a connection is reused at once, by way of an empty query,
// and after a rest.
TEST(Upstream, ConnectionsAreReusedAtOnceAndAfterARest) {
  Setting s;
  s.servers = 1;
  s.proxyCount = kManyProxies;
  Scenario t(s);
  for (int id = 1; id <= 12; ++id) {
    const std::string number = std::to_string(id);
    t.run("c1 send query SELECT 1 /* id=" + number + ",c=read,d=7000,cluster=3 */");
    t.run("s1 expect query id=" + number + "\ns1 send row " + number + "\nc1 expect row " + number);
    if (id % 3 == 0) t.run("time passes 60");
  }
  t.run("s1 expect connections 1");
}
// If x1=inf were accepted as a number, the replica would be taken for the primary.
TEST(Upstream, IgnoresAMalformedLoadReport) {
  Scenario t;
  t.run("s2 report x0=" + std::to_string(time(nullptr)) + R"(,x1=inf,inflight=0
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s1 expect query id=1
    s1 send row v
    c1 expect row v
    c1 send query INSERT 1 /* id=2,c=write,d=7000,k=1,cluster=3 */
    s1 expect query id=2
    s1 send row w
    c1 expect row w
  )");
}
// In event4996 every response carried a load report, but the reports were dropped, so that each read caused
// health checks instead.
TEST(Upstream, UsesTheLoadReportOfAResponse) {
  Setting s;
  s.reports = "piggyback";
  Scenario t(s);
  t.run("s1 report none\ns2 report none\ns1 load x0=" + std::to_string(time(nullptr)) + R"(,x1=0,inflight=1
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    c2 send query INSERT 1 /* id=2,c=write,d=7000,k=1,cluster=3 */
    s1 expect query id=2
    s1 send error 25006
    s1 expect query id=1
    s1 send row v
    c1 expect row v
  )");
}
TEST(Upstream, WriteThatMayHaveRunFailsInsteadOfBeingRejected) {
  Scenario t;
  t.run(R"(
    c1 send query INSERT 1 /* id=1,c=write,d=700,k=1,cluster=3 */
    s1 expect query id=1
    c1 expect error 40003
    s1 expect closed
    c1 send query
    c1 expect empty
  )");
}
TEST(Upstream, UnansweredReadIsRejectedAtItsDeadlineAndItsConnectionClosed) {
  Scenario t;
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=300,cluster=3 */
    s2 expect query id=1
    c1 expect error 53300
    s2 expect closed
  )");
}
// The log lines of a failed request contain the id that its client gave to it.
TEST(Upstream, LogsTheAttemptsOfAFailedRequest) {
  Scenario t;
  t.run(R"(
    c1 send query SELECT 1 /* id=9f,c=read,d=7000,cluster=3 */
    s2 expect query id=9f
    s2 send error XX000
    s1 expect query id=9f
    s1 send row v
    c1 expect row v
    c1 send query INSERT 1 /* id=a7,c=write,d=300,k=1,cluster=3 */
    s1 expect query id=a7
    c1 expect error 40003
    proxy expect log event=request_ended id=a7 class=write group=3 how=failed after_ms=
    proxy expect log attempts=s-1@
    proxy expect log :timeout@
    proxy expect log  reason=
  )");
}
TEST(Upstream, DoesNotSendTheRequestOfAClientThatClosedDuringAStall) {
  Scenario t;
  t.run(R"(
    c1 send query SELECT 0 /* id=9,c=read,d=7000,cluster=3 */
    s2 expect query id=9
    s2 send row nine
    c1 expect row nine
    proxy send STOP
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    c1 close
    time passes 200
    proxy send CONT
    time passes 200
    c2 send query SELECT 2 /* id=2,c=read,d=7000,cluster=3 */
    s2 expect query id=2
    s2 send row two
    c2 expect row two
  )");
}
TEST(Upstream, DeadEndpointAndClosedIdleConnectionsFailNoRequest) {
  Scenario t;
  t.run(R"(
    s2 wait idle 2
    s2 close idle
    s2 wait idle 2
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 close all
    s1 expect query id=1
    s1 send row v
    c1 expect row v
    c1 send query SELECT 1 /* id=2,c=read,d=7000,cluster=3 */
    s1 expect query id=2
    s1 send row w
    c1 expect row w
  )");
}
// An endpoint was ejected because a health check was sent on an idle connection that was then reset.
TEST(Upstream, HealthCheckThatLosesAnIdleConnectionIsSentOnAnother) {
  Scenario t;
  t.run(R"(
    s2 wait idle 2
    s2 drop health-checks 2
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send row v
    c1 expect row v
  )");
}
// When a zone was cut off, attempts were sent on idle connections that stayed open but got no response.
TEST(Upstream, HealthCheckTimeoutClosesAllIdleConnections) {
  Setting s;
  s.idleCloseUs = "600000000";  // too long to close any connection in this test
  Scenario t(s);
  t.run(R"(
    s2 wait idle 2
    s2 wait silent
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s1 expect query id=1
    s1 send row v
    c1 expect row v
    s2 expect drained
  )");
}
// In event4996 a hundred proxies kept two idle connections to each of sixty endpoints. These filled the
// endpoints' connection tables, and connections of proxies with requests were rejected.
TEST(Upstream, ConnectsOnDemandOnlyWithManyProxies) {
  Setting s;
  s.proxyCount = 100;
  Scenario t(s);
  t.run(R"(
    proxy expect quiet
    s1 expect connections 0
    s2 expect connections 0
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send row v
    c1 expect row v
    c1 send query SELECT 1 /* id=2,c=read,d=7000,cluster=3 */
    s2 expect query id=2
    s2 send row w
    c1 expect row w
    proxy expect quiet
    s2 expect connections 1
  )");
}
TEST(Upstream, ClosesIdleConnectionsBeforeTheEndpointDoes) {
  Setting s;
  s.idleCloseUs = "1000000";
  Scenario t(s);
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send row v
    c1 expect row v
    s2 expect closed
    s2 wait idle 2
  )");
}
// A connection that carried a request when the address of its endpoint changed was reused for the new
// address.
TEST(Upstream, ClosesConnectionsToAFormerAddress) {
  Setting setting;
  setting.servers = 3;
  setting.idleCloseUs = "600000000";  // too long to close any connection in this test
  Scenario t(setting);
  std::string moved = t.list(3, "active", 7);
  moved.replace(moved.find("s-3"), 3, "s-2");
  t.run("list send line " + t.list(3, "left", 6) + R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    list send line )" +
        moved + R"(
    s3 wait idle 1
    s2 send row one
    c1 expect row one
    s2 expect closed
    c1 send query SELECT 2 /* id=2,c=read,d=7000,cluster=3 */
    s3 expect query id=2
    s3 send row two
    c1 expect row two
  )");
}

}  // namespace
}  // namespace stonebay::test
