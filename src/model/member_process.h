// A simulated process: membership, which every process runs, and above it the modules of the part under test.
// Events reach them in the same order as in the real process. Holds no state of any check.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "fleet/membership.h"
#include "model/world.h"

namespace rockcrank::model {

// The modules of one part in one process. Every callback is optional.
class PartModules {
 public:
  virtual ~PartModules() = default;
  virtual void begin_turn(Millis) {}
  virtual void on_member_change(const fleet::Membership::Change&) {}
  virtual void on_alive_members(const std::vector<fleet::MemberId>&) {}
  virtual void on_link_change(fleet::MemberId, fleet::Incarnation, bool) {}
  virtual void on_message(fleet::MemberId, const Payload&) {}
  virtual void run_task(std::uint64_t) {}
  virtual void on_declared_dead() {}
  virtual Millis decide(Outbox&) { return -1; }
};

class MemberProcess : public Process {
 public:
  MemberProcess(std::unique_ptr<fleet::Membership> membership, std::unique_ptr<PartModules> part_modules)
      : membership_(std::move(membership)), part_modules_(std::move(part_modules)) {}

  std::function<void(const fleet::Membership::Actions&)> on_actions;  // observed by the checks
  fleet::Membership& membership() { return *membership_; }
  PartModules* part_modules() { return part_modules_.get(); }

  void begin_turn(Millis now) override {
    membership_->begin_turn(now);
    if (part_modules_) part_modules_->begin_turn(now);
  }
  void on_link_change(fleet::MemberId peer, fleet::Incarnation incarnation, bool up) override {
    membership_->on_link_change(peer, incarnation, up);
    if (part_modules_) part_modules_->on_link_change(peer, incarnation, up);
  }
  void on_message(fleet::MemberId from, const Payload& message) override {
    if (const auto* membership_message = std::get_if<fleet::MembershipMessage>(&message))
      membership_->on_message(from, *membership_message);
    else if (part_modules_) part_modules_->on_message(from, message);
  }
  void run_task(std::uint64_t task) override {
    if (part_modules_) part_modules_->run_task(task);
  }
  Millis decide(Outbox& outbox) override {
    auto actions = membership_->decide();
    for (auto& send : actions.sends) outbox.emplace_back(send.to, std::move(send.message));
    if (part_modules_) {
      for (const auto& change : actions.changes) part_modules_->on_member_change(change);
      if (actions.declared_dead) part_modules_->on_declared_dead();
      if (!actions.changes.empty() || !alive_members_sent_)
        alive_members_sent_ = true, part_modules_->on_alive_members(membership_->alive());
    }
    if (on_actions) on_actions(actions);
    auto wake_in = actions.wake_in;
    if (part_modules_) {
      auto other = part_modules_->decide(outbox);
      if (wake_in < 0 || (other >= 0 && other < wake_in)) wake_in = other;
    }
    return wake_in;
  }

 private:
  std::unique_ptr<fleet::Membership> membership_;
  std::unique_ptr<PartModules> part_modules_;
  bool alive_members_sent_ = false;
};

}  // namespace rockcrank::model
