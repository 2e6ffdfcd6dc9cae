// The connections to all endpoints, with a limit on their total number, and which of them are connecting or
// idle.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/config.hpp"
#include "upstream/pg/upstream_connection.hpp"
#include "upstream/pg/upstream_request.hpp"

namespace stonebay {

/// The connections to one endpoint and the requests that wait for one.
struct EndpointConnections {
  Address address;
  bool ready = false;                     ///< whether it may get new requests
  std::vector<UpstreamConnection*> all;   ///< open and connecting, unordered
  std::vector<UpstreamConnection*> idle;  ///< least recently used first
  std::deque<UpstreamRequest*> waiting;   ///< requests that wait for a connection, oldest first
  std::size_t connecting = 0;             ///< number of connections whose startup is not complete
  TimePoint connectAgainAt{};             ///< no connection is opened in advance before this time

  /// Removes a request from `waiting` if it is there.
  void removeWaiting(const UpstreamRequest& request);
};

/// Owns the connections, and one EndpointConnections record per endpoint.
class ConnectionSet {
 public:
  ConnectionSet(event_base* base, UpstreamConnectionHandler& handler, const Config& config);

  /// Returns the record of an endpoint, and creates it if there is none. The reference is valid until
  /// removeEndpoint. The caller may change the record, so the next maintainMinIdle visits the endpoint.
  EndpointConnections& at(EndpointId id);
  /// Number of connections to all endpoints.
  std::size_t count() const { return connections_.size(); }
  /// Closes the endpoint's connections and removes its record.
  void removeEndpoint(EndpointId id);

  void open(EndpointId id);
  void close(UpstreamConnection& connection);
  void closeIdle(EndpointId id);
  /// Marks a connection as idle. It is reused by the next request, or reported as lost by its idle timer.
  void addIdle(UpstreamConnection& connection, TimePoint now);
  /// Returns an idle connection that is still reusable, and removes it from the idle ones: the most recently
  /// used one that is settled, or else the one that has been idle longest, which the caller has to
  /// synchronize. Returns null if there is none.
  UpstreamConnection* takeIdle(EndpointId id, TimePoint now);
  /// Opens connections in advance, so that each endpoint that is ready has the minimum of idle ones. Visits
  /// only endpoints whose record may have changed since the last call or that still have too few connections.
  void maintainMinIdle(TimePoint now);
  /// Does the same for one endpoint.
  void maintainMinIdle(EndpointId id, TimePoint now);
  /// If the limit on connections is reached, closes the connection that has been idle longest. Returns false
  /// if the limit is reached and no connection is idle.
  bool makeRoom();
  /// Number of endpoints that maintainMinIdle has visited so far, for tests.
  std::uint64_t endpointsVisited() const { return endpointsVisited_; }

 private:
  using IdleOrder = std::list<UpstreamConnection*>;
  struct OwnedConnection {
    std::unique_ptr<UpstreamConnection> connection;
    IdleOrder::iterator idlePosition;  // idleOrder_.end() if it is not idle
    TimePoint idleSince{};
  };

  void open(EndpointConnections& endpoint, EndpointId id);
  void removeFromIdleOrder(UpstreamConnection& connection);
  /// Marks the connections that have been idle long enough as settled, and returns the position of the one to
  /// take from a list that is not empty.
  std::size_t selectIdle(const std::vector<UpstreamConnection*>& idle, TimePoint now);
  /// Opens the connections that a ready endpoint lacks. Returns whether it still lacks some, because it is
  /// before connectAgainAt or the limit on connections opened in advance is reached.
  bool openMissing(EndpointConnections& endpoint, EndpointId id, TimePoint now);
  /// Half of the limit is left for connections that are opened on demand.
  bool mayOpenInAdvance() const { return connections_.size() < maxConnections_ / 2; }

  event_base* const base_;
  UpstreamConnectionHandler& handler_;
  const Duration connectTimeout_;
  const Duration maxIdleTime_;
  const std::size_t maxConnections_;
  const std::size_t minIdle_;  // for each endpoint that is ready
  std::unordered_map<EndpointId, EndpointConnections> endpoints_;
  std::unordered_map<UpstreamConnection*, OwnedConnection> connections_;
  IdleOrder idleOrder_;                              // idle connections of all endpoints, longest idle first
  std::unordered_set<EndpointId> maintenanceQueue_;  // endpoints that may have too few connections
  std::uint64_t endpointsVisited_ = 0;
};

}  // namespace stonebay
