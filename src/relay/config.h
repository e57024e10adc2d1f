// The relay's configuration, from the environment and the configuration file; read at start and on SIGHUP.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "decision/decision.h"
#include "relay/loop.h"

namespace rockcrank {

// An entry of the endpoint list, with the address at which this relay reaches it.
struct ListedEndpoint {
  EndpointEntry entry;
  Address address;
  Millis started_at = 0;  // Unix time; 0: long ago
};

// A response of service discovery: the full list, or the changes since an earlier version.
struct EndpointListUpdate {
  std::int64_t version = 0;
  bool full = false;
  std::vector<ListedEndpoint> entries;
};

struct Config {
  std::string name;
  Address listen, discovery, admin;  // admin: port 0 disables the admin listener
  std::string state_folder;
  std::string fleet_file;       // empty: no fleet
  bool gossip_allowed = false;  // the settings allow gossip datagrams between relays
  Address peer_listen, peer_broadcast;
  int inherited_socket = -1;  // client listening socket shared by all processes of this relay; -1: none
  std::uint64_t seed = 1;
  std::size_t max_client_connections = 0, max_idle_clients = 0, max_endpoint_connections = 0,
              max_disk_bytes = 0;
  std::size_t max_memory_bytes = 0;  // of all processes of this relay; 0: no limit is set
  Settings settings;
  std::unordered_map<std::string, DocType> doc_types;
  std::unordered_map<std::string, TenantId> tenants;
  std::unordered_map<std::string, DestinationKindId> kinds;
  std::unordered_map<std::string, ZoneId> zones;
  Millis idle_timeout = 0;
  EndpointListUpdate known_endpoints;   // used until service discovery has answered
  std::set<std::string> required_keys;  // paths that the file must still hold when it is reloaded
  std::string numbering_hash;           // equal if destination kinds and zones have equal ids
  std::uint64_t restart_only_hash = 0;  // of all that takes effect only at a start

  // Throws on a malformed list; a malformed entry is only skipped.
  EndpointListUpdate parse_endpoint_list(const nlohmann::json& answer) const;
  std::map<std::string, RetrySafety> retry_safety_by_type() const;  // by document type name
};

// The admin listener's address; throws if none is set.
Address read_admin_address();
// Reads the environment and the file that it names; throws std::exception. On a reload (`before` is set)
// every key required before must still be there, and settings that take effect only at a start keep their
// values.
Config read_config(const Config* before = nullptr);

}  // namespace rockcrank
