// The replica's side: answers to the owner, and the copy of its log.
#include <algorithm>

#include "fleet/lease_based_custody.h"

namespace rockcrank::fleet::internal {

void LeaseBasedCustody::on_propose_configuration(const CustodyMessage& message) {
  const Configuration& configuration = message.configuration;
  if (message.sender != configuration.owner || configuration.replicas.size() > 2) return;
  auto found = groups_.find(message.group);
  bool is_member = includes(configuration, self_);
  if (found == groups_.end() && !is_member) return;
  Group& group = groups_[message.group];
  group.id = message.group;
  // Safety: a member that voted in a later term, or knows a newer configuration, does not serve as a
  // replica in an older one.
  if (configuration.term < group.voted_term ||
      (!group.configurations.empty() && group.configuration().newer_than(configuration)))
    return refuse(message, group);
  if (configuration.owner == self_) return;
  bool is_newer = group.configurations.empty() || configuration.newer_than(group.configuration());
  if (is_newer) {
    if (group.role == Role::owner || group.role == Role::recovering)
      step_down(group, configuration, message.highest_document);
    bool same_owner = !group.configurations.empty() && group.configuration().owner == configuration.owner &&
                      group.role == Role::replica;
    if (!same_owner) group.in_sync = false;
    group.configurations = {configuration}, group.voted_term = configuration.term, group.is_candidate = false;
    group.only_in_force = false;
    if (same_owner && group.in_sync) group.log_position.term = configuration.term;
    if (!same_owner) group.highest_document = message.highest_document;
    if (!is_member) {
      become_inactive(group);
    } else group.role = Role::replica;
  }
  if (is_member) {
    grant_lease(group, configuration.owner);
    group.only_in_force |= message.yes;
  }
  auto reply = make_message(MessageKind::configuration_accepted, group);
  reply.configuration.revision = configuration.revision;
  reply.number = message.number;
  reply.in_sync = group.in_sync;
  reply.position.index = group.applied_index;
  send(message.sender.member, std::move(reply));
}

void LeaseBasedCustody::become_inactive(Group& group) {
  group.docs.clear();
  group.bytes = 0;
  group.role = Role::inactive, group.log_position = {}, group.in_sync = group.is_candidate = false;
  group.only_in_force = false;
}

void LeaseBasedCustody::grant_lease(Group& group, const RelayInstance& owner) {
  group.lease_granted_to = owner;
  group.lease_granted_until = now_ + settings_.lease_duration * (1 + settings_.max_clock_drift);
  group.yielded = false;
  group.next_election_at =
      group.lease_granted_until + election_delay_leases * settings_.lease_duration * random_between(1, 2);
  group.is_candidate = false;
}

// Returns the group if this relay is a replica of the sender in the sender's term. Otherwise refuses the
// message.
Group* LeaseBasedCustody::group_as_replica_of(const CustodyMessage& message) {
  auto found = groups_.find(message.group);
  if (found == groups_.end()) return nullptr;
  Group& group = found->second;
  if (group.role == Role::replica && group.configuration().owner == message.sender &&
      group.term() == message.term && group.voted_term == message.term)
    return &group;
  if (!group.configurations.empty()) refuse(message, group);
  return nullptr;
}

void LeaseBasedCustody::on_renew_lease(const CustodyMessage& message) {
  Group* group = group_as_replica_of(message);
  if (!group) return;
  grant_lease(*group, message.sender);
  bool is_current = message.configuration.revision == group->configuration().revision;
  group->only_in_force |= message.yes && is_current;
  auto reply = make_message(MessageKind::lease_renewed, *group);
  reply.number = message.number;
  reply.yes = leaving_;
  send(message.sender.member, std::move(reply));
}

void LeaseBasedCustody::on_append_entries(const CustodyMessage& message) {
  Group* group = group_as_replica_of(message);
  if (!group || message.number == 0) return;
  auto index = message.number - 1;
  for (const auto& entry : message.entries) {
    ++index;
    // A replica that is not in sync applies whatever arrives: the next digests find what it lacks.
    if (group->in_sync && index != group->applied_index + 1) {
      if (index <= group->applied_index) continue;
      break;
    }
    // Keeps an owner from filling this relay's memory: the replica falls out of sync and acknowledges no
    // further, so the owner depends on its other replica.
    if (entry.kind == EntryKind::document && !entry.documents.empty() &&
        replicated_bytes() + entry.documents.front().record.size() > max_replicated_bytes) {
      group->in_sync = false;
      break;
    }
    apply(*group, entry);
    group->applied_index = index;
  }
  acknowledge(*group, message);
}

void LeaseBasedCustody::acknowledge(Group& group, const CustodyMessage& message) {
  if (group.in_sync) group.log_position = {group.term(), group.applied_index};
  auto reply = make_message(MessageKind::entries_acknowledged, group);
  reply.number = group.applied_index;
  reply.in_sync = group.in_sync;
  send(message.sender.member, std::move(reply));
}

void LeaseBasedCustody::apply(Group& group, const WireLogEntry& entry) {
  if (entry.kind == EntryKind::document) {
    if (!entry.documents.empty() && entry.documents.front().id == id_of(group, entry.document_number))
      put_document(group, entry.documents.front());
    return;
  }
  if (entry.kind == EntryKind::removed) return erase_document(group, entry.document_number);
  auto found = group.docs.find(entry.document_number);
  if (found == group.docs.end()) return;
  Doc& doc = found->second;
  std::erase_if(doc.in_doubt, [&](const Transmission& transmission) {
    return entry.kind != EntryKind::acceptance_confirmed && transmission.number == entry.transmission.number;
  });
  if (entry.kind == EntryKind::acceptance_confirmed) doc.state.acceptance_confirmed = true;
  if (entry.kind == EntryKind::transmission_started) {
    doc.in_doubt.push_back(
        {entry.transmission.number, now_ - entry.transmission.age, entry.transmission.zone, 0});
    doc.state.transmission_count = std::max(doc.state.transmission_count, entry.transmission.number + 1);
  }
}

std::uint64_t LeaseBasedCustody::range_digest(const Group& group, const DocumentRange& range) {
  std::uint64_t all = 0;
  for (auto at = group.docs.lower_bound(range.first); at != group.docs.end() && at->first < range.end; ++at)
    all += digest_of(at->first, at->second);
  return all;
}

void LeaseBasedCustody::on_range_digests(const CustodyMessage& message) {
  Group* group = group_as_replica_of(message);
  if (!group) return;
  auto request = make_message(MessageKind::request_ranges, *group);
  for (const auto& range : message.ranges)
    if (range_digest(*group, range) != range.digest) request.ranges.push_back(range);
  group->applied_index = message.number;
  group->in_sync = request.ranges.empty();
  if (group->in_sync)
    return group->dropped_expired = false,
           group->highest_document = std::max(group->highest_document, message.highest_document),
           acknowledge(*group, message);
  send(message.sender.member, std::move(request));
}

void LeaseBasedCustody::on_range_documents(const CustodyMessage& message) {
  Group* group = group_as_replica_of(message);
  if (!group || message.ranges.size() != 1) return;
  const auto& range = message.ranges.front();
  std::size_t bytes = 0;
  for (const auto& document : message.documents) bytes += document.record.size() + document_overhead_bytes;
  if (replicated_bytes() + bytes > max_replicated_bytes) return;
  for (auto at = group->docs.lower_bound(range.first); at != group->docs.end() && at->first < range.end;)
    erase_document(*group, (at++)->first);
  for (const auto& document : message.documents)
    if (document.id.group() == group->id) put_document(*group, document);
  auto reply = make_message(MessageKind::request_ranges, *group);
  reply.yes = true;
  reply.ranges = message.ranges;
  send(message.sender.member, std::move(reply));
}

}  // namespace rockcrank::fleet::internal
