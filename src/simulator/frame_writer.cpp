#include "simulator/frame_writer.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

namespace stonebay::simulator {
namespace {

constexpr std::size_t kCountBytes = sizeof(std::uint32_t);
constexpr std::size_t kHeaderBytes = 2 * kCountBytes;  // number of records, number of bytes

}  // namespace

FrameWriter::FrameWriter() : bytes_(kHeaderBytes) {}

void FrameWriter::beginRecord(ActionCode code, std::uint16_t instance) {
  endRecord();
  put(static_cast<std::uint8_t>(code));
  openLengthAt_ = bytes_.size();
  put(std::uint32_t{0});
  put(instance);
  ++recordCount_;
}

void FrameWriter::putEndpointId(EndpointId id) {
  constexpr int kPortBits = 16;
  for (int shift = 24; shift >= 0; shift -= 8) put(static_cast<std::uint8_t>(id >> (kPortBits + shift)));
  put(static_cast<std::uint16_t>(id));
}

void FrameWriter::putText(std::string_view text) {
  const std::string_view kept = text.substr(0, kMaxTextBytes);
  put(static_cast<std::uint16_t>(kept.size()));
  bytes_.insert(bytes_.end(), kept.begin(), kept.end());
}

std::vector<std::uint8_t> FrameWriter::finish() {
  endRecord();
  overwrite(0, recordCount_);
  overwrite(kCountBytes, static_cast<std::uint32_t>(bytes_.size() - kHeaderBytes));
  return std::move(bytes_);
}

void FrameWriter::endRecord() {
  if (openLengthAt_ == 0) return;
  overwrite(openLengthAt_, static_cast<std::uint32_t>(bytes_.size() - openLengthAt_ - kCountBytes));
  openLengthAt_ = 0;
}

void FrameWriter::overwrite(std::size_t position, std::uint32_t value) {
  std::memcpy(&bytes_[position], &value, sizeof value);
}

}  // namespace stonebay::simulator
