#include "scenario_sockets.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

namespace stonebay::test {

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

int listenOnAnyPort(int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t length = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), length) != 0 || listen(fd, 64) != 0) abort();
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  port = ntohs(address.sin_port);
  return fd;
}

void sendAll(int fd, const std::string& bytes) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  for (std::size_t offset = 0; offset < bytes.size();) {
    const ssize_t bytesSent = ::send(fd, bytes.data() + offset, bytes.size() - offset, MSG_NOSIGNAL);
    if (bytesSent <= 0) return;  // the peer has closed the connection; a later step detects that
    offset += static_cast<std::size_t>(bytesSent);
  }
}

std::string encodeInt32(std::uint32_t value) {
  const char bytes[] = {static_cast<char>(value >> 24), static_cast<char>(value >> 16),
                        static_cast<char>(value >> 8), static_cast<char>(value)};
  return {bytes, 4};
}

std::string expandValue(const std::string& text) { return text == "big" ? std::string(65536, '\x7f') : text; }

}  // namespace stonebay::test
