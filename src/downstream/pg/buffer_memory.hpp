// Counts the memory of the buffers of all clients.
#pragma once

#include <cstddef>

namespace stonebay {

/// Counts the bytes in the buffers of all clients: input that is not processed, and output that is not sent.
class BufferMemory {
 public:
  explicit BufferMemory(std::size_t capacity) : capacity_(capacity) {}
  void add(std::size_t bytes) { usedBytes_ += bytes; }
  void remove(std::size_t bytes) { usedBytes_ -= bytes; }
  /// Whether the limit is reached. No further request is accepted until clients have read their output or
  /// have been evicted.
  bool exhausted() const { return usedBytes_ >= capacity_; }

 private:
  const std::size_t capacity_;
  std::size_t usedBytes_ = 0;
};

}  // namespace stonebay
