#include "testbed/machine.hpp"

#include <algorithm>

namespace stonebay::testbed {
namespace {

constexpr double kMinCoreSpeed = 1e-6;  // relative to a standard core; keeps durations finite

}  // namespace

Machine::Machine(const MachineSettings& settings, Time startedAt, bool startsWarm)
    : settings_(settings),
      startedAt_(startedAt),
      startsWarm_(startsWarm),
      coreFreeAt_(static_cast<std::size_t>(settings.cores), startedAt) {}

double Machine::currentCoreSpeed(Time now) const {
  double share = 1;
  if (isWarmingUp(now)) {
    const double gain = (1 - settings_.warmUpInitialShare) * toSeconds(now - startedAt_);
    share = settings_.warmUpInitialShare + gain / toSeconds(settings_.warmUpDuration);
  }
  return settings_.coreSpeed * share / slowdown_;
}

double Machine::capacity(Time now) const { return currentCoreSpeed(now) * settings_.cores; }

bool Machine::addOfferedWork(Time now, double work) {
  if (!isWarmingUp(now)) return false;
  offered_.push_back({now, work});
  offeredInWindow_ += work;
  while (!offered_.empty() && offered_.front().at <= now - settings_.overloadWindow) {
    offeredInWindow_ -= offered_.front().work;
    offered_.pop_front();
  }
  // The overload rule refers to the capacity without a scripted slowdown.
  const double windowCapacity =
      capacity(now) * slowdown_ * static_cast<double>(settings_.overloadWindow.count());
  const double overload = offeredInWindow_ / windowCapacity;
  peakOverload_ = std::max(peakOverload_, overload);
  return overload > settings_.overloadFactor;
}

std::optional<Time> Machine::enqueue(Time now, double work) {
  if (inFlight(now) >= settings_.queueCapacity + coreFreeAt_.size()) return std::nullopt;
  const auto core = std::min_element(coreFreeAt_.begin(), coreFreeAt_.end());
  const Time startsAt = std::max(now, *core);
  const Time completesAt =
      startsAt + fromMicroseconds(work / std::max(currentCoreSpeed(startsAt), kMinCoreSpeed));
  *core = completesAt;
  completions_.insert(std::upper_bound(completions_.begin(), completions_.end(), completesAt), completesAt);
  return completesAt;
}

void Machine::cancel(Time now, Time completesAt) {
  const auto completion = std::find(completions_.begin(), completions_.end(), completesAt);
  if (completion != completions_.end()) completions_.erase(completion);
  // Work queued behind it on the same core keeps its completion time, so the core becomes free only if the
  // cancelled work was the last.
  const auto core = std::find(coreFreeAt_.begin(), coreFreeAt_.end(), completesAt);
  if (core != coreFreeAt_.end()) *core = now;
}

std::size_t Machine::inFlight(Time now) {
  while (!completions_.empty() && completions_.front() <= now) completions_.pop_front();
  return completions_.size();
}

}  // namespace stonebay::testbed
