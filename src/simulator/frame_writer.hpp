// Writes the simulator's replies.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <type_traits>
#include <vector>

#include "simulator/wire_format.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay::simulator {

/// Builds one reply: a header with the number of records and their total size in bytes, then the records.
class FrameWriter {
 public:
  FrameWriter();

  /// Ends the open record, if there is one, and begins a new one.
  void beginRecord(ActionCode code, std::uint16_t instance);
  /// Appends a little-endian number to the open record.
  template <typename T>
  void put(T value) {
    static_assert(std::is_arithmetic_v<T>);
    static_assert(__BYTE_ORDER__ == __ORDER_LITTLE_ENDIAN__,
                  "the little-endian numbers of a frame are copied without conversion");
    const auto* const bytes = reinterpret_cast<const std::uint8_t*>(&value);
    bytes_.insert(bytes_.end(), bytes, bytes + sizeof(T));
  }
  /// Appends an endpoint's address and port; see FrameReader::readEndpointId.
  void putEndpointId(EndpointId id);
  /// Appends a u16 length and the text, truncated to kMaxTextBytes.
  void putText(std::string_view text);
  /// Ends the reply and returns its bytes. Afterwards the writer may only be assigned to or destroyed.
  std::vector<std::uint8_t> finish();

  static constexpr std::size_t kMaxTextBytes = 60000;

 private:
  void endRecord();
  void overwrite(std::size_t position, std::uint32_t value);

  std::vector<std::uint8_t> bytes_;
  std::size_t openRecordLengthPosition_ = 0;  // index of the open record's length field; 0 if none is open
  std::uint32_t recordCount_ = 0;
};

}  // namespace stonebay::simulator
