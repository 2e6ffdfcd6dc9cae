// The endpoints of a Scenario.
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <sstream>

#include "codec/pg/pg.hpp"
#include "scenario.hpp"
#include "scenario_sockets.hpp"

namespace stonebay::test {
namespace {

long long unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
std::string row(const std::string& text) {
  std::string column("\0\1blob\0", 7);
  column.append(18, '\0');
  const std::string cell = std::string("\0\1", 2) + number(static_cast<std::uint32_t>(text.size())) + text;
  return pg::message('T', column) + pg::message('D', cell);
}
std::string parameter(const std::string& name, const std::string& text) {
  return pg::message('S', name + '\0' + text + '\0');
}

const std::string kOneRow("SELECT 1\0", 9);  // the tag of a CommandComplete

// What an endpoint should not send. `parameters` are the ParameterStatus messages of a response.
std::string malformedResponse(const std::string& kind, const std::string& parameters) {
  const std::string good = row("other");
  const std::string done = pg::message('C', kOneRow);
  const std::string end = done + parameters + pg::readyForQuery();
  const std::string description = good.substr(0, good.size() - 16);
  const std::string cell = good.substr(good.size() - 16);
  const std::map<std::string, std::string> kinds{
      {"noise", "\x80\x01 no message"},
      {"huge", description + "D" + number(0xc0000000u) + "\1"},
      {"column", description + pg::message('D', std::string("\0\1\0\0\1\0other", 11)) + end},
      {"columns", description + pg::message('D', std::string("\0\2\0\0\0\5other", 11)) + end},
      {"endless", description + "D" + number(15) + std::string("\0\1\0\0\0\5ot", 8)},
      {"rows", good + cell + end},
      {"order", description + done + cell + parameters + pg::readyForQuery()},
      {"none", description + end},
      {"count", good + pg::message('C', std::string("SELECT 2\0", 9)) + parameters + pg::readyForQuery()},
      {"twice", good + end + good + end},
      {"behind", good + end + description + "D"}};
  return kinds.at(kind);
}

}  // namespace

void Scenario::server(Server& s, const std::string& verb, const std::string& what, const std::string& rest) {
  if (verb == "expect" && what == "query") {
    expectQuery(s, rest);
  } else if (verb == "expect" && what == "connections") {
    EXPECT_EQ(s.accepted, std::stoi(rest)) << at_;
  } else if (verb == "expect" && what == "drained") {
    until([&] { return s.all.empty(); }, "the end of all connections");
  } else if (verb == "drop") {
    s.healthChecksToDrop = std::stoi(rest);
  } else if (verb == "report") {
    s.report = what;
  } else if (verb == "load") {
    s.load = what;
  } else if (verb == "wait" && what == "speak") {  // it is back: what waits is greeted now
    s.silent = false;
  } else if (verb == "wait" && what == "silent") {  // cut off: its connections stay open and say nothing more
    s.silent = true;
  } else if (verb == "wait") {
    waitForIdle(s, std::stoul(rest));
  } else if (verb == "close" && what == "all") {  // its process dies
    close(s.listener);
    s.listener = -1;
    for (Connection& c : s.all) reset(c);
    s.all.clear();
  } else if (verb == "close" && what == "idle") {
    for (Connection& c : s.all)
      if (!c.busy) shutdown(c.fd, SHUT_RDWR);
  } else {
    ASSERT_NE(s.current, nullptr) << at_;
    respond(s, *s.current, verb, what, rest);
  }
}

// The next query on any of its connections; later steps are about that connection.
void Scenario::expectQuery(Server& s, const std::string& within) {
  Connection* found = nullptr;
  std::string statement;
  until(
      [&] {
        for (Connection& c : s.all) {
          char type = 0;
          if (!found && c.greeted && !c.busy && message(c, type, statement)) found = &c;
        }
        return found != nullptr;
      },
      "a query");
  if (!found) return;
  EXPECT_NE(statement.find(within), std::string::npos) << at_ << ": got " << statement;
  s.current = found;
  found->busy = true;
}

void Scenario::waitForIdle(const Server& s, std::size_t count) {
  until(
      [&] {
        std::size_t idle = 0;
        for (const Connection& c : s.all) idle += c.greeted && !c.busy && !c.ended;
        return idle >= count;
      },
      "idle connections");
}

void Scenario::respond(const Server& s, Connection& c, const std::string& verb, const std::string& what,
                       const std::string& rest) {
  if (what == "closed") return until([&] { return c.ended; }, "the end of the connection");
  if (what == "gone") {
    EXPECT_TRUE(c.ended) << at_;
    return;
  }
  const bool primary = s.load.empty() ? s.primary : s.load.find("x1=1") != std::string::npos;
  const std::string parameters =
      parameter("role", primary ? "primary" : "replica") +
      (s.load.empty() ? parameter("applied_ms", std::to_string(unixMs())) : parameter("load", s.load));
  if (verb == "close") {
    shutdown(c.fd, SHUT_RDWR);
  } else if (what == "row") {
    put(c.fd, row(value(rest)) + pg::message('C', kOneRow) + parameters + pg::readyForQuery());
  } else if (what == "part") {
    const std::string complete = row(value(rest));
    put(c.fd, complete.substr(0, complete.size() - 2));
  } else if (what == "malformed") {
    put(c.fd, malformedResponse(rest, parameters));
  } else if (what == "error") {
    put(c.fd, pg::errorResponse("ERROR", rest.c_str(), "scripted") + parameters + pg::readyForQuery());
  } else {
    FAIL() << "no such step: " << at_;
  }
  if (what != "part" && what != "malformed") c.busy = false;
}

void Scenario::greet(Server& s, Connection& c) {
  if (s.silent) return;
  if (!c.greeted && c.in.size() >= 4 && c.in.size() >= pg::readInt32(c.in.data())) {
    c.in.erase(0, pg::readInt32(c.in.data()));
    c.greeted = true;
    put(c.fd, pg::greeting());
  }
  const std::string show = pg::query("SHOW load");
  if (!c.greeted || c.in.compare(0, show.size(), show) != 0) return;
  c.in.erase(0, show.size());
  if (s.healthChecksToDrop > 0) {
    --s.healthChecksToDrop;
    shutdown(c.fd, SHUT_RDWR);
    return;
  }
  if (!s.report.empty()) {
    put(c.fd, row(s.report) + pg::message('C', std::string("SHOW\0", 5)) + pg::readyForQuery());
    return;
  }
  std::ostringstream report;
  const long long ms = unixMs();
  report << "x0=" << ms / 1000 << "." << ms % 1000 / 100 << ",x1=" << (s.primary ? 1 : 0) << ",inflight=0";
  put(c.fd, row(report.str()) + pg::message('C', std::string("SHOW\0", 5)) + pg::readyForQuery());
}

}  // namespace stonebay::test
