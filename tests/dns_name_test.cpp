// DNS names: canonical form, length limits and escaping.
#include <gtest/gtest.h>

#include "codec/dns/name.hpp"
#include "dnssd_fixture.hpp"

namespace stonebay {
namespace {

TEST(DnsName, IsCaseInsensitiveAndKeepsTheBytesOfALabel) {
  EXPECT_EQ(dns::parseName("RuWi.Example.ORG"), dns::parseName("ruwi.example.org."));
  EXPECT_FALSE(dns::parseName(std::string(64, 'a') + ".org"));
  EXPECT_TRUE(dns::parseName(std::string(63, 'a') + ".org"));
  EXPECT_FALSE(dns::parseName("a..org"));
  std::string longName;
  for (int k = 0; k < 130; ++k) longName += "a.";
  EXPECT_FALSE(dns::parseName(longName));
  EXPECT_FALSE(dns::instanceName(std::string(64, 'x'), kServiceName));
  for (const std::string& label : {std::string("a.b"), std::string("\\"), std::string("\"x;@$()"),
                                   std::string("caf\xc3\xa9"), std::string("a\0b", 3), std::string("007")})
    EXPECT_EQ(dns::firstLabel(dns::instanceName(label, kServiceName).value()), label);
  EXPECT_TRUE(dns::isWithin("a.ruwi.example.org.", "ruwi.example.org."));
  EXPECT_FALSE(dns::isWithin("xruwi.example.org.", "ruwi.example.org."));
  EXPECT_FALSE(dns::isWithin("a\\.ruwi.example.org.", "ruwi.example.org."));
  EXPECT_TRUE(dns::isWithin("a\\\\.ruwi.example.org.", "ruwi.example.org."));
}

}  // namespace
}  // namespace stonebay
