#include "dispatch/dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "log/log.hpp"
#include "util/hash.hpp"

namespace stonebay {

namespace {

// Positions older than this at the start, or at a rebase, are told as unknown.
constexpr Time kEpochLead = std::chrono::minutes(1);
// After so long, zero moves on: at two hours an f32 of seconds still tells half a millisecond apart, and
// 4 x milliseconds fill a u32 only after twelve days.
constexpr Time kEpochInterval = std::chrono::hours(2);
constexpr Time kDepartedRemovalInterval = std::chrono::seconds(1);

std::uint64_t keyOf(const std::string& name) { return fnv1a(name) >> (64 - gossip::kKeyBits); }

const char* resultName(AttemptStatus r) {
  switch (r) {
    case AttemptStatus::Ok:
      return "ok";
    case AttemptStatus::Error:
      return "error";
    case AttemptStatus::Rejected:
      return "full";
    case AttemptStatus::Timeout:
      return "timeout";
    case AttemptStatus::ConnectFailed:
      return "connect_failed";
    case AttemptStatus::Reset:
      return "reset";
    case AttemptStatus::Cancelled:
      return "cancelled";
    case AttemptStatus::NotSent:
      return "moot";
    case AttemptStatus::TooStale:
      return "miss";
  }
  return "unknown";
}
std::string inMs(Time t) {
  const auto tenths = std::abs(t.count() / 100);
  return (t.count() <= -100 ? "-" : "") + std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
}

}  // namespace

// Rounded down: data must not look newer than it is.
float secondsSince(Time zero, double unixSeconds) {
  const double since = unixSeconds - static_cast<double>(zero.count()) / 1e6;
  if (!(since > 0)) return 0;
  const float f = static_cast<float>(since);
  return static_cast<double>(f) > since ? std::nextafterf(f, 0.0f) : f;
}
std::uint32_t millisecondsSince(Time zero, std::int64_t unixMs) {
  const std::int64_t since = unixMs - zero.count() / 1000;
  return since > 0 && since < (std::int64_t{1} << 30) ? static_cast<std::uint32_t>(since) : 0;
}

Dispatcher::Dispatcher(event_base* base, const Config& config)
    : config_(config),
      now_(clock_.now()),
      positionEpoch_(std::max(now_ - kEpochLead, Time(0))),
      alarm_(event_new(
          base, -1, 0, [](evutil_socket_t, short, void*) {}, nullptr)) {
  // Positions are whole milliseconds of Unix time; so is zero, lest rounding make data look newer.
  positionEpoch_ = std::chrono::duration_cast<std::chrono::milliseconds>(positionEpoch_);
  Settings settings = config.settings;
  settings.positionEpoch = positionEpoch_;
  balancer_ = std::make_unique<LoadBalancer>(settings, config.seed, static_cast<ActionSink&>(*this));
}
Dispatcher::~Dispatcher() = default;

void Dispatcher::start(EndpointPool& endpoints, EndpointWatcher& watcher, GossipChannel* gossip) {
  endpoints_ = &endpoints;
  watcher_ = &watcher;
  gossip_ = gossip;
  events_.emplace_back(Listed{false, config_.knownEndpoints});
}

RequestId Dispatcher::submit(ResponseHandler& handler, Request q, ForwardedRequest message) {
  q.id = ++lastRequestId_;
  inFlight_[q.id] = InFlightRequest{&handler, std::make_shared<const ForwardedRequest>(std::move(message)), q,
                                    clock_.now()};
  events_.emplace_back(Arrived{q});
  return q.id;
}
void Dispatcher::onClientLeft(RequestId id) {
  const auto it = inFlight_.find(id);
  if (it == inFlight_.end()) return;
  it->second.handler = nullptr;
  events_.emplace_back(Left{id});
}
void Dispatcher::onConnected(RequestId id, int attempt) { events_.emplace_back(Connected{id, attempt}); }
void Dispatcher::onAttemptEnded(RequestId id, int attempt, EndpointId member, AttemptResult ending) {
  events_.emplace_back(Ended{id, attempt, member, std::move(ending)});
}
void Dispatcher::onHealthCheck(EndpointId member, bool ok, const std::vector<double>& report) {
  events_.emplace_back(Probed{member, ok, report});
}
void Dispatcher::onGossip(const gossip::Message& w) { events_.emplace_back(Heard{w}); }
void Dispatcher::onEndpointList(InstanceList list) { events_.emplace_back(Listed{false, std::move(list)}); }
void Dispatcher::onListFailure(const std::string&) { events_.emplace_back(Listed{true, {}}); }

void Dispatcher::processEvents() {
  now_ = std::max(now_, clock_.now());
  advanceEpoch();
  std::vector<Incoming> events;
  events.swap(events_);
  for (Incoming& event : events) std::visit([&](auto& e) { deliver(e); }, event);
  while (!timers_.empty() && timers_.top().due <= now_) {
    const TimerToken token = timers_.top().token;
    timers_.pop();
    balancer_->onTimer(now_, token);
  }
  if (now_ - departedRemovedAt_ >= kDepartedRemovalInterval) removeDeparted(now_);
  if (gossip_ && !gossipMessages_.empty()) gossip_->broadcast(gossipMessages_);
  gossipMessages_.clear();
  std::vector<std::function<void()>> actions;
  actions.swap(actions_);
  for (const auto& act : actions) act();
  if (timers_.empty())
    event_del(alarm_.get());
  else
    startTimer(alarm_.get(), timers_.top().due - clock_.now());
}

// Guards against growth where data servers are replaced: each new one has a new name.
void Dispatcher::removeDeparted(Time now) {
  departedRemovedAt_ = now_ = std::max(now_, now);
  for (const EndpointId id : balancer_->removeDeparted(now_)) {
    for (auto it = ids_.begin(); it != ids_.end();) it = it->second == id ? ids_.erase(it) : std::next(it);
    for (auto it = keys_.begin(); it != keys_.end();) it = it->second == id ? keys_.erase(it) : std::next(it);
    actions_.emplace_back([this, id] { endpoints_->removeEndpoint(id); });
  }
}

void Dispatcher::advanceEpoch() {
  if (now_ - positionEpoch_ < kEpochInterval) return;
  positionEpoch_ = std::chrono::duration_cast<std::chrono::milliseconds>(now_ - kEpochLead);
  balancer_->setPositionEpoch(positionEpoch_);
}

// ---- events ----------------------------------------------------------------------------------------------
void Dispatcher::deliver(Arrived& e) { balancer_->onRequest(now_, e.request); }

void Dispatcher::deliver(Left& e) {
  balancer_->onClientLeft(now_, e.id);
  inFlight_.erase(e.id);
}

void Dispatcher::deliver(Connected& e) {
  const auto it = inFlight_.find(e.id);
  const bool eligible = it != inFlight_.end() &&
                        balancer_->isStillEligible(
                            now_, e.id, it->second.attempts[static_cast<std::size_t>(e.attempt)].endpoint);
  actions_.emplace_back(
      [this, id = e.id, attempt = e.attempt, eligible] { endpoints_->resumeAttempt(id, attempt, eligible); });
}

void Dispatcher::deliver(Ended& e) {
  const auto it = inFlight_.find(e.id);
  AttemptOutcome o;
  o.request = e.id;
  o.attempt = e.attempt;
  o.endpoint = e.endpoint;
  o.status = e.result.status;
  // A bad statement is the client's fault: it is not tried elsewhere, nor held against the member.
  if (e.result.invalidStatement) o.status = AttemptStatus::Cancelled;
  o.requestClosed = it == inFlight_.end() || o.status == AttemptStatus::Ok || e.result.invalidStatement;
  o.role = e.result.role;
  if (const auto ms = millisecondsSince(positionEpoch_, e.result.positionMs); ms > 0)
    o.position = positionEpoch_ + std::chrono::milliseconds(ms);
  o.report = reportValues(e.result.report);
  if (it != inFlight_.end()) {
    AttemptRecord& t = it->second.attempts[static_cast<std::size_t>(e.attempt)];
    t.endedAt = now_;
    t.how = resultName(o.status);
  }
  if (it != inFlight_.end() && o.requestClosed) {
    const InFlightRequest& h = it->second;
    const auto& cls = config_.settings.classes[static_cast<std::size_t>(h.request.classIndex)];
    if (e.result.invalidStatement || now_ - h.arrivedAt > cls.latencyObjective)
      logRequestEnd(h, e.result.invalidStatement ? "failed" : "late");
    ResponseHandler* const handler = it->second.handler;
    if (handler && e.result.invalidStatement)
      actions_.emplace_back([handler] { handler->onFailed(); });
    else if (handler)
      actions_.emplace_back([handler, answer = std::make_shared<Buffer>(std::move(e.result.response))] {
        handler->onResponse(std::move(*answer));
      });
    inFlight_.erase(it);
  }
  balancer_->onAttemptOutcome(now_, o);
}

void Dispatcher::deliver(Probed& e) {
  HealthCheckResult p;
  p.endpoint = e.endpoint;
  p.ok = e.ok;
  p.report = reportValues(e.report);
  balancer_->onHealthCheck(now_, p);
}

std::vector<float> Dispatcher::reportValues(const std::vector<double>& report) const {
  std::vector<float> figures;
  for (std::size_t k = 0; k < report.size() && k < config_.settings.reportFields.size(); ++k)
    figures.push_back(config_.settings.reportFields[k] == ReportField::Position
                          ? secondsSince(positionEpoch_, report[k])
                          : static_cast<float>(report[k]));
  return figures;
}

void Dispatcher::deliver(Heard& e) {
  const auto it = keys_.find(e.message.key);
  if (it == keys_.end() || it->second == 0) return;  // of a member that the list here does not name
  GossipMessage w;
  w.endpoint = it->second;
  w.position = std::chrono::milliseconds(e.message.positionMs);
  w.primary = e.message.primary;
  w.inFlight = e.message.inFlight;
  if (e.message.positionMs > 0) balancer_->onGossip(now_, w);
}

void Dispatcher::deliver(Listed& e) {
  if (e.failed) return balancer_->onEndpointList(now_, EndpointListKind::Failed, {});
  const bool first = lastEndpointId_ == 0 && generation_ == 0;
  generation_ = e.list.generation;
  deliverList(first          ? EndpointListKind::Cached
              : e.list.reset ? EndpointListKind::Full
                             : EndpointListKind::Delta,
              e.list);
}

void Dispatcher::deliverList(EndpointListKind kind, const InstanceList& list) {
  std::vector<EndpointUpdate> entries;
  for (const Instance& i : list.instances) {
    const bool unknown = ids_.find(i.name) == ids_.end();
    if (unknown && i.state == Lifecycle::Gone) continue;  // it came and went unseen
    EndpointUpdate m;
    m.id = idOf(i.name);
    m.group = i.group;
    const auto zone = std::find(config_.zones.begin(), config_.zones.end(), i.zone);
    m.zone = static_cast<int>(zone - config_.zones.begin());
    m.state = i.state;
    m.weight = i.weight;
    m.started = std::chrono::milliseconds(i.startedMs);
    entries.push_back(m);
    endpoints_->updateEndpoint(m.id, i.address, i.state == Lifecycle::Ready);
  }
  if (kind != EndpointListKind::Delta)
    for (const auto& [name, id] : ids_) {
      const EndpointId key = id;
      if (std::none_of(entries.begin(), entries.end(), [&](const auto& m) { return m.id == key; }))
        endpoints_->updateEndpoint(id, Address(), false);
    }
  balancer_->onEndpointList(now_, kind, entries);
}

const std::string& Dispatcher::nameOf(EndpointId id) const {
  static const std::string none = "?";
  for (const auto& [name, known] : ids_)
    if (known == id) return name;
  return none;
}

// A request that its client will complain of: its way from its last byte to its final answer, by the id that
// the client and the data servers know. Of each attempt: the member, when it was decided, how and when it
// ended.
void Dispatcher::logRequestEnd(const InFlightRequest& h, const char* how) const {
  std::string attempts;
  for (const AttemptRecord& t : h.attempts) {
    if (!attempts.empty()) attempts += ' ';
    attempts += nameOf(t.endpoint) + "@" + inMs(t.sentAt - h.arrivedAt) + ":" + t.how;
    if (t.endedAt > Time(0)) attempts += "@" + inMs(t.endedAt - h.arrivedAt);
  }
  logEvent(LogLevel::Info, "request_ended",
           {{"id", h.message->id},
            {"class", config_.classes[static_cast<std::size_t>(h.request.classIndex)]},
            {"group", h.request.group},
            {"how", how},
            {"after_ms", inMs(now_ - h.arrivedAt)},
            {"of_ms", inMs(h.request.deadline - h.arrivedAt)},
            {"attempts", attempts}});
}

EndpointId Dispatcher::idOf(const std::string& name) {
  const auto [it, added] = ids_.emplace(name, lastEndpointId_ + 1);
  lastEndpointId_ += added;  // no id is given twice, for late events bear them
  if (added && !keys_.emplace(keyOf(name), it->second).second) keys_[keyOf(name)] = 0;
  return it->second;
}

// ---- actions: recorded here, carried out at the end of the turn
// ---------------------------------------------
void Dispatcher::send(RequestId id, EndpointId member, Time until) {
  const auto it = inFlight_.find(id);
  if (it == inFlight_.end()) return;  // no send is decided for what has been answered
  InFlightRequest& h = it->second;
  const int attempt = static_cast<int>(h.attempts.size());
  h.attempts.push_back({member, now_});
  actions_.emplace_back([this, id, attempt, member, until, message = h.message] {
    endpoints_->send(id, attempt, member, until, message);
  });
}
void Dispatcher::reject(RequestId id, Time retryAfter) {
  const auto it = inFlight_.find(id);
  if (it == inFlight_.end()) return;
  if (ResponseHandler* const handler = it->second.handler)
    actions_.emplace_back([handler, retryAfter] { handler->onRejected(retryAfter); });
  logRequestEnd(it->second, "refused");
  inFlight_.erase(it);
}
void Dispatcher::fail(RequestId id) {
  const auto it = inFlight_.find(id);
  if (it == inFlight_.end()) return;
  if (ResponseHandler* const handler = it->second.handler)
    actions_.emplace_back([handler] { handler->onFailed(); });
  logRequestEnd(it->second, "failed");
  inFlight_.erase(it);
}
void Dispatcher::cancel(RequestId id, int attempt) {
  actions_.emplace_back([this, id, attempt] { endpoints_->cancel(id, attempt); });
}
void Dispatcher::scheduleTimer(Time in, TimerToken token) {
  timers_.push({now_ + in, ++timersScheduled_, token});
}
void Dispatcher::checkHealth(EndpointId member) {
  actions_.emplace_back([this, member] { endpoints_->checkHealth(member); });
}
void Dispatcher::broadcast(const GossipMessage& w) {
  gossip::Message word;
  word.key = keyOf(nameOf(w.endpoint));
  word.positionMs = w.position.count() / 1000;
  word.primary = w.primary;
  word.inFlight = w.inFlight;
  gossipMessages_.push_back(word);
}
void Dispatcher::pollDiscovery() {
  actions_.emplace_back([this] { watcher_->watch(generation_); });
}
void Dispatcher::log(const std::string& line) { logEvent(LogLevel::Info, "decision", {{"text", line}}); }

}  // namespace stonebay
