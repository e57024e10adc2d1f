// When an attempt may be repeated, and how long it may take: the backoff, and the rule that no effect is had
// twice.
#include <algorithm>

#include "decision/decider.h"

namespace rockcrank::internal {

bool Decider::marked(const Doc& doc, Millis when) const {
  if (!doc.may_have_run() || doc.type->retry_safety == RetrySafety::idempotent) return true;
  return doc.type->retry_safety == RetrySafety::keyed &&
         when < doc.risked_at + doc.type->idempotency_window - margin();
}

bool Decider::may_run_at(const Doc& doc, const Endpoint& endpoint) const {
  bool elsewhere = doc.type->retry_safety == RetrySafety::keyed && doc.may_have_run() &&
                   doc.type->idempotency_scope == IdempotencyScope::zone && endpoint.hall != doc.risked_hall;
  return may_go_again(doc, now_) && !elsewhere;
}

Millis Decider::time_out(const Doc& doc, Route& route) {
  Millis left = doc.expiry - margin() - now_;
  if (doc.type->retry_safety == RetrySafety::unsafe)
    return left;  // a time-out would only make its outcome unknown
  return std::min(left,
                  std::max(1500.0, std::max(doc.type->target_latency, 6 * usual(route)) * route.patience));
}

}  // namespace rockcrank::internal
