// How long endpoints take, and how likely an answer is to be late.
#pragma once

#include <vector>

#include "balancer/slow_start.hpp"

namespace stonebay::balancer {

/// Which failures count as misses in an estimate.
enum class MissScope {
  All,           ///< attempts that were never answered included
  QueueingOnly,  ///< only what the endpoint's load causes
};

/// What is to be expected of one attempt.
struct LatencyEstimate {
  double missProbability;  ///< of no answer within the budget
  double expectedLatency;  ///< microseconds
};

/// Owns the latencies of request classes and endpoints.
class LatencyModel {
 public:
  LatencyModel(const Context& context, const EndpointTable& table, const SlowStart& slowStart)
      : context_(context), table_(table), slowStart_(slowStart), classes_(context.settings.classes.size()) {}

  /// Of a class of requests, smoothed; 0: not observed yet.
  Duration meanLatency(int classIndex) const;
  /// The low latency of a class, microseconds; 0: not observed yet.
  double baselineLatency(int classIndex) const { return classes_[index(classIndex)].baseline; }
  /// The mean latency of all classes as a share of this one's, at most 1: the part of a request count that a
  /// class of heavy requests may use.
  double costShare(int classIndex) const;
  /// No answer for so long is a symptom.
  Duration silenceTimeout(int classIndex) const;
  /// Whether an attempt is lost rather than queued: it is out for far longer than usual, and what was sent in
  /// the younger half of its age has been answered already. Such attempts say nothing of an endpoint's load.
  bool isPresumedLost(const Endpoint& endpoint, const InFlightAttempt& attempt) const;

  /// Requests at an endpoint, as a warm endpoint would count them: this proxy's own, or what its last report
  /// said of all proxies'. An old report counts for less than the group's mean, so that not all proxies
  /// follow the same one.
  double loadOf(const Endpoint& endpoint) const;
  bool isIdle(const Endpoint& endpoint) const { return endpoint.inFlight.empty() && loadOf(endpoint) < 1; }

  /// False for an attempt that succeeded, was rejected or cancelled or never went out, and for a write that
  /// met a replica.
  bool countsAsFailure(const InFlightAttempt& attempt, AttemptStatus status) const;
  /// `attempt` is no longer in flight.
  void recordOutcome(Endpoint& endpoint, const InFlightAttempt& attempt, AttemptStatus status);

  /// The share of a window of samples that would miss the budget now. Samples are converted to this class and
  /// to the endpoint's present load. Recent samples of all endpoints together count as one sample, which
  /// stands in where the window is thin. Attempts that are out for longer than the budget count as misses
  /// already: an endpoint that hangs keeps its good samples, its silence is the evidence.
  LatencyEstimate estimate(const Endpoint& endpoint, const LatencyWindow& samples, int classIndex,
                           Duration budget, MissScope scope) const;

 private:
  struct ClassLatency {
    double mean = 0;      ///< microseconds; 0: not observed yet
    double baseline = 0;  ///< the same
  };

  void recordAnswer(Endpoint& endpoint, const InFlightAttempt& attempt);
  /// A fast failure must not look fast: it counts as never answered, a timeout as its deadline at that load.
  void recordFailure(Endpoint& endpoint, const InFlightAttempt& attempt, AttemptStatus status);
  double convert(double latency, int fromClass, int toClass) const;
  void addSample(Endpoint& endpoint, const InFlightAttempt& attempt, double latency);

  const Context& context_;
  const EndpointTable& table_;
  const SlowStart& slowStart_;
  std::vector<ClassLatency> classes_;
  FixedWindow<LatencySample, 2 * kLatencyWindowSize> recentSamples_;  ///< of all endpoints
};

}  // namespace stonebay::balancer
