// An INI file as sections and entries with their line numbers, parsed by inih. What the values mean is up to
// the caller.
//
// inih reports neither line numbers nor repeated sections. The line source that it reads from records both.
// Leading blanks mean nothing. A comment begins with ; or # at the start of a line, or with ; after a blank.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "util/config_error.hpp"

namespace stonebay {

/// One line "key = value".
struct IniEntry {
  std::string key;  ///< empty in raw sections, see parseIni
  std::string value;
  int line = 0;
};

/// A section header and the entries below it. "[class tour-read]" has the type "class" and the name
/// "tour-read".
struct IniSection {
  std::string type;
  std::string name;  ///< may be empty
  int line = 0;      ///< of the header
  std::vector<IniEntry> entries;

  /// The header, in its normal form.
  std::string title() const { return "[" + type + (name.empty() ? "" : " " + name) + "]"; }
};

/// A parsed file.
struct IniFile {
  std::vector<IniSection> sections;  ///< in the order of the file; a title may be repeated
  std::vector<ConfigError> errors;   ///< lines that are no INI
};

/// Parses a file's text; `file` is its name for error messages. In sections whose type is in `rawTypes` each
/// line becomes an entry without a key, whose value is the line without a trailing comment.
IniFile parseIni(std::string_view text, const std::string& file, const std::set<std::string>& rawTypes = {});

}  // namespace stonebay
