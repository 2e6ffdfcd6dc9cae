// The other proxies of the tier: datagrams to them and from them.
#pragma once

#include <vector>

#include "dispatch/dispatcher.hpp"
#include "util/event.hpp"

namespace stonebay {

class PeerSocket final : public Peers {
 public:
  PeerSocket(event_base*, Engine&, const Config&);  // throws std::runtime_error where it cannot listen
  ~PeerSocket() override;
  PeerSocket(const PeerSocket&) = delete;

  void tell(const std::vector<gossip::Word>&) override;

 private:
  void read();

  Engine& engine_;
  const Config& config_;
  evutil_socket_t fd_ = -1;
  Event readable_;
};

}  // namespace stonebay
