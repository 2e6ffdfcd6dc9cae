#include "upstream/pg/connection_pool.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <optional>

#include "log/log.hpp"

namespace stonebay {
namespace {

// Connections kept idle for each member that is ready. Guards against probes and first requests that pay for
// a dial: the LoadBalancer takes a probe that is not answered within some ms for silence.
constexpr std::size_t kMinIdleConnections = 2;
// What all proxies together keep so at one member. Guards its table, which holds only so many connections,
// costs it more the fuller it is, and turns away those that have something to ask: a large fleet dials on
// need alone.
constexpr std::size_t kMaxIdleOfAllProxies = 64;
constexpr Time kMaintenanceInterval = std::chrono::milliseconds(250);
constexpr Time kReconnectDelay = std::chrono::seconds(1);
// Guards against the race with the data server's own idle limit: what is written to a connection that it has
// closed ends as a reset. So much of the limit is used.
constexpr double kIdleTimeoutShare = 0.7;
// An answer whose first byte has come is whole by then: a data server writes it in one go. Guards against
// lengths that promise more than comes.
constexpr Time kResponseTimeout = std::chrono::milliseconds(250);
constexpr int kMaxHealthCheckConnections = 4;     // connections that a probe may lose
constexpr double kMaxPlausibleInFlight = 100000;  // requests that a data server may say it holds

// An item of a load report: "x0=1767225600.123,x1=1,inflight=7".
bool findValue(std::string_view report, std::string_view name, double& value) {
  for (std::size_t at = 0; at < report.size();) {
    const std::size_t end = std::min(report.find(',', at), report.size());
    const std::string_view item = report.substr(at, end - at);
    at = end + 1;
    const std::size_t eq = item.find('=');
    if (eq == std::string_view::npos || item.substr(0, eq) != name) continue;
    const std::string_view text = item.substr(eq + 1);
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && stop == text.data() + text.size();
  }
  return false;
}

}  // namespace

// One attempt or one probe.
struct ConnectionPool::UpstreamRequest {
  RequestId id = 0;  // 0: a probe
  int attempt = 0;
  EndpointId endpoint = 0;
  Time deadline{};
  std::shared_ptr<const ForwardedRequest> message;
  Connection* connection = nullptr;  // null: it waits for a connection
  bool written = false;              // a byte of it may have gone out
  int connectionsLost = 0;           // probes: connections that ended under it
  ConnectionPool* owner = nullptr;
  Event timer;
  bool isHealthCheck() const { return id == 0; }
};

// A connection belongs to its Upstream, which frees it; a job on it is only pointed at.
class ConnectionPool::Connection {
 public:
  Connection(ConnectionPool& owner, EndpointId to, const Address& at)
      : owner_(owner),
        endpoint(to),
        address(at),
        timer(event_new(
            owner.base_, -1, 0,
            [](evutil_socket_t, short, void* self) { static_cast<Connection*>(self)->onTimeout(); }, this)) {
    bev_.reset(bufferevent_socket_new(owner.base_, -1, BEV_OPT_CLOSE_ON_FREE));
    append(output(), pg::startup("api", "ledger"));
    bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
    const bool refused =
        bufferevent_socket_connect(bev_.get(), address.data(), static_cast<int>(address.size())) != 0;
    // A connect that fails at once is told by the timer: this call's own caller is not done yet.
    startTimer(timer.get(), refused ? Time(0) : owner.config_.connectTimeout);
    bufferevent_setcb(
        bev_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->read(); }, nullptr,
        [](bufferevent*, short what, void* self) { static_cast<Connection*>(self)->event(what); }, this);
  }
  ~Connection() {
    // bufferevent_free closes the descriptor only in the loop's next pass; the end of an attempt has to show
    // before the next one goes out.
    const evutil_socket_t fd = bufferevent_getfd(bev_.get());
    if (fd >= 0) shutdown(fd, SHUT_RDWR);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  evbuffer* output() { return bufferevent_get_output(bev_.get()); }
  bool flushed() { return evbuffer_get_length(output()) == 0; }
  // Nothing has come that nobody asked for. Guards against taking what stands behind an answer (a second
  // copy, noise) for the next one; the peek sees what libevent has not read yet, and an end as well.
  bool isClean() {
    char byte;
    return evbuffer_get_length(bufferevent_get_input(bev_.get())) == 0 &&
           recv(bufferevent_getfd(bev_.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }
  bool invalidStatement() const { return request && invalidStatement_; }
  void assign(UpstreamRequest& j) {
    request = &j;
    j.connection = this;
    event_del(timer.get());
    answer_ = newBuffer();
    result_ = AttemptStatus::Reset;
    stage_ = Stage::Start;
    invalidStatement_ = false;
    role_ = Role::Unknown;
    positionMs_ = 0;
    report_.reset();
    load_.clear();
  }

 private:
  void event(short what) {
    if (what & BEV_EVENT_CONNECTED) {
      const int on = 1;
      setsockopt(bufferevent_getfd(bev_.get()), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) owner_.onConnectionLost(*this, failure_);
  }
  void onTimeout() {  // dialing, idle for long enough, or amid an answer
    if (request) return owner_.onMalformedResponse(*this, "an answer that does not end");
    owner_.onConnectionLost(*this, failure_);
  }

  void read() {
    evbuffer* const in = bufferevent_get_input(bev_.get());
    while (evbuffer_get_length(in) > 0) {
      if (!connecting && !(request && request->written && flushed()))
        return owner_.onMalformedResponse(*this, "what nobody asked for");
      char bytes[pg::kHead];
      if (evbuffer_copyout(in, bytes, sizeof bytes) < static_cast<ev_ssize_t>(sizeof bytes)) break;
      const auto head = pg::parseHead(bytes);
      // Judged by its head, before the rest is read: it may promise gigabytes.
      if (!head || !expects(head->type) ||
          head->body > (head->type == 'D' ? pg::kRowHead + pg::kLongestValue : pg::kLongestNote))
        return owner_.onMalformedResponse(*this, "a message that is none");
      const std::size_t whole = sizeof bytes + head->body;
      if (evbuffer_get_length(in) < whole) break;
      // Only the answer's own messages go on to the client. A row is moved, its value unread, but for a
      // probe's.
      if (head->type == 'D' && !request->isHealthCheck()) {
        char row[pg::kHead + pg::kRowHead];
        char columns[pg::kRowHead];
        const bool enough = evbuffer_copyout(in, row, sizeof row) == static_cast<ev_ssize_t>(sizeof row);
        std::copy(row + pg::kHead, row + sizeof row, columns);
        if (!enough || !pg::isRowHead(columns, head->body))
          return owner_.onMalformedResponse(*this, "a malformed row");
        stage_ = Stage::Row;
        evbuffer_remove_buffer(in, answer_.get(), whole);
        continue;
      }
      const char* const at =
          reinterpret_cast<const char*>(evbuffer_pullup(in, static_cast<ev_ssize_t>(whole)));
      const std::string_view body(at + sizeof bytes, head->body);
      if (!handleMessage(head->type, body)) return;  // this connection is no more
      if (head->type == 'T' || head->type == 'C')
        evbuffer_remove_buffer(in, answer_.get(), whole);
      else
        evbuffer_drain(in, whole);
      if (head->type != 'Z') continue;
      if (!isClean() && !connecting)
        return owner_.close(*this);  // the answer is good; its connection is of no more use
      if (!owner_.onReady(*this)) return;
    }
    if (request && request->written && (stage_ != Stage::Start || evbuffer_get_length(in) > 0) &&
        !event_pending(timer.get(), EV_TIMEOUT, nullptr))
      startTimer(timer.get(), kResponseTimeout);
  }

  // Whether a message of this type may come now: an answer is a description, a row, its completion, or an
  // error instead, and then ReadyForQuery.
  bool expects(char type) const {
    switch (type) {
      case 'S':
      case 'N':
        return true;
      case 'R':
      case 'K':
        return connecting;
      case 'T':
        return !connecting && stage_ == Stage::Start;
      case 'D':
        return !connecting && stage_ == Stage::Described;
      case 'C':
        return !connecting && stage_ == Stage::Row;
      case 'E':
        return connecting || stage_ < Stage::Complete;
      case 'Z':
        return connecting || stage_ >= Stage::Complete;
      default:
        return false;
    }
  }
  bool malformed(const char* what) {
    owner_.onMalformedResponse(*this, what);
    return false;
  }

  // False: the connection has ended.
  bool handleMessage(char type, std::string_view body) {
    switch (type) {
      case 'E': {
        const pg::ErrorFields e = pg::parseError(body);
        if (e.code.empty()) return malformed("a malformed error");
        stage_ = Stage::Failed;
        // Syntax, data, protocol: the statement is at fault.
        invalidStatement_ = e.code.substr(0, 2) == "42" || e.code.substr(0, 2) == "22" || e.code == "08P01";
        result_ = e.code == "53300"                        ? AttemptStatus::Rejected
                  : connecting                             ? AttemptStatus::ConnectFailed
                  : e.code == "25006" || e.code == "72000" ? AttemptStatus::TooStale
                                                           : AttemptStatus::Error;
        // A probe's "not ready" is its answer; a line for each would crowd out those of requests.
        if (result_ == AttemptStatus::Error && e.code != "XX000" && request && !request->isHealthCheck())
          logEvent(LogLevel::Warning, "server_error", {{"code", e.code}, {"text", e.text}});
        failure_ = result_;
        if (!connecting && e.severity != "FATAL") return true;
        owner_.onConnectionLost(*this, result_);
        return false;
      }
      case 'S': {
        const auto [name, value] = pg::parseParameter(body);
        if (name.empty()) return malformed("a malformed parameter");
        if (name == "role")
          role_ = value == "primary" ? Role::Primary : value == "replica" ? Role::Replica : Role::Unknown;
        if (name == "applied_ms") {
          const char* const end = value.data() + value.size();
          const auto [stop, error] = std::from_chars(value.data(), end, positionMs_);
          if (error != std::errc() || stop != end) positionMs_ = 0;
        }
        if (name == "load") load_ = value;
        return true;
      }
      case 'R':
        if (body.size() == 4 && pg::readInt32(body.data()) == 0) return true;
        logEvent(LogLevel::Warning, "server_wants_password");
        owner_.onConnectionLost(*this, AttemptStatus::ConnectFailed);
        return false;
      case 'T':
        if (!pg::isRowDescription(body)) return malformed("a malformed description");
        stage_ = Stage::Described;
        return true;
      case 'D':
        if (const auto column = pg::parseColumn(body)) report_ = std::string(*column);
        stage_ = Stage::Row;
        return true;
      case 'C':
        if (!pg::isTag(body, !request->isHealthCheck())) return malformed("a malformed completion");
        stage_ = Stage::Complete;
        return true;
      case 'Z':
        if (body.size() != 1 || std::string_view("ITE").find(body[0]) == std::string_view::npos)
          return malformed("a malformed end");
        failure_ = AttemptStatus::Reset;
        if (!connecting) finishResponse();
        return true;
      default:
        return true;
    }
  }

  void finishResponse() {
    UpstreamRequest& j = *request;
    request = nullptr;
    j.connection = nullptr;
    event_del(timer.get());
    if (j.isHealthCheck()) return owner_.finishHealthCheck(j, report_.has_value(), report_.value_or(""));
    AttemptResult e;
    e.status = stage_ == Stage::Failed ? result_ : AttemptStatus::Ok;
    e.invalidStatement = invalidStatement_;
    e.role = role_;
    e.positionMs = positionMs_;
    if (!load_.empty()) e.report = owner_.parseLoadReport(load_);
    if (e.status == AttemptStatus::Ok) e.response = std::move(answer_);
    owner_.finishAttempt(j, std::move(e));
  }

  ConnectionPool& owner_;
  BufferEvent bev_;
  AttemptStatus failure_ = AttemptStatus::ConnectFailed;  // what its end means now
  AttemptStatus result_ = AttemptStatus::Reset;           // of the job, once told by an ErrorResponse
  Buffer answer_;
  enum class Stage { Start, Described, Row, Complete, Failed } stage_ = Stage::Start;  // of the answer
  bool invalidStatement_ = false;
  Role role_ = Role::Unknown;
  std::int64_t positionMs_ = 0;
  std::optional<std::string> report_;  // that a probe asked for
  std::string load_;                   // the report that came with an answer

 public:
  const EndpointId endpoint;
  const Address address;
  bool connecting = true;  // no ReadyForQuery has come yet
  UpstreamRequest* request = nullptr;
  Event timer;  // of the dial, then of idleness
};

ConnectionPool::ConnectionPool(event_base* base, Dispatcher& dispatcher, const Config& config)
    : base_(base),
      dispatcher_(dispatcher),
      config_(config),
      maxConnections_(config.maxServerConnections),
      minIdle_(std::min(kMinIdleConnections,
                        kMaxIdleOfAllProxies / static_cast<std::size_t>(config.settings.proxyCount))),
      maintenance_(event_new(
          base, -1, EV_PERSIST,
          [](evutil_socket_t, short, void* self) { static_cast<ConnectionPool*>(self)->maintainMinIdle(); },
          this)) {
  startTimer(maintenance_.get(), kMaintenanceInterval);
}
ConnectionPool::~ConnectionPool() = default;

void ConnectionPool::updateEndpoint(EndpointId id, const Address& address, bool ready) {
  Endpoint& e = endpoints_[id];
  const bool moved = !address.none() && address != e.address;
  if (moved) e.address = address;
  e.ready = ready;
  if (moved || !ready) closeIdle(e);
  maintainMinIdle();
}

void ConnectionPool::maintainMinIdle() {
  const Time now = dispatcher_.now();
  for (auto& [id, e] : endpoints_) {
    if (!e.ready || now < e.connectAgainAt) continue;
    while (e.idle.size() + static_cast<std::size_t>(e.connecting) < minIdle_ + e.waiting.size() &&
           connections_.size() < maxConnections_ / 2)
      openConnection(id, e);
  }
}

bool ConnectionPool::makeRoom() {
  if (connections_.size() < maxConnections_) return true;
  for (auto& [id, e] : endpoints_)
    if (!e.idle.empty()) {
      close(*e.idle.front());
      return true;
    }
  return false;
}

void ConnectionPool::openConnection(EndpointId id, Endpoint& e) {
  auto c = std::make_unique<Connection>(*this, id, e.address);
  ++e.connecting;
  connections_.emplace(c.get(), std::move(c));
}

// ---- jobs ------------------------------------------------------------------------------------------------
void ConnectionPool::send(RequestId id, int attempt, EndpointId endpoint, Time deadline,
                          std::shared_ptr<const ForwardedRequest> message) {
  auto j = std::make_unique<UpstreamRequest>();
  j->id = id;
  j->attempt = attempt;
  j->endpoint = endpoint;
  j->deadline = deadline;
  j->message = std::move(message);
  start(*attempts_.emplace(AttemptKey(id, attempt), std::move(j)).first->second);
}

void ConnectionPool::checkHealth(EndpointId endpoint) {
  Endpoint& e = endpoints_[endpoint];
  e.healthCheck = std::make_unique<UpstreamRequest>();
  e.healthCheck->endpoint = endpoint;
  e.healthCheck->deadline = dispatcher_.now() + config_.connectTimeout;
  start(*e.healthCheck);
}

void ConnectionPool::removeEndpoint(EndpointId id) {
  std::vector<Connection*> all;
  for (const auto& [c, owned] : connections_)
    if (c->endpoint == id) all.push_back(c);
  for (Connection* c : all) close(*c);
  endpoints_.erase(id);
}

void ConnectionPool::start(UpstreamRequest& j) {
  j.owner = this;
  j.timer.reset(event_new(
      base_, -1, 0,
      [](evutil_socket_t, short, void* of) {
        static_cast<UpstreamRequest*>(of)->owner->onDeadline(*static_cast<UpstreamRequest*>(of));
      },
      &j));
  startTimer(j.timer.get(), j.deadline - dispatcher_.now());
  Endpoint& e = endpoints_[j.endpoint];
  while (!e.idle.empty()) {
    Connection& c = *e.idle.back();
    e.idle.pop_back();
    if (!c.isClean()) {
      close(c);
      continue;
    }
    c.assign(j);
    return write(j);
  }
  if (!makeRoom()) {  // by the limits on clients there is room for all that they can ask at once
    logEvent(LogLevel::Warning, "server_connections_full", {{"most", maxConnections_}});
    AttemptResult none;
    none.status = AttemptStatus::NotSent;
    return j.isHealthCheck() ? finishHealthCheck(j, false) : finishAttempt(j, std::move(none));
  }
  e.waiting.push_back(&j);
  if (static_cast<std::size_t>(e.connecting) < e.waiting.size()) openConnection(j.endpoint, e);
}

bool ConnectionPool::onReady(Connection& c) {
  Endpoint& e = endpoints_[c.endpoint];
  if (c.address != e.address) {  // the member has moved meanwhile
    const EndpointId id = c.endpoint;
    close(c);
    if (e.waiting.size() > static_cast<std::size_t>(e.connecting)) openConnection(id, e);
    return false;
  }
  if (c.connecting) e.connecting -= 1;
  c.connecting = false;
  if (!e.waiting.empty()) {
    UpstreamRequest& j = *e.waiting.front();
    e.waiting.pop_front();
    c.assign(j);
    // An attempt that had to wait is looked at again: drains and the data's age count from the bytes sent.
    if (j.isHealthCheck())
      write(j);
    else
      dispatcher_.onConnected(j.id, j.attempt);
    return true;
  }
  if (!e.ready) {
    close(c);
    return false;
  }
  e.idle.push_back(&c);
  startTimer(c.timer.get(), Time(static_cast<std::int64_t>(static_cast<double>(config_.idleTimeout.count()) *
                                                           kIdleTimeoutShare)));
  return true;
}

void ConnectionPool::resumeAttempt(RequestId id, int attempt, bool fit) {
  const auto it = attempts_.find({id, attempt});
  if (it == attempts_.end() || !it->second->connection || it->second->written) return;
  UpstreamRequest& j = *it->second;
  if (fit) return write(j);
  Connection& c = *j.connection;
  c.request = nullptr;
  j.connection = nullptr;
  AttemptResult none;
  none.status = AttemptStatus::NotSent;
  finishAttempt(j, std::move(none));
  onReady(c);
}

void ConnectionPool::write(UpstreamRequest& j) {
  evbuffer* const out = j.connection->output();
  j.written = true;
  if (j.isHealthCheck()) return append(out, pg::query("SHOW load"));
  // The statement goes on as it came, by reference, but for the time that is left.
  const auto left = std::max<std::int64_t>((j.deadline - dispatcher_.now()).count() / 1000, 1);
  const std::string digits = std::to_string(left);
  const std::size_t length = evbuffer_get_length(j.message->before.get()) + digits.size() +
                             evbuffer_get_length(j.message->after.get());
  append(out, pg::queryHead(length));
  evbuffer_add_buffer_reference(out, j.message->before.get());
  append(out, digits);
  evbuffer_add_buffer_reference(out, j.message->after.get());
}

void ConnectionPool::cancel(RequestId id, int attempt) {
  const auto it = attempts_.find({id, attempt});
  if (it == attempts_.end()) return;  // its end is on the way already
  UpstreamRequest& j = *it->second;
  AttemptResult e;
  e.status = j.written ? AttemptStatus::Cancelled : AttemptStatus::NotSent;
  if (Connection* const c = j.connection) {
    j.connection = nullptr;
    c->request = nullptr;
    if (j.written)
      close(*c);
    else
      onReady(*c);
  }
  finishAttempt(j, std::move(e));
}

void ConnectionPool::onDeadline(UpstreamRequest& j) {
  AttemptResult e;
  e.status = j.written ? AttemptStatus::Timeout : AttemptStatus::NotSent;  // what never left did not run
  if (Connection* const c = j.connection) {
    j.connection = nullptr;
    c->request = nullptr;
    close(*c);
  }
  if (!j.isHealthCheck()) return finishAttempt(j, std::move(e));
  // Guards against the silent connections of a machine that is cut off: a probe is answered at once or not at
  // all, so the other idle ones are no better. A send that has to dial fails without having run, and soon; on
  // a silent connection it is lost until its deadline, and may have run.
  Endpoint& endpoint = endpoints_[j.endpoint];
  closeIdle(endpoint);
  endpoint.connectAgainAt = dispatcher_.now() + kReconnectDelay;
  finishHealthCheck(j, false);
}

void ConnectionPool::finishAttempt(UpstreamRequest& j, AttemptResult e) {
  auto& waiting = endpoints_[j.endpoint].waiting;
  waiting.erase(std::remove(waiting.assign(), waiting.end(), &j), waiting.end());
  dispatcher_.onAttemptEnded(j.id, j.attempt, j.endpoint, std::move(e));
  attempts_.erase({j.id, j.attempt});
}

void ConnectionPool::finishHealthCheck(UpstreamRequest& j, bool ok, std::string_view report) {
  Endpoint& e = endpoints_[j.endpoint];
  e.waiting.erase(std::remove(e.waiting.assign(), e.waiting.end(), &j), e.waiting.end());
  dispatcher_.onHealthCheck(j.endpoint, ok, ok ? parseLoadReport(report) : std::vector<double>());
  e.healthCheck.reset();
}

// The figures of a report, or none where one of them cannot be: a spoilt report is no fact. A data server
// that has nothing to report yet answers all the same, with an empty row: it is no silence.
std::vector<double> ConnectionPool::parseLoadReport(std::string_view report) const {
  const double now = static_cast<double>(dispatcher_.now().count()) / 1e6;
  std::vector<double> figures(config_.reportNames.size());
  for (std::size_t k = 0; k < figures.size(); ++k) {
    double& v = figures[k];
    if (!findValue(report, config_.reportNames[k], v) || !std::isfinite(v)) return {};
    switch (config_.settings.reportFields[k]) {
      case ReportField::Position:
        if (v < 0 || v > now + 1) return {};
        break;
      case ReportField::Primary:
        if (v != 0 && v != 1) return {};
        break;
      default:
        if (v < 0 || v > kMaxPlausibleInFlight) return {};
    }
  }
  return figures;
}

// ---- the end of connections ------------------------------------------------------------------------------
void ConnectionPool::onConnectionLost(Connection& c, AttemptStatus how) {
  Endpoint& e = endpoints_[c.endpoint];
  UpstreamRequest* const j = c.request;
  const bool connecting = c.connecting, invalidStatement = c.invalidStatement();
  // Written to the last byte it may have run; before that it never has.
  if (j && how == AttemptStatus::Reset && (!j->written || !c.flushed())) how = AttemptStatus::ConnectFailed;
  if (j) {
    j->connection = nullptr;
    c.request = nullptr;
  }
  close(c);
  // Guards against taking the end of a kept connection for that of its member: the probe goes out on another.
  if (j && j->isHealthCheck() && ++j->connectionsLost < kMaxHealthCheckConnections) {
    j->written = false;
    return start(*j);
  }
  if (j && j->isHealthCheck()) return finishHealthCheck(*j, false);
  if (j) {
    AttemptResult ending;
    ending.status = how;
    ending.invalidStatement = invalidStatement;
    return finishAttempt(*j, std::move(ending));
  }
  if (connecting) onConnectFailed(e, how);
}

// What cannot be an answer, or stands where none is due. An attempt that was written may have run; a probe
// was answered, however badly: its member lives.
void ConnectionPool::onMalformedResponse(Connection& c, const char* what) {
  logEvent(LogLevel::Warning, "server_spoilt", {{"what", what}});
  Endpoint& e = endpoints_[c.endpoint];
  UpstreamRequest* const j = c.request;
  const bool connecting = c.connecting, ran = j && j->written && c.flushed();
  if (j) {
    j->connection = nullptr;
    c.request = nullptr;
  }
  close(c);
  if (!j) {
    if (connecting) onConnectFailed(e, AttemptStatus::ConnectFailed);
    return;
  }
  if (j->isHealthCheck()) return finishHealthCheck(*j, true);
  AttemptResult ending;
  ending.status = ran ? AttemptStatus::Error : AttemptStatus::NotSent;
  finishAttempt(*j, std::move(ending));
}

void ConnectionPool::onConnectFailed(Endpoint& e, AttemptStatus how) {
  e.connectAgainAt = dispatcher_.now() + kReconnectDelay;
  if (e.waiting.size() <= static_cast<std::size_t>(e.connecting)) return;
  UpstreamRequest& j = *e.waiting.front();
  if (j.isHealthCheck()) return finishHealthCheck(j, false);
  AttemptResult ending;
  ending.status = how;
  finishAttempt(j, std::move(ending));
}

void ConnectionPool::closeIdle(Endpoint& e) {
  const std::vector<Connection*> idle = e.idle;
  for (Connection* c : idle) close(*c);
}

void ConnectionPool::close(Connection& c) {
  Endpoint& e = endpoints_[c.endpoint];
  if (c.connecting) e.connecting -= 1;
  e.idle.erase(std::remove(e.idle.assign(), e.idle.end(), &c), e.idle.end());
  connections_.erase(&c);
}

}  // namespace stonebay
