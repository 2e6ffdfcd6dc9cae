// A container for the latest values of a series.
#pragma once

#include <cstddef>
#include <vector>

namespace stonebay::balancer {

/// Keeps the latest `Capacity` values, oldest first.
template <typename Value, std::size_t Capacity>
class FixedWindow {
 public:
  /// Adds a value; removes the oldest one if the window is full.
  void push(const Value& value) {
    if (values_.size() == Capacity) values_.erase(values_.begin());
    values_.push_back(value);
  }
  void clear() { values_.clear(); }
  bool empty() const { return values_.empty(); }
  std::size_t size() const { return values_.size(); }
  /// The latest value; the window must not be empty.
  const Value& back() const { return values_.back(); }
  auto begin() const { return values_.begin(); }
  auto end() const { return values_.end(); }

 private:
  std::vector<Value> values_;
};

}  // namespace stonebay::balancer
