// The DNS records of one service, with the time at which each record set is due for a refresh.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <vector>

#include "codec/dns/message.hpp"
#include "config/config.hpp"
#include "discovery/dnssd/response.hpp"
#include "util/clock.hpp"

namespace stonebay {

/// The records with the same name and type.
struct RecordSet {
  enum class State { Unknown, Known, Absent } state = State::Unknown;
  std::vector<dns::Data> data;  ///< empty unless the state is Known
  Time refreshAt{};             ///< when the set is due for a query; 0 (due now) for a new set
  bool inFlight = false;        ///< a query for this set is in flight
  bool attempted = false;       ///< a query for this set has ended, or another response had its records
  int failures = 0;             ///< number of consecutive failed queries
};

/// Stores the tracked record sets. A set is due for a refresh after its TTL, which is bounded by the settings
/// and shortened by a random fraction of up to `jitter`, so that proxies that were started together do not
/// stay synchronized. A set that cannot be refreshed keeps its data; only a negative response removes the
/// data. Pure.
class RecordCache {
 public:
  RecordCache(DnsSdSettings settings, std::uint64_t seed);

  /// Returns the set for a question, and tracks it from then on.
  RecordSet& track(const dns::Question& question);
  /// Returns null if the set is not tracked.
  RecordSet* find(const dns::Question& question);
  const RecordSet* find(const dns::Question& question) const;
  /// Stops tracking the sets for which `isNeeded` is false.
  void retain(const std::function<bool(const dns::Question&)>& isNeeded);

  void storePositive(Time now, const dns::Question& question, RecordData records);
  void storeNegative(Time now, const dns::Question& question, std::uint32_t ttl);
  /// Schedules the next attempt with an exponential backoff.
  void onQueryFailure(Time now, RecordSet& set);
  /// Stores the additional records of a response that belong to tracked sets and are within the domain.
  /// Others are ignored, because the server may have no authority over them. Returns the questions whose sets
  /// were stored.
  std::vector<dns::Question> storeAdditionals(Time now, const std::vector<dns::Record>& records,
                                              const dns::Name& domain);

  bool isAnyDue(Time now) const;
  /// Returns the sets to be queried, those that have been due longest first. Among sets that became due at
  /// the same time, addresses come last, because the response to an SRV query may include them.
  std::vector<dns::Question> due(Time now) const;
  std::size_t dueCount(Time now, dns::Type type) const;
  std::size_t inFlightCount() const;
  /// Returns when the first of the sets without a query in flight is due; std::nullopt if there is none.
  std::optional<Time> nextRefreshAt() const;
  bool allAttempted() const;

 private:
  void markAbsent(Time now, RecordSet& set, std::uint32_t ttl);
  std::vector<dns::Question> storeIpv6Only(Time now, const std::vector<dns::Record>& records,
                                           const dns::Name& domain,
                                           const std::map<dns::Question, RecordData>& stored);
  Time refreshTime(Time now, std::uint32_t ttl);
  Time backoff(int failures);
  double randomFraction();

  const DnsSdSettings settings_;
  pcg32 random_;
  std::map<dns::Question, RecordSet> sets_;
};

}  // namespace stonebay
