// The figures of a run.
#pragma once

#include <map>
#include <string>

namespace stonebay::testbed {

/// What a run measured and what its auditors counted, by the names that claims and reports use.
using Figures = std::map<std::string, double>;

}  // namespace stonebay::testbed
