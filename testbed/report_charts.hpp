// The charts of a report.
#pragma once

#include <string>

namespace stonebay::testbed {

/// Draws latency.svg, sends.svg and membership.svg from the tables in the directory.
/// Returns false if gnuplot is missing or fails.
bool drawCharts(const std::string& directory, int endpoints);

}  // namespace stonebay::testbed
