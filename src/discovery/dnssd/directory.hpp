// The instances of one DNS-SD service in one domain.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "codec/dns/message.hpp"
#include "config/config.hpp"
#include "discovery/dnssd/instance_assembler.hpp"
#include "discovery/dnssd/query_budget.hpp"
#include "discovery/dnssd/record_cache.hpp"
#include "util/clock.hpp"

namespace stonebay {

/// Schedules the DNS queries and assembles instances from the responses. Pure: no sockets, no clock.
///
/// PTR records name the instances, SRV and TXT records describe each instance, and A or AAAA records give the
/// address of its target (RFC 6763 sections 4 to 6). If the PTR response has all other records in its
/// additional section, a refresh takes only the PTR query. If they do not fit into a datagram, the PTR query
/// is sent over TCP. If the response still lacks records, each missing record set is queried separately.
///
/// The PTR query is not rate-limited; queries for single record sets are limited by a QueryBudget. If a zone
/// has more instances than a response can describe, records may become older than their TTL, but a withdrawn
/// instance is still detected in time. The cost of handling a response grows with its size, not with the
/// number of instances.
class Directory {
 public:
  /// Throws InvalidInput if the service or the domain is not a valid domain name.
  Directory(const DnsSdSettings& settings, const std::vector<GroupName>& groups, std::uint64_t seed);
  Directory(const Directory&) = delete;
  Directory& operator=(const Directory&) = delete;

  struct Query {
    dns::Question question;
    bool overTcp = false;
  };
  /// Returns the queries to send now. The caller must complete each with one call of onResponse or onFailure.
  std::vector<Query> dueQueries(Time now);
  void onResponse(Time now, const dns::Question& question, const dns::Message& message, bool overTcp);
  /// Handles a query for which no server gave a usable response.
  void onFailure(Time now, const dns::Question& question);
  /// Returns the time from which dueQueries() may return queries without a further event; std::nullopt while
  /// the PTR query is in flight.
  std::optional<Time> nextDeadline() const;

  /// Returns true once the PTR query has been answered and every record set has been queried or stored at
  /// least once. Stays true from then on.
  bool isInitialized();
  /// Returns true if the last PTR query failed.
  bool isFailing() const { return ptrFailures_ > 0; }
  /// Returns a number that changes whenever instances() or faults() may have changed.
  std::uint64_t version() const { return assembler_.version(); }
  /// Returns the instances whose records are complete and valid.
  std::vector<Instance> instances() const { return assembler_.instances(); }
  /// Returns why the other instances are not usable, by name; for operators.
  const std::map<std::string, std::string>& faults() const { return assembler_.faults(); }

 private:
  std::vector<Query> dueRecordQueries(Time now);
  bool isCombinedRefreshDue(Time now) const;
  void onPtrResponse(Time now, ResponseKind kind, const dns::Message& message, bool overTcp);
  RecordData acceptListedNames(const dns::Message& message);
  void chooseTransport(Time now, bool overTcp);
  void stopUsingTcp();
  void forgetUnlisted(const std::vector<dns::Name>& listed);
  bool isNeeded(const dns::Question& question, const std::set<dns::Name>& listed) const;
  std::vector<dns::Name> listedNames() const;
  bool responseHadAllRecords() const;

  const DnsSdSettings settings_;
  const dns::Question ptrQuestion_;
  const dns::Name domain_;
  RecordCache records_;
  InstanceAssembler assembler_;
  QueryBudget budget_;  // for queries of single record sets
  bool initialized_ = false;
  Time ptrRespondedAt_{};
  int ptrFailures_ = 0;         // consecutive
  bool hadAllRecords_ = false;  // the last PTR response had all other records in its additional section
  bool ptrOverTcp_ = false;
  int ptrResponsesUntilTcp_ = 0;  // TCP is not tried again before this number of PTR responses
};

}  // namespace stonebay
