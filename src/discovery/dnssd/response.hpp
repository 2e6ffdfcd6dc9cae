// What a DNS response is worth to the query that it answers.
#pragma once

#include <cstdint>
#include <vector>

#include "codec/dns/message.hpp"

namespace stonebay {

enum class ResponseKind {
  Positive,  ///< it holds records that the question asked for
  Negative,  ///< it says with authority that there are none (RFC 2308 section 2: NXDOMAIN or NODATA)
  Unusable   ///< an error, a referral, or from a server that does not serve the zone: try another server
};
ResponseKind classify(const dns::Question& question, const dns::Message& message);

/// How long a negative response may be cached, in seconds (RFC 2308 section 5); 0 without an SOA record.
std::uint32_t negativeTtl(const dns::Message& message);

/// The data of a set of records with the same name and type, and the smallest TTL among them.
struct RecordData {
  std::vector<dns::Data> data;
  std::uint32_t ttl = UINT32_MAX;  ///< seconds
  void add(const dns::Record& record);
};
/// The records in the answer section that the question asked for.
RecordData answersTo(const dns::Question& question, const dns::Message& message);

}  // namespace stonebay
