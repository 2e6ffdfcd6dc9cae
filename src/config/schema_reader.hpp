// Reads the sections of an INI file as the settings schema describes them, and collects all errors.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "config/settings_schema.hpp"
#include "util/ini.hpp"

namespace stonebay {

/// Checks section titles and key names, and applies values and defaults. Continues after an error, so that
/// one run reports all errors.
class SchemaReader {
 public:
  /// `path` is the file name for error messages.
  SchemaReader(IniFile file, std::string path);

  const std::vector<IniSection>& sections() const { return file_.sections; }

  /// Reports section titles that are unknown, lack a name, have a superfluous name or are repeated.
  void checkTitles();
  /// Sets every key of a section type from its value in the section, or from its default. `section` is null
  /// if the file does not have the section.
  void apply(const std::string& type, const IniSection* section, SettingsDraft& draft);

  /// Adds an error; see ConfigError for `line` and `where`.
  void addError(int line, std::string where, ValueError error);
  /// Adds an error about a key: an invalid value, or a key that is missing.
  void addKeyError(const IniSection& section, const std::string& key, ValueError error);
  std::size_t errorCount() const { return errors_.size(); }
  /// Throws InvalidSettings with all errors, sorted by line, if there are any.
  void throwErrors();

 private:
  void checkTitle(const IniSection& section);
  void applyKey(const SettingKey& key, const std::string& type, const IniSection* section,
                SettingsDraft& draft);
  const IniEntry* findEntry(const IniSection& section, const std::string& key);
  void checkKeyNames(const SettingsSection& schema, const IniSection& section);

  std::string path_;
  IniFile file_;
  std::vector<ConfigError> errors_;
};

/// Returns the line of a key, or the line of the section header if the section does not have the key.
int lineOf(const IniSection& section, const std::string& key);

}  // namespace stonebay
