// Which endpoint's process is at an address, by what the list tells.
#include "decision/endpoint_addresses.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rockcrank {
namespace {

constexpr EndpointId first{1}, second{2}, third{3};
constexpr const char* other_address = "10.0.0.1:81";

AddressClaim ready(EndpointId endpoint, Millis started_at, const char* address = "10.0.0.1:80") {
  return {endpoint, EndpointStatus::ready, address, started_at};
}

using Ids = std::vector<EndpointId>;

// As known by the process that takes over.
EndpointAddresses replaced(EndpointAddresses& before) {
  EndpointAddresses after;
  after.import_state(before.export_state());
  return after;
}

struct ListUpdate {
  std::vector<AddressClaim> claims;
  bool full = false;
};

// Few endpoints, addresses and times, so that they meet.
rc::Gen<ListUpdate> drawn_update() {
  return rc::gen::exec([] {
    ListUpdate update;
    const int claims = *rc::gen::inRange(0, 5);
    for (int i = 0; i < claims; ++i) {
      AddressClaim claim;
      claim.endpoint = EndpointId(*rc::gen::inRange(1, 5));
      claim.status = *rc::gen::element(EndpointStatus::ready, EndpointStatus::ready, EndpointStatus::draining,
                                       EndpointStatus::gone);
      const bool by_id_alone = claim.status != EndpointStatus::ready && *rc::gen::arbitrary<bool>();
      if (!by_id_alone)
        claim.address = *rc::gen::element<std::string>("10.0.0.1:80", "10.0.0.1:80", "10.0.0.1:81");
      claim.started_at = static_cast<Millis>(*rc::gen::inRange(0, 4));
      update.claims.push_back(claim);
    }
    update.full = *rc::gen::inRange(0, 4) == 0;
    return update;
  });
}

// Calls went to another destination, whose process had come up at the address.
TEST(EndpointAddresses, TheProcessThatStartedLaterIsThere) {
  EndpointAddresses addresses;
  EXPECT_EQ(addresses.update({ready(first, 0)}, true), Ids{});
  EXPECT_EQ(addresses.update({ready(second, 5)}, false), Ids{first});
  // A list that is late has the first one still, or alone.
  EXPECT_EQ(addresses.update({ready(first, 0), ready(second, 5)}, true), Ids{first});
  EXPECT_EQ(addresses.update({ready(first, 0)}, false), Ids{first});
}

TEST(EndpointAddresses, InEitherOrderOfOneList) {
  for (const bool later_first : {false, true}) {
    EndpointAddresses addresses;
    const auto list = later_first ? std::vector{ready(second, 5), ready(first, 0)}
                                  : std::vector{ready(first, 0), ready(second, 5)};
    EXPECT_EQ(addresses.update(list, true), Ids{first});
  }
}

TEST(EndpointAddresses, WithoutTimesTheOneThatWasListedLaterIsThere) {
  EndpointAddresses addresses;
  EXPECT_EQ(addresses.update({ready(first, 0)}, true), Ids{});
  EXPECT_EQ(addresses.update({ready(second, 0)}, false), Ids{first});
  EXPECT_EQ(addresses.update({ready(first, 0), ready(second, 0)}, true), Ids{first});
}

TEST(EndpointAddresses, TwoThatComeTogetherAreLeftAlone) {
  EndpointAddresses addresses;
  EXPECT_EQ(addresses.update({ready(first, 0), ready(second, 0)}, true), Ids{});
}

TEST(EndpointAddresses, AnAddressThatWasLeftIsFree) {
  EndpointAddresses addresses;
  EXPECT_EQ(addresses.update({ready(first, 7)}, true), Ids{});
  EXPECT_EQ(addresses.update({{first, EndpointStatus::gone, {}, 7}, ready(second, 5)}, false), Ids{});
  EXPECT_EQ(addresses.update({ready(first, 3)}, true), Ids{});  // the second one is not listed any more
}

// Documents were held: their endpoint, which had moved, was taken for gone when its old address was taken.
TEST(EndpointAddresses, AnEndpointThatMovesLeavesItsAddress) {
  EndpointAddresses addresses;
  EXPECT_EQ(addresses.update({ready(first, 0)}, true), Ids{});
  EXPECT_EQ(addresses.update({ready(first, 5, other_address)}, false), Ids{});
  EXPECT_EQ(addresses.update({ready(second, 7)}, false), Ids{});
  EXPECT_EQ(addresses.update({ready(third, 9, other_address)}, false), Ids{first});
}

// The same where one update says both, in either order, and where the first one is told gone in it.
TEST(EndpointAddresses, AnAddressThatIsLeftAndTakenInOneUpdate) {
  const AddressClaim moved = ready(first, 5, other_address), gone{first, EndpointStatus::gone, {}, 7};
  for (const auto& list : {std::vector{moved, ready(second, 7)}, std::vector{ready(second, 7), moved},
                           std::vector{gone, ready(second, 5)}, std::vector{ready(second, 5), gone}}) {
    EndpointAddresses addresses;
    EXPECT_EQ(addresses.update({ready(first, 7)}, true), Ids{});
    EXPECT_EQ(addresses.update(list, false), Ids{});
  }
}

// It comes back elsewhere, and is at its new address for good.
TEST(EndpointAddresses, AnEndpointThatWasSupersededComesBackElsewhere) {
  EndpointAddresses addresses;
  EXPECT_EQ(addresses.update({ready(first, 0)}, true), Ids{});
  EXPECT_EQ(addresses.update({ready(second, 5)}, false), Ids{first});
  EXPECT_EQ(addresses.update({ready(first, 6, other_address)}, false), Ids{});
  EXPECT_EQ(addresses.update({ready(second, 5), ready(first, 6, other_address)}, true), Ids{});
  EXPECT_EQ(addresses.update({ready(third, 9)}, false), Ids{second});
}

// Calls went on to one of two endpoints that nothing told apart, when a third one was at their address.
TEST(EndpointAddresses, AThirdOneSupersedesBothThatCameTogether) {
  EndpointAddresses addresses;
  EXPECT_EQ(addresses.update({ready(first, 0), ready(second, 0)}, true), Ids{});
  EXPECT_EQ(addresses.update({ready(third, 5)}, false), (Ids{first, second}));
}

// Any sequence of updates: of the endpoints that are taken for ready, no two processes with different start
// times are at one address; and none is gone that a whole list has alone at an address at which no process
// has started later.
RC_GTEST_PROP(EndpointAddressesProperty, OneProcessIsAtAnAddress, ()) {
  EndpointAddresses addresses;
  std::map<EndpointId, AddressClaim> listed;
  std::set<EndpointId> superseded;
  std::map<std::string, Millis> last_starts;
  const int updates = *rc::gen::inRange(1, 12);
  for (int i = 0; i < updates; ++i) {
    const auto update = *drawn_update();
    const auto before = listed;
    if (update.full) listed.clear();
    for (const AddressClaim& claim : update.claims) {
      listed[claim.endpoint] = claim;
      const bool is_by_id_alone = claim.status == EndpointStatus::draining && claim.address.empty();
      if (is_by_id_alone && before.count(claim.endpoint) > 0)
        listed[claim.endpoint].address = before.at(claim.endpoint).address;
      superseded.erase(claim.endpoint);
      last_starts[claim.address] = std::max(last_starts[claim.address], claim.started_at);
    }
    for (EndpointId endpoint : addresses.update(update.claims, update.full)) superseded.insert(endpoint);
    for (const auto& [one, claim] : listed) {
      if (claim.status != EndpointStatus::ready || claim.address.empty()) continue;
      const bool is_alone =
          std::ranges::none_of(listed, [&, &self = one, &at = claim.address](const auto& other) {
            return other.first != self && other.second.address == at;
          });
      const bool started_last = claim.started_at == last_starts.at(claim.address);
      if (update.full && is_alone && started_last) RC_ASSERT(superseded.count(one) == 0U);
      for (const auto& [other, at_same] : listed) {
        if (at_same.status != EndpointStatus::ready || at_same.address != claim.address) continue;
        const bool both = superseded.count(one) == 0 && superseded.count(other) == 0;
        RC_ASSERT(!both || claim.started_at == at_same.started_at);
      }
    }
  }
}

// A list that is late has it alone, when its successor has gone, too: its own process has ended all the same.
TEST(EndpointAddresses, ASupersededEndpointStaysGoneWithoutItsSuccessor) {
  EndpointAddresses addresses;
  EXPECT_EQ(addresses.update({ready(first, 0)}, true), Ids{});
  EXPECT_EQ(addresses.update({ready(second, 5)}, false), Ids{first});
  EXPECT_EQ(addresses.update({{second, EndpointStatus::gone, {}, 5}}, false), Ids{});
  EXPECT_EQ(addresses.update({ready(first, 0)}, true), Ids{first});
  EXPECT_EQ(addresses.update({ready(first, 6)}, false), Ids{});  // a new process of its own
}

// After a kill, documents went to the process that had come up at an address before: the next process did not
// know of it, and its first list was older. The same where it hears of it late, from a process that had hung.
TEST(EndpointAddresses, AnOlderListAfterARestart) {
  EndpointAddresses addresses;
  EXPECT_EQ(addresses.update({ready(first, 0)}, true), Ids{});
  EXPECT_EQ(addresses.update({ready(second, 5)}, false), Ids{first});
  const auto superseded = addresses.superseded();
  EXPECT_EQ(superseded, (std::vector<SupersededEndpoint>{{first, "10.0.0.1:80", 5}}));
  for (const bool known_before_the_list : {false, true}) {
    EndpointAddresses restarted;
    if (known_before_the_list) { EXPECT_EQ(restarted.restore(superseded), Ids{}); }
    EXPECT_EQ(restarted.update({ready(first, 0)}, true), known_before_the_list ? Ids{first} : Ids{});
    EXPECT_EQ(restarted.restore(superseded), known_before_the_list ? Ids{} : Ids{first});
    EXPECT_EQ(restarted.update({ready(first, 0)}, false), Ids{first});
    EXPECT_EQ(restarted.superseded(), superseded);
    EXPECT_EQ(restarted.update({ready(first, 0), ready(second, 5)}, true), Ids{first});
  }
}

// The same where start times are alike: the list at the start has both, and its order tells nothing.
TEST(EndpointAddresses, WithoutTimesTheNextProcessKnowsWhoWasListedLater) {
  EndpointAddresses addresses;
  EXPECT_EQ(addresses.update({ready(first, 0)}, true), Ids{});
  EXPECT_EQ(addresses.update({ready(second, 0)}, false), Ids{first});
  EndpointAddresses restarted, hears_late;
  EXPECT_EQ(restarted.restore(addresses.superseded()), Ids{});
  EXPECT_EQ(restarted.update({ready(first, 0), ready(second, 0)}, true), Ids{first});
  EXPECT_EQ(hears_late.update({ready(first, 0), ready(second, 0)}, true), Ids{});
  EXPECT_EQ(hears_late.restore(addresses.superseded()), Ids{first});
  // Alone, nothing speaks against it.
  EndpointAddresses alone;
  EXPECT_EQ(alone.restore(addresses.superseded()), Ids{});
  EXPECT_EQ(alone.update({ready(first, 0)}, true), Ids{});
}

// The decision module has forgotten it, and the list that is late still has it.
TEST(EndpointAddresses, WhatTheListStillHasIsNotForgotten) {
  EndpointAddresses addresses;
  EXPECT_EQ(addresses.update({ready(first, 0)}, true), Ids{});
  EXPECT_EQ(addresses.update({ready(second, 5)}, false), Ids{first});
  addresses.forget(first);
  EXPECT_EQ(addresses.update({{second, EndpointStatus::gone, {}, 5}}, false), Ids{});
  EXPECT_EQ(addresses.update({ready(first, 0)}, false), Ids{first});
}

// What is kept for the next process is bounded by the list.
TEST(EndpointAddresses, NothingIsKeptOfAnEndpointThatTheListHasNoMore) {
  const AddressClaim gone{first, EndpointStatus::gone, {}, 0};
  for (const bool whole_list : {false, true}) {
    EndpointAddresses addresses;
    EXPECT_EQ(addresses.update({ready(first, 0)}, true), Ids{});
    EXPECT_EQ(addresses.update({ready(second, 5)}, false), Ids{first});
    addresses.update({whole_list ? ready(second, 5) : gone}, whole_list);
    EXPECT_EQ(addresses.superseded(), std::vector<SupersededEndpoint>{});
  }
}

// A process that had taken over sent to another destination: it did not know who was at the address.
TEST(EndpointAddresses, TheNextProcessKnowsWhoIsThere) {
  for (const Millis started_at : {0.0, 5.0}) {
    EndpointAddresses addresses;
    EXPECT_EQ(addresses.update({ready(first, 0)}, true), Ids{});
    addresses = replaced(addresses);
    EXPECT_EQ(addresses.update({ready(second, started_at)}, false), Ids{first});
    for (int replacements = 0; replacements < 2; ++replacements) addresses = replaced(addresses);
    EXPECT_EQ(addresses.update({ready(first, 0)}, false), Ids{first});
    EXPECT_EQ(addresses.update({ready(first, 0), ready(second, started_at)}, true), Ids{first});
  }
}

// Any sequence of updates: a process that takes over after one of them answers as the one before would have.
RC_GTEST_PROP(EndpointAddressesProperty, AReplacementChangesNothing, ()) {
  EndpointAddresses one_process, replaced_after_each;
  const int updates = *rc::gen::inRange(1, 12);
  for (int i = 0; i < updates; ++i) {
    const auto update = *drawn_update();
    RC_ASSERT(one_process.update(update.claims, update.full) ==
              replaced_after_each.update(update.claims, update.full));
    replaced_after_each = replaced(replaced_after_each);
  }
}

TEST(EndpointAddresses, OtherAddressesAreNotTouched) {
  EndpointAddresses addresses;
  EXPECT_EQ(addresses.update({ready(first, 0), ready(second, 5, "10.0.0.1:81")}, true), Ids{});
}

}  // namespace
}  // namespace rockcrank
