// The end of an attempt, as the upstream connection reports it.
#pragma once

#include <cstdint>
#include <vector>

#include "stonebay/load_balancer.hpp"
#include "util/event.hpp"

namespace stonebay {

/// How an attempt ended, and what its response said of the endpoint.
struct AttemptResult {
  AttemptStatus status = AttemptStatus::Reset;
  Role role = Role::Unknown;
  std::int64_t positionMs = 0;    ///< Unix time in milliseconds; 0: none was reported
  bool invalidStatement = false;  ///< the endpoint rejected the statement itself: no other would accept it
  std::vector<double> report;     ///< load report, positions in Unix seconds; may be empty
  Buffer response;                ///< AttemptStatus::Ok only
};

}  // namespace stonebay
