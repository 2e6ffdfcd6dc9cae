// Load shedding: which requests may be sent, and how long they may wait.
#pragma once

#include <vector>

#include "balancer/latency_model.hpp"

namespace stonebay::balancer {

/// Admits or sheds requests. Owns the demand statistics of the request classes.
class AdmissionControl {
 public:
  AdmissionControl(const Context& context, const EndpointTable& table, const LatencyModel& latencies)
      : context_(context), table_(table), latencies_(latencies), demand_(context.settings.classes.size()) {}

  void recordArrival(int classIndex);
  /// Counts a request that has ended if its response was successful and within the latency objective.
  void recordResponse(const PendingRequest& pending, AttemptStatus status);

  /// Returns whether it is too late to send another attempt.
  bool isTooLate(const PendingRequest& pending) const { return context_.now >= sendDeadline(pending); }
  /// Returns how long a request may wait for its next attempt.
  Duration waitLimit(const PendingRequest& pending) const;
  /// Returns whether a request may be sent to an endpoint without building up a queue that makes all
  /// responses late. The request must be likely to earn its priority weight, and requests of classes that
  /// contribute more to the goal for the same work must still be likely to be in time at that endpoint. An
  /// idle endpoint may receive any request, because otherwise its latency estimates could not recover.
  bool isAdmissible(const PendingRequest& pending, const Endpoint& endpoint) const;
  /// Returns whether the client may safely send a request again if it ends now.
  bool isSafeToReject(const PendingRequest& pending) const;
  /// Returns how long the client of a rejected request should wait before it retries; 0 means unspecified.
  Duration retryAfter(const PendingRequest& pending) const;

 private:
  /// Counts that decay with the time constant kDemandDecay.
  struct ClassDemand {
    double offered = 0;       ///< requests that arrived
    double servedInTime = 0;  ///< requests that were answered within the latency objective
  };
  /// Returns the instant from which a new attempt could not earn any priority weight. It is earlier for a
  /// request that no endpoint has received, so that its client can still retry successfully.
  TimePoint sendDeadline(const PendingRequest& pending) const;
  /// Returns how much serving one request of a class contributes to the goal of the installation per unit of
  /// work: its share of the total priority weight and, for the class that was recently served worst, its
  /// share of that class. See Settings::totalServedGoalWeight.
  double goalGain(int classIndex) const;
  /// Returns the probability that a request of a class is answered within `budget`.
  double probabilityInTime(const Endpoint& endpoint, int classIndex, Duration budget) const;
  /// Returns whether a request is likely enough to earn the priority weight that is still achievable.
  bool isLikelyToEarn(const PendingRequest& pending, const Endpoint& endpoint) const;

  const Context& context_;
  const EndpointTable& table_;
  const LatencyModel& latencies_;
  std::vector<ClassDemand> demand_;
  TimePoint decayedAt_{};
};

}  // namespace stonebay::balancer
