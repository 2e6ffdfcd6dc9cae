// What a sequence of events makes true of requests and endpoints, and the checks of actions against it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "recording_sink.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay::test {

/// One send of a request.
struct TrackedAttempt {
  EndpointId endpoint = 0;
  TimePoint sentAt{};
  bool inFlight = true;
};

/// A request, its attempts, and what they mean for further ones.
struct TrackedRequest {
  int classIndex = 0;
  std::uint64_t session = 0;
  TimePoint deadline{};
  TimePoint requiredPosition{Duration(-1)};  ///< its data must hold all commits up to here
  bool isFinished = false;                   ///< no final response is owed any more
  bool mayHaveRun = false;
  TimePoint mayHaveRunSince{};  ///< when the earliest attempt that may have run was sent
  std::vector<TrackedAttempt> attempts;

  bool hasAttemptInFlight() const { return earliestInFlight() < attempts.size(); }
  /// The index of the earliest attempt that is in flight; attempts.size(): there is none.
  std::size_t earliestInFlight() const;
  void endAttempt(std::size_t attempt, bool attemptMayHaveRun);
};

/// An endpoint as the events so far make it.
struct EndpointState {
  Lifecycle listed = Lifecycle::Removed;
  bool isDraining = false;
  bool isPrimary = false;
  TimePoint provenPosition{};
};

/// Holds the state that the events lead to (the caller keeps it up to date) and checks actions against it, by
/// fatal assertions.
class InvariantChecker {
 public:
  std::map<RequestId, TrackedRequest> requests;
  std::map<EndpointId, EndpointState> endpoints;

  /// The settings must outlive the checker.
  explicit InvariantChecker(const Settings& settings) : settings_(settings) {}

  const ClassSettings& classOf(const TrackedRequest&) const;
  /// Checks a send and adds it to the request's attempts.
  void checkSend(TimePoint now, RequestId, EndpointId);
  /// Checks a rejection or failure and finishes the request.
  void checkFinalResponse(RequestId, ActionKind);

 private:
  void checkEndpointIsOpen(const EndpointState&) const;
  void checkMayRunAgain(TimePoint now, const TrackedRequest&) const;
  void checkStaleness(TimePoint now, const EndpointState&, const TrackedRequest&) const;

  const Settings& settings_;
};

}  // namespace stonebay::test
