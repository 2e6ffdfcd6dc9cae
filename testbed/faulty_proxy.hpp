// A proxy that breaks one rule on purpose.
#pragma once

#include <netinet/in.h>

#include <atomic>
#include <string>
#include <vector>

#include "codec/dns/message.hpp"
#include "testbed/dns_discovery_client.hpp"
#include "testbed/unique_fd.hpp"

namespace stonebay::testbed {

enum class Fault {
  None,
  LateAttempt,    ///< keeps sending to endpoints that were withdrawn
  Hedging,        ///< sends each read to two endpoints concurrently
  Loss,           ///< never answers one request in ten
  WrongValue,     ///< answers with a value that no endpoint returned
  StaleRead,      ///< sends reads to replicas regardless of their replication lag
  Overload,       ///< sends all reads to the endpoint that was listed last
  RepeatedWrite,  ///< sends each write again after its deduplication window
  ExtraResponse   ///< answers twice
};

/// Returns the fault with the name "late", "copies", "lose", "swap", "stale", "flood", "twice" or "extra", in
/// the order of the enumerators. Returns Fault::None for any other name.
Fault faultNamed(const std::string& name);

/// Apart from its fault, serves requests in the simplest way: one connection for each request, no retries of
/// reads, no limits. Thread-safe.
class FaultyProxy {
 public:
  FaultyProxy(Fault fault, const sockaddr_in& nameServer, dns::Name service);

  /// Polls discovery once.
  void updateEndpoints();
  /// Polls discovery periodically. Never returns.
  [[noreturn]] void pollDiscovery();
  /// Serves a client until its connection closes.
  void serveClient(const UniqueFd& client);

 private:
  std::string respond(const std::string& statement);
  std::string respondToWrite(const std::vector<DiscoveredEndpoint>& endpoints,
                             const std::string& statement) const;
  std::string respondToRead(const std::vector<DiscoveredEndpoint>& endpoints, const std::string& statement,
                            unsigned request) const;
  std::vector<DiscoveredEndpoint> endpointsFor(const std::string& statement) const;

  const Fault fault_;
  const sockaddr_in nameServer_;
  const dns::Name service_;
  EndpointList endpoints_;
  std::atomic<unsigned> requests_{0};
};

}  // namespace stonebay::testbed
