// Interface of the decision module, which decides what is sent where and when: admission, priorities,
// retries, circuit breakers, slow start, rate and concurrency limits, and the order of keyed documents. A
// host makes one Decision per relay, reports the events of a turn, and ends the turn with decide(), which
// returns what to do now and when to be called again at the latest. The module does no I/O and reads no
// clock.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "decision/invariants.h"

namespace rockcrank {

using Millis = double;

enum class DocId : std::uint64_t {};
enum class EndpointId : std::uint64_t {};
enum class DestinationId : std::uint64_t {};
enum class KeyId : std::uint64_t {};
enum class TenantId : std::uint32_t {};
enum class DocTypeId : std::uint32_t {};
enum class DestinationKindId : std::uint32_t {};
enum class ZoneId : std::uint32_t {};

// Whether a further transmission may cause a second effect: idempotent never does; keyed is deduplicated by
// the destination within the idempotency window; unsafe may.
enum class RetrySafety { idempotent, keyed, unsafe };
// Where an idempotency key is recognised: at all endpoints of a destination, or in the zone that first saw
// it.
enum class IdempotencyScope { global, zone };

struct DocType {
  Millis target_latency = 0;
  Millis lifetime = 0;
  double value = 1;  // if delivered within the target latency
  double late_value = 0;
  RetrySafety retry_safety = RetrySafety::unsafe;
  IdempotencyScope idempotency_scope = IdempotencyScope::global;
  Millis idempotency_window = 0;
  bool in_order = false;
  bool operator==(const DocType&) const = default;
  // The destination recognises a repeated transmission at whichever endpoint it arrives.
  bool deduplicated_globally() const {
    return retry_safety == RetrySafety::keyed && idempotency_scope == IdempotencyScope::global;
  }
  // Whether a transmission may be sent, this long before the expiry, that the relay would forget if it were
  // killed: where a second effect is harmless, or where the key is still known whenever the next process
  // tries again.
  bool may_forget_transmission(Millis left) const {
    return retry_safety == RetrySafety::idempotent || (deduplicated_globally() && left < idempotency_window);
  }
  auto fields() {
    return std::tie(target_latency, lifetime, value, late_value, retry_safety, idempotency_scope,
                    idempotency_window, in_order);
  }
};

struct DestinationKind {
  bool route_per_endpoint = false;
  int max_batch_size = 1;
};

struct Settings {
  int relays = 1;
  ZoneId zone{};
  int slots = 1;
  int max_documents = 0;  // 0: not limited
  int max_transmissions = 1;
  bool may_cancel = false;
  bool discovery_on_request = false;     // changes of the endpoint list come only in answers to requests
  bool local_discovery_agent = false;    // an agent beside this relay has every change, and answers at once
  bool exponential_value_decay = false;  // halved per target latency late; else linear down to the expiry
  bool limits_from_discovery = false;
  Millis tick = 0;
  Millis connect_timeout = 0;
  // More calls than this multiple of its capacity within overload_window overload a recovering destination.
  double overload_multiple = 1;
  Millis overload_window = 0;
  double start_capacity = 1;              // share of its capacity at the start of a recovery
  Millis warm_up_time = 0;                // until all of it is there
  Millis order_settle_time = 0;           // pause of an ordered key after an unknown outcome
  bool end_reports_acknowledged = false;  // an end is reported by a call, and its answer by withdraw()
  Millis max_retry_after = 0;             // 0: clients get no Retry-After
  std::vector<DocType> doc_types;         // numbered from 0 in this order at the start
  std::vector<DestinationKind> destination_kinds;
  std::vector<double> tenant_rates;  // documents per second within a tenant's share, over all relays
};

enum class EndpointStatus { ready, draining, gone };

struct EndpointEntry {
  EndpointId endpoint{};
  DestinationId destination{};
  DestinationKindId kind{};
  ZoneId zone{};
  EndpointStatus status = EndpointStatus::ready;
  double listed_rate = 0;
};

// An end that the host cannot record is told this long before its document's time is over, at the latest.
constexpr Millis unrecorded_end_margin = 500;

struct Document {
  DocId id{};
  DocTypeId type{};
  TenantId tenant{};
  DestinationId destination{};
  bool has_key = false;
  KeyId key{};
  Millis time_left = 0;
  // Set for a document recovered after a restart, from its earlier transmissions.
  int transmissions = 0;
  int max_transmissions = 0;    // as allowed when it was accepted; 0: by the present settings
  bool may_have_run = false;    // a transmission was in flight, or ended without proof that it never ran
  Millis may_have_run_ago = 0;  // since the first such transmission
  ZoneId may_have_run_zone{};
  bool recovered = false;  // held by an earlier process
  bool ended = false;      // its end is decided, but not yet acknowledged by the platform
};

enum class TransmissionResult {
  answered,
  error,
  refused,
  timed_out,
  not_connected,
  connection_lost,
  canceled,
  not_sent
};
const char* name_of(TransmissionResult result);  // as in the log

// What an answer says of one document of its call.
enum class AnswerKind : std::uint8_t {
  delivered,
  failed,   // it may have run; also a status that the protocol does not name, and a document that an answer
            // leaves out
  refused,  // it never ran, nor with those below
  slots_taken,     // all slots of this relay at the endpoint are taken
  attempts_spent,  // no further attempt is left, and its end is owed
  over             // withdrawn or out of time: nothing more is owed
};

// What the outcome of a transmission does to its document.
enum class DocumentEnd : std::uint8_t {
  none,
  attempts_spent,  // whatever this relay has counted
  over,            // nothing more is owed
  over_unproved    // it may be over: it is not sent again, and its end is reported
};

// Load information that an endpoint puts into an answer.
struct LoadHints {
  bool present = false;
  double remaining_share = 0;
  double rate_limit = 0;  // calls per second; 0: no limit
};

struct Outcome {
  DocId doc{};
  int transmission = 0;
  TransmissionResult result = TransmissionResult::answered;
  EndpointId endpoint{};
  DocumentEnd end = DocumentEnd::none;
  Millis retry_after = 0;
  Millis duration = 0;
  Millis answer_time = -1;           // of it since the call was written; negative: unknown to the host
  Millis connection_idle_time = -1;  // before this call; 0: new connection; negative: unknown to the host
  bool connection_closed = false;    // by the endpoint, with its answer
  bool never_written = false;        // the endpoint cannot have the whole request
  bool unproven = false;             // the answer may be a copy of an earlier one: UnprovenAnswer
  std::uint64_t connection = 0;      // number of the connection in the host's log; 0: unknown
  int calls_before = 0;              // calls answered on that connection before
  LoadHints hints;
};

// The answers that came on a connection before.
struct EarlierAnswers {
  bool all_proved = true;  // each belonged to its call
  bool any_refusal = false;
};

// An answer on a connection that had carried calls before, which repeats one of their answers or comes where
// an earlier one was not proved. It may be a copy, and the call's own answer still to come.
struct UnprovenAnswer {
  DocId doc{};
  int transmission = 0;
  Millis answer_time = 0;  // since the call was written
  AnswerKind kind = AnswerKind::delivered;
  bool deliveries_differ = false;  // no two deliveries at its endpoint had the same bytes so far
};

struct Transmit {
  DocId doc{};
  EndpointId endpoint{};
  Millis timeout = 0;
  Millis deadline = 0;  // its end on the clock that the host reports: the host may begin the call late
};

struct Cancel {
  DocId doc{};
  int transmission = 0;
};

struct Reject {
  DocId doc{};
  Millis retry_after = 0;
};

// Closes the endpoint's connections that have been idle for at least min_idle_time.
struct CloseIdle {
  EndpointId endpoint{};
  Millis min_idle_time = 0;
};

// A line for the host's log. Documents have numbers of their own here: the host adds the caller's id.
struct LogLine {
  std::string text;
  std::optional<DocId> doc;  // the document that the line is about
};

// What the host has to do after a turn.
struct Actions {
  std::vector<Reject> rejected;
  std::vector<DocId> abandoned;
  std::vector<Transmit> transmissions;
  std::vector<CloseIdle> closed_connections;  // before the transmissions of this turn
  Millis max_idle_time = 0;                   // a connection idle for longer is not reused
  std::vector<Cancel> canceled;
  std::vector<EndpointId> forgotten_endpoints;  // long gone and without calls in flight; not used again
  Millis long_poll_wait = 0;     // start to watch the endpoint list with this wait; 0: no change
  Millis discovery_timeout = 0;  // when a discovery call fails, beyond the wait of a long poll
  std::vector<LogLine> log;
  Millis wake_in = -1;  // negative: only at the next event
};

// Whether a call may be written now.
enum class SendPermission { now, later, never };

// A request is not written by a view of the world that is older than this: what has arrived since is read
// first. Well inside the 100 ms in which calls that cross a Retry-After are let through.
constexpr Millis max_view_age = 10;

enum class RouteState : std::uint8_t { healthy, down, recovering };

// What a relay has learned about a route, for other relays and for its own next process. All times are
// durations, so that they hold on any clock.
struct RouteStatus {
  bool per_endpoint = false;     // the route is one endpoint, else a whole destination
  bool from_this_relay = false;  // learned by this relay itself before its restart
  std::uint64_t route = 0;       // EndpointId or DestinationId
  Millis retry_after_left = 0;   // 0: none
  RouteState state = RouteState::healthy;
  Millis state_age = 0;           // since the newest evidence of it; recovering: since the recovery
  double rate_before_outage = 0;  // calls per second of this relay
  double rate_limit = 0;          // calls per second of all relays, as met or told in an answer; 0: unknown
  double remaining_share = 1;     // of the rate limit, when it was met or told
  Millis limit_age = 0;
};

// Counts since the start, for the log and the metrics.
struct Counters {
  std::uint64_t calls = 0;              // a batch counts once
  std::uint64_t retried_documents = 0;  // further transmissions of a document
  std::uint64_t slow_start_calls = 0;   // to destinations in slow start, or that may be down
  std::uint64_t trial_calls = 0;        // in half-open breakers
  std::uint64_t not_started = 0;        // chosen, and not written after all
  std::uint64_t rejected = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t canceled = 0;
  std::uint64_t breakers_opened = 0;
  std::uint64_t slow_starts = 0;
  Invariants invariants;
};

class Decision {
 public:
  static std::unique_ptr<Decision> make(const Settings& settings, std::uint64_t seed);
  virtual ~Decision() = default;

  virtual void begin_turn(Millis now) = 0;
  // The present time, in a turn or between two. Each event is judged by the time given last, which must not
  // be earlier than the event was read: a wait would else end too early.
  virtual void update_time(Millis now) = 0;
  // whole: endpoints that are not among the entries are gone.
  virtual void update_endpoints(const std::vector<EndpointEntry>& entries, bool whole) = 0;
  // A discovery call failed or its connection was lost, this long after the request; 0: unknown to the host.
  virtual void discovery_failed(bool refused, Millis duration) = 0;
  // Documents already held keep the type and the number of transmissions that they were accepted with.
  virtual void update_settings(const Settings& settings) = 0;
  // Equal types have the same id for the lifetime of this object.
  virtual DocTypeId type_id(const DocType& type) = 0;
  virtual void accept(const Document& document) = 0;
  virtual void outcome(const Outcome& outcome) = 0;
  // A refusal with this Retry-After has begun to arrive; its rest, and with it the outcome, may come late or
  // never.
  virtual void wait_told_early(DocId doc, int transmission, Millis wait) = 0;
  // How long after the call was written the answer is accepted, unless another one follows by then.
  virtual Millis acceptance_delay(const UnprovenAnswer& answer) = 0;
  // The endpoint wrote an answer more often than it was called.
  virtual void note_copied_answer(EndpointId endpoint) = 0;
  // A Retry-After in an answer that belongs to no call that is out.
  virtual void wait_told(EndpointId endpoint, Millis wait) = 0;
  // Whether a connection that has carried a call to the endpoint may carry another one, of this document.
  // answers_repeat: its last answer had the same bytes as one to another call there.
  virtual bool may_keep_connection(EndpointId endpoint, bool answers_repeat) = 0;
  virtual bool may_reuse_connection(EndpointId endpoint, DocId doc, const EarlierAnswers& earlier) = 0;
  // The document is no longer this relay's: another relay has it, or the end decided here is acknowledged.
  virtual void withdraw(DocId doc) = 0;
  // Taken out of service by an operator until it is put back, whatever discovery says. Back online it begins
  // in slow start.
  virtual void set_offline(EndpointId endpoint, bool offline) = 0;
  // Nothing is sent while paused, as another process may still send for this relay. All else goes on.
  virtual void pause_sending(bool paused) = 0;
  // The previous process has ended and its last transmissions are not all known: they may still be running.
  virtual void previous_process_ended() = 0;
  // The whole state, for the process that replaces this one on the same clock. Where import_state() cannot
  // read it, it throws std::exception and has changed nothing that matters.
  virtual std::string export_state() = 0;
  virtual void import_state(const std::string& state) = 0;
  // The relay ends within this time; documents still held then wait for its restart.
  virtual void begin_shutdown(Millis within) = 0;
  virtual Actions decide() = 0;

  virtual bool has_capacity() const = 0;  // for one more document
  virtual std::size_t document_count() const = 0;
  // A destination that has endpoints, or had some recently.
  virtual bool has_destination(DestinationId destination) const = 0;
  // For a document that is not accepted; 0: the client gets none.
  virtual Millis retry_after(DestinationId destination) = 0;
  // The call needs a new connection, and takes no slot while that comes up. may_send() is asked right before
  // each call is written; after `later` it is asked again in each turn.
  virtual void note_connecting(DocId doc, int transmission) = 0;
  virtual SendPermission may_send(DocId doc, int transmission) = 0;
  virtual const Counters& counters() const = 0;
  virtual Millis retry_backoff(int failures) = 0;  // before the host's own retries

  // Status of the routes that changed since the last call, or (all) of all that differ from a fresh start.
  // Status that was applied from elsewhere is not returned again, except with all.
  virtual std::vector<RouteStatus> route_statuses(bool all) = 0;
  // Applies what another relay knows, or this one knew before its restart, as if it had been seen here. Never
  // shortens a Retry-After that this relay got itself.
  virtual void apply_route_status(const RouteStatus& known) = 0;
  // What the host stores for this relay's next process: the routes that since the last call entered or left a
  // Retry-After, an outage, a suspected outage or slow start.
  virtual std::vector<RouteStatus> route_statuses_to_persist() = 0;
  // Whether a connection that no document needs yet may be opened to the endpoint: not during a Retry-After,
  // an outage or slow start, at a connection cap, to an endpoint that is offline or gone, or beyond this
  // relay's part. connections: how many this relay has there, idle ones included.
  virtual bool may_preconnect(EndpointId endpoint, int connections) = 0;
};

}  // namespace rockcrank
