// The interface of short notes: what of the decision module's knowledge is worth a datagram of 256 bytes to
// all relays of a tier, where only such are allowed, late or lost at will. Nothing is answered, asked for or
// told again. Free of I/O. It must never decide what follows from a note: Decision::learn does, and a note is
// never enough to send anywhere. Times are durations, so no clock is shared.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "fleet/ids.h"

namespace rockcrank::fleet {

enum class UpdateKind : std::uint8_t { retry_after, down, recovering, healthy, rate_limit };

// Whole numbers, as they take the fewest bytes.
struct RouteUpdate {
  UpdateKind kind{};
  bool per_endpoint = false;
  std::uint64_t route = 0;
  std::uint32_t duration_ms = 0;   // ms: wait: what is left of it; else its age
  std::uint32_t rate_millis = 0;   // thousandths of a call a second: before the outage, or the limit
  std::uint8_t share_percent = 0;  // hundredths of the limit that were left
  auto fields() { return std::tie(kind, per_endpoint, route, duration_ms, rate_millis, share_percent); }
};
using RouteDatagram = std::vector<RouteUpdate>;
constexpr std::size_t max_updates_per_datagram =
    9;  // in one datagram: 27 bytes each at most, as packed by peer/codec.h

class RouteGossip {
 public:
  struct Actions {
    std::vector<RouteDatagram> datagrams;  // each to all relays of the tier
    Millis wake_in = -1;
  };
  static std::unique_ptr<RouteGossip> make(std::uint64_t seed);
  virtual ~RouteGossip() = default;

  virtual void begin_turn(Millis now) = 0;
  virtual void publish(const RouteStatus& own) = 0;  // from Decision::knowledge(false)
  virtual void on_datagram(const RouteDatagram& datagram) = 0;
  virtual std::vector<RouteStatus>
  take_reports() = 0;  // of what was heard since it was last asked, for Decision::learn
  virtual Actions decide() = 0;
};

}  // namespace rockcrank::fleet
