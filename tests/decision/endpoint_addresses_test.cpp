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
    for (int i = 0; i < claims; ++i)
      update.claims.push_back(
          {EndpointId(*rc::gen::inRange(1, 5)),
           *rc::gen::element(EndpointStatus::ready, EndpointStatus::ready, EndpointStatus::draining,
                             EndpointStatus::gone),
           *rc::gen::element<std::string>("10.0.0.1:80", "10.0.0.1:80", "10.0.0.1:81", ""),
           static_cast<Millis>(*rc::gen::inRange(0, 4))});
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
// times are at one address, and no endpoint is gone that is alone at its own.
RC_GTEST_PROP(EndpointAddressesProperty, OneProcessIsAtAnAddress, ()) {
  EndpointAddresses addresses;
  std::map<EndpointId, AddressClaim> listed;
  std::set<EndpointId> superseded;
  const int updates = *rc::gen::inRange(1, 12);
  for (int i = 0; i < updates; ++i) {
    const auto update = *drawn_update();
    if (update.full) listed.clear();
    for (const AddressClaim& claim : update.claims) {
      listed[claim.endpoint] = claim;
      superseded.erase(claim.endpoint);
    }
    for (EndpointId endpoint : addresses.update(update.claims, update.full)) superseded.insert(endpoint);
    for (const auto& [one, claim] : listed) {
      if (claim.status != EndpointStatus::ready || claim.address.empty()) continue;
      const bool is_alone =
          std::ranges::none_of(listed, [&, &self = one, &at = claim.address](const auto& other) {
            return other.first != self && other.second.address == at;
          });
      if (update.full && is_alone) RC_ASSERT(superseded.count(one) == 0);
      for (const auto& [other, at_same] : listed) {
        if (at_same.status != EndpointStatus::ready || at_same.address != claim.address) continue;
        const bool both = superseded.count(one) == 0 && superseded.count(other) == 0;
        RC_ASSERT(!both || claim.started_at == at_same.started_at);
      }
    }
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
