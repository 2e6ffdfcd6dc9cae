#include "testbed/endpoint_server.hpp"

#include <stdexcept>
#include <utility>

#include "testbed/audit.hpp"
#include "testbed/endpoint_connection.hpp"
#include "testbed/socket_address.hpp"

namespace stonebay::testbed {
namespace {

constexpr int kEndpointsPerPort = 250;  // they differ in the fourth octet of their address
constexpr int kListenBacklog = 512;
constexpr unsigned kListenerOptions = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC;

}  // namespace

EndpointServer::EndpointServer(const EndpointEnvironment& environment, ReplicaGroup& group, int number,
                               std::string zone, double coreSpeed)
    : environment_(environment),
      group_(group),
      number_(number),
      name_("s-" + std::to_string(number)),
      zone_(std::move(zone)),
      coreSpeed_(coreSpeed),
      crash_(environment.context, [this] { kill(); }),
      machine_(newMachine(Time(0), true)) {
  const FleetSettings& settings = environment.settings;
  log_ = std::make_unique<ReplicaLog>(
      environment.context.uniform(settings.minShippingDelay, settings.maxShippingDelay),
      settings.applyDuration);
  listen();
}

EndpointServer::~EndpointServer() { closeAll(false); }

std::unique_ptr<Machine> EndpointServer::newMachine(Time startedAt, bool startsWarm) const {
  MachineSettings settings = environment_.settings.machine;
  settings.coreSpeed = coreSpeed_;
  return std::make_unique<Machine>(settings, startedAt, startsWarm);
}

sockaddr_in EndpointServer::address(int proxy) const {
  const int index = number_ - 1;
  return loopbackAddress(proxy, 1 + index % kEndpointsPerPort,
                         environment_.settings.basePort + index / kEndpointsPerPort);
}

void EndpointServer::listen() {
  for (int proxy = 0; proxy <= environment_.settings.proxies; ++proxy) listen(proxy);
}

void EndpointServer::listen(int proxy) {
  listenerContexts_.push_back(std::make_unique<ListenerContext>(ListenerContext{this, proxy}));
  const sockaddr_in listenAddress = address(proxy);
  Listener listener(evconnlistener_new_bind(
      environment_.context.eventBase(),
      [](evconnlistener* /*listener*/, evutil_socket_t fd, sockaddr* /*peer*/, int /*size*/, void* data) {
        const auto& context = *static_cast<ListenerContext*>(data);
        context.endpoint->accept(context.proxy, fd);
      },
      listenerContexts_.back().get(), kListenerOptions, kListenBacklog, asSockaddr(listenAddress),
      sizeof listenAddress));
  if (!listener)
    throw std::runtime_error("a stand-in endpoint cannot listen at " + addressText(listenAddress));
  listeners_.push_back(std::move(listener));
}

void EndpointServer::accept(int proxy, evutil_socket_t fd) {
  if (proxy > 0) ++acceptedByProxies_;
  auto connection = std::make_unique<EndpointConnection>(environment_, *this, proxy, fd);
  EndpointConnection* const key = connection.get();
  connections_.emplace(key, std::move(connection));
}

void EndpointServer::remove(EndpointConnection& connection) { connections_.erase(&connection); }

void EndpointServer::closeAll(bool withReset) {
  listeners_.clear();
  listenerContexts_.clear();
  while (!connections_.empty()) {
    const auto it = connections_.begin();
    if (withReset) it->second->resetOnClose();
    connections_.erase(it);
  }
}

void EndpointServer::kill() {
  if (!isRunning_) return;
  isRunning_ = false;
  environment_.audit.onPeakOverload(machine_->peakOverload());
  closeAll(true);
  if (isPrimary()) group_.onPrimaryLost();
}

void EndpointServer::start() {
  if (isRunning_ || hasCrashed_) return;
  const Time now = environment_.context.now();
  machine_ = newMachine(now, false);
  startedAt_ = now;
  log_->restartFrom(position(now), now);
  isRunning_ = true;
  isVanished_ = false;
  isHanging_ = false;
  errorShare_ = 0;
  resetShare_ = 0;
  listen();
}

void EndpointServer::crashOfOverload(Time now) {
  environment_.audit.onOverloadCrash(now, number_);
  hasCrashed_ = true;
  // Deferred to the next pass: `kill` destroys the connection that is calling this function.
  crash_.startIn(Time(0));
}

void EndpointServer::setVanished(bool vanished) {
  isVanished_ = vanished;
  for (const Listener& listener : listeners_) {
    if (vanished)
      evconnlistener_disable(listener.get());
    else
      evconnlistener_enable(listener.get());
  }
  if (vanished) {
    if (isPrimary()) group_.onPrimaryLost();
    return;
  }
  std::vector<EndpointConnection*> connections;
  for (const auto& [connection, owner] : connections_) connections.push_back(connection);
  // Processes the requests that arrived meanwhile. This may destroy connections, hence the check.
  for (EndpointConnection* const connection : connections)
    if (connections_.count(connection) > 0) connection->processInput();
}

void EndpointServer::setHanging(bool hanging) {
  isHanging_ = hanging;
  if (hanging) {
    if (isPrimary()) group_.onPrimaryLost();
    return;
  }
  // Requests that are still unanswered are lost.
  closeAll(true);
  listen();
}

Time EndpointServer::position(Time now) { return isPrimary() ? now : log_->position(now); }

}  // namespace stonebay::testbed
