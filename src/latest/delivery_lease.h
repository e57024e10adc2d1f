// Owns who delivers to a subscriber: one relay at a time, by a lease of a majority of all members, in the
// order of a ring of its own for each lane. It must never count a lease for longer than every voter of it
// does, however the machines' clocks run within a stated drift, nor deliver.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "fleet/rules.h"
#include "latest/latest.h"

namespace rockcrank::latest {

class Duties {
 public:
  Duties(const fleet::Roster& roster, fleet::MemberId self);

  void begin(Millis now);
  void alive(const std::vector<fleet::MemberId>& members);
  void linked(fleet::MemberId peer, bool up);
  void leave() { leaving_ = true; }

  // As a voter.
  LeaseResponse vote(fleet::MemberId from, const LeaseRequest& ask);
  bool holds(const Subscription& lane, fleet::MemberId member,
             std::uint64_t epoch) const;  // as this voter knows

  // As a candidate.
  void granted(fleet::MemberId from, const LeaseResponse& grant);
  bool has(const Subscription& lane, Millis now) const;
  bool yields(const Subscription& lane) const;  // nothing new is begun: another is to have it
  std::uint64_t epoch(const Subscription& lane) const;
  // Its asks of this turn, put into messages by the caller; none_out: nothing is under way for the lane.
  struct To {
    fleet::MemberId to{};
    LeaseRequest ask;
  };
  std::vector<To> decide(const std::set<Subscription>& lanes,
                         const std::function<bool(const Subscription&)>& none_out, std::minstd_rand& chance);
  Millis due() const { return due_; }
  int majority() const { return majority_; }

 private:
  struct Term {
    Subscription lane;
    // As a candidate.
    std::uint64_t epoch = 0, highest = 0;
    std::map<fleet::MemberId, Millis> votes;  // until when each lasts
    Millis ask_at = 0;
    bool standing = false, refused = false, yielding = false;
    // As a voter.
    fleet::MemberId holder{};
    std::uint64_t held_epoch = 0;
    Millis held_until = 0, nearer_asked = -1e18;
  };
  int rank(const Subscription& lane, fleet::MemberId member) const;  // among those alive
  int votes(const Term& term, Millis now) const;
  bool gives_back(Term& term);
  void give_back(Term& term);
  bool is_split(Term& term);
  void back_off(Term& term);
  bool is_nearer_wanted(Term& term);
  void yield(Term& term);
  bool stands(Term& term);
  void stand(Term& term);
  bool asks(Term& term);
  void ask(Term& term);
  void send(Term& term, bool release);
  Millis drawn(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(*chance_);
  }

  const fleet::MemberId self_;
  std::set<fleet::MemberId> roster_, alive_, linked_;
  int majority_;
  std::map<Subscription, Term> terms_;
  Millis now_ = 0, quiet_until_ = -1, due_ = 0;
  bool leaving_ = false;
  std::vector<To> out_;
  std::minstd_rand* chance_ = nullptr;
  const std::function<bool(const Subscription&)>* none_out_ = nullptr;
  static const fleet::Rule<Duties, Term> rules_[];
};

}  // namespace rockcrank::latest
