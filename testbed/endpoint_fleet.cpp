#include "testbed/endpoint_fleet.hpp"

#include <utility>

namespace stonebay::testbed {
namespace {

// Returns the zone of an endpoint. Zones are assigned round-robin.
std::string zoneOf(const FleetSettings& settings, int endpoint) {
  if (settings.zones.empty()) return "";
  return settings.zones[static_cast<std::size_t>(endpoint) % settings.zones.size()];
}

}  // namespace

EndpointFleet::EndpointFleet(RunContext& context, RunAudit& audit, FleetSettings settings,
                             std::vector<RequestClass> classes)
    : audit_(audit), settings_(std::move(settings)), classes_(std::move(classes)) {
  const EndpointEnvironment environment{context, audit_, settings_, classes_};
  int number = 0;
  for (int group = 1; group <= settings_.groups; ++group) {
    groups_.push_back(std::make_unique<ReplicaGroup>(environment, group));
    for (int i = 0; i < settings_.endpointsPerGroup; ++i) {
      ++number;
      const double coreSpeed = context.uniform(settings_.minCoreSpeed, settings_.maxCoreSpeed);
      endpoints_.push_back(std::make_unique<EndpointServer>(environment, *groups_.back(), number,
                                                            zoneOf(settings_, number), coreSpeed));
      groups_.back()->add(*endpoints_.back());
    }
  }
}

EndpointServer* EndpointFleet::findByName(const std::string& name) const {
  for (const auto& endpoint : endpoints_)
    if (endpoint->name() == name) return endpoint.get();
  return nullptr;
}

EndpointServer* EndpointFleet::primary(int group) const {
  return groups_[static_cast<std::size_t>(group - 1)]->primary();
}

void EndpointFleet::finish() {
  for (const auto& endpoint : endpoints_) audit_.onPeakOverload(endpoint->machine().peakOverload());
}

}  // namespace stonebay::testbed
