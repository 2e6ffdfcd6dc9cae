#include "testbed/experiment_result.hpp"

#include <algorithm>

namespace stonebay::testbed {
namespace {

JudgedClaim judge(const Claim& claim, const Figures& figures) {
  JudgedClaim judged;
  judged.claim = claim;
  const auto figure = figures.find(claim.figure);
  if (figure == figures.end()) return judged;
  judged.isMeasured = true;
  judged.measured = figure->second;
  judged.holds = claim.holds(judged.measured);
  return judged;
}

}  // namespace

std::size_t ExperimentResult::brokenClaims() const {
  return static_cast<std::size_t>(
      std::count_if(claims.begin(), claims.end(), [](const JudgedClaim& claim) { return !claim.holds; }));
}

std::vector<JudgedClaim> judgeClaims(const std::vector<Claim>& claims, const Figures& figures) {
  std::vector<JudgedClaim> judged;
  judged.reserve(claims.size());
  for (const Claim& claim : claims) judged.push_back(judge(claim, figures));
  return judged;
}

}  // namespace stonebay::testbed
