// Publishes endpoints in the discovery stand-ins of all proxies.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "testbed/audit.hpp"
#include "testbed/endpoint_server.hpp"
#include "testbed/proxy_under_test.hpp"

namespace stonebay::testbed {

using Proxies = std::vector<std::unique_ptr<ProxyUnderTest>>;

class EndpointPublisher {
 public:
  EndpointPublisher(const RunContext& context, RunAudit& audit, Proxies& proxies)
      : context_(context), audit_(audit), proxies_(proxies) {}

  void publish(EndpointServer& endpoint) { publish(endpoint, ListingState::Active); }
  /// Removes the endpoint from the endpoint list.
  void withdraw(EndpointServer& endpoint);
  /// Lists the endpoint as leaving.
  void drain(EndpointServer& endpoint);
  /// Withdraws the endpoint and publishes it again under another name.
  void rename(EndpointServer& endpoint, const std::string& name);

  /// Changes between these two calls are sent as one update.
  void beginChanges();
  void endChanges();

  bool isListed(const EndpointServer& endpoint) const;
  std::size_t listedCount() const;

 private:
  void publish(EndpointServer& endpoint, ListingState state);
  void removeRecords(const EndpointServer& endpoint);

  const RunContext& context_;
  RunAudit& audit_;
  Proxies& proxies_;
  std::map<int, bool> isListed_;  // by the endpoint's number
};

}  // namespace stonebay::testbed
