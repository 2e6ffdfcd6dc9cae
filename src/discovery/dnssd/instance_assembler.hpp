// Instances out of the SRV, TXT and address records that describe them.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "discovery/dnssd/record_cache.hpp"
#include "discovery/endpoint_list.hpp"

namespace stonebay {

/// Assembles the instances of a service (RFC 6763 sections 4 to 6) from a RecordCache, in which it tracks the
/// records that it needs. An instance that lacks a record keeps its last state until that record has been
/// queried. Pure.
class InstanceAssembler {
 public:
  /// `records` must outlive the assembler.
  InstanceAssembler(RecordCache& records, std::vector<GroupName> groups, std::optional<GroupId> defaultGroup);

  /// Assembles all instances anew and removes those that are not listed.
  void updateAll(const std::vector<dns::Name>& listed);
  /// Assembles the instances to which the set of records belongs.
  void update(const dns::Question& question);
  /// Drops what is remembered of instances that are not listed.
  void forgetUnlisted(const std::set<dns::Name>& listed);

  /// Whether some instance's SRV record names this target.
  bool isTarget(const dns::Name& name) const { return instancesByTarget_.count(name) > 0; }
  /// The complete instances.
  std::vector<Instance> instances() const;
  /// Why the other instances are not usable, by name; for operators.
  const std::map<std::string, std::string>& faults() const { return faults_; }
  void resetFaults(std::map<std::string, std::string> faults) { faults_ = std::move(faults); }
  /// Changes whenever instances() or faults() may have changed.
  std::uint64_t version() const { return version_; }

 private:
  // An instance, or what is wrong with it; neither while some record has still to be queried.
  struct Assembly {
    std::optional<Instance> instance;
    std::string fault;
  };
  Assembly assemble(const dns::Name& name);
  void updateInstance(const dns::Name& name);
  bool storeInstance(const dns::Name& name, std::optional<Instance> instance);
  bool storeFault(const dns::Name& name, const std::string& fault);
  void setTarget(const dns::Name& instance, const dns::Name& target);
  void removeFromTarget(const dns::Name& instance, const dns::Name& target);
  const RecordSet& addressRecords(const dns::Name& target);
  const Address& selectAddress(const dns::Name& instance, const std::vector<dns::Data>& records,
                               std::uint16_t port);

  RecordCache& records_;
  const std::vector<GroupName> groups_;
  const std::optional<GroupId> defaultGroup_;
  std::map<dns::Name, Instance> instances_;
  std::map<dns::Name, Address> addresses_;  // of each instance, the one in use
  std::map<dns::Name, dns::Name> targets_;  // by instance
  std::map<dns::Name, std::set<dns::Name>> instancesByTarget_;
  std::map<std::string, std::string> faults_;
  std::uint64_t version_ = 0;
};

}  // namespace stonebay
