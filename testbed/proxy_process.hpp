// A real stonebay process: its start, log, signals and resource usage.
#pragma once

#include <functional>
#include <string>

#include "testbed/run_context.hpp"
#include "testbed/unique_fd.hpp"

namespace stonebay::testbed {

class ProxyProcess {
 public:
  using ReadyHandler = std::function<void(int port)>;

  /// @param settingsPath the file passed to `serve --config`
  /// @param logPath the file to which the process's output is appended
  ProxyProcess(const RunContext& context, std::string program, std::string settingsPath, std::string logPath);
  /// Kills the process.
  ~ProxyProcess();
  ProxyProcess(const ProxyProcess&) = delete;
  ProxyProcess& operator=(const ProxyProcess&) = delete;

  /// Starts the process unless it is running. `onReady` is called with its port once it listens. Throws
  /// std::runtime_error if no pipe can be created for its output.
  void start(ReadyHandler onReady);
  /// Preloads the system call shim into the processes that start from now on. Throws std::runtime_error if
  /// the shim is neither beside the program nor beside this executable.
  /// @param faults value of STONEBAY_SHIM_FAULTS; may be empty
  /// @param clockFile value of STONEBAY_SHIM_CLOCK: the file with the offset of the wall clock
  void setFaults(std::string faults, std::string clockFile);
  void sendSignal(int signal) const;
  /// Sends SIGKILL and waits until the process has ended.
  void kill();
  bool isRunning();
  /// Exit status of the last process that ended other than through `kill`: its exit code, or 128 plus the
  /// signal number. -1 if there is none.
  int exitStatus() const { return exitStatus_; }
  /// CPU time of the running process; 0 if there is none.
  double cpuSeconds() const;
  /// Resident memory of the running process; 0 if there is none.
  double residentMb() const;
  /// Peak resident memory of the running process; 0 if there is none.
  double peakResidentMb() const;
  /// Number of open file descriptors.
  double descriptors() const;

 private:
  [[noreturn]] void execute(int outputFd) const;
  void onOutput();
  void parseListeningPort();
  double memoryMb(const std::string& field) const;

  const RunContext& context_;
  const std::string program_;
  const std::string settingsPath_;
  const std::string logPath_;
  std::string faults_;
  std::string clockFile_;
  std::string shimPath_;  // if empty, the shim is not preloaded
  ReadyHandler onReady_;
  int pid_ = -1;
  int exitStatus_ = -1;
  UniqueFd output_;
  Event outputReadable_;
  std::string startupOutput_;
  bool isReady_ = false;
};

}  // namespace stonebay::testbed
