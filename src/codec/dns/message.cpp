#include "codec/dns/message.hpp"

#include <ldns/ldns.h>

#include <algorithm>
#include <array>

#include "codec/dns/ldns_handle.hpp"

namespace stonebay::dns {
namespace {

constexpr std::size_t kHeaderBytes = 12;
constexpr std::uint32_t kMaxTtl = 0x7fffffff;          // RFC 2181 section 8
constexpr std::uint16_t kMinUdpPayload = 512;          // RFC 6891 section 6.2.3
constexpr std::size_t kMaxCharacterStringBytes = 255;  // RFC 1035 section 3.3
constexpr std::size_t kIpv4Bytes = 4;
constexpr std::size_t kIpv6Bytes = 16;

// Values for the fields of an encoded SOA record that the Soa struct does not have.
constexpr const char* kSoaPrimary = "ns.invalid.";
constexpr const char* kSoaMailbox = "admin.invalid.";
constexpr std::uint32_t kSoaRefreshSeconds = 3600;
constexpr std::uint32_t kSoaRetrySeconds = 600;
constexpr std::uint32_t kSoaExpireSeconds = 86400;

std::uint16_t uint16Field(const ldns_rr* record, std::size_t index) {
  const ldns_rdf* const field = ldns_rr_rdf(record, index);
  return field && ldns_rdf_size(field) == sizeof(std::uint16_t) ? ldns_rdf2native_int16(field) : 0;
}

std::uint32_t uint32Field(const ldns_rr* record, std::size_t index) {
  const ldns_rdf* const field = ldns_rr_rdf(record, index);
  return field && ldns_rdf_size(field) == sizeof(std::uint32_t) ? ldns_rdf2native_int32(field) : 0;
}

std::string fieldBytes(const ldns_rdf* field) {
  if (!field) return {};
  return {reinterpret_cast<const char*>(ldns_rdf_data(field)), ldns_rdf_size(field)};
}

std::optional<Data> decodePtr(const ldns_rr* record) { return nameFromField(ldns_rr_rdf(record, 0)); }

std::optional<Data> decodeSrv(const ldns_rr* record) {
  return Srv{uint16Field(record, 0), uint16Field(record, 1), uint16Field(record, 2),
             nameFromField(ldns_rr_rdf(record, 3))};
}

std::optional<Data> decodeTxt(const ldns_rr* record) {
  Strings strings;
  for (std::size_t i = 0; i < ldns_rr_rd_count(record); ++i) {
    const std::string field = fieldBytes(ldns_rr_rdf(record, i));  // a length byte followed by the string
    if (!field.empty()) strings.push_back(field.substr(1));
  }
  return strings;
}

template <std::size_t size>
std::optional<Data> decodeAddress(const ldns_rr* record) {
  std::string bytes = fieldBytes(ldns_rr_rdf(record, 0));
  if (bytes.size() != size) return std::nullopt;
  return Bytes{std::move(bytes)};
}

std::optional<Data> decodeSoa(const ldns_rr* record) {
  return Soa{uint32Field(record, 2), uint32Field(record, 6)};
}

struct RecordDecoder {
  Type type;
  std::optional<Data> (*decode)(const ldns_rr*);
};
constexpr std::array<RecordDecoder, 6> kRecordDecoders{{{Type::A, decodeAddress<kIpv4Bytes>},
                                                        {Type::Aaaa, decodeAddress<kIpv6Bytes>},
                                                        {Type::Ptr, decodePtr},
                                                        {Type::Soa, decodeSoa},
                                                        {Type::Srv, decodeSrv},
                                                        {Type::Txt, decodeTxt}}};

std::optional<Record> decodeRecord(const ldns_rr* encoded) {
  if (ldns_rr_get_class(encoded) != LDNS_RR_CLASS_IN) return std::nullopt;
  const auto type = static_cast<Type>(ldns_rr_get_type(encoded));
  const auto* const decoder = std::find_if(kRecordDecoders.begin(), kRecordDecoders.end(),
                                           [&](const RecordDecoder& known) { return known.type == type; });
  if (decoder == kRecordDecoders.end()) return std::nullopt;
  std::optional<Data> data = decoder->decode(encoded);
  if (!data) return std::nullopt;
  Record record;
  record.name = nameFromField(ldns_rr_owner(encoded));
  if (record.name.empty()) return std::nullopt;
  record.type = type;
  record.ttl = ldns_rr_ttl(encoded) > kMaxTtl ? 0 : ldns_rr_ttl(encoded);
  record.data = std::move(*data);
  return record;
}

std::vector<Record> decodeSection(const ldns_rr_list* section) {
  std::vector<Record> records;
  const std::size_t count = section ? ldns_rr_list_rr_count(section) : 0;
  for (std::size_t i = 0; i < count; ++i)
    if (auto record = decodeRecord(ldns_rr_list_rr(section, i))) records.push_back(std::move(*record));
  return records;
}

std::optional<Question> decodeQuestion(const ldns_rr_list* questions) {
  if (!questions || ldns_rr_list_rr_count(questions) != 1) return std::nullopt;
  const ldns_rr* const question = ldns_rr_list_rr(questions, 0);
  if (ldns_rr_get_class(question) != LDNS_RR_CLASS_IN) return std::nullopt;
  return Question{nameFromField(ldns_rr_owner(question)), static_cast<Type>(ldns_rr_get_type(question))};
}

// Visitor of Data that appends the data to an encoded record. Returns false if that fails.
class DataEncoder {
 public:
  explicit DataEncoder(ldns_rr* record) : record_(record) {}

  bool operator()(const Name& name) const { return pushName(name); }
  bool operator()(const Srv& srv) const {
    return pushUint16(srv.priority) && pushUint16(srv.weight) && pushUint16(srv.port) && pushName(srv.target);
  }
  bool operator()(const Strings& strings) const {
    return std::all_of(strings.begin(), strings.end(),
                       [&](const std::string& string) { return pushCharacterString(string); });
  }
  bool operator()(const Bytes& address) const {
    const auto type = address.bytes.size() == kIpv4Bytes ? LDNS_RDF_TYPE_A : LDNS_RDF_TYPE_AAAA;
    return pushBytes(type, address.bytes);
  }
  bool operator()(const Soa& soa) const {
    return pushName(kSoaPrimary) && pushName(kSoaMailbox) && pushUint32(soa.serial) &&
           pushUint32(kSoaRefreshSeconds) && pushUint32(kSoaRetrySeconds) && pushUint32(kSoaExpireSeconds) &&
           pushUint32(soa.minimum);
  }

 private:
  bool push(ldns_rdf* field) const { return field != nullptr && ldns_rr_push_rdf(record_, field); }
  bool pushName(const Name& name) const { return push(fieldFromName(name).release()); }
  bool pushUint16(std::uint16_t value) const {
    return push(ldns_native2rdf_int16(LDNS_RDF_TYPE_INT16, value));
  }
  bool pushUint32(std::uint32_t value) const {
    return push(ldns_native2rdf_int32(LDNS_RDF_TYPE_INT32, value));
  }
  bool pushBytes(ldns_rdf_type type, const std::string& bytes) const {
    return push(ldns_rdf_new_frm_data(type, bytes.size(), bytes.data()));
  }
  bool pushCharacterString(const std::string& string) const {
    const std::string shortened = string.substr(0, kMaxCharacterStringBytes);
    const std::string length(1, static_cast<char>(shortened.size()));
    return pushBytes(LDNS_RDF_TYPE_STR, length + shortened);
  }

  ldns_rr* record_;
};

// Encodes the records of one section. Records that cannot be encoded are skipped.
void encodeSection(ldns_pkt* packet, ldns_pkt_section section, const std::vector<Record>& records) {
  for (const Record& record : records) {
    LdnsHandle<ldns_rr> encoded(ldns_rr_new());
    ldns_rdf* const owner = fieldFromName(record.name).release();
    if (!encoded || !owner) continue;
    ldns_rr_set_owner(encoded.get(), owner);
    ldns_rr_set_type(encoded.get(), static_cast<ldns_rr_type>(record.type));
    ldns_rr_set_class(encoded.get(), LDNS_RR_CLASS_IN);
    ldns_rr_set_ttl(encoded.get(), record.ttl);
    if (!std::visit(DataEncoder(encoded.get()), record.data)) continue;
    // ldns_pkt_push_rr takes ownership of the record if it succeeds.
    if (ldns_pkt_push_rr(packet, section, encoded.get())) static_cast<void>(encoded.release());
  }
}

void encodeQuestion(ldns_pkt* packet, const Question& question) {
  ldns_rr* const encoded = ldns_rr_new();
  ldns_rr_set_question(encoded, true);
  ldns_rr_set_owner(encoded, fieldFromName(question.name).release());
  ldns_rr_set_type(encoded, static_cast<ldns_rr_type>(question.type));
  ldns_rr_set_class(encoded, LDNS_RR_CLASS_IN);
  ldns_pkt_push_rr(packet, LDNS_SECTION_QUESTION, encoded);
}

enum class Sections { None, WithoutAdditionals, All };

// Encodes the given sections. Sets TC for Sections::None. Returns an empty string if ldns cannot encode the
// message.
std::string encodeSections(const Message& message, Sections sections) {
  const LdnsHandle<ldns_pkt> packet(ldns_pkt_new());
  if (!packet) return {};
  ldns_pkt_set_id(packet.get(), message.id);
  ldns_pkt_set_qr(packet.get(), message.response);
  ldns_pkt_set_aa(packet.get(), message.authoritative);
  ldns_pkt_set_tc(packet.get(), message.truncated || sections == Sections::None);
  ldns_pkt_set_rd(packet.get(), true);
  ldns_pkt_set_rcode(packet.get(), static_cast<std::uint8_t>(message.rcode));
  if (message.question) encodeQuestion(packet.get(), *message.question);
  if (message.udpPayload > 0) ldns_pkt_set_edns_udp_size(packet.get(), message.udpPayload);
  if (sections != Sections::None) {
    encodeSection(packet.get(), LDNS_SECTION_ANSWER, message.answers);
    encodeSection(packet.get(), LDNS_SECTION_AUTHORITY, message.authorities);
  }
  if (sections == Sections::All) encodeSection(packet.get(), LDNS_SECTION_ADDITIONAL, message.additionals);
  std::uint8_t* bytes = nullptr;
  std::size_t size = 0;
  if (ldns_pkt2wire(&bytes, packet.get(), &size) != LDNS_STATUS_OK) return {};
  const LdnsHandle<std::uint8_t> owner(bytes);
  return {reinterpret_cast<const char*>(bytes), size};
}

std::nullopt_t reportParseError(ParseError* error, ParseError::Code code, const char* detail) {
  if (error) *error = {code, detail};
  return std::nullopt;
}

}  // namespace

std::string encodeQuery(std::uint16_t id, const Question& question, std::uint16_t udpPayload) {
  Message message;
  message.id = id;
  message.question = question;
  message.udpPayload = udpPayload;
  return encodeSections(message, Sections::All);
}

std::string encode(const Message& message, std::size_t maxBytes) {
  for (const Sections sections : {Sections::All, Sections::WithoutAdditionals}) {
    std::string bytes = encodeSections(message, sections);
    if (!bytes.empty() && bytes.size() <= maxBytes) return bytes;
  }
  return encodeSections(message, Sections::None);
}

std::optional<Message> parse(std::string_view bytes, ParseError* error) {
  if (bytes.size() < kHeaderBytes)
    return reportParseError(error, ParseError::Code::TooShort, "shorter than a DNS message header");
  if (bytes.size() > kLongestMessage)
    return reportParseError(error, ParseError::Code::TooLong,
                            "longer than the maximum size of a DNS message");
  ldns_pkt* parsed = nullptr;
  const ldns_status status =
      ldns_wire2pkt(&parsed, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  const LdnsHandle<ldns_pkt> packet(status == LDNS_STATUS_OK ? parsed : nullptr);
  if (!packet) return reportParseError(error, ParseError::Code::Malformed, ldns_get_errorstr_by_id(status));
  Message message;
  message.id = ldns_pkt_id(packet.get());
  message.response = ldns_pkt_qr(packet.get());
  message.authoritative = ldns_pkt_aa(packet.get());
  message.truncated = ldns_pkt_tc(packet.get());
  message.rcode = static_cast<Rcode>(ldns_pkt_get_rcode(packet.get()));
  if (ldns_pkt_edns(packet.get()))
    message.udpPayload = std::max(ldns_pkt_edns_udp_size(packet.get()), kMinUdpPayload);
  message.question = decodeQuestion(ldns_pkt_question(packet.get()));
  message.answers = decodeSection(ldns_pkt_answer(packet.get()));
  message.authorities = decodeSection(ldns_pkt_authority(packet.get()));
  message.additionals = decodeSection(ldns_pkt_additional(packet.get()));
  return message;
}

}  // namespace stonebay::dns
