#include "proxy_process.hpp"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cstdlib>
#include <sstream>

namespace stonebay::test {

std::string configuration(const Setting& setting, int discoveryPort, const std::vector<int>& serverPorts) {
  std::ostringstream text;
  text << R"({"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:)" << discoveryPort
       << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" << setting.memoryMb
       << R"(,"sockets":)" << setting.sockets << R"(},"known":{"generation":5,"reset":true,"instances":[)";
  for (std::size_t index = 0; index < serverPorts.size(); ++index)
    text << (index ? "," : "") << R"({"instanceId":"s-)" << index + 1 << R"(","hostPort":"127.0.0.1:)"
         << serverPorts[index]
         << R"(","zone":"a","machineType":"m","cell":3,"lifecycle":"active","weight":1.0,"startedAtMs":0})";
  text << R"(]},"settings":{"allowed":{"attemptsCap":8,"cancel":true,"dialTimeoutUs":250000,"idleCloseUs":)"
       << setting.idleCloseUs
       << R"(,"maxRetryAfterUs":1000000,"parallelTries":false,"probing":true,"retryAfter":)"
       << (setting.retryAfterAllowed ? "true" : "false") << R"(},"balancers":)" << setting.proxyCount << R"(,
"classes":[{"deadlineUs":9000000,"effect":"safe","lateWorth":0.0,"name":"read","promiseUs":8000000,"worth":1.0},
{"deadlineUs":9000000,"effect":"keyed","group":"cell","lateWorth":0.5,"memorySpanUs":)"
       << setting.deduplicationWindowUs << R"(,"name":"write",
"promiseUs":8000000,"worth":6.0}],"discovery":"subscribe","goal":{"whole":0.55,"worstClass":0.3},
"obligations":{"coldUs":18000000,"drainGraceUs":1000000,"fallMultiple":2.5,"fallUs":1500000,
"mustAskInUs":10000000,"startCapacity":0.21},"report":{"how":")"
       << setting.reports << R"(","names":["x0","x1","inflight"]},
"specifics":{"checks":"silent","classBoundUs":[5000000,0],"consistency":["bounded","write"],"holdsForUs":0,
"roleListed":"silent","sessionMarks":"carried","stamps":true,"synchronous":false,"zeroUs":5},
"stepUs":5000,"zones":["a","b"]}})";
  return text.str();
}

std::string settingsFile(const Setting& setting, int discoveryPort, const std::vector<int>& serverPorts,
                         const std::string& domain) {
  std::ostringstream text;
  text << "[proxy]\nname = n0\nlisten = 127.0.0.1:0\nproxies = 3\nzones = a, b\nseed = "
          "8c1f30d27a5be964\n[limits]\nmemory = "
       << setting.memoryMb << "MB\ndescriptors = " << setting.sockets
       << "\nidle_close = " << setting.idleCloseUs << "us\n[discovery]\n";
  if (setting.dnssd)
    text << "source = dnssd\n[dnssd]\ndomain = " << domain << "\nname_servers = 127.0.0.1:" << discoveryPort
         << "\nrefresh_least = 100ms\nrefresh_most = 200ms\ngroup = 3\n";
  else
    text << "registry = 127.0.0.1:" << discoveryPort << "\n";
  for (std::size_t index = 0; !setting.dnssd && index < serverPorts.size(); ++index)
    text << "[member s-" << index + 1 << "]\naddress = 127.0.0.1:" << serverPorts[index]
         << "\ngroup = 3\nzone = a\n";
  text << "[class read]\ndata = bounded\nmax_age = 5s\nrepeats = safe\naim = 8s\ngive_up = 9s\n"
          "[class write]\ndata = write\nrepeats = keyed\nrepeats_dropped_for = 9s\naim = 8s\ngive_up = 9s\n"
          "worth = 6\nlate_worth = 50%\n";
  return text.str();
}

int spawn(const std::string& configPath, const Setting& setting, int& output,
          const std::vector<std::string>& arguments) {
  int pipeFds[2];
  if (pipe2(pipeFds, O_CLOEXEC) != 0) abort();
  const int pid = fork();
  if (pid == 0) {
    dup2(pipeFds[1], 1);
    dup2(pipeFds[1], 2);
    if (setting.descriptors > 0) {
      const auto descriptors = static_cast<rlim_t>(setting.descriptors);
      const rlimit limit{descriptors, descriptors};
      setrlimit(RLIMIT_NOFILE, &limit);
    }
    setenv("NODE_CONFIG", configPath.c_str(), 1);
    if (!setting.faults.empty() || !setting.clockFile.empty()) {
      setenv("LD_PRELOAD", STONEBAY_SYSCALL_SHIM, 1);
      setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    }
    if (!setting.faults.empty()) setenv("STONEBAY_SHIM_FAULTS", setting.faults.c_str(), 1);
    if (!setting.clockFile.empty()) setenv("STONEBAY_SHIM_CLOCK", setting.clockFile.c_str(), 1);
    std::vector<char*> argv{const_cast<char*>("stonebay")};
    for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    execv(STONEBAY_PROGRAM, argv.data());
    _exit(127);
  }
  close(pipeFds[1]);
  output = pipeFds[0];
  return pid;
}

}  // namespace stonebay::test
