// The constants of the simulator's wire format: record codes, outcome codes and sizes.
//
// All integers and floats are little-endian. The comment after each record code is the record's name in the
// documentation of the wire format.
#pragma once

#include <cstddef>
#include <cstdint>

namespace stonebay::simulator {

/// Codes of the records in a batch.
enum class EventCode : std::uint8_t {
  AttemptOutcome = 1,          ///< ReportBack
  ResponseStarted = 2,         ///< Established
  InstanceStarted = 3,         ///< Provision
  Gossip = 4,                  ///< FromPeer
  EndpointListDefinition = 5,  ///< DefineList
  HealthCheckResult = 6,       ///< Health
  Request = 7,                 ///< Order
  ClientLeft = 8,              ///< CancelledByClient
  Timer = 9,                   ///< Bell
  EndpointList = 10,           ///< Fleet
  InstanceStopped = 11,        ///< Stop
};

/// Codes of the records in a reply.
enum class ActionCode : std::uint8_t {
  Send = 65,            ///< Dispatch
  Reject = 66,          ///< Refuse
  Fail = 67,            ///< Error
  Cancel = 68,          ///< Recall
  ScheduleTimer = 69,   ///< Sleep
  CheckHealth = 70,     ///< AskLoad
  Broadcast = 72,       ///< Say
  Log = 73,             ///< JournalLine
  InstanceFailed = 74,  ///< Die
  PollDiscovery = 75,   ///< KeepInformed
};

/// How an attempt or a health check ended.
enum class OutcomeCode : std::uint16_t {
  Ok = 0,
  Cancelled = 1,
  Timeout = 4,
  TooStale = 5,
  Rejected = 8,
  NotSent = 9,
  Reset = 10,
  Error = 13,
  ConnectFailed = 14,
};

/// Size in bytes of the clock at the start of each batch.
constexpr std::size_t kClockBytes = 8;
/// Size in bytes of one entry of an endpoint list.
constexpr std::size_t kEndpointEntryBytes = 29;
/// Size in bytes of a gossip message between instances of this program: endpoint, u32 position in ms after
/// the epoch, u8 1 if the endpoint is a primary, else 0, and u8 number of requests in flight.
constexpr std::uint16_t kGossipBytes = 12;
/// Recipient that addresses a broadcast to all other instances.
constexpr std::uint16_t kAllPeers = 0xffff;

}  // namespace stonebay::simulator
