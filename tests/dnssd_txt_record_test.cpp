// TXT records of service instances.
#include <gtest/gtest.h>

#include "discovery/dnssd/txt_record.hpp"

namespace stonebay {
namespace {

TEST(DnsSdTxtRecord, DescribesAnInstanceAndErrorsNameTheKey) {
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
  Instance plain;
  EXPECT_FALSE(parseTxt({""}, groups, 7, plain));
  EXPECT_EQ(plain.group, 7u);
  EXPECT_EQ(plain.weight, 1);
  EXPECT_EQ(plain.state, Lifecycle::Ready);
  EXPECT_EQ(plain.startedMs, 0);
  EXPECT_TRUE(parseTxt({}, groups, std::nullopt, instance));
  for (const char* bad : {"group=lost", "group=70000", "group=", "weight=0", "weight=-1", "weight=nan",
                          "weight=x", "state=gone", "started=-1", "started=soon", "txtvers=2"}) {
    const auto error = parseTxt({bad}, groups, 7, instance);
    ASSERT_TRUE(error) << bad;
    const std::string key = std::string(bad).substr(0, std::string(bad).find('='));
    EXPECT_EQ(error->key, key);
    EXPECT_EQ(error->message.find(key), 0u) << error->message;
  }
  EXPECT_TRUE(parseTxt({"zone=" + std::string(64, 'z')}, groups, 7, instance));
}

}  // namespace
}  // namespace stonebay
