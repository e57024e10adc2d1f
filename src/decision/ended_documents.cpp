#include "decision/ended_documents.h"

#include <algorithm>

namespace rockcrank {

EndedDocuments::EndedDocuments(std::size_t max_store_bytes)
    : limit_(std::min(max_store_bytes / store_divisor, max_bytes)) {}

bool EndedDocuments::must_remember(RetrySafety retry_safety, bool may_have_run) {
  return may_have_run && retry_safety != RetrySafety::idempotent;
}

void EndedDocuments::remember(std::string_view id, const EndedDocument& ended) {
  if (auto known = by_id_.find(id); known != by_id_.end())
    forget(by_expiry_.find({known->second.expiry, known->first}));
  by_id_.emplace(id, ended);
  by_expiry_.emplace(ended.expiry, id);
  bytes_ += bytes_of(id);
  while (bytes_ > limit_) forget(by_expiry_.begin());
}

std::optional<DocumentFate> EndedDocuments::find(std::string_view id, Millis wall_now) const {
  auto known = by_id_.find(id);
  if (known == by_id_.end() || known->second.expiry <= wall_now) return std::nullopt;
  return known->second.fate;
}

void EndedDocuments::forget_expired(Millis wall_now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= wall_now) forget(by_expiry_.begin());
}

void EndedDocuments::shift(Millis step) {
  if (step == 0) return;
  by_expiry_.clear();
  for (auto& [id, ended] : by_id_) {
    ended.expiry += step;
    by_expiry_.emplace(ended.expiry, id);
  }
}

void EndedDocuments::for_each(
    const std::function<void(const std::string& id, const EndedDocument&)>& visit) const {
  for (const auto& [id, ended] : by_id_) visit(id, ended);
}

void EndedDocuments::forget(ByExpiry::iterator oldest) {
  bytes_ -= bytes_of(oldest->second);
  by_id_.erase(oldest->second);
  by_expiry_.erase(oldest);
}

}  // namespace rockcrank
