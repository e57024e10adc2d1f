// What custody needs of the store: fleet ids, metadata and the last document number survive a restart and a
// compaction.

#include <memory>
#include <set>
#include <sstream>
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

// Metadata of words: two processes of one folder know the words of both.
class StoreOfReplacedProcess : public StoreTest {
 protected:
  std::unique_ptr<Store> open() const { return std::make_unique<Store>(folder_, 1 << 20, all_words); }
  static std::string all_words(const std::string&, const std::string& one, const std::string& other) {
    std::set<std::string> words;
    std::istringstream both(one + " " + other);
    for (std::string word; both >> word;) words.insert(word);
    std::string all;
    for (const auto& word : words) all += all.empty() ? word : " " + word;
    return all;
  }
  static void note(Store& store, const std::string& text) {
    store.set_metadata("words", text);
    ASSERT_TRUE(store.flush());
  }
};

// Guards against documents without an end: a journal that is adopted put older metadata in place of newer.
TEST_F(StoreOfReplacedProcess, AdoptedJournalDoesNotReplaceNewerMetadata) {
  auto earlier = open();
  note(*earlier, "earlier");
  auto later = open();
  note(*later, "later");
  note(*earlier, "earlier until_its_end");
  earlier.reset();
  EXPECT_TRUE(later->adopt_orphaned_files().any_file);
  EXPECT_EQ(later->metadata().at("words"), "earlier later until_its_end");
  ASSERT_TRUE(later->flush());
  later.reset();
  EXPECT_EQ(open()->metadata().at("words"), "earlier later until_its_end");
}

// Guards against the same after a kill of both: the names of journals don't tell their age.
TEST_F(StoreOfReplacedProcess, MetadataSurvivesAKillInEitherOrderOfTheJournals) {
  for (bool earlier_is_read_first : {true, false}) {
    SetUp();
    std::unique_ptr<Store> first_file = earlier_is_read_first ? nullptr : open();
    auto earlier = open();
    note(*earlier, "earlier");
    if (first_file) {
      // Its journal is adopted, so that the first name is free for the later process.
      first_file.reset();
      earlier->adopt_orphaned_files();
      ASSERT_TRUE(earlier->flush());
    }
    auto later = open();
    note(*later, "later");
    later.reset(), earlier.reset();
    EXPECT_EQ(open()->metadata().at("words"), "earlier later") << earlier_is_read_first;
  }
}

// Guards against a second effect: a kill during an adoption leaves a document in two journals, and the next
// process sent both.
TEST_F(StoreOfReplacedProcess, DocumentInTwoJournalsIsOneDocument) {
  for (bool earlier_is_read_first : {true, false}) {
    SetUp();
    auto first = open(), second = open();
    Store& earlier = earlier_is_read_first ? *first : *second;
    Store& later = earlier_is_read_first ? *second : *first;
    const DocId sent = earlier.add(document("d1"));
    earlier.record_accepted(sent), earlier.record_transmission(sent, 0, 7, {});
    later.record_accepted(later.add(document("d1")));
    ASSERT_TRUE(earlier.flush() && later.flush());
    first.reset(), second.reset();
    auto store = open();
    ASSERT_EQ(store->documents().size(), 1u) << earlier_is_read_first;
    EXPECT_EQ(store->documents().begin()->second.transmissions, 1) << "what may have run is forgotten";
  }
}

// Guards against a second effect: a document that ended at the earlier process was handed in again at the
// later one. It has that end for any process that starts from now on.
TEST_F(StoreOfReplacedProcess, DocumentThatEndedAtTheOtherProcessIsOver) {
  for (bool earlier_is_read_first : {true, false}) {
    SetUp();
    auto first = open(), second = open();
    Store& earlier = earlier_is_read_first ? *first : *second;
    Store& later = earlier_is_read_first ? *second : *first;
    for (const char* id : {"delivered", "abandoned"}) {
      const DocId ran = earlier.add(document(id));
      earlier.record_accepted(ran), earlier.record_transmission(ran, 0, 7, {});
      if (std::string(id) == "abandoned") earlier.record_ended(ran, false, 0);
      earlier.remove(ran);
      later.record_accepted(later.add(document(id)));
    }
    ASSERT_TRUE(earlier.flush() && later.flush());
    first.reset(), second.reset();
    for (int start = 0; start < 2; ++start) {
      auto store = open();
      ASSERT_EQ(store->documents().size(), 1u) << earlier_is_read_first;
      EXPECT_EQ(store->documents().begin()->second.id, "abandoned");
      EXPECT_TRUE(store->documents().begin()->second.ended);
      EXPECT_FALSE(store->contains("delivered"));
      EXPECT_EQ(store->fate_of("delivered"), DocumentFate::delivered);
    }
  }
}

// Guards against calls to an endpoint under maintenance: the order was given to the earlier process while the
// later one had started, and forgotten with it.
TEST_F(StoreOfReplacedProcess, OrderGivenToTheEarlierProcessIsKept) {
  auto earlier = open();
  ASSERT_TRUE(earlier->set_offline("e1", true));
  auto later = open();
  EXPECT_EQ(later->offline_endpoints(), std::set<std::string>{"e1"});
  ASSERT_TRUE(earlier->set_offline("e2", true));
  ASSERT_TRUE(later->set_offline("e1", false));
  earlier.reset();
  EXPECT_EQ(later->adopt_orphaned_files().offline_orders, (std::map<std::string, bool>{{"e2", true}}));
  EXPECT_EQ(later->offline_endpoints(), std::set<std::string>{"e2"});
  ASSERT_TRUE(later->flush());
  later.reset();
  EXPECT_EQ(open()->offline_endpoints(), std::set<std::string>{"e2"});
}

// Guards against an endpoint that staff put online and that is offline again after a kill: the journal of the
// earlier process was read last.
TEST_F(StoreOfReplacedProcess, LaterOrderCountsAfterAKillInEitherOrderOfTheJournals) {
  for (bool earlier_is_read_first : {true, false}) {
    SetUp();
    std::unique_ptr<Store> first_file = earlier_is_read_first ? nullptr : open();
    auto earlier = open();
    ASSERT_TRUE(earlier->set_offline("e1", true));
    if (first_file) {
      first_file.reset();
      earlier->adopt_orphaned_files();
      ASSERT_TRUE(earlier->flush());
    }
    auto later = open();
    ASSERT_TRUE(later->set_offline("e1", false));
    later.reset(), earlier.reset();
    EXPECT_TRUE(open()->offline_endpoints().empty()) << earlier_is_read_first;
  }
}

// Guards against values that come back: within one journal the last one counts, and a removed name is gone.
TEST_F(StoreOfReplacedProcess, LaterRecordsOfOneJournalReplaceEarlierOnes) {
  auto store = open();
  note(*store, "first"), note(*store, "second");
  store->set_metadata("removed", "x"), store->set_metadata("removed", "");
  ASSERT_TRUE(store->flush());
  store.reset();
  store = open();
  EXPECT_EQ(store->metadata().at("words"), "second");
  EXPECT_EQ(store->metadata().count("removed"), 0u);
}

}  // namespace
}  // namespace rockcrank
