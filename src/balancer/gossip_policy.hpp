// What proxies tell one another of endpoints.
#pragma once

#include <vector>

#include "balancer/endpoint_table.hpp"

namespace stonebay::balancer {

/// A proxy of many hears from each endpoint once in many seconds, all of them together many times a second.
/// Whoever has a report broadcasts it, the others keep quiet for a while; and none broadcasts more than twice
/// its part, so that not all of them do where messages are lost.
class GossipPolicy {
 public:
  GossipPolicy(const Context& context, EndpointTable& table) : context_(context), table_(table) {}

  /// A load report that came from the endpoint itself; its values may be none.
  void observeReport(Endpoint& endpoint, const std::vector<float>& values);
  /// False: the message says nothing that counts.
  bool observeGossip(Endpoint& endpoint, const GossipMessage& message);

 private:
  bool mayBroadcast(const Endpoint& endpoint) const;

  const Context& context_;
  EndpointTable& table_;
};

}  // namespace stonebay::balancer
