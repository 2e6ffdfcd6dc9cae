// An example of an embedding program: passes an endpoint list, a write, a read and a failure to a
// LoadBalancer and prints its decisions.
#include <chrono>
#include <cstdio>
#include <string>

#include "stonebay/load_balancer.hpp"

using namespace stonebay;
using namespace std::chrono_literals;

namespace {

constexpr int kBoundedRead = 0;
constexpr int kWrite = 1;

// Prints the actions that an embedding program would carry out.
class PrintingSink : public ActionSink {
 public:
  int sends = 0;
  int finalResponses = 0;
  EndpointId lastEndpoint = 0;

  void send(RequestId id, EndpointId endpoint, const AttemptLimits& /*limits*/) override {
    ++sends;
    lastEndpoint = endpoint;
    std::printf("  send request %d to endpoint %d\n", static_cast<int>(id), static_cast<int>(endpoint));
  }
  void reject(RequestId id, Duration /*retryAfter*/, EndReason /*reason*/) override {
    ++finalResponses;
    std::printf("  reject %d\n", static_cast<int>(id));
  }
  void fail(RequestId id, EndReason /*reason*/) override {
    ++finalResponses;
    std::printf("  fail %d\n", static_cast<int>(id));
  }
  void cancel(RequestId id, int attempt) override {
    std::printf("  cancel %d/%d\n", static_cast<int>(id), attempt);
  }
  // An embedding program calls LoadBalancer::onTimer when the timer is due.
  void scheduleTimer(Duration /*delay*/, TimerToken /*token*/) override {}
  // An embedding program sends a health check to the endpoint.
  void checkHealth(EndpointId /*endpoint*/) override {}
  void broadcast(const GossipMessage& /*message*/) override {}
  void pollDiscovery() override {}
  void log(const std::string& line) override { std::printf("  log: %s\n", line.c_str()); }
};

ClassSettings boundedReads() {
  ClassSettings reads;
  reads.consistency = Consistency::BoundedStaleness;
  reads.maxStaleness = 500ms;
  reads.latencyObjective = 200ms;
  reads.deadline = 1s;
  return reads;
}

ClassSettings writes() {
  ClassSettings writes;
  writes.consistency = Consistency::Write;
  writes.idempotency = Idempotency::NonIdempotent;
  writes.latencyObjective = 500ms;
  writes.deadline = 3s;
  return writes;
}

Settings exampleSettings() {
  Settings settings;
  settings.classes = {boundedReads(), writes()};       // in the order of kBoundedRead and kWrite
  settings.staleReadPolicy = StaleReadPolicy::Reject;  // endpoints reject reads that require newer data
  settings.positionsInResponses = true;
  settings.maxAttempts = 4;
  return settings;
}

EndpointUpdate readyEndpoint(EndpointId id) {
  EndpointUpdate update;
  update.id = id;
  return update;
}

Request makeRequest(RequestId id, int classIndex, TimePoint deadline) {
  Request request;
  request.id = id;
  request.classIndex = classIndex;
  request.deadline = deadline;
  return request;
}

AttemptOutcome makeOutcome(RequestId id, int attempt, EndpointId endpoint, AttemptStatus status) {
  AttemptOutcome outcome;
  outcome.request = id;
  outcome.attempt = attempt;
  outcome.endpoint = endpoint;
  outcome.status = status;
  outcome.requestFinished = status == AttemptStatus::Ok;
  return outcome;
}

// The replica, endpoint 1, rejects the write; the primary, endpoint 2, commits it.
void runWrite(LoadBalancer& balancer, TimePoint& now) {
  constexpr RequestId kId = 10;
  std::printf("a write: the primary is unknown, so the endpoints are tried in order of their ids\n");
  balancer.onRequest(now, makeRequest(kId, kWrite, now + 3s));

  AttemptOutcome rejected = makeOutcome(kId, 0, 1, AttemptStatus::TooStale);
  rejected.role = Role::Replica;
  now += 1ms;
  balancer.onAttemptOutcome(now, rejected);

  AttemptOutcome committed = makeOutcome(kId, 1, 2, AttemptStatus::Ok);
  committed.role = Role::Primary;
  now += 49ms;
  committed.position = now;
  balancer.onAttemptOutcome(now, committed);
}

// The connection to the replica breaks and the primary answers. Returns whether the attempts were sent to
// these endpoints.
bool runRead(LoadBalancer& balancer, const PrintingSink& sink, TimePoint& now) {
  constexpr RequestId kId = 11;
  std::printf("a bounded read: the connection to the replica breaks, so it is retried at the primary\n");
  balancer.onRequest(now, makeRequest(kId, kBoundedRead, now + 1s));
  if (sink.lastEndpoint != 1) return false;

  now += 5ms;
  balancer.onAttemptOutcome(now, makeOutcome(kId, 0, 1, AttemptStatus::Reset));
  if (sink.lastEndpoint != 2) return false;

  AttemptOutcome response = makeOutcome(kId, 1, 2, AttemptStatus::Ok);
  now += 30ms;
  balancer.onAttemptOutcome(now, response);
  return true;
}

}  // namespace

int main() {
  PrintingSink sink;
  LoadBalancer balancer(exampleSettings(), 1, sink);
  TimePoint now(100s);

  std::printf("a list of two endpoints\n");
  balancer.onEndpointList(now, EndpointListKind::Full, {readyEndpoint(1), readyEndpoint(2)});
  runWrite(balancer, now);
  if (!runRead(balancer, sink, now)) return 1;

  std::printf("%d sends, %d rejected or failed\n", sink.sends, sink.finalResponses);
  return sink.sends == 4 && sink.finalResponses == 0 ? 0 : 1;
}
