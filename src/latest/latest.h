// The interface of the log per key: which versions a stream's documents get, which record is the newest of
// its key, what a subscriber has had and gets next, when a segment is compacted and what may go. Free of I/O:
// a host keeps the segments (peer/segments.h) and carries out what decide() answers. It must never drop the
// newest of a key, deliver by itself (each delivery is a document of the decision module), or take a
// subscriber back to an older version of a key. Versions: Kulkarni et al., "Logical Physical Clocks", 2014.
// Duties are leases of a majority (Gray, Cheriton, "Leases", 1989). docs/fleet-latest.md says what is
// promised under which faults.
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

enum class StreamId : std::uint64_t {};  // the hash of its document type's name: alike in every relay
enum class SegmentId : std::uint32_t {};

// Of a hybrid logical clock: wall time in milliseconds, a count within it, and the relay.
struct HybridTimestamp {
  std::uint64_t wall_time = 0;
  std::uint32_t counter = 0;
  fleet::MemberId origin{};
  auto operator<=>(const HybridTimestamp&) const = default;
  auto fields() { return std::tie(wall_time, counter, origin); }
};

// A key by 128 bits of its text's hash, which the host takes (XXH3): two keys never meet by chance.
struct KeyHash {
  std::uint64_t high = 0, low = 0;
  auto operator<=>(const KeyHash&) const = default;
  auto fields() { return std::tie(high, low); }
};

// A record in a log, and between relays. The module sees its Entry only; texts and body stay with the host.
struct Record {
  StreamId stream{};
  std::string key;
  HybridTimestamp timestamp;
  std::string id, idempotency_key, tenant, body;  // of the client's document; a tombstone's body is empty
  DestinationId
      direct_destination{};        // where the document itself goes, delivered by the relay that took it on
  std::uint64_t direct_until = 0;  // Unix time, ms: by then that has ended
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
  std::uint64_t content_hash = 0;  // hash of all but the stamp
  DestinationId direct_destination{};
  std::uint64_t direct_until = 0;
};
struct LogLocation {
  SegmentId segment{};
  std::uint32_t offset = 0, bytes = 0;
  auto operator<=>(const LogLocation&) const = default;
};

// A subscriber's position is one mark a key: the newest version that was about to go to it, and whether it
// has had that. Of two marks the higher stamp counts, of equal stamps "had": so copies merge in any order.
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
  std::uint64_t epoch = 0;  // of the duty, where it asks for a note; 0: told only
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

// A digest of all keys whose hash begins with `bits` bits of `prefix`; of a lane's marks where it names one.
struct RangeDigest {
  Subscription subscription;
  bool of_delivery_states = false;
  std::uint64_t prefix = 0;
  std::uint8_t prefix_bits = 0;
  std::uint64_t sum = 0, key_count = 0;
  auto fields() { return std::tie(subscription, of_delivery_states, prefix, prefix_bits, sum, key_count); }
};
// All that the sender holds of a small range: the other sends what is newer there, and wants what is newer
// here.
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
// For the duty of a lane.
struct LeaseRequest {
  Subscription subscription;
  std::uint64_t epoch = 0;
  Millis requested_at = 0;  // by the asker's clock, given back
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
  std::uint64_t sequence = 0;  // what the receiver notes, once all in it is kept; 0: not asked for
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
  newer,                  // to be kept: append it, then stored()
  not_newer,              // this one, or a newer one of its key, is here
  too_far_ahead,          // too far ahead of the time: VersionAhead
  conflict_keep_local,    // CopiesDiffer, and the one here stays; the other goes aside
  conflict_replace_local  // CopiesDiffer, and this one counts everywhere: the one here goes aside, then as
                          // newer
};

class CompactedLog {
 public:
  struct Outgoing {
    fleet::MemberId to{};
    LatestMessage message;
    std::vector<std::pair<StreamId, KeyHash>> records;  // to be read and added by the host
    bool acknowledges = false;  // says that marks of this turn are kept: goes only if they are
  };
  struct Delivery {
    Subscription subscription;
    KeyHash key;
    HybridTimestamp timestamp;
    auto operator<=>(const Delivery&) const = default;
  };
  struct Actions {
    std::vector<DeliveryState> delivery_states;  // to be appended before anything below; then mark_kept()
    std::vector<Outgoing> sends;
    std::vector<Delivery> deliver;   // as documents of the decision module; ended() follows for each
    std::vector<Delivery> withdraw;  // the duty is another's: nothing more of them is sent
    std::vector<std::pair<StreamId, HybridTimestamp>>
        replicated;                    // this relay's own records that another relay keeps too
    std::optional<SegmentId> compact;  // go on copying this one: keeps(), then compacted() or not_compacted()
    std::vector<std::string> log;
    Millis wake_in = -1;
  };
  struct Usage {  // of memory and disk, for figures
    std::size_t keys = 0, delivery_states = 0, memory_bytes = 0, live_bytes = 0, segment_bytes = 0,
                segments = 0;
    std::uint64_t compacted_bytes = 0;  // written by compactions
  };
  static std::unique_ptr<CompactedLog> make(const fleet::Roster& roster, fleet::MemberId self,
                                            const LatestSettings& settings, std::uint64_t seed);
  virtual ~CompactedLog() = default;

  // wall: Unix time, ms; used for versions and ages only. now is of the loop's clock.
  virtual void begin_turn(Millis now, Millis wall) = 0;

  // What the folder holds, in any order, before the first decide(). sealed: nothing is appended to it any
  // more.
  virtual void add_segment(SegmentId id, StreamId stream, bool sealed) = 0;  // also for each new one
  virtual void on_recovered(const RecordHeader& entry, const LogLocation& place) = 0;
  virtual void on_recovered(const DeliveryState& mark, const LogLocation& place) = 0;
  // A record could not be read at its place: it is not held any more, so that it comes again from others.
  virtual void on_record_unreadable(StreamId stream, const KeyHash& key, const LogLocation& place) = 0;

  virtual void set_alive(const std::vector<fleet::MemberId>& members) = 0;  // this one included
  virtual void on_link_change(fleet::MemberId peer, bool up) = 0;
  // The version for a document of this key taken on now, above all that is known of the key; none: this
  // relay's clock has gone back by more than a version may lie ahead, so others would refuse it
  // (VersionAhead).
  virtual std::optional<HybridTimestamp> next_timestamp(StreamId stream, const KeyHash& key) = 0;
  virtual RecordCheck check_record(const RecordHeader& entry) = 0;
  // Appended. own: taken on here just now, so that it is pushed to the others.
  virtual void on_record_stored(const RecordHeader& entry, const LogLocation& place, bool own) = 0;
  virtual void on_delivery_state_stored(const DeliveryState& mark, const LogLocation& place) = 0;
  // After its records were judged and stored; kept_all: none failed to be.
  virtual void on_message(fleet::MemberId from, const LatestMessage& message, bool kept_all) = 0;

  // Deliveries. delivered: the subscriber has it; else rejected, abandoned, or not handed in for want of
  // room.
  virtual void on_delivery_ended(const Delivery& delivery, bool delivered) = 0;
  virtual void set_waiting_documents(
      int waiting) = 0;  // live ones that wait in this relay, deliveries of this part left out
  virtual void set_destination_impaired(DestinationId destination,
                                        bool rests) = 0;  // held, shut, or returning cold
  virtual bool has_delivery_lease(const Subscription& lane, Millis now) const = 0;
  virtual void release_leases() = 0;  // duties are given back

  // Compaction. keeps: whether a record found at this place is to be copied.
  virtual bool is_live(const RecordHeader& entry, const LogLocation& place) const = 0;
  virtual bool is_live(const DeliveryState& mark, SegmentId segment) const = 0;
  // All that was to be kept stands elsewhere, which is noted: its new places count from here on.
  struct Moved {
    Subscription subscription;
    bool is_delivery_state = false;
    KeyHash key;
    HybridTimestamp timestamp;
    LogLocation from, to;
  };
  using DroppedRecord = std::pair<StreamId, KeyHash>;  // of each record that was not copied
  virtual void on_compacted(SegmentId old, const std::vector<Moved>& moved,
                            const std::vector<DroppedRecord>& dropped) = 0;
  // No room, or the disk failed: tried again later. What was copied by then stands twice.
  virtual void on_compaction_failed(SegmentId old, const std::vector<Moved>& copied) = 0;

  virtual Actions decide() = 0;

  virtual std::optional<LogLocation> newest_location(StreamId stream, const KeyHash& key) const = 0;
  virtual std::optional<HybridTimestamp> newest_timestamp(StreamId stream, const KeyHash& key) const = 0;
  virtual std::optional<KeyHash> find_key(StreamId stream,
                                          std::uint64_t high) const = 0;  // by half of its hash
  virtual std::optional<DeliveryState> delivery_state(const Subscription& lane, const KeyHash& key) const = 0;
  virtual std::uint64_t digest(StreamId stream) const = 0;  // alike where the newest of all keys are
  virtual std::uint64_t digest(const Subscription& lane) const = 0;
  virtual bool is_caught_up(
      const Subscription& lane) const = 0;  // all there is has been delivered; false without the duty
  virtual Usage usage() const = 0;
};

}  // namespace rockcrank::latest
