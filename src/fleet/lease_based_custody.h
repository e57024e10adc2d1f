// The implementation of custody, a file for each job: custody.cpp the turn and its rules,
// custody_documents.cpp an owner's documents, custody_replication.cpp an owner's log, leases and
// configurations, custody_replica.cpp the replica's side, custody_election.cpp votes and changes of owner.
// The rules are evaluated after every input until none fires. docs/fleet-documents.md argues that no two
// relays own a document at the same time; each step that the argument relies on is marked "Safety".
#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/custody_group.h"
#include "fleet/rules.h"

namespace rockcrank::fleet::internal {

class LeaseBasedCustody final : public Custody {
 public:
  LeaseBasedCustody(const Roster& roster, MemberId self, Incarnation incarnation,
                    const CustodySettings& settings, std::uint64_t seed);

  void begin_turn(Millis now) override;

  void restore_group(const PersistentGroupState& state) override;
  void add_past_incarnation(Incarnation incarnation) override { past_incarnations_.insert(incarnation); }
  void on_previous_process_ended() override { past_incarnations_ended_at_ = now_; }

  void on_member_change(MemberId member, Incarnation incarnation, MemberState state) override;
  void on_link_change(MemberId peer, bool up) override;
  void leave() override { leaving_ = true; }
  void set_has_capacity(bool has_capacity) override { has_capacity_ = has_capacity; }

  void on_message(MemberId from, const CustodyMessage& message) override;

  GlobalDocId next_document_id(std::uint64_t number) override;

  void accept(const DocumentState& document) override;

  void restore_document(const DocumentState& document, std::uint64_t highest_number) override;

  void record_transmission(const GlobalDocId& id, int transmission, ZoneId zone) override;
  void record_never_ran(const GlobalDocId& id, int transmission) override;
  void record_changed(const GlobalDocId& id, const std::string& record) override;
  void record_ended(const GlobalDocId& id, const std::string& record) override;
  void remove(const GlobalDocId& id) override;

  bool owns(const GlobalDocId& id) const override;
  bool is_accepted(const GlobalDocId& id) const override;
  bool may_send(const GlobalDocId& id, int transmission) const override;
  bool may_report_end(const GlobalDocId& id) const override;
  bool holds_lease() const override;
  Statistics statistics() const override;

  Actions decide() override;

 private:
  Millis heartbeat_interval() const { return settings_.lease_duration / heartbeats_per_lease; }
  double random_between(double low, double high);
  const std::string& name_of(MemberId member) const;
  void log_event(const char* what, const Group& group, MemberId other, std::uint64_t number);
  bool is_alive(const RelayInstance& instance) const;
  static bool is_alive_or_suspect(MemberState state);
  RelayInstance live_instance_of(MemberId member) const;

  // Documents.
  Group& get_or_create_owned_group(GroupId id);
  Doc& put_document(Group& group, const DocumentState& document);
  void erase_document(Group& group, std::uint64_t number);
  static void replace_record(Group& group, Doc& doc, const std::string& record);
  DocumentState state_of(const Doc& doc) const;
  std::pair<Group*, Doc*> find_owned(const GlobalDocId& id);
  const Doc* find_document(const GlobalDocId& id) const;
  static GlobalDocId id_of(const Group& group, std::uint64_t number);
  std::size_t replicated_bytes() const;
  std::uint64_t append(Group& group, LogEntry entry);

  Millis lease_until(const Group& group) const;
  bool has_lease(const Group& group) const { return group.role == Role::owner && now_ < lease_until(group); }

  std::uint64_t match_index(const Group& group, const Configuration& configuration) const;
  std::uint64_t replicated_index(const Group& group) const;
  std::uint64_t committed_index(const Group& group) const;
  void record_committed_index(Group& group);
  bool is_safe_to_send(const Group& group, const Doc& doc, int transmission) const;

  // Messages.
  CustodyMessage make_message(MessageKind kind, const Group& group) const;
  void send(MemberId to, CustodyMessage message) { actions_.sends.push_back({to, std::move(message)}); }
  void refuse(const CustodyMessage& message, const Group& group);
  void persist(const Group& group);

  // As a replica: messages from the owner.
  void on_propose_configuration(const CustodyMessage& message);
  static void become_inactive(Group& group);
  void grant_lease(Group& group, const RelayInstance& owner);
  Group* group_as_replica_of(const CustodyMessage& message);
  void on_renew_lease(const CustodyMessage& message);
  void on_append_entries(const CustodyMessage& message);
  void acknowledge(Group& group, const CustodyMessage& message);
  void apply(Group& group, const WireLogEntry& entry);
  static std::uint64_t range_digest(const Group& group, const DocumentRange& range);
  void on_range_digests(const CustodyMessage& message);
  void on_range_documents(const CustodyMessage& message);

  // As the owner: answers from replicas.
  void on_replica_reply(const CustodyMessage& message);
  void apply_replica_reply(Group& group, Progress& progress, const CustodyMessage& message);
  void on_refused(const CustodyMessage& message);
  void learn_configuration(Group& group, const Configuration& configuration, std::uint64_t highest_document);

  void step_down(Group& group, const Configuration& newer, std::uint64_t highest_document);

  // Elections.
  static bool has_only_log(const Group& group, const CustodyMessage& message);
  void on_request_vote(const CustodyMessage& message);
  void on_vote(const CustodyMessage& message);
  void on_inventory(const CustodyMessage& message);

  // Conditions and effects of the rules: elections.
  bool should_request_votes(Group& group);
  void request_votes(Group& group);
  void start_election(Group& group, bool pre_vote);
  static bool has_majority(const Group& group, const Configuration& configuration);
  bool is_elected(Group& group);
  void become_owner(Group& group);
  Configuration in_new_term(const Group& group, const Configuration& previous, std::uint64_t revision) const;
  void apply_inventories(Group& group);

  // Conditions and effects of the rules: documents of an owner.
  bool should_activate(Group& group);
  void activate(Group& group);
  bool has_replicated_document(Group& group);
  void accept_replicated(Group& group);
  bool replication_timed_out(Group& group);
  void reject_unreplicated(Group& group);
  bool has_sendable_transmission(Group& group);
  void clear_transmissions(Group& group);
  bool has_committed_end(Group& group);
  void report_end(Group& group);

  bool can_retire_configurations(Group& group);
  void retire_configurations(Group& group);

  std::vector<RelayInstance> desired_replicas(const Group& group) const;
  std::vector<RelayInstance> next_replicas(Group& group);
  bool should_reconfigure(Group& group);
  void reconfigure(Group& group);

  bool heartbeat_due(Group& group);
  void send_heartbeat(Group& group);

  Progress* find_lagging(Group& group, MemberId* to, bool for_entries);
  bool has_entries_to_send(Group& group);
  void send_entries(Group& group);
  bool has_replica_to_resync(Group& group);
  void resync_replica(Group& group);

  bool lacks_lease_too_long(Group& group);
  void start_new_group(Group& group);

  bool has_expired(Group& group);
  void drop_expired(Group& group);

  void prune_idle_groups();
  bool is_idle(const Group& group) const;

  Millis next_wake_in();

  static const Rule<LeaseBasedCustody, Group> rules[];

  const RelayInstance self_;
  const CustodySettings settings_;
  std::minstd_rand random_;
  std::vector<MemberId> placement_order_;  // the other members, in order of preference as replicas
  std::map<MemberId, std::string> member_names_;
  std::map<MemberId, std::pair<Incarnation, MemberState>> members_;
  std::set<Incarnation> past_incarnations_;
  std::map<GroupId, Group> groups_;
  GroupId current_group_;
  Millis now_ = 0;
  Millis past_incarnations_ended_at_ = -1;  // from then on none of them grants a lease
  bool has_capacity_ = true, leaving_ = false;
  std::set<RelayInstance> leaving_instances_;  // other relays that are shutting down
  Statistics statistics_;
  Actions actions_;
};

}  // namespace rockcrank::fleet::internal
