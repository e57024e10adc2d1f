// What one member knows of a group of documents: as its owner, as a replica, and as a candidate.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "fleet/custody.h"

namespace rockcrank::fleet::internal {

using MessageKind = CustodyMessage::Kind;
using EntryKind = WireLogEntry::Kind;

constexpr Millis never = 1e18;
constexpr int heartbeats_per_lease = 4;  // each renews the lease and resends what was not acknowledged
// Lets an owner that just restarted start its election before its replicas do.
constexpr double election_delay_leases = 0.25;
constexpr double recovery_timeout_leases = 2;  // how long a recovering owner waits for its replicas' answers
// Time without a lease after which new documents start another group.
constexpr double new_group_after_leases = 4;
constexpr std::size_t max_batch_bytes = 64 * 1024;  // per message, except for a single larger document
constexpr std::size_t max_unacknowledged_bytes = 256 * 1024;  // in flight to one replica
constexpr std::size_t max_unacknowledged_ranges = 2;  // in flight to one replica that is resynchronized
constexpr std::size_t max_range_documents = 32, max_range_bytes = 64 * 1024;
// A replica further behind is resynchronized by range digests.
constexpr std::size_t max_log_entries = 262144;
constexpr std::size_t max_replicated_bytes = 256u << 20;  // of all documents held as a replica
constexpr std::size_t max_inventory_documents = 1024;     // per message
constexpr std::size_t document_overhead_bytes = 160;      // per document, in addition to its record
// For a replica's document after its expiry, when the owner is silent.
constexpr Millis expired_replica_retention = 60000;
// For a document whose ownership nobody can prove, after its expiry.
constexpr Millis unowned_retention = 600000;
constexpr std::size_t entry_overhead_bytes = 64;  // per log entry sent, in addition to its document
constexpr std::size_t max_pending_renewals = 64;  // unanswered ones, per replica
constexpr std::size_t max_idle_groups = 1024;     // groups without documents whose state is kept
// Configurations in force at once while reconfigurations are in progress.
constexpr std::size_t max_active_configurations = 4;

// inactive: neither owner nor replica any more. recovering: the owner before a restart, not yet re-elected.
enum class Role { inactive, replica, owner, recovering };

struct Transmission {
  int number = 0;
  Millis started_at = 0;
  ZoneId zone{};
  std::uint64_t log_index = 0;  // of the log entry that records it
};

struct Doc {
  DocumentState state;  // except for its times
  Millis expiry = 0, replication_deadline = never;
  std::vector<Transmission> in_doubt;
  bool accepted = true;
  std::uint64_t document_index = 0, end_index = 0;
  std::size_t bytes() const { return state.record.size() + document_overhead_bytes; }
};

struct LogEntry {
  EntryKind kind{};
  std::uint64_t document_number = 0;
  Transmission transmission;
};

// The owner's view of the replication to one replica.
struct Progress {
  std::uint64_t sent_index = 0, match_index = 0;
  bool in_sync = false, configuration_accepted = false;
  Millis lease_start = -never;  // when the last acknowledged renewal was sent
  std::map<std::uint64_t, Millis> pending_renewals;
  std::deque<std::pair<std::uint64_t, std::size_t>> in_flight;  // last index and bytes of each batch
  std::size_t in_flight_bytes = 0, ranges_in_flight = 0;
  std::deque<DocumentRange> pending_ranges;
  bool digests_in_flight = false;
  std::uint64_t last_heartbeat_match_index = 0;
  // Sends again what is not acknowledged; a replica that is not in sync is resynchronized.
  void reset(std::uint64_t last_index) {
    sent_index = in_sync ? match_index : last_index, in_flight.clear(), in_flight_bytes = 0,
    ranges_in_flight = 0, pending_ranges.clear();
    digests_in_flight = false;
  }
  void acknowledge(std::uint64_t index) {
    match_index = std::max(match_index, index);
    for (; !in_flight.empty() && in_flight.front().first <= index; in_flight.pop_front())
      in_flight_bytes -= in_flight.front().second;
  }
};

struct Group {
  GroupId id;
  Role role = Role::inactive;
  Version voted_term;
  // Owner: all in force, the newest last; otherwise the newest known.
  std::vector<Configuration> configurations;
  std::map<std::uint64_t, Doc> docs;
  std::uint64_t highest_document = 0;
  std::size_t bytes = 0;  // of docs

  // State of an owner.
  std::deque<LogEntry> log;  // the last entry has index last_index
  std::uint64_t last_index = 0, renewal_count = 0;
  std::uint64_t highest_committed_index = 0;  // what a new owner finds counts as committed
  std::map<RelayInstance, Progress> progress;
  // is_active: the host was told that it may act for the documents; taken_over: it has yet to be told that
  // they came from another owner.
  bool is_active = false, taken_over = false;
  Millis next_heartbeat_at = 0, last_lease_at = -never;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> awaiting_replication;  // log index, document number
  std::vector<std::pair<std::uint64_t, int>> held_transmissions;             // document number, transmission
  std::deque<std::pair<std::uint64_t, std::uint64_t>> held_ends;             // log index, document number
  Version highest_seen_term;  // in which another member has voted

  // State of a replica.
  RelayInstance lease_granted_to;
  Millis lease_granted_until = -never, next_election_at = 0;
  std::uint64_t applied_index = 0;
  bool in_sync = false;          // has everything of the owner's log up to applied_index
  LogPosition log_position;      // compared in elections; no term: holds nothing that qualifies
  bool only_in_force = false;    // its owner has said that this configuration is the only one in force
  bool dropped_expired = false;  // some documents were dropped because they had expired
  bool yielded = false;          // without capacity, it has let the other replica start an election first

  // State of a candidate.
  Version requested_term;
  bool is_pre_vote = false, is_candidate = false, has_stale_state = false;
  Millis votes_requested_at = 0, recovery_started_at = 0;
  std::set<std::pair<std::uint64_t, MemberId>> votes;  // revision of the configuration voted in, voter
  std::map<MemberId, RelayInstance> voters;
  // Their state directories do not know the incarnation that is in the configuration.
  std::set<MemberId> forgetful_members;
  std::map<MemberId, std::pair<std::size_t, std::size_t>> inventories;  // entries received and expected
  // From the inventories.
  std::map<std::uint64_t, std::vector<DocumentState::InDoubtTransmission>> reported_in_doubt;
  // Per inventory: the highest document number if the inventory is complete, and the document numbers.
  std::vector<std::pair<std::uint64_t, std::set<std::uint64_t>>> reported_documents;

  const Configuration& configuration() const { return configurations.back(); }
  Version term() const { return configurations.empty() ? Version{} : configurations.back().term; }
};

inline bool includes(const Configuration& configuration, const RelayInstance& instance) {
  return configuration.owner == instance ||
         std::ranges::find(configuration.replicas, instance) != configuration.replicas.end();
}
inline bool includes(const Configuration& configuration, MemberId member) {
  return configuration.owner.member == member ||
         std::ranges::any_of(configuration.replicas,
                             [&](const RelayInstance& instance) { return instance.member == member; });
}
// Two replicas are needed to elect another owner, so the owner needs a lease only in a configuration with
// two.
inline bool requires_lease(const Configuration& configuration) { return configuration.replicas.size() == 2; }

// Covers what a replica must have of a document, but for its texts.
std::uint64_t digest_of(std::uint64_t number, const Doc& doc);

}  // namespace rockcrank::fleet::internal
