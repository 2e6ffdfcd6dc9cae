// Slow start: what an endpoint that has just started may be sent.
#pragma once

#include "balancer/endpoint_table.hpp"

namespace stonebay::balancer {

/// Keeps all proxies together from overloading an endpoint that is warming up.
class SlowStart {
 public:
  SlowStart(const Context& context, const EndpointTable& table) : context_(context), table_(table) {}

  /// The least that an endpoint can do now, as a share of a warm one's capacity; 1: it is warm.
  double warmUpCapacity(const Endpoint& endpoint) const;
  /// Whether a warming endpoint may be sent a request. A hash of the request opens it to as many of its
  /// group's requests as its present share of the whole group's capacity. Retries, bursts and late lists may
  /// quadruple what comes: where its load is not reported it gets a part of its share. `costShare`: see
  /// LatencyModel::costShare.
  bool isWithinBudget(const Endpoint& endpoint, RequestId request, double costShare) const;

 private:
  const Context& context_;
  const EndpointTable& table_;
};

}  // namespace stonebay::balancer
