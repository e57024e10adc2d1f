// Which endpoints have lost their address, kept in the store for the next process.
#include "relay/address_store.h"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

#include "../store_test.h"

namespace rockcrank {
namespace {

constexpr std::size_t store_bytes = 1 << 20;
constexpr Millis started_at = 1700000000000;

class AddressStoreTest : public StoreTest {
 protected:
  void save(const std::vector<SupersededEndpoint>& superseded) const {
    Store store(folder_, store_bytes);
    AddressStore(store).save(superseded);
    EXPECT_TRUE(store.flush());
  }
  std::vector<SupersededEndpoint> load() const {
    Store store(folder_, store_bytes);
    return AddressStore(store).load();
  }
};

// After a kill, documents went to the process that had come up at an address before.
TEST_F(AddressStoreTest, IsKnownToTheNextProcess) {
  const std::vector<SupersededEndpoint> superseded{{EndpointId{1}, "10.0.0.1:80", started_at},
                                                   {EndpointId{UINT64_MAX}, "10.0.0.2:80", started_at + 1}};
  save(superseded);
  EXPECT_EQ(load(), superseded);
  save({superseded[1]});
  EXPECT_EQ(load(), std::vector<SupersededEndpoint>{superseded[1]});
  save({});
  EXPECT_EQ(load(), std::vector<SupersededEndpoint>{});
}

TEST_F(AddressStoreTest, AnUnreadableEntryIsRemoved) {
  Store store(folder_, store_bytes);
  for (const char* name : {"address/", "address/x/10.0.0.1:80", "address/1"}) store.set_metadata(name, "5");
  store.set_metadata("address/1/10.0.0.1:80", "soon");
  EXPECT_EQ(AddressStore(store).load(), std::vector<SupersededEndpoint>{});
  EXPECT_TRUE(store.metadata().empty());
}

// The journals of two processes, read in either order.
TEST_F(AddressStoreTest, OfTwoEntriesTheLaterProcessCounts) {
  for (const auto& [one, other, expected] : std::vector<std::array<std::string, 3>>{
           {"9", "10", "10"}, {"10", "10", "10"}, {"10", "soon", "10"}, {"later", "soon", "soon"}}) {
    EXPECT_EQ(AddressStore::merge(one, other), expected);
    EXPECT_EQ(AddressStore::merge(other, one), expected);
  }
}

}  // namespace
}  // namespace rockcrank
