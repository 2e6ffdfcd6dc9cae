// Tests of the window of latest values.
#include "balancer/fixed_window.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace stonebay::balancer {
namespace {

TEST(FixedWindow, KeepsTheLatestValuesOldestFirst) {
  FixedWindow<int, 3> window;
  EXPECT_TRUE(window.empty());
  for (int value = 1; value <= 5; ++value) window.push(value);
  EXPECT_EQ(std::vector<int>(window.begin(), window.end()), (std::vector<int>{3, 4, 5}));
  EXPECT_EQ(window.back(), 5);
  EXPECT_EQ(window.size(), 3U);
}

TEST(FixedWindow, IsEmptyOnceCleared) {
  FixedWindow<int, 3> window;
  window.push(1);
  window.clear();
  EXPECT_TRUE(window.empty());
  window.push(2);
  EXPECT_EQ(window.back(), 2);
}

}  // namespace
}  // namespace stonebay::balancer
