#include "testbed/faulty_proxy.hpp"

#include <poll.h>

#include <chrono>
#include <cstdlib>
#include <map>
#include <optional>
#include <thread>
#include <utility>

#include "codec/pg/pg.hpp"
#include "testbed/blocking_socket.hpp"

namespace stonebay::testbed {
namespace {

constexpr std::size_t kLengthBytes = 4;  // length field of a PostgreSQL message
constexpr std::size_t kHeaderBytes = 5;  // type and length field
constexpr int kResponseTimeoutMs = 3000;
constexpr auto kPollInterval = std::chrono::milliseconds(200);
// Longer than the deduplication window of the test.
constexpr auto kRepeatDelay = std::chrono::milliseconds(700);
constexpr unsigned kLossInterval = 10;  // requests; the last of each interval is not answered

// Reads up to and including ReadyForQuery. Returns false on a timeout or if the connection closes.
bool receiveUntilReady(int fd, std::string& input) {
  std::size_t messageAt = 0;
  for (;;) {
    while (input.size() >= messageAt + kHeaderBytes) {
      const std::size_t messageSize = 1 + pg::readInt32(input.data() + messageAt + 1);
      if (input.size() < messageAt + messageSize) break;
      if (input[messageAt] == 'Z') return true;
      messageAt += messageSize;
    }
    pollfd readable{fd, POLLIN, 0};
    if (poll(&readable, 1, kResponseTimeoutMs) <= 0 || !receiveInto(fd, input)) return false;
  }
}

// Returns the response including its ReadyForQuery message, or an empty string if there is none.
std::string attempt(const DiscoveredEndpoint& endpoint, const std::string& statement) {
  const UniqueFd fd = connectTo(endpoint.address);
  if (!fd.isOpen()) return "";
  std::string greeting;
  if (!sendAll(fd.get(), pg::startupMessage("api", "ledger")) || !receiveUntilReady(fd.get(), greeting))
    return "";
  std::string response;
  if (!sendAll(fd.get(), pg::query(statement)) || !receiveUntilReady(fd.get(), response)) return "";
  return response;
}

std::string rejection() { return pg::errorResponse("ERROR", "53300", "none") + pg::readyForQuery(); }

// Removes a message of `size` bytes from `input` and returns it, or std::nullopt if it is incomplete.
std::optional<std::string> takeMessage(std::string& input, std::size_t size) {
  if (input.size() < size) return std::nullopt;
  std::string message = input.substr(0, size);
  input.erase(0, size);
  return message;
}

std::optional<std::string> takeStartup(std::string& input) {
  if (input.size() < kLengthBytes) return std::nullopt;
  return takeMessage(input, pg::readInt32(input.data()));
}

std::optional<std::string> takeTypedMessage(std::string& input) {
  if (input.size() < kHeaderBytes) return std::nullopt;
  return takeMessage(input, 1 + pg::readInt32(input.data() + 1));
}

}  // namespace

Fault faultNamed(const std::string& name) {
  static const std::map<std::string, Fault> faults{
      {"late", Fault::LateAttempt},    {"copies", Fault::Hedging},     {"lose", Fault::Loss},
      {"swap", Fault::WrongValue},     {"stale", Fault::StaleRead},    {"flood", Fault::Overload},
      {"twice", Fault::RepeatedWrite}, {"extra", Fault::ExtraResponse}};
  const auto it = faults.find(name);
  return it == faults.end() ? Fault::None : it->second;
}

FaultyProxy::FaultyProxy(Fault fault, const sockaddr_in& nameServer, dns::Name service)
    : fault_(fault), nameServer_(nameServer), service_(std::move(service)) {}

void FaultyProxy::updateEndpoints() {
  const auto listed = queryEndpoints(nameServer_, service_);
  if (!listed) return;
  if (fault_ == Fault::LateAttempt && !endpoints_.isEmpty()) return;
  endpoints_.update(*listed);
}

void FaultyProxy::pollDiscovery() {
  for (;;) {
    std::this_thread::sleep_for(kPollInterval);
    updateEndpoints();
  }
}

std::vector<DiscoveredEndpoint> FaultyProxy::endpointsFor(const std::string& statement) const {
  const std::string field = "cluster=";
  const std::size_t at = statement.rfind(field);
  const int group = at == std::string::npos ? 1 : std::atoi(statement.c_str() + at + field.size());
  return endpoints_.ofGroup(std::to_string(group));
}

// Returns an empty string if the request gets no response.
std::string FaultyProxy::respond(const std::string& statement) {
  const std::vector<DiscoveredEndpoint> endpoints = endpointsFor(statement);
  if (endpoints.empty()) return rejection();
  const unsigned request = requests_++;
  if (fault_ == Fault::Loss && request % kLossInterval == kLossInterval - 1) return "";
  const bool isWrite = statement.rfind("INSERT", 0) == 0;
  return isWrite ? respondToWrite(endpoints, statement) : respondToRead(endpoints, statement, request);
}

// Tries the endpoints in turn until one accepts the write.
std::string FaultyProxy::respondToWrite(const std::vector<DiscoveredEndpoint>& endpoints,
                                        const std::string& statement) const {
  for (const DiscoveredEndpoint& endpoint : endpoints) {
    std::string response = attempt(endpoint, statement);
    const bool isReplica = response.find("C25006") != std::string::npos;
    if (response.empty() || isReplica) continue;
    if (fault_ == Fault::RepeatedWrite) {
      std::thread([endpoint, statement] {
        std::this_thread::sleep_for(kRepeatDelay);
        attempt(endpoint, statement);
      }).detach();
    }
    return response;
  }
  return rejection();
}

std::string FaultyProxy::respondToRead(const std::vector<DiscoveredEndpoint>& endpoints,
                                       const std::string& statement, unsigned request) const {
  const DiscoveredEndpoint& endpoint =
      fault_ == Fault::Overload ? endpoints.back() : endpoints[request % endpoints.size()];
  if (fault_ == Fault::Hedging && endpoints.size() > 1) {
    const DiscoveredEndpoint& other = endpoints[(request + 1) % endpoints.size()];
    std::thread([other, statement] { attempt(other, statement); }).detach();
  }
  std::string response = attempt(endpoint, statement);
  if (response.empty()) return rejection();
  const std::string valuePrefix = "v-";
  const std::size_t valueAt = response.find(valuePrefix);
  if (fault_ == Fault::WrongValue && valueAt != std::string::npos)
    response[valueAt + valuePrefix.size()] = '?';
  return response;
}

void FaultyProxy::serveClient(const UniqueFd& client) {
  std::string input;
  while (!takeStartup(input))
    if (!receiveInto(client.get(), input)) return;
  if (!sendAll(client.get(), pg::greeting())) return;
  for (;;) {
    const auto message = takeTypedMessage(input);
    if (!message) {
      if (!receiveInto(client.get(), input)) return;
      continue;
    }
    if (message->front() != 'Q') return;
    // The statement is the message without its header and the terminating NUL.
    std::string response = respond(message->substr(kHeaderBytes, message->size() - kHeaderBytes - 1));
    if (fault_ == Fault::ExtraResponse) response += response;
    if (!response.empty() && !sendAll(client.get(), response)) return;
  }
}

}  // namespace stonebay::testbed
