// The DNS-SD records of one service in one domain (RFC 6763). Computes answers to questions and does no I/O.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <vector>

#include "codec/dns/message.hpp"

namespace stonebay::testbed {

/// One instance of the service.
struct ServiceInstance {
  std::string label;                   ///< such as "s-1"
  std::vector<std::string> addresses;  ///< an A or AAAA record each; may be empty
  std::uint16_t port = 0;
  std::vector<std::string> txt;  ///< strings such as "group=3"
  std::uint32_t ttl = 2;         ///< seconds
  bool hasSrv = true;
  bool hasTxt = true;
};

class DnsZone {
 public:
  /// Throws std::bad_optional_access if one of the names is malformed.
  DnsZone(const std::string& domain, const std::string& service);

  /// Adds an instance, or replaces the one with the same label.
  void publish(const ServiceInstance& instance);
  void withdraw(const std::string& label);
  void clear() { instances_.clear(); }

  const dns::Name& service() const { return service_; }
  const std::map<std::string, ServiceInstance>& instances() const { return instances_; }
  /// Returns the records that answer the question, with the additional records of RFC 6763 section 12. The
  /// response code is the only header field that is set.
  dns::Message answer(const dns::Question& question) const;
  /// Returns the SOA record for a negative answer.
  dns::Record soa(std::uint32_t ttl) const;

 private:
  using Records = std::vector<dns::Record>;
  dns::Name instanceName(const ServiceInstance& instance) const;
  dns::Name hostName(const ServiceInstance& instance) const;
  void addSrv(const ServiceInstance& instance, Records& records) const;
  void addTxt(const ServiceInstance& instance, Records& records) const;
  void addAddresses(const ServiceInstance& instance, std::initializer_list<dns::Type> types,
                    Records& records) const;
  void addAddress(const ServiceInstance& instance, const std::string& text, dns::Type type,
                  Records& records) const;
  void answerService(const dns::Question& question, dns::Message& message) const;
  bool answerInstance(const ServiceInstance& instance, const dns::Question& question,
                      dns::Message& message) const;

  const dns::Name domain_;
  const dns::Name service_;
  std::map<std::string, ServiceInstance> instances_;  // by label
  std::uint32_t serial_ = 1;
};

}  // namespace stonebay::testbed
