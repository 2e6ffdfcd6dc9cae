// The interface of the upstream connections towards the dispatcher.
#pragma once

#include <memory>

#include "discovery/address.hpp"
#include "dispatch/forwarded_request.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// Carries out attempts and health checks.
///
/// Each send ends in exactly one Dispatcher::onAttemptEnded, each health check in exactly one
/// Dispatcher::onHealthCheck. Both come after the call has returned, never from within it.
class EndpointPool {
 public:
  virtual ~EndpointPool() = default;
  /// Adds an endpoint or changes it. `ready` false: it gets no new requests.
  virtual void updateEndpoint(EndpointId id, const Address& address, bool ready) = 0;
  /// `until` 0: the attempt ends when it is cancelled.
  virtual void send(RequestId id, int attempt, EndpointId endpoint, TimePoint until,
                    std::shared_ptr<const ForwardedRequest> request) = 0;
  /// Answers Dispatcher::onConnected. `eligible` false: the attempt must not be sent any more.
  virtual void resumeAttempt(RequestId id, int attempt, bool eligible) = 0;
  virtual void cancel(RequestId id, int attempt) = 0;
  virtual void checkHealth(EndpointId id) = 0;
  /// Nothing is in flight at the endpoint, and nothing will be sent to it.
  virtual void removeEndpoint(EndpointId id) = 0;
};

}  // namespace stonebay
