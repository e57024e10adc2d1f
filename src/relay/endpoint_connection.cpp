// The life of a connection: opening, calls, ends of calls, and idle times.
#include "relay/endpoint_connection.h"

#include <algorithm>
#include <string>
#include <utility>

#include "relay/call_request.h"

namespace rockcrank {

Endpoints::Connection::Connection(Endpoints& owner, EndpointId endpoint, const Address& address)
    : owner_(owner),
      endpoint_(endpoint),
      address_(address),
      stream_(owner.loop_, address),
      timer_(owner.loop_, [this] { on_timeout(); }),
      connect_timer_(owner.loop_, [this] { abort(TransmissionResult::not_connected); }),
      acceptance_timer_(owner.loop_, [this] { on_acceptance_timer(); }) {
  set_callbacks();
}

Endpoints::Connection::Connection(Endpoints& owner, const ConnectionSnapshot& snapshot)
    : owner_(owner),
      endpoint_(snapshot.endpoint),
      address_(snapshot.address),
      stream_(owner.loop_, snapshot.stream),
      timer_(owner.loop_, [this] { on_timeout(); }),
      connect_timer_(owner.loop_, [this] { abort(TransmissionResult::not_connected); }),
      acceptance_timer_(owner.loop_, [this] { on_acceptance_timer(); }),
      history_(snapshot.history),
      answers_repeat_(snapshot.answers_repeat),
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
    if (!unproven_answer_.empty()) acceptance_timer_.set(owner_.loop_.now());
  } else if (draining_) timer_.set(owner_.loop_.now() + drain_timeout);
  else start_idle_timer();
}

Endpoints::ConnectionSnapshot Endpoints::Connection::snapshot() const {
  ConnectionSnapshot all;
  all.endpoint = endpoint_, all.address = address_, all.stream = stream_.snapshot();
  all.transmissions = transmissions_, all.request = request_;
  all.unproven_answer = unproven_answer_, all.unproven_at = unproven_at_;
  all.retired = retired_, all.disputed = disputed_;
  all.ended_by_earlier.assign(ended_by_earlier_.begin(), ended_by_earlier_.end());
  all.history = history_.snapshot(), all.answers_repeat = answers_repeat_;
  all.is_batch = is_batch_, all.deferred = deferred_;
  all.connection_closed = connection_closed_, all.draining = draining_;
  all.started_at = started_at_, all.written_at = written_at_;
  all.idle_since = idle_since_, all.connection_idle_time = connection_idle_time_;
  return all;
}

bool Endpoints::Connection::usable() const {
  return connecting() || (stream_.received().empty() && stream_.has_no_pending_input());
}

bool Endpoints::Connection::retire() {
  if (delivered_unproven_.empty() || owner_.loop_.now() >= last_deadline_) return false;
  if (stream_.state() != Stream::State::connected) return false;
  retired_ = true;
  timer_.set(last_deadline_);
  return true;
}

void Endpoints::Connection::start_call(const std::vector<OutboundTransmission>& transmissions) {
  started_at_ = owner_.loop_.now();
  connection_idle_time_ = idle_since_ > 0 && !connecting() ? std::max(0.001, started_at_ - idle_since_) : 0;
  unproven_ = disputed_ = false, wait_reported_bytes_ = 0;
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

void Endpoints::Connection::take_call(Connection& from) {
  started_at_ = owner_.loop_.now();
  transmissions_ = std::exchange(from.transmissions_, {});
  request_ = std::exchange(from.request_, {});
  is_batch_ = from.is_batch_;
  if (std::exchange(from.recorded_, false)) owner_.on_write_deferred(transmissions_);
  begin_call();
}

void Endpoints::Connection::start_preconnect() {
  preconnected_ = true, idle_since_ = started_at_ = owner_.loop_.now();
  start_connect_timer();
}

void Endpoints::Connection::report_preconnect(PreconnectEvent event) {
  if (!preconnected_) return;
  if (event != PreconnectEvent::connected) preconnected_ = false;
  if (owner_.on_preconnect) owner_.on_preconnect(endpoint_, event);
}

void Endpoints::Connection::resume() {
  // Asked before anything is recorded too, as a call may wait here for long.
  if (!request_.empty() && !connecting() && may_begin()) record_and_write();
}

void Endpoints::Connection::read_pending() {
  if (request_.empty() && !transmissions_.empty()) stream_.read_now();
}

void Endpoints::Connection::abort(TransmissionResult result) {
  bool never_ran = has_unwritten_bytes();
  if (never_ran && (result == TransmissionResult::connection_lost || result == TransmissionResult::timed_out))
    result = TransmissionResult::not_connected;
  if (never_ran && (deferred_ || result == TransmissionResult::canceled))
    result = TransmissionResult::not_sent;
  const auto kept = never_ran ? std::nullopt : kept_answer();
  if (kept) finish_with_kept(*kept, result);
  else finish_all({result, DocumentEnd::none, false}, 0, {});
  owner_.discard(*this, EndpointCloseReason::call_failed);
}

void Endpoints::Connection::cancel() {
  if (!finished_by_pending_input()) abort(TransmissionResult::canceled);
}

void Endpoints::Connection::close() {
  stream_.close();
  timer_.clear(), connect_timer_.clear(), acceptance_timer_.clear();
}

void Endpoints::Connection::on_idle() {
  idle_since_ = owner_.loop_.now();
  start_idle_timer();
}

void Endpoints::Connection::start_idle_timer() {
  // Closes the connection before the endpoint does: its idle timer started one network latency earlier, and
  // a request needs one more to arrive. The last call took at least as long as both.
  if (owner_.limits_.idle_timeout > 0)
    timer_.set(idle_since_ + std::max(0.0, owner_.limits_.idle_timeout - (idle_since_ - started_at_)));
}

CallEnd Endpoints::Connection::call_end_of(TransmissionResult result) {
  if (result == TransmissionResult::timed_out) return CallEnd::timed_out;
  if (result == TransmissionResult::canceled) return CallEnd::canceled;
  return CallEnd::connection_lost;
}

void Endpoints::Connection::begin_call() {
  start_call_timer();
  start_connect_timer();
  if (stream_.state() == Stream::State::connected) record_and_write();
  else if (stream_.state() == Stream::State::connecting)
    owner_.on_connecting(transmissions_[0].doc, transmissions_[0].transmission);
}

void Endpoints::Connection::set_callbacks() {
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

void Endpoints::Connection::record_and_write() {
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

bool Endpoints::Connection::may_begin() {
  // A call must not be written after its deadline, or after one of its documents has been reported as
  // ended.
  if (is_past_deadline()) return abort(unwritten_result()), false;
  if (std::ranges::any_of(transmissions_,
                          [&](const InFlightTransmission& item) { return owner_.is_finished(item.doc); }))
    return abort(TransmissionResult::not_sent), false;
  auto permission = owner_.may_write(transmissions_[0].doc, transmissions_[0].transmission);
  // An update of the list that was read for it may have ended the call.
  if (transmissions_.empty()) return false;
  deferred_ = permission == SendPermission::later;
  if (deferred_) owner_.deferred_.emplace_back(transmissions_[0].doc, transmissions_[0].transmission);
  if (permission == SendPermission::never) abort(TransmissionResult::not_sent);
  return permission == SendPermission::now;
}

bool Endpoints::Connection::may_write_rest() {
  if (transmissions_.empty() || !request_.empty()) return true;
  if (!is_past_deadline() &&
      owner_.may_write(transmissions_[0].doc, transmissions_[0].transmission) == SendPermission::now)
    return true;
  abort(TransmissionResult::not_sent);
  return false;
}

bool Endpoints::Connection::is_past_deadline() const {
  return owner_.loop_.now() >= std::ranges::min(transmissions_, {}, &InFlightTransmission::deadline).deadline;
}

TransmissionResult Endpoints::Connection::unwritten_result() const {
  return connection_idle_time_ > 0 ? TransmissionResult::not_sent : TransmissionResult::not_connected;
}

void Endpoints::Connection::start_connect_timer() {
  if (stream_.state() == Stream::State::connecting && owner_.limits_.connect_timeout > 0)
    connect_timer_.set(started_at_ + owner_.limits_.connect_timeout);
}

void Endpoints::Connection::start_call_timer() {
  if (transmissions_.empty()) return;
  timer_.set(std::ranges::min_element(transmissions_, {}, &InFlightTransmission::deadline)->deadline);
}

bool Endpoints::Connection::finished_by_pending_input() {
  stream_.read_now();
  return transmissions_.empty();
}

void Endpoints::Connection::on_timeout() {
  // Idle or draining for long enough.
  if (transmissions_.empty()) return owner_.discard(*this, EndpointCloseReason::idle_too_long);
  if (stream_.state() == Stream::State::connecting) return abort(TransmissionResult::not_connected);
  if (finished_by_pending_input()) return;
  if (is_acceptable(CallEnd::timed_out)) return accept_unproven(CallEnd::timed_out);
  // No document is reported as ended while its call goes on: the endpoint might still run it, and the
  // answers for the other documents would be lost.
  abort(TransmissionResult::timed_out);
}

void Endpoints::Connection::finish_one(const InFlightTransmission& item, const AnswerVerdict& verdict,
                                       Millis wait, const LoadHints& hints) {
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

void Endpoints::Connection::finish_all(const AnswerVerdict& verdict, Millis wait, const LoadHints& hints) {
  finish_each([&](const InFlightTransmission&) { return verdict; }, wait, hints);
}

void Endpoints::Connection::finish_with_kept(const HttpResponse& answer, TransmissionResult result) {
  log_unaccepted_answer(answer, result);
  const AnswerKinds kinds(answer, is_batch_);
  const CallEnd end = disputed_ ? CallEnd::disputed : call_end_of(result);
  finish_each([&](const InFlightTransmission& item) { return verdict_of(kinds, item, end); }, 0, {});
}

}  // namespace rockcrank
