#include "discovery/dnssd/record_cache.hpp"

#include <algorithm>
#include <utility>

namespace stonebay {

using dns::Name;
using dns::Question;
using dns::Record;
using dns::Type;

namespace {

constexpr Time kInitialBackoff = std::chrono::milliseconds(250);
constexpr int kMaxDoublings = 10;
constexpr double kBackoffJitter = 0.5;
constexpr double kRandomRange = 4294967296.0;  // number of values of the 32-bit generator

bool isAddress(const Question& question) { return question.type == Type::A || question.type == Type::Aaaa; }

bool isDue(const RecordSet& set, Time now) { return !set.inFlight && set.refreshAt <= now; }

Time scaled(Time time, double factor) {
  return Time(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

RecordCache::RecordCache(DnsSdSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {}

double RecordCache::randomFraction() { return static_cast<double>(random_()) / kRandomRange; }

Time RecordCache::refreshTime(Time now, std::uint32_t ttl) {
  const Time bounded =
      std::clamp<Time>(std::chrono::seconds(ttl), settings_.minRefresh, settings_.maxRefresh);
  return now + scaled(bounded, 1 - settings_.jitter * randomFraction());
}

Time RecordCache::backoff(int failures) {
  const Time doubled = kInitialBackoff * (std::int64_t{1} << std::min(failures - 1, kMaxDoublings));
  const Time maxBackoff = std::max(settings_.maxRefresh, kInitialBackoff);
  return scaled(std::min(doubled, maxBackoff), 1 - kBackoffJitter * randomFraction());
}

RecordSet& RecordCache::track(const Question& question) { return sets_[question]; }

RecordSet* RecordCache::find(const Question& question) {
  const auto it = sets_.find(question);
  return it == sets_.end() ? nullptr : &it->second;
}

const RecordSet* RecordCache::find(const Question& question) const {
  const auto it = sets_.find(question);
  return it == sets_.end() ? nullptr : &it->second;
}

void RecordCache::retain(const std::function<bool(const Question&)>& isNeeded) {
  for (auto it = sets_.begin(); it != sets_.end();)
    it = isNeeded(it->first) ? std::next(it) : sets_.erase(it);
}

void RecordCache::storePositive(Time now, const Question& question, RecordData records) {
  RecordSet& set = sets_[question];
  set.state = RecordSet::State::Known;
  set.data = std::move(records.data);
  set.refreshAt = refreshTime(now, records.ttl);
  set.attempted = true;
  set.failures = 0;
}

void RecordCache::storeNegative(Time now, const Question& question, std::uint32_t ttl) {
  RecordSet& set = sets_[question];
  markAbsent(now, set, ttl);
  set.failures = 0;
}

void RecordCache::markAbsent(Time now, RecordSet& set, std::uint32_t ttl) {
  set.state = RecordSet::State::Absent;
  set.data.clear();
  set.refreshAt = refreshTime(now, ttl);
  set.attempted = true;
}

void RecordCache::onQueryFailure(Time now, RecordSet& set) {
  set.inFlight = false;
  set.attempted = true;
  ++set.failures;
  set.refreshAt = now + backoff(set.failures);
}

std::vector<Question> RecordCache::storeAdditionals(Time now, const std::vector<Record>& records,
                                                    const Name& domain) {
  std::map<Question, RecordData> additionals;
  for (const Record& record : records) {
    const Question question{record.name, record.type};
    // Instances are added and withdrawn only by the answer section of a PTR response.
    if (record.type == Type::Ptr || sets_.count(question) == 0) continue;
    if (dns::isWithin(record.name, domain)) additionals[question].add(record);
  }
  std::vector<Question> stored;
  for (const auto& [question, set] : additionals) {
    storePositive(now, question, set);
    stored.push_back(question);
  }
  const std::vector<Question> ipv6Only = storeIpv6Only(now, records, domain, additionals);
  stored.insert(stored.end(), ipv6Only.begin(), ipv6Only.end());
  return stored;
}

// Marks the IPv4 addresses of a target as absent if the additional section has only IPv6 addresses for it,
// because that section has all addresses of a target (RFC 6763 section 12.2).
std::vector<Question> RecordCache::storeIpv6Only(Time now, const std::vector<Record>& records,
                                                 const Name& domain,
                                                 const std::map<Question, RecordData>& stored) {
  std::map<Name, RecordData> targets;
  for (const Record& record : records) {
    const Question ipv4{record.name, Type::A};
    if (record.type != Type::Aaaa || !dns::isWithin(record.name, domain)) continue;
    if (sets_.count(ipv4) > 0 && stored.count(ipv4) == 0) targets[record.name].add(record);
  }
  std::vector<Question> questions;
  for (const auto& [target, addresses] : targets) {
    const Question ipv6{target, Type::Aaaa};
    markAbsent(now, sets_[{target, Type::A}], addresses.ttl);
    storePositive(now, ipv6, addresses);
    questions.push_back(ipv6);
  }
  return questions;
}

bool RecordCache::isAnyDue(Time now) const {
  return std::any_of(sets_.begin(), sets_.end(), [&](const auto& entry) { return isDue(entry.second, now); });
}

std::vector<Question> RecordCache::due(Time now) const {
  std::vector<std::pair<Time, Question>> overdue;
  for (const auto& [question, set] : sets_)
    if (isDue(set, now)) overdue.emplace_back(set.refreshAt, question);
  std::stable_sort(overdue.begin(), overdue.end(), [](const auto& left, const auto& right) {
    if (left.first != right.first) return left.first < right.first;
    return !isAddress(left.second) && isAddress(right.second);
  });
  std::vector<Question> questions;
  questions.reserve(overdue.size());
  for (auto& [refreshAt, question] : overdue) questions.push_back(std::move(question));
  return questions;
}

std::size_t RecordCache::dueCount(Time now, Type type) const {
  return static_cast<std::size_t>(std::count_if(sets_.begin(), sets_.end(), [&](const auto& entry) {
    return entry.first.type == type && entry.second.refreshAt <= now;
  }));
}

std::size_t RecordCache::inFlightCount() const {
  return static_cast<std::size_t>(
      std::count_if(sets_.begin(), sets_.end(), [](const auto& entry) { return entry.second.inFlight; }));
}

std::optional<Time> RecordCache::nextRefreshAt() const {
  std::optional<Time> earliest;
  for (const auto& [question, set] : sets_)
    if (!set.inFlight) earliest = earliest ? std::min(*earliest, set.refreshAt) : set.refreshAt;
  return earliest;
}

bool RecordCache::allAttempted() const {
  return std::all_of(sets_.begin(), sets_.end(), [](const auto& entry) { return entry.second.attempted; });
}

}  // namespace stonebay
