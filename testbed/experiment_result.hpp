// The result of a run: figures, judged claims and samples.
#pragma once

#include <cstddef>
#include <vector>

#include "testbed/claim.hpp"
#include "testbed/figures.hpp"

namespace stonebay::testbed {

/// The state of a run at one point in time. Unless a comment says otherwise, values are totals over all
/// proxies since the start of the load.
struct RunSample {
  double atSeconds = 0;  ///< since the start of the load
  double cpuSeconds = 0;
  double residentMb = 0;   ///< resident memory of the largest proxy
  double descriptors = 0;  ///< of the proxy with the most
  std::size_t served = 0;
  std::size_t rejected = 0;
  std::size_t failed = 0;
  std::size_t listedEndpoints = 0;  ///< at this time
};

struct JudgedClaim {
  Claim claim;
  double measured = 0;
  bool isMeasured = false;
  bool holds = false;  ///< also false if the figure was not measured
};

struct ExperimentResult {
  Figures figures;
  std::vector<JudgedClaim> claims;
  std::vector<RunSample> samples;

  std::size_t brokenClaims() const;
};

/// Compares each claim with its figure.
std::vector<JudgedClaim> judgeClaims(const std::vector<Claim>& claims, const Figures& figures);

}  // namespace stonebay::testbed
