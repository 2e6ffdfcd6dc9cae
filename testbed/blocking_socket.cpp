#include "testbed/blocking_socket.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <array>
#include <cstdint>
#include <cstdlib>

#include "testbed/socket_address.hpp"

namespace stonebay::testbed {
namespace {

constexpr std::size_t kReadBytes = 65536;
constexpr int kListenBacklog = 256;

}  // namespace

bool sendAll(int fd, const std::string& bytes) {
  return send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0;
}

bool receiveInto(int fd, std::string& input) {
  std::array<char, kReadBytes> bytes{};
  const ssize_t received = recv(fd, bytes.data(), bytes.size(), 0);
  if (received <= 0) return false;
  input.append(bytes.data(), static_cast<std::size_t>(received));
  return true;
}

UniqueFd connectTo(const sockaddr_in& server) {
  UniqueFd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (connect(fd.get(), asSockaddr(server), sizeof server) != 0) fd.reset();
  return fd;
}

sockaddr_in parseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
  return address;
}

UniqueFd listenOnLoopback() {
  UniqueFd listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = loopbackAddress(0);
  if (bind(listener.get(), asSockaddr(address), sizeof address) != 0 ||
      listen(listener.get(), kListenBacklog) != 0)
    listener.reset();
  return listener;
}

}  // namespace stonebay::testbed
