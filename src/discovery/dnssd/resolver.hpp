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

/// Sends queries to the configured name servers over UDP, or over TCP after truncation or on request (RFC
/// 1035, 5452, 6891, 7766). Each query has a random id and its own socket, so that the system selects its
/// source port. Over UDP, a datagram from another address, or with another id or question, is ignored, and
/// the resolver keeps waiting for the response.
class Resolver {
 public:
  /// The result of a lookup.
  struct Result {
    bool ok = false;       ///< a server gave a usable response; see classify
    dns::Message message;  ///< set only if ok
    bool overTcp = false;
    std::string failure;  ///< set only if not ok: how the last server failed
  };
  using ResultHandler = std::function<void(const dns::Question&, const Result&)>;

  Resolver(event_base* base, const Clock& clock, const DnsSdSettings& settings, ResultHandler onResult);
  ~Resolver();
  Resolver(const Resolver&) = delete;
  Resolver& operator=(const Resolver&) = delete;

  /// Starts a lookup, which tries the servers in turn. Calls the handler once, from the event loop and never
  /// within this call. The handler is not called for lookups that are in flight when the Resolver is
  /// destroyed.
  void resolve(const dns::Question& question, bool overTcp);

 private:
  class Lookup;
  void finish(Lookup& lookup, const Result& result);

  event_base* const base_;
  const Clock& clock_;
  const DnsSdSettings settings_;
  const ResultHandler onResult_;
  NameServers servers_;
  std::vector<bool> rejectsEdns_;  // one flag per server
  std::random_device random_;
  std::unordered_map<Lookup*, std::unique_ptr<Lookup>> lookups_;
};

}  // namespace stonebay
