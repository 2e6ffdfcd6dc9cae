#include "util/descriptor_reserve.hpp"

#include <fcntl.h>
#include <unistd.h>

namespace stonebay {

void DescriptorReserve::hold(std::size_t count) {
  while (descriptors_.size() > count) release();
  while (descriptors_.size() < count) {
    const int descriptor = open("/dev/null", O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) return;
    descriptors_.push_back(descriptor);
  }
}

bool DescriptorReserve::release() {
  if (descriptors_.empty()) return false;
  close(descriptors_.back());
  descriptors_.pop_back();
  return true;
}

}  // namespace stonebay
