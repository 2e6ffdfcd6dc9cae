// What all parts of a LoadBalancer share.
#pragma once

#include <algorithm>
#include <vector>

#include "balancer/duration_math.hpp"
#include "balancer/seeded_hash.hpp"
#include "balancer/state.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay::balancer {

/// The settings, the way out, and the present of the event at hand.
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
  /// Whether load reports say how many requests an endpoint holds.
  bool reportsLoad() const {
    const std::vector<ReportField>& fields = settings.reportFields;
    return std::find(fields.begin(), fields.end(), ReportField::InFlight) != fields.end();
  }
  /// Whether a health check would say anything.
  bool canCheckHealth() const {
    return settings.healthChecksAllowed && settings.reports != LoadReports::None;
  }
};

}  // namespace stonebay::balancer
