// The request of a call to an endpoint: one document, or several in one body.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "decision/decision.h"

namespace rockcrank {

struct OutboundTransmission {
  DocId doc{};
  int transmission = 0;
  Millis deadline = 0;                         // of its answer
  std::string_view id, idempotency_key, body;  // of the stored document; copied into the request
};

// A call can only be aborted as a whole, so it ends with the earliest deadline of its documents.
Millis call_deadline(const std::vector<OutboundTransmission>& transmissions);
std::string build_request(const std::vector<OutboundTransmission>& transmissions, const std::string& host,
                          Millis time_left);

}  // namespace rockcrank
