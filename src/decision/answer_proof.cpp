// What an answer proves that may be a copy of an earlier one: HTTP/1.1 tells by the order on a connection
// alone which call an answer belongs to.
#include <algorithm>

#include "decision/decider.h"

namespace rockcrank::internal {

// Where copies were seen lately, or deliveries always differ, one that repeats an answer is not accepted.
// Elsewhere one that came much sooner than this endpoint answers is accepted only after several times the
// longest of its recent answers, any other once the endpoint has had its usual time. A refusal that is
// wrongly accepted would send an unsafe document twice, so it is always given the long time. So is one that
// ends its document, as a copy would end another one.
Millis Decider::acceptance_delay(const UnprovenAnswer& answer) {
  auto found = in_flight_.find({answer.doc, answer.transmission});
  if (found == in_flight_.end()) return 0;
  Call& call = calls_[std::get<0>(found->second)];
  AnswerTimes& times = call.endpoint->answer_times;
  const bool is_delivery = answer.kind == AnswerKind::delivered;
  if (copied_lately(*call.endpoint) || (is_delivery && answer.deliveries_differ)) return never;
  const Millis usual = usual_duration(*call.route);
  Millis longest = times.longest(now_);
  if (longest <= 0) longest = 2 * usual;
  if (answer.kind == AnswerKind::over) return early_answer_patience * longest;
  const bool never_ran = !is_delivery && answer.kind != AnswerKind::failed;
  auto held = docs_.find(answer.doc);
  if (held != docs_.end()) {
    const DocType& type = *held->second.type;
    if (never_ran && type.retry_safety == RetrySafety::unsafe) return never;
    if (type.in_order) return early_answer_patience * longest;
  }
  const Millis shortest = (never_ran ? times.failed : times.delivered).shortest(now_);
  if (answer.answer_time < early_answer_share * shortest) return early_answer_patience * longest;
  return std::min(longest_answer_patience * longest, usual_answer_patience * usual);
}

void Decider::note_copied_answer(EndpointId id) {
  if (auto found = endpoints_.find(id); found != endpoints_.end())
    found->second.answer_times.copied_at = now_;
}

void Decider::wait_told(EndpointId id, Millis wait) {
  auto found = endpoints_.find(id);
  if (found == endpoints_.end() || wait <= 0) return;
  Route& route = *found->second.route;
  route.publish_pending = apply_retry_after(route, now_ + wait, false);
}

// Where an endpoint copies the same answer to several calls, only the first answer on a connection tells its
// call.
bool Decider::may_keep_connection(EndpointId id, bool answers_repeat) {
  auto found = endpoints_.find(id);
  return found == endpoints_.end() || !answers_repeat || !copied_lately(found->second);
}

// A refusal of an unsafe document has to be proved: it would be sent again. On a connection without an
// earlier refusal, each is. Where copies were seen lately, what may not be done twice, or not out of turn, is
// not staked on their absence.
bool Decider::may_reuse_connection(EndpointId id, DocId doc, const EarlierAnswers& earlier) {
  auto found = endpoints_.find(id);
  auto held = docs_.find(doc);
  if (found == endpoints_.end() || held == docs_.end()) return true;
  const DocType& type = *held->second.type;
  const bool is_unsafe = type.retry_safety == RetrySafety::unsafe;
  if (is_unsafe && (!earlier.all_proved || earlier.any_refusal)) return false;
  return !copied_lately(found->second) || !(is_unsafe || type.in_order);
}

// An unproven answer that came too early may be a copy, and says nothing of the endpoint's times.
void Decider::record_answer_time(Endpoint& endpoint, const Outcome& outcome) {
  const Millis took = outcome.answer_time;
  if (took < 0) return;
  const bool delivered = outcome.result == TransmissionResult::answered;
  if (!delivered && outcome.result != TransmissionResult::refused &&
      outcome.result != TransmissionResult::error)
    return;
  RecentRange& range = delivered ? endpoint.answer_times.delivered : endpoint.answer_times.failed;
  if (!outcome.unproven || took >= early_answer_share * range.shortest(now_)) range.add(now_, took);
}

}  // namespace rockcrank::internal
