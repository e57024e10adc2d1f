// The host of custody: maps the store's documents to their deeds, carries their records to the module and
// what it decides to store, relay and link. What must outlast the process is flushed before any message goes.
// It must never decide who owns a document, nor send one.

#include "fleet/custody.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "peer/codec.h"
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

constexpr std::size_t lives_most = 64;         // that the folder tells of
constexpr std::size_t room_bytes = 64 * 1024;  // less than that left: another takes over first
constexpr Millis lines_apart = 1000;           // of the log

const std::string lives_note = "custody lives", group_note = "custody group ";

class Keeping final : public FleetComponent {
 public:
  explicit Keeping(const ComponentContext& place)
      : place_(place),
        around_(place.relay),
        store_(place.relay.store),
        due_(place.relay.loop, [this] { turn(); }) {
    const auto& config = place.config;
    custody_ = Custody::make(
        config.roster, config.self, place.incarnation,
        {config.lease_duration, config.max_clock_drift, config.replication_timeout, config.wait_for_replica},
        place.seed);
  }

  void start() override {
    begin();
    std::vector<Incarnation> lives;
    for (const auto& [name, text] : store_.metadata()) try {
        if (name == lives_note) lives = unpacked<std::vector<Incarnation>>(text);
        else if (name.starts_with(group_note)) custody_->restore_group(unpacked<PersistentGroupState>(text));
      } catch (const fleet::FleetError& error) {
        log_line("documents: %s", fleet::BadStateFile("a note cannot be read", name, error.what()).what());
      }
    for (const auto& life : lives) custody_->add_past_incarnation(life);
    lives.push_back(place_.incarnation);
    if (lives.size() > lives_most) lives.erase(lives.begin());
    store_.set_metadata(lives_note, packed(lives));
    store_.flush();
    before_ = store_.last_doc_number();
    for (const auto& [doc, held] : store_.documents()) known(doc);
    soon();
  }

  void on_message(MemberId from, std::string_view payload) override {
    auto message = unpacked<CustodyMessage>(payload);
    begin();
    custody_->on_message(from, message);
    soon();
  }
  void on_link_change(MemberId peer, Incarnation, bool up) override {
    begin(), custody_->on_link_change(peer, up), soon();
  }
  void on_member_change(MemberId member, Incarnation life, fleet::MemberState condition) override {
    begin();
    custody_->on_member_change(member, life, condition);
    custody_->set_has_capacity(around_.decision.has_capacity() && store_.has_room(room_bytes));
    soon();
  }
  void on_declared_dead() override { soon(); }
  void leave() override { custody_->leave(); }

  // Without a lease nothing goes, and what the decision module would have sent waits.
  void before_turn() override {
    begin();
    bool held = !custody_->holds_lease();
    if (held == held_ || (!held && !store_.is_sole_process())) return;
    held_ = held;
    around_.decision.pause_sending(held);
  }

  void on_store_record(char kind, DocId doc, int transmission) override {
    if (quiet_) return;
    begin();
    if (kind == 'D') {
      GlobalDocId deed = custody_->next_document_id(static_cast<std::uint64_t>(doc));
      note(doc, deed);
      return custody_->accept(papers(doc, deed)), soon();
    }
    auto found = deeds_.find(doc);
    if (found == deeds_.end()) return;
    GlobalDocId deed = found->second;
    const StoredDocument& held = store_.documents().at(doc);
    if (kind == 'S') custody_->record_transmission(deed, transmission, held.in_doubt.back().zone);
    if (kind == 'N') custody_->record_never_ran(deed, transmission);
    if (kind == 'E') custody_->record_ended(deed, Store::encode(held));
    if (kind == 'F') forget(doc), custody_->remove(deed);
    soon();
  }

  bool may_acknowledge(DocId doc) override {
    return ask(doc, [&](const GlobalDocId& deed) { return custody_->is_accepted(deed); });
  }
  bool owns(DocId doc) override {
    return ask(doc, [&](const GlobalDocId& deed) { return custody_->owns(deed); });
  }
  bool may_send(DocId doc, int transmission) override {
    return ask(doc, [&](const GlobalDocId& deed) { return custody_->may_send(deed, transmission); });
  }
  bool may_report_end(DocId doc) override {
    if (ask(doc, [&](const GlobalDocId& deed) { return custody_->may_report_end(deed); })) return true;
    untold_.insert(doc);
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
  // At the moment itself: a process that was stopped finds here that its lease is over.
  void begin() { custody_->begin_turn(EventLoop::monotonic_time()); }
  // In the next round: what was noted in this one is flushed by then.
  void soon() { due_.set(around_.loop.now()); }

  template <typename Ask>
  bool ask(DocId doc, Ask of) {
    known(doc);
    auto found = deeds_.find(doc);
    if (found == deeds_.end()) return true;  // not taken on yet: nobody else can have it
    begin();
    return of(found->second);
  }

  // A document found in a folder, its own or that of a process that ended later.
  void known(DocId doc) {
    auto held = store_.documents().find(doc);
    if (deeds_.count(doc) || held == store_.documents().end() || !held->second.journaled) return;
    begin();
    GlobalDocId deed = custody_->next_document_id(static_cast<std::uint64_t>(doc));
    if (!held->second.fleet_id.empty()) try {
        deed = unpacked<GlobalDocId>(held->second.fleet_id);
      } catch (const fleet::FleetError&) {
        log_line("documents: %s", fleet::BadStateFile("a deed cannot be read", held->second.id,
                                                      "its document is this relay's own from now on")
                                      .what());
      }
    note(doc, deed);
    custody_->restore_document(papers(doc, deed), before_);
    soon();
  }
  void note(DocId doc, const GlobalDocId& deed) {
    if (auto before = deeds_.find(doc); before != deeds_.end()) docs_.erase(before->second);
    deeds_[doc] = deed, docs_[deed] = doc;
    store_.set_fleet_id(doc, packed(deed));
  }
  void forget(DocId doc) {
    if (auto found = deeds_.find(doc); found != deeds_.end()) docs_.erase(found->second), deeds_.erase(found);
  }
  DocumentState papers(DocId doc, const GlobalDocId& deed) const {
    const StoredDocument& held = store_.documents().at(doc);
    auto wall = EventLoop::wall_time();
    DocumentState papers;
    papers.id = deed, papers.record = Store::encode(held), papers.time_left = held.expiry - wall;
    papers.transmission_count = held.transmissions, papers.ended = held.ended;
    papers.replicate_before_send = held.type.retry_safety != RetrySafety::idempotent;
    for (const auto& sent : held.in_doubt)
      papers.in_doubt.push_back({sent.number, std::max(0.0, wall - sent.sent_at), sent.zone});
    return papers;
  }

  void turn() {
    begin();
    auto decided = custody_->decide();
    for (const auto& note : decided.states_to_persist) {
      auto name = group_note + packed(note.group);
      store_.set_metadata(name, note.deleted ? "" : packed(note));
    }
    for (const auto& [from, to] : decided.renumbered)
      if (auto found = docs_.find(from); found != docs_.end()) note(DocId(found->second), to);
    std::vector<DocId> owed;
    for (const auto& papers : decided.taken_over) owed.push_back(add(papers));
    for (const auto& papers : decided.resumed)
      if (auto found = docs_.find(papers.id); found != docs_.end()) {
        add_risks(found->second, papers);
        owed.push_back(found->second);
      }
    // Guards against a vote, or a change of holders, that a restart would not remember.
    if (!decided.states_to_persist.empty() || !owed.empty() || !kept_) kept_ = store_.flush();
    if (kept_)
      for (const auto& send : decided.sends)
        place_.link.send(send.to, Channel::custody, packed(send.message));
    each(decided.accepted, [this](DocId doc) { around_.answer_client(doc, true); });
    each(decided.not_accepted, [this](DocId doc) { around_.answer_client(doc, false); });
    each(decided.relinquished, [this](DocId doc) {
      forget(doc);
      around_.discard_document(doc);
    });
    each(decided.suspended, [this](DocId doc) { around_.decision.withdraw(doc); });
    for (DocId doc : owed)
      if (auto held = store_.documents().find(doc); held != store_.documents().end()) {
        if (held->second.ended) untold_.insert(doc);
        else around_.resume_document(doc);
      }
    for (DocId doc : std::exchange(untold_, {}))
      if (store_.documents().count(doc) && may_report_end(doc)) around_.resume_document(doc);
    if (!decided.cleared_transmissions.empty())
      around_.begin_turn();  // the relay asks again for each call that it keeps back
    for (const auto& line : decided.log_lines) say(line);
    if (held_ != !custody_->holds_lease()) around_.begin_turn();
    if (decided.wake_in >= 0) due_.set(EventLoop::monotonic_time() + decided.wake_in);
  }
  template <typename Do>
  void each(const std::vector<GlobalDocId>& deeds, Do what) {
    for (const auto& deed : deeds)
      if (auto found = docs_.find(deed); found != docs_.end()) what(DocId(found->second));
  }

  // A document of another, this relay's from now on: it is owed even where the store has no room for it, by
  // this process and the copies.
  DocId add(const DocumentState& papers) {
    if (auto found = docs_.find(papers.id); found != docs_.end()) return found->second;
    StoredDocument held;
    try {
      held = Store::decode(papers.record);
    } catch (const std::exception& error) {
      log_line("documents: a copy cannot be read: %s", error.what());
      return {};
    }
    auto wall = EventLoop::wall_time();
    held.expiry = wall + papers.time_left, held.transmissions = papers.transmission_count;
    held.in_doubt.clear();
    for (const auto& risk : papers.in_doubt)
      held.in_doubt.push_back({risk.number, wall - risk.age, risk.zone});
    std::ranges::sort(held.in_doubt, {}, &StoredDocument::Transmission::sent_at);
    auto doc = store_.add(std::move(held));
    quiet_ = true;
    store_.record_accepted(doc), note(doc, papers.id);
    quiet_ = false;
    return doc;
  }
  void add_risks(DocId doc, const DocumentState& papers) {
    const StoredDocument& held = store_.documents().at(doc);
    auto wall = EventLoop::wall_time();
    quiet_ = true;
    for (const auto& risk : papers.in_doubt)
      if (std::ranges::find(held.in_doubt, risk.number, &StoredDocument::Transmission::number) ==
          held.in_doubt.end())
        store_.record_transmission(doc, risk.number, wall - risk.age, risk.zone);
    quiet_ = false;
  }

  void say(const std::string& line) {
    auto now = around_.loop.now();
    if (now < said_at_ + lines_apart && ++unsaid_ > 3) return;
    if (now >= said_at_ + lines_apart) said_at_ = now, unsaid_ = 0;
    log_line("%s", line.c_str());
  }

  const ComponentContext place_;
  RelayContext& around_;
  Store& store_;
  std::unique_ptr<Custody> custody_;
  Timer due_;
  std::map<DocId, GlobalDocId> deeds_;
  std::map<GlobalDocId, DocId> docs_;
  std::set<DocId> untold_;    // ended, and no copy has that yet
  std::uint64_t before_ = 0;  // the highest number given before this start
  bool quiet_ = false;        // what is noted now is known to the module
  bool kept_ = true, held_ = false;
  Millis said_at_ = -1e18;
  int unsaid_ = 0;
};

}  // namespace

std::unique_ptr<FleetComponent> make_custody(const ComponentContext& place) {
  if (place.config.replica_count == 0) return nullptr;
  return std::make_unique<Keeping>(place);
}

}  // namespace rockcrank::peer
