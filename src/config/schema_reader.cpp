#include "config/schema_reader.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace stonebay {
namespace {

std::string join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) text += (text.empty() ? "" : ", ") + word;
  return text;
}

const SettingsSection* findSchema(const std::string& type) {
  const auto& sections = settingsSections();
  const auto found = std::find_if(sections.begin(), sections.end(),
                                  [&](const SettingsSection& section) { return type == section.type; });
  return found == sections.end() ? nullptr : &*found;
}

ValueError unknownSection(const std::string& type) {
  std::vector<std::string> types;
  for (const SettingsSection& schema : settingsSections()) types.emplace_back(schema.type);
  const std::string closest = closestMatch(type, types);
  return {"there is no such section",
          closest.empty() ? "sections are " + join(types) : "did you mean [" + closest + "]?"};
}

ValueError unknownKey(const std::string& key, const std::vector<std::string>& names) {
  const std::string closest = closestMatch(key, names);
  return {"there is no such key",
          closest.empty() ? "keys are " + join(names) : "did you mean '" + closest + "'?"};
}

}  // namespace

int lineOf(const IniSection& section, const std::string& key) {
  const auto entry = std::find_if(section.entries.begin(), section.entries.end(),
                                  [&](const IniEntry& candidate) { return candidate.key == key; });
  return entry == section.entries.end() ? section.line : entry->line;
}

SchemaReader::SchemaReader(IniFile file, std::string path)
    : path_(std::move(path)), file_(std::move(file)), errors_(std::move(file_.errors)) {}

void SchemaReader::addError(int line, std::string where, ValueError error) {
  errors_.push_back({path_, line, std::move(where), std::move(error.problem), std::move(error.fix)});
}

void SchemaReader::addKeyError(const IniSection& section, const std::string& key, ValueError error) {
  addError(lineOf(section, key), section.title() + " " + key, std::move(error));
}

void SchemaReader::throwErrors() {
  if (errors_.empty()) return;
  std::stable_sort(errors_.begin(), errors_.end(),
                   [](const ConfigError& left, const ConfigError& right) { return left.line < right.line; });
  throw InvalidSettings(std::move(errors_));
}

void SchemaReader::checkTitles() {
  std::map<std::string, int> lineOfTitle;
  for (const IniSection& section : file_.sections) {
    checkTitle(section);
    const auto [earlier, isNew] = lineOfTitle.emplace(section.title(), section.line);
    if (isNew) continue;
    addError(
        section.line, section.title(),
        {"the section already begins on line " + std::to_string(earlier->second), "move its keys there"});
  }
}

void SchemaReader::checkTitle(const IniSection& section) {
  const SettingsSection* const schema = findSchema(section.type);
  if (schema == nullptr)
    addError(section.line, section.title(), unknownSection(section.type));
  else if (schema->named && section.name.empty())
    addError(section.line, section.title(), {"it needs a name", "write [" + section.type + " NAME]"});
  else if (!schema->named && !section.name.empty())
    addError(section.line, section.title(), {"it takes no name", "write [" + section.type + "]"});
}

void SchemaReader::apply(const std::string& type, const IniSection* section, SettingsDraft& draft) {
  const SettingsSection& schema = *findSchema(type);
  for (const SettingKey& key : schema.keys) applyKey(key, type, section, draft);
  if (section) checkKeyNames(schema, *section);
}

void SchemaReader::applyKey(const SettingKey& key, const std::string& type, const IniSection* section,
                            SettingsDraft& draft) {
  const IniEntry* const entry = section ? findEntry(*section, key.name) : nullptr;
  const std::string title = section ? section->title() : "[" + type + "]";
  const std::string where = title + " " + key.name;
  if (!entry && !key.defaultText) {
    addError(section ? section->line : 0, where,
             {"it is missing", "add " + std::string(key.name) + " = ... to " + title});
    return;
  }
  auto value = parseSetting(key, entry ? entry->value : key.defaultText);
  if (auto* const error = std::get_if<ValueError>(&value))
    addError(entry ? entry->line : 0, where, std::move(*error));
  else
    key.set(draft, std::get<SettingValue>(value));
}

// Returns the first entry with that key, or null if there is none. Reports every further one as an error.
const IniEntry* SchemaReader::findEntry(const IniSection& section, const std::string& key) {
  const IniEntry* found = nullptr;
  for (const IniEntry& entry : section.entries) {
    if (entry.key != key) continue;
    if (found)
      addError(entry.line, section.title() + " " + key,
               {"it is already set on line " + std::to_string(found->line), "keep one of the two"});
    else
      found = &entry;
  }
  return found;
}

void SchemaReader::checkKeyNames(const SettingsSection& schema, const IniSection& section) {
  std::vector<std::string> names;
  for (const SettingKey& key : schema.keys) names.emplace_back(key.name);
  for (const IniEntry& entry : section.entries)
    if (std::find(names.begin(), names.end(), entry.key) == names.end())
      addError(entry.line, section.title() + " " + entry.key, unknownKey(entry.key, names));
}

}  // namespace stonebay
