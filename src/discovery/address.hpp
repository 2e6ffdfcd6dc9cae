// IPv4 and IPv6 socket addresses.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace stonebay {

/// An IPv4 or IPv6 address with a port, or no address (see isUnset()). A value type that is cheap to copy.
class Address {
 public:
  /// Creates an object without an address, for which isUnset() is true.
  Address() = default;
  /// Parses text such as "10.1.0.18:5432" or "[fe80::1]:5432". Returns std::nullopt if the text is malformed.
  static std::optional<Address> parse(std::string_view text);
  /// Converts 4 or 16 bytes in network byte order, the data of an A or AAAA record. Returns no address for
  /// any other length.
  static Address fromBytes(std::string_view bytes, std::uint16_t port);
  /// Converts a socket address. Returns no address if the family is neither AF_INET nor AF_INET6.
  static Address fromSocket(const sockaddr* from);

  /// Returns true if there is no address.
  bool isUnset() const { return any_.sa_family == 0; }
  bool isV6() const { return any_.sa_family == AF_INET6; }
  std::uint16_t port() const;
  /// Returns the address in the form that bind, connect and sendto take, together with size().
  const sockaddr* data() const { return &any_; }
  socklen_t size() const { return isV6() ? sizeof v6_ : sizeof v4_; }
  /// Returns the form that parse() accepts, or an empty string if there is no address.
  std::string text() const;

  /// Hash function for unordered containers.
  struct Hash {
    std::size_t operator()(const Address& address) const;
  };

  friend bool operator==(const Address& left, const Address& right);
  friend bool operator!=(const Address& left, const Address& right) { return !(left == right); }

 private:
  union {
    sockaddr any_;
    sockaddr_in v4_;
    sockaddr_in6 v6_ = {};
  };
};

}  // namespace stonebay
