#include "config/config.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace stonebay {
namespace {

// Of the process itself: code, the event loop, the listener, discovery, standard streams, connections that
// are about to be closed.
constexpr std::size_t kOwnDescriptors = 24;
constexpr std::size_t kOwnMemory = std::size_t{12} << 20U;
// Of a client without a large statement: what is read ahead, and a response that it has not read yet.
constexpr std::size_t kMemoryPerClient = std::size_t{96} << 10U;
constexpr std::size_t kClientPercentage = 45;  // of the descriptors beyond kOwnDescriptors

std::string summarize(const std::vector<ConfigError>& errors) {
  if (errors.empty()) return "no fault";
  const std::size_t others = errors.size() - 1;
  return errors.front().text() + (others > 0 ? " (and " + std::to_string(others) + " more)" : "");
}

}  // namespace

// A client has one request in flight at most, so with fewer clients than server connections every attempt
// finds a connection. Of the memory beyond the process itself a quarter is for large statements, whoever
// sends them, a half for what each client may hold at any time, the rest for responses on their way.
void deriveLimits(Config& config, std::size_t descriptors, std::uint64_t memory) {
  const std::size_t freeMemory = static_cast<std::size_t>(memory) - kOwnMemory;
  const std::size_t freeDescriptors = descriptors - kOwnDescriptors;
  const std::size_t clientDescriptors = freeDescriptors * kClientPercentage / 100;
  config.maxClientConnections = std::min(clientDescriptors, freeMemory / 2 / kMemoryPerClient);
  config.maxServerConnections = freeDescriptors - clientDescriptors;
  // A client system holds a third of the descriptors at most. Staying below that makes room here before that
  // system has none left for requests.
  config.maxActiveClients = std::min(config.maxClientConnections, descriptors / 4);
  config.maxLargeStatementBytes = freeMemory / 4;
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
