// Turns what a source of the endpoint list reports into the updates that its handler receives. Pure: no I/O,
// no clock.
//
// - Withdrawals are never delayed: an instance that a source no longer lists is withdrawn in the next update.
//   Only a return is held back.
// - Flap damping after RFC 2439: each withdrawal of a name adds a penalty of 1, which decays with the
// half-life
//   of the policy. A name that returns while its penalty is at or above the suppress threshold is left out
//   until the penalty has decayed to the reuse threshold, and for no longer than the maximum suppression
//   time.
// - Start times: an instance that appears after the initial list, and whose source gives no start time, is
// taken
//   to have started when it appeared, so that the balancer warms it up. Instances of the initial list are
//   taken to have started long ago.
// - Renames: an address that changes its name from one list to the next is the same server and keeps its
// start
//   time.
// - Duplicate addresses: of two names at one address the one that was published first stays; the other is
// left
//   out until that one is gone.
// - Failures of the source withdraw nothing until the list exceeds the maximum age of the policy.
#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "discovery/endpoint_list.hpp"
#include "discovery/flap_damping.hpp"

namespace stonebay {

/// How a list is damped, and when it expires.
struct EndpointTrackerPolicy {
  FlapDampingPolicy damping;
  /// While the source fails, the list expires at this age; 0: never.
  std::chrono::microseconds maxListAge{};
};

/// Why an instance is not published.
enum class ExclusionReason { None, ListExpired, Flapping, DuplicateAddress, Withdrawn };
/// For operators; empty for None.
const char* describe(ExclusionReason reason);

/// Tracks the instances of one source. Feed it with the on... functions, and after each of them, and when
/// nextDeadline is due, call takeUpdate until it returns nothing.
class EndpointTracker {
 public:
  using Time = std::chrono::microseconds;
  explicit EndpointTracker(const EndpointTrackerPolicy& policy = {}) : policy_(policy) {}

  /// A complete list from a source that delivers nothing else. `initial`: instances that are new to the list
  /// did not start just now, as after a change of the domain; always so for the very first list.
  void onSnapshot(Time now, std::vector<Instance> instances, bool initial = false);
  /// A list or a change of one from a source with generations. Such a source reports start times and
  /// withdrawals itself: its lists are passed on as they are.
  void onChange(Time now, EndpointListUpdate list);
  /// The source could not be reached or gave no usable answer.
  void onFailure(Time now, std::string reason);

  /// The handler has these from elsewhere. To be called before anything else.
  void assumePublished(const std::vector<Instance>& instances);
  /// The next update for the handler; nothing when it is up to date. A source's long list comes in parts,
  /// what withdraws endpoints first.
  std::optional<EndpointListUpdate> takeUpdate(Time now);
  /// Whether takeUpdate has another part of a list at once.
  bool hasMoreUpdates() const { return !unpublishedLists_.empty(); }
  /// When takeUpdate may have something without any further event.
  std::optional<Time> nextDeadline() const;

  /// Generation of the last update, or of the source's last list where it has generations.
  std::uint64_t generation() const { return generation_; }
  /// When the source last delivered a list or a change.
  std::optional<Time> lastUpdateAt() const { return lastUpdateAt_; }
  void setPolicy(const EndpointTrackerPolicy& policy) { policy_ = policy; }

  /// An instance as operators see it.
  struct Row {
    Instance instance;
    ExclusionReason exclusion = ExclusionReason::None;
    double penalty = 0;
    unsigned withdrawals = 0;
  };
  /// The state of the tracker for operators.
  struct View {
    std::vector<Row> rows;  ///< by name
    std::optional<Time> lastUpdateAt;
    std::optional<Time> failingSince;  ///< nothing has been delivered since then
    std::string failureReason;         ///< of the last failure, while the source is failing
  };
  View view(Time now) const;

 private:
  struct Entry {
    Instance instance;  // as the source lists it
    bool present = false;
    bool isPublished = false;
    Instance published;                // as the handler knows it
    Time presenceChangedAt{};          // of the last appearance or withdrawal
    std::int64_t inferredStartMs = 0;  // where the source gives no start time
    FlapPenalty penalty;
    unsigned withdrawals = 0;
    unsigned incarnation = 1;  // counts the servers that the name has stood for
    ExclusionReason exclusion = ExclusionReason::None;
  };
  struct WithdrawnServer {
    Address address;
    GroupId group = 0;
    std::int64_t inferredStartMs = 0;
  };
  using NamedEntry = std::pair<const std::string*, Entry*>;

  bool isExpired(const Entry& entry, Time now) const;
  void onSourceDelivered(Time now);
  std::vector<Instance> changesOf(const EndpointListUpdate& list);
  void applyChange(Time now, const Instance& instance);
  void addUnpublished(std::vector<Instance> changes);
  std::vector<WithdrawnServer> withdrawMissing(Time now, const std::vector<Instance>& instances);
  void updateEntry(Time now, Instance instance, const std::vector<WithdrawnServer>& withdrawn, bool initial);
  void appear(Entry& entry, Time now, bool initial) const;
  void withdraw(Entry& entry, Time now) const;
  void removeExpiredEntries(Time now);
  std::optional<Time> listExpiresAt() const;
  std::vector<NamedEntry> entriesByPrecedence();
  void updateExclusions(const std::vector<NamedEntry>& entries, Time now) const;
  static void publish(const std::string& name, Entry& entry, Time now, std::vector<Instance>& changes);

  EndpointTrackerPolicy policy_;
  std::map<std::string, Entry> entries_;
  std::uint64_t generation_ = 0;
  bool hasList_ = false;
  bool sourceHasGenerations_ = false;
  std::deque<EndpointListUpdate> unpublishedLists_;  // of a source with generations
  bool completeUpdateDue_ = false;                   // the next update is a complete list
  bool changed_ = false;                             // since the last update
  bool expired_ = false;
  std::optional<Time> lastUpdateAt_;
  std::optional<Time> failingSince_;
  std::string failureReason_;
};

}  // namespace stonebay
