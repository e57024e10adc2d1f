// The log per key without its bytes: the clock of versions, the newest of each key, the marks of subscribers,
// how both are made alike in all relays, and what is delivered next. latest.h says what is owned. Nothing
// here may take a mark back, or begin a delivery that a majority has not noted.

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
// Deliveries under way to one subscriber: of news, of a backlog, and of a backlog while documents wait.
constexpr int news_most = 32, backlog_most = 4, backlog_beside = 1;
constexpr Millis ladder_base = 1000, ladder_most = 60000;  // before a delivery that failed is tried again
constexpr double jitter = 0.2;
constexpr Millis note_again = 500;                        // a note that a majority did not answer
constexpr Millis compare_every = 1000, compare_on = 150;  // digests with each peer; while they differ
constexpr Millis tidy_every = 1000;                       // tombstones are looked at
constexpr Millis tell_again = 10000;                      // of the same kind and relay, one line
constexpr std::uint64_t list_most = 16;  // keys of a range that are listed rather than halved further
constexpr int bits_step = 4, bits_most = 60;
constexpr int scan_most = 2048;                          // keys looked at in one turn of a pass
constexpr std::size_t chunk_bytes = 128 * 1024;          // of records in one message
constexpr std::size_t sums_most = 512, lists_most = 64;  // in one message; what is left out comes later
constexpr int cell_bits = 8, cells = 1 << cell_bits;

struct Item {
  KeyHash key;
  HybridTimestamp stamp;
  std::uint64_t content = 0;
  LogLocation place;
  std::uint16_t frames = 1;  // of its key on disk, superseded ones too: a tombstone outlives them all
  bool tombstone = false, expired = false;
  // A tombstone past its life counts for nothing, so that one relay may drop it before another.
  std::uint64_t sum() const {
    return expired ? 0 : hash_combine(stamp, hash_combine(key.high, key.low) ^ content) | 1;
  }
};

struct Noted {
  KeyHash key;
  HybridTimestamp stamp;
  SegmentId segment{};
  std::uint16_t bytes = 0;  // of its frame there; 0: not kept yet
  bool had = false;
  std::uint64_t sum() const { return hash_combine(stamp, hash_combine(key.high, key.low) + had) | 1; }
};

struct Tombstone {
  Millis expired_at = never;  // by the loop's clock
};
struct Own {
  HybridTimestamp stamp;
  std::uint64_t until = 0;
};

struct Stream {
  StreamSettings settings;
  DigestTree<Item> items;
  std::map<KeyHash, Tombstone> tombstones;
  // Delivered to a subscriber by the document itself, until then.
  std::map<std::pair<KeyHash, DestinationId>, Own> own;
  std::set<KeyHash> ghosts;  // purged, with the tombstone's record on disk still
  std::map<fleet::MemberId, std::array<Millis, cells>> alike_at;  // when a cell was last found alike there
  HybridTimestamp purged;                                         // the highest that was
};

enum class Stage { noting, out };
struct Flight {
  HybridTimestamp stamp;
  Stage stage = Stage::noting;
  bool backlog = false;
  Millis since = 0;
};
struct Again {
  Millis not_before = 0;
  int failures = 0;
};
// One subscriber of one stream.
struct Reader {
  Subscription lane;
  DigestTree<Noted> marks;
  bool named = false;           // by the settings; else one that left, whose marks are kept
  std::optional<KeyHash> pass;  // of all keys: from here on; none: it is over
  std::set<KeyHash> news;       // changed since
  std::map<KeyHash, Again> again;
  std::map<KeyHash, Flight> flights;
  int failures = 0;
  Millis rests_until = 0;
  bool had_duty = false;
};

struct Peer {
  bool linked = false, alive = false, differs = false;
  Millis compare_at = 0;
};
// What waits for notes.
struct Batch {
  Millis sent = 0;
  std::set<fleet::MemberId> noted;
  std::vector<CompactedLog::Delivery> goings;
  std::vector<std::pair<StreamId, HybridTimestamp>> pushed;
};

class Keeper final : public CompactedLog {
 public:
  Keeper(const fleet::Roster& roster, fleet::MemberId self, const LatestSettings& settings,
         std::uint64_t seed)
      : settings_(settings),
        self_(self),
        duties_(roster, self),
        compaction_(settings),
        chance_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {
    for (const auto& member : roster)
      if (member.id != self) peers_[member.id];
    for (const auto& stream : settings.streams) {
      streams_[stream.id].settings = stream;
      for (auto subscriber : stream.subscribers) {
        Subscription lane{stream.id, subscriber};
        reader(lane).named = true, named_.insert(lane);
      }
    }
  }

  void begin_turn(Millis now, Millis wall) override {
    now_ = now, wall_ = wall;
    duties_.begin(now), compaction_.begin(now, wall);
  }

  void add_segment(SegmentId id, StreamId stream, bool sealed) override {
    compaction_.segment(id, stream, sealed);
  }
  void on_recovered(const RecordHeader& entry, const LogLocation& place) override { put(entry, place); }
  void on_recovered(const DeliveryState& mark, const LogLocation& place) override {
    if (!streams_.count(mark.subscription.stream)) return;
    Reader& reader = this->reader(mark.subscription);
    const Noted* before = reader.marks.find(mark.key);
    bool counts = !before || higher(mark, *before);
    compaction_.added(place, counts, 0);
    if (!counts) return;
    if (before) compaction_.dead(before->segment, before->bytes);
    reader.marks.upsert(
        {mark.key, mark.timestamp, place.segment, static_cast<std::uint16_t>(place.bytes), mark.delivered});
  }
  void on_record_unreadable(StreamId id, const KeyHash& key, const LogLocation& place) override {
    auto found = streams_.find(id);
    const Item* item = found == streams_.end() ? nullptr : found->second.items.find(key);
    if (!item || item->place != place) return;
    compaction_.dead(place.segment, place.bytes);
    found->second.tombstones.erase(key), found->second.items.erase(key);
  }

  void set_alive(const std::vector<fleet::MemberId>& members) override {
    duties_.alive(members);
    for (auto& [id, peer] : peers_) peer.alive = std::ranges::find(members, id) != members.end();
  }
  void on_link_change(fleet::MemberId id, bool up) override {
    auto found = peers_.find(id);
    if (found == peers_.end()) return;
    duties_.linked(id, up);
    // What was missed comes at once; the two do not both go through all that differs in the same moment.
    if (up && !found->second.linked) found->second.compare_at = now_ + (self_ < id ? 0 : compare_every / 2);
    found->second.linked = up;
  }

  // Wall time, but never back; heard stamps push it on, up to what may lie ahead.
  std::optional<HybridTimestamp> next_timestamp(StreamId stream, const KeyHash& key) override {
    auto wall = static_cast<std::uint64_t>(std::max(0.0, wall_));
    if (last_.wall_time > wall && static_cast<double>(last_.wall_time) > wall_ + settings_.max_clock_offset)
      return std::nullopt;
    if (last_.wall_time >= wall) ++last_.counter;
    else last_.wall_time = wall, last_.counter = 0;
    last_.origin = self_;
    const Item* item = find(stream, key);
    return item && item->stamp >= last_ ? std::nullopt : std::optional(last_);
  }

  RecordCheck check_record(const RecordHeader& entry) override {
    auto found = streams_.find(entry.stream);
    if (found == streams_.end()) return RecordCheck::not_newer;  // of no stream here: nothing to keep it for
    if (is_ahead(entry.timestamp)) return RecordCheck::too_far_ahead;
    Stream& stream = found->second;
    const Item* item = stream.items.find(entry.key);
    if (!item) {
      // Guards against a tombstone that goes round for ever between relays that drop it at different moments.
      if (entry.tombstone && age(entry.timestamp) >= stream.settings.tombstone_retention)
        return RecordCheck::not_newer;
      if (entry.timestamp <= stream.purged && !entry.tombstone)
        tell("a key that may have ended is back, as from an old folder, in stream " + stream.settings.type);
      return RecordCheck::newer;
    }
    if (entry.timestamp != item->stamp)
      return entry.timestamp > item->stamp ? RecordCheck::newer : RecordCheck::not_newer;
    auto content = std::pair(entry.content_hash, entry.tombstone),
         here = std::pair(item->content, item->tombstone);
    return content == here  ? RecordCheck::not_newer
           : content > here ? RecordCheck::conflict_replace_local
                            : RecordCheck::conflict_keep_local;
  }

  void on_record_stored(const RecordHeader& entry, const LogLocation& place, bool own) override {
    put(entry, place);
    if (own) pushes_.push_back({entry.stream, entry.key});
  }

  void on_delivery_state_stored(const DeliveryState& mark, const LogLocation& place) override {
    Reader& reader = this->reader(mark.subscription);
    const Noted* noted = reader.marks.find(mark.key);
    bool counts =
        noted && noted->stamp == mark.timestamp && noted->had == mark.delivered && noted->bytes == 0;
    compaction_.added(place, counts, 0);
    if (!counts) return;
    auto kept = *noted;
    kept.segment = place.segment, kept.bytes = static_cast<std::uint16_t>(place.bytes);
    reader.marks.upsert(kept);
  }

  void on_message(fleet::MemberId from, const LatestMessage& message, bool kept_all) override {
    auto peer = peers_.find(from);
    if (peer == peers_.end()) return;
    bool valid = kept_all;
    for (const auto& mark : message.delivery_states) {
      if (!streams_.count(mark.subscription.stream)) continue;
      // A note of one whose duty is over must not count, though what it tells does; nor of a version older
      // than what this relay has noted, or one that was had: as every two majorities share a member, whoever
      // has the duty next cannot take a key back, also where it knows nothing of what went before.
      if (mark.epoch > 0 && (!duties_.holds(mark.subscription, from, mark.epoch) || is_past(mark))) {
        valid = false;
        if (auto here = delivery_state(mark.subscription, mark.key))
          to(from).delivery_states.push_back(*here);
      }
      take(mark, mark.epoch > 0);
    }
    for (auto number : message.acknowledged) noted(from, number);
    for (const auto& sum : message.digests) compare(from, sum);
    for (const auto& listing : message.listings) answer(from, listing);
    for (const auto& want : message.requested) give(from, want.stream, want.key);
    for (const auto& ask : message.lease_requests) vote(from, ask);
    for (const auto& grant : message.lease_responses) duties_.granted(from, grant);
    if (message.sequence > 0 && valid) to(from).acknowledged.push_back(message.sequence), notes_.insert(from);
  }

  void on_delivery_ended(const Delivery& delivery, bool delivered) override {
    Reader& reader = this->reader(delivery.subscription);
    auto flight = reader.flights.find(delivery.key);
    bool ours = flight != reader.flights.end() && flight->second.stamp == delivery.timestamp;
    if (ours) reader.flights.erase(flight);
    if (delivered) {
      DeliveryState mark{delivery.subscription, delivery.key, delivery.timestamp, true, 0};
      if (take(mark, true)) told_.push_back(mark);
      reader.failures = 0, reader.rests_until = 0, reader.again.erase(delivery.key);
      reader.news.insert(delivery.key);  // a newer one may have come meanwhile
    } else if (ours) {
      // Its next attempt is a delivery of its own, of whatever is the newest then.
      Again& again = reader.again[delivery.key];
      again.not_before = now_ + varied(ladder(++again.failures));
      // Guards against deliveries that fail together, each of which would lengthen the rest: they tell of one
      // failure.
      if (now_ >= reader.rests_until) reader.rests_until = now_ + varied(ladder(++reader.failures));
    }
  }
  void set_waiting_documents(int waiting) override { waiting_ = waiting, compaction_.documents(waiting); }
  void set_destination_impaired(DestinationId destination, bool rests) override {
    if (rests) rests_.insert(destination);
    else rests_.erase(destination);
  }
  bool has_delivery_lease(const Subscription& lane, Millis now) const override {
    return duties_.has(lane, now);
  }
  void release_leases() override { duties_.leave(); }

  bool is_live(const RecordHeader& entry, const LogLocation& place) const override {
    auto found = streams_.find(entry.stream);
    const Item* item = found == streams_.end() ? nullptr : found->second.items.find(entry.key);
    return item && item->place == place;
  }
  bool is_live(const DeliveryState& mark, SegmentId segment) const override {
    auto found = readers_.find(mark.subscription);
    const Noted* noted = found == readers_.end() ? nullptr : found->second.marks.find(mark.key);
    return noted && noted->segment == segment && noted->bytes > 0 && noted->stamp == mark.timestamp &&
           noted->had == mark.delivered;
  }
  void on_compacted(SegmentId old, const std::vector<Moved>& moved,
                    const std::vector<DroppedRecord>& dropped) override {
    for (const auto& one : moved) {
      bool counts = one.is_delivery_state ? move_mark(one) : move_item(one);
      compaction_.added(one.to, counts, one.is_delivery_state ? 0 : one.timestamp.wall_time);
      compacted_bytes_ += one.to.bytes;
    }
    for (const auto& [id, key] : dropped) {
      Stream& stream = streams_[id];
      if (const Item* item = stream.items.find(key); item && item->frames > 1) {
        auto less = *item;
        --less.frames, stream.items.upsert(less);
      } else if (!item) {
        stream.ghosts.erase(key);
      }
    }
    compaction_.removed(old), compaction_.ended(old, true);
  }
  void on_compaction_failed(SegmentId old, const std::vector<Moved>& copied) override {
    for (const auto& one : copied) {
      compaction_.added(one.to, false, one.is_delivery_state ? 0 : one.timestamp.wall_time);
      if (one.is_delivery_state) continue;
      auto& items = streams_[one.subscription.stream].items;
      const Item* item = items.find(one.key);
      if (!item) continue;
      auto more = *item;
      more.frames = static_cast<std::uint16_t>(std::min(UINT16_MAX, more.frames + 1)), items.upsert(more);
    }
    compaction_.ended(old, false);
  }

  Actions decide() override {
    for (auto& ask : duties_.decide(
             named_, [this](const Subscription& lane) { return reader(lane).flights.empty(); }, chance_)) {
      to(ask.to).lease_requests.push_back(std::move(ask.ask));
    }
    due_ = std::min(duties_.due(), now_ + tidy_every);
    for (const Subscription& lane : named_) deliver(reader(lane));
    if (now_ >= tidy_at_) tidy_at_ = now_ + tidy_every, tidy();
    for (auto& [id, peer] : peers_)
      if (peer.linked) begin_compare(id, peer);
    send_batches();
    done_.compact = compaction_.decide(done_.log);
    for (auto& [id, message] : out_)
      if (peers_[id].linked)
        done_.sends.push_back({id, std::move(message), std::move(gives_[id]), notes_.count(id) > 0});
    out_.clear(), gives_.clear(), notes_.clear();
    due_ = std::min(due_, compaction_.due());
    done_.wake_in = std::max(0.0, due_ - now_);
    return std::exchange(done_, {});
  }

  std::optional<LogLocation> newest_location(StreamId stream, const KeyHash& key) const override {
    const Item* item = find(stream, key);
    return item ? std::optional(item->place) : std::nullopt;
  }
  std::optional<HybridTimestamp> newest_timestamp(StreamId stream, const KeyHash& key) const override {
    const Item* item = find(stream, key);
    return item ? std::optional(item->stamp) : std::nullopt;
  }
  std::optional<KeyHash> find_key(StreamId stream, std::uint64_t high) const override {
    auto found = streams_.find(stream);
    const Item* item = found == streams_.end() ? nullptr : found->second.items.lower_bound({high, 0});
    return item && item->key.high == high ? std::optional(item->key) : std::nullopt;
  }
  std::optional<DeliveryState> delivery_state(const Subscription& lane, const KeyHash& key) const override {
    auto found = readers_.find(lane);
    const Noted* noted = found == readers_.end() ? nullptr : found->second.marks.find(key);
    return noted ? std::optional(DeliveryState{lane, key, noted->stamp, noted->had, 0}) : std::nullopt;
  }
  std::uint64_t digest(StreamId stream) const override {
    auto found = streams_.find(stream);
    return found == streams_.end() ? 0 : found->second.items.sum(0, 0).sum;
  }
  std::uint64_t digest(const Subscription& lane) const override {
    auto found = readers_.find(lane);
    return found == readers_.end() ? 0 : found->second.marks.sum(0, 0).sum;
  }
  bool is_caught_up(const Subscription& lane) const override {
    auto found = readers_.find(lane);
    if (found == readers_.end() || !duties_.has(lane, now_)) return false;
    const Reader& reader = found->second;
    return reader.had_duty && !reader.pass && reader.news.empty() && reader.again.empty() &&
           reader.flights.empty();
  }
  Usage usage() const override {
    Usage usage;
    for (const auto& [id, stream] : streams_)
      usage.keys += stream.items.size(), usage.memory_bytes += stream.items.memory_bytes();
    for (const auto& [lane, reader] : readers_)
      usage.delivery_states += reader.marks.size(), usage.memory_bytes += reader.marks.memory_bytes();
    usage.live_bytes = compaction_.live(), usage.segment_bytes = compaction_.bytes();
    usage.segments = compaction_.count(), usage.compacted_bytes = compacted_bytes_;
    return usage;
  }

 private:
  double drawn(double low, double high) { return std::uniform_real_distribution<double>(low, high)(chance_); }
  Millis varied(Millis pause) { return pause * drawn(1 - jitter, 1 + jitter); }
  static Millis ladder(int failures) {
    return std::min(ladder_most, ladder_base * std::exp2(std::min(failures, 16) - 1));
  }
  Millis age(const HybridTimestamp& stamp) const { return wall_ - static_cast<double>(stamp.wall_time); }
  bool is_ahead(const HybridTimestamp& stamp) const { return -age(stamp) > settings_.max_clock_offset; }
  // One line of a kind in a while.
  void tell(const std::string& line, const std::string& detail = {}) {
    auto [told, fresh] = told_at_.try_emplace(line, now_);
    if (!fresh && now_ < told->second + tell_again) return;
    told->second = now_, done_.log.push_back(line + detail);
  }

  const Item* find(StreamId stream, const KeyHash& key) const {
    auto found = streams_.find(stream);
    return found == streams_.end() ? nullptr : found->second.items.find(key);
  }
  Reader& reader(const Subscription& lane) {
    Reader& reader = readers_[lane];
    reader.lane = lane;
    return reader;
  }
  LatestMessage& to(fleet::MemberId peer) { return out_[peer]; }

  static bool higher(const DeliveryState& mark, const Noted& than) {
    return mark.timestamp > than.stamp || (mark.timestamp == than.stamp && mark.delivered && !than.had);
  }

  bool is_past(const DeliveryState& mark) const {
    auto here = delivery_state(mark.subscription, mark.key);
    return here && std::pair(here->timestamp, here->delivered) > std::pair(mark.timestamp, false);
  }

  void put(const RecordHeader& entry, const LogLocation& place) {
    auto found = streams_.find(entry.stream);
    if (found == streams_.end()) return;
    Stream& stream = found->second;
    if (!is_ahead(entry.timestamp)) last_ = std::max(last_, entry.timestamp);
    const Item* before = stream.items.find(entry.key);
    bool counts = !before || entry.timestamp > before->stamp ||
                  (entry.timestamp == before->stamp && std::pair(entry.content_hash, entry.tombstone) >=
                                                           std::pair(before->content, before->tombstone));
    compaction_.added(place, counts, entry.timestamp.wall_time);
    Item item{entry.key, entry.timestamp, entry.content_hash, place, 1, entry.tombstone, false};
    if (before) {
      auto frames = static_cast<std::uint16_t>(std::min(UINT16_MAX, before->frames + 1));
      if (!counts) item = *before;
      else compaction_.dead(before->place.segment, before->place.bytes);
      item.frames = frames;
    } else {
      item.frames += stream.ghosts.erase(entry.key) > 0;
    }
    stream.items.upsert(item);
    if (!counts) return;
    stream.tombstones.erase(entry.key);
    if (entry.tombstone) stream.tombstones[entry.key];
    if (std::ranges::find(stream.settings.subscribers, entry.direct_destination) !=
            stream.settings.subscribers.end() &&
        static_cast<double>(entry.direct_until) > wall_)
      stream.own[{entry.key, entry.direct_destination}] = {entry.timestamp, entry.direct_until};
    for (auto subscriber : stream.settings.subscribers) {
      Reader& reader = this->reader({entry.stream, subscriber});
      reader.news.insert(entry.key), reader.again.erase(entry.key);
    }
  }

  // A mark is higher than the one here: it is kept by the host, and counts.
  bool take(const DeliveryState& mark, bool fresh) {
    if (is_ahead(mark.timestamp)) return false;
    Reader& reader = this->reader(mark.subscription);
    const Noted* before = reader.marks.find(mark.key);
    if (before && !higher(mark, *before)) return false;
    // Guards against marks of purged keys that go round for ever, as tombstones would.
    if (!before && !fresh && !find(mark.subscription.stream, mark.key) &&
        age(mark.timestamp) >= streams_[mark.subscription.stream].settings.tombstone_retention)
      return false;
    if (before) compaction_.dead(before->segment, before->bytes);
    reader.marks.upsert({mark.key, mark.timestamp, {}, 0, mark.delivered});
    done_.delivery_states.push_back(mark);
    // What went there by itself ended: the next one need not wait.
    if (reader.had_duty && mark.delivered && reader.again.erase(mark.key) > 0) reader.news.insert(mark.key);
    return true;
  }

  void noted(fleet::MemberId from, std::uint64_t number) {
    auto found = batches_.find(number);
    if (found == batches_.end()) return;
    Batch& batch = found->second;
    batch.noted.insert(from);
    if (!batch.pushed.empty())
      for (const auto& one : std::exchange(batch.pushed, {})) done_.replicated.push_back(one);
    if (static_cast<int>(batch.noted.size()) + 1 >= duties_.majority())
      for (const auto& going : std::exchange(batch.goings, {})) go(going);
    if (batch.goings.empty()) batches_.erase(found);
  }

  // A majority knows that this version is about to go: whoever has the duty next learns it from them.
  void go(const Delivery& going) {
    Reader& reader = this->reader(going.subscription);
    auto flight = reader.flights.find(going.key);
    if (flight == reader.flights.end() || flight->second.stamp != going.timestamp ||
        flight->second.stage != Stage::noting)
      return;
    const Noted* noted = reader.marks.find(going.key);
    const Item* item = find(going.subscription.stream, going.key);
    if (!duties_.has(going.subscription, now_) || !noted || noted->stamp != going.timestamp || noted->had ||
        !item || item->stamp != going.timestamp) {
      reader.flights.erase(flight), reader.news.insert(going.key);
      return;
    }
    // Guards against a full disk: this relay is one of the majority, so it must have kept the note itself.
    if (noted->bytes == 0) return on_delivery_ended(going, false);
    flight->second.stage = Stage::out;
    done_.deliver.push_back(going);
  }

  // --- Deliveries: rules of one reader, run until none fires.

  // None where nothing is to go; else the newest.
  const Item* owed(Reader& reader, const KeyHash& key) {
    Stream& stream = streams_[reader.lane.stream];
    const Item* item = stream.items.find(key);
    const Noted* noted = reader.marks.find(key);
    if (!item || (noted && (noted->stamp > item->stamp || (noted->stamp == item->stamp && noted->had))))
      return nullptr;
    // Guards against two transmissions of one document: where it goes there itself, that ends first.
    auto own = stream.own.find({key, reader.lane.subscriber});
    if (own != stream.own.end()) {
      bool over = noted && noted->had && noted->stamp >= own->second.stamp;
      if (!over && static_cast<double>(own->second.until) > wall_) {
        auto& again = reader.again[key];
        again.not_before = now_ + static_cast<double>(own->second.until) - wall_;
        return nullptr;
      }
      stream.own.erase(own);
    }
    return item;
  }
  bool has_delivery_lease(Reader& reader) {
    return duties_.has(reader.lane, now_) && !duties_.yields(reader.lane);
  }
  int room(const Reader& reader, bool backlog) const {
    bool rests = rests_.count(reader.lane.subscriber) > 0;
    int most = backlog ? (waiting_ > 0 ? backlog_beside : backlog_most) : news_most;
    if (reader.failures > 0 || rests) most = backlog && rests ? 0 : 1;
    if (now_ < reader.rests_until) most = 0;
    int under_way = 0;
    for (const auto& [key, flight] : reader.flights) under_way += !backlog || flight.backlog;
    if (backlog && static_cast<int>(reader.flights.size()) >= news_most) return 0;
    return most - under_way;
  }
  void begin_flight(Reader& reader, const Item& item, bool backlog) {
    Delivery going{reader.lane, item.key, item.stamp};
    DeliveryState mark{reader.lane, item.key, item.stamp, false, 0};
    // Noted here already, but not kept, as on a full disk: once more.
    if (!take(mark, true) && reader.marks.find(item.key)->bytes == 0) done_.delivery_states.push_back(mark);
    reader.flights[item.key] = {item.stamp, Stage::noting, backlog, now_};
    goings_.push_back(going);
  }

  bool has_lost_duty(Reader& reader) { return reader.had_duty && !duties_.has(reader.lane, now_); }
  void lose_duty(Reader& reader) {
    for (const auto& [key, flight] : reader.flights)
      if (flight.stage == Stage::out) done_.withdraw.push_back({reader.lane, key, flight.stamp});
    reader.flights.clear(), reader.news.clear(), reader.again.clear();
    reader.pass.reset(), reader.had_duty = false, reader.failures = 0, reader.rests_until = 0;
    tell("duty lost for subscriber " + name(reader.lane));
  }
  bool has_new_duty(Reader& reader) { return !reader.had_duty && duties_.has(reader.lane, now_); }
  void gain_duty(Reader& reader) {
    reader.had_duty = true, reader.pass = KeyHash{}, reader.news.clear();
    tell("duty for subscriber " + name(reader.lane),
         ", a pass over " + std::to_string(streams_[reader.lane.stream].items.size()) + " keys");
  }
  bool has_stale_note(Reader& reader) {
    if (!has_delivery_lease(reader)) return false;
    return std::ranges::any_of(reader.flights, [&](const auto& at) {
      return at.second.stage == Stage::noting && now_ >= at.second.since + note_again;
    });
  }
  void note_anew(Reader& reader) {
    for (auto at = reader.flights.begin(); at != reader.flights.end();) {
      auto& [key, flight] = *at;
      if (flight.stage != Stage::noting || now_ < flight.since + note_again) {
        ++at;
        continue;
      }
      const Item* item = owed(reader, key);
      if (!item || item->stamp != flight.stamp) {
        // What others know makes another version the one to go, or none.
        reader.news.insert(key), at = reader.flights.erase(at);
        continue;
      }
      flight.since = now_, goings_.push_back({reader.lane, key, flight.stamp});
      ++at;
    }
  }
  bool has_news(Reader& reader) {
    return !reader.news.empty() && has_delivery_lease(reader) && room(reader, false) > 0;
  }
  void send_news(Reader& reader) {
    auto key = *reader.news.begin();
    reader.news.erase(reader.news.begin());
    if (reader.flights.count(key) || reader.again.count(key)) return;  // looked at again when that ends
    if (const Item* item = owed(reader, key)) begin_flight(reader, *item, false);
  }
  std::map<KeyHash, Again>::iterator due_again(Reader& reader) {
    return std::ranges::find_if(reader.again, [&](const auto& at) {
      return now_ >= at.second.not_before && !reader.flights.count(at.first);
    });
  }
  bool has_again(Reader& reader) {
    return has_delivery_lease(reader) && room(reader, false) > 0 && due_again(reader) != reader.again.end();
  }
  void send_again(Reader& reader) {
    auto found = due_again(reader);
    const KeyHash key = found->first;
    const Item* item = owed(reader, key);
    if (item) return begin_flight(reader, *item, true);
    found = reader.again.find(key);
    if (found != reader.again.end() && now_ >= found->second.not_before) reader.again.erase(found);
  }
  bool has_backlog(Reader& reader) {
    return reader.pass && scanned_ < scan_most && has_delivery_lease(reader) && room(reader, true) > 0;
  }
  void send_backlog(Reader& reader) {
    const auto& items = streams_[reader.lane.stream].items;
    while (scanned_++ < scan_most) {
      const Item* item = items.lower_bound(*reader.pass);
      if (!item) {
        reader.pass.reset();
        return tell("the pass for subscriber " + name(reader.lane) + " is over");
      }
      KeyHash key = item->key;
      reader.pass = KeyHash{key.high + (key.low == ~std::uint64_t{0}), key.low + 1};
      if (reader.flights.count(key) || reader.again.count(key) || reader.news.count(key)) continue;
      if (const Item* owed = this->owed(reader, key)) return begin_flight(reader, *owed, true);
    }
  }
  static constexpr fleet::Rule<Keeper, Reader> reader_rules[] = {
      {"the duty is lost", &Keeper::has_lost_duty, &Keeper::lose_duty},
      {"the duty is new", &Keeper::has_new_duty, &Keeper::gain_duty},
      {"a majority did not note it", &Keeper::has_stale_note, &Keeper::note_anew},
      {"news", &Keeper::has_news, &Keeper::send_news},
      {"failed before", &Keeper::has_again, &Keeper::send_again},
      {"backlog", &Keeper::has_backlog, &Keeper::send_backlog},
  };
  void deliver(Reader& reader) {
    scanned_ = 0;
    for (bool fired = true; fired;) {
      fired = false;
      for (const auto& rule : reader_rules)
        while ((this->*rule.when)(reader)) (this->*rule.then)(reader), fired = true;
    }
    if (!reader.had_duty) {
      // Whoever gets the duty goes over all keys.
      reader.news.clear();
      return;
    }
    if (scanned_ >= scan_most) due_ = now_;
    if (reader.rests_until > now_) due_ = std::min(due_, reader.rests_until);
    for (const auto& [key, again] : reader.again)
      if (again.not_before > now_) due_ = std::min(due_, again.not_before);
    for (const auto& [key, flight] : reader.flights)
      if (flight.stage == Stage::noting) due_ = std::min(due_, flight.since + note_again);
  }
  std::string name(const Subscription& lane) {
    return std::to_string(static_cast<std::uint64_t>(lane.subscriber)) + " of stream " +
           streams_[lane.stream].settings.type;
  }

  // Records of this relay and notes of deliveries, one message for all peers.
  void send_batches() {
    std::erase_if(batches_, [&](const auto& at) { return now_ > at.second.sent + 10 * note_again; });
    bool alone = duties_.majority() <= 1;
    // With nobody else to note it, it goes once it is kept here: in the next turn.
    if (alone) {
      for (const auto& going : std::exchange(kept_next_, {})) go(going);
      kept_next_ = std::exchange(goings_, {});
      if (!kept_next_.empty()) due_ = now_;
    }
    while (!pushes_.empty() || !goings_.empty()) {
      auto number = ++batch_;
      Batch& batch = batches_[number];
      batch.sent = now_;
      std::vector<std::pair<StreamId, KeyHash>> records;
      std::size_t bytes = 0;
      while (!pushes_.empty() && bytes < chunk_bytes) {
        auto [stream, key] = pushes_.front();
        if (const Item* item = find(stream, key)) {
          records.push_back({stream, key}), bytes += item->place.bytes;
          if (item->stamp.origin == self_) batch.pushed.push_back({stream, item->stamp});
        }
        pushes_.pop_front();
      }
      for (const auto& going : std::exchange(goings_, {})) batch.goings.push_back(going);
      for (auto& [id, peer] : peers_) {
        if (!peer.linked) continue;
        Outgoing one{id, {}, records, false};
        one.message.sequence = number;
        for (const auto& going : batch.goings)
          one.message.delivery_states.push_back(
              {going.subscription, going.key, going.timestamp, false, duties_.epoch(going.subscription)});
        done_.sends.push_back(std::move(one));
      }
    }
    if (told_.empty()) return;
    for (auto& [id, peer] : peers_) {
      if (!peer.linked) continue;
      auto& marks = to(id).delivery_states;
      marks.insert(marks.end(), told_.begin(), told_.end());
    }
    told_.clear();
  }

  // --- Made alike: digests of ranges, then lists of small ones, then what differs.

  RangeDigest sum_of(const Subscription& lane, bool marks, std::uint64_t prefix, int bits) {
    RangeDigest range{lane, marks, prefix, static_cast<std::uint8_t>(bits), 0, 0};
    if (marks) {
      auto sum = reader(lane).marks.sum(prefix, bits);
      range.sum = sum.sum, range.key_count = sum.key_count;
    } else {
      auto sum = streams_[lane.stream].items.sum(prefix, bits);
      range.sum = sum.sum, range.key_count = sum.key_count;
    }
    return range;
  }

  void begin_compare(fleet::MemberId id, Peer& peer) {
    if (now_ >= peer.compare_at) {
      peer.compare_at = now_ + varied(peer.differs ? compare_on * (self_ < id ? 1 : 3) : compare_every);
      peer.differs = false;
      for (auto& [stream, held] : streams_) to(id).digests.push_back(sum_of({stream, {}}, false, 0, 0));
      for (auto& [lane, reader] : readers_) to(id).digests.push_back(sum_of(lane, true, 0, 0));
    }
    due_ = std::min(due_, peer.compare_at);
  }

  void compare(fleet::MemberId from, const RangeDigest& theirs) {
    if (!streams_.count(theirs.subscription.stream) || theirs.prefix_bits > 64) return;
    std::uint64_t mask = theirs.prefix_bits == 0 ? 0 : ~std::uint64_t{0} << (64 - theirs.prefix_bits);
    if (theirs.prefix & ~mask) return;
    auto here = sum_of(theirs.subscription, theirs.of_delivery_states, theirs.prefix, theirs.prefix_bits);
    if (here.sum == theirs.sum && here.key_count == theirs.key_count) return alike(from, theirs);
    peers_[from].differs = true;
    if (to(from).digests.size() > sums_most || to(from).listings.size() > lists_most) return;
    if (std::max(here.key_count, theirs.key_count) > list_most &&
        theirs.prefix_bits + bits_step <= bits_most) {
      for (int child = 0; child < 1 << bits_step; ++child) {
        int bits = theirs.prefix_bits + bits_step;
        auto prefix = theirs.prefix | static_cast<std::uint64_t>(child) << (64 - bits);
        to(from).digests.push_back(sum_of(theirs.subscription, theirs.of_delivery_states, prefix, bits));
      }
      return;
    }
    if (theirs.of_delivery_states) {
      // Small, so they go themselves; the listing tells which, for the other to answer with its own.
      RangeListing listing{here, {}};
      reader(theirs.subscription).marks.for_each(theirs.prefix, theirs.prefix_bits, [&](const Noted& noted) {
        listing.entries.push_back({noted.key, noted.stamp, noted.had});
        to(from).delivery_states.push_back({theirs.subscription, noted.key, noted.stamp, noted.had, 0});
      });
      return to(from).listings.push_back(std::move(listing));
    }
    RangeListing listing{here, {}};
    streams_[theirs.subscription.stream].items.for_each(
        theirs.prefix, theirs.prefix_bits, [&](const Item& item) {
          listing.entries.push_back({item.key, item.stamp, item.content});
        });
    to(from).listings.push_back(std::move(listing));
  }

  void alike(fleet::MemberId from, const RangeDigest& range) {
    if (range.of_delivery_states || range.prefix_bits > cell_bits) return;
    auto& at = streams_[range.subscription.stream].alike_at.try_emplace(from).first->second;
    if (at[0] == 0) at.fill(-never);
    auto first = range.prefix_bits ? range.prefix >> (64 - cell_bits) : 0;
    auto count = std::uint64_t{1} << (cell_bits - range.prefix_bits);
    std::fill_n(at.begin() + static_cast<std::ptrdiff_t>(first), count, now_);
  }

  void answer(fleet::MemberId from, const RangeListing& listing) {
    const auto& range = listing.range;
    if (!streams_.count(range.subscription.stream) || range.prefix_bits > 64) return;
    std::map<KeyHash, const KeySummary*> theirs;
    for (const auto& line : listing.entries) theirs[line.key] = &line;
    if (range.of_delivery_states) {
      reader(range.subscription).marks.for_each(range.prefix, range.prefix_bits, [&](const Noted& noted) {
        auto found = theirs.find(noted.key);
        bool known =
            found != theirs.end() && std::pair(found->second->timestamp, found->second->content_hash > 0) >=
                                         std::pair(noted.stamp, noted.had);
        if (!known)
          to(from).delivery_states.push_back({range.subscription, noted.key, noted.stamp, noted.had, 0});
      });
      return;
    }
    const auto& items = streams_[range.subscription.stream].items;
    items.for_each(range.prefix, range.prefix_bits, [&](const Item& item) {
      auto found = theirs.find(item.key);
      if (found == theirs.end()) {
        if (!item.expired) give(from, range.subscription.stream, item.key);
        return;
      }
      const KeySummary& line = *found->second;
      if (item.stamp > line.timestamp || (item.stamp == line.timestamp && item.content != line.content_hash))
        give(from, range.subscription.stream, item.key);
    });
    for (const auto& [key, line] : theirs) {
      const Item* item = items.find(key);
      if (!item || line->timestamp > item->stamp ||
          (line->timestamp == item->stamp && line->content_hash != item->content))
        to(from).requested.push_back({range.subscription.stream, key});
    }
  }

  // What waits for a peer is bounded; what is left out differs still, and comes with a later comparison.
  void give(fleet::MemberId peer, StreamId stream, const KeyHash& key) {
    const Item* item = find(stream, key);
    if (!item) return;
    auto& bytes = given_[peer];
    if (bytes.first < now_) bytes = {now_, 0};
    if (bytes.second > chunk_bytes) return;
    bytes.second += item->place.bytes;
    auto& list = gives_[peer];
    if (std::ranges::find(list, std::pair(stream, key)) == list.end())
      list.push_back({stream, key}), to(peer);
  }

  void vote(fleet::MemberId from, const LeaseRequest& ask) {
    if (!streams_.count(ask.subscription.stream)) return;
    auto grant = duties_.vote(from, ask);
    if (ask.release) return;
    to(from).lease_responses.push_back(grant);
  }

  // --- Tombstones: kept for their life, until all subscribers are past them and all members are known to
  // have nothing older.

  void tidy() {
    for (auto& [id, stream] : streams_) {
      std::vector<KeyHash> over;
      for (auto& [key, tombstone] : stream.tombstones) {
        const Item* item = stream.items.find(key);
        if (!item) continue;
        if (!item->expired && age(item->stamp) >= stream.settings.tombstone_retention) {
          auto expired = *item;
          expired.expired = true, tombstone.expired_at = now_, stream.items.upsert(expired);
        } else if (item->expired && may_purge(id, stream, key, *item, tombstone)) {
          over.push_back(key);
        }
      }
      for (const auto& key : over) purge(id, stream, key);
      for (auto own = stream.own.begin(); own != stream.own.end();)
        own = static_cast<double>(own->second.until) <= wall_ ? stream.own.erase(own) : std::next(own);
    }
  }

  bool may_purge(StreamId id, Stream& stream, const KeyHash& key, const Item& item,
                 const Tombstone& tombstone) {
    if (item.frames > 1) return false;  // a start would find the older one, and take it for the newest
    for (const auto& [peer, state] : peers_) {
      auto at = stream.alike_at.find(peer);
      if (at == stream.alike_at.end() || at->second[key.high >> (64 - cell_bits)] <= tombstone.expired_at)
        return false;
    }
    for (auto lane = readers_.lower_bound({id, {}}); lane != readers_.end() && lane->first.stream == id;
         ++lane) {
      const Noted* noted = lane->second.marks.find(key);
      if (!noted && !lane->second.named) continue;  // it left, and never had the key
      if (!noted || noted->stamp < item.stamp || !noted->had) return false;
    }
    return true;
  }

  void purge(StreamId id, Stream& stream, const KeyHash& key) {
    const Item* item = stream.items.find(key);
    stream.purged = std::max(stream.purged, item->stamp);
    compaction_.dead(item->place.segment, item->place.bytes);
    stream.items.erase(key), stream.tombstones.erase(key), stream.ghosts.insert(key);
    for (auto lane = readers_.lower_bound({id, {}}); lane != readers_.end() && lane->first.stream == id;
         ++lane)
      if (const Noted* noted = lane->second.marks.find(key)) {
        compaction_.dead(noted->segment, noted->bytes);
        lane->second.marks.erase(key);
      }
  }

  bool move_mark(const Moved& one) {
    auto found = readers_.find(one.subscription);
    const Noted* noted = found == readers_.end() ? nullptr : found->second.marks.find(one.key);
    if (!noted || noted->segment != one.from.segment || noted->stamp != one.timestamp) return false;
    auto moved = *noted;
    moved.segment = one.to.segment, found->second.marks.upsert(moved);
    return true;
  }
  bool move_item(const Moved& one) {
    auto found = streams_.find(one.subscription.stream);
    const Item* item = found == streams_.end() ? nullptr : found->second.items.find(one.key);
    if (!item || item->place != one.from) return false;
    auto moved = *item;
    moved.place = one.to, found->second.items.upsert(moved);
    return true;
  }

  const LatestSettings settings_;
  const fleet::MemberId self_;
  Duties duties_;
  Compaction compaction_;
  std::minstd_rand chance_;
  Millis now_ = 0, wall_ = 0, due_ = 0, tidy_at_ = 0;
  HybridTimestamp last_;
  std::map<StreamId, Stream> streams_;
  std::map<Subscription, Reader> readers_;
  std::set<Subscription> named_;
  std::map<fleet::MemberId, Peer> peers_;
  std::map<std::uint64_t, Batch> batches_;
  std::uint64_t batch_ = 0, compacted_bytes_ = 0;
  std::deque<std::pair<StreamId, KeyHash>> pushes_;
  std::vector<Delivery> goings_, kept_next_;
  std::vector<DeliveryState> told_;
  std::map<fleet::MemberId, LatestMessage> out_;
  std::map<fleet::MemberId, std::vector<std::pair<StreamId, KeyHash>>> gives_;
  std::map<fleet::MemberId, std::pair<Millis, std::size_t>> given_;  // bytes of this turn
  std::set<fleet::MemberId> notes_;
  std::set<DestinationId> rests_;
  std::map<std::string, Millis> told_at_;
  int waiting_ = 0, scanned_ = 0;
  Actions done_;
};

}  // namespace

std::unique_ptr<CompactedLog> CompactedLog::make(const fleet::Roster& roster, fleet::MemberId self,
                                                 const LatestSettings& settings, std::uint64_t seed) {
  return std::make_unique<Keeper>(roster, self, settings, seed);
}

}  // namespace rockcrank::latest
