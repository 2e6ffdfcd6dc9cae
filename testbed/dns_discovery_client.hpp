// The DNS-SD discovery of the fault-injecting proxy: a single query over TCP.
#pragma once

#include <netinet/in.h>

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "codec/dns/message.hpp"

namespace stonebay::testbed {

struct DiscoveredEndpoint {
  std::string name;
  std::string group;
  sockaddr_in address{};
};

/// Returns the endpoints that the name server lists, or std::nullopt if it can't be reached or its response
/// is malformed.
std::optional<std::vector<DiscoveredEndpoint>> queryEndpoints(const sockaddr_in& nameServer,
                                                              const dns::Name& service);

/// The endpoints of the latest list, in the order in which they were first listed. Thread-safe.
class EndpointList {
 public:
  /// Replaces the list. Endpoints that were listed before keep their order.
  void update(const std::vector<DiscoveredEndpoint>& listed);
  bool isEmpty() const;
  std::vector<DiscoveredEndpoint> ofGroup(const std::string& group) const;

 private:
  mutable std::mutex mutex_;
  std::vector<DiscoveredEndpoint> endpoints_;
};

}  // namespace stonebay::testbed
