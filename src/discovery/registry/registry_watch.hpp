// Discovery's watch: one connection at a time, from the call to its end.
#pragma once

#include "codec/http/http.hpp"
#include "discovery/endpoint_list.hpp"
#include "dispatch/dispatcher.hpp"
#include "util/event.hpp"

namespace stonebay {

class RegistryWatch final : public EndpointWatcher {
 public:
  RegistryWatch(event_base*, EndpointListHandler&, const Address&);
  void watch(std::uint64_t after) override;  // nothing, while one is on
  void move(const Address&);                 // goes on with the watch at another address

 private:
  void read();
  void fail(const char* why);

  event_base* const base_;
  EndpointListHandler& taker_;
  Address address_;
  BufferEvent connection_;
  Event silence_;
  http::Response response_;
  EndpointListReader lists_;
};

}  // namespace stonebay
