// Messages of one ordered key go one at a time, in the order in which they were taken on.
#include "decision/decider.h"

namespace rockcrank::internal {

// Rule 5: documents of one key one at a time, in order; the key rests after an unknown outcome. After a
// restart each key does, as a message that is over is forgotten, with the rest that it left.
bool Decider::in_turn(const Doc& doc) {
  if (!doc.ordered) return true;
  const KeyLane& lane = lanes_[doc.key];
  // Guards against a notice that crosses the next one's call: an end counts once the platform has it.
  bool first = *lane.waiting.begin() == doc.turn_taken && lane.untold.empty();
  return first && (doc.tries > 0 || (lane.out == 0 && now_ >= rests_until(lane)));
}

}  // namespace rockcrank::internal
