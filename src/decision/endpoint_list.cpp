// The list of endpoints as discovery tells it: which destinations and endpoints there are, and when the list
// is asked for again.
#include <algorithm>

#include "decision/decider.h"

namespace rockcrank::internal {

void Decider::update_endpoints(const std::vector<EndpointEntry>& entries, bool whole) {
  list_failures_ = 0;
  if (follow_at_ == 0)
    follow_at_ = now_ + drawn(0, list_spread());  // started with a list, as all others may be
  if (whole)
    for (auto& [id, endpoint] : endpoints_) endpoint.standing = EndpointStatus::gone, used_.insert(id);
  for (const auto& entry : entries) {
    if (entry.status != EndpointStatus::ready && !endpoints_.count(entry.endpoint)) continue;
    Endpoint& endpoint = endpoints_[entry.endpoint];
    if (!endpoint.route) {
      const DestinationKind& kind = set_.destination_kinds[static_cast<std::size_t>(entry.kind)];
      endpoint.id = entry.endpoint, endpoint.hall = entry.zone, endpoint.apart = kind.route_per_endpoint;
      endpoint.destination = entry.destination, endpoint.out = outs_.count(entry.endpoint) > 0;
      Route& route = *(endpoint.route = &routes_[endpoint.key()]);
      route.name = endpoint.key().second, route.bundle_max = kind.max_batch_size, ++route.endpoints;
      // Ranked by hashing; endpoints in the relay's own hall come first, as a crossing costs.
      endpoint.rank = mixed(std::uint64_t(entry.destination), std::uint64_t(entry.endpoint)) >> 1;
      if (endpoint.hall != set_.zone) endpoint.rank |= std::uint64_t{1} << 63;
      destinations_[entry.destination].rank(&endpoint);
    }
    endpoint.standing = entry.status, used_.insert(entry.endpoint);
    if (set_.limits_from_discovery && endpoint.route->hinted_at <= -never)
      endpoint.route->limit = entry.listed_rate;
  }
  for (auto& [id, endpoint] : endpoints_)
    endpoint.gone_at = endpoint.standing == EndpointStatus::gone ? std::min(endpoint.gone_at, now_) : never;
}

// Guards against a herd: who asks again soon keeps discovery at answers that come too late. The ladder has
// the time that all need one by one, but leaves of the protocol's 6 s what discovery may take, 2 s.
void Decider::discovery_failed(bool turned_away, Millis took) {
  if (set_.local_discovery_agent && !turned_away) return void(follow_at_ = now_ + drawn(0, ladder_base));
  Millis first = std::max(ladder_base, turned_away ? list_spread() : 0);
  Millis pause = 2 * first / ladder_base * ladder(std::min(++list_failures_, 3));
  follow_at_ = now_ + drawn(0, std::min(pause, std::max(ladder_base / 2, follow_within - took)));
}

}  // namespace rockcrank::internal
