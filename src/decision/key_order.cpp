// Documents of one ordered key are sent one at a time, in the order in which they were accepted.
#include "decision/decider.h"

namespace rockcrank::internal {

// A key settles after an unknown outcome before its next document is sent. After a restart every key does, as
// documents that ended before it are forgotten, together with the settle time they left.
bool Decider::is_next_of_key(const Doc& doc) {
  if (!doc.ordered) return true;
  const KeyQueue& queue = key_queues_[doc.key];
  // An end counts once the platform has acknowledged its report, or the report could cross the next
  // document's call.
  bool is_first = *queue.waiting.begin() == doc.sequence && queue.unacknowledged_ends.empty();
  return is_first && (doc.transmissions > 0 || (queue.in_flight == 0 && now_ >= settled_at(queue)));
}

}  // namespace rockcrank::internal
