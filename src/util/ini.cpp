#include "util/ini.hpp"

#include <ini.h>

#include <algorithm>

namespace stonebay {
namespace {

constexpr std::string_view kBlanks = " \t\r";
// The newline and the NUL that follow each line in inih's buffer.
constexpr int kLineTerminatorBytes = 2;

void removeLeadingBlanks(std::string_view& text) {
  text.remove_prefix(std::min(text.find_first_not_of(kBlanks), text.size()));
}

void removeTrailingBlanks(std::string_view& text) {
  while (!text.empty() && kBlanks.find(text.back()) != std::string_view::npos) text.remove_suffix(1);
}

// Passes a text to inih line by line and collects the entries and errors that inih reports. Section headers
// and line numbers, which inih does not report, are recorded as the lines are passed on.
class IniParser {
 public:
  IniParser(std::string_view text, const std::string& path, const std::set<std::string>& rawTypes)
      : remainingText_(text), path_(path), rawTypes_(rawTypes) {}

  IniFile parse() {
    const int result = ini_parse_stream(readLine, this, handleEntry, this);
    if (result > 0)
      file_.errors.push_back({path_, result, "", "neither a [section] nor key = value",
                              "correct this line, then check again: only the first such line is reported"});
    if (result < 0) file_.errors.push_back({path_, 0, "", "not enough memory to read it", ""});
    return std::move(file_);
  }

 private:
  // The reader callback that inih calls for each line; it follows the contract of fgets.
  static char* readLine(char* buffer, int capacity, void* parser) {
    return static_cast<IniParser*>(parser)->nextLine(buffer, capacity);
  }

  static int handleEntry(void* parser, const char* /*section*/, const char* key, const char* value) {
    static_cast<IniParser*>(parser)->addEntry(key, value);
    return 1;
  }

  char* nextLine(char* buffer, int capacity) {
    if (remainingText_.empty()) return nullptr;
    std::string_view text = takeLine();
    // inih would parse an indented line as a continuation of the previous value.
    removeLeadingBlanks(text);
    if (!isValidLine(text, capacity - kLineTerminatorBytes)) text = {};
    if (!text.empty() && text[0] == '[') {
      addSection(text);
    } else if (isInRawSection()) {
      addRawEntry(text);
      text = {};
    }
    char* const end = std::copy(text.begin(), text.end(), buffer);
    end[0] = '\n';
    end[1] = '\0';
    return buffer;
  }

  std::string_view takeLine() {
    ++line_;
    const std::size_t end = std::min(remainingText_.find('\n'), remainingText_.size());
    const std::string_view text = remainingText_.substr(0, end);
    remainingText_.remove_prefix(std::min(end + 1, remainingText_.size()));
    return text;
  }

  bool isValidLine(std::string_view text, int maxLength) {
    if (text.find('\0') != std::string_view::npos) {
      addError("the line contains a NUL byte", "use a text file");
      return false;
    }
    if (static_cast<int>(text.size()) > maxLength) {
      addError("the line is longer than " + std::to_string(maxLength) + " characters", "shorten the line");
      return false;
    }
    return true;
  }

  // Records a section header, because inih reports sections only together with their keys.
  void addSection(std::string_view text) {
    const std::size_t end = text.find(']');
    if (end == std::string_view::npos) return;  // inih reports this line as an error
    std::string_view title = text.substr(1, end - 1);
    removeTrailingBlanks(title);
    const std::size_t blank = std::min(title.find_first_of(kBlanks), title.size());
    std::string_view name = title.substr(blank);
    removeLeadingBlanks(name);
    IniSection section;
    section.type = std::string(title.substr(0, blank));
    section.name = std::string(name);
    section.line = line_;
    file_.sections.push_back(std::move(section));
  }

  bool isInRawSection() const {
    return !file_.sections.empty() && rawTypes_.count(file_.sections.back().type) > 0;
  }

  void addRawEntry(std::string_view text) {
    const std::size_t comment = std::min(text.find(" ;"), text.size());
    std::string_view entry = text.substr(0, comment);
    removeTrailingBlanks(entry);
    if (entry.empty() || entry[0] == ';' || entry[0] == '#') return;
    file_.sections.back().entries.push_back({"", std::string(entry), line_});
  }

  void addEntry(const char* key, const char* value) {
    if (file_.sections.empty())
      addError("a key before the first section", "begin with a section such as [proxy]");
    else
      file_.sections.back().entries.push_back({key, value, line_});
  }

  void addError(std::string problem, std::string fix) {
    file_.errors.push_back({path_, line_, "", std::move(problem), std::move(fix)});
  }

  std::string_view remainingText_;  // the part of the text that has not been read
  const std::string& path_;
  const std::set<std::string>& rawTypes_;
  int line_ = 0;
  IniFile file_;
};

}  // namespace

IniFile parseIni(std::string_view text, const std::string& file, const std::set<std::string>& rawTypes) {
  return IniParser(text, file, rawTypes).parse();
}

}  // namespace stonebay
