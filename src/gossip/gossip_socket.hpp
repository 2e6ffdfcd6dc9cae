// UDP transport of the gossip between the proxies of a tier.
#pragma once

#include <event2/util.h>

#include <unordered_set>
#include <vector>

#include "codec/gossip/message.hpp"
#include "config/config.hpp"
#include "discovery/address.hpp"
#include "dispatch/dispatcher.hpp"
#include "dispatch/gossip_channel.hpp"
#include "util/event.hpp"

namespace stonebay {

/// Sends datagrams to the configured broadcast address, and passes the messages in datagrams of the
/// configured peers to the dispatcher. Does nothing if no listen address is configured.
class GossipSocket final : public GossipChannel {
 public:
  /// The arguments must outlive the socket. Throws std::system_error if the listen address cannot be bound.
  GossipSocket(event_base* base, Dispatcher& dispatcher, const Config& config);
  ~GossipSocket() override;
  GossipSocket(const GossipSocket&) = delete;
  GossipSocket& operator=(const GossipSocket&) = delete;

  void broadcast(const std::vector<gossip::Message>& messages) override;

 private:
  void onReadable();
  bool receiveDatagram();
  bool isPeer(const Address& sender) const;

  Dispatcher& dispatcher_;
  const Config& config_;
  const std::unordered_set<Address, Address::Hash> peers_;
  evutil_socket_t fd_ = -1;
  Event readable_;
};

}  // namespace stonebay
