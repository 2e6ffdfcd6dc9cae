// Fuzzes the parsers of PostgreSQL messages from clients and servers: headers, errors, parameters, rows,
// command tags and the comment of a statement.
#include "codec/pg/pg.hpp"

#include <algorithm>
#include <cstdlib>
#include <string_view>

#include "codec/pg/statement.hpp"
#include "fuzz/target.hpp"

using namespace stonebay;

namespace {

void parseHeaders(std::string_view text) {
  if (text.size() >= pg::kMessageHeaderSize) {
    char bytes[pg::kMessageHeaderSize];
    std::copy_n(text.data(), sizeof bytes, bytes);
    const auto header = pg::parseMessageHeader(bytes);
    if (header && header->bodySize > pg::kMaxMessageSize) std::abort();
  }
  if (text.size() >= pg::kRowHeaderSize) {
    char bytes[pg::kRowHeaderSize];
    std::copy_n(text.data(), sizeof bytes, bytes);
    pg::isRowHeader(bytes, text.size());
  }
}

void parseBodies(std::string_view text) {
  pg::parseErrorResponse(text);
  pg::parseParameterStatus(text);
  pg::parseSingleColumn(text);
  pg::isRowDescription(text);
  pg::isCommandTag(text, true);
  pg::isCommandTag(text, false);
}

void parseStatement(std::string_view text) {
  pg::parseQuotedKey(text);
  const pg::StatementComment comment = pg::parseStatementComment(text);
  if (comment.error) return;
  const bool isDeadlineOutOfRange = comment.deadlineOffset + comment.deadlineLength > text.size();
  if (comment.requestId.empty() || isDeadlineOutOfRange) std::abort();
}

}  // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  parseHeaders(text);
  parseBodies(text);
  parseStatement(text);
  return 0;
}
