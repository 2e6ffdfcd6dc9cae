#include "testbed/connection_io.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace stonebay::testbed {

void write(bufferevent* connection, std::string_view bytes) {
  bufferevent_write(connection, bytes.data(), bytes.size());
}

void disableNagle(evutil_socket_t fd) {
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

}  // namespace stonebay::testbed
