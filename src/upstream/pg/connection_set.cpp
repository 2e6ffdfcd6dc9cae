#include "upstream/pg/connection_set.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace stonebay {
namespace {

// Idle connections to each endpoint that is ready, so that neither health checks nor first requests wait for
// a connect. The LoadBalancer treats an endpoint as silent if it does not answer a health check within a few
// milliseconds.
constexpr std::size_t kMinIdleConnections = 2;
// Maximum of idle connections that all proxies together keep open to one endpoint. An endpoint's connection
// table is limited, gets more expensive as it fills, and when full rejects connections that carry requests.
// With more proxies than this, each proxy connects on demand only.
constexpr std::size_t kMaxIdlePerEndpointAllProxies = 64;
// Idle connections are closed after this share of the endpoint's own idle timeout. If the endpoint closed one
// just as a request is sent on it, the attempt would end in a reset.
constexpr double kIdleTimeoutShare = 0.7;

// Data that belongs to a response follows it within this time.
constexpr Duration kSettlingTime = std::chrono::milliseconds(30);

void eraseValue(std::vector<UpstreamConnection*>& connections, const UpstreamConnection* value) {
  connections.erase(std::remove(connections.begin(), connections.end(), value), connections.end());
}

Duration maxIdleTime(const Config& config) {
  const auto idleTimeout = static_cast<double>(config.idleTimeout.count());
  return Duration(static_cast<std::int64_t>(idleTimeout * kIdleTimeoutShare));
}

std::size_t minIdle(const Config& config) {
  const auto proxies = static_cast<std::size_t>(config.settings.proxyCount);
  return std::min(kMinIdleConnections, kMaxIdlePerEndpointAllProxies / proxies);
}

}  // namespace

void EndpointConnections::removeWaiting(const UpstreamRequest& request) {
  waiting.erase(std::remove(waiting.begin(), waiting.end(), &request), waiting.end());
}

ConnectionSet::ConnectionSet(event_base* base, UpstreamConnectionHandler& handler, const Config& config)
    : base_(base),
      handler_(handler),
      connectTimeout_(config.connectTimeout),
      maxIdleTime_(maxIdleTime(config)),
      maxConnections_(config.maxServerConnections),
      minIdle_(minIdle(config)) {}

EndpointConnections& ConnectionSet::at(EndpointId id) {
  maintenanceQueue_.insert(id);
  return endpoints_[id];
}

void ConnectionSet::removeEndpoint(EndpointId id) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  const std::vector<UpstreamConnection*> toClose = it->second.all;
  for (UpstreamConnection* connection : toClose) close(*connection);
  endpoints_.erase(id);
  maintenanceQueue_.erase(id);
}

void ConnectionSet::open(EndpointId id) { open(at(id), id); }

void ConnectionSet::open(EndpointConnections& endpoint, EndpointId id) {
  auto connection =
      std::make_unique<UpstreamConnection>(base_, handler_, id, endpoint.address, connectTimeout_);
  ++endpoint.connecting;
  UpstreamConnection* const key = connection.get();
  endpoint.all.push_back(key);
  connections_.emplace(key, OwnedConnection{std::move(connection), idleOrder_.end()});
}

void ConnectionSet::close(UpstreamConnection& connection) {
  EndpointConnections& endpoint = at(connection.endpoint());
  if (connection.connecting()) --endpoint.connecting;
  removeFromIdleOrder(connection);
  eraseValue(endpoint.idle, &connection);
  eraseValue(endpoint.all, &connection);
  connections_.erase(&connection);
}

void ConnectionSet::closeIdle(EndpointId id) {
  const std::vector<UpstreamConnection*> idle = at(id).idle;
  for (UpstreamConnection* connection : idle) close(*connection);
}

void ConnectionSet::addIdle(UpstreamConnection& connection, TimePoint now) {
  at(connection.endpoint()).idle.push_back(&connection);
  OwnedConnection& owned = connections_.at(&connection);
  owned.idlePosition = idleOrder_.insert(idleOrder_.end(), &connection);
  owned.idleSince = now;
  connection.startIdleTimer(maxIdleTime_);
}

std::size_t ConnectionSet::selectIdle(const std::vector<UpstreamConnection*>& idle, TimePoint now) {
  for (std::size_t position = idle.size(); position > 0; --position) {
    UpstreamConnection& connection = *idle[position - 1];
    if (now - connections_.at(&connection).idleSince >= kSettlingTime) connection.markSettled();
    if (!connection.isUnsettled()) return position - 1;
  }
  return 0;
}

UpstreamConnection* ConnectionSet::takeIdle(EndpointId id, TimePoint now) {
  auto& idle = at(id).idle;
  while (!idle.empty()) {
    const std::size_t position = selectIdle(idle, now);
    UpstreamConnection* const connection = idle[position];
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(position));
    removeFromIdleOrder(*connection);
    if (connection->isReusable()) return connection;
    close(*connection);
  }
  return nullptr;
}

void ConnectionSet::removeFromIdleOrder(UpstreamConnection& connection) {
  IdleOrder::iterator& position = connections_.at(&connection).idlePosition;
  if (position == idleOrder_.end()) return;
  idleOrder_.erase(position);
  position = idleOrder_.end();
}

void ConnectionSet::maintainMinIdle(TimePoint now) {
  for (auto it = maintenanceQueue_.begin(); it != maintenanceQueue_.end() && mayOpenInAdvance();) {
    const auto endpoint = endpoints_.find(*it);
    const bool isStillBelowTarget = endpoint != endpoints_.end() && openMissing(endpoint->second, *it, now);
    it = isStillBelowTarget ? std::next(it) : maintenanceQueue_.erase(it);
  }
}

void ConnectionSet::maintainMinIdle(EndpointId id, TimePoint now) {
  if (!openMissing(endpoints_[id], id, now)) maintenanceQueue_.erase(id);
}

bool ConnectionSet::openMissing(EndpointConnections& endpoint, EndpointId id, TimePoint now) {
  ++endpointsVisited_;
  if (!endpoint.ready) return false;
  const std::size_t target = minIdle_ + endpoint.waiting.size();
  const auto isBelowTarget = [&] { return endpoint.idle.size() + endpoint.connecting < target; };
  if (now >= endpoint.connectAgainAt)
    while (isBelowTarget() && mayOpenInAdvance()) open(endpoint, id);
  return isBelowTarget();
}

bool ConnectionSet::makeRoom() {
  if (connections_.size() < maxConnections_) return true;
  if (idleOrder_.empty()) return false;
  close(*idleOrder_.front());
  return true;
}

}  // namespace stonebay
