#include "downstream/pg/session_context.hpp"

#include <event2/util.h>

namespace stonebay {

CancelKey CancelKeys::add(ClientSession& session) {
  CancelKey key;
  evutil_secure_rng_get_bytes(&key.secret, sizeof key.secret);
  key.processId = ++lastProcessId_;
  sessions_[key.encoded()] = &session;
  return key;
}

ClientSession* CancelKeys::find(const CancelKey& key) const {
  const auto it = sessions_.find(key.encoded());
  return it == sessions_.end() ? nullptr : it->second;
}

bool StatementMemory::reserve(std::size_t bytes) {
  if (bytes > capacity_ - reservedBytes_) return false;
  reservedBytes_ += bytes;
  return true;
}

}  // namespace stonebay
