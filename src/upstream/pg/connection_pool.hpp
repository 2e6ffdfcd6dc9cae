// The pool of upstream connections. Runs each attempt and health check on a connection, with a deadline, and
// reports its result exactly once.
#pragma once

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/dispatcher.hpp"
#include "upstream/pg/connection_set.hpp"
#include "upstream/pg/upstream_connection.hpp"
#include "upstream/pg/upstream_request.hpp"
#include "util/event.hpp"

namespace stonebay {

/// Carries out attempts and health checks. A connection carries one of them at a time.
///
/// Idle connections are reused. If there is none, the request waits until a connection is ready. For each
/// endpoint that is ready, some idle connections are opened in advance.
class ConnectionPool final : public EndpointPool, private UpstreamConnectionHandler {
 public:
  ConnectionPool(event_base* base, Dispatcher& dispatcher, const Config& config);
  ~ConnectionPool() override;
  ConnectionPool(const ConnectionPool& other) = delete;
  ConnectionPool& operator=(const ConnectionPool& other) = delete;

  void updateEndpoint(EndpointId id, const Address& address, bool ready) override;
  void send(RequestId id, int attempt, EndpointId endpoint, const AttemptLimits& limits,
            std::shared_ptr<const ForwardedRequest> message) override;
  void resumeAttempt(RequestId id, int attempt, bool eligible) override;
  void cancel(RequestId id, int attempt) override;
  void withdraw(RequestId id, int attempt) override;
  void checkHealth(EndpointId endpoint) override;
  void removeEndpoint(EndpointId id) override;
  std::size_t connectionCount() const { return connections_.count(); }

 private:
  using AttemptKey = std::pair<RequestId, int>;

  void onConnected(UpstreamConnection& connection) override;
  bool onReady(UpstreamConnection& connection) override;
  void onResponse(UpstreamRequest& request, const ServerResponse& response, Buffer messages) override;
  void onConnectionLost(UpstreamConnection& connection, AttemptStatus status) override;
  void onMalformedResponse(UpstreamConnection& connection, ProtocolError error) override;
  bool onSynchronized(UpstreamConnection& connection) override;
  void onNotReusable(UpstreamConnection& connection) override;
  void onConnectFailed(EndpointConnections& endpoint, AttemptStatus status);
  void onDeadline(UpstreamRequest& request);
  void onLimit(UpstreamRequest& request);
  void dropUndelivered(UpstreamRequest& request, AttemptStatus statusIfUnsent);

  void start(UpstreamRequest& request);
  void startLimitTimer(UpstreamRequest& request);
  void resume(UpstreamRequest& request);
  void write(UpstreamRequest& request);
  void writeIfAllowed(UpstreamRequest& request);
  void cancelUnwritten(UpstreamRequest& request);
  void finishAttempt(UpstreamRequest& request, AttemptResult result);
  void finishHealthCheck(UpstreamRequest& request, bool ok, std::string_view report = {});
  bool restartIfSynchronizing(UpstreamConnection& connection);
  void failRequest(UpstreamRequest& request, AttemptStatus status);
  std::vector<double> parseReport(std::string_view report) const;

  void maintainMinIdle();

  event_base* const base_;
  Dispatcher& dispatcher_;
  const Config& config_;
  ConnectionSet connections_;
  std::map<AttemptKey, std::unique_ptr<UpstreamRequest>> attempts_;
  std::unordered_map<EndpointId, std::unique_ptr<UpstreamRequest>> healthChecks_;  // at most one per endpoint
  Event maintenanceTimer_;
};

}  // namespace stonebay
