// Tests elections in which one member alone can tell that there is, or may be, another owner.

#include <algorithm>

#include "custody_members.h"

namespace rockcrank::fleet {
namespace {

using Kind = CustodyMessage::Kind;

constexpr MemberId owner{1}, first_replica{2}, second_replica{3}, new_replica{4};

class CustodyJointElectionTest : public CustodyMembersTest {
 protected:
  CustodyJointElectionTest() : CustodyMembersTest(4) {}
  void cut(MemberId a, MemberId b) {
    cut_links_.insert({a, b});
    cut_links_.insert({b, a});
  }
  void restore(MemberId a, MemberId b) {
    cut_links_.erase({a, b});
    cut_links_.erase({b, a});
  }
  bool is_cut(const Envelope& envelope) const { return cut_links_.count({envelope.from, envelope.to}) > 0; }
  std::set<std::pair<MemberId, MemberId>> cut_links_;
};

// Guards against two owners: one elected in an older and a newer configuration, one in the older one only.
TEST_F(CustodyJointElectionTest, OlderConfigurationStaysInForceAfterAnElection) {
  drops = [&](const Envelope& envelope) { return is_cut(envelope); };
  GlobalDocId document = accept_document();
  run_for(lease_duration);
  ASSERT_EQ(owners(document), std::vector{owner});
  // The owner replaces its second replica, but neither replica hears of it.
  cut(owner, first_replica);
  cut(owner, second_replica);
  cut(first_replica, second_replica);
  tell_state(owner, second_replica, MemberState::dead);
  run_for(2 * lease_duration);
  ASSERT_EQ(owners(document), std::vector<MemberId>{});
  // The replaced replica votes for the owner, and hears nothing more of it.
  restore(owner, second_replica);
  bool voted = false;
  drops = [&](const Envelope& envelope) {
    voted = voted || (envelope.from == second_replica && envelope.to == owner &&
                      envelope.message.kind == Kind::vote && envelope.message.yes);
    return is_cut(envelope) || (envelope.from == owner && envelope.to == second_replica &&
                                envelope.message.kind != Kind::request_vote);
  };
  ASSERT_TRUE(run_until([&] { return voted; }, 2 * lease_duration));
  // The other replica asks for its vote at once: turn() expects at most one owner at any time.
  cut(owner, second_replica);
  restore(first_replica, second_replica);
  run_for(5 * lease_duration);
  EXPECT_EQ(owners(document).size(), 1u);
}

// Guards against two owners: the lease that a replica has granted ends when it votes for the owner anew.
TEST_F(CustodyJointElectionTest, VoteForTheOwnerKeepsTheLeaseThatItHas) {
  drops = [&](const Envelope& envelope) { return is_cut(envelope); };
  GlobalDocId document = accept_document();
  run_for(lease_duration);
  cut(owner, second_replica);
  run_for(2 * lease_duration);
  ASSERT_EQ(owners(document), std::vector{owner});
  // The owner, which has a lease from its first replica, hears that its second one has voted in a later term.
  CustodyMessage refusal;
  refusal.kind = Kind::refused;
  refusal.group = document.group();
  refusal.sender = {second_replica, hosts_.at(second_replica).incarnation};
  refusal.term = {5, second_replica};
  hosts_.at(owner).custody->on_message(second_replica, refusal);
  bool voted = false;
  drops = [&](const Envelope& envelope) {
    bool from_owner = envelope.from == owner && envelope.to == first_replica;
    voted = voted || (envelope.from == first_replica && envelope.to == owner &&
                      envelope.message.kind == Kind::vote && envelope.message.yes);
    return is_cut(envelope) || (voted && from_owner);
  };
  ASSERT_TRUE(run_until([&] { return voted; }, 2 * lease_duration));
  // The second replica asks for the first one's vote: turn() expects at most one owner at any time.
  run_for(5 * lease_duration);
  EXPECT_EQ(owners(document), std::vector{second_replica});
}

// Guards against two owners: one elected in an older, one in a newer configuration, of which both are in
// force.
TEST_F(CustodyJointElectionTest, NewerConfigurationElectsNobodyWhileAnOlderOneIsInForce) {
  drops = [&](const Envelope& envelope) { return is_cut(envelope); };
  GlobalDocId document = accept_document();
  run_for(lease_duration);
  // The owner replaces its second replica; only the new one hears of it.
  cut(owner, first_replica);
  cut(owner, second_replica);
  cut(new_replica, first_replica);
  cut(new_replica, second_replica);
  tell_state(owner, second_replica, MemberState::dead);
  run_for(lease_duration / 2);
  stop(owner);
  // The older configuration elects one of its replicas, whose voter hears nothing more of it.
  MemberId successor{}, voter{};
  drops = [&](const Envelope& envelope) {
    if (envelope.message.kind == Kind::vote && envelope.message.yes && !envelope.message.pre_vote)
      successor = envelope.to, voter = envelope.from;
    bool to_voter = envelope.from == successor && envelope.to == voter;
    return is_cut(envelope) || to_voter || envelope.to == owner;
  };
  ASSERT_TRUE(run_until([&] { return successor != MemberId{}; }, 5 * lease_duration));
  ASSERT_NE(successor, new_replica);
  run_for(lease_duration);
  // The former owner becomes its replica. The newer configuration asks for the voter's vote.
  drops = [&](const Envelope& envelope) {
    bool newer = envelope.from == new_replica || envelope.to == new_replica;
    bool voter_hears = envelope.to == voter && envelope.from != new_replica;
    bool owner_hears = envelope.to == owner && envelope.from == successor;
    return !(newer && envelope.to != owner && envelope.from != owner) && !owner_hears &&
           !(envelope.from == owner && envelope.to == successor) && (voter_hears || is_cut(envelope));
  };
  resume(owner);
  run_for(6 * lease_duration);
  EXPECT_EQ(owners(document), std::vector{successor});
}

// Guards against a second end: a replica that lacks a reported end takes over, as the one that had it was
// dropped too early.
TEST_F(CustodyJointElectionTest, ConfigurationStaysUntilTheNewOneHasWhatWasCommitted) {
  bool cut_off = false;
  drops = [&](const Envelope& envelope) {
    bool has_documents = envelope.message.kind == Kind::append_entries ||
                         envelope.message.kind == Kind::range_digests ||
                         envelope.message.kind == Kind::range_documents;
    return cut_off && envelope.to != second_replica && has_documents;
  };
  GlobalDocId document = accept_document();
  run_for(lease_duration);
  // An end that only the second replica has.
  cut_off = true;
  Host& host = hosts_.at(owner);
  host.custody->record_ended(document, "abandoned");
  ASSERT_TRUE(run_until([&] { return host.custody->may_report_end(document); }, lease_duration));
  // It is replaced, and says that it has heard; the replicas that are left have no such end.
  tell_state(owner, second_replica, MemberState::dead);
  run_for(lease_duration);
  kill(owner);
  run_for(6 * lease_duration);
  EXPECT_EQ(taken_over_, 0u);
}

class CustodyRestartedVoterTest : public CustodyMembersTest {
 protected:
  CustodyRestartedVoterTest() : CustodyMembersTest(3) {}
  // Stops the owner until a replica has taken over and reported the document's end; returns that replica.
  MemberId take_over_and_end(const GlobalDocId& document) {
    stop(owner);
    drops = [](const Envelope& envelope) { return envelope.to == owner; };  // its connections have ended
    for (MemberId replica : {first_replica, second_replica}) tell_state(replica, owner, MemberState::dead);
    EXPECT_TRUE(run_until([&] { return !owners(document).empty(); }, 10 * lease_duration));
    MemberId successor = owners(document).front();
    run_for(lease_duration);  // until the stopped owner is no replica any more
    Host& host = hosts_.at(successor);
    host.custody->begin_turn(now_);
    host.custody->record_ended(document, "abandoned");
    EXPECT_TRUE(run_until([&] { return host.custody->may_report_end(document); }, lease_duration));
    host.custody->remove(document);
    run_for(lease_duration);
    return successor;
  }
  static MemberId other_than(MemberId replica) {
    return replica == first_replica ? second_replica : first_replica;
  }
};

// Guards against a second end: a restarted voter whose state directory is older than its vote for the
// successor.
TEST_F(CustodyRestartedVoterTest, OlderStateDirectoryOfASuccessorIsNoVote) {
  GlobalDocId document = accept_document();
  run_for(lease_duration);
  std::map<MemberId, StateDirectory> older;
  for (const auto& [id, host] : hosts_) older[id] = host.directory;
  MemberId successor = take_over_and_end(document), witness = other_than(successor);
  kill(successor);
  restart(successor, older.at(successor));
  run_for(2 * lease_duration);
  // The one other member that knows of the takeover is stopped while the former owner goes on.
  stop(witness);
  drops = nullptr;
  resume(owner);
  for (Millis end = now_ + 5 * lease_duration; now_ < end; now_ += step) {
    deliver_all();
    ASSERT_FALSE(owns(owner, document)) << "the document has been ended by its successor";
  }
  resume(witness);
  run_for(5 * lease_duration);
  EXPECT_FALSE(owns(owner, document));
}

// Guards against documents without an end: all members restart at once, and each finds its state directory.
TEST_F(CustodyRestartedVoterTest, OwnerGoesOnWhenAllMembersRestart) {
  GlobalDocId document = accept_document();
  run_for(lease_duration);
  auto before = std::exchange(hosts_, {});
  for (auto& [id, host] : before) hosts_[id].incarnation = host.incarnation;
  for (const auto& [id, host] : before) restart(id, host.directory);
  EXPECT_TRUE(run_until([&] { return owns(owner, document); }, 10 * lease_duration));
}

// Guards against documents without an end: of all members that restart at once one finds an empty directory.
TEST_F(CustodyRestartedVoterTest, OwnerGoesOnWhenAllMembersRestartAndOneDirectoryIsEmptied) {
  for (MemberId emptied : {first_replica, second_replica}) {
    GlobalDocId document = accept_document(static_cast<std::uint64_t>(emptied));
    run_for(10 * lease_duration);
    ASSERT_TRUE(owns(owner, document));
    auto before = std::exchange(hosts_, {});
    for (auto& [id, host] : before) hosts_[id].incarnation = host.incarnation;
    for (const auto& [id, host] : before) restart(id, id == emptied ? StateDirectory{} : host.directory);
    EXPECT_TRUE(run_until([&] { return owns(owner, document); }, 10 * lease_duration));
  }
}

// A replica whose process is replaced: the new process has learned what the earlier one left behind.
class CustodyReplacedVoterTest : public testing::Test {
 protected:
  static constexpr Millis lease_duration = 1000, max_clock_drift = 0.01;
  static constexpr RelayInstance group_owner{owner, {3, 3}}, restarted_owner{owner, {4, 4}};
  static constexpr RelayInstance earlier{first_replica, {5, 5}};

  CustodyReplacedVoterTest()
      : custody_(
            Custody::make({{owner, "n1", "h0"}, {first_replica, "n2", "h0"}, {second_replica, "n3", "h0"}},
                          first_replica, {6, 6}, {lease_duration, max_clock_drift, 200, true}, 7)) {
    custody_->begin_turn(now_);
  }
  void end_earlier_process_at(Millis at) {
    custody_->begin_turn(now_ = at);
    custody_->add_past_incarnation(earlier.incarnation);
    PersistentGroupState state;
    state.group = {owner, 3}, state.configurations = {configuration()},
    state.voted_term = configuration().term;
    custody_->restore_group(state);
    custody_->on_previous_process_ended();
  }
  static Configuration configuration() {
    return {{1, owner}, 1, group_owner, {earlier, {second_replica, {1, 1}}}};
  }
  // Whether it votes for the owner, which has restarted, at this time.
  bool votes_at(Millis at) {
    custody_->begin_turn(now_ = at);
    CustodyMessage request;
    request.kind = Kind::request_vote, request.group = {owner, 3}, request.sender = restarted_owner;
    request.configuration = configuration(), request.term = {++term_, owner}, request.number = 1;
    request.recovering = true;
    custody_->on_message(owner, request);
    for (const auto& send : custody_->decide().sends)
      if (send.message.kind == Kind::vote) return send.message.yes;
    return false;
  }

  Millis now_ = 1000;
  std::uint64_t term_ = 1;
  std::unique_ptr<Custody> custody_;
};

// Guards against two owners: the earlier process granted a lease after the later one had started, which voted
// for another owner before that lease had ended.
TEST_F(CustodyReplacedVoterTest, VotesOnceALeaseOfTheEarlierProcessHasEnded) {
  const Millis ended_at = 9000;
  end_earlier_process_at(ended_at);
  EXPECT_FALSE(votes_at(ended_at));
  EXPECT_FALSE(votes_at(ended_at + lease_duration * (1 + max_clock_drift) - 1));
  EXPECT_TRUE(votes_at(ended_at + lease_duration * (1 + max_clock_drift) + 1));
}

// Guards against a vote by a process that does not know yet what the earlier one voted.
TEST_F(CustodyReplacedVoterTest, DoesNotVoteBeforeTheEarlierProcessHasEnded) { EXPECT_FALSE(votes_at(9000)); }

}  // namespace
}  // namespace rockcrank::fleet
