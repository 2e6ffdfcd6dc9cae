// Helpers for libevent connections.
#pragma once

#include <event2/bufferevent.h>
#include <event2/util.h>

#include <string_view>

namespace stonebay::testbed {

/// Queues bytes to be sent on a connection.
void write(bufferevent* connection, std::string_view bytes);

/// Sets TCP_NODELAY, so that small messages are sent without delay.
void disableNagle(evutil_socket_t fd);

}  // namespace stonebay::testbed
