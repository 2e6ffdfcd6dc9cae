// The metadata that clients send with a statement: a comment at its end, and the key that it is about.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace stonebay::pg {

/// The comment at the end of a statement, such as "/* id=9b1f,c=basket,d=480,cluster=2 */". Texts refer to
/// the statement; offsets count from its start.
struct StatementComment {
  std::string_view requestId;
  std::string_view className;
  std::uint32_t deadlineMs = 0;     ///< how long the client waits
  std::size_t deadlineOffset = 0;   ///< of the digits of the deadline
  std::size_t deadlineLength = 0;   ///< number of these digits; 0: the comment has no deadline
  std::uint32_t group = 0;          ///< replica group
  std::int64_t sessionTokenMs = 0;  ///< Unix time of the session's last commit; 0: none
  const char* error = nullptr;      ///< why the comment cannot be used; null: it can
};

/// Parses the last comment of a text. Fields that are not known are ignored.
StatementComment parseStatementComment(std::string_view text);

/// The first text between single quotes; empty if there is none.
std::string_view parseQuotedKey(std::string_view text);

}  // namespace stonebay::pg
