// The runs of membership, and what must hold of it: no false death where nothing but links between two
// members breaks, none that lasts after healing, a death found out in time, a stalled process told that it
// was given up on, and never more than so many messages a member and second. It must never ask the module how
// it concludes.
#include <algorithm>
#include <cmath>
#include <map>

#include "model/fellow.h"
#include "model/part.h"

namespace rockcrank::model {

namespace {

using fleet::Incarnation;
using fleet::MemberState;

constexpr Millis formed_within = 5000;    // from the last start until all hold all to be alive
constexpr Millis settled_within = 20000;  // from the end of the last fault until all are right again
constexpr int beats_most = 20;            // messages a member and second
// From a death until every other member knows it, where nothing else fails: rounds of pings and of gossip
// grow with the logarithm of the members.
Millis found_within(int members) { return 4000 + 1000 * std::log2(members); }

// What the checks hear, altered: each plant is a fault of a module that a check must find.
class Planted : public fleet::Membership {
 public:
  Planted(std::unique_ptr<fleet::Membership> real, std::string plant, const fleet::Roster& roster,
          fleet::MemberId self)
      : real_(std::move(real)), plant_(std::move(plant)), first_(roster[0].id), self_(self) {}
  void begin_turn(Millis now) override {
    if (since_ < 0) since_ = now;
    now_ = now;
    real_->begin_turn(now);
  }
  void on_message(fleet::MemberId from, const fleet::MembershipMessage& message) override {
    real_->on_message(from, message);
  }
  void on_link_change(fleet::MemberId peer, Incarnation life, bool up) override {
    real_->on_link_change(peer, life, up);
  }
  Actions decide() override {
    auto decided = real_->decide();
    if (plant_ == "deaths-unseen")
      std::erase_if(decided.changes, [](const auto& change) { return change.state == MemberState::dead; });
    if (plant_ == "false-death" && !done_ && now_ - since_ > 6000 && self_ != first_)
      done_ = true, decided.changes.push_back({first_, real_->incarnation(first_), MemberState::dead});
    if (plant_ == "chatter" && !decided.sends.empty())
      for (int i = 0; i < 30; ++i) decided.sends.push_back(decided.sends[0]);
    if (plant_ == "not-told") decided.declared_dead = false;
    if (plant_ == "old-life")
      for (auto& change : decided.changes)
        change.incarnation.number = std::min(change.incarnation.number, oldest(change));
    return decided;
  }
  MemberState state(fleet::MemberId member) const override { return real_->state(member); }
  Incarnation incarnation(fleet::MemberId member) const override { return real_->incarnation(member); }
  std::vector<fleet::MemberId> alive() const override { return real_->alive(); }

 private:
  std::uint64_t oldest(const Change& change) {
    return lives_.emplace(change.member, change.incarnation.number).first->second;
  }
  std::unique_ptr<fleet::Membership> real_;
  std::string plant_;
  fleet::MemberId first_, self_;
  Millis now_ = 0, since_ = -1;
  bool done_ = false;
  std::map<fleet::MemberId, std::uint64_t> lives_;
};

class MembershipTrial : public Trial {
 public:
  explicit MembershipTrial(const Order& order) : order_(order) {}

  void begin(World& world) override {
    views_.resize(world.machines());
    for (auto& view : views_) view.held.resize(world.shape().members);
    second_.resize(world.machines());
    quiet_ = std::all_of(world.faults().begin(), world.faults().end(),
                         [](const Fault& fault) { return fault.kind == Fault::Kind::kill; });
    one_link_ = world.faults().size() == 1 && world.faults()[0].kind == Fault::Kind::cut &&
                world.faults()[0].who.size() == 1 && world.faults()[0].whom.size() == 1;
  }

  std::unique_ptr<Modules> boot(World& world, int place, const std::any&, Millis) override {
    auto& machine = world.machine(place);
    auto self = world.roster()[machine.member].id;
    views_[place].held.assign(world.shape().members, {});
    views_[place].told_given_up = false;
    auto membership = fleet::Membership::make(world.roster(), self, machine.life,
                                              mixed(world.seed(), 0x41, place, machine.boots));
    if (!order_.plant.empty())
      membership = std::make_unique<Planted>(std::move(membership), order_.plant, world.roster(), self);
    auto fellow = std::make_unique<Fellow>(std::move(membership), nullptr);
    fellow->on_decided = [this, &world, place](const fleet::Membership::Actions& decided) {
      seen(world, place, decided);
    };
    last_start_ = world.now();
    return fellow;
  }

  void killed(World& world, int place) override {
    died_[world.machine(place).member] = {world.now(), world.machine(place).life, {}};
  }

  void watch(World& world) override {
    // A stall that others noticed must be told to the one that stalled; looked at when it runs on.
    for (int i = 0; i < world.machines(); ++i) {
      auto state = world.machine(i).state;
      if (state == Machine::State::stalled) views_[i].stalled = true;
      else if (state == Machine::State::running && views_[i].stalled) {
        views_[i].stalled = false;
        if (held_dead_by(world, i) > 0) views_[i].owed_word = true, views_[i].told_given_up = false;
      } else if (state == Machine::State::off) views_[i].stalled = views_[i].owed_word = false;
    }
    for (const auto& [member, death] : died_) {
      if (!quiet_ || world.running(member) || world.now() < death.at + found_within(world.shape().members))
        continue;
      for (int i = 0; i < world.machines(); ++i)
        if (world.running(i) && i != member && world.machine(i).booted < death.at &&
            views_[i].held[member].condition != MemberState::dead &&
            views_[i].held[member].life <= death.life)
          world.broken("death-found", "member %d ended at %.0f, and member %d holds it to be %s", member,
                       death.at, i, name(views_[i].held[member].condition));
    }
    if (world.faults().empty() && world.now() > last_start_ + formed_within) all_right(world, "formed");
  }

  void finish(World& world) override {
    if (world.shape().end >= world.shape().healed + settled_within) all_right(world, "healed");
    for (int i = 0; i < world.machines(); ++i)
      if (world.running(i) && views_[i].owed_word && !views_[i].told_given_up)
        world.broken("told-given-up", "member %d stalled, others held it to be dead, and it was not told", i);
    if (!order_.samples) return;
    auto size = std::to_string(world.shape().members) + " members";
    double seconds = world.now() / 1000;
    (*order_.samples)["messages a member and second, " + size].push_back(
        static_cast<double>(world.messages[0]) / world.shape().members / seconds);
    (*order_.samples)["bytes a member and second, " + size].push_back(static_cast<double>(world.bytes[0]) /
                                                                      world.shape().members / seconds);
    for (auto time : found_)
      (*order_.samples)["ms until one member knows of a death, " + size].push_back(time);
    for (const auto& [member, death] : died_)
      if (quiet_ && !death.known.empty() && static_cast<int>(death.known.size()) >= world.shape().members - 2)
        (*order_.samples)["ms until all know of a death, " + size].push_back(
            *std::max_element(death.known.begin(), death.known.end()));
  }

 private:
  struct Held {
    MemberState condition = MemberState::unknown;
    Incarnation life;
  };
  struct View {
    std::vector<Held> held;
    bool stalled = false, owed_word = false, told_given_up = false;
  };
  struct Death {
    Millis at = 0;
    Incarnation life;
    std::vector<Millis> known;
  };

  static const char* name(MemberState condition) {
    switch (condition) {
      case MemberState::unknown: return "unknown";
      case MemberState::alive: return "alive";
      case MemberState::suspect: return "suspect";
      case MemberState::dead: return "dead";
    }
    return "?";
  }

  int held_dead_by(World& world, int place) {
    int count = 0, member = world.machine(place).member;
    for (int i = 0; i < world.machines(); ++i)
      count += world.running(i) && i != place && views_[i].held[member].condition == MemberState::dead &&
               views_[i].held[member].life == world.machine(place).life && world.reaches(i, place);
    return count;
  }

  void seen(World& world, int place, const fleet::Membership::Actions& decided) {
    auto& view = views_[place];
    for (const auto& line : decided.log) world.note("member %d says: %s", place, line.c_str());
    if (decided.declared_dead) {
      view.told_given_up = true;
      world.note("member %d hears that it was given up on", place);
    }
    for (const auto& change : decided.changes) {
      int member = world.place_of(change.member);
      view.held[member] = {change.state, change.incarnation};
      world.note("member %d holds %d to be %s in life %llu", place, member, name(change.state),
                 static_cast<unsigned long long>(change.incarnation.number));
      if (change.state != MemberState::dead) continue;
      const auto& machine = world.machine(member);
      if (quiet_ || one_link_) {
        if (machine.state != Machine::State::off && machine.life == change.incarnation)
          world.broken("false-death", "member %d holds member %d to be dead, which runs, with %s", place,
                       member, one_link_ ? "one link broken" : "no link broken");
        auto death = died_.find(member);
        if (death != died_.end() && death->second.life == change.incarnation &&
            world.machine(place).booted < death->second.at)
          death->second.known.push_back(world.now() - death->second.at),
              found_.push_back(world.now() - death->second.at);
      }
    }
    auto& second = second_[place];
    if (world.now() - second.first >= 1000) second = {world.now(), 0};
    second.second += static_cast<int>(decided.sends.size());
    if (second.second > beats_most)
      world.broken("messages", "member %d sends %d messages of membership within a second", place,
                   second.second);
  }

  // Each that runs holds all that run to be alive, in the life they are in, and the others to be dead.
  void all_right(World& world, const char* check) {
    for (int i = 0; i < world.machines(); ++i) {
      if (!world.running(i)) continue;
      auto& fellow = static_cast<Fellow&>(*world.machine(i).modules);
      for (int j = 0; j < world.shape().members; ++j) {
        if (j == world.machine(i).member) continue;
        const auto& held = views_[i].held[j];
        bool runs = world.running(j);
        auto says = fellow.membership().state(world.roster()[j].id);
        if (says != held.condition)
          world.broken("told-changes", "member %d answers %s of %d, and told of %s last", i, name(says), j,
                       name(held.condition));
        if (runs && (held.condition != MemberState::alive || held.life != world.machine(j).life))
          world.broken(check, "member %d holds member %d, which runs in life %llu, to be %s in life %llu", i,
                       j, static_cast<unsigned long long>(world.machine(j).life.number), name(held.condition),
                       static_cast<unsigned long long>(held.life.number));
        if (!runs && held.condition != MemberState::dead && held.condition != MemberState::unknown)
          world.broken(check, "member %d holds member %d, which ended, to be %s", i, j, name(held.condition));
      }
    }
  }

  Order order_;
  std::vector<View> views_;
  std::vector<std::pair<Millis, int>> second_;
  std::map<int, Death> died_;
  std::vector<double> found_;
  bool quiet_ = false, one_link_ = false;
  Millis last_start_ = 0;
};

Shape shape_of(Chance& chance, int relays) {
  Shape shape;
  shape.members = draw_members(chance, relays);
  shape.halls = 1 + chance.below(4);
  shape.far = chance.between(0.5, 40);
  shape.warm_up = 6000;
  shape.healed = shape.warm_up + chance.between(2000, shape.members > 60 ? 8000 : 25000);
  shape.end = shape.healed + settled_within + 500;
  shape.datagrams = chance.odds(0.25);
  shape.lost = chance.odds(0.5) ? 0 : chance.between(0, 0.05);
  shape.doubled = chance.odds(0.5) ? 0 : chance.between(0, 0.1);
  shape.drift = 0.01;
  shape.wall_apart = chance.odds(0.5) ? 0 : 300000;
  return shape;
}

}  // namespace

Part membership_part() {
  Part part;
  part.name = "membership", part.shape = shape_of;
  part.make = [](const Order& order) -> std::unique_ptr<Trial> {
    return std::make_unique<MembershipTrial>(order);
  };
  part.weather.walls = true;
  part.plants = {{"false-death", "false-death"},
                 {"deaths-unseen", "death-found"},
                 {"chatter", "messages"},
                 {"not-told", "told-given-up"},
                 {"old-life", "healed"}};
  return part;
}

}  // namespace rockcrank::model
