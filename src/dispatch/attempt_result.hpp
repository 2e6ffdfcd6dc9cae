// The result of an attempt, as the upstream connection reports it.
#pragma once

#include <cstdint>
#include <vector>

#include "stonebay/load_balancer.hpp"
#include "util/event.hpp"

namespace stonebay {

/// How an attempt ended, and what its response reported about the endpoint.
struct AttemptResult {
  AttemptStatus status = AttemptStatus::Reset;
  Role role = Role::Unknown;
  std::int64_t positionMs = 0;  ///< Unix time in milliseconds; 0 if none was reported
  /// The endpoint rejected the statement as invalid, and so would any other endpoint.
  bool invalidStatement = false;
  std::vector<double> report;  ///< load report with positions in Unix seconds; may be empty
  Buffer response;             ///< set only for AttemptStatus::Ok
};

}  // namespace stonebay
