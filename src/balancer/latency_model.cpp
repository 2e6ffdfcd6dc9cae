#include "balancer/latency_model.hpp"

#include <algorithm>
#include <cmath>

#include "balancer/miss_tally.hpp"

namespace stonebay::balancer {

Duration LatencyModel::meanLatency(int classIndex) const {
  return Duration(static_cast<std::int64_t>(classes_[index(classIndex)].mean));
}

double LatencyModel::costShare(int classIndex) const {
  double total = 0;
  double observed = 0;
  for (const ClassLatency& latency : classes_) {
    total += latency.mean;
    if (latency.mean > 0) observed += 1;
  }
  const double own = classes_[index(classIndex)].mean;
  return own > 0 ? std::min(1.0, total / observed / own) : 1.0;
}

Duration LatencyModel::silenceTimeout(int classIndex) const {
  const Duration mean = meanLatency(classIndex);
  if (mean > Duration(0)) return scaled(mean, kSilenceFactor);
  return context_.settings.classes[index(classIndex)].latencyObjective;
}

bool LatencyModel::isPresumedLost(const Endpoint& endpoint, const InFlightAttempt& attempt) const {
  const Duration age = context_.now - attempt.sentAt;
  const bool overdue = age > silenceTimeout(attempt.classIndex);
  return overdue && endpoint.latestAnsweredSentAt > attempt.sentAt + age / 2;
}

double LatencyModel::loadOf(const Endpoint& endpoint) const {
  const auto own = std::count_if(endpoint.inFlight.begin(), endpoint.inFlight.end(),
                                 [&](const InFlightAttempt& it) { return !isPresumedLost(endpoint, it); });
  double total = 0;
  double reports = 0;
  for (const EndpointId id : endpoint.replicaGroup->endpoints) {
    const Endpoint& peer = table_.at(id);
    if (!table_.hasFreshLoadReport(peer)) continue;
    total += peer.load.inFlight;
    reports += 1;
  }
  const double mean = reports > 0 ? total / reports : 0;
  double freshness = 0;
  if (table_.hasFreshLoadReport(endpoint))
    freshness = std::exp(-ratio(context_.now - endpoint.load.reportedAt, kLoadRelaxationTime));
  const double reported = mean + (endpoint.load.inFlight - mean) * freshness;
  return std::max(static_cast<double>(own), reported) / slowStart_.warmUpCapacity(endpoint);
}

void LatencyModel::addSample(Endpoint& endpoint, const InFlightAttempt& attempt, double latency) {
  const LatencySample sample{latency, attempt.classIndex, attempt.load, context_.now};
  (attempt.knownStale ? endpoint.staleSamples : endpoint.freshSamples).push(sample);
  if (latency != kNeverAnswered && !attempt.knownStale) recentSamples_.push(sample);
}

bool LatencyModel::countsAsFailure(const InFlightAttempt& attempt, AttemptStatus status) const {
  if (status == AttemptStatus::TooStale)
    return context_.settings.classes[index(attempt.classIndex)].consistency != Consistency::Write;
  return status == AttemptStatus::Error || status == AttemptStatus::Timeout ||
         status == AttemptStatus::ConnectFailed || status == AttemptStatus::Reset;
}

void LatencyModel::recordOutcome(Endpoint& endpoint, const InFlightAttempt& attempt, AttemptStatus status) {
  if (status == AttemptStatus::Ok) recordAnswer(endpoint, attempt);
  if (countsAsFailure(attempt, status)) recordFailure(endpoint, attempt, status);
}

void LatencyModel::recordAnswer(Endpoint& endpoint, const InFlightAttempt& attempt) {
  endpoint.latestAnsweredSentAt = std::max(endpoint.latestAnsweredSentAt, attempt.sentAt);
  const auto microseconds = static_cast<double>((context_.now - attempt.sentAt).count());
  ClassLatency& known = classes_[index(attempt.classIndex)];
  known.mean = smoothed(known.mean, microseconds, kLatencySmoothing);
  const bool isLower = microseconds < known.baseline;
  known.baseline =
      smoothed(known.baseline, microseconds, isLower ? kLatencySmoothing : kLatencySmoothing / 10);
  addSample(endpoint, attempt, microseconds);
}

void LatencyModel::recordFailure(Endpoint& endpoint, const InFlightAttempt& attempt, AttemptStatus status) {
  const bool isCausedByLoad = status == AttemptStatus::Timeout && !isPresumedLost(endpoint, attempt);
  const Duration deadline = context_.settings.classes[index(attempt.classIndex)].deadline;
  addSample(endpoint, attempt, isCausedByLoad ? static_cast<double>(deadline.count()) : kNeverAnswered);
}

double LatencyModel::convert(double latency, int fromClass, int toClass) const {
  const double from = classes_[index(fromClass)].mean;
  const double to = classes_[index(toClass)].mean;
  return from > 0 && to > 0 ? latency * to / from : latency;
}

LatencyEstimate LatencyModel::estimate(const Endpoint& endpoint, const LatencyWindow& samples, int classIndex,
                                       Duration budget, MissScope scope) const {
  const double load = std::max(kEndpointConcurrency, loadOf(endpoint) + 1.0);
  const auto limit = static_cast<double>(budget.count());
  MissTally tally(limit);
  const auto addAll = [&](const auto& window) {
    for (const LatencySample& sample : window) {
      if (sample.at + kMaxSampleAge < context_.now) continue;
      if (scope == MissScope::QueueingOnly && sample.latency == kNeverAnswered) continue;
      const double latency = convert(sample.latency, sample.classIndex, classIndex);
      tally.add(latency * load / std::max(kEndpointConcurrency, sample.load + 1.0));
    }
  };
  addAll(recentSamples_);
  tally.collapseToOneSample(classes_[index(classIndex)].mean * load / kEndpointConcurrency);
  addAll(samples);
  for (const InFlightAttempt& attempt : endpoint.inFlight) {
    const auto age = static_cast<double>((context_.now - attempt.sentAt).count());
    const double converted = convert(age, attempt.classIndex, classIndex);
    const bool isLost = scope == MissScope::QueueingOnly && isPresumedLost(endpoint, attempt);
    if (converted > limit && !isLost) tally.add(converted);
  }
  return {tally.missShare(), tally.meanLatency()};
}

}  // namespace stonebay::balancer
