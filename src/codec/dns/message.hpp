// DNS messages as DNS-SD needs them, on top of ldns: queries and responses, encoded and parsed. Pure: no
// sockets, no clock. RFC 1035 (messages), 2782 (SRV), 6763 (DNS-SD), 6891 (EDNS0), 2308 (negative responses).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "codec/dns/name.hpp"

namespace stonebay::dns {

/// The record types that DNS-SD uses, by their numbers on the wire.
enum class Type : std::uint16_t { A = 1, Soa = 6, Ptr = 12, Txt = 16, Aaaa = 28, Srv = 33 };
/// Response codes, by their numbers on the wire.
enum class Rcode : std::uint8_t {
  NoError = 0,
  FormErr = 1,
  ServFail = 2,
  NxDomain = 3,
  NotImp = 4,
  Refused = 5
};

/// What a query asks for, in class IN.
struct Question {
  Name name;
  Type type = Type::Ptr;
  friend bool operator==(const Question& left, const Question& right) {
    return left.type == right.type && left.name == right.name;
  }
  friend bool operator!=(const Question& left, const Question& right) { return !(left == right); }
  friend bool operator<(const Question& left, const Question& right) {
    return left.name != right.name ? left.name < right.name : left.type < right.type;
  }
};

/// Data of an SRV record (RFC 2782).
struct Srv {
  std::uint16_t priority = 0;
  std::uint16_t weight = 0;
  std::uint16_t port = 0;
  Name target;
};
/// Data of the SOA record of a negative response (RFC 2308), as far as it is used.
struct Soa {
  std::uint32_t serial = 0;
  std::uint32_t minimum = 0;  ///< seconds
};
/// Data of an A or AAAA record: 4 or 16 bytes in network byte order.
struct Bytes {
  std::string bytes;
};
/// Data of a TXT record.
using Strings = std::vector<std::string>;
/// Data of a record; a Name for PTR.
using Data = std::variant<Name, Srv, Strings, Bytes, Soa>;

struct Record {
  Name name;
  Type type = Type::Ptr;
  std::uint32_t ttl = 0;  ///< seconds; at most 2^31 - 1, a greater value counts as 0 (RFC 2181 section 8)
  Data data;
};

/// A query or a response. Records of other types or classes than the above are left out.
struct Message {
  std::uint16_t id = 0;
  bool response = false;
  bool authoritative = false;
  bool truncated = false;
  Rcode rcode = Rcode::NoError;
  std::optional<Question> question;  ///< nothing: there is none, several, or one of another class
  std::vector<Record> answers;
  std::vector<Record> authorities;
  std::vector<Record> additionals;
  std::uint16_t udpPayload = 0;  ///< EDNS0: the largest datagram that the sender accepts; 0: no EDNS0
};

constexpr std::size_t kLongestMessage = 65535;

/// A query with RD set; `udpPayload` 0: without EDNS0.
std::string encodeQuery(std::uint16_t id, const Question& question, std::uint16_t udpPayload);
/// A message of at most `maxBytes`. What does not fit is left out: the additionals first; if the answers and
/// authorities do not fit either, all records, and TC is set (RFC 2181 section 9).
std::string encode(const Message& message, std::size_t maxBytes = kLongestMessage);

/// Why bytes are not a DNS message.
struct ParseError {
  enum class Code { TooShort, TooLong, Malformed };
  Code code = Code::Malformed;
  std::string detail;
};
/// Nothing when the bytes are not a message (compression loops, counts or lengths past the end); `error` then
/// has the reason.
std::optional<Message> parse(std::string_view bytes, ParseError* error = nullptr);

}  // namespace stonebay::dns
