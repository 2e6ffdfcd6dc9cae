// Turns the reports of a discovery source into updates for the handler of the endpoint list. Pure: no I/O, no
// clock.
//
// - Withdrawals are never delayed: an instance that the source no longer lists is withdrawn in the next
//   update. Only the publication of an instance may be delayed.
// - Flap damping after RFC 2439: each withdrawal of a name adds a penalty of 1, which decays with the
//   half-life of the policy. A name that returns while its penalty is at or above the suppress threshold is
//   excluded until the penalty has decayed to the reuse threshold, but at most for the maximum suppression
//   time.
// - Start times: an instance that appears after the initial list without a start time from its source is
//   assumed to have started when it appeared, so that the balancer applies slow start to it. Instances of the
//   initial list are assumed to have started long ago.
// - Renames: an address that changes its name from one list to the next is the same server and keeps its
//   start time.
// - Duplicate addresses: if two names have the same address, the name that was published first stays, and the
//   other is excluded until the first is withdrawn.
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

/// Flap damping and expiry of an endpoint list.
struct EndpointTrackerPolicy {
  FlapDampingPolicy damping;
  /// The list expires at this age if the source is failing; 0: never.
  std::chrono::microseconds maxListAge{};
};

/// Why an instance is not published.
enum class ExclusionReason { None, ListExpired, Flapping, DuplicateAddress, Withdrawn };
/// Returns the reason as text for operators, or an empty string for None.
const char* describe(ExclusionReason reason);

/// Tracks the instances of one discovery source. The caller reports events through the on... functions. After
/// each of them, and when nextDeadline() has passed, it calls takeUpdate() until that returns std::nullopt.
class EndpointTracker {
 public:
  using Time = std::chrono::microseconds;
  explicit EndpointTracker(const EndpointTrackerPolicy& policy = {}) : policy_(policy) {}

  /// Handles a complete list from a source that delivers only complete lists. If `initial` is true, new
  /// instances are not assumed to have started just now, for example after a change of the DNS-SD domain. The
  /// first list is always treated as initial.
  void onSnapshot(Time now, std::vector<Instance> instances, bool initial = false);
  /// Handles a list, or the changes to one, from a source with generations. Such a source reports start times
  /// and withdrawals itself, so neither flap damping nor exclusion applies to its instances.
  void onChange(Time now, EndpointListUpdate list);
  /// Handles a failure: the source could not be reached or gave no usable answer.
  void onFailure(Time now, std::string reason);

  /// Treats the instances as published already: the handler knows them from the configuration. Must be called
  /// before any other function.
  void assumePublished(const std::vector<Instance>& instances);
  /// Returns the next update for the handler, or std::nullopt if the handler is up to date. A long list from
  /// a source with generations is split into parts, which begin with the draining and removed instances.
  std::optional<EndpointListUpdate> takeUpdate(Time now);
  /// Returns true if takeUpdate() will return another part of a list.
  bool hasMoreUpdates() const { return !pendingUpdates_.empty(); }
  /// Returns the time at which takeUpdate() may have an update without a further event; std::nullopt: never.
  std::optional<Time> nextDeadline() const;

  /// Returns the generation of the last update or, for a source with generations, of its last list.
  std::uint64_t generation() const { return generation_; }
  /// Returns when the source last delivered a list or changes.
  std::optional<Time> lastUpdateAt() const { return lastUpdateAt_; }
  void setPolicy(const EndpointTrackerPolicy& policy) { policy_ = policy; }

  /// An instance and its state in the tracker, for operators.
  struct Row {
    Instance instance;
    ExclusionReason exclusion = ExclusionReason::None;
    double penalty = 0;
    unsigned withdrawals = 0;
  };
  /// The state of the tracker for operators.
  struct View {
    std::vector<Row> rows;  ///< ordered by name
    std::optional<Time> lastUpdateAt;
    std::optional<Time> failingSince;  ///< set while the source is failing: time of its first failure
    std::string failureReason;         ///< of the last failure; empty unless the source is failing
  };
  View view(Time now) const;

 private:
  struct Entry {
    Instance instance;  // as the source last listed it
    bool present = false;
    bool isPublished = false;
    Instance published;                // as last published to the handler
    Time presenceChangedAt{};          // time of the last appearance, withdrawal or change of server
    std::int64_t inferredStartMs = 0;  // used if the source gives no start time; 0: long ago
    FlapPenalty penalty;
    unsigned withdrawals = 0;
    unsigned incarnation = 1;  // number of servers that were published under this name
    ExclusionReason exclusion = ExclusionReason::None;
  };
  struct WithdrawnServer {
    Address address;
    GroupId group = 0;
    std::int64_t inferredStartMs = 0;
  };
  using NamedEntry = std::pair<const std::string*, Entry*>;

  bool isRemovable(const Entry& entry, Time now) const;
  void onSourceDelivered(Time now);
  std::vector<Instance> findChanges(const EndpointListUpdate& list);
  void applyChange(Time now, const Instance& instance);
  void queueUpdates(std::vector<Instance> changes);
  std::vector<WithdrawnServer> withdrawMissing(Time now, const std::vector<Instance>& instances);
  void updateEntry(Time now, Instance instance, const std::vector<WithdrawnServer>& withdrawn, bool initial);
  void markPresent(Entry& entry, Time now, bool initial) const;
  void markWithdrawn(Entry& entry, Time now) const;
  void removeWithdrawnEntries(Time now);
  std::optional<Time> listExpiresAt() const;
  std::vector<NamedEntry> entriesByPrecedence();
  void updateExclusions(const std::vector<NamedEntry>& entries, Time now) const;
  static void publish(const std::string& name, Entry& entry, Time now, std::vector<Instance>& changes);

  EndpointTrackerPolicy policy_;
  std::map<std::string, Entry> entries_;
  std::uint64_t generation_ = 0;
  bool hasList_ = false;
  bool sourceHasGenerations_ = false;
  std::deque<EndpointListUpdate> pendingUpdates_;  // from a source with generations
  bool completeUpdateDue_ = false;                 // the next update must be a complete list
  bool changed_ = false;                           // the source has delivered a list since the last update
  bool listExpired_ = false;                       // the list has exceeded its maximum age
  std::optional<Time> lastUpdateAt_;
  std::optional<Time> failingSince_;
  std::string failureReason_;
};

}  // namespace stonebay
