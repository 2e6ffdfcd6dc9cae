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
  int basePort = 0;  ///< 0: derived from the process id
  MachineSettings machine;
  double minCoreSpeed = 0.85;
  double maxCoreSpeed = 1.1;
  Time minShippingDelay = std::chrono::milliseconds(3);  ///< of the log, to a replica
  Time maxShippingDelay = std::chrono::milliseconds(12);
  Time applyDuration = std::chrono::milliseconds(10);  ///< of one commit on a replica
  Time healthCheckWork = std::chrono::microseconds(300);
  Time minFailureDetection = std::chrono::milliseconds(1100);  ///< of a primary
  Time maxFailureDetection = std::chrono::milliseconds(2400);
  Time minTakeover = std::chrono::milliseconds(1700);  ///< from the detection to the new primary
  Time maxTakeover = std::chrono::milliseconds(3500);
  std::vector<std::string> zones{"ruwi", "seeb"};
  std::size_t valueBytes = 0;  ///< 0: as long as the request's id
};

/// What all endpoints of a fleet share.
struct EndpointEnvironment {
  RunContext& context;
  RunAudit& audit;
  const FleetSettings& settings;
  const std::vector<RequestClass>& classes;

  /// Null if there is no such class.
  const RequestClass* findClass(const std::string& name) const {
    for (const RequestClass& requestClass : classes)
      if (requestClass.name == name) return &requestClass;
    return nullptr;
  }
};

}  // namespace stonebay::testbed
