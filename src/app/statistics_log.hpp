// Logs statistics of a running proxy periodically.
#pragma once

#include "dispatch/dispatcher.hpp"
#include "downstream/pg/client_listener.hpp"
#include "upstream/pg/connection_pool.hpp"
#include "util/event.hpp"

namespace stonebay {

/// Logs the event "statistics" every 10 seconds and on destruction, so that short runs are logged as well.
class StatisticsLog {
 public:
  /// The objects that are passed must outlive this object.
  StatisticsLog(event_base* base, Dispatcher& dispatcher, const ConnectionPool& upstream,
                ClientListener& clients);
  ~StatisticsLog();
  StatisticsLog(const StatisticsLog& other) = delete;
  StatisticsLog& operator=(const StatisticsLog& other) = delete;

 private:
  void write();

  Dispatcher& dispatcher_;
  const ConnectionPool& upstream_;
  ClientListener& clients_;
  Event timer_;
};

}  // namespace stonebay
