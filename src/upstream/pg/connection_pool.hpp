// Connections to data servers: the pool of each, attempts and probes on them.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "codec/pg/pg.hpp"
#include "dispatch/dispatcher.hpp"
#include "util/event.hpp"

namespace stonebay {

class ConnectionPool final : public EndpointPool {
 public:
  ConnectionPool(event_base*, Dispatcher&, const Config&);
  ~ConnectionPool() override;

  void updateEndpoint(EndpointId, const Address&, bool ready) override;
  void send(RequestId, int attempt, EndpointId, Time deadline,
            std::shared_ptr<const ForwardedRequest>) override;
  void resumeAttempt(RequestId, int attempt, bool fit) override;
  void cancel(RequestId, int attempt) override;
  void checkHealth(EndpointId) override;
  void removeEndpoint(EndpointId) override;

 private:
  struct UpstreamRequest;
  class Connection;
  struct Endpoint {
    Address address;
    bool ready = false;
    std::vector<Connection*> idle;         // the last one used comes last
    std::deque<UpstreamRequest*> waiting;  // for a connection
    int connecting = 0;
    Time connectAgainAt{};  // no connection is opened in advance before then
    std::unique_ptr<UpstreamRequest> healthCheck;
  };
  using AttemptKey = std::pair<RequestId, int>;

  void start(UpstreamRequest&);  // on an idle connection, or once a new one stands
  void openConnection(EndpointId, Endpoint&);
  bool onReady(Connection&);  // dialed or released: takes the next job or idles; false: it was dropped
  void write(UpstreamRequest&);
  void onConnectionLost(Connection&, AttemptStatus);        // its end; tells that of its job
  void onMalformedResponse(Connection&, const char* what);  // the same, by what it sent
  void onConnectFailed(Endpoint&, AttemptStatus);
  void onDeadline(UpstreamRequest&);
  void finishAttempt(UpstreamRequest&, AttemptResult);  // the end of a job, told once
  void finishHealthCheck(UpstreamRequest&, bool ok, std::string_view report = {});
  std::vector<double> parseLoadReport(std::string_view report) const;
  void close(Connection&);
  void closeIdle(Endpoint&);
  void maintainMinIdle();
  bool makeRoom();

  event_base* const base_;
  Dispatcher& dispatcher_;
  const Config& config_;
  const std::size_t maxConnections_;  // connections at once
  const std::size_t minIdle_;         // kept idle for each member that is ready
  std::unordered_map<EndpointId, Endpoint> endpoints_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  std::map<AttemptKey, std::unique_ptr<UpstreamRequest>> attempts_;
  Event maintenance_;
};

}  // namespace stonebay
