// The rules by which a duty is asked for, kept, given back and taken over; duty.h says what is owned. Of two
// that both believe to have it one is wrong about the time by more than the drift: nothing else may make that
// so.

#include "latest/delivery_lease.h"

#include <algorithm>

#include "latest/digest_tree.h"

namespace rockcrank::latest {
namespace {

constexpr Millis lease = 2000;     // of a vote, by the voter's clock
constexpr double drift = 0.05;     // most by which two clocks run apart
constexpr Millis renew = 600;      // a duty is renewed so often
constexpr Millis ask_again = 150;  // while a majority is still lacking
constexpr double patience = 1.5;   // leases that one further down the ring waits, for each place

}  // namespace

Duties::Duties(const fleet::Roster& roster, fleet::MemberId self) : self_(self) {
  for (const auto& member : roster) roster_.insert(member.id);
  roster_.insert(self);
  alive_ = {self};
  majority_ = static_cast<int>(roster_.size()) / 2 + 1;
}

void Duties::begin(Millis now) {
  now_ = now;
  // Guards against a vote given twice: what this member granted in its life before is not known any more.
  if (quiet_until_ < 0) quiet_until_ = roster_.size() > 1 ? now + lease * (1 + drift) : now;
}

void Duties::alive(const std::vector<fleet::MemberId>& members) {
  alive_ = {members.begin(), members.end()};
  alive_.insert(self_);
}

void Duties::linked(fleet::MemberId peer, bool up) {
  if (up) linked_.insert(peer);
  else linked_.erase(peer);
}

// Rendezvous hashing: each lane has a ring of its own, and a member that goes moves only its own lanes.
int Duties::rank(const Subscription& lane, fleet::MemberId member) const {
  auto place = [&](fleet::MemberId one) {
    auto whole =
        hash_combine(static_cast<std::uint64_t>(lane.stream), static_cast<std::uint64_t>(lane.subscriber));
    return std::pair(hash_combine(whole, static_cast<std::uint64_t>(one)), one);
  };
  auto own = place(member);
  return static_cast<int>(std::ranges::count_if(alive_, [&](auto one) { return place(one) < own; }));
}

LeaseResponse Duties::vote(fleet::MemberId from, const LeaseRequest& ask) {
  LeaseResponse grant{ask.subscription, ask.epoch, ask.requested_at, false};
  if (!roster_.count(from)) return grant;
  Term& term = terms_[ask.subscription];
  term.lane = ask.subscription, term.highest = std::max(term.highest, ask.epoch);
  if (ask.release) {
    if (term.holder == from && term.held_epoch == ask.epoch)
      term.held_until = std::min(term.held_until, now_);
    return grant;
  }
  if (from != self_ && rank(ask.subscription, from) < rank(ask.subscription, self_)) term.nearer_asked = now_;
  bool free = now_ >= quiet_until_ && (term.holder == from || now_ >= term.held_until);
  if (!free || ask.epoch < term.held_epoch) return grant.epoch = term.highest, grant;
  term.holder = from, term.held_epoch = ask.epoch, term.held_until = now_ + lease * (1 + drift);
  grant.granted = true;
  return grant;
}

bool Duties::holds(const Subscription& lane, fleet::MemberId member, std::uint64_t epoch) const {
  auto found = terms_.find(lane);
  return found != terms_.end() && found->second.holder == member && found->second.held_epoch == epoch &&
         now_ < found->second.held_until;
}

void Duties::granted(fleet::MemberId from, const LeaseResponse& grant) {
  auto found = terms_.find(grant.subscription);
  if (found == terms_.end()) return;
  Term& term = found->second;
  term.highest = std::max(term.highest, grant.epoch);
  if (!term.standing || grant.requested_at > now_) return;
  if (!grant.granted) {
    term.refused |= now_ - grant.requested_at < lease;
    return;
  }
  if (grant.epoch != term.epoch) return;
  // Counted from the moment of asking, which came before the voter's.
  Millis& until = term.votes.try_emplace(from, -1).first->second;
  until = std::max(until, grant.requested_at + lease * (1 - drift));
}

int Duties::votes(const Term& term, Millis now) const {
  return static_cast<int>(
      std::ranges::count_if(term.votes, [&](const auto& vote) { return now < vote.second; }));
}

bool Duties::has(const Subscription& lane, Millis now) const {
  auto found = terms_.find(lane);
  return found != terms_.end() && found->second.standing && votes(found->second, now) >= majority_;
}

bool Duties::yields(const Subscription& lane) const {
  auto found = terms_.find(lane);
  return found == terms_.end() || found->second.yielding || leaving_;
}

std::uint64_t Duties::epoch(const Subscription& lane) const {
  auto found = terms_.find(lane);
  return found == terms_.end() ? 0 : found->second.epoch;
}

void Duties::send(Term& term, bool release) {
  for (auto member : roster_) {
    LeaseRequest ask{term.lane, term.epoch, now_, release};
    if (member == self_) {
      LeaseResponse grant = vote(self_, ask);
      if (!release) granted(self_, grant);
    } else if (linked_.count(member)) {
      out_.push_back({member, ask});
    }
  }
}

bool Duties::gives_back(Term& term) {
  return term.standing && (term.yielding || leaving_) &&
         ((*none_out_)(term.lane) || votes(term, now_) < majority_);
}
void Duties::give_back(Term& term) {
  send(term, true);
  term.standing = term.yielding = term.refused = false, term.votes.clear();
  term.ask_at = now_ + lease * patience;
}

// Guards against two candidates that each keep a part of the votes for ever.
bool Duties::is_split(Term& term) { return term.standing && term.refused && votes(term, now_) < majority_; }
void Duties::back_off(Term& term) {
  bool renewed = term.epoch < term.highest;
  send(term, true);
  term.standing = term.refused = false, term.votes.clear();
  term.ask_at = now_ + (renewed ? ask_again : drawn(0.3, 0.6) * lease * (1 + rank(term.lane, self_)));
}

bool Duties::is_nearer_wanted(Term& term) {
  return term.standing && !term.yielding && now_ - term.nearer_asked < renew && rank(term.lane, self_) > 0;
}
void Duties::yield(Term& term) { term.yielding = true; }

// The nearest on the ring stands at once; others only when nobody had the duty for a while, as when the
// nearest is alive but cut off from a majority.
bool Duties::stands(Term& term) {
  if (term.standing || leaving_ || now_ < term.ask_at || now_ < quiet_until_) return false;
  int place = rank(term.lane, self_);
  return place == 0 || now_ >= std::max(term.held_until, quiet_until_) + place * patience * lease;
}
void Duties::stand(Term& term) {
  term.standing = true, term.refused = term.yielding = false, term.votes.clear();
  term.epoch = ++term.highest, term.ask_at = now_;
}

bool Duties::asks(Term& term) { return term.standing && !term.yielding && now_ >= term.ask_at; }
void Duties::ask(Term& term) {
  send(term, false);
  term.ask_at = now_ + (votes(term, now_) >= majority_ ? renew : ask_again);
}

const fleet::Rule<Duties, Duties::Term> Duties::rules_[] = {
    {"given back once nothing is under way", &Duties::gives_back, &Duties::give_back},
    {"votes are split", &Duties::is_split, &Duties::back_off},
    {"one nearer wants it", &Duties::is_nearer_wanted, &Duties::yield},
    {"stands for it", &Duties::stands, &Duties::stand},
    {"asks, and asks on", &Duties::asks, &Duties::ask},
};

std::vector<Duties::To> Duties::decide(const std::set<Subscription>& lanes,
                                       const std::function<bool(const Subscription&)>& none_out,
                                       std::minstd_rand& chance) {
  chance_ = &chance, none_out_ = &none_out, due_ = 1e18;
  out_.clear();
  for (const Subscription& lane : lanes) {
    Term& term = terms_[lane];
    term.lane = lane;
    fleet::run_until_stable(*this, rules_, term);
    if (term.standing && !term.yielding) due_ = std::min(due_, term.ask_at);
    else if (!leaving_) {
      int place = rank(lane, self_);
      Millis free = place == 0 ? 0 : std::max(term.held_until, quiet_until_) + place * patience * lease;
      due_ = std::min(due_, std::max({term.ask_at, quiet_until_, free, now_ + 1}));
    }
  }
  return std::move(out_);
}

}  // namespace rockcrank::latest
