#include "scenario.hpp"

#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "codec/pg/pg.hpp"
#include "scenario_sockets.hpp"
#include "testbed/name_server.hpp"

namespace stonebay::test {

Scenario::Scenario(const Setting& setting)
    : setting_(setting), endpoints_(static_cast<std::size_t>(setting.servers)) {
  for (Endpoint& endpoint : endpoints_) {
    endpoint.listener = listenOnAnyPort(endpoint.port);
    const int bytes = setting.receiveBuffer;
    if (bytes > 0) setsockopt(endpoint.listener, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  }
  endpoints_.front().primary = true;
  int discoveryPort = 0;
  registryListener_ = listenOnAnyPort(discoveryPort);
  if (setting.dnssd) {
    eventBase_.reset(event_base_new());
    nameServer_ = std::make_unique<testbed::NameServer>(eventBase_.get(), domain_, "_postgresql._tcp");
    discoveryPort = nameServer_->port();
    for (std::size_t number = 1; number <= endpoints_.size(); ++number)
      run("dns publish s" + std::to_string(number));
  }
  char path[] = "/tmp/stonebay-test-XXXXXX";
  const int file = mkstemp(path);
  configPath_ = path;
  close(file);
  configure(discoveryPort);
  using Arguments = std::vector<std::string>;
  proxyPid_ = spawn(configPath_, setting, outputFd_,
                    setting.ini || setting.dnssd ? Arguments{"serve", "--config", configPath_} : Arguments{});
  currentStep_ = "start";
  waitUntil([&] { return log_.find(" port=") != std::string::npos && log_.back() == '\n'; },
            "the proxy's port in the log");
  proxyPort_ = std::atoi(log_.c_str() + log_.find(" port=") + 6);
  if (setting.dnssd) {
    run("proxy expect log event=member name=s-" + std::to_string(endpoints_.size()));
    return;
  }
  run(R"(
    list expect watch after=)" +
      std::string(setting.ini ? "0" : "5") + R"(
    list send line {"generation":5,"reset":false,"instances":[]}
  )");
}

void Scenario::configure(int discoveryPort) const {
  std::vector<int> ports;
  for (const Endpoint& endpoint : endpoints_) ports.push_back(endpoint.port);
  std::ofstream(configPath_) << (setting_.ini || setting_.dnssd
                                     ? settingsFile(setting_, discoveryPort, ports, domain_)
                                     : configuration(setting_, discoveryPort, ports));
}

Scenario::~Scenario() {
  if (!exited_) {
    kill(proxyPid_, SIGKILL);
    waitpid(proxyPid_, nullptr, 0);
  }
  for (auto& [name, connection] : clients_) close(connection.fd);
  for (Endpoint& endpoint : endpoints_) {
    close(endpoint.listener);
    for (Connection& connection : endpoint.connections) close(connection.fd);
  }
  for (Connection& connection : watchConnections_) close(connection.fd);
  close(registryListener_);
  close(outputFd_);
  unlink(configPath_.c_str());
  if (testing::Test::HasFailure()) std::fputs(log_.c_str(), stderr);
}

void Scenario::run(const std::string& text) {
  std::istringstream lines(text);
  for (std::string line; !testing::Test::HasFatalFailure() && std::getline(lines, line);) {
    line.erase(0, line.find_first_not_of(' '));
    if (!line.empty() && line[0] != '#') runStep(line);
  }
}

void Scenario::runStep(const std::string& line) {
  currentStep_ = line;
  std::istringstream words(line);
  std::string subject, verb, object, arguments;
  words >> subject >> verb >> object >> std::ws;
  std::getline(words, arguments);
  if (subject == "time") {  // lets timers of the proxy expire
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoi(object));
    while (std::chrono::steady_clock::now() < end) processEvents();
    return;
  }
  if (subject == "list") return runRegistryStep(verb, object, arguments);
  if (subject == "dns") return runDnsStep(verb, object, arguments);
  if (subject == "proxy" && object == "log")
    return waitUntil([&] { return log_.find(arguments) != std::string::npos; }, "a line in the log");
  if (subject == "proxy" && object == "memory") return expectMemoryBelow(std::stol(arguments));
  if (subject == "flood") {
    flood_ = std::make_unique<Flood>(proxyPort_, std::stoi(object), arguments);
    return;
  }
  if (subject == "proxy") return runProxyStep(verb, object == "exit" ? arguments : object);
  if (subject[0] == 's')
    return runEndpointStep(endpoints_.at(static_cast<std::size_t>(std::stoi(subject.substr(1)) - 1)), verb,
                           object, arguments);
  Connection& connection = clients_[subject];
  if (connection.fd < 0) {
    connection.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(proxyPort_);
    ASSERT_EQ(connect(connection.fd, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0)
        << currentStep_;
    if (object != "bytes") sendAll(connection.fd, pg::startupMessage("api", "ledger"));
    if (verb == "open") return;
    if (object != "bytes") expectMessage(connection, 'Z', "");
  }
  runClientStep(connection, verb, object, arguments);
}

void Scenario::expectMemoryBelow(long megabytes) const {
  constexpr long kKilobytesPerMegabyte = 1024;
  std::ifstream status("/proc/" + std::to_string(proxyPid_) + "/status");
  long peak = -1;
  for (std::string word; status >> word;)
    if (word == "VmHWM:") status >> peak;
  EXPECT_GT(peak, 0) << currentStep_;
  EXPECT_LE(peak, megabytes * kKilobytesPerMegabyte) << currentStep_;
}

void Scenario::runProxyStep(const std::string& verb, const std::string& arguments) {
  if (verb == "send") {
    const std::map<std::string, int> signals{{"TERM", SIGTERM}, {"STOP", SIGSTOP}, {"CONT", SIGCONT}};
    kill(proxyPid_, signals.at(arguments));
    return;
  }
  if (verb == "reload") {
    if (arguments == "moved") {
      int port = 0;
      close(registryListener_);
      registryListener_ = listenOnAnyPort(port);
      configure(port);
    } else {
      std::ofstream(configPath_) << "{\"name\":";
    }
    kill(proxyPid_, SIGHUP);
    return;
  }
  // A process that spins has no voluntary context switches; an idle one has one whenever it waits for its
  // next timer. The step waits for a number of switches, however long they take.
  if (arguments == "quiet") {
    const auto contextSwitches = [&] {
      std::ifstream status("/proc/" + std::to_string(proxyPid_) + "/status");
      long count = -1;
      for (std::string word; status >> word;)
        if (word == "voluntary_ctxt_switches:") status >> count;
      return count;
    };
    const long before = contextSwitches();
    return waitUntil([&] { return contextSwitches() >= before + 20; }, "the proxy to become idle");
  }
  waitUntil([&] { return exited_ = exited_ || waitpid(proxyPid_, &exitStatus_, WNOHANG) == proxyPid_; },
            "the exit of the proxy");
  EXPECT_TRUE(WIFEXITED(exitStatus_)) << currentStep_;
  EXPECT_EQ(WEXITSTATUS(exitStatus_), std::stoi(arguments)) << currentStep_;
}

void Scenario::waitUntil(const std::function<bool()>& done, const std::string& awaited) {
  const auto end = std::chrono::steady_clock::now() + kStepTimeout;
  while (!done()) {
    ASSERT_LT(std::chrono::steady_clock::now(), end)
        << "step '" << currentStep_ << "': timed out waiting for " << awaited;
    processEvents();
  }
}

// Waits briefly for events, accepts connections, reads input, and answers startup messages and health checks
// for the endpoints.
void Scenario::processEvents() {
  std::vector<pollfd> fds{{outputFd_, POLLIN, 0}, {registryListener_, POLLIN, 0}};
  const auto addToPoll = [&](Connection& connection) {
    if (connection.fd >= 0 && !connection.isClosed) fds.push_back({connection.fd, POLLIN, 0});
  };
  for (auto& [name, connection] : clients_) addToPoll(connection);
  for (Connection& connection : watchConnections_) addToPoll(connection);
  for (Endpoint& endpoint : endpoints_) {
    if (endpoint.stalled) continue;
    if (endpoint.listener >= 0) fds.push_back({endpoint.listener, POLLIN, 0});
    for (Connection& connection : endpoint.connections) addToPoll(connection);
  }
  if (eventBase_) event_base_loop(eventBase_.get(), EVLOOP_NONBLOCK);
  if (flood_) flood_->pump();
  poll(fds.data(), fds.size(), eventBase_ || flood_ ? 5 : 20);
  const auto isReady = [&](int fd) {
    for (const pollfd& entry : fds)
      if (entry.fd == fd && entry.revents) return true;
    return false;
  };
  char text[4096];
  if (isReady(outputFd_)) {
    const ssize_t bytesRead = ::read(outputFd_, text, sizeof text);
    if (bytesRead > 0) log_.append(text, static_cast<std::size_t>(bytesRead));
  }
  const auto acceptConnection = [&](int listener, std::list<Connection>& to) {
    if (listener < 0 || !isReady(listener)) return;
    to.emplace_back();
    to.back().fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
  };
  for (auto& [name, connection] : clients_)
    if (isReady(connection.fd)) read(connection);
  for (Connection& connection : watchConnections_)
    if (isReady(connection.fd)) read(connection);
  acceptConnection(registryListener_, watchConnections_);
  for (Endpoint& endpoint : endpoints_) {
    if (endpoint.stalled) continue;
    for (Connection& connection : endpoint.connections) {
      if (isReady(connection.fd)) read(connection);
      respondToStartupAndHealthCheck(endpoint, connection);
    }
    endpoint.connections.remove_if([&](Connection& connection) {
      const bool isRemovable = connection.isClosed && !connection.isBusy && &connection != endpoint.current;
      if (isRemovable) close(connection.fd);
      return isRemovable;
    });
    const std::size_t before = endpoint.connections.size();
    acceptConnection(endpoint.listener, endpoint.connections);
    endpoint.accepted += static_cast<int>(endpoint.connections.size() - before);
  }
}

void Scenario::reset(Connection& connection) {
  const linger resetOnClose{1, 0};
  setsockopt(connection.fd, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
  close(connection.fd);
  connection.fd = -1;
  connection.isClosed = true;
}

void Scenario::read(Connection& connection) {
  char text[65536];
  const ssize_t bytesRead = ::recv(connection.fd, text, sizeof text, MSG_DONTWAIT);
  if (bytesRead > 0) connection.input.append(text, static_cast<std::size_t>(bytesRead));
  connection.isClosed = bytesRead == 0 || (bytesRead < 0 && errno != EAGAIN);
  connection.wasReset = bytesRead < 0 && errno == ECONNRESET;
}

bool Scenario::takeMessage(Connection& connection, char& type, std::string& body) {
  if (connection.input.size() < 5) return false;
  const std::size_t length = pg::readInt32(connection.input.data() + 1);
  if (connection.input.size() < length + 1) return false;
  type = connection.input[0];
  body = connection.input.substr(5, length - 4);
  connection.input.erase(0, length + 1);
  return true;
}

// Expects a message of this type, after any messages that a client skips. The value of a row must equal
// `expected`; the body of any other message must contain it.
void Scenario::expectMessage(Connection& connection, char type, const std::string& expected) {
  char received = 0;
  std::string body;
  const std::string skippedTypes = type == 'Z' ? "RSKC" : "RSKTC";
  waitUntil(
      [&] {
        while (takeMessage(connection, received, body)) {
          if (received == 'K') connection.key = body;
          if (received == type || skippedTypes.find(received) == std::string::npos) return true;
        }
        return connection.isClosed;
      },
      "a message");
  ASSERT_EQ(std::string(1, received), std::string(1, type))
      << "step '" << currentStep_ << "': " << body.substr(0, 200);
  const bool isExact = type == 'D';
  EXPECT_TRUE(isExact ? body.size() >= 6 && body.substr(6) == expected
                      : body.find(expected) != std::string::npos)
      << "step '" << currentStep_ << "': got " << body.substr(0, 200);
}

}  // namespace stonebay::test
