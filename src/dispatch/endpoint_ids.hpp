// The ids that this process assigns to the endpoints of the endpoint list.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// Maps the names of endpoints, and the keys that identify them in gossip, to ids.
///
/// Ids are never reused: events about an endpoint may arrive after it has been erased and its name has been
/// assigned again.
class EndpointIds {
 public:
  /// Returns the key that identifies an endpoint in gossip: a hash of its name, gossip::kKeyBits wide.
  static std::uint64_t gossipKey(const std::string& name);

  /// Returns the id of `name`; assigns a new one if the name is unknown.
  EndpointId assign(const std::string& name);
  bool contains(const std::string& name) const { return idsByName_.count(name) != 0; }
  /// Returns std::nullopt if no known name has this key, or if several names have had it.
  std::optional<EndpointId> findByGossipKey(std::uint64_t key) const;
  /// Returns "?" if the id is unknown.
  const std::string& nameOf(EndpointId id) const;
  std::size_t count() const { return idsByName_.size(); }
  /// Returns whether an id has ever been assigned.
  bool anyAssigned() const { return lastId_ != 0; }
  void erase(EndpointId id);

  const std::unordered_map<std::string, EndpointId>& byName() const { return idsByName_; }

 private:
  std::unordered_map<std::string, EndpointId> idsByName_;
  std::unordered_map<EndpointId, const std::string*> namesById_;  // points to the keys of idsByName_
  std::unordered_map<std::uint64_t, EndpointId> idsByGossipKey_;
  EndpointId lastId_ = 0;
};

}  // namespace stonebay
