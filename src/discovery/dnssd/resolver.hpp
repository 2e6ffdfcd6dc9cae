// A DNS stub resolver over UDP and TCP.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "codec/dns/message.hpp"
#include "config/config.hpp"
#include "discovery/dnssd/name_servers.hpp"
#include "util/clock.hpp"
#include "util/event.hpp"

namespace stonebay {

/// Sends queries to the configured name servers, and over TCP after truncation or on demand (RFC 1035, 5452,
/// 6891, 7766). Each query has a random id and a socket of its own, hence a port that the system selects; a
/// response from elsewhere, or with another id or question, is ignored and the wait goes on.
class Resolver {
 public:
  /// How a lookup ended.
  struct Result {
    bool ok = false;       ///< some server gave a response that is usable; see classify
    dns::Message message;  ///< ok only
    bool overTcp = false;
    std::string failure;  ///< not ok: what the last server did
  };
  using ResultHandler = std::function<void(const dns::Question&, const Result&)>;

  Resolver(event_base* base, const Clock& clock, const DnsSdSettings& settings, ResultHandler onResult);
  ~Resolver();
  Resolver(const Resolver&) = delete;
  Resolver& operator=(const Resolver&) = delete;

  /// Tries one server after the other. Ends in one call of the handler, from the event loop and never within
  /// this call. Lookups that are in flight when the Resolver is destroyed end silently.
  void resolve(const dns::Question& question, bool overTcp);

 private:
  class Lookup;
  void finish(Lookup& lookup, const Result& result);

  event_base* const base_;
  const Clock& clock_;
  const DnsSdSettings settings_;
  const ResultHandler onResult_;
  NameServers servers_;
  std::vector<bool> rejectsEdns_;  // by server
  std::random_device random_;
  std::unordered_map<Lookup*, std::unique_ptr<Lookup>> lookups_;
};

}  // namespace stonebay
