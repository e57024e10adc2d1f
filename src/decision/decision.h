// The interface of the decision module. A host makes one Decision for each running relay, reports what
// happened in a turn by the calls below, and ends the turn with decide(), which answers what to do now
// and when to be called again at the latest. Nothing here knows of a wire, a socket or a clock.
#pragma once

#include <cstdint>
#include <memory>
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

enum class RetrySafety { idempotent, keyed, unsafe };
enum class IdempotencyScope { global, zone };

struct DocType {
  Millis target_latency = 0;
  Millis lifetime = 0;
  double value = 1;  // in its agreed time
  double late_value = 0;
  RetrySafety retry_safety = RetrySafety::unsafe;
  IdempotencyScope idempotency_scope = IdempotencyScope::global;
  Millis idempotency_window = 0;
  bool in_order = false;
  bool operator==(const DocType&) const = default;
  // Its destination tells a repeat from a first attempt by the mark, wherever the repeat goes.
  bool deduplicated_globally() const {
    return retry_safety == RetrySafety::keyed && idempotency_scope == IdempotencyScope::global;
  }
  // Whether an attempt may be made that a kill would make the relay forget, so long before the expiry: where
  // the effect may be had twice, or where the mark is still known whenever the next process tries again.
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
  int max_documents = 0;  // documents held at once; 0: not limited
  int max_transmissions = 1;
  bool may_cancel = false;
  bool discovery_on_request = false;  // changes of the list come only after following it
  bool local_discovery_agent =
      false;  // then an agent beside this relay has all that is new, and answers at once
  bool exponential_value_decay = false;  // each further agreed time; else evenly down to the expiry
  bool limits_from_discovery = false;
  Millis tick = 0;
  Millis connect_timeout = 0;  // a connection not up by then fails
  double overload_multiple = 1;
  Millis overload_window = 0;
  double start_capacity = 1;
  Millis warm_up_time = 0;
  Millis order_settle_time = 0;
  bool end_reports_acknowledged = false;  // an end is told by a call; its answer is reported by withdraw()
  Millis max_retry_after = 0;             // 0: clients are told no time to come back
  std::vector<DocType> doc_types;         // numbered from 0 in this order at the start
  std::vector<DestinationKind> destination_kinds;
  std::vector<double> tenant_rates;  // documents a second within a tenant's share, all relays together
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

struct Document {
  DocId id{};
  DocTypeId type{};
  TenantId tenant{};
  DestinationId destination{};
  bool has_key = false;
  KeyId key{};
  Millis time_left = 0;
  // Of a document recovered after a restart: what its earlier transmissions leave open.
  int transmissions = 0;
  int max_transmissions = 0;    // transmissions allowed when it was taken on; 0: by the present settings
  bool may_have_run = false;    // one was out, or ended without proof that it never ran
  Millis may_have_run_ago = 0;  // since the first such was sent
  ZoneId may_have_run_zone{};
  bool ended = false;  // its end is decided, and the platform has not acknowledged it yet
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

struct LoadHints {
  bool present = false;
  double remaining_share = 0;
  double rate_limit = 0;  // calls a second; 0: no limit
};

struct Outcome {
  DocId doc{};
  int transmission = 0;
  TransmissionResult result = TransmissionResult::answered;
  EndpointId endpoint{};
  bool completed = false;  // the document has its final answer
  bool exhausted = false;  // it has had all its transmissions, whatever this relay has counted
  Millis retry_after = 0;
  Millis duration = 0;
  Millis connection_idle_time =
      -1;  // how long its connection had lain idle; 0: it was new; negative: the host cannot tell
  bool connection_closed = false;  // the endpoint ended the connection with its answer
  LoadHints hints;
};

struct Transmit {
  DocId doc{};
  EndpointId endpoint{};
  Millis timeout = 0;
};

struct Cancel {
  DocId doc{};
  int transmission = 0;
};

struct Reject {
  DocId doc{};
  Millis retry_after = 0;
};

struct CloseIdle {  // idle connections
  EndpointId endpoint{};
  Millis min_idle_time = 0;  // that lay idle for so long
};

struct Actions {
  std::vector<Reject> rejected;
  std::vector<DocId> abandoned;
  std::vector<Transmit> transmissions;
  std::vector<CloseIdle> closed_connections;  // before any transmission of this turn
  Millis max_idle_time = 0;                   // a connection that lay idle for longer is not used again
  std::vector<Cancel> canceled;
  std::vector<EndpointId> forgotten_endpoints;  // gone for long, with nothing out: never named again
  Millis long_poll_wait = 0;  // follow it, and want an answer within so long each time; 0: not now
  Millis discovery_timeout =
      0;  // an answer is given up when it is so late; the first one is a call of discovery
  std::vector<std::string> log;
  Millis wake_in = -1;  // negative: only when something happens
};

enum class SendPermission { now, later, never };

// What a relay knows of a route beyond what it was told at its start, for other relays and for its own next
// start: durations, so that it holds on any clock.
enum class RouteState : std::uint8_t { healthy, down, recovering };
struct RouteStatus {
  bool per_endpoint = false;     // the route is one endpoint, else all of a destination
  bool from_this_relay = false;  // learnt by this relay itself, before its restart
  std::uint64_t route = 0;       // EndpointId or DestinationId
  Millis retry_after_left = 0;   // until a told wait ends; 0: none
  RouteState state = RouteState::healthy;
  Millis state_age = 0;           // since the newest evidence of it; returning: since the return
  double rate_before_outage = 0;  // calls a second of this relay before the outage
  double rate_limit = 0;          // calls a second of all relays, as met or told in an answer; 0: none known
  double remaining_share = 1;     // of it, then
  Millis limit_age = 0;
};

// What the module has done since its start, for the log and the metrics.
struct Counters {
  std::uint64_t calls = 0;              // calls, not the messages that join one
  std::uint64_t retried_documents = 0;  // messages sent again
  std::uint64_t slow_start_calls = 0;   // calls to destinations in slow start, or that may be out
  std::uint64_t trial_calls = 0;        // calls of a breaker's trial
  std::uint64_t not_started = 0;        // calls given up once their connection was up
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
  virtual void update_endpoints(const std::vector<EndpointEntry>& entries, bool whole) = 0;
  // Following the list failed or ended, so long after the last call for it; 0 where the host cannot tell.
  virtual void discovery_failed(bool turned_away, Millis took) = 0;
  // New settings bind from now on; documents held keep the type and the allowance they were taken on with.
  virtual void update_settings(const Settings& settings) = 0;
  virtual DocTypeId type_id(const DocType& type) = 0;  // alike for like types, for as long as this lives
  virtual void accept(const Document& document) = 0;
  virtual void outcome(const Outcome& outcome) = 0;
  // Nothing more is owed for it here: another has it, or the end that this module gave it is acknowledged.
  virtual void withdraw(DocId doc) = 0;
  // Taken out by staff until put back, whatever the list says meanwhile; one that is put back is cold.
  virtual void set_offline(EndpointId endpoint, bool out) = 0;
  // While another process may still send for this relay, nothing goes; all else is as ever.
  virtual void pause_sending(bool held) = 0;
  // A process before this one has ended by now, and not all that it sent last is known any more: it may still
  // run.
  virtual void previous_process_ended() = 0;
  // All that this module knows, for the one in the process that takes this one's place, on the same clock.
  // The other throws std::exception, and has changed nothing that counts, where it cannot read it.
  virtual std::string export_state() = 0;
  virtual void import_state(const std::string& state) = 0;
  virtual void begin_shutdown(
      Millis within) = 0;  // the relay ends then; what it holds by then waits for its restart
  virtual Actions decide() = 0;

  virtual bool has_capacity() const = 0;  // for one more document
  virtual bool has_destination(
      DestinationId destination) const = 0;                   // one with endpoints, or that had some lately
  virtual Millis retry_after(DestinationId destination) = 0;  // for a document turned away; 0: not to be told
  // Of a call that needs a new connection: while that comes up, no slot is taken. Once it is up, whether the
  // call may begin; asked again in each turn where later.
  virtual void note_connecting(DocId doc, int transmission) = 0;
  virtual SendPermission may_send(DocId doc, int transmission) = 0;
  virtual const Counters& counters() const = 0;
  virtual Millis retry_backoff(int failures) = 0;  // before what the host itself tries again

  // Between relays, and over a restart. knowledge: of the routes of which something has changed since it was
  // last asked, or of all that differ from a fresh start. learn: what another relay knows, or this one knew
  // before its restart; it binds as if seen here, and never shortens what this relay was told itself. It is
  // not given out again by knowledge(false).
  virtual std::vector<RouteStatus> route_statuses(bool all) = 0;
  virtual void apply_route_status(const RouteStatus& known) = 0;
  // What the host keeps for this relay's next process, for learn(): of the routes that are told to wait, out,
  // suspected to be, or in slow start, or that no longer are, since it was last asked.
  virtual std::vector<RouteStatus> route_statuses_to_persist() = 0;
  // Whether a connection that no document asks for may be opened to the endpoint now: not under a told wait,
  // shut, returning cold, at a met connection cap, out or gone, nor one more than leaves others their part.
  // up: how many this relay has there, idle ones counted.
  virtual bool may_preconnect(EndpointId endpoint, int up) = 0;
};

}  // namespace rockcrank
