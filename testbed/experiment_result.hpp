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

/// A proxy whose process ended with an error before the end of the run.
struct ProxyCrash {
  int proxy = 0;       ///< number of the proxy, from 1
  int exitStatus = 0;  ///< exit code, or 128 plus the number of the signal that ended the process
};

struct ExperimentResult {
  Figures figures;
  std::vector<JudgedClaim> claims;
  std::vector<RunSample> samples;
  std::vector<ProxyCrash> crashes;

  std::size_t brokenClaims() const;
};

/// Compares each claim with its figure.
std::vector<JudgedClaim> judgeClaims(const std::vector<Claim>& claims, const Figures& figures);

}  // namespace stonebay::testbed
