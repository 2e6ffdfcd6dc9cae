// Tests of the limit on a proxy process's CPU time.
#include "testbed/cpu_throttle.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>

#include "testbed/proxy_process.hpp"
#include "testbed/run_context.hpp"
#include "testbed/timer.hpp"

namespace stonebay::testbed {
namespace {

constexpr double kShare = 0.001;        // so small that the process is stopped at the first check
constexpr double kCpuProgress = 0.001;  // seconds of CPU time that show that the process runs
constexpr Time kTimeout = std::chrono::seconds(10);

class CpuThrottleTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_NE(mkdtemp(directory_), nullptr);
    std::ofstream(program()) << "#!/bin/sh\necho event=listening port=1\nwhile :; do :; done\n";
    std::filesystem::permissions(program(), std::filesystem::perms::owner_all);
  }
  void TearDown() override { std::filesystem::remove_all(directory_); }

  std::string program() const { return std::string(directory_) + "/busy"; }
  std::string logPath() const { return std::string(directory_) + "/busy.log"; }

  bool waitUntil(const std::function<bool()>& isDone) { return runUntil(context_, isDone, kTimeout); }

  RunContext context_{1};

 private:
  char directory_[32] = "/tmp/stonebay-testbed-XXXXXX";
};

// Guards against requests lost because a restarted process stayed stopped: the throttle forgot that it had
// stopped it.
TEST_F(CpuThrottleTest, ContinuesAStoppedProcessWhenItRestarts) {
  ProxyProcess process(context_, program(), "unused.ini", logPath());
  CpuThrottle throttle(context_, process, kShare);
  process.start([&throttle](int /*port*/) { throttle.start(); });
  ASSERT_TRUE(waitUntil([&throttle] { return throttle.isStopped(); }));

  throttle.start();
  const double cpuBefore = process.cpuSeconds();
  EXPECT_TRUE(waitUntil([&] { return process.cpuSeconds() > cpuBefore + kCpuProgress; }));
}

}  // namespace
}  // namespace stonebay::testbed
