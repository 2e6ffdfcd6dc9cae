// An experiment, as described by an INI file with the sections [experiment], [fleet], [load] (and
// [load NAME] for clients that connect to an endpoint directly), [class NAME], [settings], [script] and
// [claims].
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testbed/claim.hpp"
#include "testbed/endpoint_settings.hpp"
#include "testbed/load_generator.hpp"
#include "testbed/script.hpp"
#include "testbed/workload.hpp"
#include "util/config_error.hpp"

namespace stonebay::testbed {

/// Load that bypasses the proxies.
struct DirectLoad {
  std::string name;
  std::string endpoint;
  LoadSettings settings;
};

struct Experiment {
  std::string file;
  std::string title;
  Time duration = std::chrono::seconds(30);
  Time warmup = std::chrono::seconds(1);
  int proxies = 1;
  int tierSize = 0;     ///< number of proxies written to their settings; 0 means the actual number
  double cpuShare = 1;  ///< share of a core that each proxy may use
  std::string faults;   ///< system call faults of the proxies, see syscall_shim.cpp; empty means none
  std::string discovery = "dnssd";  ///< or "registry"
  std::uint64_t seed = 1;
  FleetSettings fleet;
  LoadSettings load;
  std::vector<DirectLoad> directLoads;
  std::vector<RequestClass> classes;
  std::string proxySettings;  ///< additional settings for the proxies, as INI
  std::vector<ScriptStep> script;
  std::vector<Claim> claims;
};

/// Parses an experiment. Appends all errors to `errors`; if there are any, the result must not be used.
Experiment parseExperiment(const std::string& text, const std::string& file,
                           std::vector<ConfigError>& errors);
/// Reads and parses a file. Also appends an error if the file cannot be read.
Experiment readExperiment(const std::string& path, std::vector<ConfigError>& errors);

}  // namespace stonebay::testbed
