// Classification of DNS responses.
#pragma once

#include <cstdint>
#include <vector>

#include "codec/dns/message.hpp"

namespace stonebay {

enum class ResponseKind {
  Positive,  ///< has records that answer the question
  Negative,  ///< authoritative statement that there are none (RFC 2308 section 2: NXDOMAIN or NODATA)
  Unusable   ///< an error, a referral, or from a server that does not serve the zone: try another server
};
ResponseKind classify(const dns::Question& question, const dns::Message& message);

/// Returns for how many seconds a negative response may be cached (RFC 2308 section 5); 0 without an SOA
/// record.
std::uint32_t negativeTtl(const dns::Message& message);

/// The data of the records with the same name and type, and the smallest TTL among them.
struct RecordData {
  std::vector<dns::Data> data;
  std::uint32_t ttl = UINT32_MAX;  ///< seconds
  void add(const dns::Record& record);
};
/// Returns the records in the answer section that answer the question.
RecordData answersTo(const dns::Question& question, const dns::Message& message);

}  // namespace stonebay
