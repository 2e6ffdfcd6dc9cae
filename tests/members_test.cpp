// The output of `stonebay members`.
#include "app/members.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "sample_settings.hpp"

namespace stonebay {
namespace {

TEST(MembersCommand, PrintsATableAndJson) {
  const Config config = parseSettings(test::kSampleSettings, "f.ini");
  EndpointTracker tracker;
  std::vector<Instance> instances = config.initialEndpoints.instances;
  instances[1].state = Lifecycle::Draining;
  instances[1].startedMs = 1767225600123;
  instances[1].kind = "a\"\xff";
  instances.push_back(instances[0]);
  instances.back().name = "s-3";
  const Time now = std::chrono::hours(24 * 365 * 60);
  tracker.onSnapshot(now, instances);
  tracker.takeUpdate(now);
  const MembersView view{tracker.view(now), {{"s-4", "TXT: bad"}}, now + std::chrono::milliseconds(1500)};
  const std::string table = membersTable(config, view);
  EXPECT_NE(table.find("s-1   127.0.0.1:6001  rentals  ruwi"), std::string::npos) << table;
  EXPECT_NE(table.find("leaving  2026-01-01T00:00:00Z"), std::string::npos) << table;
  EXPECT_NE(table.find("another has its address\n"), std::string::npos) << table;
  EXPECT_NE(table.find("2 data servers, 2 left out; last update 1.5 s ago\n"), std::string::npos) << table;
  const std::string json = membersJson(config, view);
  EXPECT_NE(json.find("\"group_name\": \"rentals\""), std::string::npos) << json;
  EXPECT_NE(json.find("\"started_ms\": 1767225600123"), std::string::npos);
  EXPECT_NE(json.find("\"left_out\": \"TXT: bad\""), std::string::npos);
  EXPECT_NE(json.find("\"list_age_ms\": 1500"), std::string::npos);
}

}  // namespace
}  // namespace stonebay
