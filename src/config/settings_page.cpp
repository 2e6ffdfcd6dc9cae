// Prints the operators' page of settings: `stonebay check --keys` and docs/operators/settings.md.
#include <sstream>

#include "config/settings_schema.hpp"

namespace stonebay {
namespace {

std::string formatDefault(const SettingKey& key) {
  if (key.defaultText == nullptr) return "required";
  const std::string text = key.defaultText;
  return text.empty() ? "none" : "`" + text + "`";
}

std::string formatLimits(const ValueFormat& format) {
  if (format.kind == ValueKind::Choice) {
    std::string words;
    for (const std::string& choice : format.choices) words += (words.empty() ? "" : " ") + choice;
    return "`" + words + "`";
  }
  if (!format.hasBounds()) return "";
  return formatBound(format.kind, format.min) + " to " + formatBound(format.kind, format.max);
}

void writeKey(std::ostream& page, const SettingKey& key) {
  page << "| `" << key.name << "` | " << kindName(key.format.kind) << " | " << formatDefault(key) << " | "
       << formatLimits(key.format) << " | " << key.meaning << " |\n";
}

void writeSection(std::ostream& page, const SettingsSection& section) {
  page << "## [" << section.type << (section.named ? " NAME" : "") << "]\n\n"
       << section.meaning << "\n\n"
       << "| key | kind | default | bounds | meaning |\n"
       << "| --- | --- | --- | --- | --- |\n";
  for (const SettingKey& key : section.keys) writeKey(page, key);
  page << "\n";
}

}  // namespace

std::string settingsPage() {
  std::ostringstream page;
  for (const SettingsSection& section : settingsSections()) writeSection(page, section);
  return page.str();
}

}  // namespace stonebay
