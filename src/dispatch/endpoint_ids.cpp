#include "dispatch/endpoint_ids.hpp"

#include "codec/gossip/message.hpp"
#include "util/hash.hpp"

namespace stonebay {
namespace {

// Marks a gossip key that several names share. No endpoint has this id.
constexpr EndpointId kAmbiguous = 0;

}  // namespace

std::uint64_t EndpointIds::gossipKey(const std::string& name) {
  constexpr std::uint64_t kHashBits = 64;
  return fnv1a(name) >> (kHashBits - gossip::kKeyBits);
}

EndpointId EndpointIds::assign(const std::string& name) {
  const auto [entry, isNew] = idsByName_.emplace(name, lastId_ + 1);
  if (!isNew) return entry->second;
  ++lastId_;
  namesById_.emplace(lastId_, &entry->first);
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
  const auto it = namesById_.find(id);
  return it == namesById_.end() ? unknown : *it->second;
}

void EndpointIds::erase(EndpointId id) {
  const auto named = namesById_.find(id);
  if (named == namesById_.end()) return;
  const std::string name = *named->second;
  namesById_.erase(named);
  idsByName_.erase(name);
  const auto keyed = idsByGossipKey_.find(gossipKey(name));
  if (keyed != idsByGossipKey_.end() && keyed->second == id) idsByGossipKey_.erase(keyed);
}

}  // namespace stonebay
