// Parses an INI file into sections and entries with their line numbers, using inih. The values are not
// interpreted.
//
// inih reports neither line numbers nor repeated sections, so both are recorded by the callback that passes
// it the lines. Blanks at the start of a line are ignored. A comment begins with ; or # at the start of a
// line, or with ; after a blank.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "util/config_error.hpp"

namespace stonebay {

/// An entry, which is a line "key = value".
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
  int line = 0;      ///< line of the header
  std::vector<IniEntry> entries;

  /// Returns the header with a single space between type and name.
  std::string title() const { return "[" + type + (name.empty() ? "" : " " + name) + "]"; }
};

/// A parsed INI file.
struct IniFile {
  std::vector<IniSection> sections;  ///< in file order; a section may occur more than once
  std::vector<ConfigError> errors;   ///< lines with invalid syntax
};

/// Parses the text of an INI file. `file` is the file name for error messages. In sections whose type is in
/// `rawTypes`, each line becomes an entry with an empty key, whose value is the line without its trailing
/// comment.
IniFile parseIni(std::string_view text, const std::string& file, const std::set<std::string>& rawTypes = {});

}  // namespace stonebay
