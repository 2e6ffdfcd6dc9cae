// The other proxies of the tier: datagrams to them and from them.
#pragma once

#include <vector>

#include "core/engine.hpp"
#include "core/event.hpp"

namespace sablespur {

class PeerSocket final : public Peers {
 public:
  PeerSocket(event_base*, Engine&, const Config&);  // throws std::runtime_error where it cannot listen
  ~PeerSocket() override;
  PeerSocket(const PeerSocket&) = delete;

  void tell(const std::vector<peer::Word>&) override;

 private:
  void read();

  Engine& engine_;
  const Config& config_;
  evutil_socket_t fd_ = -1;
  Event readable_;
};

}  // namespace sablespur
