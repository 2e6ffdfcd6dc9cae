// Measures how a proxy's resource usage grows with the number of endpoints.
#pragma once

#include <string>

namespace stonebay::testbed {

struct GrowthOptions {
  std::string program;                  ///< path of the proxy's executable
  std::string directory;                ///< for settings and logs
  bool onlySmallestAndLargest = false;  ///< skip the run with 800 endpoints
  std::string only;                     ///< check only this figure; empty means all
  std::string except;                   ///< do not check this figure; ignored if `only` is set
};

/// Runs the same experiment with 200, 800 and 3,200 endpoints and prints the proxy's resource usage with the
/// bounds of docs/operators/growth.md. Returns whether all checked figures are within bounds.
bool measureGrowth(const GrowthOptions& options);

}  // namespace stonebay::testbed
