// Every decision of the proxy. Its records are in state.hpp.
#include "stonebay/load_balancer.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <map>
#include <stdexcept>
#include <unordered_map>

#include "balancer/state.hpp"

namespace stonebay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- constants -------------------------------------------------------------------------------------------
constexpr std::size_t kLatencyWindowSize = 20;  // latencies kept a member, as in the paper
constexpr std::size_t kPositionWindowSize =
    8;  // position samples kept: enough for a share, quick to follow a lag
constexpr Time kMaxSampleAge = seconds(8);   // samples older than this say little about the present
constexpr double kTargetProbability = 0.95;  // chance wanted that a read set answers in time
constexpr double kEndpointConcurrency = 3;   // requests that a member serves side by side before they queue
constexpr double kRetryAfterShare =
    0.0625;  // of its patience: when a refused client may return; its aim goes on
constexpr double kMinExpectedValue = 0.85;  // least share of its worth that a request must be likely to earn
constexpr double kMaxQueueingShare =
    0.45;  // of its time: so long a request may wait for a member that can take it
constexpr Time kDemandDecay = seconds(10);  // what was asked and served counts for about so long
constexpr double kLatencySmoothing = 0.05;  // weight of a new latency in a class's usual one
constexpr double kSilenceFactor = 4;        // silence for so many usual latencies is a symptom
constexpr double kRetryBudgetRatio =
    0.05;  // further attempts earned a request, so overload cannot feed itself
constexpr double kHedgingBudgetRatio = 0.05;  // second copies earned a request
constexpr Time kBudgetDecay = seconds(2);  // attempts and copies earned fade so, lest they feed an overload
constexpr std::size_t kHealthChecksPerSend =
    2;                                      // candidates asked before a send: one may be the worse of two
constexpr int kHealthCheckWaitDivisor = 8;  // a request waits for their word for 1/8 of its aim at most
constexpr Time kHealthCheckTimeout =
    milliseconds(25);                           // a probe is answered beside the queue: later is silence
constexpr double kImmediateFailureShare = 0.5;  // of a class's low latency: no work was done by then
constexpr int kConsecutiveFailuresToEject = 3;  // failures in a row that set a member aside
constexpr Time kMinEjection = milliseconds(500), kMaxEjection = seconds(8);
constexpr Time kRejectionPause = milliseconds(250);  // what turns requests away is left alone for so long
constexpr Time kMaxLoadReportAge = seconds(1);       // a report of load says something for so long
constexpr Time kBroadcastInterval =
    milliseconds(250);  // one router tells all of a member, then none for so long
constexpr Time kLoadRelaxationTime = milliseconds(250);  // so fast a load moves to the mean of its group
constexpr double kReportedSlowStartFactor = 1.5;         // of its share, to a cold member whose load is told
constexpr Time kDepartedRetention = seconds(10);         // what is gone and quiet is remembered for so long
constexpr Time kTickInterval = milliseconds(20);         // housekeeping: waiting requests, silence, probes
constexpr Time kFaultWindow =
    seconds(1);  // how long a miss or a time-out keeps the best member out of the sum
constexpr Time kPrimaryDiscoveryInterval = milliseconds(250);  // pause between probes for a missing primary
constexpr Time kMinPollBackoff = milliseconds(200);  // after a failed call to discovery; doubles from there
constexpr Time kPollJitterPerProxy = milliseconds(20);  // longer so for each router
constexpr Time kMaxPollBackoff =
    seconds(2);  // what is 6 s old counts as told: 3 to notice silence, 1 for an answer
constexpr double kNeverAnswered = std::numeric_limits<double>::infinity();
constexpr std::size_t kMaxRememberedSessions =
    200000;  // remembered writes; older ones are folded into one commit a group

std::size_t at(int k) { return static_cast<std::size_t>(k); }
double ratio(Time a, Time b) { return static_cast<double>(a.count()) / static_cast<double>(b.count()); }
Time scaled(Time t, double by) {
  return Time(static_cast<std::int64_t>(static_cast<double>(t.count()) * by));
}

// What may have had its effect; the others are known not to have run.
bool mayHaveRun(AttemptStatus r) {
  return r != AttemptStatus::Rejected && r != AttemptStatus::ConnectFailed && r != AttemptStatus::NotSent &&
         r != AttemptStatus::TooStale;
}

}  // namespace

// ---- what is known of endpoints
// ----------------------------------------------------------------------------
struct LoadBalancer::Core {
  Settings settings;
  ActionSink& sink;
  Time now{};
  std::map<EndpointId, Endpoint> endpoints;
  std::map<GroupId, ReplicaGroup> groups;
  std::unordered_map<RequestId, PendingRequest> pending;
  std::unordered_map<std::uint64_t, Time> sessionCommits;  // last write of each session, where not carried
  std::vector<double> offeredDemand,
      servedInTime;  // requests of each class, fading: asked, and answered within the aim
  std::vector<double> meanLatencies,
      baselineLatencies;            // mean and low latency of each class, microseconds; 0: not seen yet
  std::vector<LatencySample> pool;  // of all members together: stands in where a window is thin
  double retryBudget = 1, hedgingBudget = 0;
  const std::uint64_t seed;
  Time decayedAt{};
  int attemptsInFlight = 0;  // attempts that are out
  int largestGroup = 1;      // ready members of the largest group so far
  bool tickScheduled = false, started = false;
  bool loadIsReported = false;  // reports tell how many requests a member holds
  bool polling = false;
  Time pollBackoff = kMinPollBackoff;
  std::uint64_t pollGeneration = 0;

  Core(const Settings& given, std::uint64_t own, ActionSink& out) : settings(given), sink(out), seed(own) {
    offeredDemand = servedInTime = meanLatencies = baselineLatencies =
        std::vector<double>(settings.classes.size());
    loadIsReported =
        std::count(settings.reportFields.begin(), settings.reportFields.end(), ReportField::InFlight) > 0;
    if (settings.classes.empty()) throw std::invalid_argument("no classes");
    for (const ClassSettings& c : settings.classes)
      if (c.latencyObjective <= Time(0) || c.deadline < c.latencyObjective)
        throw std::invalid_argument("a class's aim is 0 or past its deadline");
    if (settings.maxAttempts < 1 || settings.proxyCount < 1)
      throw std::invalid_argument("attemptsCap or balancers below 1");
    if (settings.initialCapacity <= 0 || settings.initialCapacity > 1)
      throw std::invalid_argument("startCapacity is not in (0, 1]");
  }

  Core& from(Time present) { return now = present, *this; }
  // A number that is the same for the same things at this router, and another at each other one.
  std::uint64_t seededHash(std::uint64_t a, std::uint64_t b = 0) const {
    std::uint64_t x = seed + 0x9e3779b97f4a7c15ull * (a + 1) + 0xc2b2ae3d27d4eb4full * b;
    for (int k = 0; k < 2; ++k) x = (x ^ (x >> 31)) * 0xbf58476d1ce4e5b9ull;
    return x ^ (x >> 29);
  }
  double uniformFraction(std::uint64_t a, std::uint64_t b = 0) const {
    return static_cast<double>(seededHash(a, b) >> 11) * 0x1p-53;
  }

  const ClassSettings& classOf(const PendingRequest& r) const {
    return settings.classes[at(r.request.classIndex)];
  }
  Endpoint* find(EndpointId id) {
    const auto it = endpoints.find(id);
    return it == endpoints.end() ? nullptr : &it->second;
  }
  Time meanLatency(int cls) const { return Time(static_cast<std::int64_t>(meanLatencies[at(cls)])); }

  // Guards against sends to what drains or is gone, from the very event that tells of it.
  bool isRoutable(const Endpoint& m) const {
    if (m.info.state == Lifecycle::Ready) return true;
    return settings.removedEndpointsServe && m.info.state == Lifecycle::Gone && !m.drainingObserved;
  }
  // A member set aside comes back by one request at a time once its pause is over.
  bool isHealthy(const Endpoint& m) const {
    if (m.healthCheckPending && now - m.healthCheckSentAt > kHealthCheckTimeout) return false;
    if (m.ejectedUntil == never) return true;
    if (now < m.ejectedUntil) return false;
    return std::none_of(m.inFlight.begin(), m.inFlight.end(),
                        [&](const InFlightAttempt& o) { return o.sentAt >= m.ejectedUntil; });
  }
  void readmit(Endpoint& m) {
    m.consecutiveFailures = 0;
    m.ejectedUntil = never;
    m.ejectionBackoff = Time(0);
    m.failingFast = false;
  }
  void eject(Endpoint& m, bool erring = false) {
    m.failingFast = erring;
    m.ejectionBackoff = std::max(m.ejectionBackoff, kMinEjection);
    m.ejectedUntil = now + m.ejectionBackoff;
    m.ejectionBackoff = std::min(2 * m.ejectionBackoff, kMaxEjection);
    groups[m.info.group].lastFaultAt = now;
  }

  // Roles: the newest evidence wins, however it came. A report is as old as the position in it.
  void observeRole(Endpoint& m, Role role, Time at) {
    if (at < m.roleObservedAt) return;
    ReplicaGroup& g = groups[m.info.group];
    if (role == Role::Primary) {
      Endpoint* const other = g.primary == m.info.id ? nullptr : find(g.primary);
      if (other && other->roleObservedAt > at) return;
      if (other) other->role = Role::Unknown;
    }
    if (role == Role::Primary || g.primary == m.info.id) {
      g.primary = role == Role::Primary ? m.info.id : 0;
      g.discoveryExhausted = false;
    }
    m.role = role;
    m.roleObservedAt = at;
  }
  Endpoint* primaryOf(ReplicaGroup& g) {
    Endpoint* const m = find(g.primary);
    return m && isRoutable(*m) ? m : nullptr;
  }

  void observePosition(Endpoint& m, Time position) {
    m.position = std::max(m.position, position);
    if (m.positionLags.size() == kPositionWindowSize) m.positionLags.erase(m.positionLags.begin());
    m.positionLags.emplace_back(now, now - m.position);
  }
  void observeReport(Endpoint& m, const std::vector<float>& report) {
    Time at = never;
    Role role = Role::Unknown;
    for (std::size_t k = 0; k < report.size() && k < settings.reportFields.size(); ++k) {
      const float v = report[k];
      if (settings.reportFields[k] == ReportField::Position && v > 0 && v < 1e9f) {
        // An f32 may have been rounded up: the next one below it is proven.
        const double low = static_cast<double>(std::nextafterf(v, 0.0f));
        at = settings.positionEpoch + Time(static_cast<std::int64_t>(std::floor(low * 1e6)));
      } else if (settings.reportFields[k] == ReportField::Primary) {
        role = v >= 0.5f ? Role::Primary : Role::Replica;
      } else if (settings.reportFields[k] == ReportField::InFlight && v >= 0 && v < 1e6f) {
        m.reportedInFlight = static_cast<int>(v);
        m.loadReportedAt = now;
      }
    }
    if (at == never || at > now) return;
    observePosition(m, at);
    if (role == Role::Unknown) return;
    observeRole(m, role, at);
    // Guards against what a router of many cannot know: it hears from each member once in many seconds, all
    // of them together many times a second. Whoever hears first tells, the others keep quiet for a while; and
    // none tells more than twice its part, lest all of them do where words are lost on the way.
    const auto over = [&](Time since, Time pause) { return since == never || now - since >= pause; };
    if (!settings.gossipAllowed || !over(m.lastBroadcastAt, kBroadcastInterval) ||
        !over(m.lastOwnBroadcastAt, kBroadcastInterval * settings.proxyCount / 2))
      return;
    m.lastBroadcastAt = m.lastOwnBroadcastAt = now;
    sink.broadcast({m.info.id, at, role == Role::Primary, m.reportedInFlight});
  }
  void onGossip(const GossipMessage& w) {
    Endpoint* const m = find(w.endpoint);
    if (!m || w.position > now) return;
    m->lastBroadcastAt = m->lastResponseAt = m->loadReportedAt = now;
    m->reportedInFlight = w.inFlight;
    observePosition(*m, w.position);
    observeRole(*m, w.primary ? Role::Primary : Role::Replica, w.position);
    serveWaiting(groups[m->info.group]);
  }

  // Attempts that are lost rather than queued say nothing of a member's load: far beyond the usual latency,
  // and what was sent in the younger half of their age has been answered already.
  Time silenceTimeout(int cls) const {
    const ClassSettings& c = settings.classes[at(cls)];
    return meanLatency(cls) > Time(0) ? scaled(meanLatency(cls), kSilenceFactor) : c.latencyObjective;
  }
  bool isPresumedLost(const Endpoint& m, const InFlightAttempt& o) const {
    return now - o.sentAt > silenceTimeout(o.classIndex) &&
           m.latestAnsweredSentAt > o.sentAt + (now - o.sentAt) / 2;
  }
  bool hasFreshLoadReport(const Endpoint& m) const {
    return m.loadReportedAt != never && now - m.loadReportedAt < kMaxLoadReportAge;
  }
  // Own requests there, or what its last report told of all routers' while that is news. Guards against all
  // routers running after the same word: an old one counts for less than its group's mean. In warm members'
  // terms.
  double loadOf(const Endpoint& m) const {
    const auto own = std::count_if(m.inFlight.begin(), m.inFlight.end(),
                                   [&](const InFlightAttempt& o) { return !isPresumedLost(m, o); });
    double sum = 0, n = 0;
    for (const EndpointId id : groups.at(m.info.group).endpoints)
      if (const Endpoint& x = endpoints.at(id); hasFreshLoadReport(x)) sum += x.reportedInFlight, n += 1;
    const double mean = n > 0 ? sum / n : 0,
                 fresh = hasFreshLoadReport(m) ? std::exp(-ratio(now - m.loadReportedAt, kLoadRelaxationTime))
                                               : 0;
    return std::max(static_cast<double>(own), mean + (m.reportedInFlight - mean) * fresh) / warmUpCapacity(m);
  }
  bool isIdle(const Endpoint& m) const { return m.inFlight.empty() && loadOf(m) < 1; }
  void addSample(Endpoint& m, const InFlightAttempt& o, double latency) {
    std::vector<LatencySample>& w = o.knownStale ? m.staleSamples : m.freshSamples;
    if (w.size() == kLatencyWindowSize) w.erase(w.begin());
    w.push_back({latency, o.classIndex, o.load, now});
    if (latency == kNeverAnswered || o.knownStale) return;
    if (pool.size() == 2 * kLatencyWindowSize) pool.erase(pool.begin());
    pool.push_back(w.back());
  }
  // A latency of class `from`, as one of class `to` would have been.
  double convert(double latency, int from, int to) const {
    const double a = meanLatencies[at(from)], b = meanLatencies[at(to)];
    return a > 0 && b > 0 ? latency * b / a : latency;
  }

  // ---- the need of a read --------------------------------------------------------------------------------
  // The instant that a member's data must reach if it is sent now; never: any data will do.
  Time requiredPosition(const PendingRequest& r) const {
    return classOf(r).consistency == Consistency::BoundedStaleness ? now - classOf(r).maxStaleness
                                                                   : r.requiredCommit;
  }
  void setRequiredCommit(PendingRequest& r) {
    const ClassSettings& c = classOf(r);
    if (c.consistency == Consistency::Strong) r.requiredCommit = now;
    if (c.consistency != Consistency::ReadYourWrites) return;
    if (settings.sessionTokensCarried) {
      if (!(r.request.sessionTokenAgeMs > 0)) return;
      // The age may have been rounded up: take the next f32 below it, so that the need is rounded up.
      const double age = static_cast<double>(std::nextafterf(r.request.sessionTokenAgeMs, 0.0f)) * 1e3;
      r.requiredCommit =
          now - Time(static_cast<std::int64_t>(std::min(age, static_cast<double>(now.count()))));
    } else {
      const auto it = sessionCommits.find(r.request.session);
      r.requiredCommit = it != sessionCommits.end() ? it->second : groups[r.request.group].evictedCommit;
    }
  }
  // The share of recent samples that were new enough, 1 where the position proves it, below 0: leave it out.
  double stalenessFactor(const Endpoint& m, const ReplicaGroup& g, Time need) const {
    if (need == never || m.info.id == g.primary || m.position >= need) return 1;
    if (settings.staleReadPolicy == StaleReadPolicy::Serve)
      return -1;  // it would answer from old data: only a proof will do
    const Time age = now - need;
    double in = 0, all = 0;
    for (const auto& [at, lag] : m.positionLags) {
      if (at + kMaxSampleAge >= now) all += 1, in += lag <= age;
    }
    return all > 0 ? in / all : 0.5;
  }

  // ---- read-set selection --------------------------------------------------------------------------------
  // The share of a window that would miss `budget` now. Samples are brought to this class and to the member's
  // present load; `byLoad` leaves out failures that come at any load. What all members together showed lately
  // stands in where the window is thin. Requests out for longer than the budget count as misses already: a
  // hung member keeps old good samples, its silence is the evidence.
  double missChance(const Endpoint& m, const std::vector<LatencySample>& window, int cls, Time budget,
                    double* expected = nullptr, bool byLoad = false) const {
    const double load = std::max(kEndpointConcurrency, loadOf(m) + 1.0),
                 limit = static_cast<double>(budget.count());
    double late = 0, all = 0, sum = 0;
    const auto count = [&](double latency) {
      late += latency > limit;
      sum += std::min(latency, 4 * limit);
      all += 1;
    };
    const auto countAll = [&](const std::vector<LatencySample>& w) {
      for (const LatencySample& x : w)
        if (x.at + kMaxSampleAge >= now && !(byLoad && x.latency == kNeverAnswered))
          count(convert(x.latency, x.classIndex, cls) * load / std::max(kEndpointConcurrency, x.load + 1.0));
    };
    countAll(pool);
    if (all == 0)
      all = 1,
      sum = meanLatencies[at(cls)] * load / kEndpointConcurrency;  // nothing seen yet counts as on time
    late /= all, sum /= all, all = 1;
    countAll(window);
    for (const InFlightAttempt& o : m.inFlight) {
      const double age = convert(static_cast<double>((now - o.sentAt).count()), o.classIndex, cls);
      if (age > limit && !(byLoad && isPresumedLost(m, o))) count(age);
    }
    if (expected) *expected = sum / all;
    return late / all;
  }

  // The members that a read may go to, least recently used first (a send counts as use: by answers alone a
  // burst would all go to one), alike ones in an order of this router's own, as not all routers may start at
  // the same. A read for which any data will do leaves the fresh members to those that need them: it guards
  // against a lag spreading over all replicas, and acts where some position was too old for a bounded read.
  std::vector<Endpoint*> candidates(const PendingRequest& r, bool lastResort = false) {
    ReplicaGroup& g = groups[r.request.group];
    std::vector<Endpoint*> some;
    for (const EndpointId id : g.endpoints) {
      Endpoint& m = endpoints.at(id);
      if (isRoutable(m) && (isHealthy(m) || (lastResort && m.failingFast)) && mayAttempt(r, m) &&
          withinSlowStartBudget(m, r))
        some.push_back(&m);
    }
    const Time bound = tightestBound();
    const bool any = requiredPosition(r) == never;
    std::sort(some.begin(), some.end(), [&](const Endpoint* a, const Endpoint* b) {
      const auto old = [&](const Endpoint* m) {
        return !m->positionLags.empty() && m->positionLags.back().second > bound;
      };
      if (any && old(a) != old(b)) return old(a);
      return a->lastUsedAt != b->lastUsedAt ? a->lastUsedAt < b->lastUsedAt : a->tieBreaker < b->tieBreaker;
    });
    return some;
  }

  // Whether the last word of a member will do for a choice now: where members do not check, a proven
  // position; where reports tell their load, or for a write that must not be lost, a word within the aim.
  bool isKnownWell(const PendingRequest& r, const Endpoint& m) const {
    const Time need = requiredPosition(r);
    if (settings.staleReadPolicy == StaleReadPolicy::Serve && need != never &&
        m.info.id != groups.at(r.request.group).primary && m.position < need)
      return false;
    if (!loadIsReported && classOf(r).consistency != Consistency::Write) return true;
    return m.lastResponseAt != never && now - m.lastResponseAt < (classOf(r).consistency == Consistency::Write
                                                                      ? classOf(r).latencyObjective
                                                                      : kMaxLoadReportAge);
  }
  // Guards against choosing blindly where no router has heard of a fit member lately: positions that are worn
  // out, loads and deaths that nobody has told. It asks those that are next in turn and waits briefly for
  // their word. What does not answer is taken for dead by healthy(). It costs a probe or two, and the wait.
  bool checkHealthFirst(PendingRequest& r, std::vector<Endpoint*> next) {
    if (!settings.healthChecksAllowed || settings.reports == LoadReports::None || r.healthChecksSent)
      return false;
    if (classOf(r).consistency == Consistency::Strong) return false;  // no replica's word can be new enough
    if (classOf(r).consistency != Consistency::Write)
      next.erase(std::remove(next.begin(), next.end(), find(groups[r.request.group].primary)), next.end());
    if (std::any_of(next.begin(), next.end(), [&](const Endpoint* m) { return isKnownWell(r, *m); }))
      return false;
    next.resize(std::min(next.size(), kHealthChecksPerSend));
    const Time pause = loadIsReported ? kTickInterval : tightestBound() / 4;
    for (Endpoint* m : next) {
      if (!m->healthCheckPending && (m->healthCheckSentAt == never || now - m->healthCheckSentAt >= pause))
        checkHealth(*m);
      r.healthChecksSent = r.healthChecksSent || m->healthCheckPending;
    }
    if (r.healthChecksSent)
      wait(r, std::max(settings.timeStep, classOf(r).latencyObjective / kHealthCheckWaitDivisor));
    return r.healthChecksSent;
  }
  // Members on which the read would not be useful are passed over, not its end: the next in turn may be idle.
  // `busy`: there were such.
  std::vector<Candidate> readSet(const PendingRequest& r, bool& busy, bool lastResort = false) {
    ReplicaGroup& g = groups[r.request.group];
    const ClassSettings& c = classOf(r);
    const Time need = requiredPosition(r);
    Time budget = r.arrivedAt + c.latencyObjective - now;
    if (budget <= Time(0)) budget = std::max(r.request.deadline - now, Time(1));
    std::vector<Candidate> replicas, set;
    Candidate primary{nullptr, 1, 0};
    for (Endpoint* m : candidates(r, lastResort)) {
      const double f = stalenessFactor(*m, g, need);
      if (f < 0 || (lastResort && !m->failingFast)) continue;
      if (!isAdmissible(r, *m)) {
        busy = true;
        continue;
      }
      Candidate ch{m, 0, 0};
      ch.missProbability =
          missChance(*m, m->freshSamples, r.request.classIndex, budget, &ch.expectedLatency) * f;
      if (f < 1)
        ch.missProbability += (m->staleSamples.empty()
                                   ? 0.0
                                   : missChance(*m, m->staleSamples, r.request.classIndex, budget, nullptr)) *
                              (1 - f);
      if (m->info.id == g.primary)
        primary = ch;
      else
        replicas.push_back(ch);
    }
    const bool leaveBestOut = g.lastFaultAt != never && now - g.lastFaultAt < kFaultWindow;
    double product = 1, best = 1;
    const auto enough = [&] {
      return 1 - (leaveBestOut ? product / std::max(best, 1e-9) : product) >= kTargetProbability;
    };
    const auto add = [&](const Candidate& ch) {
      set.push_back(ch);
      product *= std::max(ch.missProbability, 1e-9);
      best = std::min(best, std::max(ch.missProbability, 1e-9));
    };
    for (const Candidate& ch : replicas) {
      add(ch);
      if (enough()) break;
    }
    if (primary.endpoint && !busy && (set.empty() || !enough())) add(primary);  // sparing the primary
    std::stable_sort(set.begin(), set.end(), [](const Candidate& a, const Candidate& b) {
      return a.missProbability != b.missProbability ? a.missProbability < b.missProbability
                                                    : a.expectedLatency < b.expectedLatency;
    });
    return set;
  }

  // Whether one more attempt of this request may go to this member, by its effect and what was tried.
  bool mayAttempt(const PendingRequest& r, const Endpoint& m) {
    if (std::find(r.attemptedEndpoints.begin(), r.attemptedEndpoints.end(), m.info.id) !=
        r.attemptedEndpoints.end())
      return false;
    const ClassSettings& c = classOf(r);
    if (!r.maybeExecuted || c.idempotency == Idempotency::Idempotent) return true;
    if (c.idempotency == Idempotency::NonIdempotent || now >= r.maybeExecutedAt + c.deduplicationWindow)
      return false;
    const Endpoint* const first = find(r.maybeExecutedOn);
    if (!first || c.deduplicationScope == DeduplicationScope::All) return first != nullptr;
    return c.deduplicationScope == DeduplicationScope::Zone ? first->info.zone == m.info.zone
                                                            : first->info.group == m.info.group;
  }

  void advanceRead(PendingRequest& r) {
    if (checkHealthFirst(r, candidates(r))) return;
    bool busy = false;
    std::vector<Candidate> set = readSet(r, busy);
    if (set.empty() && !busy && !r.attemptedEndpoints.empty()) {  // all were tried: another round
      r.attemptedEndpoints.clear();
      set = readSet(r, busy);
    }
    for (int round = 0; set.empty() && round < 2; ++round) {
      if (round > 0) r.attemptedEndpoints.clear();
      set = readSet(r, busy, true);
    }
    if (set.empty()) return busy ? giveUp(r) : wait(r);
    const bool together =
        settings.hedgingAllowed && classOf(r).idempotency == Idempotency::Idempotent && r.attempts.empty();
    send(r, *set[0].endpoint);
    for (std::size_t k = 1; together && k < set.size() && hedgingBudget >= 1; ++k) {
      if (static_cast<int>(r.attempts.size()) >= settings.maxAttempts) break;
      hedgingBudget -= 1;
      send(r, *set[k].endpoint);
    }
  }

  // ---- primary finding and writes ------------------------------------------------------------------------
  void advanceWrite(PendingRequest& r) {
    ReplicaGroup& g = groups[r.request.group];
    g.primaryWantedAt = now;
    Endpoint* const m = primaryOf(g);
    if (m) {
      r.attemptedEndpoints.clear();
      // A primary that fails some at once is the only way all the same; one that is silent or gone is none.
      const bool fit = isHealthy(*m) || m->failingFast;
      if (!fit || !mayAttempt(r, *m) || !withinSlowStartBudget(*m, r)) return wait(r);
      if (checkHealthFirst(r, {m})) return;
      return isAdmissible(r, *m) ? send(r, *m) : giveUp(r);
    }
    // No primary is known: one write tries the members by id and keeps its last attempt; the others wait.
    const bool spare = static_cast<int>(r.attempts.size()) < std::max(settings.maxAttempts - 1, 1);
    if (spare && !g.discoveryExhausted && (g.discoveryRequest == 0 || g.discoveryRequest == r.request.id)) {
      for (const EndpointId id : g.endpoints) {
        Endpoint& x = endpoints.at(id);
        if (!isRoutable(x) || !isHealthy(x) || !mayAttempt(r, x) || !withinSlowStartBudget(x, r)) continue;
        g.discoveryRequest = r.request.id;
        return send(r, x);
      }
      g.discoveryExhausted = true;
    }
    if (g.discoveryRequest == r.request.id) g.discoveryRequest = 0;
    r.attemptedEndpoints.clear();
    wait(r);
  }

  // ---- attempts, time-outs, retries ----------------------------------------------------------------------
  void send(PendingRequest& r, Endpoint& m) {
    const Time need = requiredPosition(r);
    const ReplicaGroup& g = groups[r.request.group];
    const bool held = need != never && m.info.id != g.primary && m.position < need;
    r.attempts.push_back({m.info.id, now});
    r.attemptedEndpoints.push_back(m.info.id);
    ++r.outstandingAttempts;
    m.inFlight.push_back(
        {r.request.id, static_cast<int>(r.attempts.size()) - 1, r.request.classIndex, loadOf(m), now, held});
    m.lastUsedAt = now;
    r.healthChecksSent = false;
    ++attemptsInFlight;
    scheduleTick();
    sink.send(r.request.id, m.info.id, r.request.deadline);
  }

  void advance(PendingRequest& r) {
    if (r.outstandingAttempts > 0) return;
    const ClassSettings& c = classOf(r);
    const bool spent = static_cast<int>(r.attempts.size()) >= settings.maxAttempts;
    if (spent || now >= giveUpAt(r) || (r.maybeExecuted && c.idempotency == Idempotency::NonIdempotent))
      return giveUp(r);
    if (c.consistency == Consistency::Write)
      advanceWrite(r);
    else
      advanceRead(r);
  }
  void wait(PendingRequest& r, Time most = never) {
    if (r.waiting) return;
    r.waiting = true;
    Time in = std::max(std::min(giveUpAt(r), r.request.deadline) - now, Time(1));
    if (most != never) in = std::min(in, most);
    sink.scheduleTimer(in, {TimerKind::Wake, r.request.id});
    scheduleTick();
    groups[r.request.group].waiting.push_back(r.request.id);
  }
  void serveWaiting(ReplicaGroup& g) {
    std::vector<RequestId> ids;
    ids.swap(g.waiting);
    for (const RequestId id : ids) {
      const auto it = pending.find(id);
      if (it == pending.end() || !it->second.waiting) continue;
      it->second.waiting = false;
      advance(it->second);
    }
  }

  void outcome(const AttemptOutcome& o) {
    Endpoint* const m = find(o.endpoint);
    if (!m) return;
    const auto sent = std::find_if(m->inFlight.begin(), m->inFlight.end(), [&](const InFlightAttempt& x) {
      return x.request == o.request && x.attempt == o.attempt;
    });
    if (sent == m->inFlight.end()) return;
    const InFlightAttempt was = *sent;
    m->inFlight.erase(sent);
    --attemptsInFlight;
    const GroupId group = m->info.group;
    learnFromOutcome(*m, was, o);
    const auto it = pending.find(o.request);
    if (it != pending.end()) {
      PendingRequest& r = it->second;
      Attempt& a = r.attempts[at(o.attempt)];
      a.open = false;
      --r.outstandingAttempts;
      r.reachedEndpoint = r.reachedEndpoint ||
                          (o.status != AttemptStatus::ConnectFailed && o.status != AttemptStatus::NotSent);
      if (mayHaveRun(o.status) && (!r.maybeExecuted || a.sentAt < r.maybeExecutedAt)) {
        r.maybeExecuted = true;
        r.maybeExecutedAt = a.sentAt;
        r.maybeExecutedOn = a.endpoint;
      }
      if (o.requestClosed || o.status == AttemptStatus::Ok) {
        if (o.status == AttemptStatus::Ok && now - r.arrivedAt <= classOf(r).latencyObjective)
          servedInTime[at(r.request.classIndex)] += 1;
        close(r);
      } else {
        // A miss, a turning away, an error that came at once, or an attempt that never went out cost the
        // member nothing; what was really tried again must be earned.
        const bool ended = o.status == AttemptStatus::Error || o.status == AttemptStatus::Reset ||
                           o.status == AttemptStatus::ConnectFailed;
        const bool quick = ended && static_cast<double>((now - a.sentAt).count()) <
                                        baselineLatencies[at(r.request.classIndex)] * kImmediateFailureShare;
        const bool unseen = !mayHaveRun(o.status) && o.status != AttemptStatus::ConnectFailed;
        const bool free = unseen || a.cancelled || quick;
        if (r.outstandingAttempts == 0 && !free && now < r.request.deadline) {
          if (retryBudget >= 1)
            retryBudget -= 1;
          else
            return giveUp(r);
        }
        advance(r);
      }
    }
    serveWaiting(groups[group]);
  }

  // What an outcome says of its member, whether or not the request is still open.
  void learnFromOutcome(Endpoint& m, const InFlightAttempt& was, const AttemptOutcome& o) {
    ReplicaGroup& g = groups[m.info.group];
    const ClassSettings& c = settings.classes[at(was.classIndex)];
    const Time latency = now - was.sentAt;
    const bool write = c.consistency == Consistency::Write;
    const bool answered = o.status == AttemptStatus::Ok || o.status == AttemptStatus::TooStale ||
                          o.status == AttemptStatus::Rejected || o.status == AttemptStatus::Error;
    if (answered && o.role != Role::Unknown) observeRole(m, o.role, now);
    if (o.position && *o.position <= now + milliseconds(1))
      observePosition(
          m, std::min(now, write ? *o.position - milliseconds(1) : *o.position));  // a commit was rounded up
    observeReport(m, o.report);
    if (answered && o.status != AttemptStatus::Error) {
      m.lastAnswerAt = m.lastUsedAt = m.lastResponseAt = now;
      m.latestAnsweredSentAt =
          std::max(m.latestAnsweredSentAt, o.status == AttemptStatus::Ok ? was.sentAt : never);
    }
    if (o.status == AttemptStatus::Ok) {
      double& u = meanLatencies[at(was.classIndex)];
      const double us = static_cast<double>(latency.count());
      u = u > 0 ? u + kLatencySmoothing * (us - u) : us;
      double& b = baselineLatencies[at(was.classIndex)];
      b = b > 0 ? b + (us < b ? kLatencySmoothing : kLatencySmoothing / 10) * (us - b) : us;
      addSample(m, was, us);
      readmit(m);
    } else if (o.status == AttemptStatus::Rejected) {
      // Full, draining or about to stop: that says nothing of latencies. Guards against taking it for
      // slowness at any load, which would refuse the reads of all members; this one rests for a moment.
      m.ejectedUntil = std::max(m.ejectedUntil, now + kRejectionPause);
    } else if (o.status != AttemptStatus::NotSent && o.status != AttemptStatus::Cancelled &&
               !(write && o.status == AttemptStatus::TooStale)) {
      // A fast failure must not look fast. A time-out is a wait past the deadline, at that load.
      const bool byLoad = o.status == AttemptStatus::Timeout && !isPresumedLost(m, was);
      addSample(m, was, byLoad ? static_cast<double>(c.deadline.count()) : kNeverAnswered);
      if (o.status == AttemptStatus::TooStale || o.status == AttemptStatus::Timeout) g.lastFaultAt = now;
      // A failed connection, with nothing heard since, is a process that is gone; a reset alone is not.
      const bool down = o.status == AttemptStatus::ConnectFailed && m.lastAnswerAt < was.sentAt;
      const bool broken = o.status == AttemptStatus::ConnectFailed || o.status == AttemptStatus::Reset;
      if (o.status != AttemptStatus::TooStale &&
          (++m.consecutiveFailures >= kConsecutiveFailuresToEject || down)) {
        // Where connections break at random a broken one says less than a probe, which decides.
        if (broken && settings.healthChecksAllowed && settings.reports != LoadReports::None) {
          if (!m.healthCheckPending && (m.failingFast || now >= m.ejectedUntil)) checkHealth(m);
          return;
        }
        if (now >= m.ejectedUntil) eject(m, o.status == AttemptStatus::Error);
        if (down)
          observeRole(m, Role::Unknown, now);  // its process is gone: whoever is primary must say so anew
      }
    }
  }

  // Guards against members that take work and answer nothing, and against answers lost on the way. A member
  // that has answered nothing since an attempt was sent, for several usual latencies, is probed: if that
  // stays unanswered too it is set aside, else that attempt alone is lost. Where nothing can be probed it is
  // set aside at once. Its reads go on elsewhere. A member that still answers others has a heavy request, no
  // more.
  void detectSilence(Endpoint& m) {
    const bool canProbe = settings.healthChecksAllowed && settings.reports != LoadReports::None;
    for (const InFlightAttempt& o : std::vector<InFlightAttempt>(m.inFlight)) {
      const Time due = o.sentAt + silenceTimeout(o.classIndex);
      if (m.lastAnswerAt >= o.sentAt || now < due) continue;
      const bool trial = m.ejectedUntil != never && o.sentAt < m.ejectedUntil;  // it was sent before that
      if (!trial && !canProbe) eject(m);
      if (canProbe && m.lastResponseAt < due && !m.healthCheckPending && !trial) checkHealth(m);
      if (now >= m.ejectedUntil && isHealthy(m) && (!canProbe || m.lastResponseAt < due)) continue;
      const auto it = pending.find(o.request);
      if (it == pending.end()) continue;
      PendingRequest& r = it->second;
      Attempt& a = r.attempts[at(o.attempt)];
      if (classOf(r).idempotency != Idempotency::Idempotent || a.cancelled || !settings.cancellationAllowed ||
          retryBudget < 1)
        continue;
      bool busy = false;
      if (static_cast<int>(r.attempts.size()) >= settings.maxAttempts || readSet(r, busy).empty()) continue;
      retryBudget -= 1;
      a.cancelled = true;
      sink.cancel(o.request, o.attempt);  // its outcome brings the next attempt
    }
  }

  // ---- refusals ------------------------------------------------------------------------------------------
  // From when on a request can no longer be answered usefully by a new attempt.
  Time giveUpAt(const PendingRequest& r) const {
    Time end = std::min(r.request.deadline, classOf(r).latePriorityShare > 0
                                                ? r.request.deadline
                                                : r.arrivedAt + classOf(r).latencyObjective);
    // What finds no member by nearly half of its time is told to come back while that is still of use to it.
    if (!r.reachedEndpoint && r.outstandingAttempts == 0)
      end = std::min(end, r.arrivedAt + scaled(r.request.deadline - r.arrivedAt, kMaxQueueingShare) +
                              meanLatency(r.request.classIndex));
    const Time first = r.attempts.empty() ? std::min(r.arrivedAt + Time(1), r.request.deadline) : Time(0);
    return std::max(end - meanLatency(r.request.classIndex), first);
  }
  // What the site's goal gains by serving a class, for the work that it takes: its worth in the whole, and
  // for the class that is served worst lately its part in the worst class.
  double goalGain(std::size_t k) const {
    double worth = 0, asked = 0, lowest = 2;
    std::size_t worst = 0;
    for (std::size_t n = 0; n < settings.classes.size(); ++n) {
      worth += offeredDemand[n] * settings.classes[n].priorityWeight;
      asked += offeredDemand[n];
      if (offeredDemand[n] > 0 && servedInTime[n] / offeredDemand[n] < lowest)
        lowest = servedInTime[worst = n] / offeredDemand[n];
    }
    double gain = worth > 0 ? settings.totalServedGoal * settings.classes[k].priorityWeight / worth
                            : settings.classes[k].priorityWeight;
    if (k == worst && offeredDemand[k] > 0 && asked > static_cast<double>(kLatencyWindowSize))
      gain += settings.worstClassGoal / offeredDemand[k];
    return gain / std::max(baselineLatencies[k], 1.0);
  }
  // Guards against queues that make everything late. A request goes out only where it is likely enough to
  // earn its worth and those classes that yield more for the same work would still be on time. It acts on
  // members that hold something already: an idle one may always take a request, so that the way back stays
  // open.
  bool isAdmissible(const PendingRequest& r, const Endpoint& m) {
    if (isIdle(m)) return true;
    const auto onTime = [&](int cls, Time in) {
      return in > Time(0) ? 1 - missChance(m, m.freshSamples, cls, in, nullptr, true) : 0;
    };
    const ClassSettings& c = classOf(r);
    const Time end = std::max(r.request.deadline - now, Time(1)),
               aim = std::min(r.arrivedAt + c.latencyObjective - now, end);
    const double early = onTime(r.request.classIndex, aim), most = aim > Time(0) ? 1 : c.latePriorityShare;
    if (early + c.latePriorityShare * (onTime(r.request.classIndex, end) - early) < kMinExpectedValue * most)
      return false;
    const bool primary = m.info.id == groups[m.info.group].primary;
    for (int k = 0; k < static_cast<int>(settings.classes.size()); ++k) {
      const ClassSettings& x = settings.classes[at(k)];
      if ((x.consistency == Consistency::Write && !primary) || baselineLatencies[at(k)] <= 0 ||
          goalGain(at(k)) <= goalGain(at(r.request.classIndex)))
        continue;
      if (onTime(k, x.latencyObjective) < kMinExpectedValue) return false;
    }
    return true;
  }
  void giveUp(PendingRequest& r) {
    const ClassSettings& c = classOf(r);
    const bool untouched = !r.maybeExecuted && r.outstandingAttempts == 0;
    const bool harmless =
        untouched || c.idempotency == Idempotency::Idempotent ||
        (c.idempotency == Idempotency::IdempotencyKey && c.deduplicationScope == DeduplicationScope::All);
    const RequestId id = r.request.id;
    if (harmless)
      sink.reject(id, settings.retryAfterAllowed
                          ? std::min(settings.maxRetryAfter,
                                     scaled(silenceTimeout(r.request.classIndex), kRetryAfterShare))
                          : Time(0));
    else
      sink.fail(id);
    close(r);
  }
  void close(PendingRequest& r) {
    const RequestId id = r.request.id;
    ReplicaGroup& g = groups[r.request.group];
    if (g.discoveryRequest == id) g.discoveryRequest = 0;
    for (std::size_t k = 0; settings.cancellationAllowed && k < r.attempts.size(); ++k)
      if (r.attempts[k].open && !r.attempts[k].cancelled) sink.cancel(id, static_cast<int>(k));
    pending.erase(id);
  }

  // ---- list, drains, cold starts -------------------------------------------------------------------------
  void onEndpointList(EndpointListKind kind, const std::vector<EndpointUpdate>& entries) {
    polling = kind == EndpointListKind::Failed && settings.discovery == DiscoveryMode::Poll;
    if (polling) {
      schedulePoll(pollBackoff);
      pollBackoff = std::min(
          {2 * pollBackoff, std::max(settings.maxPollInterval / 4, kMinPollBackoff), kMaxPollBackoff});
    }
    if (kind == EndpointListKind::Failed) return;
    pollBackoff = pollJitter();
    if (kind != EndpointListKind::Delta) {
      for (auto& [id, m] : endpoints) {
        const EndpointId key = id;
        if (std::none_of(entries.begin(), entries.end(),
                         [&](const EndpointUpdate& e) { return e.id == key; }))
          m.info.state = Lifecycle::Gone;
        if (m.info.state == Lifecycle::Gone && m.departedAt == never) m.departedAt = now;
      }
    }
    for (const EndpointUpdate& e : entries) {
      Endpoint& m = endpoints[e.id];
      m.tieBreaker = seededHash(e.id);
      if (m.info.id == 0 || m.info.group != e.group) {
        std::vector<EndpointId>& ids = groups[e.group].endpoints;
        ids.insert(std::lower_bound(ids.begin(), ids.end(), e.id), e.id);
        if (m.info.id != 0) {
          std::vector<EndpointId>& was = groups[m.info.group].endpoints;
          was.erase(std::remove(was.begin(), was.end(), e.id), was.end());
        }
      }
      if (e.started > m.info.started) {  // a new process: nothing of its latencies, health and role holds on
        m.freshSamples.clear();
        m.staleSamples.clear();
        readmit(m);
        if (m.info.id != 0) {
          m.info = e;
          observeRole(m, Role::Unknown, std::max(m.roleObservedAt, std::min(e.started, now)));
        }
      }
      m.info = e;
      m.departedAt = e.state != Lifecycle::Gone ? never : m.departedAt == never ? now : m.departedAt;
      m.drainingObserved =
          e.state == Lifecycle::Draining || (m.drainingObserved && e.state != Lifecycle::Ready);
      ReplicaGroup& g = groups[e.group];
      if (!isRoutable(m)) {
        if (g.primary == e.id) observeRole(m, Role::Unknown, std::max(m.roleObservedAt, now));
      } else if (e.primary && settings.listedRole != ListedRole::Never && m.roleObservedAt == never &&
                 g.primary == 0) {
        g.primary = e.id;  // the weakest evidence: anything heard from a member replaces it
        m.role = Role::Primary;
        m.roleObservedAt = Time(0);
      }
    }
    for (auto& [id, g] : groups) {
      const auto ready = std::count_if(g.endpoints.begin(), g.endpoints.end(),
                                       [&](EndpointId x) { return isRoutable(endpoints.at(x)); });
      largestGroup = std::max(largestGroup, static_cast<int>(ready));
      g.discoveryExhausted = false;
      serveWaiting(g);
    }
  }
  // Members are replaced time and again. What is out there, a probe included, must still find its member.
  std::vector<EndpointId> removeDeparted() {
    std::vector<EndpointId> gone;
    for (const auto& [id, m] : endpoints)
      if (!isRoutable(m) && m.departedAt != never && now >= m.departedAt + kDepartedRetention &&
          m.inFlight.empty() && !m.healthCheckPending)
        gone.push_back(id);
    for (const EndpointId id : gone) {
      ReplicaGroup& g = groups[endpoints.at(id).info.group];
      g.endpoints.erase(std::remove(g.endpoints.begin(), g.endpoints.end(), id), g.endpoints.end());
      if (g.primary == id) g.primary = 0;
      endpoints.erase(id);
    }
    for (auto it = groups.begin(); it != groups.end();) {  // clients may name groups that do not exist
      const ReplicaGroup& g = it->second;
      it = g.endpoints.empty() && g.waiting.empty() && g.discoveryRequest == 0 && g.evictedCommit == never
               ? groups.erase(it)
               : std::next(it);
    }
    return gone;
  }
  // Guards against all routers asking at the same instants, of which discovery serves a few and then has
  // nothing to do: each asks at a time of its own, spread over more the more they are.
  Time pollJitter() const {
    return std::clamp<Time>(settings.proxyCount * kPollJitterPerProxy, kMinPollBackoff, kMaxPollBackoff);
  }
  void schedulePoll(Time most) {
    polling = true;
    const Time in = scaled(most, 0.5 + uniformFraction(++pollGeneration) / 2);
    sink.scheduleTimer(in, {TimerKind::Poll, pollGeneration});
  }
  void poll() {
    polling = true;
    sink.pollDiscovery();
    if (settings.maxPollInterval > Time(0))
      sink.scheduleTimer(settings.maxPollInterval / 2, {TimerKind::Poll, ++pollGeneration});
  }

  // What a member can do at present, at least; 1: it is warm.
  double warmUpCapacity(const Endpoint& m) const {
    const Time age = std::max(now - m.info.started, Time(0));
    if (m.info.started == Time(0) || age >= settings.slowStartWindow) return 1;
    return settings.initialCapacity + (1 - settings.initialCapacity) * ratio(age, settings.slowStartWindow);
  }
  // Guards against pushing over a member that has just started, by all routers together. By a dice of the
  // request it is open to as many of its group's requests as its present share of a whole group's capacity,
  // members that are gone included. Retries, bursts and late lists may quadruple what comes: where nobody
  // tells its load it gets a part of its share. One far heavier than others leaves it alone.
  bool withinSlowStartBudget(const Endpoint& m, const PendingRequest& r) const {
    double share = warmUpCapacity(m);
    if (share >= 1) return true;
    const bool told = hasFreshLoadReport(m);
    share *= std::min(1.0, settings.overloadFactor / (told ? 4 : 8)) * (told ? kReportedSlowStartFactor : 1);
    if (groups.at(m.info.group).primary != m.info.id) share /= largestGroup;  // misplaced writes are work too
    double mean = 0, seen = 0;
    for (const double u : meanLatencies) mean += u, seen += u > 0;
    const double own = meanLatencies[at(r.request.classIndex)];
    if (own > 0 && seen > 0) share *= std::min(1.0, mean / seen / own);
    return uniformFraction(r.request.id, m.info.id) < share;
  }

  // ---- probes --------------------------------------------------------------------------------------------
  void checkHealth(Endpoint& m) {
    m.healthCheckPending = true;
    m.healthCheckSentAt = now;
    sink.checkHealth(m.info.id);
  }
  Time tightestBound() const {
    Time t = never;
    for (const ClassSettings& c : settings.classes)
      if (c.consistency == Consistency::BoundedStaleness && (t == never || c.maxStaleness < t))
        t = c.maxStaleness;
    return t == never ? seconds(1) : t;
  }
  void discoverPrimary(ReplicaGroup& g) {
    if (!settings.healthChecksAllowed || settings.reports == LoadReports::None) return;
    if (now > g.primaryWantedAt + kTickInterval || (primaryOf(g) && isHealthy(*primaryOf(g)))) return;
    for (const EndpointId id : g.endpoints) {
      Endpoint& m = endpoints.at(id);
      if (isRoutable(m) && !m.healthCheckPending &&
          now - std::max(m.healthCheckSentAt, m.lastResponseAt) >= kPrimaryDiscoveryInterval)
        checkHealth(m);
    }
  }
  // Housekeeping goes on only while something is out or waits.
  void scheduleTick() {
    if (tickScheduled) return;
    tickScheduled = true;
    sink.scheduleTimer(std::max(settings.timeStep, kTickInterval), {TimerKind::Tick, 0});
  }
  void tick() {
    tickScheduled = false;
    if (attemptsInFlight > 0)
      for (auto& [id, m] : endpoints)
        if (!m.inFlight.empty()) detectSilence(m);
    for (auto& [id, g] : groups) {
      if (g.waiting.empty()) continue;
      serveWaiting(g);
      discoverPrimary(g);
    }
    if (attemptsInFlight > 0 ||
        std::any_of(groups.begin(), groups.end(), [](const auto& g) { return !g.second.waiting.empty(); }))
      scheduleTick();
  }
};

// ---- events ----------------------------------------------------------------------------------------------
LoadBalancer::LoadBalancer(const Settings& settings, std::uint64_t seed, ActionSink& sink)
    : core_(std::make_unique<Core>(settings, seed, sink)) {}
LoadBalancer::~LoadBalancer() = default;
LoadBalancer::LoadBalancer(LoadBalancer&&) noexcept = default;

void LoadBalancer::onEndpointList(Time now, EndpointListKind kind,
                                  const std::vector<EndpointUpdate>& entries) {
  Core& c = core_->from(now);
  c.onEndpointList(kind, entries);
  if (c.started) return;
  c.started = true;
  if (c.settings.discovery != DiscoveryMode::Poll) return;
  c.pollJitter() > kMinPollBackoff ? c.schedulePoll(c.pollJitter() / 2) : c.poll();
}

void LoadBalancer::onRequest(Time now, const Request& q) {
  Core& c = core_->from(now);
  if (c.pending.count(q.id)) return;
  if (q.classIndex < 0 || at(q.classIndex) >= c.settings.classes.size()) return c.sink.reject(q.id, Time(0));
  const double fade = std::exp(-ratio(now - c.decayedAt, kDemandDecay));
  const double keep = std::exp(-ratio(now - c.decayedAt, kBudgetDecay));
  c.decayedAt = now;
  for (std::size_t k = 0; k < c.offeredDemand.size(); ++k) {
    c.offeredDemand[k] *= fade;
    c.servedInTime[k] *= fade;
  }
  c.offeredDemand[at(q.classIndex)] += 1;
  c.retryBudget = std::max(std::min(c.retryBudget, 1.0), c.retryBudget * keep) + kRetryBudgetRatio;
  c.hedgingBudget = std::max(std::min(c.hedgingBudget, 1.0), c.hedgingBudget * keep) + kHedgingBudgetRatio;
  PendingRequest& r = c.pending[q.id];
  r.request = q;
  r.arrivedAt = now;
  c.setRequiredCommit(r);
  c.advance(r);
}

void LoadBalancer::onAttemptOutcome(Time now, const AttemptOutcome& o) {
  Core& c = core_->from(now);
  const auto it = c.pending.find(o.request);
  if (!c.settings.sessionTokensCarried && o.status == AttemptStatus::Ok && it != c.pending.end()) {
    const PendingRequest& r = it->second;
    if (c.classOf(r).consistency == Consistency::Write && r.request.session != 0) {
      const Time commit = o.position.value_or(now);
      Time& last = c.sessionCommits[r.request.session];
      last = std::max(last, commit);
      if (c.sessionCommits.size() >
          kMaxRememberedSessions) {  // forgetting must not make a read stale: one commit stands for all
        for (const auto& entry : c.sessionCommits)
          for (auto& [id, g] : c.groups) g.evictedCommit = std::max(g.evictedCommit, entry.second);
        c.sessionCommits.clear();
      }
    }
  }
  c.outcome(o);
}

void LoadBalancer::onClientLeft(Time now, RequestId id) {
  Core& c = core_->from(now);
  const auto it = c.pending.find(id);
  if (it != c.pending.end()) c.close(it->second);
}

void LoadBalancer::onHealthCheck(Time now, const HealthCheckResult& p) {
  Core& c = core_->from(now);
  Endpoint* const m = c.find(p.endpoint);
  if (!m) return;
  m->healthCheckPending = false;
  if (p.ok) {
    c.observeReport(*m, p.report);
    m->lastResponseAt = now;
    m->consecutiveFailures = 0;
    // Guards against asking the same laggards for ever: to be asked in vain is a turn, too.
    if (m->position < now - c.tightestBound()) m->lastUsedAt = now;
  } else if (m->lastResponseAt < m->healthCheckSentAt && (m->failingFast || now >= m->ejectedUntil)) {
    c.eject(*m);  // its silence or a refused connection: nothing is sent there for a while
    // Connections failed before: its process is gone, and whoever is primary must say so anew.
    if (m->consecutiveFailures > 0) c.observeRole(*m, Role::Unknown, now);
  }
  ReplicaGroup& g = c.groups[m->info.group];
  // A choice by load needs the word of all that were asked.
  const bool more =
      c.loadIsReported && std::any_of(g.endpoints.begin(), g.endpoints.end(), [&](EndpointId id) {
        const Endpoint& x = c.endpoints.at(id);
        return x.healthCheckPending && now - x.healthCheckSentAt <= kHealthCheckTimeout;
      });
  if (!more) c.serveWaiting(g);
}

void LoadBalancer::onTimer(Time now, TimerToken token) {
  Core& c = core_->from(now);
  if (token.kind == TimerKind::Tick) c.tick();
  if (token.kind == TimerKind::Wake) {  // to the instant: a request that waits must not outlast its client
    const auto it = c.pending.find(token.id);
    if (it != c.pending.end() && it->second.waiting) {
      it->second.waiting = false;
      std::vector<RequestId>& w = c.groups[it->second.request.group].waiting;
      w.erase(std::remove(w.begin(), w.end(), token.id), w.end());
      c.advance(it->second);
    }
  }
  if (token.kind == TimerKind::Poll && token.id == c.pollGeneration && c.polling) c.poll();
}

void LoadBalancer::onGossip(Time now, const GossipMessage& w) { core_->from(now).onGossip(w); }

bool LoadBalancer::isStillEligible(Time now, RequestId id, EndpointId to) {
  Core& c = core_->from(now);
  const auto it = c.pending.find(id);
  const Endpoint* const m = c.find(to);
  if (it == c.pending.end() || !m || !c.isRoutable(*m)) return false;
  return c.stalenessFactor(*m, c.groups[m->info.group], c.requiredPosition(it->second)) >= 0;
}

std::vector<EndpointId> LoadBalancer::removeDeparted(Time now) { return core_->from(now).removeDeparted(); }

void LoadBalancer::setPositionEpoch(Time epoch) { core_->settings.positionEpoch = epoch; }

}  // namespace stonebay
