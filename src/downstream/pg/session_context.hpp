// State that all sessions of a listener share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "dispatch/dispatcher.hpp"
#include "downstream/pg/buffer_memory.hpp"
#include "downstream/pg/request_ids.hpp"
#include "downstream/pg/startup_message.hpp"

namespace stonebay {

class ClientSession;

/// Finds the session to which the key of a CancelRequest belongs.
class CancelKeys {
 public:
  /// Returns a new key: a number that no other session has, and a secret that cannot be guessed.
  CancelKey add(ClientSession& session);
  void remove(const CancelKey& key) { sessions_.erase(key.encoded()); }
  /// Returns null if no session has this key.
  ClientSession* find(const CancelKey& key) const;

 private:
  std::unordered_map<std::uint64_t, ClientSession*> sessions_;
  std::uint32_t lastProcessId_ = 0;
};

/// Limits the total memory of statements longer than ClientConnection::kReadAhead.
class StatementMemory {
 public:
  explicit StatementMemory(std::size_t capacity) : capacity_(capacity) {}
  /// Returns false and reserves nothing if fewer bytes than that are left.
  bool reserve(std::size_t bytes);
  /// Releases bytes that have been reserved.
  void release(std::size_t bytes) { reservedBytes_ -= bytes; }

 private:
  const std::size_t capacity_;
  std::size_t reservedBytes_ = 0;
};

/// Owned by the listener; outlives its sessions.
struct SessionContext {
  event_base* base;
  Dispatcher& dispatcher;
  const Config& config;
  StatementMemory statementMemory;
  BufferMemory bufferMemory;
  CancelKeys cancelKeys{};
  RequestIds requestIds{};
};

}  // namespace stonebay
