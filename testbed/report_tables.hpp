// The CSV files of a report.
#pragma once

#include <string>

#include "testbed/audit.hpp"
#include "testbed/experiment_result.hpp"

namespace stonebay::testbed {

/// Writes answers.csv, sends.csv, membership.csv, seconds.csv, figures.csv, latency_by_second.csv and
/// sends_by_second.csv. Endpoints are numbered from 1 to `endpoints`.
void writeTables(const std::string& directory, const ExperimentResult& result, const RunAudit& audit,
                 int endpoints);

}  // namespace stonebay::testbed
