// Handles signals of the process in the event loop.
#pragma once

#include <functional>

#include "util/event.hpp"

namespace stonebay {

/// Blocks the signals that SignalHandlers handles, so that a signal that arrives while the process starts
/// stays pending until its handler is installed.
void blockSignals();

/// Installs the signal handlers and unblocks the signals. Calls `shutDown` on SIGTERM and SIGINT, and
/// `reload` on SIGHUP, from the event loop.
class SignalHandlers {
 public:
  SignalHandlers(event_base* base, std::function<void()> shutDown, std::function<void()> reload);

 private:
  static Event addHandler(event_base* base, int signal, std::function<void()>& action);

  std::function<void()> shutDown_;
  std::function<void()> reload_;
  Event terminate_;
  Event interrupt_;
  Event hangUp_;
};

}  // namespace stonebay
