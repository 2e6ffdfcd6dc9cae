// Encodes and parses the DNS queries and responses that DNS-SD needs, using ldns. Pure functions without
// sockets or a clock. See RFC 1035 (messages), 2782 (SRV), 6763 (DNS-SD), 6891 (EDNS0) and 2308 (negative
// responses).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "codec/dns/name.hpp"

namespace stonebay::dns {

/// The record types that DNS-SD uses. The values are the type codes on the wire.
enum class Type : std::uint16_t { A = 1, Soa = 6, Ptr = 12, Txt = 16, Aaaa = 28, Srv = 33 };
/// Response codes. The values are those on the wire.
enum class Rcode : std::uint8_t {
  NoError = 0,
  FormErr = 1,
  ServFail = 2,
  NxDomain = 3,
  NotImp = 4,
  Refused = 5
};

/// The question of a query, in class IN.
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
/// The fields that are used of the SOA record in a negative response (RFC 2308).
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
/// Data of a record of any type. A PTR record has a Name.
using Data = std::variant<Name, Srv, Strings, Bytes, Soa>;

struct Record {
  Name name;
  Type type = Type::Ptr;
  std::uint32_t ttl = 0;  ///< seconds, at most 2^31 - 1; larger values are parsed as 0 (RFC 2181 section 8)
  Data data;
};

/// A query or a response. Records of other types, or of a class other than IN, are skipped by the parser.
struct Message {
  std::uint16_t id = 0;
  bool response = false;
  bool authoritative = false;
  bool truncated = false;
  Rcode rcode = Rcode::NoError;
  std::optional<Question> question;  ///< std::nullopt unless there is exactly one, in class IN
  std::vector<Record> answers;
  std::vector<Record> authorities;
  std::vector<Record> additionals;
  std::uint16_t udpPayload = 0;  ///< bytes of the largest datagram the sender accepts; 0 means no EDNS0
};

constexpr std::size_t kLongestMessage = 65535;

/// Encodes a query with RD set. If `udpPayload` is 0, the query is sent without EDNS0.
std::string encodeQuery(std::uint16_t id, const Question& question, std::uint16_t udpPayload);
/// Encodes a message in at most `maxBytes`. If it does not fit, the additional records are omitted. If it
/// still does not fit, all records are omitted and TC is set (RFC 2181 section 9).
std::string encode(const Message& message, std::size_t maxBytes = kLongestMessage);

/// The reason why bytes are not a valid DNS message.
struct ParseError {
  enum class Code { TooShort, TooLong, Malformed };
  Code code = Code::Malformed;
  std::string detail;
};
/// Parses a message. Returns std::nullopt and sets `error` if the bytes are not a valid message, for example
/// because of a compression loop, or a count or length past the end.
std::optional<Message> parse(std::string_view bytes, ParseError* error = nullptr);

}  // namespace stonebay::dns
