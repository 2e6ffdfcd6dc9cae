#include "gossip/gossip_socket.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "log/log.hpp"

namespace stonebay {
namespace {

constexpr int kAtOnce = 64;  // datagrams read before others have their turn

}  // namespace

GossipSocket::GossipSocket(event_base* base, Dispatcher& dispatcher, const Config& config)
    : dispatcher_(dispatcher), config_(config) {
  const Address& at = config.gossipListen;
  if (at.none()) return;
  fd_ = socket(at.data()->sa_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0 || bind(fd_, at.data(), at.size()) != 0) {
    const std::string why = std::strerror(errno);
    if (fd_ >= 0) close(fd_);
    throw std::runtime_error("key peer_listen: " + why);
  }
  readable_.reset(event_new(
      base, fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<GossipSocket*>(self)->read(); }, this));
  event_add(readable_.get(), nullptr);
}
GossipSocket::~GossipSocket() {
  readable_.reset();
  if (fd_ >= 0) close(fd_);
}

// A datagram that cannot go out now is lost like any other: the next one brings newer words.
void GossipSocket::broadcast(const std::vector<gossip::Message>& words) {
  if (fd_ < 0) return;
  for (const std::string& bytes : gossip::encode(words))
    sendto(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT, config_.gossipBroadcast.data(),
           config_.gossipBroadcast.size());
}

// Guards against words of anyone else: a position that is too new makes reads stale.
void GossipSocket::read() {
  for (int k = 0; k < kAtOnce; ++k) {
    char bytes[gossip::kLongest + 1];
    sockaddr_storage from{};
    socklen_t length = sizeof from;
    const ssize_t n =
        recvfrom(fd_, bytes, sizeof bytes, MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &length);
    if (n < 0) return;
    const Address sender = Address::fromSocket(reinterpret_cast<const sockaddr*>(&from));
    if (std::find(config_.gossipPeers.begin(), config_.gossipPeers.end(), sender) ==
        config_.gossipPeers.end())
      continue;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(dispatcher_.now()).count();
    for (const gossip::Message& w : gossip::parse({bytes, static_cast<std::size_t>(n)}, ms))
      dispatcher_.onGossip(w);
  }
}

}  // namespace stonebay
