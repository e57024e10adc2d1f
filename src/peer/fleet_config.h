// Owns what the fleet file tells (TOML, read by toml++), checked whole and decoded once. It must never
// default anything that bears on a decision but to "off", and never hold what the relay's own configuration
// tells.
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
  std::string fleet_name;  // its name: messages of another are refused
  fleet::MemberId self{};
  std::string self_name;
  fleet::Roster roster;                                  // ordered by id, self included
  std::map<fleet::MemberId, Address> addresses;          // where each member listens to members
  std::size_t max_queue_bytes = 0, max_frame_bytes = 0;  // most that waits for a peer; most of one frame

  bool shared_state_enabled =
      false;  // waits, outages, returns, limits, endpoints out by staff are told and heard

  int replica_count = 0;           // of each document, on further relays: 0 or 2
  bool wait_for_replica = false;   // +OK only once one of them has it
  Millis replication_timeout = 0;  // else the client is told to come again
  Millis lease_duration = 0;       // ownership lasts so long without a word of the holders
  double max_clock_drift = 0;      // most by which two machines' clocks run apart, as a share

  bool warmup_enabled = false;  // a newcomer asks its neighbours and warms itself
  int warmup_max_neighbours = 0, warmup_max_connections = 0, warmup_max_list_items = 0;
  std::size_t warmup_max_bytes = 0;
  Millis warmup_time_limit = 0;

  struct Stream {
    std::string type;  // document type, by name
    std::set<DestinationId> subscribers;
    Millis tombstone_retention = 0, min_compaction_lag = 0;  // before a record may go
    double min_dirty_ratio = 0;  // of a segment's bytes, that makes it worth a compaction
  };
  std::vector<Stream> streams;
  std::size_t max_log_disk_bytes = 0, segment_bytes = 0;
  Millis max_clock_offset = 0;  // most that a version's time may lie ahead of this relay's
};

// path: BALANCER_FLEET, else "fleet" in the relay's configuration; the caller found it not empty. self_name:
// the relay's name unless the file has `self`. repeats: of the document types known, for streams. Throws
// BadFleetFile with file, line, key and reason: a key unknown, missing, twice, of a wrong kind or out of
// range.
FleetConfig read_fleet_file(const std::string& path, const std::string& self_name,
                            const std::map<std::string, RetrySafety>& repeats);

// The same for the file that the relay's configuration names, if it names one; what the parts keep on disk
// must leave the documents held their room.
std::optional<FleetConfig> load_fleet_config(const Config& relay);
// Connections with members, and callers that have not said who they are: of what the relay may hold with
// endpoints.
std::size_t reserved_descriptors(const std::optional<FleetConfig>& config);
// Bytes of the relay's room on disk that the parts' files may take; none without a fleet file.
std::size_t reserved_disk_bytes(const std::optional<FleetConfig>& config);

}  // namespace rockcrank::peer
