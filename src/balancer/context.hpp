// The state that all components of a LoadBalancer share.
#pragma once

#include <algorithm>
#include <vector>

#include "balancer/duration_math.hpp"
#include "balancer/seeded_hash.hpp"
#include "balancer/state.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay::balancer {

/// The settings, the sink for actions, and the time of the event that is being processed.
struct Context {
  Settings settings;
  ActionSink& sink;
  SeededHash hash;
  TimePoint now{};

  const ClassSettings& classOf(const PendingRequest& pending) const {
    return settings.classes[index(pending.request.classIndex)];
  }
  bool isWrite(const PendingRequest& pending) const {
    return classOf(pending).consistency == Consistency::Write;
  }
  /// Returns whether load reports contain the number of requests in flight at an endpoint.
  bool reportsLoad() const {
    const std::vector<ReportField>& fields = settings.reportFields;
    return std::find(fields.begin(), fields.end(), ReportField::InFlight) != fields.end();
  }
  /// Returns whether health checks are allowed and there are load reports.
  bool canCheckHealth() const {
    return settings.healthChecksAllowed && settings.reports != LoadReports::None;
  }
};

}  // namespace stonebay::balancer
