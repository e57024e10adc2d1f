// Decides which relay delivers to a subscriber: one at a time, by a lease from a majority of all members, in
// an order that rendezvous hashing gives each subscription. The holder never counts a lease as valid for
// longer than each of its voters does, as long as clocks drift by no more than the stated bound.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "fleet/rules.h"
#include "latest/latest.h"

namespace rockcrank::latest {

class DeliveryLeases {
 public:
  DeliveryLeases(const fleet::Roster& roster, fleet::MemberId self);

  void begin_turn(Millis now);
  void set_alive(const std::vector<fleet::MemberId>& members);
  void on_link_change(fleet::MemberId peer, bool up);
  void release_leases() { releasing_ = true; }

  // Voter.
  LeaseResponse on_request(fleet::MemberId from, const LeaseRequest& request);
  bool has_voted_for(const Subscription& subscription, fleet::MemberId member,
                     std::uint64_t epoch) const;  // as far as this voter knows

  // Candidate.
  void on_response(fleet::MemberId from, const LeaseResponse& response);
  bool is_held(const Subscription& subscription, Millis now) const;
  // No new delivery is begun: another relay is to take over the lease.
  bool is_handing_over(const Subscription& subscription) const;
  std::uint64_t epoch(const Subscription& subscription) const;
  // The lease requests of this turn, put into messages by the caller. none_in_flight: the subscription has no
  // delivery in flight.
  struct OutgoingRequest {
    fleet::MemberId to{};
    LeaseRequest request;
  };
  std::vector<OutgoingRequest> decide(const std::set<Subscription>& subscriptions,
                                      const std::function<bool(const Subscription&)>& none_in_flight,
                                      std::minstd_rand& random);
  Millis wake_at() const { return wake_at_; }
  int majority() const { return majority_; }

 private:
  struct LeaseState {
    Subscription subscription;
    // Candidate.
    std::uint64_t epoch = 0, highest_epoch = 0;
    std::map<fleet::MemberId, Millis> votes;  // expiry of each
    Millis next_request_at = 0;
    bool is_candidate = false, was_refused = false, handing_over = false;
    // Voter.
    fleet::MemberId voted_for{};
    std::uint64_t voted_epoch = 0;
    Millis voted_until = 0, better_candidate_at = -1e18;
  };
  int rank(const Subscription& subscription, fleet::MemberId member) const;  // among the alive members
  int valid_votes(const LeaseState& lease, Millis now) const;
  bool may_release(LeaseState& lease);
  void release(LeaseState& lease);
  bool is_split(LeaseState& lease);
  void back_off(LeaseState& lease);
  bool is_better_candidate_waiting(LeaseState& lease);
  void hand_over(LeaseState& lease);
  bool may_become_candidate(LeaseState& lease);
  void become_candidate(LeaseState& lease);
  bool is_request_due(LeaseState& lease);
  void send_requests(LeaseState& lease);
  void broadcast(LeaseState& lease, bool release);
  Millis random_between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(*random_);
  }

  const fleet::MemberId self_;
  std::set<fleet::MemberId> roster_, alive_, linked_;
  int majority_;
  std::map<Subscription, LeaseState> leases_;
  Millis now_ = 0, no_votes_until_ = -1, wake_at_ = 0;
  bool releasing_ = false;
  std::vector<OutgoingRequest> outgoing_;
  std::minstd_rand* random_ = nullptr;
  const std::function<bool(const Subscription&)>* none_in_flight_ = nullptr;
  static const fleet::Rule<DeliveryLeases, LeaseState> rules_[];
};

}  // namespace rockcrank::latest
