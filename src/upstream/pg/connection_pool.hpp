// Requests to endpoints: each attempt and health check gets a connection, a deadline and one reported end.
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

/// Carries out attempts and health checks, each on a connection of its own for as long as it lasts.
///
/// An idle connection is used again; otherwise the request waits for a new one. Some idle connections are
/// opened in advance for each endpoint that is ready.
class ConnectionPool final : public EndpointPool, private UpstreamConnectionHandler {
 public:
  ConnectionPool(event_base*, Dispatcher&, const Config&);
  ~ConnectionPool() override;
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  void updateEndpoint(EndpointId, const Address&, bool ready) override;
  void send(RequestId, int attempt, EndpointId, Time deadline,
            std::shared_ptr<const ForwardedRequest>) override;
  void resumeAttempt(RequestId, int attempt, bool eligible) override;
  void cancel(RequestId, int attempt) override;
  void checkHealth(EndpointId) override;
  void removeEndpoint(EndpointId) override;

 private:
  using AttemptKey = std::pair<RequestId, int>;

  void onConnected(UpstreamConnection&) override;
  bool onReady(UpstreamConnection&) override;
  void onResponse(UpstreamRequest&, const ServerResponse&, Buffer messages) override;
  void onConnectionLost(UpstreamConnection&, AttemptStatus) override;
  void onMalformedResponse(UpstreamConnection&, ProtocolError) override;
  void onNotReusable(UpstreamConnection&) override;
  void onConnectFailed(EndpointConnections&, AttemptStatus);
  void onDeadline(UpstreamRequest&);

  void start(UpstreamRequest&);
  void startDeadlineTimer(UpstreamRequest&);
  void write(UpstreamRequest&);
  void finishAttempt(UpstreamRequest&, AttemptResult);
  void finishHealthCheck(UpstreamRequest&, bool ok, std::string_view report = {});
  void failRequest(UpstreamRequest&, AttemptStatus);
  std::vector<double> parseReport(std::string_view report) const;

  void maintainMinIdle();

  event_base* const base_;
  Dispatcher& dispatcher_;
  const Config& config_;
  ConnectionSet connections_;
  std::map<AttemptKey, std::unique_ptr<UpstreamRequest>> attempts_;
  std::unordered_map<EndpointId, std::unique_ptr<UpstreamRequest>> healthChecks_;  // one an endpoint at most
  Event maintenanceTimer_;
};

}  // namespace stonebay
