// The clients of a Scenario.
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <sstream>

#include "codec/pg/pg.hpp"
#include "scenario.hpp"
#include "scenario_sockets.hpp"

namespace stonebay::test {

void Scenario::client(Connection& c, const std::string& verb, const std::string& what,
                      const std::string& rest) {
  if (verb == "cancel") {  // on a connection of its own, by the key of its greeting
    const std::string request =
        number(16) + number(pg::kCancelRequest) + (what == "wrongly" ? std::string(8, '\0') : c.key);
    ASSERT_EQ(request.size(), 16u) << at_;
    std::size_t sent = 15;  // all but the last byte, where it has begun before
    if (cancel_ < 0) {
      cancel_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const timeval watchdog{std::chrono::seconds(kWatchdog).count(), 0};
      setsockopt(cancel_, SOL_SOCKET, SO_RCVTIMEO, &watchdog, sizeof watchdog);
      const sockaddr_in a = loopback(port_);
      ASSERT_EQ(connect(cancel_, reinterpret_cast<const sockaddr*>(&a), sizeof a), 0) << at_;
      sent = 0;
    }
    put(cancel_, what == "begins" ? request.substr(0, 15) : request.substr(sent));
  } else if (what == "cancelled") {  // the proxy has read it, and says nothing but its end
    char byte;
    EXPECT_EQ(recv(cancel_, &byte, 1, 0), 0) << at_;
    close(cancel_);
    cancel_ = -1;
  } else if (verb == "close") {
    close(c.fd);
    c.fd = -1;
    c.ended = true;
  } else if (verb == "send" && what == "query") {
    put(c.fd, pg::query(rest));
  } else if (verb == "send" && what == "bytes") {  // in hexadecimal
    std::istringstream hex(rest);
    for (unsigned v; hex >> std::hex >> v;) put(c.fd, std::string(1, static_cast<char>(v)));
  } else if (what == "closed") {
    until([&] { return c.ended; }, "the end of the connection");
    EXPECT_FALSE(c.wasReset) << at_;
  } else if (what == "greeted") {
    expectMessage(c, 'Z', "");
  } else if (what == "row") {
    expectMessage(c, 'D', value(rest));
    expectMessage(c, 'Z', "");
  } else if (what == "empty") {
    expectMessage(c, 'I', "");
    expectMessage(c, 'Z', "");
  } else if (what == "retry-after") {  // a rejection with a number in the field D
    char type = 0;
    std::string body;
    until([&] { return message(c, type, body); }, "a rejection");
    EXPECT_EQ(type, 'E');
    EXPECT_NE(body.find("C53300"), std::string::npos) << body;
    const std::size_t detail = body.find(std::string("\0D", 2));
    ASSERT_NE(detail, std::string::npos) << at_;
    EXPECT_GT(std::atoi(body.c_str() + detail + 2), 0);
    expectMessage(c, 'Z', "");
  } else if (what == "error") {
    expectMessage(c, 'E', "C" + rest);
    if (rest != "08P01" && rest != "0A000" && rest != "53200")
      expectMessage(c, 'Z', "");  // those end the connection
  } else {
    FAIL() << "no such step: " << at_;
  }
}

}  // namespace stonebay::test
