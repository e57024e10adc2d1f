// Failure detection by SWIM with the local health awareness of Lifeguard (Dadgar, Phillips, Currey,
// "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018). See membership.h for the
// interface.
//
// In each interval a member pings one other, in shuffled rounds. Without an ack it sends ping requests to
// three others. Without an ack again it suspects the target, and the suspicion spreads as gossip in the
// messages that are sent anyway. A member that receives a suspicion of itself refutes it with a higher
// refutation count; one that does not within the suspicion timeout is declared dead. Four further rules keep
// a member that has problems of its own from harming others:
// - A member's findings spread only while somebody acknowledges its pings. One that receives messages but
//   gets no acks suspects nobody. The findings of an isolated one are tentative: they are not gossiped, and
//   any evidence that the other lives undoes them.
// - A member that was declared dead, or that declared a living one dead, makes all its findings tentative;
//   and what a member that is held to be dead says against others is ignored.
// - Time in which this process did not run counts toward no ack or suspicion timeout.
// - A member whose acks arrive late or only indirectly gives all others more time.

#include "fleet/membership.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "fleet/rules.h"

namespace rockcrank::fleet {
namespace {

constexpr Millis never = std::numeric_limits<Millis>::infinity();
constexpr Millis ping_interval = 1000;          // between two pings by one member
constexpr Millis suspicion_timeout_base = 800;  // times 1 + log2 of the member count
constexpr Millis min_ack_timeout = 120, max_ack_timeout = 1000, initial_ack_timeout = 250;
constexpr Millis min_indirect_timeout = 400;  // for indirect acks
constexpr Millis connected_window = 2500;     // an ack this recent shows that others receive from this member
constexpr Millis queued_timeout = 500;        // an older queued message is useless
constexpr Millis forwarded_ping_timeout = 3000;  // then the requester has stopped waiting
constexpr Millis heard_window = 8000;            // a member that received nothing for so long is isolated
constexpr Millis suspect_ping_interval = 700;    // between pings of a suspect
constexpr Millis healing_time = 10'000;          // after deaths that this member declared proved wrong
constexpr Millis doubt_time = 30'000;  // after that, tentative states are pinged no more often than others
constexpr Millis full_state_interval = 400;  // between two messages with the state of all members
constexpr Millis min_lateness = 50, stall_threshold = 1000;
constexpr Millis flap_decay_time = 30'000;  // one flap is forgotten in that time
constexpr int indirect_ping_count = 3, min_pings_before_death = 3, max_updates = 16, max_queued = 16,
              max_forwarded_pings = 64, max_local_health = 4, max_flaps = 4;
constexpr double pings_per_lost_member = 2;       // per interval, by all others together
constexpr double expected_suspect_pingers = 2;    // each time, of all that know of a suspicion
constexpr double expected_immediate_pingers = 4;  // of all that have the same reason to ping one
constexpr double max_tokens = Membership::messages_per_second;

bool is_suspect_or_dead(MemberState state) {
  return state == MemberState::suspect || state == MemberState::dead;
}

struct Peer {
  MemberId id{};
  std::string name;
  MemberState state = MemberState::unknown;
  Incarnation incarnation;
  std::uint32_t refutations = 0;
  bool tentative = false;      // suspect or dead by this member's evidence only, or in doubt
  bool detected_here = false;  // suspected by this member itself, not through gossip
  bool ping_now = false;       // ping without waiting for its turn
  int gossip_left = 0;         // how often its state is still gossiped
  int suspect_pings = 0;       // pings since it was suspected
  int flaps = 0;               // times it was wrongly declared dead
  Millis heard_at = -never, suspected_at = 0, changed_at = 0, flapped_at = 0;
  Millis pinged_at = -never, suspect_ping_at = -never;
  Millis smoothed_rtt = -1, rtt_variation = 0;  // as in RFC 6298 (TCP)
  MemberState reported_state = MemberState::unknown;
  Incarnation reported_incarnation;
};

struct Probe {
  Peer* target = nullptr;
  Millis sent_at = 0, retry_at = 0, indirect_at = 0, fail_at = 0;
  // Whether a missing ack changes the target's state. Pings of a suspect only let it refute.
  bool failure_counts = false;
  bool retried = false, indirect = false, done = false;
};

// A ping that another member requested.
struct ForwardedPing {
  MemberId requester{};
  std::uint64_t sequence = 0;
  MemberId target{};
  Millis forget_at = 0;
};

struct QueuedMessage {
  MemberId to{};
  MembershipMessage message;
  bool full_state = false;  // with the state of all members
  Millis queued_at = 0;
};

class SwimMembership : public Membership {
 public:
  SwimMembership(const Roster& roster, MemberId self, Incarnation incarnation, std::uint64_t seed)
      : self_(self),
        incarnation_(incarnation),
        random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32))) {
    for (const auto& member : roster)
      if (member.id != self) peers_[member.id].id = member.id, peers_[member.id].name = member.name;
    member_count_ = static_cast<double>(peers_.size() + 1);
    gossip_count_ = 3 * static_cast<int>(std::ceil(std::log2(member_count_ + 1)));
  }

  void begin_turn(Millis now) override {
    if (!started_)
      started_ = true, started_at_ = tokens_updated_at_ = now,
      next_ping_at_ = now + draw_unit() * ping_interval,
      next_lost_ping_at_ = now + draw_unit() * ping_interval;
    auto lateness = wake_up_at_ < never ? now - wake_up_at_ : 0;
    now_ = now;
    // Once per stall, as the host calls begin_turn() for each event of a turn.
    if (lateness > min_lateness) wake_up_at_ = never, compensate_for_stall(lateness);
    tokens_ = std::min(max_tokens, tokens_ + (now - tokens_updated_at_) * messages_per_second / 1000);
    tokens_updated_at_ = now;
  }

  void on_message(MemberId from, const MembershipMessage& message) override {
    auto found = peers_.find(from);
    if (found == peers_.end()) return;
    auto& peer = found->second;
    auto sender_update = std::find_if(message.updates.begin(), message.updates.end(),
                                      [&](const auto& update) { return update.member == from; });
    if (sender_update == message.updates.end() || sender_update->state != MemberState::alive) return;
    bool was_lost = peer.state == MemberState::dead || peer.state == MemberState::unknown;
    check_duplicate(peer, sender_update->incarnation);
    // An older process that still runs: it is told of the newer incarnation, and its updates are ignored.
    if (sender_update->incarnation < peer.incarnation) {
      if (message.type != ProbeMessageType::ack)
        enqueue(from, {ProbeMessageType::ack, message.sequence, self_, {}}, false);
      return;
    }
    peer.heard_at = heard_at_ = now_;
    if (sender_update->incarnation > peer.incarnation || sender_update->refutations > peer.refutations)
      apply(peer, *sender_update);
    else if (peer.tentative && is_suspect_or_dead(peer.state)) mark_alive(peer);
    bool declared_dead = false;
    auto previous_refutations = refutations_;
    for (const auto& update : message.updates)
      if (update.member == self_) declared_dead = handle_update_about_self(update) || declared_dead;
    // After an ack, no message would carry the refutation soon, so ping the sender at once.
    if (previous_refutations != refutations_ && message.type == ProbeMessageType::ack) peer.ping_now = true;
    bool trusted = peer.state != MemberState::dead;
    for (const auto& update : message.updates) {
      auto target = peers_.find(update.member);
      if (target == peers_.end() || update.member == from || update.state == MemberState::unknown) continue;
      if (trusted || update.state == MemberState::alive) merge_update(target->second, update);
    }
    bool wants_full_state = message.type == ProbeMessageType::ping_request && message.target == self_;
    if (message.type == ProbeMessageType::ping || wants_full_state) {
      bool full_state =
          (was_lost || declared_dead || wants_full_state) && now_ - full_state_at_ >= full_state_interval;
      if (full_state) full_state_at_ = now_;
      enqueue(from, {ProbeMessageType::ack, message.sequence, self_, {}}, full_state);
    } else if (message.type == ProbeMessageType::ping_request) {
      if (!peers_.count(message.target) ||
          forwarded_pings_.size() >= static_cast<std::size_t>(max_forwarded_pings))
        return;
      forwarded_pings_[++last_sequence_] = {from, message.sequence, message.target,
                                            now_ + forwarded_ping_timeout};
      enqueue(message.target, {ProbeMessageType::ping, last_sequence_, message.target, {}}, false);
    } else {
      handle_ack(peer, message);
    }
  }

  void on_link_change(MemberId member, Incarnation incarnation, bool up) override {
    auto found = peers_.find(member);
    if (found == peers_.end()) return;
    auto& peer = found->second;
    // A link that came up proves that its incarnation is alive. One that broke proves nothing, but is a
    // reason to ping at once.
    if (up && incarnation > peer.incarnation) apply(peer, {member, incarnation, MemberState::alive, 0});
    if (up ? peer.state != MemberState::alive : peer.state == MemberState::alive) maybe_ping_now(peer);
  }

  Actions decide() override {
    bool fired = true;
    auto run = [&](auto& subject, const auto& rules) {
      for (const auto& rule : rules)
        if ((this->*rule.when)(subject)) fired = true, (this->*rule.then)(subject);
    };
    while (std::exchange(fired, false)) {
      run(*this, member_rules);
      for (auto& [sequence, probe] : probes_)
        if (!probe.done) run(probe, probe_rules);
      std::erase_if(probes_, [](const auto& entry) { return entry.second.done; });
      for (auto& [id, peer] : peers_) run(peer, peer_rules);
    }
    for (auto& [id, peer] : peers_) report_change(peer);
    wake_up_at_ = next_wake_up();
    actions_.wake_in = wake_up_at_ - now_ + 0.001;  // so that rounding never causes a wake-up too early
    return std::exchange(actions_, {});
  }

  MemberState state(MemberId member) const override {
    if (member == self_) return MemberState::alive;
    auto found = peers_.find(member);
    return found == peers_.end() ? MemberState::unknown : found->second.state;
  }
  Incarnation incarnation(MemberId member) const override {
    if (member == self_) return incarnation_;
    auto found = peers_.find(member);
    return found == peers_.end() ? Incarnation{} : found->second.incarnation;
  }
  std::vector<MemberId> alive() const override {
    std::vector<MemberId> found{self_};
    for (const auto& [id, peer] : peers_)
      if (is_live(peer)) found.push_back(id);
    std::sort(found.begin(), found.end());
    return found;
  }

 private:
  static bool is_live(const Peer& peer) {
    return peer.state == MemberState::alive || peer.state == MemberState::suspect;
  }
  // The tolerance avoids waiting for a fraction of a token that is too small for a timer.
  bool may_send(double tokens) const { return tokens_ + 1e-6 >= tokens; }
  double draw_unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  // Others acknowledge this member; or it only receives; or neither, so that it seems isolated.
  bool is_connected() const { return now_ - acked_at_ < connected_window; }
  bool only_receives() const { return !is_connected() && now_ - heard_at_ < heard_window; }
  bool is_isolated() const {
    return !is_connected() && now_ - std::max(heard_at_, started_at_) >= heard_window;
  }
  Millis suspicion_timeout(const Peer& peer) const {
    return suspicion_timeout_base * (1 + std::log2(member_count_)) * (1 + 0.5 * peer.flaps);
  }
  Millis ack_timeout(const Peer& peer) const {
    auto timeout = peer.smoothed_rtt < 0 ? initial_ack_timeout : peer.smoothed_rtt + 4 * peer.rtt_variation;
    return std::clamp(timeout, min_ack_timeout, max_ack_timeout) * (1 + 0.5 * local_health_);
  }

  // After a stall of this process, acks that arrived meanwhile are not read yet, and pings that it could not
  // send were not answered. All deadlines move, so that nobody is declared dead for that.
  void compensate_for_stall(Millis stall_time) {
    for (auto& [sequence, probe] : probes_) {
      probe.sent_at += stall_time;
      probe.retry_at = std::max(probe.retry_at + stall_time, now_ + min_ack_timeout);
      probe.indirect_at = std::max(probe.indirect_at + stall_time, now_ + 2 * min_ack_timeout);
      probe.fail_at = std::max(probe.fail_at + stall_time, now_ + min_indirect_timeout);
    }
    for (auto& [id, peer] : peers_) peer.suspected_at += stall_time;
    acked_at_ += stall_time, heard_at_ += stall_time, started_at_ += stall_time;
    if (stall_time < stall_threshold) return;
    next_ping_at_ = next_lost_ping_at_ = now_;  // to learn soon whether others declared this member dead
    actions_.log.push_back("this process did not run for " + std::to_string(static_cast<long>(stall_time)) +
                           " ms: failure detection deadlines were extended");
  }

  // Equal numbers with different nonces mean two processes, not an older one.
  void check_duplicate(const Peer& peer, const Incarnation& incarnation) {
    if (incarnation.number == peer.incarnation.number && incarnation.nonce != peer.incarnation.nonce &&
        peer.incarnation.number != 0)
      report_duplicate(peer.id, peer.name, std::min(incarnation, peer.incarnation));
  }
  void report_duplicate(MemberId member, const std::string& name, const Incarnation& incarnation) {
    if (duplicates_.size() >= 256 || !duplicates_.insert({member, incarnation}).second) return;
    actions_.duplicates.push_back({member, incarnation, MemberState::alive});
    actions_.log.push_back("two processes claim to be " + name + ", as after restoring a machine image");
  }

  // ---- updates

  void apply(Peer& peer, const MemberUpdate& update) {
    bool same = update.incarnation == peer.incarnation;
    if (same && peer.state == MemberState::dead && update.state == MemberState::alive && !peer.tentative)
      peer.flaps = std::min(peer.flaps + 1, max_flaps), peer.flapped_at = now_, make_all_tentative();
    if (!same) peer.flaps = 0;
    if (update.state == MemberState::suspect)
      peer.suspected_at = now_, maybe_ping_now(peer, expected_suspect_pingers);
    peer.incarnation = update.incarnation, peer.refutations = update.refutations,
    peer.gossip_left = gossip_count_;
    set_state(peer, update.state, false);
  }
  void set_state(Peer& peer, MemberState state, bool tentative) {
    if (peer.state != state || peer.tentative != tentative) peer.changed_at = now_;
    peer.detected_here = peer.detected_here && state == MemberState::suspect;
    if (state == MemberState::suspect && peer.state != state) peer.suspect_pings = 0;
    peer.state = state, peer.tentative = tentative;
  }
  // A member that was declared dead, or that declared a living one dead, was cut off or stalled. What it
  // found out meanwhile may result from its own problem.
  void make_all_tentative() {
    doubted_at_ = now_;
    for (auto& [id, peer] : peers_)
      set_state(peer, peer.state, peer.tentative || is_suspect_or_dead(peer.state));
  }
  void mark_alive(Peer& peer) { set_state(peer, MemberState::alive, false); }

  void merge_update(Peer& peer, const MemberUpdate& update) {
    check_duplicate(peer, update.incarnation);
    if (update.incarnation < peer.incarnation) return;
    bool newer = update.incarnation > peer.incarnation || update.refutations > peer.refutations;
    if (!newer && update.refutations < peer.refutations) return;
    // While partitions heal, old reports of deaths still circulate. They only count as suspicions here.
    if (update.state == MemberState::dead && now_ - doubted_at_ < healing_time) {
      if (newer) peer.incarnation = update.incarnation, peer.refutations = update.refutations;
      if (peer.state == MemberState::dead || (peer.state == MemberState::suspect && !newer)) return;
      return suspect_tentatively(peer);
    }
    if (newer) return apply(peer, update);
    if (update.state == MemberState::alive) {
      if (peer.tentative && is_suspect_or_dead(peer.state)) mark_alive(peer);
    } else if (update.state > peer.state || (peer.tentative && update.state == peer.state)) {
      apply(peer, update);
    }
  }

  // Returns whether others declared this incarnation dead.
  bool handle_update_about_self(const MemberUpdate& update) {
    if (update.incarnation > incarnation_) report_duplicate(self_, "this member", update.incarnation);
    if (update.incarnation != incarnation_ || !is_suspect_or_dead(update.state)) return false;
    refutations_ = std::max(refutations_, update.refutations + 1);
    // A suspicion may have become a death elsewhere before its refutation arrived.
    if (update.state != MemberState::dead || update.refutations < deaths_handled_below_) return false;
    deaths_handled_below_ = update.refutations + 1;
    make_all_tentative();
    next_lost_ping_at_ = std::min(next_lost_ping_at_, now_ + draw_unit() * ping_interval / 4);
    if (!actions_.declared_dead) actions_.log.push_back("others declared this member dead; refuted");
    return actions_.declared_dead = true;
  }

  std::vector<MemberUpdate> select_updates(MemberId to, bool full_state) {
    std::vector<MemberUpdate> selected{{self_, incarnation_, MemberState::alive, refutations_}};
    auto update = [](const Peer& peer) {
      return MemberUpdate{peer.id, peer.incarnation, peer.state, peer.refutations};
    };
    auto& receiver = peers_.at(to);
    if (is_suspect_or_dead(receiver.state)) selected.push_back(update(receiver));
    std::vector<Peer*> pending;
    for (auto& [id, peer] : peers_)
      if (id != to && !peer.tentative && peer.state != MemberState::unknown &&
          (full_state || peer.gossip_left > 0))
        pending.push_back(&peer);
    // Those gossiped least often first.
    std::stable_sort(pending.begin(), pending.end(),
                     [](auto* one, auto* other) { return one->gossip_left > other->gossip_left; });
    if (!full_state && pending.size() > static_cast<std::size_t>(max_updates)) pending.resize(max_updates);
    for (auto* peer : pending) {
      selected.push_back(update(*peer));
      if (peer->gossip_left > 0) --peer->gossip_left;
    }
    return selected;
  }

  // ---- messages

  void send(MemberId to, MembershipMessage message, bool full_state = false) {
    --tokens_;
    message.updates = select_updates(to, full_state);
    actions_.sends.push_back({to, std::move(message)});
  }
  void enqueue(MemberId to, MembershipMessage message, bool full_state) {
    if (queue_.size() >= static_cast<std::size_t>(max_queued)) queue_.pop_front();
    queue_.push_back({to, std::move(message), full_state, now_});
  }

  void handle_ack(Peer& from, const MembershipMessage& message) {
    // An ack is for one member: its sender, or the target of a ping request.
    if (auto forwarded = forwarded_pings_.find(message.sequence);
        forwarded != forwarded_pings_.end() && forwarded->second.target == from.id) {
      enqueue(forwarded->second.requester, {ProbeMessageType::ack, forwarded->second.sequence, from.id, {}},
              false);
      forwarded_pings_.erase(forwarded);
      return;
    }
    auto found = probes_.find(message.sequence);
    if (found == probes_.end() || found->second.done || found->second.target->id != message.target) return;
    auto& probe = found->second;
    auto& target = *probe.target;
    acked_at_ = now_, probe.done = true;
    local_health_ = std::clamp(local_health_ + (probe.indirect ? 1 : -1), 0, max_local_health);
    if (target.tentative && is_suspect_or_dead(target.state)) mark_alive(target);
    if (message.target != from.id || probe.retried)
      return;  // the ack could be for either ping (Karn's algorithm)
    auto rtt = now_ - probe.sent_at;
    if (target.smoothed_rtt < 0) target.smoothed_rtt = rtt, target.rtt_variation = rtt / 2;
    else
      target.rtt_variation += (std::abs(rtt - target.smoothed_rtt) - target.rtt_variation) / 4,
          target.smoothed_rtt += (rtt - target.smoothed_rtt) / 8;
  }

  // A ping request for the receiver itself asks for the state of all members; sent while any state is
  // doubtful.
  void ping(Peer& peer) {
    peer.ping_now = false, peer.pinged_at = now_, ++peer.suspect_pings;
    auto timeout = ack_timeout(peer);
    probes_[++last_sequence_] = {
        &peer,
        now_,
        now_ + timeout,
        now_ + 2 * timeout,
        now_ + 2 * timeout + std::max(min_indirect_timeout, 3 * timeout),
        peer.state == MemberState::alive ||
            (peer.state == MemberState::dead && peer.tentative && peer.incarnation.number != 0)};
    bool wants_full_state = std::any_of(peers_.begin(), peers_.end(),
                                        [&](const auto& entry) { return is_doubtful(entry.second); });
    send(peer.id, {wants_full_state ? ProbeMessageType::ping_request : ProbeMessageType::ping,
                   last_sequence_,
                   peer.id,
                   {}});
  }

  bool is_doubtful(const Peer& peer) const {
    return (peer.tentative || peer.state == MemberState::unknown) &&
           now_ - std::max(peer.changed_at, started_at_) < doubt_time;
  }

  // Of many members with the same reason to ping one, a random few do, so that the fleet does not flood it.
  void maybe_ping_now(Peer& peer, double expected_pingers = expected_immediate_pingers) {
    if (draw_unit() * static_cast<double>(peers_.size()) < expected_pingers) peer.ping_now = true;
  }

  // ---- rules of this member

  bool has_queued(SwimMembership&) {
    while (!queue_.empty() && now_ - queue_.front().queued_at > queued_timeout) queue_.pop_front();
    return !queue_.empty() && may_send(1);
  }
  void send_queued(SwimMembership&) {
    auto next = std::move(queue_.front());
    queue_.pop_front();
    send(next.to, std::move(next.message), next.full_state);
  }

  bool ping_due(SwimMembership&) { return now_ >= next_ping_at_ && may_send(2); }
  void ping_next(SwimMembership&) {
    next_ping_at_ = now_ + ping_interval * (0.9 + 0.2 * draw_unit());
    std::erase_if(forwarded_pings_, [&](const auto& entry) { return now_ > entry.second.forget_at; });
    for (int round = 0; round < 2; ++round) {
      for (; !ping_order_.empty(); ping_order_.pop_back())
        if (auto& peer = peers_.at(ping_order_.back()); is_live(peer))
          return ping_order_.pop_back(), ping(peer);
      for (auto& [id, peer] : peers_)
        if (is_live(peer)) ping_order_.push_back(id);
      std::shuffle(ping_order_.begin(), ping_order_.end(), random_);
    }
  }

  // Dead and never-seen members are pinged too, so that partitions find each other again.
  bool lost_ping_due(SwimMembership&) { return now_ >= next_lost_ping_at_ && may_send(2); }
  void ping_lost(SwimMembership&) {
    std::vector<Peer*> lost, doubtful;
    for (auto& [id, peer] : peers_)
      if (!is_live(peer)) (is_doubtful(peer) ? doubtful : lost).push_back(&peer);
    next_lost_ping_at_ = now_ + ping_interval * (0.9 + 0.2 * draw_unit());
    // Random in each interval, so that members do not all ping at once and then all pause.
    auto others = static_cast<double>(peers_.size() + 1 - lost.size());
    if (doubtful.empty() && draw_unit() * others >= pings_per_lost_member * static_cast<double>(lost.size()))
      return;
    auto& from = doubtful.empty() ? lost : doubtful;
    if (!from.empty()) ping(*from[std::uniform_int_distribution<std::size_t>(0, from.size() - 1)(random_)]);
  }

  // ---- rules of an outstanding ping

  std::uint64_t sequence_of(const Probe& probe) const {
    return std::find_if(probes_.begin(), probes_.end(), [&](auto& entry) { return &entry.second == &probe; })
        ->first;
  }
  // A single lost message is the most common reason for a missing ack, and the cheapest to rule out.
  bool retry_due(Probe& probe) { return probe.failure_counts && !probe.retried && now_ >= probe.retry_at; }
  void retry_ping(Probe& probe) {
    probe.retried = true;
    if (may_send(2))
      send(probe.target->id, {ProbeMessageType::ping, sequence_of(probe), probe.target->id, {}});
  }
  bool indirect_due(Probe& probe) {
    return probe.failure_counts && !probe.indirect && now_ >= probe.indirect_at;
  }
  void send_ping_requests(Probe& probe) {
    probe.indirect = true;
    auto sequence = sequence_of(probe);
    std::vector<Peer*> candidates;
    for (auto& [id, peer] : peers_)
      if (peer.state == MemberState::alive && &peer != probe.target) candidates.push_back(&peer);
    std::shuffle(candidates.begin(), candidates.end(), random_);
    for (std::size_t i = 0;
         i < candidates.size() && i < static_cast<std::size_t>(indirect_ping_count) && may_send(1); ++i)
      send(candidates[i]->id, {ProbeMessageType::ping_request, sequence, probe.target->id, {}});
  }

  bool has_failed(Probe& probe) { return now_ >= probe.fail_at; }
  void handle_failure(Probe& probe) {
    auto& peer = *probe.target;
    if (probe.failure_counts && peer.state == MemberState::dead && peer.tentative && is_connected())
      peer.gossip_left = gossip_count_, set_state(peer, MemberState::dead, false);
    bool suspects = probe.failure_counts && peer.state == MemberState::alive;
    probe.done = !suspects || !only_receives() || now_ - probe.sent_at > connected_window;
    if (suspects && only_receives()) return probe.fail_at = now_ + min_indirect_timeout, ping_last_heard();
    if (!suspects) return;
    peer.suspected_at = now_, peer.gossip_left = gossip_count_, peer.ping_now = true;
    peer.detected_here = true;
    set_state(peer, MemberState::suspect, !is_connected());
  }

  // A member whose messages reach nobody would declare all others dead. Before that it pings the one it heard
  // from last: an ack shows that the silence of the others is not its own problem.
  void ping_last_heard() {
    Peer* last = nullptr;
    for (auto& [id, peer] : peers_)
      if (now_ - peer.heard_at < heard_window && now_ - peer.pinged_at >= ping_interval &&
          (!last || peer.heard_at > last->heard_at))
        last = &peer;
    if (last) last->ping_now = true;
  }

  // ---- rules of a peer

  bool suspicion_timed_out(Peer& peer) {
    return peer.state == MemberState::suspect && now_ >= peer.suspected_at + suspicion_timeout(peer);
  }
  void declare_dead(Peer& peer) {
    if (only_receives())
      return peer.suspected_at = now_ + min_indirect_timeout - suspicion_timeout(peer), ping_last_heard();
    // Not before the suspect was pinged: several times by the member that detected it, and at least once by
    // one that learned of it through gossip, as it may have missed the refutation.
    if (!is_isolated() && peer.suspect_pings < (peer.detected_here ? min_pings_before_death : 1))
      return peer.suspected_at += suspect_ping_interval, void(peer.ping_now = true);
    peer.gossip_left = gossip_count_;
    set_state(peer, MemberState::dead, peer.tentative || !is_connected());
  }

  // Not seen since this process started; tentative, so not gossiped.
  bool never_seen(Peer& peer) {
    return peer.state == MemberState::unknown &&
           now_ - started_at_ >= 2 * suspicion_timeout(peer) + ping_interval && !only_receives();
  }
  void assume_dead(Peer& peer) { set_state(peer, MemberState::dead, true); }

  // While isolated there is no point in probing the others one by one.
  bool unreachable_while_isolated(Peer& peer) { return peer.state == MemberState::alive && is_isolated(); }
  void suspect_tentatively(Peer& peer) {
    peer.suspected_at = now_;
    set_state(peer, MemberState::suspect, true);
  }

  // Pings tell a suspect that it has to refute; repeated, in case it receives few messages.
  bool suspect_ping_due(Peer& peer) {
    return peer.state == MemberState::suspect && !peer.ping_now &&
           now_ >= std::max(peer.pinged_at, peer.suspect_ping_at) + suspect_ping_interval;
  }
  void ping_suspect(Peer& peer) {
    peer.suspect_ping_at = now_;
    peer.detected_here ? void(peer.ping_now = true) : maybe_ping_now(peer, expected_suspect_pingers);
  }

  bool immediate_ping_due(Peer& peer) { return peer.ping_now && may_send(2); }

  bool flap_decay_due(Peer& peer) { return peer.flaps > 0 && now_ - peer.flapped_at >= flap_decay_time; }
  void decay_flap(Peer& peer) { --peer.flaps, peer.flapped_at = now_; }

  void report_change(Peer& peer) {
    if (peer.state == peer.reported_state && peer.incarnation == peer.reported_incarnation) return;
    if (peer.state == MemberState::dead) actions_.log.push_back(peer.name + " is dead");
    else if (peer.reported_state == MemberState::dead) actions_.log.push_back(peer.name + " is back");
    peer.reported_state = peer.state, peer.reported_incarnation = peer.incarnation;
    actions_.changes.push_back({peer.id, peer.incarnation, peer.state});
  }

  Millis next_wake_up() const {
    Millis wake_up = never;
    auto wake_at = [&](Millis when) { wake_up = std::min(wake_up, std::max(when, now_)); };
    auto when_tokens = [&](double tokens) {  // when so many are available
      return now_ + std::max(0.0, tokens - tokens_) * 1000 / messages_per_second;
    };
    if (!queue_.empty()) wake_at(when_tokens(1));
    wake_at(std::max(next_ping_at_, when_tokens(2))), wake_at(std::max(next_lost_ping_at_, when_tokens(2)));
    for (const auto& [sequence, probe] : probes_)
      wake_at(!probe.failure_counts || probe.indirect ? probe.fail_at
              : probe.retried                         ? probe.indirect_at
                                                      : probe.retry_at);
    for (const auto& [id, peer] : peers_) {
      if (peer.ping_now) wake_at(when_tokens(2));
      if (peer.state != MemberState::suspect) continue;
      wake_at(peer.suspected_at + suspicion_timeout(peer));
      if (!peer.ping_now) wake_at(std::max(peer.pinged_at, peer.suspect_ping_at) + suspect_ping_interval);
    }
    return wake_up;
  }

  static constexpr Rule<SwimMembership, SwimMembership> member_rules[] = {
      {"queued message", &SwimMembership::has_queued, &SwimMembership::send_queued},
      {"ping interval over", &SwimMembership::ping_due, &SwimMembership::ping_next},
      {"lost member may be back", &SwimMembership::lost_ping_due, &SwimMembership::ping_lost},
  };
  static constexpr Rule<SwimMembership, Probe> probe_rules[] = {
      {"no ack yet", &SwimMembership::retry_due, &SwimMembership::retry_ping},
      {"no ack after retry", &SwimMembership::indirect_due, &SwimMembership::send_ping_requests},
      {"probe failed", &SwimMembership::has_failed, &SwimMembership::handle_failure},
  };
  static constexpr Rule<SwimMembership, Peer> peer_rules[] = {
      {"immediate ping", &SwimMembership::immediate_ping_due, &SwimMembership::ping},
      {"silent suspect", &SwimMembership::suspect_ping_due, &SwimMembership::ping_suspect},
      {"isolated", &SwimMembership::unreachable_while_isolated, &SwimMembership::suspect_tentatively},
      {"suspicion timeout", &SwimMembership::suspicion_timed_out, &SwimMembership::declare_dead},
      {"never seen", &SwimMembership::never_seen, &SwimMembership::assume_dead},
      {"flap decay", &SwimMembership::flap_decay_due, &SwimMembership::decay_flap},
  };

  const MemberId self_;
  const Incarnation incarnation_;
  std::minstd_rand random_;
  double member_count_ = 1, tokens_ = max_tokens;
  int gossip_count_ = 1, local_health_ = 0;
  bool started_ = false;
  std::uint32_t refutations_ = 0, deaths_handled_below_ = 0;
  std::uint64_t last_sequence_ = 0;
  Millis now_ = 0, wake_up_at_ = never, started_at_ = 0, tokens_updated_at_ = 0, next_ping_at_ = 0,
         next_lost_ping_at_ = 0;
  Millis doubted_at_ = -never, acked_at_ = -never, heard_at_ = -never, full_state_at_ = -never;
  std::map<MemberId, Peer> peers_;
  std::map<std::uint64_t, Probe> probes_;
  std::map<std::uint64_t, ForwardedPing> forwarded_pings_;
  std::deque<QueuedMessage> queue_;
  std::vector<MemberId> ping_order_;  // of the current round, from the back
  std::set<std::pair<MemberId, Incarnation>> duplicates_;
  Actions actions_;
};

}  // namespace

std::unique_ptr<Membership> Membership::make(const Roster& roster, MemberId self, Incarnation incarnation,
                                             std::uint64_t seed) {
  return std::make_unique<SwimMembership>(roster, self, incarnation, seed);
}

}  // namespace rockcrank::fleet
