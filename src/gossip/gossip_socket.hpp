// The other proxies of the tier: datagrams to them and from them.
#pragma once

#include <vector>

#include "dispatch/dispatcher.hpp"
#include "util/event.hpp"

namespace stonebay {

class GossipSocket final : public GossipChannel {
 public:
  GossipSocket(event_base*, Dispatcher&, const Config&);  // throws std::runtime_error where it cannot listen
  ~GossipSocket() override;
  GossipSocket(const GossipSocket&) = delete;

  void broadcast(const std::vector<gossip::Message>&) override;

 private:
  void read();

  Dispatcher& dispatcher_;
  const Config& config_;
  evutil_socket_t fd_ = -1;
  Event readable_;
};

}  // namespace stonebay
