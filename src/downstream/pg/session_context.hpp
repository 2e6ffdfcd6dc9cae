// What the sessions of a listener share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "dispatch/dispatcher.hpp"
#include "downstream/pg/startup_message.hpp"

namespace stonebay {

class ClientSession;

/// Finds the session that a CancelRequest names.
class CancelKeys {
 public:
  /// A new key: a number that no session has yet, and a secret that can't be guessed.
  CancelKey add(ClientSession& session);
  void remove(const CancelKey& key) { sessions_.erase(key.encoded()); }
  /// Null: no session has this key.
  ClientSession* find(const CancelKey& key) const;

 private:
  std::unordered_map<std::uint64_t, ClientSession*> sessions_;
  std::uint32_t lastProcess_ = 0;
};

/// Bounds the memory of all statements that are too long to be read ahead.
class StatementMemory {
 public:
  explicit StatementMemory(std::size_t capacity) : capacity_(capacity) {}
  /// False, and without effect, where so many bytes are not left.
  bool reserve(std::size_t bytes);
  /// Gives back what has been reserved.
  void release(std::size_t bytes) { reserved_ -= bytes; }

 private:
  const std::size_t capacity_;
  std::size_t reserved_ = 0;
};

/// Belongs to the listener, and outlives its sessions.
struct SessionContext {
  event_base* base;
  Dispatcher& dispatcher;
  const Config& config;
  StatementMemory statementMemory;
  CancelKeys cancelKeys{};
  std::unordered_set<std::string> openRequestIds{};  ///< ids that clients gave to requests in flight
};

}  // namespace stonebay
