// Blocking TCP sockets, for the fault-injecting proxy.
#pragma once

#include <netinet/in.h>

#include <string>

#include "testbed/unique_fd.hpp"

namespace stonebay::testbed {

/// False if the connection has ended.
bool sendAll(int fd, const std::string& bytes);
/// Appends the next bytes to `input`; false if the connection has ended.
bool receiveInto(int fd, std::string& input);
/// Closed if the server can't be reached.
UniqueFd connectTo(const sockaddr_in& server);
/// Listens on 127.0.0.1 at a port of the system's choice; closed if there is none.
UniqueFd listenOnLoopback();
/// "127.0.0.1:5432"
sockaddr_in parseAddress(const std::string& text);

}  // namespace stonebay::testbed
