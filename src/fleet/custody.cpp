// Implements custody. The rules at the end of this file are evaluated after every input until none
// fires. docs/fleet-documents.md argues that no two relays own a document at the same time; each step that
// the argument relies on is marked "Safety" here.
#include "fleet/custody.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "fleet/rules.h"

namespace rockcrank::fleet {
namespace {

using MessageKind = CustodyMessage::Kind;
using EntryKind = WireLogEntry::Kind;

constexpr Millis never = 1e18;
constexpr int heartbeats_per_lease = 4;  // each renews the lease and resends what was not acknowledged
// Lets an owner that just restarted start its election before its replicas do.
constexpr double election_delay_leases = 0.25;
constexpr double recovery_timeout_leases = 2;  // how long a recovering owner waits for its replicas' answers
// Time without a lease after which new documents start another group.
constexpr double new_group_after_leases = 4;
constexpr std::size_t max_batch_bytes = 64 * 1024;  // per message, except for a single larger document
constexpr std::size_t max_unacknowledged_bytes = 256 * 1024;  // in flight to one replica
constexpr std::size_t max_unacknowledged_ranges = 2;  // in flight to one replica that is resynchronized
constexpr std::size_t max_range_documents = 32, max_range_bytes = 64 * 1024;
// A replica further behind is resynchronized by range digests.
constexpr std::size_t max_log_entries = 262144;
constexpr std::size_t max_replicated_bytes = 256u << 20;  // of all documents held as a replica
constexpr std::size_t max_inventory_documents = 1024;     // per message
constexpr std::size_t document_overhead_bytes = 160;      // per document, in addition to its record
// For a replica's document after its expiry, when the owner is silent.
constexpr Millis expired_replica_retention = 60000;
// For a document whose ownership nobody can prove, after its expiry.
constexpr Millis unowned_retention = 600000;
constexpr std::size_t entry_overhead_bytes = 64;  // per log entry sent, in addition to its document
constexpr std::size_t max_pending_renewals = 64;  // unanswered ones, per replica
constexpr std::size_t max_idle_groups = 1024;     // groups without documents whose state is kept
// Configurations in force at once while reconfigurations are in progress.
constexpr std::size_t max_active_configurations = 4;

// inactive: neither owner nor replica any more. recovering: the owner before a restart, not yet re-elected.
enum class Role { inactive, replica, owner, recovering };

struct Transmission {
  int number = 0;
  Millis started_at = 0;
  ZoneId zone{};
  std::uint64_t log_index = 0;  // of the log entry that records it
};

struct Doc {
  DocumentState state;  // except for its times
  Millis expiry = 0, replication_deadline = never;
  std::vector<Transmission> in_doubt;
  bool accepted = true;
  std::uint64_t document_index = 0, end_index = 0;
  std::size_t bytes() const { return state.record.size() + document_overhead_bytes; }
};

struct LogEntry {
  EntryKind kind{};
  std::uint64_t document_number = 0;
  Transmission transmission;
};

// The owner's view of the replication to one replica.
struct Progress {
  std::uint64_t sent_index = 0, match_index = 0;
  bool in_sync = false, configuration_accepted = false;
  Millis lease_start = -never;  // when the last acknowledged renewal was sent
  std::map<std::uint64_t, Millis> pending_renewals;
  std::deque<std::pair<std::uint64_t, std::size_t>> in_flight;  // last index and bytes of each batch
  std::size_t in_flight_bytes = 0, ranges_in_flight = 0;
  std::deque<DocumentRange> pending_ranges;
  bool digests_in_flight = false;
  std::uint64_t last_heartbeat_match_index = 0;
  // Sends again what is not acknowledged; a replica that is not in sync is resynchronized.
  void reset(std::uint64_t last_index) {
    sent_index = in_sync ? match_index : last_index, in_flight.clear(), in_flight_bytes = 0,
    ranges_in_flight = 0, pending_ranges.clear();
    digests_in_flight = false;
  }
  void acknowledge(std::uint64_t index) {
    match_index = std::max(match_index, index);
    for (; !in_flight.empty() && in_flight.front().first <= index; in_flight.pop_front())
      in_flight_bytes -= in_flight.front().second;
  }
};

struct Group {
  GroupId id;
  Role role = Role::inactive;
  Version voted_term;
  // Owner: all in force, the newest last; otherwise the newest known.
  std::vector<Configuration> configurations;
  std::map<std::uint64_t, Doc> docs;
  std::uint64_t highest_document = 0;
  std::size_t bytes = 0;  // of docs

  // State of an owner.
  std::deque<LogEntry> log;  // the last entry has index last_index
  std::uint64_t last_index = 0, renewal_count = 0;
  std::uint64_t highest_committed_index = 0;  // what a new owner finds counts as committed
  std::map<RelayInstance, Progress> progress;
  // is_active: the host was told that it may act for the documents; taken_over: it has yet to be told that
  // they came from another owner.
  bool is_active = false, taken_over = false;
  Millis next_heartbeat_at = 0, last_lease_at = -never;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> awaiting_replication;  // log index, document number
  std::vector<std::pair<std::uint64_t, int>> held_transmissions;             // document number, transmission
  std::deque<std::pair<std::uint64_t, std::uint64_t>> held_ends;             // log index, document number
  Version highest_seen_term;  // in which another member has voted

  // State of a replica.
  RelayInstance lease_granted_to;
  Millis lease_granted_until = -never, next_election_at = 0;
  std::uint64_t applied_index = 0;
  bool in_sync = false;          // has everything of the owner's log up to applied_index
  LogPosition log_position;      // compared in elections; no term: holds nothing that qualifies
  bool only_in_force = false;    // its owner has said that this configuration is the only one in force
  bool dropped_expired = false;  // some documents were dropped because they had expired
  bool yielded = false;          // without capacity, it has let the other replica start an election first

  // State of a candidate.
  Version requested_term;
  bool is_pre_vote = false, is_candidate = false, has_stale_state = false;
  Millis votes_requested_at = 0, recovery_started_at = 0;
  std::set<std::pair<std::uint64_t, MemberId>> votes;  // revision of the configuration voted in, voter
  std::map<MemberId, RelayInstance> voters;
  // Their state directories do not know the incarnation that is in the configuration.
  std::set<MemberId> forgetful_members;
  std::map<MemberId, std::pair<std::size_t, std::size_t>> inventories;  // entries received and expected
  // From the inventories.
  std::map<std::uint64_t, std::vector<DocumentState::InDoubtTransmission>> reported_in_doubt;
  // Per inventory: the highest document number if the inventory is complete, and the document numbers.
  std::vector<std::pair<std::uint64_t, std::set<std::uint64_t>>> reported_documents;

  const Configuration& configuration() const { return configurations.back(); }
  Version term() const { return configurations.empty() ? Version{} : configurations.back().term; }
};

bool includes(const Configuration& configuration, const RelayInstance& instance) {
  return configuration.owner == instance ||
         std::ranges::find(configuration.replicas, instance) != configuration.replicas.end();
}
bool includes(const Configuration& configuration, MemberId member) {
  return configuration.owner.member == member ||
         std::ranges::any_of(configuration.replicas,
                             [&](const RelayInstance& instance) { return instance.member == member; });
}
// Two replicas are needed to elect another owner, so the owner needs a lease only in a configuration with
// two.
bool requires_lease(const Configuration& configuration) { return configuration.replicas.size() == 2; }

std::uint64_t digest_of(std::uint64_t number, const Doc& doc) {
  std::vector<std::uint64_t> all{number, static_cast<std::uint64_t>(doc.state.transmission_count),
                                 doc.state.acceptance_confirmed + 2u * doc.state.ended};
  std::vector<int> transmissions;
  for (const Transmission& transmission : doc.in_doubt) transmissions.push_back(transmission.number);
  std::ranges::sort(transmissions);
  for (int transmission : transmissions) all.push_back(static_cast<std::uint64_t>(transmission));
  return XXH3_64bits(all.data(), all.size() * sizeof all[0]);
}

class LeaseBasedCustody final : public Custody {
 public:
  LeaseBasedCustody(const Roster& roster, MemberId self, Incarnation incarnation,
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

  void begin_turn(Millis now) override {
    now_ = std::max(now_, now);
    if (started_ < 0) started_ = now_;
  }

  void restore_group(const PersistentGroupState& state) override {
    Group& group = groups_[state.group];
    group.id = state.group, group.voted_term = state.voted_term, group.configurations = state.configurations,
    group.highest_document = state.highest_document;
    group.role = state.is_owner ? Role::recovering : Role::inactive;
    group.recovery_started_at = now_;
    if (state.group.origin == self_.member && state.group.number >= current_group_.number)
      current_group_.number = state.group.number + 1;
  }
  void add_past_incarnation(Incarnation incarnation) override { past_incarnations_.insert(incarnation); }

  void on_member_change(MemberId member, Incarnation incarnation, MemberState state) override {
    members_[member] = {incarnation, state};
  }
  void on_link_change(MemberId peer, bool up) override {
    for (auto& [id, group] : groups_)
      for (auto& [instance, progress] : group.progress)
        if (instance.member == peer) progress.reset(group.last_index);
    if (up)
      for (auto& [id, group] : groups_)
        group.next_heartbeat_at = now_,
        group.votes_requested_at = std::min(group.votes_requested_at, now_ - heartbeat_interval());
  }
  void leave() override { leaving_ = true; }
  void set_has_capacity(bool has_capacity) override { has_capacity_ = has_capacity; }

  void on_message(MemberId from, const CustodyMessage& message) override {
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

  GlobalDocId next_document_id(std::uint64_t number) override {
    return {current_group_.origin, current_group_.number, number};
  }

  void accept(const DocumentState& document) override {
    Group& group = get_or_create_owned_group(document.id.group());
    Doc& doc = put_document(group, document);
    doc.accepted = !settings_.wait_for_replica, doc.state.acceptance_confirmed = doc.accepted;
    doc.document_index = append(group, {EntryKind::document, document.id.document_number, {}});
    if (doc.accepted) return;
    doc.replication_deadline = now_ + settings_.replication_timeout;
    group.awaiting_replication.emplace_back(doc.document_index, document.id.document_number);
  }

  void restore_document(const DocumentState& document, std::uint64_t highest_number) override {
    auto group_id = document.id.group();
    bool known = groups_.count(group_id) > 0;
    Group& group = get_or_create_owned_group(group_id);
    // Without stored state the group was never proposed to others, or the state is damaged: the others are
    // asked.
    if (!known && group_id != current_group_) group.role = Role::recovering, group.recovery_started_at = now_;
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

  void record_transmission(const GlobalDocId& id, int transmission, ZoneId zone) override {
    auto [group, doc] = find_owned(id);
    if (!doc) return;
    doc->state.transmission_count = std::max(doc->state.transmission_count, transmission + 1);
    Transmission started{transmission, now_, zone, 0};
    started.log_index = append(*group, {EntryKind::transmission_started, id.document_number, started});
    doc->in_doubt.push_back(started);
    if (!has_lease(*group) || !is_safe_to_send(*group, *doc, transmission))
      group->held_transmissions.emplace_back(id.document_number, transmission);
  }
  void record_never_ran(const GlobalDocId& id, int transmission) override {
    auto [group, doc] = find_owned(id);
    if (!doc) return;
    std::erase_if(doc->in_doubt, [&](const Transmission& other) { return other.number == transmission; });
    append(*group, {EntryKind::transmission_never_ran, id.document_number, {transmission, 0, {}, 0}});
  }
  void record_ended(const GlobalDocId& id, const std::string& record) override {
    auto [group, doc] = find_owned(id);
    if (!doc || doc->state.ended) return;
    group->bytes -= doc->bytes();
    doc->state.record = record, doc->state.ended = true;
    group->bytes += doc->bytes();
    doc->end_index = append(*group, {EntryKind::document, id.document_number, {}});
    if (!may_report_end(id)) group->held_ends.emplace_back(doc->end_index, id.document_number);
  }
  void remove(const GlobalDocId& id) override {
    auto [group, doc] = find_owned(id);
    if (!doc) return;
    erase_document(*group, id.document_number);
    append(*group, {EntryKind::removed, id.document_number, {}});
  }

  bool owns(const GlobalDocId& id) const override {
    auto found = groups_.find(id.group());
    return found != groups_.end() && found->second.is_active && has_lease(found->second) &&
           found->second.docs.count(id.document_number) > 0;
  }
  bool is_accepted(const GlobalDocId& id) const override {
    auto doc = find_document(id);
    return doc && doc->accepted;
  }
  bool may_send(const GlobalDocId& id, int transmission) const override {
    auto doc = find_document(id);
    return doc && owns(id) && is_safe_to_send(groups_.at(id.group()), *doc, transmission);
  }
  bool may_report_end(const GlobalDocId& id) const override {
    auto doc = find_document(id);
    return doc && owns(id) && doc->state.ended && doc->end_index <= committed_index(groups_.at(id.group()));
  }
  bool holds_lease() const override {
    auto found = groups_.find(current_group_);
    return found == groups_.end() || has_lease(found->second);
  }
  Statistics statistics() const override {
    Statistics all = statistics_;
    for (const auto& [id, group] : groups_) {
      all.groups += group.role != Role::inactive;
      (group.role == Role::replica ? all.replicated_documents : all.owned_documents) += group.docs.size();
    }
    all.replicated_bytes = replicated_bytes();
    return all;
  }

  Actions decide() override {
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

 private:
  Millis heartbeat_interval() const { return settings_.lease_duration / heartbeats_per_lease; }
  double random_between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  const std::string& name_of(MemberId member) const {
    static const std::string nobody = "nobody";
    auto found = member_names_.find(member);
    return found == member_names_.end() ? nobody : found->second;
  }
  void log_event(const char* what, const Group& group, MemberId other, std::uint64_t number) {
    char line[110];
    std::snprintf(line, sizeof line, "documents: %s, group %.20s %llu, %.20s: %llu", what,
                  name_of(group.id.origin).c_str(), static_cast<unsigned long long>(group.id.number),
                  name_of(other).c_str(), static_cast<unsigned long long>(number));
    actions_.log_lines.push_back(line);
  }
  bool is_alive(const RelayInstance& instance) const {
    auto found = members_.find(instance.member);
    return found != members_.end() && found->second.first == instance.incarnation &&
           is_alive_or_suspect(found->second.second);
  }
  static bool is_alive_or_suspect(MemberState state) {
    return state == MemberState::alive || state == MemberState::suspect;
  }
  RelayInstance live_instance_of(MemberId member) const {  // invalid unless the member is alive
    auto found = members_.find(member);
    if (found == members_.end() || !is_alive_or_suspect(found->second.second)) return {};
    return {member, found->second.first};
  }

  // Documents.
  Group& get_or_create_owned_group(GroupId id) {
    Group& group = groups_[id];
    if (!group.configurations.empty()) return group;
    group.id = id, group.role = Role::owner, group.last_lease_at = now_, group.is_active = true;
    group.configurations = {Configuration{{1, self_.member}, 0, self_, {}}};
    group.voted_term = group.term();
    return group;
  }
  Doc& put_document(Group& group, const DocumentState& document) {
    erase_document(group, document.id.document_number);
    Doc& doc = group.docs[document.id.document_number];
    doc.state = document, doc.state.in_doubt.clear();
    doc.expiry = now_ + document.time_left;
    for (const auto& transmission : document.in_doubt)
      doc.in_doubt.push_back({transmission.number, now_ - transmission.age, transmission.zone, 0});
    group.bytes += doc.bytes(),
        group.highest_document = std::max(group.highest_document, document.id.document_number);
    return doc;
  }
  void erase_document(Group& group, std::uint64_t number) {
    auto found = group.docs.find(number);
    if (found == group.docs.end()) return;
    group.bytes -= found->second.bytes();
    group.docs.erase(found);
  }
  DocumentState state_of(const Doc& doc) const {
    DocumentState state = doc.state;
    state.time_left = doc.expiry - now_;
    for (const Transmission& transmission : doc.in_doubt)
      state.in_doubt.push_back({transmission.number, now_ - transmission.started_at, transmission.zone});
    return state;
  }
  std::pair<Group*, Doc*> find_owned(const GlobalDocId& id) {
    auto found = groups_.find(id.group());
    if (found == groups_.end() || found->second.role != Role::owner) return {};
    auto doc = found->second.docs.find(id.document_number);
    if (doc == found->second.docs.end()) return {};
    return {&found->second, &doc->second};
  }
  const Doc* find_document(const GlobalDocId& id) const {
    auto found = groups_.find(id.group());
    if (found == groups_.end()) return nullptr;
    auto doc = found->second.docs.find(id.document_number);
    return doc == found->second.docs.end() ? nullptr : &doc->second;
  }
  static GlobalDocId id_of(const Group& group, std::uint64_t number) {
    return {group.id.origin, group.id.number, number};
  }
  std::size_t replicated_bytes() const {
    std::size_t all = 0;
    for (const auto& [id, group] : groups_) all += group.role == Role::replica ? group.bytes : 0;
    return all;
  }
  std::uint64_t append(Group& group, LogEntry entry) {
    group.log.push_back(entry);
    if (group.log.size() > max_log_entries) group.log.pop_front();
    return ++group.last_index;
  }

  // Safety: in each configuration in force, a replica has answered a renewal that was sent less than a lease
  // ago. The replica counts its grant from the arrival of the renewal and extends it by the clock drift, so
  // the grant ends after the lease.
  Millis lease_until(const Group& group) const {
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
  bool has_lease(const Group& group) const { return group.role == Role::owner && now_ < lease_until(group); }

  std::uint64_t match_index(const Group& group, const Configuration& configuration) const {
    std::uint64_t best = 0;
    for (const RelayInstance& instance : configuration.replicas)
      if (auto found = group.progress.find(instance); found != group.progress.end() && found->second.in_sync)
        best = std::max(best, found->second.match_index);
    return best;
  }
  // The index up to which each configuration in force has a replica with all entries.
  std::uint64_t replicated_index(const Group& group) const {
    std::uint64_t all = UINT64_MAX;
    for (const Configuration& configuration : group.configurations)
      all = std::min(all, match_index(group, configuration));
    return all;
  }
  // Safety: the index up to which any member that may be elected certainly has all entries. Where a
  // configuration has fewer than two replicas, nobody else can be elected.
  std::uint64_t committed_index(const Group& group) const {
    std::uint64_t all = UINT64_MAX;
    for (const Configuration& configuration : group.configurations)
      if (requires_lease(configuration)) all = std::min(all, match_index(group, configuration));
    return all;
  }
  // The committed index falls when a configuration begins whose replicas have nothing yet; what was committed
  // remains so.
  void record_committed_index(Group& group) {
    auto committed = std::min(committed_index(group), group.last_index);
    group.highest_committed_index = std::max(group.highest_committed_index, committed);
  }
  // Nothing is sent before the document is accepted, so a document whose client was told to retry was
  // certainly never sent.
  bool is_safe_to_send(const Group& group, const Doc& doc, int transmission) const {
    if (!doc.accepted) return false;
    if (!doc.state.replicate_before_send) return true;
    auto found = std::ranges::find(doc.in_doubt, transmission, &Transmission::number);
    return found != doc.in_doubt.end() && found->log_index <= committed_index(group);
  }

  // Messages.
  CustodyMessage make_message(MessageKind kind, const Group& group) const {
    CustodyMessage message;
    message.kind = kind, message.group = group.id, message.sender = self_, message.term = group.term(),
    message.highest_document = group.highest_document;
    return message;
  }
  void send(MemberId to, CustodyMessage message) { actions_.sends.push_back({to, std::move(message)}); }
  void refuse(const CustodyMessage& message, const Group& group) {
    auto refusal = make_message(MessageKind::refused, group);
    if (!group.configurations.empty()) refusal.configuration = group.configuration();
    refusal.term = group.voted_term;
    send(message.sender.member, std::move(refusal));
  }
  void persist(const Group& group) {
    PersistentGroupState state{group.id,
                               group.voted_term,
                               group.configurations,
                               group.role == Role::owner || group.role == Role::recovering,
                               group.highest_document,
                               false};
    std::erase_if(actions_.states_to_persist, [&](const auto& other) { return other.group == group.id; });
    actions_.states_to_persist.push_back(std::move(state));
  }

  // As a replica: messages from the owner.
  void on_propose_configuration(const CustodyMessage& message) {
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
      group.configurations = {configuration}, group.voted_term = configuration.term,
      group.is_candidate = false;
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
    reply.configuration.revision = configuration.revision, reply.number = message.number,
    reply.in_sync = group.in_sync, reply.position.index = group.applied_index;
    send(message.sender.member, std::move(reply));
  }
  static void become_inactive(Group& group) {
    group.docs.clear(), group.bytes = 0;
    group.role = Role::inactive, group.log_position = {}, group.in_sync = group.is_candidate = false;
    group.only_in_force = false;
  }
  void grant_lease(Group& group, const RelayInstance& owner) {
    group.lease_granted_to = owner,
    group.lease_granted_until = now_ + settings_.lease_duration * (1 + settings_.max_clock_drift),
    group.yielded = false;
    group.next_election_at =
        group.lease_granted_until + election_delay_leases * settings_.lease_duration * random_between(1, 2),
    group.is_candidate = false;
  }
  // Returns the group if this relay is a replica of the sender in the sender's term. Otherwise refuses the
  // message.
  Group* group_as_replica_of(const CustodyMessage& message) {
    auto found = groups_.find(message.group);
    if (found == groups_.end()) return nullptr;
    Group& group = found->second;
    if (group.role == Role::replica && group.configuration().owner == message.sender &&
        group.term() == message.term && group.voted_term == message.term)
      return &group;
    if (!group.configurations.empty()) refuse(message, group);
    return nullptr;
  }
  void on_renew_lease(const CustodyMessage& message) {
    Group* group = group_as_replica_of(message);
    if (!group) return;
    grant_lease(*group, message.sender);
    bool is_current = message.configuration.revision == group->configuration().revision;
    group->only_in_force |= message.yes && is_current;
    auto reply = make_message(MessageKind::lease_renewed, *group);
    reply.number = message.number, reply.yes = leaving_;
    send(message.sender.member, std::move(reply));
  }
  void on_append_entries(const CustodyMessage& message) {
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
  void acknowledge(Group& group, const CustodyMessage& message) {
    if (group.in_sync) group.log_position = {group.term(), group.applied_index};
    auto reply = make_message(MessageKind::entries_acknowledged, group);
    reply.number = group.applied_index, reply.in_sync = group.in_sync;
    send(message.sender.member, std::move(reply));
  }
  void apply(Group& group, const WireLogEntry& entry) {
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
      return entry.kind != EntryKind::acceptance_confirmed &&
             transmission.number == entry.transmission.number;
    });
    if (entry.kind == EntryKind::acceptance_confirmed) doc.state.acceptance_confirmed = true;
    if (entry.kind == EntryKind::transmission_started) {
      doc.in_doubt.push_back(
          {entry.transmission.number, now_ - entry.transmission.age, entry.transmission.zone, 0});
      doc.state.transmission_count = std::max(doc.state.transmission_count, entry.transmission.number + 1);
    }
  }
  static std::uint64_t range_digest(const Group& group, const DocumentRange& range) {
    std::uint64_t all = 0;
    for (auto at = group.docs.lower_bound(range.first); at != group.docs.end() && at->first < range.end; ++at)
      all += digest_of(at->first, at->second);
    return all;
  }
  void on_range_digests(const CustodyMessage& message) {
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
  void on_range_documents(const CustodyMessage& message) {
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
    reply.yes = true, reply.ranges = message.ranges;
    send(message.sender.member, std::move(reply));
  }

  // As the owner: answers from replicas.
  void on_replica_reply(const CustodyMessage& message) {
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
  void apply_replica_reply(Group& group, Progress& progress, const CustodyMessage& message) {
    if (message.kind == MessageKind::configuration_accepted || message.kind == MessageKind::lease_renewed) {
      if (auto sent = progress.pending_renewals.find(message.number);
          sent != progress.pending_renewals.end()) {
        progress.lease_start = std::max(progress.lease_start, sent->second);
        progress.pending_renewals.erase(progress.pending_renewals.begin(), std::next(sent));
      }
      if (message.kind == MessageKind::lease_renewed && message.yes)
        leaving_instances_.insert(message.sender);
      if (message.kind == MessageKind::configuration_accepted) {
        progress.configuration_accepted = progress.configuration_accepted ||
                                          message.configuration.revision == group.configuration().revision;
        if (!message.in_sync && progress.in_sync) progress.in_sync = false, progress.reset(group.last_index);
        if (message.in_sync && !progress.in_sync && message.position.index <= group.last_index &&
            message.position.index + group.log.size() >= group.last_index)
          progress.in_sync = true, progress.match_index = progress.sent_index = message.position.index;
      }
    } else if (message.kind == MessageKind::entries_acknowledged) {
      if (message.number > group.last_index) return;
      if (message.in_sync && !progress.in_sync) {
        progress.in_sync = true, progress.match_index = 0, progress.pending_ranges.clear(),
        progress.ranges_in_flight = 0, progress.digests_in_flight = false;
        progress.sent_index = std::max(progress.sent_index, message.number);
      } else if (!message.in_sync && progress.in_sync) {
        // It had no capacity, or lost its position in the log.
        progress.in_sync = false, progress.reset(group.last_index);
      }
      progress.acknowledge(message.number);
    } else if (message.yes) {
      progress.ranges_in_flight -= progress.ranges_in_flight > 0;
    } else {
      progress.digests_in_flight = false;
      progress.pending_ranges.assign(message.ranges.begin(), message.ranges.end());
    }
  }
  void on_refused(const CustodyMessage& message) {
    auto found = groups_.find(message.group);
    if (found == groups_.end()) return;
    Group& group = found->second;
    group.highest_seen_term = std::max(group.highest_seen_term, message.term);
    if (!group.configurations.empty() && !message.configuration.owner.is_valid()) return;
    learn_configuration(group, message.configuration, message.highest_document);
  }
  // Adopts a newer configuration that another member reported.
  void learn_configuration(Group& group, const Configuration& configuration, std::uint64_t highest_document) {
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
  void step_down(Group& group, const Configuration& newer, std::uint64_t highest_document) {
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
      target.bytes += moved.bytes(),
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

  // Elections.
  // Safety: whether the candidate certainly has everything, where this replica has no log to compare. In the
  // only configuration in force an entry is committed once one of its two replicas has it, and that was never
  // this one. The other was up to date in this term, so it has what came before, too.
  static bool has_only_log(const Group& group, const CustodyMessage& message) {
    const Configuration& known = group.configuration();
    return message.position.term == known.term && known.term == message.configuration.term &&
           known.revision == message.configuration.revision;
  }
  void on_request_vote(const CustodyMessage& message) {
    auto found = groups_.find(message.group);
    // The owner itself, in this incarnation or a later one.
    bool from_owner = message.configuration.owner.member == message.sender.member;
    RelayInstance own_instance;  // this relay, possibly in an earlier incarnation
    for (const RelayInstance& instance : message.configuration.replicas)
      if (instance.member == self_.member) own_instance = instance;
    if (message.configuration.owner.member == self_.member) own_instance = message.configuration.owner;
    bool same_incarnation = own_instance == self_;
    CustodyMessage denial;
    denial.kind = MessageKind::vote, denial.group = message.group, denial.sender = self_,
    denial.term = message.term, denial.pre_vote = message.pre_vote;
    denial.configuration.revision = message.configuration.revision;
    auto deny = [&] {
      if (found != groups_.end() && !found->second.configurations.empty()) {
        denial.configuration = found->second.configuration(), denial.term = found->second.voted_term,
        denial.highest_document = found->second.highest_document;
        denial.number = message.configuration.revision;
      }
      send(message.sender.member, denial);
    };
    if (found == groups_.end() && (!own_instance.is_valid() || same_incarnation || !from_owner))
      return deny();
    // Safety: a restarted replica has lost its documents, but its state directory has its vote. With its vote
    // only the owner may continue, which has all documents. A state directory that did not see that
    // incarnation proves nothing, and the owner is told so.
    if (!same_incarnation) {
      bool remembers = past_incarnations_.count(own_instance.incarnation) > 0;
      denial.recovering = from_owner && own_instance.is_valid() && !remembers;
      if (!from_owner || !own_instance.is_valid() || !remembers) return deny();
    }
    // Safety: it does not know to whom that incarnation granted a lease either, so it waits until any has
    // expired.
    if (!same_incarnation && now_ < started_ + settings_.lease_duration * (1 + settings_.max_clock_drift))
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
      inventory.term = message.term, inventory.in_sync = group.in_sync && !group.dropped_expired,
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
  void on_vote(const CustodyMessage& message) {
    auto found = groups_.find(message.group);
    if (found == groups_.end()) return;
    Group& group = found->second;
    if (!message.yes) {
      group.highest_seen_term = std::max(group.highest_seen_term, message.term);
      if (message.recovering) group.forgetful_members.insert(message.sender.member);
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
    group.votes.insert({message.number, message.sender.member}),
        group.voters[message.sender.member] = message.sender;
    if (message.position.index > 0) group.inventories[message.sender.member].second = message.position.index;
  }
  void on_inventory(const CustodyMessage& message) {
    auto found = groups_.find(message.group);
    if (found == groups_.end()) return;
    Group& group = found->second;
    if (!group.is_candidate || group.is_pre_vote || message.term != group.requested_term ||
        group.role != Role::recovering)
      return;
    auto& [received, expected] = group.inventories[message.sender.member];
    if (received == 0)
      group.reported_documents.push_back({message.in_sync ? message.highest_document : 0, {}});
    received += message.documents.size() + message.yes, expected = message.number;
    for (const auto& document : message.documents) {
      group.reported_documents.back().second.insert(document.id.document_number);
      for (const auto& transmission : document.in_doubt) {
        auto& reported = group.reported_in_doubt[document.id.document_number];
        reported.push_back(transmission);
      }
    }
  }

  // The conditions and effects of the rules. Elections:
  bool should_request_votes(Group& group) {
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
  void request_votes(Group& group) {
    bool is_owner = group.role != Role::replica;
    // Without capacity, the other replica may go first, but only once: the documents must be delivered in any
    // case.
    if (!has_capacity_ && !is_owner && !group.is_candidate) {
      if (!std::exchange(group.yielded, true))
        return void(group.next_election_at = now_ + 2 * settings_.lease_duration);
    }
    bool pre_vote = group.role == Role::replica && !group.is_pre_vote;
    if (group.is_candidate && group.role == Role::replica && !pre_vote)
      pre_vote = true;  // the election failed
    start_election(group, pre_vote);
  }
  void start_election(Group& group, bool pre_vote) {
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
      if (!pre_vote) group.voted_term = group.requested_term, persist(group);
    } else {
      group.inventories.clear(), group.reported_in_doubt.clear(), group.reported_documents.clear();
    }
    group.is_candidate = true, group.is_pre_vote = pre_vote, group.votes_requested_at = now_;
    for (const Configuration& configuration : group.configurations) {
      auto message = make_message(MessageKind::request_vote, group);
      message.configuration = configuration, message.term = group.requested_term, message.pre_vote = pre_vote,
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
          message.configuration = group.configuration(), message.term = group.requested_term,
          message.pre_vote = true, message.recovering = true, message.number = group.configuration().revision;
          send(other, message);
        }
  }
  // Safety: a majority of three, which is this relay and one other member. The word of a voter that restarted
  // rests on its state directory, which may be older than its last vote. A successor was elected by both
  // replicas, so the owner asks both: one of the two knows, as long as not both directories are wrong.
  static bool has_majority(const Group& group, const Configuration& configuration) {
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
  bool is_elected(Group& group) {
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
  void become_owner(Group& group) {
    if (group.is_pre_vote) return start_election(group, false);
    bool was_recovering = group.role == Role::recovering, was_replica = group.role == Role::replica;
    MemberId previous_owner = group.configuration().owner.member;
    record_committed_index(group);
    // Safety: all configurations stay in force. A vote is no acceptance of a newer configuration: the members
    // of an older one may still elect another owner there.
    std::uint64_t revision = 0;
    for (Configuration& configuration : group.configurations)
      configuration = in_new_term(group, configuration, revision++);
    group.is_candidate = false, group.is_pre_vote = false;
    group.next_heartbeat_at = now_, group.last_lease_at = now_;
    group.next_election_at = now_ + settings_.lease_duration;
    if (was_recovering) apply_inventories(group);
    if (was_replica) {
      group.last_index = group.log_position.index, group.log.clear(), group.taken_over = true,
      group.is_active = false;
      ++statistics_.takeovers;
      log_event("taking over", group, previous_owner, group.docs.size());
    }
    if (was_recovering || was_replica) {
      group.progress.clear(), group.role = Role::owner, group.is_active = false;
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
  Configuration in_new_term(const Group& group, const Configuration& previous, std::uint64_t revision) const {
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
  void apply_inventories(Group& group) {
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

  // Documents of an owner:
  bool should_activate(Group& group) {
    return group.role == Role::owner && !group.is_active && has_lease(group);
  }
  void activate(Group& group) {
    group.is_active = true, group.last_lease_at = now_;
    bool taken_over = std::exchange(group.taken_over, false);
    for (auto& [number, doc] : group.docs) {
      // A document whose client may have been told to retry is treated as one that may have run.
      if (taken_over && doc.state.replicate_before_send && !doc.state.acceptance_confirmed &&
          doc.in_doubt.empty() && !doc.state.ended)
        doc.in_doubt.push_back({doc.state.transmission_count, now_, ZoneId(UINT32_MAX), 0});
      doc.state.acceptance_confirmed = doc.accepted = true, doc.replication_deadline = never;
      // Its end is reported once one of this owner's replicas has it too.
      if (doc.state.ended && doc.end_index == 0) {
        doc.end_index = append(group, {EntryKind::document, number, {}});
        group.held_ends.emplace_back(doc.end_index, number);
      }
      (taken_over ? actions_.taken_over : actions_.resumed).push_back(state_of(doc));
    }
  }
  bool has_replicated_document(Group& group) {
    return group.role == Role::owner && !group.awaiting_replication.empty() && has_lease(group) &&
           group.awaiting_replication.front().first <= replicated_index(group);
  }
  void accept_replicated(Group& group) {
    auto last_replicated = replicated_index(group);
    while (!group.awaiting_replication.empty() &&
           group.awaiting_replication.front().first <= last_replicated) {
      auto number = group.awaiting_replication.front().second;
      group.awaiting_replication.pop_front();
      auto found = group.docs.find(number);
      if (found == group.docs.end() || found->second.accepted) continue;
      found->second.accepted = found->second.state.acceptance_confirmed = true,
      found->second.replication_deadline = never;
      actions_.accepted.push_back(id_of(group, number));
      append(group, {EntryKind::acceptance_confirmed, number, {}});
    }
  }
  bool replication_timed_out(Group& group) {
    if (group.awaiting_replication.empty()) return false;
    auto found = group.docs.find(group.awaiting_replication.front().second);
    return found == group.docs.end() || found->second.accepted || now_ >= found->second.replication_deadline;
  }
  void reject_unreplicated(Group& group) {
    auto number = group.awaiting_replication.front().second;
    group.awaiting_replication.pop_front();
    auto found = group.docs.find(number);
    if (found == group.docs.end() || found->second.accepted) return;
    actions_.not_accepted.push_back(id_of(group, number));
    erase_document(group, number);
    append(group, {EntryKind::removed, number, {}});
  }
  bool has_sendable_transmission(Group& group) {
    return !group.held_transmissions.empty() && has_lease(group) &&
           std::ranges::any_of(group.held_transmissions, [&](const auto& held) {
             auto found = group.docs.find(held.first);
             return found == group.docs.end() || is_safe_to_send(group, found->second, held.second);
           });
  }
  void clear_transmissions(Group& group) {
    std::erase_if(group.held_transmissions, [&](const auto& held) {
      auto found = group.docs.find(held.first);
      if (found == group.docs.end()) return true;
      if (!is_safe_to_send(group, found->second, held.second)) return false;
      actions_.cleared_transmissions.emplace_back(id_of(group, held.first), held.second);
      return true;
    });
  }
  bool has_committed_end(Group& group) {
    return !group.held_ends.empty() && has_lease(group) &&
           group.held_ends.front().first <= committed_index(group);
  }
  void report_end(Group& group) {
    auto number = group.held_ends.front().second;
    group.held_ends.pop_front();
    if (group.docs.count(number)) actions_.reportable_ends.push_back(id_of(group, number));
  }

  // Safety: an older configuration is no longer in force once one of its replicas has accepted the newest
  // one: with the owner that is a majority that elects nobody in the older one. But not before a replica of
  // the newest configuration has all entries that were ever committed.
  bool can_retire_configurations(Group& group) {
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
  void retire_configurations(Group& group) {
    group.configurations.erase(group.configurations.begin(), group.configurations.end() - 1);
    record_committed_index(group);
    group.next_heartbeat_at = now_;  // its replicas may elect a successor once they have heard of it
    std::erase_if(group.progress, [&](const auto& at) { return !includes(group.configuration(), at.first); });
    persist(group);
  }

  // The two replicas that the group should have. Current ones that are alive stay.
  std::vector<RelayInstance> desired_replicas(const Group& group) const {
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
  std::vector<RelayInstance> next_replicas(Group& group) {
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
  bool should_reconfigure(Group& group) {
    if (group.role != Role::owner || group.is_candidate ||
        group.configurations.size() >= max_active_configurations)
      return false;
    return next_replicas(group) != group.configuration().replicas;
  }
  void reconfigure(Group& group) {
    record_committed_index(group);
    Configuration next = group.configuration();
    ++next.revision, next.replicas = next_replicas(group);
    group.configurations.push_back(next), group.next_heartbeat_at = now_;
    ++statistics_.configuration_changes;
    for (auto& [instance, progress] : group.progress) progress.configuration_accepted = false;
    persist(group);
  }

  bool heartbeat_due(Group& group) {
    return group.role == Role::owner && now_ >= group.next_heartbeat_at &&
           std::ranges::any_of(group.configurations, [](const Configuration& configuration) {
             return !configuration.replicas.empty();
           });
  }
  void send_heartbeat(Group& group) {
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
      message.number = renewal, message.yes = group.configurations.size() == 1;
      message.configuration.revision = group.configuration().revision;
      if (!progress.configuration_accepted) message.configuration = group.configuration();
      send(instance.member, std::move(message));
    }
  }

  Progress* find_lagging(Group& group, MemberId* to, bool for_entries) {
    if (group.role != Role::owner) return nullptr;
    for (auto& [instance, progress] : group.progress) {
      *to = instance.member;
      if (progress.lease_start <= -never) continue;  // has not yet confirmed that it is a replica
      if (progress.in_sync && progress.sent_index + group.log.size() < group.last_index)
        progress.in_sync = false, progress.reset(group.last_index);
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
  bool has_entries_to_send(Group& group) {
    MemberId to{};
    return find_lagging(group, &to, true) != nullptr;
  }
  void send_entries(Group& group) {
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
        else wire_entry.documents.push_back(state_of(found->second)), bytes += found->second.bytes();
      }
      bytes += entry_overhead_bytes, ++progress.sent_index;
      message.entries.push_back(std::move(wire_entry));
    }
    progress.in_flight.emplace_back(progress.sent_index, bytes), progress.in_flight_bytes += bytes;
    send(to, std::move(message));
  }
  bool has_replica_to_resync(Group& group) {
    MemberId to{};
    return find_lagging(group, &to, false) != nullptr;
  }
  void resync_replica(Group& group) {
    MemberId to{};
    Progress& progress = *find_lagging(group, &to, false);
    if (!progress.pending_ranges.empty()) {
      auto message = make_message(MessageKind::range_documents, group);
      message.ranges.push_back(progress.pending_ranges.front()), progress.pending_ranges.pop_front();
      const auto& range = message.ranges.front();
      for (auto at = group.docs.lower_bound(range.first); at != group.docs.end() && at->first < range.end;
           ++at)
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
      range.digest += digest_of(number, doc), ++docs, bytes += doc.bytes();
    }
    range.end = UINT64_MAX, message.ranges.push_back(range);
    progress.digests_in_flight = true;
    send(to, std::move(message));
  }

  // Otherwise the relay would accept nothing while its replicas are unreachable. New documents go into
  // another group, of which no other member knows.
  bool lacks_lease_too_long(Group& group) {
    if (group.role == Role::owner && has_lease(group)) group.last_lease_at = now_;
    return group.role == Role::owner && (group.id == current_group_ || group.is_active) &&
           now_ >= group.last_lease_at + new_group_after_leases * settings_.lease_duration;
  }
  void start_new_group(Group& group) {
    if (std::exchange(group.is_active, false))
      for (const auto& [number, doc] : group.docs) actions_.suspended.push_back(id_of(group, number));
    if (group.id != current_group_) return;
    ++current_group_.number;
    log_event("no lease for too long, starting a new group", group, self_.member, group.docs.size());
  }

  bool has_expired(Group& group) {
    Millis retention = group.role == Role::replica ? expired_replica_retention : unowned_retention;
    if (group.role == Role::replica && now_ < group.lease_granted_until + expired_replica_retention)
      return false;
    if (group.role == Role::owner && has_lease(group)) return false;
    return std::ranges::any_of(group.docs,
                               [&](const auto& at) { return now_ >= at.second.expiry + retention; });
  }
  void drop_expired(Group& group) {
    bool is_replica = group.role == Role::replica;
    for (auto at = group.docs.begin(); at != group.docs.end();) {
      auto number = at->first;
      bool is_expired =
          now_ >= (at++)->second.expiry + (is_replica ? expired_replica_retention : unowned_retention);
      if (!is_expired) continue;
      if (is_replica) group.dropped_expired = true, group.in_sync = false;
      else actions_.relinquished.push_back(id_of(group, number));
      erase_document(group, number);
    }
    log_event("dropped expired documents of unproven owner", group, self_.member, group.docs.size());
  }

  // Idle groups are kept to tell a relay that recovers late who owned them last, but only a limited number of
  // them.
  void prune_idle_groups() {
    std::size_t idle = 0;
    for (auto& [id, group] : groups_) idle += is_idle(group);
    for (auto at = groups_.begin(); at != groups_.end() && idle > max_idle_groups;) {
      if (!is_idle(at->second)) {
        ++at;
        continue;
      }
      PersistentGroupState state{at->first, {}, {}, false, 0, true};
      actions_.states_to_persist.push_back(state);
      at = groups_.erase(at), --idle;
    }
  }
  bool is_idle(const Group& group) const {
    return group.id != current_group_ && group.docs.empty() &&
           (group.role == Role::inactive || (group.role == Role::owner && group.configurations.size() == 1 &&
                                             group.configuration().replicas.empty()));
  }

  Millis next_wake_in() {
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

  static constexpr Rule<LeaseBasedCustody, Group> rules[] = {
      {"votes needed", &LeaseBasedCustody::should_request_votes, &LeaseBasedCustody::request_votes},
      {"elected", &LeaseBasedCustody::is_elected, &LeaseBasedCustody::become_owner},
      {"reconfiguration complete", &LeaseBasedCustody::can_retire_configurations,
       &LeaseBasedCustody::retire_configurations},
      {"replicas should change", &LeaseBasedCustody::should_reconfigure, &LeaseBasedCustody::reconfigure},
      {"lease acquired", &LeaseBasedCustody::should_activate, &LeaseBasedCustody::activate},
      {"no lease for too long", &LeaseBasedCustody::lacks_lease_too_long,
       &LeaseBasedCustody::start_new_group},
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

  const RelayInstance self_;
  const CustodySettings settings_;
  std::minstd_rand random_;
  std::vector<MemberId> placement_order_;  // the other members, in order of preference as replicas
  std::map<MemberId, std::string> member_names_;
  std::map<MemberId, std::pair<Incarnation, MemberState>> members_;
  std::set<Incarnation> past_incarnations_;
  std::map<GroupId, Group> groups_;
  GroupId current_group_;
  Millis now_ = 0, started_ = -1;
  bool has_capacity_ = true, leaving_ = false;
  std::set<RelayInstance> leaving_instances_;  // other relays that are shutting down
  Statistics statistics_;
  Actions actions_;
};

}  // namespace

std::unique_ptr<Custody> Custody::make(const Roster& roster, MemberId self, Incarnation incarnation,
                                       const CustodySettings& settings, std::uint64_t seed) {
  return std::make_unique<LeaseBasedCustody>(roster, self, incarnation, settings, seed);
}

}  // namespace rockcrank::fleet
