// Tests of the budget for retries and hedged requests.
#include "balancer/token_budget.hpp"

#include <gtest/gtest.h>

namespace stonebay::balancer {
namespace {

TEST(TokenBudget, WholeTokensAreTakenOnceFractionsAddUp) {
  TokenBudget budget(0);
  for (int deposit = 0; deposit < 3; ++deposit) budget.deposit(0.25, 1);
  EXPECT_FALSE(budget.tryTake());
  budget.deposit(0.25, 1);
  EXPECT_TRUE(budget.hasToken());
  EXPECT_TRUE(budget.tryTake());
  EXPECT_FALSE(budget.tryTake());
}

TEST(TokenBudget, TokensBeyondOneDecay) {
  TokenBudget budget(4);
  budget.deposit(0, 0.5);
  EXPECT_TRUE(budget.tryTake());
  EXPECT_TRUE(budget.tryTake());
  EXPECT_FALSE(budget.tryTake());
}

TEST(TokenBudget, OneTokenNeverDecays) {
  TokenBudget budget(1);
  for (int deposit = 0; deposit < 100; ++deposit) budget.deposit(0, 0);
  EXPECT_TRUE(budget.tryTake());
}

}  // namespace
}  // namespace stonebay::balancer
