// File descriptors that are held for use when the process can open no others.
#pragma once

#include <cstddef>
#include <vector>

namespace stonebay {

/// Holds open file descriptors, so that some can be made available while the descriptor table is full.
class DescriptorReserve {
 public:
  DescriptorReserve() = default;
  /// Closes all that are held.
  ~DescriptorReserve() { hold(0); }
  DescriptorReserve(const DescriptorReserve&) = delete;
  DescriptorReserve& operator=(const DescriptorReserve&) = delete;

  /// Opens or closes descriptors until `count` are held. Holds fewer if the process can open no more.
  void hold(std::size_t count);
  /// Closes one, so that another one can be opened. Returns false if none is held.
  bool release();

 private:
  std::vector<int> descriptors_;
};

}  // namespace stonebay
