#include "testbed/pg_stream.hpp"

#include <cstdint>

#include "codec/pg/pg.hpp"

namespace stonebay::testbed {
namespace {

constexpr std::size_t kColumnDescriptionBytes = 18;  // fixed-size fields after the column name

std::string encodeInt32(std::uint32_t number) {
  return {static_cast<char>(number >> 24), static_cast<char>(number >> 16), static_cast<char>(number >> 8),
          static_cast<char>(number)};
}

}  // namespace

ReadStatus readMessage(evbuffer* input, PgMessage& message) {
  char headerBytes[pg::kMessageHeaderSize];
  if (evbuffer_copyout(input, headerBytes, sizeof headerBytes) < static_cast<ev_ssize_t>(sizeof headerBytes))
    return ReadStatus::Incomplete;
  const auto header = pg::parseMessageHeader(headerBytes);
  if (!header) return ReadStatus::Malformed;
  if (evbuffer_get_length(input) < sizeof headerBytes + header->bodySize) return ReadStatus::Incomplete;
  message.type = header->type;
  message.body.resize(header->bodySize);
  evbuffer_drain(input, sizeof headerBytes);
  evbuffer_remove(input, message.body.data(), header->bodySize);
  return ReadStatus::Complete;
}

std::string rowMessages(const std::string& value) {
  const std::string oneColumn("\0\1", 2);
  const std::string description = oneColumn + "blob" + std::string(1 + kColumnDescriptionBytes, '\0');
  const std::string row = oneColumn + encodeInt32(static_cast<std::uint32_t>(value.size())) + value;
  return pg::message('T', description) + pg::message('D', row);
}

std::string parameterStatus(const std::string& name, const std::string& value) {
  return pg::message('S', name + '\0' + value + '\0');
}

}  // namespace stonebay::testbed
