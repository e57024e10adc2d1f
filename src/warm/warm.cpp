// All decisions of warming: whom a newcomer asks, what it makes of the lists it borrows, which connection
// goes up when, which body is brought into memory, and when all of that ends. Rules as one ordered list, run
// after every input until none fires. It must never open beyond its budgets, or anything after its end.

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

// Lending: a list is some kilobytes, so an asker gets one a second, and all together so many.
constexpr Millis asker_rests = 1000;
constexpr double answers_a_second = 20;
constexpr std::size_t entries_per_listed =
    4;  // of the sketch: it errs by a quarter of what a list of its own would
constexpr std::size_t list_longest = 4096;  // of another relay's, whose file may allow more than ours

// Asking: neighbours of the own hall at once, others once links had time to come up; questions of a fleet
// that starts together spread over time, by its size.
constexpr Millis links_come = 300, spread_per_member = 3, spread_most = 1000, answer_within = 400;
constexpr int questions_per_neighbour = 3;
constexpr double asking_share = 0.3;  // of the time of warming
constexpr Millis newcomer_age = 15000;

// Opening. The pace is of one newcomer; an endpoint sees all of them together, so each of their handshakes
// falls anywhere within the time in which that endpoint would take all at so many a second.
constexpr Millis open_every = 5, open_every_busy = 50;
constexpr int under_way_most = 8, at_one_endpoint = 8, asked_again = 3;
// handshakes a second: so many, or as many as it has calls of all relays: documents of as many newcomers
// would open hardly fewer there in their first second.
constexpr double endpoint_takes = 20, calls_share = 1, takes_most = 200;
constexpr double lone_share = 0.25;  // of the budgets, where no second list speaks for the first
constexpr double uses_expected = 1;  // while it rests: it is then used with 0.63 at least
constexpr Millis rest_unknown = 10000, may_not_rests = 1000;
constexpr int loads_under_way = 16;

// Ending.
constexpr std::uint64_t settled_least = 8, own_uses_least = 40;
constexpr double used_share = 1.0 / 3, hits_share = 0.4;
constexpr double times_seen = 3;  // what would have been seen so often and was not is rarer, at 0.95

double at_least(double mean, int number) {  // of a Poisson distribution
  double below = 0, term = std::exp(-mean);
  for (int i = 0; i < number; ++i) below += term, term *= mean / (i + 1);
  return std::max(0.0, 1 - below);
}

class Mind final : public Warmer {
 public:
  Mind(const fleet::Roster& roster, MemberId self, const WarmupBudget& budget, bool cold, std::uint64_t seed)
      : budget_(budget),
        chance_(static_cast<std::minstd_rand::result_type>(seed ^ seed >> 32)),
        phase_(cold ? Phase::asking : Phase::over),
        endpoints_(entries_per_listed * static_cast<std::size_t>(std::max(0, budget.max_list_items)),
                   sketch_time_constant),
        keys_(entries_per_listed * static_cast<std::size_t>(std::max(0, budget.max_list_items)),
              sketch_time_constant) {
    chance_.discard(4);  // the first draws of seeds that lie close are close
    std::string hall;
    for (const auto& member : roster)
      if (member.id == self) hall = member.zone;
    // Next on the ring: each is asked by those before it, so that questions spread over all.
    auto after = [&](const fleet::Member& m) {
      return static_cast<std::uint64_t>(m.id) - static_cast<std::uint64_t>(self);
    };
    for (const auto& member : roster)
      if (member.id != self) neighbours_.push_back(member);
    std::ranges::sort(neighbours_, [&](const auto& a, const auto& b) {
      return std::pair(a.zone != hall, after(a)) < std::pair(b.zone != hall, after(b));
    });
    for (const auto& member : neighbours_) near_[member.id] = member.zone == hall;
    spread_ = drawn() * std::min(spread_most, spread_per_member * static_cast<double>(roster.size()));
  }

  void begin_turn(Millis now) override {
    if (!std::exchange(begun_, true))
      start_ = serving_since_ = now, answers_left_ = answers_a_second, filled_at_ = now;
    now_ = now, waiting_ = 0, done_ = {};
    answers_left_ = std::min(answers_a_second, answers_left_ + (now_ - filled_at_) * answers_a_second / 1000);
    filled_at_ = now_;
  }
  void set_alive(const std::vector<MemberId>& members) override { alive_ = {members.begin(), members.end()}; }
  void on_link_change(MemberId peer, bool up) override {
    if (up) links_.insert(peer);
    else links_.erase(peer);
  }
  void on_stall() override { serving_since_ = now_; }

  void on_message(MemberId from, const WarmupMessage& message) override {
    if (!near_.count(from)) return;
    if (message.is_request) {
      askers_[from].asked = now_;
      asks_.insert(from);
      return;
    }
    auto asked = asked_.find(from);
    // Only an answer to a question, once, while lists are gathered: an old one tells of another time.
    if (phase_ != Phase::asking || asked == asked_.end() || asked->second.answered) return;
    asked->second.answered = true;
    if (auto why = validation_error(message, list_longest); !why.empty()) {
      done_.log.push_back("warming: the list of " + name(from) + " is not believed: " + why);
      return;
    }
    cold_answers_ += message.serving_time < newcomer_age, ++answers_;
    lists_.push_back({near_[from], message});
  }

  void record_use(ItemKind sort, std::uint64_t id, Millis took) override {
    (sort == ItemKind::endpoint ? endpoints_ : keys_).add(now_, id, took);
    if (sort != ItemKind::endpoint || phase_ == Phase::over) return;
    ++own_uses_;
    if (phase_ == Phase::opening) ++uses_since_plan_, hits_ += listed_.count(id);
  }
  void set_load(int waiting, int free_slots) override { waiting_ = waiting, free_slots_ = free_slots; }
  void set_state_known(bool known) override { state_known_ = known; }

  void on_connection_event(EndpointId endpoint, ConnectionEvent fate) override {
    auto& lines = lines_[endpoint];
    auto leave = [&] {
      if (lines.resting > 0) --lines.resting;
      else if (lines.coming > 0) --lines.coming, --coming_;
    };
    switch (fate) {
      case ConnectionEvent::connected:
        if (lines.coming > 0) --lines.coming, --coming_, ++lines.resting;
        return;
      case ConnectionEvent::used: leave(), ++count_.used; break;
      case ConnectionEvent::unused: leave(), ++count_.unused; break;
      case ConnectionEvent::failed:
        // Whether it takes calls is for documents to find out; nothing more is opened there ahead.
        if (lines.coming > 0) --lines.coming, --coming_;
        ++count_.failed, drop(endpoint);
    }
    if (lines.coming == 0 && lines.resting == 0) lines_.erase(endpoint);
  }
  void on_preconnect_refused(EndpointId endpoint) override {
    take_back(endpoint);
    // What follows there waits as long: the answer was for the endpoint.
    for (auto& item : plan_)
      if (item.endpoint == endpoint) item.due = std::max(item.due, now_ + may_not_rests);
    if (!last_ || last_->endpoint != endpoint) return;
    if (++last_->refused < asked_again) last_->due = now_ + may_not_rests * last_->refused, put(*last_);
    last_.reset();
  }
  void on_preconnect_unneeded(EndpointId endpoint) override { take_back(endpoint), last_.reset(); }
  void on_body_loaded(std::size_t bytes) override {
    loading_ = std::max(0, loading_ - 1), bytes_ += bytes;
    if (bytes_ >= budget_.max_bytes) loads_.clear();
  }

  Actions decide() override {
    fleet::run_by_priority(*this, rules);
    auto due = next_due();
    done_.wake_in = due >= never ? -1 : std::max(0.0, due - now_);
    return std::move(done_);
  }

  bool is_finished() const override { return phase_ == Phase::over; }
  PreconnectStats stats() const override { return count_; }

 private:
  enum class Phase { asking, opening, over };
  struct Asked {
    Millis at = 0;
    bool answered = false;
  };
  struct Asker {
    Millis asked = -never, answered = -never;
  };
  struct Item {  // one more connection
    EndpointId endpoint{};
    int up_to = 0, refused = 0;
    bool apart = false;  // named by one lender alone
    double value = 0;    // times a second that a document would use it
    Millis due = 0;
  };
  struct Lines {
    int coming = 0, resting = 0;
  };
  double drawn() { return std::uniform_real_distribution<>(0, 1)(chance_); }
  std::string name(MemberId id) const {
    for (const auto& member : neighbours_)
      if (member.id == id) return member.name;
    return "?";
  }

  // Lending.
  // A question may come before the link that carries the answer is up; one that waits for it too long is
  // dropped.
  std::set<MemberId>::iterator answerable() {
    return std::ranges::find_if(asks_, [&](MemberId from) {
      return links_.count(from) || now_ >= askers_[from].asked + answer_within;
    });
  }
  bool is_asked() { return answerable() != asks_.end(); }
  void answer() {
    auto asked = answerable();
    MemberId to = *asked;
    asks_.erase(asked);
    if (!links_.count(to)) return;
    // Guards against one, or many, that ask too much: they get no answer, and ask others.
    auto& asker = askers_[to];
    if (now_ < asker.answered + asker_rests || answers_left_ < 1) return;
    --answers_left_, asker.answered = now_;
    done_.sends.push_back({to, list()});
  }
  WarmupMessage list() const {
    WarmupMessage message;
    message.serving_time = now_ - serving_since_;
    Millis age = std::max(1000.0, now_ - start_),
           whole = sketch_time_constant * (1 - std::exp(-age / sketch_time_constant));
    auto rate = [&](double count) { return count * 1000 / whole; };
    message.endpoint_rate = rate(endpoints_.total(now_)), message.key_rate = rate(keys_.total(now_));
    auto most = static_cast<std::size_t>(std::max(0, budget_.max_list_items));
    auto keys = std::min(keys_.size(), std::max(most / 2, most - std::min(most, endpoints_.size())));
    auto add = [&](ItemKind sort, const SpaceSaving& sketch, std::size_t number) {
      for (const auto& entry : sketch.top(now_, number)) {
        // The time of a use is known of those counted since the entry got its place.
        double counted = entry.count - entry.max_overestimate;
        message.items.push_back({sort, entry.id, rate(entry.count), rate(entry.max_overestimate),
                                 counted > 0 ? entry.total_duration / counted : 0});
      }
    };
    add(ItemKind::endpoint, endpoints_, most - keys);
    add(ItemKind::key, keys_, keys);
    return message;
  }

  // Asking.
  static WarmupMessage question() {
    WarmupMessage message;
    message.is_request = true;
    return message;
  }
  int outstanding() const {
    return static_cast<int>(std::ranges::count_if(asked_, [&](const auto& one) {
      return !one.second.answered && now_ < one.second.at + answer_within;
    }));
  }
  int voices() const {
    return static_cast<int>(std::ranges::count_if(lists_, [](const NeighbourList& lent) {
      return is_eligible(lent.message, ItemKind::endpoint) || is_eligible(lent.message, ItemKind::key);
    }));
  }
  const fleet::Member* next_neighbour() const {
    if (questions_ >= questions_per_neighbour * budget_.max_neighbours) return nullptr;
    auto at_hand = [&](const fleet::Member& member) {
      bool time = now_ >= start_ + spread_ + (near_.at(member.id) ? 0 : links_come);
      return time && links_.count(member.id) && alive_.count(member.id);
    };
    for (const auto& member : neighbours_)
      if (!asked_.count(member.id) && at_hand(member)) return &member;
    // Nobody else is left: a question or its answer may only have been lost.
    for (const auto& member : neighbours_)
      if (auto asked = asked_.find(member.id); asked != asked_.end() && !asked->second.answered &&
                                               now_ >= asked->second.at + asker_rests && at_hand(member))
        return &member;
    return nullptr;
  }
  Millis links_are_up() const { return start_ + spread_ + 2 * links_come; }
  Millis asking_ends() const { return start_ + asking_share * budget_.time_limit; }
  bool nobody_else() { return phase_ == Phase::asking && neighbours_.empty(); }
  void end_alone() { end("there is no other relay"); }
  bool lacks_lists() {
    return phase_ == Phase::asking && now_ < asking_ends() &&
           outstanding() + voices() < budget_.max_neighbours && next_neighbour() != nullptr;
  }
  void ask() {
    auto to = next_neighbour()->id;
    asked_[to].at = now_, ++questions_;
    done_.sends.push_back({to, question()});
  }
  bool has_lists() {
    if (phase_ != Phase::asking) return false;
    auto answered = std::ranges::count_if(asked_, [](const auto& one) { return one.second.answered; });
    bool enough = answered == std::ssize(neighbours_) || voices() >= budget_.max_neighbours ||
                  questions_ >= questions_per_neighbour * budget_.max_neighbours;
    // Those that have no link by then are down: they are not waited for where others have answered.
    bool rest_down = answers_ > 0 && now_ >= links_are_up() && !next_neighbour();
    return now_ >= asking_ends() || (outstanding() == 0 && (enough || rest_down));
  }

  // Planning.
  double newcomers() const {
    double others = static_cast<double>(std::max<std::size_t>(1, alive_.size())) - 1;
    double by_answers = answers_ > 0 ? others * cold_answers_ / answers_ : 0;
    double asked_me = 0;
    for (const auto& [member, asker] : askers_) asked_me += now_ < asker.asked + newcomer_age;
    // Each newcomer asks some of its neighbours; one that asked here may be the only one.
    double by_askers =
        std::min(others, std::max(0.0, asked_me - 1) * others / std::max(1, budget_.max_neighbours));
    return 1 + std::max(by_answers, by_askers);
  }
  void make_plan() {
    auto endpoints = merge_lists(lists_, ItemKind::endpoint), keys = merge_lists(lists_, ItemKind::key);
    if (endpoints.eligible_lists == 0 && keys.eligible_lists == 0)
      return end(answers_ == 0 ? "no neighbour answers" : "no neighbour has a list that tells enough");
    phase_ = Phase::opening, all_uses_ = endpoints.total_rate;
    auto share = [](int voices) { return voices == 1 ? lone_share : 1.0; };
    connections_ =
        static_cast<std::uint64_t>(std::ceil(budget_.max_connections * share(endpoints.eligible_lists)));
    budget_.max_bytes =
        static_cast<std::size_t>(static_cast<double>(budget_.max_bytes) * share(keys.eligible_lists));
    double many = newcomers();
    Millis rests = budget_.idle_timeout > 0 ? budget_.idle_timeout : rest_unknown;
    for (const auto& one : endpoints.items) {
      listed_.insert(one.id), listed_uses_ += one.rate;
      done_.sync_first.push_back(EndpointId{one.id});
      // The k-th connection is used by calls that meet k - 1 others out.
      double sure = one.rate - one.max_overestimate, at_once = sure * one.mean_duration / 1000;
      std::vector<double> values;
      for (int k = 1; k <= at_one_endpoint; ++k)
        if (double value = sure * at_least(at_once, k - 1); value * rests / 1000 >= uses_expected)
          values.push_back(value);
      double takes =
          std::clamp(calls_share * sure * static_cast<double>(alive_.size()), endpoint_takes, takes_most);
      Millis window = 1000 * many * static_cast<double>(values.size()) / takes;
      for (int k = 1; double value : values)
        put({EndpointId{one.id}, k++, 0, false, value, now_ + window * drawn()});
    }
    // What one alone names comes last, and each lender has the same small room for it.
    auto room = endpoints.excluded_by_source.empty()
                    ? 0
                    : lone_share * budget_.max_connections / endpoints.eligible_lists;
    for (const auto& things : endpoints.excluded_by_source)
      for (int left = static_cast<int>(std::ceil(room)); const auto& one : things) {
        if (left-- == 0 || one.rate * rests / 1000 < uses_expected) break;
        done_.sync_first.push_back(EndpointId{one.id});
        put({EndpointId{one.id}, 1, 0, true, one.rate, now_ + 1000 * many / endpoint_takes * drawn()});
      }
    if (budget_.max_bytes > 0)
      for (const auto& one : keys.items) loads_.push_back(one.id);
    std::ranges::reverse(loads_);
    char line[160];
    std::snprintf(line, sizeof line,
                  "warming begins: %zu lists, %d heeded, %zu endpoints, %zu keys, about %.0f newcomers",
                  lists_.size(), std::max(endpoints.eligible_lists, keys.eligible_lists),
                  endpoints.items.size(), keys.items.size(), many);
    done_.log.push_back(line);
  }

  // Opening.
  void put(const Item& item) {
    auto order = [](const Item& one) { return std::pair(one.apart, -one.value); };
    auto at = std::ranges::upper_bound(plan_, order(item), {}, order);
    plan_.insert(at, item);
  }
  void drop(EndpointId endpoint) {
    std::erase_if(plan_, [&](const Item& item) { return item.endpoint == endpoint; });
  }
  void take_back(EndpointId endpoint) {
    auto found = lines_.find(endpoint);
    if (found == lines_.end() || found->second.coming == 0) return;
    --found->second.coming, --coming_, --count_.opened;
    if (found->second.coming == 0 && found->second.resting == 0) lines_.erase(found);
  }
  // Documents at hand go first: nothing is opened while they wait for a slot, and less while they go.
  Millis open_at() const {
    if (!state_known_ || free_slots_ <= 0 || coming_ >= under_way_most) return never;
    return opened_at_ + (waiting_ > 0 ? open_every_busy : open_every);
  }
  std::vector<Item>::iterator due_item() {
    return std::ranges::find_if(plan_, [&](const Item& item) { return item.due <= now_; });
  }
  bool may_open() {
    return phase_ == Phase::opening && count_.opened < connections_ && now_ >= open_at() &&
           due_item() != plan_.end();
  }
  void open() {
    auto item = due_item();
    last_ = *item, opened_at_ = now_;
    plan_.erase(item);
    ++count_.opened, ++lines_[last_->endpoint].coming, ++coming_;
    done_.preconnects.push_back({last_->endpoint, last_->up_to});
  }
  bool is_spent() {
    return phase_ == Phase::opening && count_.opened >= connections_ && !plan_.empty() && coming_ == 0;
  }
  void open_no_more() { plan_.clear(), spent_ = true; }

  bool may_load() {
    return phase_ == Phase::opening && !loads_.empty() && loading_ < loads_under_way && free_slots_ > 0 &&
           waiting_ == 0 && bytes_ < budget_.max_bytes;
  }
  void load() {
    done_.bodies_to_load.push_back(loads_.back());
    loads_.pop_back(), ++loading_;
  }

  // Ending.
  bool is_late() { return phase_ != Phase::over && now_ >= start_ + budget_.time_limit; }
  void end_late() { end(phase_ == Phase::asking ? "no list came in time" : "its time is spent"); }
  // By then its own list holds whatever the plan still names, unless that is rarer here than it says.
  bool knows_better() {
    if (phase_ != Phase::opening || plan_.empty() || all_uses_ <= 0) return false;
    auto least = std::ranges::min(plan_, {}, &Item::value).value;
    return static_cast<double>(own_uses_) * least / all_uses_ >= times_seen;
  }
  void end_better() { end("its own list is the better one"); }
  bool is_of_no_use() {
    if (phase_ != Phase::opening) return false;
    auto settled = count_.used + count_.failed + count_.unused;
    bool unused = settled >= settled_least &&
                  static_cast<double>(count_.used) < used_share * static_cast<double>(settled);
    double expected = all_uses_ > 0 ? std::min(1.0, listed_uses_ / all_uses_) : 0;
    bool strange = uses_since_plan_ >= own_uses_least &&
                   static_cast<double>(hits_) < hits_share * expected * static_cast<double>(uses_since_plan_);
    return unused || strange;
  }
  void end_of_no_use() { end("what it opens is not asked for"); }
  bool is_done() {
    return phase_ == Phase::opening && plan_.empty() && loads_.empty() && coming_ == 0 && loading_ == 0;
  }
  void end_done() { end(spent_ ? "its connections are spent" : "nothing is left to warm"); }
  void end(const char* why) {
    phase_ = Phase::over;
    plan_.clear(), loads_.clear(), lists_.clear(), listed_.clear(), last_.reset();
    char line[160];
    std::snprintf(
        line, sizeof line, "warming ends after %.0f ms: %s; opened %llu, used %llu, failed %llu, unused %llu",
        now_ - start_, why, static_cast<unsigned long long>(count_.opened),
        static_cast<unsigned long long>(count_.used), static_cast<unsigned long long>(count_.failed),
        static_cast<unsigned long long>(count_.unused));
    done_.log.push_back(line);
  }

  Millis next_due() {
    Millis due = never;
    auto at = [&](Millis when) { due = std::min(due, when); };
    if (phase_ == Phase::over) return due;
    at(start_ + budget_.time_limit);
    if (phase_ == Phase::asking) {
      at(asking_ends());
      for (Millis when : {start_ + spread_, start_ + spread_ + links_come, links_are_up()})
        if (when > now_) at(when);
      for (const auto& [member, asked] : asked_)
        for (Millis when : {asked.at + answer_within, asked.at + asker_rests})
          if (!asked.answered && when > now_) at(when);
      return due;
    }
    // What keeps it from opening and is not told by an input: looked at again before long.
    if (!state_known_ || (!loads_.empty() && waiting_ > 0)) at(now_ + open_every_busy);
    if (auto open = open_at(); open < never && count_.opened < connections_)
      for (const auto& item : plan_) at(std::max({item.due, open, now_}));
    return due;
  }

  static const std::vector<fleet::Rule<Mind>> rules;

  WarmupBudget budget_;
  std::minstd_rand chance_;
  Phase phase_;
  std::vector<fleet::Member> neighbours_;  // in the order of asking
  std::map<MemberId, bool> near_;          // of the own hall
  Millis now_ = 0, start_ = 0, serving_since_ = 0, spread_ = 0, opened_at_ = -never, filled_at_ = 0;
  Actions done_;

  SpaceSaving endpoints_, keys_;
  std::set<MemberId> alive_, links_, asks_;
  std::map<MemberId, Asker> askers_;
  double answers_left_ = 0;

  std::map<MemberId, Asked> asked_;
  std::vector<NeighbourList> lists_;
  int questions_ = 0, answers_ = 0, cold_answers_ = 0;

  std::vector<Item> plan_;    // the most useful first
  std::optional<Item> last_;  // opened last, in case it may not
  std::map<EndpointId, Lines> lines_;
  int coming_ = 0, waiting_ = 0, free_slots_ = 0, loading_ = 0;
  bool state_known_ = false, begun_ = false, spent_ = false;
  std::uint64_t connections_ = 0;
  std::vector<std::uint64_t> loads_;  // the next last
  std::size_t bytes_ = 0;
  std::set<std::uint64_t> listed_;
  double all_uses_ = 0, listed_uses_ = 0;
  std::uint64_t own_uses_ = 0, uses_since_plan_ = 0, hits_ = 0;
  PreconnectStats count_;
};

const std::vector<fleet::Rule<Mind>> Mind::rules = {
    {"a list is asked for", &Mind::is_asked, &Mind::answer},
    {"nobody to ask", &Mind::nobody_else, &Mind::end_alone},
    {"the time is spent", &Mind::is_late, &Mind::end_late},
    {"too few lists", &Mind::lacks_lists, &Mind::ask},
    {"enough lists", &Mind::has_lists, &Mind::make_plan},
    {"its own list is the better one", &Mind::knows_better, &Mind::end_better},
    {"not asked for", &Mind::is_of_no_use, &Mind::end_of_no_use},
    {"connections spent", &Mind::is_spent, &Mind::open_no_more},
    {"one more connection", &Mind::may_open, &Mind::open},
    {"one more body", &Mind::may_load, &Mind::load},
    {"all is done", &Mind::is_done, &Mind::end_done},
};

}  // namespace

std::unique_ptr<Warmer> Warmer::make(const fleet::Roster& roster, fleet::MemberId self,
                                     const WarmupBudget& budget, bool cold, std::uint64_t seed) {
  return std::make_unique<Mind>(roster, self, budget, cold, seed);
}

}  // namespace rockcrank::warm
