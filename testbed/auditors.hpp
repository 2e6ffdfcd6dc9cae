// The auditors: one class for each rule that a proxy must keep. They do no I/O and read no clock; the caller
// passes each event with its time, in chronological order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "testbed/audit_records.hpp"

namespace stonebay::testbed {

/// Tolerances of the auditors.
struct AuditSettings {
  /// How long after a reported withdrawal a proxy may still send attempts to the endpoint: 1 s, plus 50 ms
  /// for socket delays.
  Time drainGrace = std::chrono::milliseconds(1050);
  /// Maximum delay until an endpoint observes that the proxy closed a connection to cancel an attempt.
  Time cancelDetectionDelay = std::chrono::milliseconds(20);
  /// Maximum delay between the proxy's send and the time at which the endpoint observes it.
  Time stalenessTolerance = std::chrono::milliseconds(5);
  /// How long after the end of its request an attempt may still begin: 100 ms, plus 50 ms for socket delays.
  Time requestEndTolerance = std::chrono::milliseconds(150);
  /// Maximum amount by which the deadline sent with an attempt may exceed the client's deadline.
  Time deadlineTolerance = std::chrono::milliseconds(150);
};

/// Counts all violations and keeps the descriptions of the first 1,000.
class ViolationLog {
 public:
  void record(Time at, Rule rule, std::string description);
  std::uint64_t count(Rule rule) const;
  const std::vector<Violation>& violations() const { return violations_; }

 private:
  std::map<Rule, std::uint64_t> counts_;
  std::vector<Violation> violations_;
};

/// Checks that a proxy sends no attempt to an endpoint once the grace period after the endpoint's reported
/// withdrawal has passed.
class DrainAuditor {
 public:
  DrainAuditor(const AuditSettings& settings, ViolationLog& log) : settings_(settings), log_(log) {}

  /// Called when an endpoint is withdrawn, before the proxies are notified.
  void onWithdrawn(Time at, int endpoint) { withdrawnAt_[endpoint] = at; }
  /// Called when a proxy is notified of an endpoint's state. Does nothing if the state has not changed.
  void onListing(Time at, int proxy, int endpoint, bool listed);
  void onAttempt(const AttemptRecord& attempt);

  std::uint64_t attemptsWithinGrace() const { return attemptsWithinGrace_; }
  const std::vector<ListingRecord>& listings() const { return listings_; }

 private:
  using ProxyAndEndpoint = std::pair<int, int>;
  const AuditSettings settings_;
  ViolationLog& log_;
  std::map<ProxyAndEndpoint, Time> unlistedSince_;
  std::map<ProxyAndEndpoint, bool> isListed_;
  std::map<int, Time> withdrawnAt_;
  std::vector<ListingRecord> listings_;
  std::uint64_t attemptsWithinGrace_ = 0;
};

/// Checks that no read is sent to an endpoint whose data is older than the request class allows.
class StalenessAuditor {
 public:
  StalenessAuditor(const AuditSettings& settings, ViolationLog& log) : settings_(settings), log_(log) {}
  void onAttempt(const AttemptRecord& attempt);

 private:
  const AuditSettings settings_;
  ViolationLog& log_;
};

/// Checks that no request has two attempts in flight. An attempt that is still in flight when the next one
/// arrives may have been cancelled immediately before, so an overlap is judged only after the endpoint has
/// had time to observe the cancellation (AuditSettings::cancelDetectionDelay).
class ConcurrencyAuditor {
 public:
  ConcurrencyAuditor(const AuditSettings& settings, ViolationLog& log) : settings_(settings), log_(log) {}

  void onAttempt(const AttemptRecord& attempt);
  /// Returns false if no attempt with this token was in flight.
  bool onAttemptEnded(std::uint64_t token);
  /// Judges the overlaps that are older than AuditSettings::cancelDetectionDelay.
  void judgeOverlaps(Time now);

 private:
  struct InFlightAttempt {
    std::uint64_t token;
    int endpoint;
    std::optional<Time> overlappedAt;
  };
  struct Overlap {
    Time at;
    std::string id;
  };
  void judge(const Overlap& overlap);

  const AuditSettings settings_;
  ViolationLog& log_;
  std::unordered_map<std::string, std::vector<InFlightAttempt>> inFlight_;  // by request id
  std::unordered_map<std::uint64_t, std::string> requestIds_;               // by token
  std::vector<Overlap> overlaps_;
};

/// Checks that no write with an idempotency key takes effect twice.
class IdempotencyAuditor {
 public:
  explicit IdempotencyAuditor(ViolationLog& log) : log_(log) {}
  void onWriteApplied(Time at, const std::string& key, Time deduplicationWindow);

 private:
  ViolationLog& log_;
  std::unordered_map<std::string, Time> appliedAt_;  // by key
};

/// Checks that no endpoint crashes from overload while it warms up.
class OverloadAuditor {
 public:
  explicit OverloadAuditor(ViolationLog& log) : log_(log) {}
  void onCrash(Time at, int endpoint);
  void onPeakOverload(double overload);
  double peakOverload() const { return peakOverload_; }

 private:
  ViolationLog& log_;
  double peakOverload_ = 0;
};

/// Checks that no attempt begins after its request has ended: the client disconnected or cancelled, the
/// deadline passed, or the response was received. Also checks that the deadline sent with an attempt is no
/// later than the client's deadline.
class RequestEndAuditor {
 public:
  RequestEndAuditor(const AuditSettings& settings, ViolationLog& log) : settings_(settings), log_(log) {}

  void onRequest(const std::string& id, Time deadline) { requests_[id] = {deadline, deadline}; }
  /// If called more than once for a request, the earliest time counts.
  void onEnd(Time at, const std::string& id);
  void onAttempt(const AttemptRecord& attempt);
  bool hadAttempt(const std::string& id) const { return attempted_.count(id) > 0; }

 private:
  struct RequestTimes {
    Time deadline{};
    Time endedAt{};
  };
  const AuditSettings settings_;
  ViolationLog& log_;
  std::unordered_map<std::string, RequestTimes> requests_;  // by id
  std::unordered_set<std::string> attempted_;               // request ids
};

/// Checks that every request gets exactly one response, and that a served request gets its own value.
class ResponseAuditor {
 public:
  explicit ResponseAuditor(ViolationLog& log) : log_(log) {}

  void onRequest(Time at, const std::string& id) { pending_[id] = at; }
  void onResponse(const ResponseEvent& response);
  /// Called for a response that no client was waiting for.
  void onUnexpectedResponse() { ++unexpectedResponses_; }

  std::size_t count(RequestResult result) const;
  std::uint64_t requests() const { return responses_.size(); }
  std::uint64_t onTime() const { return onTime_; }
  std::uint64_t unexpectedResponses() const { return unexpectedResponses_; }
  /// Returns the earned share of the total priority weight of all requests, or 0 if there were none.
  double earnedShare() const { return totalWeight_ > 0 ? earnedWeight_ / totalWeight_ : 0; }
  const std::vector<ResponseRecord>& responses() const { return responses_; }

 private:
  ViolationLog& log_;
  std::unordered_map<std::string, Time> pending_;
  std::map<RequestResult, std::size_t> counts_;
  std::vector<ResponseRecord> responses_;
  std::uint64_t onTime_ = 0;
  std::uint64_t unexpectedResponses_ = 0;
  double totalWeight_ = 0;
  double earnedWeight_ = 0;
};

}  // namespace stonebay::testbed
