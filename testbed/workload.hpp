// The request classes of an experiment.
#pragma once

#include <string>

#include "testbed/time.hpp"

namespace stonebay::testbed {

struct RequestClass {
  std::string name;
  double share = 1;  ///< of all requests
  Time minWork{};    ///< of a standard core
  Time maxWork{};
  bool isWrite = false;
  Time maxStaleness{};         ///< of reads; 0: any age is allowed
  Time deduplicationWindow{};  ///< of writes: how long an endpoint recognises a repeated idempotency key
  Time latencyObjective{};
  Time deadline{};
  double priorityWeight = 1;
  double latePriorityShare = 0;  ///< of the weight, for a response after the latency objective
  std::string settings;          ///< the lines of the class's section in the proxies' settings
};

}  // namespace stonebay::testbed
