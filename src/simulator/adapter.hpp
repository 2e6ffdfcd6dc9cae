// Converts the simulator's batches of events to calls of LoadBalancers, and their actions to replies. Makes
// no decisions of its own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "simulator/frame_reader.hpp"
#include "simulator/frame_writer.hpp"
#include "simulator/proxy_instance.hpp"
#include "simulator/wire_format.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay::simulator {

/// Owns all proxy instances of one process. They share the endpoint lists that the simulator defines, and
/// nothing else.
class Adapter {
 public:
  Adapter() = default;
  Adapter(const Adapter&) = delete;  // the instances hold references to reply_
  Adapter& operator=(const Adapter&) = delete;

  /// Handles the events of a batch in order and returns the reply including its header.
  ///
  /// `batch` does not include the length field. `offset` is the position of its first byte in the input and
  /// is used in error messages. Throws MalformedFrame; the effects of the events before the malformed one
  /// remain.
  std::vector<std::uint8_t> handleBatch(const std::uint8_t* batch, std::size_t size, std::uint64_t offset);

 private:
  void handleEvent(EventCode code, FrameReader& record);
  void onAttemptOutcome(FrameReader& record);
  void onInstanceStarted(FrameReader& record);
  void onGossip(FrameReader& record);
  void onEndpointListDefinition(FrameReader& record);
  void onHealthCheckResult(FrameReader& record);
  void onRequest(FrameReader& record);
  void onClientLeft(FrameReader& record);
  void onTimer(FrameReader& record);
  void onEndpointList(FrameReader& record);
  void onInstanceStopped(FrameReader& record);

  ProxyInstance* readInstance(FrameReader& record) const;
  const std::vector<EndpointUpdate>& endpointEntries(const FrameReader& record, EndpointListKind kind,
                                                     std::uint32_t definition) const;

  TimePoint now_{};    // time of the current batch
  FrameWriter reply_;  // reply to the current batch
  std::map<std::uint16_t, std::unique_ptr<ProxyInstance>> instances_;
  std::map<std::uint32_t, std::vector<EndpointUpdate>> endpointLists_;
};

}  // namespace stonebay::simulator
