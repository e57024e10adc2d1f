// Admission of documents, their priority, and how they end when no further transmission can help.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "decision/decider.h"

namespace rockcrank::internal {

void Decider::accept(const Document& document) {
  if (document.ended) return void(key_queues_[document.key].unacknowledged_ends.insert(document.id));
  Doc& doc = docs_[document.id];
  doc.destination_id = document.destination;
  doc.id = document.id, doc.destination = &destinations_[document.destination],
  doc.expiry = now_ + document.time_left;
  doc.type = &doc_types_[static_cast<std::size_t>(document.type)];
  doc.max_transmissions =
      document.max_transmissions > 0 ? document.max_transmissions : settings_.max_transmissions;
  // A document accepted with less time left than its target latency is urgent, not late.
  doc.soft_deadline = document.time_left < doc.type->target_latency && document.transmissions == 0
                          ? doc.expiry - expiry_margin()
                          : doc.expiry - doc.type->lifetime + doc.type->target_latency;
  doc.sequence = ++last_sequence_, ++doc.destination->document_count, doc.key = document.key,
  doc.transmissions = document.transmissions;
  // The earlier process may have told its end without a record by now, so it is not sent.
  if (document.recovered && document.time_left <= unrecorded_end_margin)
    doc.transmissions = doc.max_transmissions;
  doc.ordered = doc.type->in_order && document.has_key;
  if (doc.ordered) key_queues_[doc.key].waiting.insert(doc.sequence);
  // Recovered after a restart: a transmission in flight may have run, so its key has to settle.
  if (document.may_have_run) {
    doc.may_have_run_at = now_ - document.may_have_run_ago,
    doc.may_have_run_zone = document.may_have_run_zone;
    if (doc.ordered) key_queues_[doc.key].settled_at = now_ + settings_.order_settle_time;
  }
  if (auto tenant = static_cast<std::size_t>(document.tenant); tenant < tenant_shares_.size()) {
    tenant_shares_[tenant].first.add(now_, 1);
    doc.over_tenant_share =
        tenant_shares_[tenant].first.per_second(now_) > tenant_shares_[tenant].second * tenant_share_slack;
  }
}

bool Decider::has_destination(DestinationId id) const {
  return destinations_.count(id) && !destinations_.at(id).ranked_endpoints.empty();
}

// Retry-After for a document that is not accepted: the first backoff step, or the time until the destination
// may take a call, if that is longer.
Millis Decider::retry_after(DestinationId id) {
  Millis free_at = has_destination(id) ? next_call_at(destinations_[id]) : never,
         pause = jittered(backoff_base);
  return std::min(settings_.max_retry_after, free_at < never ? std::max(pause, free_at - now_) : pause);
}

// A rejection tells the client that trying again is harmless, so no transmission may have had an effect.
bool Decider::may_reject(const Doc& doc) const {
  bool harmless = doc.type->deduplicated_globally() || !doc.may_have_run();
  return doc.type->retry_safety == RetrySafety::idempotent || (doc.in_flight == 0 && harmless);
}

// Documents that can still meet their target latency go first, then late ones, then those that have lost all
// the value they can lose, then those over their tenant's share. Within a stage the most valuable goes first;
// ties go to the earliest soft deadline (stage 0), the latest one (stage 1) or the earliest expiry (stages 2
// and 3).
Priority Decider::priority_of(const Doc& doc) {
  // An ordered document blocks those of its key behind it, so it counts for all of them.
  double blocked_documents = doc.ordered ? static_cast<double>(key_queues_[doc.key].waiting.size()) : 1;
  double value = -doc.type->value * blocked_documents;
  auto priority = [&](int stage, Millis order) { return Priority{stage, value, order, doc.sequence}; };
  if (doc.over_tenant_share) return priority(3, doc.expiry);
  double lateness =
      (now_ + doc.destination->expected_duration - doc.soft_deadline) / doc.type->target_latency;
  if (lateness <= 0) return priority(0, doc.soft_deadline);
  bool value_lost = settings_.exponential_value_decay && std::exp2(-lateness) <= doc.type->late_value;
  return value_lost ? priority(2, doc.expiry) : priority(1, -doc.soft_deadline);
}

bool Decider::is_exhausted(Doc& doc) {
  // A document whose destination must wait past its expiry can no longer be sent, whichever call was told to
  // wait.
  bool cannot_be_sent =
      doc.transmissions >= doc.max_transmissions ||
      std::max(doc.not_before, doc.destination->retry_after_until) >= doc.expiry - expiry_margin();
  return doc.in_flight == 0 && (cannot_be_sent || !may_transmit_again(doc, std::max(now_, doc.not_before)));
}

void Decider::end_document(Doc& doc) {
  Millis wait = std::min(next_call_at(*doc.destination) - now_,
                         settings_.max_retry_after);  // Retry-After for the client
  bool rejected = may_reject(doc);
  if (rejected) actions_.rejected.push_back({doc.id, wait});
  else actions_.abandoned.push_back(doc.id);
  finish(doc, rejected);
}

void Decider::abandon(Doc& doc, const char* reason) {
  current_rule_ = reason;
  actions_.abandoned.push_back(doc.id);
  finish(doc, false);
}

void Decider::finish(Doc& doc, bool rejected) {
  record_end(doc, rejected);
  if (doc.ordered && settings_.end_reports_acknowledged)
    key_queues_[doc.key].unacknowledged_ends.insert(doc.id);
  remove(doc);
}

void Decider::record_end(const Doc& doc, bool rejected) {
  ++(rejected ? counters_.rejected : counters_.abandoned);
  bool harmless = doc.type->retry_safety == RetrySafety::idempotent || !doc.may_have_run() ||
                  doc.type->deduplicated_globally();
  bool safe =
      !rejected || (harmless && (doc.in_flight == 0 || doc.type->retry_safety == RetrySafety::idempotent));
  bool in_time = now_ <= doc.expiry;
  counters_.invariants.violated(Invariant::safe_rejection, safe);
  counters_.invariants.violated(Invariant::expiry, in_time);
  char text[200];
  std::snprintf(
      text, sizeof text,
      "event=%s message=%llu destination=%llu reason=\"%s\" attempts=%d failures=%d left_ms=%.0f%s%s",
      rejected ? "rejected" : "abandoned", 0ULL + static_cast<std::uint64_t>(doc.id),
      0ULL + static_cast<std::uint64_t>(doc.destination_id), current_rule_, doc.transmissions, doc.failures,
      doc.expiry - now_, safe ? "" : " violation=safe_rejection", in_time ? "" : " violation=deadline");
  actions_.log.push_back({text, doc.id});
}

// At capacity new documents are turned away, as when a busy destination is down. To keep a tenth of the
// capacity free, documents that have lost all the value they can lose are rejected, those nearest to their
// expiry first.
bool Decider::must_make_room(Doc& doc) {
  // Documents recovered at a restart are not shed, even where they exceed the present capacity.
  double max_held = std::max(0.9 * settings_.max_documents, static_cast<double>(documents_at_start_));
  return settings_.max_documents > 0 && static_cast<double>(docs_.size()) > max_held && doc.in_flight == 0 &&
         may_reject(doc) && std::get<0>(priority_of(doc)) >= 2;
}

}  // namespace rockcrank::internal
