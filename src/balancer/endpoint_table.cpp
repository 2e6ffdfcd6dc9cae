#include "balancer/endpoint_table.hpp"

#include <algorithm>
#include <iterator>
#include <unordered_set>

namespace stonebay::balancer {

Endpoint* EndpointTable::find(EndpointId id) {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

bool EndpointTable::isRoutable(const Endpoint& endpoint) const {
  if (endpoint.info.state == Lifecycle::Ready) return true;
  const bool removed = endpoint.info.state == Lifecycle::Removed && !endpoint.drainingObserved;
  return removed && context_.settings.removedEndpointsAcceptRequests;
}

Endpoint* EndpointTable::routablePrimary(const ReplicaGroup& group) {
  Endpoint* const primary = find(group.primary);
  return primary && isRoutable(*primary) ? primary : nullptr;
}

void EndpointTable::updateLargestGroupSize(const ReplicaGroup& group) {
  const auto routable = std::count_if(group.endpoints.begin(), group.endpoints.end(),
                                      [&](EndpointId id) { return isRoutable(at(id)); });
  largestGroupSize_ = std::max(largestGroupSize_, static_cast<int>(routable));
}

bool EndpointTable::hasFreshLoadReport(const Endpoint& endpoint) const {
  const TimePoint reportedAt = endpoint.load.reportedAt;
  return reportedAt != kNever && context_.now - reportedAt < kMaxLoadReportAge;
}

void EndpointTable::observeRole(Endpoint& endpoint, Role role, TimePoint observedAt) {
  if (observedAt < endpoint.roleObservedAt) return;
  ReplicaGroup& group = *endpoint.replicaGroup;
  const bool wasPrimary = group.primary == endpoint.info.id;
  if (role == Role::Primary && !wasPrimary) {
    const Endpoint* const former = find(group.primary);
    if (former && former->roleObservedAt > observedAt) return;
  }
  if (role == Role::Primary || wasPrimary) {
    group.primary = role == Role::Primary ? endpoint.info.id : 0;
    group.discoveryExhaustedVersion = 0;
  }
  endpoint.roleObservedAt = observedAt;
}

void EndpointTable::observePosition(Endpoint& endpoint, TimePoint position) {
  endpoint.position = std::max(endpoint.position, position);
  endpoint.positionLags.push({context_.now, context_.now - endpoint.position});
}

void EndpointTable::observeOutcome(Endpoint& endpoint, const AttemptOutcome& outcome, bool isWrite) {
  // Positions are in whole milliseconds, and the position of a commit is rounded up.
  constexpr Duration kRounding = milliseconds(1);
  const AttemptStatus status = outcome.status;
  const bool isAnswer =
      status == AttemptStatus::Ok || status == AttemptStatus::TooStale || status == AttemptStatus::Rejected;
  const bool knowsRole = outcome.role != Role::Unknown && (isAnswer || status == AttemptStatus::Error);
  if (knowsRole) observeRole(endpoint, outcome.role, context_.now);
  if (outcome.position && *outcome.position <= context_.now + kRounding) {
    const TimePoint proven = isWrite ? *outcome.position - kRounding : *outcome.position;
    observePosition(endpoint, std::min(context_.now, proven));
  }
  if (!isAnswer) return;
  endpoint.lastAnswerAt = context_.now;
  endpoint.lastUsedAt = context_.now;
  endpoint.lastResponseAt = context_.now;
}

ReplicaGroup* EndpointTable::findGroup(GroupId id) {
  const auto entry = groups_.find(id);
  return entry == groups_.end() ? nullptr : &entry->second;
}

ReplicaGroup& EndpointTable::group(GroupId id) {
  const auto known = groups_.find(id);
  if (known != groups_.end()) return known->second;
  if (emptyGroups_.size() >= emptyGroupLimit_) {
    removeUnusedGroups();
    emptyGroupLimit_ = std::max(kMinEmptyGroupLimit, 2 * emptyGroups_.size());
  }
  emptyGroups_.insert(id);
  return groups_[id];
}

std::set<GroupId> EndpointTable::applyList(EndpointListKind kind,
                                           const std::vector<EndpointUpdate>& updates) {
  ++listVersion_;
  std::set<GroupId> changed;
  if (kind != EndpointListKind::Delta) markUnlistedRemoved(updates, changed);
  for (const EndpointUpdate& update : updates) applyUpdate(update, changed);
  return changed;
}

void EndpointTable::markUnlistedRemoved(const std::vector<EndpointUpdate>& updates,
                                        std::set<GroupId>& changed) {
  std::unordered_set<EndpointId> listed;
  for (const EndpointUpdate& update : updates) listed.insert(update.id);
  for (auto& [id, endpoint] : endpoints_) {
    if (listed.count(id) == 0) endpoint.info.state = Lifecycle::Removed;
    if (endpoint.info.state != Lifecycle::Removed) continue;
    setDeparted(endpoint);
    changed.insert(endpoint.info.group);
  }
}

void EndpointTable::setDeparted(Endpoint& endpoint) {
  if (endpoint.departedAt != kNever) return;
  endpoint.departedAt = context_.now;
  departed_.insert(endpoint.info.id);
}

void EndpointTable::applyUpdate(const EndpointUpdate& update, std::set<GroupId>& changed) {
  Endpoint& endpoint = endpoints_[update.id];
  endpoint.tieBreaker = context_.hash(update.id);
  if (endpoint.replicaGroup != nullptr) changed.insert(endpoint.info.group);
  changed.insert(update.group);
  moveToGroup(endpoint, update);
  const bool restarted = update.started > endpoint.info.started;
  const bool wasKnown = endpoint.info.id != 0;
  endpoint.info = update;
  if (restarted) {
    endpoint.resetHistory();
    const TimePoint startedAt = std::min(update.started, context_.now);
    if (wasKnown) observeRole(endpoint, Role::Unknown, std::max(endpoint.roleObservedAt, startedAt));
  }
  if (update.state == Lifecycle::Removed) {
    setDeparted(endpoint);
  } else {
    endpoint.departedAt = kNever;
    departed_.erase(update.id);
    endpoint.drainingObserved = update.state == Lifecycle::Draining;
  }
  observeListedRole(endpoint);
}

void EndpointTable::moveToGroup(Endpoint& endpoint, const EndpointUpdate& update) {
  const bool isNew = endpoint.info.id == 0;
  if (!isNew && endpoint.info.group == update.group) return;
  if (!isNew) removeFromGroup(endpoint);
  endpoint.replicaGroup = &group(update.group);
  emptyGroups_.erase(update.group);
  std::vector<EndpointId>& ids = endpoint.replicaGroup->endpoints;
  ids.insert(std::lower_bound(ids.begin(), ids.end(), update.id), update.id);
}

void EndpointTable::removeFromGroup(const Endpoint& endpoint) {
  std::vector<EndpointId>& ids = endpoint.replicaGroup->endpoints;
  eraseValue(ids, endpoint.info.id);
  if (ids.empty()) emptyGroups_.insert(endpoint.info.group);
}

// The role in the list is the weakest evidence: it is used only if no primary is known and the endpoint has
// not stated a role itself.
void EndpointTable::observeListedRole(Endpoint& endpoint) {
  ReplicaGroup& group = *endpoint.replicaGroup;
  if (!isRoutable(endpoint)) {
    if (endpoint.isPrimary())
      observeRole(endpoint, Role::Unknown, std::max(endpoint.roleObservedAt, context_.now));
    return;
  }
  const bool listsRoles = context_.settings.listedRole != ListedRole::Never;
  if (!listsRoles || !endpoint.info.primary || endpoint.roleObservedAt != kNever || group.primary != 0)
    return;
  group.primary = endpoint.info.id;
  endpoint.roleObservedAt = TimePoint();
}

void EndpointTable::shiftUnixTimes(Duration shift) {
  for (auto& [id, endpoint] : endpoints_) {
    if (endpoint.position != kNever) endpoint.position = std::max(endpoint.position + shift, TimePoint());
    if (endpoint.info.started != TimePoint())
      endpoint.info.started = std::max(endpoint.info.started + shift, TimePoint(Duration(1)));
    // roleObservedAt may come from a position, so it has to be shifted, too.
    if (endpoint.roleObservedAt != kNever)
      endpoint.roleObservedAt = std::clamp(endpoint.roleObservedAt + shift, TimePoint(), context_.now);
    endpoint.positionLags.clear();
  }
}

bool EndpointTable::isExpired(const Endpoint& endpoint) const {
  if (isRoutable(endpoint) || endpoint.departedAt == kNever) return false;
  if (!endpoint.inFlight.empty() || endpoint.healthCheck.pending) return false;
  return context_.now >= endpoint.departedAt + kDepartedRetention;
}

std::vector<EndpointId> EndpointTable::removeDeparted() {
  std::vector<EndpointId> departed;
  for (const EndpointId id : departed_)
    if (isExpired(at(id))) departed.push_back(id);
  for (const EndpointId id : departed) {
    const Endpoint& endpoint = at(id);
    removeFromGroup(endpoint);
    if (endpoint.isPrimary()) endpoint.replicaGroup->primary = 0;
    departed_.erase(id);
    endpoints_.erase(id);
  }
  removeUnusedGroups();
  return departed;
}

void EndpointTable::removeUnusedGroups() {
  for (auto it = emptyGroups_.begin(); it != emptyGroups_.end();) {
    const auto group = groups_.find(*it);
    const bool isUnused = group->second.isUnused();
    if (isUnused) groups_.erase(group);
    it = isUnused ? emptyGroups_.erase(it) : std::next(it);
  }
}

}  // namespace stonebay::balancer
