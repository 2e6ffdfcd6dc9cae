// The interface of the gossip transport towards the dispatcher.
#pragma once

#include <vector>

#include "codec/gossip/message.hpp"

namespace stonebay {

/// Reaches the other proxies of the tier; their messages arrive through Dispatcher::onGossip.
class GossipChannel {
 public:
  virtual ~GossipChannel() = default;
  /// Best effort: messages may be lost.
  virtual void broadcast(const std::vector<gossip::Message>& messages) = 0;
};

}  // namespace stonebay
