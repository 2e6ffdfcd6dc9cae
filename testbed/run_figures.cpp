#include "testbed/run_figures.hpp"

#include <numeric>

#include "testbed/quantiles.hpp"

namespace stonebay::testbed {
namespace {

double medianOf(const std::vector<double>& values) {
  Quantiles quantiles;
  for (const double value : values) quantiles.add(value);
  return quantiles.at(0.5);
}

double meanOf(const std::vector<double>& values) {
  if (values.empty()) return 0;
  return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

// Adds the latencies with and without a proxy, and the median latency that the proxy adds.
void addOverhead(const std::vector<double>& direct, const std::vector<double>& proxied, Figures& figures) {
  const double directMedian = medianOf(direct);
  const double proxiedMedian = medianOf(proxied);
  figures["direct_p50_ms"] = directMedian;
  figures["direct_mean_ms"] = meanOf(direct);
  figures["proxied_p50_ms"] = proxiedMedian;
  figures["added_p50_us"] = 1e3 * (proxiedMedian - directMedian);
}

}  // namespace

void addRunFigures(const RunMeasurements& measurements, Figures& figures) {
  const double seconds = toSeconds(measurements.loadDuration);
  const auto proxies = static_cast<double>(measurements.proxies);
  const auto proxiedResponses = static_cast<double>(measurements.proxiedLatencies.size());
  const double requests = figures["requests"];
  figures["seconds"] = seconds;
  figures["crashes"] = static_cast<double>(measurements.crashedProxies);
  figures["resident_mb"] = measurements.peakSampledResidentMb;
  figures["proxy_cpu_total_s"] = measurements.totalCpuSeconds;
  figures["peak_resident_mb"] = measurements.lifetimePeakMb;
  figures["descriptors"] = measurements.peakDescriptors;
  figures["list_bytes"] = measurements.listBytes;
  figures["connections"] = measurements.connections;
  figures["proxy_cpu_s"] = measurements.cpuSeconds;
  figures["proxy_cpu_share"] = measurements.cpuSeconds / seconds / proxies;
  if (requests > 0 && proxiedResponses > 0)
    figures["proxy_cpu_us_per_request"] = 1e6 * measurements.cpuSeconds / proxiedResponses;
  figures["requests_per_s"] = requests / seconds;
  figures["dns_queries_per_s_and_proxy"] = measurements.discoveryQueries / seconds / proxies;
  for (const std::vector<double>& direct : measurements.directLatencies)
    addOverhead(direct, measurements.proxiedLatencies, figures);
}

}  // namespace stonebay::testbed
