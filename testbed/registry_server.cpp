#include "testbed/registry_server.hpp"

#include <cstdio>
#include <cstdlib>
#include <stdexcept>
#include <utility>

#include "testbed/connection_io.hpp"
#include "testbed/json_text.hpp"
#include "testbed/socket_address.hpp"
#include "testbed/timer.hpp"

namespace stonebay::testbed {
namespace {

constexpr Time kHeartbeatInterval = std::chrono::seconds(2);  // on a watch without changes
constexpr int kListenBacklog = 64;
constexpr const char* kUnavailableResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
constexpr const char* kOkHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr const char* kLastChunk = "0\r\n\r\n";

std::string chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// Returns the value of the query parameter "after", or 0 if there is none.
std::uint64_t afterParameter(const std::string& request) {
  const std::string name = "after=";
  const std::size_t at = request.find(name);
  return at == std::string::npos ? 0 : std::strtoull(request.c_str() + at + name.size(), nullptr, 10);
}

}  // namespace

// One HTTP connection, which serves one request.
class RegistryServer::Connection {
 public:
  Connection(RegistryServer& registry, evutil_socket_t fd)
      : registry_(registry), heartbeat_(registry.context_, [this] { onHeartbeat(); }) {
    connection_.reset(bufferevent_socket_new(registry.context_.eventBase(), fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        connection_.get(),
        [](bufferevent* /*connection*/, void* self) { static_cast<Connection*>(self)->onReadable(); },
        [](bufferevent* /*connection*/, void* self) { static_cast<Connection*>(self)->onWritten(); },
        [](bufferevent* /*connection*/, short events, void* self) {
          if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) static_cast<Connection*>(self)->close();
        },
        this);
    bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
  }

  void onChange() {
    if (isWatch_) sendList(sentGeneration_, Scope::ChangesOnly);
  }

 private:
  void close() { registry_.remove(*this); }
  void onWritten() {
    if (closesWhenWritten_) close();
  }
  void onHeartbeat() {
    write(connection_.get(), chunk("\n"));
    heartbeat_.startIn(kHeartbeatInterval);
  }

  void onReadable() {
    evbuffer* const input = bufferevent_get_input(connection_.get());
    std::string request(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, request.data(), request.size());
    if (request.find("\r\n\r\n") == std::string::npos) return;
    evbuffer_drain(input, request.size());
    onRequest(request);
  }

  void onRequest(const std::string& request) {
    if (registry_.isDown_) {
      closesWhenWritten_ = true;
      return write(connection_.get(), kUnavailableResponse);
    }
    isWatch_ = request.find("watch=1") != std::string::npos;
    write(connection_.get(), kOkHeader);
    const std::uint64_t after = afterParameter(request);
    const bool needsCompleteList =
        after == 0 || after > registry_.generation_ || after < registry_.historyStart_;
    sendList(after, needsCompleteList ? Scope::AllInstances : Scope::ChangesOnly);
    if (isWatch_) return;
    closesWhenWritten_ = true;
    write(connection_.get(), kLastChunk);
  }

  void sendList(std::uint64_t afterGeneration, Scope scope) {
    write(connection_.get(), chunk(registry_.encodeList(afterGeneration, scope)));
    sentGeneration_ = registry_.generation_;
    if (isWatch_) heartbeat_.startIn(kHeartbeatInterval);
  }

  RegistryServer& registry_;
  BufferEvent connection_;
  Timer heartbeat_;
  std::uint64_t sentGeneration_ = 0;
  bool isWatch_ = false;
  bool closesWhenWritten_ = false;
};

RegistryServer::RegistryServer(const RunContext& context, ListingHandler onListing)
    : context_(context), onListing_(std::move(onListing)) {
  listen();
}

RegistryServer::~RegistryServer() = default;

void RegistryServer::listen() {
  const sockaddr_in address = loopbackAddress(0);
  listener_.reset(evconnlistener_new_bind(
      context_.eventBase(),
      [](evconnlistener* /*listener*/, evutil_socket_t fd, sockaddr* /*peer*/, int /*size*/, void* self) {
        static_cast<RegistryServer*>(self)->accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, kListenBacklog, asSockaddr(address),
      sizeof address));
  if (!listener_) throw std::runtime_error("the stand-in registry cannot listen");
  port_ = boundPort(evconnlistener_get_fd(listener_.get()));
}

void RegistryServer::accept(evutil_socket_t fd) {
  auto connection = std::make_unique<Connection>(*this, fd);
  Connection* const key = connection.get();
  connections_.emplace(key, std::move(connection));
}

void RegistryServer::remove(Connection& connection) { connections_.erase(&connection); }

std::string RegistryServer::encodeList(std::uint64_t afterGeneration, Scope scope) {
  const bool all = scope == Scope::AllInstances;
  std::string instances;
  for (const auto& [name, entry] : entries_) {
    const bool isOmitted = all ? entry.withdrawn : entry.generation <= afterGeneration;
    if (!isOmitted) instances += (instances.empty() ? "{" : ",{") + entry.json + "}";
    if (all || !isOmitted) onListing_(name, entry.listed && !entry.withdrawn);
  }
  listBytes_ += instances.size();
  return '{' + jsonMember("generation", std::to_string(generation_)) + ',' +
         jsonMember("reset", all ? "true" : "false") + ',' + jsonMember("instances", '[' + instances + ']') +
         "}\n";
}

void RegistryServer::publish(const std::string& name, const std::string& json, bool listed) {
  entries_[name] = {json, listed, false, ++generation_};
  notifyWatches();
}

void RegistryServer::withdraw(const std::string& name) {
  const std::string json =
      jsonMember("instanceId", jsonString(name)) + ',' + jsonMember("lifecycle", jsonString("left"));
  entries_[name] = {json, false, true, ++generation_};
  notifyWatches();
}

void RegistryServer::notifyWatches() {
  if (isDown_ || isBatchingChanges_) return;
  for (const auto& [connection, owner] : connections_) connection->onChange();
}

void RegistryServer::setDown(bool down) {
  isDown_ = down;
  if (down) connections_.clear();
}

void RegistryServer::restart() {
  historyStart_ = ++generation_;
  connections_.clear();
}

void RegistryServer::endChanges() {
  isBatchingChanges_ = false;
  notifyWatches();
}

}  // namespace stonebay::testbed
