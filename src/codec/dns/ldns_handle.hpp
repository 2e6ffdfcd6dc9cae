// Owning handles for ldns objects, and conversion between a Name and the ldns representation of it.
#pragma once

#include <ldns/ldns.h>

#include <cstdint>
#include <cstdlib>
#include <memory>

#include "codec/dns/name.hpp"

namespace stonebay::dns {

struct LdnsDeleter {
  void operator()(ldns_pkt* packet) const { ldns_pkt_free(packet); }
  void operator()(ldns_rdf* field) const { ldns_rdf_deep_free(field); }
  void operator()(ldns_rr* record) const { ldns_rr_free(record); }
  void operator()(char* text) const { std::free(text); }
  void operator()(std::uint8_t* bytes) const { std::free(bytes); }
};
/// Owns an ldns object, or memory that ldns has allocated.
template <typename T>
using LdnsHandle = std::unique_ptr<T, LdnsDeleter>;

/// Returns the canonical name in a field, or an empty Name if the field does not contain a name.
Name nameFromField(const ldns_rdf* field);
/// Returns the name as an ldns field, or null if the text is not a valid name.
LdnsHandle<ldns_rdf> fieldFromName(const Name& name);

}  // namespace stonebay::dns
