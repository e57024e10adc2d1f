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
enum class KindId : std::uint32_t {};
enum class HallId : std::uint32_t {};

enum class Repeat { replayable, numbered, binding };
enum class KeyGroup { everywhere, hall };

struct DocType {
  Millis agreed_time = 0;
  Millis lifetime = 0;
  double value = 1;  // in its agreed time
  double late_value = 0;
  Repeat repeat = Repeat::binding;
  KeyGroup key_group = KeyGroup::everywhere;
  Millis key_window = 0;
  bool in_order = false;
  bool operator==(const DocType&) const = default;
  // Its destination tells a repeat from a first attempt by the mark, wherever the repeat goes.
  bool marked_everywhere() const { return repeat == Repeat::numbered && key_group == KeyGroup::everywhere; }
  // Whether an attempt may be made that a kill would make the relay forget, so long before the expiry: where
  // the effect may be had twice, or where the mark is still known whenever the next process tries again.
  bool may_forget_attempt(Millis left) const {
    return repeat == Repeat::replayable || (marked_everywhere() && left < key_window);
  }
  auto fields() {
    return std::tie(agreed_time, lifetime, value, late_value, repeat, key_group, key_window, in_order);
  }
};

struct Kind {
  bool routes_apart = false;
  int bundle_max = 1;
};

struct Settings {
  int relays = 1;
  HallId hall{};
  int slots = 1;
  int room = 0;  // documents held at once; 0: not limited
  int max_transmissions = 1;
  bool may_call_off = false;
  bool list_on_request = false;  // changes of the list come only after following it
  bool list_at_hand = false;     // then an agent beside this relay has all that is new, and answers at once
  bool value_halves = false;     // each further agreed time; else evenly down to the expiry
  bool limits_listed = false;
  Millis tick = 0;
  Millis connect_within = 0;  // a connection not up by then fails
  double fall_multiple = 1;
  Millis fall_time = 0;
  double start_capacity = 1;
  Millis warm_within = 0;
  Millis order_rest = 0;
  bool ends_acknowledged = false;  // an end is told by a call; its answer is reported by withdraw()
  Millis reject_wait_max = 0;      // 0: clients are told no time to come back
  std::vector<DocType> doc_types;  // numbered from 0 in this order at the start
  std::vector<Kind> kinds;
  std::vector<double> tenant_rates;  // documents a second within a tenant's share, all relays together
};

enum class Standing { listed, draining, gone };

struct EndpointEntry {
  EndpointId endpoint{};
  DestinationId destination{};
  KindId kind{};
  HallId hall{};
  Standing standing = Standing::listed;
  double listed_rate = 0;
};

struct Document {
  DocId id{};
  DocTypeId type{};
  TenantId tenant{};
  DestinationId destination{};
  bool has_key = false;
  KeyId key{};
  Millis left = 0;
  // Of a document recovered after a restart: what its earlier transmissions leave open.
  int transmissions = 0;
  int most = 0;               // transmissions allowed when it was taken on; 0: by the present settings
  bool may_have_run = false;  // one was out, or ended without proof that it never ran
  Millis risked_ago = 0;      // since the first such was sent
  HallId risked_hall{};
  bool ended = false;  // its end is decided, and the platform has not acknowledged it yet
};

enum class Ending { answered, error, refused, timed_out, not_connected, broken, called_off, not_sent };

struct Hints {
  bool told = false;
  double left_share = 0;
  double limit = 0;  // calls a second; 0: no limit
};

struct Outcome {
  DocId doc{};
  int transmission = 0;
  Ending ending = Ending::answered;
  EndpointId endpoint{};
  bool over = false;   // the document has its final answer
  bool spent = false;  // it has had all its transmissions, whatever this relay has counted
  Millis wait = 0;
  Millis took = 0;
  Millis kept = -1;  // how long its connection had lain idle; 0: it was new; negative: the host cannot tell
  bool hung_up = false;  // the endpoint ended the connection with its answer
  Hints hints;
};

struct Transmit {
  DocId doc{};
  EndpointId endpoint{};
  Millis time_out = 0;
};

struct CallOff {
  DocId doc{};
  int transmission = 0;
};

struct Reject {
  DocId doc{};
  Millis wait = 0;
};

struct Close {  // idle connections
  EndpointId endpoint{};
  Millis idle_least = 0;  // that lay idle for so long
};

struct Decided {
  std::vector<Reject> rejected;
  std::vector<DocId> abandoned;
  std::vector<Transmit> transmitted;
  std::vector<Close> closed;  // before any transmission of this turn
  Millis idle_most = 0;       // a connection that lay idle for longer is not used again
  std::vector<CallOff> called_off;
  std::vector<EndpointId> forgotten;  // gone for long, with nothing out: never named again
  Millis follow_list = 0;             // follow it, and want an answer within so long each time; 0: not now
  Millis list_late = 0;  // an answer is given up when it is so late; the first one is a call of discovery
  std::vector<std::string> log;
  Millis wake_in = -1;  // negative: only when something happens
};

enum class MayBegin { now, later, never };

// What a relay knows of a route beyond what it was told at its start, for other relays and for its own next
// start: durations, so that it holds on any clock.
enum class RouteState : std::uint8_t { well, down, returning };
struct Knowledge {
  bool apart = false;       // the route is one endpoint, else all of a destination
  bool own = false;         // learnt by this relay itself, before its restart
  std::uint64_t route = 0;  // EndpointId or DestinationId
  Millis told_left = 0;     // until a told wait ends; 0: none
  RouteState state = RouteState::well;
  Millis state_age = 0;    // since the newest evidence of it; returning: since the return
  double rate_before = 0;  // calls a second of this relay before the outage
  double limit = 0;        // calls a second of all relays, as met or told in an answer; 0: none known
  double left_share = 1;   // of it, then
  Millis limit_age = 0;
};

// What the module has done since its start, for the log and the metrics.
struct Counters {
  std::uint64_t attempts = 0;             // calls, not the messages that join one
  std::uint64_t retried_messages = 0;     // messages sent again
  std::uint64_t slow_start_attempts = 0;  // calls to destinations in slow start, or that may be out
  std::uint64_t trials = 0;               // calls of a breaker's trial
  std::uint64_t not_begun = 0;            // calls given up once their connection was up
  std::uint64_t rejected = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t called_off = 0;
  std::uint64_t breakers_opened = 0;
  std::uint64_t cold_returns = 0;
  Invariants invariants;
};

class Decision {
 public:
  static std::unique_ptr<Decision> make(const Settings& settings, std::uint64_t seed);
  virtual ~Decision() = default;

  virtual void begin(Millis now) = 0;
  virtual void list(const std::vector<EndpointEntry>& entries, bool whole) = 0;
  // Following the list failed or ended, so long after the last call for it; 0 where the host cannot tell.
  virtual void list_failed(bool turned_away, Millis took) = 0;
  // New settings bind from now on; documents held keep the type and the allowance they were taken on with.
  virtual void retune(const Settings& settings) = 0;
  virtual DocTypeId number_of(const DocType& type) = 0;  // alike for like types, for as long as this lives
  virtual void take(const Document& document) = 0;
  virtual void outcome(const Outcome& outcome) = 0;
  // Nothing more is owed for it here: another has it, or the end that this module gave it is acknowledged.
  virtual void withdraw(DocId doc) = 0;
  // Taken out by staff until put back, whatever the list says meanwhile; one that is put back is cold.
  virtual void set_out(EndpointId endpoint, bool out) = 0;
  // While another process may still send for this relay, nothing goes; all else is as ever.
  virtual void hold(bool held) = 0;
  // A process before this one has ended by now, and not all that it sent last is known any more: it may still
  // run.
  virtual void follows_ended_process() = 0;
  // All that this module knows, for the one in the process that takes this one's place, on the same clock.
  // The other throws std::exception, and has changed nothing that counts, where it cannot read it.
  virtual std::string hand_over() = 0;
  virtual void take_over(const std::string& state) = 0;
  virtual void leave(Millis within) = 0;  // the relay ends then; what it holds by then waits for its restart
  virtual Decided decide() = 0;

  virtual bool has_room() const = 0;                        // for one more document
  virtual bool knows(DestinationId destination) const = 0;  // one with endpoints, or that had some lately
  virtual Millis come_back(DestinationId destination) = 0;  // for a document turned away; 0: not to be told
  // Of a call that needs a new connection: while that comes up, no slot is taken. Once it is up, whether the
  // call may begin; asked again in each turn where later.
  virtual void connecting(DocId doc, int transmission) = 0;
  virtual MayBegin may_begin(DocId doc, int transmission) = 0;
  virtual const Counters& counters() const = 0;
  virtual Millis pause_after(int failures) = 0;  // before what the host itself tries again

  // Between relays, and over a restart. knowledge: of the routes of which something has changed since it was
  // last asked, or of all that differ from a fresh start. learn: what another relay knows, or this one knew
  // before its restart; it binds as if seen here, and never shortens what this relay was told itself. It is
  // not given out again by knowledge(false).
  virtual std::vector<Knowledge> knowledge(bool all) = 0;
  virtual void learn(const Knowledge& known) = 0;
  // What the host keeps for this relay's next process, for learn(): of the routes that are told to wait, out,
  // suspected to be, or in slow start, or that no longer are, since it was last asked.
  virtual std::vector<Knowledge> to_keep() = 0;
  // Whether a connection that no document asks for may be opened to the endpoint now: not under a told wait,
  // shut, returning cold, at a met connection cap, out or gone, nor one more than leaves others their part.
  // up: how many this relay has there, idle ones counted.
  virtual bool may_open_ahead(EndpointId endpoint, int up) = 0;
};

}  // namespace rockcrank
