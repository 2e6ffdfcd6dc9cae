// Client sessions: startup, pipelining, cancellation, malformed input. See scenario.hpp for the script
// language.
#include "scenario.hpp"

namespace stonebay::test {
namespace {

TEST(Downstream, ServesAReadFromAReplicaAndForwardsTheStatementUnchanged) {
  Scenario t;
  t.run(R"(
    c1 send query
    c1 expect empty
    c1 send query SELECT blob FROM rows WHERE handle = 'k' /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query SELECT blob FROM rows WHERE handle = 'k' /* id=1,c=read,d=6
    s2 send row big
    c1 expect row big
    c1 send query INSERT INTO rows (handle, blob) VALUES ('k', '\x9f') RETURNING blob /* id=2,c=write,d=7000,k=5c,cluster=3 */
    s1 expect query ,k=5c,cluster=3 */
    s1 send row v2
    c1 expect row v2
  )");
}
// Guards against changed statements: one whose deadline was missing or could not be read was forwarded with
// digits before its first word.
TEST(Downstream, StatementsWithoutAReadableDeadlineAreRejectedOrUnchanged) {
  Scenario t;
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d = soon,cluster=3 */
    c1 expect error 42601
    c1 send query SELECT 1 /* id=2,c=read,d:1200,cluster=3 */
    c1 expect error 42601
    c1 send query SELECT 1 /* id=3,c=read,d,cluster=3 */
    c1 expect error 42601
    c1 send query SELECT 1 /* id=4,c=read,cluster=3 */
    s2 expect statement SELECT 1 /* id=4,c=read,cluster=3 */
    s2 send row v
    c1 expect row v
  )");
}
TEST(Downstream, RespondsToPipelinedQueriesInOrder) {
  Scenario t;
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    c1 send query SELECT 2 /* id=2,c=read,d=7000,cluster=3 */
    c1 send query
    s2 expect query id=1
    s2 send row one
    s2 expect query id=2
    s2 send row two
    c1 expect row one
    c1 expect row two
    c1 expect empty
  )");
}
// The deadline of a pipelined request was counted from the response before it, so that a client whose own
// timeout counts from the time of sending left before the response.
TEST(Downstream, DeadlineOfAPipelinedRequestCountsFromItsArrival) {
  Scenario t;
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    c1 send query SELECT 2 /* id=2,c=read,d=300,cluster=3 */
    c1 send query SELECT 3 /* id=3,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    # fails after 300 ms, when the deadline of request 2 has passed as well
    c2 send query INSERT 4 /* id=4,c=write,d=300,k=1,cluster=3 */
    c2 expect error 40003
    s2 send row one
    c1 expect row one
    c1 expect retry-after
    s2 expect query id=3
    s2 send row three
    c1 expect row three
  )");
}
// libevent calls the read callback in every pass of the event loop while the input is at its high watermark.
TEST(Downstream, DoesNotSpinWhileAClientPipelinesMoreThanTheInputLimit) {
  Scenario t;
  std::string script = "c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */\n";
  for (int k = 0; k < 400; ++k) script += "c1 send query " + std::string(100, ';') + "\n";
  t.run(script + R"(
    s2 expect query id=1
    proxy expect quiet
    s2 send row v
    c1 expect row v
  )");
  for (int k = 0; k < 400; ++k) t.run("c1 expect empty");
}
// retryAfter=false in the platform's settings is meant for the simulator's clients. Clients on sockets get a
// Retry-After nevertheless.
TEST(Downstream, RejectionCarriesARetryAfter) {
  Setting s;
  s.retryAfterAllowed = false;
  Scenario t(s);
  t.run(R"(
    s1 wait silent
    s2 wait silent
    s1 close idle
    s2 close idle
    c1 send query SELECT 1 /* id=1,c=read,d=600,cluster=3 */
    c1 expect retry-after
  )");
}
TEST(Downstream, DisconnectingClientCancelsItsAttempt) {
  Scenario t;
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    c1 close
    s2 expect closed
  )");
}
// All statements longer than ClientConnection::kReadAhead share the limit Config::maxLargeStatementBytes.
TEST(Downstream, LimitsTheMemoryOfAllLongStatements) {
  Setting s;
  s.memoryMb = 24;  // 3 MB of them for long statements
  Scenario t(s);
  const std::string text(131072, 'x');
  const auto sendStatement = [&](int k) {
    const std::string number = std::to_string(k);
    return "c" + number + " send query SELECT '" + text + "' /* id=" + number +
           ",c=read,d=7000,cluster=3 */\n";
  };
  for (int k = 1; k <= 23; ++k) t.run(sendStatement(k) + "s2 expect query id=" + std::to_string(k) + ",\n");
  t.run(sendStatement(24) + R"(
    c24 expect error 53200
    c24 expect closed
    s2 send row v
    c23 expect row v
  )" + sendStatement(25) +
        "s2 expect query id=25,\n");
}
TEST(Downstream, MalformedInputEndsOnlyItsOwnSession) {
  Scenario t;
  t.run(R"(
    c2 send query SELECT 1 /* id=9,c=nonsense,d=7000,cluster=3 */
    c2 expect error 42704
    c2 send query SELECT 1 /* c=read,d=7000,cluster=3 */
    c2 expect error 42601
    c2 send query SELECT 1
    c2 expect error 42601
    c2 send query
    c2 expect empty
    c3 send bytes ff ff ff ff 0 3 0 0
    c3 expect error 08P01
    c3 expect closed
    c4 send bytes 0 0 0 8 4 d2 16 2f
    c4 send bytes 0 0 0 8 0 2 0 0
    c4 expect closed
    c5 send query
    c5 expect empty
    c5 send bytes 51 7f ff ff ff
    c5 expect error 08P01
    c5 expect closed
    c6 send query
    c6 expect empty
    c6 send bytes 50 0 0 0 8 0 0 0 0
    c6 expect error 0A000
    c6 expect closed
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send row v
    c1 expect row v
  )");
}
// A CancelRequest cancels the attempt as a disconnect does, but the connection stays open.
TEST(Downstream, CancelRequestCancelsTheAttempt) {
  Scenario t;
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=60000,cluster=3 */
    s2 expect query id=1
    c2 send query SELECT 2 /* id=2,c=read,d=60000,cluster=3 */
    c1 cancel wrongly
    c1 expect cancelled
    c1 cancel
    c1 expect cancelled
    s2 expect closed
    c1 expect error 57014
    s2 expect query id=2
    s2 send row two
    c2 expect row two
    # no request is in flight, so this cancels nothing, and the next request is not affected
    c1 cancel
    c1 expect cancelled
    c1 send query SELECT 3 /* id=3,c=read,d=60000,cluster=3 */
    s2 expect query id=3
    s2 send row three
    c1 expect row three
  )");
}
// If both arrive in one pass of the event loop, the client gets one response, which reports the cancellation.
TEST(Downstream, CancelRequestInThePassOfTheResponseGivesOneResponse) {
  Scenario t;
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=60000,cluster=3 */
    s2 expect query id=1
    c1 cancel begins
    time passes 50
    proxy send STOP
    time passes 50
    s2 send row one
    c1 cancel
    proxy send CONT
    c1 expect cancelled
    c1 expect error 57014
    c1 send query
    c1 expect empty
  )");
}
// While the input is at its limit nothing is read from the socket, so the proxy did not notice that the
// client had closed the connection.
TEST(Downstream, DisconnectIsNoticedBehindUnreadInput) {
  Scenario t;
  std::string script = "c1 send query SELECT 1 /* id=1,c=read,d=60000,cluster=3 */\ns2 expect query id=1\n";
  for (int k = 0; k < 400; ++k) script += "c1 send query " + std::string(100, ';') + "\n";
  t.run(script + R"(
    proxy expect quiet
    c1 close
    # fails after 1000 ms; by then the disconnect must have been noticed
    c2 send query INSERT 2 /* id=2,c=write,d=1000,k=1,cluster=3 */
    c2 expect error 40003
    s2 expect gone
  )");
}
TEST(Downstream, RejectsTheIdOfARequestInFlight) {
  Scenario t;
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    c2 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    c2 expect error 42710
    s2 send row v
    c1 expect row v
    c2 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send row w
    c2 expect row w
  )");
}
TEST(Downstream, RejectsOversizedAndInconsistentLengths) {
  Scenario t;
  t.run(R"(
    c1 send query
    c1 expect empty
    c1 send bytes 51 3 c0 0 0
    c1 send query SELECT 'big'
    c1 expect error 08P01
    c1 expect closed
    c2 send query
    c2 expect empty
    c2 send bytes 51 0 0 0 7 41 0 0
    c2 expect error 08P01
    c2 expect closed
  )");
}

// Guards against a request that runs twice: its client left, or cancelled it, while an endpoint worked on it,
// and its id was accepted when it came again.
TEST(Downstream, IdThatMayHaveRunIsNotAcceptedAgain) {
  for (const char* const end : {"c1 close", "c1 cancel", "s1 send row v"}) {
    Scenario t;
    t.run("c1 send query INSERT 1 /* id=1,c=write,d=7000,k=1,cluster=3 */\ns1 expect query id=1");
    t.run(end);
    t.run(R"(
      time passes 50
      c2 send query INSERT 1 /* id=1,c=write,d=7000,k=1,cluster=3 */
      c2 expect error 42710
      c2 send query INSERT 1 /* id=2,c=write,d=7000,k=2,cluster=3 */
      s1 expect query id=2
      s1 send row v
      c2 expect row v
    )");
  }
}
// Guards against refusals of useful work: what cannot have run, or may run any number of times, may come
// again under its id.
TEST(Downstream, IdThatHasNotRunOrIsIdempotentIsAcceptedAgain) {
  Scenario t;
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    c1 close
    c2 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send row v
    c2 expect row v
    c2 send query INSERT 1 /* id=2,c=write,d=1,k=2,cluster=9 */
    c2 expect retry-after
    c2 send query INSERT 1 /* id=2,c=write,d=7000,k=2,cluster=3 */
    s1 expect query id=2
    s1 send row v
    c2 expect row v
  )");
}

}  // namespace
}  // namespace stonebay::test
