#include "testbed/name_server.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "testbed/socket_address.hpp"

namespace stonebay::testbed {
namespace {

constexpr std::size_t kMaxUdpSizeWithoutEdns = 512;  // RFC 1035 section 4.2.1
constexpr std::uint16_t kAdvertisedUdpPayloadBytes = 4096;
constexpr std::size_t kReadBytes = 4096;
constexpr std::uint32_t kNxDomainTtlSeconds = 60;
constexpr std::size_t kTcpLengthBytes = 2;  // RFC 1035 section 4.2.2
constexpr int kListenBacklog = 64;
constexpr int kMaxBindAttempts = 50;

// Header layout, RFC 1035 section 4.1.1.
constexpr std::size_t kIdBytes = 2;
constexpr std::size_t kAnswerCountOffset = 6;

UniqueFd bindSocket(int type, int port) {
  UniqueFd fd(socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int enabled = 1;
  setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  const sockaddr_in address = loopbackAddress(port);
  if (fd.isOpen() && bind(fd.get(), asSockaddr(address), sizeof address) != 0) fd.reset();
  return fd;
}

dns::Message errorResponse(const dns::Message& query, dns::Rcode rcode) {
  dns::Message response;
  response.id = query.id;
  response.response = true;
  response.question = query.question;
  response.rcode = rcode;
  return response;
}

// The id of the query and a response header with impossible record counts, followed by text.
std::string malformedResponse(const std::string& query) {
  return query.substr(0, kIdBytes) + std::string("\x84\x00\xff\xff\xff\xff noise", 12);
}

// Returns a response with one answer, a PTR record without data, whose name is a compression pointer to
// itself.
std::string encodePointerLoop(const dns::Message& query) {
  std::string bytes = dns::encode(errorResponse(query, dns::Rcode::NoError));
  bytes[kAnswerCountOffset + 1] = 1;
  const std::size_t offset = bytes.size();
  bytes += {static_cast<char>(0xc0 | offset >> 8), static_cast<char>(offset), 0, 12, 0, 1, 0, 0, 0, 9, 0, 0};
  return bytes;
}

std::string encodeWithExcessAnswerCount(const dns::Message& response) {
  std::string bytes = dns::encode(response);
  bytes[kAnswerCountOffset] = 0x7f;
  return bytes;
}

bool acceptsRequests(const ServiceInstance& instance) {
  return std::find(instance.txt.begin(), instance.txt.end(), "state=leaving") == instance.txt.end();
}

}  // namespace

// One TCP connection. Each message is preceded by its length; queries are answered in order.
class NameServer::TcpConnection {
 public:
  TcpConnection(NameServer& owner, int fd)
      : owner_(owner),
        fd_(fd),
        readable_(event_new(
            owner.base_, fd, EV_READ | EV_PERSIST,
            [](evutil_socket_t /*fd*/, short /*events*/, void* self) {
              static_cast<TcpConnection*>(self)->onReadable();
            },
            this)) {
    event_add(readable_.get(), nullptr);
  }

 private:
  void onReadable() {
    char bytes[kReadBytes];
    const ssize_t received = recv(fd_.get(), bytes, sizeof bytes, 0);
    if (received <= 0) return owner_.remove(*this);
    input_.append(bytes, static_cast<std::size_t>(received));
    while (hasMessage()) {
      const std::string query = input_.substr(kTcpLengthBytes, messageSize());
      input_.erase(0, kTcpLengthBytes + query.size());
      const std::string response = owner_.answer(query, Transport::Tcp);
      if (!response.empty() && !sendFramed(response)) return;
    }
  }
  std::size_t messageSize() const {
    return std::size_t{static_cast<unsigned char>(input_[0])} << 8 | static_cast<unsigned char>(input_[1]);
  }
  bool hasMessage() const {
    return input_.size() >= kTcpLengthBytes && input_.size() >= kTcpLengthBytes + messageSize();
  }
  bool sendFramed(const std::string& message) {
    std::string framed{static_cast<char>(message.size() >> 8), static_cast<char>(message.size())};
    framed += message;
    return send(fd_.get(), framed.data(), framed.size(), MSG_NOSIGNAL) >= 0;
  }

  NameServer& owner_;
  const UniqueFd fd_;
  const Event readable_;
  std::string input_;
};

NameServer::NameServer(event_base* base, const std::string& domain, const std::string& service, int port)
    : base_(base), zone_(domain, service) {
  bindPorts(port);
  otherUdpSocket_ = bindSocket(SOCK_DGRAM, 0);
  if (!udpSocket_.isOpen() || !tcpListener_.isOpen() || !otherUdpSocket_.isOpen())
    throw std::runtime_error("the stand-in name server cannot bind its sockets");
  udpReadable_.reset(event_new(
      base, udpSocket_.get(), EV_READ | EV_PERSIST,
      [](evutil_socket_t /*fd*/, short /*events*/, void* self) {
        static_cast<NameServer*>(self)->onUdpReadable();
      },
      this));
  event_add(udpReadable_.get(), nullptr);
}

NameServer::~NameServer() = default;

// UDP and TCP must use the same port. The system chooses it for UDP; if it is taken for TCP, both are bound
// anew.
void NameServer::bindPorts(int port) {
  for (int i = 0; i < kMaxBindAttempts && !tcpListener_.isOpen(); ++i) {
    udpSocket_.reset();
    udpSocket_ = bindSocket(SOCK_DGRAM, port);
    if (!udpSocket_.isOpen()) return;
    port_ = boundPort(udpSocket_.get());
    listenTcp();
  }
}

void NameServer::listenTcp() {
  tcpListener_ = bindSocket(SOCK_STREAM, port_);
  if (!tcpListener_.isOpen()) return;
  listen(tcpListener_.get(), kListenBacklog);
  tcpAcceptable_.reset(event_new(
      base_, tcpListener_.get(), EV_READ | EV_PERSIST,
      [](evutil_socket_t /*fd*/, short /*events*/, void* self) {
        static_cast<NameServer*>(self)->onTcpAccept();
      },
      this));
  event_add(tcpAcceptable_.get(), nullptr);
}

void NameServer::closeTcp() {
  connections_.clear();
  tcpAcceptable_.reset();
  tcpListener_.reset();
}

void NameServer::onTcpAccept() {
  const int fd = accept4(tcpListener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd >= 0) connections_.push_back(std::make_unique<TcpConnection>(*this, fd));
}

void NameServer::remove(const TcpConnection& connection) {
  connections_.remove_if([&connection](const auto& owned) { return owned.get() == &connection; });
}

void NameServer::setBehavior(Behavior behavior) {
  behavior_ = behavior;
  const bool acceptsTcp = behavior != Behavior::TruncatedOnly;
  if (acceptsTcp && !tcpListener_.isOpen()) listenTcp();
  if (!acceptsTcp && tcpListener_.isOpen()) closeTcp();
}

bool NameServer::findBehavior(const std::string& name, Behavior& behavior) {
  static const std::map<std::string, Behavior> behaviors{{"good", Behavior::Good},
                                                         {"silent", Behavior::Silent},
                                                         {"servfail", Behavior::ServFail},
                                                         {"refused", Behavior::Refused},
                                                         {"lame", Behavior::Lame},
                                                         {"noise", Behavior::Noise},
                                                         {"loop", Behavior::PointerLoop},
                                                         {"counts", Behavior::ExcessCounts},
                                                         {"wrong-id", Behavior::WrongId},
                                                         {"wrong-question", Behavior::WrongQuestion},
                                                         {"wrong-port", Behavior::WrongPort},
                                                         {"truncated", Behavior::Truncated},
                                                         {"truncated-only", Behavior::TruncatedOnly},
                                                         {"no-edns", Behavior::NoEdns}};
  const auto it = behaviors.find(name);
  if (it == behaviors.end()) return false;
  behavior = it->second;
  return true;
}

void NameServer::onUdpReadable() {
  char bytes[kReadBytes];
  sockaddr_in client{};
  socklen_t clientSize = sizeof client;
  auto* const clientAddress = reinterpret_cast<sockaddr*>(&client);
  for (;;) {
    const ssize_t received = recvfrom(udpSocket_.get(), bytes, sizeof bytes, 0, clientAddress, &clientSize);
    if (received < 0) return;
    const std::string response = answer({bytes, static_cast<std::size_t>(received)}, Transport::Udp);
    if (response.empty()) continue;
    const UniqueFd& sender = behavior_ == Behavior::WrongPort ? otherUdpSocket_ : udpSocket_;
    sendto(sender.get(), response.data(), response.size(), 0, clientAddress, clientSize);
  }
}

// Returns the encoded response, or an empty string if none is to be sent.
std::string NameServer::answer(const std::string& bytes, Transport transport) {
  const auto query = dns::parse(bytes);
  if (!query || query->response || !query->question) return {};
  const bool isTcp = transport == Transport::Tcp;
  ++(isTcp ? counts_.tcp : counts_.udp);
  ++counts_.types[query->question->type];
  const std::size_t maxSize =
      isTcp ? dns::kLongestMessage : std::max<std::size_t>(query->udpPayload, kMaxUdpSizeWithoutEdns);
  dns::Message response = newResponse(*query);
  switch (behavior_) {
    case Behavior::Silent:
      return {};
    case Behavior::ServFail:
      return dns::encode(errorResponse(*query, dns::Rcode::ServFail));
    case Behavior::Refused:
      return dns::encode(errorResponse(*query, dns::Rcode::Refused));
    case Behavior::Lame:
      return dns::encode(errorResponse(*query, dns::Rcode::NoError));
    case Behavior::Noise:
      return malformedResponse(bytes);
    case Behavior::PointerLoop:
      return encodePointerLoop(*query);
    case Behavior::ExcessCounts:
      return encodeWithExcessAnswerCount(response);
    case Behavior::WrongId:
      response.id ^= 1;
      return dns::encode(asNxDomain(std::move(response)), maxSize);
    case Behavior::WrongQuestion:
      response.question->name = "other." + response.question->name;
      return dns::encode(asNxDomain(std::move(response)), maxSize);
    case Behavior::WrongPort:
      return dns::encode(asNxDomain(std::move(response)), maxSize);
    case Behavior::Truncated:
    case Behavior::TruncatedOnly:
      return dns::encode(response, isTcp ? maxSize : 0);
    case Behavior::NoEdns:
      if (query->udpPayload > 0) return dns::encode(errorResponse(*query, dns::Rcode::FormErr));
      break;
    case Behavior::Good:
      break;
  }
  return answerFromZone(*query, response, maxSize);
}

std::string NameServer::answerFromZone(const dns::Message& query, const dns::Message& response,
                                       std::size_t maxSize) {
  std::string bytes = dns::encode(response, maxSize);
  reportList(query, bytes);
  return bytes;
}

dns::Message NameServer::newResponse(const dns::Message& query) const {
  dns::Message response = zone_.answer(*query.question);
  response.id = query.id;
  response.response = true;
  response.authoritative = true;
  response.question = query.question;
  response.udpPayload = query.udpPayload > 0 ? kAdvertisedUdpPayloadBytes : 0;
  return response;
}

dns::Message NameServer::asNxDomain(dns::Message response) const {
  response.answers.clear();
  response.additionals.clear();
  response.rcode = dns::Rcode::NxDomain;
  response.authorities = {zone_.soa(kNxDomainTtlSeconds)};
  return response;
}

void NameServer::reportList(const dns::Message& query, const std::string& response) const {
  if (!onListSent || query.question->name != zone_.service() || query.question->type != dns::Type::Ptr)
    return;
  const auto sent = dns::parse(response);
  if (!sent || sent->truncated) return;
  std::map<std::string, bool> list;
  for (const auto& [label, instance] : zone_.instances()) list[label] = acceptsRequests(instance);
  onListSent(list);
}

}  // namespace stonebay::testbed
