// Drives a LoadBalancer by hand: a list, a write, a bounded read and a failure. Prints what it decides.
#include <cstdio>

#include "stonebay/load_balancer.hpp"

using namespace stonebay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
struct Printer : ActionSink {
  int sends = 0, finals = 0;
  EndpointId last = 0;
  void send(RequestId id, EndpointId m, Time) override {
    ++sends;
    last = m;
    std::printf("  send request %d to member %d\n", static_cast<int>(id), static_cast<int>(m));
  }
  void reject(RequestId id, Time) override { ++finals, std::printf("  refuse %d\n", static_cast<int>(id)); }
  void fail(RequestId id) override { ++finals, std::printf("  fail %d\n", static_cast<int>(id)); }
  void cancel(RequestId id, int a) override { std::printf("  cancel %d/%d\n", static_cast<int>(id), a); }
  void scheduleTimer(Time, TimerToken) override {
  }                                         // a real program calls LoadBalancer::timer when it is due
  void checkHealth(EndpointId) override {}  // a real program asks the member for a report
  void broadcast(const GossipMessage&) override {}
  void pollDiscovery() override {}
  void log(const std::string& line) override { std::printf("  log: %s\n", line.c_str()); }
};
}  // namespace

int main() {
  Settings s;
  s.classes.resize(2);
  s.classes[0].consistency = Consistency::BoundedStaleness;
  s.classes[0].maxStaleness = milliseconds(500);
  s.classes[0].latencyObjective = milliseconds(200);
  s.classes[0].deadline = seconds(1);
  s.classes[1].consistency = Consistency::Write;
  s.classes[1].idempotency = Idempotency::NonIdempotent;
  s.classes[1].latencyObjective = milliseconds(500);
  s.classes[1].deadline = seconds(3);
  s.staleReadPolicy = StaleReadPolicy::Reject;  // members turn away reads that they lag too far for
  s.positionsInResponses = true;
  s.maxAttempts = 4;
  Printer out;
  LoadBalancer b(s, 1, out);
  Time now = seconds(100);

  std::printf("a list of two members\n");
  EndpointUpdate one, two;
  one.id = 1;
  two.id = 2;
  b.onEndpointList(now, EndpointListKind::Full, {one, two});

  std::printf("a write: no primary is known, so members are tried by id\n");
  Request w;
  w.id = 10;
  w.classIndex = 1;
  w.deadline = now + seconds(3);
  b.onRequest(now, w);
  AttemptOutcome o;
  o.request = 10;
  o.endpoint = 1;
  o.status = AttemptStatus::TooStale;
  o.role = Role::Replica;
  b.onAttemptOutcome(now += milliseconds(1), o);
  o.attempt = 1;
  o.endpoint = 2;
  o.status = AttemptStatus::Ok;
  o.requestClosed = true;
  o.role = Role::Primary;
  o.position = std::chrono::milliseconds(100050);  // when it was committed
  b.onAttemptOutcome(now += milliseconds(49), o);

  std::printf("a bounded read whose replica fails it: it goes on to the primary\n");
  Request r;
  r.id = 11;
  r.deadline = now + seconds(1);
  b.onRequest(now, r);
  if (out.last != 1) return 1;
  o = AttemptOutcome();
  o.request = 11;
  o.endpoint = 1;
  o.status = AttemptStatus::Reset;
  b.onAttemptOutcome(now += milliseconds(5), o);
  if (out.last != 2) return 1;
  o.attempt = 1;
  o.endpoint = 2;
  o.status = AttemptStatus::Ok;
  o.requestClosed = true;
  b.onAttemptOutcome(now += milliseconds(30), o);

  std::printf("%d sends, %d refused or failed\n", out.sends, out.finals);
  return out.sends == 4 && out.finals == 0 ? 0 : 1;
}
