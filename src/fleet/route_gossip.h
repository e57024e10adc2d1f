// Gossip about routes in single datagrams of at most 256 bytes to all relays of a tier, for deployments that
// allow nothing else between relays. Delivery is best effort: nothing is acknowledged, requested or
// forwarded. Free of I/O. What follows from an update is up to Decision::apply_route_status; an update alone
// never permits sending. Times are durations, so no clocks are shared.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "fleet/ids.h"

namespace rockcrank::fleet {

enum class UpdateKind : std::uint8_t { retry_after, down, recovering, healthy, rate_limit };

// Integers only, since they pack into the fewest bytes.
struct RouteUpdate {
  UpdateKind kind{};
  bool per_endpoint = false;
  std::uint64_t route = 0;
  std::uint32_t duration_ms = 0;   // retry_after: what is left of it; else its age
  std::uint32_t rate_millis = 0;   // thousandths of a call a second: before the outage, or the limit
  std::uint8_t share_percent = 0;  // of the limit that was left
  auto fields() { return std::tie(kind, per_endpoint, route, duration_ms, rate_millis, share_percent); }
};
using RouteDatagram = std::vector<RouteUpdate>;
// An update takes at most 27 bytes as packed by peer/codec.h.
constexpr std::size_t max_updates_per_datagram = 9;

class RouteGossip {
 public:
  struct Actions {
    std::vector<RouteDatagram> datagrams;  // each for all relays of the tier
    Millis wake_in = -1;
  };
  static std::unique_ptr<RouteGossip> make(std::uint64_t seed);
  virtual ~RouteGossip() = default;

  virtual void begin_turn(Millis now) = 0;
  virtual void publish(const RouteStatus& status) = 0;  // from Decision::route_statuses(false)
  virtual void on_datagram(const RouteDatagram& datagram) = 0;
  // What was received since the last call, for Decision::apply_route_status.
  virtual std::vector<RouteStatus> take_route_statuses() = 0;
  virtual Actions decide() = 0;
};

}  // namespace rockcrank::fleet
