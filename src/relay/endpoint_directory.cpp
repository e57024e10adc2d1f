#include "relay/endpoint_directory.h"

#include <algorithm>
#include <string>
#include <utility>

namespace rockcrank {

using Json = nlohmann::json;

EndpointDirectory::Changes EndpointDirectory::update(const EndpointListUpdate& list,
                                                     std::size_t destination_kinds) {
  Changes changes;
  changes.superseded = find_superseded(list);
  for (ListedEndpoint listed : list.entries) {
    const EndpointEntry& entry = listed.entry;
    if (std::ranges::count(changes.superseded, entry.endpoint) > 0) continue;
    if (static_cast<std::size_t>(entry.kind) >= destination_kinds) continue;
    // One that is not ready matters only if it is known from before.
    if (entry.status == EndpointStatus::ready) entries_[entry.endpoint] = entry;
    else if (entries_.count(entry.endpoint) == 0) listed.address = {};
    changes.listed.push_back(std::move(listed));
  }
  address_store_.save(addresses_.superseded());
  version_ = list.version;
  return changes;
}

std::vector<EndpointId> EndpointDirectory::find_superseded(const EndpointListUpdate& list) {
  std::vector<AddressClaim> claims;
  for (const auto& listed : list.entries) {
    AddressClaim claim{listed.entry.endpoint, listed.entry.status, {}, listed.started_at};
    if (listed.address.port != 0)
      claim.address = listed.address.host + ":" + std::to_string(listed.address.port);
    claims.push_back(std::move(claim));
  }
  auto superseded = addresses_.update(claims, list.full);
  addresses_taken_ += superseded.size();
  return superseded;
}

std::vector<EndpointId> EndpointDirectory::restore_superseded() {
  auto superseded = addresses_.restore(address_store_.load());
  addresses_taken_ += superseded.size();
  return superseded;
}

void EndpointDirectory::forget(EndpointId endpoint) {
  addresses_.forget(endpoint);
  entries_.erase(endpoint);
}

Json EndpointDirectory::export_state() {
  Json entries = Json::array();
  for (const auto& [endpoint, entry] : entries_)
    entries.push_back(Json::array({endpoint, entry.destination, entry.kind, entry.zone, entry.listed_rate}));
  return {{"version", version_}, {"entries", entries}, {"addresses", addresses_.export_state()}};
}

void EndpointDirectory::import_state(const Json& state) {
  version_ = state.at("version").get<std::int64_t>();
  for (const auto& one : state.at("entries")) {
    EndpointEntry entry;
    entry.endpoint = one.at(0).get<EndpointId>();
    entry.destination = one.at(1).get<DestinationId>();
    entry.kind = one.at(2).get<DestinationKindId>();
    entry.zone = one.at(3).get<ZoneId>();
    entry.listed_rate = one.at(4).get<double>();
    entries_[entry.endpoint] = entry;
  }
  addresses_.import_state(state.at("addresses").get<std::string>());
}

}  // namespace rockcrank
