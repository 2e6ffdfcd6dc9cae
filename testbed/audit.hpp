// Judges a run from what the stand-ins observed on their sockets and what the clients received.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "testbed/audit_records.hpp"
#include "testbed/auditors.hpp"
#include "testbed/figures.hpp"

namespace stonebay::testbed {

/// Passes the events of a run to its auditors and computes the figures that claims and reports use. Does
/// no I/O and reads no clock; the caller passes each event with its time, in chronological order.
class RunAudit {
 public:
  explicit RunAudit(const AuditSettings& settings = {});
  RunAudit(const RunAudit&) = delete;
  RunAudit& operator=(const RunAudit&) = delete;

  // Discovery events.
  void onWithdrawn(Time at, int endpoint) { drain_.onWithdrawn(at, endpoint); }
  void onListing(Time at, int proxy, int endpoint, bool listed) {
    drain_.onListing(at, proxy, endpoint, listed);
  }

  // Endpoint events.
  /// Returns the token of the attempt, to be passed to onAttemptEnded().
  std::uint64_t onAttempt(AttemptRecord attempt);
  /// Called when the attempt is answered or its connection ends.
  void onAttemptEnded(Time at, std::uint64_t token, bool served);
  /// Called when a write takes effect. Not called for a repeat that the endpoint dropped as a duplicate.
  void onWriteApplied(Time at, const std::string& key, Time deduplicationWindow) {
    idempotency_.onWriteApplied(at, key, deduplicationWindow);
  }
  void onOverloadCrash(Time at, int endpoint) { overload_.onCrash(at, endpoint); }
  void onPeakOverload(double overload) { overload_.onPeakOverload(overload); }
  void onHealthCheck() { ++healthChecks_; }

  // Client events.
  void onRequest(Time at, const std::string& id, Time deadline = Time::max()) {
    responseAuditor_.onRequest(at, id);
    requestEnds_.onRequest(id, deadline);
  }
  void onResponse(const ResponseEvent& response);
  /// Called when a client disconnects or cancels before its request is answered.
  void onClientLeft(Time at, const std::string& id);
  /// Called when the proxy closes the connection of a request that it has not answered.
  /// @param isExcused true if the proxy's process was killed
  void onClosedUnanswered(Time at, const std::string& id, bool isExcused);
  void onUnexpectedResponse() { responseAuditor_.onUnexpectedResponse(); }

  /// Judges the overlapping attempts that are still undecided at the end of the run.
  void finish(Time now);

  std::size_t count(RequestResult result) const { return responseAuditor_.count(result); }
  /// Returns all figures, under the names that claims use.
  Figures figures() const;
  const std::vector<AttemptRecord>& attempts() const { return attempts_; }
  const std::vector<ResponseRecord>& responses() const { return responseAuditor_.responses(); }
  const std::vector<ListingRecord>& listings() const { return drain_.listings(); }
  const std::vector<Violation>& violations() const { return log_.violations(); }

 private:
  void addCounts(Figures& figures) const;
  void addQuantiles(Figures& figures) const;

  const AuditSettings settings_;
  ViolationLog log_;
  DrainAuditor drain_;
  StalenessAuditor staleness_;
  ConcurrencyAuditor concurrency_;
  IdempotencyAuditor idempotency_;
  OverloadAuditor overload_;
  RequestEndAuditor requestEnds_;
  ResponseAuditor responseAuditor_;
  std::vector<AttemptRecord> attempts_;
  std::uint64_t attemptsServed_ = 0;
  std::uint64_t healthChecks_ = 0;
  std::uint64_t clientsLeft_ = 0;
};

}  // namespace stonebay::testbed
