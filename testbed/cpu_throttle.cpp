#include "testbed/cpu_throttle.hpp"

#include <algorithm>
#include <csignal>

namespace stonebay::testbed {
namespace {

constexpr Time kCheckInterval = std::chrono::milliseconds(2);
// Limits how much unused CPU time an idle process can use later.
constexpr double kMaxCreditSeconds = 0.001;

}  // namespace

CpuThrottle::CpuThrottle(const RunContext& context, ProxyProcess& process, double share)
    : context_(context), process_(process), share_(share), timer_(context, [this] { check(); }) {}

void CpuThrottle::start() {
  if (share_ >= 1) return;
  lastCheckAt_ = context_.now();
  lastCpuSeconds_ = process_.cpuSeconds();
  excessCpuSeconds_ = 0;
  // A restarted process may already have been stopped for the CPU time that its start took.
  setStopped(false);
  timer_.startIn(kCheckInterval);
}

void CpuThrottle::check() {
  const Time now = context_.now();
  const double cpuSeconds = process_.cpuSeconds();
  excessCpuSeconds_ += cpuSeconds - lastCpuSeconds_ - share_ * toSeconds(now - lastCheckAt_);
  excessCpuSeconds_ = std::max(excessCpuSeconds_, -kMaxCreditSeconds);
  lastCheckAt_ = now;
  lastCpuSeconds_ = cpuSeconds;
  setStopped(excessCpuSeconds_ > 0);
  timer_.startIn(kCheckInterval);
}

void CpuThrottle::setStopped(bool isStopped) {
  if (isStopped == isStopped_) return;
  process_.sendSignal(isStopped ? SIGSTOP : SIGCONT);
  isStopped_ = isStopped;
}

}  // namespace stonebay::testbed
