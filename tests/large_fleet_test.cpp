// Runs a real proxy on a small share of a core with hundreds or thousands of stand-in endpoints.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <string>

#include "testbed/experiment_run.hpp"

namespace stonebay::testbed {
namespace {

constexpr int kTypicalGroups = 40;  // of five endpoints each
constexpr int kManyGroups = 640;
// Sanitizers multiply the CPU time that the proxy needs.
#ifdef __SANITIZE_ADDRESS__
constexpr double kCpuShare = 1;
#else
constexpr double kCpuShare = 0.1;
#endif

// The registry sends complete lists and a large change and has an outage, while some clients disconnect,
// cancel or use short deadlines. A response up to 500 ms after its deadline earns no weight, but is not
// counted as lost.
constexpr const char* kExperiment = R"(
[experiment]
discovery = registry
tier = 300
duration = 9s
warmup = 2s
[fleet]
members = 5
apply_work = 1ms
[load]
rate = 60
leave = 6%
cancel = 4%
short = 10%
answer_grace = 500ms
[class read]
share = 85%
work_least = 1ms
work_most = 20ms
data = bounded
max_age = 5s
repeats = safe
aim = 300ms
give_up = 700ms
[class write]
share = 15%
work_least = 1ms
work_most = 20ms
data = write
repeats = keyed
repeats_dropped_for = 2s
aim = 700ms
give_up = 1500ms
[script]
1s registry restart
3s drain s-11 s-60
4s registry down
5s withdraw s-11 s-60
6s registry up
7s publish s-11 s-60
8s registry restart
)";

class LargeFleet : public testing::Test {
 protected:
  void SetUp() override { ASSERT_NE(mkdtemp(directory_), nullptr); }
  void TearDown() override { std::filesystem::remove_all(directory_); }

  Figures run(int groups) const {
    std::vector<ConfigError> errors;
    Experiment experiment = parseExperiment(kExperiment, "large fleet", errors);
    EXPECT_TRUE(errors.empty()) << errors.front().text();
    experiment.fleet.groups = groups;
    experiment.cpuShare = kCpuShare;
    RunOptions options;
    options.program = STONEBAY_PROGRAM;
    options.directory = directory_;
    ExperimentRun experimentRun(experiment, options);
    Figures figures = experimentRun.run().figures;
    for (const Violation& violation : experimentRun.audit().violations())
      ADD_FAILURE() << toSeconds(violation.at) << " s, " << figureName(violation.rule) << ": "
                    << violation.description;
    return figures;
  }

  void expectNothingLost(int groups) const {
    Figures figures = run(groups);
    EXPECT_EQ(figures["lost"], 0);
    EXPECT_EQ(figures["ended_sends"], 0);
    EXPECT_EQ(figures["crashes"], 0);
    EXPECT_GT(figures["served_share"], 0.6);
  }

 private:
  char directory_[32] = "/tmp/stonebay-fleet-XXXXXX";
};

TEST_F(LargeFleet, LosesNoRequestWithHundredsOfEndpoints) { expectNothingLost(kTypicalGroups); }

TEST_F(LargeFleet, LosesNoRequestWithThousandsOfEndpointsWhileListsArrive) { expectNothingLost(kManyGroups); }

}  // namespace
}  // namespace stonebay::testbed
