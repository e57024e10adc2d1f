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
#include "latest/duty.h"
#include "latest/shelf.h"

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
  Stamp stamp;
  std::uint64_t content = 0;
  Place place;
  std::uint16_t frames = 1;  // of its key on disk, superseded ones too: a tombstone outlives them all
  bool tombstone = false, expired = false;
  // A tombstone past its life counts for nothing, so that one relay may drop it before another.
  std::uint64_t sum() const { return expired ? 0 : mixed(stamp, mixed(key.high, key.low) ^ content) | 1; }
};

struct Noted {
  KeyHash key;
  Stamp stamp;
  SegmentId segment{};
  std::uint16_t bytes = 0;  // of its frame there; 0: not kept yet
  bool had = false;
  std::uint64_t sum() const { return mixed(stamp, mixed(key.high, key.low) + had) | 1; }
};

struct Tombstone {
  Millis expired_at = never;  // by the loop's clock
};
struct Own {
  Stamp stamp;
  std::uint64_t until = 0;
};

struct Stream {
  StreamSettings settings;
  Shelf<Item> items;
  std::map<KeyHash, Tombstone> tombstones;
  // Delivered to a subscriber by the document itself, until then.
  std::map<std::pair<KeyHash, DestinationId>, Own> own;
  std::set<KeyHash> ghosts;  // purged, with the tombstone's record on disk still
  std::map<fleet::MemberId, std::array<Millis, cells>> alike_at;  // when a cell was last found alike there
  Stamp purged;                                                   // the highest that was
};

enum class Stage { noting, out };
struct Flight {
  Stamp stamp;
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
  Lane lane;
  Shelf<Noted> marks;
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
  std::vector<Latest::Delivery> goings;
  std::vector<std::pair<StreamId, Stamp>> pushed;
};

class Keeper final : public Latest {
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
        Lane lane{stream.id, subscriber};
        reader(lane).named = true, named_.insert(lane);
      }
    }
  }

  void begin(Millis now, Millis wall) override {
    now_ = now, wall_ = wall;
    duties_.begin(now), compaction_.begin(now, wall);
  }

  void segment(SegmentId id, StreamId stream, bool sealed) override {
    compaction_.segment(id, stream, sealed);
  }
  void recovered(const Entry& entry, const Place& place) override { put(entry, place); }
  void recovered(const Mark& mark, const Place& place) override {
    if (!streams_.count(mark.lane.stream)) return;
    Reader& reader = this->reader(mark.lane);
    const Noted* before = reader.marks.find(mark.key);
    bool counts = !before || higher(mark, *before);
    compaction_.added(place, counts, 0);
    if (!counts) return;
    if (before) compaction_.dead(before->segment, before->bytes);
    reader.marks.put(
        {mark.key, mark.stamp, place.segment, static_cast<std::uint16_t>(place.bytes), mark.had});
  }
  void lost(StreamId id, const KeyHash& key, const Place& place) override {
    auto found = streams_.find(id);
    const Item* item = found == streams_.end() ? nullptr : found->second.items.find(key);
    if (!item || item->place != place) return;
    compaction_.dead(place.segment, place.bytes);
    found->second.tombstones.erase(key), found->second.items.erase(key);
  }

  void alive(const std::vector<fleet::MemberId>& members) override {
    duties_.alive(members);
    for (auto& [id, peer] : peers_) peer.alive = std::ranges::find(members, id) != members.end();
  }
  void linked(fleet::MemberId id, bool up) override {
    auto found = peers_.find(id);
    if (found == peers_.end()) return;
    duties_.linked(id, up);
    // What was missed comes at once; the two do not both go through all that differs in the same moment.
    if (up && !found->second.linked) found->second.compare_at = now_ + (self_ < id ? 0 : compare_every / 2);
    found->second.linked = up;
  }

  // Wall time, but never back; heard stamps push it on, up to what may lie ahead.
  std::optional<Stamp> stamp(StreamId stream, const KeyHash& key) override {
    auto wall = static_cast<std::uint64_t>(std::max(0.0, wall_));
    if (last_.wall > wall && static_cast<double>(last_.wall) > wall_ + settings_.version_ahead)
      return std::nullopt;
    if (last_.wall >= wall) ++last_.count;
    else last_.wall = wall, last_.count = 0;
    last_.origin = self_;
    const Item* item = find(stream, key);
    return item && item->stamp >= last_ ? std::nullopt : std::optional(last_);
  }

  Verdict judge(const Entry& entry) override {
    auto found = streams_.find(entry.stream);
    if (found == streams_.end()) return Verdict::known;  // of no stream here: nothing to keep it for
    if (is_ahead(entry.stamp)) return Verdict::ahead;
    Stream& stream = found->second;
    const Item* item = stream.items.find(entry.key);
    if (!item) {
      // Guards against a tombstone that goes round for ever between relays that drop it at different moments.
      if (entry.tombstone && age(entry.stamp) >= stream.settings.tombstone_life) return Verdict::known;
      if (entry.stamp <= stream.purged && !entry.tombstone)
        tell("a key that may have ended is back, as from an old folder, in stream " + stream.settings.type);
      return Verdict::newer;
    }
    if (entry.stamp != item->stamp) return entry.stamp > item->stamp ? Verdict::newer : Verdict::known;
    auto content = std::pair(entry.content, entry.tombstone),
         here = std::pair(item->content, item->tombstone);
    return content == here ? Verdict::known : content > here ? Verdict::replaces : Verdict::differs;
  }

  void stored(const Entry& entry, const Place& place, bool own) override {
    put(entry, place);
    if (own) pushes_.push_back({entry.stream, entry.key});
  }

  void mark_kept(const Mark& mark, const Place& place) override {
    Reader& reader = this->reader(mark.lane);
    const Noted* noted = reader.marks.find(mark.key);
    bool counts = noted && noted->stamp == mark.stamp && noted->had == mark.had && noted->bytes == 0;
    compaction_.added(place, counts, 0);
    if (!counts) return;
    auto kept = *noted;
    kept.segment = place.segment, kept.bytes = static_cast<std::uint16_t>(place.bytes);
    reader.marks.put(kept);
  }

  void heard(fleet::MemberId from, const LatestMessage& message, bool kept_all) override {
    auto peer = peers_.find(from);
    if (peer == peers_.end()) return;
    bool valid = kept_all;
    for (const auto& mark : message.marks) {
      if (!streams_.count(mark.lane.stream)) continue;
      // A note of one whose duty is over must not count, though what it tells does; nor of a version older
      // than what this relay has noted, or one that was had: as every two majorities share a member, whoever
      // has the duty next cannot take a key back, also where it knows nothing of what went before.
      if (mark.epoch > 0 && (!duties_.holds(mark.lane, from, mark.epoch) || is_past(mark))) {
        valid = false;
        if (auto here = position(mark.lane, mark.key)) to(from).marks.push_back(*here);
      }
      take(mark, mark.epoch > 0);
    }
    for (auto number : message.noted) noted(from, number);
    for (const auto& sum : message.sums) compare(from, sum);
    for (const auto& listing : message.listings) answer(from, listing);
    for (const auto& want : message.wanted) give(from, want.stream, want.key);
    for (const auto& ask : message.asks) vote(from, ask);
    for (const auto& grant : message.grants) duties_.granted(from, grant);
    if (message.number > 0 && valid) to(from).noted.push_back(message.number), notes_.insert(from);
  }

  void ended(const Delivery& delivery, bool delivered) override {
    Reader& reader = this->reader(delivery.lane);
    auto flight = reader.flights.find(delivery.key);
    bool ours = flight != reader.flights.end() && flight->second.stamp == delivery.stamp;
    if (ours) reader.flights.erase(flight);
    if (delivered) {
      Mark mark{delivery.lane, delivery.key, delivery.stamp, true, 0};
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
  void documents(int waiting) override { waiting_ = waiting, compaction_.documents(waiting); }
  void rests(DestinationId destination, bool rests) override {
    if (rests) rests_.insert(destination);
    else rests_.erase(destination);
  }
  bool has_duty(const Lane& lane, Millis now) const override { return duties_.has(lane, now); }
  void leave() override { duties_.leave(); }

  bool keeps(const Entry& entry, const Place& place) const override {
    auto found = streams_.find(entry.stream);
    const Item* item = found == streams_.end() ? nullptr : found->second.items.find(entry.key);
    return item && item->place == place;
  }
  bool keeps(const Mark& mark, SegmentId segment) const override {
    auto found = readers_.find(mark.lane);
    const Noted* noted = found == readers_.end() ? nullptr : found->second.marks.find(mark.key);
    return noted && noted->segment == segment && noted->bytes > 0 && noted->stamp == mark.stamp &&
           noted->had == mark.had;
  }
  void compacted(SegmentId old, const std::vector<Moved>& moved,
                 const std::vector<Dropped>& dropped) override {
    for (const auto& one : moved) {
      bool counts = one.mark ? move_mark(one) : move_item(one);
      compaction_.added(one.to, counts, one.mark ? 0 : one.stamp.wall);
      compacted_bytes_ += one.to.bytes;
    }
    for (const auto& [id, key] : dropped) {
      Stream& stream = streams_[id];
      if (const Item* item = stream.items.find(key); item && item->frames > 1) {
        auto less = *item;
        --less.frames, stream.items.put(less);
      } else if (!item) {
        stream.ghosts.erase(key);
      }
    }
    compaction_.removed(old), compaction_.ended(old, true);
  }
  void not_compacted(SegmentId old, const std::vector<Moved>& copied) override {
    for (const auto& one : copied) {
      compaction_.added(one.to, false, one.mark ? 0 : one.stamp.wall);
      if (one.mark) continue;
      auto& items = streams_[one.lane.stream].items;
      const Item* item = items.find(one.key);
      if (!item) continue;
      auto more = *item;
      more.frames = static_cast<std::uint16_t>(std::min(UINT16_MAX, more.frames + 1)), items.put(more);
    }
    compaction_.ended(old, false);
  }

  Decided decide() override {
    for (auto& ask : duties_.decide(
             named_, [this](const Lane& lane) { return reader(lane).flights.empty(); }, chance_)) {
      to(ask.to).asks.push_back(std::move(ask.ask));
    }
    due_ = std::min(duties_.due(), now_ + tidy_every);
    for (const Lane& lane : named_) deliver(reader(lane));
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

  std::optional<Place> newest(StreamId stream, const KeyHash& key) const override {
    const Item* item = find(stream, key);
    return item ? std::optional(item->place) : std::nullopt;
  }
  std::optional<Stamp> newest_stamp(StreamId stream, const KeyHash& key) const override {
    const Item* item = find(stream, key);
    return item ? std::optional(item->stamp) : std::nullopt;
  }
  std::optional<KeyHash> key_of(StreamId stream, std::uint64_t high) const override {
    auto found = streams_.find(stream);
    const Item* item = found == streams_.end() ? nullptr : found->second.items.from({high, 0});
    return item && item->key.high == high ? std::optional(item->key) : std::nullopt;
  }
  std::optional<Mark> position(const Lane& lane, const KeyHash& key) const override {
    auto found = readers_.find(lane);
    const Noted* noted = found == readers_.end() ? nullptr : found->second.marks.find(key);
    return noted ? std::optional(Mark{lane, key, noted->stamp, noted->had, 0}) : std::nullopt;
  }
  std::uint64_t digest(StreamId stream) const override {
    auto found = streams_.find(stream);
    return found == streams_.end() ? 0 : found->second.items.sum(0, 0).sum;
  }
  std::uint64_t digest(const Lane& lane) const override {
    auto found = readers_.find(lane);
    return found == readers_.end() ? 0 : found->second.marks.sum(0, 0).sum;
  }
  bool caught_up(const Lane& lane) const override {
    auto found = readers_.find(lane);
    if (found == readers_.end() || !duties_.has(lane, now_)) return false;
    const Reader& reader = found->second;
    return reader.had_duty && !reader.pass && reader.news.empty() && reader.again.empty() &&
           reader.flights.empty();
  }
  Usage usage() const override {
    Usage usage;
    for (const auto& [id, stream] : streams_)
      usage.keys += stream.items.size(), usage.memory_bytes += stream.items.memory();
    for (const auto& [lane, reader] : readers_)
      usage.marks += reader.marks.size(), usage.memory_bytes += reader.marks.memory();
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
  Millis age(const Stamp& stamp) const { return wall_ - static_cast<double>(stamp.wall); }
  bool is_ahead(const Stamp& stamp) const { return -age(stamp) > settings_.version_ahead; }
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
  Reader& reader(const Lane& lane) {
    Reader& reader = readers_[lane];
    reader.lane = lane;
    return reader;
  }
  LatestMessage& to(fleet::MemberId peer) { return out_[peer]; }

  static bool higher(const Mark& mark, const Noted& than) {
    return mark.stamp > than.stamp || (mark.stamp == than.stamp && mark.had && !than.had);
  }

  bool is_past(const Mark& mark) const {
    auto here = position(mark.lane, mark.key);
    return here && std::pair(here->stamp, here->had) > std::pair(mark.stamp, false);
  }

  void put(const Entry& entry, const Place& place) {
    auto found = streams_.find(entry.stream);
    if (found == streams_.end()) return;
    Stream& stream = found->second;
    if (!is_ahead(entry.stamp)) last_ = std::max(last_, entry.stamp);
    const Item* before = stream.items.find(entry.key);
    bool counts = !before || entry.stamp > before->stamp ||
                  (entry.stamp == before->stamp && std::pair(entry.content, entry.tombstone) >=
                                                       std::pair(before->content, before->tombstone));
    compaction_.added(place, counts, entry.stamp.wall);
    Item item{entry.key, entry.stamp, entry.content, place, 1, entry.tombstone, false};
    if (before) {
      auto frames = static_cast<std::uint16_t>(std::min(UINT16_MAX, before->frames + 1));
      if (!counts) item = *before;
      else compaction_.dead(before->place.segment, before->place.bytes);
      item.frames = frames;
    } else {
      item.frames += stream.ghosts.erase(entry.key) > 0;
    }
    stream.items.put(item);
    if (!counts) return;
    stream.tombstones.erase(entry.key);
    if (entry.tombstone) stream.tombstones[entry.key];
    if (std::ranges::find(stream.settings.subscribers, entry.own) != stream.settings.subscribers.end() &&
        static_cast<double>(entry.own_until) > wall_)
      stream.own[{entry.key, entry.own}] = {entry.stamp, entry.own_until};
    for (auto subscriber : stream.settings.subscribers) {
      Reader& reader = this->reader({entry.stream, subscriber});
      reader.news.insert(entry.key), reader.again.erase(entry.key);
    }
  }

  // A mark is higher than the one here: it is kept by the host, and counts.
  bool take(const Mark& mark, bool fresh) {
    if (is_ahead(mark.stamp)) return false;
    Reader& reader = this->reader(mark.lane);
    const Noted* before = reader.marks.find(mark.key);
    if (before && !higher(mark, *before)) return false;
    // Guards against marks of purged keys that go round for ever, as tombstones would.
    if (!before && !fresh && !find(mark.lane.stream, mark.key) &&
        age(mark.stamp) >= streams_[mark.lane.stream].settings.tombstone_life)
      return false;
    if (before) compaction_.dead(before->segment, before->bytes);
    reader.marks.put({mark.key, mark.stamp, {}, 0, mark.had});
    done_.marks.push_back(mark);
    // What went there by itself ended: the next one need not wait.
    if (reader.had_duty && mark.had && reader.again.erase(mark.key) > 0) reader.news.insert(mark.key);
    return true;
  }

  void noted(fleet::MemberId from, std::uint64_t number) {
    auto found = batches_.find(number);
    if (found == batches_.end()) return;
    Batch& batch = found->second;
    batch.noted.insert(from);
    if (!batch.pushed.empty())
      for (const auto& one : std::exchange(batch.pushed, {})) done_.copied.push_back(one);
    if (static_cast<int>(batch.noted.size()) + 1 >= duties_.majority())
      for (const auto& going : std::exchange(batch.goings, {})) go(going);
    if (batch.goings.empty()) batches_.erase(found);
  }

  // A majority knows that this version is about to go: whoever has the duty next learns it from them.
  void go(const Delivery& going) {
    Reader& reader = this->reader(going.lane);
    auto flight = reader.flights.find(going.key);
    if (flight == reader.flights.end() || flight->second.stamp != going.stamp ||
        flight->second.stage != Stage::noting)
      return;
    const Noted* noted = reader.marks.find(going.key);
    const Item* item = find(going.lane.stream, going.key);
    if (!duties_.has(going.lane, now_) || !noted || noted->stamp != going.stamp || noted->had || !item ||
        item->stamp != going.stamp) {
      reader.flights.erase(flight), reader.news.insert(going.key);
      return;
    }
    // Guards against a full disk: this relay is one of the majority, so it must have kept the note itself.
    if (noted->bytes == 0) return ended(going, false);
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
  bool has_duty(Reader& reader) { return duties_.has(reader.lane, now_) && !duties_.yields(reader.lane); }
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
    Mark mark{reader.lane, item.key, item.stamp, false, 0};
    // Noted here already, but not kept, as on a full disk: once more.
    if (!take(mark, true) && reader.marks.find(item.key)->bytes == 0) done_.marks.push_back(mark);
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
    if (!has_duty(reader)) return false;
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
    return !reader.news.empty() && has_duty(reader) && room(reader, false) > 0;
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
    return has_duty(reader) && room(reader, false) > 0 && due_again(reader) != reader.again.end();
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
    return reader.pass && scanned_ < scan_most && has_duty(reader) && room(reader, true) > 0;
  }
  void send_backlog(Reader& reader) {
    const auto& items = streams_[reader.lane.stream].items;
    while (scanned_++ < scan_most) {
      const Item* item = items.from(*reader.pass);
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
  std::string name(const Lane& lane) {
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
        one.message.number = number;
        for (const auto& going : batch.goings)
          one.message.marks.push_back({going.lane, going.key, going.stamp, false, duties_.epoch(going.lane)});
        done_.sends.push_back(std::move(one));
      }
    }
    if (told_.empty()) return;
    for (auto& [id, peer] : peers_) {
      if (!peer.linked) continue;
      auto& marks = to(id).marks;
      marks.insert(marks.end(), told_.begin(), told_.end());
    }
    told_.clear();
  }

  // --- Made alike: digests of ranges, then lists of small ones, then what differs.

  RangeSum sum_of(const Lane& lane, bool marks, std::uint64_t prefix, int bits) {
    RangeSum range{lane, marks, prefix, static_cast<std::uint8_t>(bits), 0, 0};
    if (marks) {
      auto sum = reader(lane).marks.sum(prefix, bits);
      range.sum = sum.sum, range.keys = sum.keys;
    } else {
      auto sum = streams_[lane.stream].items.sum(prefix, bits);
      range.sum = sum.sum, range.keys = sum.keys;
    }
    return range;
  }

  void begin_compare(fleet::MemberId id, Peer& peer) {
    if (now_ >= peer.compare_at) {
      peer.compare_at = now_ + varied(peer.differs ? compare_on * (self_ < id ? 1 : 3) : compare_every);
      peer.differs = false;
      for (auto& [stream, held] : streams_) to(id).sums.push_back(sum_of({stream, {}}, false, 0, 0));
      for (auto& [lane, reader] : readers_) to(id).sums.push_back(sum_of(lane, true, 0, 0));
    }
    due_ = std::min(due_, peer.compare_at);
  }

  void compare(fleet::MemberId from, const RangeSum& theirs) {
    if (!streams_.count(theirs.lane.stream) || theirs.bits > 64) return;
    std::uint64_t mask = theirs.bits == 0 ? 0 : ~std::uint64_t{0} << (64 - theirs.bits);
    if (theirs.prefix & ~mask) return;
    auto here = sum_of(theirs.lane, theirs.marks, theirs.prefix, theirs.bits);
    if (here.sum == theirs.sum && here.keys == theirs.keys) return alike(from, theirs);
    peers_[from].differs = true;
    if (to(from).sums.size() > sums_most || to(from).listings.size() > lists_most) return;
    if (std::max(here.keys, theirs.keys) > list_most && theirs.bits + bits_step <= bits_most) {
      for (int child = 0; child < 1 << bits_step; ++child) {
        int bits = theirs.bits + bits_step;
        auto prefix = theirs.prefix | static_cast<std::uint64_t>(child) << (64 - bits);
        to(from).sums.push_back(sum_of(theirs.lane, theirs.marks, prefix, bits));
      }
      return;
    }
    if (theirs.marks) {
      // Small, so they go themselves; the listing tells which, for the other to answer with its own.
      Listing listing{here, {}};
      reader(theirs.lane).marks.each(theirs.prefix, theirs.bits, [&](const Noted& noted) {
        listing.lines.push_back({noted.key, noted.stamp, noted.had});
        to(from).marks.push_back({theirs.lane, noted.key, noted.stamp, noted.had, 0});
      });
      return to(from).listings.push_back(std::move(listing));
    }
    Listing listing{here, {}};
    streams_[theirs.lane.stream].items.each(theirs.prefix, theirs.bits, [&](const Item& item) {
      listing.lines.push_back({item.key, item.stamp, item.content});
    });
    to(from).listings.push_back(std::move(listing));
  }

  void alike(fleet::MemberId from, const RangeSum& range) {
    if (range.marks || range.bits > cell_bits) return;
    auto& at = streams_[range.lane.stream].alike_at.try_emplace(from).first->second;
    if (at[0] == 0) at.fill(-never);
    auto first = range.bits ? range.prefix >> (64 - cell_bits) : 0;
    auto count = std::uint64_t{1} << (cell_bits - range.bits);
    std::fill_n(at.begin() + static_cast<std::ptrdiff_t>(first), count, now_);
  }

  void answer(fleet::MemberId from, const Listing& listing) {
    const auto& range = listing.range;
    if (!streams_.count(range.lane.stream) || range.bits > 64) return;
    std::map<KeyHash, const Line*> theirs;
    for (const auto& line : listing.lines) theirs[line.key] = &line;
    if (range.marks) {
      reader(range.lane).marks.each(range.prefix, range.bits, [&](const Noted& noted) {
        auto found = theirs.find(noted.key);
        bool known = found != theirs.end() && std::pair(found->second->stamp, found->second->content > 0) >=
                                                  std::pair(noted.stamp, noted.had);
        if (!known) to(from).marks.push_back({range.lane, noted.key, noted.stamp, noted.had, 0});
      });
      return;
    }
    const auto& items = streams_[range.lane.stream].items;
    items.each(range.prefix, range.bits, [&](const Item& item) {
      auto found = theirs.find(item.key);
      if (found == theirs.end()) {
        if (!item.expired) give(from, range.lane.stream, item.key);
        return;
      }
      const Line& line = *found->second;
      if (item.stamp > line.stamp || (item.stamp == line.stamp && item.content != line.content))
        give(from, range.lane.stream, item.key);
    });
    for (const auto& [key, line] : theirs) {
      const Item* item = items.find(key);
      if (!item || line->stamp > item->stamp ||
          (line->stamp == item->stamp && line->content != item->content))
        to(from).wanted.push_back({range.lane.stream, key});
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

  void vote(fleet::MemberId from, const Ask& ask) {
    if (!streams_.count(ask.lane.stream)) return;
    auto grant = duties_.vote(from, ask);
    if (ask.release) return;
    to(from).grants.push_back(grant);
  }

  // --- Tombstones: kept for their life, until all subscribers are past them and all members are known to
  // have nothing older.

  void tidy() {
    for (auto& [id, stream] : streams_) {
      std::vector<KeyHash> over;
      for (auto& [key, tombstone] : stream.tombstones) {
        const Item* item = stream.items.find(key);
        if (!item) continue;
        if (!item->expired && age(item->stamp) >= stream.settings.tombstone_life) {
          auto expired = *item;
          expired.expired = true, tombstone.expired_at = now_, stream.items.put(expired);
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
    auto found = readers_.find(one.lane);
    const Noted* noted = found == readers_.end() ? nullptr : found->second.marks.find(one.key);
    if (!noted || noted->segment != one.from.segment || noted->stamp != one.stamp) return false;
    auto moved = *noted;
    moved.segment = one.to.segment, found->second.marks.put(moved);
    return true;
  }
  bool move_item(const Moved& one) {
    auto found = streams_.find(one.lane.stream);
    const Item* item = found == streams_.end() ? nullptr : found->second.items.find(one.key);
    if (!item || item->place != one.from) return false;
    auto moved = *item;
    moved.place = one.to, found->second.items.put(moved);
    return true;
  }

  const LatestSettings settings_;
  const fleet::MemberId self_;
  Duties duties_;
  Compaction compaction_;
  std::minstd_rand chance_;
  Millis now_ = 0, wall_ = 0, due_ = 0, tidy_at_ = 0;
  Stamp last_;
  std::map<StreamId, Stream> streams_;
  std::map<Lane, Reader> readers_;
  std::set<Lane> named_;
  std::map<fleet::MemberId, Peer> peers_;
  std::map<std::uint64_t, Batch> batches_;
  std::uint64_t batch_ = 0, compacted_bytes_ = 0;
  std::deque<std::pair<StreamId, KeyHash>> pushes_;
  std::vector<Delivery> goings_, kept_next_;
  std::vector<Mark> told_;
  std::map<fleet::MemberId, LatestMessage> out_;
  std::map<fleet::MemberId, std::vector<std::pair<StreamId, KeyHash>>> gives_;
  std::map<fleet::MemberId, std::pair<Millis, std::size_t>> given_;  // bytes of this turn
  std::set<fleet::MemberId> notes_;
  std::set<DestinationId> rests_;
  std::map<std::string, Millis> told_at_;
  int waiting_ = 0, scanned_ = 0;
  Decided done_;
};

}  // namespace

std::unique_ptr<Latest> Latest::make(const fleet::Roster& roster, fleet::MemberId self,
                                     const LatestSettings& settings, std::uint64_t seed) {
  return std::make_unique<Keeper>(roster, self, settings, seed);
}

}  // namespace rockcrank::latest
