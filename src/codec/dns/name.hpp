// DNS names in presentation form.
//
// A Name is the presentation form of RFC 1035 section 5.1 in lower case, escaped, with the dot at the end:
// two names are equal when their texts are. The label of a service instance may hold any bytes (RFC 6763
// section 4.1.1).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace stonebay::dns {

using Name = std::string;

/// The canonical form of a name; nothing when the text is not a name (a label over 63 bytes, more than 255
/// bytes in all, an empty label).
std::optional<Name> parseName(std::string_view text);
/// The name of a service instance from its label, which may hold any bytes, and the name of the service.
std::optional<Name> instanceName(std::string_view label, const Name& service);
/// The first label, unescaped.
std::string firstLabel(const Name& name);
/// Whether the name is the domain itself or below it.
bool isWithin(const Name& name, const Name& domain);

}  // namespace stonebay::dns
