#include "downstream/pg/arrival_times.hpp"

#include <algorithm>

namespace stonebay {
namespace {

constexpr Duration kArrivalResolution = std::chrono::milliseconds(5);

}  // namespace

void ArrivalTimes::record(std::size_t unread, TimePoint now) {
  const std::uint64_t end = consumed_ + unread;
  if (arrivals_.empty()) {
    arrivals_.push_back({end, now});
    return;
  }
  Arrival& latest = arrivals_.back();
  if (now - latest.at < kArrivalResolution)
    latest.end = std::max(latest.end, end);
  else if (end > latest.end)
    arrivals_.push_back({end, now});
}

TimePoint ArrivalTimes::ofLastConsumed() {
  while (arrivals_.size() > 1 && arrivals_.front().end < consumed_) arrivals_.pop_front();
  return arrivals_.front().at;
}

}  // namespace stonebay
