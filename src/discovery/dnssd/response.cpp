#include "discovery/dnssd/response.hpp"

#include <algorithm>

namespace stonebay {
namespace {

bool isAnswerTo(const dns::Question& question, const dns::Record& record) {
  return record.type == question.type && record.name == question.name;
}

const dns::Soa* findSoa(const dns::Message& message) {
  for (const dns::Record& record : message.authorities)
    if (record.type == dns::Type::Soa) return std::get_if<dns::Soa>(&record.data);
  return nullptr;
}

}  // namespace

ResponseKind classify(const dns::Question& question, const dns::Message& message) {
  if (message.rcode != dns::Rcode::NoError && message.rcode != dns::Rcode::NxDomain)
    return ResponseKind::Unusable;
  const bool positive = std::any_of(message.answers.begin(), message.answers.end(),
                                    [&](const dns::Record& record) { return isAnswerTo(question, record); });
  if (positive) return ResponseKind::Positive;
  if (message.rcode == dns::Rcode::NoError && !message.answers.empty()) return ResponseKind::Unusable;
  // A negative response has the SOA record of the zone, or comes from an authoritative server of the zone.
  return message.authoritative || findSoa(message) ? ResponseKind::Negative : ResponseKind::Unusable;
}

std::uint32_t negativeTtl(const dns::Message& message) {
  const dns::Soa* const soa = findSoa(message);
  if (!soa) return 0;
  std::uint32_t ttl = soa->minimum;
  for (const dns::Record& record : message.authorities)
    if (record.type == dns::Type::Soa) ttl = std::min(ttl, record.ttl);
  return ttl;
}

void RecordData::add(const dns::Record& record) {
  data.push_back(record.data);
  ttl = std::min(ttl, record.ttl);
}

RecordData answersTo(const dns::Question& question, const dns::Message& message) {
  RecordData answers;
  for (const dns::Record& record : message.answers)
    if (isAnswerTo(question, record)) answers.add(record);
  return answers;
}

}  // namespace stonebay
