#include "discovery/dnssd/dnssd_client.hpp"

#include "log/log.hpp"

namespace stonebay {

DnsSdClient::DnsSdClient(event_base* base, const Clock& clock, EndpointFeed& feed, const Config& config)
    : base_(base),
      clock_(clock),
      feed_(feed),
      timer_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<DnsSdClient*>(self)->sendDueQueries(); },
          this)) {
  start(config);
}

void DnsSdClient::start(const Config& config) {
  auto directory = std::make_unique<Directory>(config.dnssd, config.groups, config.seed);
  resolver_.reset();  // cancels the lookups in flight
  directory_ = std::move(directory);
  settings_ = config.dnssd;
  resolver_ = std::make_unique<Resolver>(
      base_, clock_, settings_,
      [this](const dns::Question& question, const Resolver::Result& result) { onResult(question, result); });
  hasPublished_ = false;
  startTimer(timer_.get(), Time(0));
}

void DnsSdClient::reconfigure(const Config& config) {
  if (config.dnssd == settings_) return;
  start(config);
}

void DnsSdClient::sendDueQueries() {
  const Time now = clock_.now();
  for (const Directory::Query& query : directory_->dueQueries(now))
    resolver_->resolve(query.question, query.overTcp);
  if (const auto deadline = directory_->nextDeadline())
    startTimer(timer_.get(), *deadline - now);
  else
    event_del(timer_.get());  // restarted by the next result
}

void DnsSdClient::onResult(const dns::Question& question, const Resolver::Result& result) {
  if (result.ok) {
    directory_->onResponse(clock_.now(), question, result.message, result.overTcp);
    // A PTR response confirms the list even if it is unchanged. Other records are published only if they
    // change the list.
    const bool changed = directory_->version() != publishedVersion_;
    if (question.type == dns::Type::Ptr || changed || !hasPublished_) publish();
  } else {
    onFailedLookup(question, result.failure);
  }
  sendDueQueries();
}

void DnsSdClient::onFailedLookup(const dns::Question& question, const std::string& reason) {
  directory_->onFailure(clock_.now(), question);
  if (question.type == dns::Type::Ptr) return feed_.onListFailure(reason);
  logEvent(LogLevel::Warning, "record_failed",
           {{"name", question.name}, {"type", static_cast<int>(question.type)}, {"why", reason}});
}

// Publishes nothing until the initial list is complete, because an instance that is added to the list later
// is assumed to have just started.
void DnsSdClient::publish() {
  if (!hasPublished_ && !directory_->isInitialized()) return;
  publishedVersion_ = directory_->version();
  logNewFaults();
  const bool initial = !hasPublished_;
  hasPublished_ = true;
  feed_.onSnapshot(directory_->instances(), initial);
}

void DnsSdClient::logNewFaults() {
  for (const auto& [name, why] : directory_->faults()) {
    const auto it = loggedFaults_.find(name);
    const bool logged = it != loggedFaults_.end() && it->second == why;
    if (logged) continue;
    logEvent(LogLevel::Warning, "instance_left_out", {{"name", dns::firstLabel(name)}, {"why", why}});
  }
  loggedFaults_ = directory_->faults();
}

}  // namespace stonebay
