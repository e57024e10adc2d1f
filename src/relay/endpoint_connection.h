// One connection to an endpoint and the call on it; only endpoints.cpp includes it. It decides by the order
// of events which call an answer belongs to, and asks the decision module what that does to the documents.
#pragma once

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decision/answer_verdict.h"
#include "relay/answer_kinds.h"
#include "relay/endpoints.h"
#include "relay/log.h"
#include "settings/settings.h"

namespace rockcrank {

// Whether the last byte of a request was written tells whether a failed call may have run. No call is sent
// twice from here. A call is aborted as a whole by closing its connection, because the endpoint cannot be
// told that one of the documents is no longer awaited.
class Endpoints::Connection {
 public:
  Connection(Endpoints& owner, EndpointId endpoint, const Address& address)
      : owner_(owner),
        endpoint_(endpoint),
        address_(address),
        stream_(owner.loop_, address),
        timer_(owner.loop_, [this] { on_timeout(); }),
        connect_timer_(owner.loop_, [this] { abort(TransmissionResult::not_connected); }),
        belief_timer_(owner.loop_, [this] { on_belief_timer(); }) {
    set_callbacks();
  }
  Connection(Endpoints& owner, const ConnectionSnapshot& snapshot)
      : owner_(owner),
        endpoint_(snapshot.endpoint),
        address_(snapshot.address),
        stream_(owner.loop_, snapshot.stream),
        timer_(owner.loop_, [this] { on_timeout(); }),
        connect_timer_(owner.loop_, [this] { abort(TransmissionResult::not_connected); }),
        belief_timer_(owner.loop_, [this] { on_belief_timer(); }),
        history_(snapshot.history),
        answers_alike_(snapshot.answers_alike),
        unproven_answer_(snapshot.unproven_answer),
        unproven_at_(snapshot.unproven_at),
        retired_(snapshot.retired),
        disputed_(snapshot.disputed),
        ended_by_earlier_(snapshot.ended_by_earlier.begin(), snapshot.ended_by_earlier.end()),
        transmissions_(snapshot.transmissions),
        request_(snapshot.request),
        is_batch_(snapshot.is_batch),
        deferred_(snapshot.deferred),
        connection_closed_(snapshot.connection_closed),
        draining_(snapshot.draining),
        started_at_(snapshot.started_at),
        written_at_(snapshot.written_at),
        idle_since_(snapshot.idle_since),
        connection_idle_time_(snapshot.connection_idle_time) {
    set_callbacks();
    start_connect_timer();
    if (!transmissions_.empty()) {
      restore_recorded_ends();
      start_call_timer();
      if (!unproven_answer_.empty()) belief_timer_.set(owner_.loop_.now());
    } else if (draining_) timer_.set(owner_.loop_.now() + drain_timeout);
    else start_idle_timer();
  }
  ConnectionSnapshot snapshot() const {
    ConnectionSnapshot all;
    all.endpoint = endpoint_, all.address = address_, all.stream = stream_.snapshot();
    all.transmissions = transmissions_, all.request = request_;
    all.unproven_answer = unproven_answer_, all.unproven_at = unproven_at_;
    all.retired = retired_, all.disputed = disputed_;
    all.ended_by_earlier.assign(ended_by_earlier_.begin(), ended_by_earlier_.end());
    all.history = history_.snapshot(), all.answers_alike = answers_alike_;
    all.is_batch = is_batch_, all.deferred = deferred_;
    all.connection_closed = connection_closed_, all.draining = draining_;
    all.started_at = started_at_, all.written_at = written_at_;
    all.idle_since = idle_since_, all.connection_idle_time = connection_idle_time_;
    return all;
  }
  bool active() const { return !transmissions_.empty() || draining_; }
  bool deferred() const { return deferred_ && !request_.empty(); }
  const std::vector<InFlightTransmission>& transmissions() const { return transmissions_; }
  ~Connection() { --owner_.connections_; }

  EndpointId endpoint() const { return endpoint_; }
  const Address& address() const { return address_; }
  bool lacks_descriptor() const { return stream_.out_of_resources(); }
  // Unread bytes or an unread end of the connection would be taken for the answer to the next call, or end it
  // without one.
  bool usable() const {
    return connecting() || (stream_.received().empty() && stream_.has_no_pending_input());
  }
  bool connecting() const { return stream_.state() == Stream::State::connecting; }
  bool is_retired() const { return retired_; }
  // Carries no further call. Returns whether the own answer of its last call may still come.
  bool retire() {
    if (delivered_unproven_.empty() || owner_.loop_.now() >= last_deadline_) return false;
    if (stream_.state() != Stream::State::connected) return false;
    retired_ = true;
    timer_.set(last_deadline_);
    return true;
  }
  EarlierAnswers earlier_answers() const { return {history_.in_step(), history_.has_refusal()}; }
  bool answers_alike() const { return answers_alike_; }
  bool is_unused() const { return history_.answers() == 0; }
  Millis idle_since() const { return idle_since_; }

  void start_call(const std::vector<OutboundTransmission>& transmissions) {
    started_at_ = owner_.loop_.now();
    connection_idle_time_ = idle_since_ > 0 && !connecting() ? std::max(0.001, started_at_ - idle_since_) : 0;
    wait_reported_ = unproven_ = disputed_ = false;
    ended_by_earlier_.clear(), recorded_ends_.clear();
    report_preconnect(PreconnectEvent::used);
    const Millis deadline = call_deadline(transmissions);
    for (const auto& sent : transmissions)
      transmissions_.push_back({sent.doc, sent.transmission, deadline, std::string(sent.id)});
    is_batch_ = transmissions.size() > 1;
    request_ = build_request(transmissions, address_.host + ":" + std::to_string(address_.port),
                             std::max(0.0, deadline - started_at_));
    begin_call();
  }
  // Takes a call over that was not written on another connection.
  void take_call(Connection& from) {
    started_at_ = owner_.loop_.now();
    transmissions_ = std::exchange(from.transmissions_, {});
    request_ = std::exchange(from.request_, {});
    is_batch_ = from.is_batch_;
    if (std::exchange(from.recorded_, false)) owner_.on_write_deferred(transmissions_);
    begin_call();
  }
  void start_preconnect() {
    preconnected_ = true, idle_since_ = started_at_ = owner_.loop_.now();
    start_connect_timer();
  }
  // Reports an event of a preconnect. Its first use is the last event; one that never connected has failed.
  void report_preconnect(PreconnectEvent event) {
    if (!preconnected_) return;
    if (event != PreconnectEvent::connected) preconnected_ = false;
    if (owner_.on_preconnect) owner_.on_preconnect(endpoint_, event);
  }
  void on_discard() { report_preconnect(was_connected_ ? PreconnectEvent::unused : PreconnectEvent::failed); }
  // The connection is up, or a call that was told to begin later may be written now.
  void resume() {
    // Asked before anything is recorded too, as a call may wait here for long.
    if (!request_.empty() && !connecting() && may_begin()) record_and_write();
  }
  // Reads an answer that has arrived. Before its request is written a connection has none.
  void read_pending() {
    if (request_.empty() && !transmissions_.empty()) stream_.read_now();
  }
  // No socket could be created, or the connection was refused immediately.
  bool failed_to_open() const { return stream_.state() == Stream::State::closed; }
  // Closes the connection and ends its call; a call that was not completely written never ran.
  void abort(TransmissionResult result) {
    bool never_ran = has_unwritten_bytes();
    if (never_ran &&
        (result == TransmissionResult::connection_lost || result == TransmissionResult::timed_out))
      result = TransmissionResult::not_connected;
    if (never_ran && (deferred_ || result == TransmissionResult::canceled))
      result = TransmissionResult::not_sent;
    const auto kept = never_ran ? std::nullopt : kept_answer();
    if (kept) finish_with_kept(*kept, result);
    else finish_all({result, DocumentEnd::none, false}, 0, {});
    owner_.discard(*this, EndpointCloseReason::call_failed);
  }

  void cancel() {
    if (!finished_by_pending_input()) abort(TransmissionResult::canceled);
  }

  void close() {
    stream_.close();
    timer_.clear(), connect_timer_.clear(), belief_timer_.clear();
  }

  void on_idle() {
    idle_since_ = owner_.loop_.now();
    start_idle_timer();
  }
  void start_idle_timer() {
    // Closes the connection before the endpoint does: its idle timer started one network latency earlier, and
    // a request needs one more to arrive. The last call took at least as long as both.
    if (owner_.limits_.idle_timeout > 0)
      timer_.set(idle_since_ + std::max(0.0, owner_.limits_.idle_timeout - (idle_since_ - started_at_)));
  }

 private:
  // For the rest of an answer whose status line has decided the outcome.
  static constexpr Millis drain_timeout = 500;
  // The end of a call that was written, by its result without an answer.
  static CallEnd call_end_of(TransmissionResult result) {
    if (result == TransmissionResult::timed_out) return CallEnd::timed_out;
    if (result == TransmissionResult::canceled) return CallEnd::canceled;
    return CallEnd::connection_lost;
  }

  void begin_call() {
    start_call_timer();
    start_connect_timer();
    if (stream_.state() == Stream::State::connected) record_and_write();
    else if (stream_.state() == Stream::State::connecting)
      owner_.on_connecting(transmissions_[0].doc, transmissions_[0].transmission);
  }

  void set_callbacks() {
    number_ = ++owner_.last_connection_number_;
    ++owner_.connections_;
    stream_.on_connected = [this] {
      connect_timer_.clear();
      was_connected_ = true;
      if (transmissions_.empty()) return owner_.release_preconnected(*this);
      resume();
    };
    stream_.on_data = [this] { read(false); };
    stream_.on_close = [this] { read(true); };
    stream_.may_write_now = [this] { return owner_.view_is_fresh(); };
    stream_.may_write_rest = [this] { return may_write_rest(); };
  }

  // Whether the endpoint cannot have the whole request: until its last byte is written, the call never ran.
  bool has_unwritten_bytes() const { return !request_.empty() || stream_.unsent_bytes() > 0; }

  // The one way in which a request's first byte goes out.
  void record_and_write() {
    if (!owner_.before_write(endpoint_, transmissions_)) return abort(TransmissionResult::not_sent);
    if (!may_begin()) {
      if (!transmissions_.empty()) owner_.on_write_deferred(transmissions_);
      return;
    }
    // The store may have taken long. What arrived meanwhile is no answer to this call.
    recorded_ = true;
    stream_.read_now();
    recorded_ = false;
    if (transmissions_.empty()) return;
    written_at_ = owner_.loop_.now();
    stream_.send(std::exchange(request_, {}));
  }

  // Whether the call may be written now. Where it may not, it is ended here, or deferred.
  bool may_begin() {
    // A call must not be written after its deadline, or after one of its documents has been reported as
    // ended.
    if (is_past_deadline()) return abort(unwritten_result()), false;
    if (std::ranges::any_of(transmissions_,
                            [&](const InFlightTransmission& item) { return owner_.is_finished(item.doc); }))
      return abort(TransmissionResult::not_sent), false;
    auto permission = owner_.may_write(transmissions_[0].doc, transmissions_[0].transmission);
    deferred_ = permission == SendPermission::later;
    if (deferred_) owner_.deferred_.emplace_back(transmissions_[0].doc, transmissions_[0].transmission);
    if (permission == SendPermission::never) abort(TransmissionResult::not_sent);
    return permission == SendPermission::now;
  }

  // The last bytes of a request count as its call: where the endpoint takes them late, they go only if the
  // call might still begin.
  bool may_write_rest() {
    if (transmissions_.empty() || !request_.empty()) return true;
    if (!is_past_deadline() &&
        owner_.may_write(transmissions_[0].doc, transmissions_[0].transmission) == SendPermission::now)
      return true;
    abort(TransmissionResult::not_sent);
    return false;
  }

  bool is_past_deadline() const {
    return owner_.loop_.now() >=
           std::ranges::min(transmissions_, {}, &InFlightTransmission::deadline).deadline;
  }

  // The result of a call that ran out of time unwritten: its connection came up late, or this process was.
  TransmissionResult unwritten_result() const {
    return connection_idle_time_ > 0 ? TransmissionResult::not_sent : TransmissionResult::not_connected;
  }

  void start_connect_timer() {
    if (stream_.state() == Stream::State::connecting && owner_.limits_.connect_timeout > 0)
      connect_timer_.set(started_at_ + owner_.limits_.connect_timeout);
  }

  void start_call_timer() {
    if (transmissions_.empty()) return;
    timer_.set(std::ranges::min_element(transmissions_, {}, &InFlightTransmission::deadline)->deadline);
  }

  // An answer or a reset may have arrived after this round's poll(). It came before the timeout or
  // cancellation, so it counts.
  bool finished_by_pending_input() {
    stream_.read_now();
    return transmissions_.empty();
  }

  // The wait binds from when it was written, and the rest of its answer may come late or never. The outcome
  // is not taken from an answer that is not whole, as its status may be garbled.
  void report_wait_early(const HttpResponse& answer) {
    bool refused = answer.status == 429 || answer.status == 503;
    if (!refused || wait_reported_) return;
    const Millis wait = retry_after_of(answer);
    if (wait <= 0) return;
    wait_reported_ = true;
    owner_.on_wait_told_early(transmissions_[0].doc, transmissions_[0].transmission, wait);
  }

  Millis retry_after_of(const HttpResponse& answer) const {
    auto text = answer.header("Retry-After");
    if (text.empty()) return 0;
    try {
      return std::max(0.0, std::ceil(1000 * parse_number(text, "Retry-After")));
    } catch (const ParseError& fault) {
      log_invalid_header(fault);
      return 0;
    }
  }

  void log_invalid_header(const ParseError& fault) const {
    log_line("invalid header in an answer of endpoint %llx: %s", static_cast<unsigned long long>(endpoint_),
             fault.what());
  }

  void on_timeout() {
    // Idle or draining for long enough.
    if (transmissions_.empty()) return owner_.discard(*this, EndpointCloseReason::idle_too_long);
    if (stream_.state() == Stream::State::connecting) return abort(TransmissionResult::not_connected);
    if (finished_by_pending_input()) return;
    if (is_believed(CallEnd::timed_out)) return believe_unproven(CallEnd::timed_out);
    // No document is reported as ended while its call goes on: the endpoint might still run it, and the
    // answers for the other documents would be lost.
    abort(TransmissionResult::timed_out);
  }

  void finish_one(const InFlightTransmission& item, const AnswerVerdict& verdict, Millis wait,
                  const LoadHints& hints) {
    Outcome outcome;
    outcome.doc = item.doc, outcome.transmission = item.transmission, outcome.endpoint = endpoint_;
    outcome.result = verdict.result, outcome.end = verdict.end;
    outcome.duration = (unproven_ ? unproven_at_ : owner_.loop_.now()) - started_at_;
    if (!has_unwritten_bytes())
      outcome.answer_time = (unproven_ ? unproven_at_ : owner_.loop_.now()) - written_at_;
    outcome.unproven = unproven_, outcome.connection = number_, outcome.calls_before = history_.answers();
    outcome.retry_after = wait, outcome.hints = hints, outcome.connection_idle_time = connection_idle_time_,
    outcome.connection_closed = connection_closed_;
    outcome.never_written = has_unwritten_bytes() && verdict.result == TransmissionResult::not_sent;
    owner_.in_flight_.erase({item.doc, item.transmission});
    owner_.on_outcome(outcome);
  }

  template <typename VerdictOf>
  void finish_each(VerdictOf verdict_of, Millis wait, const LoadHints& hints) {
    auto items = std::exchange(transmissions_, {});
    timer_.clear(), connect_timer_.clear(), belief_timer_.clear();
    for (const auto& item : items) finish_one(item, verdict_of(item), wait, hints);
  }
  void finish_all(const AnswerVerdict& verdict, Millis wait, const LoadHints& hints) {
    finish_each([&](const InFlightTransmission&) { return verdict; }, wait, hints);
  }
  // The call ends in another way before the answer that came to it was believed.
  void finish_with_kept(const HttpResponse& answer, TransmissionResult result) {
    log_forgotten_answer(answer, result);
    const AnswerKinds kinds(answer, is_batch_);
    const CallEnd end = disputed_ ? CallEnd::disputed : call_end_of(result);
    finish_each([&](const InFlightTransmission& item) { return verdict_of(kinds, item, end); }, 0, {});
  }

  void read(bool ended) {
    while (read_answer(ended)) {}
  }

  // Reads one answer. Returns whether another one may follow in what was received.
  bool read_answer(bool ended) {
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
    // Any other answer that cannot be read completely is ignored: its status line may be corrupt too.
    if (!complete && !is_decided) return abort(TransmissionResult::connection_lost), false;
    if (!draining_ && history_.answers() > 0) {
      // The first bytes of a 200 may be those of a copy. One that is malformed is none: all before it were
      // not.
      const bool is_cut = !complete && !(answer.state == State::malformed && history_.in_step());
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

  // The outcome of the call is reported by this answer, of which a part may be still to come.
  void finish_answer(const HttpResponse& answer, CallEnd end, bool partial, bool ended) {
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

  void release() {
    if (owner_.may_keep_connection(endpoint_, answers_alike_)) return owner_.release(*this);
    if (!retire()) return owner_.discard(*this, EndpointCloseReason::answers_alike);
    owner_.release(*this);
    timer_.set(last_deadline_);
  }

  void remember(std::string_view bytes, const HttpResponse& answer) {
    const bool refused = never_ran(answer);
    history_.add(bytes, !unproven_, refused);
    auto pool = owner_.pools_.find(endpoint_);
    if (pool == owner_.pools_.end()) return;
    if (answer.status == 200) {
      ++pool->second.deliveries;
      if (pool->second.history.contains(bytes)) pool->second.deliveries_differ = false;
    }
    // A refusal has hardly anything of its own, so the next one may look like it.
    answers_alike_ = refused || pool->second.history.contains(bytes);
    pool->second.history.add(bytes, true, refused);
  }

  // No call is out. An answer here was written by the endpoint more often than it was called, or tells that
  // an earlier, unproven one was a copy.
  void read_unexpected(bool ended) {
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

  // The call's own answer may still come behind several copies. The connection carries no other call.
  void listen_on(const HttpResponse& answer) {
    stream_.consume(answer.state == HttpResponse::State::complete ? answer.size : 0);
    if (answer.state != HttpResponse::State::complete)
      return owner_.discard(*this, EndpointCloseReason::unexpected_answer);
    retired_ = true;
    if (!stream_.received().empty()) return read_unexpected(false);
    owner_.release(*this);
    timer_.set(last_deadline_);
  }

  // Reads what came before the whole request was written, while the call has surely not run. Returns false
  // where it is handled as any answer: a refusal on a connection's first call.
  bool read_before_written(bool ended) {
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
    const bool out_of_step = has_answer && history_.answers() > 0;
    return abort(out_of_step ? TransmissionResult::not_sent : TransmissionResult::connection_lost), true;
  }

  // ---- Which call an answer belongs to
  //
  // HTTP/1.1 tells it by the order alone, and an endpoint may write an answer twice. An answer is proved to
  // be that of the call that is out where it is the first on its connection, or where all before it were
  // proved and it repeats none of them: a copy has the same bytes. Any other one is kept until the time that
  // the decision module gives it; an answer that follows by then takes its place.

  enum class Proof { this_call, other_call, none };

  Proof proof_of(const HttpResponse& answer) const {
    const auto named = named_call(answer);
    if (named == Proof::other_call) return named;
    if (history_.contains(stream_.received().substr(0, answer.size))) return Proof::none;
    return history_.in_step() ? Proof::this_call : named;
  }

  // What the answer itself says: one to several documents lists their ids, another one may repeat the id.
  Proof named_call(const HttpResponse& answer) const {
    auto is_ours = [&](std::string_view id) {
      return std::ranges::any_of(transmissions_, [&](const auto& item) { return item.id == id; });
    };
    if (auto id = answer.header("Request-Id"); !is_batch_ && !id.empty())
      return is_ours(id) ? Proof::this_call : Proof::other_call;
    if (!is_batch_ || answer.status != 200) return Proof::none;
    const auto listed = listed_kinds(answer);
    if (listed.empty()) return Proof::none;
    return std::ranges::any_of(listed, [&](const auto& one) { return is_ours(one.first); })
               ? Proof::this_call
               : Proof::other_call;
  }

  void drop_copy(const HttpResponse& answer) {
    if (unproven_answer_.empty()) withdraw_recorded_ends();
    note_copy(answer.status);
    stream_.consume(answer.size);
  }

  void drop_unproven() {
    const auto answer = parse_response(unproven_answer_, max_body_bytes, false);
    note_copy(answer.status);
    withdraw_recorded_ends();
    ended_by_earlier_.clear();
    unproven_answer_.clear();
  }

  // A further answer that proves nothing: which of them is that of the call is not known.
  void replace_unproven(const HttpResponse& next) {
    const auto last = parse_response(unproven_answer_, max_body_bytes, false);
    const AnswerKinds kinds(last, is_batch_);
    for (const auto& item : transmissions_)
      if (ends_document(kinds.of(item.id))) ended_by_earlier_.insert(item.id);
    if (kind_of(last) != kind_of(next)) disputed_ = true;
    note_copy(last.status);
  }

  void note_copy(int status) {
    ++owner_.answer_counts_.copied;
    log_answer("answer_copied", status);
    owner_.on_copied_answer(endpoint_);
    contradict_delivery(status);
  }

  void keep_unproven(const HttpResponse& answer) {
    if (!unproven_answer_.empty()) replace_unproven(answer);
    unproven_answer_ = stream_.received().substr(0, answer.size);
    unproven_at_ = owner_.loop_.now();
    report_wait_early(answer);
    ++owner_.answer_counts_.kept;
    const AnswerKind kind = kind_of(answer);
    const bool is_logged = is_batch_ || kind == AnswerKind::over || kind == AnswerKind::attempts_spent;
    if (is_logged) log_answer("answer_kept", answer.status);
    record_possible_ends(AnswerKinds(answer, is_batch_));
    stream_.consume(answer.size);
    belief_timer_.set(believed_at());
  }

  // The next process must know of an end that the call would not tell it.
  void record_possible_ends(const AnswerKinds& kinds) {
    for (const auto& item : transmissions_)
      if (must_be_recorded(kinds.of(item.id)) && recorded_ends_.insert(item.doc).second)
        owner_.on_possible_end(item.doc, true);
  }
  // The first line of an answer to one document, whose rest this process may not live to read.
  void record_begun_end(const HttpResponse& begun) {
    if (!is_batch_ && begun.status > 0) record_possible_ends(AnswerKinds(begun, false));
  }
  void withdraw_recorded_ends() {
    for (DocId doc : std::exchange(recorded_ends_, {})) owner_.on_possible_end(doc, false);
  }
  // The previous process has recorded them.
  void restore_recorded_ends() {
    if (unproven_answer_.empty()) return;
    const AnswerKinds kinds(parse_response(unproven_answer_, max_body_bytes, false), is_batch_);
    for (const auto& item : transmissions_)
      if (must_be_recorded(kinds.of(item.id))) recorded_ends_.insert(item.doc);
  }

  void log_forgotten_answer(const HttpResponse& answer, TransmissionResult ending) const {
    ++owner_.answer_counts_.forgotten;
    log_answer("answer_forgotten", answer.status, name_of(ending));
  }

  // The first bytes of a 200: the rest may never come, and may prove it.
  void await_proof() {
    if (unproven_at_ < written_at_) unproven_at_ = owner_.loop_.now();
    belief_timer_.set(believed_at());
  }

  // The answer that came to the call that is out and is not believed yet: whole, or the first line of one
  // that ends its document.
  std::optional<HttpResponse> kept_answer() const {
    if (transmissions_.empty()) return {};
    if (!unproven_answer_.empty()) return parse_response(unproven_answer_, max_body_bytes, false);
    if (is_batch_ || stream_.received().empty()) return {};
    auto begun = parse_response(stream_.received(), max_body_bytes, false);
    const bool is_kept_delivery = begun.status == 200 && unproven_at_ >= written_at_;
    if (!is_kept_delivery && kind_of(begun) != AnswerKind::over) return {};
    return begun;
  }

  AnswerVerdict verdict_of(const AnswerKinds& kinds, const InFlightTransmission& item, CallEnd end) const {
    const AnswerVerdict verdict = judge_answer(kinds.of(item.id), end);
    return ended_by_earlier_.contains(item.id) ? judge_disputed_end(verdict) : verdict;
  }

  // Whether the answer kept is believed for each document where the call ends so.
  bool is_believed(CallEnd end) const {
    const auto kept = kept_answer();
    if (!kept || disputed_) return false;
    const AnswerKinds kinds(*kept, is_batch_);
    return std::ranges::all_of(transmissions_,
                               [&](const auto& item) { return verdict_of(kinds, item, end).believed; });
  }

  Millis believed_at() const {
    const auto kept = kept_answer();
    if (!kept) return written_at_;
    const AnswerKinds kinds(*kept, is_batch_);
    const Millis answer_time = unproven_at_ - written_at_;
    Millis patience = 0;
    for (const auto& item : transmissions_)
      patience = std::max(patience, owner_.believe_after({item.doc, item.transmission, answer_time,
                                                          kinds.of(item.id), deliveries_differ()}));
    return written_at_ + patience;
  }

  static bool never_ran(const HttpResponse& answer) {
    const auto result = judge_answer(kind_of(answer), CallEnd::proved_answer).result;
    return result == TransmissionResult::refused || result == TransmissionResult::not_sent;
  }

  bool deliveries_differ() const {
    constexpr int min_deliveries = 2;
    auto pool = owner_.pools_.find(endpoint_);
    return pool != owner_.pools_.end() && pool->second.deliveries >= min_deliveries &&
           pool->second.deliveries_differ;
  }

  void on_belief_timer() {
    const Millis at = believed_at();
    if (at > owner_.loop_.now()) return belief_timer_.set(at);
    // A further answer has begun to come.
    if (!unproven_answer_.empty() && !stream_.received().empty()) return;
    believe_unproven(CallEnd::believed_answer);
  }

  // No other answer has come in time.
  void believe_unproven(CallEnd end) {
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

  void remember_delivered(const HttpResponse& answer) {
    delivered_unproven_.clear();
    last_deadline_ = std::ranges::min(transmissions_, {}, &InFlightTransmission::deadline).deadline;
    if (answer.status == 200 && !is_batch_) delivered_unproven_ = transmissions_;
  }

  // One answer too many, and not a delivery: what was taken for delivered by an unproven answer may be
  // refused.
  void contradict_delivery(int status) {
    for (const auto& item : std::exchange(delivered_unproven_, {}))
      if (status != 200) owner_.on_delivery_contradicted(item.doc, item.id);
  }

  void log_answer(const char* event, int status, const char* ending = "none") const {
    log_line(
        "event=%s endpoint=%llx connection=%llu calls_before=%d status=%d proved_before=%d "
        "since_call_ms=%.1f ending=%s id=%s",
        event, 0ULL + static_cast<std::uint64_t>(endpoint_), 0ULL + number_, history_.answers(), status,
        history_.in_step() ? 1 : 0, owner_.loop_.now() - started_at_, ending,
        transmissions_.empty() ? "none" : transmissions_[0].id.c_str());
  }

  void process_response(const HttpResponse& answer, CallEnd end) {
    const Millis wait = retry_after_of(answer);
    LoadHints hints;
    try {
      if (auto text = answer.header("Server-Load"); !text.empty()) hints = parse_hints(text, '=');
    } catch (const ParseError& fault) { log_invalid_header(fault); }
    connection_closed_ = answer.closes_connection;
    const AnswerKinds kinds(answer, is_batch_);
    finish_each([&](const InFlightTransmission& item) { return verdict_of(kinds, item, end); }, wait, hints);
  }

  Endpoints& owner_;
  const EndpointId endpoint_;
  const Address address_;
  Stream stream_;
  Timer timer_, connect_timer_;
  Timer belief_timer_;  // when an unproven answer is believed
  std::uint64_t number_ = 0;
  AnswerHistory history_;
  bool answers_alike_ = false;   // the last answer had the bytes of one to another call, or may have
  std::string unproven_answer_;  // whole, and kept until another one follows or it is believed
  Millis unproven_at_ = 0;       // when it, or the first bytes of one, came
  bool unproven_ = false;        // the outcome of this call is taken from it
  bool retired_ = false;         // carries no further call
  Millis last_deadline_ = 0;     // of the last call
  bool disputed_ = false;        // unproven answers to this call differ: it may have run
  std::set<std::string> ended_by_earlier_;  // documents of this call, by unproven answers before the last one
  std::set<DocId> recorded_ends_;           // documents of this call that the store has as perhaps over
  bool recorded_ = false;                   // the store has this call as begun, and it is not written yet
  std::vector<InFlightTransmission> delivered_unproven_;  // by the last unproven answer
  std::vector<InFlightTransmission> transmissions_;
  std::string request_;
  bool is_batch_ = false;
  bool deferred_ = false;           // connected, but told to begin later
  bool connection_closed_ = false;  // the answer closes the connection
  bool wait_reported_ = false;      // of this call, before its answer was whole
  bool draining_ = false;           // the outcome is reported, the rest of the answer is still awaited
  bool preconnected_ = false, was_connected_ = false;  // preconnected_: not used by a call yet
  Millis started_at_ = 0, written_at_ = 0, idle_since_ = 0, connection_idle_time_ = 0;
};

}  // namespace rockcrank
