#include "testbed/audit.hpp"

#include "testbed/quantiles.hpp"

namespace stonebay::testbed {
namespace {

void addQuantilesOf(const Quantiles& quantiles, const std::string& prefix, Figures& figures) {
  if (quantiles.count() == 0) return;
  figures[prefix + "p50_ms"] = quantiles.at(0.5);
  figures[prefix + "p90_ms"] = quantiles.at(0.9);
  figures[prefix + "p99_ms"] = quantiles.at(0.99);
  figures[prefix + "max_ms"] = quantiles.max();
}

}  // namespace

RunAudit::RunAudit(const AuditSettings& settings)
    : settings_(settings),
      drain_(settings, log_),
      staleness_(settings, log_),
      concurrency_(settings, log_),
      idempotency_(log_),
      overload_(log_),
      requestEnds_(settings, log_),
      responseAuditor_(log_) {}

std::uint64_t RunAudit::onAttempt(AttemptRecord attempt) {
  concurrency_.judgeOverlaps(attempt.at);
  attempt.token = attempts_.size() + 1;
  drain_.onAttempt(attempt);
  staleness_.onAttempt(attempt);
  concurrency_.onAttempt(attempt);
  requestEnds_.onAttempt(attempt);
  attempts_.push_back(std::move(attempt));
  return attempts_.back().token;
}

void RunAudit::onAttemptEnded(Time at, std::uint64_t token, bool served) {
  concurrency_.judgeOverlaps(at);
  const bool wasInFlight = concurrency_.onAttemptEnded(token);
  if (wasInFlight && served) ++attemptsServed_;
}

void RunAudit::onResponse(const ResponseEvent& response) {
  requestEnds_.onEnd(response.record.at, response.record.id);
  responseAuditor_.onResponse(response);
}

void RunAudit::onClientLeft(Time at, const std::string& id) {
  ++clientsLeft_;
  requestEnds_.onEnd(at, id);
}

// Counts only requests that had an attempt, which shows that the proxy had read them. The proxy may close a
// connection while a request that it has not read is on its way.
void RunAudit::onClosedUnanswered(Time at, const std::string& id, bool isExcused) {
  if (isExcused || !requestEnds_.hadAttempt(id)) return;
  log_.record(at, Rule::OneCorrectResponse,
              "id " + id + ": the proxy closed the connection without a response");
}

void RunAudit::finish(Time now) {
  concurrency_.judgeOverlaps(now + settings_.cancelDetectionDelay + Time(1));
}

Figures RunAudit::figures() const {
  Figures figures;
  addCounts(figures);
  addQuantiles(figures);
  return figures;
}

void RunAudit::addCounts(Figures& figures) const {
  for (const Rule rule :
       {Rule::NoAttemptAfterWithdrawal, Rule::NoStaleRead, Rule::NoConcurrentAttempts,
        Rule::NoDuplicateEffect, Rule::NoOverloadCrash, Rule::NoAttemptAfterEnd, Rule::OneCorrectResponse})
    figures[figureName(rule)] = static_cast<double>(log_.count(rule));
  for (const RequestResult result : {RequestResult::Served, RequestResult::Rejected, RequestResult::Failed,
                                     RequestResult::Late, RequestResult::Unanswered})
    figures[resultName(result)] = static_cast<double>(count(result));
  const auto requests = static_cast<double>(responseAuditor_.requests());
  const auto attempts = static_cast<double>(attempts_.size());
  figures["requests"] = requests;
  figures["on_time"] = static_cast<double>(responseAuditor_.onTime());
  figures["extra_answers"] = static_cast<double>(responseAuditor_.unexpectedResponses());
  figures["worth_share"] = responseAuditor_.earnedShare();
  figures["served_share"] = requests > 0 ? figures[resultName(RequestResult::Served)] / requests : 0;
  figures["sends"] = attempts;
  figures["sends_in_grace"] = static_cast<double>(drain_.attemptsWithinGrace());
  figures["attempts_per_request"] = requests > 0 ? attempts / requests : 0;
  figures["attempts_served"] = static_cast<double>(attemptsServed_);
  figures["clients_left"] = static_cast<double>(clientsLeft_);
  figures["probes"] = static_cast<double>(healthChecks_);
  figures["worst_cold_multiple"] = overload_.peakOverload();
}

void RunAudit::addQuantiles(Figures& figures) const {
  Quantiles latency;
  for (const ResponseRecord& response : responses())
    if (response.result == RequestResult::Served) latency.add(toMilliseconds(response.latency));
  Quantiles notificationDelay;
  for (const ListingRecord& listing : listings())
    if (listing.sinceWithdrawal && *listing.sinceWithdrawal >= Time(0))
      notificationDelay.add(toMilliseconds(*listing.sinceWithdrawal));
  addQuantilesOf(latency, "", figures);
  addQuantilesOf(notificationDelay, "told_", figures);
  figures["withdrawals_told"] = static_cast<double>(notificationDelay.count());
}

}  // namespace stonebay::testbed
