// Dispatches events to the membership, the link and the components of one relay.

#include "peer/fleet.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <utility>

#include "peer/codec.h"
#include "relay/log.h"

namespace rockcrank::peer {
namespace {

using fleet::Incarnation;
using fleet::MemberId;

void store_incarnation(const std::string& folder, std::uint64_t number) {
  auto path = folder + "/life";
  std::ofstream(path + ".new", std::ios::trunc) << number << '\n';
  if (std::rename((path + ".new").c_str(), path.c_str()) != 0)
    log_line("fleet: the incarnation number cannot be stored in %s", folder.c_str());
}

// One above the number of the previous incarnation and never below the wall clock, so it also grows if the
// folder was emptied or restored from an older copy. The file is only a hint; the clock is enough without it.
Incarnation next_incarnation(const std::string& folder, std::uint64_t seed) {
  std::filesystem::create_directories(folder);
  auto path = folder + "/life";
  std::uint64_t last = 0;
  std::ifstream(path) >> last;
  Incarnation incarnation;
  incarnation.number = std::max(last + 1, static_cast<std::uint64_t>(EventLoop::wall_time()));
  auto ticks = std::chrono::steady_clock::now().time_since_epoch().count();
  incarnation.nonce = seed ^ (static_cast<std::uint64_t>(ticks) * 0x9e3779b97f4a7c15ULL) ^
                      static_cast<std::uint64_t>(::getpid());
  store_incarnation(folder, incarnation.number);
  return incarnation;
}

}  // namespace

struct Fleet::Impl {
  Impl(RelayContext& relay, FleetConfig initial_config, const std::string& state_folder, std::uint64_t seed)
      : config(std::move(initial_config)),
        folder(state_folder + "/fleet"),
        own_incarnation(next_incarnation(folder, seed)),
        loop(relay.loop),
        link(relay.loop, config, own_incarnation, seed),
        membership(fleet::Membership::make(config.roster, config.self, own_incarnation, seed)),
        turn_timer(relay.loop, [this] { turn(); }),
        context{relay, config, *membership, link, own_incarnation, folder, seed} {
    link.on_message = [this](MemberId from, Channel channel, std::string_view payload) {
      dispatch(from, channel, payload);
    };
    link.on_link_change = [this](MemberId peer, Incarnation incarnation, bool up) {
      membership->begin_turn(loop.now()), membership->on_link_change(peer, incarnation, up);
      for_each([&](FleetComponent& component) { component.on_link_change(peer, incarnation, up); });
      schedule_turn();
    };
    link.on_duplicate_self = [this](Incarnation other) { report_duplicate(config.self, other); };
    add(Channel::registers, make_shared_state(context)), add(Channel::custody, make_custody(context));
    add(Channel::latest, make_streams(context)), add(Channel::warm, make_warmup(context));
  }

  void add(Channel channel, std::unique_ptr<FleetComponent> component) {
    if (component) components.emplace_back(channel, std::move(component));
  }

  void dispatch(MemberId from, Channel channel, std::string_view payload) {
    try {
      if (channel == Channel::membership) {
        membership->begin_turn(loop.now());
        membership->on_message(from, unpacked<fleet::MembershipMessage>(payload));
        return schedule_turn();
      }
      for (auto& [own_channel, component] : components)
        if (own_channel == channel) return component->on_message(from, payload);
    } catch (const fleet::FleetError& error) { link.reject_peer(from, error.what()); }
  }

  void schedule_turn() { turn_timer.set(loop.now()); }

  // If the duplicate is this member with a higher incarnation, as after a clock that went back and an emptied
  // folder, other members ignore this process. The number is stored, so that the next start is above it.
  void report_duplicate(MemberId member, Incarnation other) {
    auto known = std::ranges::find(config.roster, member, &fleet::Member::id);
    auto name = known == config.roster.end() ? std::string("unknown") : known->name;
    fleet::DuplicateMember error(
        "two processes use the name of this member", name,
        "stop one of them, or give it its own name and entry; then restart the other");
    log_line("fleet: %s; incarnations %llu and %llu", error.what(),
             static_cast<unsigned long long>(other.number),
             static_cast<unsigned long long>(membership->incarnation(member).number));
    if (member == config.self && other.number > own_incarnation.number)
      store_incarnation(folder, other.number);
  }

  void turn() {
    membership->begin_turn(loop.now());
    auto actions = membership->decide();
    for (const auto& send : actions.sends) link.send(send.to, Channel::membership, packed(send.message));
    for (const auto& line : actions.log) log_line("fleet: %s", line.c_str());
    for (const auto& change : actions.changes)
      for_each([&](FleetComponent& component) {
        component.on_member_change(change.member, change.incarnation, change.state);
      });
    for (const auto& duplicate : actions.duplicates)
      report_duplicate(duplicate.member, duplicate.incarnation);
    if (actions.declared_dead) for_each([](FleetComponent& component) { component.on_declared_dead(); });
    if (actions.wake_in >= 0) turn_timer.set(loop.now() + actions.wake_in);
  }

  template <typename Predicate>
  bool all_of(Predicate predicate) {
    return std::all_of(components.begin(), components.end(),
                       [&](auto& one) { return predicate(*one.second); });
  }
  template <typename Action>
  void for_each(Action action) {
    for (auto& [channel, component] : components) action(*component);
  }

  const FleetConfig config;
  const std::string folder;
  const Incarnation own_incarnation;
  EventLoop& loop;
  Link link;
  const std::unique_ptr<fleet::Membership> membership;
  Timer turn_timer;
  const ComponentContext context;
  std::vector<std::pair<Channel, std::unique_ptr<FleetComponent>>> components;
};

Fleet::Fleet(RelayContext& relay, FleetConfig config, const std::string& state_folder, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(relay, std::move(config), state_folder, seed)) {}
Fleet::~Fleet() = default;

void Fleet::start() {
  impl_->for_each([](FleetComponent& component) { component.start(); });
  impl_->schedule_turn();
  log_line("fleet %s: member %s, incarnation %llu, %zu members, %zu components",
           impl_->config.fleet_name.c_str(), impl_->config.self_name.c_str(),
           static_cast<unsigned long long>(impl_->own_incarnation.number), impl_->config.roster.size(),
           impl_->components.size());
}
void Fleet::on_previous_process_ended() {
  impl_->for_each([](FleetComponent& component) { component.on_previous_process_ended(); });
}
void Fleet::before_turn() {
  impl_->for_each([](FleetComponent& component) { component.before_turn(); });
}
void Fleet::after_turn(const Actions& actions) {
  impl_->for_each([&](FleetComponent& component) { component.after_turn(actions); });
}
void Fleet::on_store_record(char kind, DocId doc, int transmission) {
  impl_->for_each([&](FleetComponent& component) { component.on_store_record(kind, doc, transmission); });
}
void Fleet::on_outcome(const Outcome& outcome) {
  impl_->for_each([&](FleetComponent& component) { component.on_outcome(outcome); });
}
void Fleet::set_offline(const std::string& endpoint, bool offline) {
  impl_->for_each([&](FleetComponent& component) { component.set_offline(endpoint, offline); });
}
bool Fleet::may_acknowledge(DocId doc) {
  return impl_->all_of([&](FleetComponent& component) { return component.may_acknowledge(doc); });
}
bool Fleet::owns(DocId doc) {
  return impl_->all_of([&](FleetComponent& component) { return component.owns(doc); });
}
bool Fleet::may_send(DocId doc, int transmission) {
  return impl_->all_of([&](FleetComponent& component) { return component.may_send(doc, transmission); });
}
bool Fleet::may_report_end(DocId doc) {
  return impl_->all_of([&](FleetComponent& component) { return component.may_report_end(doc); });
}
void Fleet::leave() {
  impl_->for_each([](FleetComponent& component) { component.leave(); });
}
std::string Fleet::summary() const {
  std::string all;
  impl_->for_each([&](FleetComponent& component) {
    if (auto line = component.summary(); !line.empty()) all += (all.empty() ? "" : "; ") + line;
  });
  return all;
}

}  // namespace rockcrank::peer
