// What custody needs of the store: fleet ids, metadata and the last document number survive a restart and a
// compaction.

#include <string>

#include "../store_test.h"

namespace rockcrank {
namespace {

class CustodyStore : public StoreTest {};

TEST_F(CustodyStore, FleetIdsMetadataAndTheLastNumberSurviveRestarts) {
  DocId kept{};
  {
    Store store(folder_, 1 << 20);
    kept = store.add(document("kept"));
    store.record_accepted(kept), store.set_fleet_id(kept, "fleet id");
    auto removed = store.add(document("removed"));
    store.record_accepted(removed), store.set_fleet_id(removed, "other"), store.remove(removed);
    store.set_metadata("group", "first"), store.set_metadata("group", std::string("a\0b", 3));
    store.set_metadata("gone", "x"), store.set_metadata("gone", "");
    ASSERT_TRUE(store.flush());
  }
  // Each start compacts the store: the second one reads what the first one rewrote.
  for (int start = 0; start < 2; ++start) {
    Store store(folder_, 1 << 20);
    ASSERT_EQ(store.documents().size(), 1u);
    EXPECT_EQ(store.documents().at(kept).fleet_id, "fleet id");
    ASSERT_EQ(store.metadata().size(), 1u);
    EXPECT_EQ(store.metadata().at("group"), std::string("a\0b", 3));
    EXPECT_EQ(store.last_doc_number(), 2u) << "the number of a removed document may not be assigned again";
  }
}

TEST_F(CustodyStore, DocumentIsUnchangedByEncodingAndDecoding) {
  StoredDocument held = document("d1");
  held.order_key = "k", held.type.retry_safety = RetrySafety::keyed, held.type.idempotency_window = 5000;
  held.in_doubt.push_back({1, 7, ZoneId(2)}), held.transmissions = 2;
  StoredDocument read = Store::decode(Store::encode(held));
  EXPECT_EQ(read.id, held.id);
  EXPECT_EQ(read.body, held.body);
  EXPECT_EQ(read.type, held.type);
  EXPECT_EQ(read.in_doubt.size(), 1u);
  EXPECT_EQ(Store::encode(read), Store::encode(held));
  EXPECT_ANY_THROW(Store::decode(Store::encode(held).substr(0, 20)));
}

}  // namespace
}  // namespace rockcrank
