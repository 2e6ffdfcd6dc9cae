#include "simulator/frame_reader.hpp"

namespace stonebay::simulator {

MalformedFrame::MalformedFrame(const std::string& problem, std::uint64_t offset)
    : std::runtime_error(problem + " at byte " + std::to_string(offset)), offset_(offset) {}

FrameReader::FrameReader(const std::uint8_t* data, std::size_t size, std::uint64_t offset)
    : data_(data), size_(size), startOffset_(offset) {}

TimePoint FrameReader::readTime(const char* field) {
  return TimePoint(Duration(static_cast<std::int64_t>(read<std::uint64_t>(field))));
}

EndpointId FrameReader::readEndpointId() {
  constexpr std::size_t kAddressBytes = 4;
  const std::uint8_t* const bytes = take(kAddressBytes + sizeof(std::uint16_t), "node");
  EndpointId address = 0;
  for (std::size_t i = 0; i < kAddressBytes; ++i) address = address << 8 | bytes[i];
  const auto port = static_cast<EndpointId>(bytes[kAddressBytes] | bytes[kAddressBytes + 1] << 8);
  return address << 16 | port;
}

std::vector<float> FrameReader::readLoadReport() {
  std::vector<float> values(read<std::uint8_t>("report length"));
  for (float& value : values) value = read<float>("report");
  return values;
}

std::string_view FrameReader::readText(std::size_t size, const char* field) {
  return {reinterpret_cast<const char*>(take(size, field)), size};
}

FrameReader FrameReader::readRange(std::size_t size, const char* field) {
  const std::uint64_t start = offset();
  return {take(size, field), size, start};
}

const std::uint8_t* FrameReader::take(std::size_t size, const char* field) {
  if (remaining() < size) throw MalformedFrame(std::string(field) + " is truncated", offset());
  const std::uint8_t* const bytes = data_ + position_;
  position_ += size;
  return bytes;
}

}  // namespace stonebay::simulator
