#include "discovery/dnssd/query_budget.hpp"

#include <algorithm>

namespace stonebay {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

bool QueryBudget::take(Time now) {
  const double seconds = static_cast<double>((now - updatedAt_).count()) / kMicrosecondsPerSecond;
  const bool unused = updatedAt_ == Time(0);
  available_ =
      unused ? queriesPerSecond_ : std::min(queriesPerSecond_, available_ + seconds * queriesPerSecond_);
  updatedAt_ = now;
  if (available_ < 1) return false;
  available_ -= 1;
  return true;
}

Time QueryBudget::availableAt() const {
  if (available_ >= 1 || queriesPerSecond_ <= 0) return Time(0);
  const double wait = (1 - available_) / queriesPerSecond_ * kMicrosecondsPerSecond;
  return updatedAt_ + Time(static_cast<std::int64_t>(wait) + 1);
}

}  // namespace stonebay
