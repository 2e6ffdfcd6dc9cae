// PostgreSQL's frontend/backend protocol, version 3: framing, and the messages that a proxy sends and
// receives. Pure functions without sockets or buffers. The message formats are specified in the chapter
// "Frontend/Backend Protocol" of the PostgreSQL manual.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace stonebay::pg {

/// Size of the header of a message: its type and length.
constexpr std::size_t kMessageHeaderSize = 5;
/// Size of the start of a DataRow: its column count and the length of its first column.
constexpr std::size_t kRowHeaderSize = 6;
/// Size of a complete CancelRequest.
constexpr std::size_t kCancelRequestSize = 16;

/// Maximum size of a message in bytes; enough for a statement with a value of kMaxValueSize in hexadecimal.
constexpr std::size_t kMaxMessageSize = std::size_t{160} << 10U;
/// Maximum size of a startup packet in bytes.
constexpr std::size_t kMaxStartupSize = 4096;
/// Maximum size of a stored value in bytes.
constexpr std::size_t kMaxValueSize = std::size_t{64} << 10U;
/// Maximum size of the body of a backend message other than DataRow, in bytes.
constexpr std::size_t kMaxServerMessageSize = 4096;

/// Protocol version and request codes in the first field of a startup packet.
constexpr std::uint32_t kProtocolVersion3 = 196608;
constexpr std::uint32_t kSslRequest = 80877103;
constexpr std::uint32_t kGssEncRequest = 80877104;
constexpr std::uint32_t kCancelRequest = 80877102;

/// Reads a four-byte integer in network byte order.
std::uint32_t readInt32(const char* bytes);

/// Type and length of a message.
struct MessageHeader {
  char type;
  std::size_t bodySize;  ///< bytes after the header
};

/// Returns std::nullopt if the length is invalid or greater than kMaxMessageSize.
std::optional<MessageHeader> parseMessageHeader(const char (&bytes)[kMessageHeaderSize]);

/// Encodes a message of any type.
std::string message(char type, std::string_view body);
/// Encodes a StartupMessage.
std::string startupMessage(std::string_view user, std::string_view database);
/// Encodes a Query.
std::string query(std::string_view statement);
/// Encodes the header of a Query. `length` is the size of the statement, including the terminating NUL.
std::string queryHeader(std::size_t length);
/// Encodes ReadyForQuery with the status "not in a transaction block".
std::string readyForQuery();
/// Encodes the response to a StartupMessage, from AuthenticationOk to ReadyForQuery. The client needs the
/// process and the secret to send a CancelRequest.
std::string greeting(std::uint32_t process = 1, std::uint32_t secret = 0);
/// Encodes an ErrorResponse. `code` is an SQLSTATE. An empty detail is omitted.
std::string errorResponse(const char* severity, const char* code, std::string_view text,
                          std::string_view detail = {});

/// Fields of an ErrorResponse. They are views into its body.
struct ErrorFields {
  std::string_view severity;
  std::string_view code;  ///< SQLSTATE
  std::string_view text;
};
/// Returns empty fields if the body is malformed.
ErrorFields parseErrorResponse(std::string_view body);

/// Returns whether the body is a RowDescription with exactly one column.
bool isRowDescription(std::string_view body);
/// Returns whether a DataRow with this header and body size has exactly one column, which is not NULL and not
/// longer than kMaxValueSize.
bool isRowHeader(const char (&bytes)[kRowHeaderSize], std::size_t bodySize);
/// Returns whether the body is a valid CommandComplete. If `oneRow` is set, its row count must be 1.
bool isCommandTag(std::string_view body, bool oneRow);

/// Fields of a ParameterStatus. They are views into its body.
struct ParameterStatus {
  std::string_view name;
  std::string_view value;
};
/// Returns empty fields if the body is malformed.
ParameterStatus parseParameterStatus(std::string_view body);

/// Returns the only column of a DataRow, or std::nullopt if the row is malformed, has more or fewer columns,
/// or the column is NULL.
std::optional<std::string_view> parseSingleColumn(std::string_view body);

}  // namespace stonebay::pg
