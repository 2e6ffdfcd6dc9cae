// Parses the metadata in a client's statement: the comment at its end, and the key that it reads or writes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace stonebay::pg {

/// The comment at the end of a statement, such as "/* id=9b1f,c=basket,d=480,cluster=2 */". Strings are views
/// into the statement; offsets count from its start.
struct StatementComment {
  std::string_view requestId;
  std::string_view className;
  std::uint32_t deadlineMs = 0;     ///< how long the client waits for a response
  std::size_t deadlineOffset = 0;   ///< offset of the digits of the deadline
  std::size_t deadlineLength = 0;   ///< number of digits of the deadline; 0 if the comment has no deadline
  std::uint32_t group = 0;          ///< replica group
  std::int64_t sessionTokenMs = 0;  ///< Unix time of the session's last commit; 0 if there is none
  const char* error = nullptr;      ///< why the comment is invalid; null if it is valid
};

/// Parses the last comment of a statement. Unknown fields are ignored. A known field that cannot be read is
/// an error, and so is a comment that may be part of a literal; only the deadline may be missing.
StatementComment parseStatementComment(std::string_view text);

/// Returns the first text between single quotes, or an empty view if there is none.
std::string_view parseQuotedKey(std::string_view text);

}  // namespace stonebay::pg
