// Assembles instances from the SRV, TXT and address records that describe them.
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

/// Assembles the instances of a service (RFC 6763 sections 4 to 6) from the records in a RecordCache, and
/// makes the cache track the records that it needs. If a record has not been queried yet, its instance keeps
/// its last state. Pure.
class InstanceAssembler {
 public:
  /// `records` must outlive the assembler.
  InstanceAssembler(RecordCache& records, std::vector<GroupName> groups, std::optional<GroupId> defaultGroup);

  /// Reassembles all listed instances and removes the others.
  void updateAll(const std::vector<dns::Name>& listed);
  /// Reassembles the instances that use the record set of this question.
  void update(const dns::Question& question);
  /// Drops the targets and selected addresses of instances that are not listed.
  void forgetUnlisted(const std::set<dns::Name>& listed);

  /// Returns true if the selected SRV record of some instance has this target.
  bool isTarget(const dns::Name& name) const { return instancesByTarget_.count(name) > 0; }
  /// Returns the instances whose records are complete and valid.
  std::vector<Instance> instances() const;
  /// Returns why the other instances are not usable, by name; for operators.
  const std::map<std::string, std::string>& faults() const { return faults_; }
  void resetFaults(std::map<std::string, std::string> faults) { faults_ = std::move(faults); }
  /// Returns a number that changes whenever instances() or faults() may have changed.
  std::uint64_t version() const { return version_; }

 private:
  // An instance or, if its records are not usable, the fault. Neither is set while a record has yet to be
  // queried.
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
  std::map<dns::Name, Address> addresses_;  // selected address, by instance
  std::map<dns::Name, dns::Name> targets_;  // SRV target, by instance; empty: none
  std::map<dns::Name, std::set<dns::Name>> instancesByTarget_;
  std::map<std::string, std::string> faults_;  // by name
  std::uint64_t version_ = 0;
};

}  // namespace stonebay
