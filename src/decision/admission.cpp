// What is taken on, in which order it is tried, and how it ends when nothing more can be done for it.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "decision/decider.h"

namespace rockcrank::internal {

void Decider::accept(const Document& given) {
  if (given.ended) return void(lanes_[given.key].untold.insert(given.id));
  Doc& doc = docs_[given.id];
  doc.destination = given.destination;
  doc.id = given.id, doc.to = &destinations_[given.destination], doc.expiry = now_ + given.time_left;
  doc.type = &types_[static_cast<std::size_t>(given.type)];
  doc.most = given.max_transmissions > 0 ? given.max_transmissions : set_.max_transmissions;
  // A document handed in with less left than its agreed time is in a hurry, not late.
  doc.agreed_by = given.time_left < doc.type->target_latency && given.transmissions == 0
                      ? doc.expiry - margin()
                      : doc.expiry - doc.type->lifetime + doc.type->target_latency;
  doc.turn_taken = ++taken_, ++doc.to->docs, doc.key = given.key, doc.tries = given.transmissions;
  doc.ordered = doc.type->in_order && given.has_key;
  if (doc.ordered) lanes_[doc.key].waiting.insert(doc.turn_taken);
  // Recovered after a restart: a transmission that was out may have run, and its key rests.
  if (given.may_have_run) {
    doc.risked_at = now_ - given.may_have_run_ago, doc.risked_hall = given.may_have_run_zone;
    if (doc.ordered) lanes_[doc.key].rests_until = now_ + set_.order_settle_time;
  }
  if (auto tenant = static_cast<std::size_t>(given.tenant); tenant < shares_.size()) {
    shares_[tenant].first.add(now_, 1);
    doc.over_share = shares_[tenant].first.per_second(now_) > shares_[tenant].second * share_slack;
  }
}

bool Decider::has_destination(DestinationId at) const {
  return destinations_.count(at) && !destinations_.at(at).ranked.empty();
}

// At the door: after the ladder's first step, or when the destination may take a call, if that is later.
Millis Decider::retry_after(DestinationId id) {
  Millis free = has_destination(id) ? free_at(destinations_[id]) : never, pause = varied(ladder_base);
  return std::min(set_.max_retry_after, free < never ? std::max(pause, free - now_) : pause);
}

// Rule 2: a rejection tells the client that trying again is harmless.
bool Decider::may_reject(const Doc& doc) const {
  bool harmless = doc.type->deduplicated_globally() || !doc.may_have_run();
  return doc.type->retry_safety == RetrySafety::idempotent || (doc.out == 0 && harmless);
}

// What can still make its agreed time first, then the late, then the rest. In each the most valuable first;
// then the earliest, the freshest, the nearest to its expiry.
Grade Decider::urgency(const Doc& doc) {
  // An ordered document holds up those of its key behind it.
  double held_up = doc.ordered ? static_cast<double>(lanes_[doc.key].waiting.size()) : 1;
  double value = -doc.type->value * held_up;
  auto grade = [&](int stage, Millis by) { return Grade{stage, value, by, doc.turn_taken}; };
  if (doc.over_share) return grade(3, doc.expiry);
  double late = (now_ + doc.to->lead - doc.agreed_by) / doc.type->target_latency;
  if (late <= 0) return grade(0, doc.agreed_by);
  bool lost = set_.exponential_value_decay && std::exp2(-late) <= doc.type->late_value;
  return lost ? grade(2, doc.expiry) : grade(1, -doc.agreed_by);
}

bool Decider::is_spent(Doc& doc) {
  // Told to wait past its expiry, a document cannot go any more, whoever of its destination was told.
  bool late = doc.tries >= doc.most || std::max(doc.not_before, doc.to->told_until) >= doc.expiry - margin();
  return doc.out == 0 && (late || !may_go_again(doc, std::max(now_, doc.not_before)));
}

void Decider::end(Doc& doc) {
  Millis wait = std::min(free_at(*doc.to) - now_, set_.max_retry_after);  // told the client
  bool rejected = may_reject(doc);
  if (rejected) done_.rejected.push_back({doc.id, wait});
  else done_.abandoned.push_back(doc.id);
  note_end(doc, rejected);
  if (doc.ordered && set_.end_reports_acknowledged) lanes_[doc.key].untold.insert(doc.id);
  close(doc);
}

void Decider::note_end(const Doc& doc, bool rejected) {
  ++(rejected ? counters_.rejected : counters_.abandoned);
  bool harmless = doc.type->retry_safety == RetrySafety::idempotent || !doc.may_have_run() ||
                  doc.type->deduplicated_globally();
  bool safe = !rejected || (harmless && (doc.out == 0 || doc.type->retry_safety == RetrySafety::idempotent));
  bool in_time = now_ <= doc.expiry;
  counters_.invariants.violated(Invariant::safe_rejection, safe);
  counters_.invariants.violated(Invariant::expiry, in_time);
  char text[200];
  std::snprintf(
      text, sizeof text,
      "event=%s message=%llu destination=%llu reason=\"%s\" attempts=%d failures=%d left_ms=%.0f%s%s",
      rejected ? "rejected" : "abandoned", 0ULL + static_cast<std::uint64_t>(doc.id),
      0ULL + static_cast<std::uint64_t>(doc.destination), reason_, doc.tries, doc.failures, doc.expiry - now_,
      safe ? "" : " violation=safe_rejection", in_time ? "" : " violation=deadline");
  done_.log.push_back(text);
}

// A full room turns away fresh documents at the door, as when a destination with much traffic is down. A
// tenth is kept free: documents that have lost all they can lose make way, those nearest to expiry first.
bool Decider::crowds_out(Doc& doc) {
  // Guards against giving up what a restart found, where that is more than the room is now.
  double most = std::max(0.9 * set_.max_documents, static_cast<double>(held_at_start_));
  return set_.max_documents > 0 && static_cast<double>(docs_.size()) > most && doc.out == 0 &&
         may_reject(doc) && std::get<0>(urgency(doc)) >= 2;
}

}  // namespace rockcrank::internal
