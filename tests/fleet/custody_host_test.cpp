// Tests the host of custody: what it does with messages while links come up.

#include <gtest/gtest.h>

#include <memory>
#include <optional>

#include "component_test.h"
#include "fleet/custody.h"
#include "peer/codec.h"
#include "peer/fleet.h"

namespace rockcrank::peer {
namespace {

using fleet::CustodyMessage;
using fleet::Incarnation;
using fleet::MemberId;
using fleet::RelayInstance;
using MessageKind = CustodyMessage::Kind;

constexpr Incarnation owner_incarnation{3, 3};

// Member "b" is asked to be a replica of member "a" before its own connection to "a" is up.
class CustodyHostTest : public ComponentTest {
 protected:
  CustodyHostTest() {
    config_.replica_count = 2, config_.wait_for_replica = true;
    config_.lease_duration = 1000, config_.replication_timeout = 200;
    start_link();
    custody_ = make_custody(context());
    custody_->start();
    link_->on_link_change = [this](MemberId peer, Incarnation incarnation, bool up) {
      custody_->on_link_change(peer, incarnation, up);
    };
    custody_->on_message(member_id("a"), packed(proposal()));
    run_for(2);
  }

  static CustodyMessage proposal() {
    const RelayInstance owner{member_id("a"), owner_incarnation};
    CustodyMessage message;
    message.kind = MessageKind::propose_configuration, message.sender = owner;
    message.group = {member_id("a"), owner_incarnation.number}, message.number = 1;
    message.configuration = {{1, member_id("a")}, 1, owner, {{member_id("b"), own_incarnation}}};
    return message;
  }
  void start_owner(Incarnation incarnation) {
    owner_config_ = config_;
    owner_config_.self = member_id("a"), owner_config_.self_name = "a";
    owner_link_.emplace(loop_, owner_config_, incarnation, 2);
    owner_link_->on_message = [this](MemberId, Channel, std::string_view payload) {
      received_.push_back(unpacked<CustodyMessage>(payload).kind);
    };
  }

  std::unique_ptr<FleetComponent> custody_;
  FleetConfig owner_config_;
  std::optional<Link> owner_link_;
  std::vector<MessageKind> received_;
};

// Guards against a client that is answered -BUSY as the only answer of a replica was dropped.
TEST_F(CustodyHostTest, ReplyIsSentOnceTheLinkIsUp) {
  start_owner(owner_incarnation);
  ASSERT_TRUE(run_until(config_.replication_timeout, [&] { return link_->is_up(member_id("a")); }));
  EXPECT_TRUE(run_until(50, [&] { return !received_.empty(); }));
  EXPECT_EQ(received_, std::vector{MessageKind::configuration_accepted});
}

// A restarted member has not asked, so the answer is not for it.
TEST_F(CustodyHostTest, ReplyToAnEarlierIncarnationIsDropped) {
  start_owner({4, 4});
  ASSERT_TRUE(run_until(config_.replication_timeout, [&] { return link_->is_up(member_id("a")); }));
  run_for(50);
  EXPECT_TRUE(received_.empty());
}

// Its sender has stopped waiting for it, and resends what was not answered.
TEST_F(CustodyHostTest, OldReplyIsDropped) {
  run_for(config_.replication_timeout);
  start_owner(owner_incarnation);
  ASSERT_TRUE(run_until(2000, [&] { return link_->is_up(member_id("a")); }));
  run_for(50);
  EXPECT_TRUE(received_.empty());
}

}  // namespace
}  // namespace rockcrank::peer
