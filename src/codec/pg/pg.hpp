// PostgreSQL's frontend/backend protocol, version 3: framing, and the messages that a proxy writes and reads.
// Pure functions: no sockets, no buffers of their own. Message formats are those of the chapter
// "Frontend/Backend Protocol" of PostgreSQL's manual.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace stonebay::pg {

/// Type and length of a message.
constexpr std::size_t kMessageHeaderSize = 5;
/// Column count of a DataRow and length of its first column.
constexpr std::size_t kRowHeaderSize = 6;
/// A CancelRequest as a whole.
constexpr std::size_t kCancelRequestSize = 16;

/// Bytes of any message: a value of kMaxValueSize in hex, with the statement around it.
constexpr std::size_t kMaxMessageSize = std::size_t{160} << 10U;
/// Bytes of a startup packet.
constexpr std::size_t kMaxStartupSize = 4096;
/// Bytes of a stored value.
constexpr std::size_t kMaxValueSize = std::size_t{64} << 10U;
/// Bytes of the body of a backend's message other than a DataRow.
constexpr std::size_t kMaxServerMessageSize = 4096;

/// Codes in the place of the version in a startup packet.
constexpr std::uint32_t kProtocolVersion3 = 196608;
constexpr std::uint32_t kSslRequest = 80877103;
constexpr std::uint32_t kGssEncRequest = 80877104;
constexpr std::uint32_t kCancelRequest = 80877102;

/// Reads four bytes in network order.
std::uint32_t readInt32(const char* bytes);

/// Type and length of a message.
struct MessageHeader {
  char type;
  std::size_t bodySize;  ///< bytes after the header
};

/// Nothing if no message that is accepted here has such a length.
std::optional<MessageHeader> parseMessageHeader(const char (&bytes)[kMessageHeaderSize]);

/// A complete message of any type.
std::string message(char type, std::string_view body);
/// StartupMessage.
std::string startupMessage(std::string_view user, std::string_view database);
/// Query.
std::string query(std::string_view statement);
/// The header of a Query whose statement has that length, its terminating NUL included.
std::string queryHeader(std::size_t length);
/// ReadyForQuery, outside a transaction block.
std::string readyForQuery();
/// The answer to a StartupMessage: AuthenticationOk to ReadyForQuery. With the process and the secret its
/// client may send a CancelRequest.
std::string greeting(std::uint32_t process = 1, std::uint32_t secret = 0);
/// ErrorResponse; `code` is an SQLSTATE. An empty detail is left out.
std::string errorResponse(const char* severity, const char* code, std::string_view text,
                          std::string_view detail = {});

/// Fields of an ErrorResponse; they refer to its body.
struct ErrorFields {
  std::string_view severity;
  std::string_view code;  ///< SQLSTATE
  std::string_view text;
};
/// All fields are empty if the body is malformed.
ErrorFields parseErrorResponse(std::string_view body);

/// Whether the body is a RowDescription of one column.
bool isRowDescription(std::string_view body);
/// Whether a DataRow with that header and body size has one column, which is not NULL and not too long.
bool isRowHeader(const char (&bytes)[kRowHeaderSize], std::size_t bodySize);
/// Whether the body is that of a CommandComplete; with `oneRow`, of one for a single row.
bool isCommandTag(std::string_view body, bool oneRow);

/// The fields of a ParameterStatus; they refer to its body.
struct ParameterStatus {
  std::string_view name;
  std::string_view value;
};
/// Both fields are empty if the body is malformed.
ParameterStatus parseParameterStatus(std::string_view body);

/// The only column of a DataRow; nothing if the row is malformed, has other columns or holds NULL.
std::optional<std::string_view> parseSingleColumn(std::string_view body);

}  // namespace stonebay::pg
