#include "decision/endpoint_addresses.h"

#include <algorithm>

#include "decision/state_archive.h"

namespace rockcrank {

// What an update says is applied as a whole before anything is compared, so that the order of its entries
// does not matter. Of several entries of one endpoint the last one counts.
std::vector<EndpointId> EndpointAddresses::update(const std::vector<AddressClaim>& listed, bool full) {
  ++updates_;
  ClaimsByEndpoint claims;
  for (const AddressClaim& claim : listed) claims[claim.endpoint] = &claim;
  remove_departed(claims, full);
  std::set<std::string> claimed;
  for (const auto& [endpoint, claim] : claims) {
    if (claim->status != EndpointStatus::ready || claim->address.empty()) continue;
    add_occupant(*claim);
    claimed.insert(claim->address);
  }
  std::vector<EndpointId> gone;
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
  std::erase_if(superseded_, [&](const auto& one) {
    return has_left(one.first, one.second) && occupants_.count(one.second) == 0;
  });
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
    else gone.push_back(one.first), superseded_.emplace(one.first, address);
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
  std::erase_if(superseded_, [&](const auto& one) { return one.first == endpoint; });
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
