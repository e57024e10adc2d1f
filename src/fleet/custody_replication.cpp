// The owner's side: leases, replication of its log, and exchanges of replicas.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <functional>

#include "fleet/lease_based_custody.h"

namespace rockcrank::fleet::internal {

std::uint64_t digest_of(std::uint64_t number, const Doc& doc) {
  std::vector<std::uint64_t> all{number, static_cast<std::uint64_t>(doc.state.transmission_count),
                                 doc.state.acceptance_confirmed + 2u * doc.state.ended};
  std::vector<int> transmissions;
  for (const Transmission& transmission : doc.in_doubt) transmissions.push_back(transmission.number);
  std::ranges::sort(transmissions);
  for (int transmission : transmissions) all.push_back(static_cast<std::uint64_t>(transmission));
  return XXH3_64bits(all.data(), all.size() * sizeof all[0]);
}

// Safety: in each configuration in force, a replica has answered a renewal that was sent less than a lease
// ago. The replica counts its grant from the arrival of the renewal and extends it by the clock drift, so
// the grant ends after the lease.
Millis LeaseBasedCustody::lease_until(const Group& group) const {
  Millis until = never;
  for (const Configuration& configuration : group.configurations) {
    if (!requires_lease(configuration)) continue;
    Millis best = -never;
    for (const RelayInstance& instance : configuration.replicas)
      if (auto found = group.progress.find(instance); found != group.progress.end())
        best = std::max(best, found->second.lease_start + settings_.lease_duration);
    until = std::min(until, best);
  }
  return until;
}

std::uint64_t LeaseBasedCustody::match_index(const Group& group, const Configuration& configuration) const {
  std::uint64_t best = 0;
  for (const RelayInstance& instance : configuration.replicas)
    if (auto found = group.progress.find(instance); found != group.progress.end() && found->second.in_sync)
      best = std::max(best, found->second.match_index);
  return best;
}

// The index up to which each configuration in force has a replica with all entries.
std::uint64_t LeaseBasedCustody::replicated_index(const Group& group) const {
  std::uint64_t all = UINT64_MAX;
  for (const Configuration& configuration : group.configurations)
    all = std::min(all, match_index(group, configuration));
  return all;
}

// Safety: the index up to which any member that may be elected certainly has all entries. Where a
// configuration has fewer than two replicas, nobody else can be elected.
std::uint64_t LeaseBasedCustody::committed_index(const Group& group) const {
  std::uint64_t all = UINT64_MAX;
  for (const Configuration& configuration : group.configurations)
    if (requires_lease(configuration)) all = std::min(all, match_index(group, configuration));
  return all;
}

// The committed index falls when a configuration begins whose replicas have nothing yet; what was committed
// remains so.
void LeaseBasedCustody::record_committed_index(Group& group) {
  auto committed = std::min(committed_index(group), group.last_index);
  group.highest_committed_index = std::max(group.highest_committed_index, committed);
}

void LeaseBasedCustody::on_replica_reply(const CustodyMessage& message) {
  auto found = groups_.find(message.group);
  if (found == groups_.end() || found->second.role != Role::owner || message.term != found->second.term())
    return;
  Group& group = found->second;
  auto at = group.progress.find(message.sender);
  if (at == group.progress.end()) return;
  record_committed_index(group);
  apply_replica_reply(group, at->second, message);
  record_committed_index(group);
}

void LeaseBasedCustody::apply_replica_reply(Group& group, Progress& progress, const CustodyMessage& message) {
  if (message.kind == MessageKind::configuration_accepted || message.kind == MessageKind::lease_renewed) {
    if (auto sent = progress.pending_renewals.find(message.number); sent != progress.pending_renewals.end()) {
      progress.lease_start = std::max(progress.lease_start, sent->second);
      progress.pending_renewals.erase(progress.pending_renewals.begin(), std::next(sent));
    }
    if (message.kind == MessageKind::lease_renewed && message.yes) leaving_instances_.insert(message.sender);
    if (message.kind == MessageKind::configuration_accepted) {
      progress.configuration_accepted =
          progress.configuration_accepted || message.configuration.revision == group.configuration().revision;
      if (!message.in_sync && progress.in_sync) {
        progress.in_sync = false;
        progress.reset(group.last_index);
      }
      if (message.in_sync && !progress.in_sync && message.position.index <= group.last_index &&
          message.position.index + group.log.size() >= group.last_index) {
        progress.in_sync = true;
        progress.match_index = progress.sent_index = message.position.index;
      }
    }
  } else if (message.kind == MessageKind::entries_acknowledged) {
    if (message.number > group.last_index) return;
    if (message.in_sync && !progress.in_sync) {
      progress.in_sync = true;
      progress.match_index = 0;
      progress.pending_ranges.clear();
      progress.ranges_in_flight = 0;
      progress.digests_in_flight = false;
      progress.sent_index = std::max(progress.sent_index, message.number);
    } else if (!message.in_sync && progress.in_sync) {
      // It had no capacity, or lost its position in the log.
      progress.in_sync = false;
      progress.reset(group.last_index);
    }
    progress.acknowledge(message.number);
  } else if (message.yes) {
    progress.ranges_in_flight -= progress.ranges_in_flight > 0;
  } else {
    progress.digests_in_flight = false;
    progress.pending_ranges.assign(message.ranges.begin(), message.ranges.end());
  }
}

// Safety: an older configuration is no longer in force once one of its replicas has accepted the newest
// one: with the owner that is a majority that elects nobody in the older one. But not before a replica of
// the newest configuration has all entries that were ever committed.
bool LeaseBasedCustody::can_retire_configurations(Group& group) {
  if (group.role != Role::owner || group.configurations.size() < 2) return false;
  for (std::size_t i = 0; i + 1 < group.configurations.size(); ++i)
    if (requires_lease(group.configurations[i]) &&
        std::ranges::none_of(group.configurations[i].replicas, [&](const RelayInstance& instance) {
          auto found = group.progress.find(instance);
          return found != group.progress.end() && found->second.configuration_accepted;
        }))
      return false;
  Configuration newest = group.configurations.back();
  return !requires_lease(newest) || match_index(group, newest) >= group.highest_committed_index;
}

void LeaseBasedCustody::retire_configurations(Group& group) {
  group.configurations.erase(group.configurations.begin(), group.configurations.end() - 1);
  record_committed_index(group);
  group.next_heartbeat_at = now_;  // its replicas may elect a successor once they have heard of it
  std::erase_if(group.progress, [&](const auto& at) { return !includes(group.configuration(), at.first); });
  persist(group);
}

// The two replicas that the group should have. Current ones that are alive stay.
std::vector<RelayInstance> LeaseBasedCustody::desired_replicas(const Group& group) const {
  std::vector<RelayInstance> instances;
  if (group.docs.empty() && group.id != current_group_) return instances;
  // One that is shutting down stays only if there is no other, because its documents are lost with it.
  for (bool leaving : {false, true}) {
    for (const RelayInstance& instance : group.configuration().replicas)
      if (instances.size() < 2 && is_alive(instance) && leaving_instances_.count(instance) == leaving)
        instances.push_back(instance);
    for (MemberId other : placement_order_) {
      RelayInstance instance = live_instance_of(other);
      if (instances.size() < 2 && instance.is_valid() && leaving_instances_.count(instance) == leaving &&
          std::ranges::find(instances, other, &RelayInstance::member) == instances.end())
        instances.push_back(instance);
    }
  }
  return instances;
}

std::vector<RelayInstance> LeaseBasedCustody::next_replicas(Group& group) {
  auto desired = desired_replicas(group);
  const auto& current = group.configuration().replicas;
  if (desired == current) return current;
  if (current.size() < 2) return desired;
  // Safety: one of two replicas stays, so that majorities of successive configurations intersect.
  std::vector<RelayInstance> kept;
  for (const RelayInstance& instance : current)
    if (is_alive(instance)) kept.push_back(instance);
  if (kept.empty()) return current;
  auto is_desired = [&](const RelayInstance& instance) {
    return std::ranges::find(desired, instance) != desired.end();
  };
  // Prefers, among those that should stay, the one that answered last: it keeps the lease valid.
  std::ranges::stable_sort(kept, std::greater<>(), [&](const RelayInstance& instance) {
    auto found = group.progress.find(instance);
    return std::pair(is_desired(instance),
                     found == group.progress.end() ? -never : found->second.lease_start);
  });
  if (desired.empty()) return {kept.front()};
  if (kept.size() == 2 && std::ranges::all_of(kept, is_desired)) return current;
  std::vector<RelayInstance> next{kept.front()};
  for (const RelayInstance& instance : desired)
    if (next.size() < 2 && instance != next.front()) next.push_back(instance);
  for (const Configuration& configuration : group.configurations)
    if (requires_lease(configuration) && next.size() == 2 &&
        std::ranges::none_of(configuration.replicas, [&](const RelayInstance& replica) {
          return replica == next[0] || replica == next[1];
        }))
      return current;
  return next;
}

bool LeaseBasedCustody::should_reconfigure(Group& group) {
  if (group.role != Role::owner || group.is_candidate ||
      group.configurations.size() >= max_active_configurations)
    return false;
  return next_replicas(group) != group.configuration().replicas;
}

void LeaseBasedCustody::reconfigure(Group& group) {
  record_committed_index(group);
  Configuration next = group.configuration();
  ++next.revision;
  next.replicas = next_replicas(group);
  group.configurations.push_back(next);
  group.next_heartbeat_at = now_;
  ++statistics_.configuration_changes;
  for (auto& [instance, progress] : group.progress) progress.configuration_accepted = false;
  persist(group);
}

bool LeaseBasedCustody::heartbeat_due(Group& group) {
  return group.role == Role::owner && now_ >= group.next_heartbeat_at &&
         std::ranges::any_of(group.configurations, [](const Configuration& configuration) {
           return !configuration.replicas.empty();
         });
}

void LeaseBasedCustody::send_heartbeat(Group& group) {
  group.next_heartbeat_at = now_ + heartbeat_interval();
  auto renewal = ++group.renewal_count;
  std::set<RelayInstance> instances;
  for (const Configuration& configuration : group.configurations)
    instances.insert(configuration.replicas.begin(), configuration.replicas.end());
  for (const RelayInstance& instance : instances) {
    auto [at, is_new] = group.progress.try_emplace(instance);
    Progress& progress = at->second;
    if (is_new) progress.sent_index = group.last_index;
    bool stuck = progress.last_heartbeat_match_index == progress.match_index &&
                 (progress.sent_index > progress.match_index || !progress.in_sync);
    if (std::exchange(progress.last_heartbeat_match_index, progress.match_index) == progress.match_index &&
        stuck && !is_new)
      progress.reset(group.last_index);
    progress.pending_renewals[renewal] = now_;
    while (progress.pending_renewals.size() > max_pending_renewals)
      progress.pending_renewals.erase(progress.pending_renewals.begin());
    auto message = make_message(
        progress.configuration_accepted ? MessageKind::renew_lease : MessageKind::propose_configuration,
        group);
    message.number = renewal;
    message.yes = group.configurations.size() == 1;
    message.configuration.revision = group.configuration().revision;
    if (!progress.configuration_accepted) message.configuration = group.configuration();
    send(instance.member, std::move(message));
  }
}

Progress* LeaseBasedCustody::find_lagging(Group& group, MemberId* to, bool for_entries) {
  if (group.role != Role::owner) return nullptr;
  for (auto& [instance, progress] : group.progress) {
    *to = instance.member;
    if (progress.lease_start <= -never) continue;  // has not yet confirmed that it is a replica
    if (progress.in_sync && progress.sent_index + group.log.size() < group.last_index) {
      progress.in_sync = false;
      progress.reset(group.last_index);
    }
    if (!progress.in_sync && progress.sent_index + group.log.size() < group.last_index)
      progress.sent_index = group.last_index;
    if (for_entries
            ? progress.sent_index < group.last_index && progress.in_flight_bytes < max_unacknowledged_bytes
            : !progress.in_sync && (!progress.pending_ranges.empty()
                                        ? progress.ranges_in_flight < max_unacknowledged_ranges
                                        : progress.ranges_in_flight == 0 && !progress.digests_in_flight &&
                                              progress.sent_index == group.last_index))
      return &progress;
  }
  return nullptr;
}

bool LeaseBasedCustody::has_entries_to_send(Group& group) {
  MemberId to{};
  return find_lagging(group, &to, true) != nullptr;
}

void LeaseBasedCustody::send_entries(Group& group) {
  MemberId to{};
  Progress& progress = *find_lagging(group, &to, true);
  auto message = make_message(MessageKind::append_entries, group);
  message.number = progress.sent_index + 1;
  std::size_t bytes = 0;
  for (auto at = group.log.size() - (group.last_index - progress.sent_index);
       at < group.log.size() && bytes < max_batch_bytes; ++at) {
    const LogEntry& entry = group.log[at];
    WireLogEntry wire_entry{entry.kind, entry.document_number, {}, {}};
    wire_entry.transmission = {entry.transmission.number, now_ - entry.transmission.started_at,
                               entry.transmission.zone};
    if (entry.kind == EntryKind::document) {
      auto found = group.docs.find(entry.document_number);
      if (found == group.docs.end()) wire_entry.kind = EntryKind::no_op;
      else {
        wire_entry.documents.push_back(state_of(found->second));
        bytes += found->second.bytes();
      }
    }
    bytes += entry_overhead_bytes;
    ++progress.sent_index;
    message.entries.push_back(std::move(wire_entry));
  }
  progress.in_flight.emplace_back(progress.sent_index, bytes);
  progress.in_flight_bytes += bytes;
  send(to, std::move(message));
}

bool LeaseBasedCustody::has_replica_to_resync(Group& group) {
  MemberId to{};
  return find_lagging(group, &to, false) != nullptr;
}

void LeaseBasedCustody::resync_replica(Group& group) {
  MemberId to{};
  Progress& progress = *find_lagging(group, &to, false);
  if (!progress.pending_ranges.empty()) {
    auto message = make_message(MessageKind::range_documents, group);
    message.ranges.push_back(progress.pending_ranges.front()), progress.pending_ranges.pop_front();
    const auto& range = message.ranges.front();
    for (auto at = group.docs.lower_bound(range.first); at != group.docs.end() && at->first < range.end; ++at)
      message.documents.push_back(state_of(at->second));
    ++progress.ranges_in_flight;
    return send(to, std::move(message));
  }
  auto message = make_message(MessageKind::range_digests, group);
  message.number = group.last_index;
  DocumentRange range;
  std::size_t docs = 0, bytes = 0;
  for (const auto& [number, doc] : group.docs) {
    if (docs >= max_range_documents || bytes + doc.bytes() > max_range_bytes) {
      if (docs > 0) range.end = number, message.ranges.push_back(range), range = {number, 0, 0};
      docs = bytes = 0;
    }
    range.digest += digest_of(number, doc);
    ++docs;
    bytes += doc.bytes();
  }
  range.end = UINT64_MAX;
  message.ranges.push_back(range);
  progress.digests_in_flight = true;
  send(to, std::move(message));
}

}  // namespace rockcrank::fleet::internal
