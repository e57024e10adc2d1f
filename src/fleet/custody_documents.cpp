// The documents of an owner: what its host records, and what may be done for them.
#include <algorithm>

#include "fleet/lease_based_custody.h"

namespace rockcrank::fleet::internal {

void LeaseBasedCustody::accept(const DocumentState& document) {
  Group& group = get_or_create_owned_group(document.id.group());
  Doc& doc = put_document(group, document);
  doc.accepted = !settings_.wait_for_replica;
  doc.state.acceptance_confirmed = doc.accepted;
  doc.document_index = append(group, {EntryKind::document, document.id.document_number, {}});
  if (doc.accepted) return;
  doc.replication_deadline = now_ + settings_.replication_timeout;
  group.awaiting_replication.emplace_back(doc.document_index, document.id.document_number);
}

void LeaseBasedCustody::restore_document(const DocumentState& document, std::uint64_t highest_number) {
  auto group_id = document.id.group();
  bool known = groups_.count(group_id) > 0;
  Group& group = get_or_create_owned_group(group_id);
  // Without stored state the group was never proposed to others, or the state is damaged: the others are
  // asked.
  if (!known && group_id != current_group_) {
    group.role = Role::recovering;
    group.recovery_started_at = now_;
  }
  if (group.role == Role::inactive || group.role == Role::replica) {
    // The process was killed after it had learned of the takeover and before it released the document.
    if (group_id.origin != self_.member || document.id.document_number <= group.highest_document)
      return actions_.relinquished.push_back(document.id);
    DocumentState renumbered = document;
    renumbered.id = next_document_id(document.id.document_number);
    actions_.renumbered.emplace_back(document.id, renumbered.id);
    return restore_document(renumbered, highest_number);
  }
  put_document(group, document).state.acceptance_confirmed = true;
  // Nobody adds documents to a group taken over from another relay: its stored state has the highest
  // number.
  if (group.id.origin == self_.member)
    group.highest_document = std::max(group.highest_document, highest_number);
  if (group.role == Role::owner) group.is_active = false;
}

void LeaseBasedCustody::record_transmission(const GlobalDocId& id, int transmission, ZoneId zone) {
  auto [group, doc] = find_owned(id);
  if (!doc) return;
  doc->state.transmission_count = std::max(doc->state.transmission_count, transmission + 1);
  Transmission started{transmission, now_, zone, 0};
  started.log_index = append(*group, {EntryKind::transmission_started, id.document_number, started});
  doc->in_doubt.push_back(started);
  if (!has_lease(*group) || !is_safe_to_send(*group, *doc, transmission))
    group->held_transmissions.emplace_back(id.document_number, transmission);
}

void LeaseBasedCustody::record_never_ran(const GlobalDocId& id, int transmission) {
  auto [group, doc] = find_owned(id);
  if (!doc) return;
  std::erase_if(doc->in_doubt, [&](const Transmission& other) { return other.number == transmission; });
  append(*group, {EntryKind::transmission_never_ran, id.document_number, {transmission, 0, {}, 0}});
}

void LeaseBasedCustody::record_changed(const GlobalDocId& id, const std::string& record) {
  auto [group, doc] = find_owned(id);
  if (!doc || doc->state.ended) return;
  replace_record(*group, *doc, record);
  append(*group, {EntryKind::document, id.document_number, {}});
}

void LeaseBasedCustody::replace_record(Group& group, Doc& doc, const std::string& record) {
  group.bytes -= doc.bytes();
  doc.state.record = record;
  group.bytes += doc.bytes();
}

void LeaseBasedCustody::record_ended(const GlobalDocId& id, const std::string& record) {
  auto [group, doc] = find_owned(id);
  if (!doc || doc->state.ended) return;
  replace_record(*group, *doc, record);
  doc->state.ended = true;
  doc->end_index = append(*group, {EntryKind::document, id.document_number, {}});
  if (!may_report_end(id)) group->held_ends.emplace_back(doc->end_index, id.document_number);
}

void LeaseBasedCustody::remove(const GlobalDocId& id) {
  auto [group, doc] = find_owned(id);
  if (!doc) return;
  erase_document(*group, id.document_number);
  append(*group, {EntryKind::removed, id.document_number, {}});
}

bool LeaseBasedCustody::owns(const GlobalDocId& id) const {
  auto found = groups_.find(id.group());
  return found != groups_.end() && found->second.is_active && has_lease(found->second) &&
         found->second.docs.count(id.document_number) > 0;
}

bool LeaseBasedCustody::is_accepted(const GlobalDocId& id) const {
  auto doc = find_document(id);
  return doc && doc->accepted;
}

bool LeaseBasedCustody::may_send(const GlobalDocId& id, int transmission) const {
  auto doc = find_document(id);
  return doc && owns(id) && is_safe_to_send(groups_.at(id.group()), *doc, transmission);
}

bool LeaseBasedCustody::may_report_end(const GlobalDocId& id) const {
  auto doc = find_document(id);
  return doc && owns(id) && doc->state.ended && doc->end_index <= committed_index(groups_.at(id.group()));
}

Group& LeaseBasedCustody::get_or_create_owned_group(GroupId id) {
  Group& group = groups_[id];
  if (!group.configurations.empty()) return group;
  group.id = id;
  group.role = Role::owner;
  group.last_lease_at = now_;
  group.is_active = true;
  group.configurations = {Configuration{{1, self_.member}, 0, self_, {}}};
  group.voted_term = group.term();
  return group;
}

Doc& LeaseBasedCustody::put_document(Group& group, const DocumentState& document) {
  erase_document(group, document.id.document_number);
  Doc& doc = group.docs[document.id.document_number];
  doc.state = document;
  doc.state.in_doubt.clear();
  doc.expiry = now_ + document.time_left;
  for (const auto& transmission : document.in_doubt)
    doc.in_doubt.push_back({transmission.number, now_ - transmission.age, transmission.zone, 0});
  group.bytes += doc.bytes();
  group.highest_document = std::max(group.highest_document, document.id.document_number);
  return doc;
}

void LeaseBasedCustody::erase_document(Group& group, std::uint64_t number) {
  auto found = group.docs.find(number);
  if (found == group.docs.end()) return;
  group.bytes -= found->second.bytes();
  group.docs.erase(found);
}

DocumentState LeaseBasedCustody::state_of(const Doc& doc) const {
  DocumentState state = doc.state;
  state.time_left = doc.expiry - now_;
  for (const Transmission& transmission : doc.in_doubt)
    state.in_doubt.push_back({transmission.number, now_ - transmission.started_at, transmission.zone});
  return state;
}

std::pair<Group*, Doc*> LeaseBasedCustody::find_owned(const GlobalDocId& id) {
  auto found = groups_.find(id.group());
  if (found == groups_.end() || found->second.role != Role::owner) return {};
  auto doc = found->second.docs.find(id.document_number);
  if (doc == found->second.docs.end()) return {};
  return {&found->second, &doc->second};
}

const Doc* LeaseBasedCustody::find_document(const GlobalDocId& id) const {
  auto found = groups_.find(id.group());
  if (found == groups_.end()) return nullptr;
  auto doc = found->second.docs.find(id.document_number);
  return doc == found->second.docs.end() ? nullptr : &doc->second;
}

std::uint64_t LeaseBasedCustody::append(Group& group, LogEntry entry) {
  group.log.push_back(entry);
  if (group.log.size() > max_log_entries) group.log.pop_front();
  return ++group.last_index;
}

// Nothing is sent before the document is accepted, so a document whose client was told to retry was
// certainly never sent.
bool LeaseBasedCustody::is_safe_to_send(const Group& group, const Doc& doc, int transmission) const {
  if (!doc.accepted) return false;
  if (!doc.state.replicate_before_send) return true;
  auto found = std::ranges::find(doc.in_doubt, transmission, &Transmission::number);
  return found != doc.in_doubt.end() && found->log_index <= committed_index(group);
}

bool LeaseBasedCustody::should_activate(Group& group) {
  return group.role == Role::owner && !group.is_active && has_lease(group);
}

void LeaseBasedCustody::activate(Group& group) {
  group.is_active = true;
  group.last_lease_at = now_;
  bool taken_over = std::exchange(group.taken_over, false);
  for (auto& [number, doc] : group.docs) {
    // A document whose client may have been told to retry is treated as one that may have run.
    if (taken_over && doc.state.replicate_before_send && !doc.state.acceptance_confirmed &&
        doc.in_doubt.empty() && !doc.state.ended)
      doc.in_doubt.push_back({doc.state.transmission_count, now_, ZoneId(UINT32_MAX), 0});
    doc.state.acceptance_confirmed = doc.accepted = true;
    doc.replication_deadline = never;
    // Its end is reported once one of this owner's replicas has it too.
    if (doc.state.ended && doc.end_index == 0) {
      doc.end_index = append(group, {EntryKind::document, number, {}});
      group.held_ends.emplace_back(doc.end_index, number);
    }
    (taken_over ? actions_.taken_over : actions_.resumed).push_back(state_of(doc));
  }
}

bool LeaseBasedCustody::has_replicated_document(Group& group) {
  return group.role == Role::owner && !group.awaiting_replication.empty() && has_lease(group) &&
         group.awaiting_replication.front().first <= replicated_index(group);
}

void LeaseBasedCustody::accept_replicated(Group& group) {
  auto last_replicated = replicated_index(group);
  while (!group.awaiting_replication.empty() && group.awaiting_replication.front().first <= last_replicated) {
    auto number = group.awaiting_replication.front().second;
    group.awaiting_replication.pop_front();
    auto found = group.docs.find(number);
    if (found == group.docs.end() || found->second.accepted) continue;
    found->second.accepted = found->second.state.acceptance_confirmed = true;
    found->second.replication_deadline = never;
    actions_.accepted.push_back(id_of(group, number));
    append(group, {EntryKind::acceptance_confirmed, number, {}});
  }
}

bool LeaseBasedCustody::replication_timed_out(Group& group) {
  if (group.awaiting_replication.empty()) return false;
  auto found = group.docs.find(group.awaiting_replication.front().second);
  return found == group.docs.end() || found->second.accepted || now_ >= found->second.replication_deadline;
}

void LeaseBasedCustody::reject_unreplicated(Group& group) {
  auto number = group.awaiting_replication.front().second;
  group.awaiting_replication.pop_front();
  auto found = group.docs.find(number);
  if (found == group.docs.end() || found->second.accepted) return;
  actions_.not_accepted.push_back(id_of(group, number));
  erase_document(group, number);
  append(group, {EntryKind::removed, number, {}});
}

bool LeaseBasedCustody::has_sendable_transmission(Group& group) {
  return !group.held_transmissions.empty() && has_lease(group) &&
         std::ranges::any_of(group.held_transmissions, [&](const auto& held) {
           auto found = group.docs.find(held.first);
           return found == group.docs.end() || is_safe_to_send(group, found->second, held.second);
         });
}

void LeaseBasedCustody::clear_transmissions(Group& group) {
  std::erase_if(group.held_transmissions, [&](const auto& held) {
    auto found = group.docs.find(held.first);
    if (found == group.docs.end()) return true;
    if (!is_safe_to_send(group, found->second, held.second)) return false;
    actions_.cleared_transmissions.emplace_back(id_of(group, held.first), held.second);
    return true;
  });
}

bool LeaseBasedCustody::has_committed_end(Group& group) {
  return !group.held_ends.empty() && has_lease(group) &&
         group.held_ends.front().first <= committed_index(group);
}

void LeaseBasedCustody::report_end(Group& group) {
  auto number = group.held_ends.front().second;
  group.held_ends.pop_front();
  if (group.docs.count(number)) actions_.reportable_ends.push_back(id_of(group, number));
}

// Otherwise the relay would accept nothing while its replicas are unreachable. New documents go into
// another group, of which no other member knows.
bool LeaseBasedCustody::lacks_lease_too_long(Group& group) {
  if (group.role == Role::owner && has_lease(group)) group.last_lease_at = now_;
  return group.role == Role::owner && (group.id == current_group_ || group.is_active) &&
         now_ >= group.last_lease_at + new_group_after_leases * settings_.lease_duration;
}

void LeaseBasedCustody::start_new_group(Group& group) {
  if (std::exchange(group.is_active, false))
    for (const auto& [number, doc] : group.docs) actions_.suspended.push_back(id_of(group, number));
  if (group.id != current_group_) return;
  ++current_group_.number;
  log_event("no lease for too long, starting a new group", group, self_.member, group.docs.size());
}

bool LeaseBasedCustody::has_expired(Group& group) {
  Millis retention = group.role == Role::replica ? expired_replica_retention : unowned_retention;
  if (group.role == Role::replica && now_ < group.lease_granted_until + expired_replica_retention)
    return false;
  if (group.role == Role::owner && has_lease(group)) return false;
  return std::ranges::any_of(group.docs,
                             [&](const auto& at) { return now_ >= at.second.expiry + retention; });
}

void LeaseBasedCustody::drop_expired(Group& group) {
  bool is_replica = group.role == Role::replica;
  for (auto at = group.docs.begin(); at != group.docs.end();) {
    auto number = at->first;
    bool is_expired =
        now_ >= (at++)->second.expiry + (is_replica ? expired_replica_retention : unowned_retention);
    if (!is_expired) continue;
    if (is_replica) {
      group.dropped_expired = true;
      group.in_sync = false;
    } else actions_.relinquished.push_back(id_of(group, number));
    erase_document(group, number);
  }
  log_event("dropped expired documents of unproven owner", group, self_.member, group.docs.size());
}

}  // namespace rockcrank::fleet::internal
