// The events that the network reports to the dispatcher. They are recorded until the next batch.
#pragma once

#include <variant>
#include <vector>

#include "codec/gossip/message.hpp"
#include "discovery/endpoint_list.hpp"
#include "dispatch/attempt_result.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay {

struct RequestArrived {
  Request request;
};

/// The client has left before its final response.
struct ClientLeft {
  RequestId id;
};

/// A connection is ready for an attempt that had to wait for one.
struct AttemptConnected {
  RequestId id;
  int attempt;
};

struct AttemptEnded {
  RequestId id;
  int attempt;
  EndpointId endpoint;
  AttemptResult result;
};

struct HealthCheckEnded {
  EndpointId endpoint;
  bool ok;
  std::vector<double> report;  ///< positions in Unix seconds
};

struct EndpointListReceived {
  EndpointListUpdate list;
};

struct EndpointListFailed {};

struct GossipReceived {
  gossip::Message message;
};

using DispatchEvent =
    std::variant<RequestArrived, ClientLeft, AttemptConnected, AttemptEnded, HealthCheckEnded,
                 EndpointListReceived, EndpointListFailed, GossipReceived>;

}  // namespace stonebay
