// The records of the store's journal: their kinds, and how they are written and read. A record is its length
// and checksum (4 bytes each), its kind (1 byte), the number of its document (8 bytes) and its payload.
#pragma once

#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>

#include "decision/ended_documents.h"
#include "relay/log.h"
#include "relay/store.h"
#include "settings/settings.h"

namespace rockcrank {

// As stored.
inline constexpr char document_kind = 'D';
inline constexpr char untyped_document_kind = 'T';  // written by version 0.2.0, without the document type
inline constexpr char transmission_kind = 'S';
inline constexpr char never_ran_kind = 'N';
inline constexpr char ended_kind = 'E';
inline constexpr char removed_kind = 'F';
inline constexpr char may_be_over_kind = 'M';
inline constexpr char fleet_id_kind = 'C';
inline constexpr char offline_kind = 'O';
inline constexpr char online_kind = 'B';
inline constexpr char metadata_kind = 'G';
inline constexpr char clock_kind = 'K';
inline constexpr char last_number_kind = 'L';
inline constexpr char remembered_end_kind = 'H';

// Reads the fields of a record in order; throws ParseError where they end early.
class RecordReader {
 public:
  explicit RecordReader(std::string_view bytes) : remaining_(bytes) {}
  template <typename Number>
  Number number() {
    Number value;
    if (remaining_.size() < sizeof value) throw ParseError("truncated record");
    std::memcpy(&value, remaining_.data(), sizeof value);
    remaining_.remove_prefix(sizeof value);
    return value;
  }
  std::string text() {
    auto size = number<std::uint32_t>();
    if (remaining_.size() < size) throw ParseError("truncated record");
    std::string value(remaining_.substr(0, size));
    remaining_.remove_prefix(size);
    return value;
  }
  StoredDocument::Transmission transmission() {
    auto sent_number = number<std::int32_t>();
    auto sent_at = number<double>();
    return {sent_number, sent_at, ZoneId(number<std::uint32_t>())};
  }
  DocType type() {
    DocType type;
    for (double* number : {&type.target_latency, &type.lifetime, &type.late_value, &type.idempotency_window})
      *number = this->number<double>();
    type.retry_safety = RetrySafety(number<char>()),
    type.idempotency_scope = IdempotencyScope(number<char>());
    type.in_order = number<char>() != 0;
    return type;
  }
  std::string_view remaining() const { return remaining_; }

 private:
  std::string_view remaining_;
};

template <typename Number>
void append_number(std::string& to, Number number) {
  char bytes[sizeof number];
  std::memcpy(bytes, &number, sizeof number);
  to.append(bytes, sizeof number);
}

void append_transmission(std::string& to, const StoredDocument::Transmission& transmission);
void append_end(std::string& to, bool rejected, Millis wait);
std::string encode_string(std::string_view text);
std::string encode_offline_order(std::string_view endpoint, std::uint64_t number);
std::string encode_metadata(std::string_view name, std::string_view text);
std::string encode_remembered_end(std::string_view id, const EndedDocument& ended);
std::string encode_clock(Millis wall_offset, std::uint64_t boot);
std::string make_record(char kind, DocId doc, std::string_view payload);

// with_type: false for records of version 0.2.0, which have no type.
StoredDocument read_document(RecordReader& reader, bool with_type);

// The content of the record at the offset, which is moved behind it; nothing where no intact one follows. A
// kill may have cut the last record short: such a record was never acknowledged.
std::optional<std::string_view> next_record(std::string_view bytes, std::size_t& offset);

// Visits each intact record and returns the number of bytes read.
template <typename Visitor>
std::size_t for_each_record(std::string_view bytes, Visitor visit) {
  std::size_t offset = 0;
  while (const auto content = next_record(bytes, offset)) {
    try {
      RecordReader reader(*content);
      const char kind = reader.number<char>();
      const auto number = reader.number<std::uint64_t>();
      visit(kind, number, reader.remaining());
    } catch (const ParseError& fault) { log_line("store: %s", fault.what()); }
  }
  return offset;
}

}  // namespace rockcrank
