// The interface through which the dispatcher uses the gossip transport.
#pragma once

#include <vector>

#include "codec/gossip/message.hpp"

namespace stonebay {

/// Sends messages to the other proxies. Their messages arrive through Dispatcher::onGossip.
class GossipChannel {
 public:
  virtual ~GossipChannel() = default;
  /// Best effort: messages may be lost.
  virtual void broadcast(const std::vector<gossip::Message>& messages) = 0;
};

}  // namespace stonebay
