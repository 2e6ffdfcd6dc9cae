// Reads the sections of an INI file by the schema of settings and collects the errors of the file.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "config/settings_schema.hpp"
#include "util/ini.hpp"

namespace stonebay {

/// Checks section titles and key names, applies values and defaults. Goes on after an error, so that one run
/// reports all of them.
class SchemaReader {
 public:
  /// `path` is the file's name for error messages.
  SchemaReader(IniFile file, std::string path);

  const std::vector<IniSection>& sections() const { return file_.sections; }

  /// Reports titles that are unknown, incomplete or repeated.
  void checkTitles();
  /// Sets every key of a section type, by its value in the section or by its default. Null: the file lacks
  /// the section.
  void apply(const std::string& type, const IniSection* section, SettingsDraft& draft);

  /// Adds an error. `line` 0: the file as a whole; `where`: see ConfigError.
  void addError(int line, std::string where, ValueError error);
  /// Adds an error in the value of a key, or for lack of the key.
  void addKeyError(const IniSection& section, const std::string& key, ValueError error);
  std::size_t errorCount() const { return errors_.size(); }
  /// Throws InvalidSettings with all errors in the order of the lines, if there are any.
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

/// The line of a key, or of the section's header where the key is absent.
int lineOf(const IniSection& section, const std::string& key);

}  // namespace stonebay
