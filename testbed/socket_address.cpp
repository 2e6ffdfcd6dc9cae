#include "testbed/socket_address.hpp"

#include <arpa/inet.h>

#include <array>
#include <cstdint>

namespace stonebay::testbed {
namespace {

constexpr std::uint32_t kLoopbackNetwork = 127U << 24;

}  // namespace

sockaddr_in loopbackAddress(int thirdOctet, int fourthOctet, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(kLoopbackNetwork | static_cast<std::uint32_t>(thirdOctet) << 8 |
                                  static_cast<std::uint32_t>(fourthOctet));
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

sockaddr_in loopbackAddress(int port) { return loopbackAddress(0, 1, port); }

std::string hostText(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return text.data();
}

std::string addressText(const sockaddr_in& address) {
  return hostText(address) + ":" + std::to_string(ntohs(address.sin_port));
}

const sockaddr* asSockaddr(const sockaddr_in& address) { return reinterpret_cast<const sockaddr*>(&address); }

int boundPort(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

}  // namespace stonebay::testbed
