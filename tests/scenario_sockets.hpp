// Blocking sockets and bytes for the parties that a Scenario plays.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <string>

namespace stonebay::test {

sockaddr_in loopback(int port);
/// Listens on loopback at a port of the system's choice.
int listenOn(int& port);
/// Writes all bytes at once; nothing happens where the other side has closed.
void put(int fd, const std::string& bytes);
/// Four bytes in network order.
std::string number(std::uint32_t value);
/// The value that a step names; "big" stands for the longest one: 64 KiB.
std::string value(const std::string& text);

}  // namespace stonebay::test
