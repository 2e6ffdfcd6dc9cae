// The program's loop: batches from one descriptor, replies to another.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <vector>

namespace stonebay::simulator {

/// A reply could not be written: whoever reads the output has gone.
class ReplyNotWritten : public std::runtime_error {
 public:
  ReplyNotWritten() : std::runtime_error("the reply could not be written") {}
};

/// Reads batches, each behind a u32 of its length, from a descriptor that it does not own.
class BatchReader {
 public:
  explicit BatchReader(int fd) : fd_(fd) {}

  /// Reads the next batch; false when the input has ended between two. Throws MalformedFrame.
  bool next();
  /// The batch that next() has read, without its length.
  const std::vector<std::uint8_t>& batch() const { return batch_; }
  /// Of the batch's first byte, from the start of the input.
  std::uint64_t offset() const { return offset_; }

 private:
  int fd_;
  std::vector<std::uint8_t> batch_;
  std::uint64_t offset_ = 0;
};

/// Answers batches until the input ends. Returns the exit status: 0 when it ended between two batches, 1
/// after a MalformedFrame or ReplyNotWritten, which goes to standard error in one line.
int run(int in, int out);

}  // namespace stonebay::simulator
