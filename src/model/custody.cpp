// Workload of custody. Invariants: at most one process may act for a document, no acknowledged document is
// lost while at most one of three replicas is lost at a time, each document has one end, a non-repeatable
// document is not sent again once it may have run, and take-overs happen in time. The owner's decision module
// is replaced by a simple one that sends at random times until an end is due. The checks learn who owns a
// document only through owns().
#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "model/member_process.h"
#include "model/part.h"

namespace rockcrank::model {

namespace {

using fleet::Custody;
using fleet::DocumentState;
using fleet::GlobalDocId;
using fleet::MemberId;

constexpr Millis lease = 2000, replication_timeout = 200, lifetime = 15000;
constexpr Millis settle_time = 20000 + lifetime;
constexpr Millis replica_recovery_time = 10000;  // a lost replica is replaced by then
// Where no loss is allowed, there is no other fault within this time before a kill.
constexpr Millis quiet_before_kill = 5000;
constexpr Millis min_call_time = 1, max_call_time = 400;
constexpr int max_transmissions = 4;

struct StoredDocument {
  GlobalDocId id;
  int doc = 0, transmissions = 0;
  bool non_repeatable = false, ended = false;
  Millis expiry = 0;  // in virtual time, as of a wall clock
  std::string end;
  std::map<int, Millis> in_doubt;
};

struct Storage {
  std::map<fleet::GroupId, fleet::PersistentGroupState> group_states;
  std::map<std::uint64_t, StoredDocument> docs;
  std::set<fleet::Incarnation> incarnations;
  std::uint64_t last_number = 0;
};

class CustodyNode : public PartModules {
 public:
  std::unique_ptr<Custody> custody;
  Storage storage;
  std::map<GlobalDocId, std::uint64_t> numbers;
  std::set<std::uint64_t> pending, in_flight;
  std::function<void(std::uint64_t)> on_task;
  std::function<void(const Custody::Actions&)> on_actions;
  bool recovered = false;

  void begin_turn(Millis now) override {
    custody->begin_turn(now);
    if (recovered) return;
    recovered = true;
    recover();
  }
  std::function<void()> recover;
  void on_member_change(const fleet::Membership::Change& change) override {
    custody->on_member_change(change.member, change.incarnation, change.state);
  }
  void on_link_change(MemberId peer, fleet::Incarnation, bool up) override {
    custody->on_link_change(peer, up);
  }
  void on_message(MemberId from, const Payload& message) override {
    if (const auto* custody_message = std::get_if<fleet::CustodyMessage>(&message))
      custody->on_message(from, *custody_message);
  }
  void run_task(std::uint64_t task) override { on_task(task); }
  Millis decide(Outbox& outbox) override {
    auto actions = custody->decide();
    on_actions(actions);
    for (auto& send : actions.sends) outbox.emplace_back(send.to, std::move(send.message));
    return actions.wake_in;
  }
  void drop(std::uint64_t number) {
    auto found = storage.docs.find(number);
    if (found == storage.docs.end()) return;
    numbers.erase(found->second.id);
    storage.docs.erase(found), pending.erase(number), in_flight.erase(number);
  }
};

class CustodyWorkload : public Workload {
 public:
  explicit CustodyWorkload(const RunOptions& options) : options_(options) {}

  void begin(World& world) override {
    nodes_.resize(world.machines());
    RandomSource random(hash_values(world.seed(), 0x51));
    wait_for_replica_ = random.bernoulli(0.75);
    int count = 30 + random.uniform_below(world.config().members > 30 ? 60 : 150);
    for (int i = 0; i < count; ++i) {
      ExpectedDocument doc;
      doc.at = random.between(6000, world.config().faults_until),
      doc.index = random.uniform_below(world.config().members);
      doc.non_repeatable = random.bernoulli(0.5), doc.expiry = doc.at + random.between(0.3, 1) * lifetime;
      docs_.push_back(doc);
      schedule_step(world, doc.at, {Step::submit, doc.index, 0, i, 0, {}, 0, 0});
    }
    no_loss_allowed_ = kills_are_isolated(world);
    kills_only_ = std::all_of(world.faults().begin(), world.faults().end(),
                              [](const Fault& fault) { return fault.kind == Fault::Kind::kill; });
  }

  std::unique_ptr<Process> boot(World& world, int index, const std::any& stored, Millis) override {
    auto& machine = world.machine(index);
    auto self = world.roster()[machine.member].id;
    auto node = std::make_unique<CustodyNode>();
    auto* node_pointer = nodes_[index] = node.get();
    if (const auto* storage = std::any_cast<Storage>(&stored)) node->storage = *storage;
    node->custody =
        Custody::make(world.roster(), self, machine.incarnation,
                      {lease, world.config().max_clock_drift, replication_timeout, wait_for_replica_},
                      hash_values(world.seed(), 0x52, index, machine.boots));
    node->recover = [this, &world, index, node_pointer, incarnation = machine.incarnation] {
      auto& custody = *node_pointer->custody;
      for (const auto& one : node_pointer->storage.incarnations) custody.add_past_incarnation(one);
      node_pointer->storage.incarnations.insert(incarnation);
      for (const auto& [group, group_state] : node_pointer->storage.group_states)
        custody.restore_group(group_state);
      for (const auto& [number, doc] : node_pointer->storage.docs) {
        node_pointer->numbers[doc.id] = number;
        custody.restore_document(document_state_of(world, doc), node_pointer->storage.last_number);
      }
      custody.set_has_capacity(true);
    };
    node_pointer->on_task = [this, &world, index](std::uint64_t task) {
      run_step(world, index, steps_[task]);
    };
    node_pointer->on_actions = [this, &world, index](const auto& actions) {
      apply_actions(world, index, actions);
    };
    auto membership_seed = hash_values(world.seed(), 0x41, index, machine.boots);
    return std::make_unique<MemberProcess>(
        fleet::Membership::make(world.roster(), self, machine.incarnation, membership_seed), std::move(node));
  }
  std::any storage_snapshot(World&, int index) override { return nodes_[index]->storage; }
  void on_process_end(World& world, int index) override {
    for (const auto& [number, doc] : nodes_[index]->storage.docs) {
      auto& expected = docs_[doc.doc];
      if (expected.accepted && !expected.has_ended()) expected.owner_killed_at = world.now();
    }
    nodes_[index] = nullptr;
  }

  void on_timer(World& world, std::uint64_t task) override {
    const auto& step = steps_[task];
    bool is_running = world.machine(step.index).state != Machine::State::off &&
                      (step.boots == 0 || world.machine(step.index).boots == step.boots);
    if (is_running) world.enqueue_task(step.index, task);
  }

  void check(World& world) override {
    std::map<int, int> owner;
    for (int i = 0; i < world.machines(); ++i) {
      if (!world.is_running(i) || !nodes_[i]->recovered) continue;
      auto& node = *nodes_[i];
      node.custody->begin_turn(world.local_time(i));
      for (const auto& [number, doc] : node.storage.docs)
        if (owns(node, doc)) {
          auto [at, inserted] = owner.try_emplace(doc.doc, i);
          if (!inserted)
            world.report_violation("two-owners", "members %d and %d may both act for document %d", at->second,
                                   i, doc.doc);
        }
    }
  }

  void check_final(World& world) override {
    int accepted = 0;
    for (std::size_t i = 0; i < docs_.size(); ++i) {
      const auto& doc = docs_[i];
      accepted += doc.accepted;
      if (!no_loss_allowed_ || !wait_for_replica_ || !doc.accepted || doc.has_ended()) continue;
      std::string holders;
      for (int p = 0; p < world.machines(); ++p)
        if (world.is_running(p))
          for (const auto& [number, one] : nodes_[p]->storage.docs)
            if (one.doc == static_cast<int>(i)) {
              holders += " ";
              holders += std::to_string(p);
              holders += owns(*nodes_[p], one) ? " (owner)" : " (not owner)";
            }
      world.report_violation("lost", "document %zu was acknowledged at %.0f and has not ended; held by:%s", i,
                             doc.accepted_at, holders.empty() ? " no member" : holders.c_str());
    }
    if (world.faults().empty() && accepted * 20 < static_cast<int>(docs_.size()) * 19)
      world.report_violation("taken", "%d of %zu documents were accepted in a run without faults", accepted,
                             docs_.size());
    if (!options_.samples) return;
    auto size =
        std::to_string(world.config().members) + " members" + (wait_for_replica_ ? "" : ", not waiting");
    for (auto& [name, list] : samples_) {
      auto& all = (*options_.samples)[name + ", " + size];
      all.insert(all.end(), list.begin(), list.end());
    }
    (*options_.samples)["custody messages a document, " + size].push_back(
        static_cast<double>(world.messages[2]) / static_cast<double>(docs_.size()));
  }

 private:
  struct ExpectedDocument {
    Millis at = 0, expiry = 0, accepted_at = 0, owner_killed_at = -1;
    int index = 0;
    bool non_repeatable = false, accepted = false, rejected = false, delivered = false, end_recorded = false;
    std::string reported_end;
    int run_count = 0;
    bool has_ended() const { return delivered || !reported_end.empty(); }
  };
  struct Step {
    enum Kind { submit, process, call_returned } kind{};
    int index = 0, boots = 0, doc = 0;
    std::uint64_t number = 0;
    GlobalDocId id;
    int transmission = 0, result = 0;
  };

  // True where kills don't overlap and no link is cut and no process stalled around any of them.
  bool kills_are_isolated(const World& world) const {
    Millis next_kill_from = 0;
    int permanent_kills = 0;
    for (const auto& kill : world.faults()) {
      if (kill.kind != Fault::Kind::kill) continue;
      if (kill.at < next_kill_from) return false;
      auto until = (kill.until < 0 ? kill.at : kill.until) + replica_recovery_time;
      permanent_kills += kill.until < 0;
      if (world.config().members - permanent_kills < 3) until = world.config().end;
      next_kill_from = until;
      for (const auto& other : world.faults()) {
        using Kind = Fault::Kind;
        bool interrupts_messages =
            other.kind == Kind::cut || other.kind == Kind::partition || other.kind == Kind::stall;
        if (interrupts_messages && other.at < until && other.until > kill.at - quiet_before_kill)
          return false;
      }
    }
    return true;
  }

  void schedule_step(World& world, Millis at, Step step) {
    steps_.push_back(std::move(step));
    world.schedule(at, steps_.size() - 1);
  }

  bool owns(const CustodyNode& node, const StoredDocument& doc) const {
    if (options_.injected_fault == "owns-always") return true;
    return node.custody->owns(doc.id);
  }

  DocumentState document_state_of(World& world, const StoredDocument& doc) const {
    DocumentState state;
    state.id = doc.id, state.record = std::to_string(doc.doc) + "/" + doc.end;
    state.time_left = doc.expiry - world.now();
    state.transmission_count = doc.transmissions, state.replicate_before_send = doc.non_repeatable,
    state.ended = doc.ended;
    state.acceptance_confirmed = docs_[doc.doc].accepted;
    for (const auto& [in_doubt_transmission, at] : doc.in_doubt)
      state.in_doubt.push_back({in_doubt_transmission, world.now() - at, {}});
    return state;
  }

  void run_step(World& world, int index, const Step& step) {
    switch (step.kind) {
      case Step::submit: return submit(world, index, step.doc);
      case Step::process: return process(world, index, step.number);
      case Step::call_returned: return call_returned(world, index, step);
    }
  }

  void submit(World& world, int index, int doc_number) {
    auto& node = *nodes_[index];
    auto& expected = docs_[doc_number];
    expected.at = world.now();
    StoredDocument doc;
    doc.doc = doc_number, doc.non_repeatable = expected.non_repeatable, doc.expiry = expected.expiry;
    auto number = ++node.storage.last_number;
    doc.id = node.custody->next_document_id(number);
    node.numbers[doc.id] = number, node.storage.docs[number] = doc, node.pending.insert(number);
    auto state = document_state_of(world, doc);
    state.acceptance_confirmed = false;
    node.custody->accept(state);
    if (options_.injected_fault == "answered-early") answer_client(world, index, doc.id, true);
    if (node.custody->is_accepted(doc.id)) answer_client(world, index, doc.id, true);
    schedule_processing(world, index, number);
  }

  void schedule_processing(World& world, int index, std::uint64_t number) {
    schedule_step(world, world.now() + world.random().between(1, 3000),
                  {Step::process, index, world.machine(index).boots, 0, number, {}, 0, 0});
  }

  void answer_client(World& world, int index, const GlobalDocId& id, bool accepted) {
    auto& node = *nodes_[index];
    auto found = node.numbers.find(id);
    if (found == node.numbers.end()) return;
    auto number = found->second;
    auto& expected = docs_[node.storage.docs[number].doc];
    world.trace_line("member %d answers the client of document %d: %s", index, node.storage.docs[number].doc,
                     accepted ? "accepted" : "busy");
    if (accepted && !expected.accepted) {
      expected.accepted = true, expected.accepted_at = world.now();
      if (options_.samples) samples_["ms until +OK"].push_back(world.now() - expected.at);
    }
    if (!accepted) expected.rejected = true;
    if (expected.accepted && expected.rejected)
      world.report_violation("answered-twice", "document %d: both accepted and rejected",
                             node.storage.docs[number].doc);
    if (!accepted && expected.run_count > 0 && expected.non_repeatable)
      world.report_violation("sent-unanswered", "document %d was sent and its client told to retry",
                             node.storage.docs[number].doc);
    if (!accepted) node.drop(number);
  }

  // Stands in for the decision module.
  void process(World& world, int index, std::uint64_t number) {
    auto& node = *nodes_[index];
    if (!node.pending.count(number) || node.in_flight.count(number)) return;
    auto& doc = node.storage.docs[number];
    if (!owns(node, doc)) return schedule_processing(world, index, number);
    bool late = world.now() >= doc.expiry || doc.transmissions >= max_transmissions;
    if (doc.ended || late ||
        (doc.non_repeatable && !doc.in_doubt.empty() && options_.injected_fault != "risk-forgotten")) {
      if (!doc.ended) {
        doc.ended = true;
        doc.end =
            "abandoned by " + std::to_string(index) + " at " + std::to_string(static_cast<long>(world.now()));
        node.custody->record_ended(doc.id, std::to_string(doc.doc) + "/" + doc.end);
      }
      if (options_.injected_fault == "told-early" || node.custody->may_report_end(doc.id))
        report_end(world, index, number);
      return;
    }
    int transmission = doc.transmissions++;
    doc.in_doubt[transmission] = world.now();
    node.in_flight.insert(number);
    node.custody->record_transmission(doc.id, transmission, {});
    if (options_.injected_fault == "goes-early" || node.custody->may_send(doc.id, transmission))
      send_document(world, index, number, transmission);
  }

  // Checks that no other process may act for the document now.
  void check_sole_owner(World& world, int index, int doc_number, const char* action) {
    for (int i = 0; i < world.machines(); ++i) {
      if (i == index || !world.is_running(i) || !nodes_[i]->recovered) continue;
      for (const auto& [number, doc] : nodes_[i]->storage.docs) {
        if (doc.doc != doc_number) continue;
        nodes_[i]->custody->begin_turn(world.local_time(i));
        if (owns(*nodes_[i], doc))
          world.report_violation("two-owners", "member %d %s document %d, for which member %d may act", index,
                                 action, doc_number, i);
      }
    }
  }

  void send_document(World& world, int index, std::uint64_t number, int transmission) {
    auto& node = *nodes_[index];
    const auto& doc = node.storage.docs[number];
    auto& expected = docs_[doc.doc];
    world.trace_line("member %d sends document %d, transmission %d", index, doc.doc, transmission);
    if (!owns(node, doc))
      world.report_violation("sent-unowned", "member %d sends document %d without owning it", index, doc.doc);
    check_sole_owner(world, index, doc.doc, "sends");
    if (!expected.reported_end.empty())
      world.report_violation("sent-after-end", "document %d is sent after its end was reported", doc.doc);
    if (expected.rejected && doc.non_repeatable)
      world.report_violation("sent-unanswered", "document %d is sent without having been accepted", doc.doc);
    int result = world.random().uniform_below(3);  // 0: never ran, 1: ran, 2: ran, but the result is unknown
    if (result > 0 && ++expected.run_count > 1 && doc.non_repeatable)
      world.report_violation("ran-twice", "document %d, which is not repeatable, runs a second time",
                             doc.doc);
    Step call{Step::call_returned, index, world.machine(index).boots, doc.doc, number, doc.id,
              transmission,        result};
    schedule_step(world, world.now() + world.random().between(min_call_time, max_call_time), call);
  }

  void call_returned(World& world, int index, const Step& call) {
    auto& node = *nodes_[index];
    if (call.result == 1) docs_[call.doc].delivered = true, record_end(world, call.doc);
    auto found = node.numbers.find(call.id);
    if (found == node.numbers.end()) return;
    auto number = found->second;
    node.in_flight.erase(number);
    auto& doc = node.storage.docs[number];
    if (call.result == 1) {
      node.custody->remove(call.id);
      node.drop(number);
      return;
    }
    if (call.result == 0)
      doc.in_doubt.erase(call.transmission), node.custody->record_never_ran(call.id, call.transmission);
    schedule_processing(world, index, number);
  }

  void report_end(World& world, int index, std::uint64_t number) {
    auto& node = *nodes_[index];
    auto doc = node.storage.docs[number];
    auto& expected = docs_[doc.doc];
    world.trace_line("member %d reports the end of document %d: %s", index, doc.doc, doc.end.c_str());
    if (!owns(node, doc))
      world.report_violation("told-unowned", "member %d reports the end of document %d without owning it",
                             index, doc.doc);
    check_sole_owner(world, index, doc.doc, "ends");
    if (!expected.reported_end.empty() && expected.reported_end != doc.end)
      world.report_violation("two-ends", "document %d: %s, and before that %s", doc.doc, doc.end.c_str(),
                             expected.reported_end.c_str());
    expected.reported_end = doc.end;
    record_end(world, doc.doc);
    node.custody->remove(doc.id);
    node.drop(number);
  }

  void record_end(World& world, int number) {
    auto& expected = docs_[number];
    if (std::exchange(expected.end_recorded, true)) return;
    if (options_.samples && expected.owner_killed_at >= 0 && kills_only_)
      samples_["ms from a kill to an owed document's end"].push_back(world.now() - expected.owner_killed_at);
  }

  void apply_actions(World& world, int index, const Custody::Actions& actions) {
    auto& node = *nodes_[index];
    for (const auto& group_state : actions.states_to_persist) {
      if (group_state.deleted) node.storage.group_states.erase(group_state.group);
      else node.storage.group_states[group_state.group] = group_state;
    }
    for (const auto& line : actions.log_lines) world.trace_line("member %d logs: %s", index, line.c_str());
    for (const auto& id : actions.accepted) answer_client(world, index, id, true);
    for (const auto& id : actions.not_accepted) answer_client(world, index, id, false);
    for (const auto& [from, to] : actions.renumbered) {
      auto found = node.numbers.find(from);
      if (found == node.numbers.end()) continue;
      auto number = found->second;
      node.numbers.erase(found), node.numbers[to] = number, node.storage.docs[number].id = to;
    }
    for (const auto& id : actions.relinquished) {
      auto found = node.numbers.find(id);
      if (found == node.numbers.end()) continue;
      world.trace_line("member %d relinquishes document %d", index, node.storage.docs[found->second].doc);
      node.drop(found->second);
    }
    for (const auto* list : {&actions.taken_over, &actions.resumed})
      for (const auto& state : *list) take_document(world, index, state, list == &actions.taken_over);
    for (const auto& [id, transmission] : actions.cleared_transmissions) {
      auto found = node.numbers.find(id);
      if (found != node.numbers.end()) send_document(world, index, found->second, transmission);
    }
    for (const auto& id : actions.reportable_ends) {
      auto found = node.numbers.find(id);
      if (found != node.numbers.end()) report_end(world, index, found->second);
    }
  }

  void take_document(World& world, int index, const DocumentState& state, bool taken_over) {
    auto& node = *nodes_[index];
    if (taken_over && options_.injected_fault == "taken-over-lost") return;
    if (!node.numbers.count(state.id)) node.numbers[state.id] = ++node.storage.last_number;
    auto number = node.numbers[state.id];
    auto& doc = node.storage.docs[number];
    doc.id = state.id, doc.doc = std::stoi(state.record);
    doc.end = state.record.substr(state.record.find('/') + 1), doc.ended = state.ended;
    doc.expiry = world.now() + state.time_left, doc.non_repeatable = state.replicate_before_send;
    doc.transmissions = state.transmission_count, doc.in_doubt.clear();
    for (const auto& in_doubt_transmission : state.in_doubt)
      doc.in_doubt[in_doubt_transmission.number] = world.now() - in_doubt_transmission.age;
    node.pending.insert(number);
    const auto& expected = docs_[doc.doc];
    world.trace_line("member %d %s document %d with %zu transmissions in doubt", index,
                     taken_over ? "takes over" : "resumes", doc.doc, state.in_doubt.size());
    check_sole_owner(world, index, doc.doc, taken_over ? "takes over" : "resumes");
    if (taken_over && options_.samples && kills_only_ && expected.owner_killed_at >= 0)
      samples_["ms from a kill to a take-over"].push_back(world.now() - expected.owner_killed_at);
    schedule_processing(world, index, number);
  }

  RunOptions options_;
  std::vector<CustodyNode*> nodes_;
  std::vector<ExpectedDocument> docs_;
  std::vector<Step> steps_;
  Samples samples_;
  bool wait_for_replica_ = true, no_loss_allowed_ = false, kills_only_ = false;
};

RunConfig draw_config(RandomSource& random, int relays) {
  RunConfig config;
  config.members = draw_members(random, relays, relays > 0 ? 300 : 60);
  config.zones = 1 + random.uniform_below(3);
  config.farthest_zone_delay = random.between(0.5, 20);
  config.faults_from = 7000;
  config.faults_until = config.faults_from + random.between(5000, 35000);
  config.end = config.faults_until + settle_time + 500;
  config.max_clock_drift = 0.01;
  config.max_wall_clock_offset = random.bernoulli(0.5) ? 0 : 300000;
  config.overlapping_kills = random.bernoulli(0.4);
  return config;
}

}  // namespace

Part custody_part() {
  Part part;
  part.name = "custody", part.draw_config = draw_config;
  part.make_workload = [](const RunOptions& options) -> std::unique_ptr<Workload> {
    return std::make_unique<CustodyWorkload>(options);
  };
  part.fault_profile.fault_free_share = 0.05, part.fault_profile.kills_only_share = 0.35,
  part.fault_profile.single_link_share = 0.1;
  part.fault_profile.one_kill_at_a_time = true,
  part.fault_profile.min_kill_gap = replica_recovery_time + 1000, part.fault_profile.max_faults = 8;
  part.injected_faults = {{"owns-always", "two-owners"},   {"answered-early", "answered-twice"},
                          {"told-early", "two-ends"},      {"goes-early", "ran-twice"},
                          {"risk-forgotten", "ran-twice"}, {"taken-over-lost", "lost"}};
  return part;
}

}  // namespace rockcrank::model
