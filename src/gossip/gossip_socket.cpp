#include "gossip/gossip_socket.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "util/transient_error.hpp"

namespace stonebay {
namespace {

// Limits the datagrams read per pass of the event loop, so that a flood of them does not delay other events.
constexpr int kMaxDatagramsPerPass = 64;

// Returns std::nullopt and sets errno if the socket cannot be opened or bound.
std::optional<int> tryOpenSocket(const Address& address) {
  const int fd = socket(address.data()->sa_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return std::nullopt;
  if (bind(fd, address.data(), address.size()) == 0) return fd;
  const int error = errno;
  close(fd);
  errno = error;
  return std::nullopt;
}

int openSocket(const Address& address) {
  const std::optional<int> fd = retryWhileTransient([&] { return tryOpenSocket(address); });
  if (!fd) throw std::system_error(errno, std::generic_category(), "key peer_listen");
  return *fd;
}

}  // namespace

GossipSocket::GossipSocket(event_base* base, Dispatcher& dispatcher, const Config& config)
    : dispatcher_(dispatcher), config_(config), peers_(config.gossipPeers.begin(), config.gossipPeers.end()) {
  if (config.gossipListen.isUnset()) return;
  fd_ = openSocket(config.gossipListen);
  const auto onReadable = [](evutil_socket_t, short, void* self) {
    static_cast<GossipSocket*>(self)->onReadable();
  };
  readable_.reset(event_new(base, fd_, EV_READ | EV_PERSIST, onReadable, this));
  event_add(readable_.get(), nullptr);
}

GossipSocket::~GossipSocket() {
  readable_.reset();
  if (fd_ >= 0) close(fd_);
}

// Ignores errors, as datagrams may be lost anyway and the next broadcast has newer messages.
void GossipSocket::broadcast(const std::vector<gossip::Message>& messages) {
  if (fd_ < 0) return;
  const Address& destination = config_.gossipBroadcast;
  for (const std::string& datagram : gossip::encode(messages))
    sendto(fd_, datagram.data(), datagram.size(), MSG_DONTWAIT, destination.data(), destination.size());
}

void GossipSocket::onReadable() {
  for (int i = 0; i < kMaxDatagramsPerPass; ++i)
    if (!receiveDatagram()) return;
}

// Reads one datagram. Returns false if there is none.
bool GossipSocket::receiveDatagram() {
  // The extra byte detects datagrams that are too long.
  std::array<char, gossip::kMaxDatagramBytes + 1> datagram;
  sockaddr_storage sender{};
  socklen_t senderSize = sizeof sender;
  const ssize_t size = recvfrom(fd_, datagram.data(), datagram.size(), MSG_DONTWAIT,
                                reinterpret_cast<sockaddr*>(&sender), &senderSize);
  if (size < 0) return false;
  // Ignores messages from other senders: with a position that is too new, reads could return stale data.
  if (!isPeer(Address::fromSocket(reinterpret_cast<const sockaddr*>(&sender)))) return true;
  const auto now =
      std::chrono::duration_cast<std::chrono::milliseconds>(dispatcher_.now().time_since_epoch());
  const std::string_view bytes(datagram.data(), static_cast<std::size_t>(size));
  for (const gossip::Message& message : gossip::parse(bytes, now.count())) dispatcher_.onGossip(message);
  return true;
}

bool GossipSocket::isPeer(const Address& sender) const { return peers_.count(sender) > 0; }

}  // namespace stonebay
