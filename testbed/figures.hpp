// The figures of a run.
#pragma once

#include <map>
#include <string>

namespace stonebay::testbed {

/// The measurements of a run and the counts of its auditors, by the names that claims and reports use.
using Figures = std::map<std::string, double>;

}  // namespace stonebay::testbed
