#include "config/config.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace stonebay {
namespace {

// Reserved for the process itself: code, event loop, listener, discovery, standard streams, and connections
// that are about to be closed, among them kRefusedClients.
constexpr std::size_t kReservedDescriptors = 24;
// Connections of clients for which there is no room. They are accepted, refused and closed. Their descriptors
// are held open, see DescriptorReserve.
constexpr std::size_t kRefusedClients = 8;
constexpr std::size_t kReservedMemoryBytes = std::size_t{12} << 20U;
// Share of the descriptors beyond kReservedDescriptors that client connections may use.
constexpr std::size_t kClientDescriptorPercentage = 45;

std::string summarize(const std::vector<ConfigError>& errors) {
  if (errors.empty()) return "no errors";
  const std::size_t others = errors.size() - 1;
  return errors.front().text() + (others > 0 ? " (and " + std::to_string(others) + " more)" : "");
}

}  // namespace

// A client has at most one request in flight, so every attempt gets a connection as long as there are fewer
// clients than server connections. The number of clients does not depend on the memory: a client system may
// hold a third of the descriptors, and most clients need little. What their buffers contain is limited
// instead. Of the memory beyond kReservedMemoryBytes, a quarter is for large statements of all clients
// together, half is for their other buffers, and the rest is for responses in transit.
void deriveLimits(Config& config, std::size_t descriptors, std::uint64_t memory) {
  const std::size_t freeMemory = static_cast<std::size_t>(memory) - kReservedMemoryBytes;
  const std::size_t freeDescriptors = descriptors - kReservedDescriptors;
  const std::size_t clientDescriptors = freeDescriptors * kClientDescriptorPercentage / 100;
  config.maxClientConnections = clientDescriptors;
  config.maxRefusedClients = kRefusedClients;
  config.maxServerConnections = freeDescriptors - clientDescriptors;
  // A client system opens at most a third as many connections as this proxy has descriptors. With a lower
  // limit here, the proxy closes idle clients before that system has no connection left for new requests.
  config.maxActiveClients = std::min(config.maxClientConnections, descriptors / 4);
  config.maxLargeStatementBytes = freeMemory / 4;
  config.maxClientBufferBytes = freeMemory / 2;
}

bool operator==(const DnsSdSettings& left, const DnsSdSettings& right) {
  const auto fields = [](const DnsSdSettings& settings) {
    return std::tie(settings.domain, settings.service, settings.servers, settings.minRefresh,
                    settings.maxRefresh, settings.jitter, settings.queryTimeout, settings.queriesPerSecond,
                    settings.udpPayload, settings.defaultGroup, settings.maxListAge, settings.flapHalfLife,
                    settings.maxSuppression, settings.flapSuppress, settings.flapReuse);
  };
  return fields(left) == fields(right);
}

InvalidSettings::InvalidSettings(std::vector<ConfigError> all)
    : InvalidInput(summarize(all)), errors(std::move(all)) {}

}  // namespace stonebay
