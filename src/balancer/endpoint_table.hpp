// The known endpoints, with their replica groups, roles and positions.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "balancer/context.hpp"

namespace stonebay::balancer {

/// Owns the records of endpoints and replica groups, and updates them from endpoint lists and outcomes.
class EndpointTable {
 public:
  explicit EndpointTable(const Context& context) : context_(context) {}

  /// Returns nullptr if the endpoint is unknown.
  Endpoint* find(EndpointId id);
  Endpoint& at(EndpointId id) { return endpoints_.at(id); }
  const Endpoint& at(EndpointId id) const { return endpoints_.at(id); }
  std::map<EndpointId, Endpoint>& endpoints() { return endpoints_; }
  std::map<GroupId, ReplicaGroup>& groups() { return groups_; }
  /// Returns nullptr if the group is unknown.
  ReplicaGroup* findGroup(GroupId id);
  /// Returns the group; creates it if it is unknown, since clients may name groups without endpoints. This
  /// may remove unused groups other than the one that is returned.
  ReplicaGroup& group(GroupId id);
  /// Applies a list of endpoints. Returns the groups that it may have changed.
  std::set<GroupId> applyList(EndpointListKind kind, const std::vector<EndpointUpdate>& updates);
  /// Adds `shift` to all positions and start times received so far; see LoadBalancer::shiftUnixTimes().
  void shiftUnixTimes(Duration shift);
  /// Removes the endpoints that left the list at least kDepartedRetention ago and returns their ids. Keeps
  /// those with an attempt or a health check in flight, whose outcome needs the record.
  std::vector<EndpointId> removeDeparted();

  /// Returns whether the endpoint may receive requests: it is not draining, and not removed unless
  /// Settings::removedEndpointsAcceptRequests is set.
  bool isRoutable(const Endpoint& endpoint) const;
  /// Returns the group's primary, or nullptr if it is unknown or may not receive requests.
  Endpoint* routablePrimary(const ReplicaGroup& group);
  /// Returns whether primary discovery has tried all endpoints of the current list without success.
  bool isDiscoveryExhausted(const ReplicaGroup& group) const {
    return group.discoveryExhaustedVersion == listVersion_;
  }
  void setDiscoveryExhausted(ReplicaGroup& group) const { group.discoveryExhaustedVersion = listVersion_; }
  /// Returns the largest number of routable endpoints that any group has ever had.
  int largestGroupSize() const { return largestGroupSize_; }
  void updateLargestGroupSize(const ReplicaGroup& group);
  /// Returns whether the last load report of the endpoint is younger than kMaxLoadReportAge.
  bool hasFreshLoadReport(const Endpoint& endpoint) const;

  /// Records the role that an endpoint had at `observedAt`, unless a newer role is known. The source of the
  /// information does not matter. A load report is as old as the position in it.
  void observeRole(Endpoint& endpoint, Role role, TimePoint observedAt);
  /// Records that the endpoint has applied all commits up to `position`.
  void observePosition(Endpoint& endpoint, TimePoint position);
  /// Records the role, the position and the time of the answer from the outcome of an attempt.
  void observeOutcome(Endpoint& endpoint, const AttemptOutcome& outcome, bool isWrite);
  /// Records a fault of the endpoint's group; see kFaultWindow.
  void recordFault(const Endpoint& endpoint) { endpoint.replicaGroup->lastFaultAt = context_.now; }

 private:
  /// Marks the endpoints that a complete list does not contain as removed.
  void markUnlistedRemoved(const std::vector<EndpointUpdate>& updates, std::set<GroupId>& changed);
  void applyUpdate(const EndpointUpdate& update, std::set<GroupId>& changed);
  void setDeparted(Endpoint& endpoint);
  void removeFromGroup(const Endpoint& endpoint);
  void moveToGroup(Endpoint& endpoint, const EndpointUpdate& update);
  void observeListedRole(Endpoint& endpoint);
  bool isExpired(const Endpoint& endpoint) const;
  void removeUnusedGroups();

  const Context& context_;
  std::map<EndpointId, Endpoint> endpoints_;
  std::map<GroupId, ReplicaGroup> groups_;
  std::set<EndpointId> departed_;                      // endpoints with departedAt
  std::set<GroupId> emptyGroups_;                      // groups without endpoints
  std::size_t emptyGroupLimit_ = kMinEmptyGroupLimit;  // at which the unused ones are removed
  std::uint64_t listVersion_ = 1;                      // number of lists applied, plus 1
  int largestGroupSize_ = 1;
};

}  // namespace stonebay::balancer
