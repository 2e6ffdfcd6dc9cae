// Parsing of the configuration files: the resulting Config, and error messages with line, key and correction.
#include "config/config.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "sample_settings.hpp"
#include "scenario.hpp"

namespace stonebay {
namespace {

using std::chrono::microseconds;
using test::kSampleSettings;

std::string withReplaced(const std::string& from, const std::string& to) {
  std::string text = kSampleSettings;
  const auto offset = text.find(from);
  EXPECT_NE(offset, std::string::npos) << from;
  return text.replace(offset, from.size(), to);
}
// Returns all errors in the text, one per line.
std::string settingsErrors(const std::string& text) {
  try {
    parseSettings(text, "f.ini");
  } catch (const InvalidSettings& e) {
    std::string errors;
    for (const ConfigError& error : e.errors) errors += error.text() + "\n";
    return errors;
  }
  return "";
}

TEST(ConfigTest, ReloadSkipsInitialEndpoints) {
  const std::string json = test::configuration({}, 8500, {1, 2, 3});
  EXPECT_EQ(parseConfig(json).initialEndpoints.instances.size(), 3u);
  const Config reloaded = parseConfig(json, InitialEndpoints::Skip);
  EXPECT_TRUE(reloaded.initialEndpoints.instances.empty());
  EXPECT_EQ(reloaded.discovery, parseConfig(json).discovery);
}

TEST(Settings, DefaultsEqualThoseOfTheJsonFormat) {
  const Config fromIni = parseSettings(kSampleSettings, "f.ini");
  EXPECT_EQ(fromIni.name, "desk-1");
  EXPECT_EQ(fromIni.discovery.text(), "127.0.0.1:8500");
  EXPECT_EQ(fromIni.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(fromIni.classes, (std::vector<std::string>{"tour-read", "handset-write"}));
  ASSERT_EQ(fromIni.initialEndpoints.instances.size(), 2u);
  EXPECT_EQ(fromIni.initialEndpoints.instances[0].group, 3u);
  EXPECT_EQ(fromIni.initialEndpoints.instances[1].address.text(), "[::1]:6002");
  const auto& write = fromIni.settings.classes[1];
  EXPECT_EQ(write.consistency, Consistency::Write);
  EXPECT_EQ(write.deduplicationWindow, microseconds(2000000));
  EXPECT_EQ(write.latePriorityShare, 0.5);

  // The platform's JSON configuration sets these to the values that are the defaults of the INI format.
  test::Setting limits;
  limits.memoryMb = 64;
  const Config fromJson = parseConfig(test::configuration(limits, 8500, {}));
  EXPECT_EQ(fromIni.maxClientConnections, fromJson.maxClientConnections);
  EXPECT_EQ(fromIni.maxServerConnections, fromJson.maxServerConnections);
  EXPECT_EQ(fromIni.maxLargeStatementBytes, fromJson.maxLargeStatementBytes);
  EXPECT_EQ(fromIni.connectTimeout, fromJson.connectTimeout);
  EXPECT_EQ(fromIni.idleTimeout, fromJson.idleTimeout);
  EXPECT_EQ(fromIni.reportNames, fromJson.reportNames);
  const Settings& ini = fromIni.settings;
  const Settings& json = fromJson.settings;
  EXPECT_EQ(ini.reportFields, json.reportFields);
  EXPECT_EQ(ini.staleReadPolicy, json.staleReadPolicy);
  EXPECT_EQ(ini.discovery, json.discovery);
  EXPECT_EQ(ini.reports, json.reports);
  EXPECT_EQ(ini.maxAttempts, json.maxAttempts);
  EXPECT_EQ(ini.drainGracePeriod, json.drainGracePeriod);
  EXPECT_EQ(ini.slowStartWindow, json.slowStartWindow);
  EXPECT_EQ(ini.overloadWindow, json.overloadWindow);
  EXPECT_EQ(ini.maxPollInterval, json.maxPollInterval);
  EXPECT_EQ(ini.maxRetryAfter, json.maxRetryAfter);
  EXPECT_EQ(ini.clockResolution, json.clockResolution);
  EXPECT_EQ(ini.initialCapacity, json.initialCapacity);
  EXPECT_EQ(ini.overloadFactor, json.overloadFactor);
  EXPECT_EQ(ini.totalServedGoalWeight, json.totalServedGoalWeight);
  EXPECT_EQ(ini.worstClassGoalWeight, json.worstClassGoalWeight);
  EXPECT_EQ(ini.positionsInResponses, json.positionsInResponses);
  EXPECT_EQ(ini.requestsCarrySessionToken, json.requestsCarrySessionToken);
  EXPECT_EQ(ini.healthChecksAllowed && ini.cancellationAllowed && ini.retryAfterAllowed,
            json.healthChecksAllowed && json.cancellationAllowed && json.retryAfterAllowed);
}

TEST(Settings, ErrorsNameFileLineKeyAndCorrection) {
  EXPECT_EQ(settingsErrors(kSampleSettings), "");
  const std::vector<std::pair<std::string, std::string>> cases{
      {withReplaced("aim = 400ms", "aim = 400"),
       "f.ini:22: [class tour-read] aim: '400' has no unit; write a number with us, ms, s, min, h or d, such "
       "as 250ms"},
      {withReplaced("aim = 400ms", "aim = 4MB"),
       "f.ini:22: [class tour-read] aim: '4MB' is a size, not a duration"},
      {withReplaced("aim = 400ms", "aim = -4ms"), "f.ini:22: [class tour-read] aim: '-4ms' is negative"},
      {withReplaced("aim = 400ms", "aim = 5000h"),
       "f.ini:22: [class tour-read] aim: '5000h' is out of range; write 1ms to 1h"},
      {withReplaced("give_up = 1.2s", "give_up = 100ms"),
       "f.ini:23: [class tour-read] give_up: it is shorter than aim; make it at least as long as aim"},
      {withReplaced("max_age = 200ms\n", ""),
       "f.ini:18: [class tour-read] max_age: it is required with data = bounded"},
      {withReplaced("data = bounded", "data = bonded"),
       "f.ini:19: [class tour-read] data: 'bonded' is not one of any, bounded, session, fresh, write; did "
       "you mean 'bounded'?"},
      {withReplaced("repeats = keyed", "repeats = safe"),
       "f.ini:26: [class handset-write] repeats: a write with repeats = safe"},
      {withReplaced("repeats_dropped_for = 2s\n", ""),
       "f.ini:24: [class handset-write] repeats_dropped_for: it is required with repeats = keyed"},
      {withReplaced("worth = 6", "wroth = 6"),
       "f.ini:30: [class handset-write] wroth: there is no such key; did you mean 'worth'?"},
      {withReplaced("[class tour-read]", "[clas tour-read]"),
       "f.ini:18: [clas tour-read]: there is no such section; did you mean [class]?"},
      {withReplaced("[class tour-read]", "[class]"),
       "f.ini:18: [class]: it needs a name; write [class NAME]"},
      {withReplaced("[proxy]", "[proxy east]"), "f.ini:2: [proxy east]: it takes no name; write [proxy]"},
      {withReplaced("name = desk-1\n", ""),
       "f.ini:2: [proxy] name: it is missing; add name = ... to [proxy]"},
      {withReplaced("listen = 127.0.0.1:0", "listen = desk.example:5432"),
       "f.ini:4: [proxy] listen: 'desk.example:5432' is not an address with a port; write it as "
       "10.1.0.18:5432 or [fd00::18]:5432; host names are not resolved"},
      {withReplaced("registry = 127.0.0.1:8500", ""),
       "f.ini:7: [discovery] registry: it is required with source = registry"},
      {withReplaced("group = rentals", "group = rental"),
       "f.ini:13: [member s-1] group: 'rental' is neither a [group] nor a number up to 65535; add [group "
       "rental]"},
      {withReplaced("[::1]:6002", "127.0.0.1:6001"),
       "f.ini:16: [member s-2] address: [member s-1] already has this address"},
      {withReplaced("[member s-2]", "[member s-1]"),
       "f.ini:15: [member s-1]: the section already begins on line 11; move its keys there"},
      {withReplaced("zones = ruwi, seeb", "zones = ruwi, seeb\nname = other"),
       "f.ini:6: [proxy] name: it is already set on line 3; keep one of the two"},
      {withReplaced("number = 3", "number = three"),
       "f.ini:10: [group rentals] number: 'three' is not a whole number"},
      {withReplaced("seed = 8c1f30d27a5be964", "seed = twelve"),
       "f.ini:6: [proxy] seed: 'twelve' is not a hexadecimal number"},
      {withReplaced("late_worth = 50%", "late_worth = 150%"),
       "f.ini:31: [class handset-write] late_worth: '150%' is out of range; write 0% to 100%"},
      {withReplaced("zones = ruwi, seeb", "zones"), "f.ini:5: neither a [section] nor key = value"},
      {withReplaced("zones = ruwi", "zones = " + std::string(400, 'z')), "f.ini:5: the line is longer than"},
      {"name = x\n" + kSampleSettings,
       "f.ini:1: a key before the first section; begin with a section such as [proxy]"},
      {"", "f.ini: there is no [class NAME]"},
  };
  for (const auto& [text, expected] : cases)
    EXPECT_NE(settingsErrors(text).find(expected), std::string::npos)
        << "expected " << expected << "\ngot " << settingsErrors(text);
}

// Reporting all errors at once lets the operator correct the file in one round.
TEST(Settings, AllErrorsAreReportedInLineOrder) {
  std::string text = withReplaced("aim = 400ms", "aim = soon");
  text.replace(text.find("worth = 6"), 9, "worth = much");
  const std::string errors = settingsErrors(text);
  EXPECT_EQ(std::count(errors.begin(), errors.end(), '\n'), 2) << errors;
  EXPECT_LT(errors.find("f.ini:22"), errors.find("f.ini:30"));
  try {
    parseSettings(text, "f.ini");
    FAIL() << "no error was reported";
  } catch (const InvalidInput& e) {
    EXPECT_NE(std::string(e.what()).find("(and 1 more)"), std::string::npos);
    EXPECT_EQ(std::string(e.what()).find('\n'), std::string::npos);
  }
}

// The operators' page is the output of `stonebay check --keys`.
TEST(Settings, OperatorsPageMatchesTheSchema) {
  std::ifstream file(STONEBAY_SOURCE "/docs/operators/settings.md");
  std::stringstream page;
  page << file.rdbuf();
  EXPECT_NE(page.str().find(settingsPage()), std::string::npos)
      << "docs/operators/settings.md differs from `stonebay check --keys`";
}

}  // namespace
}  // namespace stonebay
