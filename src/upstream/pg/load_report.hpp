// Parses the load reports of endpoints, such as "x0=1767225600.123,x1=1,inflight=7".
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// Parses a load report and checks that each value is plausible.
///
/// Returns the values named by `names`, in that order. `fields` has the meaning of each value, in the same
/// order. Positions are in Unix seconds. Returns an empty vector if any value is missing, is not a finite
/// number or is out of its range (for example, a position more than one second after `now`), so that a report
/// is used either completely or not at all.
std::vector<double> parseLoadReport(std::string_view report, const std::vector<std::string>& names,
                                    const std::vector<ReportField>& fields, TimePoint now);

}  // namespace stonebay
