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

constexpr std::size_t kMaxInstances = 4096;  // bounds the memory that a response can allocate
constexpr std::size_t kMaxInFlight = 16;     // queries for single record sets
// TCP is used if a PTR response lacks the records of more instances than this.
constexpr std::size_t kMaxMissingOverUdp = 3;
// Number of PTR responses until TCP is tried again after it failed or brought no more records than UDP.
constexpr int kPtrResponsesWithoutTcp = 20;

Name requireName(const std::string& text) {
  const auto name = dns::parseName(text);
  if (!name) throw InvalidInput("'" + text + "' is not a domain name");
  return *name;
}

}  // namespace

Directory::Directory(const DnsSdSettings& settings, const std::vector<GroupName>& groups, std::uint64_t seed)
    : settings_(settings),
      ptrQuestion_{requireName(settings.service + "." + settings.domain), Type::Ptr},
      domain_(requireName(settings.domain)),
      records_(settings, seed),
      assembler_(records_, groups, settings.defaultGroup),
      budget_(settings.queriesPerSecond) {
  records_.track(ptrQuestion_);
}

std::vector<Directory::Query> Directory::dueQueries(Time now) {
  RecordSet& ptrRecords = *records_.find(ptrQuestion_);
  if (ptrRecords.inFlight) return {};
  if (ptrRecords.refreshAt <= now || isCombinedRefreshDue(now)) {
    ptrRecords.inFlight = true;
    return {{ptrQuestion_, ptrOverTcp_}};
  }
  if (ptrFailures_ > 0) return {};  // the same servers would fail other queries, too
  return dueRecordQueries(now);
}

// Returns true if a PTR query should be sent to refresh the record sets that are due, because its response
// has all of them. A record set that is still due shortly after a PTR response would not be refreshed by
// another one.
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
  const RecordSet& ptrRecords = *records_.find(ptrQuestion_);
  if (ptrRecords.inFlight) return std::nullopt;
  if (ptrFailures_ > 0) return ptrRecords.refreshAt;
  // Queries for single record sets are sent only when the budget allows it.
  const Time nextRefreshAt = records_.nextRefreshAt().value_or(ptrRecords.refreshAt);
  return std::min(ptrRecords.refreshAt, std::max(nextRefreshAt, budget_.availableAt()));
}

void Directory::onResponse(Time now, const Question& question, const Message& message, bool overTcp) {
  RecordSet* const set = records_.find(question);
  if (!set) return;  // belongs to an instance that has been withdrawn in the meantime
  const ResponseKind kind = classify(question, message);
  if (kind == ResponseKind::Unusable) return onFailure(now, question);
  set->inFlight = false;
  if (question == ptrQuestion_) return onPtrResponse(now, kind, message, overTcp);
  if (kind == ResponseKind::Positive)
    records_.storePositive(now, question, answersTo(question, message));
  else
    records_.storeNegative(now, question, negativeTtl(message));
  assembler_.update(question);
  // The response may name a target whose addresses are in its additional section.
  for (const Question& stored : records_.storeAdditionals(now, message.additionals, domain_))
    assembler_.update(stored);
}

void Directory::onPtrResponse(Time now, ResponseKind kind, const Message& message, bool overTcp) {
  ptrFailures_ = 0;
  ptrRespondedAt_ = now;
  RecordData names = acceptListedNames(message);
  if (kind == ResponseKind::Positive)
    records_.storePositive(now, ptrQuestion_, std::move(names));
  else
    records_.storeNegative(now, ptrQuestion_, negativeTtl(message));
  const std::vector<Name> listed = listedNames();
  for (const Name& instance : listed)
    for (const Type type : {Type::Srv, Type::Txt}) records_.track({instance, type});
  // The first iteration stores the records of the instances. Their targets are tracked from then on, so that
  // the second iteration can store the addresses of the targets.
  for (int iteration = 0; iteration < 2; ++iteration) {
    records_.storeAdditionals(now, message.additionals, domain_);
    assembler_.updateAll(listed);
  }
  forgetUnlisted(listed);
  hadAllRecords_ = responseHadAllRecords();
  chooseTransport(now, overTcp);
}

// Returns the valid instance names of a PTR response, without duplicates. Records the invalid ones as faults.
RecordData Directory::acceptListedNames(const Message& message) {
  RecordData names;
  names.ttl = 0;
  std::set<Name> seen;
  std::map<std::string, std::string> faults;
  for (const Record& record : message.answers) {
    if (record.type != Type::Ptr || record.name != ptrQuestion_.name) continue;
    const Name* const name = std::get_if<Name>(&record.data);
    if (!name) continue;
    names.ttl = names.data.empty() ? record.ttl : std::min(names.ttl, record.ttl);
    if (!dns::isWithin(*name, ptrQuestion_.name) || *name == ptrQuestion_.name)
      faults[*name] = "the PTR record does not name an instance of the service";
    else if (names.data.size() < kMaxInstances && seen.insert(*name).second)
      names.data.emplace_back(*name);
  }
  assembler_.resetFaults(std::move(faults));
  return names;
}

// Chooses the transport of the next PTR query by the number of instances whose records this response lacks.
void Directory::chooseTransport(Time now, bool overTcp) {
  if (ptrResponsesUntilTcp_ > 0) --ptrResponsesUntilTcp_;
  const bool lacksManyRecords = records_.dueCount(now, Type::Srv) > kMaxMissingOverUdp;
  if (overTcp) {
    ptrOverTcp_ = true;
    if (lacksManyRecords) stopUsingTcp();  // TCP brings no more records than UDP
  } else if (lacksManyRecords && ptrResponsesUntilTcp_ == 0) {
    ptrOverTcp_ = true;
    records_.find(ptrQuestion_)->refreshAt = now;
  }
}

void Directory::stopUsingTcp() {
  ptrOverTcp_ = false;
  ptrResponsesUntilTcp_ = kPtrResponsesWithoutTcp;
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
  if (question != ptrQuestion_) return;
  ptrFailures_ = set->failures;
  if (ptrOverTcp_) stopUsingTcp();
}

void Directory::forgetUnlisted(const std::vector<Name>& listed) {
  const std::set<Name> names(listed.begin(), listed.end());
  assembler_.forgetUnlisted(names);
  records_.retain([&](const Question& question) { return isNeeded(question, names); });
}

bool Directory::isNeeded(const Question& question, const std::set<Name>& listed) const {
  if (question == ptrQuestion_) return true;
  switch (question.type) {
    case Type::A:
      return assembler_.isTarget(question.name);
    case Type::Aaaa: {  // queried only if there is no IPv4 address
      const RecordSet* const ipv4 = records_.find({question.name, Type::A});
      return assembler_.isTarget(question.name) && ipv4 != nullptr && ipv4->state == RecordSet::State::Absent;
    }
    default:
      return listed.count(question.name) > 0;
  }
}

bool Directory::isInitialized() {
  const bool hasPtrRecords = records_.find(ptrQuestion_)->state != RecordSet::State::Unknown;
  initialized_ = initialized_ || (hasPtrRecords && records_.allAttempted());
  return initialized_;
}

std::vector<Name> Directory::listedNames() const {
  std::vector<Name> names;
  for (const Data& data : records_.find(ptrQuestion_)->data) names.push_back(std::get<Name>(data));
  return names;
}

}  // namespace stonebay
