// A small language for what clients, endpoints and discovery do to a real stonebay process. A step a line:
//
//   c1 send query TEXT     c1 expect row TEXT     c1 expect error CODE     c1 expect closed     c1 close
//   s2 expect query TEXT   s2 send row TEXT       s2 send error CODE       s2 close
//   s2 wait idle 2         s2 wait silent
//   list expect watch TEXT list send line JSON    list close
//   proxy send TERM|STOP|CONT  proxy expect exit 0   proxy expect log TEXT        proxy reload moved|broken
//   c1 cancel [wrongly|begins]   c1 expect cancelled
//   c1 open (sends its startup, waits for nothing)   c1 expect greeted            time passes MS
//   proxy expect quiet       s2 send malformed KIND      s2 report TEXT
//   list expect endless TEXT (responds with neither chunks nor a length)      list send raw TEXT
//   list send indented JSON  list reset      list expect calls N (since the start, wherever it is)
//   c1 expect retry-after (a rejection with a number in the field D)
//   s2 drop health-checks N  s2 load TEXT (comes with its responses, in place of applied_ms)
//   s2 expect connections N (since its start)     s2 expect gone (closed by now, no wait)
//   dns publish s2 [KEY=VALUE ...]   dns withdraw s2   dns behavior NAME   dns move DOMAIN
//
// c1, c2 ... are clients; s1 (the primary), s2 ... endpoints that greet and report by themselves. A
// reload replaces the file and sends SIGHUP: `moved` names another discovery, which `list` is from then on.
// All are played by the test on loopback, at ports of the system's choice. An expect waits for what must
// come; the watchdog only ends a test that has failed.
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

#include "proxy_process.hpp"

namespace stonebay::testbed {
class NameServer;
}
namespace stonebay::test {

/// The longest wait for what must come.
constexpr auto kWatchdog = std::chrono::seconds(20);

class Scenario {
 public:
  explicit Scenario(const Setting& = {});
  ~Scenario();
  Scenario(const Scenario&) = delete;
  void run(const std::string& text);
  std::string list(int server, const std::string& lifecycle, int generation) const;  // a change, in one line

 private:
  struct Connection {
    int fd = -1;
    std::string in, key;
    bool ended = false, wasReset = false, greeted = false, busy = false, fresh = true;
  };
  struct Server {
    int listener = -1, port = 0;
    bool primary = false, silent = false;
    std::string report;          // in place of its own
    std::string load;            // in its responses
    int accepted = 0;            // connections
    int healthChecksToDrop = 0;  // answered by the end of their connection
    std::list<Connection> all;
    Connection* current = nullptr;
  };
  void configure(int listPort) const;
  void step(const std::string& line);
  void client(Connection&, const std::string& verb, const std::string& what, const std::string& rest);
  void server(Server&, const std::string& verb, const std::string& what, const std::string& rest);
  void expectQuery(Server&, const std::string& within);
  void waitForIdle(const Server&, std::size_t count);
  void respond(const Server&, Connection&, const std::string& verb, const std::string& what,
               const std::string& rest);
  void discovery(const std::string& verb, const std::string& what, const std::string& rest);
  void dns(const std::string& verb, const std::string& what, const std::string& rest);
  void proxy(const std::string& verb, const std::string& rest);
  void pump();
  void read(Connection&);
  void reset(Connection&);
  void greet(Server&, Connection&);
  void until(const std::function<bool()>& done, const std::string& what);
  bool message(Connection&, char& type, std::string& body);
  void expectMessage(Connection&, char type, const std::string& within);

  std::string at_;  // the step under way
  const Setting setting_;
  std::string configPath_, log_;
  int pid_ = -1, err_ = -1, port_ = 0, status_ = -1;
  bool exited_ = false;
  std::map<std::string, Connection> clients_;
  std::vector<Server> servers_;
  int listListener_ = -1, cancel_ = -1;
  std::list<Connection> watches_;
  struct FreeBase {
    void operator()(event_base* b) const { event_base_free(b); }
  };
  std::unique_ptr<event_base, FreeBase> base_;
  std::unique_ptr<testbed::NameServer> names_;
  std::string domain_ = "ruwi.example.org";
};

}  // namespace stonebay::test
