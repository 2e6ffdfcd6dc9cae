// One proxy of a run, with its process, its discovery stand-in and its clients.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "testbed/audit.hpp"
#include "testbed/cpu_throttle.hpp"
#include "testbed/discovery_stand_in.hpp"
#include "testbed/endpoint_fleet.hpp"
#include "testbed/experiment.hpp"
#include "testbed/load_generator.hpp"
#include "testbed/proxy_process.hpp"
#include "testbed/run_context.hpp"

namespace stonebay::testbed {

class ProxyUnderTest {
 public:
  /// Starts the discovery stand-in. The process is started by `start`.
  /// @param directory where the process's settings and log are written
  /// @param number number of the proxy, from 1
  ProxyUnderTest(RunContext& context, RunAudit& audit, const EndpointFleet& fleet,
                 const Experiment& experiment, const std::string& program, const std::string& directory,
                 int number);

  int number() const { return number_; }
  /// Starts the process, or restarts it after it has ended.
  void start();
  /// Sends SIGTERM.
  void terminate();
  /// Sends SIGHUP.
  void reload();
  /// Sends SIGKILL and waits until the process has ended.
  void kill();
  /// Opens this number of client connections, which send no requests.
  void addIdleClients(int clients);
  /// Sets the offset, in milliseconds, that is added to the wall clock of its process.
  void setClockOffset(const std::string& milliseconds) const;
  /// Whether a process has ever reported that it listens.
  bool hasStarted() const { return hasStarted_; }
  /// Whether no process is running and the last recorded exit status is not 0.
  bool hasCrashed() { return !process_.isRunning() && process_.exitStatus() != 0; }
  /// See ProxyProcess::exitStatus.
  int exitStatus() const { return process_.exitStatus(); }

  /// Starts measuring the CPU time that `cpuSeconds` returns.
  void startMeasuring() { cpuAtMeasurementStart_ = process_.cpuSeconds(); }
  /// CPU time of the running process and of all killed ones, each from its start.
  double totalCpuSeconds() const { return totalCpuOfKilledProcesses_ + process_.cpuSeconds(); }
  /// CPU time since `startMeasuring`, of the running process and all earlier ones.
  double cpuSeconds() const {
    return process_.cpuSeconds() - cpuAtMeasurementStart_ + measuredCpuOfEndedProcesses_;
  }
  double residentMb() const { return process_.residentMb(); }
  double peakResidentMb() const { return process_.peakResidentMb(); }
  double descriptors() const { return process_.descriptors(); }

  DiscoveryStandIn& discovery() { return *discovery_; }
  const DiscoveryStandIn& discovery() const { return *discovery_; }
  LoadGenerator& clients() { return clients_; }
  const LoadGenerator& clients() const { return clients_; }

 private:
  void addCpuOfEndedProcess();

  const int number_;
  const Experiment& experiment_;
  const std::string settingsPath_;
  const std::string clockPath_;
  const RunContext& context_;
  std::unique_ptr<DiscoveryStandIn> discovery_;
  ProxyProcess process_;
  CpuThrottle throttle_;
  LoadGenerator clients_;
  std::vector<BufferEvent> idleClients_;
  int port_ = 0;
  bool isTerminating_ = false;
  bool hasStarted_ = false;
  double cpuAtMeasurementStart_ = 0;
  double measuredCpuOfEndedProcesses_ = 0;
  double totalCpuOfKilledProcesses_ = 0;
};

}  // namespace stonebay::testbed
