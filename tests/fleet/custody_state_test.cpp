// What two processes of one state directory have stored of custody, combined.
#include "fleet/custody_state.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "peer/codec.h"

namespace rockcrank::fleet {
namespace {

constexpr MemberId self{1}, other_member{2};
constexpr RelayInstance earlier{self, {10, 1}}, successor{other_member, {20, 1}};

PersistentGroupState owned(std::uint64_t term, std::uint64_t revision) {
  PersistentGroupState state;
  state.group = {self, 10};
  state.configurations = {{{term, self}, revision, earlier, {}}};
  state.voted_term = {term, self};
  state.is_owner = true;
  state.highest_document = 140;
  return state;
}

PersistentGroupState taken_over(std::uint64_t term) {
  PersistentGroupState state;
  state.group = {self, 10};
  state.configurations = {{{term, other_member}, 0, successor, {}}};
  state.voted_term = {term, other_member};
  state.highest_document = 7;
  return state;
}

// Guards against a vote that is forgotten, and an owner that is not, when an older journal is read last.
TEST(CustodyState, NewerConfigurationAndLaterVoteSurviveInAnyOrder) {
  PersistentGroupState voted = owned(1, 0);
  voted.voted_term = {9, other_member};
  std::vector<PersistentGroupState> states{voted, owned(1, 2), taken_over(5)};
  std::vector<int> order{0, 1, 2};
  do {
    const auto merged = merge_group_states(merge_group_states(states[order[0]], states[order[1]]),
                                           merge_group_states(states[order[1]], states[order[2]]));
    EXPECT_EQ(merged.voted_term, (Version{9, other_member}));
    EXPECT_EQ(merged.configurations.back().owner, successor);
    EXPECT_FALSE(merged.is_owner);
    EXPECT_EQ(merged.highest_document, 7u) << "documents that the successor never knew would be released";
  } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against an owner that asks too few members: of the same state the one with all configurations
// counts.
TEST(CustodyState, ConfigurationsInForceAreKept) {
  PersistentGroupState joint = owned(1, 2);
  joint.configurations.insert(joint.configurations.begin(), owned(1, 1).configurations.front());
  for (const auto& merged : {merge_group_states(joint, owned(1, 2)), merge_group_states(owned(1, 2), joint)})
    EXPECT_EQ(merged.configurations.size(), 2u);
}

// Guards against a state that only says how a member voted: it names no owner.
TEST(CustodyState, StateWithoutAConfigurationIsOlder) {
  PersistentGroupState vote;
  vote.group = {self, 10}, vote.voted_term = {3, other_member};
  for (const auto& merged : {merge_group_states(vote, owned(1, 0)), merge_group_states(owned(1, 0), vote)}) {
    EXPECT_TRUE(merged.is_owner);
    EXPECT_EQ(merged.voted_term, (Version{3, other_member}));
  }
}

// Guards against a member whose votes are refused as it forgot one of its incarnations.
TEST(CustodyState, IncarnationsOfBothAreKnown) {
  const std::vector<Incarnation> one{{10, 1}, {30, 3}}, other{{20, 2}, {30, 3}};
  const std::vector<Incarnation> all{{10, 1}, {20, 2}, {30, 3}};
  EXPECT_EQ(merge_incarnations(one, other), all);
  EXPECT_EQ(merge_incarnations(other, one), all);
}

// Guards against a list that grows with each start; the incarnation that is in a configuration is a late one.
TEST(CustodyState, NewestIncarnationsAreKept) {
  std::vector<Incarnation> all;
  for (std::uint64_t number = 1; number <= 100; ++number) all.push_back({number, 0});
  const auto kept = merge_incarnations(all, {{101, 0}});
  EXPECT_EQ(kept.size(), 64u);
  EXPECT_EQ(kept.back().number, 101u);
}

}  // namespace
}  // namespace rockcrank::fleet
