// The instances of one service in one domain, as DNS-SD describes them.
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

/// Decides what to query when, and makes instances out of the responses. Pure: no sockets, no clock.
///
/// A PTR record names the instances, SRV and TXT records describe each, A or AAAA records give the address of
/// its target (RFC 6763 sections 4 to 6). Where the PTR response has all other records as additionals, its
/// query is the only one of a refresh. Where they do not fit into a datagram, it is sent over TCP. Where they
/// do not come at all, each record set is queried by itself.
///
/// The PTR query has no limit on its rate, those for single record sets have a budget: where a zone has more
/// instances than a response has room for, a record may get older than its TTL, but a withdrawal is seen in
/// time. The cost of a response grows with what it holds, not with the number of instances.
class Directory {
 public:
  /// Throws InvalidInput when the service or the domain is not a name.
  Directory(const DnsSdSettings& settings, const std::vector<GroupName>& groups, std::uint64_t seed);
  Directory(const Directory&) = delete;
  Directory& operator=(const Directory&) = delete;

  struct Query {
    dns::Question question;
    bool overTcp = false;
  };
  /// The queries to send now. Each must end in one onResponse or onFailure.
  std::vector<Query> dueQueries(Time now);
  void onResponse(Time now, const dns::Question& question, const dns::Message& message, bool overTcp);
  /// No server gave a usable response.
  void onFailure(Time now, const dns::Question& question);
  /// When dueQueries has something without any further event; nothing while the PTR query is in flight.
  std::optional<Time> nextDeadline() const;

  /// Whether each record set has been queried at least once.
  bool isInitialized();
  /// Whether the last PTR query has failed.
  bool isFailing() const { return ptrFailures_ > 0; }
  /// Changes whenever instances() or faults() may have changed.
  std::uint64_t version() const { return assembler_.version(); }
  /// The instances whose records are complete and valid.
  std::vector<Instance> instances() const { return assembler_.instances(); }
  /// Why the other instances are not usable, by name; for operators.
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
  const dns::Question ptr_;
  const dns::Name domain_;
  RecordCache records_;
  InstanceAssembler assembler_;
  QueryBudget budget_;  // of queries for single record sets
  bool initialized_ = false;
  Time ptrRespondedAt_{};
  int ptrFailures_ = 0;         // in a row
  bool hadAllRecords_ = false;  // the last PTR response had all other records as additionals
  bool ptrOverTcp_ = false;
  int roundsWithoutTcp_ = 0;  // PTR responses until TCP is tried again
};

}  // namespace stonebay
