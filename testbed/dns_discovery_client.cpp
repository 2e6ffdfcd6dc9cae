#include "testbed/dns_discovery_client.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "testbed/blocking_socket.hpp"

namespace stonebay::testbed {
namespace {

constexpr std::uint16_t kQueryId = 7;

// Returns the length of the message from its two-byte prefix.
std::size_t messageSize(const std::string& input) {
  return std::size_t{static_cast<unsigned char>(input[0])} << 8 | static_cast<unsigned char>(input[1]);
}

std::optional<dns::Message> queryNameServer(const sockaddr_in& nameServer, const dns::Name& service) {
  constexpr std::size_t kLengthBytes = 2;
  const UniqueFd fd = connectTo(nameServer);
  if (!fd.isOpen()) return std::nullopt;
  const std::string query = dns::encodeQuery(kQueryId, {service, dns::Type::Ptr}, 0);
  const std::string length{static_cast<char>(query.size() >> 8), static_cast<char>(query.size())};
  if (!sendAll(fd.get(), length + query)) return std::nullopt;
  std::string input;
  while (input.size() < kLengthBytes || input.size() < kLengthBytes + messageSize(input))
    if (!receiveInto(fd.get(), input)) break;
  if (input.size() <= kLengthBytes) return std::nullopt;
  return dns::parse(input.substr(kLengthBytes));
}

std::string groupOf(const dns::Strings& txt) {
  const std::string key = "group=";
  for (const std::string& entry : txt)
    if (entry.rfind(key, 0) == 0) return entry.substr(key.size());
  return "";
}

DiscoveredEndpoint endpointOf(const dns::Record& srvRecord, const std::vector<dns::Record>& records) {
  const auto& srv = std::get<dns::Srv>(srvRecord.data);
  DiscoveredEndpoint endpoint;
  endpoint.name = dns::firstLabel(srvRecord.name);
  endpoint.address.sin_family = AF_INET;
  endpoint.address.sin_port = htons(srv.port);
  for (const dns::Record& record : records) {
    if (record.type == dns::Type::Txt && record.name == srvRecord.name)
      endpoint.group = groupOf(std::get<dns::Strings>(record.data));
    if (record.type == dns::Type::A && record.name == srv.target)
      std::get<dns::Bytes>(record.data)
          .bytes.copy(reinterpret_cast<char*>(&endpoint.address.sin_addr), sizeof(in_addr));
  }
  return endpoint;
}

std::vector<DiscoveredEndpoint> endpointsOf(const dns::Message& message) {
  std::vector<DiscoveredEndpoint> endpoints;
  for (const dns::Record& record : message.additionals)
    if (record.type == dns::Type::Srv) endpoints.push_back(endpointOf(record, message.additionals));
  return endpoints;
}

const DiscoveredEndpoint* find(const std::vector<DiscoveredEndpoint>& endpoints, const std::string& name) {
  const auto it = std::find_if(endpoints.begin(), endpoints.end(),
                               [&name](const DiscoveredEndpoint& endpoint) { return endpoint.name == name; });
  return it == endpoints.end() ? nullptr : &*it;
}

}  // namespace

std::optional<std::vector<DiscoveredEndpoint>> queryEndpoints(const sockaddr_in& nameServer,
                                                              const dns::Name& service) {
  const auto message = queryNameServer(nameServer, service);
  if (!message) return std::nullopt;
  return endpointsOf(*message);
}

void EndpointList::update(const std::vector<DiscoveredEndpoint>& listed) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<DiscoveredEndpoint> updated;
  for (const DiscoveredEndpoint& previous : endpoints_)
    if (const DiscoveredEndpoint* const endpoint = find(listed, previous.name)) updated.push_back(*endpoint);
  for (const DiscoveredEndpoint& endpoint : listed)
    if (find(updated, endpoint.name) == nullptr) updated.push_back(endpoint);
  endpoints_ = std::move(updated);
}

bool EndpointList::isEmpty() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return endpoints_.empty();
}

std::vector<DiscoveredEndpoint> EndpointList::ofGroup(const std::string& group) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<DiscoveredEndpoint> members;
  std::copy_if(endpoints_.begin(), endpoints_.end(), std::back_inserter(members),
               [&group](const DiscoveredEndpoint& endpoint) { return endpoint.group == group; });
  return members;
}

}  // namespace stonebay::testbed
