// Parsing of the TXT records of service instances.
#include <gtest/gtest.h>

#include "discovery/dnssd/txt_record.hpp"

namespace stonebay {
namespace {

TEST(DnsSdTxtRecord, FillsAnInstanceAndErrorsNameTheKey) {
  const std::vector<GroupName> groups{{"rentals", 3}};
  Instance instance;
  EXPECT_FALSE(parseTxt({"txtvers=1", "Group=rentals", "zone=ruwi", "kind=big", "weight=2.5", "state=leaving",
                         "started=1767225600123", "group=9", "other", "=x"},
                        groups, std::nullopt, instance));
  EXPECT_EQ(instance.group, 3u);
  EXPECT_EQ(instance.zone, "ruwi");
  EXPECT_EQ(instance.kind, "big");
  EXPECT_EQ(instance.weight, 2.5);
  EXPECT_EQ(instance.state, Lifecycle::Draining);
  EXPECT_EQ(instance.startedMs, 1767225600123);
  Instance defaults;
  EXPECT_FALSE(parseTxt({""}, groups, 7, defaults));
  EXPECT_EQ(defaults.group, 7u);
  EXPECT_EQ(defaults.weight, 1);
  EXPECT_EQ(defaults.state, Lifecycle::Ready);
  EXPECT_EQ(defaults.startedMs, 0);
  EXPECT_TRUE(parseTxt({}, groups, std::nullopt, instance));
  for (const char* invalid : {"group=lost", "group=70000", "group=", "weight=0", "weight=-1", "weight=nan",
                              "weight=x", "state=gone", "started=-1", "started=soon", "txtvers=2"}) {
    const auto error = parseTxt({invalid}, groups, 7, instance);
    ASSERT_TRUE(error) << invalid;
    const std::string key = std::string(invalid).substr(0, std::string(invalid).find('='));
    EXPECT_EQ(error->key, key);
    EXPECT_EQ(error->message.find(key), 0u) << error->message;
  }
  EXPECT_TRUE(parseTxt({"zone=" + std::string(64, 'z')}, groups, 7, instance));
}

}  // namespace
}  // namespace stonebay
