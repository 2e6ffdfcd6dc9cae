// Helpers for libevent's connections.
#pragma once

#include <event2/bufferevent.h>
#include <event2/util.h>

#include <string_view>

namespace stonebay::testbed {

/// Queues bytes on a connection.
void write(bufferevent* connection, std::string_view bytes);

/// Sets TCP_NODELAY: small messages are sent at once.
void disableNagle(evutil_socket_t fd);

}  // namespace stonebay::testbed
