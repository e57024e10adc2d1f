#include "relay/store_records.h"

namespace rockcrank {
namespace {

constexpr std::size_t record_header_bytes = 8;

void append_string(std::string& to, std::string_view text) {
  append_number(to, static_cast<std::uint32_t>(text.size()));
  to.append(text);
}

void append_type(std::string& to, const DocType& type) {
  for (double number : {type.target_latency, type.lifetime, type.late_value, type.idempotency_window})
    append_number(to, number);
  append_number(to, static_cast<char>(type.retry_safety)),
      append_number(to, static_cast<char>(type.idempotency_scope));
  append_number(to, static_cast<char>(type.in_order));
}

// The string fields of a document, in the order of its record.
constexpr std::string StoredDocument::*string_fields[] = {
    &StoredDocument::id,        &StoredDocument::idempotency_key, &StoredDocument::body,
    &StoredDocument::order_key, &StoredDocument::doc_type,        &StoredDocument::tenant};

std::uint32_t checksum(std::string_view bytes) { return static_cast<std::uint32_t>(fnv1a_hash(bytes) >> 7); }

}  // namespace

void append_transmission(std::string& to, const StoredDocument::Transmission& transmission) {
  append_number(to, static_cast<std::int32_t>(transmission.number));
  append_number(to, transmission.sent_at);
  append_number(to, static_cast<std::uint32_t>(transmission.zone));
}

void append_end(std::string& to, bool rejected, Millis wait) {
  append_number(to, static_cast<char>(rejected));
  append_number(to, wait);
}

StoredDocument read_document(RecordReader& reader, bool with_type) {
  StoredDocument document;
  for (auto text : string_fields) document.*text = reader.text();
  document.destination = DestinationId(reader.number<std::uint64_t>());
  document.expiry = reader.number<double>();
  document.transmissions = reader.number<std::int32_t>();
  for (auto count = reader.number<std::uint32_t>(); count > 0; --count)
    document.in_doubt.push_back(reader.transmission());
  document.ended = reader.number<char>() != 0;
  if (with_type) document.type = reader.type(), document.max_transmissions = reader.number<std::int32_t>();
  document.rejected = reader.number<char>() != 0;
  document.reject_retry_after = reader.number<double>();
  if (!reader.remaining().empty()) document.may_be_over = reader.number<char>() != 0;
  return document;
}

std::string Store::encode(const StoredDocument& document) {
  std::string payload;
  for (auto text : string_fields) append_string(payload, document.*text);
  append_number(payload, static_cast<std::uint64_t>(document.destination));
  append_number(payload, document.expiry);
  append_number(payload, static_cast<std::int32_t>(document.transmissions));
  append_number(payload, static_cast<std::uint32_t>(document.in_doubt.size()));
  for (const auto& transmission : document.in_doubt) append_transmission(payload, transmission);
  append_number(payload, static_cast<char>(document.ended));
  append_type(payload, document.type);
  append_number(payload, static_cast<std::int32_t>(document.max_transmissions));
  append_end(payload, document.rejected, document.reject_retry_after);
  if (document.may_be_over) append_number(payload, static_cast<char>(true));
  return payload;
}

StoredDocument Store::decode(std::string_view record) {
  RecordReader reader(record);
  return read_document(reader, true);
}

std::string encode_string(std::string_view text) {
  std::string payload;
  append_string(payload, text);
  return payload;
}

std::string encode_offline_order(std::string_view endpoint, std::uint64_t number) {
  std::string payload = encode_string(endpoint);
  append_number(payload, number);
  return payload;
}

std::string encode_metadata(std::string_view name, std::string_view text) {
  std::string payload;
  append_string(payload, name), append_string(payload, text);
  return payload;
}

std::string encode_remembered_end(std::string_view id, const EndedDocument& ended) {
  std::string payload;
  append_string(payload, id), append_number(payload, static_cast<char>(ended.fate));
  append_number(payload, ended.expiry);
  return payload;
}

std::string encode_clock(Millis wall_offset, std::uint64_t boot) {
  std::string payload;
  append_number(payload, wall_offset), append_number(payload, boot);
  return payload;
}

std::string make_record(char kind, DocId doc, std::string_view payload) {
  std::string content(1, kind);
  append_number(content, static_cast<std::uint64_t>(doc));
  content.append(payload);
  std::string record;
  append_number(record, static_cast<std::uint32_t>(content.size()));
  append_number(record, checksum(content));
  return record + content;
}

std::optional<std::string_view> next_record(std::string_view bytes, std::size_t& offset) {
  if (offset + record_header_bytes > bytes.size()) return {};
  std::uint32_t size = 0, sum = 0;
  std::memcpy(&size, bytes.data() + offset, sizeof size);
  std::memcpy(&sum, bytes.data() + offset + sizeof size, sizeof sum);
  if (size > bytes.size() - offset - record_header_bytes) return {};
  const auto content = bytes.substr(offset + record_header_bytes, size);
  if (checksum(content) != sum) return {};
  offset += record_header_bytes + size;
  return content;
}

}  // namespace rockcrank
