// The request classes of an experiment.
#pragma once

#include <string>

#include "testbed/time.hpp"

namespace stonebay::testbed {

struct RequestClass {
  std::string name;
  double share = 1;  ///< of all requests
  Time minWork{};    ///< execution time on a standard core
  Time maxWork{};
  bool isWrite = false;
  Time maxStaleness{};         ///< of the data of a read; 0 means that any age is allowed
  Time deduplicationWindow{};  ///< how long an endpoint recognizes a repeated idempotency key of a write
  Time latencyObjective{};
  Time deadline{};
  double priorityWeight = 1;
  double latePriorityShare = 0;  ///< share of the weight earned by a response after the latency objective
  std::string settings;          ///< lines of the class's section in the proxies' settings
};

}  // namespace stonebay::testbed
