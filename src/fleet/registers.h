// Shared state as replicated last-writer-wins registers: Retry-After waits, outages and recoveries of routes,
// rate limits, and endpoints that operators took offline. Every member holds all of them; docs/fleet.md has
// the table of merge rules. Updates spread by broadcast and gossip; a member that returns catches up by
// comparing digests of ranges. Free of I/O; what an entry means for sending is left to the decision module.
// No other machine's clock is trusted: times travel as durations, and the earliest end received for a record
// counts, so that hops never lengthen a wait.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fleet/ids.h"

namespace rockcrank::fleet {

enum class RegisterKind : std::uint8_t { retry_after, outage, rate_limit, offline };
// A register's value as it is sent; durations count from the moment of sending.
struct RegisterRecord {
  RegisterKind kind{};
  // offline: the endpoint. Else the route: 'd' (destination) or 'e' (endpoint) and 16 hex digits.
  std::string name;
  Version version;
  Incarnation incarnation;                     // of the version's origin
  Millis age = 0;                              // since it was first written
  Millis duration = 0;                         // retry_after: in whole; duration - age is left
  RouteState state{};                          // outage
  double rate_before_outage = 0;               // outage: calls a second that the origin sent
  double rate_limit = 0, remaining_share = 0;  // rate_limit
  bool offline = false;
  auto fields() {
    return std::tie(kind, name, version, incarnation, age, duration, state, rate_before_outage, rate_limit,
                    remaining_share, offline);
  }
};

// Digest of the entries of one kind whose name's hash begins with the `bits` low bits of `prefix`. The ranges
// form a Merkle tree (Merkle, "A Digital Signature Based on a Conventional Encryption Function", 1987) with
// sums in place of hashes of concatenations, since entries arrive in any order.
struct RangeDigest {
  RegisterKind kind{};
  std::uint64_t prefix = 0;
  std::uint8_t bits = 0;
  std::uint64_t sum = 0, entry_count = 0;
  auto fields() { return std::tie(kind, prefix, bits, sum, entry_count); }
};

// The sums of a range's equal parts, in order; their number gives the further bits of the split.
struct RangeSplit {
  RegisterKind kind{};
  std::uint64_t prefix = 0;
  std::uint8_t bits = 0;                  // of the range that is split
  std::vector<std::uint32_t> child_sums;  // the lower half of each sum; 0: empty
  auto fields() { return std::tie(kind, prefix, bits, child_sums); }
};

// Digest of all entries of one name, used in ranges too small to split further.
struct NameDigest {
  std::uint64_t hash = 0;  // of the name
  std::uint32_t sum = 0;
  std::uint64_t counter = 0;  // of the newest version
  auto fields() { return std::tie(hash, sum, counter); }
};
struct RangeNames {
  RegisterKind kind{};
  std::uint64_t prefix = 0;
  std::uint8_t bits = 0;
  std::vector<NameDigest> names;
  auto fields() { return std::tie(kind, prefix, bits, names); }
};

// Records that are broadcast down a tree: the receiver passes them on to the members that follow it on the
// ring of ids, up to and including `last`, and to those in `forward_to`, which the sender cannot reach.
struct Broadcast {
  MemberId last{};
  std::vector<MemberId> forward_to;
  std::vector<RegisterRecord> records;
  auto fields() { return std::tie(last, forward_to, records); }
};

struct RegisterMessage {
  Millis sent_at = 0;  // on the sender's clock; only differences between two messages count
  std::vector<Broadcast> broadcasts;
  std::vector<RegisterRecord> records;  // other new or missing records
  std::vector<RangeDigest> digests;     // catch-up: the receiver answers where its own differ
  std::vector<RangeSplit> splits;       // the same for the parts of ranges that differed
  std::vector<RangeNames> range_names;  // the same for small ranges, name by name
  std::vector<RangeDigest> requested;   // send all records of these ranges
  bool from_comparison = false;         // part of the content results from a comparison
  bool confirm_sync = false;            // answer with in_sync if the digests are equal
  bool in_sync = false;                 // the digests that were received equal the sender's
  auto fields() {
    return std::tie(sent_at, broadcasts, records, digests, splits, range_names, requested, from_comparison,
                    confirm_sync, in_sync);
  }
};

class Registers {
 public:
  struct OfflineOrder {
    std::string endpoint;
    bool offline = false;
  };
  struct Actions {
    OutgoingMessages<RegisterMessage> sends;
    std::vector<RouteStatus> route_statuses;   // for Decision::apply_route_status
    std::vector<OfflineOrder> offline_orders;  // operators' orders that were given on other relays
    std::vector<std::string> conflicts;        // equal versions, different content; each once
    std::vector<std::string> log;
    Millis wake_in = -1;
  };
  static std::unique_ptr<Registers> make(MemberId self, Incarnation incarnation, int members,
                                         std::uint64_t seed);
  virtual ~Registers() = default;

  virtual void begin_turn(Millis now) = 0;
  virtual void set_alive(const std::vector<MemberId>& members) = 0;  // including this member
  virtual void on_link_change(MemberId peer, bool up) = 0;
  virtual void publish(const RouteStatus& status) = 0;  // from Decision::route_statuses
  virtual void publish_offline(const std::string& endpoint, bool offline) = 0;
  virtual void on_message(MemberId from, const RegisterMessage& message) = 0;  // throws BadMessage
  virtual Actions decide() = 0;

  virtual std::vector<RegisterRecord> all_records() const = 0;  // ages as of begin_turn()
  // For the state file: by priority, without records that a restarted process has no use for.
  virtual std::vector<RegisterRecord> records_to_persist(std::size_t max_count) const = 0;
  // After begin_turn(); the next decide() reports the restored state. Throws BadMessage and changes nothing
  // if a record is invalid.
  virtual void restore(const std::vector<RegisterRecord>& records, Millis gone_for) = 0;
  virtual bool caught_up() const = 0;  // with at least one living peer, or no other member is alive
};

}  // namespace rockcrank::fleet
