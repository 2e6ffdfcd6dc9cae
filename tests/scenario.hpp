// A small language that scripts what clients, endpoints and discovery do to a real stonebay process. Each
// line is one step: SUBJECT VERB OBJECT [ARGUMENTS]. Empty lines and lines that start with # are skipped.
//
// Clients c1, c2 ...; a client connects in its first step and, unless noted below, waits for the response to
// its startup message.
//   c1 open                     connects and sends the startup message, without waiting for the response
//   c1 expect greeted           the response to the startup message is complete
//   c1 send query TEXT          sends a Query message
//   c1 send long N TEXT         sends a Query message of TEXT behind a literal of N bytes
//   c1 send bytes HEX ...       sends these bytes; as a first step, without a startup message
//   c1 expect answer            any message of the proxy
//   c1 expect row TEXT          one row with this value, then ReadyForQuery; "big" means 64 KiB
//   c1 expect empty             the response to an empty query
//   c1 expect error CODE        an error with this SQLSTATE
//   c1 expect fatal CODE        an error with this SQLSTATE that ends the connection
//   c1 expect retry-after       an error 53300 whose detail is a number greater than 0
//   c1 expect closed            the proxy closes the connection without a reset
//   c1 close                    closes the connection
//   c1 cancel [wrongly|begins]  sends a CancelRequest on another connection: with a wrong key, or without its
//                               last byte, which the next `c1 cancel` sends
//   c1 expect cancelled         the proxy closes that connection and sends nothing on it
//
// Endpoints s1 (the primary), s2 ...; they answer startup messages and health checks without a step. `send`,
// `close` and `expect closed` apply to the connection of the last expected query.
//   s2 expect query TEXT        receives a query that contains TEXT
//   s2 expect statement TEXT    receives a query whose whole text is TEXT
//   s2 send row TEXT            responds with one row
//   s2 send part TEXT           the same without CommandComplete and the last 2 bytes of the row
//   s2 send stray TEXT          the same as `send row` although no query is in flight: a repeated response
//   s2 send error CODE          responds with an error of this SQLSTATE
//   s2 send malformed KIND      sends an invalid response, see scenario_endpoints.cpp
//   s2 close                    closes the connection
//   s2 close idle               closes all connections without a query in flight
//   s2 close all                resets all connections and stops listening, as if the process had crashed
//   s2 expect closed            waits until the proxy has closed the connection
//   s2 expect gone              the proxy has closed the connection already; does not wait
//   s2 expect drained           waits until all connections are closed
//   s2 expect connections N     has accepted N connections since the start
//   s2 wait idle N              waits until at least N connections are idle
//   s2 wait silent              leaves startup messages and health checks unanswered from now on
//   s2 wait speak               answers them again, including those that are waiting
//   s2 wait stalled             accepts and reads nothing from now on, as if its process was stopped
//   s2 wait resumed             accepts and reads again
//   s2 expect no-query MS       receives no complete query within MS milliseconds
//   s2 drop health-checks N     closes the connection instead of answering the next N health checks
//   s2 report WORD              answers health checks with WORD
//   s2 load WORD                responses carry the load report WORD instead of applied_ms
//
// The registry.
//   list expect watch TEXT      receives a watch whose request contains TEXT, and starts a chunked response
//   list expect endless TEXT    the same, with a response that has neither chunks nor a length
//   list expect call TEXT       the same, without a response
//   list expect calls N         has accepted N connections since the start, at all its addresses together
//   list send line JSON         sends a list in one line, as one chunk
//   list send bits JSON         the same in chunks of one byte
//   list send indented JSON     the same as one chunk with line breaks and indentation
//   list send raw TEXT          sends TEXT without chunk framing
//   list send status TEXT       sends an empty response with this status
//   list close                  closes the connection that was accepted last
//   list reset                  resets it
//
// The name server.
//   dns publish s2 [KEY=VALUE ...]   publishes an endpoint with these TXT strings
//   dns withdraw s2                  withdraws it
//   dns behavior NAME                see testbed::NameServer::Behavior
//   dns move DOMAIN                  serves another domain at the same port; reloads the proxy
//
// Hostile clients, which go on while other steps wait.
//   flood start N SHAPE         N clients send in the way SHAPE, see flood.hpp
//
// The proxy, and time.
//   proxy send TERM|STOP|CONT   sends a signal
//   proxy reload moved|broken   replaces the configuration file and sends SIGHUP; `moved` moves the registry
//                               to another port, `broken` makes the file invalid
//   proxy expect log TEXT       its output contains TEXT
//   proxy expect memory MB      it has never used more resident memory
//   proxy expect quiet          the process sleeps between timers instead of spinning
//   proxy expect exit CODE      it exits with this status
//   time passes MS              handles events for MS milliseconds
//
// The test plays all of them on loopback, at ports that the system chooses. `expect` and `wait` steps wait
// until the event occurs unless described otherwise above; kStepTimeout only ends a test that has failed.
#pragma once

#include <event2/event.h>
#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "flood.hpp"
#include "proxy_process.hpp"

namespace stonebay::testbed {
class NameServer;
}
namespace stonebay::test {

/// A step that waits longer than this fails.
constexpr auto kStepTimeout = std::chrono::seconds(20);

class Scenario {
 public:
  explicit Scenario(const Setting& = {});
  ~Scenario();
  Scenario(const Scenario&) = delete;
  /// Runs the steps of `text`; stops after the first fatal failure.
  void run(const std::string& text);
  /// Returns an endpoint list in the registry's JSON form, in one line: a change with the one endpoint
  /// of this number (1 is the primary).
  std::string list(int endpoint, const std::string& lifecycle, int generation) const;

 private:
  struct Connection {
    int fd = -1;
    // input: bytes that were received and not consumed yet. key: the body of the BackendKeyData message.
    std::string input, key;
    // hasStarted: the startup message was answered. isBusy: a query is in flight. isNew: no step has expected
    // the request of this registry connection yet.
    bool isClosed = false, wasReset = false, hasStarted = false, isBusy = false, isNew = true;
  };
  struct Endpoint {
    int listener = -1, port = 0;
    bool primary = false, silent = false, stalled = false;
    std::string report;          // answer to health checks; empty means a valid load report
    std::string load;            // load report in responses; empty means that they carry applied_ms instead
    int accepted = 0;            // connections since the start
    int healthChecksToDrop = 0;  // health checks to answer by closing the connection
    std::list<Connection> connections;
    Connection* current = nullptr;  // of the last expected query
  };
  void configure(int discoveryPort) const;
  void runStep(const std::string& line);
  void runClientStep(Connection&, const std::string& verb, const std::string& object,
                     const std::string& arguments);
  void runEndpointStep(Endpoint&, const std::string& verb, const std::string& object,
                       const std::string& arguments);
  /// Waits for the next query and returns its text.
  std::string receiveQuery(Endpoint&);
  void waitForIdle(const Endpoint&, std::size_t count);
  void expectNoQuery(const Endpoint&, std::chrono::milliseconds time);
  void respond(const Endpoint&, Connection&, const std::string& verb, const std::string& object,
               const std::string& arguments);
  void runRegistryStep(const std::string& verb, const std::string& object, const std::string& arguments);
  void runDnsStep(const std::string& verb, const std::string& object, const std::string& arguments);
  void expectMemoryBelow(long megabytes) const;
  void runProxyStep(const std::string& verb, const std::string& arguments);
  void processEvents();
  void read(Connection&);
  void reset(Connection&);
  void respondToStartupAndHealthCheck(Endpoint&, Connection&);
  void waitUntil(const std::function<bool()>& done, const std::string& awaited);
  bool takeMessage(Connection&, char& type, std::string& body);
  void expectMessage(Connection&, char type, const std::string& expected);

  std::string currentStep_;
  const Setting setting_;
  std::string configPath_, log_;
  int proxyPid_ = -1, outputFd_ = -1, proxyPort_ = 0, exitStatus_ = -1;
  bool exited_ = false;
  std::map<std::string, Connection> clients_;
  std::vector<Endpoint> endpoints_;
  int registryListener_ = -1, cancelFd_ = -1;
  std::list<Connection> watchConnections_;
  struct FreeBase {
    void operator()(event_base* base) const { event_base_free(base); }
  };
  std::unique_ptr<event_base, FreeBase> eventBase_;
  std::unique_ptr<testbed::NameServer> nameServer_;
  std::unique_ptr<Flood> flood_;
  std::string domain_ = "ruwi.example.org";
};

}  // namespace stonebay::test
