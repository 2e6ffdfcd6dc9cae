// Writes configurations of the program under test and starts it.
#pragma once

#include <string>
#include <vector>

namespace stonebay::test {

/// Options of the configuration and the process.
struct Setting {
  int servers = 2;
  std::string idleCloseUs = "15000000";
  std::string deduplicationWindowUs = "9000000";  ///< of the class "write"; in the JSON form only
  int sockets = 1024, memoryMb = 192;
  std::string reports = "pull";
  int proxyCount = 3;
  bool retryAfterAllowed = true;
  bool dnssd = false;     ///< discovers endpoints through DNS-SD; the configuration is an INI file
  bool ini = false;       ///< the configuration is an INI file, for `serve --config`
  int receiveBuffer = 0;  ///< receive buffer of the endpoints in bytes; 0 means the system's default
  int descriptors = 0;    ///< RLIMIT_NOFILE of the process; 0 means that the limit is inherited
  std::string faults;     ///< injected system call faults, see testbed/syscall_shim.cpp; empty: none
  std::string clockFile;  ///< file with the offset of the wall clock, see the same file; empty: no offset
};

/// Returns a configuration in the platform's JSON form.
std::string configuration(const Setting& setting, int discoveryPort, const std::vector<int>& serverPorts);
/// Returns the same configuration as an INI file. With Setting::dnssd, the endpoints are published in
/// `domain`.
std::string settingsFile(const Setting& setting, int discoveryPort, const std::vector<int>& serverPorts,
                         const std::string& domain = "ruwi.example.org");
/// Starts the program with these arguments and with NODE_CONFIG set to `configPath`; returns its process id.
/// Sets `output` to a descriptor from which its standard output and standard error can be read.
int spawn(const std::string& configPath, const Setting& setting, int& output,
          const std::vector<std::string>& arguments = {});

}  // namespace stonebay::test
