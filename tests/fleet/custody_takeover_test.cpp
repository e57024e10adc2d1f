// Tests takeovers in the first moments of a configuration, message by message.

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "fleet/custody.h"

namespace rockcrank::fleet {
namespace {

using Kind = CustodyMessage::Kind;

constexpr MemberId owner{1}, first_replica{2}, second_replica{3};
constexpr Millis lease_duration = 1000, replication_timeout = 200;

// Three members whose messages are delivered at once, unless `drops` says otherwise.
class CustodyTakeoverTest : public testing::Test {
 protected:
  struct Envelope {
    MemberId from, to;
    CustodyMessage message;
  };

  CustodyTakeoverTest() {
    Roster roster;
    for (MemberId id : {owner, first_replica, second_replica})
      roster.push_back({id, "n" + std::to_string(static_cast<int>(id)), "h0"});
    for (MemberId id : {owner, first_replica, second_replica}) {
      custody_[id] = Custody::make(roster, id, {1, 1}, {lease_duration, 0.01, replication_timeout, true}, 7);
      custody_[id]->begin_turn(now_);
    }
    for (auto& [id, custody] : custody_)
      for (MemberId other : {owner, first_replica, second_replica})
        if (other != id) {
          custody->on_member_change(other, {1, 1}, MemberState::alive);
          custody->on_link_change(other, true);
        }
  }

  void turn(MemberId id) {
    auto& custody = *custody_.at(id);
    custody.begin_turn(now_);
    auto actions = custody.decide();
    accepted_ += actions.accepted.size();
    taken_over_ += actions.taken_over.size();
    for (const auto& send : actions.sends) queue_.push_back({id, send.to, send.message});
  }
  void deliver_all() {
    for (auto& [id, custody] : custody_) turn(id);
    while (!queue_.empty()) {
      Envelope envelope = queue_.front();
      queue_.pop_front();
      if (!custody_.count(envelope.to) || (drops && drops(envelope))) continue;
      custody_.at(envelope.to)->begin_turn(now_);
      custody_.at(envelope.to)->on_message(envelope.from, envelope.message);
      turn(envelope.to);
    }
  }
  void run_for(Millis duration) {
    for (const Millis end = now_ + duration; now_ < end; now_ += 10) deliver_all();
  }
  void accept_document() {
    auto& custody = *custody_.at(owner);
    custody.begin_turn(now_);
    DocumentState document;
    document.id = custody.next_document_id(1);
    document.record = "record", document.time_left = 60000;
    custody.accept(document);
  }
  void kill(MemberId id) {
    custody_.erase(id);
    for (auto& [other, custody] : custody_) {
      custody->begin_turn(now_);
      custody->on_link_change(id, false);
      custody->on_member_change(id, {1, 1}, MemberState::dead);
    }
  }

  std::function<bool(const Envelope&)> drops;
  std::map<MemberId, std::unique_ptr<Custody>> custody_;
  std::deque<Envelope> queue_;
  Millis now_ = 1000;
  std::size_t accepted_ = 0, taken_over_ = 0;
};

bool carries_documents(const CustodyMessage& message) {
  return message.kind == Kind::append_entries || message.kind == Kind::range_digests ||
         message.kind == Kind::range_documents;
}

// Guards against accepted documents that nobody may deliver, as the replica that has none of them denies its
// vote to the one that has all.
TEST_F(CustodyTakeoverTest, OwnerDiesBeforeItsSecondReplicaHasAnything) {
  drops = [](const Envelope& envelope) {
    return envelope.to == second_replica && carries_documents(envelope.message);
  };
  accept_document();
  run_for(100);
  ASSERT_EQ(accepted_, 1u);
  kill(owner);
  run_for(5 * lease_duration);
  EXPECT_EQ(taken_over_, 1u);
}

// Guards against a takeover by a replica that lacks documents: the one that has them is gone, too.
TEST_F(CustodyTakeoverTest, ReplicaWithoutDocumentsDoesNotTakeOver) {
  drops = [](const Envelope& envelope) {
    return envelope.to == second_replica && carries_documents(envelope.message);
  };
  accept_document();
  run_for(100);
  ASSERT_EQ(accepted_, 1u);
  kill(owner);
  kill(first_replica);
  run_for(5 * lease_duration);
  EXPECT_EQ(taken_over_, 0u);
}

}  // namespace
}  // namespace rockcrank::fleet
