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

// An entry that is gone is kept until its penalty has decayed below this.
constexpr double kNegligiblePenalty = 0.02;
// Between two parts of a list the event loop turns to requests.
constexpr std::ptrdiff_t kMaxPublishedAtOnce = 100;

std::int64_t unixMs(EndpointTracker::Time time) { return time.count() / 1000; }

Instance withState(Instance instance, Lifecycle state) {
  instance.state = state;
  return instance;
}

// A name stands for one server: with another address or in another group it is another server.
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

void EndpointTracker::appear(Entry& entry, Time now, bool initial) const {
  entry.present = true;
  entry.presenceChangedAt = now;
  entry.inferredStartMs = initial && entry.withdrawals == 0 ? 0 : unixMs(now);
  entry.penalty.onReturn(policy_.damping, now);
}

void EndpointTracker::withdraw(Entry& entry, Time now) const {
  entry.present = false;
  entry.presenceChangedAt = now;
  entry.penalty.onWithdrawal(policy_.damping, now);
  ++entry.withdrawals;
}

void EndpointTracker::onSourceDelivered(Time now) {
  hasList_ = true;
  expired_ = false;
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
  removeExpiredEntries(now);
}

std::vector<EndpointTracker::WithdrawnServer> EndpointTracker::withdrawMissing(
    Time now, const std::vector<Instance>& instances) {
  std::set<std::string> listed;
  for (const Instance& instance : instances) listed.insert(instance.name);
  std::vector<WithdrawnServer> withdrawn;
  for (auto& [name, entry] : entries_) {
    if (!entry.present || listed.count(name) > 0) continue;
    withdrawn.push_back({entry.instance.address, entry.instance.group, entry.inferredStartMs});
    withdraw(entry, now);
  }
  return withdrawn;
}

void EndpointTracker::updateEntry(Time now, Instance instance, const std::vector<WithdrawnServer>& withdrawn,
                                  bool initial) {
  Entry& entry = entries_[instance.name];
  if (!entry.present) {
    appear(entry, now, initial);
    // Renamed servers keep their start time: a zone that is published under new names is not a cold fleet.
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
  std::vector<Instance> changes = list.reset ? changesOf(list) : std::move(list.instances);
  for (const Instance& instance : changes) applyChange(now, instance);
  addUnpublished(std::move(changes));
}

// What a complete list says that the handler does not know.
std::vector<Instance> EndpointTracker::changesOf(const EndpointListUpdate& list) {
  std::vector<Instance> changes;
  std::unordered_set<std::string_view> listed;
  for (const Instance& instance : list.instances) {
    listed.insert(instance.name);
    const auto known = entries_.find(instance.name);
    if (known == entries_.end() || known->second.instance != instance) changes.push_back(instance);
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

// A list that brings nothing new is passed on all the same: it ends a failure.
void EndpointTracker::addUnpublished(std::vector<Instance> changes) {
  const auto withdraws = [](const Instance& instance) { return instance.state != Lifecycle::Ready; };
  std::stable_partition(changes.begin(), changes.end(), withdraws);
  auto next = std::make_move_iterator(changes.begin());
  const auto end = std::make_move_iterator(changes.end());
  do {
    const auto count = std::min<std::ptrdiff_t>(end - next, kMaxPublishedAtOnce);
    EndpointListUpdate part;
    part.generation = generation_;
    part.instances.assign(next, next + count);
    unpublishedLists_.push_back(std::move(part));
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
  if (sourceHasGenerations_) return std::nullopt;  // nothing of it is held back, and it does not expire
  std::optional<Time> deadline;
  const auto consider = [&](Time at) { deadline = deadline ? std::min(*deadline, at) : at; };
  for (const auto& [name, entry] : entries_)
    if (entry.present && entry.penalty.isSuppressed()) consider(entry.penalty.suppressedUntil());
  if (const auto expiresAt = listExpiresAt(); expiresAt && !expired_) consider(*expiresAt);
  return deadline;
}

std::optional<EndpointListUpdate> EndpointTracker::takeUpdate(Time now) {
  if (!unpublishedLists_.empty()) {
    EndpointListUpdate list = std::move(unpublishedLists_.front());
    unpublishedLists_.pop_front();
    return list;
  }
  if (sourceHasGenerations_) return std::nullopt;
  const auto deadline = nextDeadline();
  const bool isDue = deadline && *deadline <= now;
  if (!changed_ && !isDue) return std::nullopt;
  changed_ = false;
  if (const auto expiresAt = listExpiresAt(); expiresAt && now >= *expiresAt) expired_ = true;

  const std::vector<NamedEntry> entries = entriesByPrecedence();
  updateExclusions(entries, now);
  EndpointListUpdate update;
  for (const auto& [name, entry] : entries) publish(*name, *entry, now, update.instances);
  if (update.instances.empty() && !completeUpdateDue_) return std::nullopt;
  update.reset = completeUpdateDue_;
  completeUpdateDue_ = false;
  update.generation = ++generation_;
  return update;
}

// Who keeps an address that several names claim: published entries first, then the one that has been there
// longest, then by name.
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
    if (expired_)
      entry->exclusion = ExclusionReason::ListExpired;
    else if (entry->penalty.isSuppressed())
      entry->exclusion = ExclusionReason::Flapping;
    else if (std::find(claimed.begin(), claimed.end(), address) != claimed.end())
      entry->exclusion = ExclusionReason::DuplicateAddress;
    else
      claimed.push_back(address);
  }
}

// Adds what the handler does not know of the entry yet. Another server under a published name goes by a name
// of its own ("s-1#2"), since the handler's id stands for one server.
void EndpointTracker::publish(const std::string& name, Entry& entry, Time now,
                              std::vector<Instance>& changes) {
  const bool wanted = entry.present && entry.exclusion == ExclusionReason::None;
  const bool publishedBefore = !entry.published.name.empty();
  const bool isOtherServer = publishedBefore && !isSameServer(entry.instance, entry.published);
  if (entry.isPublished && (!wanted || isOtherServer)) {
    changes.push_back(withState(entry.published, Lifecycle::Removed));
    entry.isPublished = false;
  }
  if (!wanted) return;
  if (isOtherServer) ++entry.incarnation;
  Instance next = entry.instance;
  next.name = entry.incarnation > 1 ? name + "#" + std::to_string(entry.incarnation) : name;
  next.startedMs = next.startedMs > 0 ? std::min(next.startedMs, unixMs(now)) : entry.inferredStartMs;
  if (entry.isPublished && next == entry.published) return;
  entry.published = next;
  entry.isPublished = true;
  changes.push_back(std::move(next));
}

bool EndpointTracker::isExpired(const Entry& entry, Time now) const {
  return !entry.present && !entry.isPublished &&
         entry.penalty.value(policy_.damping, now) < kNegligiblePenalty;
}

// Bounds the memory where instances come under names that are always new.
void EndpointTracker::removeExpiredEntries(Time now) {
  for (auto it = entries_.begin(); it != entries_.end();)
    it = isExpired(it->second, now) ? entries_.erase(it) : std::next(it);
}

EndpointTracker::View EndpointTracker::view(Time now) const {
  View view{{}, lastUpdateAt_, failingSince_, failingSince_ ? failureReason_ : std::string()};
  for (const auto& [name, entry] : entries_) {
    if (isExpired(entry, now)) continue;
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
