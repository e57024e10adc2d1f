// What is known from the endpoint list, in the process that takes over.
#include "relay/endpoint_directory.h"

#include <gtest/gtest.h>

#include "../store_test.h"

namespace rockcrank {
namespace {

class EndpointDirectoryTest : public StoreTest {
 protected:
  static constexpr std::size_t store_bytes = 1 << 20;
  static constexpr std::size_t destination_kinds = 3;
  static ListedEndpoint listed(std::uint64_t number, const char* host, Millis started_at) {
    ListedEndpoint one;
    one.entry.endpoint = EndpointId{number}, one.entry.destination = DestinationId{10 + number};
    one.entry.kind = DestinationKindId{2}, one.entry.zone = ZoneId{1}, one.entry.listed_rate = 1.5;
    one.address = {host, 80}, one.started_at = started_at;
    return one;
  }
};

// A process that had taken over sent to another destination: it lacked who was at an address.
TEST_F(EndpointDirectoryTest, EveryFieldGoesOver) {
  Store store(folder_, store_bytes);
  EndpointDirectory before(store), after(store);
  before.update({41, true, {listed(1, "10.0.0.1", 0), listed(2, "10.0.0.2", 5)}}, destination_kinds);
  after.import_state(before.export_state());
  EXPECT_EQ(after.version(), 41);
  EXPECT_EQ(after.addresses_known(), 2U);
  ASSERT_EQ(after.entries().size(), 2U);
  const EndpointEntry& entry = after.entries().at(EndpointId{2});
  EXPECT_EQ(entry.endpoint, EndpointId{2});
  EXPECT_EQ(entry.destination, DestinationId{12});
  EXPECT_EQ(entry.kind, DestinationKindId{2});
  EXPECT_EQ(entry.zone, ZoneId{1});
  EXPECT_EQ(entry.listed_rate, 1.5);
  const auto changes = after.update({42, false, {listed(3, "10.0.0.1", 9)}}, destination_kinds);
  EXPECT_EQ(changes.superseded, std::vector<EndpointId>{EndpointId{1}});
  ASSERT_EQ(changes.listed.size(), 1U);
  EXPECT_EQ(changes.listed[0].entry.endpoint, EndpointId{3});
}

// An entry that does not matter has no address to be called at.
TEST_F(EndpointDirectoryTest, AnEndpointThatDrainsAndWasNotKnownHasNoAddress) {
  Store store(folder_, store_bytes);
  EndpointDirectory directory(store);
  ListedEndpoint draining = listed(1, "10.0.0.1", 0), unknown_kind = listed(2, "10.0.0.2", 0);
  draining.entry.status = EndpointStatus::draining;
  unknown_kind.entry.kind = DestinationKindId{destination_kinds};
  const auto changes = directory.update({1, true, {draining, unknown_kind}}, destination_kinds);
  ASSERT_EQ(changes.listed.size(), 1U);
  EXPECT_EQ(changes.listed[0].address.port, 0);
  EXPECT_TRUE(directory.entries().empty());
}

}  // namespace
}  // namespace rockcrank
