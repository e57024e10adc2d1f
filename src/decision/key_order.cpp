// Messages of one ordered key go one at a time, in the order in which they were taken on.
#include "decision/decider.h"

namespace rockcrank::internal {

// Rule 5: documents of one key one at a time, in order; the key rests after an unknown outcome. After a
// restart each key does, as a message that is over is forgotten, with the rest that it left.
bool Decider::is_next_of_key(const Doc& doc) {
  if (!doc.ordered) return true;
  const KeyQueue& lane = key_queues_[doc.key];
  // Guards against a notice that crosses the next one's call: an end counts once the platform has it.
  bool first = *lane.waiting.begin() == doc.sequence && lane.unacknowledged_ends.empty();
  return first && (doc.transmissions > 0 || (lane.in_flight == 0 && now_ >= settled_at(lane)));
}

}  // namespace rockcrank::internal
