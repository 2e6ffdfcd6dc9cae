#include "codec/pg/pg.hpp"

namespace stonebay::pg {
namespace {

constexpr std::size_t kInt32Size = 4;
// Bytes of a column description after its name: table, column, type, size, modifier and format.
constexpr std::size_t kColumnDescriptionTailSize = 18;
constexpr std::size_t kSqlStateSize = 5;

void appendInt32(std::string& to, std::uint32_t number) {
  for (int shift = 24; shift >= 0; shift -= 8)
    to.push_back(static_cast<char>(number >> static_cast<unsigned>(shift)));
}

void appendString(std::string& to, std::string_view text) {
  to.append(text);
  to.push_back('\0');
}

// Removes a NUL-terminated string from the front and returns it. Returns std::nullopt if there is no NUL.
std::optional<std::string_view> consumeString(std::string_view& from) {
  const std::size_t end = from.find('\0');
  if (end == std::string_view::npos) return std::nullopt;
  const std::string_view text = from.substr(0, end);
  from.remove_prefix(end + 1);
  return text;
}

bool hasOneColumn(std::string_view body) { return body.size() >= 2 && body[0] == 0 && body[1] == 1; }

std::string parameterStatus(std::string_view name, std::string_view value) {
  std::string body;
  appendString(body, name);
  appendString(body, value);
  return message('S', body);
}

}  // namespace

std::uint32_t readInt32(const char* bytes) {
  std::uint32_t number = 0;
  for (std::size_t i = 0; i < kInt32Size; ++i) number = number << 8U | static_cast<unsigned char>(bytes[i]);
  return number;
}

std::optional<MessageHeader> parseMessageHeader(const char (&bytes)[kMessageHeaderSize]) {
  const std::uint32_t length = readInt32(bytes + 1);  // includes the length field itself
  if (length < kInt32Size || length > kMaxMessageSize) return std::nullopt;
  return MessageHeader{bytes[0], length - kInt32Size};
}

std::string queryHeader(std::size_t length) {
  std::string header(1, 'Q');
  appendInt32(header, static_cast<std::uint32_t>(length + kInt32Size));
  return header;
}

std::string message(char type, std::string_view body) {
  std::string bytes(1, type);
  appendInt32(bytes, static_cast<std::uint32_t>(body.size() + kInt32Size));
  bytes.append(body);
  return bytes;
}

std::string startupMessage(std::string_view user, std::string_view database) {
  std::string body;
  appendInt32(body, kProtocolVersion3);
  appendString(body, "user");
  appendString(body, user);
  appendString(body, "database");
  appendString(body, database);
  body.push_back('\0');
  std::string bytes;
  appendInt32(bytes, static_cast<std::uint32_t>(body.size() + kInt32Size));
  return bytes + body;
}

std::string query(std::string_view statement) {
  std::string body;
  appendString(body, statement);
  return message('Q', body);
}

std::string readyForQuery() { return message('Z', "I"); }

std::string greeting(std::uint32_t process, std::uint32_t secret) {
  std::string authenticationOk;
  appendInt32(authenticationOk, 0);
  std::string keyData;
  appendInt32(keyData, process);
  appendInt32(keyData, secret);
  return message('R', authenticationOk) + parameterStatus("server_version", "15.0") +
         parameterStatus("server_encoding", "UTF8") + parameterStatus("client_encoding", "UTF8") +
         parameterStatus("standard_conforming_strings", "on") + message('K', keyData) + readyForQuery();
}

std::string errorResponse(const char* severity, const char* code, std::string_view text,
                          std::string_view detail) {
  std::string body;
  const auto appendField = [&body](char type, std::string_view value) {
    body.push_back(type);
    appendString(body, value);
  };
  appendField('S', severity);
  appendField('V', severity);
  appendField('C', code);
  appendField('M', text);
  if (!detail.empty()) appendField('D', detail);
  body.push_back('\0');
  return message('E', body);
}

ErrorFields parseErrorResponse(std::string_view body) {
  ErrorFields fields;
  while (!body.empty() && body[0] != '\0') {
    const char type = body[0];
    body.remove_prefix(1);
    const auto value = consumeString(body);
    if (!value) return {};
    if (type == 'S') fields.severity = *value;
    if (type == 'C') fields.code = *value;
    if (type == 'M') fields.text = *value;
  }
  const bool isValid = body.size() == 1 && fields.code.size() == kSqlStateSize;
  return isValid ? fields : ErrorFields{};
}

bool isRowDescription(std::string_view body) {
  if (!hasOneColumn(body)) return false;
  body.remove_prefix(2);
  return consumeString(body) && body.size() == kColumnDescriptionTailSize;
}

bool isRowHeader(const char (&bytes)[kRowHeaderSize], std::size_t bodySize) {
  if (!hasOneColumn({bytes, kRowHeaderSize}) || bodySize < kRowHeaderSize) return false;
  const std::size_t valueSize = bodySize - kRowHeaderSize;
  return valueSize <= kMaxValueSize && readInt32(bytes + 2) == valueSize;
}

bool isCommandTag(std::string_view body, bool oneRow) {
  if (body.empty() || body.find('\0') != body.size() - 1) return false;
  body.remove_suffix(1);
  return !oneRow || (body.size() > 2 && body.substr(body.size() - 2) == " 1");
}

ParameterStatus parseParameterStatus(std::string_view body) {
  const auto name = consumeString(body);
  const auto value = name ? consumeString(body) : std::nullopt;
  if (!value || !body.empty()) return {};
  return {*name, *value};
}

std::optional<std::string_view> parseSingleColumn(std::string_view body) {
  if (body.size() < kRowHeaderSize || !hasOneColumn(body)) return std::nullopt;
  const std::uint32_t length = readInt32(body.data() + 2);
  if (length != body.size() - kRowHeaderSize) return std::nullopt;  // NULL is encoded as length 2^32 - 1
  return body.substr(kRowHeaderSize);
}

}  // namespace stonebay::pg
