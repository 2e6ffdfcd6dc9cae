// A file descriptor with a unique owner.
#pragma once

#include <unistd.h>

#include <utility>

namespace stonebay::testbed {

/// Closes the descriptor on destruction.
class UniqueFd {
 public:
  UniqueFd() = default;
  explicit UniqueFd(int fd) : fd_(fd) {}
  UniqueFd(UniqueFd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  UniqueFd& operator=(UniqueFd&& other) noexcept {
    std::swap(fd_, other.fd_);
    other.reset();
    return *this;
  }
  UniqueFd(const UniqueFd&) = delete;
  UniqueFd& operator=(const UniqueFd&) = delete;
  ~UniqueFd() { reset(); }

  int get() const { return fd_; }
  bool isOpen() const { return fd_ >= 0; }
  void reset() {
    if (isOpen()) ::close(fd_);
    fd_ = -1;
  }

 private:
  int fd_ = -1;
};

}  // namespace stonebay::testbed
