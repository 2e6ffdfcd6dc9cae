// The main loop of the program: reads batches from one descriptor and writes the replies to another.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <vector>

namespace stonebay::simulator {

/// Thrown if a reply cannot be written, for example because the reader of the output has exited.
class ReplyNotWritten : public std::runtime_error {
 public:
  ReplyNotWritten() : std::runtime_error("failed to write the reply") {}
};

/// Reads batches from a descriptor that it does not own. Each batch is preceded by its length, a u32.
class BatchReader {
 public:
  explicit BatchReader(int fd) : fd_(fd) {}

  /// Reads the next batch. Returns false if the input has ended between two batches. Throws MalformedFrame.
  bool next();
  /// Returns the batch that next() has read, without its length.
  const std::vector<std::uint8_t>& batch() const { return batch_; }
  /// Returns the position of the batch's first byte, in bytes from the start of the input.
  std::uint64_t offset() const { return offset_; }

 private:
  int fd_;
  std::vector<std::uint8_t> batch_;
  std::uint64_t offset_ = 0;
};

/// Answers batches until the input ends. Returns the exit status: 0 if the input has ended between two
/// batches, 1 after a MalformedFrame or ReplyNotWritten, which is reported in one line on standard error.
int run(int in, int out);

}  // namespace stonebay::simulator
