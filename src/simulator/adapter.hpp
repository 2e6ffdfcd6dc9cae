// Translates the simulator's batches of events into calls of LoadBalancers, and their actions into replies.
// Decides nothing.
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

/// All instances of one process. They share the endpoint lists that the simulator defines, and nothing else.
class Adapter {
 public:
  Adapter() = default;
  Adapter(const Adapter&) = delete;  // instances refer to the reply
  Adapter& operator=(const Adapter&) = delete;

  /// Handles the events of a batch in their order and returns the reply, header included.
  ///
  /// The batch comes without its length field; `offset` is that of its first byte in the input, for errors.
  /// Throws MalformedFrame; what the batch has changed until then stays.
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

  TimePoint now_{};    // of this batch
  FrameWriter reply_;  // to this batch
  std::map<std::uint16_t, std::unique_ptr<ProxyInstance>> instances_;
  std::map<std::uint32_t, std::vector<EndpointUpdate>> endpointLists_;
};

}  // namespace stonebay::simulator
