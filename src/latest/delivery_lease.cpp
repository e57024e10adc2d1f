// Rules by which a delivery lease is requested, renewed, released and taken over. Two relays can both believe
// that they hold a lease only if their clocks drift by more than the stated bound.

#include "latest/delivery_lease.h"

#include <algorithm>

#include "latest/digest_tree.h"

namespace rockcrank::latest {
namespace {

constexpr Millis lease_duration = 2000;         // duration of a vote, by the voter's clock
constexpr double max_clock_drift = 0.05;        // largest relative drift between two clocks
constexpr Millis renew_interval = 600;          // interval at which a held lease is renewed
constexpr Millis request_retry_interval = 150;  // while a majority is still missing
constexpr double takeover_delay_leases = 1.5;   // lease durations that a candidate waits, for each rank

}  // namespace

DeliveryLeases::DeliveryLeases(const fleet::Roster& roster, fleet::MemberId self) : self_(self) {
  for (const auto& member : roster) roster_.insert(member.id);
  roster_.insert(self);
  alive_ = {self};
  majority_ = static_cast<int>(roster_.size()) / 2 + 1;
}

void DeliveryLeases::begin_turn(Millis now) {
  now_ = now;
  // Prevents a double vote: what this member granted in its previous incarnation is unknown.
  if (no_votes_until_ < 0)
    no_votes_until_ = roster_.size() > 1 ? now + lease_duration * (1 + max_clock_drift) : now;
}

void DeliveryLeases::set_alive(const std::vector<fleet::MemberId>& members) {
  alive_ = {members.begin(), members.end()};
  alive_.insert(self_);
}

void DeliveryLeases::on_link_change(fleet::MemberId peer, bool up) {
  if (up) linked_.insert(peer);
  else linked_.erase(peer);
}

// Rendezvous hashing: each subscription has its own order of members, and a member that leaves moves only its
// own subscriptions.
int DeliveryLeases::rank(const Subscription& subscription, fleet::MemberId member) const {
  auto hash_of = [&](fleet::MemberId candidate) {
    auto subscription_hash = hash_combine(static_cast<std::uint64_t>(subscription.stream),
                                          static_cast<std::uint64_t>(subscription.subscriber));
    return std::pair(hash_combine(subscription_hash, static_cast<std::uint64_t>(candidate)), candidate);
  };
  auto own_hash = hash_of(member);
  return static_cast<int>(
      std::ranges::count_if(alive_, [&](auto candidate) { return hash_of(candidate) < own_hash; }));
}

LeaseResponse DeliveryLeases::on_request(fleet::MemberId from, const LeaseRequest& request) {
  LeaseResponse response{request.subscription, request.epoch, request.requested_at, false};
  if (!roster_.count(from)) return response;
  LeaseState& lease = leases_[request.subscription];
  lease.subscription = request.subscription,
  lease.highest_epoch = std::max(lease.highest_epoch, request.epoch);
  if (request.release) {
    if (lease.voted_for == from && lease.voted_epoch == request.epoch)
      lease.voted_until = std::min(lease.voted_until, now_);
    return response;
  }
  if (from != self_ && rank(request.subscription, from) < rank(request.subscription, self_))
    lease.better_candidate_at = now_;
  bool available = now_ >= no_votes_until_ && (lease.voted_for == from || now_ >= lease.voted_until);
  if (!available || request.epoch < lease.voted_epoch) return response.epoch = lease.highest_epoch, response;
  lease.voted_for = from, lease.voted_epoch = request.epoch,
  lease.voted_until = now_ + lease_duration * (1 + max_clock_drift);
  response.granted = true;
  return response;
}

bool DeliveryLeases::has_voted_for(const Subscription& subscription, fleet::MemberId member,
                                   std::uint64_t epoch) const {
  auto found = leases_.find(subscription);
  return found != leases_.end() && found->second.voted_for == member && found->second.voted_epoch == epoch &&
         now_ < found->second.voted_until;
}

void DeliveryLeases::on_response(fleet::MemberId from, const LeaseResponse& response) {
  auto found = leases_.find(response.subscription);
  if (found == leases_.end()) return;
  LeaseState& lease = found->second;
  lease.highest_epoch = std::max(lease.highest_epoch, response.epoch);
  if (!lease.is_candidate || response.requested_at > now_) return;
  if (!response.granted) {
    lease.was_refused |= now_ - response.requested_at < lease_duration;
    return;
  }
  if (response.epoch != lease.epoch) return;
  // Counted from the time of the request, which precedes the voter's clock start.
  Millis& until = lease.votes.try_emplace(from, -1).first->second;
  until = std::max(until, response.requested_at + lease_duration * (1 - max_clock_drift));
}

int DeliveryLeases::valid_votes(const LeaseState& lease, Millis now) const {
  return static_cast<int>(
      std::ranges::count_if(lease.votes, [&](const auto& vote) { return now < vote.second; }));
}

bool DeliveryLeases::is_held(const Subscription& subscription, Millis now) const {
  auto found = leases_.find(subscription);
  return found != leases_.end() && found->second.is_candidate && valid_votes(found->second, now) >= majority_;
}

bool DeliveryLeases::is_handing_over(const Subscription& subscription) const {
  auto found = leases_.find(subscription);
  return found == leases_.end() || found->second.handing_over || releasing_;
}

std::uint64_t DeliveryLeases::epoch(const Subscription& subscription) const {
  auto found = leases_.find(subscription);
  return found == leases_.end() ? 0 : found->second.epoch;
}

void DeliveryLeases::broadcast(LeaseState& lease, bool release) {
  for (auto member : roster_) {
    LeaseRequest request{lease.subscription, lease.epoch, now_, release};
    if (member == self_) {
      LeaseResponse response = on_request(self_, request);
      if (!release) on_response(self_, response);
    } else if (linked_.count(member)) {
      outgoing_.push_back({member, request});
    }
  }
}

bool DeliveryLeases::may_release(LeaseState& lease) {
  return lease.is_candidate && (lease.handing_over || releasing_) &&
         ((*none_in_flight_)(lease.subscription) || valid_votes(lease, now_) < majority_);
}
void DeliveryLeases::release(LeaseState& lease) {
  broadcast(lease, true);
  lease.is_candidate = lease.handing_over = lease.was_refused = false, lease.votes.clear();
  lease.next_request_at = now_ + lease_duration * takeover_delay_leases;
}

// Prevents two candidates from keeping part of the votes each for ever.
bool DeliveryLeases::is_split(LeaseState& lease) {
  return lease.is_candidate && lease.was_refused && valid_votes(lease, now_) < majority_;
}
void DeliveryLeases::back_off(LeaseState& lease) {
  bool is_epoch_behind = lease.epoch < lease.highest_epoch;
  broadcast(lease, true);
  lease.is_candidate = lease.was_refused = false, lease.votes.clear();
  lease.next_request_at = now_ + (is_epoch_behind ? request_retry_interval
                                                  : random_between(0.3, 0.6) * lease_duration *
                                                        (1 + rank(lease.subscription, self_)));
}

bool DeliveryLeases::is_better_candidate_waiting(LeaseState& lease) {
  return lease.is_candidate && !lease.handing_over && now_ - lease.better_candidate_at < renew_interval &&
         rank(lease.subscription, self_) > 0;
}
void DeliveryLeases::hand_over(LeaseState& lease) { lease.handing_over = true; }

// The candidate of the lowest rank stands at once. The others stand only if nobody held the lease for a
// while, for example because the first one is alive but cut off from a majority.
bool DeliveryLeases::may_become_candidate(LeaseState& lease) {
  if (lease.is_candidate || releasing_ || now_ < lease.next_request_at || now_ < no_votes_until_)
    return false;
  int own_rank = rank(lease.subscription, self_);
  return own_rank == 0 || now_ >= std::max(lease.voted_until, no_votes_until_) +
                                      own_rank * takeover_delay_leases * lease_duration;
}
void DeliveryLeases::become_candidate(LeaseState& lease) {
  lease.is_candidate = true, lease.was_refused = lease.handing_over = false, lease.votes.clear();
  lease.epoch = ++lease.highest_epoch, lease.next_request_at = now_;
}

bool DeliveryLeases::is_request_due(LeaseState& lease) {
  return lease.is_candidate && !lease.handing_over && now_ >= lease.next_request_at;
}
void DeliveryLeases::send_requests(LeaseState& lease) {
  broadcast(lease, false);
  lease.next_request_at =
      now_ + (valid_votes(lease, now_) >= majority_ ? renew_interval : request_retry_interval);
}

const fleet::Rule<DeliveryLeases, DeliveryLeases::LeaseState> DeliveryLeases::rules_[] = {
    {"release once nothing is in flight", &DeliveryLeases::may_release, &DeliveryLeases::release},
    {"votes are split", &DeliveryLeases::is_split, &DeliveryLeases::back_off},
    {"a candidate of lower rank is waiting", &DeliveryLeases::is_better_candidate_waiting,
     &DeliveryLeases::hand_over},
    {"become a candidate", &DeliveryLeases::may_become_candidate, &DeliveryLeases::become_candidate},
    {"request due", &DeliveryLeases::is_request_due, &DeliveryLeases::send_requests},
};

std::vector<DeliveryLeases::OutgoingRequest> DeliveryLeases::decide(
    const std::set<Subscription>& subscriptions,
    const std::function<bool(const Subscription&)>& none_in_flight, std::minstd_rand& random) {
  random_ = &random, none_in_flight_ = &none_in_flight, wake_at_ = 1e18;
  outgoing_.clear();
  for (const Subscription& subscription : subscriptions) {
    LeaseState& lease = leases_[subscription];
    lease.subscription = subscription;
    fleet::run_until_stable(*this, rules_, lease);
    if (lease.is_candidate && !lease.handing_over) wake_at_ = std::min(wake_at_, lease.next_request_at);
    else if (!releasing_) {
      int own_rank = rank(subscription, self_);
      Millis available = own_rank == 0 ? 0
                                       : std::max(lease.voted_until, no_votes_until_) +
                                             own_rank * takeover_delay_leases * lease_duration;
      wake_at_ = std::min(wake_at_, std::max({lease.next_request_at, no_votes_until_, available, now_ + 1}));
    }
  }
  return std::move(outgoing_);
}

}  // namespace rockcrank::latest
