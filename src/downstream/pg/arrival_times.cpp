#include "downstream/pg/arrival_times.hpp"

#include <algorithm>

namespace stonebay {
namespace {

constexpr Duration kArrivalResolution = std::chrono::milliseconds(5);

}  // namespace

void ArrivalTimes::record(std::size_t unread, TimePoint now) {
  const std::uint64_t endOffset = consumed_ + unread;
  if (arrivals_.empty()) {
    arrivals_.push_back({endOffset, now});
    return;
  }
  Arrival& latest = arrivals_.back();
  if (now - latest.at < kArrivalResolution)
    latest.endOffset = std::max(latest.endOffset, endOffset);
  else if (endOffset > latest.endOffset)
    arrivals_.push_back({endOffset, now});
}

TimePoint ArrivalTimes::arrivalOfLastConsumedByte() {
  while (arrivals_.size() > 1 && arrivals_.front().endOffset < consumed_) arrivals_.pop_front();
  return arrivals_.front().at;
}

}  // namespace stonebay
