#include "codec/dns/name.hpp"

#include <cstdio>
#include <cstring>

#include "codec/dns/ldns_handle.hpp"

namespace stonebay::dns {
namespace {

constexpr std::size_t kMaxLabelBytes = 63;  // RFC 1035 section 2.3.4
constexpr std::size_t kMaxNameBytes = 255;
constexpr std::size_t kMaxEscapedBytes = 4 * kMaxNameBytes;  // every byte escaped as \DDD
constexpr std::size_t kDecimalEscapeDigits = 3;

bool isDigit(char character) { return character >= '0' && character <= '9'; }

// Whether a character needs no escaping in presentation format.
bool needsNoEscape(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return byte > ' ' && byte < 0x7f && std::strchr(".\\();@$\"", character) == nullptr;
}

std::string escapeLabel(std::string_view label) {
  std::string text;
  for (const char character : label) {
    if (needsNoEscape(character)) {
      text += character;
      continue;
    }
    char escape[5];
    std::snprintf(escape, sizeof escape, "\\%03u",
                  static_cast<unsigned>(static_cast<unsigned char>(character)));
    text += escape;
  }
  return text;
}

}  // namespace

Name nameFromField(const ldns_rdf* field) {
  if (!field || ldns_rdf_get_type(field) != LDNS_RDF_TYPE_DNAME) return {};
  const LdnsHandle<ldns_rdf> copy(ldns_rdf_clone(field));
  if (!copy) return {};
  ldns_dname2canonical(copy.get());
  const LdnsHandle<char> text(ldns_rdf2str(copy.get()));
  return text ? Name(text.get()) : Name();
}

LdnsHandle<ldns_rdf> fieldFromName(const Name& name) {
  return LdnsHandle<ldns_rdf>(ldns_dname_new_frm_str(name.c_str()));
}

std::optional<Name> parseName(std::string_view text) {
  if (text.empty() || text.size() > kMaxEscapedBytes) return std::nullopt;
  if (text.find('\0') != std::string_view::npos) return std::nullopt;
  const LdnsHandle<ldns_rdf> field = fieldFromName(std::string(text));
  if (!field || ldns_rdf_size(field.get()) > kMaxNameBytes) return std::nullopt;
  return nameFromField(field.get());
}

std::optional<Name> instanceName(std::string_view label, const Name& service) {
  if (label.empty() || label.size() > kMaxLabelBytes) return std::nullopt;
  return parseName(escapeLabel(label) + "." + service);
}

std::string firstLabel(const Name& name) {
  std::string label;
  for (std::size_t i = 0; i < name.size() && name[i] != '.'; ++i) {
    if (name[i] != '\\') {
      label += name[i];
      continue;
    }
    const bool isDecimalEscape = i + kDecimalEscapeDigits < name.size() && isDigit(name[i + 1]);
    if (isDecimalEscape)
      label += static_cast<char>((name[i + 1] - '0') * 100 + (name[i + 2] - '0') * 10 + (name[i + 3] - '0'));
    else if (i + 1 < name.size())
      label += name[i + 1];
    i += isDecimalEscape ? kDecimalEscapeDigits : 1;
  }
  return label;
}

bool isWithin(const Name& name, const Name& domain) {
  if (name == domain || domain == ".") return true;
  if (name.size() <= domain.size() + 1) return false;
  const std::size_t domainOffset = name.size() - domain.size();
  const std::size_t dotOffset = domainOffset - 1;
  if (name.compare(domainOffset, domain.size(), domain) != 0 || name[dotOffset] != '.') return false;
  // A dot after an odd number of backslashes is escaped and therefore part of a label.
  std::size_t backslashes = 0;
  while (dotOffset > backslashes && name[dotOffset - backslashes - 1] == '\\') ++backslashes;
  return backslashes % 2 == 0;
}

}  // namespace stonebay::dns
