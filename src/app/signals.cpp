#include "app/signals.hpp"

#include <csignal>
#include <utility>

#include "util/event_loop.hpp"

namespace stonebay {

namespace {

constexpr int kHandledSignals[] = {SIGTERM, SIGINT, SIGHUP};

void changeSignalMask(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : kHandledSignals) sigaddset(&signals, signal);
  sigprocmask(how, &signals, nullptr);
}

}  // namespace

void blockSignals() { changeSignalMask(SIG_BLOCK); }

SignalHandlers::SignalHandlers(event_base* base, std::function<void()> shutDown, std::function<void()> reload)
    : shutDown_(std::move(shutDown)),
      reload_(std::move(reload)),
      terminate_(addHandler(base, SIGTERM, shutDown_)),
      interrupt_(addHandler(base, SIGINT, shutDown_)),
      hangUp_(addHandler(base, SIGHUP, reload_)) {
  changeSignalMask(SIG_UNBLOCK);
}

Event SignalHandlers::addHandler(event_base* base, int signal, std::function<void()>& action) {
  const auto callback = [](evutil_socket_t /*signal*/, short /*events*/, void* argument) {
    (*static_cast<std::function<void()>*>(argument))();
  };
  Event handler(evsignal_new(base, signal, callback, &action));
  event_priority_set(handler.get(), kUrgentPriority);
  event_add(handler.get(), nullptr);
  return handler;
}

}  // namespace stonebay
