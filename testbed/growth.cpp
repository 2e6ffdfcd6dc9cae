#include "testbed/growth.hpp"

#include <cstdio>
#include <filesystem>
#include <iterator>
#include <stdexcept>
#include <utility>
#include <vector>

#include "testbed/experiment_run.hpp"

namespace stonebay::testbed {
namespace {

constexpr int kEndpointsPerGroup = 5;
constexpr int kFleetSizes[] = {200, 800, 3200};  // endpoints; the first is the baseline

// The load is that of one proxy in a tier of hundreds.
constexpr const char* kGrowthExperiment = R"(
[experiment]
title = growth
discovery = registry
tier = 300
duration = 20s
warmup = 1s
[fleet]
members = 5
apply_work = 1ms
[load]
rate = 20
[class read]
share = 85%
work_least = 1ms
work_most = 10ms
data = bounded
max_age = 3s
repeats = safe
aim = 300ms
give_up = 800ms
[class write]
share = 15%
work_least = 1ms
work_most = 10ms
data = write
repeats = keyed
repeats_dropped_for = 1s
aim = 500ms
give_up = 1500ms
[script]
2s registry down
5s registry up
7s drain s-1 s-20
9s withdraw s-1 s-20
11s publish s-1 s-20
13s registry down
14s registry up
16s proxy 1 hup
)";

// The largest value of a figure that is allowed with a given number of endpoints: factor * the figure at the
// baseline size + constant + perThousand for each 1,000 endpoints. The values are those of the table in
// docs/operators/growth.md.
struct Bound {
  const char* figure;
  double factor;
  double constant;
  double perThousand;
};
constexpr Bound kBounds[] = {
    {"proxy_cpu_total_s", 1.4, 0.02, 0.03},
    {"peak_resident_mb", 1.5, 8, 4},
    {"descriptors", 2, 40, 0},
    {"connections", 2.5, 40, 0},
    {"list_bytes", 2, 64 * 1024.0, 500 * 1024.0},
};
constexpr double kMinServedRatio = 0.85;
constexpr double kThousand = 1000;

Figures runWithEndpoints(int endpoints, const GrowthOptions& options) {
  std::vector<ConfigError> errors;
  Experiment experiment = parseExperiment(kGrowthExperiment, "growth", errors);
  if (!errors.empty()) throw std::runtime_error(errors.front().text());
  experiment.fleet.groups = endpoints / kEndpointsPerGroup;
  RunOptions run;
  run.program = options.program;
  run.directory = options.directory + "/" + std::to_string(endpoints);
  std::filesystem::create_directories(run.directory);
  return ExperimentRun(experiment, run).run().figures;
}

// Checks the figures of one run against the bounds, which depend on the figures at the baseline size.
class GrowthChecker {
 public:
  GrowthChecker(const GrowthOptions& options, int endpoints, Figures baseline, Figures figures)
      : options_(options),
        endpoints_(endpoints),
        baseline_(std::move(baseline)),
        figures_(std::move(figures)) {}

  // Prints each selected figure with its bound. Returns whether all of them are within bounds.
  bool check() {
    for (const Bound& bound : kBounds) {
      const double limit = bound.factor * baseline_[bound.figure] + bound.constant +
                           bound.perThousand * endpoints_ / kThousand;
      checkFigure(bound.figure, limit, figures_[bound.figure] <= limit);
    }
    const double minServed = kMinServedRatio * baseline_["served_share"];
    checkFigure("served_share", minServed, figures_["served_share"] >= minServed);
    checkFigure("lost", 0, figures_["lost"] == 0);
    return allWithinBounds_;
  }

 private:
  bool isSelected(const std::string& figure) const {
    return options_.only.empty() ? figure != options_.except : figure == options_.only;
  }

  void checkFigure(const std::string& figure, double bound, bool isWithinBound) {
    if (!isSelected(figure)) return;
    std::printf("%-7s %-18s %5d endpoints: %.4g, bound %.4g\n", isWithinBound ? "held" : "BROKEN",
                figure.c_str(), endpoints_, figures_[figure], bound);
    allWithinBounds_ = allWithinBounds_ && isWithinBound;
  }

  const GrowthOptions& options_;
  const int endpoints_;
  Figures baseline_;
  Figures figures_;
  bool allWithinBounds_ = true;
};

}  // namespace

bool measureGrowth(const GrowthOptions& options) {
  Figures baseline;
  bool allWithinBounds = true;
  for (const int endpoints : kFleetSizes) {
    if (options.onlySmallestAndLargest && endpoints != kFleetSizes[0] &&
        endpoints != kFleetSizes[std::size(kFleetSizes) - 1])
      continue;
    const Figures figures = runWithEndpoints(endpoints, options);
    if (baseline.empty()) baseline = figures;
    allWithinBounds = GrowthChecker(options, endpoints, baseline, figures).check() && allWithinBounds;
  }
  return allWithinBounds;
}

}  // namespace stonebay::testbed
