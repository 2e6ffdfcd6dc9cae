// A ActionSink that records, settings to start from, and shorthand for events.
#pragma once

#include <gtest/gtest.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "stonebay/load_balancer.hpp"

namespace stonebay::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What an answer says of its endpoint.
struct Evidence {
  Role role = Role::Unknown;
  std::optional<Time> position;
};
constexpr Evidence kFromPrimary{Role::Primary, std::nullopt};
constexpr Evidence kFromReplica{Role::Replica, std::nullopt};

struct Action {
  std::string what;
  std::uint64_t id = 0;
  EndpointId endpoint = 0;
  Time time{};
  int attempt = 0;
  TimerToken token;
  Time due{};  // timers: when they go off, on the recorder's clock
};

struct Recorder : ActionSink {
  std::vector<Action> all;
  const Time* clock = nullptr;
  void send(RequestId id, EndpointId m, Time until) override { all.push_back({"send", id, m, until, 0, {}}); }
  void reject(RequestId id, Time after) override { all.push_back({"refuse", id, 0, after, 0, {}}); }
  void fail(RequestId id) override { all.push_back({"fail", id, 0, Time(0), 0, {}}); }
  void cancel(RequestId id, int attempt) override { all.push_back({"cancel", id, 0, Time(0), attempt, {}}); }
  void scheduleTimer(Time in, TimerToken token) override {
    all.push_back({"timer", 0, 0, in, 0, token, clock ? *clock + in : in});
  }
  void checkHealth(EndpointId m) override { all.push_back({"probe", 0, m, Time(0), 0, {}}); }
  std::vector<GossipMessage> words;
  void broadcast(const GossipMessage& w) override { words.push_back(w); }
  void pollDiscovery() override { all.push_back({"subscribe", 0, 0, Time(0), 0, {}}); }
  void log(const std::string&) override { all.push_back({"log", 0, 0, Time(0), 0, {}}); }

  std::vector<Action> of(const std::string& what, RequestId id = 0) const {
    std::vector<Action> some;
    for (const Action& a : all)
      if (a.what == what && (id == 0 || a.id == id)) some.push_back(a);
    return some;
  }
};

enum : int { kBounded, kSession, kAny, kWrite, kFresh, kKeyedGroup, kKeyedAll };

inline Settings settings() {
  Settings s;
  const auto cls = [&](Consistency n, Idempotency e, double worth, int aim, int deadline) {
    ClassSettings c;
    c.consistency = n;
    c.idempotency = e;
    c.priorityWeight = worth;
    c.latencyObjective = milliseconds(aim);
    c.deadline = milliseconds(deadline);
    c.maxStaleness = n == Consistency::BoundedStaleness ? milliseconds(500) : Time(0);
    s.classes.push_back(c);
  };
  cls(Consistency::BoundedStaleness, Idempotency::Idempotent, 1, 200, 500);
  cls(Consistency::ReadYourWrites, Idempotency::Idempotent, 1, 300, 1000);
  cls(Consistency::Eventual, Idempotency::Idempotent, 1, 600, 2000);
  cls(Consistency::Write, Idempotency::NonIdempotent, 4, 1000, 3000);
  cls(Consistency::Strong, Idempotency::Idempotent, 1, 300, 1000);
  cls(Consistency::Eventual, Idempotency::IdempotencyKey, 1, 300, 1000);
  s.classes.back().deduplicationScope = DeduplicationScope::ReplicaGroup;
  s.classes.back().deduplicationWindow = milliseconds(400);
  cls(Consistency::Eventual, Idempotency::IdempotencyKey, 1, 300, 1000);
  s.classes.back().deduplicationScope = DeduplicationScope::All;
  s.classes.back().deduplicationWindow = milliseconds(400);
  s.staleReadPolicy = StaleReadPolicy::Serve;
  s.reports = LoadReports::Pull;
  s.reportFields = {ReportField::Position, ReportField::Primary};
  s.maxAttempts = 6;
  s.healthChecksAllowed = s.cancellationAllowed = s.retryAfterAllowed = true;
  s.positionEpoch = seconds(1000);
  s.maxRetryAfter = seconds(1);
  s.slowStartWindow = seconds(10);
  s.overloadWindow = seconds(2);
  s.overloadFactor = 2;
  s.initialCapacity = 0.2;
  s.drainGracePeriod = milliseconds(500);
  s.maxPollInterval = seconds(10);
  s.timeStep = milliseconds(5);
  return s;
}

// A group of members 1, 2, 3 at 1100 s on the clock.
struct Bench {
  Recorder out;
  Settings s;
  LoadBalancer b;
  Time now = seconds(1100);
  RequestId next = 100;
  std::set<std::size_t> fired;

  explicit Bench(const Settings& given = settings(), int n = 3, std::uint64_t seed = 1)
      : s(given), b(given, seed, out) {
    out.clock = &now;
    std::vector<EndpointUpdate> all;
    for (int k = 1; k <= n; ++k) all.push_back(entry(static_cast<EndpointId>(k)));
    b.onEndpointList(now, EndpointListKind::Cached, all);
  }
  static EndpointUpdate entry(EndpointId id, Lifecycle state = Lifecycle::Ready, Time started = Time(0)) {
    EndpointUpdate m;
    m.id = id;
    m.group = 7;
    m.state = state;
    m.started = started;
    return m;
  }
  void pass(int ms) { now += milliseconds(ms); }
  // Lets time go by with the housekeeping of an embedding program: the timers that come due.
  void run(int ms) {
    for (const Time end = now + milliseconds(ms); now < end; pass(5)) {
      std::vector<TimerToken> ring;
      for (std::size_t k = 0; k < out.all.size(); ++k)
        if (out.all[k].what == "timer" && out.all[k].due <= now && fired.insert(k).second)
          ring.push_back(out.all[k].token);
      for (const TimerToken token : ring) b.onTimer(now, token);
    }
  }
  RequestId ask(int cls, std::uint64_t session = 0, float token = 0, int deadlineMs = 0) {
    Request q;
    q.id = next++;
    q.classIndex = cls;
    q.group = 7;
    q.session = session;
    q.sessionTokenAgeMs = token;
    q.deadline = now + (deadlineMs ? Time(milliseconds(deadlineMs))
                                   : s.classes[static_cast<std::size_t>(cls)].deadline);
    b.onRequest(now, q);
    return q.id;
  }
  std::vector<Action> sends(RequestId id) const { return out.of("send", id); }
  EndpointId lastTo(RequestId id) const { return sends(id).empty() ? 0 : sends(id).back().endpoint; }
  bool finalAnswer(RequestId id) const {
    return !out.of("refuse", id).empty() || !out.of("fail", id).empty();
  }
  void end(RequestId id, AttemptStatus r, Evidence evidence = {}, int attempt = -1) {
    const auto all = sends(id);
    ASSERT_FALSE(all.empty());
    AttemptOutcome o;
    o.request = id;
    o.attempt = attempt < 0 ? static_cast<int>(all.size()) - 1 : attempt;
    o.endpoint = all[static_cast<std::size_t>(o.attempt)].endpoint;
    o.status = r;
    o.requestClosed = r == AttemptStatus::Ok;
    o.role = evidence.role;
    o.position = evidence.position;
    b.onAttemptOutcome(now, o);
  }
  // A report of a position `agoMs` before now.
  void report(EndpointId m, int agoMs, bool primary = false) {
    HealthCheckResult p;
    p.endpoint = m;
    p.ok = true;
    p.report = {static_cast<float>(
                    std::chrono::duration<double>(now - milliseconds(agoMs) - s.positionEpoch).count()),
                primary ? 1.0f : 0.0f};
    b.onHealthCheck(now, p);
  }
  // A report of a position in seconds after the position epoch.
  void reportPosition(EndpointId m, float secondsAfterEpoch) {
    HealthCheckResult p;
    p.endpoint = m;
    p.ok = true;
    p.report = {secondsAfterEpoch, 0.0f};
    b.onHealthCheck(now, p);
  }
  // A report as of now that tells a load as well.
  void reportLoad(EndpointId m, bool primary, int held) {
    HealthCheckResult p;
    p.endpoint = m;
    p.ok = true;
    p.report = {static_cast<float>(std::chrono::duration<double>(now - s.positionEpoch).count()),
                primary ? 1.0f : 0.0f, static_cast<float>(held)};
    b.onHealthCheck(now, p);
  }
  // What an answer says of its endpoint: its role, and a position of `agoMs` before now, in whole
  // milliseconds.
  Evidence evidence(int agoMs, Role role) const {
    const Time position = now - milliseconds(agoMs);
    return {role, s.positionEpoch + (position - s.positionEpoch) / milliseconds(1) * milliseconds(1)};
  }
  // Teaches that member m is the primary by an answer to a write that tries members by id.
  void teachPrimary(EndpointId m) { report(m, 0, true); }
};

}  // namespace stonebay::test
