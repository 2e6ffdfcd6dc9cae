// Settings of the stand-in endpoints.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "testbed/machine.hpp"
#include "testbed/run_context.hpp"
#include "testbed/time.hpp"
#include "testbed/workload.hpp"

namespace stonebay::testbed {

class RunAudit;

struct FleetSettings {
  int groups = 2;
  int endpointsPerGroup = 7;
  int proxies = 5;
  int basePort = 0;  ///< 0 means derived from the process id
  MachineSettings machine;
  double minCoreSpeed = 0.85;
  double maxCoreSpeed = 1.1;
  Time minShippingDelay = std::chrono::milliseconds(3);  ///< from the primary to a replica
  Time maxShippingDelay = std::chrono::milliseconds(12);
  Time applyDuration = std::chrono::milliseconds(10);  ///< to apply one commit on a replica
  Time healthCheckWork = std::chrono::microseconds(300);
  Time minFailureDetection = std::chrono::milliseconds(1100);  ///< after the loss of a primary
  Time maxFailureDetection = std::chrono::milliseconds(2400);
  Time minTakeover = std::chrono::milliseconds(1700);  ///< from the detection to a new primary
  Time maxTakeover = std::chrono::milliseconds(3500);
  std::vector<std::string> zones{"ruwi", "seeb"};
  std::size_t valueBytes = 0;  ///< minimum size of a returned value; 0 adds no padding
};

/// Context and settings that all endpoints of a fleet share.
struct EndpointEnvironment {
  RunContext& context;
  RunAudit& audit;
  const FleetSettings& settings;
  const std::vector<RequestClass>& classes;

  /// Returns null if there is no such class.
  const RequestClass* findClass(const std::string& name) const {
    for (const RequestClass& requestClass : classes)
      if (requestClass.name == name) return &requestClass;
    return nullptr;
  }
};

}  // namespace stonebay::testbed
