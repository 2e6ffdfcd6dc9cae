#include "testbed/proxy_process.hpp"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace stonebay::testbed {
namespace {

constexpr int kExecFailed = 127;      // exit status that shells use for a failed exec
constexpr int kSignalExitBase = 128;  // plus the signal number, as in shells
constexpr std::size_t kReadBytes = 4096;
constexpr const char* kShimLibrary = "libstonebay_syscall_shim.so";

// Returns the shim in the directory of the program or, for a program of another build, of this executable.
std::string findShim(const std::string& program) {
  namespace fs = std::filesystem;
  for (const fs::path& executable : {fs::path(program), fs::read_symlink("/proc/self/exe")}) {
    const fs::path library = fs::path(executable).replace_filename(kShimLibrary);
    if (fs::exists(library)) return fs::absolute(library).string();
  }
  throw std::runtime_error(std::string(kShimLibrary) + " is neither beside " + program +
                           " nor beside the testbed, so no faults can be injected");
}

}  // namespace

ProxyProcess::ProxyProcess(const RunContext& context, std::string program, std::string settingsPath,
                           std::string logPath)
    : context_(context),
      program_(std::move(program)),
      settingsPath_(std::move(settingsPath)),
      logPath_(std::move(logPath)) {}

ProxyProcess::~ProxyProcess() { kill(); }

void ProxyProcess::setFaults(std::string faults, std::string clockFile) {
  faults_ = std::move(faults);
  clockFile_ = std::move(clockFile);
  shimPath_ = findShim(program_);
}

void ProxyProcess::start(ReadyHandler onReady) {
  if (isRunning()) return;
  onReady_ = std::move(onReady);
  isReady_ = false;
  startupOutput_.clear();
  outputReadable_.reset();
  output_.reset();
  std::array<int, 2> pipeEnds{};
  if (pipe2(pipeEnds.data(), O_CLOEXEC) != 0)
    throw std::runtime_error("cannot create a pipe for the output of the proxy process");
  output_ = UniqueFd(pipeEnds[0]);
  const UniqueFd writeEnd(pipeEnds[1]);
  pid_ = fork();
  if (pid_ == 0) execute(writeEnd.get());
  fcntl(output_.get(), F_SETFL, O_NONBLOCK);
  outputReadable_.reset(event_new(
      context_.eventBase(), output_.get(), EV_READ | EV_PERSIST,
      [](evutil_socket_t /*fd*/, short /*events*/, void* self) {
        static_cast<ProxyProcess*>(self)->onOutput();
      },
      this));
  event_add(outputReadable_.get(), nullptr);
}

// Runs in the child process.
void ProxyProcess::execute(int outputFd) const {
  dup2(outputFd, STDOUT_FILENO);
  dup2(outputFd, STDERR_FILENO);
  if (!shimPath_.empty()) {
    setenv("LD_PRELOAD", shimPath_.c_str(), 1);
    setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    setenv("STONEBAY_SHIM_FAULTS", faults_.c_str(), 1);
    setenv("STONEBAY_SHIM_CLOCK", clockFile_.c_str(), 1);
  }
  execl(program_.c_str(), "stonebay", "serve", "--config", settingsPath_.c_str(),
        static_cast<char*>(nullptr));
  _exit(kExecFailed);
}

void ProxyProcess::onOutput() {
  std::array<char, kReadBytes> bytes{};
  const ssize_t received = ::read(output_.get(), bytes.data(), bytes.size());
  if (received <= 0) {
    event_del(outputReadable_.get());
    return;
  }
  std::ofstream(logPath_, std::ios::app).write(bytes.data(), received);
  if (isReady_) return;
  startupOutput_.append(bytes.data(), static_cast<std::size_t>(received));
  parseListeningPort();
}

// The process logs one line with event=listening and its port once clients can connect.
void ProxyProcess::parseListeningPort() {
  const std::string portField = " port=";
  const std::size_t lineAt = startupOutput_.find("event=listening");
  if (lineAt == std::string::npos || startupOutput_.find('\n', lineAt) == std::string::npos) return;
  isReady_ = true;
  const std::size_t portAt = startupOutput_.find(portField, lineAt) + portField.size();
  if (onReady_) onReady_(std::atoi(startupOutput_.c_str() + portAt));
}

void ProxyProcess::sendSignal(int signal) const {
  if (pid_ > 0) ::kill(pid_, signal);
}

bool ProxyProcess::isRunning() {
  if (pid_ <= 0) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  exitStatus_ = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalExitBase + WTERMSIG(status);
  pid_ = -1;
  return false;
}

void ProxyProcess::kill() {
  if (!isRunning()) return;
  ::kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

double ProxyProcess::cpuSeconds() const {
  if (pid_ <= 0) return 0;
  // schedstat counts in nanoseconds, /proc/PID/stat only in hundredths of a second.
  std::ifstream schedulerStatistics("/proc/" + std::to_string(pid_) + "/schedstat");
  double nanoseconds = 0;
  schedulerStatistics >> nanoseconds;
  return nanoseconds / 1e9;
}

double ProxyProcess::residentMb() const { return memoryMb("VmRSS:"); }
double ProxyProcess::peakResidentMb() const { return memoryMb("VmHWM:"); }

double ProxyProcess::memoryMb(const std::string& field) const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string word; status >> word;) {
    if (word != field) continue;
    double kilobytes = 0;
    status >> kilobytes;
    return kilobytes / 1024;
  }
  return 0;
}

double ProxyProcess::descriptors() const {
  std::error_code error;
  const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid_) + "/fd", error);
  return error ? 0 : static_cast<double>(std::distance(begin(entries), end(entries)));
}

}  // namespace stonebay::testbed
