// The protocol's form of a call, with the time left as Request-Timeout.
#include "relay/call_request.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "settings/base64.h"

namespace rockcrank {

Millis call_deadline(const std::vector<OutboundTransmission>& transmissions) {
  return std::ranges::min(transmissions, {}, &OutboundTransmission::deadline).deadline;
}

std::string build_request(const std::vector<OutboundTransmission>& transmissions, const std::string& host,
                          Millis time_left) {
  char timeout[32];
  std::snprintf(timeout, sizeof timeout, "%.3f", time_left / 1000);
  std::string body, head;
  if (transmissions.size() == 1) {
    head = "POST /v1/messages HTTP/1.1\r\nRequest-Id: " + std::string(transmissions[0].id) + "\r\n";
    if (!transmissions[0].idempotency_key.empty())
      head += "Idempotency-Key: " + std::string(transmissions[0].idempotency_key) + "\r\n";
    body = transmissions[0].body;
  } else {
    head = "POST /v1/messages:batch HTTP/1.1\r\nContent-Type: application/json\r\n";
    auto items = nlohmann::json::array();
    for (const auto& sent : transmissions) {
      nlohmann::json item{{"id", sent.id}, {"body", base64_encode(sent.body)}};
      if (!sent.idempotency_key.empty()) item["key"] = sent.idempotency_key;
      items.push_back(std::move(item));
    }
    body = items.dump();
  }
  head += "Host: " + host + "\r\nRequest-Timeout: " + std::string(timeout) + "\r\n";
  head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return head + body;
}

}  // namespace rockcrank
