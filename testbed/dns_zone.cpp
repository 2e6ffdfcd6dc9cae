#include "testbed/dns_zone.hpp"

#include <arpa/inet.h>

#include <array>

namespace stonebay::testbed {
namespace {

constexpr std::uint32_t kNegativeTtlSeconds = 1;

}  // namespace

using dns::Message;
using dns::Question;
using dns::Record;
using dns::Type;

DnsZone::DnsZone(const std::string& domain, const std::string& service)
    : domain_(dns::parseName(domain).value()), service_(dns::parseName(service + "." + domain).value()) {}

void DnsZone::publish(const ServiceInstance& instance) {
  instances_[instance.label] = instance;
  ++serial_;
}

void DnsZone::withdraw(const std::string& label) {
  instances_.erase(label);
  ++serial_;
}

dns::Name DnsZone::instanceName(const ServiceInstance& instance) const {
  return dns::instanceName(instance.label, service_).value();
}

dns::Name DnsZone::hostName(const ServiceInstance& instance) const {
  return dns::parseName("host-" + instance.label + "." + domain_).value();
}

void DnsZone::addSrv(const ServiceInstance& instance, Records& records) const {
  if (!instance.hasSrv) return;
  const dns::Srv srv{0, 0, instance.port, hostName(instance)};
  records.push_back({instanceName(instance), Type::Srv, instance.ttl, srv});
}

void DnsZone::addTxt(const ServiceInstance& instance, Records& records) const {
  if (!instance.hasTxt) return;
  // RFC 6763 section 6.1: an empty TXT record contains a single empty string.
  const dns::Strings strings = instance.txt.empty() ? dns::Strings{""} : instance.txt;
  records.push_back({instanceName(instance), Type::Txt, instance.ttl, strings});
}

void DnsZone::addAddresses(const ServiceInstance& instance, std::initializer_list<Type> types,
                           Records& records) const {
  for (const std::string& text : instance.addresses)
    for (const Type type : types) addAddress(instance, text, type, records);
}

// Adds nothing if the text is not an address of this type.
void DnsZone::addAddress(const ServiceInstance& instance, const std::string& text, Type type,
                         Records& records) const {
  const bool isIpv6 = type == Type::Aaaa;
  std::array<char, sizeof(in6_addr)> bytes{};
  if (inet_pton(isIpv6 ? AF_INET6 : AF_INET, text.c_str(), bytes.data()) != 1) return;
  const std::size_t size = isIpv6 ? sizeof(in6_addr) : sizeof(in_addr);
  records.push_back({hostName(instance), type, instance.ttl, dns::Bytes{{bytes.data(), size}}});
}

Record DnsZone::soa(std::uint32_t ttl) const { return {domain_, Type::Soa, ttl, dns::Soa{serial_, ttl}}; }

void DnsZone::answerService(const Question& question, Message& message) const {
  if (question.type != Type::Ptr) return;
  for (const auto& [label, instance] : instances_) {
    message.answers.push_back({service_, Type::Ptr, instance.ttl, instanceName(instance)});
    addSrv(instance, message.additionals);
    addTxt(instance, message.additionals);
    addAddresses(instance, {Type::A, Type::Aaaa}, message.additionals);
  }
}

// Returns whether the question is about a name of this instance.
bool DnsZone::answerInstance(const ServiceInstance& instance, const Question& question,
                             Message& message) const {
  bool nameExists = false;
  if (question.name == instanceName(instance)) {
    nameExists = true;
    if (question.type == Type::Srv) {
      addSrv(instance, message.answers);
      addAddresses(instance, {Type::A, Type::Aaaa}, message.additionals);
    }
    if (question.type == Type::Txt) addTxt(instance, message.answers);
  }
  if (question.name == hostName(instance)) {
    nameExists = true;
    if (question.type == Type::A || question.type == Type::Aaaa)
      addAddresses(instance, {question.type}, message.answers);
  }
  return nameExists;
}

Message DnsZone::answer(const Question& question) const {
  Message message;
  bool nameExists = question.name == domain_;
  if (question.name == service_) {
    nameExists = !instances_.empty();
    answerService(question, message);
  }
  for (const auto& [label, instance] : instances_)
    if (answerInstance(instance, question, message)) nameExists = true;
  if (!nameExists) message.rcode = dns::Rcode::NxDomain;
  if (message.answers.empty()) message.authorities.push_back(soa(kNegativeTtlSeconds));
  return message;
}

}  // namespace stonebay::testbed
