#include "upstream/pg/connection_pool.hpp"

#include <algorithm>
#include <utility>

#include "log/log.hpp"
#include "upstream/pg/load_report.hpp"

namespace stonebay {
namespace {

constexpr Duration kMaintenanceInterval = std::chrono::milliseconds(250);
constexpr Duration kReconnectDelay = std::chrono::seconds(1);
// A health check fails after losing this many connections.
constexpr int kMaxHealthCheckConnections = 4;
// A statement tells its endpoint the time that is left to the client. An endpoint that has not read it to its
// end after this time must not get the rest, because that time would be too long by then.
constexpr Duration kMaxWriteTime = std::chrono::milliseconds(150);
// How long the system of an endpoint may delay the acknowledgement of bytes that have arrived.
constexpr Duration kMaxAcknowledgementDelay = std::chrono::milliseconds(45);

AttemptResult resultOf(AttemptStatus status) {
  AttemptResult result;
  result.status = status;
  return result;
}

}  // namespace

ConnectionPool::ConnectionPool(event_base* base, Dispatcher& dispatcher, const Config& config)
    : base_(base),
      dispatcher_(dispatcher),
      config_(config),
      connections_(base, *this, config),
      maintenanceTimer_(event_new(
          base, -1, EV_PERSIST,
          [](evutil_socket_t, short, void* self) { static_cast<ConnectionPool*>(self)->maintainMinIdle(); },
          this)) {
  startTimer(maintenanceTimer_.get(), kMaintenanceInterval);
}
ConnectionPool::~ConnectionPool() = default;

// ---- endpoints -------------------------------------------------------------------------------------------
void ConnectionPool::updateEndpoint(EndpointId id, const Address& address, bool ready) {
  EndpointConnections& endpoint = connections_.at(id);
  const bool addressChanged = !address.isUnset() && address != endpoint.address;
  if (addressChanged) endpoint.address = address;
  endpoint.ready = ready;
  if (addressChanged || !ready) connections_.closeIdle(id);
  connections_.maintainMinIdle(id, dispatcher_.now());
}

void ConnectionPool::removeEndpoint(EndpointId id) {
  connections_.removeEndpoint(id);
  healthChecks_.erase(id);
}

void ConnectionPool::maintainMinIdle() { connections_.maintainMinIdle(dispatcher_.now()); }

// ---- requests --------------------------------------------------------------------------------------------
void ConnectionPool::send(RequestId id, int attempt, EndpointId endpoint, const AttemptLimits& limits,
                          std::shared_ptr<const ForwardedRequest> message) {
  auto owned = std::make_unique<UpstreamRequest>();
  UpstreamRequest& request = *owned;
  request.id = id;
  request.attempt = attempt;
  request.endpoint = endpoint;
  request.limits = limits;
  request.message = std::move(message);
  attempts_.emplace(AttemptKey(id, attempt), std::move(owned));
  start(request);
}

void ConnectionPool::checkHealth(EndpointId endpoint) {
  auto owned = std::make_unique<UpstreamRequest>();
  UpstreamRequest& request = *owned;
  request.endpoint = endpoint;
  request.limits.response = dispatcher_.now() + config_.connectTimeout;
  request.limits.arrival = request.limits.response;
  healthChecks_[endpoint] = std::move(owned);
  start(request);
}

// Assigns an idle connection to the request and writes it, or lets it wait until a connection is ready.
void ConnectionPool::start(UpstreamRequest& request) {
  startLimitTimer(request);
  EndpointConnections& endpoint = connections_.at(request.endpoint);
  if (UpstreamConnection* const connection = connections_.takeIdle(request.endpoint, dispatcher_.now())) {
    connection->assign(request);
    if (connection->isUnsettled())
      connection->synchronize();
    else
      writeIfAllowed(request);
    return;
  }
  // Not expected: the limits on clients leave a server connection for every client request in flight.
  if (!connections_.makeRoom()) {
    logEvent(LogLevel::Warning, "server_connections_full", {{"max", config_.maxServerConnections}});
    failRequest(request, AttemptStatus::NotSent);
    return;
  }
  endpoint.waiting.push_back(&request);
  if (endpoint.connecting < endpoint.waiting.size()) connections_.open(request.endpoint);
}

// Starts the timer for the earliest limit that is still ahead.
void ConnectionPool::startLimitTimer(UpstreamRequest& request) {
  if (!request.limitTimer) {
    request.pool = this;
    request.limitTimer.reset(event_new(
        base_, -1, 0,
        [](evutil_socket_t, short, void* context) {
          auto& expired = *static_cast<UpstreamRequest*>(context);
          expired.pool->onLimit(expired);
        },
        &request));
  }
  const TimePoint now = dispatcher_.now();
  const TimePoint arrival = request.limits.arrival;
  TimePoint next = request.limits.response;
  for (const TimePoint limit :
       {arrival, arrival + kMaxAcknowledgementDelay, request.writtenAt + kMaxWriteTime})
    if (now < limit) next = std::min(next, limit);
  startTimer(request.limitTimer.get(), next - now);
}

void ConnectionPool::onLimit(UpstreamRequest& request) {
  const TimePoint now = dispatcher_.now();
  if (now >= request.limits.response) return onDeadline(request);
  if (!request.written) {
    if (now >= request.limits.arrival) return cancelUnwritten(request);
  } else if (request.connection->unsentBytes() > 0) {
    if (now >= request.limits.arrival) return dropUndelivered(request, AttemptStatus::NotSent);
    if (now >= request.writtenAt + kMaxWriteTime)
      return dropUndelivered(request, AttemptStatus::ConnectFailed);
  } else if (now >= request.limits.arrival + kMaxAcknowledgementDelay && !request.connection->isDelivered()) {
    return dropUndelivered(request, AttemptStatus::NotSent);
  }
  startLimitTimer(request);
}

// Ends an attempt that the endpoint has not received completely, so that it will not receive the rest either.
// `statusIfUnsent` is its status if some of its bytes have certainly not arrived.
void ConnectionPool::dropUndelivered(UpstreamRequest& request, AttemptStatus statusIfUnsent) {
  UpstreamConnection& connection = *request.connection;
  const bool mayHaveRun = connection.unsentBytes() == 0;
  connection.detach();
  connections_.close(connection);
  finishAttempt(request, resultOf(mayHaveRun ? AttemptStatus::Reset : statusIfUnsent));
}

void ConnectionPool::write(UpstreamRequest& request) {
  request.connection->writeRequest(dispatcher_.now());
  startLimitTimer(request);
}

// Checks again whether the attempt may be written, because time may have passed since it was decided.
void ConnectionPool::writeIfAllowed(UpstreamRequest& request) {
  if (request.isHealthCheck() || dispatcher_.mayBeWritten(request.id))
    write(request);
  else
    cancelUnwritten(request);
}

void ConnectionPool::resumeAttempt(RequestId id, int attempt, bool eligible) {
  const auto it = attempts_.find({id, attempt});
  if (it == attempts_.end()) return;
  UpstreamRequest& request = *it->second;
  if (!request.connection || request.written) return;
  if (eligible)
    writeIfAllowed(request);
  else
    cancelUnwritten(request);
}

void ConnectionPool::cancel(RequestId id, int attempt) {
  const auto it = attempts_.find({id, attempt});
  if (it == attempts_.end()) return;  // its result has already been reported
  UpstreamRequest& request = *it->second;
  if (!request.written) return cancelUnwritten(request);
  UpstreamConnection& connection = *request.connection;
  connection.detach();
  connections_.close(connection);
  finishAttempt(request, resultOf(AttemptStatus::Cancelled));
}

void ConnectionPool::withdraw(RequestId id, int attempt) {
  const auto it = attempts_.find({id, attempt});
  if (it == attempts_.end()) return;
  UpstreamRequest& request = *it->second;
  if (!request.written)
    cancelUnwritten(request);
  else if (request.connection->unsentBytes() > 0)
    dropUndelivered(request, AttemptStatus::NotSent);
}

// Ends an attempt of which nothing has been written. The connection that it may have can be used by another.
void ConnectionPool::cancelUnwritten(UpstreamRequest& request) {
  UpstreamConnection* const connection = request.connection;
  if (connection) connection->detach();
  finishAttempt(request, resultOf(AttemptStatus::NotSent));
  if (connection) onReady(*connection);
}

void ConnectionPool::onDeadline(UpstreamRequest& request) {
  bool mayHaveRun = false;
  if (UpstreamConnection* const connection = request.connection) {
    mayHaveRun = request.written && connection->unsentBytes() == 0;
    connection->detach();
    connections_.close(*connection);
  }
  if (request.isHealthCheck()) {
    // A reachable endpoint answers a health check immediately, so its machine is probably unreachable, and
    // the other idle connections are dead as well. An attempt on one of them would get no response until its
    // deadline, and might have run. An attempt that has to connect first fails early, without having run.
    connections_.closeIdle(request.endpoint);
    connections_.at(request.endpoint).connectAgainAt = dispatcher_.now() + kReconnectDelay;
  }
  failRequest(request, mayHaveRun ? AttemptStatus::Timeout : AttemptStatus::NotSent);
}

void ConnectionPool::failRequest(UpstreamRequest& request, AttemptStatus status) {
  if (request.isHealthCheck())
    finishHealthCheck(request, false);
  else
    finishAttempt(request, resultOf(status));
}

void ConnectionPool::finishAttempt(UpstreamRequest& request, AttemptResult result) {
  connections_.at(request.endpoint).removeWaiting(request);
  dispatcher_.onAttemptEnded(request.id, request.attempt, request.endpoint, std::move(result));
  attempts_.erase({request.id, request.attempt});
}

// `report` may be empty for a successful health check: an endpoint without a load report yet sends an empty
// row.
void ConnectionPool::finishHealthCheck(UpstreamRequest& request, bool ok, std::string_view report) {
  const EndpointId endpoint = request.endpoint;
  connections_.at(endpoint).removeWaiting(request);
  dispatcher_.onHealthCheck(endpoint, ok, ok ? parseReport(report) : std::vector<double>());
  healthChecks_.erase(endpoint);
}

std::vector<double> ConnectionPool::parseReport(std::string_view report) const {
  // This machine's clock may be behind by up to kMaxError, so positions up to that far ahead of it are
  // accepted here. The dispatcher corrects or drops them.
  const TimePoint latest = dispatcher_.now() + WallClockCorrection::kMaxError;
  return parseLoadReport(report, config_.reportNames, config_.settings.reportFields, latest);
}

// ---- connections -----------------------------------------------------------------------------------------
void ConnectionPool::onConnected(UpstreamConnection& connection) {
  --connections_.at(connection.endpoint()).connecting;
}

bool ConnectionPool::onReady(UpstreamConnection& connection) {
  if (connection.isSynchronizing()) return true;  // its request has ended; onSynchronized follows
  const EndpointId id = connection.endpoint();
  EndpointConnections& endpoint = connections_.at(id);
  if (connection.address() != endpoint.address) {  // the endpoint's address has changed meanwhile
    connections_.close(connection);
    if (endpoint.waiting.size() > endpoint.connecting) connections_.open(id);
    return false;
  }
  if (!endpoint.waiting.empty()) {
    UpstreamRequest& request = *endpoint.waiting.front();
    endpoint.waiting.pop_front();
    connection.assign(request);
    if (connection.isUnsettled())
      connection.synchronize();
    else
      resume(request);
    return true;
  }
  if (!endpoint.ready) {
    connections_.close(connection);
    return false;
  }
  connections_.addIdle(connection, dispatcher_.now());
  return true;
}

// While the attempt waited, the endpoint may have started to drain, or its data may have become too old. The
// dispatcher checks that again, since the rules apply at the time of the write, and answers with
// resumeAttempt.
void ConnectionPool::resume(UpstreamRequest& request) {
  if (request.isHealthCheck())
    write(request);
  else
    dispatcher_.onConnected(request.id, request.attempt);
}

bool ConnectionPool::onSynchronized(UpstreamConnection& connection) {
  if (!connection.request()) return onReady(connection);
  resume(*connection.request());
  return true;
}

// Closes a connection that was lost while it was synchronized, and looks for another one for its request, of
// which nothing has been written. Returns false if it was not being synchronized.
bool ConnectionPool::restartIfSynchronizing(UpstreamConnection& connection) {
  if (!connection.isSynchronizing()) return false;
  UpstreamRequest* const request = connection.detach();
  connections_.close(connection);
  if (request) start(*request);
  return true;
}

void ConnectionPool::onResponse(UpstreamRequest& request, const ServerResponse& response, Buffer messages) {
  if (request.isHealthCheck()) {
    finishHealthCheck(request, response.healthCheckReport.has_value(),
                      response.healthCheckReport.value_or(""));
    return;
  }
  AttemptResult result = resultOf(response.status);
  result.invalidStatement = response.invalidStatement;
  result.role = response.role;
  result.positionMs = response.positionMs;
  if (!response.loadReport.empty()) result.report = parseReport(response.loadReport);
  if (result.status == AttemptStatus::Ok) result.response = std::move(messages);
  finishAttempt(request, std::move(result));
}

void ConnectionPool::onNotReusable(UpstreamConnection& connection) { connections_.close(connection); }

void ConnectionPool::onConnectionLost(UpstreamConnection& connection, AttemptStatus status) {
  if (restartIfSynchronizing(connection)) return;
  EndpointConnections& endpoint = connections_.at(connection.endpoint());
  const bool connecting = connection.connecting();
  const bool flushed = connection.flushed();
  AttemptResult result;
  result.invalidStatement = connection.invalidStatement();
  UpstreamRequest* const request = connection.detach();
  connections_.close(connection);
  if (!request) {
    if (connecting) onConnectFailed(endpoint, status);
    return;
  }
  if (request->isHealthCheck()) {
    // A lost idle connection does not mean that the endpoint has failed: the health check is sent again on
    // another connection.
    if (++request->lostConnections < kMaxHealthCheckConnections) {
      request->written = false;
      start(*request);
    } else {
      finishHealthCheck(*request, false);
    }
    return;
  }
  // A request can have run only if all of its bytes have been sent.
  const bool mayHaveRun = request->written && flushed;
  result.status = status == AttemptStatus::Reset && !mayHaveRun ? AttemptStatus::ConnectFailed : status;
  finishAttempt(*request, std::move(result));
}

// An attempt that was written may have run. A health check succeeds: even a malformed response shows that the
// endpoint is alive.
void ConnectionPool::onMalformedResponse(UpstreamConnection& connection, ProtocolError error) {
  logEvent(LogLevel::Warning, "server_response_malformed", {{"reason", describe(error)}});
  if (restartIfSynchronizing(connection)) return;
  EndpointConnections& endpoint = connections_.at(connection.endpoint());
  const bool connecting = connection.connecting();
  const bool flushed = connection.flushed();
  UpstreamRequest* const request = connection.detach();
  connections_.close(connection);
  if (!request) {
    if (connecting) onConnectFailed(endpoint, AttemptStatus::ConnectFailed);
    return;
  }
  if (request->isHealthCheck()) {
    finishHealthCheck(*request, true);
    return;
  }
  const bool mayHaveRun = request->written && flushed;
  finishAttempt(*request, resultOf(mayHaveRun ? AttemptStatus::Error : AttemptStatus::NotSent));
}

// Fails the oldest waiting request, unless enough connections for all waiting requests are still being
// opened.
void ConnectionPool::onConnectFailed(EndpointConnections& endpoint, AttemptStatus status) {
  endpoint.connectAgainAt = dispatcher_.now() + kReconnectDelay;
  if (endpoint.waiting.size() <= endpoint.connecting) return;
  failRequest(*endpoint.waiting.front(), status);
}

}  // namespace stonebay
