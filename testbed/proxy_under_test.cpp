#include "testbed/proxy_under_test.hpp"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "testbed/proxy_settings.hpp"
#include "testbed/socket_address.hpp"

namespace stonebay::testbed {
namespace {

// The share of the experiment's load that one proxy gets.
LoadSettings loadOfOneProxy(const Experiment& experiment) {
  LoadSettings load = experiment.load;
  load.rate /= experiment.proxies;
  load.groups = experiment.fleet.groups;
  if (load.valueBytes == 0) load.valueBytes = experiment.fleet.valueBytes;
  return load;
}

// Requests sent this shortly before a kill may not have reached the process in time.
constexpr Time kKillExcuseWindow = std::chrono::milliseconds(100);

bool usesShim(const Experiment& experiment) {
  const auto setsClock = [](const ScriptStep& step) { return step.action == ScriptAction::Clock; };
  return !experiment.faults.empty() ||
         std::any_of(experiment.script.begin(), experiment.script.end(), setsClock);
}

std::string filePath(const std::string& directory, int proxy, const std::string& extension) {
  return directory + "/proxy-" + std::to_string(proxy) + extension;
}

}  // namespace

ProxyUnderTest::ProxyUnderTest(RunContext& context, RunAudit& audit, const EndpointFleet& fleet,
                               const Experiment& experiment, const std::string& program,
                               const std::string& directory, int number)
    : number_(number),
      experiment_(experiment),
      settingsPath_(filePath(directory, number, ".ini")),
      clockPath_(filePath(directory, number, ".clock")),
      context_(context),
      discovery_(makeDiscoveryStandIn(experiment.discovery, {context, audit, fleet, number})),
      process_(context, program, settingsPath_, filePath(directory, number, ".log")),
      throttle_(context, process_, experiment.cpuShare),
      clients_(context, audit, fleet.classes(), loadOfOneProxy(experiment),
               "p" + std::to_string(number) + "-") {
  std::ofstream(settingsPath_) << proxySettings(experiment_, number_, discovery_->proxySettings());
  if (usesShim(experiment)) process_.setFaults(experiment.faults, clockPath_);
}

void ProxyUnderTest::start() {
  process_.start([this](int port) {
    throttle_.start();
    port_ = port;
    isTerminating_ = false;
    clients_.setTarget(loopbackAddress(port));
    clients_.onProxyStarted();
    hasStarted_ = true;
  });
}

void ProxyUnderTest::terminate() {
  addCpuOfEndedProcess();
  isTerminating_ = true;
  process_.sendSignal(SIGTERM);
}

void ProxyUnderTest::addIdleClients(int clients) {
  const sockaddr_in target = loopbackAddress(port_);
  for (; clients > 0; --clients) {
    idleClients_.emplace_back(bufferevent_socket_new(context_.eventBase(), -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_enable(idleClients_.back().get(), EV_READ);
    bufferevent_socket_connect(idleClients_.back().get(), asSockaddr(target), sizeof target);
  }
}

// Replaces the file atomically because the process may read it at any time.
void ProxyUnderTest::setClockOffset(const std::string& milliseconds) const {
  const std::string next = clockPath_ + ".next";
  std::ofstream(next) << milliseconds;
  std::filesystem::rename(next, clockPath_);
}

void ProxyUnderTest::reload() { process_.sendSignal(SIGHUP); }

void ProxyUnderTest::kill() {
  addCpuOfEndedProcess();
  totalCpuOfKilledProcesses_ += process_.cpuSeconds();
  // A process that got SIGTERM must still answer its requests, so only those sent just before the kill are
  // excused. Without SIGTERM all requests are.
  clients_.onProxyKilled(isTerminating_ ? context_.now() - kKillExcuseWindow : Time(0));
  process_.kill();
}

void ProxyUnderTest::addCpuOfEndedProcess() {
  measuredCpuOfEndedProcesses_ += process_.cpuSeconds() - cpuAtMeasurementStart_;
  cpuAtMeasurementStart_ = 0;
}

}  // namespace stonebay::testbed
