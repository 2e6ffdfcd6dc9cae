// The interface through which the dispatcher answers a client session.
#pragma once

#include "stonebay/load_balancer.hpp"
#include "util/event.hpp"

namespace stonebay {

/// Receives the final response of a request.
///
/// Exactly one of onResponse(), onRejected() and onFailed() is called for each request, unless
/// Dispatcher::onClientLeft has been called for it before.
class ResponseHandler {
 public:
  virtual ~ResponseHandler() = default;
  virtual void onResponse(Buffer response) = 0;
  /// The request was rejected and may safely be sent again. A `retryAfter` of 0 means that the response does
  /// not say when.
  virtual void onRejected(Duration retryAfter) = 0;
  /// The request failed and may have been executed.
  virtual void onFailed() = 0;
  /// Returns whether the client has closed its connection, even if this process has not yet read the end of
  /// the input.
  virtual bool clientHasLeft() const = 0;
};

}  // namespace stonebay
