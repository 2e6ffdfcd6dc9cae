// Ownership of ldns objects, and the conversion between a Name and ldns's form of it.
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
/// An ldns object, or memory that ldns has allocated, with its owner.
template <typename T>
using LdnsHandle = std::unique_ptr<T, LdnsDeleter>;

/// The canonical Name in a field; empty when the field holds none.
Name nameFromField(const ldns_rdf* field);
/// Null when the text is not a name.
LdnsHandle<ldns_rdf> fieldFromName(const Name& name);

}  // namespace stonebay::dns
