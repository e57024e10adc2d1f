// A replicated, compacted log: keeps the newest record of each key, tracks what each subscriber has received,
// and decides what is delivered next, which segment is compacted and which tombstones are dropped. It does no
// I/O: the host stores the segments (peer/segments.h) and carries out the actions that decide() returns. The
// newest record of a key is never dropped, and a subscriber never gets an older version of a key after a
// newer one. Each delivery is handed to the decision module as a document. Versions are hybrid logical clock
// timestamps (Kulkarni et al., "Logical Physical Clocks", 2014); delivery leases need a majority of the
// members (Gray, Cheriton, "Leases", 1989). docs/fleet-latest.md states the guarantees under each fault.
#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/ids.h"

namespace rockcrank::latest {

enum class StreamId : std::uint64_t {};  // hash of the document type's name, the same in every relay
enum class SegmentId : std::uint32_t {};

// A hybrid logical clock timestamp: wall time in milliseconds, a counter within that millisecond, and the
// relay.
struct HybridTimestamp {
  std::uint64_t wall_time = 0;
  std::uint32_t counter = 0;
  fleet::MemberId origin{};
  auto operator<=>(const HybridTimestamp&) const = default;
  auto fields() { return std::tie(wall_time, counter, origin); }
};

// A 128-bit hash (XXH3) of the key's text, computed by the host. Collisions are treated as impossible.
struct KeyHash {
  std::uint64_t high = 0, low = 0;
  auto operator<=>(const KeyHash&) const = default;
  auto fields() { return std::tie(high, low); }
};

// A record as stored in the log and sent between relays. This module sees only its RecordHeader; the texts
// and the body stay with the host.
struct Record {
  StreamId stream{};
  std::string key;
  HybridTimestamp timestamp;
  std::string id, idempotency_key, tenant, body;  // of the client's document; a tombstone has an empty body
  DestinationId
      direct_destination{};  // destination of the document itself, which the relay that accepted it delivers
  std::uint64_t direct_until = 0;  // Unix time in ms by which that direct delivery has ended
  auto fields() {
    return std::tie(stream, key, timestamp, id, idempotency_key, tenant, body, direct_destination,
                    direct_until);
  }
};
struct RecordHeader {
  StreamId stream{};
  KeyHash key;
  HybridTimestamp timestamp;
  bool tombstone = false;
  std::uint64_t content_hash = 0;  // hash of everything but the timestamp
  DestinationId direct_destination{};
  std::uint64_t direct_until = 0;
};
struct LogLocation {
  SegmentId segment{};
  std::uint32_t offset = 0, bytes = 0;
  auto operator<=>(const LogLocation&) const = default;
};

// A subscriber's position has one entry per key: the newest version whose delivery to it was begun, and
// whether it was delivered. Of two entries the higher timestamp wins, and with equal timestamps the delivered
// one, so replicas merge in any order.
struct Subscription {
  StreamId stream{};
  DestinationId subscriber{};
  auto operator<=>(const Subscription&) const = default;
  auto fields() { return std::tie(stream, subscriber); }
};
struct DeliveryState {
  Subscription subscription;
  KeyHash key;
  HybridTimestamp timestamp;
  bool delivered = false;
  std::uint64_t epoch = 0;  // lease epoch if the sender wants an acknowledgement; 0: for information only
  auto fields() { return std::tie(subscription, key, timestamp, delivered, epoch); }
};

struct StreamSettings {
  StreamId id{};
  std::string type;
  std::vector<DestinationId> subscribers;
  Millis tombstone_retention = 0, min_compaction_lag = 0;
  double min_dirty_ratio = 0;
};
struct LatestSettings {
  std::vector<StreamSettings> streams;
  std::size_t segment_bytes = 0, max_disk_bytes = 0;
  Millis max_clock_offset = 0;
};

// Digest of all keys whose hash starts with `prefix_bits` bits of `prefix`; of a subscription's delivery
// states if `of_delivery_states` is set.
struct RangeDigest {
  Subscription subscription;
  bool of_delivery_states = false;
  std::uint64_t prefix = 0;
  std::uint8_t prefix_bits = 0;
  std::uint64_t sum = 0, key_count = 0;
  auto fields() { return std::tie(subscription, of_delivery_states, prefix, prefix_bits, sum, key_count); }
};
// All that the sender holds in a small range: the receiver sends what is newer on its side and requests what
// is newer here.
struct KeySummary {
  KeyHash key;
  HybridTimestamp timestamp;
  std::uint64_t content_hash = 0;
  auto fields() { return std::tie(key, timestamp, content_hash); }
};
struct RangeListing {
  RangeDigest range;
  std::vector<KeySummary> entries;
  auto fields() { return std::tie(range, entries); }
};
struct RecordRequest {
  StreamId stream{};
  KeyHash key;
  auto fields() { return std::tie(stream, key); }
};
// For the delivery lease of a subscription.
struct LeaseRequest {
  Subscription subscription;
  std::uint64_t epoch = 0;
  Millis requested_at = 0;  // by the requester's clock, echoed in the response
  bool release = false;
  auto fields() { return std::tie(subscription, epoch, requested_at, release); }
};
struct LeaseResponse {
  Subscription subscription;
  std::uint64_t epoch = 0;
  Millis requested_at = 0;
  bool granted = false;
  auto fields() { return std::tie(subscription, epoch, requested_at, granted); }
};

struct LatestMessage {
  // acknowledged by the receiver once all of the message is stored; 0: no acknowledgement
  std::uint64_t sequence = 0;
  std::vector<std::uint64_t> acknowledged;
  std::vector<Record> records;
  std::vector<RangeDigest> digests;
  std::vector<RangeListing> listings;
  std::vector<RecordRequest> requested;
  std::vector<DeliveryState> delivery_states;
  std::vector<LeaseRequest> lease_requests;
  std::vector<LeaseResponse> lease_responses;
  auto fields() {
    return std::tie(sequence, acknowledged, records, digests, listings, requested, delivery_states,
                    lease_requests, lease_responses);
  }
};

enum class RecordCheck : std::uint8_t {
  newer,                // to be stored: append it, then call on_record_stored()
  not_newer,            // this version, or a newer one of its key, is stored here
  too_far_ahead,        // too far ahead of the local time: VersionAhead
  conflict_keep_local,  // VersionConflict: the local record stays, the other one is set aside
  // VersionConflict: the other record wins on every relay; set the local one aside, then as newer
  conflict_replace_local
};

class CompactedLog {
 public:
  struct Outgoing {
    fleet::MemberId to{};
    LatestMessage message;
    std::vector<std::pair<StreamId, KeyHash>> records;  // to be read and added by the host
    bool acknowledges = false;  // acknowledges delivery states of this turn: send only if they were stored
  };
  struct Delivery {
    Subscription subscription;
    KeyHash key;
    HybridTimestamp timestamp;
    auto operator<=>(const Delivery&) const = default;
  };
  struct Actions {
    // to be appended before the other actions; then on_delivery_state_stored()
    std::vector<DeliveryState> delivery_states;
    std::vector<Outgoing> sends;
    // as documents of the decision module; on_delivery_ended() follows for each
    std::vector<Delivery> deliver;
    std::vector<Delivery> withdraw;  // another relay has the lease: no more of their transmissions may begin
    // this relay's own records that another relay has stored too
    std::vector<std::pair<StreamId, HybridTimestamp>> replicated;
    // continue copying this segment, using is_live(); then on_compacted() or on_compaction_failed()
    std::optional<SegmentId> compact;
    std::vector<std::string> log;
    Millis wake_in = -1;
  };
  // Memory and disk usage, for metrics.
  struct Usage {
    std::size_t keys = 0, delivery_states = 0, memory_bytes = 0, live_bytes = 0, segment_bytes = 0,
                segments = 0;
    std::uint64_t compacted_bytes = 0;  // written by compactions
  };
  static std::unique_ptr<CompactedLog> make(const fleet::Roster& roster, fleet::MemberId self,
                                            const LatestSettings& settings, std::uint64_t seed);
  virtual ~CompactedLog() = default;

  // wall: Unix time in ms, used only for versions and ages. now: the event loop's clock.
  virtual void begin_turn(Millis now, Millis wall) = 0;

  // The contents of the folder, in any order, before the first decide(). sealed: nothing more is appended to
  // the segment. add_segment() is also called for each new segment.
  virtual void add_segment(SegmentId id, StreamId stream, bool sealed) = 0;
  virtual void on_recovered(const RecordHeader& header, const LogLocation& location) = 0;
  virtual void on_recovered(const DeliveryState& state, const LogLocation& location) = 0;
  // The record at this location could not be read. It counts as missing, so that other relays send it again.
  virtual void on_record_unreadable(StreamId stream, const KeyHash& key, const LogLocation& location) = 0;

  virtual void set_alive(const std::vector<fleet::MemberId>& members) = 0;  // including this relay
  virtual void on_link_change(fleet::MemberId peer, bool up) = 0;
  // The version for a document of this key accepted now, higher than any known version of the key. None if
  // this relay's clock went back by more than a version may lie ahead, because the other relays would refuse
  // it (VersionAhead).
  virtual std::optional<HybridTimestamp> next_timestamp(StreamId stream, const KeyHash& key) = 0;
  virtual RecordCheck check_record(const RecordHeader& header) = 0;
  // The record was appended. own: it was just accepted here, so it is pushed to the other relays.
  virtual void on_record_stored(const RecordHeader& header, const LogLocation& location, bool own) = 0;
  virtual void on_delivery_state_stored(const DeliveryState& state, const LogLocation& location) = 0;
  // Called after the message's records were checked and stored. kept_all: none of them failed to be stored.
  virtual void on_message(fleet::MemberId from, const LatestMessage& message, bool kept_all) = 0;

  // Deliveries. delivered: the subscriber has it; otherwise it was rejected, abandoned, or not accepted for
  // lack of capacity.
  virtual void on_delivery_ended(const Delivery& delivery, bool delivered) = 0;
  // Live documents that wait in this relay, without deliveries of this module.
  virtual void set_waiting_documents(int waiting) = 0;
  // impaired: held, circuit breaker open, or in slow start after an outage.
  virtual void set_destination_impaired(DestinationId destination, bool impaired) = 0;
  virtual bool has_delivery_lease(const Subscription& subscription, Millis now) const = 0;
  virtual void release_leases() = 0;  // releases the delivery leases before shutdown

  // Compaction. is_live: whether a record found at this location has to be copied.
  virtual bool is_live(const RecordHeader& header, const LogLocation& location) const = 0;
  virtual bool is_live(const DeliveryState& state, SegmentId segment) const = 0;
  // All live records of the segment were copied and the manifest says so: the new locations are valid from
  // now on.
  struct Moved {
    Subscription subscription;
    bool is_delivery_state = false;
    KeyHash key;
    HybridTimestamp timestamp;
    LogLocation from, to;
  };
  using DroppedRecord = std::pair<StreamId, KeyHash>;  // one for each record that was not copied
  virtual void on_compacted(SegmentId old, const std::vector<Moved>& moved,
                            const std::vector<DroppedRecord>& dropped) = 0;
  // No space left, or the disk failed: retried later. What was copied until then is stored twice.
  virtual void on_compaction_failed(SegmentId old, const std::vector<Moved>& copied) = 0;

  virtual Actions decide() = 0;

  virtual std::optional<LogLocation> newest_location(StreamId stream, const KeyHash& key) const = 0;
  virtual std::optional<HybridTimestamp> newest_timestamp(StreamId stream, const KeyHash& key) const = 0;
  // Finds a key by the upper half of its hash.
  virtual std::optional<KeyHash> find_key(StreamId stream, std::uint64_t high) const = 0;
  virtual std::optional<DeliveryState> delivery_state(const Subscription& subscription,
                                                      const KeyHash& key) const = 0;
  // equal on relays that hold the same newest records
  virtual std::uint64_t digest(StreamId stream) const = 0;
  virtual std::uint64_t digest(const Subscription& subscription) const = 0;
  // Everything has been delivered; false without the lease.
  virtual bool is_caught_up(const Subscription& subscription) const = 0;
  virtual Usage usage() const = 0;
};

}  // namespace rockcrank::latest
