// Fuzzes the DNS message parser: a message that was parsed and encoded again must parse again, with the same
// ID and no more answers.
#include <cstdlib>
#include <string>

#include "codec/dns/message.hpp"
#include "fuzz/target.hpp"

using namespace stonebay;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto message = dns::parse({reinterpret_cast<const char*>(data), size});
  if (!message) return 0;
  for (const auto* section : {&message->answers, &message->authorities, &message->additionals})
    for (const dns::Record& record : *section) {
      if (record.name.empty() || record.ttl > 0x7fffffff) std::abort();
      dns::firstLabel(record.name);
      dns::isWithin(record.name, "example.org.");
      if (const auto* name = std::get_if<dns::Name>(&record.data);
          name && !name->empty() && !dns::parseName(*name))
        std::abort();  // a name from a parsed message must be valid
    }
  const std::string encoded = dns::encode(*message);
  if (encoded.empty()) return 0;
  const auto reparsed = dns::parse(encoded);
  if (!reparsed || reparsed->id != message->id || reparsed->answers.size() > message->answers.size())
    std::abort();
  return 0;
}
