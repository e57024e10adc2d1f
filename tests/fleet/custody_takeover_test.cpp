// Tests takeovers in the first moments of a configuration, message by message.

#include "custody_members.h"

namespace rockcrank::fleet {
namespace {

using Kind = CustodyMessage::Kind;

constexpr MemberId owner{1}, first_replica{2}, second_replica{3};

class CustodyTakeoverTest : public CustodyMembersTest {
 protected:
  CustodyTakeoverTest() : CustodyMembersTest(3) {}
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
