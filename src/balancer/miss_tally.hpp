// Counts latencies against a budget.
#pragma once

#include <algorithm>

namespace stonebay::balancer {

/// Counts the latencies that miss a limit. All are in microseconds; an infinite one was never answered.
class MissTally {
 public:
  explicit MissTally(double limit) : limit_(limit) {}

  void add(double latency) {
    if (latency > limit_) late_ += 1;
    total_ += std::min(latency, kMaxMultiple * limit_);
    count_ += 1;
  }
  /// Makes one sample of all that was counted; of `fallback`, as one that is in time, where nothing was.
  void condense(double fallback) {
    total_ = count_ > 0 ? total_ / count_ : fallback;
    late_ = count_ > 0 ? late_ / count_ : 0;
    count_ = 1;
  }
  /// The share that missed; something must have been counted.
  double missShare() const { return late_ / count_; }
  /// The mean latency, each latency counted with a few times the limit at most.
  double meanLatency() const { return total_ / count_; }

 private:
  static constexpr double kMaxMultiple = 4;

  double limit_;
  double late_ = 0;
  double total_ = 0;
  double count_ = 0;
};

}  // namespace stonebay::balancer
