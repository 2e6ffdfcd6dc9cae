// Tests of the client listener in this process, with clients on loopback.
#include "downstream/pg/client_listener.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <string_view>

#include "codec/pg/pg.hpp"
#include "scenario.hpp"

namespace stonebay::test {
namespace {

constexpr std::size_t kClientBufferBytes = 4000;

Config smallBuffers() {
  Config config = parseConfig(configuration({}, 1, {11, 12}));
  config.maxClientBufferBytes = kClientBufferBytes;
  return config;
}

class Client {
 public:
  explicit Client(int port) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    write(pg::startupMessage("api", "ledger"));
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  ~Client() { close(fd_); }

  void write(std::string_view bytes) const {
    ASSERT_EQ(send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
  }
  /// Reads all that has arrived.
  void read() {
    char bytes[4096];
    ssize_t length = 0;
    while ((length = recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT)) > 0)
      received_.append(bytes, static_cast<std::size_t>(length));
    closed_ = closed_ || length == 0;
  }
  bool closed() const { return closed_; }
  bool hasReceived(std::string_view text) const { return received_.find(text) != std::string::npos; }

 private:
  const int fd_;
  std::string received_;
  bool closed_ = false;
};

class ClientListenerTest : public testing::Test {
 protected:
  // Runs the event loop until `isDone` returns true. Returns false if the timeout expires first.
  bool runUntil(const std::function<bool()>& isDone) const {
    const auto end = std::chrono::steady_clock::now() + kStepTimeout;
    while (!isDone()) {
      if (std::chrono::steady_clock::now() >= end) return false;
      event_base_loop(base_.get(), EVLOOP_NONBLOCK);
    }
    return true;
  }
  bool runUntilReceived(Client& client, std::string_view text) const {
    return runUntil([&] {
      client.read();
      return client.hasReceived(text);
    });
  }

  EventBase base_{event_base_new()};
  const Config config_ = smallBuffers();
  Dispatcher dispatcher_{base_.get(), config_};
  ClientListener listener_{base_.get(), dispatcher_, config_};
  const std::string greetingEnd_ = pg::readyForQuery();
};

std::string emptyQueries(int count) {
  std::string queries;
  for (int k = 0; k < count; ++k) queries += pg::query("");
  return queries;
}

// Guards against requests that are rejected for as long as a few clients keep the buffers of all clients
// full.
TEST_F(ClientListenerTest, EvictsTheClientWithTheLargestBuffersWhenTheyAreFull) {
  Client large(listener_.port());
  Client small(listener_.port());
  ASSERT_TRUE(runUntilReceived(large, greetingEnd_));
  ASSERT_TRUE(runUntilReceived(small, greetingEnd_));
  small.write(emptyQueries(100));
  large.write(emptyQueries(2000));

  EXPECT_TRUE(runUntilReceived(large, "53300"));
  EXPECT_EQ(listener_.sessionCount(), 1U);
  EXPECT_EQ(listener_.takeStatistics().evicted, 1U);
  small.write(pg::query("SELECT 1 /* id=1,c=nonsense,d=500,cluster=3 */"));
  EXPECT_TRUE(runUntilReceived(small, "42704"));
}

}  // namespace
}  // namespace stonebay::test
