#include "app/members.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "app/discovery_source.hpp"
#include "util/event.hpp"

namespace stonebay {
namespace {

using Json = nlohmann::ordered_json;
using TableRow = std::vector<std::string>;

constexpr std::size_t kColumnGap = 2;
constexpr int kJsonIndent = 2;
constexpr const char* kColumns[] = {"NAME",   "ADDRESS", "GROUP",   "ZONE",    "KIND",
                                    "WEIGHT", "STATE",   "STARTED", "LEFT OUT"};

std::string groupName(const Config& config, GroupId id) {
  for (const GroupName& group : config.groups)
    if (group.id == id) return group.name;
  return std::to_string(id);
}

std::string formatStart(std::int64_t startedMs) {
  if (startedMs == 0) return "long ago";
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(static_cast<std::time_t>(startedMs / 1000)));
}

std::string formatListAge(const MembersView& view) {
  if (!view.members.lastUpdateAt) return "no update received";
  const std::chrono::duration<double> age = view.now - *view.members.lastUpdateAt;
  return fmt::format("last update {:.1f} s ago", age.count());
}

TableRow tableRow(const Config& config, const EndpointTracker::Row& row) {
  const Instance& instance = row.instance;
  return {instance.name,
          instance.address.text(),
          groupName(config, instance.group),
          instance.zone,
          instance.kind,
          fmt::format("{:g}", instance.weight),
          lifecycleName(instance.state),
          formatStart(instance.startedMs),
          describe(row.exclusion)};
}

std::vector<std::size_t> columnWidths(const std::vector<TableRow>& rows) {
  std::vector<std::size_t> widths(std::size(kColumns));
  for (const TableRow& row : rows)
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  return widths;
}

std::string formatRow(const TableRow& row, const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < row.size(); ++i)
    line += fmt::format("{:<{}}", row[i].empty() ? "-" : row[i], widths[i] + kColumnGap);
  line.erase(line.find_last_not_of(' ') + 1);
  return line + "\n";
}

Json jsonRow(const Config& config, const EndpointTracker::Row& row) {
  const Instance& instance = row.instance;
  Json object{{"name", instance.name},
              {"address", instance.address.text()},
              {"group", instance.group},
              {"group_name", groupName(config, instance.group)},
              {"zone", instance.zone},
              {"kind", instance.kind},
              {"weight", instance.weight},
              {"state", lifecycleName(instance.state)},
              {"started_ms", instance.startedMs},
              {"withdrawals", row.withdrawals}};
  if (row.exclusion != ExclusionReason::None) object["left_out"] = describe(row.exclusion);
  return object;
}

Json jsonListAge(const MembersView& view) {
  if (!view.members.lastUpdateAt) return nullptr;
  return (view.now - *view.members.lastUpdateAt).count() / 1000;
}

void printMembers(const Config& config, const MembersOptions& options, const MembersView& view) {
  const std::string text = options.json ? membersJson(config, view) : membersTable(config, view);
  std::fputs(text.c_str(), stdout);
}

// Records whether discovery has delivered a list, and stops the event loop once it has, or has failed.
class ListRecorder final : public EndpointListHandler {
 public:
  explicit ListRecorder(event_base* base) : base_(base) {}

  void onEndpointList(EndpointListUpdate /*list*/) override {
    received_ = true;
    event_base_loopbreak(base_);
  }
  void onListFailure(const std::string& why) override {
    failure_ = why;
    event_base_loopbreak(base_);
  }
  std::uint64_t generation() const override { return 0; }

  bool received() const { return received_; }
  const std::string& failure() const { return failure_; }

 private:
  event_base* base_;
  bool received_ = false;
  std::string failure_ = "no answer within the wait time";
};

// Runs the event loop until discovery has delivered a list or failed, or the wait time is over.
void waitForList(event_base* base, double waitSeconds) {
  const std::chrono::duration<double> wait(waitSeconds);
  const timeval limit = toTimeval(std::chrono::duration_cast<std::chrono::microseconds>(wait));
  event_base_loopexit(base, &limit);
  event_base_dispatch(base);
}

// Returns the endpoints in the configuration, for use if discovery delivers no list.
MembersView configuredMembers(const Config& config, const Clock& clock) {
  EndpointTracker known;
  known.onSnapshot(clock.now(), config.initialEndpoints.instances);
  known.takeUpdate(clock.now());
  MembersView view{known.view(clock.now()), {}, clock.now()};
  view.members.lastUpdateAt.reset();
  return view;
}

}  // namespace

std::string membersTable(const Config& config, const MembersView& view) {
  std::vector<TableRow> rows{TableRow(std::begin(kColumns), std::end(kColumns))};
  std::size_t usedCount = 0;
  for (const EndpointTracker::Row& row : view.members.rows) {
    if (row.exclusion == ExclusionReason::None) ++usedCount;
    rows.push_back(tableRow(config, row));
  }
  for (const auto& [name, reason] : view.faults) rows.push_back({name, "", "", "", "", "", "", "", reason});
  const std::vector<std::size_t> widths = columnWidths(rows);
  std::string text;
  for (const TableRow& row : rows) text += formatRow(row, widths);
  const std::size_t leftOutCount = rows.size() - 1 - usedCount;
  return text +
         fmt::format("{} data servers, {} left out; {}\n", usedCount, leftOutCount, formatListAge(view));
}

std::string membersJson(const Config& config, const MembersView& view) {
  Json used = Json::array();
  Json leftOut = Json::array();
  for (const EndpointTracker::Row& row : view.members.rows)
    (row.exclusion == ExclusionReason::None ? used : leftOut).push_back(jsonRow(config, row));
  for (const auto& [name, reason] : view.faults) leftOut.push_back({{"name", name}, {"left_out", reason}});
  Json page{{"members", std::move(used)}, {"left_out", std::move(leftOut)}};
  page["list_age_ms"] = jsonListAge(view);
  if (view.members.failingSince) page["failing"] = view.members.failureReason;
  // Names come from the network and may be invalid UTF-8. Invalid bytes are replaced; by default dump()
  // throws.
  return page.dump(kJsonIndent, ' ', false, Json::error_handler_t::replace) + "\n";
}

int showMembers(const Config& config, const MembersOptions& options) {
  const EventBase base(event_base_new());
  const Clock clock;
  ListRecorder recorder(base.get());
  EndpointFeed feed(base.get(), clock, recorder, trackerPolicy(config));
  const std::unique_ptr<DiscoverySource> source = openDiscoverySource(base.get(), clock, feed, config);
  if (config.discoveryType == DiscoveryType::Fixed) {
    feed.onSnapshot(config.initialEndpoints.instances, true);
  } else {
    source->watch(0);
    waitForList(base.get(), options.waitSeconds);
  }
  if (!recorder.received()) {
    printMembers(config, options, configuredMembers(config, clock));
    std::fprintf(stderr, "stonebay: discovery: %s; showing the members in the settings file\n",
                 recorder.failure().c_str());
    return 1;
  }
  std::map<std::string, std::string> faults = source->faults();
  printMembers(config, options, {feed.view(), std::move(faults), clock.now()});
  return 0;
}

}  // namespace stonebay
