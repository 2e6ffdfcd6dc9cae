// Records when the bytes of a client's input arrived.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// A request's deadline counts from its arrival, even if it is pipelined behind requests that take long.
/// Input that arrives within a few milliseconds counts as one arrival.
class ArrivalTimes {
 public:
  /// Records the input that has arrived by `now`. `unread` is the number of bytes that are not consumed yet.
  void record(std::size_t unread, TimePoint now);
  /// Marks the first `length` unread bytes as consumed.
  void consume(std::size_t length) { consumed_ += length; }
  /// Returns when the last consumed byte arrived. record() must have been called before.
  TimePoint arrivalOfLastConsumedByte();

 private:
  struct Arrival {
    std::uint64_t endOffset;  // number of bytes that had arrived in total
    TimePoint at;
  };
  std::uint64_t consumed_ = 0;
  std::deque<Arrival> arrivals_;
};

}  // namespace stonebay
