// A stand-in name server, authoritative for one domain: DNS-SD records of endpoints over UDP and TCP, and
// misbehaviour on request. Written from the RFCs; it shares only the message codec with the proxy. Loopback
// addresses only.
#pragma once

#include <event2/event.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "codec/dns/message.hpp"
#include "testbed/dns_zone.hpp"
#include "testbed/unique_fd.hpp"
#include "util/event.hpp"

namespace stonebay::testbed {

class NameServer {
 public:
  enum class Behavior {
    Good,
    Silent,  ///< takes queries and answers none
    ServFail,
    Refused,
    Lame,           ///< NOERROR without records, not authoritative, no SOA
    Noise,          ///< bytes that are no message
    Loop,           ///< a name whose compression pointer points at itself
    Counts,         ///< a header that promises more records than follow
    WrongId,        ///< the right answer under another id
    WrongQuestion,  ///< to another question, as if the zone were empty
    WrongPort,      ///< as if the zone were empty, from another port
    Truncated,      ///< TC over UDP
    TruncatedOnly,  ///< TC over UDP, and no TCP
    NoEdns          ///< FORMERR for queries with an OPT record
  };

  /// Listens on 127.0.0.1; port 0: the system chooses one. Throws std::runtime_error if there is no port.
  NameServer(event_base* base, const std::string& domain, const std::string& service, int port = 0);
  ~NameServer();
  NameServer(const NameServer&) = delete;
  NameServer& operator=(const NameServer&) = delete;

  int port() const { return port_; }
  /// Adds an instance, or replaces the one of the same label.
  void publish(const ServiceInstance& instance) { zone_.publish(instance); }
  void withdraw(const std::string& label) { zone_.withdraw(label); }
  void clear() { zone_.clear(); }
  void setBehavior(Behavior behavior);
  /// "silent", "wrong-id", ...; false if there is none of that name.
  static bool findBehavior(const std::string& name, Behavior& behavior);

  /// Called when an answer that names all instances goes out: each label, and whether the instance wants
  /// requests (false: state=leaving).
  std::function<void(const std::map<std::string, bool>&)> onListSent;

  struct Counts {  ///< of queries
    std::uint64_t udp = 0;
    std::uint64_t tcp = 0;
    std::map<dns::Type, std::uint64_t> types;
  };
  const Counts& counts() const { return counts_; }

 private:
  class TcpConnection;
  enum class Transport { Udp, Tcp };

  void bindPorts(int port);
  void listenTcp();
  void closeTcp();
  void onTcpAccept();
  void remove(const TcpConnection& connection);
  void onUdpReadable();

  std::string answer(const std::string& bytes, Transport transport);
  std::string answerTruthfully(const dns::Message& query, const dns::Message& response, std::size_t maxSize);
  dns::Message newResponse(const dns::Message& query) const;
  dns::Message withEmptyZone(dns::Message response) const;
  void reportList(const dns::Message& query, const std::string& response) const;

  event_base* const base_;
  DnsZone zone_;
  int port_ = 0;
  UniqueFd udpSocket_;
  UniqueFd otherUdpSocket_;  // for answers from the wrong port
  UniqueFd tcpListener_;
  Event udpReadable_;
  Event tcpAcceptable_;
  std::list<std::unique_ptr<TcpConnection>> connections_;
  Behavior behavior_ = Behavior::Good;
  Counts counts_;
};

}  // namespace stonebay::testbed
