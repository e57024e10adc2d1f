// How register updates spread, and how members find out where their registers differ; see registers.h for the
// interface. A new record is broadcast down a tree over the ring of member ids: each message halves the range
// that its sender still has to cover, so that every member receives it once and log2(members) hops reach all
// (as in El-Ansary, Alima, Brand, Haridi, "Efficient Broadcast in Structured P2P Networks", 2003). A little
// gossip, and anti-entropy by digests of ranges with random members, repair what was lost (Demers and others,
// "Epidemic Algorithms for Replicated Database Maintenance", 1987).

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

// Rate limits. With at most small_fleet_peers others, records go directly to each. With more, a member sends
// at most `rate` messages a second beyond `burst`; with membership's 5 that is under 20 in any second.
constexpr std::size_t small_fleet_peers = 8;
constexpr double small_fleet_rate = 20, small_fleet_burst = 3;  // for each other member
constexpr double rate = 10, burst = 5;
constexpr std::size_t tree_branches = 3;  // of one member
// Tokens that less urgent messages leave to urgent ones.
constexpr double catch_up_reserve = 2, gossip_reserve = 3;
constexpr std::size_t max_message_bytes = 48 << 10;
constexpr std::size_t max_forward_to = 8;

// Gossip: each new urgent record is added to messages for this many members, whatever those messages are for.
// If none is sent, one goes to a random member that lacks a record at this interval, as far as the rate limit
// allows.
constexpr std::size_t gossip_copies = 6;
constexpr Millis gossip_interval = 100, small_fleet_gossip_interval = 20;
constexpr Millis max_gossip_age = 10e3;  // since the record was written

constexpr Millis compare_interval = 1000, catch_up_compare_interval = 250;  // the latter until caught up
constexpr Millis compare_jitter = 50;     // spreads members that return at the same time
constexpr Millis compare_overdue = 2000;  // then a comparison is urgent
constexpr Millis exchange_timeout = 500;  // one comparison with a peer at a time
constexpr Millis crossing_window = 100;   // two members that started to compare with each other
constexpr Millis settle_time = 1000, isolation_time = 5000;
constexpr Millis min_catch_up_gap = 25;         // between two catch-up messages to one peer
constexpr std::uint64_t max_unsplit_names = 2;  // in a range that is not split further
// For the range of a whole kind; larger, since each step of splitting also costs a round trip.
constexpr std::uint64_t max_unsplit_names_of_kind = 64;
constexpr int max_split_bits = 48;
constexpr std::size_t max_tasks = 1 << 14;  // for one peer; later comparisons find the rest again

// Smaller differences are echoes of what this module reported to the relay, or not worth a message.
constexpr Millis time_tolerance = 0.001;
constexpr Millis max_network_delay = 50;
constexpr Millis outage_refresh_interval = 5 * 60e3;  // an outage that goes on is published again
constexpr Millis limit_refresh_interval = 1000, min_limit_interval = 200;
constexpr double limit_tolerance = 0.1, share_tolerance = 0.1;
constexpr Millis cleanup_interval = 5000;
constexpr Millis unknown_age = 1e18;  // age of what nobody has published

// The most by which the rates of two clocks differ.
constexpr double clock_drift = 0.001;
// A process woken this late was stalled; messages that it reads shortly after may have waited in a buffer.
constexpr Millis stall_threshold = 100, stall_recovery_time = 50;

constexpr std::size_t max_name_bytes = 300;
constexpr std::uint64_t max_counter = std::uint64_t{1} << 62;
constexpr Millis max_duration = 30 * 24 * 3600e3;
constexpr double max_figure = 1e12;
constexpr std::size_t max_named_conflicts = 1024;

std::size_t max_packed_size(const RegisterRecord& record) { return 96 + record.name.size(); }
constexpr std::size_t digest_size = 26, child_sum_size = 5, name_digest_size = 26;
constexpr std::size_t bulk_records = 64;  // as many new records in one message mean a bulk transfer

std::string route_name(const RouteStatus& status) {
  char text[24];
  std::snprintf(text, sizeof text, "%c%016llx", status.per_endpoint ? 'e' : 'd',
                static_cast<unsigned long long>(status.route));
  return text;
}

bool is_route_name(const std::string& name) {
  return name.size() == 17 && (name[0] == 'e' || name[0] == 'd') &&
         name.find_first_not_of("0123456789abcdef", 1) == std::string::npos;
}

void check(bool right, const char* what) {
  if (!right)
    throw BadMessage(std::string("a register message has ") + what, "registers",
                     "run compatible versions on all members");
}

void check(const RegisterRecord& record) {
  auto within = [](double value, double max) { return value >= 0 && value <= max; };  // false for NaN
  check(record.kind <= RegisterKind::offline, "an unknown register kind");
  check(record.state <= RouteState::recovering, "an unknown state");
  check(record.version.counter <= max_counter, "an impossible version counter");
  check(within(record.age, unknown_age) && within(record.duration, max_duration), "a time out of range");
  check(within(record.rate_before_outage, max_figure) && within(record.rate_limit, max_figure) &&
            within(record.remaining_share, max_figure),
        "a figure out of range");
  check(
      record.kind == RegisterKind::offline
          ? std::all_of(record.name.begin(), record.name.end(), [](char c) { return c > ' ' && c < 127; }) &&
                !record.name.empty() && record.name.size() <= max_name_bytes
          : is_route_name(record.name),
      "an invalid name");
}

void check(const RangeDigest& range) {
  check(range.kind <= RegisterKind::offline, "an unknown register kind");
  check(range.bits <= 64 && (range.bits == 64 || range.prefix >> range.bits == 0), "an invalid range");
}

class GossipRegisters : public Registers {
 public:
  GossipRegisters(MemberId self, Incarnation incarnation, int members, std::uint64_t seed)
      : self_(self),
        incarnation_(incarnation),
        counter_(std::min(incarnation.number, max_counter / 2)),
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
    for (const auto& [ring_distance, member] : others_)
      if (living_.insert(member).second && peers_.count(member) && peers_[member].needs_compare)
        schedule_compare();
    update_reached();
  }

  // A peer that returns may have missed updates, and may run on a different clock.
  void on_link_change(MemberId peer, bool up) override {
    peers_.erase(peer), forwards_.erase(peer), catch_up_peers_.erase(peer);
    if (peers_.empty()) caught_up_ = false, answered_at_ = -1;
    if (up) peers_[peer].needs_compare = true, schedule_compare();
    update_reached();
  }

  void publish(const RouteStatus& status) override {
    RegisterRecord record;
    record.name = route_name(status);
    if (std::isfinite(status.retry_after_left) && status.retry_after_left > 0) {
      // A received wait ends later here than at its origin, by the network delay, so this relay's own wait is
      // published even if it seems to end slightly earlier. An echo of a received wait must not be published
      // as its own, or the end would move with every round.
      auto end = now_ + status.retry_after_left, known_end = table_.retry_after_end(record.name);
      auto reported = reported_ends_.find(record.name);
      bool echo = reported != reported_ends_.end() && std::abs(end - reported->second) <= time_tolerance;
      record.kind = RegisterKind::retry_after, record.version.origin = self_,
      record.incarnation = incarnation_;
      const Entry* published = table_.find(key_of(record));
      bool later = !published || end > published->written_at + published->record.duration + time_tolerance;
      record.duration = std::min(status.retry_after_left, max_duration);
      if (!echo && later && end > known_end - max_network_delay) write(record, now_);
      record.duration = 0;
    }
    publish_outage(status, record);
    publish_limit(status, record);
  }

  void publish_offline(const std::string& endpoint, bool offline) override {
    if (endpoint.empty() || endpoint.size() > max_name_bytes) return;
    RegisterRecord record;
    record.kind = RegisterKind::offline, record.name = endpoint, record.offline = offline;
    const Entry* held = table_.find(key_of(record));
    if (!held || held->record.offline != offline) write(record, now_);
  }

  void on_message(MemberId from, const RegisterMessage& message) override {
    for (const auto& broadcast : message.broadcasts)
      for (const auto& record : broadcast.records) check(record);
    for (const auto& record : message.records) check(record);
    for (const auto& range : message.digests) check(range);
    for (const auto& range : message.requested) check(range);
    for (const auto& split : message.splits) {
      RangeDigest range{split.kind, split.prefix, split.bits, 0, 0};
      check(range);
      check(split.bits <= max_split_bits &&
                split.child_sums.size() == std::size_t{1} << RegisterTable::split_bits(range),
            "an invalid split");
    }
    for (const auto& range : message.range_names)
      check(RangeDigest{range.kind, range.prefix, range.bits, 0, 0});
    check(std::isfinite(message.sent_at), "an invalid send time");
    Peer unlinked;  // its link is already down, so it gets no answer
    Peer& peer = peers_.count(from) ? peers_[from] : unlinked;
    // After a stall, and without a measure of how late the message is, its waits would end later by the
    // length of the stall. Its records are ignored and fetched again by a comparison.
    bool unmeasured = peer.clock_offset_at < 0 && now_ < stalled_until_;
    Millis late = lateness(peer, message.sent_at);
    if (unmeasured) {
      peer.clock_offset_at = -1, peer.needs_compare = true;
      return schedule_compare();
    }
    for (const auto& broadcast : message.broadcasts)
      for (const auto& record : broadcast.records) accept_broadcast(broadcast, record, merge(record, late));
    std::vector<const RegisterRecord*> applied;
    for (const auto& record : message.records)
      if (merge(record, late) == RegisterTable::MergeResult::applied) applied.push_back(&record);
    auto applied_count = applied.size();
    // Bulk transfers and old records are only new to this member, not to the fleet.
    for (const RegisterRecord* record : applied)
      if (applied_count < bulk_records && record->age < max_gossip_age) start_gossip(*record);
    if (applied_count > 0 && message.from_comparison) last_growth_at_ = now_;
    if (applied_count >= bulk_records) bulk_sender_ = from, bulk_received_at_ = now_;
    if (message.from_comparison || message.in_sync) peer.exchanged_at = now_;
    if (message.from_comparison && answered_at_ < 0) answered_at_ = now_;
    if (message.from_comparison || message.in_sync) peer.compared_at = -unknown_age;
    compare_digests(from, peer, message);
    for (const auto& split : message.splits) compare_range(peer, split);
    for (const auto& names : message.range_names) compare_range(peer, names);
    for (const auto& range : message.requested) queue_records(peer, range);
    if (peers_.count(from)) catch_up_peers_.insert(from);
    if (message.in_sync) caught_up_ = true;
  }

  Actions decide() override {
    refill_tokens();
    update_caught_up();
    run_by_priority(*this, rules);
    for (const auto& name : std::exchange(changed_, {})) actions_.route_statuses.push_back(report_of(name));
    report_conflicts();
    actions_.wake_in = next_wake_up();
    wake_up_at_ = actions_.wake_in < 0 ? -1 : now_ + actions_.wake_in;
    return std::exchange(actions_, {});
  }

  std::vector<RegisterRecord> all_records() const override {
    return records_where(SIZE_MAX, [](const RegisterRecord&) { return true; });
  }
  std::vector<RegisterRecord> records_to_persist(std::size_t max_count) const override {
    return records_where(max_count, [](const RegisterRecord& record) {
      if (record.kind == RegisterKind::retry_after) return record.age < record.duration;
      return record.kind != RegisterKind::outage || record.state != RouteState::healthy;
    });
  }

  void restore(const std::vector<RegisterRecord>& records, Millis gone_for) override {
    for (const auto& record : records) check(record);
    for (const auto& record : records) {
      counter_ = std::max(counter_, record.version.counter);
      auto result = table_.merge(record, now_ - record.age - std::max(gone_for, 0.0), now_);
      if (result == RegisterTable::MergeResult::applied || result == RegisterTable::MergeResult::earlier)
        mark_changed(record);
    }
  }

  // When isolated, only after other members would have been found.
  bool caught_up() const override {
    return caught_up_ || (living_.empty() && peers_.empty() && now_ >= started_at_ + isolation_time);
  }

 private:
  struct Peer {
    bool needs_compare = false;  // compare all digests soon
    bool send_in_sync = false;   // confirm to it that both hold the same
    bool ask_in_sync = false;    // request that confirmation from it
    Millis exchanged_at = -unknown_age, sent_at = -unknown_age, compared_at = -unknown_age;
    // The least by which this clock was ahead of a message's send time at its arrival, and when that was.
    Millis clock_offset = 0, clock_offset_at = -1;
    // Catch-up tasks, by priority of the kind.
    struct Task {
      RangeDigest range;
      EntryKey next_key;  // sending: where to continue
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
  // A record still to be sent to all others up to that distance on the ring.
  struct PendingBroadcast {
    std::uint64_t distance = 0;
    std::size_t parts = 0;  // into which the remaining range is divided
    bool divided = false;
  };
  using PendingBroadcasts = std::map<EntryKey, PendingBroadcast>;
  std::uint64_t distance(MemberId to) const {
    return static_cast<std::uint64_t>(to) - static_cast<std::uint64_t>(self_);
  }
  MemberId member_at(std::uint64_t ring_distance) const {
    return MemberId{static_cast<std::uint64_t>(self_) + ring_distance};
  }
  // A record that is still added to messages for other members. Each member gets one copy: a second copy to
  // the same member would leave none for another one, which perhaps only this member reaches.
  struct PendingGossip {
    std::size_t copies_left = 0;
    std::set<MemberId> sent_to;
  };
  bool reaches(MemberId member) const { return peers_.count(member) && living_.count(member); }
  RegisterRecord with_current_age(const Entry& entry) const {
    RegisterRecord record = entry.record;
    record.age = std::max(0.0, now_ - entry.written_at);
    return record;
  }

  template <typename Predicate>
  std::vector<RegisterRecord> records_where(std::size_t max_count, Predicate include) const {
    std::vector<RegisterRecord> records;
    for (RegisterKind kind : kinds_by_priority)
      for (auto at = table_.range_begin({kind, 0, 0, 0, 0});
           records.size() < max_count && table_.in_range({kind, 0, 0, 0, 0}, at); ++at)
        if (auto record = with_current_age(at->second); include(record)) records.push_back(std::move(record));
    return records;
  }

  // By how much more this message was delayed than the fastest recent one. A stalled peer or process leaves
  // messages in buffers, and waits would end later by as long. The fastest delay grows by the clock drift, so
  // that a wait is never cut short.
  Millis lateness(Peer& peer, Millis sent_at) {
    Millis offset = now_ - sent_at,
           max_offset = peer.clock_offset + clock_drift * (now_ - peer.clock_offset_at);
    if (peer.clock_offset_at < 0 || offset <= max_offset) {
      peer.clock_offset = offset, peer.clock_offset_at = now_;
      return 0;
    }
    return offset - max_offset;
  }

  // --- local and received records ---

  void write(RegisterRecord record, Millis written_at) {
    record.version = {++counter_, self_}, record.incarnation = incarnation_, record.age = 0;
    if (table_.merge(record, written_at, now_) != RegisterTable::MergeResult::applied) return;
    broadcasts_[key_of(record)] = {UINT64_MAX};
    start_gossip(record);
  }

  // Only newer evidence; what the relay learned from this module comes back as older.
  void publish_outage(const RouteStatus& status, RegisterRecord record) {
    record.kind = RegisterKind::outage, record.state = status.state;
    record.rate_before_outage =
        std::isfinite(status.rate_before_outage) ? std::clamp(status.rate_before_outage, 0.0, max_figure) : 0;
    const Entry* held = table_.find(key_of(record));
    auto seen = now_ - std::max(status.state_age, 0.0);
    if (!held && status.state == RouteState::healthy) return;
    if (held && seen <= held->written_at + time_tolerance) return;
    if (held && held->record.state == status.state && seen < held->written_at + outage_refresh_interval)
      return;
    write(record, seen);
  }

  void publish_limit(const RouteStatus& status, RegisterRecord record) {
    if (!std::isfinite(status.rate_limit) || status.rate_limit <= 0 || status.rate_limit > max_figure) return;
    record.kind = RegisterKind::rate_limit, record.rate_limit = status.rate_limit;
    record.remaining_share =
        std::isfinite(status.remaining_share) ? std::clamp(status.remaining_share, 0.0, 1.0) : 1;
    const Entry* held = table_.find(key_of(record));
    auto met = now_ - std::max(status.limit_age, 0.0);
    if (held) {
      bool similar = std::abs(held->record.rate_limit - record.rate_limit) <=
                         limit_tolerance * held->record.rate_limit &&
                     std::abs(held->record.remaining_share - record.remaining_share) <= share_tolerance;
      if (met <= held->written_at + (similar ? limit_refresh_interval : min_limit_interval)) return;
    }
    write(record, met);
  }

  RegisterTable::MergeResult merge(const RegisterRecord& record, Millis late) {
    counter_ = std::max(counter_, record.version.counter);
    const Entry* held = table_.find(key_of(record));
    Entry own_entry;
    bool was_own = held && held->record.version.origin == self_ && held->record.incarnation == incarnation_;
    if (was_own) own_entry = *held;
    auto result = table_.merge(record, now_ - record.age - late, now_);
    if (result == RegisterTable::MergeResult::full && !std::exchange(full_, true))
      actions_.log.push_back("the register table is full: entries of other members are dropped");
    if (result != RegisterTable::MergeResult::applied && result != RegisterTable::MergeResult::earlier)
      return result;
    // An earlier incarnation of this member may have had a higher counter than this one knew of. What this
    // one wrote since is newer, so it is written again.
    if (was_own && record.version.origin == self_ && record.incarnation != incarnation_)
      write(own_entry.record, own_entry.written_at);
    else mark_changed(record);
    return result;
  }

  void mark_changed(const RegisterRecord& record) {
    if (record.kind != RegisterKind::offline) changed_.insert(record.name);
    else actions_.offline_orders.push_back({record.name, record.offline});
  }

  void accept_broadcast(const Broadcast& broadcast, const RegisterRecord& record,
                        RegisterTable::MergeResult result) {
    auto key = key_of(record);
    if (!table_.find(key)) return;
    if (auto ring_distance = distance(broadcast.last)) {
      auto& distance_left = broadcasts_[key].distance;
      distance_left = std::max(distance_left, ring_distance);
    }
    for (MemberId member : broadcast.forward_to)
      if (reaches(member)) forwards_[member].insert(key);
    if (result == RegisterTable::MergeResult::applied) start_gossip(record);
  }

  Millis next_gossip_delay() {
    return (is_small_fleet() ? small_fleet_gossip_interval : gossip_interval) * (0.8 + 0.4 * draw_unit());
  }
  void start_gossip(const RegisterRecord& record) {
    if (record.kind == RegisterKind::rate_limit) return;
    if (gossip_.empty()) gossip_at_ = now_ + next_gossip_delay();
    gossip_[key_of(record)] = {std::min(gossip_copies, others_.size()), {}};
  }

  RouteStatus report_of(const std::string& name) {
    RouteStatus status;
    status.per_endpoint = name[0] == 'e';
    status.route = std::stoull(name.substr(1), nullptr, 16);
    status.retry_after_left = std::max(0.0, table_.retry_after_end(name) - now_);
    if (status.retry_after_left > 0) {
      auto& end = reported_ends_[name];
      end = std::max(end, now_ + status.retry_after_left);
    }
    RegisterRecord record;
    record.name = name, status.state_age = unknown_age, status.limit_age = unknown_age;
    record.kind = RegisterKind::outage;
    if (const Entry* entry = table_.find(key_of(record))) {
      status.state = entry->record.state, status.state_age = std::max(0.0, now_ - entry->written_at);
      // A relay that sent there itself knows its own rate. The others divide the origin's rate among
      // themselves, or together they would overload a destination that is still recovering.
      status.rate_before_outage = entry->record.rate_before_outage / static_cast<double>(others_.size() + 1);
    }
    record.kind = RegisterKind::rate_limit;
    if (const Entry* entry = table_.find(key_of(record))) {
      status.rate_limit = entry->record.rate_limit, status.remaining_share = entry->record.remaining_share;
      status.limit_age = std::max(0.0, now_ - entry->written_at);
    }
    return status;
  }

  void report_conflicts() {
    for (const auto& conflict : table_.take_conflicts()) {
      if (named_conflicts_.size() >= max_named_conflicts) named_conflicts_.clear();
      if (!named_conflicts_.insert({conflict.key, conflict.version}).second) continue;
      char text[120];
      std::snprintf(text, sizeof text, "%s of %.40s, version %llu of %016llx",
                    conflict.key.kind == RegisterKind::retry_after  ? "retry-after"
                    : conflict.key.kind == RegisterKind::outage     ? "outage"
                    : conflict.key.kind == RegisterKind::rate_limit ? "limit"
                                                                    : "offline order",
                    conflict.key.name.c_str(), static_cast<unsigned long long>(conflict.version.counter),
                    static_cast<unsigned long long>(conflict.version.origin));
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
    // If both started at the same time, only one answers. And no second peer sends what one already sends.
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
      auto until =
          std::max(one.second.exchanged_at + exchange_timeout, one.second.compared_at + crossing_window);
      return one.first != peer && now_ < until;
    });
  }
  void compare_range(Peer& peer, const RangeSplit& theirs) {
    int more_bits = RegisterTable::split_bits({theirs.kind, theirs.prefix, theirs.bits, 0, 0});
    for (std::uint64_t i = 0; i < theirs.child_sums.size(); ++i) {
      auto mine = table_.digest(theirs.kind, theirs.prefix << more_bits | i, theirs.bits + more_bits);
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
    std::map<std::uint64_t, NameDigest> own;
    for (const auto& digest : table_.names({theirs.kind, theirs.prefix, theirs.bits, 0, 0}))
      own[digest.hash] = digest;
    auto range_of = [&](std::uint64_t hash) { return RangeDigest{theirs.kind, hash, 64, 0, 0}; };
    for (const auto& digest : theirs.names) {
      auto mine = own.find(digest.hash);
      bool lacks = mine == own.end();
      if (!lacks && mine->second.sum == digest.sum) {
        own.erase(mine);
        continue;
      }
      // For waits, each side may hold entries that the other lacks; for other kinds the newer version wins.
      bool merge_both = theirs.kind == RegisterKind::retry_after;
      bool receive = lacks || merge_both || mine->second.counter <= digest.counter;
      bool offer = !lacks && (merge_both || mine->second.counter >= digest.counter);
      if (receive && has_task_capacity(peer)) Peer::add(peer.requested, range_of(digest.hash));
      if (!offer) own.erase(digest.hash);
    }
    for (const auto& [hash, digest] : own) queue_records(peer, range_of(hash));
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
    double tokens_per_second =
        is_small_fleet() ? small_fleet_rate * static_cast<double>(others_.size()) : rate;
    tokens_ = std::min(max_tokens(), tokens_ + (now_ - tokens_updated_at_) / 1000 * tokens_per_second);
    tokens_updated_at_ = now_;
  }
  Millis time_until_tokens(double wanted) const {
    double tokens_per_second =
        is_small_fleet() ? small_fleet_rate * static_cast<double>(others_.size()) : rate;
    return tokens_per_second <= 0 ? unknown_age
                                  : std::max(0.0, (wanted - tokens_) / tokens_per_second * 1000);
  }
  double draw_unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  // Random, but each once before any is drawn again, so that all are soon reached where there are few.
  MemberId draw_peer(std::vector<MemberId>& deck) {
    if (deck.empty()) deck = reached_, std::shuffle(deck.begin(), deck.end(), random_);
    if (deck.empty()) return self_;
    auto peer = deck.back();
    deck.pop_back();
    return peer;
  }
  void update_reached() {
    std::vector<MemberId> reached;
    for (const auto& [ring_distance, member] : others_)
      if (peers_.count(member)) reached.push_back(member);
    if (reached == reached_) return;
    reached_ = std::move(reached);
    gossip_deck_.clear(), compare_deck_.clear();
  }

  // The number of others up to that distance on the ring.
  std::size_t members_within(std::uint64_t ring_distance) const {
    return static_cast<std::size_t>(std::upper_bound(others_.begin(), others_.end(),
                                                     std::make_pair(ring_distance, MemberId{UINT64_MAX})) -
                                    others_.begin());
  }

  // The most urgent kind first, then the largest distance. Drops broadcasts that are done or have no record.
  PendingBroadcasts::iterator most_urgent_broadcast() {
    for (RegisterKind kind : kinds_by_priority) {
      auto best = broadcasts_.end();
      for (auto at = broadcasts_.lower_bound({kind, 0, {}, {}, {}});
           at != broadcasts_.end() && at->first.kind == kind;) {
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
  double tokens_needed(RegisterKind kind) const {
    return kind == RegisterKind::rate_limit ? 1 + std::min(catch_up_reserve, max_tokens() / 2) : 1;
  }

  double gossip_tokens_needed() const { return 1 + std::min(gossip_reserve, max_tokens() / 2); }

  bool broadcast_due() {
    if (broadcasts_.empty() || tokens_ < 1) return false;
    auto pending = most_urgent_broadcast();
    return pending != broadcasts_.end() && tokens_ >= tokens_needed(pending->first.kind);
  }
  // With enough tokens, sends to each member directly. Otherwise tree_branches members take over equal parts,
  // so that nothing is left to do here: a hop costs less than waiting for the next token. With a single
  // token, one member takes over half.
  void continue_broadcast() {
    auto pending = most_urgent_broadcast();
    auto ring_distance = pending->second.distance;
    std::vector<MemberId> linked;
    std::vector<MemberId> unlinked;
    for (std::size_t i = 0; i < members_within(ring_distance); ++i)
      (peers_.count(others_[i].second) ? linked : unlinked).push_back(others_[i].second);
    if (linked.empty()) return hand_over_broadcasts(pending, unlinked);
    auto& parts = pending->second.parts;
    if (parts == 0) parts = std::min(static_cast<std::size_t>(tokens_), tree_branches);
    bool to_each = is_small_fleet() || static_cast<double>(linked.size()) <= tokens_;
    auto part_size = to_each                                  ? 1
                     : parts == 1 && !pending->second.divided ? (linked.size() + 1) / 2
                                                              : (linked.size() + parts - 1) / parts;
    pending->second.divided = parts > 1 || pending->second.divided;
    if (--parts == 0) pending->second.divided = false;
    send_all_for(linked[linked.size() - part_size], true);
  }
  // These members are alive but not linked to this one; a random linked member forwards to them.
  void hand_over_broadcasts(PendingBroadcasts::iterator pending, std::vector<MemberId> unlinked) {
    auto forwarder = draw_peer(gossip_deck_);
    if (forwarder != self_ && unlinked.size() > max_forward_to) unlinked.resize(max_forward_to);
    auto ring_distance = pending->second.distance;
    RegisterMessage message;
    message_size_ = 64;
    message.broadcasts.push_back({forwarder, unlinked, {}});
    for (auto at = broadcasts_.begin(); at != broadcasts_.end();) {
      if (at->second.distance != ring_distance) {
        ++at;
        continue;
      }
      if (const Entry* entry = table_.find(at->first);
          entry && forwarder != self_ && add_size(message, *entry))
        message.broadcasts.back().records.push_back(with_current_age(*entry));
      at = broadcasts_.erase(at);
    }
    if (forwarder != self_ && !message.broadcasts.back().records.empty()) send(forwarder, std::move(message));
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
    auto to = draw_gossip_peer();
    if (to == self_) gossip_.clear();
    else send_all_for(to, false);
  }
  // A member that lacks the copy of a record; this one if none does.
  MemberId draw_gossip_peer() {
    for (std::size_t draws = 0; draws < 2 * reached_.size(); ++draws) {  // each member once at least
      auto to = draw_peer(gossip_deck_);
      if (lacks_gossip(to)) return to;
    }
    return self_;
  }
  bool lacks_gossip(MemberId member) const {
    return std::ranges::any_of(gossip_, [&](const auto& one) { return !one.second.sent_to.count(member); });
  }
  void add_gossip(MemberId to, RegisterMessage& message, const std::set<EntryKey>& included) {
    for (auto at = gossip_.begin(); at != gossip_.end();) {
      auto& [copies_left, sent_to] = at->second;
      if (sent_to.count(to)) {
        ++at;
        continue;
      }
      const Entry* entry = included.count(at->first) ? nullptr : table_.find(at->first);
      if (entry && !add_size(message, *entry)) break;
      if (entry) message.records.push_back(with_current_age(*entry));
      sent_to.insert(to);
      if (copies_left <= 1) at = gossip_.erase(at);
      else --copies_left, ++at;
    }
  }

  bool compare_due() {
    if (living_.empty()) return false;
    auto late = now_ - compare_at_;
    return late >= 0 && tokens_ >= (late >= compare_overdue ? 1 : tokens_needed(RegisterKind::rate_limit));
  }
  void schedule_compare() { compare_at_ = std::min(compare_at_, now_ + compare_jitter * draw_unit()); }
  // Peers that returned come first. While catching up, compares with one peer at a time, as a second one
  // would send the same records again.
  void start_compare() {
    compare_at_ =
        now_ + (caught_up_ ? compare_interval : catch_up_compare_interval) * (0.75 + 0.5 * draw_unit());
    auto to = draw_peer(compare_deck_);
    if (to == self_) return;
    if (busy_with_others(self_)) return;
    std::vector<MemberId> returned;
    for (const auto& [member, peer] : peers_)
      if (peer.needs_compare && living_.count(member)) returned.push_back(member);
    if (!returned.empty()) {
      to = returned[static_cast<std::size_t>(draw_unit() * static_cast<double>(returned.size()))];
      compare_at_ = now_ + catch_up_compare_interval * (0.75 + 0.5 * draw_unit());
    }
    Peer& peer = peers_[to];
    peer.needs_compare = false;
    if (now_ < peer.exchanged_at + exchange_timeout && peer.has_tasks()) return;
    peer.compared_at = now_;
    for (RegisterKind kind : kinds_by_priority) Peer::add(peer.digests, table_.digest(kind, 0, 0));
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

  // One message with everything for that member: broadcasts, forwarded records, gossip, and catch-up as far
  // as it fits.
  void send_all_for(MemberId to, bool with_broadcasts) {
    RegisterMessage message;
    message_size_ = 64;
    std::set<EntryKey> included;
    if (with_broadcasts) add_broadcasts(to, message, included);
    if (auto found = forwards_.find(to); found != forwards_.end()) {
      auto& keys = found->second;
      while (!keys.empty()) {
        const Entry* entry = table_.find(*keys.begin());
        if (entry && !add_size(message, *entry)) break;
        if (entry) message.records.push_back(with_current_age(*entry));
        included.insert(*keys.begin()), keys.erase(keys.begin());
      }
      if (keys.empty()) forwards_.erase(found);
    }
    add_gossip(to, message, included);
    Peer& peer = peers_[to];
    if (now_ >= peer.sent_at + min_catch_up_gap || !with_broadcasts) add_catch_up(peer, message);
    send(to, std::move(message));
  }

  void add_broadcasts(MemberId to, RegisterMessage& message, std::set<EntryKey>& included) {
    auto ring_distance = distance(to);
    std::map<std::uint64_t, Broadcast> broadcasts;
    for (RegisterKind kind : kinds_by_priority)
      for (auto at = broadcasts_.lower_bound({kind, 0, {}, {}, {}});
           at != broadcasts_.end() && at->first.kind == kind;) {
        const Entry* entry = at->second.distance >= ring_distance ? table_.find(at->first) : nullptr;
        if (!entry || !add_size(message, *entry)) {
          ++at;
          continue;
        }
        broadcasts[at->second.distance].records.push_back(with_current_age(*entry));
        included.insert(at->first);
        at->second.distance = ring_distance - 1;
        at = at->second.distance == 0 ? broadcasts_.erase(at) : std::next(at);
      }
    for (auto& [last, broadcast] : broadcasts) {
      broadcast.last = member_at(last);
      message.broadcasts.push_back(std::move(broadcast));
    }
  }

  void add_catch_up(Peer& peer, RegisterMessage& message) {
    message.in_sync = std::exchange(peer.send_in_sync, false),
    message.confirm_sync = std::exchange(peer.ask_in_sync, false);
    auto records_before = message.records.size();
    auto take = [&](Peer::Tasks& from, std::size_t size, auto add) {
      while (!from.empty() && message_size_ + size <= max_message_bytes) {
        add(from.begin()->second.range);
        message_size_ += size, from.erase(from.begin());
      }
    };
    take(peer.requested, digest_size, [&](const RangeDigest& range) { message.requested.push_back(range); });
    while (!peer.sending.empty()) {
      auto& task = peer.sending.begin()->second;
      auto at = task.started ? table_.entries().lower_bound(task.next_key) : table_.range_begin(task.range);
      while (table_.in_range(task.range, at) && add_size(message, at->second))
        message.records.push_back(with_current_age(at->second)), ++at;
      if (table_.in_range(task.range, at)) {
        task.next_key = at->first, task.started = true;
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
      auto names = table_.names(range);
      message_size_ += digest_size + name_digest_size * names.size();
      message.range_names.push_back({range.kind, range.prefix, range.bits, std::move(names)});
      peer.names.erase(peer.names.begin());
    }
    message.from_comparison = message.records.size() > records_before || !message.requested.empty() ||
                              !message.splits.empty() || !message.range_names.empty();
    if (message.from_comparison) peer.exchanged_at = now_;
  }

  void send(MemberId to, RegisterMessage message) {
    message.sent_at = now_;
    tokens_ -= 1, message_size_ = 0;
    peers_[to].sent_at = now_;
    actions_.sends.push_back({to, std::move(message)});
  }

  // Under constant updates two members may never hold the same. Then a member counts as caught up once a
  // comparison was answered and has brought nothing new for a while.
  void update_caught_up() {
    if (caught_up_ || answered_at_ < 0) return;
    caught_up_ = now_ >= std::max(answered_at_, last_growth_at_) + settle_time;
  }

  Millis next_wake_up() {
    if (living_.empty()) return -1;
    Millis wake_in = std::max(0.0, compare_at_ - now_);
    if (compare_due() || wake_in <= 0)
      wake_in = std::max(1.0, time_until_tokens(tokens_needed(RegisterKind::rate_limit)));
    if (!broadcasts_.empty()) {
      auto pending = most_urgent_broadcast();
      if (pending != broadcasts_.end())
        wake_in = std::min(wake_in, std::max(1.0, time_until_tokens(tokens_needed(pending->first.kind))));
    }
    if (!forwards_.empty()) wake_in = std::min(wake_in, std::max(1.0, time_until_tokens(1)));
    if (!gossip_.empty())
      wake_in =
          std::min(wake_in, std::max({1.0, gossip_at_ - now_, time_until_tokens(gossip_tokens_needed())}));
    for (MemberId member : catch_up_peers_)
      if (living_.count(member)) {
        auto gap = peers_.at(member).sent_at + min_catch_up_gap - now_;
        wake_in = std::min(wake_in,
                           std::max({1.0, gap, time_until_tokens(tokens_needed(RegisterKind::rate_limit))}));
      }
    return wake_in;
  }

  static constexpr Rule<GossipRegisters> rules[] = {
      {"pending broadcast", &GossipRegisters::broadcast_due, &GossipRegisters::continue_broadcast},
      {"record to forward", &GossipRegisters::forward_due, &GossipRegisters::send_forward},
      {"comparison due", &GossipRegisters::compare_due, &GossipRegisters::start_compare},
      {"catch-up task", &GossipRegisters::catch_up_due, &GossipRegisters::send_catch_up},
      {"gossip due", &GossipRegisters::gossip_due, &GossipRegisters::gossip},
  };

  const MemberId self_;
  const Incarnation incarnation_;
  // At least every counter received; starts at the incarnation's number, above those of earlier incarnations.
  std::uint64_t counter_;
  std::minstd_rand random_;
  bool first_turn_ = true, caught_up_ = false, full_ = false;
  Millis wake_up_at_ = -1, stalled_until_ = -unknown_age;
  Millis now_ = 0, started_at_ = 0, tokens_updated_at_ = 0, compare_at_ = 0, gossip_at_ = 0,
         answered_at_ = -1, last_growth_at_ = -unknown_age, bulk_received_at_ = -unknown_age;
  MemberId bulk_sender_{};
  double tokens_ = 1;
  std::size_t message_size_ = 0;
  RegisterTable table_;
  std::vector<std::pair<std::uint64_t, MemberId>> others_;  // alive, by distance on the ring
  std::set<MemberId> living_;
  std::vector<MemberId> gossip_deck_, compare_deck_;
  std::vector<MemberId> reached_;                    // linked and alive
  std::set<MemberId> catch_up_peers_;                // that have catch-up tasks, or had recently
  std::map<MemberId, Peer> peers_;                   // linked
  PendingBroadcasts broadcasts_;                     // by entry
  std::map<MemberId, std::set<EntryKey>> forwards_;  // for members that the broadcaster cannot reach
  std::map<EntryKey, PendingGossip> gossip_;
  std::map<std::string, Millis> reported_ends_;  // of waits, as reported to the decision module
  Millis cleanup_at_ = 0;
  std::set<std::string> changed_;  // names of routes to report to the decision module
  std::set<std::pair<EntryKey, Version>> named_conflicts_;
  Actions actions_;
};

}  // namespace

std::unique_ptr<Registers> Registers::make(MemberId self, Incarnation incarnation, int members,
                                           std::uint64_t seed) {
  return std::make_unique<GossipRegisters>(self, incarnation, members, seed);
}

}  // namespace rockcrank::fleet
