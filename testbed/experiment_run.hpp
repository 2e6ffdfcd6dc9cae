// One run of an experiment: starts the stand-ins, the real proxies and the clients, executes the script and
// collects the result.
#pragma once

#include <event2/event.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "testbed/audit.hpp"
#include "testbed/endpoint_fleet.hpp"
#include "testbed/endpoint_publisher.hpp"
#include "testbed/experiment.hpp"
#include "testbed/experiment_result.hpp"
#include "testbed/load_generator.hpp"
#include "testbed/proxy_under_test.hpp"
#include "testbed/run_context.hpp"
#include "testbed/run_figures.hpp"
#include "testbed/run_sampler.hpp"
#include "testbed/script_runner.hpp"

namespace stonebay::testbed {

struct RunOptions {
  std::string program;    ///< path of the proxy's executable
  std::string directory;  ///< for settings and logs
  bool showProgress = false;
  /// Run until stop() is called, and show the progress as one line a second.
  bool runForever = false;
};

class ExperimentRun {
 public:
  ExperimentRun(const Experiment& experiment, RunOptions options);
  ExperimentRun(const ExperimentRun&) = delete;
  ExperimentRun& operator=(const ExperimentRun&) = delete;

  /// Must be called only once. Throws std::runtime_error if a stand-in or a proxy does not start.
  ExperimentResult run();
  /// Ends the load. Must be called from the event loop.
  void stop() { isStopped_ = true; }
  event_base* eventBase() const { return context_.eventBase(); }
  const RunAudit& audit() const { return audit_; }

 private:
  void startEndpoints();
  void startProxies();
  void createDirectLoads();
  void startLoad();
  void stopLoad();
  RunSample takeSample() const;
  RunMeasurements measure(Time loadDuration, double cpuSeconds) const;
  std::vector<ProxyCrash> findCrashes() const;
  double cpuSeconds() const;
  double discoveryQueries() const;

  Experiment experiment_;
  const RunOptions options_;
  RunContext context_;
  RunAudit audit_;
  std::unique_ptr<EndpointFleet> fleet_;
  Proxies proxies_;
  std::vector<std::unique_ptr<LoadGenerator>> directLoads_;
  EndpointPublisher publisher_;
  std::unique_ptr<ScriptRunner> script_;
  RunSampler sampler_;
  Time loadStartedAt_{};
  double queriesBeforeLoad_ = 0;
  bool isStopped_ = false;
};

}  // namespace stonebay::testbed
