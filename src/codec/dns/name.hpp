// DNS names in presentation format.
//
// A Name is in the presentation format of RFC 1035 section 5.1, escaped, in lower case and with a trailing
// dot, so two names are equal if and only if their strings are. The label of a service instance may contain
// any bytes (RFC 6763 section 4.1.1).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace stonebay::dns {

using Name = std::string;

/// Returns the canonical form of a name, or std::nullopt if the text is not a valid name: a label is empty or
/// longer than 63 bytes, or the name is longer than 255 bytes.
std::optional<Name> parseName(std::string_view text);
/// Returns the name of a service instance, given its label (which may contain any bytes) and the name of the
/// service. Returns std::nullopt if the label or the resulting name is invalid.
std::optional<Name> instanceName(std::string_view label, const Name& service);
/// Returns the first label, unescaped.
std::string firstLabel(const Name& name);
/// Returns whether the name is the domain itself or below it.
bool isWithin(const Name& name, const Name& domain);

}  // namespace stonebay::dns
