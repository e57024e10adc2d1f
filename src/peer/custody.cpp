// The custody component: maps stored documents to their global ids, passes their records to fleet::Custody
// and carries out its actions on the store, relay and link. State that must survive the process is flushed
// before any message is sent. Ownership is decided by fleet::Custody, and documents are sent by the relay.

#include "fleet/custody.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "fleet/custody_state.h"
#include "peer/codec.h"
#include "peer/deferred_replies.h"
#include "peer/fleet.h"
#include "relay/log.h"

namespace rockcrank::peer {
namespace {

using fleet::Custody;
using fleet::CustodyMessage;
using fleet::DocumentState;
using fleet::GlobalDocId;
using fleet::Incarnation;
using fleet::MemberId;
using fleet::PersistentGroupState;

constexpr std::size_t min_free_bytes = 64 * 1024;  // with less free space, other members take over first
constexpr Millis min_log_interval = 1000;          // minimum between log lines

// Requests are not among them: they are made again when the link comes up.
bool is_reply(CustodyMessage::Kind kind) {
  switch (kind) {
    case CustodyMessage::Kind::configuration_accepted:
    case CustodyMessage::Kind::lease_renewed:
    case CustodyMessage::Kind::entries_acknowledged:
    case CustodyMessage::Kind::request_ranges:
    case CustodyMessage::Kind::vote:
    case CustodyMessage::Kind::refused: return true;
    default: return false;
  }
}

const std::string incarnations_key = "custody lives", group_key_prefix = "custody group ";

std::string unreadable_metadata(const std::string& name, const fleet::FleetError& error) {
  return std::string("documents: ") +
         fleet::BadStateFile("a metadata entry cannot be read", name, error.what()).what();
}

bool is_readable(const std::string& name, const std::string& text) {
  try {
    if (name == incarnations_key) unpacked<std::vector<Incarnation>>(text);
    else unpacked<PersistentGroupState>(text);
    return true;
  } catch (const fleet::FleetError&) { return false; }
}

class CustodyComponent final : public FleetComponent {
 public:
  explicit CustodyComponent(const ComponentContext& context)
      : context_(context),
        relay_(context.relay),
        store_(context.relay.store),
        turn_timer_(context.relay.loop, [this] { turn(); }),
        deferred_replies_(context.config.replication_timeout) {
    const auto& config = context.config;
    custody_ = Custody::make(
        config.roster, config.self, context.incarnation,
        {config.lease_duration, config.max_clock_drift, config.replication_timeout, config.wait_for_replica},
        context.seed);
  }

  void start() override {
    begin_turn();
    const auto incarnations = restore_metadata();
    store_.set_metadata(incarnations_key,
                        packed(fleet::merge_incarnations(incarnations, {context_.incarnation})));
    store_.flush();
    last_recovered_number_ = store_.last_doc_number();
    for (const auto& [doc, document] : store_.documents()) register_document(doc);
    schedule_turn();
  }

  // The journal of the previous process has what it voted and granted until its end, and its documents. It
  // stays until the turn's flush, when what became of these documents is recorded, too.
  void on_previous_process_ended() override {
    begin_turn();
    restore_metadata();
    custody_->on_previous_process_ended();
    last_recovered_number_ = store_.last_doc_number();
    schedule_turn();
  }

  void on_message(MemberId from, std::string_view payload) override {
    auto message = unpacked<CustodyMessage>(payload);
    requesters_[from] = message.sender.incarnation;
    begin_turn();
    custody_->on_message(from, message);
    schedule_turn();
  }
  void on_link_change(MemberId peer, Incarnation incarnation, bool up) override {
    if (up) send_deferred_replies(peer, incarnation);
    begin_turn();
    custody_->on_link_change(peer, up);
    schedule_turn();
  }
  void on_member_change(MemberId member, Incarnation incarnation, fleet::MemberState state) override {
    begin_turn();
    custody_->on_member_change(member, incarnation, state);
    custody_->set_has_capacity(relay_.decision.has_capacity() && store_.has_room(min_free_bytes));
    schedule_turn();
  }
  void on_declared_dead() override { schedule_turn(); }
  void leave() override { custody_->leave(); }

  // Without a lease nothing is sent; the decision module pauses its transmissions.
  void before_turn() override {
    begin_turn();
    bool paused = !custody_->holds_lease();
    if (paused == sending_paused_ || (!paused && !store_.is_sole_process())) return;
    sending_paused_ = paused;
    relay_.decision.pause_sending(paused);
  }

  void on_store_record(char kind, DocId doc, int transmission) override {
    if (ignore_records_) return;
    begin_turn();
    if (kind == 'D') {
      GlobalDocId fleet_id = custody_->next_document_id(static_cast<std::uint64_t>(doc));
      assign_fleet_id(doc, fleet_id);
      return custody_->accept(state_of(doc, fleet_id)), schedule_turn();
    }
    auto found = fleet_ids_.find(doc);
    if (found == fleet_ids_.end()) return;
    GlobalDocId fleet_id = found->second;
    const StoredDocument& document = store_.documents().at(doc);
    if (kind == 'S') custody_->record_transmission(fleet_id, transmission, document.in_doubt.back().zone);
    if (kind == 'N') custody_->record_never_ran(fleet_id, transmission);
    if (kind == 'M') custody_->record_changed(fleet_id, Store::encode(document));
    if (kind == 'E') custody_->record_ended(fleet_id, Store::encode(document));
    if (kind == 'F') forget(doc), custody_->remove(fleet_id);
    schedule_turn();
  }

  bool may_acknowledge(DocId doc) override {
    return check_ownership(doc, [&](const GlobalDocId& fleet_id) { return custody_->is_accepted(fleet_id); });
  }
  bool owns(DocId doc) override {
    return check_ownership(doc, [&](const GlobalDocId& fleet_id) { return custody_->owns(fleet_id); });
  }
  bool may_send(DocId doc, int transmission) override {
    return check_ownership(
        doc, [&](const GlobalDocId& fleet_id) { return custody_->may_send(fleet_id, transmission); });
  }
  bool may_report_end(DocId doc) override {
    if (check_ownership(doc, [&](const GlobalDocId& fleet_id) { return custody_->may_report_end(fleet_id); }))
      return true;
    unreported_ends_.insert(doc);
    return false;
  }

  std::string summary() const override {
    auto count = custody_->statistics();
    char line[110];
    std::snprintf(line, sizeof line, "documents: %zu own, %zu copies (%zu bytes), %zu groups taken over",
                  count.owned_documents, count.replicated_documents, count.replicated_bytes, count.takeovers);
    return line;
  }

 private:
  // Returns the earlier incarnations.
  std::vector<Incarnation> restore_metadata() {
    std::vector<Incarnation> incarnations;
    std::size_t groups = 0;
    for (const auto& [name, text] : store_.metadata()) try {
        if (name == incarnations_key) incarnations = unpacked<std::vector<Incarnation>>(text);
        else if (name.starts_with(group_key_prefix))
          custody_->restore_group(unpacked<PersistentGroupState>(text)), ++groups;
      } catch (const fleet::FleetError& error) { log_line("%s", unreadable_metadata(name, error).c_str()); }
    std::erase(incarnations, context_.incarnation);
    for (const auto& incarnation : incarnations) custody_->add_past_incarnation(incarnation);
    log_line("documents: the state directory knows %zu earlier incarnations and %zu groups",
             incarnations.size(), groups);
    return incarnations;
  }

  // Uses the current time, not the loop's, so that a process that was stopped notices that its lease has
  // expired.
  // Returns the time that the module has been given, as Unix time.
  Millis begin_turn() {
    const Millis now = EventLoop::monotonic_time();
    custody_->begin_turn(now);
    return EventLoop::to_wall_time(now);
  }
  // Runs in the next loop iteration; records of this one are flushed by then.
  void schedule_turn() { turn_timer_.set(relay_.loop.now()); }

  void send(MemberId to, const CustodyMessage& message) {
    auto payload = packed(message);
    if (context_.link.send(to, Channel::custody, payload) || !is_reply(message.kind)) return;
    deferred_replies_.add(to, requesters_[to], EventLoop::monotonic_time(), std::move(payload));
  }
  void send_deferred_replies(MemberId to, Incarnation incarnation) {
    for (const auto& payload : deferred_replies_.take(to, incarnation, EventLoop::monotonic_time()))
      context_.link.send(to, Channel::custody, payload);
  }

  template <typename Predicate>
  bool check_ownership(DocId doc, Predicate predicate) {
    register_document(doc);
    auto found = fleet_ids_.find(doc);
    if (found == fleet_ids_.end()) return true;  // not accepted yet, so no other member can have it
    begin_turn();
    return predicate(found->second);
  }

  // Registers a recovered document, from this relay's folder or one adopted later.
  void register_document(DocId doc) {
    auto document = store_.documents().find(doc);
    if (fleet_ids_.count(doc) || document == store_.documents().end() || !document->second.journaled) return;
    begin_turn();
    GlobalDocId fleet_id = custody_->next_document_id(static_cast<std::uint64_t>(doc));
    if (!document->second.fleet_id.empty()) try {
        fleet_id = unpacked<GlobalDocId>(document->second.fleet_id);
      } catch (const fleet::FleetError&) {
        log_line("documents: %s", fleet::BadStateFile("a fleet id cannot be read", document->second.id,
                                                      "its document is now owned by this relay")
                                      .what());
      }
    assign_fleet_id(doc, fleet_id);
    custody_->restore_document(state_of(doc, fleet_id), last_recovered_number_);
    schedule_turn();
  }
  void assign_fleet_id(DocId doc, const GlobalDocId& fleet_id) {
    if (auto previous = fleet_ids_.find(doc); previous != fleet_ids_.end())
      docs_by_fleet_id_.erase(previous->second);
    fleet_ids_[doc] = fleet_id, docs_by_fleet_id_[fleet_id] = doc;
    store_.set_fleet_id(doc, packed(fleet_id));
  }
  void forget(DocId doc) {
    if (auto found = fleet_ids_.find(doc); found != fleet_ids_.end())
      docs_by_fleet_id_.erase(found->second), fleet_ids_.erase(found);
  }
  DocumentState state_of(DocId doc, const GlobalDocId& fleet_id) const {
    const StoredDocument& document = store_.documents().at(doc);
    auto wall = EventLoop::wall_time();
    DocumentState state;
    state.id = fleet_id, state.record = Store::encode(document), state.time_left = document.expiry - wall;
    state.transmission_count = document.transmissions, state.ended = document.ended;
    state.replicate_before_send = document.type.retry_safety != RetrySafety::idempotent;
    for (const auto& sent : document.in_doubt)
      state.in_doubt.push_back({sent.number, std::max(0.0, wall - sent.sent_at), sent.zone});
    return state;
  }

  void turn() {
    const Millis decided_at = begin_turn();
    auto actions = custody_->decide();
    for (const auto& persistent : actions.states_to_persist) {
      auto name = group_key_prefix + packed(persistent.group);
      store_.set_metadata(name, persistent.deleted ? "" : packed(persistent));
    }
    for (const auto& [from, to] : actions.renumbered)
      if (auto found = docs_by_fleet_id_.find(from); found != docs_by_fleet_id_.end())
        assign_fleet_id(DocId(found->second), to);
    std::vector<DocId> resumed_docs;
    for (const auto& state : actions.taken_over) resumed_docs.push_back(take_over(state, decided_at));
    for (const auto& state : actions.resumed)
      if (auto found = docs_by_fleet_id_.find(state.id); found != docs_by_fleet_id_.end()) {
        record_in_doubt(DocId(found->second), state, decided_at);
        resumed_docs.push_back(found->second);
      }
    // Votes and changes of replicas must survive a restart before messages depend on them.
    if (!actions.states_to_persist.empty() || !resumed_docs.empty() || !flushed_) flushed_ = store_.flush();
    if (flushed_)
      for (const auto& outgoing : actions.sends) send(outgoing.to, outgoing.message);
    for_each(actions.accepted, [this](DocId doc) { relay_.answer_client(doc, true); });
    for_each(actions.not_accepted, [this](DocId doc) { relay_.answer_client(doc, false); });
    for_each(actions.relinquished, [this](DocId doc) {
      forget(doc);
      relay_.discard_document(doc);
    });
    for_each(actions.suspended, [this](DocId doc) { relay_.decision.withdraw(doc); });
    for (DocId doc : resumed_docs)
      if (auto document = store_.documents().find(doc); document != store_.documents().end()) {
        if (document->second.ended) unreported_ends_.insert(doc);
        else relay_.resume_document(doc);
      }
    for (DocId doc : std::exchange(unreported_ends_, {}))
      if (store_.documents().count(doc) && may_report_end(doc)) relay_.resume_document(doc);
    if (!actions.cleared_transmissions.empty())
      relay_.begin_turn();  // the relay asks again for each deferred transmission
    for (const auto& line : actions.log_lines) log_limited(line);
    if (sending_paused_ != !custody_->holds_lease()) relay_.begin_turn();
    if (actions.wake_in >= 0) turn_timer_.set(EventLoop::monotonic_time() + actions.wake_in);
  }
  template <typename Do>
  void for_each(const std::vector<GlobalDocId>& fleet_ids, Do what) {
    for (const auto& fleet_id : fleet_ids)
      if (auto found = docs_by_fleet_id_.find(fleet_id); found != docs_by_fleet_id_.end())
        what(DocId(found->second));
  }

  // Takes over a document of another relay, in the state that it had at the time `decided_at`. If the store
  // has no space for it, this process and the replicas still hold it and owe its delivery.
  DocId take_over(const DocumentState& state, Millis decided_at) {
    if (auto found = docs_by_fleet_id_.find(state.id); found != docs_by_fleet_id_.end()) return found->second;
    StoredDocument document;
    try {
      document = Store::decode(state.record);
    } catch (const std::exception& error) {
      log_line("documents: a replica cannot be read: %s", error.what());
      return {};
    }
    document.expiry = decided_at + state.time_left;
    document.transmissions = state.transmission_count;
    document.in_doubt.clear();
    for (const auto& entry : state.in_doubt)
      document.in_doubt.push_back({entry.number, decided_at - entry.age, entry.zone});
    std::ranges::sort(document.in_doubt, {}, &StoredDocument::Transmission::sent_at);
    auto doc = store_.add(std::move(document));
    ignore_records_ = true;
    store_.record_accepted(doc), assign_fleet_id(doc, state.id);
    ignore_records_ = false;
    return doc;
  }
  void record_in_doubt(DocId doc, const DocumentState& state, Millis decided_at) {
    const StoredDocument& document = store_.documents().at(doc);
    ignore_records_ = true;
    for (const auto& entry : state.in_doubt)
      if (std::ranges::find(document.in_doubt, entry.number, &StoredDocument::Transmission::number) ==
          document.in_doubt.end())
        store_.record_transmission(doc, entry.number, decided_at - entry.age, entry.zone);
    ignore_records_ = false;
  }

  void log_limited(const std::string& line) {
    auto now = relay_.loop.now();
    if (now < last_logged_ + min_log_interval && ++suppressed_lines_ > 3) return;
    if (now >= last_logged_ + min_log_interval) last_logged_ = now, suppressed_lines_ = 0;
    log_line("%s", line.c_str());
  }

  const ComponentContext context_;
  RelayContext& relay_;
  Store& store_;
  std::unique_ptr<Custody> custody_;
  Timer turn_timer_;
  DeferredReplies deferred_replies_;
  std::map<MemberId, Incarnation> requesters_;  // the incarnation of each member that sent the last message
  std::map<DocId, GlobalDocId> fleet_ids_;
  std::map<GlobalDocId, DocId> docs_by_fleet_id_;
  std::set<DocId> unreported_ends_;          // ended, and no replica has the end yet
  std::uint64_t last_recovered_number_ = 0;  // highest document number assigned before this start
  bool ignore_records_ = false;              // records written now are already known to the module
  bool flushed_ = true, sending_paused_ = false;
  Millis last_logged_ = -1e18;
  int suppressed_lines_ = 0;
};

}  // namespace

std::string merge_metadata(const std::string& name, const std::string& one, const std::string& other) {
  const bool is_group = name.starts_with(group_key_prefix);
  if (name != incarnations_key && !is_group) return greater_metadata(name, one, other);
  if (!is_readable(name, one) && !is_readable(name, other)) return greater_metadata(name, one, other);
  if (!is_readable(name, one)) return other;
  if (!is_readable(name, other)) return one;
  if (is_group)
    return packed(fleet::merge_group_states(unpacked<PersistentGroupState>(one),
                                            unpacked<PersistentGroupState>(other)));
  return packed(fleet::merge_incarnations(unpacked<std::vector<Incarnation>>(one),
                                          unpacked<std::vector<Incarnation>>(other)));
}

std::unique_ptr<FleetComponent> make_custody(const ComponentContext& context) {
  if (context.config.replica_count == 0) return nullptr;
  return std::make_unique<CustodyComponent>(context);
}

}  // namespace rockcrank::peer
