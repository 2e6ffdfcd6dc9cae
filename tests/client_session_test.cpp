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
  SessionContext context{base.get(), dispatcher, config, StatementMemory(1 << 20)};
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

}  // namespace
}  // namespace stonebay::test
