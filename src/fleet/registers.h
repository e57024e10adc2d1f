// The interface of the shared state: told waits, outages and cold returns, limits met, endpoints out by
// staff, each an entry that all members hold; how copies that differ are settled (docs/fleet.md has the
// table), how news spreads, and how one that returns catches up by comparing digests of ranges. Free of I/O.
// It must never decide what follows from an entry for sending (the decision module does), nor trust another
// machine's clock: times go over as durations, and the least end heard for one word counts, so that hops
// never lengthen a wait.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fleet/ids.h"

namespace rockcrank::fleet {

// Of one word on one thing as it travels: durations from the moment of sending.
enum class RegisterKind : std::uint8_t { retry_after, outage, rate_limit, offline };
struct RegisterRecord {
  RegisterKind kind{};
  std::string name;  // route: as Knowledge names it, 16 hex digits with 'd' or 'e' before; out: the endpoint
  Version version;
  Incarnation incarnation;                     // of the version's origin
  Millis age = 0;                              // since it was first said
  Millis duration = 0;                         // wait: as told in whole, so that span - age is left of it
  RouteState state{};                          // outage: of decision.h
  double rate_before_outage = 0;               // outage: calls a second that the origin sent there before
  double rate_limit = 0, remaining_share = 0;  // limit
  bool offline = false;
  auto fields() {
    return std::tie(kind, name, version, incarnation, age, duration, state, rate_before_outage, rate_limit,
                    remaining_share, offline);
  }
};

// A digest covers the entries of one matter whose subject's hash begins with `bits` bits of `prefix`, which
// stand lowest in it. The sum is free of order (Merkle, "A Digital Signature Based on a Conventional
// Encryption Function", 1987, for the tree; sums in place of concatenations, as an entry comes at any time).
struct RangeDigest {
  RegisterKind kind{};
  std::uint64_t prefix = 0;
  std::uint8_t bits = 0;
  std::uint64_t sum = 0, entry_count = 0;
  auto fields() { return std::tie(kind, prefix, bits, sum, entry_count); }
};

// The parts of one range in their order, by as many further bits as their number tells.
struct RangeSplit {
  RegisterKind kind{};
  std::uint64_t prefix = 0;
  std::uint8_t bits = 0;                  // of the range that is split
  std::vector<std::uint32_t> child_sums;  // half of each sum; 0: empty
  auto fields() { return std::tie(kind, prefix, bits, child_sums); }
};

// What is held on one subject, in brief; in a range so small that no further split pays.
struct NameDigest {
  std::uint64_t hash = 0;  // of the subject
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

// News on its way down a tree: the receiver tells it on to the members after it on the ring of ids, up to and
// with `last`, and to those in `also`, which the sender does not reach.
struct Broadcast {
  MemberId last{};
  std::vector<MemberId> forward_to;
  std::vector<RegisterRecord> records;
  auto fields() { return std::tie(last, forward_to, records); }
};

struct RegisterMessage {
  Millis sent_at = 0;  // on the sender's own clock: only differences between two messages count
  std::vector<Broadcast> broadcasts;    // news
  std::vector<RegisterRecord> records;  // what the other lacks
  std::vector<RangeDigest> digests;     // catch-up: "I hold this": the other answers where it differs
  std::vector<RangeSplit> splits;       // the same of the parts of ranges that differed
  std::vector<RangeNames> range_names;  // the same of small ranges, one by one
  std::vector<RangeDigest> requested;   // of these ranges, send all that you hold
  bool from_comparison = false;         // some of this came of a comparison
  bool confirm_sync = false;            // of digests of all: say if they are even
  bool in_sync = false;                 // all that you hold, as you told, is what I hold
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
    std::vector<RouteStatus> route_reports;    // for Decision::learn
    std::vector<OfflineOrder> offline_orders;  // orders of staff given elsewhere
    std::vector<std::string> conflicts;        // entries of equal version and other content, each named once
    std::vector<std::string> log;
    Millis wake_in = -1;
  };
  static std::unique_ptr<Registers> make(MemberId self, Incarnation own, int members, std::uint64_t seed);
  virtual ~Registers() = default;

  virtual void begin_turn(Millis now) = 0;
  virtual void set_alive(const std::vector<MemberId>& members) = 0;  // this one included
  virtual void on_link_change(MemberId peer, bool up) = 0;
  virtual void publish(const RouteStatus& own) = 0;  // from Decision::knowledge
  virtual void publish_offline(const std::string& endpoint, bool out) = 0;
  virtual void on_message(MemberId from, const RegisterMessage& message) = 0;  // throws BadMessage
  virtual Actions decide() = 0;

  virtual std::vector<RegisterRecord> all_records() const = 0;  // ages as of begin()
  // For a state file: the most needed first, and nothing that a start does well without.
  virtual std::vector<RegisterRecord> records_to_persist(std::size_t most) const = 0;
  // After begin(); told as learned in the next turn. Throws BadMessage, and then has changed nothing.
  virtual void restore(const std::vector<RegisterRecord>& words, Millis gone_for) = 0;
  virtual bool caught_up() const = 0;  // with one living peer at least, or nobody else is alive
};

}  // namespace rockcrank::fleet
