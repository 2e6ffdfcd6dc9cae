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

  StatementComment build() {
    if (comment_.requestId.empty()) comment_.error = "the comment has no id";
    if (!hasGroup_) comment_.error = "the comment has no usable cluster";
    return comment_;
  }

 private:
  void setDeadline(const Field& field) {
    if (!parseNumber(field.value, comment_.deadlineMs)) comment_.error = "d is no number of milliseconds";
    comment_.deadlineOffset = field.valueOffset;
    comment_.deadlineLength = field.value.size();
  }

  void setSessionToken(const Field& field) {
    if (!parseNumber(field.value, comment_.sessionTokenMs)) comment_.error = "after is no position";
  }

  StatementComment comment_;
  bool hasGroup_ = false;
};

// Adds the field between two offsets of the text. Blanks around it, and text without '=', are ignored.
void addField(CommentBuilder& builder, std::string_view text, std::size_t begin, std::size_t end) {
  while (begin < end && text[begin] == ' ') ++begin;
  while (end > begin && text[end - 1] == ' ') --end;
  const std::size_t equals = text.find('=', begin);
  if (equals >= end) return;
  const std::size_t valueOffset = equals + 1;
  builder.add({text.substr(begin, equals - begin), text.substr(valueOffset, end - valueOffset), valueOffset});
}

}  // namespace

StatementComment parseStatementComment(std::string_view text) {
  const std::size_t open = text.rfind(kCommentStart);
  const std::size_t close = text.rfind(kCommentEnd);
  const bool found = open != std::string_view::npos && close != std::string_view::npos;
  if (!found || close < open + kCommentStart.size()) {
    StatementComment none;
    none.error = "no comment at the end of the statement";
    return none;
  }
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
