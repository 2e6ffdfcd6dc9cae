// Blocking TCP sockets, for the fault-injecting proxy.
#pragma once

#include <netinet/in.h>

#include <string>

#include "testbed/unique_fd.hpp"

namespace stonebay::testbed {

/// Returns false if the connection has ended.
bool sendAll(int fd, const std::string& bytes);
/// Appends the bytes received next to `input`. Returns false if the connection has ended.
bool receiveInto(int fd, std::string& input);
/// Returns a connected socket, or a closed one if the server can't be reached.
UniqueFd connectTo(const sockaddr_in& server);
/// Returns a socket that listens on 127.0.0.1 at a port chosen by the system, or a closed one on failure.
UniqueFd listenOnLoopback();
/// Parses an IPv4 address and port such as "127.0.0.1:5432".
sockaddr_in parseAddress(const std::string& text);

}  // namespace stonebay::testbed
