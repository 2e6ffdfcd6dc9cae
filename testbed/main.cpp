// stonebay-testbed: runs experiments with real proxies and stand-ins for all other components.
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "testbed/demo.hpp"
#include "testbed/experiment_run.hpp"
#include "testbed/growth.hpp"
#include "testbed/report.hpp"
#include "testbed/soak_day.hpp"

namespace {

using namespace stonebay;
using namespace stonebay::testbed;
namespace fs = std::filesystem;

constexpr std::size_t kMaxViolationsPrinted = 10;

struct Arguments {
  std::string experimentFile;
  std::string outputDirectory;
  std::string proxyProgram;
  std::string experimentDirectory = "testbed/experiments";
  std::optional<std::uint64_t> seed;
};

// Returns the proxy executable in the directory of this program, or its bare name, to be found in PATH.
std::string findProxy(const char* self) {
  const fs::path sibling = fs::path(self).parent_path() / "stonebay";
  return fs::exists(sibling) ? sibling.string() : "stonebay";
}

int printErrors(const std::vector<ConfigError>& errors) {
  for (const ConfigError& error : errors) std::fprintf(stderr, "%s\n", error.text().c_str());
  return 1;
}

// All clients and endpoints run in this process, and each of their connections needs a descriptor.
void raiseDescriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

std::vector<fs::path> findExperiments(const std::string& directory) {
  std::vector<fs::path> files;
  for (const auto& entry : fs::recursive_directory_iterator(directory))
    if (entry.path().extension() == ".ini") files.push_back(entry.path());
  std::sort(files.begin(), files.end());
  return files;
}

int listExperiments(const std::string& directory) {
  int status = 0;
  for (const fs::path& file : findExperiments(directory)) {
    std::vector<ConfigError> errors;
    const Experiment experiment = readExperiment(file.string(), errors);
    if (!errors.empty()) status = printErrors(errors);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(experiment.duration);
    std::printf("%-48s %4lld s  %s\n", file.string().c_str(), static_cast<long long>(seconds.count()),
                experiment.title.c_str());
  }
  return status;
}

void printClaims(const ExperimentResult& result) {
  for (const JudgedClaim& judged : result.claims) {
    const char* const text = judged.claim.text.c_str();
    if (judged.isMeasured)
      std::printf("%-7s %s (measured %g)\n", judged.holds ? "held" : "BROKEN", text, judged.measured);
    else
      std::printf("BROKEN  %s (not measured)\n", text);
  }
}

void printViolations(const std::vector<Violation>& violations) {
  const std::size_t printed = std::min(violations.size(), kMaxViolationsPrinted);
  for (std::size_t i = 0; i < printed; ++i) {
    const Violation& violation = violations[i];
    std::printf("at %.3f s, %s: %s\n", toSeconds(violation.at), figureName(violation.rule),
                violation.description.c_str());
  }
}

void printCrashes(const std::vector<ProxyCrash>& crashes) {
  for (const ProxyCrash& crash : crashes)
    std::printf("proxy %d ended with exit status %d\n", crash.proxy, crash.exitStatus);
}

std::string outputDirectoryOrDefault(const std::string& directory) {
  if (!directory.empty()) return directory;
  return (fs::temp_directory_path() / ("stonebay-testbed-" + std::to_string(getpid()))).string();
}

int runExperiment(const Experiment& experiment, const Arguments& arguments, bool runForever) {
  RunOptions options;
  options.program = arguments.proxyProgram;
  options.directory = outputDirectoryOrDefault(arguments.outputDirectory);
  options.showProgress = runForever || isatty(STDERR_FILENO) != 0;
  options.runForever = runForever;
  fs::create_directories(options.directory);
  ExperimentRun run(experiment, options);
  const Event interrupt(evsignal_new(
      run.eventBase(), SIGINT,
      [](evutil_socket_t /*signal*/, short /*events*/, void* data) {
        static_cast<ExperimentRun*>(data)->stop();
      },
      &run));
  event_add(interrupt.get(), nullptr);
  const ExperimentResult result = run.run();
  writeReport(options.directory, experiment, result, run.audit());
  printClaims(result);
  printViolations(run.audit().violations());
  printCrashes(result.crashes);
  const std::size_t broken = result.brokenClaims();
  std::printf("report: %s/report.md\n", options.directory.c_str());
  std::printf("claims: %zu held, %zu broken\n", result.claims.size() - broken, broken);
  return broken == 0 ? 0 : 1;
}

int runFileOrDemo(const Arguments& arguments, bool isDemo) {
  std::vector<ConfigError> errors;
  Experiment experiment = isDemo ? parseExperiment(kDemoExperiment, "demo", errors)
                                 : readExperiment(arguments.experimentFile, errors);
  if (!errors.empty()) return printErrors(errors);
  if (arguments.seed) experiment.seed = *arguments.seed;
  return runExperiment(experiment, arguments, isDemo);
}

int runGrowth(const Arguments& arguments, GrowthOptions options) {
  options.program = arguments.proxyProgram;
  options.directory = outputDirectoryOrDefault(arguments.outputDirectory);
  return measureGrowth(options) ? 0 : 1;
}

int runSoak(std::uint64_t seed, const Arguments& arguments, bool printOnly) {
  const std::string experimentText = generateSoakExperiment(seed);
  if (printOnly) return std::fputs(experimentText.c_str(), stdout) < 0 ? 1 : 0;
  std::vector<ConfigError> errors;
  const Experiment experiment = parseExperiment(experimentText, "soak-" + std::to_string(seed), errors);
  if (!errors.empty()) return printErrors(errors);
  return runExperiment(experiment, arguments, false);
}

int runProgram(int argc, char** argv) {
  CLI::App app{"stonebay-testbed: runs experiments with real proxies and stand-ins for all other components",
               "stonebay-testbed"};
  app.require_subcommand(1);
  Arguments arguments;
  arguments.proxyProgram = findProxy(argv[0]);
  std::int64_t seed = -1;
  CLI::App* const run =
      app.add_subcommand("run", "run an experiment; exits with status 1 if a claim is broken");
  run->add_option("FILE", arguments.experimentFile, "experiment file (INI)")->required();
  run->add_option("--out", arguments.outputDirectory, "output directory for tables and charts");
  run->add_option("--seed", seed, "seed to use instead of the one in the file");
  run->add_option("--proxy", arguments.proxyProgram, "path of the proxy executable")->capture_default_str();
  CLI::App* const list = app.add_subcommand("list", "list the experiments");
  list->add_option("--dir", arguments.experimentDirectory, "directory of the experiment files")
      ->capture_default_str();
  CLI::App* const demo =
      app.add_subcommand("demo", "run a few servers, a proxy and clients until interrupted (Ctrl-C)");
  demo->add_option("--proxy", arguments.proxyProgram, "path of the proxy executable")->capture_default_str();
  CLI::App* const growth = app.add_subcommand("growth",
                                              "measure how a proxy's resource usage grows with the number of "
                                              "endpoints; exits with status 1 if a figure exceeds its bound");
  growth->add_option("--proxy", arguments.proxyProgram, "path of the proxy executable")
      ->capture_default_str();
  growth->add_option("--out", arguments.outputDirectory, "output directory for settings and logs");
  GrowthOptions growthOptions;
  growth->add_flag("--ends", growthOptions.onlySmallestAndLargest,
                   "run only the smallest and the largest number of endpoints");
  growth->add_option("--only", growthOptions.only, "check only this figure");
  growth->add_option("--except", growthOptions.except, "do not check this figure");
  CLI::App* const soak = app.add_subcommand(
      "soak", "run the random experiment of a seed; exits with status 1 if a rule is broken");
  soak->add_option("--seed", seed, "seed of the experiment")->required();
  soak->add_option("--proxy", arguments.proxyProgram, "path of the proxy executable")->capture_default_str();
  soak->add_option("--out", arguments.outputDirectory, "output directory for tables and charts");
  bool printOnly = false;
  soak->add_flag("--print", printOnly, "print the experiment as a file instead of running it");
  CLI11_PARSE(app, argc, argv);
  if (seed >= 0) arguments.seed = static_cast<std::uint64_t>(seed);
  if (list->parsed()) return listExperiments(arguments.experimentDirectory);
  if (growth->parsed()) return runGrowth(arguments, growthOptions);
  if (soak->parsed()) return runSoak(static_cast<std::uint64_t>(seed), arguments, printOnly);
  return runFileOrDemo(arguments, demo->parsed());
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  raiseDescriptorLimit();
  try {
    return runProgram(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "stonebay-testbed: %s\n", error.what());
    return 1;
  }
}
