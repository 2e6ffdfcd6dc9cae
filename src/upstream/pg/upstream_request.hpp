// An attempt or a health check that the connection pool carries out.
#pragma once

#include <memory>

#include "dispatch/dispatcher.hpp"
#include "util/event.hpp"

namespace stonebay {

class ConnectionPool;
class UpstreamConnection;

/// Owned by the ConnectionPool. A connection has a non-owning pointer to its assigned request.
struct UpstreamRequest {
  RequestId id = 0;  ///< 0 for a health check
  int attempt = 0;
  EndpointId endpoint = 0;
  AttemptLimits limits;
  std::shared_ptr<const ForwardedRequest> message;  ///< null for a health check
  UpstreamConnection* connection = nullptr;         ///< null while it waits for a connection
  bool written = false;                             ///< whether some of its bytes may have been sent
  TimePoint writtenAt{};
  int lostConnections = 0;  ///< number of connections lost during this health check
  ConnectionPool* pool = nullptr;
  Event limitTimer;  ///< for the next limit in time: of the write, the arrival or the response

  bool isHealthCheck() const { return id == 0; }
};

}  // namespace stonebay
