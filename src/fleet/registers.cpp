// How news spreads, and how members that differ find out where: registers.h says what this owns. News goes
// down a tree over the ring of member ids, each message halving the range that its sender still owes it to,
// so that every member hears it once and log2(members) messages in a row reach all (as broadcast over ranges
// in El-Ansary, Alima, Brand, Haridi, "Efficient Broadcast in Structured P2P Networks", 2003); a little
// gossip and digests of ranges, with members drawn by chance, mend what was lost on the way (Demers and
// others, "Epidemic Algorithms for Replicated Database Maintenance", 1987).

#include "fleet/registers.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "fleet/errors.h"
#include "fleet/register_table.h"
#include "fleet/rules.h"

namespace rockcrank::fleet {
namespace {

// Messages: with so few others each is told directly, and often; with more, a member sends no more than
// `rate` a second beyond `burst`, together with membership's 5 under 20 in any second.
constexpr std::size_t small_fleet_peers = 8;
constexpr double small_fleet_rate = 20, small_fleet_burst = 3;  // for each other member
constexpr double rate = 10, burst = 5;
constexpr std::size_t tree_branches = 3;                    // of a tree, at a member
constexpr double catch_up_reserve = 2, gossip_reserve = 3;  // what is not urgent leaves so many for what is
constexpr std::size_t max_message_bytes = 48 << 10;
constexpr std::size_t max_forward_to = 8;

// Gossip: each fresh urgent word goes along with so many messages, whomever they are for; where none goes,
// one to a member drawn by chance, at this distance, as far as there are messages to spare.
constexpr std::size_t gossip_repeats = 6;
constexpr Millis gossip_interval = 100, small_fleet_gossip_interval = 20;
constexpr Millis max_gossip_age = 10e3;  // since it was said

constexpr Millis compare_interval = 1000, catch_up_compare_interval = 250;  // soon: not caught up yet
constexpr Millis compare_jitter = 50;     // over so long, of many that come back at once
constexpr Millis compare_overdue = 2000;  // then it is urgent
constexpr Millis exchange_timeout = 500;  // no second comparison with one peer while the first goes on
constexpr Millis crossing_window = 100;   // two comparisons that began at once
constexpr Millis settle_time = 1000, isolation_time = 5000;
constexpr Millis min_catch_up_gap = 25;         // between two messages of catch-up to one peer
constexpr std::uint64_t max_unsplit_names = 2;  // subjects of a range that is not split further
constexpr std::uint64_t max_unsplit_names_of_kind =
    64;  // the same of a whole matter, as a step costs time too
constexpr int max_split_bits = 48;
constexpr std::size_t max_tasks = 1 << 14;  // for one peer; what is beyond is found again later

// What of one route is news: less is what this relay was told by us, or is not worth a message.
constexpr Millis time_tolerance = 0.001;
constexpr Millis max_network_delay = 50;
constexpr Millis outage_refresh_interval = 5 * 60e3;  // an outage that goes on is said again
constexpr Millis limit_refresh_interval = 1000, min_limit_interval = 200;
constexpr double limit_tolerance = 0.1, share_tolerance = 0.1;
constexpr Millis cleanup_interval = 5000;
constexpr Millis unknown_age = 1e18;  // age of what nobody has said

// Two clocks run apart by no more than this share.
constexpr double clock_drift = 0.001;
// A process that is woken so late has stood still; what it hears for a moment after that may have lain.
constexpr Millis stall_threshold = 100, stall_recovery_time = 50;

constexpr std::size_t max_name_bytes = 300;
constexpr std::uint64_t max_counter = std::uint64_t{1} << 62;
constexpr Millis max_duration = 30 * 24 * 3600e3;
constexpr double max_figure = 1e12;
constexpr std::size_t max_named_conflicts = 1024;

std::size_t max_packed_size(const RegisterRecord& word) { return 96 + word.name.size(); }  // at most, packed
constexpr std::size_t digest_size = 26, child_sum_size = 5, name_digest_size = 26;
constexpr std::size_t bulk_records = 64;  // fresh words in one message: a whole range is being sent

std::string route_name(const RouteStatus& known) {
  char text[24];
  std::snprintf(text, sizeof text, "%c%016llx", known.per_endpoint ? 'e' : 'd',
                static_cast<unsigned long long>(known.route));
  return text;
}

bool is_route_name(const std::string& subject) {
  return subject.size() == 17 && (subject[0] == 'e' || subject[0] == 'd') &&
         subject.find_first_not_of("0123456789abcdef", 1) == std::string::npos;
}

void check(bool right, const char* what) {
  if (!right)
    throw BadMessage(std::string("a message of shared state has ") + what, "registers",
                     "have all members run versions that know each other");
}

void check(const RegisterRecord& word) {
  auto within = [](double value, double most) { return value >= 0 && value <= most; };  // no NaN either
  check(word.kind <= RegisterKind::offline, "an unknown matter");
  check(word.state <= RouteState::recovering, "an unknown state");
  check(word.version.counter <= max_counter, "a count that nobody can have reached");
  check(within(word.age, unknown_age) && within(word.duration, max_duration), "a time out of range");
  check(within(word.rate_before_outage, max_figure) && within(word.rate_limit, max_figure) &&
            within(word.remaining_share, max_figure),
        "a figure out of range");
  check(word.kind == RegisterKind::offline
            ? std::all_of(word.name.begin(), word.name.end(), [](char c) { return c > ' ' && c < 127; }) &&
                  !word.name.empty() && word.name.size() <= max_name_bytes
            : is_route_name(word.name),
        "a subject that names nothing");
}

void check(const RangeDigest& range) {
  check(range.kind <= RegisterKind::offline, "an unknown matter");
  check(range.bits <= 64 && (range.bits == 64 || range.prefix >> range.bits == 0), "a range that is none");
}

class GossipRegisters : public Registers {
 public:
  GossipRegisters(MemberId self, Incarnation own, int members, std::uint64_t seed)
      : self_(self),
        incarnation_(own),
        counter_(std::min(own.number, max_counter / 2)),
        random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32))) {
    if (members < 2) caught_up_ = true;
  }

  void begin_turn(Millis now) override {
    if (first_turn_) tokens_updated_at_ = started_at_ = compare_at_ = now;
    first_turn_ = false;
    if (wake_up_at_ >= 0 && now > wake_up_at_ + stall_threshold) stalled_until_ = now + stall_recovery_time;
    now_ = std::max(now_, now);
    table_.remove_outdated(now_);
    if (now_ >= cleanup_at_) {
      std::erase_if(reported_ends_, [&](const auto& one) { return one.second <= now_; });
      cleanup_at_ = now_ + cleanup_interval;
    }
  }

  void set_alive(const std::vector<MemberId>& members) override {
    others_.clear();
    for (MemberId member : members)
      if (member != self_) others_.emplace_back(distance(member), member);
    std::sort(others_.begin(), others_.end());
    living_.clear();
    for (const auto& [far, member] : others_)
      if (living_.insert(member).second && peers_.count(member) && peers_[member].needs_compare)
        schedule_compare();
    update_reached();
  }

  // A peer that is back may have missed anything, and its clock may be another one.
  void on_link_change(MemberId peer, bool up) override {
    peers_.erase(peer), forwards_.erase(peer), catch_up_peers_.erase(peer);
    if (peers_.empty()) caught_up_ = false, answered_at_ = -1;
    if (up) peers_[peer].needs_compare = true, schedule_compare();
    update_reached();
  }

  void publish(const RouteStatus& own) override {
    RegisterRecord word;
    word.name = route_name(own);
    if (std::isfinite(own.retry_after_left) && own.retry_after_left > 0) {
      // What was heard ends here later than it was told, by the crossings on its way, so one's own wait
      // counts although it seems to end as soon. Guards against saying as one's own what was heard: it would
      // end later with every round.
      auto end = now_ + own.retry_after_left, known = table_.retry_after_end(word.name);
      auto learned = reported_ends_.find(word.name);
      bool echo = learned != reported_ends_.end() && std::abs(end - learned->second) <= time_tolerance;
      word.kind = RegisterKind::retry_after, word.version.origin = self_, word.incarnation = incarnation_;
      const Entry* said = table_.find(key_of(word));
      bool later = !said || end > said->written_at + said->record.duration + time_tolerance;
      word.duration = std::min(own.retry_after_left, max_duration);
      if (!echo && later && end > known - max_network_delay) write(word, now_);
      word.duration = 0;
    }
    publish_outage(own, word);
    publish_limit(own, word);
  }

  void publish_offline(const std::string& endpoint, bool out) override {
    if (endpoint.empty() || endpoint.size() > max_name_bytes) return;
    RegisterRecord word;
    word.kind = RegisterKind::offline, word.name = endpoint, word.offline = out;
    const Entry* held = table_.find(key_of(word));
    if (!held || held->record.offline != out) write(word, now_);
  }

  void on_message(MemberId from, const RegisterMessage& message) override {
    for (const auto& spread : message.broadcasts)
      for (const auto& word : spread.records) check(word);
    for (const auto& word : message.records) check(word);
    for (const auto& range : message.digests) check(range);
    for (const auto& range : message.requested) check(range);
    for (const auto& split : message.splits) {
      RangeDigest range{split.kind, split.prefix, split.bits, 0, 0};
      check(range);
      check(split.bits <= max_split_bits &&
                split.child_sums.size() == std::size_t{1} << RegisterTable::split_bits(range),
            "a split that is none");
    }
    for (const auto& heads : message.range_names)
      check(RangeDigest{heads.kind, heads.prefix, heads.bits, 0, 0});
    check(std::isfinite(message.sent_at), "no time");
    Peer stranger;  // its link is down already: it is heard, but not answered
    Peer& peer = peers_.count(from) ? peers_[from] : stranger;
    // Guards against waits that end later by as long as this process stood still: where there is no measure
    // of how late a message is, its words are not taken, but asked for anew.
    bool unmeasured = peer.clock_offset_at < 0 && now_ < stalled_until_;
    Millis late = lateness(peer, message.sent_at);
    if (unmeasured) {
      peer.clock_offset_at = -1, peer.needs_compare = true;
      return schedule_compare();
    }
    for (const auto& spread : message.broadcasts)
      for (const auto& word : spread.records) accept_broadcast(spread, word, merge(word, late));
    std::vector<const RegisterRecord*> news;
    for (const auto& word : message.records)
      if (merge(word, late) == RegisterTable::MergeResult::applied) news.push_back(&word);
    auto fresh = news.size();
    // What comes in great number, or is old, is not new to the fleet but to this member.
    for (const RegisterRecord* word : news)
      if (fresh < bulk_records && word->age < max_gossip_age) start_gossip(*word);
    if (fresh > 0 && message.from_comparison) last_growth_at_ = now_;
    if (fresh >= bulk_records) bulk_sender_ = from, bulk_received_at_ = now_;
    if (message.from_comparison || message.in_sync) peer.exchanged_at = now_;
    if (message.from_comparison && answered_at_ < 0) answered_at_ = now_;
    if (message.from_comparison || message.in_sync) peer.compared_at = -unknown_age;
    compare_digests(from, peer, message);
    for (const auto& split : message.splits) compare_range(peer, split);
    for (const auto& heads : message.range_names) compare_range(peer, heads);
    for (const auto& range : message.requested) queue_records(peer, range);
    if (peers_.count(from)) catch_up_peers_.insert(from);
    if (message.in_sync) caught_up_ = true;
  }

  Actions decide() override {
    refill_tokens();
    update_caught_up();
    run_by_priority(*this, rules);
    for (const auto& subject : std::exchange(changed_, {}))
      actions_.route_reports.push_back(report_of(subject));
    report_conflicts();
    actions_.wake_in = next_wake_up();
    wake_up_at_ = actions_.wake_in < 0 ? -1 : now_ + actions_.wake_in;
    return std::exchange(actions_, {});
  }

  std::vector<RegisterRecord> all_records() const override {
    return records_where(SIZE_MAX, [](const RegisterRecord&) { return true; });
  }
  std::vector<RegisterRecord> records_to_persist(std::size_t most) const override {
    return records_where(most, [](const RegisterRecord& word) {
      if (word.kind == RegisterKind::retry_after) return word.age < word.duration;
      return word.kind != RegisterKind::outage || word.state != RouteState::healthy;
    });
  }

  void restore(const std::vector<RegisterRecord>& words, Millis gone_for) override {
    for (const auto& word : words) check(word);
    for (const auto& word : words) {
      counter_ = std::max(counter_, word.version.counter);
      auto result = table_.merge(word, now_ - word.age - std::max(gone_for, 0.0), now_);
      if (result == RegisterTable::MergeResult::applied || result == RegisterTable::MergeResult::earlier)
        mark_changed(word);
    }
  }

  // Alone: not before others would have been found.
  bool caught_up() const override {
    return caught_up_ || (living_.empty() && peers_.empty() && now_ >= started_at_ + isolation_time);
  }

 private:
  struct Peer {
    bool needs_compare = false;  // with all that it holds, soon
    bool send_in_sync = false;   // it is to hear that both hold the same
    bool ask_in_sync = false;    // and this one wants to
    Millis exchanged_at = -unknown_age, sent_at = -unknown_age, compared_at = -unknown_age;
    // The least that this clock was ahead of the peer's at a message's arrival, and when that was.
    Millis clock_offset = 0, clock_offset_at = -1;
    // Catch-up, by rank of matter.
    struct Task {
      RangeDigest range;
      EntryKey next_key;  // serving: how far it has got
      bool started = false;
    };
    using Tasks = std::map<std::tuple<int, std::uint8_t, std::uint64_t>, Task>;
    Tasks digests, splits, names, requested, sending;
    static void add(Tasks& tasks, const RangeDigest& range) {
      tasks.try_emplace({priority_of(range.kind), range.bits, range.prefix}, Task{range, {}, false});
    }
    bool has_tasks() const {
      return send_in_sync || !digests.empty() || !splits.empty() || !names.empty() || !requested.empty() ||
             !sending.empty();
    }
  };
  // News owed to all others up to that distance.
  struct PendingBroadcast {
    std::uint64_t distance = 0;
    std::size_t parts = 0;  // in which what is left is still to be given away
    bool divided = false;
  };
  using PendingBroadcasts = std::map<EntryKey, PendingBroadcast>;
  std::uint64_t distance(MemberId to) const {
    return static_cast<std::uint64_t>(to) - static_cast<std::uint64_t>(self_);
  }
  MemberId member_at(std::uint64_t far) const { return MemberId{static_cast<std::uint64_t>(self_) + far}; }
  bool reaches(MemberId member) const { return peers_.count(member) && living_.count(member); }
  RegisterRecord with_current_age(const Entry& entry) const {
    RegisterRecord word = entry.record;
    word.age = std::max(0.0, now_ - entry.written_at);
    return word;
  }

  template <typename Wanted>
  std::vector<RegisterRecord> records_where(std::size_t most, Wanted wanted) const {
    std::vector<RegisterRecord> words;
    for (RegisterKind matter : kinds_by_priority)
      for (auto at = table_.range_begin({matter, 0, 0, 0, 0});
           words.size() < most && table_.in_range({matter, 0, 0, 0, 0}, at); ++at)
        if (auto word = with_current_age(at->second); wanted(word)) words.push_back(std::move(word));
    return words;
  }

  // By how much later than the fastest lately this message came: a peer or this process that was stopped
  // leaves messages lying, and a wait would end later by as long. The fastest one is let grow old by the
  // drift of two clocks, so that a wait is never cut short.
  Millis lateness(Peer& peer, Millis sent) {
    Millis ahead = now_ - sent, most = peer.clock_offset + clock_drift * (now_ - peer.clock_offset_at);
    if (peer.clock_offset_at < 0 || ahead <= most) {
      peer.clock_offset = ahead, peer.clock_offset_at = now_;
      return 0;
    }
    return ahead - most;
  }

  // --- what is said and heard ---

  void write(RegisterRecord word, Millis said_at) {
    word.version = {++counter_, self_}, word.incarnation = incarnation_, word.age = 0;
    if (table_.merge(word, said_at, now_) != RegisterTable::MergeResult::applied) return;
    broadcasts_[key_of(word)] = {UINT64_MAX};
    start_gossip(word);
  }

  // Newer evidence only: what this relay has learnt from here comes back as older.
  void publish_outage(const RouteStatus& own, RegisterRecord word) {
    word.kind = RegisterKind::outage, word.state = own.state;
    word.rate_before_outage =
        std::isfinite(own.rate_before_outage) ? std::clamp(own.rate_before_outage, 0.0, max_figure) : 0;
    const Entry* held = table_.find(key_of(word));
    auto seen = now_ - std::max(own.state_age, 0.0);
    if (!held && own.state == RouteState::healthy) return;
    if (held && seen <= held->written_at + time_tolerance) return;
    if (held && held->record.state == own.state && seen < held->written_at + outage_refresh_interval) return;
    write(word, seen);
  }

  void publish_limit(const RouteStatus& own, RegisterRecord word) {
    if (!std::isfinite(own.rate_limit) || own.rate_limit <= 0 || own.rate_limit > max_figure) return;
    word.kind = RegisterKind::rate_limit, word.rate_limit = own.rate_limit;
    word.remaining_share = std::isfinite(own.remaining_share) ? std::clamp(own.remaining_share, 0.0, 1.0) : 1;
    const Entry* held = table_.find(key_of(word));
    auto met = now_ - std::max(own.limit_age, 0.0);
    if (held) {
      bool alike =
          std::abs(held->record.rate_limit - word.rate_limit) <= limit_tolerance * held->record.rate_limit &&
          std::abs(held->record.remaining_share - word.remaining_share) <= share_tolerance;
      if (met <= held->written_at + (alike ? limit_refresh_interval : min_limit_interval)) return;
    }
    write(word, met);
  }

  RegisterTable::MergeResult merge(const RegisterRecord& word, Millis late) {
    counter_ = std::max(counter_, word.version.counter);
    const Entry* held = table_.find(key_of(word));
    Entry mine;
    bool was_mine = held && held->record.version.origin == self_ && held->record.incarnation == incarnation_;
    if (was_mine) mine = *held;
    auto result = table_.merge(word, now_ - word.age - late, now_);
    if (result == RegisterTable::MergeResult::full && !std::exchange(full_, true))
      actions_.log.push_back("shared state is full: entries of others are not kept");
    if (result != RegisterTable::MergeResult::applied && result != RegisterTable::MergeResult::earlier)
      return result;
    // Guards against an earlier life of this member that counted higher than this one knew of: what this life
    // said since is newer than all that the other did.
    if (was_mine && word.version.origin == self_ && word.incarnation != incarnation_)
      write(mine.record, mine.written_at);
    else mark_changed(word);
    return result;
  }

  void mark_changed(const RegisterRecord& word) {
    if (word.kind != RegisterKind::offline) changed_.insert(word.name);
    else actions_.offline_orders.push_back({word.name, word.offline});
  }

  void accept_broadcast(const Broadcast& spread, const RegisterRecord& word,
                        RegisterTable::MergeResult result) {
    auto key = key_of(word);
    if (!table_.find(key)) return;
    if (auto far = distance(spread.last)) {
      auto& duty = broadcasts_[key].distance;
      duty = std::max(duty, far);
    }
    for (MemberId member : spread.forward_to)
      if (reaches(member)) forwards_[member].insert(key);
    if (result == RegisterTable::MergeResult::applied) start_gossip(word);
  }

  Millis next_gossip_delay() {
    return (is_small_fleet() ? small_fleet_gossip_interval : gossip_interval) * (0.8 + 0.4 * draw_unit());
  }
  void start_gossip(const RegisterRecord& word) {
    if (word.kind == RegisterKind::rate_limit) return;
    if (gossip_.empty()) gossip_at_ = now_ + next_gossip_delay();
    gossip_[key_of(word)] = std::min(gossip_repeats, others_.size());
  }

  RouteStatus report_of(const std::string& subject) {
    RouteStatus known;
    known.per_endpoint = subject[0] == 'e';
    known.route = std::stoull(subject.substr(1), nullptr, 16);
    known.retry_after_left = std::max(0.0, table_.retry_after_end(subject) - now_);
    if (known.retry_after_left > 0) {
      auto& end = reported_ends_[subject];
      end = std::max(end, now_ + known.retry_after_left);
    }
    RegisterRecord word;
    word.name = subject, known.state_age = unknown_age, known.limit_age = unknown_age;
    word.kind = RegisterKind::outage;
    if (const Entry* entry = table_.find(key_of(word))) {
      known.state = entry->record.state, known.state_age = std::max(0.0, now_ - entry->written_at);
      // One that sent there itself knows its own rate; the others share what the teller sent, or together
      // they would push over what returns cold.
      known.rate_before_outage = entry->record.rate_before_outage / static_cast<double>(others_.size() + 1);
    }
    word.kind = RegisterKind::rate_limit;
    if (const Entry* entry = table_.find(key_of(word))) {
      known.rate_limit = entry->record.rate_limit, known.remaining_share = entry->record.remaining_share;
      known.limit_age = std::max(0.0, now_ - entry->written_at);
    }
    return known;
  }

  void report_conflicts() {
    for (const auto& one : table_.take_conflicts()) {
      if (named_conflicts_.size() >= max_named_conflicts) named_conflicts_.clear();
      if (!named_conflicts_.insert({one.key, one.version}).second) continue;
      char text[120];
      std::snprintf(text, sizeof text, "%s of %.40s, version %llu of %016llx",
                    one.key.kind == RegisterKind::retry_after  ? "told wait"
                    : one.key.kind == RegisterKind::outage     ? "outage"
                    : one.key.kind == RegisterKind::rate_limit ? "limit"
                                                               : "order of staff",
                    one.key.name.c_str(), static_cast<unsigned long long>(one.version.counter),
                    static_cast<unsigned long long>(one.version.origin));
      actions_.conflicts.push_back(text);
    }
  }

  // --- comparing ---

  static bool has_task_capacity(const Peer& peer) {
    return peer.splits.size() + peer.names.size() + peer.requested.size() + peer.sending.size() < max_tasks;
  }

  void compare_digests(MemberId from, Peer& peer, const RegisterMessage& message) {
    if (message.digests.empty()) return;
    peer.needs_compare = false;
    bool equal = true;
    auto differ = [&](const RangeDigest& theirs, const RangeDigest& mine) {
      return mine.sum != theirs.sum || mine.entry_count != theirs.entry_count;
    };
    auto mine = [&](const RangeDigest& theirs) {
      return table_.digest(theirs.kind, theirs.prefix, theirs.bits);
    };
    for (const auto& theirs : message.digests) equal &= !differ(theirs, mine(theirs));
    if (equal) {
      peer.send_in_sync = message.confirm_sync, caught_up_ = true;
      return;
    }
    // Both asked at once: one of the two answers. And what one peer is sending already, no other is to send.
    if (now_ < peer.compared_at + crossing_window && self_ < from) return;
    if (busy_with_others(from)) return;
    peer.exchanged_at = now_;
    for (const auto& theirs : message.digests)
      if (differ(theirs, mine(theirs))) resolve_difference(peer, mine(theirs), theirs.entry_count == 0);
  }
  bool busy_with_others(MemberId peer) const {
    if (bulk_sender_ != peer && peers_.count(bulk_sender_) && now_ < bulk_received_at_ + exchange_timeout)
      return true;
    return !caught_up_ && std::any_of(peers_.begin(), peers_.end(), [&](const auto& one) {
      auto until = std::max(one.second.exchanged_at + exchange_timeout, one.second.compared_at + crossing_window);
      return one.first != peer && now_ < until;
    });
  }
  void compare_range(Peer& peer, const RangeSplit& theirs) {
    int by = RegisterTable::split_bits({theirs.kind, theirs.prefix, theirs.bits, 0, 0});
    for (std::uint64_t i = 0; i < theirs.child_sums.size(); ++i) {
      auto mine = table_.digest(theirs.kind, theirs.prefix << by | i, theirs.bits + by);
      if (RegisterTable::half_sum(mine) != theirs.child_sums[i])
        resolve_difference(peer, mine, theirs.child_sums[i] == 0);
    }
  }
  void resolve_difference(Peer& peer, const RangeDigest& mine, bool theirs_empty) {
    if (!has_task_capacity(peer)) return;
    if (mine.entry_count == 0) Peer::add(peer.requested, mine);
    else if (theirs_empty) queue_records(peer, mine);
    else if (mine.entry_count <= (mine.bits == 0 ? max_unsplit_names_of_kind : max_unsplit_names) ||
             mine.bits >= max_split_bits)
      Peer::add(peer.names, mine);
    else Peer::add(peer.splits, mine);
  }

  void compare_range(Peer& peer, const RangeNames& theirs) {
    std::map<std::uint64_t, NameDigest> held;
    for (const auto& head : table_.names({theirs.kind, theirs.prefix, theirs.bits, 0, 0}))
      held[head.hash] = head;
    auto one = [&](std::uint64_t hash) { return RangeDigest{theirs.kind, hash, 64, 0, 0}; };
    for (const auto& head : theirs.names) {
      auto mine = held.find(head.hash);
      bool lacks = mine == held.end();
      if (!lacks && mine->second.sum == head.sum) {
        held.erase(mine);
        continue;
      }
      // Of a wait each may hold what the other lacks; of the rest the newer version goes over.
      bool both = theirs.kind == RegisterKind::retry_after;
      bool take = lacks || both || mine->second.counter <= head.counter;
      bool give = !lacks && (both || mine->second.counter >= head.counter);
      if (take && has_task_capacity(peer)) Peer::add(peer.requested, one(head.hash));
      if (!give) held.erase(head.hash);
    }
    for (const auto& [hash, head] : held) queue_records(peer, one(hash));
  }

  void queue_records(Peer& peer, RangeDigest range) {
    range.sum = range.entry_count = 0;
    if (has_task_capacity(peer)) Peer::add(peer.sending, range);
  }

  // --- messages ---

  bool is_small_fleet() const { return others_.size() <= small_fleet_peers; }
  double max_tokens() const {
    return is_small_fleet() ? small_fleet_burst * static_cast<double>(others_.size()) : burst;
  }
  void refill_tokens() {
    double a_second = is_small_fleet() ? small_fleet_rate * static_cast<double>(others_.size()) : rate;
    tokens_ = std::min(max_tokens(), tokens_ + (now_ - tokens_updated_at_) / 1000 * a_second);
    tokens_updated_at_ = now_;
  }
  Millis time_until_tokens(double wanted) const {
    double a_second = is_small_fleet() ? small_fleet_rate * static_cast<double>(others_.size()) : rate;
    return a_second <= 0 ? unknown_age : std::max(0.0, (wanted - tokens_) / a_second * 1000);
  }
  double draw_unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  // By chance, but each once before any comes again: where few are reached, all hear soon.
  MemberId draw_peer(std::vector<MemberId>& deck) {
    if (deck.empty()) deck = reached_, std::shuffle(deck.begin(), deck.end(), random_);
    if (deck.empty()) return self_;
    auto drawn = deck.back();
    deck.pop_back();
    return drawn;
  }
  void update_reached() {
    std::vector<MemberId> reached;
    for (const auto& [far, member] : others_)
      if (peers_.count(member)) reached.push_back(member);
    if (reached == reached_) return;
    reached_ = std::move(reached);
    gossip_deck_.clear(), compare_deck_.clear();
  }

  // How many others lie no further than that.
  std::size_t members_within(std::uint64_t far) const {
    return static_cast<std::size_t>(
        std::upper_bound(others_.begin(), others_.end(), std::make_pair(far, MemberId{UINT64_MAX})) -
        others_.begin());
  }

  // The most urgent duty, the furthest of these; those that are done or cannot be done are let go.
  PendingBroadcasts::iterator most_urgent_broadcast() {
    for (RegisterKind matter : kinds_by_priority) {
      auto best = broadcasts_.end();
      for (auto at = broadcasts_.lower_bound({matter, 0, {}, {}, {}});
           at != broadcasts_.end() && at->first.kind == matter;) {
        if (members_within(at->second.distance) == 0 || !table_.find(at->first)) {
          at = broadcasts_.erase(at);
          continue;
        }
        if (best == broadcasts_.end() || at->second.distance > best->second.distance) best = at;
        ++at;
      }
      if (best != broadcasts_.end()) return best;
    }
    return broadcasts_.end();
  }
  double tokens_needed(RegisterKind matter) const {
    return matter == RegisterKind::rate_limit ? 1 + std::min(catch_up_reserve, max_tokens() / 2) : 1;
  }

  double gossip_tokens_needed() const { return 1 + std::min(gossip_reserve, max_tokens() / 2); }

  bool broadcast_due() {
    if (broadcasts_.empty() || tokens_ < 1) return false;
    auto duty = most_urgent_broadcast();
    return duty != broadcasts_.end() && tokens_ >= tokens_needed(duty->first.kind);
  }
  // With messages enough at hand, each is told directly. Else `branches` members take over a like part each,
  // and nothing is left to do here: a hop costs less than waiting for the next message. With one at hand,
  // half.
  void continue_broadcast() {
    auto duty = most_urgent_broadcast();
    auto far = duty->second.distance;
    std::vector<MemberId> known;
    std::vector<MemberId> unreached;
    for (std::size_t i = 0; i < members_within(far); ++i)
      (peers_.count(others_[i].second) ? known : unreached).push_back(others_[i].second);
    if (known.empty()) return hand_over_broadcasts(duty, unreached);
    auto& parts = duty->second.parts;
    if (parts == 0) parts = std::min(static_cast<std::size_t>(tokens_), tree_branches);
    bool each = is_small_fleet() || static_cast<double>(known.size()) <= tokens_;
    auto part = each                                  ? 1
                : parts == 1 && !duty->second.divided ? (known.size() + 1) / 2
                                                      : (known.size() + parts - 1) / parts;
    duty->second.divided = parts > 1 || duty->second.divided;
    if (--parts == 0) duty->second.divided = false;
    send_all_for(known[known.size() - part], true);
  }
  // Alive, but the link there is cut: whoever is reached tells them.
  void hand_over_broadcasts(PendingBroadcasts::iterator duty, std::vector<MemberId> unreached) {
    auto by = draw_peer(gossip_deck_);
    if (by != self_ && unreached.size() > max_forward_to) unreached.resize(max_forward_to);
    auto far = duty->second.distance;
    RegisterMessage message;
    message_size_ = 64;
    message.broadcasts.push_back({by, unreached, {}});
    for (auto at = broadcasts_.begin(); at != broadcasts_.end();) {
      if (at->second.distance != far) {
        ++at;
        continue;
      }
      if (const Entry* entry = table_.find(at->first); entry && by != self_ && add_size(message, *entry))
        message.broadcasts.back().records.push_back(with_current_age(*entry));
      at = broadcasts_.erase(at);
    }
    if (by != self_ && !message.broadcasts.back().records.empty()) send(by, std::move(message));
  }
  bool add_size(const RegisterMessage&, const Entry& entry) {
    std::size_t size = max_packed_size(entry.record);
    if (message_size_ + size > max_message_bytes) return false;
    message_size_ += size;
    return true;
  }

  bool forward_due() { return tokens_ >= 1 && next_forward() != forwards_.end(); }
  std::map<MemberId, std::set<EntryKey>>::iterator next_forward() {
    for (auto at = forwards_.begin(); at != forwards_.end();) {
      if (reaches(at->first) && !at->second.empty()) return at;
      at = forwards_.erase(at);
    }
    return forwards_.end();
  }
  void send_forward() { send_all_for(next_forward()->first, false); }

  bool gossip_due() { return !gossip_.empty() && now_ >= gossip_at_ && tokens_ >= gossip_tokens_needed(); }
  void gossip() {
    gossip_at_ = now_ + next_gossip_delay();
    auto to = draw_peer(gossip_deck_);
    if (to == self_) gossip_.clear();
    else send_all_for(to, false);
  }
  void add_gossip(RegisterMessage& message, const std::set<EntryKey>& there) {
    for (auto at = gossip_.begin(); at != gossip_.end();) {
      const Entry* entry = there.count(at->first) ? nullptr : table_.find(at->first);
      if (entry && !add_size(message, *entry)) break;
      if (entry) message.records.push_back(with_current_age(*entry));
      if (at->second <= 1) at = gossip_.erase(at);
      else --at->second, ++at;
    }
  }

  bool compare_due() {
    if (living_.empty()) return false;
    auto late = now_ - compare_at_;
    return late >= 0 && tokens_ >= (late >= compare_overdue ? 1 : tokens_needed(RegisterKind::rate_limit));
  }
  void schedule_compare() { compare_at_ = std::min(compare_at_, now_ + compare_jitter * draw_unit()); }
  // One that has come back goes before others. Whoever catches up does so with one at a time, as another
  // would send the same once more.
  void start_compare() {
    compare_at_ =
        now_ + (caught_up_ ? compare_interval : catch_up_compare_interval) * (0.75 + 0.5 * draw_unit());
    auto to = draw_peer(compare_deck_);
    if (to == self_) return;
    if (busy_with_others(self_)) return;
    std::vector<MemberId> back;
    for (const auto& [member, peer] : peers_)
      if (peer.needs_compare && living_.count(member)) back.push_back(member);
    if (!back.empty()) {
      to = back[static_cast<std::size_t>(draw_unit() * static_cast<double>(back.size()))];
      compare_at_ = now_ + catch_up_compare_interval * (0.75 + 0.5 * draw_unit());
    }
    Peer& peer = peers_[to];
    peer.needs_compare = false;
    if (now_ < peer.exchanged_at + exchange_timeout && peer.has_tasks()) return;
    peer.compared_at = now_;
    for (RegisterKind matter : kinds_by_priority) Peer::add(peer.digests, table_.digest(matter, 0, 0));
    peer.ask_in_sync = !caught_up_;
    send_all_for(to, false);
  }

  MemberId next_catch_up_peer() {
    for (auto at = catch_up_peers_.begin(); at != catch_up_peers_.end();) {
      const Peer& peer = peers_.at(*at);
      if (!peer.has_tasks()) {
        at = catch_up_peers_.erase(at);
        continue;
      }
      if (living_.count(*at) && now_ >= peer.sent_at + min_catch_up_gap) return *at;
      ++at;
    }
    return self_;
  }
  bool catch_up_due() {
    return tokens_ >= tokens_needed(RegisterKind::rate_limit) && next_catch_up_peer() != self_;
  }
  void send_catch_up() { send_all_for(next_catch_up_peer(), false); }

  // One message with all that is for that member: the news that it is to have or to take over, errands, and
  // catch-up as far as there is room.
  void send_all_for(MemberId to, bool news) {
    RegisterMessage message;
    message_size_ = 64;
    std::set<EntryKey> there;
    if (news) add_broadcasts(to, message, there);
    if (auto found = forwards_.find(to); found != forwards_.end()) {
      auto& keys = found->second;
      while (!keys.empty()) {
        const Entry* entry = table_.find(*keys.begin());
        if (entry && !add_size(message, *entry)) break;
        if (entry) message.records.push_back(with_current_age(*entry));
        there.insert(*keys.begin()), keys.erase(keys.begin());
      }
      if (keys.empty()) forwards_.erase(found);
    }
    add_gossip(message, there);
    Peer& peer = peers_[to];
    if (now_ >= peer.sent_at + min_catch_up_gap || !news) add_catch_up(peer, message);
    send(to, std::move(message));
  }

  void add_broadcasts(MemberId to, RegisterMessage& message, std::set<EntryKey>& there) {
    auto far = distance(to);
    std::map<std::uint64_t, Broadcast> spreads;
    for (RegisterKind matter : kinds_by_priority)
      for (auto at = broadcasts_.lower_bound({matter, 0, {}, {}, {}});
           at != broadcasts_.end() && at->first.kind == matter;) {
        const Entry* entry = at->second.distance >= far ? table_.find(at->first) : nullptr;
        if (!entry || !add_size(message, *entry)) {
          ++at;
          continue;
        }
        spreads[at->second.distance].records.push_back(with_current_age(*entry));
        there.insert(at->first);
        at->second.distance = far - 1;
        at = at->second.distance == 0 ? broadcasts_.erase(at) : std::next(at);
      }
    for (auto& [last, spread] : spreads) {
      spread.last = member_at(last);
      message.broadcasts.push_back(std::move(spread));
    }
  }

  void add_catch_up(Peer& peer, RegisterMessage& message) {
    message.in_sync = std::exchange(peer.send_in_sync, false),
    message.confirm_sync = std::exchange(peer.ask_in_sync, false);
    auto words = message.records.size();
    auto take = [&](Peer::Tasks& from, std::size_t size, auto add) {
      while (!from.empty() && message_size_ + size <= max_message_bytes) {
        add(from.begin()->second.range);
        message_size_ += size, from.erase(from.begin());
      }
    };
    take(peer.requested, digest_size, [&](const RangeDigest& range) { message.requested.push_back(range); });
    while (!peer.sending.empty()) {
      auto& serving = peer.sending.begin()->second;
      auto at = serving.started ? table_.entries().lower_bound(serving.next_key)
                                : table_.range_begin(serving.range);
      while (table_.in_range(serving.range, at) && add_size(message, at->second))
        message.records.push_back(with_current_age(at->second)), ++at;
      if (table_.in_range(serving.range, at)) {
        serving.next_key = at->first, serving.started = true;
        break;
      }
      peer.sending.erase(peer.sending.begin());
    }
    take(peer.digests, digest_size, [&](const RangeDigest& range) { message.digests.push_back(range); });
    while (!peer.splits.empty() && message_size_ + digest_size + 16 * child_sum_size <= max_message_bytes) {
      message.splits.push_back(table_.split(peer.splits.begin()->second.range));
      message_size_ += digest_size + child_sum_size * message.splits.back().child_sums.size();
      peer.splits.erase(peer.splits.begin());
    }
    while (!peer.names.empty() && message_size_ + digest_size <= max_message_bytes) {
      auto range = peer.names.begin()->second.range;
      auto heads = table_.names(range);
      message_size_ += digest_size + name_digest_size * heads.size();
      message.range_names.push_back({range.kind, range.prefix, range.bits, std::move(heads)});
      peer.names.erase(peer.names.begin());
    }
    message.from_comparison = message.records.size() > words || !message.requested.empty() ||
                              !message.splits.empty() || !message.range_names.empty();
    if (message.from_comparison) peer.exchanged_at = now_;
  }

  void send(MemberId to, RegisterMessage message) {
    message.sent_at = now_;
    tokens_ -= 1, message_size_ = 0;
    peers_[to].sent_at = now_;
    actions_.sends.push_back({to, std::move(message)});
  }

  // Caught up too, where news comes so fast that two never hold the same: a comparison was answered, and
  // nothing more came of it for a while.
  void update_caught_up() {
    if (caught_up_ || answered_at_ < 0) return;
    caught_up_ = now_ >= std::max(answered_at_, last_growth_at_) + settle_time;
  }

  Millis next_wake_up() {
    if (living_.empty()) return -1;
    Millis due = std::max(0.0, compare_at_ - now_);
    if (compare_due() || due <= 0)
      due = std::max(1.0, time_until_tokens(tokens_needed(RegisterKind::rate_limit)));
    if (!broadcasts_.empty()) {
      auto duty = most_urgent_broadcast();
      if (duty != broadcasts_.end())
        due = std::min(due, std::max(1.0, time_until_tokens(tokens_needed(duty->first.kind))));
    }
    if (!forwards_.empty()) due = std::min(due, std::max(1.0, time_until_tokens(1)));
    if (!gossip_.empty())
      due = std::min(due, std::max({1.0, gossip_at_ - now_, time_until_tokens(gossip_tokens_needed())}));
    for (MemberId member : catch_up_peers_)
      if (living_.count(member)) {
        auto gap = peers_.at(member).sent_at + min_catch_up_gap - now_;
        due = std::min(due, std::max({1.0, gap, time_until_tokens(tokens_needed(RegisterKind::rate_limit))}));
      }
    return due;
  }

  static constexpr Rule<GossipRegisters> rules[] = {
      {"news is owed to members", &GossipRegisters::broadcast_due, &GossipRegisters::continue_broadcast},
      {"a word is for one member", &GossipRegisters::forward_due, &GossipRegisters::send_forward},
      {"time to compare", &GossipRegisters::compare_due, &GossipRegisters::start_compare},
      {"a peer catches up", &GossipRegisters::catch_up_due, &GossipRegisters::send_catch_up},
      {"fresh words go to one drawn by chance", &GossipRegisters::gossip_due, &GossipRegisters::gossip},
  };

  const MemberId self_;
  const Incarnation incarnation_;
  std::uint64_t
      counter_;  // above all that was heard; begins with the life's number, above earlier lives' words
  std::minstd_rand random_;
  bool first_turn_ = true, caught_up_ = false, full_ = false;
  Millis wake_up_at_ = -1, stalled_until_ = -unknown_age;
  Millis now_ = 0, started_at_ = 0, tokens_updated_at_ = 0, compare_at_ = 0, gossip_at_ = 0,
         answered_at_ = -1, last_growth_at_ = -unknown_age, bulk_received_at_ = -unknown_age;
  MemberId bulk_sender_{};
  double tokens_ = 1;
  std::size_t message_size_ = 0;
  RegisterTable table_;
  std::vector<std::pair<std::uint64_t, MemberId>> others_;  // others that are alive, by distance on the ring
  std::set<MemberId> living_;
  std::vector<MemberId> gossip_deck_, compare_deck_;
  std::vector<MemberId> reached_;                    // linked and alive
  std::set<MemberId> catch_up_peers_;                // that are owed something of catch-up, or were lately
  std::map<MemberId, Peer> peers_;                   // linked
  PendingBroadcasts broadcasts_;                     // news owed to all others up to that distance
  std::map<MemberId, std::set<EntryKey>> forwards_;  // words for one member
  std::map<EntryKey, std::size_t> gossip_;           // how often each still goes to one drawn by chance
  std::map<std::string, Millis> reported_ends_;      // of waits, as given to the decision module
  Millis cleanup_at_ = 0;
  std::set<std::string> changed_;  // routes to tell the decision module of
  std::set<std::pair<EntryKey, Version>> named_conflicts_;
  Actions actions_;
};

}  // namespace

std::unique_ptr<Registers> Registers::make(MemberId self, Incarnation own, int members, std::uint64_t seed) {
  return std::make_unique<GossipRegisters>(self, own, members, seed);
}

}  // namespace rockcrank::fleet
