// The service that the DNS-SD tests use, and addresses as A records hold them.
#pragma once

#include <arpa/inet.h>

#include <string>

#include "codec/dns/message.hpp"

namespace stonebay {

inline const std::string kDomain = "ruwi.example.org";
inline const std::string kService = "_postgresql._tcp";
inline const dns::Name kServiceName = "_postgresql._tcp.ruwi.example.org.";

inline std::string ipv4Bytes(const char* text) {
  char bytes[4];
  inet_pton(AF_INET, text, bytes);
  return {bytes, sizeof bytes};
}

}  // namespace stonebay
