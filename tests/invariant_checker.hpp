// Tracks the state of requests and endpoints through a sequence of events, and checks actions against it.
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

/// A request and its attempts.
struct TrackedRequest {
  int classIndex = 0;
  std::uint64_t session = 0;
  TimePoint deadline{};
  TimePoint requiredPosition{Duration(-1)};  ///< the data must include all commits up to here
  bool isFinished = false;                   ///< the request needs no final response any more
  bool mayHaveRun = false;                   ///< some attempt may have been executed
  TimePoint mayHaveRunSince{};               ///< send time of the earliest such attempt
  std::vector<TrackedAttempt> attempts;

  bool hasAttemptInFlight() const { return earliestInFlight() < attempts.size(); }
  /// Returns the index of the earliest attempt in flight, or attempts.size() if there is none.
  std::size_t earliestInFlight() const;
  void endAttempt(std::size_t attempt, bool attemptMayHaveRun);
};

/// The state of an endpoint after the events so far.
struct EndpointState {
  Lifecycle listed = Lifecycle::Removed;
  bool isDraining = false;
  bool isPrimary = false;
  TimePoint provenPosition{};
};

/// Holds the state after the events so far, which the caller keeps up to date, and checks actions against it
/// with fatal assertions.
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
  void checkEndpointAcceptsRequests(const EndpointState&) const;
  void checkMayBeSentAgain(TimePoint now, const TrackedRequest&) const;
  void checkStaleness(TimePoint now, const EndpointState&, const TrackedRequest&) const;

  const Settings& settings_;
};

}  // namespace stonebay::test
