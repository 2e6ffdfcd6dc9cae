#include "testbed/discovery_stand_in.hpp"

#include <map>
#include <string>
#include <unordered_map>

#include "testbed/json_text.hpp"
#include "testbed/registry_server.hpp"
#include "testbed/socket_address.hpp"

namespace stonebay::testbed {
namespace {

constexpr const char* kDomain = "lab.example.org";
constexpr const char* kService = "_postgresql._tcp";

class DnsDiscovery : public DiscoveryStandIn {
 public:
  explicit DnsDiscovery(const DiscoveryEnvironment& environment)
      : environment_(environment), server_(environment.context.eventBase(), kDomain, kService) {
    server_.onListSent = [this](const std::map<std::string, bool>& list) { reportList(list); };
  }

  void publish(const EndpointServer& endpoint, const sockaddr_in& address, ListingState state) override {
    ServiceInstance instance;
    instance.label = endpoint.name();
    instance.addresses = {hostText(address)};
    instance.port = ntohs(address.sin_port);
    instance.txt = {"group=" + std::to_string(endpoint.group().number()), "zone=" + endpoint.zone()};
    if (state == ListingState::Leaving) instance.txt.emplace_back("state=leaving");
    server_.publish(instance);
  }
  void withdraw(const std::string& name) override { server_.withdraw(name); }
  std::string proxySettings() const override {
    return "source = dnssd\n[dnssd]\ndomain = " + std::string(kDomain) +
           "\nname_servers = 127.0.0.1:" + std::to_string(server_.port()) + "\n";
  }
  std::uint64_t queryCount() const override { return server_.counts().udp + server_.counts().tcp; }
  void setNameServerBehavior(NameServer::Behavior behavior) override { server_.setBehavior(behavior); }

 private:
  // Endpoints that are missing from the list are reported as not listed.
  void reportList(const std::map<std::string, bool>& list) const {
    for (const auto& endpoint : environment_.fleet.endpoints()) {
      const auto it = list.find(endpoint->name());
      const bool listed = it != list.end() && it->second;
      environment_.audit.onListing(environment_.context.now(), environment_.proxy, endpoint->number(),
                                   listed);
    }
  }

  const DiscoveryEnvironment environment_;
  NameServer server_;
};

class RegistryDiscovery : public DiscoveryStandIn {
 public:
  explicit RegistryDiscovery(const DiscoveryEnvironment& environment)
      : environment_(environment), server_(environment.context, [this](const std::string& name, bool listed) {
          reportInstance(name, listed);
        }) {}

  void publish(const EndpointServer& endpoint, const sockaddr_in& address, ListingState state) override {
    const bool isLeaving = state == ListingState::Leaving;
    const Time startedAt = endpoint.startedAt();
    const std::int64_t startedAtMs = startedAt > Time(0) ? environment_.context.unixMs(startedAt) : 0;
    const std::string json =
        jsonMember("instanceId", jsonString(endpoint.name())) + ',' +
        jsonMember("hostPort", jsonString(addressText(address))) + ',' +
        jsonMember("zone", jsonString(endpoint.zone())) + ',' + jsonMember("machineType", jsonString("m")) +
        ',' + jsonMember("cell", std::to_string(endpoint.group().number())) + ',' +
        jsonMember("lifecycle", jsonString(isLeaving ? "leaving" : "active")) + ',' +
        jsonMember("weight", "1.0") + ',' + jsonMember("startedAtMs", std::to_string(startedAtMs));
    endpointNumbers_[endpoint.name()] = endpoint.number();
    server_.publish(endpoint.name(), json, !isLeaving);
  }
  void withdraw(const std::string& name) override { server_.withdraw(name); }
  std::string proxySettings() const override {
    return "source = registry\nregistry = 127.0.0.1:" + std::to_string(server_.port()) + "\n";
  }
  void setRegistryDown(bool down) override { server_.setDown(down); }
  void restartRegistry() override { server_.restart(); }
  void beginChanges() override { server_.beginChanges(); }
  void endChanges() override { server_.endChanges(); }
  double listBytes() const override { return static_cast<double>(server_.listBytes()); }

 private:
  void reportInstance(const std::string& name, bool listed) const {
    const auto number = endpointNumbers_.find(name);
    if (number == endpointNumbers_.end()) return;
    environment_.audit.onListing(environment_.context.now(), environment_.proxy, number->second, listed);
  }

  const DiscoveryEnvironment environment_;
  std::unordered_map<std::string, int> endpointNumbers_;  // by endpoint name
  RegistryServer server_;
};

}  // namespace

std::unique_ptr<DiscoveryStandIn> makeDiscoveryStandIn(const std::string& kind,
                                                       const DiscoveryEnvironment& environment) {
  if (kind == "dnssd") return std::make_unique<DnsDiscovery>(environment);
  return std::make_unique<RegistryDiscovery>(environment);
}

}  // namespace stonebay::testbed
