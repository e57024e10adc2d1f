// Reads the answers on a connection, decides by their order which call each belongs to, and ends the call
// with what the decision module says of it.
#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <utility>

#include "relay/endpoint_connection.h"
#include "relay/log.h"
#include "settings/settings.h"

namespace rockcrank {

void Endpoints::Connection::report_wait_early(const HttpResponse& answer) {
  bool refused = answer.status == 429 || answer.status == 503;
  const std::size_t bytes = stream_.received().size();
  if (!refused || bytes == wait_reported_bytes_) return;
  const Millis wait = retry_after_of(answer);
  if (wait <= 0) return;
  wait_reported_bytes_ = bytes;
  owner_.on_wait_told_early(transmissions_[0].doc, transmissions_[0].transmission, wait);
}

Millis Endpoints::Connection::retry_after_of(const HttpResponse& answer) const {
  auto text = answer.header("Retry-After");
  if (text.empty()) return 0;
  try {
    return std::max(0.0, std::ceil(1000 * parse_number(text, "Retry-After")));
  } catch (const ParseError& fault) {
    log_invalid_header(fault);
    return 0;
  }
}

void Endpoints::Connection::log_invalid_header(const ParseError& fault) const {
  log_line("invalid header in an answer of endpoint %llx: %s", static_cast<unsigned long long>(endpoint_),
           fault.what());
}

void Endpoints::Connection::read(bool ended) {
  while (read_answer(ended)) {}
}

bool Endpoints::Connection::read_answer(bool ended) {
  if (transmissions_.empty() && !draining_) return read_unexpected(ended), false;
  if (!draining_ && has_unwritten_bytes() && read_before_written(ended)) return false;
  auto answer = parse_response(stream_.received(), max_body_bytes, ended);
  using State = HttpResponse::State;
  bool partial = answer.state == State::partial && !ended, complete = answer.state == State::complete;
  // For a single document a 200 in the status line is final, whatever follows. So headers or a body that
  // never end don't delay the outcome.
  bool is_decided = !is_batch_ && answer.status == 200;
  if (!complete && !draining_) report_wait_early(answer);
  if (partial && !draining_) record_begun_end(answer);
  if (partial && (!is_decided || draining_)) return false;
  // Any other answer that cannot be read completely proves nothing, as its status line may be corrupt too.
  // Where that line says 410, abort() keeps the document from further calls and has it reported.
  if (!complete && !is_decided) return abort(TransmissionResult::connection_lost), false;
  if (!draining_ && history_.answers() > 0) {
    // The first bytes of a 200 may be those of a copy. One that is malformed is none: all before it were
    // not.
    const bool is_cut = !complete && !(answer.state == State::malformed && history_.all_proved());
    if (is_cut) await_proof();
    if (is_cut && !partial) abort(TransmissionResult::connection_lost);
    if (is_cut) return false;
    const auto proof = proof_of(answer);
    if (proof == Proof::other_call) return drop_copy(answer), true;
    if (complete && proof == Proof::none) return keep_unproven(answer), true;
    if (!unproven_answer_.empty()) drop_unproven();
  }
  finish_answer(answer, CallEnd::proved_answer, partial, ended);
  return false;
}

void Endpoints::Connection::finish_answer(const HttpResponse& answer, CallEnd end, bool partial, bool ended) {
  if (!std::exchange(draining_, partial)) process_response(answer, end);
  // An answer may stop short, and the endpoint counts such a call as running until its connection is
  // closed.
  if (partial) return timer_.set(owner_.loop_.now() + drain_timeout);
  bool complete = answer.state == HttpResponse::State::complete;
  if (!complete || answer.closes_connection || ended || has_unwritten_bytes())
    return owner_.discard(*this, EndpointCloseReason::closed_by_answer);
  remember(stream_.received().substr(0, answer.size), answer);
  stream_.consume(answer.size);
  if (!stream_.received().empty()) return read_unexpected(false);
  release();
}

void Endpoints::Connection::release() {
  if (owner_.may_keep_connection(endpoint_, answers_repeat_)) return owner_.release(*this);
  if (!retire()) return owner_.discard(*this, EndpointCloseReason::answers_repeat);
  owner_.release(*this);
  timer_.set(last_deadline_);
}

void Endpoints::Connection::remember(std::string_view bytes, const HttpResponse& answer) {
  const bool refused = never_ran(answer);
  history_.add(bytes, !unproven_, refused);
  auto pool = owner_.pools_.find(endpoint_);
  if (pool == owner_.pools_.end()) return;
  if (answer.status == 200) {
    ++pool->second.deliveries;
    if (pool->second.history.contains(bytes)) pool->second.deliveries_differ = false;
  }
  // A refusal has hardly anything of its own, so the next one may look like it.
  answers_repeat_ = refused || pool->second.history.contains(bytes);
  pool->second.history.add(bytes, true, refused);
}

void Endpoints::Connection::read_unexpected(bool ended) {
  if (!stream_.received().empty()) {
    auto answer = parse_response(stream_.received(), max_body_bytes, ended);
    ++owner_.answer_counts_.unexpected;
    log_answer("answer_unexpected", answer.status);
    if (answer.status > 0) owner_.on_copied_answer(endpoint_);
    if (const Millis wait = retry_after_of(answer); wait > 0) owner_.on_wait_told(endpoint_, wait);
    if (answer.status == 200 && !delivered_unproven_.empty() && !ended) return listen_on(answer);
    contradict_delivery(answer.status);
    return owner_.discard(*this, EndpointCloseReason::unexpected_answer);
  }
  owner_.discard(*this, EndpointCloseReason::unusable);
}

void Endpoints::Connection::listen_on(const HttpResponse& answer) {
  stream_.consume(answer.state == HttpResponse::State::complete ? answer.size : 0);
  if (answer.state != HttpResponse::State::complete)
    return owner_.discard(*this, EndpointCloseReason::unexpected_answer);
  retired_ = true;
  if (!stream_.received().empty()) return read_unexpected(false);
  owner_.release(*this);
  timer_.set(last_deadline_);
}

bool Endpoints::Connection::read_before_written(bool ended) {
  const bool nothing_written = !request_.empty(), has_answer = !stream_.received().empty();
  auto answer = parse_response(stream_.received(), max_body_bytes, ended);
  if (has_answer) {
    ++owner_.answer_counts_.early;
    log_answer("answer_before_call", answer.status);
  }
  if (nothing_written && history_.answers() > 0) return owner_.move_to_new_connection(*this), true;
  if (!transmissions_.empty()) report_wait_early(answer);
  if (answer.state == HttpResponse::State::partial && !ended) return true;
  const bool refused = answer.state == HttpResponse::State::complete && never_ran(answer);
  if (refused && history_.answers() == 0) return false;
  const bool is_unsolicited = has_answer && history_.answers() > 0;
  return abort(is_unsolicited ? TransmissionResult::not_sent : TransmissionResult::connection_lost), true;
}

Endpoints::Connection::Proof Endpoints::Connection::proof_of(const HttpResponse& answer) const {
  const auto named = named_call(answer);
  if (named == Proof::other_call) return named;
  if (history_.contains(stream_.received().substr(0, answer.size))) return Proof::none;
  return history_.all_proved() ? Proof::this_call : named;
}

Endpoints::Connection::Proof Endpoints::Connection::named_call(const HttpResponse& answer) const {
  auto is_ours = [&](std::string_view id) {
    return std::ranges::any_of(transmissions_, [&](const auto& item) { return item.id == id; });
  };
  if (auto id = answer.header("Request-Id"); !is_batch_ && !id.empty())
    return is_ours(id) ? Proof::this_call : Proof::other_call;
  if (!is_batch_ || answer.status != 200) return Proof::none;
  const auto listed = listed_kinds(answer);
  if (listed.empty()) return Proof::none;
  return std::ranges::any_of(listed, [&](const auto& one) { return is_ours(one.first); }) ? Proof::this_call
                                                                                          : Proof::other_call;
}

void Endpoints::Connection::drop_copy(const HttpResponse& answer) {
  if (unproven_answer_.empty()) withdraw_recorded_ends();
  note_copy(answer.status);
  consume(answer);
}

void Endpoints::Connection::consume(const HttpResponse& answer) {
  stream_.consume(answer.size);
  wait_reported_bytes_ = 0;
}

void Endpoints::Connection::drop_unproven() {
  const auto answer = parse_response(unproven_answer_, max_body_bytes, false);
  note_copy(answer.status);
  withdraw_recorded_ends();
  ended_by_earlier_.clear();
  unproven_answer_.clear();
}

void Endpoints::Connection::replace_unproven(const HttpResponse& next) {
  const auto last = parse_response(unproven_answer_, max_body_bytes, false);
  const AnswerKinds kinds(last, is_batch_);
  for (const auto& item : transmissions_)
    if (ends_document(kinds.of(item.id))) ended_by_earlier_.insert(item.id);
  if (kind_of(last) != kind_of(next)) disputed_ = true;
  note_copy(last.status);
}

void Endpoints::Connection::note_copy(int status) {
  ++owner_.answer_counts_.copied;
  log_answer("answer_copied", status);
  owner_.on_copied_answer(endpoint_);
  contradict_delivery(status);
}

void Endpoints::Connection::keep_unproven(const HttpResponse& answer) {
  if (!unproven_answer_.empty()) replace_unproven(answer);
  unproven_answer_ = stream_.received().substr(0, answer.size);
  unproven_at_ = owner_.loop_.now();
  report_wait_early(answer);
  ++owner_.answer_counts_.kept;
  const AnswerKind kind = kind_of(answer);
  const bool is_logged = is_batch_ || kind == AnswerKind::over || kind == AnswerKind::attempts_spent;
  if (is_logged) log_answer("answer_kept", answer.status);
  record_possible_ends(AnswerKinds(answer, is_batch_));
  consume(answer);
  acceptance_timer_.set(acceptance_time());
}

void Endpoints::Connection::record_possible_ends(const AnswerKinds& kinds) {
  for (const auto& item : transmissions_)
    if (must_be_recorded(kinds.of(item.id)) && recorded_ends_.insert(item.doc).second)
      owner_.on_possible_end(item.doc, true);
}

void Endpoints::Connection::record_begun_end(const HttpResponse& begun) {
  if (!is_batch_ && begun.status > 0) record_possible_ends(AnswerKinds(begun, false));
}

void Endpoints::Connection::withdraw_recorded_ends() {
  for (DocId doc : std::exchange(recorded_ends_, {})) owner_.on_possible_end(doc, false);
}

void Endpoints::Connection::restore_recorded_ends() {
  if (unproven_answer_.empty()) return;
  const AnswerKinds kinds(parse_response(unproven_answer_, max_body_bytes, false), is_batch_);
  for (const auto& item : transmissions_)
    if (must_be_recorded(kinds.of(item.id))) recorded_ends_.insert(item.doc);
}

void Endpoints::Connection::log_unaccepted_answer(const HttpResponse& answer,
                                                  TransmissionResult ending) const {
  ++owner_.answer_counts_.not_accepted;
  log_answer("answer_not_accepted", answer.status, name_of(ending));
}

void Endpoints::Connection::await_proof() {
  if (unproven_at_ < written_at_) unproven_at_ = owner_.loop_.now();
  acceptance_timer_.set(acceptance_time());
}

std::optional<HttpResponse> Endpoints::Connection::kept_answer() const {
  if (transmissions_.empty()) return {};
  if (!unproven_answer_.empty()) return parse_response(unproven_answer_, max_body_bytes, false);
  if (is_batch_ || stream_.received().empty()) return {};
  auto begun = parse_response(stream_.received(), max_body_bytes, false);
  const bool is_kept_delivery = begun.status == 200 && unproven_at_ >= written_at_;
  if (!is_kept_delivery && kind_of(begun) != AnswerKind::over) return {};
  return begun;
}

AnswerVerdict Endpoints::Connection::verdict_of(const AnswerKinds& kinds, const InFlightTransmission& item,
                                                CallEnd end) const {
  const AnswerVerdict verdict = judge_answer(kinds.of(item.id), end);
  return ended_by_earlier_.contains(item.id) ? judge_disputed_end(verdict) : verdict;
}

bool Endpoints::Connection::is_acceptable(CallEnd end) const {
  const auto kept = kept_answer();
  if (!kept || disputed_) return false;
  const AnswerKinds kinds(*kept, is_batch_);
  return std::ranges::all_of(transmissions_,
                             [&](const auto& item) { return verdict_of(kinds, item, end).accepted; });
}

Millis Endpoints::Connection::acceptance_time() const {
  const auto kept = kept_answer();
  if (!kept) return written_at_;
  const AnswerKinds kinds(*kept, is_batch_);
  const Millis answer_time = unproven_at_ - written_at_;
  Millis patience = 0;
  for (const auto& item : transmissions_)
    patience = std::max(patience, owner_.acceptance_delay({item.doc, item.transmission, answer_time,
                                                           kinds.of(item.id), deliveries_differ()}));
  return written_at_ + patience;
}

bool Endpoints::Connection::never_ran(const HttpResponse& answer) {
  const auto result = judge_answer(kind_of(answer), CallEnd::proved_answer).result;
  return result == TransmissionResult::refused || result == TransmissionResult::not_sent;
}

bool Endpoints::Connection::deliveries_differ() const {
  constexpr int min_deliveries = 2;
  auto pool = owner_.pools_.find(endpoint_);
  return pool != owner_.pools_.end() && pool->second.deliveries >= min_deliveries &&
         pool->second.deliveries_differ;
}

void Endpoints::Connection::on_acceptance_timer() {
  const Millis at = acceptance_time();
  if (at > owner_.loop_.now()) return acceptance_timer_.set(at);
  // A further answer has begun to come.
  if (!unproven_answer_.empty() && !stream_.received().empty()) return;
  accept_unproven(CallEnd::accepted_answer);
}

void Endpoints::Connection::accept_unproven(CallEnd end) {
  if (transmissions_.empty() || finished_by_pending_input()) return;
  if (disputed_) return abort(TransmissionResult::connection_lost);
  ++owner_.answer_counts_.unproven;
  unproven_ = true;
  if (unproven_answer_.empty()) {
    auto answer = parse_response(stream_.received(), max_body_bytes, false);
    if (answer.status == 200) finish_answer(answer, end, true, false);
    return;
  }
  const std::string bytes = std::exchange(unproven_answer_, {});
  const auto answer = parse_response(bytes, max_body_bytes, false);
  remember_delivered(answer);
  process_response(answer, end);
  remember(bytes, answer);
  if (!stream_.received().empty()) return read_unexpected(false);
  if (answer.closes_connection) return owner_.discard(*this, EndpointCloseReason::closed_by_answer);
  release();
}

void Endpoints::Connection::remember_delivered(const HttpResponse& answer) {
  delivered_unproven_.clear();
  last_deadline_ = std::ranges::min(transmissions_, {}, &InFlightTransmission::deadline).deadline;
  if (answer.status == 200 && !is_batch_) delivered_unproven_ = transmissions_;
}

void Endpoints::Connection::contradict_delivery(int status) {
  for (const auto& item : std::exchange(delivered_unproven_, {}))
    if (status != 200) owner_.on_delivery_contradicted(item.doc, item.id);
}

void Endpoints::Connection::log_answer(const char* event, int status, const char* ending) const {
  log_line(
      "event=%s endpoint=%llx connection=%llu calls_before=%d status=%d proved_before=%d "
      "since_call_ms=%.1f ending=%s id=%s",
      event, 0ULL + static_cast<std::uint64_t>(endpoint_), 0ULL + number_, history_.answers(), status,
      history_.all_proved() ? 1 : 0, owner_.loop_.now() - started_at_, ending,
      transmissions_.empty() ? "none" : transmissions_[0].id.c_str());
}

void Endpoints::Connection::process_response(const HttpResponse& answer, CallEnd end) {
  const Millis wait = retry_after_of(answer);
  LoadHints hints;
  try {
    if (auto text = answer.header("Server-Load"); !text.empty()) hints = parse_hints(text, '=');
  } catch (const ParseError& fault) { log_invalid_header(fault); }
  connection_closed_ = answer.closes_connection;
  const AnswerKinds kinds(answer, is_batch_);
  finish_each([&](const InFlightTransmission& item) { return verdict_of(kinds, item, end); }, wait, hints);
}

}  // namespace rockcrank
