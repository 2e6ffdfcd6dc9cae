// Checks invariants of the LoadBalancer in long pseudo-random sequences of valid but adverse events.
#include <algorithm>
#include <array>
#include <map>
#include <random>

#include "balancer_fixture.hpp"
#include "invariant_checker.hpp"

namespace stonebay::test {
namespace {

constexpr int kSteps = 4000;
constexpr int kEndpoints = 5;
constexpr int kClasses = 7;
constexpr Duration kHealthCheckLatency = 3ms;

Settings settingsOfVariant(int variant) {
  const auto bits = static_cast<unsigned>(variant);
  Settings settings = defaultSettings();
  settings.staleReadPolicy = static_cast<StaleReadPolicy>(variant % 3);
  settings.requestsCarrySessionToken = (bits & 1U) != 0;
  settings.positionsInResponses = (bits & 2U) != 0;
  settings.hedgingAllowed = (bits & 4U) != 0;
  settings.discovery = (bits & 8U) != 0 ? DiscoveryMode::Poll : DiscoveryMode::Push;
  settings.removedEndpointsAcceptRequests = (bits & 16U) != 0;
  return settings;
}

// Generates one sequence of events and checks the actions after each event. The sequence depends on the order
// of the calls of pick().
class EventSequence {
 public:
  explicit EventSequence(int variant)
      : random_(static_cast<std::uint64_t>(variant) * 7919 + 1),
        fixture_(settingsOfVariant(variant), kEndpoints),
        checker_(fixture_.settings) {
    for (EndpointId id = 1; id <= kEndpoints; ++id) checker_.endpoints[id].listed = Lifecycle::Ready;
  }

  void run() {
    for (int step = 0; step < kSteps; ++step) {
      fixture_.advanceTime(step % 997 == 0 ? 7s : milliseconds(pick(8)));  // the clock may jump ahead
      ASSERT_NO_FATAL_FAILURE(fireTimers());
      ASSERT_NO_FATAL_FAILURE(timeOutAttempts());
      ASSERT_NO_FATAL_FAILURE(answerHealthChecks());
      ASSERT_NO_FATAL_FAILURE(generateRandomEvent());
      ASSERT_NO_FATAL_FAILURE(checkNewActions());
    }
    for (const auto& [id, request] : checker_.requests)
      EXPECT_TRUE(request.isFinished || fixture_.now <= request.deadline) << id;
  }

 private:
  int pick(int n) { return static_cast<int>(random_() % static_cast<std::uint64_t>(n)); }
  EndpointId pickEndpoint() { return 1 + random_() % kEndpoints; }

  // ---- events ----
  void fireTimers() {
    while (!timers_.empty() && timers_.begin()->first <= fixture_.now) {
      const TimerToken token = timers_.begin()->second;
      timers_.erase(timers_.begin());
      fixture_.balancer.onTimer(fixture_.now, token);
      ASSERT_NO_FATAL_FAILURE(checkNewActions());
    }
  }

  // The embedding program ends attempts at the client's deadline.
  void timeOutAttempts() {
    for (auto& [id, request] : checker_.requests) {
      if (fixture_.now < request.deadline) continue;
      for (std::size_t i = 0; i < request.attempts.size(); ++i) {
        if (!request.attempts[i].inFlight) continue;
        request.endAttempt(i, true);
        fixture_.balancer.onAttemptOutcome(fixture_.now, outcomeOf(id, request, i, AttemptStatus::Timeout));
        ASSERT_NO_FATAL_FAILURE(checkNewActions());
      }
      ASSERT_TRUE(request.isFinished) << "no final response by the deadline";
    }
  }

  void answerHealthChecks() {
    while (!healthChecks_.empty() && healthChecks_.begin()->first <= fixture_.now) {
      const EndpointId endpoint = healthChecks_.begin()->second;
      healthChecks_.erase(healthChecks_.begin());
      answerHealthCheck(endpoint);
      ASSERT_NO_FATAL_FAILURE(checkNewActions());
    }
  }

  void answerHealthCheck(EndpointId endpoint) {
    const bool ok = pick(5) != 0;
    const Duration age = milliseconds(pick(600));
    const bool isPrimary = pick(12) == 0;
    if (!ok) {
      fixture_.failHealthCheck(endpoint);
      return;
    }
    EndpointState& state = checker_.endpoints[endpoint];
    state.provenPosition = std::max(state.provenPosition, fixture_.now - age);
    if (isPrimary) state.isPrimary = true;
    fixture_.reportPosition(endpoint, age, isPrimary);
  }

  void generateRandomEvent() {
    switch (pick(8)) {
      case 0:
      case 1:
      case 2:
        submitRequest();
        break;
      case 3:
        changeEndpointList();
        break;
      case 4:
        abandonLatestRequest();
        break;
      default:
        endSomeAttempt();
    }
  }

  void submitRequest() {
    TrackedRequest request;
    request.classIndex = pick(kClasses);
    const Duration deadline = checker_.classOf(request).deadline / (1 + pick(2));
    request.deadline = fixture_.now + deadline;
    request.session = 1 + random_() % 5;
    const int sessionTokenAgeMs = pick(900);
    if (request.classIndex == kStrongRead) request.requiredPosition = fixture_.now;
    if (request.classIndex == kReadYourWritesRead)
      request.requiredPosition = lastCommitOf(request.session, milliseconds(sessionTokenAgeMs));
    checker_.requests[fixture_.nextRequestId] = request;
    fixture_.submit(request.classIndex, request.session, static_cast<float>(sessionTokenAgeMs), deadline);
  }

  // Returns the latest commit of a session, from its token or from the responses to its writes; -1 if it has
  // not written.
  TimePoint lastCommitOf(std::uint64_t session, Duration tokenAge) const {
    if (fixture_.settings.requestsCarrySessionToken)
      return tokenAge > Duration(0) ? fixture_.now - tokenAge : TimePoint(Duration(-1));
    const auto it = sessionCommits_.find(session);
    return it != sessionCommits_.end() ? it->second : TimePoint(Duration(-1));
  }

  void changeEndpointList() {
    const EndpointId endpoint = pickEndpoint();
    const auto listed = pick(4) != 0 ? Lifecycle::Ready : static_cast<Lifecycle>(pick(3));
    if (pick(3) == 0) {
      EndpointState& state = checker_.endpoints[endpoint];
      state.listed = listed;
      state.isDraining = listed == Lifecycle::Draining || (state.isDraining && listed == Lifecycle::Removed);
      const TimePoint started = pick(2) != 0 ? fixture_.now : TimePoint();
      fixture_.updateEndpoints({BalancerFixture::endpointUpdate(endpoint, listed, started)});
    } else if (pick(9) == 0) {
      fixture_.balancer.onEndpointList(fixture_.now, EndpointListKind::Failed, {});
    }
  }

  void abandonLatestRequest() {
    if (checker_.requests.empty() || pick(20) != 0) return;
    auto& [id, request] = *checker_.requests.rbegin();
    request.isFinished = true;
    fixture_.balancer.onClientLeft(fixture_.now, id);
  }

  void endSomeAttempt() {
    for (auto it = checker_.requests.rbegin(); it != checker_.requests.rend(); ++it) {
      const std::size_t attempt = it->second.earliestInFlight();
      if (attempt == it->second.attempts.size() || pick(3) == 0) continue;
      endAttempt(it->first, it->second, attempt);
      return;
    }
  }

  void endAttempt(RequestId id, TrackedRequest& request, std::size_t attempt) {
    const AttemptStatus status = pickStatus();
    const bool neverRan = status == AttemptStatus::Rejected || status == AttemptStatus::TooStale ||
                          status == AttemptStatus::ConnectFailed;
    request.endAttempt(attempt, !neverRan);
    AttemptOutcome outcome = outcomeOf(id, request, attempt, status);
    const Consistency consistency = checker_.classOf(request).consistency;
    addEvidence(outcome, consistency, pick(6) == 0);
    if (status == AttemptStatus::Ok && consistency == Consistency::Write && !request.isFinished)
      sessionCommits_[request.session] = fixture_.now;
    if (status == AttemptStatus::Ok) request.isFinished = true;
    fixture_.balancer.onAttemptOutcome(fixture_.now, outcome);
    ASSERT_NO_FATAL_FAILURE(checkNewActions());
    if (status == AttemptStatus::Ok) cancelOtherAttempts(id, request);
  }

  AttemptStatus pickStatus() {
    static constexpr std::array<AttemptStatus, 9> kStatuses = {
        AttemptStatus::Ok,      AttemptStatus::Ok,       AttemptStatus::Ok,
        AttemptStatus::Error,   AttemptStatus::Rejected, AttemptStatus::Reset,
        AttemptStatus::Timeout, AttemptStatus::TooStale, AttemptStatus::ConnectFailed};
    return kStatuses[static_cast<std::size_t>(pick(9))];
  }

  // Responses state the endpoint's role; those to writes also state the position of the commit.
  void addEvidence(AttemptOutcome& outcome, Consistency consistency, bool isPrimary) {
    const bool isResponse = outcome.status == AttemptStatus::Ok ||
                            outcome.status == AttemptStatus::TooStale ||
                            outcome.status == AttemptStatus::Rejected;
    if (!isResponse) return;
    EndpointState& state = checker_.endpoints[outcome.endpoint];
    outcome.role = isPrimary ? Role::Primary : Role::Replica;
    state.isPrimary = isPrimary;
    if (consistency != Consistency::Write || outcome.status != AttemptStatus::Ok) return;
    const Evidence commit = fixture_.evidence(0ms, Role::Primary);
    outcome.role = commit.role;
    outcome.position = commit.position;
    state.isPrimary = true;
    state.provenPosition = std::max(state.provenPosition, fixture_.now - 1ms);
  }

  void cancelOtherAttempts(RequestId id, TrackedRequest& request) {
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
      if (!request.attempts[i].inFlight) continue;
      request.attempts[i].inFlight = false;
      fixture_.balancer.onAttemptOutcome(fixture_.now, outcomeOf(id, request, i, AttemptStatus::Cancelled));
    }
  }

  static AttemptOutcome outcomeOf(RequestId id, const TrackedRequest& request, std::size_t attempt,
                                  AttemptStatus status) {
    AttemptOutcome outcome;
    outcome.request = id;
    outcome.attempt = static_cast<int>(attempt);
    outcome.endpoint = request.attempts[attempt].endpoint;
    outcome.status = status;
    outcome.requestFinished = request.isFinished || status == AttemptStatus::Ok;
    return outcome;
  }

  // ---- actions ----
  void checkNewActions() {
    for (; checkedActions_ < fixture_.actions.recorded.size(); ++checkedActions_)
      ASSERT_NO_FATAL_FAILURE(checkAction(fixture_.actions.recorded[checkedActions_]));
  }

  void checkAction(const Action& action) {
    switch (action.kind) {
      case ActionKind::Timer:
        timers_.emplace(fixture_.now + action.time, action.token);
        break;
      case ActionKind::HealthCheck:
        healthChecks_.emplace(fixture_.now + kHealthCheckLatency, action.endpoint);
        break;
      case ActionKind::Send:
        checker_.checkSend(fixture_.now, action.request, action.endpoint);
        break;
      case ActionKind::Reject:
      case ActionKind::Fail:
        checker_.checkFinalResponse(action.request, action.kind);
        break;
      default:
        break;
    }
  }

  std::mt19937_64 random_;
  BalancerFixture fixture_;
  InvariantChecker checker_;
  std::map<std::uint64_t, TimePoint> sessionCommits_;
  std::multimap<TimePoint, TimerToken> timers_;
  std::multimap<TimePoint, EndpointId> healthChecks_;
  std::size_t checkedActions_ = 0;  // number of entries of fixture_.actions.recorded
};

class AdverseEventSequences : public testing::TestWithParam<int> {};

TEST_P(AdverseEventSequences, InvariantsHold) {
  EventSequence sequence(GetParam());
  sequence.run();
}

INSTANTIATE_TEST_SUITE_P(Variants, AdverseEventSequences, testing::Range(0, 32));

}  // namespace
}  // namespace stonebay::test
