// State of the decision module: routes, endpoints, calls, destinations, documents and key queues, and the
// decaying sum used for rates. These types decide nothing and contain no tuning constants. Their fields()
// lists are the handover format.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <initializer_list>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "decision/answer_times.h"
#include "decision/decision.h"
#include "decision/slow_start.h"

namespace rockcrank::state {

constexpr Millis never = 1e18;

enum class BreakerState { closed, open, half_open, confirming };
struct Route;  // in decider.h, with the time constants of its sums
// Whether the route is one endpoint; the id of the endpoint or the destination.
using RouteKey = std::pair<bool, std::uint64_t>;

using Priority = std::tuple<int, double, double, std::uint64_t>;  // the smallest first

// A rule of an ordered list: a condition on a subject, and the action that follows.
template <typename Decider, typename Subject>
struct Rule {
  const char* name;
  bool (Decider::*condition)(Subject&);
  void (Decider::*action)(Subject&);
};

// An exponentially decaying sum with time constant span, updated when read.
class DecayingSum {
 public:
  explicit DecayingSum(Millis span) : span_(span) {}
  void add(Millis now, double amount) { sum_ = value(now) + amount; }
  double value(Millis now) {
    if (now > at_) sum_ *= std::exp((at_ - now) / span_);
    at_ = std::max(at_, now);
    return sum_;
  }
  double per_second(Millis now) { return value(now) * 1000 / span_; }
  // What an amount of 1, added this long ago, still contributes to per_second().
  double weight_per_second(Millis ago) const { return std::exp(-ago / span_) * 1000 / span_; }
  auto fields() { return std::tie(at_, sum_); }

 private:
  Millis span_, at_ = 0;
  double sum_ = 0;
};

// A route is what rate limits and outages apply to: a destination, or one endpoint where each has its own
// route.
struct RouteBase {
  std::uint64_t id = 0;
  int max_batch_size = 1;
  double rate_limit = 0, remaining_share = 1;  // calls per second of all relays; 0: unknown
  Millis load_hints_at = -never, retry_after_until = -never;
  BreakerState breaker = BreakerState::closed;
  int endpoint_count = 0, consecutive_failures = 0, consecutive_refusals = 0, confirmations_left = 0,
      calls_in_flight = 0;
  Millis opened_at = -never, next_trial_at = 0, failing_since = never, slow_start_since = -never;
  double rate_before_outage = 0, reduced_rate = 0, timeout_factor = 1, tokens = 1;
  Millis rate_reduced_at = -never, refilled_at = 0;
  Millis answered_at = -never, connection_cap_met_at = -never;  // latest of its endpoints
  Millis down_seen_at = -never;       // latest failure that opened it, here or on another relay
  Millis last_failure_at = -never;    // latest failure seen here
  Millis trial_advanced_at = -never;  // when another relay's status moved its trial call forward
  int excess_failures = 0;  // failures beyond the answers among them; a recent majority of calls fails
  bool silent = false;      // several calls wait, and no response has come since silent_since
  Millis silent_since = -never;
  Millis responded_at = -never;  // latest response, also a refusal or an error
  Millis learned_at = -never,
         learned_retry_after_until = -never;  // from other relays
  SlowStartMonitor slow_start_monitor;
  bool publish_pending = false;  // to other relays
  bool persist_pending = false;  // for this relay's next process
  auto fields() {
    return std::tie(id, max_batch_size, rate_limit, remaining_share, load_hints_at, retry_after_until,
                    breaker, endpoint_count, consecutive_failures, consecutive_refusals, confirmations_left,
                    calls_in_flight, opened_at, next_trial_at, failing_since, slow_start_since,
                    rate_before_outage, reduced_rate, timeout_factor, tokens, rate_reduced_at, refilled_at,
                    answered_at, connection_cap_met_at, down_seen_at, last_failure_at, trial_advanced_at,
                    excess_failures, silent, silent_since, responded_at, learned_at,
                    learned_retry_after_until, publish_pending, persist_pending);
  }

  const char* breaker_name() const {
    static const char* const names[] = {"closed", "open", "trial", "following"};
    return names[static_cast<int>(breaker)];
  }
  // A structured log line: an event with named values.
  using Field = std::pair<const char*, double>;
  std::string log_line(const char* event, std::initializer_list<Field> fields) const {
    char text[120];
    std::snprintf(text, sizeof text, "event=%s route=%llx breaker=%s", event, 0ULL + id, breaker_name());
    std::string line = text;
    for (const auto& [field, value] : fields) {
      std::snprintf(text, sizeof text, " %s=%.4g", field, value);
      line += text;
    }
    return line;
  }

  Millis relevant_until(Millis warm_up_time, Millis retention) const {
    return std::max({retry_after_until, slow_start_since + warm_up_time, learned_at + retention});
  }

  // The status for other relays. A limit met without hints has nothing left. A Retry-After learned from
  // another relay is not passed on (unless all), as it would grow by the delay on the way.
  RouteStatus status(bool per_endpoint, Millis now, bool in_slow_start, bool all) const {
    RouteStatus status;
    status.per_endpoint = per_endpoint, status.route = id;
    bool is_down = breaker == BreakerState::open || breaker == BreakerState::half_open,
         is_recovering = in_slow_start && slow_start_since <= now;
    if (all || retry_after_until > learned_retry_after_until)
      status.retry_after_left = std::max(0.0, retry_after_until - now);
    status.state = is_down ? RouteState::down : is_recovering ? RouteState::recovering : RouteState::healthy;
    status.state_age = now - (is_down         ? down_seen_at
                              : is_recovering ? slow_start_since
                                              : answered_at),
    status.rate_before_outage = rate_before_outage;
    Millis met_at = std::max(load_hints_at, rate_reduced_at);
    if (rate_limit > 0 && met_at > -never) {
      status.rate_limit = rate_limit, status.limit_age = now - met_at;
      status.remaining_share = rate_reduced_at > load_hints_at ? 0 : remaining_share;
    }
    return status;
  }
};

struct Endpoint {
  EndpointId id{};
  DestinationId destination{};
  ZoneId zone{};
  bool has_own_route = false;  // else it shares the route of its destination
  EndpointStatus status = EndpointStatus::ready;
  bool offline = false;  // taken out of service by an operator
  Route* route = nullptr;
  std::uint64_t rank = 0;
  int calls_in_flight = 0, consecutive_failures = 0,
      concurrency_limit = 0;       // calls in flight when it was last full
  bool refuses_when_full = false;  // by an answer, which costs little
  Millis deprioritized_until = -never, answered_at = -never, limit_met_at = -never,
         connection_cap_met_at = -never, idle_since = never, gone_at = never;
  Millis online_at = -never, not_before = -never;  // last set online; earliest next call after that
  AnswerTimes answer_times;  // not handed over: a new process learns them within its first calls
  auto fields() {
    return std::tie(id, destination, zone, has_own_route, status, offline, rank, calls_in_flight,
                    consecutive_failures, concurrency_limit, refuses_when_full, deprioritized_until,
                    answered_at, limit_met_at, connection_cap_met_at, idle_since, gone_at, online_at,
                    not_before);
  }
  bool accepts_calls() const { return status == EndpointStatus::ready && !offline; }
  RouteKey route_key() const {
    return {has_own_route, has_own_route ? std::uint64_t(id) : std::uint64_t(destination)};
  }
};

enum class CallStage { connecting, connected, started };

struct Call {
  Route* route = nullptr;
  Endpoint* endpoint = nullptr;
  Millis sent_at = 0;
  int document_count = 0;
  Millis endpoint_idle_time = 0;  // of the endpoint before this call
  bool counted = false, overdue = false, canceled = false;
  CallStage stage = CallStage::started;
  auto fields() {
    return std::tie(sent_at, document_count, endpoint_idle_time, counted, overdue, canceled, stage);
  }
};

struct Destination {
  std::vector<Endpoint*> ranked_endpoints;
  void add_endpoint(Endpoint* e) {
    ranked_endpoints.push_back(e), std::ranges::sort(ranked_endpoints, {}, &Endpoint::rank);
  }
  int document_count = 0;
  int ready_retry_safe = 0;  // documents ready to be sent whose type is not unsafe
  Millis expected_duration = 0;
  Millis retry_after_until = -never;  // earliest end over its endpoints
  // No endpoint takes a call: with the configured slots, and with one more.
  bool blocked[2] = {}, has_ready_document = false;
};

struct Doc {
  DocId id{};
  const DocType* type = nullptr;
  DestinationId destination_id{};
  Destination* destination = nullptr;
  bool over_tenant_share = false, ordered = false;
  KeyId key{};
  std::uint64_t sequence = 0;
  Millis soft_deadline = 0, expiry = 0, not_before = 0;
  int transmissions = 0, max_transmissions = 0, failures = 0, in_flight = 0;
  Millis may_have_run_at = never;  // when the first transmission that may have run was sent
  ZoneId may_have_run_zone{};
  bool may_have_run() const { return may_have_run_at < never; }
  auto fields() {
    return std::tie(id, destination_id, over_tenant_share, ordered, key, sequence, soft_deadline, expiry,
                    not_before, transmissions, max_transmissions, failures, in_flight, may_have_run_at,
                    may_have_run_zone);
  }
};

// The documents of one ordered key, by sequence. After an unknown outcome the next one waits until
// settled_at.
struct KeyQueue {
  std::set<std::uint64_t> waiting;
  std::set<DocId> unacknowledged_ends;  // ended here, not yet acknowledged by the platform
  int in_flight = 0;
  Millis settled_at = -never;
  auto fields() { return std::tie(waiting, unacknowledged_ends, in_flight, settled_at); }
  bool is_unused(Millis now) const {
    return waiting.empty() && unacknowledged_ends.empty() && in_flight == 0 && now >= settled_at;
  }
};

// Hash for rendezvous hashing: a fixed, evenly spread order of the endpoints of a destination (mixing steps
// of splitmix64).
inline std::uint64_t rendezvous_hash(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a * 0x9e3779b97f4a7c15ULL + b;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

}  // namespace rockcrank::state
