// All stand-in endpoints of a run, in groups of a primary and its replicas.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "testbed/audit.hpp"
#include "testbed/endpoint_server.hpp"
#include "testbed/endpoint_settings.hpp"
#include "testbed/replica_group.hpp"

namespace stonebay::testbed {

class EndpointFleet {
 public:
  /// Starts all endpoints. Throws std::runtime_error if an address is taken.
  EndpointFleet(RunContext& context, RunAudit& audit, FleetSettings settings,
                std::vector<RequestClass> classes);
  EndpointFleet(const EndpointFleet&) = delete;
  EndpointFleet& operator=(const EndpointFleet&) = delete;

  const std::vector<RequestClass>& classes() const { return classes_; }
  const std::vector<std::unique_ptr<EndpointServer>>& endpoints() const { return endpoints_; }
  /// Returns null if no endpoint has this name.
  EndpointServer* findByName(const std::string& name) const;
  /// Returns the primary of a group, numbered from 1, or null during a failover.
  EndpointServer* primary(int group) const;
  /// Reports the peak overload of each endpoint to the audit, at the end of a run.
  void finish();

 private:
  RunAudit& audit_;
  const FleetSettings settings_;
  const std::vector<RequestClass> classes_;
  std::vector<std::unique_ptr<ReplicaGroup>> groups_;
  std::vector<std::unique_ptr<EndpointServer>> endpoints_;
};

}  // namespace stonebay::testbed
