#include "testbed/script_runner.hpp"

#include <cstdlib>
#include <stdexcept>

namespace stonebay::testbed {
namespace {

double numberOf(const std::string& argument) { return std::atof(argument.c_str()); }
double shareOf(const std::string& percent) { return numberOf(percent) / 100; }

}  // namespace

ScriptRunner::ScriptRunner(const RunContext& context, const Experiment& experiment, EndpointFleet& fleet,
                           EndpointPublisher& publisher, Proxies& proxies)
    : context_(context),
      experiment_(experiment),
      fleet_(fleet),
      publisher_(publisher),
      proxies_(proxies),
      timer_(context, [this] { runDueSteps(); }) {}

const std::map<ScriptAction, ScriptRunner::Handler>& ScriptRunner::handlers() {
  static const std::map<ScriptAction, Handler> handlers{
      {ScriptAction::Withdraw, &ScriptRunner::withdraw},
      {ScriptAction::Publish, &ScriptRunner::publish},
      {ScriptAction::Toggle, &ScriptRunner::toggle},
      {ScriptAction::Drain, &ScriptRunner::drain},
      {ScriptAction::Rename, &ScriptRunner::rename},
      {ScriptAction::WithdrawAll, &ScriptRunner::withdrawAll},
      {ScriptAction::PublishAll, &ScriptRunner::publishAll},
      {ScriptAction::Kill, &ScriptRunner::kill},
      {ScriptAction::Start, &ScriptRunner::startEndpoint},
      {ScriptAction::Vanish, &ScriptRunner::vanish},
      {ScriptAction::Recover, &ScriptRunner::recover},
      {ScriptAction::Hang, &ScriptRunner::hang},
      {ScriptAction::Slow, &ScriptRunner::slowDown},
      {ScriptAction::Errors, &ScriptRunner::injectErrors},
      {ScriptAction::Resets, &ScriptRunner::injectResets},
      {ScriptAction::Lag, &ScriptRunner::slowDownApply},
      {ScriptAction::NameServers, &ScriptRunner::setNameServerBehavior},
      {ScriptAction::Registry, &ScriptRunner::setRegistryState},
      {ScriptAction::Rate, &ScriptRunner::setRate},
      {ScriptAction::Crowd, &ScriptRunner::addIdleClients},
      {ScriptAction::Clock, &ScriptRunner::setClock},
      {ScriptAction::Proxy, &ScriptRunner::controlProxy},
      {ScriptAction::Primary, &ScriptRunner::injectPrimaryFault}};
  return handlers;
}

void ScriptRunner::start() {
  startedAt_ = context_.now();
  runDueSteps();
}

void ScriptRunner::runDueSteps() {
  const Time now = context_.now() - startedAt_;
  const std::vector<ScriptStep>& steps = experiment_.script;
  while (nextStep_ < steps.size() && steps[nextStep_].at <= now) {
    const ScriptStep& step = steps[nextStep_];
    ++nextStep_;
    execute(step);
  }
  if (nextStep_ < steps.size()) timer_.startIn(steps[nextStep_].at - now);
}

void ScriptRunner::execute(const ScriptStep& step) { (this->*handlers().at(step.action))(step); }

void ScriptRunner::fail(const ScriptStep& step, const std::string& problem) const {
  throw std::runtime_error(experiment_.file + ":" + std::to_string(step.line) + ": [script]: " + problem);
}

EndpointServer& ScriptRunner::endpointOf(const ScriptStep& step) const {
  EndpointServer* const endpoint = fleet_.findByName(step.arguments[0]);
  if (endpoint == nullptr) fail(step, "unknown data server '" + step.arguments[0] + "'");
  return *endpoint;
}

std::vector<EndpointServer*> ScriptRunner::endpointsOf(const ScriptStep& step) const {
  EndpointServer& first = endpointOf(step);
  if (step.arguments.size() < 2) return {&first};
  const EndpointServer* const last = fleet_.findByName(step.arguments[1]);
  if (last == nullptr) fail(step, "unknown data server '" + step.arguments[1] + "'");
  std::vector<EndpointServer*> endpoints;
  for (const auto& endpoint : fleet_.endpoints())
    if (endpoint->number() >= first.number() && endpoint->number() <= last->number())
      endpoints.push_back(endpoint.get());
  return endpoints;
}

void ScriptRunner::changeAll(const ScriptStep& step, const std::function<void(EndpointServer&)>& change) {
  publisher_.beginChanges();
  for (EndpointServer* const endpoint : endpointsOf(step)) change(*endpoint);
  publisher_.endChanges();
}

ProxyUnderTest& ScriptRunner::proxyOf(const ScriptStep& step) const {
  const auto index = static_cast<std::size_t>(std::atoi(step.arguments[0].c_str())) - 1;
  if (index >= proxies_.size())
    fail(step, "unknown proxy '" + step.arguments[0] + "'; proxies are numbered from 1");
  return *proxies_[index];
}

void ScriptRunner::toggle(const ScriptStep& step) {
  EndpointServer& endpoint = endpointOf(step);
  if (publisher_.isListed(endpoint))
    publisher_.withdraw(endpoint);
  else
    publisher_.publish(endpoint);
}

void ScriptRunner::withdrawAll(const ScriptStep& /*step*/) {
  publisher_.beginChanges();
  for (const auto& endpoint : fleet_.endpoints()) publisher_.withdraw(*endpoint);
  publisher_.endChanges();
}

void ScriptRunner::publishAll(const ScriptStep& /*step*/) {
  publisher_.beginChanges();
  for (const auto& endpoint : fleet_.endpoints()) publisher_.publish(*endpoint);
  publisher_.endChanges();
}

void ScriptRunner::recover(const ScriptStep& step) {
  EndpointServer& endpoint = endpointOf(step);
  endpoint.setVanished(false);
  endpoint.setHanging(false);
}

void ScriptRunner::slowDown(const ScriptStep& step) {
  endpointOf(step).setSlowdown(numberOf(step.arguments[1]));
}

void ScriptRunner::injectErrors(const ScriptStep& step) {
  endpointOf(step).setErrorShare(shareOf(step.arguments[1]));
}

void ScriptRunner::injectResets(const ScriptStep& step) {
  endpointOf(step).setResetShare(shareOf(step.arguments[1]));
}

void ScriptRunner::slowDownApply(const ScriptStep& step) {
  endpointOf(step).setApplySlowdown(numberOf(step.arguments[1]));
}

void ScriptRunner::setNameServerBehavior(const ScriptStep& step) {
  NameServer::Behavior behavior{};
  if (!NameServer::findBehavior(step.arguments[0], behavior))
    fail(step, "unknown name server behavior '" + step.arguments[0] + "'");
  for (const auto& proxy : proxies_) proxy->discovery().setNameServerBehavior(behavior);
}

void ScriptRunner::setRegistryState(const ScriptStep& step) {
  const std::string& command = step.arguments[0];
  for (const auto& proxy : proxies_) {
    if (command == "restart")
      proxy->discovery().restartRegistry();
    else
      proxy->discovery().setRegistryDown(command == "down");
  }
}

void ScriptRunner::setRate(const ScriptStep& step) {
  const double ratePerProxy = numberOf(step.arguments[0]) / static_cast<double>(proxies_.size());
  for (const auto& proxy : proxies_) proxy->clients().setRate(ratePerProxy);
}

void ScriptRunner::addIdleClients(const ScriptStep& step) {
  for (const auto& proxy : proxies_) proxy->addIdleClients(std::atoi(step.arguments[0].c_str()));
}

void ScriptRunner::setClock(const ScriptStep& step) {
  for (const auto& proxy : proxies_) proxy->setClockOffset(step.arguments[0]);
}

// Example: "proxy 2 kill"
void ScriptRunner::controlProxy(const ScriptStep& step) {
  ProxyUnderTest& proxy = proxyOf(step);
  const std::string& command = step.arguments[1];
  if (command == "term")
    proxy.terminate();
  else if (command == "hup")
    proxy.reload();
  else if (command == "kill")
    proxy.kill();
  else if (command == "start")
    proxy.start();
  else
    fail(step, "unknown proxy command '" + command + "'; the commands are term, hup, kill and start");
}

// Example: "primary kill 1" kills the primary of group 1. Does nothing if the group has no primary.
void ScriptRunner::injectPrimaryFault(const ScriptStep& step) {
  const std::string& fault = step.arguments[0];
  EndpointServer* const primary = fleet_.primary(std::atoi(step.arguments[1].c_str()));
  if (primary == nullptr) return;
  if (fault == "kill") primary->kill();
  if (fault == "hang") primary->setHanging(true);
  if (fault == "vanish") primary->setVanished(true);
}

}  // namespace stonebay::testbed
