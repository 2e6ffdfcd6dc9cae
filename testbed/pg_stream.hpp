// Messages of the PostgreSQL protocol on libevent's buffers.
#pragma once

#include <event2/buffer.h>

#include <string>

namespace stonebay::testbed {

/// One message after the startup phase; the body is without type and length.
struct PgMessage {
  char type = 0;
  std::string body;
};

enum class ReadStatus {
  Incomplete,  ///< more bytes have to arrive; nothing was taken
  Malformed,   ///< the bytes at the front are no message
  Complete     ///< the message was taken from the buffer
};

/// Takes the message at the front of a buffer.
ReadStatus readMessage(evbuffer* input, PgMessage& message);

/// A result of one row with one column: RowDescription and DataRow.
std::string rowMessages(const std::string& value);
std::string parameterStatus(const std::string& name, const std::string& value);

}  // namespace stonebay::testbed
