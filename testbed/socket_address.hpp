// IPv4 loopback addresses.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <string>

namespace stonebay::testbed {

/// Returns 127.0.THIRD.FOURTH:port. Endpoints listen on a separate address for each proxy, so that the local
/// address of a connection identifies the proxy that opened it.
sockaddr_in loopbackAddress(int thirdOctet, int fourthOctet, int port);
/// Returns 127.0.0.1:port. With port 0, the system chooses the port when a socket is bound.
sockaddr_in loopbackAddress(int port);

std::string hostText(const sockaddr_in& address);     ///< such as "127.0.1.7"
std::string addressText(const sockaddr_in& address);  ///< such as "127.0.1.7:5432"

/// Casts to the type that the socket functions expect.
const sockaddr* asSockaddr(const sockaddr_in& address);
/// Returns the port to which a socket is bound.
int boundPort(int fd);

}  // namespace stonebay::testbed
