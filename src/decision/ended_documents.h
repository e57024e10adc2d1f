// Remembers what became of documents that may not run a second time, until their time is over: a client that
// lost its connection may hand the same document in again, here or at the process that follows. Free of I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "decision/decision.h"

namespace rockcrank {

enum class DocumentFate : std::uint8_t { delivered, undeliverable };

struct EndedDocument {
  DocumentFate fate = DocumentFate::delivered;
  Millis expiry = 0;  // Unix time
};

class EndedDocuments {
 public:
  // max_store_bytes: of the store that records them.
  explicit EndedDocuments(std::size_t max_store_bytes);

  // Whether a document has to be remembered once it is over. may_have_run: at an endpoint.
  static bool must_remember(RetrySafety retry_safety, bool may_have_run);

  // Where there is no room for all, those whose time is over first are forgotten.
  void remember(std::string_view id, const EndedDocument& ended);
  std::optional<DocumentFate> find(std::string_view id, Millis wall_now) const;
  void forget_expired(Millis wall_now);
  // The wall clock was stepped.
  void shift(Millis step);

  // The space that their records take.
  std::size_t bytes() const { return bytes_; }
  void for_each(const std::function<void(const std::string& id, const EndedDocument&)>& visit) const;

 private:
  using ByExpiry = std::set<std::pair<Millis, std::string>>;
  static std::size_t bytes_of(std::string_view id) { return id.size() + record_bytes; }
  void forget(ByExpiry::iterator oldest);

  static constexpr std::size_t record_bytes = 40;  // beside the id
  static constexpr std::size_t store_divisor = 16, max_bytes = 1'000'000;

  const std::size_t limit_;
  std::map<std::string, EndedDocument, std::less<>> by_id_;
  ByExpiry by_expiry_;
  std::size_t bytes_ = 0;
};

}  // namespace rockcrank
