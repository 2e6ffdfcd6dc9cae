// A stand-in name server, authoritative for one domain. Serves the DNS-SD records of endpoints over UDP and
// TCP on loopback, and can be told to misbehave. It follows the RFCs and shares only the message codec with
// the proxy.
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
    Silent,  ///< receives queries and sends no response
    ServFail,
    Refused,
    Lame,           ///< NOERROR without records, not authoritative, no SOA
    Noise,          ///< a response that cannot be parsed
    PointerLoop,    ///< a name whose compression pointer points at itself
    ExcessCounts,   ///< a header whose answer count exceeds the answers that follow
    WrongId,        ///< NXDOMAIN under another message id
    WrongQuestion,  ///< NXDOMAIN for another question
    WrongPort,      ///< NXDOMAIN sent from another port
    Truncated,      ///< truncated (TC) over UDP, complete over TCP
    TruncatedOnly,  ///< truncated (TC) over UDP; TCP connections are refused
    NoEdns          ///< FORMERR for queries with an OPT record
  };

  /// Listens on 127.0.0.1; with port 0 the system chooses the port. Throws std::runtime_error if a socket
  /// can't be bound.
  NameServer(event_base* base, const std::string& domain, const std::string& service, int port = 0);
  ~NameServer();
  NameServer(const NameServer&) = delete;
  NameServer& operator=(const NameServer&) = delete;

  int port() const { return port_; }
  /// Adds an instance, or replaces the one with the same label.
  void publish(const ServiceInstance& instance) { zone_.publish(instance); }
  void withdraw(const std::string& label) { zone_.withdraw(label); }
  void clear() { zone_.clear(); }
  void setBehavior(Behavior behavior);
  /// Sets `behavior` to the one of this name ("silent", "wrong-id", ...). Returns false if there is none.
  static bool findBehavior(const std::string& name, Behavior& behavior);

  /// Called when a complete list of instances is sent. Maps each label to whether the instance accepts
  /// requests; false means that it is listed with state=leaving.
  std::function<void(const std::map<std::string, bool>&)> onListSent;

  /// Numbers of queries received.
  struct Counts {
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
  std::string answerFromZone(const dns::Message& query, const dns::Message& response, std::size_t maxSize);
  dns::Message newResponse(const dns::Message& query) const;
  dns::Message asNxDomain(dns::Message response) const;
  void reportList(const dns::Message& query, const std::string& response) const;

  event_base* const base_;
  DnsZone zone_;
  int port_ = 0;
  UniqueFd udpSocket_;
  UniqueFd otherUdpSocket_;  // sends the responses of Behavior::WrongPort
  UniqueFd tcpListener_;
  Event udpReadable_;
  Event tcpAcceptable_;
  std::list<std::unique_ptr<TcpConnection>> connections_;
  Behavior behavior_ = Behavior::Good;
  Counts counts_;
};

}  // namespace stonebay::testbed
