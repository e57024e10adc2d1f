// What this relay knows from the endpoint list: the entries, the version, and which endpoint is at which
// address. It does not call endpoints, and asks for no list.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

#include "decision/endpoint_addresses.h"
#include "relay/address_store.h"
#include "relay/config.h"
#include "relay/store.h"

namespace rockcrank {

class EndpointDirectory {
 public:
  // What an update of the list says that counts.
  struct Changes {
    std::vector<ListedEndpoint> listed;  // without an address: it has not changed, or does not matter
    std::vector<EndpointId> superseded;  // gone, whatever the list says: another one is at their address
  };

  explicit EndpointDirectory(Store& store) : address_store_(store) {}

  // destination_kinds: how many the settings have; endpoints of any other are left out.
  Changes update(const EndpointListUpdate& list, std::size_t destination_kinds);
  // Reads what the process before knew, as the first list of this one may be older. Returns the endpoints
  // that are gone by that.
  std::vector<EndpointId> restore_superseded();
  void forget(EndpointId endpoint);

  std::int64_t version() const { return version_; }  // of the list; negative: none
  const std::map<EndpointId, EndpointEntry>& entries() const { return entries_; }
  std::size_t addresses_known() const { return addresses_.size(); }
  // How often an update had an endpoint at an address that is another one's.
  std::uint64_t addresses_taken() const { return addresses_taken_; }

  // All of this, for the process that replaces this one. import_state() throws where it cannot be read.
  nlohmann::json export_state();
  void import_state(const nlohmann::json& state);

 private:
  std::vector<EndpointId> find_superseded(const EndpointListUpdate& list);

  AddressStore address_store_;
  std::int64_t version_ = -1;
  std::map<EndpointId, EndpointEntry> entries_;
  EndpointAddresses addresses_;
  std::uint64_t addresses_taken_ = 0;
};

}  // namespace rockcrank
