// Owns the types in which the decision module keeps what it knows of endpoints, calls and documents, and the
// sum that fades. It must never decide, nor hold a value that a decision depends on.
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

#include "decision/decision.h"
#include "decision/slow_start.h"

namespace rockcrank::state {

constexpr Millis never = 1e18;

enum class Mode { closed, open, trial, following };
struct Route;                                     // the module's own, with the spans of its sums
using RouteKey = std::pair<bool, std::uint64_t>;  // whether one endpoint; its id or the destination's

using Grade = std::tuple<int, double, double, std::uint64_t>;  // the smallest goes first

// One of an ordered list: a condition on a subject, and its effect.
template <typename Decider, typename Subject>
struct Rule {
  const char* name;
  bool (Decider::*when)(Subject&);
  void (Decider::*then)(Subject&);
};

// A sum that fades with its span, brought up to date when it is read.
class Fading {
 public:
  explicit Fading(Millis span) : span_(span) {}
  void add(Millis now, double amount) { sum_ = read(now) + amount; }
  double read(Millis now) {
    if (now > at_) sum_ *= std::exp((at_ - now) / span_);
    at_ = std::max(at_, now);
    return sum_;
  }
  double per_second(Millis now) { return read(now) * 1000 / span_; }
  // What one thing added so long ago still counts for.
  double weight_per_second(Millis ago) const { return std::exp(-ago / span_) * 1000 / span_; }
  auto fields() { return std::tie(at_, sum_); }

 private:
  Millis span_, at_ = 0;
  double sum_ = 0;
};

// Of a route: what limits and outages apply to, a destination or one endpoint where its routes are apart.
struct RouteMarks {
  std::uint64_t name = 0;
  int bundle_max = 1;
  double limit = 0, left_share = 1;  // calls a second from all relays, listed or told; 0: not known
  Millis hinted_at = -never, told_until = -never;
  Mode mode = Mode::closed;
  int endpoints = 0, failures_in_row = 0, refused_in_row = 0, follow_left = 0, calls_out = 0;
  Millis opened_at = -never, trial_at = 0, failing_since = never, cold_since = -never;
  double rate_before = 0, own_pace = 0, patience = 1, credit = 1;
  Millis paced_at = -never, credited_at = 0;
  Millis answered_at = -never, cap_met_at = -never;  // the last of its endpoints
  Millis down_at = -never;                           // the newest failure that opened it, here or elsewhere
  Millis failed_at = -never;                         // the newest failure seen here
  Millis hastened_at = -never;                       // its trial was drawn sooner, by what another relay told
  Millis learnt_at = -never, learnt_until = -never;  // from another relay: anything; a told wait
  SlowStartMonitor slow_start_monitor;
  bool news = false;  // for other relays
  bool keep = false;  // for this relay's next process
  auto fields() {
    return std::tie(name, bundle_max, limit, left_share, hinted_at, told_until, mode, endpoints,
                    failures_in_row, refused_in_row, follow_left, calls_out, opened_at, trial_at,
                    failing_since, cold_since, rate_before, own_pace, patience, credit, paced_at, credited_at,
                    answered_at, cap_met_at, down_at, failed_at, hastened_at, learnt_at, learnt_until, news,
                    keep);
  }

  const char* mode_name() const {
    static const char* const names[] = {"closed", "open", "trial", "following"};
    return names[static_cast<int>(mode)];
  }
  // A line of the log: an event, and what goes with it, by name.
  using Field = std::pair<const char*, double>;
  std::string line(const char* event, std::initializer_list<Field> fields) const {
    char text[120];
    std::snprintf(text, sizeof text, "event=%s route=%llx breaker=%s", event, 0ULL + name, mode_name());
    std::string told = text;
    for (const auto& [field, value] : fields) {
      std::snprintf(text, sizeof text, " %s=%.4g", field, value);
      told += text;
    }
    return told;
  }

  Millis binds_until(Millis warm, Millis memory) const {
    return std::max({told_until, cold_since + warm, learnt_at + memory});
  }

  // As other relays are told: a met limit without hints has nothing left; a wait that another relay told is
  // not told on, as on its way it would grow.
  RouteStatus known(bool apart, Millis now, bool cold, bool all) const {
    RouteStatus to;
    to.per_endpoint = apart, to.route = name;
    bool down = mode == Mode::open || mode == Mode::trial, returning = cold && cold_since <= now;
    if (all || told_until > learnt_until) to.retry_after_left = std::max(0.0, told_until - now);
    to.state = down ? RouteState::down : returning ? RouteState::recovering : RouteState::healthy;
    to.state_age = now - (down        ? down_at
                          : returning ? cold_since
                                      : answered_at),
    to.rate_before_outage = rate_before;
    Millis met_at = std::max(hinted_at, paced_at);
    if (limit > 0 && met_at > -never) {
      to.rate_limit = limit, to.limit_age = now - met_at;
      to.remaining_share = paced_at > hinted_at ? 0 : left_share;
    }
    return to;
  }
};

struct Endpoint {
  EndpointId id{};
  DestinationId destination{};
  ZoneId hall{};
  bool apart = false;  // its route is its own
  EndpointStatus standing = EndpointStatus::ready;
  bool out = false;  // taken out by staff, whatever the list says
  Route* route = nullptr;
  std::uint64_t rank = 0;
  int calls_out = 0, failures_in_row = 0, room = 0;  // room: calls when it was last full
  bool turns_away = false;                           // full, told by refusals, which cost little
  Millis rests_until = -never, answered_at = -never, room_met_at = -never, cap_met_at = -never,
         idle_since = never, gone_at = never;     // cap: of connections, idle ones counted
  Millis back_at = -never, paced_until = -never;  // put back by staff; the next call there not before
  auto fields() {
    return std::tie(id, destination, hall, apart, standing, out, rank, calls_out, failures_in_row, room,
                    turns_away, rests_until, answered_at, room_met_at, cap_met_at, idle_since, gone_at,
                    back_at, paced_until);
  }
  bool open() const { return standing == EndpointStatus::ready && !out; }
  RouteKey key() const { return {apart, apart ? std::uint64_t(id) : std::uint64_t(destination)}; }
};

enum class Stage { connecting, up, begun };

struct Call {
  Route* route = nullptr;
  Endpoint* endpoint = nullptr;
  Millis sent = 0;
  int docs = 0;
  Millis idle = 0;  // how long the endpoint had had no call before this one
  bool counted = false, overdue = false, called_off = false;
  Stage stage = Stage::begun;
  auto fields() { return std::tie(sent, docs, idle, counted, overdue, called_off, stage); }
};

struct Destination {
  std::vector<Endpoint*> ranked;
  void rank(Endpoint* e) { ranked.push_back(e), std::ranges::sort(ranked, {}, &Endpoint::rank); }
  int docs = 0;                       // held for it
  int harmless = 0;                   // of those that could go now, the ones that may run again
  Millis lead = 0;                    // the usual time of a call there
  Millis told_until = -never;         // told to wait, wherever it might go
  bool shut[2] = {}, wanted = false;  // no endpoint takes a call, with the slots and with one more
};

struct Doc {
  DocId id{};
  const DocType* type = nullptr;
  DestinationId destination{};
  Destination* to = nullptr;
  bool over_share = false, ordered = false;
  KeyId key{};
  std::uint64_t turn_taken = 0;
  Millis agreed_by = 0, expiry = 0, not_before = 0;
  int tries = 0, most = 0, failures = 0, out = 0;
  Millis risked_at = never;  // the send of the first transmission that may have run
  ZoneId risked_hall{};
  bool may_have_run() const { return risked_at < never; }
  auto fields() {
    return std::tie(id, destination, over_share, ordered, key, turn_taken, agreed_by, expiry, not_before,
                    tries, most, failures, out, risked_at, risked_hall);
  }
};

// Documents of one key, in the order taken; the key rests after an outcome that leaves the effect unknown.
struct KeyLane {
  std::set<std::uint64_t> waiting;
  std::set<DocId> untold;  // ended, but not over for the platform yet
  int out = 0;
  Millis rests_until = -never;
  auto fields() { return std::tie(waiting, untold, out, rests_until); }
  bool is_over(Millis now) const {
    return waiting.empty() && untold.empty() && out == 0 && now >= rests_until;
  }
};

// A fixed order of endpoints, as if by chance.
inline std::uint64_t mixed(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a * 0x9e3779b97f4a7c15ULL + b;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

}  // namespace rockcrank::state
