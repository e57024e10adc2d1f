// The endpoint list from discovery: which destinations and endpoints exist, and when discovery is called
// again.
#include <algorithm>

#include "decision/decider.h"

namespace rockcrank::internal {

void Decider::update_endpoints(const std::vector<EndpointEntry>& entries, bool whole) {
  discovery_failures_ = 0;
  if (discovery_at_ == 0)
    discovery_at_ =
        now_ + uniform(0, discovery_spread());  // spread, as all relays may have started with a saved list
  if (whole)
    for (auto& [id, endpoint] : endpoints_)
      endpoint.status = EndpointStatus::gone, endpoints_to_check_.insert(id);
  for (const auto& entry : entries) {
    if (entry.status != EndpointStatus::ready && !endpoints_.count(entry.endpoint)) continue;
    Endpoint& endpoint = endpoints_[entry.endpoint];
    if (!endpoint.route) {
      const DestinationKind& kind = settings_.destination_kinds[static_cast<std::size_t>(entry.kind)];
      endpoint.id = entry.endpoint, endpoint.zone = entry.zone,
      endpoint.has_own_route = kind.route_per_endpoint;
      endpoint.destination = entry.destination,
      endpoint.offline = offline_endpoints_.count(entry.endpoint) > 0;
      Route& route = *(endpoint.route = &routes_[endpoint.route_key()]);
      route.id = endpoint.route_key().second, route.max_batch_size = kind.max_batch_size,
      ++route.endpoint_count;
      // Rendezvous hashing; endpoints in the relay's own zone come first, as traffic across zones costs.
      endpoint.rank = rendezvous_hash(std::uint64_t(entry.destination), std::uint64_t(entry.endpoint)) >> 1;
      if (endpoint.zone != settings_.zone) endpoint.rank |= std::uint64_t{1} << 63;
      destinations_[entry.destination].add_endpoint(&endpoint);
    }
    endpoint.status = entry.status, endpoints_to_check_.insert(entry.endpoint);
    if (settings_.limits_from_discovery && endpoint.route->load_hints_at <= -never)
      endpoint.route->rate_limit = entry.listed_rate;
  }
  for (auto& [id, endpoint] : endpoints_)
    endpoint.gone_at = endpoint.status == EndpointStatus::gone ? std::min(endpoint.gone_at, now_) : never;
}

// Prevents a thundering herd: with early retries discovery works on answers that come too late. The backoff
// covers the time that all relays need one by one, but leaves discovery its 2 s of the protocol's 6 s.
void Decider::discovery_failed(bool refused, Millis duration) {
  if (settings_.local_discovery_agent && !refused)
    return void(discovery_at_ = now_ + uniform(0, backoff_base));
  Millis first_pause = std::max(backoff_base, refused ? discovery_spread() : 0);
  Millis pause = 2 * first_pause / backoff_base * backoff(std::min(++discovery_failures_, 3));
  discovery_at_ =
      now_ + uniform(0, std::min(pause, std::max(backoff_base / 2, max_discovery_delay - duration)));
}

}  // namespace rockcrank::internal
