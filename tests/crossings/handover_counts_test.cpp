// When a handover's state may be given on.
#include "relay/handover_counts.h"

#include <gtest/gtest.h>

namespace rockcrank {
namespace {

// Documents answered +OK were lost: the module had 384 of them, the store's file 256, and 128 had no reply.
TEST(HandoverCounts, StateThatLacksADocumentOrAReplyIsNotWhole) {
  HandoverCounts counts;
  counts.documents = 5, counts.ended = 2, counts.undelivered = 3, counts.clients = 1, counts.unread_bytes = 9;
  EXPECT_TRUE(counts.is_whole());
  HandoverCounts unrecorded = counts, unanswered = counts, only_in_module = counts, only_in_store = counts;
  unrecorded.unrecorded = 1, unanswered.unanswered_commands = 1;
  only_in_module.undelivered = 4, only_in_store.undelivered = 2;
  EXPECT_FALSE(unrecorded.is_whole());
  EXPECT_FALSE(unanswered.is_whole());
  EXPECT_FALSE(only_in_module.is_whole());
  EXPECT_FALSE(only_in_store.is_whole());
}

}  // namespace
}  // namespace rockcrank
