#include "simulator/frame_writer.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

namespace stonebay::simulator {
namespace {

constexpr std::size_t kCountBytes = sizeof(std::uint32_t);
constexpr std::size_t kHeaderBytes = 2 * kCountBytes;  // number of records, size of the records in bytes

}  // namespace

FrameWriter::FrameWriter() : bytes_(kHeaderBytes) {}

void FrameWriter::beginRecord(ActionCode code, std::uint16_t instance) {
  endRecord();
  put(static_cast<std::uint8_t>(code));
  openRecordLengthPosition_ = bytes_.size();
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
  const std::string_view truncated = text.substr(0, kMaxTextBytes);
  put(static_cast<std::uint16_t>(truncated.size()));
  bytes_.insert(bytes_.end(), truncated.begin(), truncated.end());
}

std::vector<std::uint8_t> FrameWriter::finish() {
  endRecord();
  overwrite(0, recordCount_);
  overwrite(kCountBytes, static_cast<std::uint32_t>(bytes_.size() - kHeaderBytes));
  return std::move(bytes_);
}

void FrameWriter::endRecord() {
  if (openRecordLengthPosition_ == 0) return;
  overwrite(openRecordLengthPosition_,
            static_cast<std::uint32_t>(bytes_.size() - openRecordLengthPosition_ - kCountBytes));
  openRecordLengthPosition_ = 0;
}

void FrameWriter::overwrite(std::size_t position, std::uint32_t value) {
  std::memcpy(&bytes_[position], &value, sizeof value);
}

}  // namespace stonebay::simulator
