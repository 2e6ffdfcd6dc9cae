#include "discovery/dnssd/instance_assembler.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "discovery/dnssd/txt_record.hpp"

namespace stonebay {

using dns::Data;
using dns::Name;
using dns::Type;

namespace {

constexpr int kMaxSrvWeight = 65535;

// Orders SRV records by lowest priority, then by greatest weight (RFC 2782). Ties are broken by target and
// port, so that all proxies select the same target.
auto rank(const dns::Srv& srv) {
  return std::make_tuple(srv.priority, kMaxSrvWeight - srv.weight, srv.target, srv.port);
}

// Returns null if the service is not available at any target (RFC 2782: target ".").
const dns::Srv* selectTarget(const std::vector<Data>& records) {
  const dns::Srv* best = nullptr;
  for (const Data& data : records) {
    const auto& srv = std::get<dns::Srv>(data);
    if (best == nullptr || rank(srv) < rank(*best)) best = &srv;
  }
  const bool available = best != nullptr && best->target != "." && best->port != 0;
  return available ? best : nullptr;
}

std::vector<std::string> joinStrings(const std::vector<Data>& records) {
  std::vector<std::string> joined;
  for (const Data& data : records) {
    const auto& strings = std::get<dns::Strings>(data);
    joined.insert(joined.end(), strings.begin(), strings.end());
  }
  return joined;
}

}  // namespace

InstanceAssembler::InstanceAssembler(RecordCache& records, std::vector<GroupName> groups,
                                     std::optional<GroupId> defaultGroup)
    : records_(records), groups_(std::move(groups)), defaultGroup_(defaultGroup) {}

InstanceAssembler::Assembly InstanceAssembler::assemble(const Name& name) {
  const RecordSet& srv = records_.track({name, Type::Srv});
  const RecordSet& txt = records_.track({name, Type::Txt});
  const dns::Srv* const target = selectTarget(srv.data);
  setTarget(name, target ? target->target : Name());
  if (!target) {
    if (srv.state == RecordSet::State::Unknown) return {};
    if (srv.state == RecordSet::State::Absent) return {std::nullopt, "it has no SRV record"};
    return {std::nullopt, "its SRV record says that the service is not available"};
  }
  const RecordSet& addresses = addressRecords(target->target);
  if (addresses.state == RecordSet::State::Unknown) return {};
  if (addresses.state == RecordSet::State::Absent)
    return {std::nullopt, "its target " + target->target + " has no address"};
  const Address address = selectAddress(name, addresses.data, target->port);
  if (txt.state == RecordSet::State::Unknown) return {};
  Instance instance;
  instance.name = dns::firstLabel(name);
  instance.address = address;
  if (const auto error = parseTxt(joinStrings(txt.data), groups_, defaultGroup_, instance))
    return {std::nullopt, "TXT: " + error->message};
  return {std::move(instance), ""};
}

// Returns the IPv4 addresses of the target, or its IPv6 addresses if it has no IPv4 address.
const RecordSet& InstanceAssembler::addressRecords(const Name& target) {
  const RecordSet& ipv4 = records_.track({target, Type::A});
  return ipv4.state == RecordSet::State::Absent ? records_.track({target, Type::Aaaa}) : ipv4;
}

// Selects one of the target's addresses, which all lead to the same server. A selected address is kept as
// long as it is listed.
const Address& InstanceAssembler::selectAddress(const Name& instance, const std::vector<Data>& records,
                                                std::uint16_t port) {
  std::vector<std::string> candidates;
  candidates.reserve(records.size());
  for (const Data& data : records) candidates.push_back(std::get<dns::Bytes>(data).bytes);
  std::sort(candidates.begin(), candidates.end());
  Address& selected = addresses_[instance];
  const bool listed = std::any_of(candidates.begin(), candidates.end(), [&](const std::string& bytes) {
    return Address::fromBytes(bytes, port) == selected;
  });
  if (!listed) selected = Address::fromBytes(candidates.front(), port);
  return selected;
}

void InstanceAssembler::setTarget(const Name& instance, const Name& target) {
  Name& current = targets_[instance];
  if (current == target) return;
  if (!current.empty()) removeFromTarget(instance, current);
  if (!target.empty()) instancesByTarget_[target].insert(instance);
  current = target;
}

void InstanceAssembler::removeFromTarget(const Name& instance, const Name& target) {
  const auto it = instancesByTarget_.find(target);
  if (it == instancesByTarget_.end()) return;
  it->second.erase(instance);
  if (it->second.empty()) instancesByTarget_.erase(it);
}

void InstanceAssembler::updateInstance(const Name& name) {
  Assembly assembly = assemble(name);
  const bool pending = !assembly.instance && assembly.fault.empty();
  const bool instanceChanged = !pending && storeInstance(name, std::move(assembly.instance));
  const bool faultChanged = storeFault(name, assembly.fault);
  if (instanceChanged || faultChanged) ++version_;
}

// Returns false if nothing has changed. std::nullopt removes the instance.
bool InstanceAssembler::storeInstance(const Name& name, std::optional<Instance> instance) {
  const auto it = instances_.find(name);
  if (!instance) {
    if (it == instances_.end()) return false;
    instances_.erase(it);
    return true;
  }
  if (it != instances_.end() && it->second == *instance) return false;
  instances_[name] = std::move(*instance);
  return true;
}

// Returns false if nothing has changed. An empty fault means that there is none.
bool InstanceAssembler::storeFault(const Name& name, const std::string& fault) {
  const auto it = faults_.find(name);
  const bool same = it == faults_.end() ? fault.empty() : it->second == fault;
  if (same) return false;
  if (fault.empty())
    faults_.erase(it);
  else
    faults_[name] = fault;
  return true;
}

void InstanceAssembler::update(const dns::Question& question) {
  if (question.type == Type::Srv || question.type == Type::Txt) return updateInstance(question.name);
  const auto it = instancesByTarget_.find(question.name);
  if (it == instancesByTarget_.end()) return;
  const std::set<Name> affected = it->second;  // a copy, because the update may change instancesByTarget_
  for (const Name& instance : affected) updateInstance(instance);
}

void InstanceAssembler::updateAll(const std::vector<Name>& listed) {
  ++version_;
  const std::set<Name> names(listed.begin(), listed.end());
  for (auto it = instances_.begin(); it != instances_.end();)
    it = names.count(it->first) > 0 ? std::next(it) : instances_.erase(it);
  for (const Name& instance : listed) updateInstance(instance);
}

void InstanceAssembler::forgetUnlisted(const std::set<Name>& listed) {
  for (auto it = targets_.begin(); it != targets_.end();) {
    if (listed.count(it->first) > 0) {
      ++it;
      continue;
    }
    removeFromTarget(it->first, it->second);
    it = targets_.erase(it);
  }
  for (auto it = addresses_.begin(); it != addresses_.end();)
    it = listed.count(it->first) > 0 ? std::next(it) : addresses_.erase(it);
}

std::vector<Instance> InstanceAssembler::instances() const {
  std::vector<Instance> all;
  all.reserve(instances_.size());
  for (const auto& [name, instance] : instances_) all.push_back(instance);
  return all;
}

}  // namespace stonebay
