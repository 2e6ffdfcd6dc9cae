#include "balancer_fixture.hpp"

namespace stonebay::test {

namespace {

ClassSettings makeClass(Consistency consistency, Idempotency idempotency, Duration objective,
                        Duration deadline) {
  ClassSettings made;
  made.consistency = consistency;
  made.idempotency = idempotency;
  made.latencyObjective = objective;
  made.deadline = deadline;
  return made;
}

ClassSettings makeKeyedClass(DeduplicationScope scope) {
  ClassSettings made = makeClass(Consistency::Eventual, Idempotency::IdempotencyKey, 300ms, 1000ms);
  made.deduplicationScope = scope;
  made.deduplicationWindow = 400ms;
  return made;
}

// In the order of ClassIndex.
std::vector<ClassSettings> defaultClasses() {
  ClassSettings bounded = makeClass(Consistency::BoundedStaleness, Idempotency::Idempotent, 200ms, 500ms);
  bounded.maxStaleness = 500ms;
  ClassSettings write = makeClass(Consistency::Write, Idempotency::NonIdempotent, 1000ms, 3000ms);
  write.priorityWeight = 4;
  return {bounded,
          makeClass(Consistency::ReadYourWrites, Idempotency::Idempotent, 300ms, 1000ms),
          makeClass(Consistency::Eventual, Idempotency::Idempotent, 600ms, 2000ms),
          write,
          makeClass(Consistency::Strong, Idempotency::Idempotent, 300ms, 1000ms),
          makeKeyedClass(DeduplicationScope::ReplicaGroup),
          makeKeyedClass(DeduplicationScope::All)};
}

}  // namespace

Settings defaultSettings() {
  Settings settings;
  settings.classes = defaultClasses();
  settings.staleReadPolicy = StaleReadPolicy::Serve;
  settings.reports = LoadReports::Pull;
  settings.reportFields = {ReportField::Position, ReportField::Primary};
  settings.maxAttempts = 6;
  settings.healthChecksAllowed = true;
  settings.cancellationAllowed = true;
  settings.retryAfterAllowed = true;
  settings.positionEpoch = TimePoint(1000s);
  settings.maxRetryAfter = 1s;
  settings.slowStartWindow = 10s;
  settings.overloadWindow = 2s;
  settings.overloadFactor = 2;
  settings.initialCapacity = 0.2;
  settings.drainGracePeriod = 500ms;
  settings.maxPollInterval = 10s;
  settings.clockResolution = 5ms;
  return settings;
}

BalancerFixture::BalancerFixture(const Settings& given, int endpointCount, std::uint64_t seed)
    : settings(given), balancer(given, seed, actions) {
  actions.clock = &now;
  std::vector<EndpointUpdate> endpoints;
  for (int id = 1; id <= endpointCount; ++id)
    endpoints.push_back(endpointUpdate(static_cast<EndpointId>(id)));
  balancer.onEndpointList(now, EndpointListKind::Cached, endpoints);
}

void BalancerFixture::runTimers(Duration interval) {
  for (const TimePoint end = now + interval; now < end; advanceTime(5ms)) {
    std::vector<TimerToken> due;
    for (std::size_t i = 0; i < actions.recorded.size(); ++i) {
      const Action& action = actions.recorded[i];
      if (action.kind != ActionKind::Timer || action.dueAt > now) continue;
      if (firedTimers_.insert(i).second) due.push_back(action.token);
    }
    for (const TimerToken token : due) balancer.onTimer(now, token);
  }
}

EndpointUpdate BalancerFixture::endpointUpdate(EndpointId id, Lifecycle state, TimePoint started) {
  EndpointUpdate update;
  update.id = id;
  update.group = kGroup;
  update.state = state;
  update.started = started;
  return update;
}

void BalancerFixture::updateEndpoints(const std::vector<EndpointUpdate>& updates) {
  balancer.onEndpointList(now, EndpointListKind::Delta, updates);
}

RequestId BalancerFixture::submit(int classIndex, std::uint64_t session, float sessionTokenAgeMs,
                                  Duration deadline) {
  const Duration classDeadline = settings.classes[static_cast<std::size_t>(classIndex)].deadline;
  Request request;
  request.id = nextRequestId++;
  request.classIndex = classIndex;
  request.group = kGroup;
  request.session = session;
  request.sessionTokenAgeMs = sessionTokenAgeMs;
  request.deadline = now + (deadline > Duration(0) ? deadline : classDeadline);
  balancer.onRequest(now, request);
  return request.id;
}

void BalancerFixture::endAttempt(RequestId id, AttemptStatus status, Evidence evidence, int attempt) {
  const std::vector<Action> sent = sends(id);
  ASSERT_FALSE(sent.empty());
  AttemptOutcome outcome;
  outcome.request = id;
  outcome.attempt = attempt < 0 ? static_cast<int>(sent.size()) - 1 : attempt;
  outcome.endpoint = sent[static_cast<std::size_t>(outcome.attempt)].endpoint;
  outcome.status = status;
  outcome.requestFinished = status == AttemptStatus::Ok;
  outcome.role = evidence.role;
  outcome.position = evidence.position;
  balancer.onAttemptOutcome(now, outcome);
}

RequestId BalancerFixture::serve(int classIndex, Duration latency, Evidence evidence) {
  const RequestId id = submit(classIndex);
  advanceTime(latency);
  endAttempt(id, AttemptStatus::Ok, evidence);
  return id;
}

EndpointId BalancerFixture::lastEndpoint(RequestId id) const {
  const std::vector<Action> sent = sends(id);
  return sent.empty() ? 0 : sent.back().endpoint;
}

bool BalancerFixture::hasFinalResponse(RequestId id) const {
  return actions.count(ActionKind::Reject, id) > 0 || actions.count(ActionKind::Fail, id) > 0;
}

void BalancerFixture::reportPosition(EndpointId endpoint, Duration age, bool isPrimary) {
  answerHealthCheck(endpoint, {secondsAfterEpoch(now - age), isPrimary ? 1.0F : 0.0F});
}

void BalancerFixture::reportPositionAfterEpoch(EndpointId endpoint, float positionSeconds) {
  answerHealthCheck(endpoint, {positionSeconds, 0.0F});
}

void BalancerFixture::reportLoad(EndpointId endpoint, bool isPrimary, int inFlight) {
  answerHealthCheck(endpoint,
                    {secondsAfterEpoch(now), isPrimary ? 1.0F : 0.0F, static_cast<float>(inFlight)});
}

void BalancerFixture::failHealthCheck(EndpointId endpoint) {
  HealthCheckResult result;
  result.endpoint = endpoint;
  balancer.onHealthCheck(now, result);
}

Evidence BalancerFixture::evidence(Duration age, Role role) const {
  const Duration afterEpoch = now - age - settings.positionEpoch;
  return {role, settings.positionEpoch + std::chrono::duration_cast<milliseconds>(afterEpoch)};
}

void BalancerFixture::answerHealthCheck(EndpointId endpoint, const std::vector<float>& report) {
  HealthCheckResult result;
  result.endpoint = endpoint;
  result.ok = true;
  result.report = report;
  balancer.onHealthCheck(now, result);
}

float BalancerFixture::secondsAfterEpoch(TimePoint at) const {
  return static_cast<float>(std::chrono::duration<double>(at - settings.positionEpoch).count());
}

}  // namespace stonebay::test
