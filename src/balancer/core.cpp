#include "balancer/core.hpp"

#include <algorithm>
#include <iterator>
#include <set>

#include "balancer/settings_validation.hpp"

namespace stonebay {

using balancer::Attempt;
using balancer::index;
using balancer::ReplicaGroup;
using balancer::Route;

LoadBalancer::Core::Core(const Settings& settings, std::uint64_t seed, ActionSink& sink)
    : context_{settings, sink, balancer::SeededHash(seed)},
      table_(context_),
      slowStart_(context_, table_),
      latencies_(context_, table_, slowStart_),
      consistency_(context_, table_),
      retries_(context_, table_),
      healthChecker_(context_, table_, consistency_),
      outliers_(context_, table_, latencies_, healthChecker_),
      admission_(context_, table_, latencies_),
      reads_(context_, table_, consistency_, latencies_, slowStart_, retries_, admission_, outliers_,
             healthChecker_),
      writes_(context_, table_, latencies_, slowStart_, retries_, admission_, outliers_, healthChecker_),
      gossip_(context_, table_),
      poller_(context_) {
  balancer::validate(settings);
}

LoadBalancer::Core& LoadBalancer::Core::setTime(TimePoint now) {
  context_.now = now;
  return *this;
}

// ---- events ----------------------------------------------------------------------------------------------
void LoadBalancer::Core::onEndpointList(EndpointListKind kind, const std::vector<EndpointUpdate>& updates) {
  if (kind == EndpointListKind::Failed) return onDiscoveryFailure(Duration(0));
  poller_.onList();
  // Nothing has changed in groups that the list does not name, but a new list lets their waiting requests
  // resume primary discovery.
  std::set<GroupId> groups = table_.applyList(kind, updates);
  groups.insert(waitingGroups_.begin(), waitingGroups_.end());
  for (const GroupId id : groups) {
    ReplicaGroup& group = table_.group(id);
    table_.updateLargestGroupSize(group);
    resumeWaiting(group);
  }
  startPolling();
}

void LoadBalancer::Core::onDiscoveryFailure(Duration sinceContact) {
  poller_.onFailure(sinceContact);
  startPolling();
}

void LoadBalancer::Core::startPolling() {
  if (!started_) poller_.start();
  started_ = true;
}

void LoadBalancer::Core::onRequest(const Request& request) {
  if (pending_.count(request.id) > 0) return;
  const bool isKnownClass =
      request.classIndex >= 0 && index(request.classIndex) < context_.settings.classes.size();
  if (!isKnownClass) {
    context_.sink.reject(request.id, Duration(0), EndReason::UnknownClass);
    return;
  }
  admission_.recordArrival(request.classIndex);
  retries_.recordArrival();
  PendingRequest& pending = pending_[request.id];
  pending.request = request;
  pending.arrivedAt = context_.now;
  consistency_.setRequiredCommit(pending);
  advance(pending);
}

void LoadBalancer::Core::onAttemptOutcome(const AttemptOutcome& outcome) {
  PendingRequest* const pending = findPending(outcome.request);
  if (pending && outcome.status == AttemptStatus::Ok) consistency_.recordCommit(*pending, outcome);
  Endpoint* const endpoint = table_.find(outcome.endpoint);
  if (!endpoint) return;
  const std::optional<InFlightAttempt> attempt = removeInFlight(*endpoint, outcome);
  if (!attempt) return;
  const GroupId group = endpoint->info.group;
  recordEndpointOutcome(*endpoint, *attempt, outcome);
  if (pending) processRequestOutcome(*pending, outcome);
  resumeWaiting(table_.group(group));
}

void LoadBalancer::Core::onClientLeft(RequestId id) {
  if (PendingRequest* const pending = findPending(id)) finish(*pending);
}

void LoadBalancer::Core::onHealthCheck(const HealthCheckResult& result) {
  Endpoint* const endpoint = table_.find(result.endpoint);
  if (!endpoint) return;
  endpoint->healthCheck.pending = false;
  if (result.ok) {
    gossip_.observeReport(*endpoint, result.report);
    healthChecker_.recordAnswer(*endpoint);
  }
  outliers_.recordHealthCheck(*endpoint, result.ok);
  ReplicaGroup& group = *endpoint->replicaGroup;
  if (healthChecker_.mayResumeWaiting(group)) resumeWaiting(group);
}

void LoadBalancer::Core::onTimer(TimerToken token) {
  switch (token.kind) {
    case TimerKind::Tick:
      return onTick();
    case TimerKind::Poll:
      return poller_.onTimer(token.id);
    case TimerKind::Wake:
      return onWaitExpired(token.id);
  }
}

void LoadBalancer::Core::onGossip(const GossipMessage& message) {
  Endpoint* const endpoint = table_.find(message.endpoint);
  if (endpoint && gossip_.observeGossip(*endpoint, message)) resumeWaiting(*endpoint->replicaGroup);
}

bool LoadBalancer::Core::isStillEligible(RequestId id, EndpointId endpoint) {
  const PendingRequest* const pending = findPending(id);
  const Endpoint* const found = table_.find(endpoint);
  if (!pending || !found || !table_.isRoutable(*found)) return false;
  if (!retries_.isSafeToSend(*pending, *found)) return false;
  const double costShare = latencies_.costShare(pending->request.classIndex);
  if (!slowStart_.isWithinBudget(*found, id, costShare)) return false;
  const TimePoint required = consistency_.requiredPosition(*pending);
  return consistency_.freshnessProbability(*found, required).has_value();
}

// ---- requests --------------------------------------------------------------------------------------------
balancer::PendingRequest* LoadBalancer::Core::findPending(RequestId id) {
  const auto it = pending_.find(id);
  return it == pending_.end() ? nullptr : &it->second;
}

void LoadBalancer::Core::advance(PendingRequest& pending) {
  if (pending.outstandingAttempts > 0) return;
  if (const std::optional<EndReason> reason = retries_.reasonToStop(pending))
    return rejectOrFail(pending, *reason);
  if (admission_.isTooLate(pending)) return rejectOrFail(pending, EndReason::DeadlineUnreachable);
  const Route route = context_.isWrite(pending) ? writes_.route(pending) : reads_.route(pending);
  switch (route.action) {
    case Route::Action::Send:
      for (Endpoint* endpoint : route.endpoints) send(pending, *endpoint);
      return;
    case Route::Action::Wait:
      return wait(pending, admission_.waitLimit(pending));
    case Route::Action::WaitForHealthChecks:
      return wait(pending, std::min(admission_.waitLimit(pending), healthChecker_.waitLimit(pending)));
    case Route::Action::Shed:
      return rejectOrFail(pending, EndReason::Overloaded);
  }
}

void LoadBalancer::Core::send(PendingRequest& pending, Endpoint& endpoint) {
  const Request& request = pending.request;
  const bool isStale = balancer::isKnownStale(endpoint, consistency_.requiredPosition(pending));
  const double load = latencies_.loadOf(endpoint);
  endpoint.inFlight.push_back(
      {request.id, pending.attemptCount(), request.classIndex, load, context_.now, isStale});
  endpoint.lastUsedAt = context_.now;
  busyEndpoints_.insert(endpoint.info.id);
  pending.attempts.push_back({endpoint.info.id, context_.now});
  pending.attemptedEndpoints.push_back(endpoint.info.id);
  ++pending.outstandingAttempts;
  pending.healthChecksSent = false;
  scheduleTick();
  context_.sink.send(request.id, endpoint.info.id, {request.deadline, retries_.latestArrival(pending)});
}

void LoadBalancer::Core::wait(PendingRequest& pending, Duration limit) {
  if (pending.waiting) return;
  pending.waiting = true;
  context_.sink.scheduleTimer(limit, {TimerKind::Wake, pending.request.id});
  scheduleTick();
  table_.group(pending.request.group).waitingRequests.push_back(pending.request.id);
  waitingGroups_.insert(pending.request.group);
}

void LoadBalancer::Core::resumeWaiting(ReplicaGroup& group) {
  std::vector<RequestId> ids;
  ids.swap(group.waitingRequests);
  for (const RequestId id : ids) {
    PendingRequest* const pending = findPending(id);
    if (!pending || !pending->waiting) continue;
    pending->waiting = false;
    advance(*pending);
  }
}

void LoadBalancer::Core::onWaitExpired(RequestId id) {
  PendingRequest* const pending = findPending(id);
  if (!pending || !pending->waiting) return;
  pending->waiting = false;
  balancer::eraseValue(table_.group(pending->request.group).waitingRequests, id);
  advance(*pending);
}

void LoadBalancer::Core::rejectOrFail(PendingRequest& pending, EndReason reason) {
  if (admission_.isSafeToReject(pending))
    context_.sink.reject(pending.request.id, admission_.retryAfter(pending), reason);
  else
    context_.sink.fail(pending.request.id, reason);
  finish(pending);
}

void LoadBalancer::Core::finish(PendingRequest& pending) {
  const RequestId id = pending.request.id;
  ReplicaGroup* const group = table_.findGroup(pending.request.group);
  if (group && group->discoveryRequest == id) group->discoveryRequest = 0;
  for (int k = 0; context_.settings.cancellationAllowed && k < pending.attemptCount(); ++k) {
    const Attempt& attempt = pending.attempts[index(k)];
    if (attempt.inFlight && !attempt.cancelled) context_.sink.cancel(id, k);
  }
  pending_.erase(id);
}

// ---- outcomes --------------------------------------------------------------------------------------------
std::optional<balancer::InFlightAttempt> LoadBalancer::Core::removeInFlight(Endpoint& endpoint,
                                                                            const AttemptOutcome& outcome) {
  const auto isSame = [&](const InFlightAttempt& attempt) {
    return attempt.request == outcome.request && attempt.attempt == outcome.attempt;
  };
  const auto it = std::find_if(endpoint.inFlight.begin(), endpoint.inFlight.end(), isSame);
  if (it == endpoint.inFlight.end()) return std::nullopt;
  const InFlightAttempt attempt = *it;
  endpoint.inFlight.erase(it);
  if (endpoint.inFlight.empty()) busyEndpoints_.erase(endpoint.info.id);
  return attempt;
}

void LoadBalancer::Core::recordEndpointOutcome(Endpoint& endpoint, const InFlightAttempt& attempt,
                                               const AttemptOutcome& outcome) {
  const ClassSettings& requestClass = context_.settings.classes[index(attempt.classIndex)];
  table_.observeOutcome(endpoint, outcome, requestClass.consistency == Consistency::Write);
  gossip_.observeReport(endpoint, outcome.report);
  latencies_.recordOutcome(endpoint, attempt, outcome.status);
  outliers_.recordOutcome(endpoint, attempt, outcome.status);
}

void LoadBalancer::Core::processRequestOutcome(PendingRequest& pending, const AttemptOutcome& outcome) {
  balancer::RetryPolicy::recordOutcome(pending, outcome);
  if (outcome.requestFinished || outcome.status == AttemptStatus::Ok) {
    admission_.recordResponse(pending, outcome.status);
    return finish(pending);
  }
  const double baseline = latencies_.baselineLatency(pending.request.classIndex);
  if (!retries_.tryTakeRetryTokenFor(pending, outcome, baseline))
    return rejectOrFail(pending, EndReason::RetryBudgetExhausted);
  advance(pending);
}

// ---- maintenance -----------------------------------------------------------------------------------------
void LoadBalancer::Core::scheduleTick() {
  if (tickScheduled_) return;
  tickScheduled_ = true;
  const Duration interval = std::max(context_.settings.clockResolution, balancer::kTickInterval);
  context_.sink.scheduleTimer(interval, {TimerKind::Tick, 0});
}

void LoadBalancer::Core::onTick() {
  tickScheduled_ = false;
  for (const EndpointId id : busyEndpoints_) retrySilentAttempts(table_.at(id));
  resumeWaitingGroups();
  if (!busyEndpoints_.empty() || !waitingGroups_.empty()) scheduleTick();
}

void LoadBalancer::Core::resumeWaitingGroups() {
  for (auto it = waitingGroups_.begin(); it != waitingGroups_.end();) {
    ReplicaGroup& group = table_.group(*it);
    if (!group.waitingRequests.empty()) {
      resumeWaiting(group);
      writes_.discoverPrimary(group);
    }
    it = group.waitingRequests.empty() ? waitingGroups_.erase(it) : std::next(it);
  }
}

void LoadBalancer::Core::retrySilentAttempts(Endpoint& endpoint) {
  for (const InFlightAttempt& attempt : endpoint.inFlight)
    if (outliers_.detectSilence(endpoint, attempt)) cancelForRetry(attempt);
}

void LoadBalancer::Core::cancelForRetry(const InFlightAttempt& inFlight) {
  PendingRequest* const pending = findPending(inFlight.request);
  if (!pending) return;
  Attempt& attempt = pending->attempts[index(inFlight.attempt)];
  if (!retries_.mayCancelForRetry(*pending, attempt) || !reads_.hasAlternative(*pending)) return;
  retries_.tryTakeRetryToken();
  attempt.cancelled = true;
  context_.sink.cancel(inFlight.request, inFlight.attempt);
}

}  // namespace stonebay
