#include "testbed/report.hpp"

#include <algorithm>
#include <fstream>

#include "testbed/report_charts.hpp"
#include "testbed/report_tables.hpp"
#include "testbed/text_number.hpp"

namespace stonebay::testbed {
namespace {

constexpr std::size_t kMaxViolationsShown = 40;

int endpointCount(const Experiment& experiment) {
  return experiment.fleet.groups * experiment.fleet.endpointsPerGroup;
}

std::string headline(const Experiment& experiment, const ExperimentResult& result) {
  const std::string& title = experiment.title.empty() ? experiment.file : experiment.title;
  return "# " + title + "\n\n" + std::to_string(experiment.proxies) + " proxies, " +
         std::to_string(endpointCount(experiment)) + " servers in " +
         std::to_string(experiment.fleet.groups) + " groups, " + numberText(experiment.load.rate) +
         " requests a second, " + numberText(result.figures.at("seconds")) + " s, discovery by " +
         experiment.discovery + ", seed " + std::to_string(experiment.seed) + ".\n\n";
}

std::string claimsTable(const ExperimentResult& result) {
  std::string table = "| claim | measured | |\n| --- | --- | --- |\n";
  for (const JudgedClaim& judged : result.claims)
    table += "| `" + judged.claim.text + "` | " +
             (judged.isMeasured ? numberText(judged.measured) : "not measured") + " | " +
             (judged.holds ? "held" : "**broken**") + " |\n";
  return table;
}

std::string figuresTable(const ExperimentResult& result) {
  std::string table = "\n| figure | value |\n| --- | --- |\n";
  for (const auto& [name, value] : result.figures) table += "| " + name + " | " + numberText(value) + " |\n";
  return table;
}

std::string violationsTable(const std::vector<Violation>& violations) {
  if (violations.empty()) return "";
  std::string table = "\n| at | rule | what |\n| --- | --- | --- |\n";
  const std::size_t shown = std::min(violations.size(), kMaxViolationsShown);
  for (std::size_t i = 0; i < shown; ++i)
    table += "| " + numberText(toSeconds(violations[i].at)) + " s | " + figureName(violations[i].rule) +
             " | " + violations[i].description + " |\n";
  return table;
}

std::string chartLinks(bool hasCharts) {
  if (!hasCharts) return "\nThere are no charts because gnuplot is missing or failed.\n";
  return "\n![latency](latency.svg)\n\n![sends](sends.svg)\n\n![membership](membership.svg)\n";
}

}  // namespace

void writeReport(const std::string& directory, const Experiment& experiment, const ExperimentResult& result,
                 const RunAudit& audit) {
  writeTables(directory, result, audit, endpointCount(experiment));
  const bool hasCharts = drawCharts(directory, endpointCount(experiment));
  std::ofstream(directory + "/report.md")
      << headline(experiment, result) << claimsTable(result) << figuresTable(result)
      << violationsTable(audit.violations()) << chartLinks(hasCharts);
}

}  // namespace stonebay::testbed
