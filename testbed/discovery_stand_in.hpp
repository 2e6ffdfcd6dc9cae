// The discovery stand-in of one proxy: a name server or an HTTP registry.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <memory>
#include <string>

#include "testbed/audit.hpp"
#include "testbed/endpoint_fleet.hpp"
#include "testbed/name_server.hpp"
#include "testbed/run_context.hpp"

namespace stonebay::testbed {

/// The state under which an endpoint is listed.
enum class ListingState { Active, Leaving };

class DiscoveryStandIn {
 public:
  DiscoveryStandIn() = default;
  DiscoveryStandIn(const DiscoveryStandIn&) = delete;
  DiscoveryStandIn& operator=(const DiscoveryStandIn&) = delete;
  virtual ~DiscoveryStandIn() = default;

  /// Adds or replaces an endpoint. `address` is the endpoint's address for this proxy.
  virtual void publish(const EndpointServer& endpoint, const sockaddr_in& address, ListingState state) = 0;
  virtual void withdraw(const std::string& name) = 0;
  /// The proxy's discovery settings: keys of [discovery], optionally followed by further sections.
  virtual std::string proxySettings() const = 0;
  /// Number of DNS queries received so far; 0 for a registry.
  virtual std::uint64_t queryCount() const { return 0; }
  /// Sets how the name server behaves. Does nothing for a registry.
  virtual void setNameServerBehavior(NameServer::Behavior /*behavior*/) {}
  /// Does nothing for a name server.
  virtual void setRegistryDown(bool /*down*/) {}
  /// Ends the watches and drops the history of changes, so that new watches get a complete list. Does nothing
  /// for a name server.
  virtual void restartRegistry() {}
  /// A registry sends the changes between these two calls as one update. They do nothing for a name server.
  virtual void beginChanges() {}
  virtual void endChanges() {}
  /// Bytes of endpoint lists sent so far; 0 for a name server.
  virtual double listBytes() const { return 0; }
};

/// What a stand-in needs in order to report to the audit which endpoints its proxy has been sent.
struct DiscoveryEnvironment {
  RunContext& context;
  RunAudit& audit;
  const EndpointFleet& fleet;
  int proxy;  ///< number of the proxy, from 1
};

/// @param kind "dnssd" or "registry"
std::unique_ptr<DiscoveryStandIn> makeDiscoveryStandIn(const std::string& kind,
                                                       const DiscoveryEnvironment& environment);

}  // namespace stonebay::testbed
