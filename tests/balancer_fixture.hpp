// A LoadBalancer with a recording sink, a clock and one replica group, and shorthand for its events.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "recording_sink.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay::test {

using std::chrono::milliseconds;
using std::chrono::seconds;
using namespace std::chrono_literals;

/// What a response says of its endpoint.
struct Evidence {
  Role role = Role::Unknown;
  std::optional<TimePoint> position;
};
constexpr Evidence kFromReplica{Role::Replica, std::nullopt};

/// Indices of the classes in defaultSettings(). The keyed reads are eventual ones with an idempotency key,
/// which the endpoints of a replica group, or all endpoints, remember for 400 ms.
enum ClassIndex : int {
  kBoundedRead,
  kReadYourWritesRead,
  kEventualRead,
  kWrite,
  kStrongRead,
  kGroupKeyedRead,
  kGlobalKeyedRead
};

/// One class for each ClassIndex; endpoints that serve stale reads; load reports as answers to health checks.
Settings defaultSettings();

/// Each endpoint belongs to one replica group; ids count from 1. The clock starts at 1100 s.
class BalancerFixture {
 public:
  static constexpr GroupId kGroup = 7;

  RecordingSink actions;
  Settings settings;
  LoadBalancer balancer;
  TimePoint now{1100s};
  RequestId nextRequestId = 100;

  /// Passes a complete (cached) list of the endpoints 1 to `endpointCount` to the LoadBalancer.
  explicit BalancerFixture(const Settings& = defaultSettings(), int endpointCount = 3,
                           std::uint64_t seed = 1);
  BalancerFixture(const BalancerFixture&) = delete;
  BalancerFixture& operator=(const BalancerFixture&) = delete;

  void advanceTime(Duration interval) { now += interval; }
  /// Advances time in steps of 5 ms and fires the timers that fall due, as an embedding program would.
  void runTimers(Duration interval);

  static EndpointUpdate endpointUpdate(EndpointId, Lifecycle = Lifecycle::Ready,
                                       TimePoint started = TimePoint());
  /// Passes changes of the endpoint list to the LoadBalancer.
  void updateEndpoints(const std::vector<EndpointUpdate>&);

  /// Submits a request of a class; `deadline` (from now) 0: the class's own.
  RequestId submit(int classIndex, std::uint64_t session = 0, float sessionTokenAgeMs = 0,
                   Duration deadline = Duration(0));
  /// Ends an attempt (-1: the latest one) of a request.
  void endAttempt(RequestId, AttemptStatus, Evidence = {}, int attempt = -1);
  /// Submits a request, lets `latency` go by and ends its latest attempt with a response.
  RequestId serve(int classIndex, Duration latency = Duration(0), Evidence = kFromReplica);

  std::vector<Action> sends(RequestId id) const { return actions.of(ActionKind::Send, id); }
  /// The endpoint of the latest attempt; 0: none was sent.
  EndpointId lastEndpoint(RequestId) const;
  /// Whether the request was rejected or failed.
  bool hasFinalResponse(RequestId) const;

  /// A health check is answered with a report: a position of `age` before now, and the role.
  void reportPosition(EndpointId, Duration age, bool isPrimary = false);
  /// As reportPosition(), with a position in seconds after the position epoch.
  void reportPositionAfterEpoch(EndpointId, float positionSeconds);
  /// As reportPosition() with a position of now, with the requests in flight as a third value.
  void reportLoad(EndpointId, bool isPrimary, int inFlight);
  /// Reports an endpoint as the primary, with a position of now.
  void reportPrimary(EndpointId endpoint) { reportPosition(endpoint, 0ms, true); }
  void failHealthCheck(EndpointId);

  /// A role, and a position of `age` before now in complete milliseconds.
  Evidence evidence(Duration age, Role) const;

 private:
  void answerHealthCheck(EndpointId, const std::vector<float>& report);
  float secondsAfterEpoch(TimePoint at) const;

  std::set<std::size_t> firedTimers_;  // indices into actions.recorded
};

}  // namespace stonebay::test
