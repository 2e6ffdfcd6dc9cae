// A counter of latencies that exceed a limit.
#pragma once

#include <algorithm>

namespace stonebay::balancer {

/// Counts latencies and those among them that exceed a limit. All are in microseconds; an infinite latency
/// means that there was no response.
class MissTally {
 public:
  explicit MissTally(double limit) : limit_(limit) {}

  void add(double latency) {
    if (latency > limit_) late_ += 1;
    total_ += std::min(latency, kMaxMultiple * limit_);
    count_ += 1;
  }
  /// Replaces all latencies counted so far by a single one with their mean and their share of misses. If none
  /// were counted, that is `fallback`, counted as in time.
  void collapseToOneSample(double fallback) {
    total_ = count_ > 0 ? total_ / count_ : fallback;
    late_ = count_ > 0 ? late_ / count_ : 0;
    count_ = 1;
  }
  /// Returns the share of latencies over the limit. At least one latency must have been counted.
  double missShare() const { return late_ / count_; }
  /// Returns the mean of the latencies, each of which counts as kMaxMultiple times the limit at most.
  double meanLatency() const { return total_ / count_; }

 private:
  static constexpr double kMaxMultiple = 4;

  double limit_;
  double late_ = 0;
  double total_ = 0;
  double count_ = 0;
};

}  // namespace stonebay::balancer
