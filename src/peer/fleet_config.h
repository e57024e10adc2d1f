// The fleet file (TOML, read by toml++), validated and decoded once. Missing sections mean "off"; no other
// setting that affects a decision has a default. Settings of the relay's own configuration are not repeated
// here.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decision/decision.h"
#include "fleet/ids.h"
#include "relay/config.h"
#include "relay/loop.h"

namespace rockcrank::peer {

struct FleetConfig {
  std::string fleet_name;  // messages of another fleet are rejected
  fleet::MemberId self{};
  std::string self_name;
  fleet::Roster roster;                                  // ordered by id, including this member
  std::map<fleet::MemberId, Address> addresses;          // where each member listens for other members
  std::size_t max_queue_bytes = 0, max_frame_bytes = 0;  // send queue of a peer; largest frame

  bool shared_state_enabled = false;  // exchanges waits, outages, recoveries, limits and offline endpoints

  int replica_count = 0;           // copies of each document on other relays: 0 or 2
  bool wait_for_replica = false;   // +OK only once one replica has the document
  Millis replication_timeout = 0;  // after this the client is answered -BUSY
  Millis lease_duration = 0;       // ownership expires this long after the last renewal
  double max_clock_drift = 0;      // largest relative rate difference of two machines' clocks

  bool warmup_enabled = false;  // a relay that starts asks its neighbours what to warm up
  int warmup_max_neighbours = 0, warmup_max_connections = 0, warmup_max_list_items = 0;
  std::size_t warmup_max_bytes = 0;
  Millis warmup_time_limit = 0;

  struct Stream {
    std::string type;  // document type
    std::set<DestinationId> subscribers;
    Millis tombstone_retention = 0, min_compaction_lag = 0;  // before a record may be dropped
    double min_dirty_ratio = 0;  // share of superseded bytes from which a segment is compacted
  };
  std::vector<Stream> streams;
  std::size_t max_log_disk_bytes = 0, segment_bytes = 0;
  Millis max_clock_offset = 0;  // how far a version may be ahead of this relay's clock
};

// path: BALANCER_FLEET, else "fleet" in the relay's configuration; not empty. self_name: used unless the file
// has `self`. retry_safety: of the known document types, for streams. Throws BadFleetFile with file, line,
// key and reason if a key is unknown, missing, duplicate, of a wrong type or out of range.
FleetConfig read_fleet_file(const std::string& path, const std::string& self_name,
                            const std::map<std::string, RetrySafety>& retry_safety);

// Reads the file named in the relay's configuration, if any, and checks that the components' files leave
// enough disk space for stored documents.
std::optional<FleetConfig> load_fleet_config(const Config& relay);
// Descriptors for connections with members and unidentified peers, taken from the relay's limit for
// endpoints.
std::size_t reserved_descriptors(const std::optional<FleetConfig>& config);
// Bytes of the relay's disk limit that the components' files may use; 0 without a fleet file.
std::size_t reserved_disk_bytes(const std::optional<FleetConfig>& config);

}  // namespace rockcrank::peer
