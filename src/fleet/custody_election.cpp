// Votes, elections, and what becomes of a group whose owner changed.
#include <algorithm>

#include "fleet/lease_based_custody.h"

namespace rockcrank::fleet::internal {

void LeaseBasedCustody::on_refused(const CustodyMessage& message) {
  auto found = groups_.find(message.group);
  if (found == groups_.end()) return;
  Group& group = found->second;
  group.highest_seen_term = std::max(group.highest_seen_term, message.term);
  if (!group.configurations.empty() && !message.configuration.owner.is_valid()) return;
  learn_configuration(group, message.configuration, message.highest_document);
}

// Adopts a newer configuration that another member reported.
void LeaseBasedCustody::learn_configuration(Group& group, const Configuration& configuration,
                                            std::uint64_t highest_document) {
  if (group.configurations.empty() || configuration.term <= group.term()) {
    // This replica was meanwhile replaced by its own owner.
    if (group.configurations.empty() || group.role != Role::replica ||
        !configuration.newer_than(group.configuration()) || includes(configuration, self_))
      return;
    group.configurations = {configuration};
    return become_inactive(group);
  }
  if (configuration.owner == self_) return;
  if (group.role == Role::owner || group.role == Role::recovering)
    step_down(group, configuration, highest_document);
  if (!includes(configuration, self_)) become_inactive(group);
  else group.role = Role::replica;
  group.in_sync = group.is_candidate = group.only_in_force = false;
  group.configurations = {configuration}, group.voted_term = std::max(group.voted_term, configuration.term),
  group.highest_document = highest_document;
  group.next_election_at = now_ + settings_.lease_duration * (1 + settings_.max_clock_drift);
  if (group.role == Role::inactive) persist(group);
}

// Another relay owns the group now, with all documents that it knew. Those that it never received stay
// here, in a new group.
void LeaseBasedCustody::step_down(Group& group, const Configuration& newer, std::uint64_t highest_document) {
  log_event("taken over by another relay", group, newer.owner.member, group.docs.size());
  if (group.id == current_group_) ++current_group_.number;
  std::vector<std::pair<GlobalDocId, Doc>> kept;
  for (auto at = group.docs.begin(); at != group.docs.end();) {
    auto [number, doc] = *at++;
    if (number > highest_document && group.id.origin == self_.member) {
      kept.emplace_back(id_of(group, number), doc);
      erase_document(group, number);
      continue;
    }
    // The new owner has the document, so its client may be told that it was accepted.
    if (!doc.accepted) actions_.accepted.push_back(id_of(group, number));
    actions_.relinquished.push_back(id_of(group, number));
  }
  if (group.role == Role::recovering) group.log_position = {};
  else if (!group.taken_over) group.log_position = {group.term(), group.last_index};
  group.taken_over = false;
  group.log.clear(), group.progress.clear(), group.awaiting_replication.clear(), group.held_ends.clear();
  group.configurations = {newer}, group.role = Role::inactive, group.is_candidate = false,
  group.highest_document = highest_document;
  auto held_transmissions = std::exchange(group.held_transmissions, {});
  persist(group);
  for (auto& [old_id, doc] : kept) {
    doc.state.id = next_document_id(old_id.document_number);
    Group& target = get_or_create_owned_group(doc.state.id.group());
    actions_.renumbered.emplace_back(old_id, doc.state.id);
    Doc& moved = target.docs[old_id.document_number] = doc;
    target.bytes += moved.bytes();
    target.highest_document = std::max(target.highest_document, old_id.document_number);
    moved.document_index = append(target, {EntryKind::document, old_id.document_number, {}});
    for (Transmission& transmission : moved.in_doubt) transmission.log_index = moved.document_index;
    if (moved.state.ended) {
      moved.end_index = moved.document_index;
      target.held_ends.emplace_back(moved.end_index, old_id.document_number);
    }
    if (!moved.accepted)
      target.awaiting_replication.emplace_back(moved.document_index, old_id.document_number);
  }
  for (const auto& [number, transmission] : held_transmissions) {
    auto& target = groups_[current_group_];
    if (target.docs.count(number)) target.held_transmissions.emplace_back(number, transmission);
  }
}

// Safety: whether the candidate certainly has everything, where this replica has no log to compare. In the
// only configuration in force an entry is committed once one of its two replicas has it, and that was never
// this one. The other was up to date in this term, so it has what came before, too.
bool LeaseBasedCustody::has_only_log(const Group& group, const CustodyMessage& message) {
  const Configuration& known = group.configuration();
  return message.position.term == known.term && known.term == message.configuration.term &&
         known.revision == message.configuration.revision;
}

void LeaseBasedCustody::on_request_vote(const CustodyMessage& message) {
  auto found = groups_.find(message.group);
  // The owner itself, in this incarnation or a later one.
  bool from_owner = message.configuration.owner.member == message.sender.member;
  RelayInstance own_instance;  // this relay, possibly in an earlier incarnation
  for (const RelayInstance& instance : message.configuration.replicas)
    if (instance.member == self_.member) own_instance = instance;
  if (message.configuration.owner.member == self_.member) own_instance = message.configuration.owner;
  bool same_incarnation = own_instance == self_;
  CustodyMessage denial;
  denial.kind = MessageKind::vote;
  denial.group = message.group;
  denial.sender = self_;
  denial.term = message.term;
  denial.pre_vote = message.pre_vote;
  denial.configuration.revision = message.configuration.revision;
  auto deny = [&] {
    if (found != groups_.end() && !found->second.configurations.empty()) {
      denial.configuration = found->second.configuration();
      if (!denial.recovering) denial.term = found->second.voted_term;
      denial.highest_document = found->second.highest_document;
      denial.number = message.configuration.revision;
    }
    send(message.sender.member, denial);
  };
  if (found == groups_.end() && (!own_instance.is_valid() || same_incarnation || !from_owner)) return deny();
  // Safety: a restarted replica has lost its documents, but its state directory has its vote. With its vote
  // only the owner may continue, which has all documents. A state directory that did not see that
  // incarnation proves nothing, and the owner is told so.
  if (!same_incarnation) {
    bool remembers = past_incarnations_.count(own_instance.incarnation) > 0;
    denial.recovering = from_owner && own_instance.is_valid() && !remembers;
    if (!from_owner || !own_instance.is_valid() || !remembers) return deny();
  }
  // Safety: it does not know to whom that incarnation granted a lease either, so it waits until any has
  // expired. While a process is replaced, the earlier one grants leases until it ends.
  if (!same_incarnation &&
      now_ < past_incarnations_ended_at_ + settings_.lease_duration * (1 + settings_.max_clock_drift))
    return deny();
  Group& group = groups_[message.group];
  group.id = message.group;
  bool repeated = group.voted_term == message.term && !message.pre_vote &&
                  group.requested_term == message.term && group.lease_granted_to == message.sender;
  if (!repeated) {
    if (message.term <= group.voted_term) return deny();
    // Safety: by its last vote before the restart another relay may own the group; this replica lost that
    // knowledge with its documents.
    if (!same_incarnation && group.voted_term > message.configuration.term &&
        group.voted_term.origin != message.sender.member)
      return deny();
    if (group.role == Role::owner || group.role == Role::recovering) return deny();
    // Safety: while an older configuration is in force, its members may elect another owner.
    if (!from_owner && !message.yes) return deny();
    if (!group.configurations.empty()) {
      const Configuration& known = group.configuration();
      if (known.term > message.configuration.term) return deny();
      // Safety: an owner that knows fewer of its own revisions than its replica runs on an older state
      // directory.
      if (from_owner && known.term == message.configuration.term && known.revision > message.number)
        return deny();
      if (!from_owner && known.newer_than(message.configuration)) return deny();
    }
    // Safety: not before a lease granted to another has certainly expired.
    if (now_ < group.lease_granted_until && group.lease_granted_to != message.sender) return deny();
    if (same_incarnation && group.role == Role::replica) {
      // Safety: no candidate is elected that lacks what this replica has.
      bool has_log = group.log_position.term.counter > 0;
      if (from_owner ? has_log && message.recovering && message.highest_document < group.highest_document
          : has_log  ? message.position < group.log_position
                     : !has_only_log(group, message))
        return deny();
    } else if (!from_owner) return deny();
  }
  CustodyMessage approval = denial;
  approval.yes = true, approval.number = message.configuration.revision, approval.configuration = {},
  approval.highest_document = group.highest_document;
  if (message.pre_vote) return send(message.sender.member, approval);
  if (!repeated) {
    group.voted_term = group.requested_term = message.term;
    group.is_candidate = false;
    // Safety: a lease that it granted to this owner stays granted: the owner still counts on it.
    group.lease_granted_to = message.sender;
    group.next_election_at =
        now_ + settings_.lease_duration * (1 + settings_.max_clock_drift) * random_between(1, 1.5);
    if (group.configurations.empty())
      group.configurations = {message.configuration}, group.role = Role::inactive;
    persist(group);
  }
  // A recovering owner may run on an older state directory, or may have recorded an end that was not
  // reported, so it is sent the inventory of this replica.
  if (message.recovering && same_incarnation && group.role == Role::replica &&
      group.log_position.term.counter > 0) {
    auto inventory = make_message(MessageKind::inventory, group);
    inventory.term = message.term;
    inventory.in_sync = group.in_sync && !group.dropped_expired;
    inventory.number = approval.position.index = group.docs.size() + 1;
    auto flush = [&](bool last) {
      inventory.yes = last;
      send(message.sender.member, inventory);
      inventory.documents.clear();
    };
    for (const auto& [number, doc] : group.docs) {
      DocumentState document = state_of(doc);
      document.record.clear();
      inventory.documents.push_back(std::move(document));
      if (inventory.documents.size() >= max_inventory_documents) flush(false);
    }
    flush(true);
  }
  send(message.sender.member, approval);
}

void LeaseBasedCustody::on_vote(const CustodyMessage& message) {
  auto found = groups_.find(message.group);
  if (found == groups_.end()) return;
  Group& group = found->second;
  if (!message.yes) {
    group.highest_seen_term = std::max(group.highest_seen_term, message.term);
    // Safety: like a vote, this counts only for its election.
    if (message.recovering && group.is_candidate && message.term == group.requested_term &&
        group.forgetful_members.insert(message.sender.member).second)
      log_event("no vote, its state directory does not know its place", group, message.sender.member,
                group.docs.size());
    if (!message.configuration.owner.is_valid()) return;
    // Safety: it knows fewer of its own revisions than another member does. Its state directory is older
    // and it must not continue.
    if (group.role == Role::recovering && message.configuration.newer_than(group.configuration()))
      group.has_stale_state = true;
    return learn_configuration(group, message.configuration, message.highest_document);
  }
  if (!group.is_candidate || message.term != group.requested_term || message.pre_vote != group.is_pre_vote)
    return;
  // Safety: a vote counts only for its election and for one incarnation of the voter.
  if (auto before = group.voters.find(message.sender.member);
      before != group.voters.end() && before->second != message.sender)
    return;
  group.votes.insert({message.number, message.sender.member});
  group.voters[message.sender.member] = message.sender;
  if (message.position.index > 0) group.inventories[message.sender.member].second = message.position.index;
}

void LeaseBasedCustody::on_inventory(const CustodyMessage& message) {
  auto found = groups_.find(message.group);
  if (found == groups_.end()) return;
  Group& group = found->second;
  if (!group.is_candidate || group.is_pre_vote || message.term != group.requested_term ||
      group.role != Role::recovering)
    return;
  auto& [received, expected] = group.inventories[message.sender.member];
  if (received == 0) group.reported_documents.push_back({message.in_sync ? message.highest_document : 0, {}});
  received += message.documents.size() + message.yes;
  expected = message.number;
  for (const auto& document : message.documents) {
    group.reported_documents.back().second.insert(document.id.document_number);
    for (const auto& transmission : document.in_doubt) {
      auto& reported = group.reported_in_doubt[document.id.document_number];
      reported.push_back(transmission);
    }
  }
}

bool LeaseBasedCustody::should_request_votes(Group& group) {
  if (group.is_candidate) return now_ >= group.votes_requested_at + heartbeat_interval();
  if (group.role == Role::recovering) return true;
  // Another member has voted in a later term in which nobody is known to be elected: the owner can continue
  // only in a new term of its own. So can an owner whose replicas restarted: their stored state shows that
  // nobody was elected.
  if (group.role == Role::owner)
    return now_ >= group.next_election_at && std::ranges::any_of(group.configurations, requires_lease) &&
           (group.highest_seen_term > group.term() ||
            (!has_lease(group) && now_ >= group.last_lease_at + settings_.lease_duration));
  return group.role == Role::replica && requires_lease(group.configuration()) &&
         now_ >= group.next_election_at && now_ >= group.lease_granted_until &&
         group.log_position.term.counter > 0 && group.only_in_force;
}

void LeaseBasedCustody::request_votes(Group& group) {
  bool is_owner = group.role != Role::replica;
  // Without capacity, the other replica may go first, but only once: the documents must be delivered in any
  // case.
  if (!has_capacity_ && !is_owner && !group.is_candidate) {
    if (!std::exchange(group.yielded, true))
      return void(group.next_election_at = now_ + 2 * settings_.lease_duration);
  }
  bool pre_vote = group.role == Role::replica && !group.is_pre_vote;
  if (group.is_candidate && group.role == Role::replica && !pre_vote) pre_vote = true;  // the election failed
  start_election(group, pre_vote);
}

void LeaseBasedCustody::start_election(Group& group, bool pre_vote) {
  bool repeat = group.is_candidate && !pre_vote && !group.is_pre_vote &&
                group.requested_term == group.voted_term && group.role != Role::replica &&
                group.highest_seen_term <= group.requested_term;
  if (!repeat) {
    if (group.role == Role::recovering && !group.is_candidate) group.recovery_started_at = now_;
    auto highest_term = std::max({group.voted_term, group.term(), group.highest_seen_term});
    group.requested_term = {highest_term.counter + 1, self_.member};
    group.forgetful_members.clear();
    group.votes.clear(), group.voters.clear(), group.inventories.clear(), group.reported_in_doubt.clear(),
        group.reported_documents.clear();
    if (!pre_vote) {
      group.voted_term = group.requested_term;
      persist(group);
    }
  } else {
    group.inventories.clear(), group.reported_in_doubt.clear(), group.reported_documents.clear();
  }
  group.is_candidate = true;
  group.is_pre_vote = pre_vote;
  group.votes_requested_at = now_;
  for (const Configuration& configuration : group.configurations) {
    auto message = make_message(MessageKind::request_vote, group);
    message.configuration = configuration;
    message.term = group.requested_term;
    message.pre_vote = pre_vote;
    message.recovering = group.role == Role::recovering;
    message.number = group.configuration().revision;
    message.yes = group.role == Role::replica && group.only_in_force;
    message.position =
        group.role == Role::replica ? group.log_position : LogPosition{group.term(), group.last_index};
    for (const RelayInstance& instance : configuration.replicas)
      if (instance.member != self_.member) send(instance.member, message);
    if (configuration.owner.member != self_.member) send(configuration.owner.member, message);
  }
  // A recovering owner asks all other members as well: any of them may know of a later owner.
  if (group.role == Role::recovering)
    for (MemberId other : placement_order_)
      if (!includes(group.configuration(), other)) {
        auto message = make_message(MessageKind::request_vote, group);
        message.configuration = group.configuration();
        message.term = group.requested_term;
        message.pre_vote = true;
        message.recovering = true;
        message.number = group.configuration().revision;
        send(other, message);
      }
}

// Safety: a majority of three, which is this relay and one other member. The word of a voter that restarted
// rests on its state directory, which may be older than its last vote. A successor was elected by both
// replicas, so the owner asks both: one of the two knows, as long as not both directories are wrong.
bool LeaseBasedCustody::has_majority(const Group& group, const Configuration& configuration) {
  bool voted = false, both_answered = true;
  for (const RelayInstance& replica : configuration.replicas) {
    if (group.votes.count({configuration.revision, replica.member}) == 0) {
      both_answered = both_answered && group.forgetful_members.count(replica.member) > 0;
      continue;
    }
    if (group.voters.at(replica.member) == replica) return true;
    voted = true;
  }
  return voted && both_answered;
}

// Safety: a majority in each configuration in force.
bool LeaseBasedCustody::is_elected(Group& group) {
  if (!group.is_candidate || group.role == Role::inactive ||
      (!group.is_pre_vote && group.voted_term != group.requested_term))
    return false;
  if (group.role == Role::replica && !requires_lease(group.configuration())) return false;
  for (const Configuration& configuration : group.configurations)
    if (requires_lease(configuration) && !has_majority(group, configuration)) return false;
  if (group.role != Role::recovering) return true;
  if (group.has_stale_state) return false;
  for (const auto& [member, inventory] : group.inventories)
    if (inventory.first != inventory.second) return false;
  // Waits for the answers of the replicas that are alive: they may know more than the state directory.
  bool waited = now_ >= group.recovery_started_at + recovery_timeout_leases * settings_.lease_duration;
  if (!waited && !requires_lease(group.configuration()) && !placement_order_.empty()) return false;
  for (const Configuration& configuration : group.configurations)
    for (const RelayInstance& instance : configuration.replicas)
      if (!waited && !group.voters.count(instance.member)) {
        auto known = members_.find(instance.member);
        if (known == members_.end() || known->second.second != MemberState::dead) return false;
      }
  return true;
}

void LeaseBasedCustody::become_owner(Group& group) {
  if (group.is_pre_vote) return start_election(group, false);
  bool was_recovering = group.role == Role::recovering, was_replica = group.role == Role::replica;
  MemberId previous_owner = group.configuration().owner.member;
  record_committed_index(group);
  // Safety: all configurations stay in force. A vote is no acceptance of a newer configuration: the members
  // of an older one may still elect another owner there.
  std::uint64_t revision = 0;
  for (Configuration& configuration : group.configurations)
    configuration = in_new_term(group, configuration, revision++);
  group.is_candidate = false;
  group.is_pre_vote = false;
  group.next_heartbeat_at = now_;
  group.last_lease_at = now_;
  group.next_election_at = now_ + settings_.lease_duration;
  if (was_recovering) apply_inventories(group);
  if (was_replica) {
    group.last_index = group.log_position.index;
    group.log.clear();
    group.taken_over = true;
    group.is_active = false;
    ++statistics_.takeovers;
    log_event("taking over", group, previous_owner, group.docs.size());
  }
  if (was_recovering || was_replica) {
    group.progress.clear();
    group.role = Role::owner;
    group.is_active = false;
    // The indexes of the previous log mean nothing in this one.
    for (auto& [number, doc] : group.docs) {
      doc.document_index = doc.end_index = 0;
      for (Transmission& transmission : doc.in_doubt) transmission.log_index = 0;
    }
    // Its index tells a replica that has everything from one that has nothing yet.
    append(group, {EntryKind::no_op, 0, {}});
    group.highest_committed_index = group.last_index;
  }
  std::erase_if(group.progress, [&](const auto& at) {
    return std::ranges::none_of(group.configurations, [&](const Configuration& configuration) {
      return includes(configuration, at.first);
    });
  });
  for (auto& [instance, progress] : group.progress) progress.configuration_accepted = false;
  persist(group);
}

// The same three members in the term in which this relay was elected. A previous owner becomes a replica,
// and a voter that restarted takes part with its new incarnation.
Configuration LeaseBasedCustody::in_new_term(const Group& group, const Configuration& previous,
                                             std::uint64_t revision) const {
  Configuration next;
  next.term = group.requested_term;
  next.revision = revision;
  next.owner = self_;
  for (const RelayInstance& instance : previous.replicas) {
    if (instance.member == self_.member) continue;
    auto voter = group.voters.find(instance.member);
    next.replicas.push_back(voter == group.voters.end() ? instance : voter->second);
  }
  if (previous.owner.member != self_.member) next.replicas.push_back(previous.owner);
  return next;
}

// Adds what the replicas know and an older state directory does not: in-doubt transmissions, and removed
// documents.
void LeaseBasedCustody::apply_inventories(Group& group) {
  for (auto& [number, reported] : group.reported_in_doubt)
    if (auto found = group.docs.find(number); found != group.docs.end())
      for (const auto& transmission : reported) {
        Doc& doc = found->second;
        auto known = std::ranges::find(doc.in_doubt, transmission.number, &Transmission::number);
        if (known == doc.in_doubt.end())
          doc.in_doubt.push_back({transmission.number, now_ - transmission.age, transmission.zone, 0});
        doc.state.transmission_count = std::max(doc.state.transmission_count, transmission.number + 1);
      }
  for (const auto& [highest, numbers] : group.reported_documents)
    for (auto at = group.docs.begin(); at != group.docs.end();) {
      auto number = (at++)->first;
      if (number > highest || numbers.count(number)) continue;
      actions_.relinquished.push_back(id_of(group, number));
      erase_document(group, number);
    }
  group.reported_in_doubt.clear(), group.reported_documents.clear(), group.inventories.clear();
}

}  // namespace rockcrank::fleet::internal
