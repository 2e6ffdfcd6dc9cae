#include "testbed/run_sampler.hpp"

#include <cstdio>
#include <utility>

namespace stonebay::testbed {
namespace {

constexpr Time kInterval = std::chrono::seconds(1);

}  // namespace

RunSampler::RunSampler(const RunContext& context, std::function<RunSample()> takeSample,
                       ProgressDisplay display)
    : takeSample_(std::move(takeSample)), display_(display), timer_(context, [this] { sample(); }) {}

void RunSampler::start() { timer_.startIn(kInterval); }

void RunSampler::stop() {
  timer_.stop();
  if (display_ != ProgressDisplay::None) std::fprintf(stderr, "\n");
}

void RunSampler::sample() {
  const RunSample current = takeSample_();
  const RunSample previous = samples_.empty() ? RunSample() : samples_.back();
  samples_.push_back(current);
  if (display_ != ProgressDisplay::None) showProgress(current, previous);
  timer_.startIn(kInterval);
}

void RunSampler::showProgress(const RunSample& current, const RunSample& previous) const {
  std::fprintf(
      stderr,
      "\r%5.0f s  served %zu/s  refused %zu/s  failed %zu/s  members %zu  cpu %.1f%%  memory %.1f MB   ",
      current.atSeconds, current.served - previous.served, current.rejected - previous.rejected,
      current.failed - previous.failed, current.listedEndpoints,
      100 * (current.cpuSeconds - previous.cpuSeconds), current.residentMb);
  if (display_ == ProgressDisplay::LinePerSecond) std::fprintf(stderr, "\n");
  std::fflush(stderr);
}

}  // namespace stonebay::testbed
