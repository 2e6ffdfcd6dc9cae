// The figures of a run that do not come from the auditors, such as resource usage.
#pragma once

#include <cstddef>
#include <vector>

#include "testbed/experiment_result.hpp"
#include "testbed/time.hpp"

namespace stonebay::testbed {

/// Measurements of a run, totals over all proxies unless a comment says otherwise.
struct RunMeasurements {
  Time loadDuration{};
  std::size_t proxies = 0;
  std::size_t crashedProxies = 0;
  double cpuSeconds = 0;                             ///< while the load ran
  double totalCpuSeconds = 0;                        ///< from the start of the processes
  double peakSampledResidentMb = 0;                  ///< of the largest proxy, sampled while the load ran
  double lifetimePeakMb = 0;                         ///< of the largest proxy, since its process started
  double peakDescriptors = 0;                        ///< of the proxy with the most
  double listBytes = 0;                              ///< size of the endpoint lists sent by registries
  double connections = 0;                            ///< accepted by the endpoints from proxies
  double discoveryQueries = 0;                       ///< while the load ran
  std::vector<double> proxiedLatencies;              ///< in ms, of requests served through a proxy
  std::vector<std::vector<double>> directLatencies;  ///< in ms, one element for each direct load
};

/// Adds the figures of the measurements to `figures`, which must contain those of the audit.
void addRunFigures(const RunMeasurements& measurements, Figures& figures);

}  // namespace stonebay::testbed
