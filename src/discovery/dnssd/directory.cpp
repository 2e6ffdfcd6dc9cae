#include "discovery/dnssd/directory.hpp"

#include <algorithm>
#include <utility>

namespace stonebay {

using dns::Data;
using dns::Message;
using dns::Name;
using dns::Question;
using dns::Record;
using dns::Type;

namespace {

constexpr std::size_t kMaxInstances = 4096;  // bounds the memory that a response can claim
constexpr std::size_t kMaxInFlight = 16;     // queries for single record sets
// A PTR response that lacks the records of more instances than this is worth a TCP connection.
constexpr std::size_t kMaxMissingOverUdp = 3;
constexpr int kRoundsWithoutTcp = 20;  // after TCP has failed or brought no more than a datagram

Name requireName(const std::string& text) {
  const auto name = dns::parseName(text);
  if (!name) throw InvalidInput("'" + text + "' is no domain name");
  return *name;
}

}  // namespace

Directory::Directory(const DnsSdSettings& settings, const std::vector<GroupName>& groups, std::uint64_t seed)
    : settings_(settings),
      ptr_{requireName(settings.service + "." + settings.domain), Type::Ptr},
      domain_(requireName(settings.domain)),
      records_(settings, seed),
      assembler_(records_, groups, settings.defaultGroup),
      budget_(settings.queriesPerSecond) {
  records_.track(ptr_);
}

std::vector<Directory::Query> Directory::dueQueries(Time now) {
  RecordSet& list = *records_.find(ptr_);
  if (list.inFlight) return {};
  if (list.refreshAt <= now || isCombinedRefreshDue(now)) {
    list.inFlight = true;
    return {{ptr_, ptrOverTcp_}};
  }
  if (ptrFailures_ > 0) return {};  // the same servers would fail for these, too
  return dueRecordQueries(now);
}

// Whether the PTR query is to refresh a record set that is due, as its response has all of them. Not right
// after the last one, which did not help then.
bool Directory::isCombinedRefreshDue(Time now) const {
  const bool combined = hadAllRecords_ && ptrFailures_ == 0;
  return combined && now - ptrRespondedAt_ >= settings_.minRefresh / 2 && records_.isAnyDue(now);
}

std::vector<Directory::Query> Directory::dueRecordQueries(Time now) {
  std::vector<Query> queries;
  std::size_t inFlight = records_.inFlightCount();
  for (const Question& question : records_.due(now)) {
    if (inFlight >= kMaxInFlight || !budget_.take(now)) break;
    records_.find(question)->inFlight = true;
    ++inFlight;
    queries.push_back({question, false});
  }
  return queries;
}

std::optional<Time> Directory::nextDeadline() const {
  const RecordSet& list = *records_.find(ptr_);
  if (list.inFlight) return std::nullopt;
  if (ptrFailures_ > 0) return list.refreshAt;
  // Queries for single record sets wait for the budget.
  const Time nextRefreshAt = records_.nextRefreshAt().value_or(list.refreshAt);
  return std::min(list.refreshAt, std::max(nextRefreshAt, budget_.availableAt()));
}

void Directory::onResponse(Time now, const Question& question, const Message& message, bool overTcp) {
  RecordSet* const set = records_.find(question);
  if (!set) return;  // of an instance that has been withdrawn meanwhile
  const ResponseKind kind = classify(question, message);
  if (kind == ResponseKind::Unusable) return onFailure(now, question);
  set->inFlight = false;
  if (question == ptr_) return onPtrResponse(now, kind, message, overTcp);
  if (kind == ResponseKind::Positive)
    records_.storePositive(now, question, answersTo(question, message));
  else
    records_.storeNegative(now, question, negativeTtl(message));
  assembler_.update(question);
  // The response may have named a target whose addresses are among its additionals.
  for (const Question& stored : records_.storeAdditionals(now, message.additionals, domain_))
    assembler_.update(stored);
}

void Directory::onPtrResponse(Time now, ResponseKind kind, const Message& message, bool overTcp) {
  ptrFailures_ = 0;
  ptrRespondedAt_ = now;
  RecordData names = acceptListedNames(message);
  if (kind == ResponseKind::Positive)
    records_.storePositive(now, ptr_, std::move(names));
  else
    records_.storeNegative(now, ptr_, negativeTtl(message));
  const std::vector<Name> listed = listedNames();
  for (const Name& instance : listed)
    for (const Type type : {Type::Srv, Type::Txt}) records_.track({instance, type});
  // First the records of the instances, then the addresses of the targets that these have made known.
  for (int pass = 0; pass < 2; ++pass) {
    records_.storeAdditionals(now, message.additionals, domain_);
    assembler_.updateAll(listed);
  }
  forgetUnlisted(listed);
  hadAllRecords_ = responseHadAllRecords();
  chooseTransport(now, overTcp);
}

// The valid instance names of a PTR response, without duplicates. The others become faults.
RecordData Directory::acceptListedNames(const Message& message) {
  RecordData names;
  names.ttl = 0;
  std::set<Name> seen;
  std::map<std::string, std::string> faults;
  for (const Record& record : message.answers) {
    if (record.type != Type::Ptr || record.name != ptr_.name) continue;
    const Name* const name = std::get_if<Name>(&record.data);
    if (!name) continue;
    names.ttl = names.data.empty() ? record.ttl : std::min(names.ttl, record.ttl);
    if (!dns::isWithin(*name, ptr_.name) || *name == ptr_.name)
      faults[*name] = "named by PTR, and no instance of the service";
    else if (names.data.size() < kMaxInstances && seen.insert(*name).second)
      names.data.emplace_back(*name);
  }
  assembler_.resetFaults(std::move(faults));
  return names;
}

// Chooses the transport of the next PTR query by the number of instances whose records this response lacked.
void Directory::chooseTransport(Time now, bool overTcp) {
  if (roundsWithoutTcp_ > 0) --roundsWithoutTcp_;
  const bool lacksMany = records_.dueCount(now, Type::Srv) > kMaxMissingOverUdp;
  if (overTcp) {
    ptrOverTcp_ = true;
    if (lacksMany) stopUsingTcp();  // it brings no more than a datagram
  } else if (lacksMany && roundsWithoutTcp_ == 0) {
    ptrOverTcp_ = true;
    records_.find(ptr_)->refreshAt = now;
  }
}

void Directory::stopUsingTcp() {
  ptrOverTcp_ = false;
  roundsWithoutTcp_ = kRoundsWithoutTcp;
}

bool Directory::responseHadAllRecords() const {
  const std::vector<Name> listed = listedNames();
  const auto isFresh = [&](const Name& instance) {
    const RecordSet* const srv = records_.find({instance, Type::Srv});
    return srv != nullptr && srv->refreshAt > ptrRespondedAt_;
  };
  return !listed.empty() && std::all_of(listed.begin(), listed.end(), isFresh);
}

void Directory::onFailure(Time now, const Question& question) {
  RecordSet* const set = records_.find(question);
  if (!set) return;
  records_.onQueryFailure(now, *set);
  if (question != ptr_) return;
  ptrFailures_ = set->failures;
  if (ptrOverTcp_) stopUsingTcp();
}

void Directory::forgetUnlisted(const std::vector<Name>& listed) {
  const std::set<Name> names(listed.begin(), listed.end());
  assembler_.forgetUnlisted(names);
  records_.retain([&](const Question& question) { return isNeeded(question, names); });
}

bool Directory::isNeeded(const Question& question, const std::set<Name>& listed) const {
  if (question == ptr_) return true;
  switch (question.type) {
    case Type::A:
      return assembler_.isTarget(question.name);
    case Type::Aaaa: {  // queried only where there is no IPv4 address
      const RecordSet* const ipv4 = records_.find({question.name, Type::A});
      return assembler_.isTarget(question.name) && ipv4 != nullptr && ipv4->state == RecordSet::State::Absent;
    }
    default:
      return listed.count(question.name) > 0;
  }
}

bool Directory::isInitialized() {
  const bool hasList = records_.find(ptr_)->state != RecordSet::State::Unknown;
  initialized_ = initialized_ || (hasList && records_.allAttempted());
  return initialized_;
}

std::vector<Name> Directory::listedNames() const {
  std::vector<Name> names;
  for (const Data& data : records_.find(ptr_)->data) names.push_back(std::get<Name>(data));
  return names;
}

}  // namespace stonebay
