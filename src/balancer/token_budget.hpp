// A token budget that limits retries or hedged requests in proportion to requests.
#pragma once

#include <algorithm>

namespace stonebay::balancer {

/// Each request deposits a fraction of a token, and each retry or hedged request takes a whole one. Tokens
/// beyond one decay.
class TokenBudget {
 public:
  explicit TokenBudget(double initial) : tokens_(initial) {}

  /// Reduces the tokens to the share `retained`, in [0, 1], but not below one token, and then adds `amount`.
  void deposit(double amount, double retained) {
    tokens_ = std::max(std::min(tokens_, 1.0), tokens_ * retained) + amount;
  }
  bool hasToken() const { return tokens_ >= 1; }
  /// Takes a token. Returns false and takes nothing if there is less than one.
  bool tryTake() {
    if (!hasToken()) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_;
};

}  // namespace stonebay::balancer
