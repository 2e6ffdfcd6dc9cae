#include "discovery/endpoint_tracker.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace stonebay {
namespace {

// A withdrawn entry is removed when its penalty has decayed below this value.
constexpr double kNegligiblePenalty = 0.02;
// Long lists are split into updates of this size, so that the event loop can process requests between them.
constexpr std::ptrdiff_t kMaxInstancesPerUpdate = 100;

std::int64_t unixMs(EndpointTracker::Time time) { return time.count() / 1000; }

Instance withState(Instance instance, Lifecycle state) {
  instance.state = state;
  return instance;
}

// The same name with another address or in another group is another server.
bool isSameServer(const Instance& left, const Instance& right) {
  return left.address == right.address && left.group == right.group;
}

}  // namespace

const char* describe(ExclusionReason reason) {
  switch (reason) {
    case ExclusionReason::None:
      break;
    case ExclusionReason::ListExpired:
      return "the list is too old";
    case ExclusionReason::Flapping:
      return "it flaps";
    case ExclusionReason::DuplicateAddress:
      return "another has its address";
    case ExclusionReason::Withdrawn:
      return "withdrawn";
  }
  return "";
}

void EndpointTracker::markPresent(Entry& entry, Time now, bool initial) const {
  entry.present = true;
  entry.presenceChangedAt = now;
  entry.inferredStartMs = initial && entry.withdrawals == 0 ? 0 : unixMs(now);
  entry.penalty.onReturn(policy_.damping, now);
}

void EndpointTracker::markWithdrawn(Entry& entry, Time now) const {
  entry.present = false;
  entry.presenceChangedAt = now;
  entry.penalty.onWithdrawal(policy_.damping, now);
  ++entry.withdrawals;
}

void EndpointTracker::onSourceDelivered(Time now) {
  hasList_ = true;
  listExpired_ = false;
  lastUpdateAt_ = now;
  failingSince_.reset();
}

void EndpointTracker::onSnapshot(Time now, std::vector<Instance> instances, bool initial) {
  const bool isFirstList = !hasList_;
  completeUpdateDue_ = completeUpdateDue_ || isFirstList;
  changed_ = true;
  sourceHasGenerations_ = false;
  onSourceDelivered(now);

  const std::vector<WithdrawnServer> withdrawn = withdrawMissing(now, instances);
  for (Instance& instance : instances)
    updateEntry(now, std::move(instance), withdrawn, initial || isFirstList);
  removeWithdrawnEntries(now);
}

std::vector<EndpointTracker::WithdrawnServer> EndpointTracker::withdrawMissing(
    Time now, const std::vector<Instance>& instances) {
  std::set<std::string> listed;
  for (const Instance& instance : instances) listed.insert(instance.name);
  std::vector<WithdrawnServer> withdrawn;
  for (auto& [name, entry] : entries_) {
    if (!entry.present || listed.count(name) > 0) continue;
    withdrawn.push_back({entry.instance.address, entry.instance.group, entry.inferredStartMs});
    markWithdrawn(entry, now);
  }
  return withdrawn;
}

void EndpointTracker::updateEntry(Time now, Instance instance, const std::vector<WithdrawnServer>& withdrawn,
                                  bool initial) {
  Entry& entry = entries_[instance.name];
  if (!entry.present) {
    markPresent(entry, now, initial);
    // A renamed server keeps its start time: renaming all instances of a zone must not put them all into slow
    // start.
    for (const WithdrawnServer& server : withdrawn)
      if (server.address == instance.address && server.group == instance.group)
        entry.inferredStartMs = server.inferredStartMs;
  } else if (!isSameServer(entry.instance, instance)) {
    entry.presenceChangedAt = now;
    entry.inferredStartMs = initial ? 0 : unixMs(now);
  }
  entry.instance = std::move(instance);
}

void EndpointTracker::assumePublished(const std::vector<Instance>& instances) {
  for (const Instance& instance : instances) applyChange(Time(0), instance);
}

void EndpointTracker::onChange(Time now, EndpointListUpdate list) {
  sourceHasGenerations_ = true;
  onSourceDelivered(now);
  generation_ = list.generation;
  std::vector<Instance> changes = list.isComplete ? findChanges(list) : std::move(list.instances);
  for (const Instance& instance : changes) applyChange(now, instance);
  queueUpdates(std::move(changes));
}

// Returns the differences between a complete list and the list that the handler has.
std::vector<Instance> EndpointTracker::findChanges(const EndpointListUpdate& list) {
  std::vector<Instance> changes;
  std::unordered_set<std::string_view> listed;
  for (const Instance& instance : list.instances) {
    listed.insert(instance.name);
    const auto it = entries_.find(instance.name);
    if (it == entries_.end() || it->second.instance != instance) changes.push_back(instance);
  }
  for (const auto& [name, entry] : entries_)
    if (listed.count(name) == 0) changes.push_back(withState(entry.instance, Lifecycle::Removed));
  return changes;
}

void EndpointTracker::applyChange(Time now, const Instance& instance) {
  if (instance.state == Lifecycle::Removed) {
    entries_.erase(instance.name);
    return;
  }
  Entry& entry = entries_[instance.name];
  if (!entry.present) entry.presenceChangedAt = now;
  entry.present = true;
  entry.isPublished = true;
  entry.instance = instance;
  entry.published = instance;
}

// Queues at least one update, even if there are no changes: the handler takes any list as the end of a
// failure.
void EndpointTracker::queueUpdates(std::vector<Instance> changes) {
  const auto isDrainingOrRemoved = [](const Instance& instance) {
    return instance.state != Lifecycle::Ready;
  };
  std::stable_partition(changes.begin(), changes.end(), isDrainingOrRemoved);
  auto next = std::make_move_iterator(changes.begin());
  const auto end = std::make_move_iterator(changes.end());
  do {
    const auto count = std::min<std::ptrdiff_t>(end - next, kMaxInstancesPerUpdate);
    EndpointListUpdate part;
    part.generation = generation_;
    part.instances.assign(next, next + count);
    pendingUpdates_.push_back(std::move(part));
    next += count;
  } while (next != end);
}

void EndpointTracker::onFailure(Time now, std::string reason) {
  if (!failingSince_) failingSince_ = now;
  failureReason_ = std::move(reason);
}

std::optional<EndpointTracker::Time> EndpointTracker::listExpiresAt() const {
  if (!failingSince_ || !lastUpdateAt_ || policy_.maxListAge <= Time(0)) return std::nullopt;
  return *lastUpdateAt_ + policy_.maxListAge;
}

std::optional<EndpointTracker::Time> EndpointTracker::nextDeadline() const {
  if (sourceHasGenerations_) return std::nullopt;  // never suppressed, never expires
  std::optional<Time> deadline;
  const auto include = [&](Time time) { deadline = deadline ? std::min(*deadline, time) : time; };
  for (const auto& [name, entry] : entries_)
    if (entry.present && entry.penalty.isSuppressed()) include(entry.penalty.suppressedUntil());
  if (const auto expiresAt = listExpiresAt(); expiresAt && !listExpired_) include(*expiresAt);
  return deadline;
}

std::optional<EndpointListUpdate> EndpointTracker::takeUpdate(Time now) {
  if (!pendingUpdates_.empty()) {
    EndpointListUpdate list = std::move(pendingUpdates_.front());
    pendingUpdates_.pop_front();
    return list;
  }
  if (sourceHasGenerations_) return std::nullopt;
  const auto deadline = nextDeadline();
  const bool isDue = deadline && *deadline <= now;
  if (!changed_ && !isDue) return std::nullopt;
  changed_ = false;
  if (const auto expiresAt = listExpiresAt(); expiresAt && now >= *expiresAt) listExpired_ = true;

  const std::vector<NamedEntry> entries = entriesByPrecedence();
  updateExclusions(entries, now);
  EndpointListUpdate update;
  for (const auto& [name, entry] : entries) publish(*name, *entry, now, update.instances);
  if (update.instances.empty() && !completeUpdateDue_) return std::nullopt;
  update.isComplete = completeUpdateDue_;
  completeUpdateDue_ = false;
  update.generation = ++generation_;
  return update;
}

// Returns the entries in the order in which they may claim an address: published entries first, then those
// that have been present for longest, then by name.
std::vector<EndpointTracker::NamedEntry> EndpointTracker::entriesByPrecedence() {
  std::vector<NamedEntry> entries;
  entries.reserve(entries_.size());
  for (auto& [name, entry] : entries_) entries.emplace_back(&name, &entry);
  std::stable_sort(entries.begin(), entries.end(), [](const NamedEntry& left, const NamedEntry& right) {
    if (left.second->isPublished != right.second->isPublished) return left.second->isPublished;
    return left.second->presenceChangedAt < right.second->presenceChangedAt;
  });
  return entries;
}

void EndpointTracker::updateExclusions(const std::vector<NamedEntry>& entries, Time now) const {
  std::vector<Address> claimed;
  for (const auto& [name, entry] : entries) {
    entry->exclusion = ExclusionReason::None;
    entry->penalty.update(now);
    if (!entry->present) continue;
    const Address& address = entry->instance.address;
    if (listExpired_)
      entry->exclusion = ExclusionReason::ListExpired;
    else if (entry->penalty.isSuppressed())
      entry->exclusion = ExclusionReason::Flapping;
    else if (std::find(claimed.begin(), claimed.end(), address) != claimed.end())
      entry->exclusion = ExclusionReason::DuplicateAddress;
    else
      claimed.push_back(address);
  }
}

// Appends to `changes` the changes of the entry that the handler has not received. If a name has moved to
// another server, the new server is published under a new name ("s-1#2"), because the handler's id of an
// endpoint must always denote the same server.
void EndpointTracker::publish(const std::string& name, Entry& entry, Time now,
                              std::vector<Instance>& changes) {
  const bool isEligible = entry.present && entry.exclusion == ExclusionReason::None;
  const bool publishedBefore = !entry.published.name.empty();
  const bool isOtherServer = publishedBefore && !isSameServer(entry.instance, entry.published);
  if (entry.isPublished && (!isEligible || isOtherServer)) {
    changes.push_back(withState(entry.published, Lifecycle::Removed));
    entry.isPublished = false;
  }
  if (!isEligible) return;
  if (isOtherServer) ++entry.incarnation;
  Instance next = entry.instance;
  next.name = entry.incarnation > 1 ? name + "#" + std::to_string(entry.incarnation) : name;
  next.startedMs = next.startedMs > 0 ? std::min(next.startedMs, unixMs(now)) : entry.inferredStartMs;
  if (entry.isPublished && next == entry.published) return;
  entry.published = next;
  entry.isPublished = true;
  changes.push_back(std::move(next));
}

bool EndpointTracker::isRemovable(const Entry& entry, Time now) const {
  return !entry.present && !entry.isPublished &&
         entry.penalty.value(policy_.damping, now) < kNegligiblePenalty;
}

// Bounds the memory if instances keep appearing under new names.
void EndpointTracker::removeWithdrawnEntries(Time now) {
  for (auto it = entries_.begin(); it != entries_.end();)
    it = isRemovable(it->second, now) ? entries_.erase(it) : std::next(it);
}

EndpointTracker::View EndpointTracker::view(Time now) const {
  View view{{}, lastUpdateAt_, failingSince_, failingSince_ ? failureReason_ : std::string()};
  for (const auto& [name, entry] : entries_) {
    if (isRemovable(entry, now)) continue;
    Row row{entry.instance, entry.exclusion, entry.penalty.value(policy_.damping, now), entry.withdrawals};
    if (!entry.present) {
      row.instance.state = Lifecycle::Removed;
      row.exclusion = ExclusionReason::Withdrawn;
    } else if (row.instance.startedMs == 0) {
      row.instance.startedMs = entry.inferredStartMs;
    }
    view.rows.push_back(std::move(row));
  }
  return view;
}

}  // namespace stonebay
