// Estimates of the latency of endpoints and of the probability that a response is late.
#pragma once

#include <vector>

#include "balancer/slow_start.hpp"

namespace stonebay::balancer {

/// Which failures count as misses in an estimate.
enum class MissScope {
  All,           ///< all failures, including attempts that were never answered
  QueueingOnly,  ///< only failures that the endpoint's load causes
};

/// The expected result of one attempt.
struct LatencyEstimate {
  double missProbability;  ///< probability that there is no response within the budget
  double expectedLatency;  ///< microseconds
};

/// Estimates latencies and loads. Owns the latency statistics of the request classes.
class LatencyModel {
 public:
  LatencyModel(const Context& context, const EndpointTable& table, const SlowStart& slowStart)
      : context_(context), table_(table), slowStart_(slowStart), classes_(context.settings.classes.size()) {}

  /// Returns the smoothed mean latency of a request class; 0 means that none has been observed.
  Duration meanLatency(int classIndex) const;
  /// Returns the latency of a class at low load in microseconds; 0 means that none has been observed.
  double baselineLatency(int classIndex) const { return classes_[index(classIndex)].baseline; }
  /// Returns the mean latency of all classes divided by that of this class, but at most 1. A limit on the
  /// number of requests is multiplied by it, so that fewer requests of an expensive class are admitted.
  double costShare(int classIndex) const;
  /// Returns the time without a response after which an endpoint is suspected to have failed. It is the
  /// latency objective of the class until a latency has been observed.
  Duration silenceTimeout(int classIndex) const;
  /// Returns whether an attempt is lost rather than queued: it has been in flight for longer than the silence
  /// timeout, and the endpoint has answered another attempt that was sent in the second half of that time.
  /// Lost attempts do not count as load.
  bool isPresumedLost(const Endpoint& endpoint, const InFlightAttempt& attempt) const;

  /// Returns the number of requests in flight at an endpoint, divided by its capacity while it warms up. It
  /// is the number of this proxy's attempts, or the number for all proxies by the endpoint's last report if
  /// that is higher. The older a report, the closer the number is to the mean of the reports of the group, so
  /// that not all proxies choose the same endpoint because of the same report. Without a report, the mean
  /// takes its place.
  double loadOf(const Endpoint& endpoint) const;
  /// Returns whether there is no request at the endpoint, as far as is known.
  bool isIdle(const Endpoint& endpoint) const { return endpoint.inFlight.empty() && loadOf(endpoint) < 1; }

  /// Returns whether the outcome is a failure of the endpoint. That is false for an attempt that succeeded,
  /// was rejected, cancelled or not sent, and for a write that was sent to a replica.
  bool countsAsFailure(const InFlightAttempt& attempt, AttemptStatus status) const;
  /// Adds the outcome to the statistics. `attempt` must have been removed from the attempts in flight.
  void recordOutcome(Endpoint& endpoint, const InFlightAttempt& attempt, AttemptStatus status);

  /// Estimates the result of an attempt that is sent now, from a window of samples. The samples are converted
  /// to the given class and to the current load of the endpoint. The recent samples of all endpoints together
  /// count as one sample, which matters most when the window contains few. Attempts that have been in flight
  /// for longer than the budget count as misses, because an endpoint that hangs adds no samples to its good
  /// ones.
  LatencyEstimate estimate(const Endpoint& endpoint, const LatencyWindow& samples, int classIndex,
                           Duration budget, MissScope scope) const;

 private:
  struct ClassLatency {
    double mean = 0;      ///< microseconds; 0 means that none has been observed
    double baseline = 0;  ///< microseconds; follows lower latencies faster than higher ones
  };

  void recordAnswer(Endpoint& endpoint, const InFlightAttempt& attempt);
  /// Adds a failure as never answered, so that a fast failure does not look like a low latency. A timeout
  /// that was caused by load is added with the deadline of its class.
  void recordFailure(Endpoint& endpoint, const InFlightAttempt& attempt, AttemptStatus status);
  /// Converts a latency between classes, in proportion to their means.
  double convert(double latency, int fromClass, int toClass) const;
  void addSample(Endpoint& endpoint, const InFlightAttempt& attempt, double latency);

  const Context& context_;
  const EndpointTable& table_;
  const SlowStart& slowStart_;
  std::vector<ClassLatency> classes_;
  /// Of all endpoints, without those that were never answered or known to be stale.
  FixedWindow<LatencySample, 2 * kLatencyWindowSize> recentSamples_;
};

}  // namespace stonebay::balancer
