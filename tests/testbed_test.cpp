// Tests of the testbed: its models, its experiment parser and its auditors. Each auditor is also tested
// against a proxy that violates the rule that it checks.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "testbed/audit.hpp"
#include "testbed/experiment.hpp"
#include "testbed/experiment_run.hpp"
#include "testbed/machine.hpp"
#include "testbed/proxy_process.hpp"
#include "testbed/replica_log.hpp"
#include "testbed/run_context.hpp"
#include "testbed/soak_day.hpp"

namespace stonebay::testbed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(Machine, ServesOneRequestPerCoreAtATime) {
  MachineSettings settings;
  settings.cores = 2;
  settings.queueCapacity = 1;
  Machine machine(settings, Time(0), true);
  EXPECT_EQ(machine.enqueue(Time(0), 1000), Time(1000));
  EXPECT_EQ(machine.enqueue(Time(0), 3000), Time(3000));
  EXPECT_EQ(machine.enqueue(Time(0), 1000), Time(2000));  // waits for the first
  EXPECT_EQ(machine.enqueue(Time(0), 1000), std::nullopt);
  EXPECT_EQ(machine.inFlight(Time(1500)), 2U);
  machine.setSlowdown(4);
  EXPECT_EQ(machine.enqueue(Time(5000), 1000), Time(9000));
}

TEST(Machine, WarmsUpAfterItsStartAndCrashesWhenOverloaded) {
  MachineSettings settings;
  settings.cores = 1;
  Machine machine(settings, Time(0), false);
  EXPECT_NEAR(machine.capacity(Time(0)), 0.21, 1e-9);
  EXPECT_NEAR(machine.capacity(seconds(9)), 0.605, 1e-9);
  EXPECT_NEAR(machine.capacity(seconds(18)), 1, 1e-9);
  // 0.21 of a core over 1.5 s is 315 ms of work; more than 2.5 times that crashes the machine.
  EXPECT_FALSE(machine.addOfferedWork(Time(0), 780e3));
  EXPECT_NEAR(machine.peakOverload(), 780.0 / 315, 1e-6);
  EXPECT_TRUE(machine.addOfferedWork(Time(1), 20e3));
}

TEST(Machine, CountsOfferedWorkOverItsWindowOnly) {
  MachineSettings settings;
  settings.cores = 1;
  Machine machine(settings, Time(0), false);
  EXPECT_FALSE(machine.addOfferedWork(Time(0), 700e3));
  EXPECT_FALSE(machine.addOfferedWork(seconds(2), 700e3));
}

TEST(Machine, DoesNotCrashWhenOverloadedOnceItIsWarm) {
  MachineSettings settings;
  settings.cores = 1;
  Machine machine(settings, Time(0), true);
  EXPECT_FALSE(machine.addOfferedWork(Time(0), 1e9));
}

TEST(ReplicaLog, LagsWhenItsApplyIsSlowAndCatchesUp) {
  ReplicaLog log(milliseconds(5), milliseconds(10));
  EXPECT_EQ(log.position(seconds(1)), seconds(1) - milliseconds(5));
  log.setApplySlowdown(10);
  for (int i = 0; i < 5; ++i) log.commit(seconds(2) + milliseconds(i));
  EXPECT_EQ(log.position(seconds(2) + milliseconds(50)), seconds(2) - Time(1));
  EXPECT_EQ(log.position(seconds(2) + milliseconds(250)), seconds(2) + milliseconds(2) - Time(1));
  EXPECT_EQ(log.position(seconds(3)), seconds(3) - milliseconds(5));
  log.setDisconnected(true, seconds(4));
  EXPECT_EQ(log.position(seconds(9)), seconds(4) - milliseconds(5));
}

AttemptRecord attemptAt(Time at, int endpoint, const std::string& id) {
  AttemptRecord attempt;
  attempt.at = at;
  attempt.proxy = 1;
  attempt.endpoint = endpoint;
  attempt.id = id;
  return attempt;
}

TEST(RunAudit, CountsAttemptsAfterTheDrainGraceAndNotThoseWithinIt) {
  RunAudit audit;
  audit.onWithdrawn(seconds(1), 3);
  audit.onListing(seconds(2), 1, 3, false);
  audit.onAttempt(attemptAt(seconds(2) + milliseconds(1000), 3, "a"));
  audit.onAttempt(attemptAt(seconds(2) + milliseconds(1100), 3, "b"));
  AttemptRecord byAnotherProxy = attemptAt(seconds(9), 3, "c");
  byAnotherProxy.proxy = 2;  // was not notified of the withdrawal
  audit.onAttempt(byAnotherProxy);
  audit.onListing(seconds(10), 1, 3, true);
  audit.onAttempt(attemptAt(seconds(30), 3, "d"));
  EXPECT_EQ(audit.figures()["late_sends"], 1);
  EXPECT_EQ(audit.figures()["sends_in_grace"], 1);
  EXPECT_EQ(audit.figures()["told_max_ms"], 1000);
}

TEST(RunAudit, CountsConcurrentAttemptsUnlessTheFirstWasCancelledJustBefore) {
  RunAudit audit;
  const auto cancelled = audit.onAttempt(attemptAt(Time(0), 1, "a"));
  audit.onAttempt(attemptAt(milliseconds(5), 2, "a"));
  audit.onAttemptEnded(milliseconds(10), cancelled, false);
  const auto concurrent = audit.onAttempt(attemptAt(seconds(1), 1, "b"));
  audit.onAttempt(attemptAt(seconds(1) + milliseconds(5), 2, "b"));
  audit.onAttemptEnded(seconds(1) + milliseconds(40), concurrent, true);
  audit.finish(seconds(2));
  EXPECT_EQ(audit.figures()["second_copies"], 1);
}

ResponseEvent servedAt(Time at, const std::string& id, const std::string& value) {
  ResponseEvent response;
  response.record = {at, at, id, RequestResult::Served};
  response.value = value;
  response.onTime = true;
  response.priorityWeight = 1;
  response.earnedWeight = 1;
  return response;
}

TEST(RunAudit, ExpectsOneResponseWithItsOwnValueForEachRequest) {
  RunAudit audit;
  for (const char* id : {"a", "b", "c"}) audit.onRequest(Time(0), id);
  ResponseEvent unanswered;
  unanswered.record = {seconds(1), seconds(1), "c", RequestResult::Unanswered};
  unanswered.priorityWeight = 2;
  audit.onResponse(servedAt(seconds(1), "a", "v-a"));
  audit.onResponse(servedAt(seconds(1), "b", "v-a"));
  audit.onResponse(unanswered);
  audit.onResponse(servedAt(seconds(1), "a", "v-a"));
  auto figures = audit.figures();
  EXPECT_EQ(figures["lost"], 2);
  EXPECT_EQ(figures["extra_answers"], 1);
  EXPECT_EQ(figures["requests"], 3);
  EXPECT_EQ(figures["worth_share"], 0.5);
}

TEST(RunAudit, CountsAttemptsWhoseDeadlineIsLaterThanTheClients) {
  RunAudit audit;
  for (const char* id : {"a", "b"}) audit.onRequest(Time(0), id, seconds(1));
  AttemptRecord attempt = attemptAt(milliseconds(600), 1, "a");
  attempt.sentDeadline = seconds(1) + milliseconds(150);  // the tolerance
  audit.onAttempt(attempt);
  EXPECT_EQ(audit.figures()["ended_sends"], 0);
  attempt.id = "b";
  attempt.sentDeadline = seconds(1) + milliseconds(151);
  audit.onAttempt(attempt);
  EXPECT_EQ(audit.figures()["ended_sends"], 1);
}

TEST(ExperimentParser, ReportsEachErrorWithItsLine) {
  std::vector<ConfigError> errors;
  parseExperiment(
      "[experiment]\nduration = 5\n[fleet]\nmember = 3\n[class r]\nshare = 1\n[script]\n5s withdraw\n5x kill "
      "s-1\n"
      "from 1s every 0 until 5s kill s-1\n[claims]\nlost == 0\n",
      "x.ini", errors);
  std::string all;
  for (const ConfigError& error : errors) all += error.text() + "\n";
  for (const char* expected :
       {"x.ini:2: [experiment] duration: '5' has no unit", "x.ini:4: [fleet] member: there is no",
        "x.ini:8: [script]", "x.ini:9: [script]", "x.ini:10: [script]: it repeats without end",
        "x.ini:12: [claims]: 'lost == 0' is no claim"})
    EXPECT_NE(all.find(expected), std::string::npos) << expected << "\nin\n" << all;
}

TEST(ExperimentParser, AcceptsAllExperimentsOfTheRepository) {
  int experiments = 0;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(STONEBAY_SOURCE "/testbed/experiments")) {
    if (entry.path().extension() != ".ini") continue;
    std::vector<ConfigError> errors;
    const Experiment experiment = readExperiment(entry.path().string(), errors);
    EXPECT_TRUE(errors.empty()) << errors.front().text();
    EXPECT_FALSE(experiment.claims.empty()) << entry.path();
    const bool isLong = entry.path().string().find("/long/") != std::string::npos;
    EXPECT_TRUE(isLong || experiment.duration + experiment.warmup <= seconds(50)) << entry.path();
    ++experiments;
  }
  EXPECT_GE(experiments, 8);
}

// Run with a proxy that violates one rule: the auditor of this rule must report violations. The auditors of
// late attempts, concurrent attempts, repeated writes and extra responses must report none unless it is their
// rule.
constexpr const char* kFaultExperiment = R"(
[experiment]
duration = 3s
warmup = 300ms
[fleet]
groups = 1
members = 3
apply_work = 1ms
[load]
rate = 80
[class read]
share = 80%
work_least = 5ms
work_most = 10ms
data = bounded
max_age = 200ms
repeats = safe
aim = 900ms
give_up = 1s
[class write]
share = 20%
work_least = 5ms
work_most = 10ms
data = write
repeats = keyed
repeats_dropped_for = 500ms
aim = 900ms
give_up = 1s
[script]
300ms lag s-2 400
200ms withdraw s-3
210ms kill s-3
1s start s-3
1100ms publish s-3
)";

std::vector<ScriptStep> proxyStepsOf(std::uint64_t seed) {
  std::vector<ConfigError> errors;
  const Experiment experiment = parseExperiment(generateSoakExperiment(seed), "soak", errors);
  std::vector<ScriptStep> steps;
  for (const ScriptStep& step : experiment.script)
    if (step.action == ScriptAction::Proxy) steps.push_back(step);
  return steps;
}

// Returns when the steps send the signal or command to the proxy.
std::vector<Time> timesOf(const std::string& command, const std::vector<ScriptStep>& steps) {
  std::vector<Time> times;
  for (const ScriptStep& step : steps)
    if (step.arguments[1] == command) times.push_back(step.at);
  return times;
}

// Guards against a crash counted for a SIGHUP that ends the new process before the program has begun to run.
TEST(SoakExperiment, SendsNoReloadFromAKillUntilTheNewProcessHandlesSignals) {
  constexpr std::uint64_t kSeeds = 1000;
  constexpr Time kStartAllowance = milliseconds(200);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const std::vector<ScriptStep> steps = proxyStepsOf(seed);
    const std::vector<Time> kills = timesOf("kill", steps);
    if (kills.empty()) continue;
    const Time startAt = timesOf("start", steps).at(0);
    for (const Time reloadAt : timesOf("hup", steps))
      EXPECT_TRUE(reloadAt < kills[0] || reloadAt >= startAt + kStartAllowance) << "seed " << seed;
  }
}

constexpr const char* kRecoveryExperiment = R"(
[experiment]
duration = 1500ms
warmup = 300ms
[fleet]
groups = 1
members = 3
apply_work = 1ms
[load]
rate = 200
[class write]
share = 100%
work_least = 1ms
work_most = 5ms
data = write
repeats = keyed
repeats_dropped_for = 1s
aim = 900ms
give_up = 2s
[script]
500ms vanish s-1
1s back s-1
)";

// Guards against a late deadline counted for an attempt that waited in an endpoint while it was vanished.
TEST(RequestEndAuditor, CountsTheDeadlineOfAnAttemptFromItsArrival) {
  std::vector<ConfigError> errors;
  const Experiment experiment = parseExperiment(kRecoveryExperiment, "recovery", errors);
  ASSERT_TRUE(errors.empty()) << errors.front().text();
  char directory[] = "/tmp/stonebay-testbed-XXXXXX";
  ASSERT_NE(mkdtemp(directory), nullptr);
  RunOptions options;
  options.program = STONEBAY_PROGRAM;
  options.directory = directory;
  ExperimentResult result = ExperimentRun(experiment, options).run();
  std::filesystem::remove_all(directory);
  EXPECT_GT(result.figures["served"], 0);
  EXPECT_EQ(result.figures["ended_sends"], 0);
}

// Guards against experiments that hold because the faults they ask for were never injected.
TEST(ProxyProcess, RejectsFaultsWhenTheShimThatInjectsThemIsMissing) {
  const RunContext context(1);
  ProxyProcess process(context, "/nonexistent/stonebay", "unused.ini", "unused.log");
  EXPECT_THROW(process.setFaults("accept4:ENFILE:50", "unused.clock"), std::runtime_error);
}

struct FaultCase {
  const char* fault;
  const char* figure;  // counts the violations of the rule
};

class AuditorTest : public testing::TestWithParam<FaultCase> {
 protected:
  void SetUp() override {
    setenv("STONEBAY_FAULT", GetParam().fault, 1);
    ASSERT_NE(mkdtemp(directory_), nullptr);
  }
  void TearDown() override { std::filesystem::remove_all(directory_); }

  static bool isFault(const std::string& name) { return name == GetParam().fault; }
  static Experiment experiment() {
    std::vector<ConfigError> errors;
    Experiment experiment = parseExperiment(kFaultExperiment, "fault", errors);
    EXPECT_TRUE(errors.empty()) << errors.front().text();
    if (isFault("flood")) experiment.load.rate = 500;  // as many as one warm endpoint can just serve
    if (isFault("late")) {                             // withdraws the endpoint but keeps it running
      experiment.script.clear();
      experiment.script.push_back({milliseconds(200), ScriptAction::Withdraw, {"s-3"}, 0});
    }
    return experiment;
  }
  ExperimentResult run() const {
    RunOptions options;
    options.program = STONEBAY_FAULT_INJECTION;
    options.directory = directory_;
    return ExperimentRun(experiment(), options).run();
  }

 private:
  char directory_[32] = "/tmp/stonebay-testbed-XXXXXX";
};

TEST_P(AuditorTest, FindsTheInjectedFaultAndNoOther) {
  ExperimentResult result = run();
  EXPECT_GT(result.figures[GetParam().figure], 0) << "by " << GetParam().fault;
  EXPECT_GT(result.figures["served"], 0);
  for (const char* other : {"late_sends", "second_copies", "double_effects", "extra_answers"})
    if (std::string(other) != GetParam().figure) {
      EXPECT_EQ(result.figures[other], 0) << other << " by " << GetParam().fault;
    }
}
INSTANTIATE_TEST_SUITE_P(Faults, AuditorTest,
                         testing::Values(FaultCase{"late", "late_sends"},
                                         FaultCase{"copies", "second_copies"}, FaultCase{"lose", "lost"},
                                         FaultCase{"swap", "lost"}, FaultCase{"stale", "stale_reads"},
                                         FaultCase{"flood", "felled"}, FaultCase{"twice", "double_effects"},
                                         FaultCase{"extra", "extra_answers"}),
                         [](const auto& info) { return std::string(info.param.fault); });

}  // namespace
}  // namespace stonebay::testbed
