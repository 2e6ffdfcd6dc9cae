// Limits a process to a share of a core by stopping and continuing it.
#pragma once

#include "testbed/proxy_process.hpp"
#include "testbed/run_context.hpp"
#include "testbed/timer.hpp"

namespace stonebay::testbed {

/// Stops the process (SIGSTOP) when it has used more CPU time than its share, and continues it (SIGCONT) once
/// enough time has passed. With a share of 0.1, 10 ms of CPU time take 100 ms.
class CpuThrottle {
 public:
  /// @param share of a core; 1 or more means no limit
  CpuThrottle(const RunContext& context, ProxyProcess& process, double share);
  CpuThrottle(const CpuThrottle&) = delete;
  CpuThrottle& operator=(const CpuThrottle&) = delete;

  /// Starts or restarts the throttling. Must be called after each start of the process.
  void start();
  /// Whether the process is stopped until its share allows it to run again.
  bool isStopped() const { return isStopped_; }

 private:
  void check();
  void setStopped(bool isStopped);

  const RunContext& context_;
  ProxyProcess& process_;
  const double share_;
  Timer timer_;
  Time lastCheckAt_{};
  double lastCpuSeconds_ = 0;
  double excessCpuSeconds_ = 0;  ///< CPU time used beyond the share; negative if the share was not used up
  bool isStopped_ = false;
};

}  // namespace stonebay::testbed
