// Load shedding: which requests are worth sending, and for how long they may wait.
#pragma once

#include <vector>

#include "balancer/latency_model.hpp"

namespace stonebay::balancer {

/// Owns what is known of the demand for each class of requests.
class AdmissionControl {
 public:
  AdmissionControl(const Context& context, const EndpointTable& table, const LatencyModel& latencies)
      : context_(context), table_(table), latencies_(latencies), demand_(context.settings.classes.size()) {}

  void recordArrival(int classIndex);
  /// The end of a request whose client has its final response.
  void recordResponse(const PendingRequest& pending, AttemptStatus status);

  /// Whether no new attempt can be answered usefully any more.
  bool isTooLate(const PendingRequest& pending) const { return context_.now >= giveUpAt(pending); }
  /// How long a request may wait for its next attempt.
  Duration waitLimit(const PendingRequest& pending) const;
  /// Guards against queues that make everything late: a request goes out only where it is likely enough to
  /// earn its priority weight, and where the classes that gain more for the same work would still be in time.
  /// It acts on endpoints that hold something already: an idle one may take any request, so that it can
  /// recover.
  bool isAdmissible(const PendingRequest& pending, const Endpoint& endpoint) const;
  /// Whether a client may safely repeat a request that is given up.
  bool isSafeToReject(const PendingRequest& pending) const;
  /// When the client of a rejected request is told to come back; 0: nothing is said.
  Duration retryAfter(const PendingRequest& pending) const;

 private:
  struct ClassDemand {  // decays
    double offered = 0;
    double servedInTime = 0;
  };
  /// A request that finds no endpoint is told to come back while that is still of use to its client.
  TimePoint giveUpAt(const PendingRequest& pending) const;
  /// What the goal of the installation gains by serving a class, for the work that it takes: its priority
  /// weight in the whole, and for the class that is served worst lately its part in the worst class.
  double goalGain(int classIndex) const;
  double probabilityInTime(const Endpoint& endpoint, int classIndex, Duration budget) const;
  bool isLikelyToEarn(const PendingRequest& pending, const Endpoint& endpoint) const;

  const Context& context_;
  const EndpointTable& table_;
  const LatencyModel& latencies_;
  std::vector<ClassDemand> demand_;
  TimePoint decayedAt_{};
};

}  // namespace stonebay::balancer
