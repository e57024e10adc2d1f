// The store of a replaced process: what its successor's file has after the successor was killed.
#include <fcntl.h>

#include "../store_test.h"

namespace rockcrank {
namespace {

class StoreHandover : public StoreTest {
 protected:
  static constexpr std::size_t max_bytes = 1 << 20;
  // Takes over from the old process as it is now, writes what there is to write, and is killed.
  void take_over_and_end(const Store& old) {
    auto state = old.handover_state();
    state.descriptor = fcntl(state.descriptor, F_DUPFD_CLOEXEC, 3);  // as one that was passed
    Store successor(folder_, max_bytes, state);
    ASSERT_TRUE(successor.flush());
  }
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
