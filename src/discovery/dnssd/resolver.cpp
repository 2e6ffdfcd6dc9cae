#include "discovery/dnssd/resolver.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "discovery/dnssd/response.hpp"

namespace stonebay {
namespace {

constexpr std::size_t kMaxDatagramBytes = 65535;
// Bounds the work of one pass of the event loop if the port is flooded with forged responses.
constexpr int kMaxDatagramsPerPass = 64;
constexpr std::size_t kTcpLengthBytes = 2;  // RFC 1035 section 4.2.2

// Owns a file descriptor.
class Socket {
 public:
  Socket() = default;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { reset(); }
  void reset(int fd = -1) {
    if (fd_ >= 0) ::close(fd_);
    fd_ = fd;
  }
  int fd() const { return fd_; }

 private:
  int fd_ = -1;
};

const char* describeUnusable(dns::Rcode rcode) {
  switch (rcode) {
    case dns::Rcode::NoError:
      return "NOERROR without usable records";
    case dns::Rcode::FormErr:
      return "FORMERR";
    case dns::Rcode::ServFail:
      return "SERVFAIL";
    case dns::Rcode::NxDomain:
      return "NXDOMAIN without the zone's SOA";
    case dns::Rcode::NotImp:
      return "NOTIMP";
    case dns::Rcode::Refused:
      return "REFUSED";
  }
  return "an unknown response code";
}

std::string withLengthPrefix(const std::string& message) {
  const std::string length{static_cast<char>(message.size() >> 8), static_cast<char>(message.size())};
  return length + message;
}

}  // namespace

// A lookup of one question. It queries the servers in turn until one gives a usable response.
class Resolver::Lookup {
 public:
  Lookup(Resolver& resolver, dns::Question question, bool overTcp);

  const dns::Question& question() const { return question_; }

 private:
  template <void (Lookup::*handler)()>
  static void onEvent(evutil_socket_t /*fd*/, short /*what*/, void* self) {
    (static_cast<Lookup*>(self)->*handler)();
  }

  const Address& server() const { return resolver_.settings_.servers[server_]; }
  void onTimer();
  void tryNextServer();
  void onServerFailure(const std::string& reason);
  void failDeferred(const char* reason);
  void onDeferredFailure() { onServerFailure(deferredFailure_); }
  void closeSockets();

  std::string encodeNewQuery();
  void send(bool overTcp);
  void sendUdp();
  void sendTcp();
  void onUdpReadable();
  void onTcpReadable();
  bool isResponse(const dns::Message& message) const;
  void onResponse(dns::Message message, bool overTcp);

  Resolver& resolver_;
  const dns::Question question_;
  const bool startsWithTcp_;
  std::vector<bool> attempted_;  // one flag per server
  Event timer_;
  Event event_;
  Socket udp_;
  BufferEvent tcp_;
  std::size_t server_ = 0;  // index of the current server
  std::uint16_t queryId_ = 0;
  bool started_ = false;
  std::string failure_ = "no name server";
  std::string deferredFailure_;
};

Resolver::Lookup::Lookup(Resolver& resolver, dns::Question question, bool overTcp)
    : resolver_(resolver),
      question_(std::move(question)),
      startsWithTcp_(overTcp),
      attempted_(resolver.settings_.servers.size()),
      timer_(event_new(resolver.base_, -1, 0, onEvent<&Lookup::onTimer>, this)) {
  startTimer(timer_.get(), Time(0));  // the event loop starts the first attempt
}

void Resolver::Lookup::onTimer() {
  if (started_)
    onServerFailure("no answer in time");
  else
    tryNextServer();
}

void Resolver::Lookup::tryNextServer() {
  const auto next = resolver_.servers_.select(resolver_.clock_.now(), attempted_);
  if (!next) {
    Result result;
    result.failure = failure_;
    return resolver_.finish(*this, result);
  }
  started_ = true;
  server_ = *next;
  attempted_[server_] = true;
  send(startsWithTcp_);
}

void Resolver::Lookup::onServerFailure(const std::string& reason) {
  closeSockets();
  failure_ = server().text() + ": " + reason;
  resolver_.servers_.onFailure(server_, resolver_.clock_.now());
  tryNextServer();
}

// Reports a failure from the event loop. An immediate report would recurse once per server if all servers
// fail, and would call the handler from within `resolve`.
void Resolver::Lookup::failDeferred(const char* reason) {
  deferredFailure_ = reason;
  event_.reset(event_new(resolver_.base_, -1, 0, onEvent<&Lookup::onDeferredFailure>, this));
  event_del(timer_.get());
  startTimer(event_.get(), Time(0));
}

void Resolver::Lookup::closeSockets() {
  event_.reset();
  udp_.reset();
  tcp_.reset();
  event_del(timer_.get());
}

std::string Resolver::Lookup::encodeNewQuery() {
  queryId_ = static_cast<std::uint16_t>(resolver_.random_());
  const int payload = resolver_.rejectsEdns_[server_] ? 0 : resolver_.settings_.udpPayload;
  return dns::encodeQuery(queryId_, question_, static_cast<std::uint16_t>(payload));
}

void Resolver::Lookup::send(bool overTcp) {
  if (overTcp)
    sendTcp();
  else
    sendUdp();
}

void Resolver::Lookup::sendUdp() {
  udp_.reset(::socket(server().data()->sa_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const std::string query = encodeNewQuery();
  // On a connected socket, the kernel delivers only datagrams from this server's address and port.
  if (udp_.fd() < 0 || ::connect(udp_.fd(), server().data(), server().size()) != 0 ||
      ::send(udp_.fd(), query.data(), query.size(), 0) != static_cast<ssize_t>(query.size()))
    return failDeferred(std::strerror(errno));
  event_.reset(
      event_new(resolver_.base_, udp_.fd(), EV_READ | EV_PERSIST, onEvent<&Lookup::onUdpReadable>, this));
  event_add(event_.get(), nullptr);
  startTimer(timer_.get(), resolver_.settings_.queryTimeout);
}

void Resolver::Lookup::onUdpReadable() {
  static char buffer[kMaxDatagramBytes];  // shared: all lookups run in one thread
  for (int i = 0; i < kMaxDatagramsPerPass; ++i) {
    const ssize_t size = ::recv(udp_.fd(), buffer, sizeof buffer, 0);
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (size < 0) return onServerFailure(std::strerror(errno));  // ECONNREFUSED: no server at this address
    auto message = dns::parse({buffer, static_cast<std::size_t>(size)});
    if (message && isResponse(*message)) return onResponse(std::move(*message), false);
  }
}

// RFC 5452 section 9.1: the id and the question must match. The connected socket ensures that the addresses
// and ports match.
bool Resolver::Lookup::isResponse(const dns::Message& message) const {
  if (!message.response || message.id != queryId_) return false;
  if (message.question) return *message.question == question_;
  return message.rcode == dns::Rcode::FormErr;  // a server that cannot parse the question may omit it
}

void Resolver::Lookup::onResponse(dns::Message message, bool overTcp) {
  closeSockets();
  // A server without support for EDNS may respond with FORMERR (RFC 6891 section 7): retries without EDNS.
  if (message.rcode == dns::Rcode::FormErr && !resolver_.rejectsEdns_[server_]) {
    resolver_.rejectsEdns_[server_] = true;
    return send(overTcp);
  }
  if (message.truncated && !overTcp) return sendTcp();
  if (classify(question_, message) == ResponseKind::Unusable)
    return onServerFailure(std::string("it answers ") + describeUnusable(message.rcode));
  resolver_.servers_.onResponse(server_);
  Result result;
  result.ok = true;
  result.message = std::move(message);
  result.overTcp = overTcp;
  resolver_.finish(*this, result);
}

void Resolver::Lookup::sendTcp() {
  const std::string query = withLengthPrefix(encodeNewQuery());
  tcp_.reset(bufferevent_socket_new(resolver_.base_, -1, BEV_OPT_CLOSE_ON_FREE));
  append(bufferevent_get_output(tcp_.get()), query);
  bufferevent_enable(tcp_.get(), EV_READ | EV_WRITE);
  startTimer(timer_.get(), resolver_.settings_.queryTimeout);
  if (bufferevent_socket_connect(tcp_.get(), server().data(), static_cast<int>(server().size())) != 0)
    return failDeferred("no connection over TCP");
  bufferevent_setcb(
      tcp_.get(), [](bufferevent*, void* self) { static_cast<Lookup*>(self)->onTcpReadable(); }, nullptr,
      [](bufferevent*, short what, void* self) {
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
          static_cast<Lookup*>(self)->onServerFailure("the TCP connection was closed or could not be opened");
      },
      this);
}

void Resolver::Lookup::onTcpReadable() {
  evbuffer* const input = bufferevent_get_input(tcp_.get());
  unsigned char length[kTcpLengthBytes];
  if (evbuffer_copyout(input, length, kTcpLengthBytes) < static_cast<ev_ssize_t>(kTcpLengthBytes)) return;
  const std::size_t messageBytes = std::size_t{length[0]} << 8 | length[1];
  const std::size_t frameBytes = kTcpLengthBytes + messageBytes;
  if (evbuffer_get_length(input) < frameBytes) return;
  const auto* const frame =
      reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(frameBytes)));
  auto message = dns::parse({frame + kTcpLengthBytes, messageBytes});
  if (!message || !isResponse(*message))
    return onServerFailure("its TCP response is malformed or does not match the query");
  onResponse(std::move(*message), true);
}

Resolver::Resolver(event_base* base, const Clock& clock, const DnsSdSettings& settings,
                   ResultHandler onResult)
    : base_(base),
      clock_(clock),
      settings_(settings),
      onResult_(std::move(onResult)),
      servers_(settings.servers.size()),
      rejectsEdns_(settings.servers.size()) {}
Resolver::~Resolver() = default;

void Resolver::resolve(const dns::Question& question, bool overTcp) {
  auto lookup = std::make_unique<Lookup>(*this, question, overTcp);
  lookups_.emplace(lookup.get(), std::move(lookup));
}

void Resolver::finish(Lookup& lookup, const Result& result) {
  const auto it = lookups_.find(&lookup);
  // The lookup is the caller of this function, so it must live until the end of the call.
  const std::unique_ptr<Lookup> owner = std::move(it->second);
  lookups_.erase(it);
  const dns::Question question = owner->question();
  onResult_(question, result);
}

}  // namespace stonebay
