// Socket and encoding helpers for the clients, endpoints and registry that a Scenario plays.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <string>

namespace stonebay::test {

sockaddr_in loopback(int port);
/// Listens on loopback at a port that the system chooses, and sets `port` to it. Returns the socket.
int listenOnAnyPort(int& port);
/// Blocks until all bytes are written. Returns early without an error if the peer has closed the connection.
void sendAll(int fd, const std::string& bytes);
/// Returns four bytes in network order.
std::string encodeInt32(std::uint32_t value);
/// Returns the value that a step means by `text`: 64 KiB, the longest allowed value, for "big", otherwise the
/// text itself.
std::string expandValue(const std::string& text);

}  // namespace stonebay::test
