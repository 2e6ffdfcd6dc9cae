// A token bucket for DNS queries.
#pragma once

#include "stonebay/load_balancer.hpp"
#include "util/clock.hpp"

namespace stonebay {

/// Allows a number of queries a second; what one second leaves unused may be spent in a burst. Pure.
class QueryBudget {
 public:
  explicit QueryBudget(double queriesPerSecond) : queriesPerSecond_(queriesPerSecond) {}

  /// Takes one query out of the budget; false when it is exhausted.
  bool take(Time now);
  /// When the budget has the next query; 0: now, or never.
  Time availableAt() const;

 private:
  const double queriesPerSecond_;
  double available_ = 0;
  Time updatedAt_{};  // 0: not used yet, the budget is full
};

}  // namespace stonebay
