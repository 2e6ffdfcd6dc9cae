// Writes the report of a run: CSV files, a Markdown page, and SVG charts drawn by gnuplot.
#pragma once

#include <string>

#include "testbed/audit.hpp"
#include "testbed/experiment.hpp"
#include "testbed/experiment_result.hpp"

namespace stonebay::testbed {

/// Writes all files to a directory. If the charts cannot be drawn, the page says so.
void writeReport(const std::string& directory, const Experiment& experiment, const ExperimentResult& result,
                 const RunAudit& audit);

}  // namespace stonebay::testbed
