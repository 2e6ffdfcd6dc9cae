#include "dispatch/endpoint_ids.hpp"

#include <iterator>

#include "codec/gossip/message.hpp"
#include "util/hash.hpp"

namespace stonebay {
namespace {

// Stands for a gossip key that several names have. No endpoint has this id.
constexpr EndpointId kAmbiguous = 0;

template <typename Map>
void eraseValue(Map& map, EndpointId value) {
  for (auto it = map.begin(); it != map.end();) it = it->second == value ? map.erase(it) : std::next(it);
}

}  // namespace

std::uint64_t EndpointIds::gossipKey(const std::string& name) {
  constexpr std::uint64_t kHashBits = 64;
  return fnv1a(name) >> (kHashBits - gossip::kKeyBits);
}

EndpointId EndpointIds::assign(const std::string& name) {
  const auto [entry, isNew] = idsByName_.emplace(name, lastId_ + 1);
  if (!isNew) return entry->second;
  ++lastId_;
  const auto [keyEntry, keyIsNew] = idsByGossipKey_.emplace(gossipKey(name), lastId_);
  if (!keyIsNew) keyEntry->second = kAmbiguous;
  return lastId_;
}

std::optional<EndpointId> EndpointIds::findByGossipKey(std::uint64_t key) const {
  const auto it = idsByGossipKey_.find(key);
  if (it == idsByGossipKey_.end() || it->second == kAmbiguous) return std::nullopt;
  return it->second;
}

const std::string& EndpointIds::nameOf(EndpointId id) const {
  static const std::string unknown = "?";
  for (const auto& [name, known] : idsByName_)
    if (known == id) return name;
  return unknown;
}

void EndpointIds::erase(EndpointId id) {
  eraseValue(idsByName_, id);
  eraseValue(idsByGossipKey_, id);
}

}  // namespace stonebay
