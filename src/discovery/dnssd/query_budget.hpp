// A token bucket that limits the rate of DNS queries.
#pragma once

#include "stonebay/load_balancer.hpp"
#include "util/clock.hpp"

namespace stonebay {

/// Allows a number of queries per second, and bursts of up to the number of one second. Pure.
class QueryBudget {
 public:
  explicit QueryBudget(double queriesPerSecond) : queriesPerSecond_(queriesPerSecond) {}

  /// Takes one query from the budget. Returns false if the budget is exhausted.
  bool take(Time now);
  /// Returns when the next query is available; 0 if one is available now, or if the budget allows no queries.
  Time availableAt() const;

 private:
  const double queriesPerSecond_;
  double available_ = 0;
  Time updatedAt_{};  // 0: never used, the budget is full
};

}  // namespace stonebay
