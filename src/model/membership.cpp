// Workload of membership. Invariants: no member is falsely declared dead where only the link between two
// members breaks, no false death remains after the faults end, deaths are detected in time, a stalled process
// is notified that it was declared dead, and the message rate per member is bounded. The checks use only the
// module's outputs.
#include <algorithm>
#include <cmath>
#include <map>

#include "model/member_process.h"
#include "model/part.h"

namespace rockcrank::model {

namespace {

using fleet::Incarnation;
using fleet::MemberState;

constexpr Millis formation_time = 5000;  // from the last start until every member considers all others alive
constexpr Millis settle_time = 20000;    // from the end of the last fault until all views are correct again
constexpr int max_messages_per_second = 20;  // per member
// Bound from a death until every other member knows of it, where nothing else fails. Ping and gossip rounds
// grow with the logarithm of the number of members.
Millis detection_bound(int members) { return 4000 + 1000 * std::log2(members); }

// Wraps a membership module and alters its outputs: each injected fault has to be found by a check.
class FaultInjectingMembership : public fleet::Membership {
 public:
  FaultInjectingMembership(std::unique_ptr<fleet::Membership> wrapped, std::string injected_fault,
                           const fleet::Roster& roster, fleet::MemberId self)
      : wrapped_(std::move(wrapped)),
        injected_fault_(std::move(injected_fault)),
        first_member_(roster[0].id),
        self_(self) {}
  void begin_turn(Millis now) override {
    if (first_turn_at_ < 0) first_turn_at_ = now;
    now_ = now;
    wrapped_->begin_turn(now);
  }
  void on_message(fleet::MemberId from, const fleet::MembershipMessage& message) override {
    wrapped_->on_message(from, message);
  }
  void on_link_change(fleet::MemberId peer, Incarnation incarnation, bool up) override {
    wrapped_->on_link_change(peer, incarnation, up);
  }
  Actions decide() override {
    auto actions = wrapped_->decide();
    if (injected_fault_ == "deaths-unseen")
      std::erase_if(actions.changes, [](const auto& change) { return change.state == MemberState::dead; });
    if (injected_fault_ == "false-death" && !injected_ && now_ - first_turn_at_ > 6000 &&
        self_ != first_member_)
      injected_ = true,
      actions.changes.push_back({first_member_, wrapped_->incarnation(first_member_), MemberState::dead});
    if (injected_fault_ == "chatter" && !actions.sends.empty())
      for (int i = 0; i < 30; ++i) actions.sends.push_back(actions.sends[0]);
    if (injected_fault_ == "not-told") actions.declared_dead = false;
    if (injected_fault_ == "old-life")
      for (auto& change : actions.changes)
        change.incarnation.number = std::min(change.incarnation.number, first_incarnation(change));
    return actions;
  }
  MemberState state(fleet::MemberId member) const override { return wrapped_->state(member); }
  Incarnation incarnation(fleet::MemberId member) const override { return wrapped_->incarnation(member); }
  std::vector<fleet::MemberId> alive() const override { return wrapped_->alive(); }

 private:
  std::uint64_t first_incarnation(const Change& change) {
    return first_incarnations_.emplace(change.member, change.incarnation.number).first->second;
  }
  std::unique_ptr<fleet::Membership> wrapped_;
  std::string injected_fault_;
  fleet::MemberId first_member_, self_;
  Millis now_ = 0, first_turn_at_ = -1;
  bool injected_ = false;
  std::map<fleet::MemberId, std::uint64_t> first_incarnations_;
};

class MembershipWorkload : public Workload {
 public:
  explicit MembershipWorkload(const RunOptions& options) : options_(options) {}

  void begin(World& world) override {
    member_views_.resize(world.machines());
    for (auto& view : member_views_) view.peer_views.resize(world.config().members);
    message_windows_.resize(world.machines());
    kills_only_ = std::all_of(world.faults().begin(), world.faults().end(),
                              [](const Fault& fault) { return fault.kind == Fault::Kind::kill; });
    single_link_cut_ = world.faults().size() == 1 && world.faults()[0].kind == Fault::Kind::cut &&
                       world.faults()[0].members.size() == 1 && world.faults()[0].peers.size() == 1;
  }

  std::unique_ptr<Process> boot(World& world, int index, const std::any&, Millis) override {
    auto& machine = world.machine(index);
    auto self = world.roster()[machine.member].id;
    member_views_[index].peer_views.assign(world.config().members, {});
    member_views_[index].notified_declared_dead = false;
    auto membership = fleet::Membership::make(world.roster(), self, machine.incarnation,
                                              hash_values(world.seed(), 0x41, index, machine.boots));
    if (!options_.injected_fault.empty())
      membership = std::make_unique<FaultInjectingMembership>(std::move(membership), options_.injected_fault,
                                                              world.roster(), self);
    auto process = std::make_unique<MemberProcess>(std::move(membership), nullptr);
    process->on_actions = [this, &world, index](const fleet::Membership::Actions& actions) {
      check_actions(world, index, actions);
    };
    last_start_ = world.now();
    return process;
  }

  void on_process_end(World& world, int index) override {
    deaths_[world.machine(index).member] = {world.now(), world.machine(index).incarnation, {}};
  }

  void check(World& world) override {
    // A process that others declared dead during a stall has to be notified; evaluated when it resumes.
    for (int i = 0; i < world.machines(); ++i) {
      auto state = world.machine(i).state;
      if (state == Machine::State::stalled) member_views_[i].stalled = true;
      else if (state == Machine::State::running && member_views_[i].stalled) {
        member_views_[i].stalled = false;
        if (count_considering_dead(world, i) > 0)
          member_views_[i].must_be_notified = true, member_views_[i].notified_declared_dead = false;
      } else if (state == Machine::State::off)
        member_views_[i].stalled = member_views_[i].must_be_notified = false;
    }
    for (const auto& [member, death] : deaths_) {
      if (!kills_only_ || world.is_running(member) ||
          world.now() < death.at + detection_bound(world.config().members))
        continue;
      for (int i = 0; i < world.machines(); ++i)
        if (world.is_running(i) && i != member && world.machine(i).booted < death.at &&
            member_views_[i].peer_views[member].peer_state != MemberState::dead &&
            member_views_[i].peer_views[member].incarnation <= death.incarnation)
          world.report_violation("death-found",
                                 "member %d ended at %.0f, and member %d still considers it %s", member,
                                 death.at, i, state_name(member_views_[i].peer_views[member].peer_state));
    }
    if (world.faults().empty() && world.now() > last_start_ + formation_time) check_views(world, "formed");
  }

  void check_final(World& world) override {
    if (world.config().end >= world.config().faults_until + settle_time) check_views(world, "healed");
    for (int i = 0; i < world.machines(); ++i)
      if (world.is_running(i) && member_views_[i].must_be_notified &&
          !member_views_[i].notified_declared_dead)
        world.report_violation("told-given-up",
                               "member %d stalled, was declared dead by others, and was not told", i);
    if (!options_.samples) return;
    auto size = std::to_string(world.config().members) + " members";
    double seconds = world.now() / 1000;
    (*options_.samples)["messages a member and second, " + size].push_back(
        static_cast<double>(world.messages[0]) / world.config().members / seconds);
    (*options_.samples)["bytes a member and second, " + size].push_back(static_cast<double>(world.bytes[0]) /
                                                                        world.config().members / seconds);
    for (auto time : detection_times_)
      (*options_.samples)["ms until one member knows of a death, " + size].push_back(time);
    for (const auto& [member, death] : deaths_)
      if (kills_only_ && !death.detection_delays.empty() &&
          static_cast<int>(death.detection_delays.size()) >= world.config().members - 2)
        (*options_.samples)["ms until all know of a death, " + size].push_back(
            *std::max_element(death.detection_delays.begin(), death.detection_delays.end()));
  }

 private:
  struct PeerView {
    MemberState peer_state = MemberState::unknown;
    Incarnation incarnation;
  };
  struct MemberView {
    std::vector<PeerView> peer_views;
    bool stalled = false, must_be_notified = false, notified_declared_dead = false;
  };
  struct Death {
    Millis at = 0;
    Incarnation incarnation;
    std::vector<Millis> detection_delays;
  };

  static const char* state_name(MemberState peer_state) {
    switch (peer_state) {
      case MemberState::unknown: return "unknown";
      case MemberState::alive: return "alive";
      case MemberState::suspect: return "suspect";
      case MemberState::dead: return "dead";
    }
    return "?";
  }

  int count_considering_dead(World& world, int index) {
    int count = 0, member = world.machine(index).member;
    for (int i = 0; i < world.machines(); ++i)
      count += world.is_running(i) && i != index &&
               member_views_[i].peer_views[member].peer_state == MemberState::dead &&
               member_views_[i].peer_views[member].incarnation == world.machine(index).incarnation &&
               world.can_reach(i, index);
    return count;
  }

  void check_actions(World& world, int index, const fleet::Membership::Actions& actions) {
    auto& view = member_views_[index];
    for (const auto& line : actions.log) world.trace_line("member %d logs: %s", index, line.c_str());
    if (actions.declared_dead) {
      view.notified_declared_dead = true;
      world.trace_line("member %d learns that it was declared dead", index);
    }
    for (const auto& change : actions.changes) {
      int member = world.index_of(change.member);
      view.peer_views[member] = {change.state, change.incarnation};
      world.trace_line("member %d considers %d %s in incarnation %llu", index, member,
                       state_name(change.state), static_cast<unsigned long long>(change.incarnation.number));
      if (change.state != MemberState::dead) continue;
      const auto& machine = world.machine(member);
      if (kills_only_ || single_link_cut_) {
        if (machine.state != Machine::State::off && machine.incarnation == change.incarnation)
          world.report_violation("false-death",
                                 "member %d considers member %d dead, which is running, with %s", index,
                                 member, single_link_cut_ ? "one link broken" : "no link broken");
        auto death = deaths_.find(member);
        if (death != deaths_.end() && death->second.incarnation == change.incarnation &&
            world.machine(index).booted < death->second.at)
          death->second.detection_delays.push_back(world.now() - death->second.at),
              detection_times_.push_back(world.now() - death->second.at);
      }
    }
    auto& message_window = message_windows_[index];
    if (world.now() - message_window.first >= 1000) message_window = {world.now(), 0};
    message_window.second += static_cast<int>(actions.sends.size());
    if (message_window.second > max_messages_per_second)
      world.report_violation("messages", "member %d sends %d membership messages within a second", index,
                             message_window.second);
  }

  // Checks that each running member considers all running members alive in their current incarnation, and the
  // others dead.
  void check_views(World& world, const char* check) {
    for (int i = 0; i < world.machines(); ++i) {
      if (!world.is_running(i)) continue;
      auto& process = static_cast<MemberProcess&>(*world.machine(i).process);
      for (int j = 0; j < world.config().members; ++j) {
        if (j == world.machine(i).member) continue;
        const auto& peer_view = member_views_[i].peer_views[j];
        bool is_running = world.is_running(j);
        auto reported = process.membership().state(world.roster()[j].id);
        if (reported != peer_view.peer_state)
          world.report_violation("told-changes",
                                 "member %d returns state %s for member %d, and last reported %s", i,
                                 state_name(reported), j, state_name(peer_view.peer_state));
        if (is_running && (peer_view.peer_state != MemberState::alive ||
                           peer_view.incarnation != world.machine(j).incarnation))
          world.report_violation(
              check, "member %d considers member %d, which runs in incarnation %llu, %s in incarnation %llu",
              i, j, static_cast<unsigned long long>(world.machine(j).incarnation.number),
              state_name(peer_view.peer_state),
              static_cast<unsigned long long>(peer_view.incarnation.number));
        if (!is_running && peer_view.peer_state != MemberState::dead &&
            peer_view.peer_state != MemberState::unknown)
          world.report_violation(check, "member %d considers member %d, which ended, %s", i, j,
                                 state_name(peer_view.peer_state));
      }
    }
  }

  RunOptions options_;
  std::vector<MemberView> member_views_;
  std::vector<std::pair<Millis, int>> message_windows_;
  std::map<int, Death> deaths_;
  std::vector<double> detection_times_;
  bool kills_only_ = false, single_link_cut_ = false;
  Millis last_start_ = 0;
};

RunConfig draw_config(RandomSource& random, int relays) {
  RunConfig config;
  config.members = draw_members(random, relays);
  config.zones = 1 + random.uniform_below(4);
  config.farthest_zone_delay = random.between(0.5, 40);
  config.faults_from = 6000;
  config.faults_until = config.faults_from + random.between(2000, config.members > 60 ? 8000 : 25000);
  config.end = config.faults_until + settle_time + 500;
  config.datagrams = random.bernoulli(0.25);
  config.loss_rate = random.bernoulli(0.5) ? 0 : random.between(0, 0.05);
  config.duplication_rate = random.bernoulli(0.5) ? 0 : random.between(0, 0.1);
  config.max_clock_drift = 0.01;
  config.max_wall_clock_offset = random.bernoulli(0.5) ? 0 : 300000;
  return config;
}

}  // namespace

Part membership_part() {
  Part part;
  part.name = "membership", part.draw_config = draw_config;
  part.make_workload = [](const RunOptions& options) -> std::unique_ptr<Workload> {
    return std::make_unique<MembershipWorkload>(options);
  };
  part.fault_profile.wall_clock_jumps = true;
  part.injected_faults = {{"false-death", "false-death"},
                          {"deaths-unseen", "death-found"},
                          {"chatter", "messages"},
                          {"not-told", "told-given-up"},
                          {"old-life", "healed"}};
  return part;
}

}  // namespace rockcrank::model
