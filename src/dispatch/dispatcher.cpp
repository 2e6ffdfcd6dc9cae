#include "dispatch/dispatcher.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <unordered_set>
#include <utility>
#include <variant>

#include "dispatch/translation.hpp"
#include "log/log.hpp"
#include "util/event_loop.hpp"

namespace stonebay {
namespace {

constexpr Duration kDepartedRemovalInterval = std::chrono::seconds(1);
// A load report whose corrected position is further ahead of the present is discarded.
constexpr Duration kMaxPositionLead = std::chrono::seconds(1);
constexpr double kMicrosecondsPerSecond = 1e6;

TimePoint fromUnixMs(std::int64_t unixMs) { return TimePoint(std::chrono::milliseconds(unixMs)); }

std::int64_t toMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

Dispatcher::Dispatcher(event_base* base, const Config& config)
    : base_(base),
      config_(config),
      now_(now()),
      positionEpoch_(now_),
      wakeUp_(event_new(
          base, -1, 0, [](evutil_socket_t, short, void*) {}, nullptr)),
      passLimit_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<Dispatcher*>(self)->interruptPass(); },
          this)) {
  event_priority_set(passLimit_.get(), kUrgentPriority);
  Settings settings = config.settings;
  settings.positionEpoch = positionEpoch_.value();
  balancer_ = std::make_unique<LoadBalancer>(settings, config.seed, static_cast<ActionSink&>(*this));
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::start(EndpointPool& endpoints, EndpointWatcher& watcher, GossipChannel* gossip) {
  endpoints_ = &endpoints;
  watcher_ = &watcher;
  gossip_ = gossip;
  record(EndpointListReceived{config_.initialEndpoints});
}

RequestId Dispatcher::submit(ResponseHandler& handler, Request request, ForwardedRequest message) {
  request.id = ++lastRequestId_;
  InFlightRequest& entry = inFlight_[request.id];
  entry.handler = &handler;
  entry.message = std::make_shared<const ForwardedRequest>(std::move(message));
  entry.request = request;
  entry.arrivedAt = now();
  record(RequestArrived{request});
  return request.id;
}

void Dispatcher::onClientLeft(RequestId id) {
  const auto it = inFlight_.find(id);
  if (it == inFlight_.end()) return;
  it->second.handler = nullptr;
  record(ClientLeft{id});
}

bool Dispatcher::hasAttempts(RequestId id) const {
  const auto it = inFlight_.find(id);
  return it != inFlight_.end() && !it->second.attempts.empty();
}

bool Dispatcher::mayBeWritten(RequestId id) const {
  const auto it = inFlight_.find(id);
  if (it == inFlight_.end() || it->second.handler == nullptr) return false;
  return now() < it->second.request.deadline && !it->second.handler->clientHasLeft();
}

void Dispatcher::onConnected(RequestId id, int attempt) { record(AttemptConnected{id, attempt}); }

void Dispatcher::onAttemptEnded(RequestId id, int attempt, EndpointId endpoint, AttemptResult result) {
  record(AttemptEnded{id, attempt, endpoint, std::move(result)});
}

void Dispatcher::onHealthCheck(EndpointId endpoint, bool ok, const std::vector<double>& report) {
  record(HealthCheckEnded{endpoint, ok, report});
}

void Dispatcher::onGossip(const gossip::Message& message) { record(GossipReceived{message}); }

void Dispatcher::onEndpointList(EndpointListUpdate list) { record(EndpointListReceived{std::move(list)}); }

void Dispatcher::onListFailure(const std::string& /*why*/) { record(EndpointListFailed{}); }

TimePoint Dispatcher::now() const {
  const TimePoint present(clock_.now());
  monitor_->onCallback(present);
  return present;
}

void Dispatcher::processEvents() {
  now_ = std::max(now_, now());
  monitor_->onEventsStart(now_, events_.size());
  if (positionEpoch_.advance(now_)) balancer_->setPositionEpoch(positionEpoch_.value());
  std::vector<DispatchEvent> events;
  events.swap(events_);
  for (DispatchEvent& event : events) {
    monitor_->onEvent(event);
    std::visit([&](auto& alternative) { deliver(alternative); }, event);
  }
  deliverDueTimers();
  if (now_ - departedRemovedAt_ >= kDepartedRemovalInterval) removeDeparted(now_);
  if (gossip_ && !gossipMessages_.empty()) gossip_->broadcast(gossipMessages_);
  gossipMessages_.clear();
  monitor_->onActionsStart(now(), actions_.size());
  runActions();
  scheduleWakeUp();
  monitor_->onPassEnd(now());
}

// Each endpoint that replaces another one has a new name, so without this the tables would grow without
// bound.
void Dispatcher::removeDeparted(TimePoint now) {
  now_ = std::max(now_, now);
  departedRemovedAt_ = now_;
  for (const EndpointId id : balancer_->removeDeparted(now_)) {
    ids_.erase(id);
    actions_.emplace_back([this, id] { endpoints_->removeEndpoint(id); });
  }
}

// Actions may record events but never call the LoadBalancer, so no action is recorded while they run.
void Dispatcher::runActions() {
  std::vector<std::function<void()>> actions;
  actions.swap(actions_);
  for (const auto& action : actions) action();
}

void Dispatcher::record(DispatchEvent event) {
  if (events_.empty()) limitPass(now() + kMaxCallbackTime);
  events_.push_back(std::move(event));
}

void Dispatcher::scheduleWakeUp() {
  passLimitAt_.reset();
  event_del(passLimit_.get());
  if (!events_.empty()) limitPass(now() + kMaxCallbackTime);
  if (const std::optional<TimePoint> due = timers_.nextDue()) {
    startTimer(wakeUp_.get(), *due - now());
    limitPass(*due + kMaxCallbackTime);
  } else {
    event_del(wakeUp_.get());
  }
}

void Dispatcher::interruptPass() {
  monitor_->onPassInterrupted();
  event_base_loopbreak(base_);
}

void Dispatcher::limitPass(TimePoint end) {
  if (passLimitAt_ && *passLimitAt_ <= end) return;
  passLimitAt_ = end;
  startTimer(passLimit_.get(), end - now());
}

// ---- events ----------------------------------------------------------------------------------------------

void Dispatcher::deliver(const RequestArrived& event) { balancer_->onRequest(now_, event.request); }

void Dispatcher::deliver(const ClientLeft& event) {
  balancer_->onClientLeft(now_, event.id);
  const auto it = inFlight_.find(event.id);
  if (it == inFlight_.end()) return;
  const int attempts = static_cast<int>(it->second.attempts.size());
  for (int attempt = 0; attempt < attempts; ++attempt)
    actions_.emplace_back([this, id = event.id, attempt] { endpoints_->withdraw(id, attempt); });
  logRequestEnd(it->second, RequestEnd::ClientLeft, "client_left", now_, config_, ids_);
  inFlight_.erase(it);
}

void Dispatcher::deliver(const AttemptConnected& event) {
  const RequestId id = event.id;
  const int attempt = event.attempt;
  const auto it = inFlight_.find(id);
  bool eligible = false;
  if (it != inFlight_.end()) {
    AttemptRecord& record = it->second.attempts[static_cast<std::size_t>(attempt)];
    record.connectedAt = now_;
    eligible = balancer_->isStillEligible(now_, id, record.endpoint);
  }
  actions_.emplace_back([this, id, attempt, eligible] { endpoints_->resumeAttempt(id, attempt, eligible); });
}

void Dispatcher::deliver(AttemptEnded& event) {
  const auto it = inFlight_.find(event.id);
  const bool wasInFlight = it != inFlight_.end();
  AttemptResult& result = event.result;
  correctReport(result.report);
  if (result.positionMs > 0) {
    updateWallClockCorrection(fromUnixMs(result.positionMs), result.role == Role::Primary);
    result.positionMs -= toMilliseconds(wallClockCorrection_.value());
  }
  const AttemptOutcome outcome =
      toAttemptOutcome(event, !wasInFlight, config_.settings.reportFields, positionEpoch_);
  if (wasInFlight) {
    AttemptRecord& record = it->second.attempts[static_cast<std::size_t>(event.attempt)];
    record.endedAt = now_;
    record.status = outcome.status;
    if (outcome.requestFinished) respond(it, event.result);
  }
  balancer_->onAttemptOutcome(now_, outcome);
}

// Gives the client its final response: the response of the successful attempt, or a failure if the statement
// is invalid.
void Dispatcher::respond(InFlightRequests::iterator entry, AttemptResult& result) {
  const InFlightRequest& request = entry->second;
  const auto classIndex = static_cast<std::size_t>(request.request.classIndex);
  const Duration latencyObjective = config_.settings.classes[classIndex].latencyObjective;
  if (result.invalidStatement)
    logRequestEnd(request, RequestEnd::Failed, "invalid_statement", now_, config_, ids_);
  else if (now_ - request.arrivedAt > latencyObjective)
    logRequestEnd(request, RequestEnd::LatencyObjectiveMissed, "latency_objective_missed", now_, config_,
                  ids_);

  if (ResponseHandler* const handler = request.handler) {
    if (result.invalidStatement) {
      actions_.emplace_back([handler] { handler->onFailed(); });
    } else {
      // std::function requires a copyable callable, and Buffer is not copyable.
      const auto response = std::make_shared<Buffer>(std::move(result.response));
      actions_.emplace_back([handler, response] { handler->onResponse(std::move(*response)); });
    }
  }
  inFlight_.erase(entry);
}

void Dispatcher::deliver(HealthCheckEnded& event) {
  correctReport(event.report);
  balancer_->onHealthCheck(now_, toHealthCheckResult(event, config_.settings.reportFields, positionEpoch_));
}

void Dispatcher::correctReport(std::vector<double>& report) {
  const std::vector<ReportField>& fields = config_.settings.reportFields;
  const auto positionField = std::find(fields.begin(), fields.end(), ReportField::Position);
  const auto positionIndex = static_cast<std::size_t>(positionField - fields.begin());
  if (positionIndex >= report.size()) return;
  const auto primaryField = std::find(fields.begin(), fields.end(), ReportField::Primary);
  const auto primaryIndex = static_cast<std::size_t>(primaryField - fields.begin());
  double& seconds = report[positionIndex];
  if (seconds <= 0) return;
  const bool isPrimary = primaryIndex < report.size() && report[primaryIndex] == 1;
  const TimePoint position(Duration(static_cast<std::int64_t>(seconds * kMicrosecondsPerSecond)));
  updateWallClockCorrection(position, isPrimary);
  seconds -= static_cast<double>(wallClockCorrection_.value().count()) / kMicrosecondsPerSecond;
  if (position - wallClockCorrection_.value() > now_ + kMaxPositionLead) report.clear();
}

void Dispatcher::updateWallClockCorrection(TimePoint position, bool isPrimary) {
  const Duration change = wallClockCorrection_.observe(position, isPrimary, now_);
  if (change == Duration(0)) return;
  balancer_->shiftUnixTimes(now_, -change);
  logEvent(LogLevel::Warning, "wall_clock_corrected",
           {{"by_us", change.count()}, {"total_us", wallClockCorrection_.value().count()}});
}

void Dispatcher::deliver(GossipReceived& event) {
  // Other proxies may know endpoints that are not in this proxy's list.
  const std::optional<EndpointId> endpoint = ids_.findByGossipKey(event.message.key);
  if (!endpoint || event.message.positionMs <= 0) return;
  event.message.positionMs -= toMilliseconds(wallClockCorrection_.value());
  balancer_->onGossip(now_, fromGossip(event.message, *endpoint));
}

void Dispatcher::deliver(const EndpointListFailed& /*event*/) {
  balancer_->onDiscoveryFailure(now_, watcher_->sinceContact());
}

void Dispatcher::deliver(const EndpointListReceived& event) {
  const EndpointListKind kind = listKind(event.list);
  generation_ = event.list.generation;
  std::vector<EndpointUpdate> entries;
  for (const Instance& instance : event.list.instances) {
    const bool isUnknownRemoval = instance.state == Lifecycle::Removed && !ids_.contains(instance.name);
    if (isUnknownRemoval) continue;
    const EndpointId id = ids_.assign(instance.name);
    entries.push_back(toEndpointUpdate(instance, id, config_.zones));
    TimePoint& started = entries.back().started;
    if (started != TimePoint())
      started = std::max(started - wallClockCorrection_.value(), TimePoint(Duration(1)));
    endpoints_->updateEndpoint(id, instance.address, instance.state == Lifecycle::Ready);
  }
  if (kind != EndpointListKind::Delta) markUnlistedNotReady(entries);
  balancer_->onEndpointList(now_, kind, entries);
}

// The first list is the one from the configuration; see start().
EndpointListKind Dispatcher::listKind(const EndpointListUpdate& list) const {
  if (!ids_.anyAssigned() && generation_ == 0) return EndpointListKind::Cached;
  return list.isComplete ? EndpointListKind::Full : EndpointListKind::Delta;
}

// Endpoints that are missing from a complete list get no new requests.
void Dispatcher::markUnlistedNotReady(const std::vector<EndpointUpdate>& listed) {
  std::unordered_set<EndpointId> listedIds;
  for (const EndpointUpdate& update : listed) listedIds.insert(update.id);
  for (const auto& [name, id] : ids_.byName())
    if (listedIds.count(id) == 0) endpoints_->updateEndpoint(id, Address(), false);
}

void Dispatcher::deliverDueTimers() {
  while (const std::optional<TimerToken> token = timers_.popDue(now_)) {
    monitor_->onTimer();
    balancer_->onTimer(now_, *token);
  }
}

}  // namespace stonebay
