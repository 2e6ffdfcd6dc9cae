#include <gtest/gtest.h>

#include "upstream/pg/load_report.hpp"

namespace stonebay::test {
namespace {

constexpr TimePoint kNow(std::chrono::seconds(1767225600));

std::vector<double> parse(const std::string& report) {
  return parseLoadReport(report, {"x0", "x1", "inflight"},
                         {ReportField::Position, ReportField::Primary, ReportField::InFlight}, kNow);
}

TEST(LoadReport, ReturnsValuesInTheOrderOfTheNames) {
  EXPECT_EQ(parse("inflight=7,other=3,x1=1,x0=1767225600.125"), (std::vector<double>{1767225600.125, 1, 7}));
}
TEST(LoadReport, RejectsAReportWithAMissingOrMalformedValue) {
  for (const char* report : {"", "x0=1", "x0=1,x1=1,inflight", "x0=1,x1=1,inflight=", "x0=1,x1=1,inflight=7 ",
                             "x0=one,x1=1,inflight=7"})
    EXPECT_TRUE(parse(report).empty()) << report;
}
TEST(LoadReport, RejectsAReportWithAnImplausibleValue) {
  EXPECT_FALSE(parse("x0=1767225601,x1=0,inflight=100000").empty());
  for (const char* report : {"x0=1767225602,x1=0,inflight=7", "x0=-1,x1=0,inflight=7",
                             "x0=1,x1=0.5,inflight=7", "x0=1,x1=inf,inflight=7", "x0=nan,x1=0,inflight=7",
                             "x0=1,x1=0,inflight=100001", "x0=1,x1=0,inflight=-1"})
    EXPECT_TRUE(parse(report).empty()) << report;
}

}  // namespace
}  // namespace stonebay::test
