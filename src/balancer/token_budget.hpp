// A budget that requests pay into and retries draw on.
#pragma once

#include <algorithm>

namespace stonebay::balancer {

/// Fractions of a token are deposited, whole ones are taken. What exceeds one token decays.
class TokenBudget {
 public:
  explicit TokenBudget(double initial) : tokens_(initial) {}

  /// `retained`: the share of an excess that is left since the last deposit, in [0, 1].
  void deposit(double amount, double retained) {
    tokens_ = std::max(std::min(tokens_, 1.0), tokens_ * retained) + amount;
  }
  bool hasToken() const { return tokens_ >= 1; }
  /// False, and nothing is taken, where there is less than one token.
  bool tryTake() {
    if (!hasToken()) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_;
};

}  // namespace stonebay::balancer
