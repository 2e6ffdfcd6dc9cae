#include "discovery/dnssd/name_servers.hpp"

#include <algorithm>
#include <tuple>

namespace stonebay {
namespace {

constexpr NameServers::Time kInitialBackoff = std::chrono::seconds(1);
constexpr NameServers::Time kMaxBackoff = std::chrono::seconds(30);
constexpr int kMaxDoublings = 6;

}  // namespace

std::optional<std::size_t> NameServers::select(Time now, const std::vector<bool>& attempted) const {
  const auto rank = [&](std::size_t server) {
    const Time backoffUntil = servers_[server].backoffUntil;
    const bool inBackoff = backoffUntil > now;
    const std::size_t distance = (server + servers_.size() - current_) % servers_.size();
    return std::make_tuple(inBackoff, inBackoff ? backoffUntil : Time(0), distance);
  };
  std::optional<std::size_t> best;
  for (std::size_t server = 0; server < servers_.size(); ++server)
    if (!attempted[server] && (!best || rank(server) < rank(*best))) best = server;
  return best;
}

void NameServers::onFailure(std::size_t server, Time now) {
  State& state = servers_[server];
  const Time backoff = kInitialBackoff * (std::int64_t{1} << std::min(state.failures, kMaxDoublings));
  state.backoffUntil = now + std::min(backoff, kMaxBackoff);
  ++state.failures;
}

void NameServers::onResponse(std::size_t server) {
  servers_[server] = {};
  current_ = server;
}

}  // namespace stonebay
