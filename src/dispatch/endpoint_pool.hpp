// The interface through which the dispatcher uses the upstream connections.
#pragma once

#include <memory>

#include "discovery/address.hpp"
#include "dispatch/forwarded_request.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// Carries out attempts and health checks.
///
/// Each send() leads to exactly one Dispatcher::onAttemptEnded and each checkHealth() to exactly one
/// Dispatcher::onHealthCheck, possibly before the call returns.
class EndpointPool {
 public:
  virtual ~EndpointPool() = default;
  /// Adds or changes an endpoint. An endpoint that is not `ready` gets no new requests. An empty `address`
  /// leaves the address unchanged.
  virtual void updateEndpoint(EndpointId id, const Address& address, bool ready) = 0;
  virtual void send(RequestId id, int attempt, EndpointId endpoint, const AttemptLimits& limits,
                    std::shared_ptr<const ForwardedRequest> request) = 0;
  /// Answers Dispatcher::onConnected. If `eligible` is false the attempt must no longer be sent.
  virtual void resumeAttempt(RequestId id, int attempt, bool eligible) = 0;
  virtual void cancel(RequestId id, int attempt) = 0;
  /// Ends an attempt if the endpoint has certainly not received it completely; otherwise does nothing.
  virtual void withdraw(RequestId id, int attempt) = 0;
  virtual void checkHealth(EndpointId id) = 0;
  /// Called only when nothing is in flight at the endpoint and nothing will be sent to it any more.
  virtual void removeEndpoint(EndpointId id) = 0;
};

}  // namespace stonebay
