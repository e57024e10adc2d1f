// The log's state without the records' bytes: the version clock, the newest version of each key, the
// subscribers' delivery states, anti-entropy between relays, and the choice of the next deliveries. A
// delivery state never goes back to an older version, and a delivery begins only after a majority has stored
// its state.

#include "latest/latest.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

#include "fleet/rules.h"
#include "latest/compaction.h"
#include "latest/delivery_lease.h"
#include "latest/digest_tree.h"

namespace rockcrank::latest {
namespace {

constexpr Millis never = 1e18;
// Deliveries in flight to one subscriber: of new versions, of the backlog, and of the backlog while documents
// wait.
constexpr int max_changed_deliveries = 32, max_backlog_deliveries = 4, max_backlog_while_documents_wait = 1;
constexpr Millis backoff_base = 1000, max_backoff = 60000;  // backoff after a failed delivery
constexpr double backoff_jitter = 0.2;
constexpr Millis acknowledge_timeout = 500;  // a delivery state that no majority acknowledged
// digests exchanged with each peer; interval while they differ
constexpr Millis compare_interval = 1000, compare_interval_if_different = 150;
constexpr Millis tombstone_check_interval = 1000;  // interval at which tombstones are checked
constexpr Millis log_interval = 10000;             // at most one log line of a kind in this time
// a range with at most this many keys is listed instead of split further
constexpr std::uint64_t max_listed_keys = 16;
constexpr int split_bits = 4, max_prefix_bits = 60;
constexpr int max_scanned_keys = 2048;               // keys scanned in one turn of a backlog scan
constexpr std::size_t max_chunk_bytes = 128 * 1024;  // of records in one message
// in one message; the rest follows with a later comparison
constexpr std::size_t max_digests = 512, max_listings = 64;
constexpr int bucket_bits = 8, bucket_count = 1 << bucket_bits;

struct StoredRecord {
  KeyHash key;
  HybridTimestamp timestamp;
  std::uint64_t content_hash = 0;
  LogLocation location;
  // frames of its key on disk, superseded ones included: a tombstone outlives them all
  std::uint16_t frame_count = 1;
  bool tombstone = false, expired = false;
  // An expired tombstone doesn't count, so that relays may drop it at different times.
  std::uint64_t sum() const {
    return expired ? 0 : hash_combine(timestamp, hash_combine(key.high, key.low) ^ content_hash) | 1;
  }
};

struct StoredDeliveryState {
  KeyHash key;
  HybridTimestamp timestamp;
  SegmentId segment{};
  std::uint16_t frame_bytes = 0;  // of its frame there; 0: not stored yet
  bool delivered = false;
  std::uint64_t sum() const {
    return hash_combine(timestamp, hash_combine(key.high, key.low) + delivered) | 1;
  }
};

struct Tombstone {
  Millis expired_at = never;  // by the event loop's clock
};
struct DirectDelivery {
  HybridTimestamp timestamp;
  std::uint64_t end = 0;
};

struct Stream {
  StreamSettings settings;
  DigestTree<StoredRecord> records;
  std::map<KeyHash, Tombstone> tombstones;
  // Delivered to a subscriber by the document itself, until then.
  std::map<std::pair<KeyHash, DestinationId>, DirectDelivery> direct_deliveries;
  std::set<KeyHash> purged_keys;  // purged keys whose tombstone is still on disk
  // when each bucket last matched the peer's
  std::map<fleet::MemberId, std::array<Millis, bucket_count>> matched_at;
  HybridTimestamp highest_purged;  // highest purged timestamp
};

enum class Stage { awaiting_majority, in_flight };
struct PendingDelivery {
  HybridTimestamp timestamp;
  Stage stage = Stage::awaiting_majority;
  bool is_backlog = false;
  Millis requested_at = 0;
};
struct Retry {
  Millis not_before = 0;
  int failures = 0;
};
// One subscriber of one stream.
struct SubscriberState {
  Subscription subscription;
  DigestTree<StoredDeliveryState> delivery_states;
  bool configured = false;  // is in the settings; otherwise it left, and its delivery states are kept
  std::optional<KeyHash> scan_position;  // next key of the scan over all keys; none: it has finished
  std::set<KeyHash> changed_keys;        // keys changed since
  std::map<KeyHash, Retry> retries;
  std::map<KeyHash, PendingDelivery> pending;
  int failures = 0;
  Millis paused_until = 0;
  bool had_lease = false;
};

struct Peer {
  bool linked = false, alive = false, has_differences = false;
  Millis compare_at = 0;
};
// Records and deliveries that wait for acknowledgements.
struct Batch {
  Millis sent_at = 0;
  std::set<fleet::MemberId> acknowledged_by;
  std::vector<CompactedLog::Delivery> deliveries;
  std::vector<std::pair<StreamId, HybridTimestamp>> records;
};

class CompactedLogImpl final : public CompactedLog {
 public:
  CompactedLogImpl(const fleet::Roster& roster, fleet::MemberId self, const LatestSettings& settings,
                   std::uint64_t seed)
      : settings_(settings),
        self_(self),
        leases_(roster, self),
        compaction_(settings),
        random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {
    for (const auto& member : roster)
      if (member.id != self) peers_[member.id];
    for (const auto& stream : settings.streams) {
      streams_[stream.id].settings = stream;
      for (auto subscriber : stream.subscribers) {
        Subscription subscription{stream.id, subscriber};
        subscriber_state(subscription).configured = true, configured_subscriptions_.insert(subscription);
      }
    }
  }

  void begin_turn(Millis now, Millis wall) override {
    now_ = now, wall_ = wall;
    leases_.begin_turn(now), compaction_.begin_turn(now, wall);
  }

  void add_segment(SegmentId id, StreamId stream, bool sealed) override {
    compaction_.add_segment(id, stream, sealed);
  }
  void on_recovered(const RecordHeader& header, const LogLocation& location) override {
    insert_record(header, location);
  }
  void on_recovered(const DeliveryState& state, const LogLocation& location) override {
    if (!streams_.count(state.subscription.stream)) return;
    SubscriberState& subscriber = this->subscriber_state(state.subscription);
    const StoredDeliveryState* previous = subscriber.delivery_states.find(state.key);
    bool is_current = !previous || supersedes(state, *previous);
    compaction_.on_frame_added(location, is_current, 0);
    if (!is_current) return;
    if (previous) compaction_.on_frame_dead(previous->segment, previous->frame_bytes);
    subscriber.delivery_states.upsert({state.key, state.timestamp, location.segment,
                                       static_cast<std::uint16_t>(location.bytes), state.delivered});
  }
  void on_record_unreadable(StreamId id, const KeyHash& key, const LogLocation& location) override {
    auto found = streams_.find(id);
    const StoredRecord* record = found == streams_.end() ? nullptr : found->second.records.find(key);
    if (!record || record->location != location) return;
    compaction_.on_frame_dead(location.segment, location.bytes);
    found->second.tombstones.erase(key), found->second.records.erase(key);
  }

  void set_alive(const std::vector<fleet::MemberId>& members) override {
    leases_.set_alive(members);
    for (auto& [id, peer] : peers_) peer.alive = std::ranges::find(members, id) != members.end();
  }
  void on_link_change(fleet::MemberId id, bool up) override {
    auto found = peers_.find(id);
    if (found == peers_.end()) return;
    leases_.on_link_change(id, up);
    // Missed changes are fetched at once. The member with the higher id starts later, so that both don't walk
    // through all differences at the same time.
    if (up && !found->second.linked)
      found->second.compare_at = now_ + (self_ < id ? 0 : compare_interval / 2);
    found->second.linked = up;
  }

  // Wall time that never goes back; received timestamps advance it, up to the maximum clock offset.
  std::optional<HybridTimestamp> next_timestamp(StreamId stream, const KeyHash& key) override {
    auto wall = static_cast<std::uint64_t>(std::max(0.0, wall_));
    if (last_timestamp_.wall_time > wall &&
        static_cast<double>(last_timestamp_.wall_time) > wall_ + settings_.max_clock_offset)
      return std::nullopt;
    if (last_timestamp_.wall_time >= wall) ++last_timestamp_.counter;
    else last_timestamp_.wall_time = wall, last_timestamp_.counter = 0;
    last_timestamp_.origin = self_;
    const StoredRecord* record = find_record(stream, key);
    return record && record->timestamp >= last_timestamp_ ? std::nullopt : std::optional(last_timestamp_);
  }

  RecordCheck check_record(const RecordHeader& header) override {
    auto found = streams_.find(header.stream);
    if (found == streams_.end()) return RecordCheck::not_newer;  // the stream isn't configured here
    if (is_too_far_ahead(header.timestamp)) return RecordCheck::too_far_ahead;
    Stream& stream = found->second;
    const StoredRecord* record = stream.records.find(header.key);
    if (!record) {
      // Prevents a tombstone from circulating for ever between relays that drop it at different times.
      if (header.tombstone && age(header.timestamp) >= stream.settings.tombstone_retention)
        return RecordCheck::not_newer;
      if (header.timestamp <= stream.highest_purged && !header.tombstone)
        log_rate_limited(
            "a record older than a purged tombstone was received, possibly from an outdated folder, in "
            "stream " +
            stream.settings.type);
      return RecordCheck::newer;
    }
    if (header.timestamp != record->timestamp)
      return header.timestamp > record->timestamp ? RecordCheck::newer : RecordCheck::not_newer;
    auto content = std::pair(header.content_hash, header.tombstone),
         local = std::pair(record->content_hash, record->tombstone);
    return content == local  ? RecordCheck::not_newer
           : content > local ? RecordCheck::conflict_replace_local
                             : RecordCheck::conflict_keep_local;
  }

  void on_record_stored(const RecordHeader& header, const LogLocation& location, bool direct) override {
    insert_record(header, location);
    if (direct) records_to_push_.push_back({header.stream, header.key});
  }

  void on_delivery_state_stored(const DeliveryState& state, const LogLocation& location) override {
    SubscriberState& subscriber = this->subscriber_state(state.subscription);
    const StoredDeliveryState* stored_state = subscriber.delivery_states.find(state.key);
    bool is_current = stored_state && stored_state->timestamp == state.timestamp &&
                      stored_state->delivered == state.delivered && stored_state->frame_bytes == 0;
    compaction_.on_frame_added(location, is_current, 0);
    if (!is_current) return;
    auto stored = *stored_state;
    stored.segment = location.segment, stored.frame_bytes = static_cast<std::uint16_t>(location.bytes);
    subscriber.delivery_states.upsert(stored);
  }

  void on_message(fleet::MemberId from, const LatestMessage& message, bool kept_all) override {
    auto peer = peers_.find(from);
    if (peer == peers_.end()) return;
    bool valid = kept_all;
    for (const auto& state : message.delivery_states) {
      if (!streams_.count(state.subscription.stream)) continue;
      // The delivery state of a relay that lost its lease must not be acknowledged, though its content is
      // merged; nor one of a version older than this relay has recorded, or of one already delivered. As any
      // two majorities share a member, the next lease holder cannot take a key back, even if it knows nothing
      // of earlier deliveries.
      if (state.epoch > 0 &&
          (!leases_.has_voted_for(state.subscription, from, state.epoch) || is_outdated(state))) {
        valid = false;
        if (auto local = delivery_state(state.subscription, state.key))
          message_to(from).delivery_states.push_back(*local);
      }
      merge_delivery_state(state, state.epoch > 0);
      // What was not merged, such as a version too far ahead, is not noted by this relay.
      if (state.epoch > 0 && !has_noted(state)) valid = false;
    }
    for (auto sequence : message.acknowledged) on_acknowledged(from, sequence);
    for (const auto& digest : message.digests) compare(from, digest);
    for (const auto& listing : message.listings) answer_listing(from, listing);
    for (const auto& request : message.requested) queue_record(from, request.stream, request.key);
    for (const auto& request : message.lease_requests) on_lease_request(from, request);
    for (const auto& response : message.lease_responses) leases_.on_response(from, response);
    if (message.sequence > 0 && valid)
      message_to(from).acknowledged.push_back(message.sequence), acknowledging_.insert(from);
  }

  void on_delivery_ended(const Delivery& delivery, bool delivered) override {
    SubscriberState& subscriber = this->subscriber_state(delivery.subscription);
    auto pending_delivery = subscriber.pending.find(delivery.key);
    bool ours = pending_delivery != subscriber.pending.end() &&
                pending_delivery->second.timestamp == delivery.timestamp;
    if (ours) subscriber.pending.erase(pending_delivery);
    if (delivered) {
      DeliveryState state{delivery.subscription, delivery.key, delivery.timestamp, true, 0};
      if (merge_delivery_state(state, true)) delivered_states_.push_back(state);
      subscriber.failures = 0, subscriber.paused_until = 0, subscriber.retries.erase(delivery.key);
      subscriber.changed_keys.insert(delivery.key);  // a newer version may have arrived meanwhile
    } else if (ours) {
      // The retry is a separate delivery, of whatever version is the newest then.
      Retry& retry = subscriber.retries[delivery.key];
      retry.not_before = now_ + with_jitter(backoff(++retry.failures));
      // Deliveries that fail together count as one failure; otherwise each of them would lengthen the
      // backoff.
      if (now_ >= subscriber.paused_until)
        subscriber.paused_until = now_ + with_jitter(backoff(++subscriber.failures));
    }
  }
  void set_waiting_documents(int waiting) override {
    waiting_documents_ = waiting, compaction_.set_waiting_documents(waiting);
  }
  void set_destination_impaired(DestinationId destination, bool impaired) override {
    if (impaired) impaired_.insert(destination);
    else impaired_.erase(destination);
  }
  bool has_delivery_lease(const Subscription& subscription, Millis now) const override {
    return leases_.is_held(subscription, now);
  }
  void release_leases() override { leases_.release_leases(); }

  bool is_live(const RecordHeader& header, const LogLocation& location) const override {
    auto found = streams_.find(header.stream);
    const StoredRecord* record = found == streams_.end() ? nullptr : found->second.records.find(header.key);
    return record && record->location == location;
  }
  bool is_live(const DeliveryState& state, SegmentId segment) const override {
    auto found = subscribers_.find(state.subscription);
    const StoredDeliveryState* stored_state =
        found == subscribers_.end() ? nullptr : found->second.delivery_states.find(state.key);
    return stored_state && stored_state->segment == segment && stored_state->frame_bytes > 0 &&
           stored_state->timestamp == state.timestamp && stored_state->delivered == state.delivered;
  }
  void on_compacted(SegmentId old, const std::vector<Moved>& moved,
                    const std::vector<DroppedRecord>& dropped) override {
    for (const auto& one : moved) {
      bool is_current = one.is_delivery_state ? move_delivery_state(one) : move_record(one);
      compaction_.on_frame_added(one.to, is_current, one.is_delivery_state ? 0 : one.timestamp.wall_time);
      compacted_bytes_ += one.to.bytes;
    }
    for (const auto& [id, key] : dropped) {
      Stream& stream = streams_[id];
      if (const StoredRecord* record = stream.records.find(key); record && record->frame_count > 1) {
        auto updated = *record;
        --updated.frame_count, stream.records.upsert(updated);
      } else if (!record) {
        stream.purged_keys.erase(key);
      }
    }
    compaction_.remove_segment(old), compaction_.on_compaction_ended(old, true);
  }
  void on_compaction_failed(SegmentId old, const std::vector<Moved>& copied) override {
    for (const auto& one : copied) {
      compaction_.on_frame_added(one.to, false, one.is_delivery_state ? 0 : one.timestamp.wall_time);
      if (one.is_delivery_state) continue;
      auto& records_by_key = streams_[one.subscription.stream].records;
      const StoredRecord* record = records_by_key.find(one.key);
      if (!record) continue;
      auto updated = *record;
      updated.frame_count = static_cast<std::uint16_t>(std::min(UINT16_MAX, updated.frame_count + 1)),
      records_by_key.upsert(updated);
    }
    compaction_.on_compaction_ended(old, false);
  }

  Actions decide() override {
    for (auto& request : leases_.decide(
             configured_subscriptions_,
             [this](const Subscription& subscription) {
               return subscriber_state(subscription).pending.empty();
             },
             random_)) {
      message_to(request.to).lease_requests.push_back(std::move(request.request));
    }
    wake_at_ = std::min(leases_.wake_at(), now_ + tombstone_check_interval);
    for (const Subscription& subscription : configured_subscriptions_)
      deliver(subscriber_state(subscription));
    if (now_ >= tombstone_check_at_)
      tombstone_check_at_ = now_ + tombstone_check_interval, check_tombstones();
    for (auto& [id, peer] : peers_)
      if (peer.linked) begin_compare(id, peer);
    send_batches();
    actions_.compact = compaction_.decide(actions_.log);
    for (auto& [id, message] : outgoing_)
      if (peers_[id].linked)
        actions_.sends.push_back(
            {id, std::move(message), std::move(records_to_send_[id]), acknowledging_.count(id) > 0});
    outgoing_.clear(), records_to_send_.clear(), acknowledging_.clear();
    wake_at_ = std::min(wake_at_, compaction_.wake_at());
    actions_.wake_in = std::max(0.0, wake_at_ - now_);
    return std::exchange(actions_, {});
  }

  std::optional<LogLocation> newest_location(StreamId stream, const KeyHash& key) const override {
    const StoredRecord* record = find_record(stream, key);
    return record ? std::optional(record->location) : std::nullopt;
  }
  std::optional<HybridTimestamp> newest_timestamp(StreamId stream, const KeyHash& key) const override {
    const StoredRecord* record = find_record(stream, key);
    return record ? std::optional(record->timestamp) : std::nullopt;
  }
  std::optional<KeyHash> find_key(StreamId stream, std::uint64_t high) const override {
    auto found = streams_.find(stream);
    const StoredRecord* record =
        found == streams_.end() ? nullptr : found->second.records.lower_bound({high, 0});
    return record && record->key.high == high ? std::optional(record->key) : std::nullopt;
  }
  std::optional<DeliveryState> delivery_state(const Subscription& subscription,
                                              const KeyHash& key) const override {
    auto found = subscribers_.find(subscription);
    const StoredDeliveryState* stored_state =
        found == subscribers_.end() ? nullptr : found->second.delivery_states.find(key);
    return stored_state ? std::optional(DeliveryState{subscription, key, stored_state->timestamp,
                                                      stored_state->delivered, 0})
                        : std::nullopt;
  }
  std::uint64_t digest(StreamId stream) const override {
    auto found = streams_.find(stream);
    return found == streams_.end() ? 0 : found->second.records.sum(0, 0).sum;
  }
  std::uint64_t digest(const Subscription& subscription) const override {
    auto found = subscribers_.find(subscription);
    return found == subscribers_.end() ? 0 : found->second.delivery_states.sum(0, 0).sum;
  }
  bool is_caught_up(const Subscription& subscription) const override {
    auto found = subscribers_.find(subscription);
    if (found == subscribers_.end() || !leases_.is_held(subscription, now_)) return false;
    const SubscriberState& subscriber = found->second;
    return subscriber.had_lease && !subscriber.scan_position && subscriber.changed_keys.empty() &&
           subscriber.retries.empty() && subscriber.pending.empty();
  }
  Usage usage() const override {
    Usage usage;
    for (const auto& [id, stream] : streams_)
      usage.keys += stream.records.size(), usage.memory_bytes += stream.records.memory_bytes();
    for (const auto& [subscription, subscriber] : subscribers_)
      usage.delivery_states += subscriber.delivery_states.size(),
          usage.memory_bytes += subscriber.delivery_states.memory_bytes();
    usage.live_bytes = compaction_.live_bytes(), usage.segment_bytes = compaction_.total_bytes();
    usage.segments = compaction_.segment_count(), usage.compacted_bytes = compacted_bytes_;
    return usage;
  }

 private:
  double random_between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  Millis with_jitter(Millis pause) { return pause * random_between(1 - backoff_jitter, 1 + backoff_jitter); }
  static Millis backoff(int failures) {
    return std::min(max_backoff, backoff_base * std::exp2(std::min(failures, 16) - 1));
  }
  Millis age(const HybridTimestamp& timestamp) const {
    return wall_ - static_cast<double>(timestamp.wall_time);
  }
  bool is_too_far_ahead(const HybridTimestamp& timestamp) const {
    return -age(timestamp) > settings_.max_clock_offset;
  }
  // Logs at most one line of a kind within log_interval.
  void log_rate_limited(const std::string& text, const std::string& detail = {}) {
    auto [logged, is_new] = logged_at_.try_emplace(text, now_);
    if (!is_new && now_ < logged->second + log_interval) return;
    logged->second = now_, actions_.log.push_back(text + detail);
  }

  const StoredRecord* find_record(StreamId stream, const KeyHash& key) const {
    auto found = streams_.find(stream);
    return found == streams_.end() ? nullptr : found->second.records.find(key);
  }
  SubscriberState& subscriber_state(const Subscription& subscription) {
    SubscriberState& subscriber = subscribers_[subscription];
    subscriber.subscription = subscription;
    return subscriber;
  }
  LatestMessage& message_to(fleet::MemberId peer) { return outgoing_[peer]; }

  static bool supersedes(const DeliveryState& state, const StoredDeliveryState& other) {
    return state.timestamp > other.timestamp ||
           (state.timestamp == other.timestamp && state.delivered && !other.delivered);
  }

  bool is_outdated(const DeliveryState& state) const {
    auto local = delivery_state(state.subscription, state.key);
    return local && std::pair(local->timestamp, local->delivered) > std::pair(state.timestamp, false);
  }

  bool has_noted(const DeliveryState& state) const {
    auto local = delivery_state(state.subscription, state.key);
    return local && local->timestamp >= state.timestamp;
  }

  void insert_record(const RecordHeader& header, const LogLocation& location) {
    auto found = streams_.find(header.stream);
    if (found == streams_.end()) return;
    Stream& stream = found->second;
    if (!is_too_far_ahead(header.timestamp)) last_timestamp_ = std::max(last_timestamp_, header.timestamp);
    const StoredRecord* previous = stream.records.find(header.key);
    bool is_current = !previous || header.timestamp > previous->timestamp ||
                      (header.timestamp == previous->timestamp &&
                       std::pair(header.content_hash, header.tombstone) >=
                           std::pair(previous->content_hash, previous->tombstone));
    compaction_.on_frame_added(location, is_current, header.timestamp.wall_time);
    StoredRecord record{header.key, header.timestamp, header.content_hash, location, 1, header.tombstone,
                        false};
    if (previous) {
      auto frame_count = static_cast<std::uint16_t>(std::min(UINT16_MAX, previous->frame_count + 1));
      if (!is_current) record = *previous;
      else compaction_.on_frame_dead(previous->location.segment, previous->location.bytes);
      record.frame_count = frame_count;
    } else {
      record.frame_count += stream.purged_keys.erase(header.key) > 0;
    }
    stream.records.upsert(record);
    if (!is_current) return;
    stream.tombstones.erase(header.key);
    if (header.tombstone) stream.tombstones[header.key];
    if (std::ranges::find(stream.settings.subscribers, header.direct_destination) !=
            stream.settings.subscribers.end() &&
        static_cast<double>(header.direct_until) > wall_)
      stream.direct_deliveries[{header.key, header.direct_destination}] = {header.timestamp,
                                                                           header.direct_until};
    for (auto destination : stream.settings.subscribers) {
      SubscriberState& subscriber = this->subscriber_state({header.stream, destination});
      subscriber.changed_keys.insert(header.key), subscriber.retries.erase(header.key);
    }
  }

  // Merges a delivery state. If it is higher than the local one, it is adopted and the host stores it.
  bool merge_delivery_state(const DeliveryState& state, bool is_local) {
    if (is_too_far_ahead(state.timestamp)) return false;
    SubscriberState& subscriber = this->subscriber_state(state.subscription);
    const StoredDeliveryState* previous = subscriber.delivery_states.find(state.key);
    if (previous && !supersedes(state, *previous)) return false;
    // Prevents delivery states of purged keys from circulating for ever, as with tombstones.
    if (!previous && !is_local && !find_record(state.subscription.stream, state.key) &&
        age(state.timestamp) >= streams_[state.subscription.stream].settings.tombstone_retention)
      return false;
    if (previous) compaction_.on_frame_dead(previous->segment, previous->frame_bytes);
    subscriber.delivery_states.upsert({state.key, state.timestamp, {}, 0, state.delivered});
    actions_.delivery_states.push_back(state);
    // The direct delivery has ended, so the next version need not wait.
    if (subscriber.had_lease && state.delivered && subscriber.retries.erase(state.key) > 0)
      subscriber.changed_keys.insert(state.key);
    return true;
  }

  void on_acknowledged(fleet::MemberId from, std::uint64_t sequence) {
    auto found = batches_.find(sequence);
    if (found == batches_.end()) return;
    Batch& batch = found->second;
    batch.acknowledged_by.insert(from);
    if (!batch.records.empty())
      for (const auto& one : std::exchange(batch.records, {})) actions_.replicated.push_back(one);
    if (static_cast<int>(batch.acknowledged_by.size()) + 1 >= leases_.majority())
      for (const auto& delivery : std::exchange(batch.deliveries, {})) begin_delivery(delivery);
    if (batch.deliveries.empty()) batches_.erase(found);
  }

  // A majority knows that the delivery of this version begins, so the next lease holder learns of it from
  // them.
  void begin_delivery(const Delivery& delivery) {
    SubscriberState& subscriber = this->subscriber_state(delivery.subscription);
    auto pending_delivery = subscriber.pending.find(delivery.key);
    if (pending_delivery == subscriber.pending.end() ||
        pending_delivery->second.timestamp != delivery.timestamp ||
        pending_delivery->second.stage != Stage::awaiting_majority)
      return;
    const StoredDeliveryState* stored_state = subscriber.delivery_states.find(delivery.key);
    const StoredRecord* record = find_record(delivery.subscription.stream, delivery.key);
    if (!leases_.is_held(delivery.subscription, now_) || !stored_state ||
        stored_state->timestamp != delivery.timestamp || stored_state->delivered || !record ||
        record->timestamp != delivery.timestamp) {
      subscriber.pending.erase(pending_delivery), subscriber.changed_keys.insert(delivery.key);
      return;
    }
    // This relay counts as one of the majority, so it must have stored the state itself, which fails when the
    // disk is full.
    if (stored_state->frame_bytes == 0) return on_delivery_ended(delivery, false);
    pending_delivery->second.stage = Stage::in_flight;
    actions_.deliver.push_back(delivery);
  }

  // --- Deliveries: rules for one subscriber, run until none fires.

  // The newest version if it is due to the subscriber, otherwise null.
  const StoredRecord* due_record(SubscriberState& subscriber, const KeyHash& key) {
    Stream& stream = streams_[subscriber.subscription.stream];
    const StoredRecord* record = stream.records.find(key);
    const StoredDeliveryState* stored_state = subscriber.delivery_states.find(key);
    if (!record ||
        (stored_state && (stored_state->timestamp > record->timestamp ||
                          (stored_state->timestamp == record->timestamp && stored_state->delivered))))
      return nullptr;
    // A version too far ahead of this relay's own clock cannot be noted, here or by others: it waits.
    if (is_too_far_ahead(record->timestamp)) {
      Millis ahead = -age(record->timestamp) - settings_.max_clock_offset;
      subscriber.retries[key].not_before = now_ + std::clamp(ahead, backoff_base, max_backoff);
      return nullptr;
    }
    // Prevents two transmissions of one document: if the document itself goes to this subscriber, that
    // delivery ends first.
    auto direct = stream.direct_deliveries.find({key, subscriber.subscription.subscriber});
    if (direct != stream.direct_deliveries.end()) {
      bool is_over =
          stored_state && stored_state->delivered && stored_state->timestamp >= direct->second.timestamp;
      if (!is_over && static_cast<double>(direct->second.end) > wall_) {
        auto& retry = subscriber.retries[key];
        retry.not_before = now_ + static_cast<double>(direct->second.end) - wall_;
        return nullptr;
      }
      stream.direct_deliveries.erase(direct);
    }
    return record;
  }
  bool has_delivery_lease(SubscriberState& subscriber) {
    return leases_.is_held(subscriber.subscription, now_) &&
           !leases_.is_handing_over(subscriber.subscription);
  }
  int free_slots(const SubscriberState& subscriber, bool backlog) const {
    bool impaired = impaired_.count(subscriber.subscription.subscriber) > 0;
    int limit = backlog ? (waiting_documents_ > 0 ? max_backlog_while_documents_wait : max_backlog_deliveries)
                        : max_changed_deliveries;
    if (subscriber.failures > 0 || impaired) limit = backlog && impaired ? 0 : 1;
    if (now_ < subscriber.paused_until) limit = 0;
    int in_flight = 0;
    for (const auto& [key, pending_delivery] : subscriber.pending)
      in_flight += !backlog || pending_delivery.is_backlog;
    if (backlog && static_cast<int>(subscriber.pending.size()) >= max_changed_deliveries) return 0;
    return limit - in_flight;
  }
  void propose_delivery(SubscriberState& subscriber, const StoredRecord& record, bool backlog) {
    Delivery delivery{subscriber.subscription, record.key, record.timestamp};
    DeliveryState state{subscriber.subscription, record.key, record.timestamp, false, 0};
    // Recorded here but not stored, as with a full disk: store it again.
    if (!merge_delivery_state(state, true) && subscriber.delivery_states.find(record.key)->frame_bytes == 0)
      actions_.delivery_states.push_back(state);
    subscriber.pending[record.key] = {record.timestamp, Stage::awaiting_majority, backlog, now_};
    deliveries_to_acknowledge_.push_back(delivery);
  }

  bool has_lost_lease(SubscriberState& subscriber) {
    return subscriber.had_lease && !leases_.is_held(subscriber.subscription, now_);
  }
  void on_lease_lost(SubscriberState& subscriber) {
    for (const auto& [key, pending_delivery] : subscriber.pending)
      if (pending_delivery.stage == Stage::in_flight)
        actions_.withdraw.push_back({subscriber.subscription, key, pending_delivery.timestamp});
    subscriber.pending.clear(), subscriber.changed_keys.clear(), subscriber.retries.clear();
    subscriber.scan_position.reset(), subscriber.had_lease = false, subscriber.failures = 0,
                                      subscriber.paused_until = 0;
    log_rate_limited("delivery lease lost for subscriber " + name(subscriber.subscription));
  }
  bool has_new_lease(SubscriberState& subscriber) {
    return !subscriber.had_lease && leases_.is_held(subscriber.subscription, now_);
  }
  void on_lease_gained(SubscriberState& subscriber) {
    subscriber.had_lease = true, subscriber.scan_position = KeyHash{}, subscriber.changed_keys.clear();
    log_rate_limited(
        "delivery lease acquired for subscriber " + name(subscriber.subscription),
        ", scanning " + std::to_string(streams_[subscriber.subscription.stream].records.size()) + " keys");
  }
  bool has_unacknowledged(SubscriberState& subscriber) {
    if (!has_delivery_lease(subscriber)) return false;
    return std::ranges::any_of(subscriber.pending, [&](const auto& at) {
      return at.second.stage == Stage::awaiting_majority &&
             now_ >= at.second.requested_at + acknowledge_timeout;
    });
  }
  void repeat_unacknowledged(SubscriberState& subscriber) {
    for (auto at = subscriber.pending.begin(); at != subscriber.pending.end();) {
      auto& [key, pending_delivery] = *at;
      if (pending_delivery.stage != Stage::awaiting_majority ||
          now_ < pending_delivery.requested_at + acknowledge_timeout) {
        ++at;
        continue;
      }
      const StoredRecord* record = due_record(subscriber, key);
      if (!record || record->timestamp != pending_delivery.timestamp) {
        // Delivery states of other relays changed which version is due.
        subscriber.changed_keys.insert(key), at = subscriber.pending.erase(at);
        continue;
      }
      pending_delivery.requested_at = now_,
      deliveries_to_acknowledge_.push_back({subscriber.subscription, key, pending_delivery.timestamp});
      ++at;
    }
  }
  bool has_changed_keys(SubscriberState& subscriber) {
    return !subscriber.changed_keys.empty() && has_delivery_lease(subscriber) &&
           free_slots(subscriber, false) > 0;
  }
  void propose_changed_key(SubscriberState& subscriber) {
    auto key = *subscriber.changed_keys.begin();
    subscriber.changed_keys.erase(subscriber.changed_keys.begin());
    if (subscriber.pending.count(key) || subscriber.retries.count(key))
      return;  // checked again when that ends
    if (const StoredRecord* record = due_record(subscriber, key))
      propose_delivery(subscriber, *record, false);
  }
  std::map<KeyHash, Retry>::iterator due_retry(SubscriberState& subscriber) {
    return std::ranges::find_if(subscriber.retries, [&](const auto& at) {
      return now_ >= at.second.not_before && !subscriber.pending.count(at.first);
    });
  }
  bool has_due_retry(SubscriberState& subscriber) {
    return has_delivery_lease(subscriber) && free_slots(subscriber, false) > 0 &&
           due_retry(subscriber) != subscriber.retries.end();
  }
  void propose_retry(SubscriberState& subscriber) {
    auto found = due_retry(subscriber);
    const KeyHash key = found->first;
    const StoredRecord* record = due_record(subscriber, key);
    if (record) return propose_delivery(subscriber, *record, true);
    found = subscriber.retries.find(key);
    if (found != subscriber.retries.end() && now_ >= found->second.not_before)
      subscriber.retries.erase(found);
  }
  bool has_backlog(SubscriberState& subscriber) {
    return subscriber.scan_position && scanned_keys_ < max_scanned_keys && has_delivery_lease(subscriber) &&
           free_slots(subscriber, true) > 0;
  }
  void propose_from_backlog(SubscriberState& subscriber) {
    const auto& records_by_key = streams_[subscriber.subscription.stream].records;
    while (scanned_keys_++ < max_scanned_keys) {
      const StoredRecord* record = records_by_key.lower_bound(*subscriber.scan_position);
      if (!record) {
        subscriber.scan_position.reset();
        return log_rate_limited("the backlog scan for subscriber " + name(subscriber.subscription) +
                                " has finished");
      }
      KeyHash key = record->key;
      subscriber.scan_position = KeyHash{key.high + (key.low == ~std::uint64_t{0}), key.low + 1};
      if (subscriber.pending.count(key) || subscriber.retries.count(key) ||
          subscriber.changed_keys.count(key))
        continue;
      if (const StoredRecord* due = this->due_record(subscriber, key))
        return propose_delivery(subscriber, *due, true);
    }
  }
  static constexpr fleet::Rule<CompactedLogImpl, SubscriberState> subscriber_rules[] = {
      {"lease lost", &CompactedLogImpl::has_lost_lease, &CompactedLogImpl::on_lease_lost},
      {"lease acquired", &CompactedLogImpl::has_new_lease, &CompactedLogImpl::on_lease_gained},
      {"not acknowledged by a majority", &CompactedLogImpl::has_unacknowledged,
       &CompactedLogImpl::repeat_unacknowledged},
      {"changed keys", &CompactedLogImpl::has_changed_keys, &CompactedLogImpl::propose_changed_key},
      {"retry due", &CompactedLogImpl::has_due_retry, &CompactedLogImpl::propose_retry},
      {"backlog", &CompactedLogImpl::has_backlog, &CompactedLogImpl::propose_from_backlog},
  };
  void deliver(SubscriberState& subscriber) {
    scanned_keys_ = 0;
    for (bool fired = true; fired;) {
      fired = false;
      for (const auto& rule : subscriber_rules)
        while ((this->*rule.when)(subscriber)) (this->*rule.then)(subscriber), fired = true;
    }
    if (!subscriber.had_lease) {
      // The next lease holder scans all keys.
      subscriber.changed_keys.clear();
      return;
    }
    if (scanned_keys_ >= max_scanned_keys) wake_at_ = now_;
    if (subscriber.paused_until > now_) wake_at_ = std::min(wake_at_, subscriber.paused_until);
    for (const auto& [key, retry] : subscriber.retries)
      if (retry.not_before > now_) wake_at_ = std::min(wake_at_, retry.not_before);
    for (const auto& [key, pending_delivery] : subscriber.pending)
      if (pending_delivery.stage == Stage::awaiting_majority)
        wake_at_ = std::min(wake_at_, pending_delivery.requested_at + acknowledge_timeout);
  }
  std::string name(const Subscription& subscription) {
    return std::to_string(static_cast<std::uint64_t>(subscription.subscriber)) + " of stream " +
           streams_[subscription.stream].settings.type;
  }

  // Sends this relay's new records and the states of deliveries to be acknowledged, one message for all
  // peers.
  void send_batches() {
    std::erase_if(batches_,
                  [&](const auto& at) { return now_ > at.second.sent_at + 10 * acknowledge_timeout; });
    bool alone = leases_.majority() <= 1;
    // Without other members, a delivery begins in the turn after its state was stored here.
    if (alone) {
      for (const auto& delivery : std::exchange(deliveries_after_store_, {})) begin_delivery(delivery);
      deliveries_after_store_ = std::exchange(deliveries_to_acknowledge_, {});
      if (!deliveries_after_store_.empty()) wake_at_ = now_;
    }
    while (!records_to_push_.empty() || !deliveries_to_acknowledge_.empty()) {
      auto sequence = ++last_sequence_;
      Batch& batch = batches_[sequence];
      batch.sent_at = now_;
      std::vector<std::pair<StreamId, KeyHash>> records;
      std::size_t bytes = 0;
      while (!records_to_push_.empty() && bytes < max_chunk_bytes) {
        auto [stream, key] = records_to_push_.front();
        if (const StoredRecord* record = find_record(stream, key)) {
          records.push_back({stream, key}), bytes += record->location.bytes;
          if (record->timestamp.origin == self_) batch.records.push_back({stream, record->timestamp});
        }
        records_to_push_.pop_front();
      }
      for (const auto& delivery : std::exchange(deliveries_to_acknowledge_, {}))
        batch.deliveries.push_back(delivery);
      for (auto& [id, peer] : peers_) {
        if (!peer.linked) continue;
        Outgoing one{id, {}, records, false};
        one.message.sequence = sequence;
        for (const auto& delivery : batch.deliveries)
          one.message.delivery_states.push_back({delivery.subscription, delivery.key, delivery.timestamp,
                                                 false, leases_.epoch(delivery.subscription)});
        actions_.sends.push_back(std::move(one));
      }
    }
    if (delivered_states_.empty()) return;
    for (auto& [id, peer] : peers_) {
      if (!peer.linked) continue;
      auto& states = message_to(id).delivery_states;
      states.insert(states.end(), delivered_states_.begin(), delivered_states_.end());
    }
    delivered_states_.clear();
  }

  // --- Anti-entropy: digests of ranges, then listings of small ones, then what differs.

  RangeDigest digest_of(const Subscription& subscription, bool of_states, std::uint64_t prefix, int bits) {
    RangeDigest range{subscription, of_states, prefix, static_cast<std::uint8_t>(bits), 0, 0};
    if (of_states) {
      auto sum = subscriber_state(subscription).delivery_states.sum(prefix, bits);
      range.sum = sum.sum, range.key_count = sum.key_count;
    } else {
      auto sum = streams_[subscription.stream].records.sum(prefix, bits);
      range.sum = sum.sum, range.key_count = sum.key_count;
    }
    return range;
  }

  void begin_compare(fleet::MemberId id, Peer& peer) {
    if (now_ >= peer.compare_at) {
      peer.compare_at =
          now_ + with_jitter(peer.has_differences ? compare_interval_if_different * (self_ < id ? 1 : 3)
                                                  : compare_interval);
      peer.has_differences = false;
      for (auto& [stream, held] : streams_)
        message_to(id).digests.push_back(digest_of({stream, {}}, false, 0, 0));
      for (auto& [subscription, subscriber] : subscribers_)
        message_to(id).digests.push_back(digest_of(subscription, true, 0, 0));
    }
    wake_at_ = std::min(wake_at_, peer.compare_at);
  }

  void compare(fleet::MemberId from, const RangeDigest& remote) {
    if (!streams_.count(remote.subscription.stream) || remote.prefix_bits > 64) return;
    std::uint64_t mask = remote.prefix_bits == 0 ? 0 : ~std::uint64_t{0} << (64 - remote.prefix_bits);
    if (remote.prefix & ~mask) return;
    auto local = digest_of(remote.subscription, remote.of_delivery_states, remote.prefix, remote.prefix_bits);
    if (local.sum == remote.sum && local.key_count == remote.key_count) return record_match(from, remote);
    peers_[from].has_differences = true;
    if (message_to(from).digests.size() > max_digests || message_to(from).listings.size() > max_listings)
      return;
    if (std::max(local.key_count, remote.key_count) > max_listed_keys &&
        remote.prefix_bits + split_bits <= max_prefix_bits) {
      for (int child = 0; child < 1 << split_bits; ++child) {
        int bits = remote.prefix_bits + split_bits;
        auto prefix = remote.prefix | static_cast<std::uint64_t>(child) << (64 - bits);
        message_to(from).digests.push_back(
            digest_of(remote.subscription, remote.of_delivery_states, prefix, bits));
      }
      return;
    }
    if (remote.of_delivery_states) {
      // A small range of delivery states is sent in full; the listing tells the other side what to answer
      // with its own.
      RangeListing listing{local, {}};
      subscriber_state(remote.subscription)
          .delivery_states.for_each(
              remote.prefix, remote.prefix_bits, [&](const StoredDeliveryState& stored_state) {
                listing.entries.push_back({stored_state.key, stored_state.timestamp, stored_state.delivered});
                message_to(from).delivery_states.push_back({remote.subscription, stored_state.key,
                                                            stored_state.timestamp, stored_state.delivered,
                                                            0});
              });
      return message_to(from).listings.push_back(std::move(listing));
    }
    RangeListing listing{local, {}};
    streams_[remote.subscription.stream].records.for_each(
        remote.prefix, remote.prefix_bits, [&](const StoredRecord& record) {
          listing.entries.push_back({record.key, record.timestamp, record.content_hash});
        });
    message_to(from).listings.push_back(std::move(listing));
  }

  void record_match(fleet::MemberId from, const RangeDigest& range) {
    if (range.of_delivery_states || range.prefix_bits > bucket_bits) return;
    auto& at = streams_[range.subscription.stream].matched_at.try_emplace(from).first->second;
    if (at[0] == 0) at.fill(-never);
    auto first = range.prefix_bits ? range.prefix >> (64 - bucket_bits) : 0;
    auto count = std::uint64_t{1} << (bucket_bits - range.prefix_bits);
    std::fill_n(at.begin() + static_cast<std::ptrdiff_t>(first), count, now_);
  }

  void answer_listing(fleet::MemberId from, const RangeListing& listing) {
    const auto& range = listing.range;
    if (!streams_.count(range.subscription.stream) || range.prefix_bits > 64) return;
    std::map<KeyHash, const KeySummary*> remote;
    for (const auto& entry : listing.entries) remote[entry.key] = &entry;
    if (range.of_delivery_states) {
      subscriber_state(range.subscription)
          .delivery_states.for_each(
              range.prefix, range.prefix_bits, [&](const StoredDeliveryState& stored_state) {
                auto found = remote.find(stored_state.key);
                bool known = found != remote.end() &&
                             std::pair(found->second->timestamp, found->second->content_hash > 0) >=
                                 std::pair(stored_state.timestamp, stored_state.delivered);
                if (!known)
                  message_to(from).delivery_states.push_back({range.subscription, stored_state.key,
                                                              stored_state.timestamp, stored_state.delivered,
                                                              0});
              });
      return;
    }
    const auto& records_by_key = streams_[range.subscription.stream].records;
    records_by_key.for_each(range.prefix, range.prefix_bits, [&](const StoredRecord& record) {
      auto found = remote.find(record.key);
      if (found == remote.end()) {
        if (!record.expired) queue_record(from, range.subscription.stream, record.key);
        return;
      }
      const KeySummary& entry = *found->second;
      if (record.timestamp > entry.timestamp ||
          (record.timestamp == entry.timestamp && record.content_hash != entry.content_hash))
        queue_record(from, range.subscription.stream, record.key);
    });
    for (const auto& [key, entry] : remote) {
      const StoredRecord* record = records_by_key.find(key);
      if (!record || entry->timestamp > record->timestamp ||
          (entry->timestamp == record->timestamp && entry->content_hash != record->content_hash))
        message_to(from).requested.push_back({range.subscription.stream, key});
    }
  }

  // The bytes sent to a peer are bounded; what is left out still differs and follows with a later comparison.
  void queue_record(fleet::MemberId peer, StreamId stream, const KeyHash& key) {
    const StoredRecord* record = find_record(stream, key);
    if (!record) return;
    auto& bytes = sent_bytes_[peer];
    if (bytes.first < now_) bytes = {now_, 0};
    if (bytes.second > max_chunk_bytes) return;
    bytes.second += record->location.bytes;
    auto& list = records_to_send_[peer];
    if (std::ranges::find(list, std::pair(stream, key)) == list.end())
      list.push_back({stream, key}), message_to(peer);
  }

  void on_lease_request(fleet::MemberId from, const LeaseRequest& request) {
    if (!streams_.count(request.subscription.stream)) return;
    auto response = leases_.on_request(from, request);
    if (request.release) return;
    message_to(from).lease_responses.push_back(response);
  }

  // --- Tombstones: retained for their retention time, until all subscribers have received them and no member
  // can still have an older record.

  void check_tombstones() {
    for (auto& [id, stream] : streams_) {
      std::vector<KeyHash> expired_keys;
      for (auto& [key, tombstone] : stream.tombstones) {
        const StoredRecord* record = stream.records.find(key);
        if (!record) continue;
        if (!record->expired && age(record->timestamp) >= stream.settings.tombstone_retention) {
          auto expired = *record;
          expired.expired = true, tombstone.expired_at = now_, stream.records.upsert(expired);
        } else if (record->expired && may_purge(id, stream, key, *record, tombstone)) {
          expired_keys.push_back(key);
        }
      }
      for (const auto& key : expired_keys) purge(id, stream, key);
      for (auto direct = stream.direct_deliveries.begin(); direct != stream.direct_deliveries.end();)
        direct = static_cast<double>(direct->second.end) <= wall_ ? stream.direct_deliveries.erase(direct)
                                                                  : std::next(direct);
    }
  }

  bool may_purge(StreamId id, Stream& stream, const KeyHash& key, const StoredRecord& record,
                 const Tombstone& tombstone) {
    // recovery would find the older record and take it for the newest
    if (record.frame_count > 1) return false;
    for (const auto& [peer, state] : peers_) {
      auto at = stream.matched_at.find(peer);
      if (at == stream.matched_at.end() || at->second[key.high >> (64 - bucket_bits)] <= tombstone.expired_at)
        return false;
    }
    for (auto subscription = subscribers_.lower_bound({id, {}});
         subscription != subscribers_.end() && subscription->first.stream == id; ++subscription) {
      const StoredDeliveryState* stored_state = subscription->second.delivery_states.find(key);
      if (!stored_state && !subscription->second.configured) continue;  // it left and never received the key
      if (!stored_state || stored_state->timestamp < record.timestamp || !stored_state->delivered)
        return false;
    }
    return true;
  }

  void purge(StreamId id, Stream& stream, const KeyHash& key) {
    const StoredRecord* record = stream.records.find(key);
    stream.highest_purged = std::max(stream.highest_purged, record->timestamp);
    compaction_.on_frame_dead(record->location.segment, record->location.bytes);
    stream.records.erase(key), stream.tombstones.erase(key), stream.purged_keys.insert(key);
    for (auto subscription = subscribers_.lower_bound({id, {}});
         subscription != subscribers_.end() && subscription->first.stream == id; ++subscription)
      if (const StoredDeliveryState* stored_state = subscription->second.delivery_states.find(key)) {
        compaction_.on_frame_dead(stored_state->segment, stored_state->frame_bytes);
        subscription->second.delivery_states.erase(key);
      }
  }

  bool move_delivery_state(const Moved& one) {
    auto found = subscribers_.find(one.subscription);
    const StoredDeliveryState* stored_state =
        found == subscribers_.end() ? nullptr : found->second.delivery_states.find(one.key);
    if (!stored_state || stored_state->segment != one.from.segment ||
        stored_state->timestamp != one.timestamp)
      return false;
    auto moved = *stored_state;
    moved.segment = one.to.segment, found->second.delivery_states.upsert(moved);
    return true;
  }
  bool move_record(const Moved& one) {
    auto found = streams_.find(one.subscription.stream);
    const StoredRecord* record = found == streams_.end() ? nullptr : found->second.records.find(one.key);
    if (!record || record->location != one.from) return false;
    auto moved = *record;
    moved.location = one.to, found->second.records.upsert(moved);
    return true;
  }

  const LatestSettings settings_;
  const fleet::MemberId self_;
  DeliveryLeases leases_;
  CompactionScheduler compaction_;
  std::minstd_rand random_;
  Millis now_ = 0, wall_ = 0, wake_at_ = 0, tombstone_check_at_ = 0;
  HybridTimestamp last_timestamp_;
  std::map<StreamId, Stream> streams_;
  std::map<Subscription, SubscriberState> subscribers_;
  std::set<Subscription> configured_subscriptions_;
  std::map<fleet::MemberId, Peer> peers_;
  std::map<std::uint64_t, Batch> batches_;
  std::uint64_t last_sequence_ = 0, compacted_bytes_ = 0;
  std::deque<std::pair<StreamId, KeyHash>> records_to_push_;
  std::vector<Delivery> deliveries_to_acknowledge_, deliveries_after_store_;
  std::vector<DeliveryState> delivered_states_;
  std::map<fleet::MemberId, LatestMessage> outgoing_;
  std::map<fleet::MemberId, std::vector<std::pair<StreamId, KeyHash>>> records_to_send_;
  std::map<fleet::MemberId, std::pair<Millis, std::size_t>> sent_bytes_;  // bytes of this turn
  std::set<fleet::MemberId> acknowledging_;
  std::set<DestinationId> impaired_;
  std::map<std::string, Millis> logged_at_;
  int waiting_documents_ = 0, scanned_keys_ = 0;
  Actions actions_;
};

}  // namespace

std::unique_ptr<CompactedLog> CompactedLog::make(const fleet::Roster& roster, fleet::MemberId self,
                                                 const LatestSettings& settings, std::uint64_t seed) {
  return std::make_unique<CompactedLogImpl>(roster, self, settings, seed);
}

}  // namespace rockcrank::latest
