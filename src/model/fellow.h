// Owns what every process of the model runs: membership, as the fleet part has it below all others, and the
// modules of one part above it, in the order in which the fleet part lets them hear of things. It must never
// hold what a check concludes.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "fleet/membership.h"
#include "model/world.h"

namespace rockcrank::model {

// The modules of a part, in one process. Each call may be left out.
class Upper {
 public:
  virtual ~Upper() = default;
  virtual void begin(Millis) {}
  virtual void member(const fleet::Membership::Change&) {}
  virtual void alive(const std::vector<fleet::MemberId>&) {}
  virtual void linked(fleet::MemberId, fleet::Incarnation, bool) {}
  virtual void heard(fleet::MemberId, const Payload&) {}
  virtual void work(std::uint64_t) {}
  virtual void given_up_on() {}
  virtual Millis decide(Outbox&) { return -1; }
};

class Fellow : public Modules {
 public:
  Fellow(std::unique_ptr<fleet::Membership> membership, std::unique_ptr<Upper> upper)
      : membership_(std::move(membership)), upper_(std::move(upper)) {}

  std::function<void(const fleet::Membership::Actions&)> on_decided;  // for the checks
  fleet::Membership& membership() { return *membership_; }
  Upper* upper() { return upper_.get(); }

  void begin(Millis now) override {
    membership_->begin_turn(now);
    if (upper_) upper_->begin(now);
  }
  void linked(fleet::MemberId peer, fleet::Incarnation life, bool up) override {
    membership_->on_link_change(peer, life, up);
    if (upper_) upper_->linked(peer, life, up);
  }
  void heard(fleet::MemberId from, const Payload& message) override {
    if (const auto* beat = std::get_if<fleet::MembershipMessage>(&message))
      membership_->on_message(from, *beat);
    else if (upper_) upper_->heard(from, message);
  }
  void work(std::uint64_t what) override {
    if (upper_) upper_->work(what);
  }
  Millis decide(Outbox& outbox) override {
    auto decided = membership_->decide();
    for (auto& send : decided.sends) outbox.emplace_back(send.to, std::move(send.message));
    if (upper_) {
      for (const auto& change : decided.changes) upper_->member(change);
      if (decided.declared_dead) upper_->given_up_on();
      if (!decided.changes.empty() || !told_) told_ = true, upper_->alive(membership_->alive());
    }
    if (on_decided) on_decided(decided);
    auto wake_in = decided.wake_in;
    if (upper_) {
      auto other = upper_->decide(outbox);
      if (wake_in < 0 || (other >= 0 && other < wake_in)) wake_in = other;
    }
    return wake_in;
  }

 private:
  std::unique_ptr<fleet::Membership> membership_;
  std::unique_ptr<Upper> upper_;
  bool told_ = false;
};

}  // namespace rockcrank::model
