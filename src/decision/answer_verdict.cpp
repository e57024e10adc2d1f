// The table of answer_verdict.h. Each switch has a case for every value: a new one does not compile until it
// is decided.
#include "decision/answer_verdict.h"

namespace rockcrank {
namespace {

// The result that the end of the call gives by itself.
TransmissionResult result_without_answer(CallEnd end) {
  switch (end) {
    case CallEnd::timed_out: return TransmissionResult::timed_out;
    case CallEnd::canceled: return TransmissionResult::canceled;
    case CallEnd::proved_answer:
    case CallEnd::accepted_answer:
    case CallEnd::connection_lost:
    case CallEnd::disputed: break;
  }
  return TransmissionResult::connection_lost;
}

bool is_by_answer(CallEnd end) { return end == CallEnd::proved_answer || end == CallEnd::accepted_answer; }

// Where another way ended the call it may be a copy, and the call may have run. It is not called again, as it
// may be over, and gets a report, as its end may still be owed.
AnswerVerdict judge_delivered(CallEnd end) {
  if (is_by_answer(end) || end == CallEnd::timed_out)
    return {TransmissionResult::answered, DocumentEnd::over, true};
  return {result_without_answer(end), DocumentEnd::over_unproved, false};
}

// "410: not sent, the message is over; nothing more is owed". What only may be over is reported.
AnswerVerdict judge_over(CallEnd end) {
  const auto document_end = end == CallEnd::proved_answer ? DocumentEnd::over : DocumentEnd::over_unproved;
  return {TransmissionResult::not_sent, document_end, is_by_answer(end)};
}

// "504: the message has had all its attempts; its end is still owed".
AnswerVerdict judge_attempts_spent(CallEnd end) {
  const auto result = is_by_answer(end) ? TransmissionResult::not_sent : result_without_answer(end);
  return {result, DocumentEnd::attempts_spent, is_by_answer(end)};
}

// It may have run, so there is nothing to lose by accepting it when no other answer came in time.
AnswerVerdict judge_failed(CallEnd end) {
  if (is_by_answer(end) || end == CallEnd::timed_out)
    return {TransmissionResult::error, DocumentEnd::none, true};
  return {result_without_answer(end), DocumentEnd::none, false};
}

// That a call never ran has to be proved, or accepted by time.
AnswerVerdict judge_never_ran(TransmissionResult result, CallEnd end) {
  if (is_by_answer(end)) return {result, DocumentEnd::none, true};
  return {result_without_answer(end), DocumentEnd::none, false};
}

}  // namespace

AnswerKind kind_of_status(int status, bool slots_taken) {
  switch (status) {
    case 200: return AnswerKind::delivered;
    case 410: return AnswerKind::over;
    case 504: return AnswerKind::attempts_spent;
    case 503: return slots_taken ? AnswerKind::slots_taken : AnswerKind::refused;
    case 400:
    case 413:
    case 429: return AnswerKind::refused;
    default: return AnswerKind::failed;
  }
}

AnswerKind kind_of_item_state(std::string_view state) {
  if (state == "ok") return AnswerKind::delivered;
  if (state == "later") return AnswerKind::refused;
  if (state == "gone") return AnswerKind::over;
  if (state == "exhausted") return AnswerKind::attempts_spent;
  return AnswerKind::failed;
}

AnswerVerdict judge_answer(AnswerKind kind, CallEnd end) {
  switch (kind) {
    case AnswerKind::delivered: return judge_delivered(end);
    case AnswerKind::failed: return judge_failed(end);
    case AnswerKind::refused: return judge_never_ran(TransmissionResult::refused, end);
    case AnswerKind::slots_taken: return judge_never_ran(TransmissionResult::not_sent, end);
    case AnswerKind::attempts_spent: return judge_attempts_spent(end);
    case AnswerKind::over: return judge_over(end);
  }
  return {};
}

AnswerVerdict judge_disputed_end(const AnswerVerdict& last) {
  if (last.end == DocumentEnd::over || last.end == DocumentEnd::over_unproved) return last;
  return {TransmissionResult::connection_lost, DocumentEnd::over_unproved, last.accepted};
}

bool ends_document(AnswerKind kind) {
  switch (kind) {
    case AnswerKind::delivered:
    case AnswerKind::over: return true;
    case AnswerKind::failed:
    case AnswerKind::refused:
    case AnswerKind::slots_taken:
    case AnswerKind::attempts_spent: return false;
  }
  return false;
}

bool must_be_recorded(AnswerKind kind) { return kind == AnswerKind::over; }

}  // namespace rockcrank
