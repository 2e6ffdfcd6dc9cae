// The service of the DNS-SD tests, and the data of A records.
#pragma once

#include <arpa/inet.h>

#include <string>

#include "codec/dns/message.hpp"

namespace stonebay {

inline const std::string kDomain = "ruwi.example.org";
inline const std::string kService = "_postgresql._tcp";
inline const dns::Name kServiceName = "_postgresql._tcp.ruwi.example.org.";

/// Returns the address in network byte order, as in an A record.
inline std::string ipv4Bytes(const char* text) {
  char bytes[4];
  inet_pton(AF_INET, text, bytes);
  return {bytes, sizeof bytes};
}

}  // namespace stonebay
