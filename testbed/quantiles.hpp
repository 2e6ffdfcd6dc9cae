// Quantiles of measured values, computed by prometheus-cpp's summary (algorithm of Cormode, Korn,
// Muthukrishnan, Srivastava 2005).
#pragma once

#include <prometheus/summary.h>

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace stonebay::testbed {

class Quantiles {
 public:
  void add(double value) {
    summary_.Observe(value);
    max_ = std::max(max_, value);
    ++count_;
  }
  std::size_t count() const { return count_; }
  double max() const { return max_; }
  /// Returns the given quantile, which must be 0.5, 0.9 or 0.99. Returns 0 for any other, or if there are no
  /// values.
  double at(double quantile) const {
    if (count_ == 0) return 0;
    for (const auto& entry : summary_.Collect().summary.quantile)
      if (entry.quantile == quantile) return entry.value;
    return 0;
  }

 private:
  prometheus::Summary summary_{{{0.5, 0.005}, {0.9, 0.005}, {0.99, 0.0005}}, std::chrono::hours(24), 1};
  double max_ = 0;
  std::size_t count_ = 0;
};

}  // namespace stonebay::testbed
