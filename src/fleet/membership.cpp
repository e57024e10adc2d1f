// Finds out who is alive, by SWIM with the local health of Lifeguard (Dadgar, Phillips, Currey, "Lifeguard:
// Local Health Awareness for More Accurate Failure Detection", 2018); membership.h says what it is for. It
// knows no socket and no clock, and must never decide what follows from a condition.
//
// Each member pings one other in each period, in shuffled rounds. No answer: three others are asked to ping
// it. No answer again: it is suspected, and all are told with the messages that go anyway. One that hears of
// it refutes by a higher count; one that does not within the suspicion time is dead. Beyond that, four things
// keep a member that is itself in trouble from harming others:
// - its verdicts are for all only while somebody answers it; heard by none but hearing, it accuses nobody;
// alone,
//   its verdicts are weak: its own, not told, and undone by any word that the other lives;
// - whoever was given up on makes all its verdicts weak, and a member held to be dead is not believed on
// others;
// - time in which this process did not run counts for no answer and no suspicion;
// - one whose answers come late or by others only gives all others more time.

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
constexpr Millis period = 1000;         // between two pings of one member
constexpr Millis suspicion_base = 800;  // times 1 + log2 of the size
constexpr Millis answer_floor = 120, answer_most = 1000, answer_first = 250;
constexpr Millis others_floor = 400;       // for the answers through others, at least
constexpr Millis connected_within = 2500;  // an answer that old shows that this member is heard
constexpr Millis owed_within = 500;        // an answer older than that is of no use any more
constexpr Millis passed_within = 3000;     // a ping for another member that long ago is forgotten
constexpr Millis heard_within = 8000;      // one that heard nothing for so long is alone
constexpr Millis ask_again = 700;          // a suspect
constexpr Millis healing = 10'000;         // after verdicts of this member proved to be wrong
constexpr Millis doubted_for = 30'000;     // a weak verdict; then it is asked for as seldom as others
constexpr Millis table_gap = 400;          // between two messages with all that is known
constexpr Millis late_least = 50, stalled = 1000;
constexpr Millis flap_fades = 30'000;  // one verdict that was wrong is forgotten in that time
constexpr int asked_most = 3, asks_least = 3, rumours_most = 16, owed_most = 16, passed_most = 64,
              health_most = 4, flaps_most = 4;
constexpr double lost_asked = 2;     // pings a period and lost member, of all others together
constexpr double again_about = 2;    // of those who know of a suspicion, each time
constexpr double at_once_about = 4;  // members that ping at once what all have reason to ping
constexpr double tokens_most = Membership::messages_per_second;

bool is_bad(MemberState condition) {
  return condition == MemberState::suspect || condition == MemberState::dead;
}

struct Peer {
  MemberId id{};
  std::string name;
  MemberState condition = MemberState::unknown;
  Incarnation life;
  std::uint32_t refuted = 0;
  bool weak = false;     // a bad condition that only this member found, or has reason to doubt
  bool found = false;    // suspected by this member itself, not by hearsay
  bool at_once = false;  // to be pinged without waiting for its turn
  int left = 0;          // how often its rumour is still passed on
  int asks = 0;          // pings since it is suspected
  int flaps = 0;         // verdicts on it that were wrong
  Millis heard = -never, suspected = 0, changed = 0, flapped = 0;
  Millis pinged = -never, asked_again = -never;
  Millis trip = -1, vary = 0;  // of its answers, smoothed as by TCP (RFC 6298)
  MemberState told_condition = MemberState::unknown;
  Incarnation told_life;
};

struct Probe {
  Peer* target = nullptr;
  Millis sent = 0, again_at = 0, others_at = 0, fails_at = 0;
  bool counts = false;  // one whose failing leads on; of a suspect, the ping alone matters, and what it tells
  bool again = false, asked = false, over = false;
};

struct Passed {  // a ping that another member asked for
  MemberId asker{};
  std::uint64_t number = 0;
  MemberId subject{};
  Millis until = 0;
};

struct Owed {
  MemberId to{};
  MembershipMessage message;
  bool whole = false;  // with all that is known
  Millis since = 0;
};

class Swim : public Membership {
 public:
  Swim(const Roster& roster, MemberId self, Incarnation own, std::uint64_t seed)
      : self_(self), own_(own), chance_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32))) {
    for (const auto& member : roster)
      if (member.id != self) peers_[member.id].id = member.id, peers_[member.id].name = member.name;
    size_ = static_cast<double>(peers_.size() + 1);
    spread_ = 3 * static_cast<int>(std::ceil(std::log2(size_ + 1)));
  }

  void begin_turn(Millis now) override {
    if (!begun_)
      begun_ = true, started_ = tokens_at_ = now, next_probe_ = now + share() * period,
      next_dead_ = now + share() * period;
    auto late = due_ < never ? now - due_ : 0;
    now_ = now;
    // Once: a host begins anew for each thing that it heard in the turn.
    if (late > late_least) due_ = never, catch_up(late);
    tokens_ = std::min(tokens_most, tokens_ + (now - tokens_at_) * messages_per_second / 1000);
    tokens_at_ = now;
  }

  void on_message(MemberId from, const MembershipMessage& message) override {
    auto found = peers_.find(from);
    if (found == peers_.end()) return;
    auto& peer = found->second;
    auto own = std::find_if(message.updates.begin(), message.updates.end(),
                            [&](const auto& rumour) { return rumour.member == from; });
    if (own == message.updates.end() || own->state != MemberState::alive) return;
    bool was_lost = peer.condition == MemberState::dead || peer.condition == MemberState::unknown;
    same_count(peer, own->incarnation);
    // A former self that still runs: it is told of its newer life, and nothing else is believed of it.
    if (own->incarnation < peer.life) {
      if (message.type != ProbeMessageType::ack)
        owe(from, {ProbeMessageType::ack, message.sequence, self_, {}}, false);
      return;
    }
    peer.heard = heard_at_ = now_;
    if (own->incarnation > peer.life || own->refutations > peer.refuted) take(peer, *own);
    else if (peer.weak && is_bad(peer.condition)) revive(peer);
    bool given_up = false;
    auto refuted = own_refuted_;
    for (const auto& rumour : message.updates)
      if (rumour.member == self_) given_up = about_self(rumour) || given_up;
    // Told in an answer: it is refuted at once, not only with the next message that goes anyway.
    if (refuted != own_refuted_ && message.type == ProbeMessageType::ack) peer.at_once = true;
    bool believed = peer.condition != MemberState::dead;
    for (const auto& rumour : message.updates) {
      auto about = peers_.find(rumour.member);
      if (about == peers_.end() || rumour.member == from || rumour.state == MemberState::unknown) continue;
      if (believed || rumour.state == MemberState::alive) hear_of(about->second, rumour);
    }
    bool asks_all = message.type == ProbeMessageType::ping_request && message.target == self_;
    if (message.type == ProbeMessageType::ping || asks_all) {
      bool whole = (was_lost || given_up || asks_all) && now_ - table_at_ >= table_gap;
      if (whole) table_at_ = now_;
      owe(from, {ProbeMessageType::ack, message.sequence, self_, {}}, whole);
    } else if (message.type == ProbeMessageType::ping_request) {
      if (!peers_.count(message.target) || passed_.size() >= static_cast<std::size_t>(passed_most)) return;
      passed_[++number_] = {from, message.sequence, message.target, now_ + passed_within};
      owe(message.target, {ProbeMessageType::ping, number_, message.target, {}}, false);
    } else {
      answered(peer, message);
    }
  }

  void on_link_change(MemberId member, Incarnation life, bool up) override {
    auto found = peers_.find(member);
    if (found == peers_.end()) return;
    auto& peer = found->second;
    // A link that came up in a new life is an answer of that life. One that broke is no verdict, but a reason
    // to ask at once.
    if (up && life > peer.life) take(peer, {member, life, MemberState::alive, 0});
    if (up ? peer.condition != MemberState::alive : peer.condition == MemberState::alive) hurry(peer);
  }

  Actions decide() override {
    bool fired = true;
    auto run = [&](auto& thing, const auto& rules) {
      for (const auto& rule : rules)
        if ((this->*rule.when)(thing)) fired = true, (this->*rule.then)(thing);
    };
    while (std::exchange(fired, false)) {
      run(*this, own_rules);
      for (auto& [number, probe] : probes_)
        if (!probe.over) run(probe, probe_rules);
      std::erase_if(probes_, [](const auto& entry) { return entry.second.over; });
      for (auto& [id, peer] : peers_) run(peer, peer_rules);
    }
    for (auto& [id, peer] : peers_) tell(peer);
    due_ = next_due();
    done_.wake_in = due_ - now_ + 0.001;  // guards against a wake-up that rounding brings a hair too early
    return std::exchange(done_, {});
  }

  MemberState state(MemberId member) const override {
    if (member == self_) return MemberState::alive;
    auto found = peers_.find(member);
    return found == peers_.end() ? MemberState::unknown : found->second.condition;
  }
  Incarnation incarnation(MemberId member) const override {
    if (member == self_) return own_;
    auto found = peers_.find(member);
    return found == peers_.end() ? Incarnation{} : found->second.life;
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
    return peer.condition == MemberState::alive || peer.condition == MemberState::suspect;
  }
  // Guards against a wait for a part of a token that is too small to be waited for.
  bool may_send(double tokens) const { return tokens_ + 1e-6 >= tokens; }
  double share() { return std::uniform_real_distribution<double>(0, 1)(chance_); }
  // This member is heard; or it hears, but is heard by none; or neither: alone, as far as it can tell.
  bool connected() const { return now_ - answered_at_ < connected_within; }
  bool unheard() const { return !connected() && now_ - heard_at_ < heard_within; }
  bool alone() const { return !connected() && now_ - std::max(heard_at_, started_) >= heard_within; }
  Millis suspicion(const Peer& peer) const {
    return suspicion_base * (1 + std::log2(size_)) * (1 + 0.5 * peer.flaps);
  }
  Millis answer_within(const Peer& peer) const {
    auto usual = peer.trip < 0 ? answer_first : peer.trip + 4 * peer.vary;
    return std::clamp(usual, answer_floor, answer_most) * (1 + 0.5 * health_);
  }

  // Guards against verdicts by a process that was stopped, or had no processor: the answers that came
  // meanwhile are not read yet, and what it could not send was not answered.
  void catch_up(Millis late) {
    for (auto& [number, probe] : probes_) {
      probe.sent += late;
      probe.again_at = std::max(probe.again_at + late, now_ + answer_floor);
      probe.others_at = std::max(probe.others_at + late, now_ + 2 * answer_floor);
      probe.fails_at = std::max(probe.fails_at + late, now_ + others_floor);
    }
    for (auto& [id, peer] : peers_) peer.suspected += late;
    answered_at_ += late, heard_at_ += late, started_ += late;
    if (late < stalled) return;
    next_probe_ = next_dead_ = now_;  // to learn soon whether it was given up on
    done_.log.push_back("did not run for " + std::to_string(static_cast<long>(late)) + " ms: verdicts wait");
  }

  // Two lives that count alike are no former self.
  void same_count(const Peer& peer, const Incarnation& life) {
    if (life.number == peer.life.number && life.nonce != peer.life.nonce && peer.life.number != 0)
      report_twin(peer.id, peer.name, std::min(life, peer.life));
  }
  void report_twin(MemberId member, const std::string& name, const Incarnation& life) {
    if (twins_.size() >= 256 || !twins_.insert({member, life}).second) return;
    done_.duplicates.push_back({member, life, MemberState::alive});
    done_.log.push_back("two processes say they are " + name + ": as from a restored machine image");
  }

  // ---- rumours

  void take(Peer& peer, const MemberUpdate& rumour) {
    bool same = rumour.incarnation == peer.life;
    if (same && peer.condition == MemberState::dead && rumour.state == MemberState::alive && !peer.weak)
      peer.flaps = std::min(peer.flaps + 1, flaps_most), peer.flapped = now_, doubt_all();
    if (!same) peer.flaps = 0;
    if (rumour.state == MemberState::suspect) peer.suspected = now_, hurry(peer, again_about);
    peer.life = rumour.incarnation, peer.refuted = rumour.refutations, peer.left = spread_;
    set(peer, rumour.state, false);
  }
  void set(Peer& peer, MemberState condition, bool weak) {
    if (peer.condition != condition || peer.weak != weak) peer.changed = now_;
    peer.found = peer.found && condition == MemberState::suspect;
    if (condition == MemberState::suspect && peer.condition != condition) peer.asks = 0;
    peer.condition = condition, peer.weak = weak;
  }
  // Whoever was given up on, or gave up on one that lives, was cut off or stood still: what it found out
  // meanwhile may be its own trouble.
  void doubt_all() {
    doubt_at_ = now_;
    for (auto& [id, peer] : peers_) set(peer, peer.condition, peer.weak || is_bad(peer.condition));
  }
  void revive(Peer& peer) { set(peer, MemberState::alive, false); }

  void hear_of(Peer& peer, const MemberUpdate& rumour) {
    same_count(peer, rumour.incarnation);
    if (rumour.incarnation < peer.life) return;
    bool newer = rumour.incarnation > peer.life || rumour.refutations > peer.refuted;
    if (!newer && rumour.refutations < peer.refuted) return;
    // Guards against verdicts that go round among islands that find each other again: here they are
    // suspicions.
    if (rumour.state == MemberState::dead && now_ - doubt_at_ < healing) {
      if (newer) peer.life = rumour.incarnation, peer.refuted = rumour.refutations;
      if (peer.condition == MemberState::dead || (peer.condition == MemberState::suspect && !newer)) return;
      return suspect_weakly(peer);
    }
    if (newer) return take(peer, rumour);
    if (rumour.state == MemberState::alive) {
      if (peer.weak && is_bad(peer.condition)) revive(peer);
    } else if (rumour.state > peer.condition || (peer.weak && rumour.state == peer.condition)) {
      take(peer, rumour);
    }
  }

  // True: the others had given up on this life.
  bool about_self(const MemberUpdate& rumour) {
    if (rumour.incarnation > own_) report_twin(self_, "this member", rumour.incarnation);
    if (rumour.incarnation != own_ || !is_bad(rumour.state)) return false;
    own_refuted_ = std::max(own_refuted_, rumour.refutations + 1);
    // A suspicion that was refuted may have become a verdict elsewhere before that was known.
    if (rumour.state != MemberState::dead || rumour.refutations < given_up_below_) return false;
    given_up_below_ = rumour.refutations + 1;
    doubt_all();
    next_dead_ = std::min(next_dead_, now_ + share() * period / 4);
    if (!done_.declared_dead) done_.log.push_back("was held to be dead by others; it is not, and says so");
    return done_.declared_dead = true;
  }

  std::vector<MemberUpdate> rumours_for(MemberId to, bool whole) {
    std::vector<MemberUpdate> chosen{{self_, own_, MemberState::alive, own_refuted_}};
    auto rumour = [](const Peer& peer) {
      return MemberUpdate{peer.id, peer.life, peer.condition, peer.refuted};
    };
    auto& receiver = peers_.at(to);
    if (is_bad(receiver.condition)) chosen.push_back(rumour(receiver));
    std::vector<Peer*> fresh;
    for (auto& [id, peer] : peers_)
      if (id != to && !peer.weak && peer.condition != MemberState::unknown && (whole || peer.left > 0))
        fresh.push_back(&peer);
    // Those passed on least first.
    std::stable_sort(fresh.begin(), fresh.end(),
                     [](auto* one, auto* other) { return one->left > other->left; });
    if (!whole && fresh.size() > static_cast<std::size_t>(rumours_most)) fresh.resize(rumours_most);
    for (auto* peer : fresh) {
      chosen.push_back(rumour(*peer));
      if (peer->left > 0) --peer->left;
    }
    return chosen;
  }

  // ---- messages

  void send(MemberId to, MembershipMessage message, bool whole = false) {
    --tokens_;
    message.updates = rumours_for(to, whole);
    done_.sends.push_back({to, std::move(message)});
  }
  void owe(MemberId to, MembershipMessage message, bool whole) {
    if (owed_.size() >= static_cast<std::size_t>(owed_most)) owed_.pop_front();
    owed_.push_back({to, std::move(message), whole, now_});
  }

  void answered(Peer& from, const MembershipMessage& message) {
    // Answers speak for one member: the sender itself, or whom it was asked to ping.
    if (auto passed = passed_.find(message.sequence);
        passed != passed_.end() && passed->second.subject == from.id) {
      owe(passed->second.asker, {ProbeMessageType::ack, passed->second.number, from.id, {}}, false);
      passed_.erase(passed);
      return;
    }
    auto found = probes_.find(message.sequence);
    if (found == probes_.end() || found->second.over || found->second.target->id != message.target) return;
    auto& probe = found->second;
    auto& target = *probe.target;
    answered_at_ = now_, probe.over = true;
    health_ = std::clamp(health_ + (probe.asked ? 1 : -1), 0, health_most);
    if (target.weak && is_bad(target.condition)) revive(target);
    if (message.target != from.id || probe.again) return;  // else it is not known which ping this answers
    auto trip = now_ - probe.sent;
    if (target.trip < 0) target.trip = trip, target.vary = trip / 2;
    else
      target.vary += (std::abs(trip - target.trip) - target.vary) / 4,
          target.trip += (trip - target.trip) / 8;
  }

  // Where this member has reason to doubt what it knows, it asks for all that the other knows.
  void ping(Peer& peer) {
    peer.at_once = false, peer.pinged = now_, ++peer.asks;
    auto within = answer_within(peer);
    probes_[++number_] = {&peer,
                          now_,
                          now_ + within,
                          now_ + 2 * within,
                          now_ + 2 * within + std::max(others_floor, 3 * within),
                          peer.condition == MemberState::alive ||
                              (peer.condition == MemberState::dead && peer.weak && peer.life.number != 0)};
    bool asks_all =
        std::any_of(peers_.begin(), peers_.end(), [&](const auto& e) { return doubted(e.second); });
    send(peer.id, {asks_all ? ProbeMessageType::ping_request : ProbeMessageType::ping, number_, peer.id, {}});
  }

  bool doubted(const Peer& peer) const {
    return (peer.weak || peer.condition == MemberState::unknown) &&
           now_ - std::max(peer.changed, started_) < doubted_for;
  }

  // Guards against a whole fleet that pings one member at once: of many that have a reason, a few do.
  void hurry(Peer& peer, double about = at_once_about) {
    if (share() * static_cast<double>(peers_.size()) < about) peer.at_once = true;
  }

  // ---- rules of this member

  bool owes(Swim&) {
    while (!owed_.empty() && now_ - owed_.front().since > owed_within) owed_.pop_front();
    return !owed_.empty() && may_send(1);
  }
  void pay(Swim&) {
    auto next = std::move(owed_.front());
    owed_.pop_front();
    send(next.to, std::move(next.message), next.whole);
  }

  bool probe_due(Swim&) { return now_ >= next_probe_ && may_send(2); }
  void probe_next(Swim&) {
    next_probe_ = now_ + period * (0.9 + 0.2 * share());
    std::erase_if(passed_, [&](const auto& entry) { return now_ > entry.second.until; });
    for (int round = 0; round < 2; ++round) {
      for (; !order_.empty(); order_.pop_back())
        if (auto& peer = peers_.at(order_.back()); is_live(peer)) return order_.pop_back(), ping(peer);
      for (auto& [id, peer] : peers_)
        if (is_live(peer)) order_.push_back(id);
      std::shuffle(order_.begin(), order_.end(), chance_);
    }
  }

  // Those dead or never seen are pinged too, so that islands find each other.
  bool dead_due(Swim&) { return now_ >= next_dead_ && may_send(2); }
  void probe_dead(Swim&) {
    std::vector<Peer*> lost, doubtful;
    for (auto& [id, peer] : peers_)
      if (!is_live(peer)) (doubted(peer) ? doubtful : lost).push_back(&peer);
    next_dead_ = now_ + period * (0.9 + 0.2 * share());
    // Drawn each time anew: the members must not ask all together and then all be silent.
    auto others = static_cast<double>(peers_.size() + 1 - lost.size());
    if (doubtful.empty() && share() * others >= lost_asked * static_cast<double>(lost.size())) return;
    auto& from = doubtful.empty() ? lost : doubtful;
    if (!from.empty()) ping(*from[std::uniform_int_distribution<std::size_t>(0, from.size() - 1)(chance_)]);
  }

  // ---- rules of a ping that is out

  std::uint64_t number_of(const Probe& probe) const {
    return std::find_if(probes_.begin(), probes_.end(), [&](auto& entry) { return &entry.second == &probe; })
        ->first;
  }
  // One message that was lost is the most common reason, and the cheapest to rule out.
  bool slow(Probe& probe) { return probe.counts && !probe.again && now_ >= probe.again_at; }
  void ping_again(Probe& probe) {
    probe.again = true;
    if (may_send(2)) send(probe.target->id, {ProbeMessageType::ping, number_of(probe), probe.target->id, {}});
  }
  bool unanswered(Probe& probe) { return probe.counts && !probe.asked && now_ >= probe.others_at; }
  void ask_others(Probe& probe) {
    probe.asked = true;
    auto number = number_of(probe);
    std::vector<Peer*> able;
    for (auto& [id, peer] : peers_)
      if (peer.condition == MemberState::alive && &peer != probe.target) able.push_back(&peer);
    std::shuffle(able.begin(), able.end(), chance_);
    for (std::size_t i = 0; i < able.size() && i < static_cast<std::size_t>(asked_most) && may_send(1); ++i)
      send(able[i]->id, {ProbeMessageType::ping_request, number, probe.target->id, {}});
  }

  bool failed(Probe& probe) { return now_ >= probe.fails_at; }
  void suspect(Probe& probe) {
    auto& peer = *probe.target;
    if (probe.counts && peer.condition == MemberState::dead && peer.weak && connected())
      peer.left = spread_, set(peer, MemberState::dead, false);
    bool accuses = probe.counts && peer.condition == MemberState::alive;
    probe.over = !accuses || !unheard() || now_ - probe.sent > connected_within;
    if (accuses && unheard()) return probe.fails_at = now_ + others_floor, ask_if_heard();
    if (!accuses) return;
    peer.suspected = now_, peer.left = spread_, peer.at_once = true;
    peer.found = true;
    set(peer, MemberState::suspect, !connected());
  }

  // Guards against a member that is heard by none and would hold all others to be dead: before a verdict, one
  // that was just heard is asked. Its answer shows that the silence of the others is their own.
  void ask_if_heard() {
    Peer* last = nullptr;
    for (auto& [id, peer] : peers_)
      if (now_ - peer.heard < heard_within && now_ - peer.pinged >= period &&
          (!last || peer.heard > last->heard))
        last = &peer;
    if (last) last->at_once = true;
  }

  // ---- rules of another member

  bool suspected_for_long(Peer& peer) {
    return peer.condition == MemberState::suspect && now_ >= peer.suspected + suspicion(peer);
  }
  void give_up_on(Peer& peer) {
    if (unheard()) return peer.suspected = now_ + others_floor - suspicion(peer), ask_if_heard();
    // Guards against a verdict for want of messages: it was asked, more than once by who found it silent. One
    // that only heard of that may have missed the refutation.
    if (!alone() && peer.asks < (peer.found ? asks_least : 1))
      return peer.suspected += ask_again, void(peer.at_once = true);
    peer.left = spread_;
    set(peer, MemberState::dead, peer.weak || !connected());
  }

  // One that never was there since this process started; that is for this member to know only.
  bool never_seen(Peer& peer) {
    return peer.condition == MemberState::unknown && now_ - started_ >= 2 * suspicion(peer) + period &&
           !unheard();
  }
  void assume_dead(Peer& peer) { set(peer, MemberState::dead, true); }

  // Alone, as far as it can tell: no use in asking one after the other.
  bool lost_with_all(Peer& peer) { return peer.condition == MemberState::alive && alone(); }
  void suspect_weakly(Peer& peer) {
    peer.suspected = now_;
    set(peer, MemberState::suspect, true);
  }

  // Guards against a verdict on one that hears little: it is told more than once that it has to refute.
  bool suspect_silent(Peer& peer) {
    return peer.condition == MemberState::suspect && !peer.at_once &&
           now_ >= std::max(peer.pinged, peer.asked_again) + ask_again;
  }
  void ask_suspect(Peer& peer) {
    peer.asked_again = now_;
    peer.found ? void(peer.at_once = true) : hurry(peer, again_about);
  }

  bool to_ping_at_once(Peer& peer) { return peer.at_once && may_send(2); }

  bool flap_forgotten(Peer& peer) { return peer.flaps > 0 && now_ - peer.flapped >= flap_fades; }
  void forget_flap(Peer& peer) { --peer.flaps, peer.flapped = now_; }

  void tell(Peer& peer) {
    if (peer.condition == peer.told_condition && peer.life == peer.told_life) return;
    if (peer.condition == MemberState::dead) done_.log.push_back(peer.name + " is dead");
    else if (peer.told_condition == MemberState::dead) done_.log.push_back(peer.name + " is back");
    peer.told_condition = peer.condition, peer.told_life = peer.life;
    done_.changes.push_back({peer.id, peer.life, peer.condition});
  }

  Millis next_due() const {
    Millis due = never;
    auto wake_at = [&](Millis when) { due = std::min(due, std::max(when, now_)); };
    auto with = [&](double tokens) {  // when there are so many
      return now_ + std::max(0.0, tokens - tokens_) * 1000 / messages_per_second;
    };
    if (!owed_.empty()) wake_at(with(1));
    wake_at(std::max(next_probe_, with(2))), wake_at(std::max(next_dead_, with(2)));
    for (const auto& [number, probe] : probes_)
      wake_at(!probe.counts || probe.asked ? probe.fails_at : probe.again ? probe.others_at : probe.again_at);
    for (const auto& [id, peer] : peers_) {
      if (peer.at_once) wake_at(with(2));
      if (peer.condition != MemberState::suspect) continue;
      wake_at(peer.suspected + suspicion(peer));
      if (!peer.at_once) wake_at(std::max(peer.pinged, peer.asked_again) + ask_again);
    }
    return due;
  }

  static constexpr Rule<Swim, Swim> own_rules[] = {
      {"an answer is owed", &Swim::owes, &Swim::pay},
      {"a period is over", &Swim::probe_due, &Swim::probe_next},
      {"one that is lost may be back", &Swim::dead_due, &Swim::probe_dead},
  };
  static constexpr Rule<Swim, Probe> probe_rules[] = {
      {"no answer yet", &Swim::slow, &Swim::ping_again},
      {"no answer again: others ask", &Swim::unanswered, &Swim::ask_others},
      {"no answer at all", &Swim::failed, &Swim::suspect},
  };
  static constexpr Rule<Swim, Peer> peer_rules[] = {
      {"reason to ask at once", &Swim::to_ping_at_once, &Swim::ping},
      {"a suspect is silent", &Swim::suspect_silent, &Swim::ask_suspect},
      {"alone", &Swim::lost_with_all, &Swim::suspect_weakly},
      {"suspected for long", &Swim::suspected_for_long, &Swim::give_up_on},
      {"never seen", &Swim::never_seen, &Swim::assume_dead},
      {"a wrong verdict long ago", &Swim::flap_forgotten, &Swim::forget_flap},
  };

  const MemberId self_;
  const Incarnation own_;
  std::minstd_rand chance_;
  double size_ = 1, tokens_ = tokens_most;
  int spread_ = 1, health_ = 0;
  bool begun_ = false;
  std::uint32_t own_refuted_ = 0, given_up_below_ = 0;
  std::uint64_t number_ = 0;
  Millis now_ = 0, due_ = never, started_ = 0, tokens_at_ = 0, next_probe_ = 0, next_dead_ = 0;
  Millis doubt_at_ = -never, answered_at_ = -never, heard_at_ = -never, table_at_ = -never;
  std::map<MemberId, Peer> peers_;
  std::map<std::uint64_t, Probe> probes_;
  std::map<std::uint64_t, Passed> passed_;
  std::deque<Owed> owed_;
  std::vector<MemberId> order_;  // of this round, from the back
  std::set<std::pair<MemberId, Incarnation>> twins_;
  Actions done_;
};

}  // namespace

std::unique_ptr<Membership> Membership::make(const Roster& roster, MemberId self, Incarnation own,
                                             std::uint64_t seed) {
  return std::make_unique<Swim>(roster, self, own, seed);
}

}  // namespace rockcrank::fleet
