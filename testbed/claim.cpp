#include "testbed/claim.hpp"

#include <map>
#include <variant>
#include <vector>

#include "testbed/words.hpp"
#include "util/units.hpp"

namespace stonebay::testbed {
namespace {

const std::map<std::string, Relation>& relationsBySign() {
  static const std::map<std::string, Relation> relations{{"=", Relation::Equal},
                                                         {"<", Relation::Less},
                                                         {"<=", Relation::LessOrEqual},
                                                         {">", Relation::Greater},
                                                         {">=", Relation::GreaterOrEqual}};
  return relations;
}

}  // namespace

bool Claim::holds(double measured) const {
  switch (relation) {
    case Relation::Equal:
      return measured == value;
    case Relation::Less:
      return measured < value;
    case Relation::LessOrEqual:
      return measured <= value;
    case Relation::Greater:
      return measured > value;
    case Relation::GreaterOrEqual:
      break;
  }
  return measured >= value;
}

std::optional<Claim> parseClaim(const std::string& text) {
  const std::vector<std::string> words = splitWords(text);
  if (words.size() != 3) return std::nullopt;
  const auto relation = relationsBySign().find(words[1]);
  if (relation == relationsBySign().end()) return std::nullopt;
  const auto number = parseNumber(words[2]);
  const double* const value = std::get_if<double>(&number);
  if (value == nullptr) return std::nullopt;
  return Claim{text, words[0], relation->second, *value};
}

}  // namespace stonebay::testbed
