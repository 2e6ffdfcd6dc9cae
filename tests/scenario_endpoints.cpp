// The steps of a Scenario's endpoints.
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
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
  const std::string cell =
      std::string("\0\1", 2) + encodeInt32(static_cast<std::uint32_t>(text.size())) + text;
  return pg::message('T', column) + pg::message('D', cell);
}
std::string parameterStatus(const std::string& name, const std::string& text) {
  return pg::message('S', name + '\0' + text + '\0');
}

const std::string kSelectOneTag("SELECT 1\0", 9);  // command tag of a CommandComplete

// Returns invalid output of an endpoint. `parameters` are the ParameterStatus messages of a response.
std::string malformedResponse(const std::string& kind, const std::string& parameters) {
  const std::string good = row("other");
  const std::string done = pg::message('C', kSelectOneTag);
  const std::string end = done + parameters + pg::readyForQuery();
  const std::string description = good.substr(0, good.size() - 16);
  const std::string cell = good.substr(good.size() - 16);
  const std::map<std::string, std::string> kinds{
      {"noise", "\x80\x01 no message"},
      {"huge", description + "D" + encodeInt32(0xc0000000u) + "\1"},
      {"column", description + pg::message('D', std::string("\0\1\0\0\1\0other", 11)) + end},
      {"columns", description + pg::message('D', std::string("\0\2\0\0\0\5other", 11)) + end},
      {"endless", description + "D" + encodeInt32(15) + std::string("\0\1\0\0\0\5ot", 8)},
      {"rows", good + cell + end},
      {"order", description + done + cell + parameters + pg::readyForQuery()},
      {"none", description + end},
      {"count", good + pg::message('C', std::string("SELECT 2\0", 9)) + parameters + pg::readyForQuery()},
      {"twice", good + end + good + end},
      {"behind", good + end + description + "D"}};
  return kinds.at(kind);
}

}  // namespace

void Scenario::runEndpointStep(Endpoint& endpoint, const std::string& verb, const std::string& object,
                               const std::string& arguments) {
  if (verb == "expect" && object == "query") {
    const std::string statement = receiveQuery(endpoint);
    EXPECT_NE(statement.find(arguments), std::string::npos) << currentStep_ << ": got " << statement;
  } else if (verb == "expect" && object == "statement") {
    EXPECT_EQ(receiveQuery(endpoint), arguments + '\0') << currentStep_;
  } else if (verb == "expect" && object == "no-query") {
    expectNoQuery(endpoint, std::chrono::milliseconds(std::stoi(arguments)));
  } else if (verb == "expect" && object == "connections") {
    EXPECT_EQ(endpoint.accepted, std::stoi(arguments)) << currentStep_;
  } else if (verb == "expect" && object == "drained") {
    waitUntil([&] { return endpoint.connections.empty(); }, "all connections to be closed");
  } else if (verb == "drop") {
    endpoint.healthChecksToDrop = std::stoi(arguments);
  } else if (verb == "report") {
    endpoint.report = object;
  } else if (verb == "load") {
    endpoint.load = object;
  } else if (verb == "wait" && (object == "stalled" || object == "resumed")) {
    endpoint.stalled = object == "stalled";
  } else if (verb == "wait" && object == "speak") {
    // Startup messages and health checks that were received meanwhile are answered now.
    endpoint.silent = false;
  } else if (verb == "wait" && object == "silent") {
    // Connections stay open; startup messages and health checks stay unanswered.
    endpoint.silent = true;
  } else if (verb == "wait") {
    waitForIdle(endpoint, std::stoul(arguments));
  } else if (verb == "close" && object == "all") {  // as if the process had crashed
    close(endpoint.listener);
    endpoint.listener = -1;
    for (Connection& connection : endpoint.connections) reset(connection);
    endpoint.connections.clear();
  } else if (verb == "close" && object == "idle") {
    for (Connection& connection : endpoint.connections)
      if (!connection.isBusy) shutdown(connection.fd, SHUT_RDWR);
  } else {
    ASSERT_NE(endpoint.current, nullptr) << currentStep_;
    respond(endpoint, *endpoint.current, verb, object, arguments);
  }
}

// Waits for the next query on any connection of the endpoint; later steps apply to that connection.
std::string Scenario::receiveQuery(Endpoint& endpoint) {
  Connection* found = nullptr;
  std::string statement;
  waitUntil(
      [&] {
        for (Connection& connection : endpoint.connections) {
          char type = 0;
          if (!found && connection.hasStarted && !connection.isBusy &&
              takeMessage(connection, type, statement))
            found = &connection;
        }
        return found != nullptr;
      },
      "a query");
  if (found) {
    endpoint.current = found;
    found->isBusy = true;
  }
  return statement;
}

void Scenario::expectNoQuery(const Endpoint& endpoint, std::chrono::milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  while (std::chrono::steady_clock::now() < end) processEvents();
  for (const Connection& connection : endpoint.connections) {
    const std::string& input = connection.input;
    const bool isComplete = input.size() >= 5 && input.size() > pg::readInt32(input.data() + 1);
    EXPECT_FALSE(connection.hasStarted && !connection.isBusy && isComplete)
        << currentStep_ << ": got " << input.substr(input.size() - std::min<std::size_t>(input.size(), 80));
  }
}

void Scenario::waitForIdle(const Endpoint& endpoint, std::size_t count) {
  waitUntil(
      [&] {
        std::size_t idle = 0;
        for (const Connection& connection : endpoint.connections)
          idle += connection.hasStarted && !connection.isBusy && !connection.isClosed;
        return idle >= count;
      },
      "idle connections");
}

void Scenario::respond(const Endpoint& endpoint, Connection& connection, const std::string& verb,
                       const std::string& object, const std::string& arguments) {
  if (object == "closed")
    return waitUntil([&] { return connection.isClosed; }, "the connection to be closed");
  if (object == "gone") {
    EXPECT_TRUE(connection.isClosed) << currentStep_;
    return;
  }
  const bool primary =
      endpoint.load.empty() ? endpoint.primary : endpoint.load.find("x1=1") != std::string::npos;
  const std::string parameters =
      parameterStatus("role", primary ? "primary" : "replica") +
      (endpoint.load.empty() ? parameterStatus("applied_ms", std::to_string(unixMs()))
                             : parameterStatus("load", endpoint.load));
  if (verb == "close") {
    shutdown(connection.fd, SHUT_RDWR);
  } else if (object == "row" || object == "stray") {
    sendAll(connection.fd,
            row(expandValue(arguments)) + pg::message('C', kSelectOneTag) + parameters + pg::readyForQuery());
  } else if (object == "part") {
    const std::string complete = row(expandValue(arguments));
    sendAll(connection.fd, complete.substr(0, complete.size() - 2));
  } else if (object == "malformed") {
    sendAll(connection.fd, malformedResponse(arguments, parameters));
  } else if (object == "error") {
    sendAll(connection.fd,
            pg::errorResponse("ERROR", arguments.c_str(), "scripted") + parameters + pg::readyForQuery());
  } else {
    FAIL() << "unknown step: " << currentStep_;
  }
  if (object != "part" && object != "malformed") connection.isBusy = false;
}

void Scenario::respondToStartupAndHealthCheck(Endpoint& endpoint, Connection& connection) {
  if (endpoint.silent) return;
  if (!connection.hasStarted && connection.input.size() >= 4 &&
      connection.input.size() >= pg::readInt32(connection.input.data())) {
    connection.input.erase(0, pg::readInt32(connection.input.data()));
    connection.hasStarted = true;
    sendAll(connection.fd, pg::greeting());
  }
  const std::string empty = pg::query("");
  if (connection.hasStarted && connection.input.compare(0, empty.size(), empty) == 0) {
    connection.input.erase(0, empty.size());
    sendAll(connection.fd, pg::message('I', {}) + pg::readyForQuery());
  }
  const std::string show = pg::query("SHOW load");
  if (!connection.hasStarted || connection.input.compare(0, show.size(), show) != 0) return;
  connection.input.erase(0, show.size());
  if (endpoint.healthChecksToDrop > 0) {
    --endpoint.healthChecksToDrop;
    shutdown(connection.fd, SHUT_RDWR);
    return;
  }
  if (!endpoint.report.empty()) {
    sendAll(connection.fd,
            row(endpoint.report) + pg::message('C', std::string("SHOW\0", 5)) + pg::readyForQuery());
    return;
  }
  std::ostringstream report;
  const long long nowMs = unixMs();
  report << "x0=" << nowMs / 1000 << "." << nowMs % 1000 / 100 << ",x1=" << (endpoint.primary ? 1 : 0)
         << ",inflight=0";
  sendAll(connection.fd,
          row(report.str()) + pg::message('C', std::string("SHOW\0", 5)) + pg::readyForQuery());
}

}  // namespace stonebay::test
