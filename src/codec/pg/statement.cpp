#include "codec/pg/statement.hpp"

#include <algorithm>
#include <charconv>

namespace stonebay::pg {
namespace {

// The largest group number in an endpoint list. Without this limit a client could fill the memory with state
// for groups that do not exist.
constexpr std::uint32_t kMaxGroup = 65535;

constexpr std::string_view kCommentStart = "/*";
constexpr std::string_view kCommentEnd = "*/";
constexpr std::string_view kBlanks = " \t\r\n";
// A comment that one of these follows may be part of a literal, and then belongs to the client's data.
constexpr std::string_view kQuotes = "'\"$";

template <typename T>
bool parseNumber(std::string_view text, T& number) {
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  return error == std::errc() && stop == end && !text.empty();
}

// One name=value pair of a comment.
struct Field {
  std::string_view name;
  std::string_view value;
  std::size_t valueOffset = 0;  // in the statement
};

// Builds a StatementComment from the fields of a comment.
class CommentBuilder {
 public:
  void add(const Field& field) {
    if (field.name == "id")
      comment_.requestId = field.value;
    else if (field.name == "c")
      comment_.className = field.value;
    else if (field.name == "d")
      setDeadline(field);
    else if (field.name == "cluster")
      hasGroup_ = parseNumber(field.value, comment_.group) && comment_.group <= kMaxGroup;
    else if (field.name == "after")
      setSessionToken(field);
  }

  // Adds text that begins with a name but is no field. It is an error if a field of this name has a meaning.
  void addMalformed(std::string_view name) {
    for (const std::string_view known : {"id", "c", "d", "cluster", "after"})
      if (name == known) comment_.error = "a field of the comment has no value";
  }

  StatementComment build() {
    if (comment_.requestId.empty()) comment_.error = "the comment has no id";
    if (!hasGroup_) comment_.error = "the comment has no usable cluster";
    return comment_;
  }

 private:
  void setDeadline(const Field& field) {
    if (!parseNumber(field.value, comment_.deadlineMs)) comment_.error = "d is no number of milliseconds";
    if (comment_.deadlineLength > 0) comment_.error = "d is given twice";
    comment_.deadlineOffset = field.valueOffset;
    comment_.deadlineLength = field.value.size();
  }

  void setSessionToken(const Field& field) {
    if (!parseNumber(field.value, comment_.sessionTokenMs)) comment_.error = "after is no position";
  }

  StatementComment comment_;
  bool hasGroup_ = false;
};

bool isNameCharacter(char character) {
  const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
  const bool isDigit = character >= '0' && character <= '9';
  return isLetter || isDigit || character == '_';
}

bool isBlank(char character) { return kBlanks.find(character) != std::string_view::npos; }

// Adds the field between two offsets of the text. Blanks around its name and its value are ignored.
void addField(CommentBuilder& builder, std::string_view text, std::size_t begin, std::size_t end) {
  while (begin < end && isBlank(text[begin])) ++begin;
  while (end > begin && isBlank(text[end - 1])) --end;
  std::size_t nameEnd = begin;
  while (nameEnd < end && isNameCharacter(text[nameEnd])) ++nameEnd;
  const std::string_view name = text.substr(begin, nameEnd - begin);
  std::size_t equals = nameEnd;
  while (equals < end && isBlank(text[equals])) ++equals;
  if (equals == end || text[equals] != '=') {
    builder.addMalformed(name);
    return;
  }
  std::size_t valueOffset = equals + 1;
  while (valueOffset < end && isBlank(text[valueOffset])) ++valueOffset;
  builder.add({name, text.substr(valueOffset, end - valueOffset), valueOffset});
}

StatementComment invalidComment(const char* error) {
  StatementComment comment;
  comment.error = error;
  return comment;
}

}  // namespace

StatementComment parseStatementComment(std::string_view text) {
  const std::size_t open = text.rfind(kCommentStart);
  const std::size_t close = text.rfind(kCommentEnd);
  const bool found = open != std::string_view::npos && close != std::string_view::npos;
  if (!found || close < open + kCommentStart.size())
    return invalidComment("no comment at the end of the statement");
  if (text.find_first_of(kQuotes, close) != std::string_view::npos)
    return invalidComment("the comment is not at the end of the statement");
  CommentBuilder builder;
  std::size_t begin = open + kCommentStart.size();
  while (begin < close) {
    const std::size_t end = std::min(text.find(',', begin), close);
    addField(builder, text, begin, end);
    begin = end + 1;
  }
  return builder.build();
}

std::string_view parseQuotedKey(std::string_view text) {
  const std::size_t open = text.find('\'');
  if (open == std::string_view::npos) return {};
  const std::size_t close = text.find('\'', open + 1);
  if (close == std::string_view::npos) return {};
  return text.substr(open + 1, close - open - 1);
}

}  // namespace stonebay::pg
