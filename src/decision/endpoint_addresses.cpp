#include "decision/endpoint_addresses.h"

#include <algorithm>

#include "decision/state_archive.h"

namespace rockcrank {

std::vector<EndpointId> EndpointAddresses::update(const std::vector<AddressClaim>& listed, bool full) {
  ++updates_;
  if (full) release_unlisted(listed);
  std::vector<EndpointId> gone;
  for (const AddressClaim& claim : listed) {
    if (claim.status == EndpointStatus::gone) release(claim.endpoint);
    if (claim.status != EndpointStatus::ready || claim.address.empty()) continue;
    auto [at, is_free] =
        owners_.try_emplace(claim.address, Owner{claim.endpoint, claim.started_at, updates_});
    Owner& owner = at->second;
    if (is_free || owner.endpoint == claim.endpoint) {
      owner.started_at = claim.started_at;
      superseded_.erase({claim.endpoint, claim.address});
      continue;
    }
    if (!takes_over(claim, owner)) {
      if (superseded_.count({claim.endpoint, claim.address}) > 0 || claim.started_at < owner.started_at)
        gone.push_back(claim.endpoint);
      continue;
    }
    gone.push_back(owner.endpoint);
    superseded_.emplace(owner.endpoint, claim.address);
    superseded_.erase({claim.endpoint, claim.address});
    owner = {claim.endpoint, claim.started_at, updates_};
  }
  return gone;
}

// The process that started later is there now. Where the list does not tell the times apart, it is the one
// that was listed later; two that come in one update are left alone.
bool EndpointAddresses::takes_over(const AddressClaim& claim, const Owner& owner) const {
  if (claim.started_at != owner.started_at) return claim.started_at > owner.started_at;
  return owner.listed_in < updates_ && superseded_.count({claim.endpoint, claim.address}) == 0;
}

void EndpointAddresses::release_unlisted(const std::vector<AddressClaim>& listed) {
  std::set<EndpointId> present;
  for (const AddressClaim& claim : listed) present.insert(claim.endpoint);
  std::erase_if(owners_, [&](const auto& one) { return present.count(one.second.endpoint) == 0; });
}

void EndpointAddresses::release(EndpointId endpoint) {
  std::erase_if(owners_, [&](const auto& one) { return one.second.endpoint == endpoint; });
}

void EndpointAddresses::forget(EndpointId endpoint) {
  release(endpoint);
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
