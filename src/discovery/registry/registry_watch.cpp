#include "discovery/registry/registry_watch.hpp"

#include <utility>

#include "log/log.hpp"
#include "util/clock.hpp"

namespace stonebay {
namespace {

// The registry sends at least an empty line every 2 s during a watch. A silence longer than this timeout ends
// the watch.
constexpr Time kSilenceTimeout = std::chrono::milliseconds(2500);
// The registry fails a call that has waited 1 s. A call without an answer for longer is lost.
constexpr Time kCallTimeout = std::chrono::milliseconds(1050);
// After so many lost calls in a row the registry may be slow, and a call may take longer.
constexpr int kSilentCallsOfSlowRegistry = 3;
constexpr Time kSlowCallTimeout = std::chrono::milliseconds(3000);
// A change that was missed counts as notified 6 s after the last contact with the registry, but 4 s after the
// settings name another address.
constexpr Time kReloadHeadStart = std::chrono::milliseconds(2000);

}  // namespace

RegistryWatch::RegistryWatch(event_base* base, EndpointListHandler& handler, const Address& address)
    : base_(base),
      handler_(handler),
      address_(address),
      silenceTimer_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<RegistryWatch*>(self)->onSilence(); }, this)) {
}

void RegistryWatch::watch(std::uint64_t after) {
  if (connection_) return;  // the silence timer ends a stalled connection
  response_ = http::Response();
  reader_ = EndpointListReader();
  listReceived_ = false;
  connection_.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
  const std::string target = "/registry/instances?watch=1&after=" + std::to_string(after);
  append(bufferevent_get_output(connection_.get()), http::get(target, address_.text()));
  bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
  restartSilenceTimer();
  if (bufferevent_socket_connect(connection_.get(), address_.data(), static_cast<int>(address_.size())) != 0)
    return fail("no connection");
  bufferevent_setcb(
      connection_.get(), [](bufferevent*, void* self) { static_cast<RegistryWatch*>(self)->onReadable(); },
      nullptr,
      [](bufferevent*, short what, void* self) {
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
          static_cast<RegistryWatch*>(self)->fail("connection ended");
      },
      this);
}

void RegistryWatch::setAddress(const Address& address) {
  if (address == address_) return;
  address_ = address;
  connection_.reset();
  silentCalls_ = 0;
  lastContactAt_ = std::chrono::steady_clock::now() - kReloadHeadStart;
  watch(handler_.generation());
}

std::chrono::microseconds RegistryWatch::sinceContact() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() -
                                                               lastContactAt_);
}

void RegistryWatch::restartSilenceTimer() {
  const Time callTimeout = silentCalls_ < kSilentCallsOfSlowRegistry ? kCallTimeout : kSlowCallTimeout;
  startTimer(silenceTimer_.get(), listReceived_ ? kSilenceTimeout : callTimeout);
}

void RegistryWatch::onSilence() {
  if (!listReceived_) ++silentCalls_;
  fail("silent");
}

void RegistryWatch::onReadable() {
  handler_.onListInput();
  evbuffer* const input = bufferevent_get_input(connection_.get());
  evbuffer_iovec chunk;
  std::string body;
  while (evbuffer_peek(input, -1, nullptr, &chunk, 1) > 0) {
    if (!response_.feed({static_cast<const char*>(chunk.iov_base), chunk.iov_len}, body))
      return fail("malformed response");
    evbuffer_drain(input, chunk.iov_len);
  }
  if (response_.refused()) return fail(("status " + std::to_string(response_.status())).c_str());
  try {
    reader_.feed(body, [this](EndpointListUpdate list) {
      listReceived_ = true;
      silentCalls_ = 0;
      handler_.onEndpointList(std::move(list));
    });
  } catch (const InvalidInput& error) {
    return fail(error.what());
  }
  restartSilenceTimer();
  if (listReceived_) lastContactAt_ = std::chrono::steady_clock::now();
  if (response_.done()) fail("watch ended");
}

void RegistryWatch::fail(const char* reason) {
  if (!connection_) return;  // the end of a connection is reported only once
  logEvent(LogLevel::Warning, "watch_ended", {{"why", reason}});
  connection_.reset();
  event_del(silenceTimer_.get());
  handler_.onListFailure(reason);
}

}  // namespace stonebay
