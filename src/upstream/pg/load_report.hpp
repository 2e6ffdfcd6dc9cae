// Load reports of endpoints: "x0=1767225600.123,x1=1,inflight=7".
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// Parses a load report and checks that each value is plausible.
///
/// Returns the values named by `names`, in that order; `fields` says what each of them means. Positions are
/// in Unix seconds. Returns an empty vector where a value is missing, is no finite number or is out of its
/// range (a position more than a second after `now`, for example): a report is used as a whole or not at all.
std::vector<double> parseLoadReport(std::string_view report, const std::vector<std::string>& names,
                                    const std::vector<ReportField>& fields, TimePoint now);

}  // namespace stonebay
