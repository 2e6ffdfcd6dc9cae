// Parsing and formatting of values with units.
#include "util/units.hpp"

#include <gtest/gtest.h>

#include <cstdint>

namespace stonebay {
namespace {

using std::chrono::microseconds;

TEST(Units, FormattedValuesParseToTheSameValues) {
  for (const std::int64_t us :
       {0L, 1L, 999L, 1000L, 1500L, 250000L, 60000000L, 90000000L, 3600000000L, 86400000000L})
    EXPECT_EQ(std::get<microseconds>(parseDuration(formatDuration(microseconds(us)))), microseconds(us));
  for (const std::uint64_t n :
       {std::uint64_t{1}, std::uint64_t{1023}, std::uint64_t{24} << 20, std::uint64_t{3} << 30})
    EXPECT_EQ(std::get<std::uint64_t>(parseSize(formatSize(n))), n);
  EXPECT_EQ(std::get<microseconds>(parseDuration("1.5 s")), microseconds(1500000));
  EXPECT_TRUE(std::holds_alternative<ValueError>(parseDuration("1e400s")));
  EXPECT_TRUE(std::holds_alternative<ValueError>(parseDuration("99999999999h")));
  EXPECT_TRUE(std::holds_alternative<ValueError>(parseSize("0.3B")));
}

}  // namespace
}  // namespace stonebay
