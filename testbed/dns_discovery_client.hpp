// Discovery by DNS-SD as the fault-injecting proxy does it: one query over TCP.
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

/// The endpoints that the name server lists now; nothing if it can't be reached or its answer is malformed.
std::optional<std::vector<DiscoveredEndpoint>> queryEndpoints(const sockaddr_in& nameServer,
                                                              const dns::Name& service);

/// The endpoints that are listed, in the order in which they were first listed. Thread-safe.
class EndpointList {
 public:
  void update(const std::vector<DiscoveredEndpoint>& listed);
  bool isEmpty() const;
  std::vector<DiscoveredEndpoint> ofGroup(const std::string& group) const;

 private:
  mutable std::mutex mutex_;
  std::vector<DiscoveredEndpoint> endpoints_;
};

}  // namespace stonebay::testbed
