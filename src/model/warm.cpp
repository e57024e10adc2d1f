// The runs of warming, and what must hold of it: budgets kept, nothing opened after its end, before documents
// at hand or where it may not be, handshakes of many newcomers spread over their endpoints and over time, a
// lying neighbour that steers nobody. Calls, connections and endpoints are short stand-ins. It must never
// look at the lists that the modules lend.
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <set>

#include "model/fellow.h"
#include "model/part.h"

namespace rockcrank::model {

namespace {

using fleet::MemberId;
using warm::ItemKind;
using warm::Warmer;

constexpr Millis within = 10000, idle_life = 8000, measured = 30000;
constexpr int connections_most = 64, neighbours_most = 4, list_most = 64;
constexpr std::size_t bytes_most = 256 << 10;
constexpr double endpoint_takes = 20, calls_share = 0.25,
                 drawn_apart = 2;  // handshakes a second, and by chance
constexpr int slots = 20;

struct Place {                               // connections of one process to one endpoint
  std::deque<std::pair<Millis, bool>> idle;  // since when, and whether opened ahead and not used yet
};

class Warming : public Upper {
 public:
  std::unique_ptr<Warmer> warmer;  // none: starts cold without one
  std::map<int, Place> places;
  int calls_out = 0, went = 0;
  bool is_liar = false;
  int favourite = 0;
  Millis now = 0;
  std::function<void(std::uint64_t)> on_work;
  std::function<void(Warmer::Actions&, int waiting, int free)> on_decided;
  std::function<void(const warm::WarmupMessage&)> on_heard;

  void begin(Millis at) override {
    now = at;
    if (warmer) warmer->begin_turn(at);
  }
  void alive(const std::vector<MemberId>& members) override {
    if (warmer) warmer->set_alive(members);
  }
  void linked(MemberId peer, fleet::Incarnation, bool up) override {
    if (warmer) warmer->on_link_change(peer, up);
  }
  void heard(MemberId from, const Payload& message) override {
    if (const auto* list = std::get_if<warm::WarmupMessage>(&message); list && warmer)
      warmer->on_message(from, *list);
  }
  void given_up_on() override {
    if (warmer) warmer->on_stall();
  }
  void work(std::uint64_t what) override { on_work(what); }
  Millis decide(Outbox& outbox) override {
    if (!warmer) return -1;
    int waiting = std::exchange(went, 0), free = slots - calls_out;
    warmer->set_load(waiting, free);
    warmer->set_state_known(true);
    auto decided = warmer->decide();
    on_decided(decided, waiting, free);
    for (auto& send : decided.sends) {
      if (is_liar && !send.message.is_request) {
        send.message.serving_time = 1e9, send.message.items.clear();
        warm::PopularItem lie;
        lie.id = static_cast<std::uint64_t>(favourite), lie.rate = 1e6, lie.mean_duration = 1000;
        send.message.items.push_back(lie);
        send.message.endpoint_rate = 1e6;
      }
      outbox.emplace_back(send.to, std::move(send.message));
    }
    return decided.wake_in;
  }
};

class WarmTrial : public Trial {
 public:
  explicit WarmTrial(const Order& order) : order_(order) {}

  void begin(World& world) override {
    Chance chance(mixed(world.seed(), 0x71));
    members_.resize(world.machines());
    endpoints_ = 5 + chance.below(150);
    zipf_ = chance.between(0.6, 1.2);
    double sum = 0;
    for (int i = 0; i < endpoints_; ++i) {
      weights_.push_back(sum += std::pow(i + 1, -zipf_));
      barred_.push_back(i > 0 && chance.odds(0.1)), failing_.push_back(i > 0 && chance.odds(0.05));
    }
    calls_a_second_ = chance.between(5, world.shape().members > 30 ? 12 : 40);
    liar_ = chance.odds(0.3) ? chance.below(world.shape().members) : -1;
    handshakes_.resize(endpoints_);
  }

  std::unique_ptr<Modules> boot(World& world, int place, const std::any&, Millis) override {
    auto& machine = world.machine(place);
    auto self = world.roster()[machine.member].id;
    auto& member = members_[place];
    member = Member();
    auto warming = std::make_unique<Warming>();
    member.warming = warming.get();
    member.newcomer = machine.boots > 1;
    member.with = share_of(mixed(world.seed(), 0x72, place, machine.boots)) < 0.8;
    member.booted = world.now();
    warming->is_liar = place == liar_, warming->favourite = endpoints_ - 1;
    warm::WarmupBudget budget{neighbours_most, connections_most, list_most, bytes_most, within, idle_life};
    if (member.with || !member.newcomer)
      warming->warmer =
          Warmer::make(world.roster(), self, budget, true, mixed(world.seed(), 0x73, place, machine.boots));
    warming->on_work = [this, &world, place](std::uint64_t what) { work(world, place, acts_[what]); };
    warming->on_decided = [this, &world, place](auto& decided, int waiting, int free) {
      carry_out(world, place, decided, waiting, free);
    };
    // Calls begin at once: a newcomer serves from its start.
    next_call(world, place);
    auto below = mixed(world.seed(), 0x41, place, machine.boots);
    return std::make_unique<Fellow>(fleet::Membership::make(world.roster(), self, machine.life, below),
                                    std::move(warming));
  }
  void killed(World& world, int place) override { measure(world, place), members_[place].warming = nullptr; }

  void event(World& world, std::uint64_t what) override {
    const auto& act = acts_[what];
    if (world.machine(act.place).state != Machine::State::off && world.machine(act.place).boots == act.boots)
      world.give(act.place, what);
  }

  void watch(World& world) override {
    for (int i = 0; i < world.machines(); ++i) {
      auto& member = members_[i];
      if (!world.running(i) || !member.warming || !member.warming->warmer) continue;
      if (world.now() > member.booted + 1.05 * within + 2000 + member.stalled &&
          !member.warming->warmer->is_finished() && world.faults().empty())
        world.broken("ends", "member %d still warms after %.0f ms", i, world.now() - member.booted);
    }
  }

  void finish(World& world) override {
    for (int i = 0; i < world.machines(); ++i)
      if (members_[i].warming) measure(world, i);
    if (!order_.samples) return;
    auto size = std::to_string(world.shape().members) + " members";
    for (auto& [name, list] : samples_) {
      auto& all = (*order_.samples)[name + ", " + size];
      all.insert(all.end(), list.begin(), list.end());
    }
  }

 private:
  struct Member {
    Warming* warming = nullptr;
    bool newcomer = false, with = true;
    Millis booted = 0, stalled = 0;
    int opened = 0, to_favourite = 0, met = 0, calls = 0;
    int opened_used = 0, opened_unused = 0;
    std::set<MemberId> asked;
  };
  struct Act {
    enum Kind { call, answered, up, idle } kind{};
    int place = 0, boots = 0, endpoint = 0;
    bool ahead = false;
  };

  void act(World& world, Millis at, Act what) {
    what.boots = world.machine(what.place).boots;
    acts_.push_back(what);
    world.call(at, acts_.size() - 1);
  }
  void next_call(World& world, int place) {
    act(world, world.now() - 1000 / calls_a_second_ * std::log(1 - world.chance().share()),
        {Act::call, place, 0, 0, false});
  }
  int draw_endpoint(World& world) {
    auto drawn = world.chance().share() * weights_.back();
    return static_cast<int>(std::lower_bound(weights_.begin(), weights_.end(), drawn) - weights_.begin());
  }
  void used(Warming& warming, int endpoint) {
    if (warming.warmer)
      warming.warmer->record_use(ItemKind::endpoint, static_cast<std::uint64_t>(endpoint), 20);
  }
  void fate(Warming& warming, int endpoint, Warmer::ConnectionEvent fate) {
    if (warming.warmer)
      warming.warmer->on_connection_event(EndpointId{static_cast<std::uint64_t>(endpoint)}, fate);
  }

  void work(World& world, int place, const Act& act) {
    auto& member = members_[place];
    auto& warming = *member.warming;
    auto& idle = warming.places[act.endpoint].idle;
    switch (act.kind) {
      case Act::call: {
        next_call(world, place);
        auto endpoint = draw_endpoint(world);
        if (barred_[endpoint] || failing_[endpoint] || warming.calls_out >= slots) return;
        ++warming.went, ++warming.calls_out, ++calls_[endpoint];
        auto& connections = warming.places[endpoint].idle;
        bool early = world.now() < member.booted + measured;
        member.calls += early;
        Millis took = world.chance().between(2, 60);
        if (connections.empty()) member.met += early, took += world.chance().between(5, 30);
        else {
          if (connections.back().second)
            fate(warming, endpoint, Warmer::ConnectionEvent::used), ++member.opened_used;
          connections.pop_back();
        }
        this->act(world, world.now() + took, {Act::answered, place, 0, endpoint, false});
        return;
      }
      case Act::answered:
        --warming.calls_out;
        used(warming, act.endpoint);
        idle.push_back({world.now(), false});
        this->act(world, world.now() + idle_life + 1, {Act::idle, place, 0, act.endpoint, false});
        return;
      case Act::up:
        if (failing_[act.endpoint]) return fate(warming, act.endpoint, Warmer::ConnectionEvent::failed);
        fate(warming, act.endpoint, Warmer::ConnectionEvent::connected);
        idle.push_front({world.now(), true});
        this->act(world, world.now() + idle_life + 1, {Act::idle, place, 0, act.endpoint, true});
        return;
      case Act::idle:
        for (auto it = idle.begin(); it != idle.end();) {
          if (world.now() < it->first + idle_life) {
            ++it;
            continue;
          }
          if (it->second)
            fate(warming, act.endpoint, Warmer::ConnectionEvent::unused), ++member.opened_unused;
          it = idle.erase(it);
        }
        return;
    }
  }

  void carry_out(World& world, int place, Warmer::Actions& decided, int waiting, int free) {
    auto& member = members_[place];
    auto& warming = *member.warming;
    for (const auto& line : decided.log) world.note("member %d says: %s", place, line.c_str());
    for (const auto& send : decided.sends)
      if (send.message.is_request) member.asked.insert(send.to);
    if (order_.plant == "asks-all" && member.newcomer)
      for (const auto& other : world.roster()) member.asked.insert(other.id);
    if (static_cast<int>(member.asked.size()) > neighbours_most * 3)
      world.broken("asks", "member %d asks %zu neighbours", place, member.asked.size());
    if (order_.plant == "opens-much" && !decided.preconnects.empty())
      for (int i = 0; i < 100; ++i)
        decided.preconnects.push_back({EndpointId{static_cast<std::uint64_t>(i % endpoints_)}, 1000});
    for (const auto& ahead : decided.preconnects) {
      int endpoint = static_cast<int>(static_cast<std::uint64_t>(ahead.endpoint));
      if (endpoint < 0 || endpoint >= endpoints_) {
        warming.warmer->on_preconnect_unneeded(ahead.endpoint);
        continue;
      }
      if (free <= 0)
        world.broken("documents-first", "member %d opens ahead with %d documents at hand", place, waiting);
      if (world.now() > member.booted + 1.05 * within + 2000 && world.faults().empty())
        world.broken("ends", "member %d opens ahead %.0f ms after its start", place,
                     world.now() - member.booted);
      auto& idle = warming.places[endpoint].idle;
      if (static_cast<int>(idle.size()) >= ahead.max_connections) {
        warming.warmer->on_preconnect_unneeded(ahead.endpoint);
        continue;
      }
      if (barred_[endpoint]) {
        warming.warmer->on_preconnect_refused(ahead.endpoint);
        continue;
      }
      if (++member.opened > connections_most)
        world.broken("budget", "member %d opens %d connections ahead", place, member.opened);
      member.to_favourite += endpoint == endpoints_ - 1;
      if (liar_ >= 0 && place != liar_ && world.shape().members > 4 &&
          member.to_favourite > connections_most / 4)
        world.broken("steered", "member %d opens %d connections where one liar says", place,
                     member.to_favourite);
      shaken(world, endpoint);
      act(world, world.now() + world.chance().between(5, 30), {Act::up, place, 0, endpoint, true});
    }
    for (std::size_t i = 0; i < decided.bodies_to_load.size(); ++i) warming.warmer->on_body_loaded(1000);
  }

  // Handshakes opened ahead by all members, within a second at one endpoint.
  void shaken(World& world, int endpoint) {
    auto& times = handshakes_[endpoint];
    int at_once = order_.plant == "all-at-once" ? 40 : 1;
    for (int i = 0; i < at_once; ++i) times.push_back(world.now());
    while (!times.empty() && times.front() < world.now() - 1000) times.pop_front();
    auto calls_a_second = calls_[endpoint] / std::max(1.0, world.now() / 1000);
    auto most = drawn_apart * std::max(endpoint_takes, calls_share * calls_a_second) + 10;
    if (static_cast<double>(times.size()) > most)
      world.broken("spread", "endpoint %d gets %zu handshakes ahead within a second", endpoint, times.size());
  }

  void measure(World& world, int place) {
    const auto& member = members_[place];
    if (!order_.samples || !member.newcomer || world.now() < member.booted + measured || member.calls < 50)
      return;
    std::string name = member.with ? "warmed" : "cold";
    samples_["handshakes met by documents in 30 s, of 1000 calls, " + name].push_back(1000.0 * member.met /
                                                                                      member.calls);
    if (member.with && member.opened > 0)
      samples_["opened ahead and never used, of 100"].push_back(100.0 * member.opened_unused / member.opened);
  }

  Order order_;
  std::vector<Member> members_;
  std::vector<Act> acts_;
  std::vector<double> weights_;
  std::vector<bool> barred_, failing_;
  std::vector<std::deque<Millis>> handshakes_;
  std::map<int, double> calls_;
  Samples samples_;
  int endpoints_ = 0, liar_ = -1;
  double zipf_ = 1, calls_a_second_ = 10;
};

Shape shape_of(Chance& chance, int relays) {
  Shape shape;
  shape.members = draw_members(chance, relays, relays > 0 ? 300 : 100);
  shape.halls = 1 + chance.below(3);
  shape.far = chance.between(0.5, 20);
  shape.warm_up = 25000;
  shape.healed = shape.warm_up + 12000;
  shape.end = shape.healed + measured + 3000;
  shape.drift = 0.01;
  return shape;
}

}  // namespace

Part warm_part() {
  Part part;
  part.name = "warm", part.shape = shape_of;
  part.make = [](const Order& order) -> std::unique_ptr<Trial> { return std::make_unique<WarmTrial>(order); };
  part.weather.calm = 0.05, part.weather.kills_only = 0.4, part.weather.links_only = 0.05,
  part.weather.for_good = 0;
  part.weather.mass = 0.3;
  part.plants = {{"asks-all", "asks"}, {"opens-much", "budget"}, {"all-at-once", "spread"}};
  return part;
}

}  // namespace rockcrank::model
