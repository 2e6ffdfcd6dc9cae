// What a run leaves behind: CSV files, a Markdown page, and SVG charts by gnuplot.
#pragma once

#include <string>

#include "testbed/audit.hpp"
#include "testbed/experiment.hpp"
#include "testbed/experiment_result.hpp"

namespace stonebay::testbed {

/// Writes all files to a directory. Without gnuplot there are no charts, and the page says so.
void writeReport(const std::string& directory, const Experiment& experiment, const ExperimentResult& result,
                 const RunAudit& audit);

}  // namespace stonebay::testbed
