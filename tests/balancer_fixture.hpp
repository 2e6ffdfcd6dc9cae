// A test fixture with a LoadBalancer, a recording sink, a clock and one replica group.
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

/// The role and position that a response states.
struct Evidence {
  Role role = Role::Unknown;
  std::optional<TimePoint> position;
};
constexpr Evidence kFromReplica{Role::Replica, std::nullopt};

/// Indices of the classes in defaultSettings(). The keyed reads are eventual reads with an idempotency key,
/// by which the endpoints of a replica group, or all endpoints, drop repeats for 400 ms.
enum ClassIndex : int {
  kBoundedRead,
  kReadYourWritesRead,
  kEventualRead,
  kWrite,
  kStrongRead,
  kGroupKeyedRead,
  kGlobalKeyedRead
};

/// Returns settings with one class for each ClassIndex, endpoints that serve stale reads, and load reports in
/// responses to health checks.
Settings defaultSettings();

/// All endpoints belong to one replica group. Their ids count from 1. The clock starts at 1100 s.
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
  /// Advances time in steps of 5 ms and calls onTimer() for the timers that expire.
  void runTimers(Duration interval);

  static EndpointUpdate endpointUpdate(EndpointId, Lifecycle = Lifecycle::Ready,
                                       TimePoint started = TimePoint());
  /// Passes changes of the endpoint list to the LoadBalancer.
  void updateEndpoints(const std::vector<EndpointUpdate>&);

  /// Submits a request of a class. `deadline` counts from now; 0 means the deadline of the class.
  RequestId submit(int classIndex, std::uint64_t session = 0, float sessionTokenAgeMs = 0,
                   Duration deadline = Duration(0));
  /// Ends an attempt of a request; -1 means the latest one.
  void endAttempt(RequestId, AttemptStatus, Evidence = {}, int attempt = -1);
  /// Submits a request, advances time by `latency` and ends its latest attempt successfully.
  RequestId serve(int classIndex, Duration latency = Duration(0), Evidence = kFromReplica);

  std::vector<Action> sends(RequestId id) const { return actions.of(ActionKind::Send, id); }
  /// Returns the endpoint of the latest attempt; 0 if none was sent.
  EndpointId lastEndpoint(RequestId) const;
  /// Returns whether the request was rejected or failed.
  bool hasFinalResponse(RequestId) const;

  /// Answers a health check with a load report: a position of `age` before now, and the role.
  void reportPosition(EndpointId, Duration age, bool isPrimary = false);
  /// Like reportPosition(), with a position in seconds after the position epoch.
  void reportPositionAfterEpoch(EndpointId, float positionSeconds);
  /// Like reportPosition(), with the current time as position and the requests in flight as a third value.
  void reportLoad(EndpointId, bool isPrimary, int inFlight);
  /// Reports an endpoint as the primary, with the current time as position.
  void reportPrimary(EndpointId endpoint) { reportPosition(endpoint, 0ms, true); }
  void failHealthCheck(EndpointId);

  /// Returns a role and a position of `age` before now, rounded down to whole milliseconds.
  Evidence evidence(Duration age, Role) const;

 private:
  void answerHealthCheck(EndpointId, const std::vector<float>& report);
  float secondsAfterEpoch(TimePoint at) const;

  std::set<std::size_t> firedTimers_;  // indices into actions.recorded
};

}  // namespace stonebay::test
