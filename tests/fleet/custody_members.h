// A few members with custody alone, message by message: a test decides which messages arrive, who is stopped,
// who dies, and what state directory a restarted member finds.
#pragma once

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fleet/custody.h"

namespace rockcrank::fleet {

// All members begin alive and linked. Messages are delivered at once, unless `drops` says otherwise.
class CustodyMembersTest : public testing::Test {
 protected:
  static constexpr Millis lease_duration = 1000, replication_timeout = 200, max_clock_drift = 0.01;
  static constexpr Millis step = 10;

  struct Envelope {
    MemberId from, to;
    CustodyMessage message;
  };
  struct StateDirectory {
    std::map<GroupId, PersistentGroupState> groups;
    std::set<Incarnation> incarnations;
    std::map<GlobalDocId, DocumentState> documents;
    std::uint64_t highest_document = 0;
  };
  struct Host {
    std::unique_ptr<Custody> custody;
    Incarnation incarnation;
    StateDirectory directory;
    bool stopped = false;
    std::deque<Envelope> waiting;  // what arrives while it is stopped
    bool is_running() const { return custody != nullptr && !stopped; }
  };

  explicit CustodyMembersTest(int members) {
    for (int i = 1; i <= members; ++i)
      roster_.push_back({MemberId(static_cast<std::uint64_t>(i)), "n" + std::to_string(i), "h0"});
    for (const Member& member : roster_) {
      hosts_[member.id].incarnation = {1, 1};
      start(member.id);
    }
    for (const Member& member : roster_) announce(member.id);
  }

  // The first member's document, accepted by its own group.
  GlobalDocId accept_document(std::uint64_t number = 1, bool replicate_before_send = true) {
    Host& host = hosts_.at(roster_.front().id);
    host.custody->begin_turn(now_);
    DocumentState document;
    document.id = host.custody->next_document_id(number);
    document.record = "record", document.time_left = 60000;
    document.replicate_before_send = replicate_before_send;
    host.directory.documents[document.id] = document;
    host.directory.highest_document = number;
    host.custody->accept(document);
    return document.id;
  }

  void turn(MemberId id) {
    Host& host = hosts_.at(id);
    if (!host.is_running()) return;
    host.custody->begin_turn(now_);
    auto actions = host.custody->decide();
    for (const auto& state : actions.states_to_persist) {
      if (state.deleted) host.directory.groups.erase(state.group);
      else host.directory.groups[state.group] = state;
    }
    accepted_ += actions.accepted.size();
    taken_over_ += actions.taken_over.size();
    for (const auto* list : {&actions.taken_over, &actions.resumed})
      for (const DocumentState& document : *list) host.directory.documents[document.id] = document;
    for (const GlobalDocId& document : actions.relinquished) host.directory.documents.erase(document);
    for (const GlobalDocId& document : actions.reportable_ends) reported_ends_.emplace_back(id, document);
    for (const auto& send : actions.sends) queue_.push_back({id, send.to, send.message});
    expect_one_owner();
  }
  void deliver_all() {
    for (auto& [id, host] : hosts_) turn(id);
    while (!queue_.empty()) {
      Envelope envelope = queue_.front();
      queue_.pop_front();
      if (drops && drops(envelope)) continue;
      Host& host = hosts_.at(envelope.to);
      if (!host.custody) continue;
      if (host.stopped) {
        host.waiting.push_back(envelope);
        continue;
      }
      host.custody->begin_turn(now_);
      host.custody->on_message(envelope.from, envelope.message);
      turn(envelope.to);
    }
  }
  void run_for(Millis duration) {
    for (const Millis end = now_ + duration; now_ < end; now_ += step) deliver_all();
  }
  // Runs until `done` holds, at most for `most`; returns whether it came to hold.
  bool run_until(const std::function<bool()>& done, Millis most) {
    for (const Millis end = now_ + most; now_ < end; now_ += step) {
      deliver_all();
      if (done()) return true;
    }
    return false;
  }

  void stop(MemberId id) { hosts_.at(id).stopped = true; }
  void resume(MemberId id) {
    Host& host = hosts_.at(id);
    host.stopped = false;
    for (auto waiting = std::exchange(host.waiting, {}); const Envelope& envelope : waiting)
      queue_.push_back(envelope);
  }
  void kill(MemberId id) {
    hosts_.at(id).custody.reset();
    hosts_.at(id).waiting.clear();
    for (const Member& by : roster_) {
      Host& host = hosts_.at(by.id);
      if (!host.custody) continue;
      host.custody->begin_turn(now_);
      host.custody->on_link_change(id, false);
      host.custody->on_member_change(id, hosts_.at(id).incarnation, MemberState::dead);
    }
  }
  void restart(MemberId id, const StateDirectory& directory) {
    Host& host = hosts_.at(id);
    host.directory = directory;
    ++host.incarnation.number;
    start(id);
    announce(id);
  }
  // `by` holds `of` to be dead, or alive.
  void tell_state(MemberId by, MemberId of, MemberState state) {
    Host& host = hosts_.at(by);
    host.custody->begin_turn(now_);
    host.custody->on_member_change(of, hosts_.at(of).incarnation, state);
  }

  bool owns(MemberId id, const GlobalDocId& document) const {
    const Host& host = hosts_.at(id);
    if (!host.is_running()) return false;
    host.custody->begin_turn(now_);
    return host.custody->owns(document);
  }
  std::vector<MemberId> owners(const GlobalDocId& document) const {
    std::vector<MemberId> all;
    for (const Member& member : roster_)
      if (owns(member.id, document)) all.push_back(member.id);
    return all;
  }

  std::function<bool(const Envelope&)> drops;
  Roster roster_;
  std::map<MemberId, Host> hosts_;
  std::deque<Envelope> queue_;
  Millis now_ = 1000;
  std::size_t accepted_ = 0, taken_over_ = 0;
  std::vector<std::pair<MemberId, GlobalDocId>> reported_ends_;

 private:
  void start(MemberId id) {
    Host& host = hosts_.at(id);
    host.stopped = false;
    host.custody = Custody::make(roster_, id, host.incarnation,
                                 {lease_duration, max_clock_drift, replication_timeout, true}, 7);
    host.custody->begin_turn(now_);
    for (const Incarnation& incarnation : host.directory.incarnations)
      host.custody->add_past_incarnation(incarnation);
    host.directory.incarnations.insert(host.incarnation);
    for (const auto& [group, state] : host.directory.groups) host.custody->restore_group(state);
    for (const auto& [document, state] : host.directory.documents)
      host.custody->restore_document(state, host.directory.highest_document);
  }
  // The members that run and this one learn of each other.
  void announce(MemberId id) {
    for (const Member& member : roster_) {
      if (member.id == id) continue;
      for (auto [by, of] : {std::pair{id, member.id}, {member.id, id}}) {
        Host& host = hosts_.at(by);
        if (!host.custody || !hosts_.at(of).custody) continue;
        tell_state(by, of, MemberState::alive);
        host.custody->on_link_change(of, true);
      }
    }
  }
  void expect_one_owner() {
    if (HasNonfatalFailure()) return;  // once is enough
    std::set<GlobalDocId> documents;
    for (const auto& [id, host] : hosts_)
      for (const auto& [document, state] : host.directory.documents) documents.insert(document);
    for (const GlobalDocId& document : documents) EXPECT_LE(owners(document).size(), 1u) << "at " << now_;
  }
};

}  // namespace rockcrank::fleet
