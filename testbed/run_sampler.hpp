// Samples a run every second and shows its progress.
#pragma once

#include <functional>
#include <vector>

#include "testbed/experiment_result.hpp"
#include "testbed/run_context.hpp"
#include "testbed/timer.hpp"

namespace stonebay::testbed {

/// How the progress is shown on standard error.
enum class ProgressDisplay {
  None,
  OneLine,  ///< one line, overwritten every second
  LinePerSecond
};

class RunSampler {
 public:
  RunSampler(const RunContext& context, std::function<RunSample()> takeSample, ProgressDisplay display);

  void start();
  /// Also ends the progress line.
  void stop();
  const std::vector<RunSample>& samples() const { return samples_; }

 private:
  void sample();
  void showProgress(const RunSample& current, const RunSample& previous) const;

  const std::function<RunSample()> takeSample_;
  const ProgressDisplay display_;
  Timer timer_;
  std::vector<RunSample> samples_;
};

}  // namespace stonebay::testbed
