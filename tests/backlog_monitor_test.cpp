#include "downstream/pg/backlog_monitor.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace stonebay {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};
constexpr std::size_t kMinAdmissions = 4;

// Asks the monitor every 20 ms, as the listener does, and admits `admissions` clients before each time.
// Returns the last answer.
bool mustRefuseAfter(BacklogMonitor& monitor, Duration time, int admissions) {
  bool mustRefuse = false;
  for (Duration passed{0}; passed <= time; passed += 20ms) {
    for (int k = 0; k < admissions; ++k) monitor.onAdmitted();
    mustRefuse = monitor.mustRefuse(kStart + passed);
  }
  return mustRefuse;
}

TEST(BacklogMonitor, ConnectionsForWhichNoRoomIsMadeAreRefusedAfterAShortWait) {
  BacklogMonitor monitor(kMinAdmissions);
  EXPECT_FALSE(monitor.waiting());
  EXPECT_FALSE(mustRefuseAfter(monitor, 80ms, 0));
  EXPECT_TRUE(monitor.waiting());
  EXPECT_TRUE(monitor.mustRefuse(kStart + 100ms));
  EXPECT_TRUE(monitor.mustRefuse(kStart + 120ms)) << "until no connection waits";
  monitor.onEmpty();
  EXPECT_FALSE(monitor.waiting());
  EXPECT_FALSE(monitor.mustRefuse(kStart + 140ms));
}

TEST(BacklogMonitor, ConnectionsWaitWhileClientsAreReplacedQuickly) {
  BacklogMonitor monitor(kMinAdmissions);
  EXPECT_FALSE(mustRefuseAfter(monitor, 2s, 1)) << "five in each 100 ms";
}

// Each freed place would otherwise start the wait anew, while more clients come than places are freed.
TEST(BacklogMonitor, ConnectionsAreRefusedWhileClientsAreReplacedSlowly) {
  BacklogMonitor monitor(kMinAdmissions);
  for (int k = 0; k < 10; ++k) {
    monitor.onAdmitted();
    const bool mustRefuse = monitor.mustRefuse(kStart + k * 50ms);
    EXPECT_EQ(mustRefuse, k >= 2) << k;
  }
}

}  // namespace
}  // namespace stonebay
