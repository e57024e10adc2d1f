// The order in which membership, link and parts hear of things; fleet.h says what it owns.

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

void note_life(const std::string& folder, std::uint64_t number) {
  auto path = folder + "/life";
  std::ofstream(path + ".new", std::ios::trunc) << number << '\n';
  if (std::rename((path + ".new").c_str(), path.c_str()) != 0)
    log_line("fleet: the number of this life cannot be noted in %s", folder.c_str());
}

// One number above that of the life before, and never below the wall clock: grows also where the folder was
// emptied, or an older one was put back. The file is a hint only; without it the clock serves.
Incarnation next_life(const std::string& folder, std::uint64_t seed) {
  std::filesystem::create_directories(folder);
  auto path = folder + "/life";
  std::uint64_t last = 0;
  std::ifstream(path) >> last;
  Incarnation life;
  life.number = std::max(last + 1, static_cast<std::uint64_t>(EventLoop::wall_time()));
  auto ticks = std::chrono::steady_clock::now().time_since_epoch().count();
  life.nonce = seed ^ (static_cast<std::uint64_t>(ticks) * 0x9e3779b97f4a7c15ULL) ^
               static_cast<std::uint64_t>(::getpid());
  note_life(folder, life.number);
  return life;
}

}  // namespace

struct Fleet::Parts {
  Parts(RelayContext& around, FleetConfig given, const std::string& state_folder, std::uint64_t seed)
      : config(std::move(given)),
        folder(state_folder + "/fleet"),
        own(next_life(folder, seed)),
        loop(around.loop),
        link(around.loop, config, own, seed),
        membership(fleet::Membership::make(config.roster, config.self, own, seed)),
        due(around.loop, [this] { turn(); }),
        place{around, config, *membership, link, own, folder, seed} {
    link.on_message = [this](MemberId from, Channel channel, std::string_view payload) {
      hear(from, channel, payload);
    };
    link.on_link_change = [this](MemberId peer, Incarnation life, bool up) {
      membership->begin_turn(loop.now()), membership->on_link_change(peer, life, up);
      each([&](FleetComponent& part) { part.on_link_change(peer, life, up); });
      soon();
    };
    link.on_duplicate_self = [this](Incarnation other) { name_twin(config.self, other); };
    add(Channel::registers, make_shared_state(place)), add(Channel::custody, make_custody(place));
    add(Channel::latest, make_streams(place)), add(Channel::warm, make_warmup(place));
  }

  void add(Channel channel, std::unique_ptr<FleetComponent> part) {
    if (part) parts.emplace_back(channel, std::move(part));
  }

  void hear(MemberId from, Channel channel, std::string_view payload) {
    try {
      if (channel == Channel::membership) {
        membership->begin_turn(loop.now());
        membership->on_message(from, unpacked<fleet::MembershipMessage>(payload));
        return soon();
      }
      for (auto& [own_channel, part] : parts)
        if (own_channel == channel) return part->on_message(from, payload);
    } catch (const fleet::FleetError& error) { link.reject_peer(from, error.what()); }
  }

  void soon() { due.set(loop.now()); }

  // Where the other is this member in a higher life, as after a clock that went back with the folder emptied,
  // nobody believes this one; its number is noted, so that the next start is above it.
  void name_twin(MemberId member, Incarnation other) {
    auto known = std::ranges::find(config.roster, member, &fleet::Member::id);
    auto name = known == config.roster.end() ? std::string("unknown") : known->name;
    fleet::DuplicateMember error(
        "two processes say that they are this member", name,
        "stop one of the two, or give it a name and an entry of its own; then start the "
        "other anew");
    log_line("fleet: %s; lives %llu and %llu", error.what(), static_cast<unsigned long long>(other.number),
             static_cast<unsigned long long>(membership->incarnation(member).number));
    if (member == config.self && other.number > own.number) note_life(folder, other.number);
  }

  void turn() {
    membership->begin_turn(loop.now());
    auto decided = membership->decide();
    for (const auto& send : decided.sends) link.send(send.to, Channel::membership, packed(send.message));
    for (const auto& line : decided.log) log_line("fleet: %s", line.c_str());
    for (const auto& change : decided.changes)
      each([&](FleetComponent& part) {
        part.on_member_change(change.member, change.incarnation, change.state);
      });
    for (const auto& twin : decided.duplicates) name_twin(twin.member, twin.incarnation);
    if (decided.declared_dead) each([](FleetComponent& part) { part.on_declared_dead(); });
    if (decided.wake_in >= 0) due.set(loop.now() + decided.wake_in);
  }

  template <typename Ask>
  bool all(Ask ask) {
    return std::all_of(parts.begin(), parts.end(), [&](auto& one) { return ask(*one.second); });
  }
  template <typename Tell>
  void each(Tell tell) {
    for (auto& [channel, part] : parts) tell(*part);
  }

  const FleetConfig config;
  const std::string folder;
  const Incarnation own;
  EventLoop& loop;
  Link link;
  const std::unique_ptr<fleet::Membership> membership;
  Timer due;
  const ComponentContext place;
  std::vector<std::pair<Channel, std::unique_ptr<FleetComponent>>> parts;
};

Fleet::Fleet(RelayContext& around, FleetConfig config, const std::string& state_folder, std::uint64_t seed)
    : parts_(std::make_unique<Parts>(around, std::move(config), state_folder, seed)) {}
Fleet::~Fleet() = default;

void Fleet::start() {
  parts_->each([](FleetComponent& part) { part.start(); });
  parts_->soon();
  log_line("fleet %s: member %s, life %llu, %zu members, %zu parts", parts_->config.fleet_name.c_str(),
           parts_->config.self_name.c_str(), static_cast<unsigned long long>(parts_->own.number),
           parts_->config.roster.size(), parts_->parts.size());
}
void Fleet::before_turn() {
  parts_->each([](FleetComponent& part) { part.before_turn(); });
}
void Fleet::after_turn(const Actions& decided) {
  parts_->each([&](FleetComponent& part) { part.after_turn(decided); });
}
void Fleet::on_store_record(char kind, DocId doc, int transmission) {
  parts_->each([&](FleetComponent& part) { part.on_store_record(kind, doc, transmission); });
}
void Fleet::on_outcome(const Outcome& outcome) {
  parts_->each([&](FleetComponent& part) { part.on_outcome(outcome); });
}
void Fleet::set_offline(const std::string& endpoint, bool out) {
  parts_->each([&](FleetComponent& part) { part.set_offline(endpoint, out); });
}
bool Fleet::may_acknowledge(DocId doc) {
  return parts_->all([&](FleetComponent& part) { return part.may_acknowledge(doc); });
}
bool Fleet::owns(DocId doc) {
  return parts_->all([&](FleetComponent& part) { return part.owns(doc); });
}
bool Fleet::may_send(DocId doc, int transmission) {
  return parts_->all([&](FleetComponent& part) { return part.may_send(doc, transmission); });
}
bool Fleet::may_report_end(DocId doc) {
  return parts_->all([&](FleetComponent& part) { return part.may_report_end(doc); });
}
void Fleet::leave() {
  parts_->each([](FleetComponent& part) { part.leave(); });
}
std::string Fleet::summary() const {
  std::string all;
  parts_->each([&](FleetComponent& part) {
    if (auto line = part.summary(); !line.empty()) all += (all.empty() ? "" : "; ") + line;
  });
  return all;
}

}  // namespace rockcrank::peer
