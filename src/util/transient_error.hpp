// Transient errors of system calls, and retries.
#pragma once

#include <cerrno>
#include <chrono>
#include <thread>

namespace stonebay {

/// Returns whether a call that failed with this error may soon succeed: file descriptors, buffers or memory
/// were exhausted, or the call was interrupted.
inline bool isTransientError(int error) {
  return error == ENFILE || error == EMFILE || error == ENOBUFS || error == ENOMEM || error == EINTR ||
         error == EAGAIN;
}

/// Calls `open` until it succeeds (its result converts to true), fails with an error that is not transient,
/// or has been tried for about a second. Returns the last result; errno is that of the last call. Blocks, so
/// it must only be used while the process starts.
template <typename Open>
auto retryWhileTransient(const Open& open) {
  constexpr std::chrono::milliseconds kRetryInterval(20);
  constexpr int kMaxAttempts = 50;
  auto result = open();
  for (int attempt = 1; !result && isTransientError(errno) && attempt < kMaxAttempts; ++attempt) {
    std::this_thread::sleep_for(kRetryInterval);
    result = open();
  }
  return result;
}

}  // namespace stonebay
