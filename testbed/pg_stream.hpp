// Reads and encodes messages of the PostgreSQL protocol, on libevent buffers.
#pragma once

#include <event2/buffer.h>

#include <string>

namespace stonebay::testbed {

/// One message other than a startup message. `body` excludes the type and the length.
struct PgMessage {
  char type = 0;
  std::string body;
};

enum class ReadStatus {
  Incomplete,  ///< more bytes have to arrive; the buffer is unchanged
  Malformed,   ///< the bytes at the front are not a message
  Complete     ///< the message was removed from the buffer
};

/// Removes the message at the front of a buffer and stores it in `message`.
ReadStatus readMessage(evbuffer* input, PgMessage& message);

/// Returns RowDescription and DataRow of a result with one row and one column.
std::string rowMessages(const std::string& value);
std::string parameterStatus(const std::string& name, const std::string& value);

}  // namespace stonebay::testbed
