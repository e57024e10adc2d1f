// The module behind decision.h, in one class: each of its jobs has a file of its own in this folder. This
// header is theirs alone; a host includes decision.h. docs/design.md says which parts are the design's and
// under which condition each departure acts.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <initializer_list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "decision/decision.h"
#include "decision/invariants.h"
#include "decision/slow_start.h"
#include "decision/state.h"

namespace rockcrank {
namespace state {

struct Route : RouteMarks {
  Fading calls{15000}, recent{2000}, good{4000}, bad{4000}, ended{10000}, slow{10000}, took{8000},
      timed{8000}, answered{8000}, broke{8000};  // answered: documents; the others: calls
  auto fields() {
    return std::tuple_cat(RouteMarks::fields(),
                          std::tie(calls, recent, good, bad, ended, slow, took, timed, answered, broke));
  }
};

}  // namespace state

namespace internal {

using namespace state;

// The design's own values.
constexpr Millis ladder_base = 500, trial_pause = 1000, slow_call = 3000, follow_within = 3900;
constexpr double ladder_jitter = 0.2, slot_share = 0.75, slow_share = 0.01;
constexpr int failures_to_open = 5, follow_calls = 3;

class Decider final : public Decision {
  // What is handed over as it is; settings, chance and what each turn finds anew is not.
  auto parts() {
    return std::tie(routes_, lanes_, out_, used_, outs_, idle_broken_, list_failures_, due_, forgot_at_,
                    longest_life_, idle_limit_, taken_, call_number_, calls_out_, connecting_, begun_, freed_,
                    took_, timed_, late_, hung_, idle_breaks_, unconnected_, again_good_, again_bad_,
                    all_keys_rest_until_);
  }

 public:
  Decider(const Settings& settings, std::uint64_t seed)
      : set_(settings), chance_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {
    for (const auto& type : set_.doc_types)
      longest_life_ = std::max(longest_life_, types_.emplace_back(type).lifetime);
    update_settings(settings);
  }

  DocTypeId type_id(const DocType& type) override;
  void update_settings(const Settings& settings) override;
  void begin_turn(Millis now) override;
  void update_endpoints(const std::vector<EndpointEntry>& entries, bool whole) override;
  void discovery_failed(bool turned_away, Millis took) override;
  void accept(const Document& given) override;
  void outcome(const Outcome& got) override;
  void withdraw(DocId id) override;
  void set_offline(EndpointId id, bool out) override;
  void pause_sending(bool held) override { held_ = held; }
  void previous_process_ended() override { all_keys_rest_until_ = now_ + set_.order_settle_time; }
  std::string export_state() override;
  void import_state(const std::string& state) override;
  void begin_shutdown(Millis within) override { leave_at_ = now_ + within; }
  bool has_capacity() const override {
    return set_.max_documents == 0 || static_cast<int>(docs_.size()) < set_.max_documents;
  }
  bool has_destination(DestinationId at) const override;
  Millis retry_after(DestinationId id) override;
  void note_connecting(DocId doc, int transmission) override;
  SendPermission may_send(DocId doc, int transmission) override;
  const Counters& counters() const override { return counters_; }
  Millis retry_backoff(int failures) override { return varied(ladder(failures)); }
  std::vector<RouteStatus> route_statuses(bool all) override;
  std::vector<RouteStatus> route_statuses_to_persist() override;
  void apply_route_status(const RouteStatus& k) override;
  bool may_preconnect(EndpointId id, int up) override;
  Actions decide() override;

 private:
  static constexpr Millis stall = 1000, longest_span = 2500, room_hold = 5000, cap_counts = 30000;
  static constexpr int handful = 5, learnt_most = 1000;        // connections, that any endpoint takes; routes
  static constexpr double share_slack = 1.3, room_left = 0.3;  // left of a limit: enough for others

  // Common
  double drawn(double low, double high) { return std::uniform_real_distribution<double>(low, high)(chance_); }
  void log(const Route& route, const char* event, std::initializer_list<RouteMarks::Field> fields);
  Millis margin() const { return 2 * set_.tick; }

  // The turn
  void close(Doc& doc);
  void forget();
  Millis next_due();

  // The list of endpoints
  Millis list_spread() const {
    return set_.local_discovery_agent ? 0 : std::min(follow_within, 100.0 * set_.relays);
  }

  // Admission and ends
  bool may_reject(const Doc& doc) const;
  Grade urgency(const Doc& doc);
  // Rule 1: a final answer before the client's time is up.
  bool out_of_time(Doc& doc) { return now_ >= doc.expiry - margin(); }
  bool is_spent(Doc& doc);
  void end(Doc& doc);
  void note_end(const Doc& doc, bool rejected);
  bool crowds_out(Doc& doc);

  // Knowledge
  void keep(Route& route) { route.keep = some_to_keep_ = true; }

  // Outcomes
  void count(Call& call, const Outcome& got);
  void note_failed_attempt(const Doc& doc, const Outcome& got, const Route& route);
  void broke_idle(const Route& route, Millis idle);

  // Circuit breaker
  void failed(Call& call, bool refused, bool waits);
  static bool spent(const LoadHints& hints) {
    return hints.present && hints.rate_limit > 0 && hints.remaining_share < 0.1;
  }
  bool told_wait(Route& route, Millis until, bool limit_met);
  void succeeded(Route& route);
  void open(Route& route);
  int to_open(Route& route);
  bool trial_is_due(Route& route) { return route.mode == Mode::open && now_ >= route.trial_at; }
  void allow_trial(Route& route) { route.mode = Mode::trial; }
  bool fails_in_row(Route& r);

  // Pace and slow start
  bool is_slow(Route& route) { return is_cold(route) || is_suspected(route); }
  bool is_cold(const Route& route) const { return now_ < route.cold_since + set_.warm_up_time; }
  bool return_is_known(const Route& route) const;
  void note_rate(Route& route, double told = 0, const Call* failed = nullptr);
  void cold_from(Route& route, Millis since);
  double pace(Route& route);
  double cold_pace(const Route& route, Millis age) const;
  double suspected_pace(Route& route);
  bool is_suspected(Route& route);
  bool is_refusing(const Route& route) const;
  double credit(Route& route);
  Millis free_at(Route& route);
  Millis free_at(const Destination& to);

  // Concurrency limit
  void pass(Call& call, Stage to);
  bool sick(Route& route);
  int cap(Route& r) { return std::max(1, static_cast<int>(slot_share * set_.slots) / (sick(r) ? 2 : 1)); }
  Millis usual(Route& route);
  Millis overdue_after(Route& route) { return std::max(1000.0, 5 * usual(route)) * route.patience; }
  Millis room_at(const Endpoint& e) const;
  // A call takes its slot once its connection is up; as many again may be connecting.
  int slots_taken() const { return std::max(calls_out_ - connecting_, calls_out_ - set_.slots); }
  bool wants_slot(Doc& doc);
  Call* furthest_overdue();
  void call_off(Doc& doc);

  // Connections
  Millis linger(const Endpoint& e);
  bool gives_up(const Endpoint& e);

  // Retry schedule
  Millis exponential(Millis mean) { return std::exponential_distribution<double>(1 / mean)(chance_); }
  Millis varied(Millis pause) { return pause * drawn(1 - ladder_jitter, 1 + ladder_jitter); }
  static Millis ladder(int failures) { return ladder_base * std::exp2(std::min(failures, 16) - 1); }
  // Rule 2: no effect twice. The one place that allows a further transmission at a given time.
  bool may_go_again(const Doc& doc, Millis when) const { return doc.out == 0 && marked(doc, when); }
  bool marked(const Doc& doc, Millis when) const;
  bool may_run_at(const Doc& doc, const Endpoint& endpoint) const;
  Millis time_out(const Doc& doc, Route& route);
  bool is_ready(const Doc& doc) const { return doc.out == 0 && now_ >= doc.not_before; }

  // Message order
  bool in_turn(const Doc& doc);
  Millis rests_until(const KeyLane& lane) const { return std::max(lane.rests_until, all_keys_rest_until_); }

  // Sending
  const char* overtaken_by(const Call& call, std::uint64_t number);
  bool is_out_since(const Call& call);
  int bundle_most(Route& route);
  Call* opened(const Endpoint& endpoint);
  bool joins(const Endpoint& endpoint);
  Endpoint* choose(const Doc& doc, int slots);
  bool could_go(Doc& doc, int slots);
  bool can_go(Doc& doc) { return could_go(doc, set_.slots); }
  void transmit(Doc& doc);
  void check_send(const Doc& doc, const Endpoint& endpoint, bool new_call);
  void check_writing(const Doc& doc, const Endpoint& endpoint);
  void check(Invariant invariant, bool holds, const Route& route, DocId doc);

  // The rules: each a condition and an effect.
  static constexpr Rule<Decider, Route> route_rules[] = {
      {"five failures in a row open", &Decider::fails_in_row, &Decider::open},
      {"one trial after the pause", &Decider::trial_is_due, &Decider::allow_trial},
  };
  static constexpr Rule<Decider, Doc> doc_rules[] = {
      {"no time left", &Decider::out_of_time, &Decider::end},
      {"transmissions spent", &Decider::is_spent, &Decider::end},
      {"may go", &Decider::can_go, &Decider::transmit},
      {"a full room", &Decider::crowds_out, &Decider::end},
      {"wants a slot", &Decider::wants_slot, &Decider::call_off},
  };

  Settings set_;
  SlowStart slow_start_{set_};
  std::deque<DocType> types_;
  std::minstd_rand chance_;
  Millis follow_at_ = set_.discovery_on_request ? 0 : never;
  Millis now_ = 0, due_ = 0, leave_at_ = never, forgot_at_ = 0, longest_life_ = 0, idle_limit_ = never;
  std::uint64_t taken_ = 0, call_number_ = 0;
  int list_failures_ = 0, calls_out_ = 0, connecting_ = 0, begun_ = 0, freed_ = 0;  // freed: called off
  Call* overdue_ = nullptr;                                                         // the furthest, if any
  bool held_ = false;         // another process may still send
  bool some_to_keep_ = true;  // routes may be marked so, as after a hand-over
  Fading took_{8000}, timed_{8000}, late_{8000}, hung_{8000};
  std::map<RouteKey, Route> routes_;
  std::map<EndpointId, Endpoint> endpoints_;
  std::map<DestinationId, Destination> destinations_;
  std::map<DocId, Doc> docs_;
  std::map<KeyId, KeyLane> lanes_;
  std::map<std::uint64_t, Call> calls_;
  std::map<std::pair<DocId, int>, std::tuple<std::uint64_t, KeyId, bool>> out_;
  std::map<EndpointId, std::uint64_t> bundles_;  // the call opened this turn, by endpoint
  std::vector<std::pair<Fading, double>> shares_;
  std::vector<std::pair<Grade, Doc*>> waiting_;
  Actions done_;
  Counters counters_;
  Millis all_keys_rest_until_ = -never;
  int held_at_start_ = -1;   // documents that were there in the first turn
  const char* reason_ = "";  // the rule that is being carried out
  Fading idle_breaks_{30000}, unconnected_{30000}, again_good_{20000}, again_bad_{20000};  // again: see count
  std::set<EndpointId> used_, outs_;  // calls there ended this turn; taken out by staff, listed or not
  std::optional<std::uint64_t> idle_broken_;  // the route
};

}  // namespace internal
}  // namespace rockcrank
