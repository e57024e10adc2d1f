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
constexpr std::size_t few = 8;
constexpr double few_rate = 20, few_burst = 3;  // for each other member
constexpr double rate = 10, burst = 5;
constexpr std::size_t branches = 3;            // of a tree, at a member
constexpr double spare = 2, gossip_spare = 3;  // what is not urgent leaves so many for what is
constexpr std::size_t message_bytes = 48 << 10;
constexpr std::size_t also_most = 8;

// Gossip: each fresh urgent word goes along with so many messages, whomever they are for; where none goes,
// one to a member drawn by chance, at this distance, as far as there are messages to spare.
constexpr std::size_t follows = 6;
constexpr Millis follow_every = 100, few_follow_every = 20;
constexpr Millis hot_for = 10e3;  // since it was said

constexpr Millis compare_every = 1000, compare_soon = 250;  // soon: not caught up yet
constexpr Millis compare_spread = 50;                       // over so long, of many that come back at once
constexpr Millis compare_late = 2000;                       // then it is urgent
constexpr Millis exchange_rest = 500;   // no second comparison with one peer while the first goes on
constexpr Millis crossed_within = 100;  // two comparisons that began at once
constexpr Millis settled_after = 1000, alone_after = 5000;
constexpr Millis peer_gap = 25;                 // between two messages of catch-up to one peer
constexpr std::uint64_t heads_most = 2;         // subjects of a range that is not split further
constexpr std::uint64_t whole_heads_most = 64;  // the same of a whole matter, as a step costs time too
constexpr int bits_most = 48;
constexpr std::size_t tasks_most = 1 << 14;  // for one peer; what is beyond is found again later

// What of one route is news: less is what this relay was told by us, or is not worth a message.
constexpr Millis same_moment = 0.001;
constexpr Millis crossings_most = 50;
constexpr Millis outage_again = 5 * 60e3;  // an outage that goes on is said again
constexpr Millis limit_again = 1000, limit_gap = 200;
constexpr double limit_alike = 0.1, share_alike = 0.1;
constexpr Millis forget_every = 5000;
constexpr Millis unheard = 1e18;  // age of what nobody has said

// Two clocks run apart by no more than this share.
constexpr double drift = 0.001;
// A process that is woken so late has stood still; what it hears for a moment after that may have lain.
constexpr Millis stall = 100, after_stall = 50;

constexpr std::size_t subject_most = 300;
constexpr std::uint64_t count_most = std::uint64_t{1} << 62;
constexpr Millis span_most = 30 * 24 * 3600e3;
constexpr double figure_most = 1e12;
constexpr std::size_t named_most = 1024;

std::size_t size_of(const RegisterRecord& word) { return 96 + word.name.size(); }  // at most, packed
constexpr std::size_t digest_size = 26, part_size = 5, head_size = 26;
constexpr std::size_t feeding = 64;  // fresh words in one message: a whole range is being sent

std::string subject_of(const RouteStatus& known) {
  char text[24];
  std::snprintf(text, sizeof text, "%c%016llx", known.per_endpoint ? 'e' : 'd',
                static_cast<unsigned long long>(known.route));
  return text;
}

bool names_route(const std::string& subject) {
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
  check(word.version.counter <= count_most, "a count that nobody can have reached");
  check(within(word.age, unheard) && within(word.duration, span_most), "a time out of range");
  check(within(word.rate_before_outage, figure_most) && within(word.rate_limit, figure_most) &&
            within(word.remaining_share, figure_most),
        "a figure out of range");
  check(word.kind == RegisterKind::offline
            ? std::all_of(word.name.begin(), word.name.end(), [](char c) { return c > ' ' && c < 127; }) &&
                  !word.name.empty() && word.name.size() <= subject_most
            : names_route(word.name),
        "a subject that names nothing");
}

void check(const RangeDigest& range) {
  check(range.kind <= RegisterKind::offline, "an unknown matter");
  check(range.bits <= 64 && (range.bits == 64 || range.prefix >> range.bits == 0), "a range that is none");
}

class Sharing : public Registers {
 public:
  Sharing(MemberId self, Incarnation own, int members, std::uint64_t seed)
      : self_(self),
        own_(own),
        count_(std::min(own.number, count_most / 2)),
        chance_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32))) {
    if (members < 2) caught_up_ = true;
  }

  void begin_turn(Millis now) override {
    if (first_) earned_at_ = began_at_ = compare_at_ = now;
    first_ = false;
    if (due_at_ >= 0 && now > due_at_ + stall) stalled_until_ = now + after_stall;
    now_ = std::max(now_, now);
    table_.remove_outdated(now_);
    if (now_ >= learned_due_) {
      std::erase_if(learned_ends_, [&](const auto& one) { return one.second <= now_; });
      learned_due_ = now_ + forget_every;
    }
  }

  void set_alive(const std::vector<MemberId>& members) override {
    order_.clear();
    for (MemberId member : members)
      if (member != self_) order_.emplace_back(distance(member), member);
    std::sort(order_.begin(), order_.end());
    living_.clear();
    for (const auto& [far, member] : order_)
      if (living_.insert(member).second && peers_.count(member) && peers_[member].compare)
        compare_soon_again();
    find_reached();
  }

  // A peer that is back may have missed anything, and its clock may be another one.
  void on_link_change(MemberId peer, bool up) override {
    peers_.erase(peer), errands_.erase(peer), owing_.erase(peer);
    if (peers_.empty()) caught_up_ = false, answered_at_ = -1;
    if (up) peers_[peer].compare = true, compare_soon_again();
    find_reached();
  }

  void publish(const RouteStatus& own) override {
    RegisterRecord word;
    word.name = subject_of(own);
    if (std::isfinite(own.retry_after_left) && own.retry_after_left > 0) {
      // What was heard ends here later than it was told, by the crossings on its way, so one's own wait
      // counts although it seems to end as soon. Guards against saying as one's own what was heard: it would
      // end later with every round.
      auto end = now_ + own.retry_after_left, known = table_.retry_after_end(word.name);
      auto learned = learned_ends_.find(word.name);
      bool echo = learned != learned_ends_.end() && std::abs(end - learned->second) <= same_moment;
      word.kind = RegisterKind::retry_after, word.version.origin = self_, word.incarnation = own_;
      const Entry* said = table_.find(key_of(word));
      bool later = !said || end > said->written_at + said->record.duration + same_moment;
      word.duration = std::min(own.retry_after_left, span_most);
      if (!echo && later && end > known - crossings_most) say(word, now_);
      word.duration = 0;
    }
    tell_outage(own, word);
    tell_limit(own, word);
  }

  void publish_offline(const std::string& endpoint, bool out) override {
    if (endpoint.empty() || endpoint.size() > subject_most) return;
    RegisterRecord word;
    word.kind = RegisterKind::offline, word.name = endpoint, word.offline = out;
    const Entry* held = table_.find(key_of(word));
    if (!held || held->record.offline != out) say(word, now_);
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
      check(split.bits <= bits_most && split.child_sums.size() == std::size_t{1}
                                                                      << RegisterTable::split_bits(range),
            "a split that is none");
    }
    for (const auto& heads : message.range_names)
      check(RangeDigest{heads.kind, heads.prefix, heads.bits, 0, 0});
    check(std::isfinite(message.sent_at), "no time");
    Peer stranger;  // its link is down already: it is heard, but not answered
    Peer& peer = peers_.count(from) ? peers_[from] : stranger;
    // Guards against waits that end later by as long as this process stood still: where there is no measure
    // of how late a message is, its words are not taken, but asked for anew.
    bool unmeasured = peer.ahead_at < 0 && now_ < stalled_until_;
    Millis late = lateness(peer, message.sent_at);
    if (unmeasured) {
      peer.ahead_at = -1, peer.compare = true;
      return compare_soon_again();
    }
    for (const auto& spread : message.broadcasts)
      for (const auto& word : spread.records) pass(spread, word, hear(word, late));
    std::vector<const RegisterRecord*> news;
    for (const auto& word : message.records)
      if (hear(word, late) == RegisterTable::MergeResult::applied) news.push_back(&word);
    auto fresh = news.size();
    // What comes in great number, or is old, is not new to the fleet but to this member.
    for (const RegisterRecord* word : news)
      if (fresh < feeding && word->age < hot_for) follow(*word);
    if (fresh > 0 && message.from_comparison) grown_at_ = now_;
    if (fresh >= feeding) fed_by_ = from, fed_at_ = now_;
    if (message.from_comparison || message.in_sync) peer.worked_at = now_;
    if (message.from_comparison && answered_at_ < 0) answered_at_ = now_;
    if (message.from_comparison || message.in_sync) peer.asked_at = -unheard;
    hear_whole(from, peer, message);
    for (const auto& split : message.splits) compare(peer, split);
    for (const auto& heads : message.range_names) compare(peer, heads);
    for (const auto& range : message.requested) serve(peer, range);
    if (peers_.count(from)) owing_.insert(from);
    if (message.in_sync) caught_up_ = true;
  }

  Actions decide() override {
    earn();
    settle();
    run_by_priority(*this, rules);
    for (const auto& subject : std::exchange(changed_, {}))
      done_.route_reports.push_back(knowledge_of(subject));
    name_differing();
    done_.wake_in = next_due();
    due_at_ = done_.wake_in < 0 ? -1 : now_ + done_.wake_in;
    return std::exchange(done_, {});
  }

  std::vector<RegisterRecord> all_records() const override {
    return words_of(SIZE_MAX, [](const RegisterRecord&) { return true; });
  }
  std::vector<RegisterRecord> records_to_persist(std::size_t most) const override {
    return words_of(most, [](const RegisterRecord& word) {
      if (word.kind == RegisterKind::retry_after) return word.age < word.duration;
      return word.kind != RegisterKind::outage || word.state != RouteState::healthy;
    });
  }

  void restore(const std::vector<RegisterRecord>& words, Millis gone_for) override {
    for (const auto& word : words) check(word);
    for (const auto& word : words) {
      count_ = std::max(count_, word.version.counter);
      auto result = table_.merge(word, now_ - word.age - std::max(gone_for, 0.0), now_);
      if (result == RegisterTable::MergeResult::applied || result == RegisterTable::MergeResult::earlier)
        changed(word);
    }
  }

  // Alone: not before others would have been found.
  bool caught_up() const override {
    return caught_up_ || (living_.empty() && peers_.empty() && now_ >= began_at_ + alone_after);
  }

 private:
  struct Peer {
    bool compare = false;  // with all that it holds, soon
    bool even = false;     // it is to hear that both hold the same
    bool asks = false;     // and this one wants to
    Millis worked_at = -unheard, sent_at = -unheard, asked_at = -unheard;
    // The least that this clock was ahead of the peer's at a message's arrival, and when that was.
    Millis ahead = 0, ahead_at = -1;
    // Catch-up, by rank of matter.
    struct Task {
      RangeDigest range;
      EntryKey from;  // serving: how far it has got
      bool begun = false;
    };
    using Tasks = std::map<std::tuple<int, std::uint8_t, std::uint64_t>, Task>;
    Tasks digests, splits, heads, wanted, serving;
    static void add(Tasks& tasks, const RangeDigest& range) {
      tasks.try_emplace({priority_of(range.kind), range.bits, range.prefix}, Task{range, {}, false});
    }
    bool owes() const {
      return even || !digests.empty() || !splits.empty() || !heads.empty() || !wanted.empty() ||
             !serving.empty();
    }
  };
  // News owed to all others up to that distance.
  struct Duty {
    std::uint64_t far = 0;
    std::size_t parts = 0;  // in which what is left is still to be given away
    bool planned = false;
  };
  using Duties = std::map<EntryKey, Duty>;
  std::uint64_t distance(MemberId to) const {
    return static_cast<std::uint64_t>(to) - static_cast<std::uint64_t>(self_);
  }
  MemberId at_distance(std::uint64_t far) const { return MemberId{static_cast<std::uint64_t>(self_) + far}; }
  bool reaches(MemberId member) const { return peers_.count(member) && living_.count(member); }
  RegisterRecord as_of_now(const Entry& entry) const {
    RegisterRecord word = entry.record;
    word.age = std::max(0.0, now_ - entry.written_at);
    return word;
  }

  template <typename Wanted>
  std::vector<RegisterRecord> words_of(std::size_t most, Wanted wanted) const {
    std::vector<RegisterRecord> words;
    for (RegisterKind matter : kinds_by_priority)
      for (auto at = table_.range_begin({matter, 0, 0, 0, 0});
           words.size() < most && table_.in_range({matter, 0, 0, 0, 0}, at); ++at)
        if (auto word = as_of_now(at->second); wanted(word)) words.push_back(std::move(word));
    return words;
  }

  // By how much later than the fastest lately this message came: a peer or this process that was stopped
  // leaves messages lying, and a wait would end later by as long. The fastest one is let grow old by the
  // drift of two clocks, so that a wait is never cut short.
  Millis lateness(Peer& peer, Millis sent) {
    Millis ahead = now_ - sent, most = peer.ahead + drift * (now_ - peer.ahead_at);
    if (peer.ahead_at < 0 || ahead <= most) {
      peer.ahead = ahead, peer.ahead_at = now_;
      return 0;
    }
    return ahead - most;
  }

  // --- what is said and heard ---

  void say(RegisterRecord word, Millis said_at) {
    word.version = {++count_, self_}, word.incarnation = own_, word.age = 0;
    if (table_.merge(word, said_at, now_) != RegisterTable::MergeResult::applied) return;
    duties_[key_of(word)] = {UINT64_MAX};
    follow(word);
  }

  // Newer evidence only: what this relay has learnt from here comes back as older.
  void tell_outage(const RouteStatus& own, RegisterRecord word) {
    word.kind = RegisterKind::outage, word.state = own.state;
    word.rate_before_outage =
        std::isfinite(own.rate_before_outage) ? std::clamp(own.rate_before_outage, 0.0, figure_most) : 0;
    const Entry* held = table_.find(key_of(word));
    auto seen = now_ - std::max(own.state_age, 0.0);
    if (!held && own.state == RouteState::healthy) return;
    if (held && seen <= held->written_at + same_moment) return;
    if (held && held->record.state == own.state && seen < held->written_at + outage_again) return;
    say(word, seen);
  }

  void tell_limit(const RouteStatus& own, RegisterRecord word) {
    if (!std::isfinite(own.rate_limit) || own.rate_limit <= 0 || own.rate_limit > figure_most) return;
    word.kind = RegisterKind::rate_limit, word.rate_limit = own.rate_limit;
    word.remaining_share = std::isfinite(own.remaining_share) ? std::clamp(own.remaining_share, 0.0, 1.0) : 1;
    const Entry* held = table_.find(key_of(word));
    auto met = now_ - std::max(own.limit_age, 0.0);
    if (held) {
      bool alike =
          std::abs(held->record.rate_limit - word.rate_limit) <= limit_alike * held->record.rate_limit &&
          std::abs(held->record.remaining_share - word.remaining_share) <= share_alike;
      if (met <= held->written_at + (alike ? limit_again : limit_gap)) return;
    }
    say(word, met);
  }

  RegisterTable::MergeResult hear(const RegisterRecord& word, Millis late) {
    count_ = std::max(count_, word.version.counter);
    const Entry* held = table_.find(key_of(word));
    Entry mine;
    bool was_mine = held && held->record.version.origin == self_ && held->record.incarnation == own_;
    if (was_mine) mine = *held;
    auto result = table_.merge(word, now_ - word.age - late, now_);
    if (result == RegisterTable::MergeResult::full && !std::exchange(full_, true))
      done_.log.push_back("shared state is full: entries of others are not kept");
    if (result != RegisterTable::MergeResult::applied && result != RegisterTable::MergeResult::earlier)
      return result;
    // Guards against an earlier life of this member that counted higher than this one knew of: what this life
    // said since is newer than all that the other did.
    if (was_mine && word.version.origin == self_ && word.incarnation != own_)
      say(mine.record, mine.written_at);
    else changed(word);
    return result;
  }

  void changed(const RegisterRecord& word) {
    if (word.kind != RegisterKind::offline) changed_.insert(word.name);
    else done_.offline_orders.push_back({word.name, word.offline});
  }

  void pass(const Broadcast& spread, const RegisterRecord& word, RegisterTable::MergeResult result) {
    auto key = key_of(word);
    if (!table_.find(key)) return;
    if (auto far = distance(spread.last)) {
      auto& duty = duties_[key].far;
      duty = std::max(duty, far);
    }
    for (MemberId member : spread.forward_to)
      if (reaches(member)) errands_[member].insert(key);
    if (result == RegisterTable::MergeResult::applied) follow(word);
  }

  Millis follow_distance() { return (few_others() ? few_follow_every : follow_every) * (0.8 + 0.4 * draw()); }
  void follow(const RegisterRecord& word) {
    if (word.kind == RegisterKind::rate_limit) return;
    if (follows_.empty()) follow_at_ = now_ + follow_distance();
    follows_[key_of(word)] = std::min(follows, order_.size());
  }

  RouteStatus knowledge_of(const std::string& subject) {
    RouteStatus known;
    known.per_endpoint = subject[0] == 'e';
    known.route = std::stoull(subject.substr(1), nullptr, 16);
    known.retry_after_left = std::max(0.0, table_.retry_after_end(subject) - now_);
    if (known.retry_after_left > 0) {
      auto& end = learned_ends_[subject];
      end = std::max(end, now_ + known.retry_after_left);
    }
    RegisterRecord word;
    word.name = subject, known.state_age = unheard, known.limit_age = unheard;
    word.kind = RegisterKind::outage;
    if (const Entry* entry = table_.find(key_of(word))) {
      known.state = entry->record.state, known.state_age = std::max(0.0, now_ - entry->written_at);
      // One that sent there itself knows its own rate; the others share what the teller sent, or together
      // they would push over what returns cold.
      known.rate_before_outage = entry->record.rate_before_outage / static_cast<double>(order_.size() + 1);
    }
    word.kind = RegisterKind::rate_limit;
    if (const Entry* entry = table_.find(key_of(word))) {
      known.rate_limit = entry->record.rate_limit, known.remaining_share = entry->record.remaining_share;
      known.limit_age = std::max(0.0, now_ - entry->written_at);
    }
    return known;
  }

  void name_differing() {
    for (const auto& one : table_.take_conflicts()) {
      if (named_.size() >= named_most) named_.clear();
      if (!named_.insert({one.key, one.version}).second) continue;
      char text[120];
      std::snprintf(text, sizeof text, "%s of %.40s, version %llu of %016llx",
                    one.key.kind == RegisterKind::retry_after  ? "told wait"
                    : one.key.kind == RegisterKind::outage     ? "outage"
                    : one.key.kind == RegisterKind::rate_limit ? "limit"
                                                               : "order of staff",
                    one.key.name.c_str(), static_cast<unsigned long long>(one.version.counter),
                    static_cast<unsigned long long>(one.version.origin));
      done_.conflicts.push_back(text);
    }
  }

  // --- comparing ---

  static bool has_room(const Peer& peer) {
    return peer.splits.size() + peer.heads.size() + peer.wanted.size() + peer.serving.size() < tasks_most;
  }

  void hear_whole(MemberId from, Peer& peer, const RegisterMessage& message) {
    if (message.digests.empty()) return;
    peer.compare = false;
    bool equal = true;
    auto differ = [&](const RangeDigest& theirs, const RangeDigest& mine) {
      return mine.sum != theirs.sum || mine.entry_count != theirs.entry_count;
    };
    auto mine = [&](const RangeDigest& theirs) {
      return table_.digest(theirs.kind, theirs.prefix, theirs.bits);
    };
    for (const auto& theirs : message.digests) equal &= !differ(theirs, mine(theirs));
    if (equal) {
      peer.even = message.confirm_sync, caught_up_ = true;
      return;
    }
    // Both asked at once: one of the two answers. And what one peer is sending already, no other is to send.
    if (now_ < peer.asked_at + crossed_within && self_ < from) return;
    if (busy_but_with(from)) return;
    peer.worked_at = now_;
    for (const auto& theirs : message.digests)
      if (differ(theirs, mine(theirs))) differs(peer, mine(theirs), theirs.entry_count == 0);
  }
  bool busy_but_with(MemberId peer) const {
    if (fed_by_ != peer && peers_.count(fed_by_) && now_ < fed_at_ + exchange_rest) return true;
    return !caught_up_ && std::any_of(peers_.begin(), peers_.end(), [&](const auto& one) {
      auto until = std::max(one.second.worked_at + exchange_rest, one.second.asked_at + crossed_within);
      return one.first != peer && now_ < until;
    });
  }
  void compare(Peer& peer, const RangeSplit& theirs) {
    int by = RegisterTable::split_bits({theirs.kind, theirs.prefix, theirs.bits, 0, 0});
    for (std::uint64_t i = 0; i < theirs.child_sums.size(); ++i) {
      auto mine = table_.digest(theirs.kind, theirs.prefix << by | i, theirs.bits + by);
      if (RegisterTable::half_sum(mine) != theirs.child_sums[i])
        differs(peer, mine, theirs.child_sums[i] == 0);
    }
  }
  void differs(Peer& peer, const RangeDigest& mine, bool theirs_empty) {
    if (!has_room(peer)) return;
    if (mine.entry_count == 0) Peer::add(peer.wanted, mine);
    else if (theirs_empty) serve(peer, mine);
    else if (mine.entry_count <= (mine.bits == 0 ? whole_heads_most : heads_most) || mine.bits >= bits_most)
      Peer::add(peer.heads, mine);
    else Peer::add(peer.splits, mine);
  }

  void compare(Peer& peer, const RangeNames& theirs) {
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
      if (take && has_room(peer)) Peer::add(peer.wanted, one(head.hash));
      if (!give) held.erase(head.hash);
    }
    for (const auto& [hash, head] : held) serve(peer, one(hash));
  }

  void serve(Peer& peer, RangeDigest range) {
    range.sum = range.entry_count = 0;
    if (has_room(peer)) Peer::add(peer.serving, range);
  }

  // --- messages ---

  bool few_others() const { return order_.size() <= few; }
  double tokens_most() const { return few_others() ? few_burst * static_cast<double>(order_.size()) : burst; }
  void earn() {
    double a_second = few_others() ? few_rate * static_cast<double>(order_.size()) : rate;
    tokens_ = std::min(tokens_most(), tokens_ + (now_ - earned_at_) / 1000 * a_second);
    earned_at_ = now_;
  }
  Millis until_tokens(double wanted) const {
    double a_second = few_others() ? few_rate * static_cast<double>(order_.size()) : rate;
    return a_second <= 0 ? unheard : std::max(0.0, (wanted - tokens_) / a_second * 1000);
  }
  double draw() { return std::uniform_real_distribution<double>(0, 1)(chance_); }

  // By chance, but each once before any comes again: where few are reached, all hear soon.
  MemberId draw_peer(std::vector<MemberId>& deck) {
    if (deck.empty()) deck = reached_, std::shuffle(deck.begin(), deck.end(), chance_);
    if (deck.empty()) return self_;
    auto drawn = deck.back();
    deck.pop_back();
    return drawn;
  }
  void find_reached() {
    std::vector<MemberId> reached;
    for (const auto& [far, member] : order_)
      if (peers_.count(member)) reached.push_back(member);
    if (reached == reached_) return;
    reached_ = std::move(reached);
    gossip_deck_.clear(), compare_deck_.clear();
  }

  // How many others lie no further than that.
  std::size_t covered(std::uint64_t far) const {
    return static_cast<std::size_t>(
        std::upper_bound(order_.begin(), order_.end(), std::make_pair(far, MemberId{UINT64_MAX})) -
        order_.begin());
  }

  // The most urgent duty, the furthest of these; those that are done or cannot be done are let go.
  Duties::iterator foremost() {
    for (RegisterKind matter : kinds_by_priority) {
      auto best = duties_.end();
      for (auto at = duties_.lower_bound({matter, 0, {}, {}, {}});
           at != duties_.end() && at->first.kind == matter;) {
        if (covered(at->second.far) == 0 || !table_.find(at->first)) {
          at = duties_.erase(at);
          continue;
        }
        if (best == duties_.end() || at->second.far > best->second.far) best = at;
        ++at;
      }
      if (best != duties_.end()) return best;
    }
    return duties_.end();
  }
  double needed(RegisterKind matter) const {
    return matter == RegisterKind::rate_limit ? 1 + std::min(spare, tokens_most() / 2) : 1;
  }

  double gossip_needed() const { return 1 + std::min(gossip_spare, tokens_most() / 2); }

  bool has_duty() {
    if (duties_.empty() || tokens_ < 1) return false;
    auto duty = foremost();
    return duty != duties_.end() && tokens_ >= needed(duty->first.kind);
  }
  // With messages enough at hand, each is told directly. Else `branches` members take over a like part each,
  // and nothing is left to do here: a hop costs less than waiting for the next message. With one at hand,
  // half.
  void pass_on() {
    auto duty = foremost();
    auto far = duty->second.far;
    std::vector<MemberId> known;
    std::vector<MemberId> unreached;
    for (std::size_t i = 0; i < covered(far); ++i)
      (peers_.count(order_[i].second) ? known : unreached).push_back(order_[i].second);
    if (known.empty()) return hand_over(duty, unreached);
    auto& parts = duty->second.parts;
    if (parts == 0) parts = std::min(static_cast<std::size_t>(tokens_), branches);
    bool each = few_others() || static_cast<double>(known.size()) <= tokens_;
    auto part = each                                  ? 1
                : parts == 1 && !duty->second.planned ? (known.size() + 1) / 2
                                                      : (known.size() + parts - 1) / parts;
    duty->second.planned = parts > 1 || duty->second.planned;
    if (--parts == 0) duty->second.planned = false;
    emit(known[known.size() - part], true);
  }
  // Alive, but the link there is cut: whoever is reached tells them.
  void hand_over(Duties::iterator duty, std::vector<MemberId> unreached) {
    auto by = draw_peer(gossip_deck_);
    if (by != self_ && unreached.size() > also_most) unreached.resize(also_most);
    auto far = duty->second.far;
    RegisterMessage message;
    building_ = 64;
    message.broadcasts.push_back({by, unreached, {}});
    for (auto at = duties_.begin(); at != duties_.end();) {
      if (at->second.far != far) {
        ++at;
        continue;
      }
      if (const Entry* entry = table_.find(at->first); entry && by != self_ && room_for(message, *entry))
        message.broadcasts.back().records.push_back(as_of_now(*entry));
      at = duties_.erase(at);
    }
    if (by != self_ && !message.broadcasts.back().records.empty()) send(by, std::move(message));
  }
  bool room_for(const RegisterMessage&, const Entry& entry) {
    std::size_t size = size_of(entry.record);
    if (building_ + size > message_bytes) return false;
    building_ += size;
    return true;
  }

  bool has_errand() { return tokens_ >= 1 && errand() != errands_.end(); }
  std::map<MemberId, std::set<EntryKey>>::iterator errand() {
    for (auto at = errands_.begin(); at != errands_.end();) {
      if (reaches(at->first) && !at->second.empty()) return at;
      at = errands_.erase(at);
    }
    return errands_.end();
  }
  void run_errand() { emit(errand()->first, false); }

  bool is_follow_due() { return !follows_.empty() && now_ >= follow_at_ && tokens_ >= gossip_needed(); }
  void gossip() {
    follow_at_ = now_ + follow_distance();
    auto to = draw_peer(gossip_deck_);
    if (to == self_) follows_.clear();
    else emit(to, false);
  }
  void add_gossip(RegisterMessage& message, const std::set<EntryKey>& there) {
    for (auto at = follows_.begin(); at != follows_.end();) {
      const Entry* entry = there.count(at->first) ? nullptr : table_.find(at->first);
      if (entry && !room_for(message, *entry)) break;
      if (entry) message.records.push_back(as_of_now(*entry));
      if (at->second <= 1) at = follows_.erase(at);
      else --at->second, ++at;
    }
  }

  bool is_compare_due() {
    if (living_.empty()) return false;
    auto late = now_ - compare_at_;
    return late >= 0 && tokens_ >= (late >= compare_late ? 1 : needed(RegisterKind::rate_limit));
  }
  void compare_soon_again() { compare_at_ = std::min(compare_at_, now_ + compare_spread * draw()); }
  // One that has come back goes before others. Whoever catches up does so with one at a time, as another
  // would send the same once more.
  void begin_compare() {
    compare_at_ = now_ + (caught_up_ ? compare_every : compare_soon) * (0.75 + 0.5 * draw());
    auto to = draw_peer(compare_deck_);
    if (to == self_) return;
    if (busy_but_with(self_)) return;
    std::vector<MemberId> back;
    for (const auto& [member, peer] : peers_)
      if (peer.compare && living_.count(member)) back.push_back(member);
    if (!back.empty()) {
      to = back[static_cast<std::size_t>(draw() * static_cast<double>(back.size()))];
      compare_at_ = now_ + compare_soon * (0.75 + 0.5 * draw());
    }
    Peer& peer = peers_[to];
    peer.compare = false;
    if (now_ < peer.worked_at + exchange_rest && peer.owes()) return;
    peer.asked_at = now_;
    for (RegisterKind matter : kinds_by_priority) Peer::add(peer.digests, table_.digest(matter, 0, 0));
    peer.asks = !caught_up_;
    emit(to, false);
  }

  MemberId owing() {
    for (auto at = owing_.begin(); at != owing_.end();) {
      const Peer& peer = peers_.at(*at);
      if (!peer.owes()) {
        at = owing_.erase(at);
        continue;
      }
      if (living_.count(*at) && now_ >= peer.sent_at + peer_gap) return *at;
      ++at;
    }
    return self_;
  }
  bool owes_catch_up() { return tokens_ >= needed(RegisterKind::rate_limit) && owing() != self_; }
  void catch_up() { emit(owing(), false); }

  // One message with all that is for that member: the news that it is to have or to take over, errands, and
  // catch-up as far as there is room.
  void emit(MemberId to, bool news) {
    RegisterMessage message;
    building_ = 64;
    std::set<EntryKey> there;
    if (news) add_news(to, message, there);
    if (auto found = errands_.find(to); found != errands_.end()) {
      auto& keys = found->second;
      while (!keys.empty()) {
        const Entry* entry = table_.find(*keys.begin());
        if (entry && !room_for(message, *entry)) break;
        if (entry) message.records.push_back(as_of_now(*entry));
        there.insert(*keys.begin()), keys.erase(keys.begin());
      }
      if (keys.empty()) errands_.erase(found);
    }
    add_gossip(message, there);
    Peer& peer = peers_[to];
    if (now_ >= peer.sent_at + peer_gap || !news) add_catch_up(peer, message);
    send(to, std::move(message));
  }

  void add_news(MemberId to, RegisterMessage& message, std::set<EntryKey>& there) {
    auto far = distance(to);
    std::map<std::uint64_t, Broadcast> spreads;
    for (RegisterKind matter : kinds_by_priority)
      for (auto at = duties_.lower_bound({matter, 0, {}, {}, {}});
           at != duties_.end() && at->first.kind == matter;) {
        const Entry* entry = at->second.far >= far ? table_.find(at->first) : nullptr;
        if (!entry || !room_for(message, *entry)) {
          ++at;
          continue;
        }
        spreads[at->second.far].records.push_back(as_of_now(*entry));
        there.insert(at->first);
        at->second.far = far - 1;
        at = at->second.far == 0 ? duties_.erase(at) : std::next(at);
      }
    for (auto& [last, spread] : spreads) {
      spread.last = at_distance(last);
      message.broadcasts.push_back(std::move(spread));
    }
  }

  void add_catch_up(Peer& peer, RegisterMessage& message) {
    message.in_sync = std::exchange(peer.even, false), message.confirm_sync = std::exchange(peer.asks, false);
    auto words = message.records.size();
    auto take = [&](Peer::Tasks& from, std::size_t size, auto add) {
      while (!from.empty() && building_ + size <= message_bytes) {
        add(from.begin()->second.range);
        building_ += size, from.erase(from.begin());
      }
    };
    take(peer.wanted, digest_size, [&](const RangeDigest& range) { message.requested.push_back(range); });
    while (!peer.serving.empty()) {
      auto& serving = peer.serving.begin()->second;
      auto at =
          serving.begun ? table_.entries().lower_bound(serving.from) : table_.range_begin(serving.range);
      while (table_.in_range(serving.range, at) && room_for(message, at->second))
        message.records.push_back(as_of_now(at->second)), ++at;
      if (table_.in_range(serving.range, at)) {
        serving.from = at->first, serving.begun = true;
        break;
      }
      peer.serving.erase(peer.serving.begin());
    }
    take(peer.digests, digest_size, [&](const RangeDigest& range) { message.digests.push_back(range); });
    while (!peer.splits.empty() && building_ + digest_size + 16 * part_size <= message_bytes) {
      message.splits.push_back(table_.split(peer.splits.begin()->second.range));
      building_ += digest_size + part_size * message.splits.back().child_sums.size();
      peer.splits.erase(peer.splits.begin());
    }
    while (!peer.heads.empty() && building_ + digest_size <= message_bytes) {
      auto range = peer.heads.begin()->second.range;
      auto heads = table_.names(range);
      building_ += digest_size + head_size * heads.size();
      message.range_names.push_back({range.kind, range.prefix, range.bits, std::move(heads)});
      peer.heads.erase(peer.heads.begin());
    }
    message.from_comparison = message.records.size() > words || !message.requested.empty() ||
                              !message.splits.empty() || !message.range_names.empty();
    if (message.from_comparison) peer.worked_at = now_;
  }

  void send(MemberId to, RegisterMessage message) {
    message.sent_at = now_;
    tokens_ -= 1, building_ = 0;
    peers_[to].sent_at = now_;
    done_.sends.push_back({to, std::move(message)});
  }

  // Caught up too, where news comes so fast that two never hold the same: a comparison was answered, and
  // nothing more came of it for a while.
  void settle() {
    if (caught_up_ || answered_at_ < 0) return;
    caught_up_ = now_ >= std::max(answered_at_, grown_at_) + settled_after;
  }

  Millis next_due() {
    if (living_.empty()) return -1;
    Millis due = std::max(0.0, compare_at_ - now_);
    if (is_compare_due() || due <= 0) due = std::max(1.0, until_tokens(needed(RegisterKind::rate_limit)));
    if (!duties_.empty()) {
      auto duty = foremost();
      if (duty != duties_.end()) due = std::min(due, std::max(1.0, until_tokens(needed(duty->first.kind))));
    }
    if (!errands_.empty()) due = std::min(due, std::max(1.0, until_tokens(1)));
    if (!follows_.empty())
      due = std::min(due, std::max({1.0, follow_at_ - now_, until_tokens(gossip_needed())}));
    for (MemberId member : owing_)
      if (living_.count(member)) {
        auto gap = peers_.at(member).sent_at + peer_gap - now_;
        due = std::min(due, std::max({1.0, gap, until_tokens(needed(RegisterKind::rate_limit))}));
      }
    return due;
  }

  static constexpr Rule<Sharing> rules[] = {
      {"news is owed to members", &Sharing::has_duty, &Sharing::pass_on},
      {"a word is for one member", &Sharing::has_errand, &Sharing::run_errand},
      {"time to compare", &Sharing::is_compare_due, &Sharing::begin_compare},
      {"a peer catches up", &Sharing::owes_catch_up, &Sharing::catch_up},
      {"fresh words go to one drawn by chance", &Sharing::is_follow_due, &Sharing::gossip},
  };

  const MemberId self_;
  const Incarnation own_;
  std::uint64_t
      count_;  // above all that was heard; begins with the life's number, above earlier lives' words
  std::minstd_rand chance_;
  bool first_ = true, caught_up_ = false, full_ = false;
  Millis due_at_ = -1, stalled_until_ = -unheard;
  Millis now_ = 0, began_at_ = 0, earned_at_ = 0, compare_at_ = 0, follow_at_ = 0, answered_at_ = -1,
         grown_at_ = -unheard, fed_at_ = -unheard;
  MemberId fed_by_{};
  double tokens_ = 1;
  std::size_t building_ = 0;
  RegisterTable table_;
  std::vector<std::pair<std::uint64_t, MemberId>> order_;  // others that are alive, by distance on the ring
  std::set<MemberId> living_;
  std::vector<MemberId> gossip_deck_, compare_deck_;
  std::vector<MemberId> reached_;                   // linked and alive
  std::set<MemberId> owing_;                        // that are owed something of catch-up, or were lately
  std::map<MemberId, Peer> peers_;                  // linked
  Duties duties_;                                   // news owed to all others up to that distance
  std::map<MemberId, std::set<EntryKey>> errands_;  // words for one member
  std::map<EntryKey, std::size_t> follows_;         // how often each still goes to one drawn by chance
  std::map<std::string, Millis> learned_ends_;      // of waits, as given to the decision module
  Millis learned_due_ = 0;
  std::set<std::string> changed_;  // routes to tell the decision module of
  std::set<std::pair<EntryKey, Version>> named_;
  Actions done_;
};

}  // namespace

std::unique_ptr<Registers> Registers::make(MemberId self, Incarnation own, int members, std::uint64_t seed) {
  return std::make_unique<Sharing>(self, own, members, seed);
}

}  // namespace rockcrank::fleet
