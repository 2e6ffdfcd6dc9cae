// When the bytes of a client's input arrived.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// A request's deadline counts from its arrival, though it may be pipelined behind others that take long.
/// Input that arrives within some ms counts as one arrival.
class ArrivalTimes {
 public:
  /// Notes the input that has arrived by now: `unread` bytes wait to be consumed.
  void record(std::size_t unread, TimePoint now);
  /// The first `length` bytes of the input have been taken.
  void consume(std::size_t length) { consumed_ += length; }
  /// When the last byte that has been consumed arrived. Something must have been recorded.
  TimePoint ofLastConsumed();

 private:
  struct Arrival {
    std::uint64_t end;  // bytes that had arrived in all
    TimePoint at;
  };
  std::uint64_t consumed_ = 0;
  std::deque<Arrival> arrivals_;
};

}  // namespace stonebay
