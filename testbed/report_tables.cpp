#include "testbed/report_tables.hpp"

#include <fstream>
#include <map>

#include "testbed/quantiles.hpp"
#include "testbed/text_number.hpp"

namespace stonebay::testbed {
namespace {

long wholeSecond(Time time) { return static_cast<long>(time.count() / 1000000); }

void writeResponses(const std::string& path, const RunAudit& audit) {
  std::ofstream file(path);
  file << "at_s,id,result,latency_ms\n";
  for (const ResponseRecord& response : audit.responses())
    file << toSeconds(response.at) << ',' << response.id << ',' << resultName(response.result) << ','
         << toMilliseconds(response.latency) << '\n';
}

void writeAttempts(const std::string& path, const RunAudit& audit) {
  std::ofstream file(path);
  file << "at_s,proxy,server,class,id,age_ms\n";
  for (const AttemptRecord& attempt : audit.attempts())
    file << toSeconds(attempt.at) << ',' << attempt.proxy << ',' << attempt.endpoint << ','
         << attempt.requestClass << ',' << attempt.id << ',' << toMilliseconds(attempt.dataAge) << '\n';
}

void writeListings(const std::string& path, const RunAudit& audit) {
  std::ofstream file(path);
  file << "at_s,proxy,server,in,after_withdrawal_ms\n";
  for (const ListingRecord& listing : audit.listings()) {
    file << toSeconds(listing.at) << ',' << listing.proxy << ',' << listing.endpoint << ',' << listing.listed
         << ',';
    if (listing.sinceWithdrawal && *listing.sinceWithdrawal >= Time(0))
      file << numberText(toMilliseconds(*listing.sinceWithdrawal));
    file << '\n';
  }
}

void writeSamples(const std::string& path, const ExperimentResult& result) {
  std::ofstream file(path);
  file << "at_s,served,refused,failed,members,cpu_s,resident_mb\n";
  for (const RunSample& sample : result.samples)
    file << sample.atSeconds << ',' << sample.served << ',' << sample.rejected << ',' << sample.failed << ','
         << sample.listedEndpoints << ',' << sample.cpuSeconds << ',' << sample.residentMb << '\n';
}

void writeFigures(const std::string& path, const ExperimentResult& result) {
  std::ofstream file(path);
  file << "figure,value\n";
  for (const auto& [name, value] : result.figures) file << name << ',' << numberText(value) << '\n';
}

void writeLatencyBySecond(const std::string& path, const RunAudit& audit) {
  std::map<long, Quantiles> latencies;
  std::map<long, std::size_t> notServed;
  for (const ResponseRecord& response : audit.responses()) {
    const long second = wholeSecond(response.at);
    if (response.result == RequestResult::Served)
      latencies[second].add(toMilliseconds(response.latency));
    else
      ++notServed[second];
  }
  std::ofstream file(path);
  file << "second,served,not_served,p50_ms,p99_ms\n";
  for (const auto& [second, latency] : latencies)
    file << second << ',' << latency.count() << ',' << notServed[second] << ',' << numberText(latency.at(0.5))
         << ',' << numberText(latency.at(0.99)) << '\n';
}

void writeAttemptsBySecond(const std::string& path, const RunAudit& audit, int endpoints) {
  std::map<long, std::map<int, std::size_t>> attempts;
  for (const AttemptRecord& attempt : audit.attempts()) ++attempts[wholeSecond(attempt.at)][attempt.endpoint];
  std::ofstream file(path);
  file << "second";
  for (int endpoint = 1; endpoint <= endpoints; ++endpoint) file << ',' << endpoint;
  file << '\n';
  for (auto& [second, counts] : attempts) {
    file << second;
    for (int endpoint = 1; endpoint <= endpoints; ++endpoint) file << ',' << counts[endpoint];
    file << '\n';
  }
}

}  // namespace

void writeTables(const std::string& directory, const ExperimentResult& result, const RunAudit& audit,
                 int endpoints) {
  writeResponses(directory + "/answers.csv", audit);
  writeAttempts(directory + "/sends.csv", audit);
  writeListings(directory + "/membership.csv", audit);
  writeSamples(directory + "/seconds.csv", result);
  writeFigures(directory + "/figures.csv", result);
  // The input of the charts. These files are small, because they have one line for each second.
  writeLatencyBySecond(directory + "/latency_by_second.csv", audit);
  writeAttemptsBySecond(directory + "/sends_by_second.csv", audit, endpoints);
}

}  // namespace stonebay::testbed
