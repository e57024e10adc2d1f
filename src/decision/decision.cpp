// All decisions of rockcrank. The interface is decision.h: a host reports what happened in a turn and calls
// decide(), which goes through the ordered rules at the end of this file until none fires. docs/design.md
// says which parts are the design's and under which condition each departure acts.
#include "decision/decision.h"

#include <deque>
#include <random>

#include "decision/carry.h"
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

namespace {

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
                    took_, timed_, late_, hung_, idle_breaks_, unconnected_, again_good_, again_bad_);
  }

 public:
  Decider(const Settings& settings, std::uint64_t seed)
      : set_(settings), chance_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {
    for (const auto& type : set_.doc_types)
      longest_life_ = std::max(longest_life_, types_.emplace_back(type).lifetime);
    retune(settings);
  }

  // Documents point to the type they were taken on with, so types are only ever added.
  DocTypeId number_of(const DocType& type) override {
    auto found = std::ranges::find(types_, type);
    if (found == types_.end()) found = types_.insert(types_.end(), type);
    longest_life_ = std::max(longest_life_, type.lifetime);
    return DocTypeId(found - types_.begin());
  }

  void retune(const Settings& settings) override {
    set_ = settings;
    slow_start_ = SlowStart(settings);
    shares_.resize(set_.tenant_rates.size(), {Fading(10000), 0});
    for (std::size_t i = 0; i < shares_.size(); ++i) shares_[i].second = set_.tenant_rates[i] / set_.relays;
  }

  void begin(Millis now) override {
    // A stall of the relay itself: what fell due meanwhile must not go at once, so its waits are drawn anew.
    if (now > due_ + stall && due_ > 0)
      for (auto& [id, doc] : docs_)
        if (doc.tries > 0 && doc.not_before <= now) doc.not_before = now + drawn(0, ladder_base);
    now_ = now, done_ = {}, bundles_.clear();
  }

  void list(const std::vector<EndpointEntry>& entries, bool whole) override {
    list_failures_ = 0;
    if (follow_at_ == 0)
      follow_at_ = now_ + drawn(0, list_spread());  // started with a list, as all others may be
    if (whole)
      for (auto& [id, endpoint] : endpoints_) endpoint.standing = Standing::gone, used_.insert(id);
    for (const auto& entry : entries) {
      if (entry.standing != Standing::listed && !endpoints_.count(entry.endpoint)) continue;
      Endpoint& endpoint = endpoints_[entry.endpoint];
      if (!endpoint.route) {
        const Kind& kind = set_.kinds[static_cast<std::size_t>(entry.kind)];
        endpoint.id = entry.endpoint, endpoint.hall = entry.hall, endpoint.apart = kind.routes_apart;
        endpoint.destination = entry.destination, endpoint.out = outs_.count(entry.endpoint) > 0;
        Route& route = *(endpoint.route = &routes_[endpoint.key()]);
        route.name = endpoint.key().second, route.bundle_max = kind.bundle_max, ++route.endpoints;
        // Ranked by hashing; endpoints in the relay's own hall come first, as a crossing costs.
        endpoint.rank = mixed(std::uint64_t(entry.destination), std::uint64_t(entry.endpoint)) >> 1;
        if (endpoint.hall != set_.hall) endpoint.rank |= std::uint64_t{1} << 63;
        destinations_[entry.destination].rank(&endpoint);
      }
      endpoint.standing = entry.standing, used_.insert(entry.endpoint);
      if (set_.limits_listed && endpoint.route->hinted_at <= -never)
        endpoint.route->limit = entry.listed_rate;
    }
    for (auto& [id, endpoint] : endpoints_)
      endpoint.gone_at = endpoint.standing == Standing::gone ? std::min(endpoint.gone_at, now_) : never;
  }

  // Guards against a herd: who asks again soon keeps discovery at answers that come too late. The ladder has
  // the time that all need one by one, but leaves of the protocol's 6 s what discovery may take, 2 s.
  void list_failed(bool turned_away, Millis took) override {
    if (set_.list_at_hand && !turned_away) return void(follow_at_ = now_ + drawn(0, ladder_base));
    Millis first = std::max(ladder_base, turned_away ? list_spread() : 0);
    Millis pause = 2 * first / ladder_base * ladder(std::min(++list_failures_, 3));
    follow_at_ = now_ + drawn(0, std::min(pause, std::max(ladder_base / 2, follow_within - took)));
  }
  Millis list_spread() const { return set_.list_at_hand ? 0 : std::min(follow_within, 100.0 * set_.relays); }

  void take(const Document& given) override {
    if (given.ended) return void(lanes_[given.key].untold.insert(given.id));
    Doc& doc = docs_[given.id];
    doc.destination = given.destination;
    doc.id = given.id, doc.to = &destinations_[given.destination], doc.expiry = now_ + given.left;
    doc.type = &types_[static_cast<std::size_t>(given.type)];
    doc.most = given.most > 0 ? given.most : set_.max_transmissions;
    // A document handed in with less left than its agreed time is in a hurry, not late.
    doc.agreed_by = given.left < doc.type->agreed_time && given.transmissions == 0
                        ? doc.expiry - margin()
                        : doc.expiry - doc.type->lifetime + doc.type->agreed_time;
    doc.turn_taken = ++taken_, ++doc.to->docs, doc.key = given.key, doc.tries = given.transmissions;
    doc.ordered = doc.type->in_order && given.has_key;
    if (doc.ordered) lanes_[doc.key].waiting.insert(doc.turn_taken);
    // Recovered after a restart: a transmission that was out may have run, and its key rests.
    if (given.may_have_run) {
      doc.risked_at = now_ - given.risked_ago, doc.risked_hall = given.risked_hall;
      if (doc.ordered) lanes_[doc.key].rests_until = now_ + set_.order_rest;
    }
    if (auto tenant = static_cast<std::size_t>(given.tenant); tenant < shares_.size()) {
      shares_[tenant].first.add(now_, 1);
      doc.over_share = shares_[tenant].first.per_second(now_) > shares_[tenant].second * share_slack;
    }
  }

  void outcome(const Outcome& got) override {
    auto found = out_.find({got.doc, got.transmission});
    if (found == out_.end()) return;
    auto [call_number, lane_key, ordered] = found->second;
    out_.erase(found);
    Call& call = calls_[call_number];
    bool ran_out = got.ending == Ending::timed_out, off = got.ending == Ending::called_off;
    bool unknown = ran_out || off || got.ending == Ending::broken;
    if (ordered) {
      KeyLane& lane = lanes_[lane_key];
      --lane.out;
      if (unknown) lane.rests_until = std::max(lane.rests_until, now_ + set_.order_rest);
    }
    // Rule 6: a told wait binds every send of the route; each document of a bundle may name its own.
    if (got.wait > 0) call.route->news = told_wait(*call.route, now_ + got.wait, spent(got.hints));
    Millis overdue = overdue_after(*call.route);
    if ((ran_out || off) && got.took > 1.1 * overdue / call.route->patience) hung_.add(now_, 1);
    if (got.ending == Ending::answered) call.route->answered.add(now_, 1);
    // A call cut short by its document's expiry says nothing of the destination.
    bool tells = got.ending != Ending::not_sent && !off && !(ran_out && got.took < overdue);
    if (!call.counted && tells) count(call, got);
    call.counted = true;
    if (--call.docs == 0) {
      --call.route->calls_out;
      if (--call.endpoint->calls_out == 0) call.endpoint->idle_since = now_;
      used_.insert(call.endpoint->id);
      pass(call, Stage::up), --calls_out_, freed_ -= call.called_off;
    }
    if (auto holder = docs_.find(got.doc); holder != docs_.end()) {
      Doc& doc = holder->second;
      --doc.out;
      if (got.spent) doc.most = std::min(doc.most, doc.tries);
      if ((unknown || got.ending == Ending::error) && !doc.may_have_run())
        doc.risked_at = call.sent, doc.risked_hall = call.endpoint->hall;
      if (got.over) close(doc);
      else {
        // The ladder, also where no slot or socket was free: base x 2^(try-1), varied; after a refusal by all
        // of itself from the end of a told wait, so that what was refused together comes again apart.
        Millis pause = ladder(++doc.failures);
        doc.not_before = now_ + (got.ending == Ending::refused ? drawn(0, 2) * pause : varied(pause));
        if (got.wait > 0 && !choose(doc, set_.slots + 1)) doc.not_before += got.wait;
        note_failed_attempt(doc, got, *call.route);
      }
    }
    if (call.docs == 0) calls_.erase(call_number);
  }

  void withdraw(DocId id) override {
    if (docs_.count(id)) close(docs_[id]);
    for (auto& [key, lane] : lanes_) lane.untold.erase(id);
  }

  // Whatever is put back is cold: the route where it is the only one open, else the endpoint alone.
  void set_out(EndpointId id, bool out) override {
    if (!(out ? outs_.insert(id).second : outs_.erase(id) > 0) || !endpoints_.count(id)) return;
    Endpoint& e = endpoints_[id];
    Route& route = *e.route;
    used_.insert(id), e.out = out;
    if (out) return note_rate(route);
    e.back_at = now_;
    bool alone = std::ranges::none_of(endpoints_, [&](const auto& other) {
      return other.second.route == &route && other.first != id && other.second.open();
    });
    if (alone) cold_from(route, now_);
  }
  void hold(bool held) override { held_ = held; }

  std::string hand_over() override {
    Carried all;
    all.put(parts());
    for (auto& [id, e] : endpoints_) all.add("endpoints", id, e);
    for (auto& [number, call] : calls_) all.add("calls", std::pair(number, call.endpoint->id), call);
    for (auto& [id, doc] : docs_) all.add("docs", *doc.type, doc);
    return all.text();
  }
  void take_over(const std::string& state) override {
    Carried all(state);
    all.get(parts());
    all.each<EndpointId, Endpoint>("endpoints", [&](EndpointId id, const Endpoint& e) {
      (endpoints_[id] = e).route = &routes_.at(e.key());
      destinations_[e.destination].rank(&endpoints_[id]);
    });
    all.each<std::pair<std::uint64_t, EndpointId>, Call>("calls", [&](const auto& where, const Call& call) {
      (calls_[where.first] = call).endpoint = &endpoints_.at(where.second);
      calls_[where.first].route = endpoints_.at(where.second).route;
    });
    all.each<DocType, Doc>("docs", [&](const DocType& type, const Doc& doc) {
      (docs_[doc.id] = doc).type = &types_[static_cast<std::size_t>(number_of(type))];
      docs_[doc.id].to = &destinations_[doc.destination], ++docs_[doc.id].to->docs;
    });
    follow_at_ = set_.list_on_request ? 0 : never;
  }

  void leave(Millis within) override { leave_at_ = now_ + within; }
  bool has_room() const override { return set_.room == 0 || static_cast<int>(docs_.size()) < set_.room; }
  bool knows(DestinationId at) const override {
    return destinations_.count(at) && !destinations_.at(at).ranked.empty();
  }
  // At the door: after the ladder's first step, or when the destination may take a call, if that is later.
  Millis come_back(DestinationId id) override {
    Millis free = knows(id) ? free_at(destinations_[id]) : never, pause = varied(ladder_base);
    return std::min(set_.reject_wait_max, free < never ? std::max(pause, free - now_) : pause);
  }
  void connecting(DocId doc, int transmission) override {
    auto found = out_.find({doc, transmission});
    if (found != out_.end()) pass(calls_[std::get<0>(found->second)], Stage::connecting);
  }
  // Rules 3 and 6 hold for the moment of sending too. Calls that are up wait for a slot before any new one.
  MayBegin may_begin(DocId doc, int transmission) override {
    auto found = out_.find({doc, transmission});
    if (found == out_.end()) return MayBegin::never;
    const std::uint64_t number = std::get<0>(found->second);
    Call& call = calls_[number];
    pass(call, Stage::up);
    if (const char* reason = overtaken_by(call, number)) {
      ++counters_.not_begun;
      log(*call.route, (std::string("not_begun reason=") + reason).c_str(), {{"message", double(doc)}});
      return MayBegin::never;
    }
    if (begun_ >= set_.slots) return MayBegin::later;
    pass(call, Stage::begun);
    if (auto held = docs_.find(doc); held != docs_.end()) check_writing(held->second, *call.endpoint);
    return MayBegin::now;
  }
  // What came between a call's choice and the moment at which its connection is up, or null.
  const char* overtaken_by(const Call& call, std::uint64_t number) {
    if (now_ < call.route->told_until) return "told_wait";
    if (!call.endpoint->open()) return "closed_endpoint";
    if (is_out_since(call)) return "slow_start";
    // Guards against connections that come up late: by then the destination may have forgotten a mark.
    for (const auto& [transmission, entry] : out_)
      if (auto held = docs_.find(transmission.first); std::get<0>(entry) == number)
        if (held != docs_.end() && !marked(held->second, now_)) return "window";
    return nullptr;
  }
  // Guards against a call chosen before its destination was known to be out or in slow start, whose
  // connection comes up later: the destination's pace has no room for it.
  bool is_out_since(const Call& call) {
    Route& route = *call.route;
    if (call.stage == Stage::begun) return false;
    if (route.mode == Mode::open) return true;
    bool since_chosen = is_cold(route) ? call.sent < route.cold_since && route.mode == Mode::closed
                                       : is_suspected(route) && call.sent < route.failing_since;
    return since_chosen && free_at(route) > now_;
  }
  const Counters& counters() const override { return counters_; }
  Millis pause_after(int failures) override { return varied(ladder(failures)); }

  std::vector<Knowledge> knowledge(bool all) override {
    std::vector<Knowledge> known;
    for (auto& [key, route] : routes_) {
      if (!all && !std::exchange(route.news, false)) continue;
      auto one = route.known(key.first, now_, is_cold(route), all);
      if (!all || one.told_left > 0 || one.state != RouteState::well || one.limit > 0) known.push_back(one);
    }
    return known;
  }
  std::vector<Knowledge> to_keep() override {
    std::vector<Knowledge> kept;
    for (auto& [key, route] : routes_) {
      if (!std::exchange(route.keep, false)) continue;
      auto one = route.known(key.first, now_, is_cold(route), true);
      if (is_suspected(route)) one.state = RouteState::down, one.state_age = now_ - route.failed_at;
      one.own = true;
      kept.push_back(one);
    }
    return kept;
  }
  // Counts as if seen here then, where nothing newer was. A route that the list has not named gets no call by
  // it, and is forgotten as a document of now would be. Well elsewhere, while it is shut here: its trial goes
  // sooner, at a moment drawn from what a cold destination bears of this relay.
  void learn(const Knowledge& k) override {
    RouteKey key{k.apart, k.route};
    if (!routes_.count(key) && routes_.size() > endpoints_.size() + learnt_most) return;
    Route& route = routes_[key];
    const bool news = route.news, shut = route.mode == Mode::open || route.mode == Mode::trial;
    Millis seen = now_ - k.state_age, met = now_ - k.limit_age, until = now_ + k.told_left;
    Millis back = route.cold_since > now_ ? -never : route.cold_since, oldest = now_ - longest_life_;
    route.name = k.route, route.learnt_at = now_;
    // Another relay's refusal is one more, in a row with this relay's own.
    if (k.limit > 0 && k.left_share < 0.1 && met > route.answered_at && route.refused_in_row > 0)
      ++route.refused_in_row;
    if (k.limit > 0 && met > std::max({route.hinted_at, route.paced_at, oldest}))
      route.limit = k.limit, route.left_share = k.left_share, route.hinted_at = met;
    if (k.told_left > 0 && until > route.told_until)
      told_wait(route, route.learnt_until = until, k.left_share < 0.1 && now_ < met + longest_span);
    // Another relay's rate says nothing of this one's part.
    double own_rate = k.own ? k.rate_before : 0;
    // Of relays that return one after another each tells of its own trial: the first word of a return counts.
    if (k.state == RouteState::returning && !return_is_known(route) &&
        seen > std::max(back, now_ - set_.warm_within))
      note_rate(route, own_rate), cold_from(route, seen);
    if (k.state == RouteState::down && !shut && seen >= std::max({route.answered_at, back, oldest})) {
      note_rate(route, own_rate), route.failing_since = std::min(route.failing_since, now_);
      route.bad.add(now_, failures_to_open), open(route), route.down_at = seen;
    } else if (k.state != RouteState::down && route.mode == Mode::open && seen > route.down_at) {
      route.down_at = seen;
      // Once for each outage: the soonest of many draws would be no moment drawn at random.
      if (std::exchange(route.hastened_at, now_) < route.opened_at) {
        Millis age = k.state == RouteState::returning ? std::min(k.state_age, set_.warm_within) : 0;
        route.trial_at = std::min(route.trial_at, now_ + drawn(0, 1) * 1000 / cold_pace(route, age));
      }
    }
    route.news = news;
  }
  // Of many relays each opens one at most, which goes again unused; where a cap was met, half of its part.
  bool may_open_ahead(EndpointId id, int up) override {
    auto found = endpoints_.find(id);
    if (found == endpoints_.end() || !found->second.open() || held_ || leave_at_ < never) return false;
    Endpoint& e = found->second;
    const Route& r = *e.route;
    int most = set_.relays > handful ? 1 : cap(*e.route), failed = r.failures_in_row + e.failures_in_row;
    bool shut = r.mode != Mode::closed || failed > 0 || r.refused_in_row > 1 || is_cold(r);
    Millis at = std::max({r.told_until, e.back_at + set_.warm_within, room_at(e), e.cap_met_at + cap_counts});
    if (shut || now_ < at || up >= (e.cap_met_at > -never ? std::min(most, e.room / 2) : most)) return false;
    if (e.calls_out == 0) e.idle_since = std::min(e.idle_since, now_);
    return true;
  }

  Decided decide() override {
    if (held_at_start_ < 0) held_at_start_ = static_cast<int>(docs_.size());
    done_.idle_most = idle_breaks_.read(now_) > 1.2 ? idle_limit_ : never;
    for (auto& [id, to] : destinations_) {
      if (to.docs == 0) continue;
      to.harmless = 0, to.told_until = never;
      to.lead = to.ranked.empty() ? 0 : usual(*to.ranked.front()->route);
      for (Endpoint* e : to.ranked)
        if (e->open()) to.told_until = std::min(to.told_until, e->route->told_until);
      if (to.told_until >= never) to.told_until = -never;  // none is listed: the list may be late
    }
    waiting_.clear();
    for (auto& [id, doc] : docs_) {
      doc.to->harmless += is_ready(doc) && doc.type->repeat != Repeat::binding;
      waiting_.push_back({urgency(doc), &doc});
    }
    std::sort(waiting_.begin(), waiting_.end());
    for (bool fired = true; fired;) {
      fired = false;
      // A call out far longer than usual counts as failed at that moment: a hung destination is known before
      // its calls time out, and binding documents, which have no time-out, do not fill the slots behind it.
      for (auto& [number, call] : calls_)
        if (!call.overdue && !call.counted && now_ >= call.sent + overdue_after(*call.route))
          call.overdue = true, failed(call, false, false);
      for (const Rule<Decider, Route>& rule : route_rules)
        for (auto& [key, route] : routes_)
          if ((this->*rule.when)(route)) (this->*rule.then)(route), fired = true;
      for (auto& [id, to] : destinations_) to.shut[0] = to.shut[1] = false;
      overdue_ = furthest_overdue();
      for (const Rule<Decider, Doc>& rule : doc_rules)
        for (auto& [grade, doc] : waiting_)
          if (doc && (this->*rule.when)(*doc)) {
            DocId id = doc->id;
            reason_ = rule.name;
            (this->*rule.then)(*doc), fired = true;
            if (!docs_.count(id)) doc = nullptr;
          }
    }
    // Endpoints take only so many connections, idle ones counted; who keeps one never meets the cap. So all
    // keep no more together than any endpoint takes, none to one not open; at a cap, what lies unused goes.
    for (EndpointId id : std::exchange(used_, {})) {
      Endpoint& e = endpoints_[id];
      if (gives_up(e)) done_.closed.push_back({id}), e.idle_since = never;
      else if (now_ < e.cap_met_at + cap_counts) done_.closed.push_back({id, trial_pause});
    }
    if (now_ >= forgot_at_ + trial_pause) forget();
    Millis asked = set_.list_at_hand ? ladder_base : trial_pause;  // a lost watch shows soon
    if (now_ >= follow_at_) done_.follow_list = asked, follow_at_ = never;
    done_.list_late = set_.list_at_hand ? ladder_base : 2.5 * trial_pause;
    due_ = next_due(), done_.wake_in = due_ >= never ? -1 : std::max(0.0, due_ - now_);
    return std::move(done_);
  }

 private:
  static constexpr Millis stall = 1000, longest_span = 2500, room_hold = 5000, cap_counts = 30000;
  static constexpr int handful = 5, learnt_most = 1000;        // connections, that any endpoint takes; routes
  static constexpr double share_slack = 1.3, room_left = 0.3;  // left of a limit: enough for others

  double drawn(double low, double high) { return std::uniform_real_distribution<double>(low, high)(chance_); }

  Millis exponential(Millis mean) { return std::exponential_distribution<double>(1 / mean)(chance_); }
  Millis varied(Millis pause) { return pause * drawn(1 - ladder_jitter, 1 + ladder_jitter); }

  void log(const Route& route, const char* event, std::initializer_list<RouteMarks::Field> fields) {
    done_.log.push_back(route.line(event, fields));
  }

  static Millis ladder(int failures) { return ladder_base * std::exp2(std::min(failures, 16) - 1); }
  Millis margin() const { return 2 * set_.tick; }
  bool is_slow(Route& route) { return is_cold(route) || is_suspected(route); }
  bool is_cold(const Route& route) const { return now_ < route.cold_since + set_.warm_within; }

  // A return that began after the last failure known of, here or elsewhere.
  bool return_is_known(const Route& route) const {
    return is_cold(route) && route.cold_since > std::max(route.down_at, route.failed_at);
  }

  void pass(Call& call, Stage to) {
    begun_ += (to == Stage::begun) - (call.stage == Stage::begun);
    connecting_ += (to == Stage::connecting) - (call.stage == Stage::connecting);
    call.stage = to;
  }

  // Health, latency and pace of a route, from one call's end.
  void count(Call& call, const Outcome& got) {
    Route& route = *call.route;
    Endpoint& endpoint = *call.endpoint;
    if (got.hints.told) {
      auto met = std::pair(route.limit, route.left_share < room_left);
      route.limit = got.hints.limit > 0 ? got.hints.limit : (set_.limits_listed ? route.limit : 0);
      route.left_share = got.hints.limit > 0 ? got.hints.left_share : 1, route.hinted_at = now_;
      route.news |= met != std::pair(route.limit, route.left_share < room_left);
    }
    route.ended.add(now_, 1);
    if (got.ending == Ending::not_connected) unconnected_.add(now_, 1);
    if (got.ending == Ending::broken) route.broke.add(now_, 1);
    if (got.took > slow_call) route.slow.add(now_, 1);
    bool at_cap = got.ending == Ending::refused && got.hung_up && got.kept == 0;
    if (!at_cap && route.failures_in_row == 1 && call.sent > route.failing_since)
      (got.ending == Ending::answered ? again_good_ : again_bad_).add(now_, 1);
    if (got.ending == Ending::answered) {
      route.took.add(now_, got.took), route.timed.add(now_, 1), route.good.add(now_, 1);
      took_.add(now_, got.took), timed_.add(now_, 1);
      if (call.overdue) late_.add(now_, 1);
      route.patience = std::max(1.0, route.patience * 0.9);
      endpoint.failures_in_row = 0, endpoint.answered_at = route.answered_at = now_;
      if (call.sent >= route.opened_at) succeeded(route);
      return;
    }
    // At a connection cap some calls get in; a dead endpoint answers none. One that refuses a new
    // connection's first call and ends it has met its cap too, maybe by those of other relays. One that
    // refuses a call beside others, and tells of no limit or of room below it, has its queue full: a lower
    // pace leaves it idle.
    bool full = got.ending == Ending::refused && got.wait <= 0 && got.hints.told &&
                (got.hints.limit <= 0 || got.hints.left_share > room_left);
    // The first connection refused at once to one of many relays may be one that others hold. One that never
    // comes up tells an outage, as does a second, or one after any failure; then the one let pass counts too.
    bool missed = got.ending == Ending::not_connected;
    bool beside = endpoint.calls_out > 1 && call.sent - endpoint.answered_at < 2000;
    bool passed = set_.relays > handful && route.cap_met_at > route.answered_at;
    // Where the host tells of its connections, an endpoint at its cap says so in an answer; one that refuses
    // a connection, or is silent, is out. So is one that had just come back.
    bool maybe_cap = missed && got.kept < 0 && got.took < 0.5 * set_.connect_within && !is_cold(route);
    bool once = maybe_cap && set_.relays > handful && endpoint.cap_met_at <= endpoint.answered_at &&
                !passed && route.failures_in_row == 0;
    if (at_cap || once || ((full || maybe_cap) && beside)) {
      endpoint.room = endpoint.calls_out - 1, endpoint.turns_away = at_cap || full;
      if (!full) endpoint.cap_met_at = route.cap_met_at = now_;
      if (now_ > endpoint.room_met_at + longest_span)
        log(route, full ? "queue_full" : "connections_full",
            {{"held_to", endpoint.room}, {"calls_out", endpoint.calls_out}});
      // What was refused together must not come again together: a hold is drawn from all of itself.
      endpoint.room_met_at = now_ + (once ? drawn(-1, 1) * room_hold : 0);
      return;
    }
    if (missed && passed && route.failures_in_row == 0) ++route.failures_in_row, again_bad_.add(now_, 1);
    if (got.ending == Ending::refused) {
      route.refused_in_row += !spent(got.hints) && got.wait <= 0;
      if (now_ > route.paced_at + 300) {
        double least = std::max(0.3, 0.3 * route.limit / set_.relays);
        route.own_pace = std::max(least, 0.7 * std::min(pace(route), route.recent.per_second(now_)));
        route.paced_at = now_, route.news |= route.limit > 0;
      }
    } else if (got.ending == Ending::timed_out) route.patience = std::min(6.0, route.patience * 1.5);
    Millis idle = got.kept < 0 ? call.idle : got.kept;
    bool on_kept = got.ending == Ending::broken && idle > (got.kept < 0 ? 500 : 0);
    if (on_kept && route.name != idle_broken_) broke_idle(route, idle);
    if (got.ending == Ending::broken && got.kept >= 0 && idle_breaks_.read(now_) > 1.2) return;
    // A sunken limit refuses for seconds on end too, but then the hints say that nothing is left: no outage.
    if (got.ending == Ending::refused && spent(got.hints)) return;
    if (!call.overdue) failed(call, got.ending == Ending::refused, got.wait > 0);
  }

  void note_failed_attempt(const Doc& doc, const Outcome& got, const Route& route) {
    static const char* const endings[] = {"answered",      "error",  "refused",    "timed_out",
                                          "not_connected", "broken", "called_off", "not_sent"};
    char text[200];
    std::snprintf(text, sizeof text,
                  "event=attempt_failed message=%llu attempt=%d route=%llx breaker=%s ending=%s took_ms=%.0f "
                  "wait_ms=%.0f next_try_ms=%.0f",
                  0ULL + static_cast<std::uint64_t>(doc.id), got.transmission, 0ULL + route.name,
                  route.mode_name(), endings[static_cast<int>(got.ending)], got.took, got.wait,
                  doc.not_before - now_);
    done_.log.push_back(text);
  }

  // Calls that break at one destination after another, each on a kept connection: something on the way drops
  // connections. For a while those idle for as long are closed before use; a new one costs.
  void broke_idle(const Route& route, Millis idle) {
    if (idle > 500) idle_limit_ = std::min(idle_breaks_.read(now_) < 0.2 ? never : idle_limit_, 0.9 * idle);
    idle_breaks_.add(now_, 1), idle_broken_ = route.name;
    if (idle_breaks_.read(now_) < 3)
      log(route, "idle_connection_broke", {{"idle_ms", idle}, {"lately", idle_breaks_.read(now_)}});
  }

  void failed(Call& call, bool refused, bool waits) {
    Route& route = *call.route;
    if (!refused) {
      route.bad.add(now_, 1);
      if (++call.endpoint->failures_in_row >= 2) call.endpoint->rests_until = now_ + varied(2 * trial_pause);
    }
    bool first = route.failing_since >= never;
    note_rate(route, 0, &call), route.failing_since = std::min(route.failing_since, now_);
    // The next try comes at a moment drawn from the time that the slow pace takes for one call, so that the
    // tries of relays that failed together do not come together.
    if (first && is_suspected(route)) route.credit = drawn(0, 1), route.credited_at = now_;
    route.failed_at = now_, route.keep = true;
    // A refusal alone says that the limit is met; only a streak longer than a limit's span tells a shut one.
    bool shut = !waits && now_ - route.failing_since > longest_span;
    if (call.sent < route.opened_at || (refused && route.mode == Mode::closed && !shut)) return;
    ++route.failures_in_row;
    if (route.mode == Mode::trial || route.mode == Mode::following) open(route);
  }

  static bool spent(const Hints& hints) { return hints.told && hints.limit > 0 && hints.left_share < 0.1; }

  // The relay's own rate before an outage, against which its return is paced.
  // Without the call that failed: whoever has just called would else seem to call more often than it does,
  // and the more so the less it calls.
  void note_rate(Route& route, double told = 0, const Call* failed = nullptr) {
    if (is_cold(route) || route.failing_since < never) return;
    double own = route.calls.per_second(now_);
    if (failed) own -= route.calls.weight_per_second(now_ - failed->sent);
    route.rate_before = std::max({0.0, told, own});
  }
  // Where all relays were told the same moment, they do not call in the same instant.
  void cold_from(Route& route, Millis since) {
    route.cold_since = since, route.keep = true;
    route.credited_at = std::max(now_, since), route.credit = drawn(0, 1);
  }

  // A hold longer than any limit's span is an outage: what it kept back must not burst out at its end.
  bool told_wait(Route& route, Millis until, bool limit_met) {
    if (until <= route.told_until) return route.news;
    route.told_until = until, route.keep = true;
    if (limit_met || until - std::min(now_, route.failing_since) <= longest_span) return true;
    note_rate(route);
    if (!is_cold(route))
      log(route, "shut_cold_after", {{"wait_ms", until - now_}, {"rate_before", route.rate_before}});
    cold_from(route, until);
    return true;
  }

  void succeeded(Route& route) {
    double failing = route.bad.read(now_) / std::max(1e-3, route.bad.read(now_) + route.good.read(now_) - 1);
    // A cold return binds also the relay that saw a single failure, unless it is one among many answers.
    bool shut = is_refusing(route);
    // A second outage in the midst of a return: its silence must not count as time to warm up.
    bool silent_since_failure =
        (route.failures_in_row > 0 || route.refused_in_row > 0) && now_ - route.failing_since > longest_span;
    // Answers from before the outage would else outweigh the failures of a relay that calls often.
    bool outage =
        shut || route.mode != Mode::closed || failing > 0.5 || (is_cold(route) && silent_since_failure);
    route.refused_in_row = route.failures_in_row = 0;
    // The trial that was answered found it back; the calls that follow must not start its return anew.
    // Nor does a return known since the last failure, as from another relay.
    if (route.failing_since < never && outage && route.mode != Mode::following && !return_is_known(route)) {
      if (!is_cold(route))
        log(route, "cold_return", {{"rate_before", route.rate_before}, {"failing", failing}}),
            ++counters_.cold_returns;
      route.cold_since = now_, route.news = true;
    }
    route.keep |= route.failing_since < never;
    if (route.mode == Mode::closed) route.failing_since = never;
    if (route.mode == Mode::trial) route.mode = Mode::following, route.follow_left = follow_calls;
    else if (route.mode == Mode::following && --route.follow_left <= 0) {
      route.mode = Mode::closed, route.failing_since = never, route.news = true;
      log(route, "breaker_closed", {{"open_ms", now_ - route.opened_at}, {"failing", failing}});
    }
  }

  void open(Route& route) {
    if (route.mode == Mode::closed) {
      ++counters_.breakers_opened;
      log(route, "breaker_open", {{"failures", route.failures_in_row}, {"failing", route.bad.read(now_)}});
    }
    route.mode = Mode::open, route.opened_at = route.down_at = now_, route.news = route.keep = true;
    Millis own = 1000 / cold_pace(route, 0);
    route.trial_at =
        now_ + std::max(varied(trial_pause), own > trial_pause ? std::min(exponential(own), 2 * own) : 0);
  }

  void close(Doc& doc) {
    if (doc.ordered) lanes_[doc.key].waiting.erase(doc.turn_taken);
    --doc.to->docs, doc.to->harmless -= is_ready(doc) && doc.type->repeat != Repeat::binding;
    docs_.erase(doc.id);
  }

  // Guards against a day without end: what nobody can ask for any more goes, a route after all that binds it.
  void forget() {
    forgot_at_ = now_;
    for (auto& [id, e] : endpoints_) {
      if (gives_up(e) || now_ < e.cap_met_at + cap_counts) used_.insert(id);
      if (e.calls_out > 0 || now_ < e.gone_at + longest_life_) continue;
      for (auto& [destination, to] : destinations_) std::erase(to.ranked, &e);
      --e.route->endpoints, done_.forgotten.push_back(id);
    }
    for (EndpointId id : done_.forgotten) endpoints_.erase(id), used_.erase(id);
    std::erase_if(destinations_, [](auto& at) { return at.second.ranked.empty() && !at.second.docs; });
    std::erase_if(routes_, [&](auto& at) {
      return at.second.endpoints == 0 && now_ >= at.second.binds_until(set_.warm_within, longest_life_);
    });
    std::erase_if(lanes_, [&](auto& entry) { return entry.second.is_over(now_); });
  }

  // Rule 2: no effect twice. The one place that allows a further transmission at a given time.
  bool may_go_again(const Doc& doc, Millis when) const { return doc.out == 0 && marked(doc, when); }
  bool marked(const Doc& doc, Millis when) const {
    if (!doc.may_have_run() || doc.type->repeat == Repeat::replayable) return true;
    return doc.type->repeat == Repeat::numbered && when < doc.risked_at + doc.type->key_window - margin();
  }
  bool may_run_at(const Doc& doc, const Endpoint& endpoint) const {
    bool elsewhere = doc.type->repeat == Repeat::numbered && doc.may_have_run() &&
                     doc.type->key_group == KeyGroup::hall && endpoint.hall != doc.risked_hall;
    return may_go_again(doc, now_) && !elsewhere;
  }

  // Rule 2: a rejection tells the client that trying again is harmless.
  bool may_reject(const Doc& doc) const {
    bool known = doc.type->repeat == Repeat::numbered && doc.type->key_group == KeyGroup::everywhere;
    return doc.type->repeat == Repeat::replayable || (doc.out == 0 && (known || !doc.may_have_run()));
  }

  // Rule 5: documents of one key one at a time, in order; the key rests after an unknown outcome.
  bool in_turn(const Doc& doc) {
    if (!doc.ordered) return true;
    const KeyLane& lane = lanes_[doc.key];
    // Guards against a notice that crosses the next one's call: an end counts once the platform has it.
    bool first = *lane.waiting.begin() == doc.turn_taken && lane.untold.empty();
    return first && (doc.tries > 0 || (lane.out == 0 && now_ >= lane.rests_until));
  }

  bool sick(Route& route) {
    double slow = route.slow.read(now_), bad = route.bad.read(now_);
    return slow > std::max(0.05, slow_share * route.ended.read(now_)) ||
           bad > std::max(0.2, 0.25 * (route.good.read(now_) + bad));
  }

  int cap(Route& r) { return std::max(1, static_cast<int>(slot_share * set_.slots) / (sick(r) ? 2 : 1)); }

  // How long an idle connection is kept: by many relays for as long as a handful of calls take to come there.
  Millis linger(const Endpoint& e) {
    double own = e.route->calls.per_second(now_), limit = e.route->limit;
    if (set_.relays <= handful)
      return unconnected_.read(now_) > 0.3 && own * usual(*e.route) < 100 ? 0 : never;
    return 1000 * handful / std::max(0.1, limit > 0 ? limit : own * set_.relays);
  }
  // Whether its idle connections go: it is looked at once a pause, so half of one early.
  bool gives_up(const Endpoint& e) {
    if (e.calls_out > 0 || e.idle_since >= never) return false;
    return !e.open() || now_ + trial_pause / 2 >= e.idle_since + linger(e);
  }

  // The usual time of a call: the route's own, leaning on that of all routes while it has few.
  Millis usual(Route& route) {
    double n = timed_.read(now_), lean = n > 0.01 ? took_.read(now_) / n : 0;
    return (route.took.read(now_) + 2 * lean) / (route.timed.read(now_) + 2);
  }
  Millis overdue_after(Route& route) { return std::max(1000.0, 5 * usual(route)) * route.patience; }

  // Calls a second that this relay allows itself on a route; limits are shared with relays unseen.
  double pace(Route& route) {
    double rate = never, part = 1.0 / set_.relays;
    if (route.limit > 0) {
      // The relay's own part of the limit; more only while fresh hints say that the others leave room. While
      // none tell, half of it: a clump is one relay's, and refusals cut the pace where others were there too.
      bool fresh = now_ < route.hinted_at + 1500;
      double spare = fresh ? std::clamp((route.left_share - room_left) / 0.4, 0.0, 1.0) : 0;
      double held = fresh ? std::clamp(0.5 + route.left_share / 0.4, 0.5, 1.0) : 1;
      rate = route.limit * (part * held + (1 - part) * spare);
      if (held >= 1) rate = std::max(rate, 0.5 * route.limit);
    }
    if (route.own_pace > 0) rate = std::min(rate, route.own_pace * std::exp((now_ - route.paced_at) / 4000));
    if (now_ < route.cold_since + set_.warm_within + SlowStart::opening_within)
      rate = std::min(rate, cold_pace(route, std::max(0.0, now_ - route.cold_since)));
    if (is_suspected(route)) rate = std::min(rate, suspected_pace(route));
    return rate;
  }

  // What a destination in slow start bears from this relay, in calls a second at this age of its return.
  double cold_pace(const Route& route, Millis age) const {
    return slow_start_.rate({route.rate_before, route.limit}, age);
  }
  // After a first failure, which is mostly chance, a relay that hardly ever calls there goes by that one
  // call.
  double suspected_pace(Route& route) {
    if (std::max(route.failures_in_row, route.refused_in_row) > 1) return cold_pace(route, 0);
    double own_rate = std::max(route.rate_before, 0.5 * route.calls.weight_per_second(0));
    Millis age = std::min(now_ - route.failing_since, set_.warm_within);
    return slow_start_.rate({own_rate, route.limit}, age);
  }

  // A destination whose calls fail may be out, and may return at any moment: until a call is answered it gets
  // what it would bear at its return. A first failure alone is mostly chance, so the pace grows after it. In
  // slow start a single refusal is enough.
  bool is_suspected(Route& route) {
    if (set_.relays <= 1 || route.mode != Mode::closed || route.failing_since >= never) return false;
    return route.bad.read(now_) > route.good.read(now_) || is_refusing(route) ||
           (is_cold(route) && route.refused_in_row > 0);
  }
  // Refusals without a reason: a met limit, or a shut destination. A limit's span tells them apart, but only
  // for a relay that calls several times within it.
  bool is_refusing(const Route& route) const {
    bool calls_seldom = route.rate_before * longest_span < 1000;
    return route.refused_in_row > 1 && (calls_seldom || route.paced_at - route.failing_since > longest_span);
  }
  // Calls that the pace allows now; a call takes one.
  double credit(Route& route) {
    route.credit = std::min(1.0, route.credit + pace(route) * std::max(0.0, now_ - route.credited_at) / 1000);
    route.credited_at = std::max(route.credited_at, now_);
    return route.credit;
  }

  // Rules 3, 4 and 6 and the caps: when a call may go on this route; never: an event must come first.
  Millis free_at(Route& route) {
    if (now_ < route.told_until) return route.told_until;
    if (route.mode == Mode::open) return route.trial_at;
    int most = route.mode == Mode::trial ? 1 : route.mode == Mode::following ? 2 : set_.slots;
    if (route.calls_out >= std::min(most, cap(route)) || now_ + 2 * usual(route) > leave_at_) return never;
    double rate = pace(route), lacks = 1 - (is_slow(route) ? 0 : 0.3 * rate) - credit(route);
    return lacks <= 1e-9 ? now_ : now_ + std::min(500.0, 1000 * lacks / rate);
  }

  Millis free_at(const Destination& to) {
    Millis free = never;
    for (Endpoint* e : to.ranked) free = std::min(free, free_at(*e->route));
    return free;
  }

  // Connections or queue full: calls stay under the number met for a while, or one more goes each pause.
  Millis room_at(const Endpoint& e) const {
    int more = std::max(0, e.calls_out + 1 - e.room);
    Millis room = more == 0 ? -never : e.room_met_at + (e.turns_away ? more * ladder_base : room_hold);
    return std::max(room, now_ < e.back_at + set_.warm_within ? e.paced_until : -never);
  }

  // A call takes its slot once its connection is up; as many again may be connecting.
  int slots_taken() const { return std::max(calls_out_ - connecting_, calls_out_ - set_.slots); }

  // Guards against calls that break the more often, the more documents they carry: one carries no more than
  // were lately answered there for each call that broke, so that about half of such calls get through.
  int bundle_most(Route& route) {
    double broke = route.broke.read(now_), most = broke > 0.1 ? route.answered.read(now_) / broke : never;
    return static_cast<int>(std::clamp(most, 1.0, 1.0 * route.bundle_max));
  }
  // What goes there in this turn, with a trial too, travels in the call opened; beyond its most it waits.
  Call* opened(const Endpoint& endpoint) {
    auto bundle = bundles_.find(endpoint.id);
    Call* call = bundle == bundles_.end() ? nullptr : &calls_[bundle->second];
    return call && call->docs < endpoint.route->bundle_max ? call : nullptr;
  }
  bool joins(const Endpoint& endpoint) {
    Call* call = opened(endpoint);
    return call && call->docs < bundle_most(*endpoint.route);
  }

  // First in rank until it has enough, then the next; failing ones rest while another can take the document.
  Endpoint* choose(const Doc& doc, int slots) {
    Endpoint* best = nullptr;
    auto burden = [&](const Endpoint& e) {
      return std::tuple(!joins(e), now_<e.rests_until, e.failures_in_row> 0, e.calls_out);
    };
    bool shut = true;  // for other documents too
    for (Endpoint* e : doc.to->ranked) {
      if (!e->open()) continue;
      bool free = slots_taken() < slots && !opened(*e) && now_ >= room_at(*e) && now_ >= free_at(*e->route);
      if (!free && !joins(*e)) continue;
      shut = false;
      if (!may_run_at(doc, *e)) continue;
      // A trial may end without an outcome: no binding document is risked while a harmless one waits there,
      // or with those that go already.
      bool binding = doc.type->repeat == Repeat::binding, trial = e->route->mode != Mode::closed;
      if (binding && trial && opened(*e)) continue;
      if (binding && doc.to->harmless > 0 && (trial || sick(*e->route))) continue;
      if (!best || burden(*e) < burden(*best)) best = e;
    }
    doc.to->shut[slots > set_.slots] = shut;
    return best;
  }

  Millis time_out(const Doc& doc, Route& route) {
    Millis left = doc.expiry - margin() - now_;
    if (doc.type->repeat == Repeat::binding) return left;  // a time-out would only make its outcome unknown
    return std::min(left,
                    std::max(1500.0, std::max(doc.type->agreed_time, 6 * usual(route)) * route.patience));
  }

  // What can still make its agreed time first, then the late, then the rest. In each the most valuable first;
  // then the earliest, the freshest, the nearest to its expiry.
  Grade urgency(const Doc& doc) {
    // An ordered document holds up those of its key behind it.
    double held_up = doc.ordered ? static_cast<double>(lanes_[doc.key].waiting.size()) : 1;
    double value = -doc.type->value * held_up;
    auto grade = [&](int stage, Millis by) { return Grade{stage, value, by, doc.turn_taken}; };
    if (doc.over_share) return grade(3, doc.expiry);
    double late = (now_ + doc.to->lead - doc.agreed_by) / doc.type->agreed_time;
    if (late <= 0) return grade(0, doc.agreed_by);
    bool lost = set_.value_halves && std::exp2(-late) <= doc.type->late_value;
    return lost ? grade(2, doc.expiry) : grade(1, -doc.agreed_by);
  }

  // Five failures in a row, counted over all relays: one that calls seldom would not see five before the
  // outage is over. While single failures are mostly followed by answers, its own five.
  int to_open(Route& route) {
    if (again_good_.read(now_) >= again_bad_.read(now_)) return failures_to_open;
    double soon = 10 * std::max(route.rate_before, route.calls.per_second(now_));
    soon = std::clamp(std::max(soon, 1.0 * failures_to_open / set_.relays), 1.0, 1.0 * failures_to_open);
    return static_cast<int>(std::ceil(soon));
  }

  // The rules: each a condition and an effect.
  bool trial_is_due(Route& route) { return route.mode == Mode::open && now_ >= route.trial_at; }
  void allow_trial(Route& route) { route.mode = Mode::trial; }

  // Few routes have failed lately; only for those the sums behind to_open are read.
  bool fails_in_row(Route& r) {
    return r.mode == Mode::closed && r.failures_in_row > 0 && r.failures_in_row >= to_open(r);
  }

  // Rule 1: a final answer before the client's time is up.
  bool out_of_time(Doc& doc) { return now_ >= doc.expiry - margin(); }
  bool is_spent(Doc& doc) {
    // Told to wait past its expiry, a document cannot go any more, whoever of its destination was told.
    bool late =
        doc.tries >= doc.most || std::max(doc.not_before, doc.to->told_until) >= doc.expiry - margin();
    return doc.out == 0 && (late || !may_go_again(doc, std::max(now_, doc.not_before)));
  }
  void end(Doc& doc) {
    Millis wait = std::min(free_at(*doc.to) - now_, set_.reject_wait_max);  // told the client
    bool rejected = may_reject(doc);
    if (rejected) done_.rejected.push_back({doc.id, wait});
    else done_.abandoned.push_back(doc.id);
    note_end(doc, rejected);
    if (doc.ordered && set_.ends_acknowledged) lanes_[doc.key].untold.insert(doc.id);
    close(doc);
  }

  void note_end(const Doc& doc, bool rejected) {
    ++(rejected ? counters_.rejected : counters_.abandoned);
    bool harmless = doc.type->repeat == Repeat::replayable || !doc.may_have_run() ||
                    (doc.type->repeat == Repeat::numbered && doc.type->key_group == KeyGroup::everywhere);
    bool safe = !rejected || (harmless && (doc.out == 0 || doc.type->repeat == Repeat::replayable));
    bool in_time = now_ <= doc.expiry;
    counters_.invariants.violated(Invariant::safe_rejection, safe);
    counters_.invariants.violated(Invariant::deadline, in_time);
    char text[200];
    std::snprintf(
        text, sizeof text,
        "event=%s message=%llu destination=%llu reason=\"%s\" attempts=%d failures=%d left_ms=%.0f%s%s",
        rejected ? "rejected" : "abandoned", 0ULL + static_cast<std::uint64_t>(doc.id),
        0ULL + static_cast<std::uint64_t>(doc.destination), reason_, doc.tries, doc.failures,
        doc.expiry - now_, safe ? "" : " violation=safe_rejection", in_time ? "" : " violation=deadline");
    done_.log.push_back(text);
  }

  // A full room turns away fresh documents at the door, as when a destination with much traffic is down. A
  // tenth is kept free: documents that have lost all they can lose make way, those nearest to expiry first.
  bool crowds_out(Doc& doc) {
    // Guards against giving up what a restart found, where that is more than the room is now.
    double most = std::max(0.9 * set_.room, static_cast<double>(held_at_start_));
    return set_.room > 0 && static_cast<double>(docs_.size()) > most && doc.out == 0 && may_reject(doc) &&
           std::get<0>(urgency(doc)) >= 2;
  }

  bool is_ready(const Doc& doc) const { return doc.out == 0 && now_ >= doc.not_before; }
  bool could_go(Doc& doc, int slots) {
    return !held_ && is_ready(doc) && !doc.to->shut[slots > set_.slots] && in_turn(doc) &&
           choose(doc, slots) != nullptr;
  }
  bool can_go(Doc& doc) { return could_go(doc, set_.slots); }
  void transmit(Doc& doc) {
    Endpoint& endpoint = *choose(doc, set_.slots);
    Route& route = *endpoint.route;
    bool joined = joins(endpoint);
    check_send(doc, endpoint, !joined);
    auto& number = bundles_[endpoint.id];
    if (joined) route.credit -= is_slow(route) ? 0.12 : 0;
    else {
      Millis idle = endpoint.calls_out == 0 ? std::max(0.0, now_ - endpoint.idle_since) : 0;
      if (idle > done_.idle_most) done_.closed.push_back({endpoint.id}), idle = 0;
      calls_[number = ++call_number_] = Call{&route, &endpoint, now_, 0, idle};
      ++begun_, ++calls_out_, ++route.calls_out, ++endpoint.calls_out;
      endpoint.paced_until = now_ + 1000 / cold_pace(route, now_ - endpoint.back_at);
      route.calls.add(now_, 1), route.recent.add(now_, 1);
      route.credit = credit(route) - 1;
    }
    ++calls_[number].docs;
    done_.transmitted.push_back({doc.id, endpoint.id, time_out(doc, route)});
    out_[{doc.id, doc.tries}] = {number, doc.key, doc.ordered};
    if (doc.ordered) ++lanes_[doc.key].out;
    doc.to->harmless -= doc.type->repeat != Repeat::binding;
    ++doc.tries, ++doc.out;
  }

  // The run-time check of a send, at the moment of its decision or, once more, of its writing.
  void check_send(const Doc& doc, const Endpoint& endpoint, bool new_call) {
    Route& route = *endpoint.route;
    if (new_call) {
      ++counters_.attempts, counters_.trials += route.mode == Mode::trial;
      if (is_slow(route)) {
        ++counters_.slow_start_attempts;
        bool over = route.slow_start_monitor.sent(now_, pace(route), set_.fall_time);
        check(Invariant::slow_start, !over, route, doc.id);
      }
    }
    counters_.retried_messages += doc.tries > 0;
    bool first_of_key = !doc.ordered || (*lanes_[doc.key].waiting.begin() == doc.turn_taken &&
                                         lanes_[doc.key].untold.empty());
    check(Invariant::message_order, first_of_key, route, doc.id);
    check(Invariant::single_attempt, doc.out == 0 && doc.tries < doc.most && marked(doc, now_), route,
          doc.id);
    check_writing(doc, endpoint);
  }
  void check_writing(const Doc& doc, const Endpoint& endpoint) {
    check(Invariant::told_wait, now_ >= endpoint.route->told_until, *endpoint.route, doc.id);
    check(Invariant::closed_endpoint, endpoint.open(), *endpoint.route, doc.id);
    check(Invariant::deadline, now_ < doc.expiry, *endpoint.route, doc.id);
  }
  void check(Invariant invariant, bool holds, const Route& route, DocId doc) {
    if (!counters_.invariants.violated(invariant, holds)) return;
    std::string event = std::string("violation rule=") + name_of(invariant);
    log(route, event.c_str(), {{"message", static_cast<double>(doc)}, {"calls_out", route.calls_out}});
  }

  // Slots taken by calls far overdue at hung destinations starve the healthy ones. While a document waits for
  // a slot only, the call furthest overdue is called off; a binding document is lost with it.
  bool wants_slot(Doc& doc) {
    if (!overdue_ || slots_taken() < set_.slots || freed_ >= set_.slots) return false;
    return std::get<0>(urgency(doc)) < 2 && could_go(doc, set_.slots + 1);
  }
  // Calls that run out with hardly a late answer among them hang; where late answers come too, all is only
  // slow, and calling off would throw away work that the destinations go on with.
  Call* furthest_overdue() {
    Call* worst = nullptr;
    if (!set_.may_call_off) return worst;
    double most = hung_.read(now_) > 6 && late_.read(now_) < 0.08 * hung_.read(now_) ? 0.6 : 2.5;
    for (auto& [number, call] : calls_) {
      double by = (now_ - call.sent) / overdue_after(*call.route) * call.route->patience;
      if (!call.called_off && by > most) worst = &call, most = by;
    }
    return worst;
  }
  void call_off(Doc& doc) {
    Call* call = overdue_;
    call->called_off = true, ++freed_, doc.not_before = now_ + set_.tick;
    for (auto& [transmission, entry] : out_)
      if (&calls_[std::get<0>(entry)] == call)
        done_.called_off.push_back({transmission.first, transmission.second});
    ++counters_.called_off;
    log(*call->route, "called_off", {{"age_ms", now_ - call->sent}, {"calls_out", calls_out_}});
    overdue_ = furthest_overdue();
  }

  Millis next_due() {
    Millis due = follow_at_;
    auto wake_at = [&](Millis when) { due = when > now_ ? std::min(due, when) : due; };
    for (auto& [number, call] : calls_)
      if (!call.overdue) wake_at(call.sent + overdue_after(*call.route));
    for (auto& [id, doc] : docs_) {
      wake_at(doc.expiry - margin());
      if (doc.out > 0) continue;
      wake_at(doc.risked_at + doc.type->key_window - margin()), wake_at(doc.not_before);
      if (doc.not_before > now_) continue;
      if (doc.ordered) wake_at(lanes_[doc.key].rests_until);
      doc.to->wanted = true;
    }
    for (auto& [id, to] : destinations_) {
      if (!std::exchange(to.wanted, false)) continue;
      for (Endpoint* e : to.ranked)
        if (e->open()) wake_at(opened(*e) ? now_ + set_.tick : free_at(*e->route)), wake_at(room_at(*e));
    }
    return due;
  }

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
  Millis follow_at_ = set_.list_on_request ? 0 : never;
  Millis now_ = 0, due_ = 0, leave_at_ = never, forgot_at_ = 0, longest_life_ = 0, idle_limit_ = never;
  std::uint64_t taken_ = 0, call_number_ = 0;
  int list_failures_ = 0, calls_out_ = 0, connecting_ = 0, begun_ = 0, freed_ = 0;  // freed: called off
  Call* overdue_ = nullptr;                                                         // the furthest, if any
  bool held_ = false;  // another process may still send
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
  Decided done_;
  Counters counters_;
  int held_at_start_ = -1;   // documents that were there in the first turn
  const char* reason_ = "";  // the rule that is being carried out
  Fading idle_breaks_{30000}, unconnected_{30000}, again_good_{20000}, again_bad_{20000};  // again: see count
  std::set<EndpointId> used_, outs_;  // calls there ended this turn; taken out by staff, listed or not
  std::optional<std::uint64_t> idle_broken_;  // the route
};

}  // namespace

std::unique_ptr<Decision> Decision::make(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<Decider>(settings, seed);
}

}  // namespace rockcrank
