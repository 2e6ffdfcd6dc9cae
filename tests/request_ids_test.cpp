// Tests of the ids that clients gave to their requests.
#include "downstream/pg/request_ids.hpp"

#include <gtest/gtest.h>

#include <string>

namespace stonebay {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

TEST(RequestIds, IdIsKnownWhileItsRequestIsInFlight) {
  RequestIds ids;
  ids.begin("a");
  EXPECT_TRUE(ids.contains("a"));
  ids.end("a", false, kStart);
  EXPECT_FALSE(ids.contains("a"));
}

TEST(RequestIds, IdThatMayRunOnlyOnceIsRememberedForAWhile) {
  RequestIds ids;
  ids.begin("a");
  ids.end("a", true, kStart);
  ids.end("b", true, kStart + RequestIds::kMinMemory - seconds(1));
  EXPECT_TRUE(ids.contains("a"));
  ids.end("c", true, kStart + RequestIds::kMinMemory);
  EXPECT_TRUE(ids.contains("a"));
  EXPECT_TRUE(ids.contains("b"));
  ids.end("d", true, kStart + 2 * RequestIds::kMinMemory);
  EXPECT_FALSE(ids.contains("a"));
  EXPECT_TRUE(ids.contains("d"));
}

// Guards against memory that grows with the ids that clients send.
TEST(RequestIds, NumberOfRememberedIdsIsBounded) {
  RequestIds ids;
  for (int k = 0; k < 200000; ++k) ids.end(std::to_string(k), true, kStart);
  EXPECT_LE(ids.recentCount(), 2 * RequestIds::kMaxRecent);
  EXPECT_TRUE(ids.contains("199999"));
}

}  // namespace
}  // namespace stonebay
