// Reads the fields of the simulator's frames.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "stonebay/load_balancer.hpp"

namespace stonebay::simulator {

/// A frame, a record or a field that cannot be read.
class MalformedFrame : public std::runtime_error {
 public:
  /// `offset`: in bytes, from the start of the input.
  MalformedFrame(const std::string& problem, std::uint64_t offset);
  std::uint64_t offset() const { return offset_; }

 private:
  std::uint64_t offset_;
};

/// Reads fields one after the other from bytes that it does not own.
///
/// Every read takes the name of its field, for the MalformedFrame that it throws when too few bytes are left.
class FrameReader {
 public:
  /// `offset`: of the first byte, from the start of the input.
  FrameReader(const std::uint8_t* data, std::size_t size, std::uint64_t offset);

  std::size_t remaining() const { return size_ - position_; }
  /// Of the next byte, from the start of the input.
  std::uint64_t offset() const { return start_ + position_; }

  /// Reads a little-endian number.
  template <typename T>
  T read(const char* field) {
    static_assert(std::is_arithmetic_v<T>);
    static_assert(__BYTE_ORDER__ == __ORDER_LITTLE_ENDIAN__, "numbers are copied in the host's byte order");
    T value;
    std::memcpy(&value, take(sizeof(T), field), sizeof(T));
    return value;
  }
  /// Reads an instant: a u64 of microseconds on the simulator's clock.
  TimePoint readTime(const char* field);
  /// Reads an endpoint's address and port: 4 bytes, the first one first, and a u16.
  EndpointId readEndpointId();
  /// Reads a u8 count and as many f32 values.
  std::vector<float> readLoadReport();
  /// Reads `size` bytes of text, valid as long as the bytes that are read from.
  std::string_view readText(std::size_t size, const char* field);
  /// Hands out the next `size` bytes to a reader of their own.
  FrameReader readRange(std::size_t size, const char* field);
  /// Passes over a field of type T.
  template <typename T>
  void skip(const char* field) {
    take(sizeof(T), field);
  }

  /// The error for a value that could be read but has no meaning; it names the first byte of this range.
  MalformedFrame invalid(const std::string& problem) const { return {problem, start_}; }

 private:
  const std::uint8_t* take(std::size_t size, const char* field);

  const std::uint8_t* data_;
  std::size_t size_;
  std::size_t position_ = 0;
  std::uint64_t start_;
};

}  // namespace stonebay::simulator
