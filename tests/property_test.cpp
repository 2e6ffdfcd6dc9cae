// Long, fixed sequences of legal but nasty events, and the invariants that hold whatever comes.
#include <algorithm>
#include <map>
#include <random>

#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

class Nasty : public testing::TestWithParam<int> {};

struct Try {
  EndpointId endpoint;
  bool open = true;
  Time at{};
};
struct Known {
  int classIndex = 0;
  Time deadline{};
  Time commit{-1};
  bool ended = false, ran = false;
  Time ranAt{};
  std::vector<Try> tries;
};

TEST_P(Nasty, InvariantsHold) {
  const int variant = GetParam();
  std::mt19937_64 random(static_cast<std::uint64_t>(variant) * 7919 + 1);
  const auto pick = [&](int n) { return static_cast<int>(random() % static_cast<std::uint64_t>(n)); };
  Settings s = settings();
  s.staleReadPolicy = static_cast<StaleReadPolicy>(variant % 3);
  s.sessionTokensCarried = variant & 1;
  s.positionsInResponses = variant & 2;
  s.hedgingAllowed = variant & 4;
  s.discovery = variant & 8 ? DiscoveryMode::Poll : DiscoveryMode::Push;
  s.removedEndpointsServe = variant & 16;
  Bench t(s, 5);
  std::map<RequestId, Known> known;
  std::map<EndpointId, Lifecycle> state;
  std::map<EndpointId, bool> draining;
  std::map<EndpointId, Time> proven;
  std::map<EndpointId, bool> wasPrimary;
  std::map<std::uint64_t, Time> commits;
  std::multimap<Time, TimerToken> timers;
  std::multimap<Time, EndpointId> probes;
  for (EndpointId m = 1; m <= 5; ++m) state[m] = Lifecycle::Ready;
  std::size_t seen = 0;
  const auto drain = [&] {
    for (; seen < t.out.all.size(); ++seen) {
      const Action a = t.out.all[seen];
      if (a.what == "timer") timers.emplace(t.now + a.time, a.token);
      if (a.what == "probe") probes.emplace(t.now + milliseconds(3), a.endpoint);
      if (a.what == "send") {
        Known& k = known.at(a.id);
        const ClassSettings& c = s.classes[static_cast<std::size_t>(k.classIndex)];
        ASSERT_FALSE(k.ended) << "a send after the final answer";
        ASSERT_LT(k.tries.size(), static_cast<std::size_t>(s.maxAttempts));
        if (s.removedEndpointsServe) {
          ASSERT_FALSE(draining[a.endpoint]);
        } else {
          ASSERT_EQ(state[a.endpoint], Lifecycle::Ready) << "a send to a drained member";
        }
        const bool open = std::any_of(k.tries.begin(), k.tries.end(), [](const Try& x) { return x.open; });
        if (!s.hedgingAllowed || c.idempotency == Idempotency::NonIdempotent) {
          ASSERT_FALSE(open) << "two attempts at once";
        }
        if (c.idempotency == Idempotency::NonIdempotent) {
          ASSERT_FALSE(k.ran) << "a repeat of what may have run";
        }
        if (c.idempotency == Idempotency::IdempotencyKey && k.ran) {
          ASSERT_LT(t.now, k.ranAt + c.deduplicationWindow);
        }
        if (s.staleReadPolicy == StaleReadPolicy::Serve && !wasPrimary[a.endpoint]) {
          const Time need =
              c.consistency == Consistency::BoundedStaleness ? t.now - c.maxStaleness : k.commit;
          if (c.consistency != Consistency::Write) {
            ASSERT_GE(proven[a.endpoint], need) << "a stale send";
          }
        }
        k.tries.push_back({a.endpoint, true, t.now});
      }
      if (a.what == "refuse" || a.what == "fail") {
        Known& k = known.at(a.id);
        const ClassSettings& c = s.classes[static_cast<std::size_t>(k.classIndex)];
        ASSERT_FALSE(k.ended) << "two final answers";
        const bool open = std::any_of(k.tries.begin(), k.tries.end(), [](const Try& x) { return x.open; });
        if (a.what == "refuse" && (c.idempotency == Idempotency::NonIdempotent ||
                                   c.deduplicationScope != DeduplicationScope::All)) {
          ASSERT_FALSE(c.idempotency != Idempotency::Idempotent && (k.ran || open))
              << "a refusal of what may have run";
        }
        k.ended = true;
      }
    }
  };
  for (int step = 0; step < 4000; ++step) {
    t.now += step % 997 == 0 ? Time(seconds(7)) : Time(milliseconds(pick(8)));  // the clock may jump ahead
    while (!timers.empty() && timers.begin()->first <= t.now) {
      const TimerToken token = timers.begin()->second;
      timers.erase(timers.begin());
      t.b.onTimer(t.now, token);
      drain();
      if (HasFatalFailure()) return;
    }
    for (auto& [id, k] : known) {  // time-outs at the deadline come from outside
      if (t.now < k.deadline) continue;
      for (std::size_t n = 0; n < k.tries.size(); ++n) {
        if (!k.tries[n].open) continue;
        k.tries[n].open = false;
        if (!k.ran) k.ranAt = k.tries[n].at;
        k.ran = true;
        AttemptOutcome o;
        o.request = id;
        o.attempt = static_cast<int>(n);
        o.endpoint = k.tries[n].endpoint;
        o.status = AttemptStatus::Timeout;
        o.requestClosed = k.ended;
        t.b.onAttemptOutcome(t.now, o);
        drain();
        if (HasFatalFailure()) return;
      }
      ASSERT_TRUE(k.ended) << "no final answer by the deadline";
    }
    while (!probes.empty() && probes.begin()->first <= t.now) {
      const EndpointId m = probes.begin()->second;
      probes.erase(probes.begin());
      HealthCheckResult p;
      p.endpoint = m;
      p.ok = pick(5) != 0;
      const Time at = t.now - milliseconds(pick(600));
      const bool primary = pick(12) == 0;
      if (p.ok) {
        p.report = {static_cast<float>(std::chrono::duration<double>(at - s.positionEpoch).count()),
                    primary ? 1.0f : 0.0f};
        proven[m] = std::max(proven[m], at);
        if (primary) wasPrimary[m] = true;
      }
      t.b.onHealthCheck(t.now, p);
      drain();
      if (HasFatalFailure()) return;
    }
    switch (pick(8)) {
      case 0:
      case 1:
      case 2: {
        const int cls = pick(7);
        Known k;
        k.classIndex = cls;
        k.deadline = t.now + s.classes[static_cast<std::size_t>(cls)].deadline / (1 + pick(2));
        const std::uint64_t session = 1 + random() % 5;
        const float age = static_cast<float>(pick(900));
        if (cls == kFresh) k.commit = t.now;
        if (cls == kSession && s.sessionTokensCarried && age > 0)
          k.commit = t.now - Time(static_cast<std::int64_t>(age * 1000));
        if (cls == kSession && !s.sessionTokensCarried && commits.count(session)) k.commit = commits[session];
        const RequestId id = t.next;
        known[id] = k;
        t.ask(cls, session, age, static_cast<int>((k.deadline - t.now) / milliseconds(1)));
        break;
      }
      case 3: {  // the list changes under way
        const EndpointId m = 1 + random() % 5;
        const auto to = static_cast<Lifecycle>(pick(4) ? 1 : pick(3));
        if (pick(3) == 0) {
          state[m] = to;
          draining[m] = to == Lifecycle::Draining || (draining[m] && to == Lifecycle::Gone);
          t.b.onEndpointList(t.now, EndpointListKind::Delta,
                             {Bench::entry(m, to, pick(2) ? t.now : Time(0))});
        } else if (pick(9) == 0) {
          t.b.onEndpointList(t.now, EndpointListKind::Failed, {});
        }
        break;
      }
      case 4:
        if (!known.empty() && pick(20) == 0) {
          auto it = known.end();
          --it;
          it->second.ended = true;
          t.b.onClientLeft(t.now, it->first);
        }
        break;
      default:
        for (auto it = known.rbegin(); it != known.rend(); ++it) {
          Known& k = it->second;
          std::size_t n = 0;
          while (n < k.tries.size() && !k.tries[n].open) ++n;
          if (n == k.tries.size() || pick(3) == 0) continue;
          static const AttemptStatus results[] = {
              AttemptStatus::Ok,      AttemptStatus::Ok,       AttemptStatus::Ok,
              AttemptStatus::Error,   AttemptStatus::Rejected, AttemptStatus::Reset,
              AttemptStatus::Timeout, AttemptStatus::TooStale, AttemptStatus::ConnectFailed};
          const AttemptStatus result = results[pick(9)];
          k.tries[n].open = false;
          if (result != AttemptStatus::Rejected && result != AttemptStatus::TooStale &&
              result != AttemptStatus::ConnectFailed && !k.ran) {
            k.ran = true;
            k.ranAt = k.tries[n].at;
          }
          AttemptOutcome o;
          o.request = it->first;
          o.attempt = static_cast<int>(n);
          o.endpoint = k.tries[n].endpoint;
          o.status = result;
          o.requestClosed = k.ended || result == AttemptStatus::Ok;
          const bool answered = result == AttemptStatus::Ok || result == AttemptStatus::TooStale ||
                                result == AttemptStatus::Rejected;
          const bool primary = pick(6) == 0;
          if (answered) {
            o.role = primary ? Role::Primary : Role::Replica;
            wasPrimary[o.endpoint] = primary;
            if (s.classes[static_cast<std::size_t>(k.classIndex)].consistency == Consistency::Write &&
                result == AttemptStatus::Ok) {
              const Evidence commit =
                  t.evidence(0, Role::Primary);  // the primary has applied at least its commit
              o.role = commit.role;
              o.position = commit.position;
              wasPrimary[o.endpoint] = true;
              proven[o.endpoint] = std::max(proven[o.endpoint], t.now - milliseconds(1));
            }
          }
          if (result == AttemptStatus::Ok) k.ended = true;
          t.b.onAttemptOutcome(t.now, o);
          drain();
          if (HasFatalFailure()) return;
          for (std::size_t x = 0; x < k.tries.size(); ++x) {  // the rest of a set is cancelled
            if (!k.tries[x].open || result != AttemptStatus::Ok) continue;
            k.tries[x].open = false;
            o.attempt = static_cast<int>(x);
            o.endpoint = k.tries[x].endpoint;
            o.status = AttemptStatus::Cancelled;
            o.role = Role::Unknown;
            o.position.reset();
            t.b.onAttemptOutcome(t.now, o);
          }
          break;
        }
    }
    drain();
    if (HasFatalFailure()) return;
  }
  for (const auto& [id, k] : known) EXPECT_TRUE(k.ended || t.now <= k.deadline) << id;
}
INSTANTIATE_TEST_SUITE_P(Sequences, Nasty, testing::Range(0, 32));

}  // namespace
}  // namespace stonebay::test
