#include "simulator/host.hpp"

#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <exception>
#include <string>

#include "simulator/adapter.hpp"
#include "simulator/frame_reader.hpp"
#include "simulator/wire_format.hpp"

namespace stonebay::simulator {
namespace {

constexpr std::uint32_t kMaxBatchBytes = 1U << 30;

// Reads `size` bytes. Returns the number of bytes read, which is smaller if the input ends or fails.
std::size_t readFully(int fd, std::uint8_t* bytes, std::size_t size) {
  std::size_t received = 0;
  while (received < size) {
    const ssize_t n = ::read(fd, bytes + received, size - received);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    received += static_cast<std::size_t>(n);
  }
  return received;
}

void writeFully(int fd, const std::vector<std::uint8_t>& bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t n = ::write(fd, bytes.data() + written, bytes.size() - written);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) throw ReplyNotWritten();
    written += static_cast<std::size_t>(n);
  }
}

void reportError(const std::exception& error) {
  std::fprintf(stderr, "stonebay_simhost: %s\n", error.what());
}

}  // namespace

bool BatchReader::next() {
  const std::uint64_t start = offset_ + batch_.size();
  std::uint32_t size = 0;
  std::uint8_t length[sizeof size];
  const std::size_t lengthReceived = readFully(fd_, length, sizeof length);
  if (lengthReceived == 0) return false;
  if (lengthReceived < sizeof length)
    throw MalformedFrame("input ends inside a frame's length", start + lengthReceived);
  std::memcpy(&size, length, sizeof size);
  if (size < kClockBytes || size > kMaxBatchBytes)
    throw MalformedFrame("invalid frame length " + std::to_string(size), start);

  offset_ = start + sizeof length;
  batch_.resize(size);
  const std::size_t received = readFully(fd_, batch_.data(), size);
  if (received < size) throw MalformedFrame("input ends inside a frame", offset_ + received);
  return true;
}

int run(int in, int out) {
  Adapter adapter;
  BatchReader reader(in);
  try {
    while (reader.next())
      writeFully(out, adapter.handleBatch(reader.batch().data(), reader.batch().size(), reader.offset()));
  } catch (const MalformedFrame& error) {
    reportError(error);
    return 1;
  } catch (const ReplyNotWritten& error) {
    reportError(error);
    return 1;
  }
  return 0;
}

}  // namespace stonebay::simulator
