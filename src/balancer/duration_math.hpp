// Arithmetic and container helpers for the decision module.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "stonebay/load_balancer.hpp"

namespace stonebay::balancer {

/// Converts a class index or an attempt number to an index into a vector.
inline std::size_t index(int number) { return static_cast<std::size_t>(number); }

/// Returns `dividend` divided by `divisor`.
inline double ratio(Duration dividend, Duration divisor) {
  return static_cast<double>(dividend.count()) / static_cast<double>(divisor.count());
}

/// Returns the duration multiplied by the factor, rounded towards zero.
inline Duration scaled(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

/// Returns the exponential moving average after a new value with the given weight. An average of 0 means that
/// there was no value before.
inline double smoothed(double average, double value, double weight) {
  return average > 0 ? average + weight * (value - average) : value;
}

/// Removes all elements that equal the value.
template <typename Value>
void eraseValue(std::vector<Value>& values, const Value& value) {
  values.erase(std::remove(values.begin(), values.end(), value), values.end());
}

}  // namespace stonebay::balancer
