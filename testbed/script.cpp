#include "testbed/script.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <variant>

#include "testbed/words.hpp"

namespace stonebay::testbed {
namespace {

constexpr Time kMinInterval = std::chrono::milliseconds(1);
constexpr std::size_t kRepetitionWords = 6;  // the words of "from TIME every TIME until TIME"

struct ActionSyntax {
  ScriptAction action;
  std::size_t minArguments;
};

const std::map<std::string, ActionSyntax>& actionsByName() {
  static const std::map<std::string, ActionSyntax> actions{
      {"withdraw", {ScriptAction::Withdraw, 1}}, {"publish", {ScriptAction::Publish, 1}},
      {"toggle", {ScriptAction::Toggle, 1}},     {"drain", {ScriptAction::Drain, 1}},
      {"rename", {ScriptAction::Rename, 2}},     {"empty", {ScriptAction::WithdrawAll, 0}},
      {"refill", {ScriptAction::PublishAll, 0}}, {"kill", {ScriptAction::Kill, 1}},
      {"start", {ScriptAction::Start, 1}},       {"vanish", {ScriptAction::Vanish, 1}},
      {"back", {ScriptAction::Recover, 1}},      {"hang", {ScriptAction::Hang, 1}},
      {"slow", {ScriptAction::Slow, 2}},         {"errors", {ScriptAction::Errors, 2}},
      {"resets", {ScriptAction::Resets, 2}},     {"lag", {ScriptAction::Lag, 2}},
      {"dns", {ScriptAction::NameServers, 1}},   {"registry", {ScriptAction::Registry, 1}},
      {"crowd", {ScriptAction::Crowd, 1}},       {"clock", {ScriptAction::Clock, 1}},
      {"rate", {ScriptAction::Rate, 1}},         {"proxy", {ScriptAction::Proxy, 2}},
      {"primary", {ScriptAction::Primary, 2}}};
  return actions;
}

// The times at which the action of a line is executed: `from`, then every `interval` up to `until`.
struct Schedule {
  Time from{};
  Time interval{};
  Time until{};
};

std::optional<Time> parseTime(const std::string& word, std::vector<ValueError>& errors) {
  const auto time = parseDuration(word);
  if (const ValueError* error = std::get_if<ValueError>(&time)) {
    errors.push_back({error->problem, "a line is 'TIME ACTION' or 'from TIME every TIME until TIME ACTION'"});
    return std::nullopt;
  }
  return std::get<Time>(time);
}

bool isRepeated(const std::vector<std::string>& words) {
  return words.size() > kRepetitionWords && words[0] == "from" && words[2] == "every" && words[4] == "until";
}

std::optional<Schedule> parseRepetition(const std::vector<std::string>& words,
                                        std::vector<ValueError>& errors) {
  const auto from = parseTime(words[1], errors);
  const auto interval = parseTime(words[3], errors);
  const auto until = parseTime(words[5], errors);
  if (!from || !interval || !until) return std::nullopt;
  if (*interval < kMinInterval) {
    errors.push_back({"it repeats without end", "write every 1ms or more"});
    return std::nullopt;
  }
  return Schedule{*from, *interval, *until};
}

std::optional<Schedule> parseSchedule(const std::vector<std::string>& words,
                                      std::vector<ValueError>& errors) {
  if (isRepeated(words)) return parseRepetition(words, errors);
  if (words.empty()) return std::nullopt;
  const auto at = parseTime(words[0], errors);
  if (!at) return std::nullopt;
  return Schedule{*at, Time(1), *at};
}

}  // namespace

std::vector<ScriptStep> parseScriptLine(const std::string& text, int line, std::vector<ValueError>& errors) {
  std::vector<std::string> words = splitWords(text);
  const auto schedule = parseSchedule(words, errors);
  if (!schedule) return {};
  const std::size_t scheduleWords = isRepeated(words) ? kRepetitionWords : 1;
  words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(scheduleWords));
  const auto action = words.empty() ? actionsByName().end() : actionsByName().find(words[0]);
  if (action == actionsByName().end() || words.size() < 1 + action->second.minArguments) {
    errors.push_back({"'" + text + "' has an unknown action or too few arguments",
                      "actions are " + joinKeys(actionsByName())});
    return {};
  }
  words.erase(words.begin());
  std::vector<ScriptStep> steps;
  for (Time at = schedule->from; at <= schedule->until; at += schedule->interval)
    steps.push_back({at, action->second.action, words, line});
  return steps;
}

}  // namespace stonebay::testbed
