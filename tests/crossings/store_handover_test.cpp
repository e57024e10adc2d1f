// The store of a replaced process: what its successor's file has after the successor was killed.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <string>

#include "relay/store.h"

namespace rockcrank {
namespace {

class StoreHandover : public testing::Test {
 protected:
  static constexpr std::size_t max_bytes = 1 << 20;
  void SetUp() override {
    folder_ = testing::TempDir() + "store-handover-" + std::to_string(::getpid());
    std::filesystem::remove_all(folder_);
  }
  void TearDown() override { std::filesystem::remove_all(folder_); }
  static StoredDocument document(const std::string& id) {
    StoredDocument held;
    held.id = id, held.body = "body", held.doc_type = "plain", held.max_transmissions = 3, held.expiry = 1e15;
    return held;
  }
  // Takes over from the old process as it is now, writes what there is to write, and is killed.
  void take_over_and_end(const Store& old) {
    auto state = old.handover_state();
    state.descriptor = fcntl(state.descriptor, F_DUPFD_CLOEXEC, 3);  // as one that was passed
    Store successor(folder_, max_bytes, state);
    ASSERT_TRUE(successor.flush());
  }
  std::string folder_;
};

// A delivered document was sent again after a kill: its removal was queued, and the disk full, at the
// handover.
TEST_F(StoreHandover, QueuedRecordsOfTheOldProcessAreWrittenByItsSuccessor) {
  {
    Store old(folder_, max_bytes);
    const DocId delivered = old.add(document("delivered")), kept = old.add(document("kept"));
    old.record_accepted(delivered), old.record_accepted(kept);
    ASSERT_TRUE(old.flush());
    old.remove(delivered);
    take_over_and_end(old);
  }
  Store next(folder_, max_bytes);
  EXPECT_TRUE(next.contains("kept"));
  EXPECT_FALSE(next.contains("delivered"));
}

}  // namespace
}  // namespace rockcrank
