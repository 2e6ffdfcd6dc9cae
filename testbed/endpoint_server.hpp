// A stand-in endpoint: a server that speaks version 3 of the PostgreSQL protocol on loopback. One process
// runs many of them.
#pragma once

#include <netinet/in.h>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "testbed/endpoint_settings.hpp"
#include "testbed/machine.hpp"
#include "testbed/replica_group.hpp"
#include "testbed/replica_log.hpp"
#include "testbed/timer.hpp"

namespace stonebay::testbed {

class EndpointConnection;

/// Listens on one address per proxy (127.0.PROXY.ENDPOINT) and on one for clients that connect directly, so
/// that the local address of a connection identifies the proxy that opened it.
class EndpointServer {
 public:
  /// Starts to listen, without a warm-up. Throws std::runtime_error if an address is taken.
  EndpointServer(const EndpointEnvironment& environment, ReplicaGroup& group, int number, std::string zone,
                 double coreSpeed);
  ~EndpointServer();
  EndpointServer(const EndpointServer&) = delete;
  EndpointServer& operator=(const EndpointServer&) = delete;

  const std::string& name() const { return name_; }
  int number() const { return number_; }  ///< from 1, over all groups
  ReplicaGroup& group() const { return group_; }
  const std::string& zone() const { return zone_; }
  /// Number of connections accepted from proxies.
  double acceptedByProxies() const { return acceptedByProxies_; }
  Time startedAt() const { return startedAt_; }  ///< 0 means before the run
  /// The address for a proxy, numbered from 1, or for direct clients if `proxy` is 0.
  sockaddr_in address(int proxy) const;

  bool isPrimary() const { return group_.primary() == this; }
  bool isVanished() const { return isVanished_; }
  bool isHanging() const { return isHanging_; }
  /// Whether it could take over as the primary.
  bool isResponsive() const { return isRunning_ && !isVanished_ && !isHanging_; }
  double errorShare() const { return errorShare_; }
  double resetShare() const { return resetShare_; }
  /// The time up to which it has applied all commits; `now` on a primary.
  Time position(Time now);
  Machine& machine() { return *machine_; }
  ReplicaLog& log() { return *log_; }

  // Fault injection by the experiment's script.
  /// Simulates the death of its process: connections are reset and new ones refused.
  void kill();
  /// Restarts it after `kill`, with a warm-up. Does nothing after an overload crash.
  void start();
  /// While vanished, it sends nothing and accepts no connections; open connections stay open.
  void setVanished(bool vanished);
  /// While hanging, it receives requests but does not answer them.
  void setHanging(bool hanging);
  void setSlowdown(double factor) { machine_->setSlowdown(factor); }
  void setErrorShare(double share) { errorShare_ = share; }
  void setResetShare(double share) { resetShare_ = share; }
  void setApplySlowdown(double factor) { log_->setApplySlowdown(factor); }
  void rename(const std::string& name) { name_ = name; }

  // Called by its connections.
  /// Kills it in the next pass of the event loop; it can't be restarted.
  void crashOfOverload(Time now);
  /// Destroys the connection.
  void remove(EndpointConnection& connection);

 private:
  struct ListenerContext {
    EndpointServer* endpoint;
    int proxy;
  };
  std::unique_ptr<Machine> newMachine(Time startedAt, bool startsWarm) const;
  void listen();
  void listen(int proxy);
  void accept(int proxy, evutil_socket_t fd);
  void closeAll(bool withReset);

  const EndpointEnvironment environment_;
  ReplicaGroup& group_;
  const int number_;
  std::string name_;
  const std::string zone_;
  const double coreSpeed_;
  Time startedAt_{};
  Timer crash_;
  std::unique_ptr<Machine> machine_;
  std::unique_ptr<ReplicaLog> log_;
  std::vector<std::unique_ptr<ListenerContext>> listenerContexts_;
  std::vector<Listener> listeners_;
  std::unordered_map<EndpointConnection*, std::unique_ptr<EndpointConnection>> connections_;
  double acceptedByProxies_ = 0;
  bool isRunning_ = true;
  bool isVanished_ = false;
  bool isHanging_ = false;
  bool hasCrashed_ = false;
  double errorShare_ = 0;
  double resetShare_ = 0;
};

}  // namespace stonebay::testbed
