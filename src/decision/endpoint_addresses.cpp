#include "decision/endpoint_addresses.h"

#include <algorithm>
#include <set>

#include "decision/state_archive.h"

namespace rockcrank {

// What an update says is applied as a whole before anything is compared, so that the order of its entries
// does not matter. Of several entries of one endpoint the last one counts.
std::vector<EndpointId> EndpointAddresses::update(const std::vector<AddressClaim>& listed, bool full) {
  ++updates_;
  ClaimsByEndpoint claims;
  for (const AddressClaim& claim : listed) claims[claim.endpoint] = &claim;
  remove_departed(claims, full);
  std::vector<EndpointId> gone;
  std::set<std::string> claimed;
  for (const auto& [endpoint, claim] : claims) {
    if (claim->status != EndpointStatus::ready || claim->address.empty()) continue;
    if (is_outdated(*claim)) {
      gone.push_back(endpoint);
      continue;
    }
    add_occupant(*claim);
    claimed.insert(claim->address);
  }
  for (const std::string& address : claimed)
    for (EndpointId endpoint : remove_superseded(address)) gone.push_back(endpoint);
  return gone;
}

// An endpoint leaves its address when it is gone, or listed at another one.
void EndpointAddresses::remove_departed(const ClaimsByEndpoint& claims, bool full) {
  auto has_left = [&](EndpointId endpoint, const std::string& address) {
    auto found = claims.find(endpoint);
    if (found == claims.end()) return full;
    const AddressClaim& claim = *found->second;
    if (claim.status == EndpointStatus::gone) return true;
    return !claim.address.empty() && claim.address != address;
  };
  for (auto& [address, occupants] : occupants_)
    std::erase_if(occupants, [&, &at = address](const auto& one) { return has_left(one.first, at); });
  std::erase_if(occupants_, [](const auto& one) { return one.second.empty(); });
  for (auto& [where, supersession] : superseded_)
    if (has_left(where.first, where.second)) supersession.listed = false;
  std::erase_if(superseded_, [&](const auto& one) {
    return !one.second.listed && occupants_.count(one.first.second) == 0;
  });
}

// Whether another process has started at the address since this one did, even if that one has left by now.
bool EndpointAddresses::is_outdated(const AddressClaim& claim) {
  auto found = superseded_.find({claim.endpoint, claim.address});
  if (found == superseded_.end()) return false;
  found->second.listed = true;
  return claim.started_at < found->second.successor_started_at;
}

void EndpointAddresses::add_occupant(const AddressClaim& claim) {
  Occupants& occupants = occupants_[claim.address];
  Occupant& occupant = occupants.try_emplace(claim.endpoint, Occupant{0, updates_}).first->second;
  occupant.started_at = claim.started_at;
}

// The process that started last is there. Where the list does not tell the times apart, it is the one that
// was listed later; those that came in one update are left alone.
std::vector<EndpointId> EndpointAddresses::remove_superseded(const std::string& address) {
  Occupants& occupants = occupants_.at(address);
  Millis last_start = 0;
  for (const auto& [endpoint, occupant] : occupants) last_start = std::max(last_start, occupant.started_at);
  auto started_last = [&](const auto& one) { return one.second.started_at == last_start; };
  const bool is_settled = std::ranges::any_of(
      occupants, [&](const auto& one) { return started_last(one) && !is_superseded(one.first, address); });
  auto is_candidate = [&](const auto& one) {
    return started_last(one) && !(is_settled && is_superseded(one.first, address));
  };
  std::uint64_t last_listing = 0;
  for (const auto& one : occupants)
    if (is_candidate(one)) last_listing = std::max(last_listing, one.second.listed_in);
  std::vector<EndpointId> gone;
  for (const auto& one : occupants) {
    const bool is_there = is_candidate(one) && one.second.listed_in == last_listing;
    if (is_there) superseded_.erase({one.first, address});
    else gone.push_back(one.first), superseded_[{one.first, address}] = {last_start, true};
  }
  for (EndpointId endpoint : gone) occupants.erase(endpoint);
  return gone;
}

bool EndpointAddresses::is_superseded(EndpointId endpoint, const std::string& address) const {
  return superseded_.count({endpoint, address}) > 0;
}

void EndpointAddresses::forget(EndpointId endpoint) {
  for (auto& [address, occupants] : occupants_) occupants.erase(endpoint);
  std::erase_if(occupants_, [](const auto& one) { return one.second.empty(); });
  std::erase_if(superseded_,
                [&](const auto& one) { return one.first.first == endpoint && !one.second.listed; });
}

std::vector<SupersededEndpoint> EndpointAddresses::superseded() const {
  std::vector<SupersededEndpoint> all;
  for (const auto& [where, supersession] : superseded_)
    if (supersession.listed) all.push_back({where.first, where.second, supersession.successor_started_at});
  return all;
}

std::vector<EndpointId> EndpointAddresses::restore(const std::vector<SupersededEndpoint>& superseded) {
  std::vector<EndpointId> gone;
  for (const auto& [endpoint, address, successor_started_at] : superseded) {
    Supersession& known = superseded_[{endpoint, address}];
    known.successor_started_at = std::max(known.successor_started_at, successor_started_at);
    auto at = occupants_.find(address);
    if (at == occupants_.end() || at->second.count(endpoint) == 0) continue;
    if (at->second.at(endpoint).started_at < successor_started_at) {
      gone.push_back(endpoint);
      at->second.erase(endpoint);
    } else {
      for (EndpointId other : remove_superseded(address)) gone.push_back(other);
    }
    if (at->second.empty()) occupants_.erase(at);
  }
  return gone;
}

std::string EndpointAddresses::export_state() {
  state::StateArchive archive;
  archive.put_fields(fields());
  return archive.text();
}

void EndpointAddresses::import_state(const std::string& state) {
  state::StateArchive(state).get_fields(fields());
}

}  // namespace rockcrank
