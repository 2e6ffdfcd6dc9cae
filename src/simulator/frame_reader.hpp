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

/// Thrown if a frame, a record or a field is truncated or invalid.
class MalformedFrame : public std::runtime_error {
 public:
  /// `offset` is in bytes from the start of the input.
  MalformedFrame(const std::string& problem, std::uint64_t offset);
  std::uint64_t offset() const { return offset_; }

 private:
  std::uint64_t offset_;
};

/// Reads consecutive fields from bytes that it does not own.
///
/// Every function that reads takes the name of the field and throws a MalformedFrame with that name if too
/// few bytes are left.
class FrameReader {
 public:
  /// `offset` is the position of the first byte, in bytes from the start of the input.
  FrameReader(const std::uint8_t* data, std::size_t size, std::uint64_t offset);

  std::size_t remaining() const { return size_ - position_; }
  /// Returns the position of the next byte, in bytes from the start of the input.
  std::uint64_t offset() const { return startOffset_ + position_; }

  /// Reads a little-endian number.
  template <typename T>
  T read(const char* field) {
    static_assert(std::is_arithmetic_v<T>);
    static_assert(__BYTE_ORDER__ == __ORDER_LITTLE_ENDIAN__,
                  "the little-endian numbers of a frame are copied without conversion");
    T value;
    std::memcpy(&value, take(sizeof(T), field), sizeof(T));
    return value;
  }
  /// Reads a time: a u64 of microseconds on the simulator's clock.
  TimePoint readTime(const char* field);
  /// Reads an endpoint's address, 4 bytes in network order, and its port, a u16.
  EndpointId readEndpointId();
  /// Reads a u8 count and as many f32 values.
  std::vector<float> readLoadReport();
  /// Reads `size` bytes of text. The result refers to the bytes that this reader was created with.
  std::string_view readText(std::size_t size, const char* field);
  /// Returns a reader for the next `size` bytes and skips them in this one.
  FrameReader readRange(std::size_t size, const char* field);
  /// Skips a field of type T.
  template <typename T>
  void skip(const char* field) {
    take(sizeof(T), field);
  }

  /// Returns the error for a complete but invalid value. Its offset is that of this reader's first byte.
  MalformedFrame invalid(const std::string& problem) const { return {problem, startOffset_}; }

 private:
  const std::uint8_t* take(std::size_t size, const char* field);

  const std::uint8_t* data_;
  std::size_t size_;
  std::size_t position_ = 0;
  std::uint64_t startOffset_;
};

}  // namespace stonebay::simulator
