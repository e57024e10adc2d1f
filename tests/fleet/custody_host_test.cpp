// Tests the host of custody: what it does with messages while links come up.

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

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

// Two processes of member "b" with one state directory, as while one is replaced. Neither has a link.
class CustodyReplacementTest : public ComponentTest {
 protected:
  static constexpr Incarnation earlier_incarnation{5, 5}, later_incarnation{6, 6};

  CustodyReplacementTest() {
    config_.replica_count = 2, config_.wait_for_replica = true;
    config_.lease_duration = 1000, config_.replication_timeout = 200;
    config_.roster.push_back({member_id("c"), "c", "h0"});
    config_.addresses[member_id("c")] = {"127.0.0.1", ports_["c"].port()};
    std::ranges::sort(config_.roster, {}, &fleet::Member::id);
    start_link();
    store_.reset(), store_ = open_store();
    custody_ = make_custody(context());
    custody_->start();
    later_store_ = open_store();
    later_relay_.emplace(RelayContext{loop_,
                                      decision_,
                                      *later_store_,
                                      endpoints_,
                                      relay_config_,
                                      listed_,
                                      [this] { begin_turn(); },
                                      [this] { return decision_time_; },
                                      {},
                                      {},
                                      {},
                                      {}});
    later_context_.emplace(
        ComponentContext{*later_relay_, config_, *membership_, *link_, later_incarnation, folder_, 1});
    later_custody_ = make_custody(*later_context_);
    later_custody_->start();
  }
  std::unique_ptr<Store> open_store() const {
    return std::make_unique<Store>(folder_, 1 << 20, merge_metadata);
  }
  void end_earlier_process() {
    custody_.reset(), store_.reset();
    ASSERT_TRUE(later_store_->adopt_orphaned_files().any_file);
    later_custody_->on_previous_process_ended();
    run_for(2);
  }
  void end_later_process() { later_custody_.reset(), later_store_.reset(); }
  // The earlier process becomes a replica of member "a", and votes for it in a later term.
  void vote_in_earlier_process() {
    const RelayInstance owner{member_id("a"), owner_incarnation};
    CustodyMessage message;
    message.kind = MessageKind::propose_configuration, message.sender = owner, message.group = group_;
    message.configuration = {{6, member_id("a")}, 1, owner, {{member_id("b"), earlier_incarnation}}};
    custody_->on_message(member_id("a"), packed(message));
    message.kind = MessageKind::request_vote, message.term = voted_term_;
    message.number = message.configuration.revision;
    custody_->on_message(member_id("a"), packed(message));
    run_for(2);
  }
  static std::vector<Incarnation> incarnations_in(const Store& store) {
    return unpacked<std::vector<Incarnation>>(store.metadata().at("custody lives"));
  }
  std::string group_name() const { return "custody group " + packed(group_); }

  const fleet::GroupId group_{member_id("a"), owner_incarnation.number};
  const fleet::Version voted_term_{7, member_id("a")};
  std::unique_ptr<Store> later_store_;
  std::optional<RelayContext> later_relay_;
  std::optional<ComponentContext> later_context_;
  std::unique_ptr<FleetComponent> custody_, later_custody_;
};

// Guards against documents without an end: after a replacement the directory forgot the incarnation that is
// in the configurations of others, and a restarted replica denied its vote.
TEST_F(CustodyReplacementTest, BothIncarnationsAreKnownAfterTheEarlierOneEnded) {
  end_earlier_process();
  const std::vector<Incarnation> both{earlier_incarnation, later_incarnation};
  EXPECT_EQ(incarnations_in(*later_store_), both);
  end_later_process();
  EXPECT_EQ(incarnations_in(*open_store()), both);
}

// Guards against the same where both are killed before the later process has adopted anything.
TEST_F(CustodyReplacementTest, BothIncarnationsAreKnownAfterAKillOfBoth) {
  end_later_process();
  custody_.reset(), store_.reset();
  EXPECT_EQ(incarnations_in(*open_store()),
            (std::vector<Incarnation>{earlier_incarnation, later_incarnation}));
}

// Guards against two owners: the later process took the earlier one's documents for its own without the votes
// of those who have copies, and may have taken them over.
TEST_F(CustodyReplacementTest, DocumentsOfTheEarlierProcessNeedAVote) {
  for (const char* replica : {"a", "c"})
    custody_->on_member_change(member_id(replica), {3, 3}, fleet::MemberState::alive);
  run_for(2);
  store_->on_record = [this](char kind, DocId doc, int number) {
    custody_->on_store_record(kind, doc, number);
  };
  StoredDocument document;
  document.id = "d1", document.max_transmissions = 3, document.expiry = EventLoop::wall_time() + 60000;
  store_->record_accepted(store_->add(std::move(document)));
  run_for(2);
  ASSERT_TRUE(store_->flush());
  end_earlier_process();
  ASSERT_EQ(later_store_->documents().size(), 1u);
  const DocId adopted = later_store_->documents().begin()->first;
  EXPECT_FALSE(run_until(4 * config_.lease_duration, [&] { return later_custody_->owns(adopted); }));
}

// Guards against two owners: a vote that the earlier process gave while the later one had started is kept.
TEST_F(CustodyReplacementTest, VoteOfTheEarlierProcessIsKept) {
  vote_in_earlier_process();
  end_earlier_process();
  ASSERT_EQ(later_store_->metadata().count(group_name()), 1u);
  const auto state = unpacked<fleet::PersistentGroupState>(later_store_->metadata().at(group_name()));
  EXPECT_EQ(state.voted_term, voted_term_);
}

}  // namespace
}  // namespace rockcrank::peer
