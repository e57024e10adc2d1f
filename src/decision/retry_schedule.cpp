// Whether a document may be transmitted again without a second effect, and the timeout of a transmission.
#include <algorithm>

#include "decision/decider.h"

namespace rockcrank::internal {

bool Decider::retry_is_safe(const Doc& doc, Millis when) const {
  if (!doc.may_have_run() || doc.type->retry_safety == RetrySafety::idempotent) return true;
  return doc.type->retry_safety == RetrySafety::keyed &&
         when < doc.may_have_run_at + doc.type->idempotency_window - expiry_margin();
}

bool Decider::may_transmit_to(const Doc& doc, const Endpoint& endpoint) const {
  bool elsewhere = doc.type->retry_safety == RetrySafety::keyed && doc.may_have_run() &&
                   doc.type->idempotency_scope == IdempotencyScope::zone &&
                   endpoint.zone != doc.may_have_run_zone;
  return may_transmit_again(doc, now_) && !elsewhere;
}

Millis Decider::call_timeout(const Doc& doc, Route& route) {
  Millis left = doc.expiry - expiry_margin() - now_;
  if (doc.type->retry_safety == RetrySafety::unsafe)
    return left;  // a timeout would only make its outcome unknown
  return std::min(left, std::max(1500.0, std::max(doc.type->target_latency, 6 * usual_duration(route)) *
                                             route.timeout_factor));
}

}  // namespace rockcrank::internal
