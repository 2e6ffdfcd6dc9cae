#include "testbed/auditors.hpp"

#include <algorithm>

namespace stonebay::testbed {
namespace {

constexpr std::size_t kMaxDetailedViolations = 1000;
constexpr std::size_t kMaxValueBytesShown = 40;

std::string wholeMilliseconds(Time time) { return std::to_string(time.count() / 1000); }

}  // namespace

void ViolationLog::record(Time at, Rule rule, std::string description) {
  ++counts_[rule];
  if (violations_.size() < kMaxDetailedViolations) violations_.push_back({at, rule, std::move(description)});
}

std::uint64_t ViolationLog::count(Rule rule) const {
  const auto it = counts_.find(rule);
  return it == counts_.end() ? 0 : it->second;
}

void DrainAuditor::onListing(Time at, int proxy, int endpoint, bool listed) {
  const ProxyAndEndpoint key{proxy, endpoint};
  const auto known = isListed_.find(key);
  if (known != isListed_.end() && known->second == listed) return;
  isListed_[key] = listed;
  if (listed) {
    unlistedSince_.erase(key);
  } else {
    unlistedSince_[key] = at;
  }
  ListingRecord record;
  record.at = at;
  record.proxy = proxy;
  record.endpoint = endpoint;
  record.listed = listed;
  const auto withdrawal = withdrawnAt_.find(endpoint);
  if (!listed && withdrawal != withdrawnAt_.end()) record.sinceWithdrawal = at - withdrawal->second;
  listings_.push_back(record);
}

void DrainAuditor::onAttempt(const AttemptRecord& attempt) {
  const auto unlisted = unlistedSince_.find({attempt.proxy, attempt.endpoint});
  if (unlisted == unlistedSince_.end()) return;
  const Time sinceNotified = attempt.at - unlisted->second;
  if (sinceNotified <= settings_.drainGrace) {
    ++attemptsWithinGrace_;
    return;
  }
  log_.record(attempt.at, Rule::NoAttemptAfterWithdrawal,
              "attempt sent to server " + std::to_string(attempt.endpoint) + " by proxy " +
                  std::to_string(attempt.proxy) + ", " + wholeMilliseconds(sinceNotified) +
                  " ms after it was notified of the withdrawal");
}

void StalenessAuditor::onAttempt(const AttemptRecord& attempt) {
  if (!attempt.isRead || attempt.maxStaleness <= Time(0)) return;
  if (attempt.dataAge <= attempt.maxStaleness + settings_.stalenessTolerance) return;
  log_.record(attempt.at, Rule::NoStaleRead,
              "id " + attempt.id + ": data " + wholeMilliseconds(attempt.dataAge) + " ms old, " +
                  wholeMilliseconds(attempt.maxStaleness) + " ms allowed");
}

void ConcurrencyAuditor::onAttempt(const AttemptRecord& attempt) {
  auto& attempts = inFlight_[attempt.id];
  for (InFlightAttempt& earlier : attempts) {
    if (earlier.overlappedAt) continue;
    earlier.overlappedAt = attempt.at;
    overlaps_.push_back({attempt.at, attempt.id});
  }
  attempts.push_back({attempt.token, attempt.endpoint, std::nullopt});
  requestIds_[attempt.token] = attempt.id;
}

bool ConcurrencyAuditor::onAttemptEnded(std::uint64_t token) {
  const auto request = requestIds_.find(token);
  if (request == requestIds_.end()) return false;
  const auto it = inFlight_.find(request->second);
  if (it != inFlight_.end()) {
    auto& attempts = it->second;
    const auto hasToken = [token](const InFlightAttempt& attempt) { return attempt.token == token; };
    attempts.erase(std::remove_if(attempts.begin(), attempts.end(), hasToken), attempts.end());
    if (attempts.empty()) inFlight_.erase(it);
  }
  requestIds_.erase(request);
  return true;
}

void ConcurrencyAuditor::judgeOverlaps(Time now) {
  std::vector<Overlap> undecided;
  for (Overlap& overlap : overlaps_) {
    if (now - overlap.at <= settings_.cancelDetectionDelay)
      undecided.push_back(std::move(overlap));
    else
      judge(overlap);
  }
  overlaps_ = std::move(undecided);
}

void ConcurrencyAuditor::judge(const Overlap& overlap) {
  const auto it = inFlight_.find(overlap.id);
  if (it == inFlight_.end()) return;
  for (const InFlightAttempt& attempt : it->second)
    if (attempt.overlappedAt == overlap.at)
      log_.record(overlap.at, Rule::NoConcurrentAttempts,
                  "id " + overlap.id + ": another attempt is still in flight at server " +
                      std::to_string(attempt.endpoint));
}

void IdempotencyAuditor::onWriteApplied(Time at, const std::string& key, Time deduplicationWindow) {
  const auto [it, isFirst] = appliedAt_.emplace(key, at);
  if (isFirst) return;
  log_.record(at, Rule::NoDuplicateEffect,
              "key " + key + " took effect twice, " + wholeMilliseconds(at - it->second) +
                  " ms apart; the deduplication window is " + wholeMilliseconds(deduplicationWindow) + " ms");
}

void OverloadAuditor::onCrash(Time at, int endpoint) {
  log_.record(at, Rule::NoOverloadCrash, "server " + std::to_string(endpoint) + " crashed from overload");
}

void OverloadAuditor::onPeakOverload(double overload) { peakOverload_ = std::max(peakOverload_, overload); }

void RequestEndAuditor::onEnd(Time at, const std::string& id) {
  const auto it = requests_.find(id);
  if (it != requests_.end()) it->second.endedAt = std::min(it->second.endedAt, at);
}

void RequestEndAuditor::onAttempt(const AttemptRecord& attempt) {
  attempted_.insert(attempt.id);
  const auto it = requests_.find(attempt.id);
  if (it == requests_.end()) return;
  const Time sinceEnd = attempt.at - it->second.endedAt;
  if (sinceEnd > settings_.requestEndTolerance)
    log_.record(attempt.at, Rule::NoAttemptAfterEnd,
                "id " + attempt.id + ": an attempt began " + wholeMilliseconds(sinceEnd) +
                    " ms after the request ended");
  const Time excess = attempt.sentDeadline - it->second.deadline;
  if (excess > settings_.deadlineTolerance)
    log_.record(attempt.at, Rule::NoAttemptAfterEnd,
                "id " + attempt.id + ": the deadline sent with the attempt is " + wholeMilliseconds(excess) +
                    " ms later than the client's");
}

void ResponseAuditor::onResponse(const ResponseEvent& response) {
  const ResponseRecord& record = response.record;
  const auto it = pending_.find(record.id);
  if (it == pending_.end()) {
    ++unexpectedResponses_;
    return;
  }
  pending_.erase(it);
  totalWeight_ += response.priorityWeight;
  earnedWeight_ += response.earnedWeight;
  ++counts_[record.result];
  if (response.onTime) ++onTime_;
  if (record.result == RequestResult::Served && response.value != "v-" + record.id)
    log_.record(record.at, Rule::OneCorrectResponse,
                "id " + record.id + " was served '" + response.value.substr(0, kMaxValueBytesShown) + "'");
  if (record.result == RequestResult::Unanswered)
    log_.record(record.at, Rule::OneCorrectResponse, "id " + record.id + ": no response before the deadline");
  responses_.push_back(record);
}

std::size_t ResponseAuditor::count(RequestResult result) const {
  const auto it = counts_.find(result);
  return it == counts_.end() ? 0 : it->second;
}

}  // namespace stonebay::testbed
