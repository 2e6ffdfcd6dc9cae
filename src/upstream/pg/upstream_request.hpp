// One attempt or one health check on its way through the connection pool.
#pragma once

#include <memory>

#include "dispatch/dispatcher.hpp"
#include "util/event.hpp"

namespace stonebay {

class ConnectionPool;
class UpstreamConnection;

/// Owned by the ConnectionPool; a connection only points at the request that it carries.
struct UpstreamRequest {
  RequestId id = 0;  ///< 0: a health check
  int attempt = 0;
  EndpointId endpoint = 0;
  TimePoint deadline{};
  std::shared_ptr<const ForwardedRequest> message;  ///< null for a health check
  UpstreamConnection* connection = nullptr;         ///< null: it waits for one
  bool written = false;                             ///< some byte of it may have gone out
  int lostConnections = 0;                          ///< that ended while they carried this health check
  ConnectionPool* pool = nullptr;
  Event deadlineTimer;

  bool isHealthCheck() const { return id == 0; }
};

}  // namespace stonebay
