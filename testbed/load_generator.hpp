// Generates the load on one proxy, or directly on one endpoint.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "testbed/audit.hpp"
#include "testbed/client_connection.hpp"
#include "testbed/run_context.hpp"
#include "testbed/timer.hpp"
#include "testbed/workload.hpp"

namespace stonebay::testbed {

struct LoadSettings {
  double rate = 60;         ///< new requests a second, not counting retries
  int retries = 0;          ///< maximum retries of a rejected request, each after the response's Retry-After
  bool closedLoop = false;  ///< use one connection that sends the next request after each response
  std::size_t valueBytes = 0;
  int groups = 2;
  double leaveShare = 0;   ///< share of requests whose client disconnects before the response
  double cancelShare = 0;  ///< share of requests that the client cancels
  double shortShare = 0;   ///< share of requests with a deadline of 5 to 80 ms instead of the class's
  /// How long after its deadline a request still accepts a response.
  Time answerGrace = std::chrono::milliseconds(70);
};

/// Generates open-loop load, in which arrivals are a Poisson process that does not wait for responses, or
/// closed-loop load over one connection (LoadSettings::closedLoop). Each request has a deadline and is
/// retried after a rejection.
class LoadGenerator : public ClientConnectionHandler {
 public:
  /// `idPrefix` is prepended to every request id and idempotency key and must be unique within the run.
  LoadGenerator(RunContext& context, RunAudit& audit, const std::vector<RequestClass>& classes,
                const LoadSettings& settings, std::string idPrefix);

  void setTarget(const sockaddr_in& target) { target_ = target; }
  void setRate(double rate) { settings_.rate = rate; }
  /// Called when the proxy is killed. Until onProxyStarted() is called, a closed connection does not count as
  /// a violation for requests that were sent at `excusedFrom` or later.
  void onProxyKilled(Time excusedFrom) { excusedFrom_ = excusedFrom; }
  void onProxyStarted() { excusedFrom_.reset(); }
  void start();
  /// Stops sending new requests. Requests in flight and their retries continue.
  void stop() { running_ = false; }

  std::size_t inFlight() const { return inFlight_; }
  /// Returns the time from the last attempt to the response of each served request, in milliseconds.
  const std::vector<double>& latencies() const { return latencies_; }

 private:
  bool onResponse(ClientConnection& connection, const ClientRequest& request,
                  const ClientResponse& response) override;
  void onDeadline(ClientConnection& connection, const ClientRequest& request) override;
  void onLeave(ClientConnection& connection, const ClientRequest& request) override;
  void onClosed(ClientConnection& connection, const std::optional<ClientRequest>& request) override;
  void onUnexpectedResponse() override { audit_.onUnexpectedResponse(); }

  void onArrival();
  void onRetryDue();
  ClientRequest newRequest();
  const RequestClass& drawClass();
  void drawLeaveTime(ClientRequest& request);
  void prepareAttempt(ClientRequest& request, Time now);
  std::string statementOf(const ClientRequest& request, Time now) const;
  void sendAttempt(ClientRequest request);
  void finish(const ClientRequest& request, const ClientResponse& response);
  void scheduleRetry(ClientRequest request, Time dueAt);
  ClientConnection& idleConnection();
  void remove(const ClientConnection& connection);

  RunContext& context_;
  RunAudit& audit_;
  const std::vector<RequestClass>& classes_;
  LoadSettings settings_;
  const std::string idPrefix_;
  sockaddr_in target_{};
  Timer arrival_;
  Timer retry_;
  Time nextArrivalAt_{};
  bool running_ = false;
  std::optional<Time> excusedFrom_;  // set from the proxy's kill until its next start
  std::size_t inFlight_ = 0;
  std::uint64_t attempts_ = 0;
  std::list<std::unique_ptr<ClientConnection>> connections_;
  std::vector<ClientConnection*> idle_;
  std::multimap<Time, ClientRequest> retries_;  // by due time
  std::vector<double> latencies_;
};

}  // namespace stonebay::testbed
