// Owns what the relay is told at its start, and by SIGHUP again: the configuration file, decoded once. It
// must never be written to afterwards nor hold a second copy of a setting.
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

// How the list names endpoints, and where this relay reaches them.
struct ListedEndpoint {
  EndpointEntry entry;
  Address address;
};

struct EndpointListUpdate {
  std::int64_t version = 0;
  bool full = false;
  std::vector<ListedEndpoint> entries;
};

struct Config {
  std::string name;
  Address listen, discovery, admin;  // admin: no port where nothing is to listen there
  std::string state_folder;
  std::string fleet_file;       // empty: this relay has no fleet
  bool gossip_allowed = false;  // short notes to other relays, by the platform's settings
  Address peer_listen, peer_broadcast;
  int inherited_socket = -1;  // clients', that the platform holds for all processes of this relay; -1: none
  std::uint64_t seed = 1;
  std::size_t max_client_connections = 0, max_idle_clients = 0, max_endpoint_connections = 0,
              max_disk_bytes = 0;
  Settings settings;
  std::unordered_map<std::string, DocType> doc_types;
  std::unordered_map<std::string, TenantId> tenants;
  std::unordered_map<std::string, DestinationKindId> kinds;
  std::unordered_map<std::string, ZoneId> zones;
  Millis idle_timeout = 0;
  EndpointListUpdate known_endpoints;
  std::set<std::string> required_keys;  // all that the file had to hold, as paths
  std::string numbering_hash;           // alike where kinds and halls are numbered alike
  std::uint64_t restart_only_hash = 0;  // tells whether what only a start takes in has changed

  EndpointListUpdate parse_endpoint_list(
      const nlohmann::json& answer) const;             // throws on what it cannot read
  std::map<std::string, RetrySafety> repeats() const;  // of the document types, by name
};

Address read_admin_address();  // of the second address; throws where none is told
// From the environment and the file that it names; throws std::exception. Read again, the file must hold all
// that it held before, and what only a start takes in stays as it was.
Config read_config(const Config* before = nullptr);

}  // namespace rockcrank
