// Tests one client session on a socket pair, without a listener.
#include "downstream/pg/client_session.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <string_view>

#include "codec/pg/pg.hpp"
#include "scenario.hpp"

namespace stonebay::test {
namespace {

using std::chrono::milliseconds;

std::string repeat(const std::string& text, int times) {
  std::string repeated;
  for (int k = 0; k < times; ++k) repeated += text;
  return repeated;
}

struct FakeOwner : ClientSessionOwner {
  int closed = 0;
  void onSessionClosed(ClientSession& /*session*/, CloseReason /*reason*/) override { ++closed; }
  void onFirstRequest(ClientSession& /*session*/) override {}
  std::optional<TimePoint> stoppedAcceptingAt() const override { return std::nullopt; }
};

struct ClientSessionTest : testing::Test {
  EventBase base{event_base_new()};
  Config config = parseConfig(configuration({}, 1, {11, 12}));
  Dispatcher dispatcher{base.get(), config};
  static constexpr std::size_t kBufferMemory = 1 << 20;
  SessionContext context{base.get(), dispatcher, config, StatementMemory(1 << 20),
                         BufferMemory(kBufferMemory)};
  FakeOwner owner;
  int client = -1;
  std::unique_ptr<ClientSession> session;

  void SetUp() override {
    int fds[2];
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
    client = fds[0];
    session = std::make_unique<ClientSession>(context, owner, fds[1]);
    write(pg::startupMessage("api", "ledger"));
    runLoop();
  }
  void TearDown() override {
    session.reset();
    close(client);
  }
  void write(std::string_view bytes) const {
    ASSERT_EQ(send(client, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
  }
  // Returns what the session has sent since the last call.
  std::string readOutput() const {
    std::string output;
    char bytes[4096];
    for (ssize_t length = 0; (length = recv(client, bytes, sizeof bytes, MSG_DONTWAIT)) > 0;)
      output.append(bytes, static_cast<std::size_t>(length));
    return output;
  }
  void discardOutput() const { readOutput(); }
  std::size_t countEmptyResponses() const {
    const std::string output = readOutput();
    const std::string emptyResponse = pg::message('I', {});
    std::size_t count = 0;
    for (std::size_t at = output.find(emptyResponse); at != std::string::npos;
         at = output.find(emptyResponse, at + emptyResponse.size()))
      ++count;
    return count;
  }
  void runLoop() const { event_base_loop(base.get(), EVLOOP_NONBLOCK); }
};

TEST_F(ClientSessionTest, IncompleteRequestTimesOut) {
  write(pg::query("SELECT 1").substr(0, 8));
  runLoop();
  EXPECT_EQ(session->checkTimeouts(dispatcher.now() + milliseconds(1400)), std::nullopt);
  EXPECT_EQ(session->checkTimeouts(dispatcher.now() + milliseconds(1600)), CloseReason::IncompleteMessage);
}

// The last bytes of a slow request had arrived but were not read yet when its timeout was checked. The
// session was closed, and the request was lost.
TEST_F(ClientSessionTest, RequestCompletedAtItsTimeoutIsStillRead) {
  const std::string query = pg::query("SELECT 1");
  write(query.substr(0, 8));
  runLoop();
  write(query.substr(8));  // has arrived, but is not read yet
  EXPECT_EQ(session->checkTimeouts(dispatcher.now() + milliseconds(1600)), std::nullopt);
  runLoop();
  EXPECT_EQ(session->checkTimeouts(dispatcher.now() + milliseconds(1700)), std::nullopt)
      << "the request is complete";
  EXPECT_TRUE(session->active());
}

TEST_F(ClientSessionTest, FirstRequestArrivingAtItsTimeoutIsStillRead) {
  EXPECT_EQ(session->checkTimeouts(dispatcher.now() + milliseconds(2100)), CloseReason::NoRequest);
  write(pg::query("SELECT 1"));
  EXPECT_EQ(session->checkTimeouts(dispatcher.now() + milliseconds(2100)), std::nullopt);
}

// Guards against a blocked event loop: all empty queries that had arrived were answered in one pass, so that
// clients with hundreds of them delayed all others.
TEST_F(ClientSessionTest, EmptyQueriesAreAnsweredInPortions) {
  discardOutput();
  write(repeat(pg::query(""), 900));
  runLoop();
  const std::size_t firstPortion = countEmptyResponses();
  EXPECT_GE(firstPortion, 1u);
  EXPECT_LE(firstPortion, 16u);
  runLoop();
  EXPECT_EQ(countEmptyResponses(), 0u) << "the next portion waits for the next check";
  EXPECT_EQ(session->checkTimeouts(dispatcher.now()), std::nullopt);
  runLoop();
  EXPECT_EQ(countEmptyResponses(), firstPortion);
}

// Guards against lost answers: the error of a refused client went with its session if that had to make room
// for the next one before the event loop had written it.
TEST_F(ClientSessionTest, RefusedClientGetsItsErrorAtOnce) {
  discardOutput();
  session->refuse();
  EXPECT_NE(readOutput().find("C53300"), std::string::npos);
}

TEST_F(ClientSessionTest, RequestsForEncryptionAreAnsweredInPortions) {
  int fds[2];
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
  ClientSession other(context, owner, fds[1]);
  const std::string requests = repeat(std::string("\0\0\0\10\4\322\26\57", 8), 900);
  ASSERT_EQ(send(fds[0], requests.data(), requests.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(requests.size()));
  runLoop();
  char answers[1000];
  const ssize_t answered = recv(fds[0], answers, sizeof answers, MSG_DONTWAIT);
  EXPECT_GE(answered, 2);
  EXPECT_LE(answered, 16);
  close(fds[0]);
}

// Guards against lost requests: a session with input was never evicted, although its client kept it in use
// with messages that need no endpoint.
TEST_F(ClientSessionTest, ThrottledClientIsEvictedWithAnAnswer) {
  write(repeat(pg::query("SELECT 1 /* id=1,c=nonsense,d=500,cluster=3 */"), 300));
  runLoop();
  EXPECT_EQ(session->evictionPriority(dispatcher.now()), EvictionPriority::Never);
  for (int k = 1; k <= 3; ++k) {
    EXPECT_EQ(session->checkTimeouts(dispatcher.now()), std::nullopt);
    runLoop();
  }
  EXPECT_EQ(session->evictionPriority(dispatcher.now() + milliseconds(150)), EvictionPriority::Throttled);
  discardOutput();
  session->sendEvictionNotice();
  EXPECT_NE(readOutput().find("C53300"), std::string::npos);
}

TEST_F(ClientSessionTest, ClientThatDoesNotCompleteItsMessageIsEvictable) {
  write(pg::query(""));
  write(pg::query("SELECT 1").substr(0, 8));
  runLoop();
  EXPECT_EQ(session->evictionPriority(dispatcher.now() + milliseconds(50)), EvictionPriority::Never);
  EXPECT_EQ(session->evictionPriority(dispatcher.now() + milliseconds(100)),
            EvictionPriority::IncompleteMessage);
}

// With little memory the number of clients was limited instead of what they buffer, and clients beyond that
// number got no answer.
TEST_F(ClientSessionTest, RequestIsRejectedWhileTheBuffersOfAllClientsAreFull) {
  discardOutput();
  context.bufferMemory.add(kBufferMemory);
  write(pg::query("SELECT 1 /* id=1,c=read,d=500,cluster=3 */"));
  runLoop();
  EXPECT_NE(readOutput().find("C53300"), std::string::npos);
  EXPECT_FALSE(session->hasRequestInFlight());
  context.bufferMemory.remove(kBufferMemory);
  write(pg::query("SELECT 1 /* id=2,c=read,d=500,cluster=3 */"));
  runLoop();
  EXPECT_TRUE(session->hasRequestInFlight());
}

TEST_F(ClientSessionTest, BytesInItsBuffersAreCountedUntilTheSessionEnds) {
  context.bufferMemory.add(kBufferMemory - 8);
  write(pg::query("SELECT 1").substr(0, 7));
  runLoop();
  EXPECT_FALSE(context.bufferMemory.exhausted());
  write(pg::query("SELECT 1").substr(7, 1));
  runLoop();
  EXPECT_TRUE(context.bufferMemory.exhausted());
  session.reset();
  EXPECT_FALSE(context.bufferMemory.exhausted());
}

// A request that has been received entirely must not be lost by an eviction.
TEST_F(ClientSessionTest, ClientWithARequestInFlightIsNotEvictable) {
  write(pg::query("SELECT 1 /* id=1,c=read,d=500,cluster=3 */"));
  runLoop();
  EXPECT_EQ(session->evictionPriority(dispatcher.now() + milliseconds(5000)), EvictionPriority::Never);
}

}  // namespace
}  // namespace stonebay::test
