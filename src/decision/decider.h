// Implementation class of decision.h, internal to this folder; each of its jobs has a .cpp file of its own.
// docs/design.md describes the design, and under which condition each departure from it applies.
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

struct Route : RouteBase {
  DecayingSum calls{15000}, recent_calls{2000}, successes{4000}, failures{4000}, completed_calls{10000},
      slow_calls{10000}, total_duration{8000}, timed_calls{8000}, answered_documents{8000},
      lost_connections{8000};  // answered_documents counts documents, the others calls
  auto fields() {
    return std::tuple_cat(RouteBase::fields(),
                          std::tie(calls, recent_calls, successes, failures, completed_calls, slow_calls,
                                   total_duration, timed_calls, answered_documents, lost_connections));
  }
};

}  // namespace state

namespace internal {

using namespace state;

// Values set by docs/design.md.
constexpr Millis backoff_base = 500;
constexpr Millis trial_delay = 1000;
constexpr Millis slow_call_duration = 3000;
constexpr Millis max_discovery_delay = 3900;
constexpr double backoff_jitter = 0.2;
constexpr double max_slot_share = 0.75;  // of the slots, at one route
constexpr double slow_call_share = 0.01;
constexpr int failures_to_open = 5;
constexpr int confirming_calls = 3;

class Decider final : public Decision {
  // State that is handed over unchanged. Settings, the random generator and what each turn computes anew are
  // not part of it.
  auto exported_fields() {
    return std::tie(routes_, key_queues_, in_flight_, endpoints_to_check_, offline_endpoints_,
                    last_idle_loss_route_, discovery_failures_, due_at_, forgot_unused_at_, max_lifetime_,
                    max_idle_time_, last_sequence_, last_call_number_, calls_in_flight_, calls_connecting_,
                    calls_started_, calls_canceled_, total_duration_, timed_calls_, late_answers_,
                    hung_calls_, idle_connection_losses_, connect_failures_, lone_failures_,
                    repeated_failures_, all_keys_settled_at_);
  }

 public:
  Decider(const Settings& settings, std::uint64_t seed)
      : settings_(settings), random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {
    for (const auto& type : settings_.doc_types)
      max_lifetime_ = std::max(max_lifetime_, doc_types_.emplace_back(type).lifetime);
    update_settings(settings);
  }

  DocTypeId type_id(const DocType& type) override;
  void update_settings(const Settings& settings) override;
  void begin_turn(Millis now) override;
  void update_time(Millis now) override;
  void update_endpoints(const std::vector<EndpointEntry>& entries, bool whole) override;
  void discovery_failed(bool refused, Millis duration) override;
  void accept(const Document& document) override;
  void outcome(const Outcome& outcome) override;
  void wait_told_early(DocId doc, int transmission, Millis wait) override;
  Millis acceptance_delay(const UnprovenAnswer& answer) override;
  void note_copied_answer(EndpointId id) override;
  void wait_told(EndpointId id, Millis wait) override;
  bool may_keep_connection(EndpointId id, bool answers_repeat) override;
  bool may_reuse_connection(EndpointId id, DocId doc, const EarlierAnswers& earlier) override;
  void withdraw(DocId id) override;
  void set_offline(EndpointId id, bool offline) override;
  void pause_sending(bool paused) override { sending_paused_ = paused; }
  void previous_process_ended() override { all_keys_settled_at_ = now_ + settings_.order_settle_time; }
  std::string export_state() override;
  void import_state(const std::string& state) override;
  void begin_shutdown(Millis within) override { shutdown_at_ = now_ + within; }
  bool has_capacity() const override {
    return settings_.max_documents == 0 || static_cast<int>(docs_.size()) < settings_.max_documents;
  }
  std::size_t document_count() const override { return docs_.size(); }
  bool has_destination(DestinationId id) const override;
  Millis retry_after(DestinationId id) override;
  void note_connecting(DocId doc, int transmission) override;
  SendPermission may_send(DocId doc, int transmission) override;
  const Counters& counters() const override { return counters_; }
  Millis retry_backoff(int failures) override { return jittered(backoff(failures)); }
  std::vector<RouteStatus> route_statuses(bool all) override;
  std::vector<RouteStatus> route_statuses_to_persist() override;
  void apply_route_status(const RouteStatus& status) override;
  bool may_preconnect(EndpointId id, int connections) override;
  Actions decide() override;

 private:
  static constexpr Millis min_silence = 500;  // shorter gaps between answers are chance, or a held-up relay
  static constexpr double overdue_durations = 5;    // usual durations after which a call is overdue
  static constexpr Millis min_stall = 1000;         // a later turn than due by more is a stall of the relay
  static constexpr Millis max_limit_window = 2500;  // longest period of a rate limit
  static constexpr Millis max_unconfirmed_wait = 10000;  // as told by an answer that is not whole yet
  static constexpr Millis full_endpoint_hold = 5000;
  static constexpr double early_answer_share = 0.5;     // of the shortest recent time
  static constexpr double early_answer_patience = 3;    // times the longest recent answer
  static constexpr double usual_answer_patience = 1.5;  // times the usual duration of a call
  static constexpr double longest_answer_patience = 1.1;
  static constexpr Millis copy_memory = 60000;  // an endpoint that copied an answer may do so again
  static constexpr Millis connection_cap_memory = 30000;
  static constexpr int min_connection_cap = 5;  // any endpoint accepts so many connections
  static constexpr int max_unlisted_routes = 1000;
  static constexpr double tenant_share_slack = 1.3;
  static constexpr double spare_limit_share = 0.3;  // enough left of a limit for other relays

  // Common
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  void log(const Route& route, const char* event, std::initializer_list<RouteBase::Field> fields);
  Millis expiry_margin() const { return 2 * settings_.tick; }

  // The turn
  void remove(Doc& doc);
  void forget_unused();
  void spread_overdue_retries();
  Millis next_due();

  // The list of endpoints
  Millis discovery_spread() const {
    return settings_.local_discovery_agent ? 0 : std::min(max_discovery_delay, 100.0 * settings_.relays);
  }

  // Admission and ends
  bool may_reject(const Doc& doc) const;
  Priority priority_of(const Doc& doc);
  // Every document gets its final answer before its expiry.
  bool out_of_time(Doc& doc) { return now_ >= doc.expiry - expiry_margin(); }
  bool is_exhausted(Doc& doc);
  void end_document(Doc& doc);
  void abandon(Doc& doc, const char* reason);
  void finish(Doc& doc, bool rejected);
  void record_end(const Doc& doc, bool rejected);
  bool must_make_room(Doc& doc);

  // Route status
  void mark_for_persistence(Route& route) { route.persist_pending = persist_pending_ = true; }

  // Outcomes
  void record_call_result(Call& call, const Outcome& outcome);
  void record_answer_time(Endpoint& endpoint, const Outcome& outcome);
  bool copied_lately(const Endpoint& endpoint) const {
    return now_ < endpoint.answer_times.copied_at + copy_memory;
  }
  void log_failed_transmission(const Doc& doc, const Outcome& outcome, const Route& route);
  void record_idle_connection_loss(const Route& route, Millis idle_time);

  // Circuit breaker
  void record_failure(Call& call, bool refused, bool has_retry_after);
  static bool limit_is_exhausted(const LoadHints& hints) {
    return hints.present && hints.rate_limit > 0 && hints.remaining_share < 0.1;
  }
  bool apply_retry_after(Route& route, Millis until, bool limit_met);
  void record_success(Route& route);
  void open_breaker(Route& route);
  Millis draw_trial_delay(const Route& route);
  int failure_threshold(Route& route);
  bool trial_is_due(Route& route) {
    return route.breaker == BreakerState::open && now_ >= route.next_trial_at;
  }
  void half_open(Route& route) { route.breaker = BreakerState::half_open; }
  bool reached_failure_threshold(Route& route);

  // Rate and slow start
  bool is_slow_start_limited(Route& route) { return in_slow_start(route) || is_suspected(route); }
  bool in_slow_start(const Route& route) const {
    return now_ < route.slow_start_since + settings_.warm_up_time;
  }
  bool recovery_is_known(const Route& route) const;
  void record_rate_before_outage(Route& route, double reported_rate = 0, const Call* failed_call = nullptr);
  void begin_slow_start(Route& route, Millis since);
  double allowed_rate(Route& route);
  double slow_start_rate(const Route& route, Millis age) const;
  double suspected_rate(Route& route);
  bool is_suspected(Route& route);
  bool refuses_persistently(const Route& route) const;
  double available_tokens(Route& route);
  Millis next_call_at(Route& route);
  int calls_not_overdue(const Route& route) const;
  Millis next_call_at(const Destination& destination);

  // Silence of a route
  struct UnansweredCalls;
  std::map<Route*, UnansweredCalls> unanswered_calls();
  void find_silent_routes();
  Millis silence_due_at(Route& route, const UnansweredCalls& calls);
  void suspect_silent_route(Route& route);
  Millis next_silence_due();

  // Concurrency limit
  void set_stage(Call& call, CallStage stage);
  bool is_degraded(Route& route);
  int max_calls(Route& r) {
    return std::max(1, static_cast<int>(max_slot_share * settings_.slots) / (is_degraded(r) ? 2 : 1));
  }
  Millis usual_duration(Route& route);
  Millis overdue_duration(Route& route) {
    return std::max(1000.0, overdue_durations * usual_duration(route));
  }
  Millis overdue_after(Route& route) { return overdue_duration(route) * route.timeout_factor; }
  Millis capacity_free_at(const Endpoint& e) const;
  // A call takes its slot once its connection is up; as many calls again may be connecting.
  int slots_taken() const {
    return std::max(calls_in_flight_ - calls_connecting_, calls_in_flight_ - settings_.slots);
  }
  bool needs_slot(Doc& doc);
  Call* find_most_overdue();
  void cancel_most_overdue(Doc& doc);

  // Connections
  Millis idle_timeout(const Endpoint& e);
  bool should_close_idle(const Endpoint& e);

  // Retry schedule
  Millis draw_exponential(Millis mean) { return std::exponential_distribution<double>(1 / mean)(random_); }
  Millis jittered(Millis pause) { return pause * uniform(1 - backoff_jitter, 1 + backoff_jitter); }
  static Millis backoff(int failures) { return backoff_base * std::exp2(std::min(failures, 16) - 1); }
  // The only place that allows a further transmission, so that no effect happens twice.
  bool may_transmit_again(const Doc& doc, Millis when) const {
    return doc.in_flight == 0 && retry_is_safe(doc, when);
  }
  bool retry_is_safe(const Doc& doc, Millis when) const;
  bool may_transmit_to(const Doc& doc, const Endpoint& endpoint) const;
  Millis call_timeout(const Doc& doc, Route& route);
  bool is_ready(const Doc& doc) const { return doc.in_flight == 0 && now_ >= doc.not_before; }

  // Order of keyed documents
  bool is_next_of_key(const Doc& doc);
  Millis settled_at(const KeyQueue& queue) const { return std::max(queue.settled_at, all_keys_settled_at_); }

  // Sending
  const char* reason_not_to_send(const Call& call, std::uint64_t number);
  bool went_down_since_chosen(const Call& call);
  int current_batch_limit(Route& route);
  Call* batch_of_turn(const Endpoint& endpoint);
  bool can_join_batch(const Endpoint& endpoint);
  Endpoint* choose_endpoint(const Doc& doc, int slots);
  bool can_transmit_with(Doc& doc, int slots);
  bool can_transmit(Doc& doc) { return can_transmit_with(doc, settings_.slots); }
  void transmit(Doc& doc);
  void check_send(const Doc& doc, const Endpoint& endpoint, bool new_call);
  void log_limited_route(Route& route, const char* event);
  void check_write(const Doc& doc, const Endpoint& endpoint);
  void check_invariant(Invariant invariant, bool holds, const Route& route, DocId doc);

  // The rules, in the order in which they are tried. The names of doc_rules are logged as the reason of an
  // end.
  static constexpr Rule<Decider, Route> route_rules[] = {
      {"five failures in a row open", &Decider::reached_failure_threshold, &Decider::open_breaker},
      {"one trial after the pause", &Decider::trial_is_due, &Decider::half_open},
  };
  static constexpr Rule<Decider, Doc> doc_rules[] = {
      {"no time left", &Decider::out_of_time, &Decider::end_document},
      {"transmissions spent", &Decider::is_exhausted, &Decider::end_document},
      {"may go", &Decider::can_transmit, &Decider::transmit},
      {"a full room", &Decider::must_make_room, &Decider::end_document},
      {"wants a slot", &Decider::needs_slot, &Decider::cancel_most_overdue},
  };

  Settings settings_;
  SlowStart slow_start_{settings_};
  std::deque<DocType> doc_types_;
  std::minstd_rand random_;
  Millis discovery_at_ = settings_.discovery_on_request ? 0 : never;
  Millis now_ = 0;
  Millis due_at_ = 0;
  Millis shutdown_at_ = never;
  Millis forgot_unused_at_ = 0;
  Millis max_lifetime_ = 0;
  Millis max_idle_time_ = never;
  std::uint64_t last_sequence_ = 0, last_call_number_ = 0;
  int discovery_failures_ = 0;
  int calls_in_flight_ = 0;
  int calls_connecting_ = 0;
  int calls_started_ = 0;
  int calls_canceled_ = 0;
  Call* most_overdue_ = nullptr;
  bool sending_paused_ = false;  // another process may still send
  bool persist_pending_ = true;  // true at first, as imported routes may be marked
  DecayingSum total_duration_{8000}, timed_calls_{8000}, late_answers_{8000}, hung_calls_{8000};
  std::map<RouteKey, Route> routes_;
  std::map<EndpointId, Endpoint> endpoints_;
  std::map<DestinationId, Destination> destinations_;
  std::map<DocId, Doc> docs_;
  std::map<KeyId, KeyQueue> key_queues_;
  std::map<std::uint64_t, Call> calls_;
  std::map<std::pair<DocId, int>, std::tuple<std::uint64_t, KeyId, bool>> in_flight_;
  std::map<EndpointId, std::uint64_t> batches_of_turn_;  // call number by endpoint
  std::vector<std::pair<DecayingSum, double>> tenant_shares_;
  std::vector<std::pair<Priority, Doc*>> by_priority_;
  Actions actions_;
  Counters counters_;
  Millis all_keys_settled_at_ = -never;
  int documents_at_start_ = -1;    // documents held in the first turn
  const char* current_rule_ = "";  // name of the rule whose action runs
  DecayingSum idle_connection_losses_{30000};
  DecayingSum connect_failures_{30000};
  // Single failures by the outcome of the next call to the route: answered, or failed again.
  DecayingSum lone_failures_{20000};
  DecayingSum repeated_failures_{20000};
  std::set<EndpointId> endpoints_to_check_;  // for idle connections to close
  std::set<EndpointId> offline_endpoints_;   // taken out of service by an operator, listed or not
  std::optional<std::uint64_t> last_idle_loss_route_;
};

}  // namespace internal
}  // namespace rockcrank
