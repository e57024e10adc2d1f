// A destination that returns cold bears only so much from all relays together. Each relay decides alone, so
// this plays a whole fleet of decision modules on a virtual clock against one destination that fails for a
// while, and sums the calls of all of them after its return.
//
// The bound is the operators' (STANDING.md): over each span of the fall time at most N + 2 sqrt(N) + 2 calls,
// N being the fall multiple x the present capacity, summed over the span. All calls count: trials, first
// calls on a new connection, calls turned away, and connections that are opened ahead. The rule is broken
// where a span holds more and over two thirds of it came from relays that had been told of the outage; where
// all of them were told, and they tell one another, no span may hold more at all.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "decision/decision.h"

namespace rockcrank {
namespace {

constexpr Millis tick = 5;
constexpr Millis outage_from = 30000;  // by then every relay knows its own rate
constexpr Millis outage_to = 42000;
constexpr Millis played_past_return = 25000;
constexpr Millis restart_after = 2000;  // the return
constexpr Millis fall_time = 2000;
constexpr Millis call_time = 120;
constexpr Millis link_time = 30;  // of what one relay tells the others
constexpr Millis refused_connection_time = 10;
constexpr EndpointId the_endpoint{1};
constexpr DestinationId the_destination{1};

enum class OutageAs { not_connected, silent, refused };
enum class Restart { none, forgets, remembers };  // remembers: it learns what it knew, as from its state file

struct Case {
  OutageAs outage = OutageAs::not_connected;
  bool relays_talk = false;         // what one relay learns reaches all others, at the same moment
  double untold = 0;                // share of relays with no message for the destination during the outage
  Restart restart = Restart::none;  // of one relay, in the middle of the return
  bool turns_away_excess = false;   // calls above the present capacity are refused
  int relays = 20;
  bool limits_listed = false;
};

// What a seed draws: how much traffic there is, how it spreads, and what the destination can take.
struct Site {
  double messages_a_second = 0;  // of all relays
  double limit = 0;              // calls a second
  double capacity = 0;           // calls a second, warm
  double start_capacity = 0;     // share of it at the return
  double fall_multiple = 0;
  Millis warm_within = 0;
  std::vector<double> relay_rates;  // messages a second
};

Site draw_site(int relays, std::mt19937_64& chance) {
  auto drawn = [&](double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(chance);
  };
  Site site;
  site.messages_a_second = std::exp(drawn(std::log(3), std::log(30)));
  site.limit = site.messages_a_second * drawn(1.0, 1.6);
  site.capacity = site.limit * drawn(1.15, 1.6);
  site.start_capacity = drawn(0.14, 0.31);
  site.fall_multiple = drawn(0, 1) < 0.5 ? 2 : 2.5;
  site.warm_within = drawn(9000, 14000);
  std::lognormal_distribution<double> skew(0, 0.7);  // some relays see several times the mean
  double sum = 0;
  for (int i = 0; i < relays; ++i) sum += site.relay_rates.emplace_back(skew(chance));
  for (double& rate : site.relay_rates) rate *= site.messages_a_second / sum;
  return site;
}

// Plays one case with one seed and keeps the moments at which calls reached the destination after its return.
class ColdFleet {
 public:
  ColdFleet(const Case& played, std::uint64_t seed)
      : case_(played), chance_(seed), site_(draw_site(played.relays, chance_)) {
    settings_.relays = case_.relays;
    settings_.slots = 20;
    settings_.max_transmissions = 12;
    settings_.tick = tick;
    settings_.connect_within = 1500;
    settings_.fall_multiple = site_.fall_multiple;
    settings_.start_capacity = site_.start_capacity;
    settings_.warm_within = site_.warm_within;
    settings_.limits_listed = case_.limits_listed;
    settings_.reject_wait_max = 3000;
    DocType type;
    type.agreed_time = 4000;
    type.lifetime = 20000;
    type.repeat = Repeat::replayable;
    settings_.doc_types = {type};
    settings_.kinds = {Kind{}};
    relays_.resize(static_cast<std::size_t>(case_.relays));
    for (std::size_t i = 0; i < relays_.size(); ++i) {
      relays_[i].is_told = static_cast<double>(i) >= case_.untold * case_.relays;
      start(i, drawn(0, 1000));
      schedule(drawn(0, 1000) + next_gap(i), Event::arrival, i);
    }
    if (case_.restart != Restart::none)
      schedule(outage_to + restart_after, Event::restart, relays_.size() - 1);
  }

  void play() {
    while (!events_.empty()) {
      Event event = events_.top();
      events_.pop();
      if (event.at > outage_to + played_past_return) break;
      now_ = event.at;
      carry_out(event);
    }
  }

  struct Span {
    double calls = 0, told = 0, allowed = 0;
    Millis since_return = 0;
    double over() const { return calls - allowed; }
    bool breaks_rule() const { return calls > allowed && told > calls * 2 / 3; }
  };

  // The span that comes nearest to the bound or goes furthest beyond it; one that breaks the rule before
  // others.
  Span worst() const {
    Span worst;
    for (std::size_t first = 0; first < calls_.size(); ++first) {
      Span span = span_from(first);
      auto rank = [](const Span& one) { return std::pair(one.breaks_rule(), one.over()); };
      if (first == 0 || rank(span) > rank(worst)) worst = span;
    }
    return worst;
  }
  std::size_t calls_after_return() const { return calls_.size(); }

 private:
  struct Event {
    enum Kind { arrival, wake, outcome, learnt, restart, open_ahead } kind;
    Millis at;
    std::uint64_t order;
    std::size_t relay;
    std::uint64_t number = 0;  // of an outcome or of something learnt; of a wake: which is in force
    bool operator<(const Event& other) const {  // the queue hands out the greatest
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };
  struct Held {
    Millis expiry;
    int transmissions = 0;
    bool may_have_run = false;
  };
  struct Relay {
    std::unique_ptr<Decision> decision;
    std::map<DocId, Held> held;
    std::uint64_t life = 0, wake = 0;
    bool is_told = true;      // has messages during the outage
    bool saw_outage = false;  // a call failed there, or another relay told of it
    int up = 0;               // connections
  };
  struct Call {
    Millis at;
    std::size_t relay;
    bool was_told;
  };
  struct Answer {
    Outcome outcome;
    std::uint64_t life;
  };

  double drawn(double low, double high) { return std::uniform_real_distribution<double>(low, high)(chance_); }
  Millis next_gap(std::size_t relay) {
    return 1000 * std::exponential_distribution<double>(site_.relay_rates[relay])(chance_);
  }
  // The wake-ups of relays are rounded up to their tick, at a phase of their own.
  void schedule(Millis at, Event::Kind kind, std::size_t relay, std::uint64_t number = 0) {
    events_.push({kind, at, ++order_, relay, number});
  }

  double capacity_at(Millis when) const {
    double age = std::clamp((when - outage_to) / site_.warm_within, 0.0, 1.0);
    return site_.capacity * (site_.start_capacity + (1 - site_.start_capacity) * age);
  }
  Span span_from(std::size_t first) const {
    Span span;
    Millis from = calls_[first].at, to = std::min(from + fall_time, outage_to + site_.warm_within);
    for (std::size_t i = first; i < calls_.size() && calls_[i].at <= to; ++i)
      ++span.calls, span.told += calls_[i].was_told;
    double settings_allow = allowed_from(from);
    span.allowed = settings_allow + 2 * std::sqrt(settings_allow) + 2;
    span.since_return = from - outage_to;
    return span;
  }
  double allowed_from(Millis from) const {
    constexpr int steps = 100;
    double sum = 0;
    for (int i = 0; i < steps; ++i)
      sum += capacity_at(from + fall_time * (i + 0.5) / steps) * fall_time / 1000 / steps;
    return site_.fall_multiple * sum;
  }

  void start(std::size_t i, Millis at) {
    Relay& relay = relays_[i];
    relay.decision = Decision::make(settings_, chance_());
    relay.decision->begin(at);
    EndpointEntry entry;
    entry.endpoint = the_endpoint;
    entry.destination = the_destination;
    entry.listed_rate = settings_.limits_listed ? site_.limit : 0;
    relay.decision->list({entry}, true);
  }

  void carry_out(const Event& event) {
    Relay& relay = relays_[event.relay];
    Decision& decision = *relay.decision;
    bool stale = (event.kind == Event::wake && event.number != relay.wake) ||
                 (event.kind == Event::outcome && answers_.at(event.number).life != relay.life);
    if (stale) return;
    if (event.kind == Event::arrival) {
      schedule(now_ + next_gap(event.relay), Event::arrival, event.relay);
      bool quiet = !relay.is_told && now_ > outage_from - call_time && now_ < outage_to;
      if (quiet) return;
    }
    if (event.kind == Event::restart) {
      restart(event.relay);
      return;
    }
    decision.begin(now_);
    if (event.kind == Event::arrival) arrive(relay);
    if (event.kind == Event::outcome) end_call(relay, answers_.at(event.number).outcome);
    if (event.kind == Event::learnt) learn(relay, learnt_.at(event.number));
    if (event.kind == Event::open_ahead) open_ahead(event.relay);
    decide(event.relay);
  }

  void arrive(Relay& relay) {
    Document document;
    document.id = DocId(++documents_);
    document.destination = the_destination;
    document.left = settings_.doc_types[0].lifetime;
    relay.held[document.id] = {now_ + document.left};
    relay.decision->take(document);
  }

  void end_call(Relay& relay, Outcome outcome) {
    auto held = relay.held.find(outcome.doc);
    bool answered = outcome.ending == Ending::answered;
    outcome.over = answered || held == relay.held.end();
    Millis sent = now_ - outcome.took;
    relay.saw_outage |= !answered && sent >= outage_from && sent < outage_to;
    relay.decision->outcome(outcome);
    if (!answered || held == relay.held.end()) return;
    relay.held.erase(held);
  }

  void learn(Relay& relay, const Knowledge& known) {
    relay.saw_outage |= known.state != RouteState::well;
    relay.decision->learn(known);
  }

  // A new process: it has its messages, and what it knew only where it remembers.
  void restart(std::size_t i) {
    Relay& relay = relays_[i];
    bool remembers = case_.restart == Restart::remembers;
    std::vector<Knowledge> knew;
    if (remembers) knew = relay.decision->knowledge(true);
    ++relay.life, relay.up = 0, relay.saw_outage &= remembers;
    start(i, now_);
    for (const auto& known : knew) relay.decision->learn(known);
    for (auto& [id, held] : relay.held) {
      Document document;
      document.id = id;
      document.destination = the_destination;
      document.left = held.expiry - now_;
      document.transmissions = held.transmissions;
      document.may_have_run = held.may_have_run;
      relay.decision->take(document);
    }
    schedule(now_ + tick, Event::open_ahead, i);
    decide(i);
  }

  void open_ahead(std::size_t i) {
    Relay& relay = relays_[i];
    if (!relay.decision->may_open_ahead(the_endpoint, relay.up)) return;
    ++relay.up;
    reached(i);
    schedule(now_ + 100, Event::open_ahead, i);
  }

  void reached(std::size_t relay) {
    if (now_ >= outage_to) calls_.push_back({now_, relay, relays_[relay].saw_outage});
  }

  void decide(std::size_t i) {
    Relay& relay = relays_[i];
    Decided done = relay.decision->decide();
    for (const auto& rejected : done.rejected) relay.held.erase(rejected.doc);
    for (DocId doc : done.abandoned) relay.held.erase(doc);
    for (const auto& transmit : done.transmitted) send(i, transmit);
    if (case_.relays_talk)
      for (const auto& known : relay.decision->knowledge(false)) tell_all(i, known);
    ++relay.wake;
    if (done.wake_in >= 0) {
      Millis ticks = std::ceil(std::max(done.wake_in, 1.0) / tick);
      schedule(now_ + ticks * tick, Event::wake, i, relay.wake);
    }
  }

  void tell_all(std::size_t from, const Knowledge& known) {
    learnt_.push_back(known);
    for (std::size_t i = 0; i < relays_.size(); ++i)
      if (i != from) schedule(now_ + link_time, Event::learnt, i, learnt_.size() - 1);
  }

  void send(std::size_t i, const Transmit& transmit) {
    Relay& relay = relays_[i];
    Held& held = relay.held.at(transmit.doc);
    Outcome outcome;
    outcome.doc = transmit.doc;
    outcome.endpoint = transmit.endpoint;
    outcome.transmission = held.transmissions++;
    outcome.ending = Ending::answered;
    outcome.took = call_time;
    bool down = now_ >= outage_from && now_ < outage_to;
    if (down) fail(outcome, transmit);
    else if (now_ >= outage_to && case_.turns_away_excess && !has_room()) {
      outcome.ending = Ending::refused;
      outcome.took = refused_connection_time;
    }
    held.may_have_run |= outcome.ending == Ending::timed_out;
    reached(i);
    answers_.push_back({outcome, relay.life});
    schedule(now_ + outcome.took, Event::outcome, i, answers_.size() - 1);
  }

  void fail(Outcome& outcome, const Transmit& transmit) {
    outcome.ending = case_.outage == OutageAs::not_connected ? Ending::not_connected
                     : case_.outage == OutageAs::refused     ? Ending::refused
                                                             : Ending::timed_out;
    outcome.took = case_.outage == OutageAs::silent ? transmit.time_out : refused_connection_time;
  }

  // What the destination takes now: its present capacity, and a queue of half a second of it.
  bool has_room() {
    double rate = capacity_at(now_);
    queued_ = std::max(0.0, queued_ - rate * (now_ - queued_at_) / 1000);
    queued_at_ = now_;
    if (queued_ + 1 > std::max(1.0, 0.5 * rate) + 1) return false;
    ++queued_;
    return true;
  }

  const Case case_;
  std::mt19937_64 chance_;
  const Site site_;
  Settings settings_;
  std::vector<Relay> relays_;
  std::priority_queue<Event> events_;
  std::vector<Answer> answers_;
  std::vector<Knowledge> learnt_;
  std::vector<Call> calls_;
  Millis now_ = 0, queued_at_ = 0;
  double queued_ = 0;
  std::uint64_t order_ = 0, documents_ = 0;
};

enum class Bound { no_span_over, rule };

constexpr std::uint64_t seeds = 6;

std::string described(const Case& played, std::uint64_t seed) {
  const char* outages[] = {"not connected", "silent", "refused"};
  return std::to_string(played.relays) + " relays, outage " + outages[int(played.outage)] +
         (played.limits_listed ? ", limits listed" : "") + ", seed " + std::to_string(seed);
}

// Plays fleets of each size, with and without listed limits, with several seeds each.
void expect_bears(Case played, Bound bound) {
  for (int relays : {20, 30, 300})
    for (bool limits_listed : {false, true})
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        played.relays = relays, played.limits_listed = limits_listed;
        ColdFleet fleet(played, seed);
        fleet.play();
        auto worst = fleet.worst();
        EXPECT_GT(fleet.calls_after_return(), 0u) << described(played, seed);
        bool holds = bound == Bound::rule ? !worst.breaks_rule() : worst.over() <= 0;
        EXPECT_TRUE(holds) << described(played, seed) << ": " << worst.calls << " calls, " << worst.told
                           << " of them by relays told of the outage, of " << worst.allowed << " allowed, "
                           << worst.since_return << " ms after the return";
      }
}

TEST(ColdFleet, AllLearnOfTheReturnAtOnce) {
  for (auto outage : {OutageAs::not_connected, OutageAs::silent})
    for (bool turns_away_excess : {false, true}) {
      Case played{outage, true};
      played.turns_away_excess = turns_away_excess;
      expect_bears(played, Bound::no_span_over);
    }
}

TEST(ColdFleet, SomeWereNeverToldOfTheOutage) {
  expect_bears({OutageAs::not_connected, false, 0.2}, Bound::rule);
  for (auto outage : {OutageAs::not_connected, OutageAs::silent})
    expect_bears({outage, true, 0.2}, Bound::no_span_over);
}

TEST(ColdFleet, OneRestartsDuringTheReturn) {
  for (auto outage : {OutageAs::not_connected, OutageAs::silent})
    for (auto restart : {Restart::forgets, Restart::remembers})
      expect_bears({outage, true, 0, restart}, Bound::rule);
}

TEST(ColdFleet, EachRelayAlone) {
  for (auto outage : {OutageAs::not_connected, OutageAs::silent}) expect_bears({outage}, Bound::rule);
}

TEST(ColdFleet, DestinationThatRefusesAll) {
  for (bool relays_talk : {false, true}) expect_bears({OutageAs::refused, relays_talk}, Bound::rule);
}

}  // namespace
}  // namespace rockcrank
