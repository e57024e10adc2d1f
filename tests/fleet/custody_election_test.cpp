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

}  // namespace
}  // namespace rockcrank::fleet
