#include "testbed/experiment.hpp"

#include <algorithm>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <utility>
#include <variant>

#include "testbed/words.hpp"
#include "util/ini.hpp"
#include "util/units.hpp"

namespace stonebay::testbed {
namespace {

constexpr int kMaxProxies = 200;

class ExperimentParser {
 public:
  ExperimentParser(const std::string& text, std::string path, std::vector<ConfigError>& errors)
      : path_(std::move(path)), errors_(errors), file_(parseIni(text, path_, {"script", "claims"})) {
    errors_.insert(errors_.end(), file_.errors.begin(), file_.errors.end());
  }

  Experiment parse() {
    experiment_.file = path_;
    for (const IniSection& section : file_.sections) parseSection(section);
    checkCompleteness();
    std::stable_sort(experiment_.script.begin(), experiment_.script.end(),
                     [](const ScriptStep& left, const ScriptStep& right) { return left.at < right.at; });
    for (const auto& [section, lines] : proxySettings_)
      experiment_.proxySettings.append("[").append(section).append("]\n").append(lines);
    return std::move(experiment_);
  }

 private:
  using Setter = std::function<void(const IniEntry&)>;
  using SetterTable = std::map<std::string, Setter>;
  using SectionParser = void (ExperimentParser::*)(const IniSection&);

  static const std::map<std::string, SectionParser>& sectionParsers() {
    static const std::map<std::string, SectionParser> parsers{
        {"experiment", &ExperimentParser::parseGeneral}, {"fleet", &ExperimentParser::parseFleet},
        {"load", &ExperimentParser::parseLoad},          {"class", &ExperimentParser::parseClass},
        {"settings", &ExperimentParser::parseSettings},  {"script", &ExperimentParser::parseScript},
        {"claims", &ExperimentParser::parseClaims}};
    return parsers;
  }

  void parseSection(const IniSection& section) {
    section_ = &section;
    const auto parser = sectionParsers().find(section.type);
    if (parser != sectionParsers().end()) {
      (this->*parser->second)(section);
      return;
    }
    addError(section.line, section.title(), "there is no such section",
             "sections are experiment, fleet, load, class NAME, settings, script, claims");
  }

  void checkCompleteness() {
    if (experiment_.classes.empty()) addError(0, "", "there is no [class NAME]", "add one");
    if (experiment_.discovery != "dnssd" && experiment_.discovery != "registry")
      addError(0, "[experiment] discovery", "'" + experiment_.discovery + "' is neither dnssd nor registry",
               "write one of them");
  }

  void addError(int line, std::string where, std::string problem, std::string fix) {
    errors_.push_back({path_, line, std::move(where), std::move(problem), std::move(fix)});
  }

  // Each setter parses the value of an entry and stores it in its target.
  template <typename Target, typename Value>
  Setter set(Target& target, ParseResult<Value> (*read)(std::string_view)) {
    return [this, &target, read](const IniEntry& entry) {
      const auto value = read(entry.value);
      if (const ValueError* error = std::get_if<ValueError>(&value))
        addError(entry.line, section_->title() + " " + entry.key, error->problem, error->fix);
      else
        target = static_cast<Target>(std::get<Value>(value));
    };
  }
  Setter setTime(Time& target) { return set(target, parseDuration); }
  template <typename Target>
  Setter setCount(Target& target) {
    return set(target, parseCount);
  }
  Setter setNumber(double& target) { return set(target, parseNumber); }
  Setter setShare(double& target) { return set(target, parseShare); }
  Setter setFlag(bool& target) { return set(target, parseFlag); }
  static Setter setText(std::string& target) {
    return [&target](const IniEntry& entry) { target = entry.value; };
  }

  // Applies the entries of a section. Keys without a setter are passed to `otherKeys` or, without it, are
  // errors.
  void apply(const IniSection& section, const SetterTable& setters, const Setter& otherKeys = nullptr) {
    for (const IniEntry& entry : section.entries) {
      const auto setter = setters.find(entry.key);
      if (setter != setters.end())
        setter->second(entry);
      else if (otherKeys)
        otherKeys(entry);
      else
        addError(entry.line, section.title() + " " + entry.key, "there is no such key",
                 "keys are " + joinKeys(setters));
    }
  }

  void parseGeneral(const IniSection& section) {
    apply(section, {{"title", setText(experiment_.title)},
                    {"duration", setTime(experiment_.duration)},
                    {"warmup", setTime(experiment_.warmup)},
                    {"proxies", setCount(experiment_.proxies)},
                    {"tier", setCount(experiment_.tierSize)},
                    {"cpu_share", setShare(experiment_.cpuShare)},
                    {"faults", setText(experiment_.faults)},
                    {"discovery", setText(experiment_.discovery)},
                    {"seed", setCount(experiment_.seed)}});
    if (experiment_.proxies < 1 || experiment_.proxies > kMaxProxies)
      addError(section.line, section.title() + " proxies", "the number of proxies is out of range",
               "write 1 to 200");
    experiment_.fleet.proxies = experiment_.proxies;
  }

  void parseFleet(const IniSection& section) {
    FleetSettings& fleet = experiment_.fleet;
    apply(section, {{"groups", setCount(fleet.groups)},
                    {"members", setCount(fleet.endpointsPerGroup)},
                    {"cores", setCount(fleet.machine.cores)},
                    {"room", setCount(fleet.machine.queueCapacity)},
                    {"speed_least", setNumber(fleet.minCoreSpeed)},
                    {"speed_most", setNumber(fleet.maxCoreSpeed)},
                    {"cold_share", setShare(fleet.machine.warmUpInitialShare)},
                    {"cold_for", setTime(fleet.machine.warmUpDuration)},
                    {"fall_multiple", setNumber(fleet.machine.overloadFactor)},
                    {"fall_for", setTime(fleet.machine.overloadWindow)},
                    {"ship_least", setTime(fleet.minShippingDelay)},
                    {"ship_most", setTime(fleet.maxShippingDelay)},
                    {"apply_work", setTime(fleet.applyDuration)},
                    {"probe_work", setTime(fleet.healthCheckWork)},
                    {"value_bytes", setCount(fleet.valueBytes)},
                    {"base_port", setCount(fleet.basePort)}});
  }

  void parseLoad(const IniSection& section) {
    LoadSettings load;
    std::string endpoint;
    apply(section, {{"rate", setNumber(load.rate)},
                    {"retries", setCount(load.retries)},
                    {"loop", setFlag(load.closedLoop)},
                    {"leave", setShare(load.leaveShare)},
                    {"cancel", setShare(load.cancelShare)},
                    {"short", setShare(load.shortShare)},
                    {"answer_grace", setTime(load.answerGrace)},
                    {"value_bytes", setCount(load.valueBytes)},
                    {"server", setText(endpoint)}});
    if (section.name.empty()) {
      experiment_.load = load;
      return;
    }
    if (endpoint.empty())
      addError(section.line, section.title() + " server", "it is missing", "name a data server, such as s-1");
    experiment_.directLoads.push_back({section.name, endpoint, load});
  }

  void parseClass(const IniSection& section) {
    RequestClass requestClass;
    requestClass.name = section.name;
    std::string consistency;
    const Setter copyToProxySettings = [&requestClass](const IniEntry& entry) {
      requestClass.settings += entry.key + " = " + entry.value + "\n";
    };
    const auto setAndCopy = [&copyToProxySettings](const Setter& setter) {
      return Setter([setter, copyToProxySettings](const IniEntry& entry) {
        setter(entry);
        copyToProxySettings(entry);
      });
    };
    apply(section,
          {{"share", setShare(requestClass.share)},
           {"work_least", setTime(requestClass.minWork)},
           {"work_most", setTime(requestClass.maxWork)},
           {"data", setAndCopy(setText(consistency))},
           {"max_age", setAndCopy(setTime(requestClass.maxStaleness))},
           {"repeats_dropped_for", setAndCopy(setTime(requestClass.deduplicationWindow))},
           {"aim", setAndCopy(setTime(requestClass.latencyObjective))},
           {"give_up", setAndCopy(setTime(requestClass.deadline))},
           {"worth", setAndCopy(setNumber(requestClass.priorityWeight))},
           {"late_worth", setAndCopy(setShare(requestClass.latePriorityShare))}},
          copyToProxySettings);
    requestClass.isWrite = consistency == "write";
    experiment_.classes.push_back(std::move(requestClass));
  }

  void parseSettings(const IniSection& section) {
    for (const IniEntry& entry : section.entries) {
      const std::size_t dot = entry.key.find('.');
      if (dot == std::string::npos)
        addError(entry.line, section.title() + " " + entry.key, "the key has no section",
                 "write SECTION.KEY, such as dnssd.refresh_most");
      else
        proxySettings_[entry.key.substr(0, dot)] += entry.key.substr(dot + 1) + " = " + entry.value + "\n";
    }
  }

  void parseScript(const IniSection& section) {
    for (const IniEntry& entry : section.entries) {
      std::vector<ValueError> problems;
      const std::vector<ScriptStep> steps = parseScriptLine(entry.value, entry.line, problems);
      for (const ValueError& problem : problems)
        addError(entry.line, "[script]", problem.problem, problem.fix);
      experiment_.script.insert(experiment_.script.end(), steps.begin(), steps.end());
    }
  }

  void parseClaims(const IniSection& section) {
    for (const IniEntry& entry : section.entries) {
      if (const auto claim = parseClaim(entry.value))
        experiment_.claims.push_back(*claim);
      else
        addError(entry.line, "[claims]", "'" + entry.value + "' is no claim",
                 "write FIGURE RELATION NUMBER, such as late_sends = 0");
    }
  }

  const std::string path_;
  std::vector<ConfigError>& errors_;
  const IniFile file_;
  Experiment experiment_;
  const IniSection* section_ = nullptr;               // the section being parsed
  std::map<std::string, std::string> proxySettings_;  // lines, by section name
};

}  // namespace

Experiment parseExperiment(const std::string& text, const std::string& file,
                           std::vector<ConfigError>& errors) {
  return ExperimentParser(text, file, errors).parse();
}

Experiment readExperiment(const std::string& path, std::vector<ConfigError>& errors) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) errors.push_back({path, 0, "", "it cannot be read", "see that it exists"});
  return parseExperiment(text.str(), path, errors);
}

}  // namespace stonebay::testbed
