#include "testbed/experiment_run.hpp"

#include <unistd.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "testbed/timer.hpp"

namespace stonebay::testbed {
namespace {

constexpr Time kStartTimeout = std::chrono::seconds(10);  // for all proxies to start
constexpr Time kDrainTimeout = std::chrono::seconds(5);   // for the responses to requests in flight
constexpr Time kForever = std::chrono::hours(24 * 365);
// Each run derives its port range from its process id, so that concurrent runs rarely collide.
constexpr int kMinBasePort = 10000;
constexpr int kBasePortRange = 20000;
constexpr int kPortsOfOneRun = 20;

ProgressDisplay displayOf(const RunOptions& options) {
  if (!options.showProgress) return ProgressDisplay::None;
  return options.runForever ? ProgressDisplay::LinePerSecond : ProgressDisplay::OneLine;
}

}  // namespace

ExperimentRun::ExperimentRun(const Experiment& experiment, RunOptions options)
    : experiment_(experiment),
      options_(std::move(options)),
      context_(experiment.seed),
      publisher_(context_, audit_, proxies_),
      sampler_(
          context_, [this] { return takeSample(); }, displayOf(options_)) {
  if (experiment_.fleet.basePort == 0)
    experiment_.fleet.basePort = kMinBasePort + getpid() % (kBasePortRange / kPortsOfOneRun) * kPortsOfOneRun;
}

ExperimentResult ExperimentRun::run() {
  startEndpoints();
  startProxies();
  const auto never = [] { return false; };
  runUntil(context_, never, experiment_.warmup);
  startLoad();
  const auto isStopped = [this] { return isStopped_; };
  runUntil(context_, isStopped, options_.runForever ? kForever : experiment_.duration);
  const Time loadDuration = context_.now() - loadStartedAt_;
  const double cpuUsed = cpuSeconds();
  stopLoad();

  ExperimentResult result;
  result.samples = sampler_.samples();
  result.crashes = findCrashes();
  result.figures = audit_.figures();
  RunMeasurements measurements = measure(loadDuration, cpuUsed);
  measurements.crashedProxies = result.crashes.size();
  addRunFigures(measurements, result.figures);
  result.claims = judgeClaims(experiment_.claims, result.figures);
  return result;
}

void ExperimentRun::startEndpoints() {
  fleet_ = std::make_unique<EndpointFleet>(context_, audit_, experiment_.fleet, experiment_.classes);
  for (int number = 1; number <= experiment_.proxies; ++number)
    proxies_.push_back(std::make_unique<ProxyUnderTest>(context_, audit_, *fleet_, experiment_,
                                                        options_.program, options_.directory, number));
  for (const auto& endpoint : fleet_->endpoints()) publisher_.publish(*endpoint);
  script_ = std::make_unique<ScriptRunner>(context_, experiment_, *fleet_, publisher_, proxies_);
}

void ExperimentRun::startProxies() {
  for (const auto& proxy : proxies_) proxy->start();
  createDirectLoads();
  const auto haveAllStarted = [this] {
    return std::all_of(proxies_.begin(), proxies_.end(),
                       [](const auto& proxy) { return proxy->hasStarted(); });
  };
  if (!runUntil(context_, haveAllStarted, kStartTimeout))
    throw std::runtime_error("a proxy did not start in time; see " + options_.directory + "/proxy-1.log");
}

void ExperimentRun::createDirectLoads() {
  for (const DirectLoad& direct : experiment_.directLoads) {
    const EndpointServer* const endpoint = fleet_->findByName(direct.endpoint);
    if (endpoint == nullptr)
      throw std::runtime_error("[load " + direct.name + "] server: unknown data server '" + direct.endpoint +
                               "'");
    LoadSettings load = direct.settings;
    load.groups = 1;
    if (load.valueBytes == 0) load.valueBytes = experiment_.fleet.valueBytes;
    directLoads_.push_back(
        std::make_unique<LoadGenerator>(context_, audit_, fleet_->classes(), load, direct.name + "-"));
    directLoads_.back()->setTarget(endpoint->address(0));
  }
}

void ExperimentRun::startLoad() {
  loadStartedAt_ = context_.now();
  for (const auto& proxy : proxies_) proxy->startMeasuring();
  queriesBeforeLoad_ = discoveryQueries();
  const bool hasLoad = experiment_.load.rate > 0 || experiment_.load.closedLoop;
  for (const auto& proxy : proxies_)
    if (hasLoad) proxy->clients().start();
  for (const auto& load : directLoads_) load->start();
  script_->start();
  sampler_.start();
}

void ExperimentRun::stopLoad() {
  for (const auto& proxy : proxies_) proxy->clients().stop();
  for (const auto& load : directLoads_) load->stop();
  const auto isIdle = [this] {
    return std::all_of(proxies_.begin(), proxies_.end(),
                       [](const auto& proxy) { return proxy->clients().inFlight() == 0; });
  };
  runUntil(context_, isIdle, kDrainTimeout);
  sampler_.stop();
  script_->stop();
  fleet_->finish();
  audit_.finish(context_.now());
}

RunSample ExperimentRun::takeSample() const {
  RunSample sample;
  sample.atSeconds = toSeconds(context_.now() - loadStartedAt_);
  sample.cpuSeconds = cpuSeconds();
  for (const auto& proxy : proxies_) {
    sample.residentMb = std::max(sample.residentMb, proxy->residentMb());
    sample.descriptors = std::max(sample.descriptors, proxy->descriptors());
  }
  sample.served = audit_.count(RequestResult::Served);
  sample.rejected = audit_.count(RequestResult::Rejected);
  sample.failed = audit_.count(RequestResult::Failed) + audit_.count(RequestResult::Unanswered);
  sample.listedEndpoints = publisher_.listedCount();
  return sample;
}

RunMeasurements ExperimentRun::measure(Time loadDuration, double cpuSeconds) const {
  RunMeasurements measurements;
  measurements.loadDuration = loadDuration;
  measurements.proxies = proxies_.size();
  measurements.cpuSeconds = cpuSeconds;
  measurements.discoveryQueries = discoveryQueries() - queriesBeforeLoad_;
  for (const auto& proxy : proxies_) {
    const std::vector<double>& latencies = proxy->clients().latencies();
    measurements.proxiedLatencies.insert(measurements.proxiedLatencies.end(), latencies.begin(),
                                         latencies.end());
  }
  for (const auto& load : directLoads_) measurements.directLatencies.push_back(load->latencies());
  for (const auto& proxy : proxies_) {
    measurements.listBytes += proxy->discovery().listBytes();
    measurements.totalCpuSeconds += proxy->totalCpuSeconds();
    measurements.lifetimePeakMb = std::max(measurements.lifetimePeakMb, proxy->peakResidentMb());
  }
  for (const auto& endpoint : fleet_->endpoints()) measurements.connections += endpoint->acceptedByProxies();
  for (const RunSample& sample : sampler_.samples()) {
    measurements.peakSampledResidentMb = std::max(measurements.peakSampledResidentMb, sample.residentMb);
    measurements.peakDescriptors = std::max(measurements.peakDescriptors, sample.descriptors);
  }
  return measurements;
}

std::vector<ProxyCrash> ExperimentRun::findCrashes() const {
  std::vector<ProxyCrash> crashes;
  for (const auto& proxy : proxies_)
    if (proxy->hasCrashed()) crashes.push_back({proxy->number(), proxy->exitStatus()});
  return crashes;
}

double ExperimentRun::cpuSeconds() const {
  double total = 0;
  for (const auto& proxy : proxies_) total += proxy->cpuSeconds();
  return total;
}

double ExperimentRun::discoveryQueries() const {
  std::uint64_t total = 0;
  for (const auto& proxy : proxies_) total += proxy->discovery().queryCount();
  return static_cast<double>(total);
}

}  // namespace stonebay::testbed
