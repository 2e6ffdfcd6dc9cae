#include "upstream/pg/connection_set.hpp"

#include <algorithm>
#include <utility>

namespace stonebay {
namespace {

// Idle connections for each endpoint that is ready, so that neither health checks nor first requests wait for
// a connect: the LoadBalancer takes a health check that is not answered within some ms for silence.
constexpr std::size_t kMinIdleConnections = 2;
// What all proxies together keep idle at one endpoint. Its connection table is limited, costs it more the
// fuller it is, and once full rejects those with requests: each of many proxies connects on demand alone.
constexpr std::size_t kMaxIdleOfAllProxies = 64;
// The share that is used of the endpoint's own idle limit: a request that crosses the endpoint's close would
// end as a reset.
constexpr double kIdleTimeoutShare = 0.7;

Duration maxIdleTime(const Config& config) {
  const auto limit = static_cast<double>(config.idleTimeout.count());
  return Duration(static_cast<std::int64_t>(limit * kIdleTimeoutShare));
}

std::size_t minIdle(const Config& config) {
  const auto proxies = static_cast<std::size_t>(config.settings.proxyCount);
  return std::min(kMinIdleConnections, kMaxIdleOfAllProxies / proxies);
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

void ConnectionSet::removeEndpoint(EndpointId id) {
  std::vector<UpstreamConnection*> toClose;
  for (const auto& [connection, owned] : connections_)
    if (connection->endpoint() == id) toClose.push_back(connection);
  for (UpstreamConnection* connection : toClose) close(*connection);
  endpoints_.erase(id);
}

void ConnectionSet::open(EndpointId id) {
  EndpointConnections& endpoint = endpoints_[id];
  auto connection =
      std::make_unique<UpstreamConnection>(base_, handler_, id, endpoint.address, connectTimeout_);
  ++endpoint.connecting;
  UpstreamConnection* const key = connection.get();
  connections_.emplace(key, std::move(connection));
}

void ConnectionSet::close(UpstreamConnection& connection) {
  EndpointConnections& endpoint = endpoints_[connection.endpoint()];
  if (connection.connecting()) --endpoint.connecting;
  auto& idle = endpoint.idle;
  idle.erase(std::remove(idle.begin(), idle.end(), &connection), idle.end());
  connections_.erase(&connection);
}

void ConnectionSet::closeIdle(EndpointId id) {
  const std::vector<UpstreamConnection*> idle = endpoints_[id].idle;
  for (UpstreamConnection* connection : idle) close(*connection);
}

void ConnectionSet::addIdle(UpstreamConnection& connection) {
  endpoints_[connection.endpoint()].idle.push_back(&connection);
  connection.startIdleTimer(maxIdleTime_);
}

UpstreamConnection* ConnectionSet::takeIdle(EndpointId id) {
  auto& idle = endpoints_[id].idle;
  while (!idle.empty()) {
    UpstreamConnection* const connection = idle.back();
    idle.pop_back();
    if (connection->isClean()) return connection;
    close(*connection);
  }
  return nullptr;
}

void ConnectionSet::maintainMinIdle(TimePoint now) {
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint.ready || now < endpoint.connectAgainAt) continue;
    while (endpoint.idle.size() + endpoint.connecting < minIdle_ + endpoint.waiting.size() &&
           connections_.size() < maxConnections_ / 2)
      open(id);
  }
}

bool ConnectionSet::makeRoom() {
  if (connections_.size() < maxConnections_) return true;
  const auto hasIdle = [](const auto& entry) { return !entry.second.idle.empty(); };
  const auto it = std::find_if(endpoints_.begin(), endpoints_.end(), hasIdle);
  if (it == endpoints_.end()) return false;
  close(*it->second.idle.front());
  return true;
}

}  // namespace stonebay
