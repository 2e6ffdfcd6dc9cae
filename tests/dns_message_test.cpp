// Encoding and parsing of DNS messages.
#include <gtest/gtest.h>

#include <pcg_random.hpp>

#include "codec/dns/message.hpp"
#include "dnssd_fixture.hpp"

namespace stonebay {
namespace {

using dns::Type;

dns::Message sampleMessage() {
  dns::Message message;
  message.id = 0x1234;
  message.response = true;
  message.authoritative = true;
  message.question = dns::Question{kServiceName, Type::Ptr};
  const auto name = *dns::instanceName("Hall 1. (east)", kServiceName);
  message.answers.push_back({kServiceName, Type::Ptr, 7, name});
  message.additionals.push_back({name, Type::Srv, 8, dns::Srv{1, 2, 5432, "h.ruwi.example.org."}});
  message.additionals.push_back({name, Type::Txt, 9, dns::Strings{"group=3", "zone=a b"}});
  message.additionals.push_back({"h.ruwi.example.org.", Type::A, 10, dns::Bytes{ipv4Bytes("10.1.2.3")}});
  message.udpPayload = 1232;
  return message;
}

TEST(DnsMessage, EncodedMessageParsesToTheSameMessage) {
  const auto message = dns::parse(dns::encode(sampleMessage()));
  ASSERT_TRUE(message);
  EXPECT_EQ(message->id, 0x1234);
  EXPECT_TRUE(message->response && message->authoritative && !message->truncated);
  EXPECT_EQ(message->udpPayload, 1232);
  EXPECT_EQ(message->question, (dns::Question{kServiceName, Type::Ptr}));
  ASSERT_EQ(message->answers.size(), 1u);
  EXPECT_EQ(message->answers[0].ttl, 7u);
  EXPECT_EQ(dns::firstLabel(std::get<dns::Name>(message->answers[0].data)), "hall 1. (east)");
  ASSERT_EQ(message->additionals.size(), 3u);
  const auto& srv = std::get<dns::Srv>(message->additionals[0].data);
  EXPECT_EQ(srv.priority, 1);
  EXPECT_EQ(srv.weight, 2);
  EXPECT_EQ(srv.port, 5432);
  EXPECT_EQ(srv.target, "h.ruwi.example.org.");
  EXPECT_EQ(std::get<dns::Strings>(message->additionals[1].data), (dns::Strings{"group=3", "zone=a b"}));
  EXPECT_EQ(std::get<dns::Bytes>(message->additionals[2].data).bytes, ipv4Bytes("10.1.2.3"));
}

TEST(DnsMessage, EncodingOmitsAdditionalsFirstAndThenTruncates) {
  const auto complete = dns::encode(sampleMessage());
  const auto withoutAdditionals = dns::parse(dns::encode(sampleMessage(), complete.size() - 1));
  ASSERT_TRUE(withoutAdditionals);
  EXPECT_FALSE(withoutAdditionals->truncated);
  EXPECT_TRUE(withoutAdditionals->additionals.empty());
  const auto withoutRecords = dns::parse(dns::encode(sampleMessage(), 60));
  ASSERT_TRUE(withoutRecords);
  EXPECT_TRUE(withoutRecords->truncated);
  EXPECT_TRUE(withoutRecords->answers.empty());
}

TEST(DnsMessage, MalformedMessagesAreRejected) {
  dns::ParseError error;
  EXPECT_FALSE(dns::parse("", &error));
  EXPECT_FALSE(dns::parse("short", &error));
  EXPECT_EQ(error.code, dns::ParseError::Code::TooShort);
  EXPECT_FALSE(error.detail.empty());
  // Every truncation of a valid message, and a compression pointer that points to itself.
  const std::string valid = dns::encode(sampleMessage());
  for (std::size_t n = 0; n < valid.size(); ++n) EXPECT_FALSE(dns::parse(valid.substr(0, n))) << n;
  std::string loop = dns::encodeQuery(1, {kServiceName, Type::Ptr}, 0);
  loop.replace(12, 2, "\xc0\x0c", 2);
  EXPECT_FALSE(dns::parse(loop));
  std::string label = dns::encodeQuery(1, {kServiceName, Type::Ptr}, 0);
  label[12] = 64 | 11;  // the label type 01, which is neither a length nor a compression pointer
  EXPECT_FALSE(dns::parse(label));
  std::string counts = valid;
  counts[6] = '\xff';
  EXPECT_FALSE(dns::parse(counts));
}

// Guards against reads out of bounds, which the sanitizers of the CI build detect.
TEST(DnsMessage, MutatedMessagesAreParsedWithinTheirBounds) {
  const std::string valid = dns::encode(sampleMessage());
  pcg32 random(11);
  int parsedCount = 0;
  for (int k = 0; k < 20000; ++k) {
    std::string mutated = valid;
    for (int n = 1 + static_cast<int>(random(4)); n > 0; --n)
      mutated[random(static_cast<unsigned>(mutated.size()))] = static_cast<char>(random());
    if (random(4) == 0) mutated.resize(random(static_cast<unsigned>(mutated.size())));
    parsedCount += dns::parse(mutated).has_value();
  }
  EXPECT_GT(parsedCount, 0);
  EXPECT_LT(parsedCount, 20000);
}

}  // namespace
}  // namespace stonebay
