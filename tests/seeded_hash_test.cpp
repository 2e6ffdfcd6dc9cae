// Tests of the seeded hash function.
#include "balancer/seeded_hash.hpp"

#include <gtest/gtest.h>

namespace stonebay::balancer {
namespace {

TEST(SeededHash, GivesTheSameNumberForTheSameSeedAndKeys) {
  EXPECT_EQ(SeededHash(7)(1, 2), SeededHash(7)(1, 2));
  EXPECT_NE(SeededHash(7)(1, 2), SeededHash(8)(1, 2));
  EXPECT_NE(SeededHash(7)(1, 2), SeededHash(7)(2, 1));
  EXPECT_NE(SeededHash(7)(1), SeededHash(7)(2));
}

TEST(SeededHash, FractionsSpreadEvenlyOverTheUnitInterval) {
  constexpr int kDraws = 10000;
  const SeededHash hash(11);
  int lowQuarter = 0;
  double total = 0;
  for (int key = 0; key < kDraws; ++key) {
    const double fraction = hash.fraction(static_cast<std::uint64_t>(key));
    ASSERT_GE(fraction, 0);
    ASSERT_LT(fraction, 1);
    total += fraction;
    if (fraction < 0.25) ++lowQuarter;
  }
  EXPECT_NEAR(total / kDraws, 0.5, 0.02);
  EXPECT_NEAR(lowQuarter, kDraws / 4, kDraws / 40);
}

}  // namespace
}  // namespace stonebay::balancer
