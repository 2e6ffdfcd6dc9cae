// Executes the script of an experiment while the load runs.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "testbed/endpoint_fleet.hpp"
#include "testbed/endpoint_publisher.hpp"
#include "testbed/experiment.hpp"
#include "testbed/run_context.hpp"
#include "testbed/script.hpp"
#include "testbed/timer.hpp"

namespace stonebay::testbed {

class ScriptRunner {
 public:
  ScriptRunner(const RunContext& context, const Experiment& experiment, EndpointFleet& fleet,
               EndpointPublisher& publisher, Proxies& proxies);

  /// Executes the steps that are due immediately and schedules the others on the event loop. A step that
  /// refers to an unknown endpoint, proxy, proxy command or name server behavior throws std::runtime_error,
  /// from here or from the event loop.
  void start();
  void stop() { timer_.stop(); }

 private:
  using Handler = void (ScriptRunner::*)(const ScriptStep&);
  static const std::map<ScriptAction, Handler>& handlers();

  void runDueSteps();
  void execute(const ScriptStep& step);
  [[noreturn]] void fail(const ScriptStep& step, const std::string& problem) const;
  EndpointServer& endpointOf(const ScriptStep& step) const;
  /// Returns the endpoint named by the step, or all endpoints in the range if the step names a first and a
  /// last one.
  std::vector<EndpointServer*> endpointsOf(const ScriptStep& step) const;
  /// Applies `change` to all endpoints of the step. Discovery sends the changes to its watches as one update.
  void changeAll(const ScriptStep& step, const std::function<void(EndpointServer&)>& change);
  ProxyUnderTest& proxyOf(const ScriptStep& step) const;

  void withdraw(const ScriptStep& step) {
    changeAll(step, [this](EndpointServer& endpoint) { publisher_.withdraw(endpoint); });
  }
  void publish(const ScriptStep& step) {
    changeAll(step, [this](EndpointServer& endpoint) { publisher_.publish(endpoint); });
  }
  void toggle(const ScriptStep& step);
  void drain(const ScriptStep& step) {
    changeAll(step, [this](EndpointServer& endpoint) { publisher_.drain(endpoint); });
  }
  void rename(const ScriptStep& step) { publisher_.rename(endpointOf(step), step.arguments[1]); }
  void withdrawAll(const ScriptStep& step);
  void publishAll(const ScriptStep& step);
  void kill(const ScriptStep& step) { endpointOf(step).kill(); }
  void startEndpoint(const ScriptStep& step) { endpointOf(step).start(); }
  void vanish(const ScriptStep& step) { endpointOf(step).setVanished(true); }
  void recover(const ScriptStep& step);
  void hang(const ScriptStep& step) { endpointOf(step).setHanging(true); }
  void slowDown(const ScriptStep& step);
  void injectErrors(const ScriptStep& step);
  void injectResets(const ScriptStep& step);
  void slowDownApply(const ScriptStep& step);
  void setNameServerBehavior(const ScriptStep& step);
  void setRegistryState(const ScriptStep& step);
  void setRate(const ScriptStep& step);
  void addIdleClients(const ScriptStep& step);
  void setClock(const ScriptStep& step);
  void controlProxy(const ScriptStep& step);
  void injectPrimaryFault(const ScriptStep& step);

  const RunContext& context_;
  const Experiment& experiment_;
  EndpointFleet& fleet_;
  EndpointPublisher& publisher_;
  Proxies& proxies_;
  Timer timer_;
  Time startedAt_{};
  std::size_t nextStep_ = 0;
};

}  // namespace stonebay::testbed
