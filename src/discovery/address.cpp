#include "discovery/address.hpp"

#include <arpa/inet.h>

#include <charconv>
#include <cstring>
#include <functional>

namespace stonebay {

std::optional<Address> Address::parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [parsedEnd, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || parsedEnd != end) return std::nullopt;
  std::string host(text.substr(0, colon));
  Address address;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    if (inet_pton(AF_INET6, host.c_str(), &address.v6_.sin6_addr) != 1) return std::nullopt;
    address.v6_.sin6_family = AF_INET6;
    address.v6_.sin6_port = htons(port);
    return address;
  }
  if (inet_pton(AF_INET, host.c_str(), &address.v4_.sin_addr) != 1) return std::nullopt;
  address.v4_.sin_family = AF_INET;
  address.v4_.sin_port = htons(port);
  return address;
}

Address Address::fromBytes(std::string_view bytes, std::uint16_t port) {
  Address address;
  if (bytes.size() == sizeof address.v4_.sin_addr) {
    std::memcpy(&address.v4_.sin_addr, bytes.data(), bytes.size());
    address.v4_.sin_family = AF_INET;
    address.v4_.sin_port = htons(port);
  } else if (bytes.size() == sizeof address.v6_.sin6_addr) {
    std::memcpy(&address.v6_.sin6_addr, bytes.data(), bytes.size());
    address.v6_.sin6_family = AF_INET6;
    address.v6_.sin6_port = htons(port);
  }
  return address;
}

Address Address::fromSocket(const sockaddr* from) {
  Address address;
  if (from->sa_family == AF_INET) std::memcpy(&address.v4_, from, sizeof address.v4_);
  if (from->sa_family == AF_INET6) std::memcpy(&address.v6_, from, sizeof address.v6_);
  return address;
}

std::uint16_t Address::port() const { return ntohs(isV6() ? v6_.sin6_port : v4_.sin_port); }

std::string Address::text() const {
  if (isUnset()) return {};
  char buffer[INET6_ADDRSTRLEN];
  const void* const bytes =
      isV6() ? static_cast<const void*>(&v6_.sin6_addr) : static_cast<const void*>(&v4_.sin_addr);
  inet_ntop(any_.sa_family, bytes, buffer, sizeof buffer);
  const std::string host(buffer);
  return (isV6() ? "[" + host + "]" : host) + ":" + std::to_string(port());
}

std::size_t Address::Hash::operator()(const Address& address) const {
  if (address.isUnset()) return 0;
  const void* const bytes = address.isV6() ? static_cast<const void*>(&address.v6_.sin6_addr)
                                           : static_cast<const void*>(&address.v4_.sin_addr);
  const std::size_t size = address.isV6() ? sizeof address.v6_.sin6_addr : sizeof address.v4_.sin_addr;
  const std::string_view host(static_cast<const char*>(bytes), size);
  return std::hash<std::string_view>()(host) * 31 + address.port();
}

bool operator==(const Address& left, const Address& right) {
  if (left.any_.sa_family != right.any_.sa_family) return false;
  if (left.isUnset()) return true;
  if (left.port() != right.port()) return false;
  if (!left.isV6()) return left.v4_.sin_addr.s_addr == right.v4_.sin_addr.s_addr;
  return std::memcmp(&left.v6_.sin6_addr, &right.v6_.sin6_addr, sizeof left.v6_.sin6_addr) == 0;
}

}  // namespace stonebay
