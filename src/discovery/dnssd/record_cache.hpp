// The DNS records of one service, and when each set of them has to be refreshed.
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
  std::vector<dns::Data> data;  ///< empty unless Known
  Time refreshAt{};             ///< when it has to be queried (again); a new set at once
  bool inFlight = false;        ///< a query for it is in flight
  bool attempted = false;       ///< a query for it has ended, or it has come with another response
  int failures = 0;             ///< of queries, in a row
};

/// Holds the record sets that are tracked. A set is refreshed after its TTL, bounded by the settings and
/// shortened by a random part of up to `jitter`, so that proxies that were started together drift apart. A
/// set that cannot be refreshed keeps its data; only a negative response removes it. Pure.
class RecordCache {
 public:
  RecordCache(DnsSdSettings settings, std::uint64_t seed);

  /// The set for a question; it is tracked from here on.
  RecordSet& track(const dns::Question& question);
  /// Null when the set is not tracked.
  RecordSet* find(const dns::Question& question);
  const RecordSet* find(const dns::Question& question) const;
  /// Stops tracking the sets for which `isNeeded` is false.
  void retain(const std::function<bool(const dns::Question&)>& isNeeded);

  void storePositive(Time now, const dns::Question& question, RecordData records);
  void storeNegative(Time now, const dns::Question& question, std::uint32_t ttl);
  /// Schedules the next attempt with an exponential backoff.
  void onQueryFailure(Time now, RecordSet& set);
  /// Stores the additional records of a response that belong to tracked sets and stand within the domain; the
  /// rest may come from anyone. Returns the questions whose sets were stored.
  std::vector<dns::Question> storeAdditionals(Time now, const std::vector<dns::Record>& records,
                                              const dns::Name& domain);

  bool isAnyDue(Time now) const;
  /// The sets to be queried, the one that is overdue longest first; among equals the addresses come last,
  /// since the answer for a SRV record may bring them along.
  std::vector<dns::Question> due(Time now) const;
  std::size_t dueCount(Time now, dns::Type type) const;
  std::size_t inFlightCount() const;
  /// The earliest refresh of a set that is not in flight.
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
