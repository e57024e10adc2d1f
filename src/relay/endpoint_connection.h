// One connection to an endpoint and the call on it. endpoint_connection.cpp has the life of the connection,
// endpoint_answers.cpp decides by the order of events which call an answer belongs to, and asks the decision
// module what that does to the documents.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "decision/answer_verdict.h"
#include "relay/answer_kinds.h"
#include "relay/endpoints.h"
#include "settings/settings.h"

namespace rockcrank {

// Whether the last byte of a request was written tells whether a failed call may have run. No call is sent
// twice from here. A call is aborted as a whole by closing its connection, because the endpoint cannot be
// told that one of the documents is no longer awaited.
class Endpoints::Connection {
 public:
  Connection(Endpoints& owner, EndpointId endpoint, const Address& address);
  Connection(Endpoints& owner, const ConnectionSnapshot& snapshot);
  ConnectionSnapshot snapshot() const;
  bool active() const { return !transmissions_.empty() || draining_; }
  // It has a call that is not wholly written.
  bool is_unwritten() const { return !transmissions_.empty() && has_unwritten_bytes(); }
  bool deferred() const { return deferred_ && !request_.empty(); }
  const std::vector<InFlightTransmission>& transmissions() const { return transmissions_; }
  ~Connection() { --owner_.connections_; }

  EndpointId endpoint() const { return endpoint_; }
  const Address& address() const { return address_; }
  bool lacks_descriptor() const { return stream_.out_of_resources(); }
  // Unread bytes or an unread end of the connection would be taken for the answer to the next call, or end it
  // without one.
  bool usable() const;
  bool connecting() const { return stream_.state() == Stream::State::connecting; }
  bool is_retired() const { return retired_; }
  // Carries no further call. Returns whether the own answer of its last call may still come.
  bool retire();
  EarlierAnswers earlier_answers() const { return {history_.all_proved(), history_.has_refusal()}; }
  bool answers_repeat() const { return answers_repeat_; }
  bool is_unused() const { return history_.answers() == 0; }
  Millis idle_since() const { return idle_since_; }

  void start_call(const std::vector<OutboundTransmission>& transmissions);
  // Takes a call over that was not written on another connection.
  void take_call(Connection& from);
  void start_preconnect();
  // Reports an event of a preconnect. Its first use is the last event; one that never connected has failed.
  void report_preconnect(PreconnectEvent event);
  void on_discard() { report_preconnect(was_connected_ ? PreconnectEvent::unused : PreconnectEvent::failed); }
  // The connection is up, or a call that was told to begin later may be written now.
  void resume();
  // Reads an answer that has arrived. Before its request is written a connection has none.
  void read_pending();
  // No socket could be created, or the connection was refused immediately.
  bool failed_to_open() const { return stream_.state() == Stream::State::closed; }
  // Closes the connection and ends its call; a call that was not completely written never ran.
  void abort(TransmissionResult result);

  void cancel();
  void close();
  void on_idle();
  void start_idle_timer();

 private:
  // For the rest of an answer whose status line has decided the outcome.
  static constexpr Millis drain_timeout = 500;
  // The end of a call that was written, by its result without an answer.
  static CallEnd call_end_of(TransmissionResult result);
  void begin_call();
  void set_callbacks();

  // Whether the endpoint cannot have the whole request: until its last byte is written, the call never ran.
  bool has_unwritten_bytes() const { return !request_.empty() || stream_.unsent_bytes() > 0; }

  // The one way in which a request's first byte goes out.
  void record_and_write();

  // Whether the call may be written now. Where it may not, it is ended here, or deferred.
  bool may_begin();

  // The last bytes of a request count as its call: where the endpoint takes them late, they go only if the
  // call might still begin.
  bool may_write_rest();
  bool is_past_deadline() const;

  // The result of a call that ran out of time unwritten: its connection came up late, or this process was.
  TransmissionResult unwritten_result() const;
  void start_connect_timer();
  void start_call_timer();

  // An answer or a reset may have arrived after this round's poll(). It came before the timeout or
  // cancellation, so it counts.
  bool finished_by_pending_input();

  // The wait counts from the last byte of its answer, and binds from its header on, as the rest may come late
  // or never. The outcome is not taken from an answer that is not whole, as its status may be garbled.
  void report_wait_early(const HttpResponse& answer);
  Millis retry_after_of(const HttpResponse& answer) const;
  void log_invalid_header(const ParseError& fault) const;
  void on_timeout();
  void finish_one(const InFlightTransmission& item, const AnswerVerdict& verdict, Millis wait,
                  const LoadHints& hints);

  template <typename VerdictOf>
  void finish_each(VerdictOf verdict_of, Millis wait, const LoadHints& hints) {
    auto items = std::exchange(transmissions_, {});
    timer_.clear(), connect_timer_.clear(), acceptance_timer_.clear();
    for (const auto& item : items) finish_one(item, verdict_of(item), wait, hints);
  }
  void finish_all(const AnswerVerdict& verdict, Millis wait, const LoadHints& hints);
  // The call ends in another way before the answer that came to it was accepted.
  void finish_with_kept(const HttpResponse& answer, TransmissionResult result);
  void read(bool ended);

  // Reads one answer. Returns whether another one may follow in what was received.
  bool read_answer(bool ended);

  // The outcome of the call is reported by this answer, of which a part may be still to come.
  void finish_answer(const HttpResponse& answer, CallEnd end, bool partial, bool ended);
  void release();
  void remember(std::string_view bytes, const HttpResponse& answer);

  // No call is out. An answer here was written by the endpoint more often than it was called, or tells that
  // an earlier, unproven one was a copy.
  void read_unexpected(bool ended);

  // The call's own answer may still come behind several copies. The connection carries no other call.
  void listen_on(const HttpResponse& answer);

  // Reads what came before the whole request was written, while the call has surely not run. Returns false
  // where it is handled as any answer: a refusal on a connection's first call.
  bool read_before_written(bool ended);

  // ---- Which call an answer belongs to
  //
  // HTTP/1.1 tells it by the order alone, and an endpoint may write an answer twice. An answer is proved to
  // be that of the call that is out where it is the first on its connection, or where all before it were
  // proved and it repeats none of them: a copy has the same bytes. Any other one is kept until the time that
  // the decision module gives it; an answer that follows by then takes its place.

  enum class Proof { this_call, other_call, none };
  Proof proof_of(const HttpResponse& answer) const;

  // What the answer itself says: one to several documents lists their ids, another one may repeat the id.
  Proof named_call(const HttpResponse& answer) const;
  void drop_copy(const HttpResponse& answer);
  void consume(const HttpResponse& answer);
  void drop_unproven();

  // A further answer that proves nothing: which of them is that of the call is not known.
  void replace_unproven(const HttpResponse& next);
  void note_copy(int status);
  void keep_unproven(const HttpResponse& answer);

  // The next process must know of an end that the call would not tell it.
  void record_possible_ends(const AnswerKinds& kinds);
  // The first line of an answer to one document, whose rest this process may not live to read.
  void record_begun_end(const HttpResponse& begun);
  void withdraw_recorded_ends();
  // The previous process has recorded them.
  void restore_recorded_ends();
  void log_unaccepted_answer(const HttpResponse& answer, TransmissionResult ending) const;

  // The first bytes of a 200: the rest may never come, and may prove it.
  void await_proof();

  // The answer that came to the call that is out and is not accepted yet: whole, or the first line of one
  // that ends its document.
  std::optional<HttpResponse> kept_answer() const;
  AnswerVerdict verdict_of(const AnswerKinds& kinds, const InFlightTransmission& item, CallEnd end) const;

  // Whether the answer kept is accepted for each document where the call ends so.
  bool is_acceptable(CallEnd end) const;
  Millis acceptance_time() const;
  static bool never_ran(const HttpResponse& answer);
  bool deliveries_differ() const;
  void on_acceptance_timer();

  // No other answer has come in time.
  void accept_unproven(CallEnd end);
  void remember_delivered(const HttpResponse& answer);

  // One answer too many, and not a delivery: what was taken for delivered by an unproven answer may be
  // refused.
  void contradict_delivery(int status);
  void log_answer(const char* event, int status, const char* ending = "none") const;
  void process_response(const HttpResponse& answer, CallEnd end);

  Endpoints& owner_;
  const EndpointId endpoint_;
  const Address address_;
  Stream stream_;
  Timer timer_, connect_timer_;
  Timer acceptance_timer_;  // when an unproven answer is accepted
  std::uint64_t number_ = 0;
  AnswerHistory history_;
  bool answers_repeat_ = false;  // the last answer had the bytes of one to another call, or may have
  std::string unproven_answer_;  // whole, and kept until another one follows or it is accepted
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
  bool deferred_ = false;                // connected, but told to begin later
  bool connection_closed_ = false;       // the answer closes the connection
  std::size_t wait_reported_bytes_ = 0;  // that had come of the answer when its wait was last reported
  bool draining_ = false;                // the outcome is reported, the rest of the answer is still awaited
  bool preconnected_ = false, was_connected_ = false;  // preconnected_: not used by a call yet
  Millis started_at_ = 0, written_at_ = 0, idle_since_ = 0, connection_idle_time_ = 0;
};

}  // namespace rockcrank
