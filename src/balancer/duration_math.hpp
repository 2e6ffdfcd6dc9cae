// Arithmetic that the decisions share.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "stonebay/load_balancer.hpp"

namespace stonebay::balancer {

/// A class index or an attempt number as an index into a vector.
inline std::size_t index(int number) { return static_cast<std::size_t>(number); }

/// How many times `divisor` goes into `dividend`.
inline double ratio(Duration dividend, Duration divisor) {
  return static_cast<double>(dividend.count()) / static_cast<double>(divisor.count());
}

/// The duration times the factor, rounded towards zero.
inline Duration scaled(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

/// An average that follows its values: each moves it by `weight` of the difference. 0: no value has come.
inline double smoothed(double average, double value, double weight) {
  return average > 0 ? average + weight * (value - average) : value;
}

/// Removes all elements that equal the value.
template <typename Value>
void eraseValue(std::vector<Value>& values, const Value& value) {
  values.erase(std::remove(values.begin(), values.end(), value), values.end());
}

}  // namespace stonebay::balancer
