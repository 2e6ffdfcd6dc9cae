// The exchange of load reports between proxies.
#pragma once

#include <vector>

#include "balancer/endpoint_table.hpp"

namespace stonebay::balancer {

/// Broadcasts load reports and applies those of other proxies. One of many proxies receives a report of a
/// given endpoint only every few seconds, but all proxies together receive many per second. A proxy that
/// receives a report broadcasts it, and the other proxies then do not broadcast that endpoint for
/// kBroadcastInterval. In addition, each proxy limits itself to twice its share of the broadcasts, because
/// otherwise all of them would broadcast when messages are lost.
class GossipPolicy {
 public:
  GossipPolicy(const Context& context, EndpointTable& table) : context_(context), table_(table) {}

  /// Applies a load report that arrived from the endpoint, and may broadcast it. `values` may be empty.
  void observeReport(Endpoint& endpoint, const std::vector<float>& values);
  /// Applies a message. Returns false and ignores the message if its position is in the future.
  bool observeGossip(Endpoint& endpoint, const GossipMessage& message);

 private:
  bool mayBroadcast(const Endpoint& endpoint) const;

  const Context& context_;
  EndpointTable& table_;
};

}  // namespace stonebay::balancer
