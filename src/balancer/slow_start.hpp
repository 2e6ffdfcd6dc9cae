// Slow start: limits the requests to an endpoint that has just started.
#pragma once

#include "balancer/endpoint_table.hpp"

namespace stonebay::balancer {

/// Limits the requests to warming endpoints so that all proxies together do not overload one.
class SlowStart {
 public:
  SlowStart(const Context& context, const EndpointTable& table) : context_(context), table_(table) {}

  /// Returns a lower bound of an endpoint's current capacity, as a share of its capacity when warm.
  double warmUpCapacity(const Endpoint& endpoint) const;
  /// Returns whether the request may be sent to the endpoint; always true for a warm endpoint. A hash of the
  /// request selects the share of requests that corresponds to the endpoint's share of the capacity of its
  /// group. Retries, bursts and outdated lists may quadruple the number of requests, so an endpoint gets only
  /// part of that share, and less if its load is not reported. For `costShare` see LatencyModel::costShare().
  bool isWithinBudget(const Endpoint& endpoint, RequestId request, double costShare) const;

 private:
  const Context& context_;
  const EndpointTable& table_;
};

}  // namespace stonebay::balancer
