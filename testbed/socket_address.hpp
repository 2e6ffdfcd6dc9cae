// IPv4 loopback addresses.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <string>

namespace stonebay::testbed {

/// 127.0.THIRD.FOURTH:port. Endpoints listen at an address of their own for each proxy, so that the address
/// at which a connection arrives names the proxy that made it.
sockaddr_in loopbackAddress(int thirdOctet, int fourthOctet, int port);
/// 127.0.0.1:port; port 0 lets the system choose.
sockaddr_in loopbackAddress(int port);

std::string hostText(const sockaddr_in& address);     ///< "127.0.1.7"
std::string addressText(const sockaddr_in& address);  ///< "127.0.1.7:5432"

/// The form in which the socket calls take an address.
const sockaddr* asSockaddr(const sockaddr_in& address);
/// The port at which a socket is bound.
int boundPort(int fd);

}  // namespace stonebay::testbed
