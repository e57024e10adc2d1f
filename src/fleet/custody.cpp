// Implements the turn of custody: what came in, the rules, and when the next turn is due.
#include "fleet/custody.h"

#include <algorithm>
#include <cstdio>

#include "fleet/lease_based_custody.h"

namespace rockcrank::fleet::internal {

const Rule<LeaseBasedCustody, Group> LeaseBasedCustody::rules[] = {
    {"votes needed", &LeaseBasedCustody::should_request_votes, &LeaseBasedCustody::request_votes},
    {"elected", &LeaseBasedCustody::is_elected, &LeaseBasedCustody::become_owner},
    {"reconfiguration complete", &LeaseBasedCustody::can_retire_configurations,
     &LeaseBasedCustody::retire_configurations},
    {"replicas should change", &LeaseBasedCustody::should_reconfigure, &LeaseBasedCustody::reconfigure},
    {"lease acquired", &LeaseBasedCustody::should_activate, &LeaseBasedCustody::activate},
    {"no lease for too long", &LeaseBasedCustody::lacks_lease_too_long, &LeaseBasedCustody::start_new_group},
    {"document replicated", &LeaseBasedCustody::has_replicated_document,
     &LeaseBasedCustody::accept_replicated},
    {"replication timed out", &LeaseBasedCustody::replication_timed_out,
     &LeaseBasedCustody::reject_unreplicated},
    {"transmission committed", &LeaseBasedCustody::has_sendable_transmission,
     &LeaseBasedCustody::clear_transmissions},
    {"end committed", &LeaseBasedCustody::has_committed_end, &LeaseBasedCustody::report_end},
    {"heartbeat due", &LeaseBasedCustody::heartbeat_due, &LeaseBasedCustody::send_heartbeat},
    {"entries to send", &LeaseBasedCustody::has_entries_to_send, &LeaseBasedCustody::send_entries},
    {"replica to resynchronize", &LeaseBasedCustody::has_replica_to_resync,
     &LeaseBasedCustody::resync_replica},
    {"documents expired", &LeaseBasedCustody::has_expired, &LeaseBasedCustody::drop_expired},
};

LeaseBasedCustody::LeaseBasedCustody(const Roster& roster, MemberId self, Incarnation incarnation,
                                     const CustodySettings& settings, std::uint64_t seed)
    : self_{self, incarnation},
      settings_(settings),
      random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {
  // The next members on the ring, those of another zone first.
  auto own_at = std::ranges::find(roster, self, &Member::id);
  for (bool other_zone : {true, false})
    for (std::size_t step = 1; step < roster.size(); ++step) {
      auto at = (static_cast<std::size_t>(own_at - roster.begin()) + step) % roster.size();
      if ((roster[at].zone != own_at->zone) == other_zone) placement_order_.push_back(roster[at].id);
    }
  for (const auto& member : roster) member_names_[member.id] = member.name;
  current_group_ = {self, incarnation.number};
}

void LeaseBasedCustody::begin_turn(Millis now) {
  now_ = std::max(now_, now);
  if (past_incarnations_ended_at_ < 0) past_incarnations_ended_at_ = now_;
}

void LeaseBasedCustody::restore_group(const PersistentGroupState& state) {
  Group& group = groups_[state.group];
  group.id = state.group;
  group.voted_term = std::max(group.voted_term, state.voted_term);
  const bool is_known = !group.configurations.empty();
  if (is_known &&
      (state.configurations.empty() || !state.configurations.back().newer_than(group.configuration())))
    return;
  if (group.role == Role::replica) become_inactive(group);
  if ((group.role == Role::owner || group.role == Role::recovering) && !state.is_owner)
    step_down(group, state.configurations.back(), state.highest_document);
  group.configurations = state.configurations;
  group.highest_document = state.highest_document;
  group.role = state.is_owner ? Role::recovering : Role::inactive;
  group.is_active = false;
  group.is_candidate = false;
  group.recovery_started_at = now_;
  if (state.group.origin == self_.member && state.group.number >= current_group_.number)
    current_group_.number = state.group.number + 1;
}

void LeaseBasedCustody::on_member_change(MemberId member, Incarnation incarnation, MemberState state) {
  members_[member] = {incarnation, state};
}

void LeaseBasedCustody::on_link_change(MemberId peer, bool up) {
  for (auto& [id, group] : groups_)
    for (auto& [instance, progress] : group.progress)
      if (instance.member == peer) progress.reset(group.last_index);
  if (up)
    for (auto& [id, group] : groups_) {
      group.next_heartbeat_at = now_;
      group.votes_requested_at = std::min(group.votes_requested_at, now_ - heartbeat_interval());
    }
}

void LeaseBasedCustody::on_message(MemberId from, const CustodyMessage& message) {
  if (message.sender.member != from || from == self_.member) return;
  switch (message.kind) {
    case MessageKind::propose_configuration: return on_propose_configuration(message);
    case MessageKind::renew_lease: return on_renew_lease(message);
    case MessageKind::append_entries: return on_append_entries(message);
    case MessageKind::range_digests: return on_range_digests(message);
    case MessageKind::range_documents: return on_range_documents(message);
    case MessageKind::request_vote: return on_request_vote(message);
    case MessageKind::vote: return on_vote(message);
    case MessageKind::inventory: return on_inventory(message);
    case MessageKind::refused: return on_refused(message);
    case MessageKind::configuration_accepted:
    case MessageKind::lease_renewed:
    case MessageKind::entries_acknowledged:
    case MessageKind::request_ranges: return on_replica_reply(message);
  }
}

GlobalDocId LeaseBasedCustody::next_document_id(std::uint64_t number) {
  return {current_group_.origin, current_group_.number, number};
}

bool LeaseBasedCustody::holds_lease() const {
  auto found = groups_.find(current_group_);
  return found == groups_.end() || has_lease(found->second);
}

Custody::Statistics LeaseBasedCustody::statistics() const {
  Statistics all = statistics_;
  for (const auto& [id, group] : groups_) {
    all.groups += group.role != Role::inactive;
    (group.role == Role::replica ? all.replicated_documents : all.owned_documents) += group.docs.size();
  }
  all.replicated_bytes = replicated_bytes();
  return all;
}

Custody::Actions LeaseBasedCustody::decide() {
  get_or_create_owned_group(current_group_);
  // Restarts from the first rule after each one that fired, so that what the host is told is decided last.
  for (bool fired = true; fired;) {
    fired = false;
    for (const auto& rule : rules) {
      for (auto& [id, group] : groups_)
        if ((this->*rule.when)(group)) (this->*rule.then)(group), fired = true;
      if (fired) break;
    }
  }
  prune_idle_groups();
  actions_.wake_in = next_wake_in();
  return std::exchange(actions_, {});
}

double LeaseBasedCustody::random_between(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

const std::string& LeaseBasedCustody::name_of(MemberId member) const {
  static const std::string nobody = "nobody";
  auto found = member_names_.find(member);
  return found == member_names_.end() ? nobody : found->second;
}

void LeaseBasedCustody::log_event(const char* what, const Group& group, MemberId other,
                                  std::uint64_t number) {
  char line[110];
  std::snprintf(line, sizeof line, "documents: %s, group %.20s %llu, %.20s: %llu", what,
                name_of(group.id.origin).c_str(), static_cast<unsigned long long>(group.id.number),
                name_of(other).c_str(), static_cast<unsigned long long>(number));
  actions_.log_lines.push_back(line);
}

bool LeaseBasedCustody::is_alive(const RelayInstance& instance) const {
  auto found = members_.find(instance.member);
  return found != members_.end() && found->second.first == instance.incarnation &&
         is_alive_or_suspect(found->second.second);
}

bool LeaseBasedCustody::is_alive_or_suspect(MemberState state) {
  return state == MemberState::alive || state == MemberState::suspect;
}

// Invalid unless the member is alive.
RelayInstance LeaseBasedCustody::live_instance_of(MemberId member) const {
  auto found = members_.find(member);
  if (found == members_.end() || !is_alive_or_suspect(found->second.second)) return {};
  return {member, found->second.first};
}

GlobalDocId LeaseBasedCustody::id_of(const Group& group, std::uint64_t number) {
  return {group.id.origin, group.id.number, number};
}

std::size_t LeaseBasedCustody::replicated_bytes() const {
  std::size_t all = 0;
  for (const auto& [id, group] : groups_) all += group.role == Role::replica ? group.bytes : 0;
  return all;
}

CustodyMessage LeaseBasedCustody::make_message(MessageKind kind, const Group& group) const {
  CustodyMessage message;
  message.kind = kind;
  message.group = group.id;
  message.sender = self_;
  message.term = group.term();
  message.highest_document = group.highest_document;
  return message;
}

void LeaseBasedCustody::refuse(const CustodyMessage& message, const Group& group) {
  auto refusal = make_message(MessageKind::refused, group);
  if (!group.configurations.empty()) refusal.configuration = group.configuration();
  refusal.term = group.voted_term;
  send(message.sender.member, std::move(refusal));
}

void LeaseBasedCustody::persist(const Group& group) {
  PersistentGroupState state{group.id,
                             group.voted_term,
                             group.configurations,
                             group.role == Role::owner || group.role == Role::recovering,
                             group.highest_document,
                             false};
  std::erase_if(actions_.states_to_persist, [&](const auto& other) { return other.group == group.id; });
  actions_.states_to_persist.push_back(std::move(state));
}

// Idle groups are kept to tell a relay that recovers late who owned them last, but only a limited number of
// them.
void LeaseBasedCustody::prune_idle_groups() {
  std::size_t idle = 0;
  for (auto& [id, group] : groups_) idle += is_idle(group);
  for (auto at = groups_.begin(); at != groups_.end() && idle > max_idle_groups;) {
    if (!is_idle(at->second)) {
      ++at;
      continue;
    }
    PersistentGroupState state{at->first, {}, {}, false, 0, true};
    actions_.states_to_persist.push_back(state);
    at = groups_.erase(at);
    --idle;
  }
}

bool LeaseBasedCustody::is_idle(const Group& group) const {
  return group.id != current_group_ && group.docs.empty() &&
         (group.role == Role::inactive || (group.role == Role::owner && group.configurations.size() == 1 &&
                                           group.configuration().replicas.empty()));
}

Millis LeaseBasedCustody::next_wake_in() {
  Millis due = never;
  auto wake = [&](Millis when) { due = when > now_ ? std::min(due, when) : due; };
  for (auto& [id, group] : groups_) {
    if (group.is_candidate) wake(group.votes_requested_at + heartbeat_interval());
    if (group.role == Role::owner) {
      if (std::ranges::any_of(group.configurations, [](const Configuration& configuration) {
            return !configuration.replicas.empty();
          }))
        wake(group.next_heartbeat_at);
      if (!group.awaiting_replication.empty())
        if (auto found = group.docs.find(group.awaiting_replication.front().second);
            found != group.docs.end())
          wake(found->second.replication_deadline);
      if (!group.is_candidate && std::ranges::any_of(group.configurations, requires_lease) &&
          (group.highest_seen_term > group.term() || !has_lease(group)))
        wake(group.highest_seen_term > group.term()
                 ? group.next_election_at
                 : std::max(group.next_election_at, group.last_lease_at + settings_.lease_duration));
      wake(group.last_lease_at + new_group_after_leases * settings_.lease_duration);
    }
    if (group.role == Role::replica && requires_lease(group.configuration()) &&
        group.log_position.term.counter > 0 && group.only_in_force && !group.is_candidate)
      wake(std::max(group.next_election_at, group.lease_granted_until));
    if (group.role == Role::recovering)
      wake(group.recovery_started_at + recovery_timeout_leases * settings_.lease_duration);
  }
  return due >= never ? -1 : due - now_;
}

}  // namespace rockcrank::fleet::internal

namespace rockcrank::fleet {

std::unique_ptr<Custody> Custody::make(const Roster& roster, MemberId self, Incarnation incarnation,
                                       const CustodySettings& settings, std::uint64_t seed) {
  return std::make_unique<internal::LeaseBasedCustody>(roster, self, incarnation, settings, seed);
}

}  // namespace rockcrank::fleet
