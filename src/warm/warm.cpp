// Decides which neighbours a new relay asks, how it plans from their lists, which connection it opens when,
// which body it loads, and when warming ends. The rules form one ordered list, run after every input until
// none fires. Nothing is opened beyond the budgets or after warming has ended.

#include "warm/warm.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>

#include "fleet/rules.h"
#include "warm/merge.h"
#include "warm/space_saving.h"

namespace rockcrank::warm {
namespace {

using fleet::MemberId;

constexpr Millis never = 1e18;

// Answering: a list takes some kilobytes, so each requester gets one a second, and all together this many.
constexpr Millis min_request_interval = 1000;
constexpr double max_answers_per_second = 20;
constexpr std::size_t sketch_entries_per_item =
    // entries of the sketch per listed item: its error is a quarter of that of a sketch as small as the list
    4;
// longest list accepted from another relay, whose settings may allow more than ours
constexpr std::size_t max_received_items = 4096;

// Asking: neighbours of the own zone at once, others once links had time to come up. In a fleet that starts
// together the requests are spread over time, according to its size.
constexpr Millis link_setup_time = 300, request_spread_per_member = 3, max_request_spread = 1000,
                 answer_timeout = 400;
constexpr int max_requests_per_neighbour = 3;
constexpr double asking_time_share = 0.3;  // of the time limit
constexpr Millis max_new_relay_age = 15000;

// Opening. The interval is that of one new relay; an endpoint gets the handshakes of all new relays together,
// so each handshake is placed at random within the time in which the endpoint would take all of them at its
// accepted rate.
constexpr Millis open_interval = 5, open_interval_if_busy = 50;
constexpr int max_connecting = 8, max_per_endpoint = 8, max_refusals = 3;
// handshakes per second that an endpoint accepts: this many, or as many as the calls it gets from all relays,
// as the documents of the new relays would open hardly fewer there in their first second
constexpr double min_endpoint_rate = 20, handshakes_per_call = 1, max_endpoint_rate = 200;
constexpr double single_source_share = 0.25;  // share of the budgets where no second list confirms the first
// while it is idle: it is then used with a probability of at least 0.63
constexpr double min_expected_uses = 1;
constexpr Millis default_idle_timeout = 10000, refusal_delay = 1000;
constexpr int max_loading = 16;

// Ending.
constexpr std::uint64_t min_settled = 8, min_own_uses = 40;
constexpr double min_used_share = 1.0 / 3, min_hit_share = 0.4;
// an item that should have been seen this often and was not is rarer, with 0.95 confidence
constexpr double min_expected_sightings = 3;

double poisson_at_least(double mean, int number) {  // of a Poisson distribution
  double below = 0, term = std::exp(-mean);
  for (int i = 0; i < number; ++i) below += term, term *= mean / (i + 1);
  return std::max(0.0, 1 - below);
}

class WarmerImpl final : public Warmer {
 public:
  WarmerImpl(const fleet::Roster& roster, MemberId self, const WarmupBudget& budget, bool cold,
             std::uint64_t seed)
      : budget_(budget),
        random_(static_cast<std::minstd_rand::result_type>(seed ^ seed >> 32)),
        phase_(cold ? Phase::asking : Phase::over),
        endpoints_(sketch_entries_per_item * static_cast<std::size_t>(std::max(0, budget.max_list_items)),
                   sketch_time_constant),
        keys_(sketch_entries_per_item * static_cast<std::size_t>(std::max(0, budget.max_list_items)),
              sketch_time_constant) {
    random_.discard(4);  // the first draws of similar seeds are similar
    std::string own_zone;
    for (const auto& member : roster)
      if (member.id == self) own_zone = member.zone;
    // Ordered on a ring of ids: each member is asked by its predecessors, so the requests are spread over
    // all.
    auto after = [&](const fleet::Member& m) {
      return static_cast<std::uint64_t>(m.id) - static_cast<std::uint64_t>(self);
    };
    for (const auto& member : roster)
      if (member.id != self) neighbours_.push_back(member);
    std::ranges::sort(neighbours_, [&](const auto& a, const auto& b) {
      return std::pair(a.zone != own_zone, after(a)) < std::pair(b.zone != own_zone, after(b));
    });
    for (const auto& member : neighbours_) in_own_zone_[member.id] = member.zone == own_zone;
    request_spread_ =
        random_fraction() *
        std::min(max_request_spread, request_spread_per_member * static_cast<double>(roster.size()));
  }

  void begin_turn(Millis now) override {
    if (!std::exchange(started_, true))
      start_ = serving_since_ = now, answers_left_ = max_answers_per_second, answers_refilled_at_ = now;
    now_ = now, waiting_documents_ = 0, actions_ = {};
    answers_left_ = std::min(max_answers_per_second,
                             answers_left_ + (now_ - answers_refilled_at_) * max_answers_per_second / 1000);
    answers_refilled_at_ = now_;
  }
  void set_alive(const std::vector<MemberId>& members) override { alive_ = {members.begin(), members.end()}; }
  void on_link_change(MemberId peer, bool up) override {
    if (up) linked_.insert(peer);
    else linked_.erase(peer);
  }
  void on_stall() override { serving_since_ = now_; }

  void on_message(MemberId from, const WarmupMessage& message) override {
    if (!in_own_zone_.count(from)) return;
    if (message.is_request) {
      requesters_[from].requested_at = now_;
      waiting_requesters_.insert(from);
      return;
    }
    auto request = sent_requests_.find(from);
    // Only the first answer to a request counts, while lists are collected: a late one describes another
    // time.
    if (phase_ != Phase::asking || request == sent_requests_.end() || request->second.answered) return;
    request->second.answered = true;
    if (auto why = validation_error(message, max_received_items); !why.empty()) {
      actions_.log.push_back("warming: rejected the list of " + name_of(from) + ": " + why);
      return;
    }
    cold_answers_ += message.serving_time < max_new_relay_age, ++answers_;
    lists_.push_back({in_own_zone_[from], message});
  }

  void record_use(ItemKind kind, std::uint64_t id, Millis duration) override {
    (kind == ItemKind::endpoint ? endpoints_ : keys_).add(now_, id, duration);
    if (kind != ItemKind::endpoint || phase_ == Phase::over) return;
    ++own_uses_;
    if (phase_ == Phase::opening) ++uses_since_plan_, hits_ += listed_endpoints_.count(id);
  }
  void set_load(int waiting, int free_slots) override {
    waiting_documents_ = waiting, free_slots_ = free_slots;
  }
  void set_state_known(bool known) override { state_known_ = known; }

  void on_connection_event(EndpointId endpoint, ConnectionEvent event) override {
    auto& counts = preconnects_[endpoint];
    auto leave = [&] {
      if (counts.idle > 0) --counts.idle;
      else if (counts.connecting > 0) --counts.connecting, --connecting_;
    };
    switch (event) {
      case ConnectionEvent::connected:
        if (counts.connecting > 0) --counts.connecting, --connecting_, ++counts.idle;
        return;
      case ConnectionEvent::used: leave(), ++stats_.used; break;
      case ConnectionEvent::unused: leave(), ++stats_.unused; break;
      case ConnectionEvent::failed:
        // Documents find out whether the endpoint works; nothing more is preconnected there.
        if (counts.connecting > 0) --counts.connecting, --connecting_;
        ++stats_.failed, drop_endpoint(endpoint);
    }
    if (counts.connecting == 0 && counts.idle == 0) preconnects_.erase(endpoint);
  }
  void on_preconnect_refused(EndpointId endpoint) override {
    cancel_preconnect(endpoint);
    // Other planned connections to the endpoint wait as long, as the refusal was for the endpoint.
    for (auto& item : plan_)
      if (item.endpoint == endpoint) item.due_at = std::max(item.due_at, now_ + refusal_delay);
    if (!last_opened_ || last_opened_->endpoint != endpoint) return;
    if (++last_opened_->refusals < max_refusals)
      last_opened_->due_at = now_ + refusal_delay * last_opened_->refusals, add_to_plan(*last_opened_);
    last_opened_.reset();
  }
  void on_preconnect_unneeded(EndpointId endpoint) override {
    cancel_preconnect(endpoint), last_opened_.reset();
  }
  void on_body_loaded(std::size_t bytes) override {
    loading_ = std::max(0, loading_ - 1), loaded_bytes_ += bytes;
    if (loaded_bytes_ >= budget_.max_bytes) bodies_to_load_.clear();
  }

  Actions decide() override {
    fleet::run_by_priority(*this, rules);
    auto due = next_wake_at();
    actions_.wake_in = due >= never ? -1 : std::max(0.0, due - now_);
    return std::move(actions_);
  }

  bool is_finished() const override { return phase_ == Phase::over; }
  PreconnectStats stats() const override { return stats_; }

 private:
  enum class Phase { asking, opening, over };
  struct SentRequest {
    Millis sent_at = 0;
    bool answered = false;
  };
  struct Requester {
    Millis requested_at = -never, answered_at = -never;
  };
  struct PlannedConnection {  // one more connection
    EndpointId endpoint{};
    int max_connections = 0, refusals = 0;
    bool single_source = false;  // listed by one neighbour only
    double use_rate = 0;         // expected uses by documents per second
    Millis due_at = 0;
  };
  struct PreconnectCounts {
    int connecting = 0, idle = 0;
  };
  double random_fraction() { return std::uniform_real_distribution<>(0, 1)(random_); }
  std::string name_of(MemberId id) const {
    for (const auto& member : neighbours_)
      if (member.id == id) return member.name;
    return "?";
  }

  // Answering.
  // A request may arrive before the link that carries the answer is up; one that waits too long for it is
  // dropped.
  std::set<MemberId>::iterator next_requester() {
    return std::ranges::find_if(waiting_requesters_, [&](MemberId from) {
      return linked_.count(from) || now_ >= requesters_[from].requested_at + answer_timeout;
    });
  }
  bool has_requester() { return next_requester() != waiting_requesters_.end(); }
  void answer_request() {
    auto request = next_requester();
    MemberId to = *request;
    waiting_requesters_.erase(request);
    if (!linked_.count(to)) return;
    // Rate limit: a requester that asks too often, or one of too many, gets no answer and asks others.
    auto& requester = requesters_[to];
    if (now_ < requester.answered_at + min_request_interval || answers_left_ < 1) return;
    --answers_left_, requester.answered_at = now_;
    actions_.sends.push_back({to, popularity_list()});
  }
  WarmupMessage popularity_list() const {
    WarmupMessage message;
    message.serving_time = now_ - serving_since_;
    Millis age = std::max(1000.0, now_ - start_),
           effective_time = sketch_time_constant * (1 - std::exp(-age / sketch_time_constant));
    auto rate = [&](double count) { return count * 1000 / effective_time; };
    message.endpoint_rate = rate(endpoints_.total(now_)), message.key_rate = rate(keys_.total(now_));
    auto max_items = static_cast<std::size_t>(std::max(0, budget_.max_list_items));
    auto keys =
        std::min(keys_.size(), std::max(max_items / 2, max_items - std::min(max_items, endpoints_.size())));
    auto add = [&](ItemKind kind, const SpaceSaving& sketch, std::size_t number) {
      for (const auto& entry : sketch.top(now_, number)) {
        // Durations are known only of the uses counted since the entry was inserted.
        double counted = entry.count - entry.max_overestimate;
        message.items.push_back({kind, entry.id, rate(entry.count), rate(entry.max_overestimate),
                                 counted > 0 ? entry.total_duration / counted : 0});
      }
    };
    add(ItemKind::endpoint, endpoints_, max_items - keys);
    add(ItemKind::key, keys_, keys);
    return message;
  }

  // Asking.
  static WarmupMessage list_request() {
    WarmupMessage message;
    message.is_request = true;
    return message;
  }
  int outstanding_requests() const {
    return static_cast<int>(std::ranges::count_if(sent_requests_, [&](const auto& one) {
      return !one.second.answered && now_ < one.second.sent_at + answer_timeout;
    }));
  }
  int eligible_lists() const {
    return static_cast<int>(std::ranges::count_if(lists_, [](const NeighbourList& list) {
      return is_eligible(list.message, ItemKind::endpoint) || is_eligible(list.message, ItemKind::key);
    }));
  }
  const fleet::Member* next_neighbour() const {
    if (requests_ >= max_requests_per_neighbour * budget_.max_neighbours) return nullptr;
    auto is_available = [&](const fleet::Member& member) {
      bool is_time = now_ >= start_ + request_spread_ + (in_own_zone_.at(member.id) ? 0 : link_setup_time);
      return is_time && linked_.count(member.id) && alive_.count(member.id);
    };
    for (const auto& member : neighbours_)
      if (!sent_requests_.count(member.id) && is_available(member)) return &member;
    // Nobody else is left: a request or its answer may have been lost.
    for (const auto& member : neighbours_)
      if (auto request = sent_requests_.find(member.id);
          request != sent_requests_.end() && !request->second.answered &&
          now_ >= request->second.sent_at + min_request_interval && is_available(member))
        return &member;
    return nullptr;
  }
  Millis links_are_up() const { return start_ + request_spread_ + 2 * link_setup_time; }
  Millis asking_ends() const { return start_ + asking_time_share * budget_.time_limit; }
  bool is_alone() { return phase_ == Phase::asking && neighbours_.empty(); }
  void end_if_alone() { end_warming("there is no other relay"); }
  bool needs_more_lists() {
    return phase_ == Phase::asking && now_ < asking_ends() &&
           outstanding_requests() + eligible_lists() < budget_.max_neighbours && next_neighbour() != nullptr;
  }
  void request_list() {
    auto to = next_neighbour()->id;
    sent_requests_[to].sent_at = now_, ++requests_;
    actions_.sends.push_back({to, list_request()});
  }
  bool has_lists() {
    if (phase_ != Phase::asking) return false;
    auto answered =
        std::ranges::count_if(sent_requests_, [](const auto& one) { return one.second.answered; });
    bool enough = answered == std::ssize(neighbours_) || eligible_lists() >= budget_.max_neighbours ||
                  requests_ >= max_requests_per_neighbour * budget_.max_neighbours;
    // Neighbours without a link by then are down: they are not waited for if others have answered.
    bool others_down = answers_ > 0 && now_ >= links_are_up() && !next_neighbour();
    return now_ >= asking_ends() || (outstanding_requests() == 0 && (enough || others_down));
  }

  // Planning.
  double estimated_new_relays() const {
    double others = static_cast<double>(std::max<std::size_t>(1, alive_.size())) - 1;
    double by_answers = answers_ > 0 ? others * cold_answers_ / answers_ : 0;
    double asked_here = 0;
    for (const auto& [member, requester] : requesters_)
      asked_here += now_ < requester.requested_at + max_new_relay_age;
    // Each new relay asks only some of its neighbours, so one that asked here stands for several.
    double by_askers =
        std::min(others, std::max(0.0, asked_here - 1) * others / std::max(1, budget_.max_neighbours));
    return 1 + std::max(by_answers, by_askers);
  }
  void make_plan() {
    auto endpoints = merge_lists(lists_, ItemKind::endpoint), keys = merge_lists(lists_, ItemKind::key);
    if (endpoints.eligible_lists == 0 && keys.eligible_lists == 0)
      return end_warming(answers_ == 0 ? "no neighbour answers"
                                       : "no neighbour has a list with enough uses behind it");
    phase_ = Phase::opening, total_rate_ = endpoints.total_rate;
    auto share = [](int lists) { return lists == 1 ? single_source_share : 1.0; };
    max_connections_ =
        static_cast<std::uint64_t>(std::ceil(budget_.max_connections * share(endpoints.eligible_lists)));
    budget_.max_bytes =
        static_cast<std::size_t>(static_cast<double>(budget_.max_bytes) * share(keys.eligible_lists));
    double new_relays = estimated_new_relays();
    Millis idle_time = budget_.idle_timeout > 0 ? budget_.idle_timeout : default_idle_timeout;
    for (const auto& one : endpoints.items) {
      listed_endpoints_.insert(one.id), listed_rate_ += one.rate;
      actions_.sync_first.push_back(EndpointId{one.id});
      // The k-th connection is used by calls that arrive while k - 1 others are in flight.
      double min_rate = one.rate - one.max_overestimate, mean_in_flight = min_rate * one.mean_duration / 1000;
      std::vector<double> values;
      for (int k = 1; k <= max_per_endpoint; ++k)
        if (double value = min_rate * poisson_at_least(mean_in_flight, k - 1);
            value * idle_time / 1000 >= min_expected_uses)
          values.push_back(value);
      double endpoint_rate = std::clamp(handshakes_per_call * min_rate * static_cast<double>(alive_.size()),
                                        min_endpoint_rate, max_endpoint_rate);
      Millis window = 1000 * new_relays * static_cast<double>(values.size()) / endpoint_rate;
      for (int k = 1; double value : values)
        add_to_plan({EndpointId{one.id}, k++, 0, false, value, now_ + window * random_fraction()});
    }
    // Items that only one neighbour lists come last, and each neighbour has the same small share for them.
    auto connections_per_source =
        endpoints.excluded_by_source.empty()
            ? 0
            : single_source_share * budget_.max_connections / endpoints.eligible_lists;
    for (const auto& items : endpoints.excluded_by_source)
      for (int left = static_cast<int>(std::ceil(connections_per_source)); const auto& one : items) {
        if (left-- == 0 || one.rate * idle_time / 1000 < min_expected_uses) break;
        actions_.sync_first.push_back(EndpointId{one.id});
        add_to_plan({EndpointId{one.id}, 1, 0, true, one.rate,
                     now_ + 1000 * new_relays / min_endpoint_rate * random_fraction()});
      }
    if (budget_.max_bytes > 0)
      for (const auto& one : keys.items) bodies_to_load_.push_back(one.id);
    std::ranges::reverse(bodies_to_load_);
    char line[160];
    std::snprintf(line, sizeof line,
                  "warming begins: %zu lists, %d eligible, %zu endpoints, %zu keys, about %.0f new relays",
                  lists_.size(), std::max(endpoints.eligible_lists, keys.eligible_lists),
                  endpoints.items.size(), keys.items.size(), new_relays);
    actions_.log.push_back(line);
  }

  // Opening.
  void add_to_plan(const PlannedConnection& item) {
    auto order = [](const PlannedConnection& one) { return std::pair(one.single_source, -one.use_rate); };
    auto wake_at = std::ranges::upper_bound(plan_, order(item), {}, order);
    plan_.insert(wake_at, item);
  }
  void drop_endpoint(EndpointId endpoint) {
    std::erase_if(plan_, [&](const PlannedConnection& item) { return item.endpoint == endpoint; });
  }
  void cancel_preconnect(EndpointId endpoint) {
    auto found = preconnects_.find(endpoint);
    if (found == preconnects_.end() || found->second.connecting == 0) return;
    --found->second.connecting, --connecting_, --stats_.opened;
    if (found->second.connecting == 0 && found->second.idle == 0) preconnects_.erase(found);
  }
  // Documents take precedence: nothing is opened while they wait for a slot, and less while they are being
  // sent.
  Millis next_open_at() const {
    if (!state_known_ || free_slots_ <= 0 || connecting_ >= max_connecting) return never;
    return opened_at_ + (waiting_documents_ > 0 ? open_interval_if_busy : open_interval);
  }
  std::vector<PlannedConnection>::iterator next_due_connection() {
    return std::ranges::find_if(plan_, [&](const PlannedConnection& item) { return item.due_at <= now_; });
  }
  bool may_open() {
    return phase_ == Phase::opening && stats_.opened < max_connections_ && now_ >= next_open_at() &&
           next_due_connection() != plan_.end();
  }
  void open_connection() {
    auto item = next_due_connection();
    last_opened_ = *item, opened_at_ = now_;
    plan_.erase(item);
    ++stats_.opened, ++preconnects_[last_opened_->endpoint].connecting, ++connecting_;
    actions_.preconnects.push_back({last_opened_->endpoint, last_opened_->max_connections});
  }
  bool is_connection_budget_spent() {
    return phase_ == Phase::opening && stats_.opened >= max_connections_ && !plan_.empty() &&
           connecting_ == 0;
  }
  void stop_opening() { plan_.clear(), budget_spent_ = true; }

  bool may_load() {
    return phase_ == Phase::opening && !bodies_to_load_.empty() && loading_ < max_loading &&
           free_slots_ > 0 && waiting_documents_ == 0 && loaded_bytes_ < budget_.max_bytes;
  }
  void load_body() {
    actions_.bodies_to_load.push_back(bodies_to_load_.back());
    bodies_to_load_.pop_back(), ++loading_;
  }

  // Ending.
  bool is_time_limit_reached() { return phase_ != Phase::over && now_ >= start_ + budget_.time_limit; }
  void end_at_time_limit() {
    end_warming(phase_ == Phase::asking ? "no list arrived in time" : "the time limit is reached");
  }
  // By then this relay's own list contains whatever the plan still has, unless that is rarer here than
  // reported.
  bool is_own_list_better() {
    if (phase_ != Phase::opening || plan_.empty() || total_rate_ <= 0) return false;
    auto least = std::ranges::min(plan_, {}, &PlannedConnection::use_rate).use_rate;
    return static_cast<double>(own_uses_) * least / total_rate_ >= min_expected_sightings;
  }
  void end_with_better_list() { end_warming("its own list is more accurate"); }
  bool is_useless() {
    if (phase_ != Phase::opening) return false;
    auto finished = stats_.used + stats_.failed + stats_.unused;
    bool unused = finished >= min_settled &&
                  static_cast<double>(stats_.used) < min_used_share * static_cast<double>(finished);
    double expected = total_rate_ > 0 ? std::min(1.0, listed_rate_ / total_rate_) : 0;
    bool mismatched =
        uses_since_plan_ >= min_own_uses &&
        static_cast<double>(hits_) < min_hit_share * expected * static_cast<double>(uses_since_plan_);
    return unused || mismatched;
  }
  void end_useless() { end_warming("its connections are hardly used"); }
  bool is_plan_done() {
    return phase_ == Phase::opening && plan_.empty() && bodies_to_load_.empty() && connecting_ == 0 &&
           loading_ == 0;
  }
  void end_with_plan_done() {
    end_warming(budget_spent_ ? "the connection budget is spent" : "nothing is left to warm");
  }
  void end_warming(const char* why) {
    phase_ = Phase::over;
    plan_.clear(), bodies_to_load_.clear(), lists_.clear(), listed_endpoints_.clear(), last_opened_.reset();
    char line[160];
    std::snprintf(
        line, sizeof line, "warming ends after %.0f ms: %s; opened %llu, used %llu, failed %llu, unused %llu",
        now_ - start_, why, static_cast<unsigned long long>(stats_.opened),
        static_cast<unsigned long long>(stats_.used), static_cast<unsigned long long>(stats_.failed),
        static_cast<unsigned long long>(stats_.unused));
    actions_.log.push_back(line);
  }

  Millis next_wake_at() {
    Millis due = never;
    auto wake_at = [&](Millis when) { due = std::min(due, when); };
    if (phase_ == Phase::over) return due;
    wake_at(start_ + budget_.time_limit);
    if (phase_ == Phase::asking) {
      wake_at(asking_ends());
      for (Millis when :
           {start_ + request_spread_, start_ + request_spread_ + link_setup_time, links_are_up()})
        if (when > now_) wake_at(when);
      for (const auto& [member, request] : sent_requests_)
        for (Millis when : {request.sent_at + answer_timeout, request.sent_at + min_request_interval})
          if (!request.answered && when > now_) wake_at(when);
      return due;
    }
    // Conditions that end without an input: check again soon.
    if (!state_known_ || (!bodies_to_load_.empty() && waiting_documents_ > 0))
      wake_at(now_ + open_interval_if_busy);
    if (auto open = next_open_at(); open < never && stats_.opened < max_connections_)
      for (const auto& item : plan_) wake_at(std::max({item.due_at, open, now_}));
    return due;
  }

  static const std::vector<fleet::Rule<WarmerImpl>> rules;

  WarmupBudget budget_;
  std::minstd_rand random_;
  Phase phase_;
  std::vector<fleet::Member> neighbours_;  // in the order of asking
  std::map<MemberId, bool> in_own_zone_;   // whether it is in the own zone
  Millis now_ = 0, start_ = 0, serving_since_ = 0, request_spread_ = 0, opened_at_ = -never,
         answers_refilled_at_ = 0;
  Actions actions_;

  SpaceSaving endpoints_, keys_;
  std::set<MemberId> alive_, linked_, waiting_requesters_;
  std::map<MemberId, Requester> requesters_;
  double answers_left_ = 0;

  std::map<MemberId, SentRequest> sent_requests_;
  std::vector<NeighbourList> lists_;
  int requests_ = 0, answers_ = 0, cold_answers_ = 0;

  std::vector<PlannedConnection> plan_;           // most useful first
  std::optional<PlannedConnection> last_opened_;  // opened last, in case it is refused
  std::map<EndpointId, PreconnectCounts> preconnects_;
  int connecting_ = 0, waiting_documents_ = 0, free_slots_ = 0, loading_ = 0;
  bool state_known_ = false, started_ = false, budget_spent_ = false;
  std::uint64_t max_connections_ = 0;
  std::vector<std::uint64_t> bodies_to_load_;  // next one last
  std::size_t loaded_bytes_ = 0;
  std::set<std::uint64_t> listed_endpoints_;
  double total_rate_ = 0, listed_rate_ = 0;
  std::uint64_t own_uses_ = 0, uses_since_plan_ = 0, hits_ = 0;
  PreconnectStats stats_;
};

const std::vector<fleet::Rule<WarmerImpl>> WarmerImpl::rules = {
    {"a list is requested", &WarmerImpl::has_requester, &WarmerImpl::answer_request},
    {"no other relay", &WarmerImpl::is_alone, &WarmerImpl::end_if_alone},
    {"time limit reached", &WarmerImpl::is_time_limit_reached, &WarmerImpl::end_at_time_limit},
    {"too few lists", &WarmerImpl::needs_more_lists, &WarmerImpl::request_list},
    {"enough lists", &WarmerImpl::has_lists, &WarmerImpl::make_plan},
    {"own list is more accurate", &WarmerImpl::is_own_list_better, &WarmerImpl::end_with_better_list},
    {"connections hardly used", &WarmerImpl::is_useless, &WarmerImpl::end_useless},
    {"connection budget spent", &WarmerImpl::is_connection_budget_spent, &WarmerImpl::stop_opening},
    {"one more connection", &WarmerImpl::may_open, &WarmerImpl::open_connection},
    {"one more body", &WarmerImpl::may_load, &WarmerImpl::load_body},
    {"plan is done", &WarmerImpl::is_plan_done, &WarmerImpl::end_with_plan_done},
};

}  // namespace

std::unique_ptr<Warmer> Warmer::make(const fleet::Roster& roster, fleet::MemberId self,
                                     const WarmupBudget& budget, bool cold, std::uint64_t seed) {
  return std::make_unique<WarmerImpl>(roster, self, budget, cold, seed);
}

}  // namespace rockcrank::warm
