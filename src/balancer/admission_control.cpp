#include "balancer/admission_control.hpp"

#include <algorithm>
#include <cmath>

namespace stonebay::balancer {

void AdmissionControl::recordArrival(int classIndex) {
  const double retained = std::exp(-ratio(context_.now - decayedAt_, kDemandDecay));
  decayedAt_ = context_.now;
  for (ClassDemand& demand : demand_) {
    demand.offered *= retained;
    demand.servedInTime *= retained;
  }
  demand_[index(classIndex)].offered += 1;
}

void AdmissionControl::recordResponse(const PendingRequest& pending, AttemptStatus status) {
  const bool isInTime = context_.now - pending.arrivedAt <= context_.classOf(pending).latencyObjective;
  if (status == AttemptStatus::Ok && isInTime) demand_[index(pending.request.classIndex)].servedInTime += 1;
}

Duration AdmissionControl::waitLimit(const PendingRequest& pending) const {
  const TimePoint end = std::min(sendDeadline(pending), pending.request.deadline);
  return std::max(end - context_.now, Duration(1));
}

TimePoint AdmissionControl::sendDeadline(const PendingRequest& pending) const {
  const ClassSettings& requestClass = context_.classOf(pending);
  const TimePoint arrived = pending.arrivedAt;
  const TimePoint deadline = pending.request.deadline;
  const Duration expected = latencies_.meanLatency(pending.request.classIndex);
  TimePoint end = deadline;
  if (requestClass.latePriorityShare <= 0) end = std::min(end, arrived + requestClass.latencyObjective);
  if (!pending.reachedEndpoint && pending.outstandingAttempts == 0)
    end = std::min(end, arrived + scaled(deadline - arrived, kMaxQueueingShare) + expected);
  const TimePoint earliest =
      pending.attempts.empty() ? std::min(arrived + Duration(1), deadline) : TimePoint();
  return std::max(end - expected, earliest);
}

double AdmissionControl::goalGain(int classIndex) const {
  const Settings& settings = context_.settings;
  double offeredWeight = 0;
  double offered = 0;
  double lowestShare = 2;
  std::size_t worst = 0;
  for (std::size_t k = 0; k < demand_.size(); ++k) {
    offeredWeight += demand_[k].offered * settings.classes[k].priorityWeight;
    offered += demand_[k].offered;
    if (demand_[k].offered <= 0) continue;
    const double share = demand_[k].servedInTime / demand_[k].offered;
    if (share >= lowestShare) continue;
    lowestShare = share;
    worst = k;
  }
  const std::size_t own = index(classIndex);
  double gain = settings.classes[own].priorityWeight;
  if (offeredWeight > 0) gain = settings.totalServedGoalWeight * gain / offeredWeight;
  if (own == worst && demand_[own].offered > 0 && offered > static_cast<double>(kLatencyWindowSize))
    gain += settings.worstClassGoalWeight / demand_[own].offered;
  return gain / std::max(latencies_.baselineLatency(classIndex), 1.0);
}

double AdmissionControl::probabilityInTime(const Endpoint& endpoint, int classIndex, Duration budget) const {
  if (budget <= Duration(0)) return 0;
  const MissScope scope = MissScope::QueueingOnly;
  return 1 - latencies_.estimate(endpoint, endpoint.freshSamples, classIndex, budget, scope).missProbability;
}

bool AdmissionControl::isLikelyToEarn(const PendingRequest& pending, const Endpoint& endpoint) const {
  const ClassSettings& requestClass = context_.classOf(pending);
  const int classIndex = pending.request.classIndex;
  const Duration untilDeadline = std::max(pending.request.deadline - context_.now, Duration(1));
  const Duration untilObjective =
      std::min(pending.arrivedAt + requestClass.latencyObjective - context_.now, untilDeadline);
  const double inTime = probabilityInTime(endpoint, classIndex, untilObjective);
  const double late = probabilityInTime(endpoint, classIndex, untilDeadline) - inTime;
  const double achievable = untilObjective > Duration(0) ? 1 : requestClass.latePriorityShare;
  return inTime + requestClass.latePriorityShare * late >= kMinExpectedValue * achievable;
}

bool AdmissionControl::isAdmissible(const PendingRequest& pending, const Endpoint& endpoint) const {
  if (latencies_.isIdle(endpoint)) return true;
  if (!isLikelyToEarn(pending, endpoint)) return false;
  const std::vector<ClassSettings>& classes = context_.settings.classes;
  for (int other = 0; other < static_cast<int>(classes.size()); ++other) {
    const ClassSettings& otherClass = classes[index(other)];
    if (otherClass.consistency == Consistency::Write && !endpoint.isPrimary()) continue;
    if (latencies_.baselineLatency(other) <= 0) continue;
    if (goalGain(other) <= goalGain(pending.request.classIndex)) continue;
    if (probabilityInTime(endpoint, other, otherClass.latencyObjective) < kMinExpectedValue) return false;
  }
  return true;
}

bool AdmissionControl::isSafeToReject(const PendingRequest& pending) const {
  if (!pending.maybeExecuted && pending.outstandingAttempts == 0) return true;
  const ClassSettings& requestClass = context_.classOf(pending);
  if (requestClass.idempotency == Idempotency::Idempotent) return true;
  return requestClass.idempotency == Idempotency::IdempotencyKey &&
         requestClass.deduplicationScope == DeduplicationScope::All;
}

Duration AdmissionControl::retryAfter(const PendingRequest& pending) const {
  if (!context_.settings.retryAfterAllowed) return Duration(0);
  const Duration timeout = latencies_.silenceTimeout(pending.request.classIndex);
  return std::min(context_.settings.maxRetryAfter, scaled(timeout, kRetryAfterShare));
}

}  // namespace stonebay::balancer
