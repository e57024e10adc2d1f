// All decisions of custody. The interface is custody.h; the rules at the end of this file are gone through,
// after every input, until none fires. The argument that no two relays own a document at once is in
// docs/fleet-documents.md; each step that it rests on is marked "Safety" here.
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

using Kind = CustodyMessage::Kind;
using EventKind = WireLogEntry::Kind;

constexpr Millis never = 1e18;
constexpr int beats_a_lease = 4;                  // renewals, and what was not answered sent again
constexpr double patience = 0.25;                 // of a lease: an owner just back comes before its copies
constexpr double return_patience = 2;             // leases that one that returned waits for an answer
constexpr double give_up_after = 4;               // leases without a lease: later documents begin a new group
constexpr std::size_t batch_bytes = 64 * 1024;    // of one message, but for one document larger than that
constexpr std::size_t window_bytes = 256 * 1024;  // on the way to one holder
constexpr std::size_t parts_out_most = 2;         // of a catch-up, on the way to one holder
constexpr std::size_t range_docs = 32, range_bytes = 64 * 1024;
constexpr std::size_t log_most = 262144;               // entries; a copy further behind gets what differs
constexpr std::size_t copies_bytes_most = 256u << 20;  // of all copies held for others
constexpr std::size_t inventory_docs = 1024;           // of one message
constexpr std::size_t upkeep_bytes = 160;              // of a document, beside its record
constexpr Millis keep_expired = 60000;                 // a copy whose owner is silent, after its expiry
constexpr Millis forget_after = 600000;   // a document that nobody can prove to own, after its expiry
constexpr std::size_t notes_most = 1024;  // of groups that this relay has nothing left of
constexpr std::size_t views_most = 4;     // that may count at once, while changes are not settled

enum class Role { former, holder, owner, returning };

struct Risk {
  int transmission = 0;
  Millis at = 0;
  ZoneId hall{};
  std::uint64_t event = 0;  // of the log, by which it is noted
};

struct Doc {
  DocumentState papers;  // but for its times
  Millis expiry = 0, copied_by = never;
  std::vector<Risk> risks;
  bool answered = true;
  std::uint64_t paper_event = 0, end_event = 0;
  std::size_t bytes() const { return papers.record.size() + upkeep_bytes; }
};

struct Entry {
  EventKind kind{};
  std::uint64_t deed = 0;
  Risk risk;
};

// What the owner knows of one holder.
struct Progress {
  std::uint64_t sent = 0, noted = 0;  // of the log
  bool whole = false, accepted = false;
  Millis lease_from = -never;  // the sending of the last renewal that was answered
  std::map<std::uint64_t, Millis> renewals;
  std::deque<std::pair<std::uint64_t, std::size_t>> flight;
  std::size_t flight_bytes = 0, parts_out = 0;
  std::deque<DocumentRange> todo;
  bool digests_out = false;
  std::uint64_t marked = 0;  // noted at the last beat
  void start_over(std::uint64_t end) {
    sent = whole ? noted : end, flight.clear(), flight_bytes = 0, parts_out = 0, todo.clear();
    digests_out = false;
  }
  void heard_of(std::uint64_t number) {
    noted = std::max(noted, number);
    for (; !flight.empty() && flight.front().first <= number; flight.pop_front())
      flight_bytes -= flight.front().second;
  }
};

struct Group {
  GroupId id;
  Role role = Role::former;
  Version voted;
  std::vector<Configuration> views;  // owner: each that may count, the newest last; else the newest known
  std::map<std::uint64_t, Doc> docs;
  std::uint64_t highest = 0;
  std::size_t bytes = 0;  // of docs

  // Owner.
  std::deque<Entry> log;  // the last is number log_end
  std::uint64_t log_end = 0, renewals = 0;
  std::map<RelayInstance, Progress> progress;
  bool acted = false, from_copies = false;
  Millis beat_at = 0, led_at = -never;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> to_answer;  // event, deed
  std::vector<std::pair<std::uint64_t, int>> to_go;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> to_tell;
  Version higher;  // voted for elsewhere

  // Holder.
  RelayInstance given_to;
  Millis given_until = -never, try_at = 0;
  std::uint64_t cursor = 0;
  bool whole = false;     // as of its owner's log, up to the cursor
  LogPosition position;   // of what is held, for votes; no term: nothing that counts
  bool aged = false;      // some copies were dropped for their age
  bool made_way = false;  // without room, the other holder was let go first

  // One that asks for votes.
  Version asked;
  bool trial = false, asking = false, objected = false;
  Millis asked_at = 0, asks_since = 0;
  std::set<std::pair<std::uint64_t, MemberId>> yes;  // by change of the view voted in
  std::map<MemberId, RelayInstance> voters;
  std::map<MemberId, std::pair<std::size_t, std::size_t>> inventories;  // entries got, of how many
  std::map<std::uint64_t, std::vector<DocumentState::InDoubtTransmission>> listed;  // of the inventories
  std::vector<std::pair<std::uint64_t, std::set<std::uint64_t>>>
      held_by;  // highest, and deeds, of whole ones

  const Configuration& view() const { return views.back(); }
  Version term() const { return views.empty() ? Version{} : views.back().term; }
};

bool sits(const Configuration& view, const RelayInstance& seat) {
  return view.owner == seat || std::ranges::find(view.replicas, seat) != view.replicas.end();
}
bool sits(const Configuration& view, MemberId member) {
  return view.owner.member == member ||
         std::ranges::any_of(view.replicas, [&](const RelayInstance& seat) { return seat.member == member; });
}
// Only two holders can elect another owner, so only a view with two binds its owner to a lease.
bool binds(const Configuration& view) { return view.replicas.size() == 2; }

std::uint64_t sum_of(std::uint64_t number, const Doc& doc) {
  std::vector<std::uint64_t> all{number, static_cast<std::uint64_t>(doc.papers.transmission_count),
                                 doc.papers.acceptance_confirmed + 2u * doc.papers.ended};
  std::vector<int> risks;
  for (const Risk& risk : doc.risks) risks.push_back(risk.transmission);
  std::ranges::sort(risks);
  for (int risk : risks) all.push_back(static_cast<std::uint64_t>(risk));
  return XXH3_64bits(all.data(), all.size() * sizeof all[0]);
}

class Keeper final : public Custody {
 public:
  Keeper(const Roster& roster, MemberId self, Incarnation own, const CustodySettings& settings,
         std::uint64_t seed)
      : self_{self, own},
        set_(settings),
        chance_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {
    // The next on the ring of members, those of another hall first.
    auto own_at = std::ranges::find(roster, self, &Member::id);
    for (bool other_hall : {true, false})
      for (std::size_t step = 1; step < roster.size(); ++step) {
        auto at = (static_cast<std::size_t>(own_at - roster.begin()) + step) % roster.size();
        if ((roster[at].zone != own_at->zone) == other_hall) ring_.push_back(roster[at].id);
      }
    for (const auto& member : roster) names_[member.id] = member.name;
    current_ = {self, own.number};
  }

  void begin_turn(Millis now) override {
    now_ = std::max(now_, now);
    if (started_ < 0) started_ = now_;
  }

  void restore_group(const PersistentGroupState& note) override {
    Group& g = groups_[note.group];
    g.id = note.group, g.voted = note.voted_term, g.views = note.configurations,
    g.highest = note.highest_document;
    g.role = note.is_owner ? Role::returning : Role::former;
    g.asks_since = now_;
    if (note.group.origin == self_.member && note.group.number >= current_.number)
      current_.number = note.group.number + 1;
  }
  void add_past_incarnation(Incarnation life) override { lived_.insert(life); }

  void on_member_change(MemberId member, Incarnation life, MemberState condition) override {
    known_[member] = {life, condition};
  }
  void on_link_change(MemberId peer, bool up) override {
    for (auto& [id, g] : groups_)
      for (auto& [seat, progress] : g.progress)
        if (seat.member == peer) progress.start_over(g.log_end);
    if (up)
      for (auto& [id, g] : groups_) g.beat_at = now_, g.asked_at = std::min(g.asked_at, now_ - beat());
  }
  void leave() override { leaving_ = true; }
  void set_has_capacity(bool any) override { room_ = any; }

  void on_message(MemberId from, const CustodyMessage& m) override {
    if (m.sender.member != from || from == self_.member) return;
    switch (m.kind) {
      case Kind::propose_configuration: return proposed(m);
      case Kind::renew_lease: return renew(m);
      case Kind::append_entries: return stream(m);
      case Kind::range_digests: return digests(m);
      case Kind::range_documents: return part(m);
      case Kind::request_vote: return asked(m);
      case Kind::vote: return vote(m);
      case Kind::inventory: return inventory(m);
      case Kind::refused: return refused(m);
      case Kind::configuration_accepted:
      case Kind::lease_renewed:
      case Kind::entries_acknowledged:
      case Kind::request_ranges: return answer(m);
    }
  }

  GlobalDocId next_document_id(std::uint64_t number) override {
    return {current_.origin, current_.number, number};
  }

  void accept(const DocumentState& papers) override {
    Group& g = own_group(papers.id.group());
    Doc& doc = hold(g, papers);
    doc.answered = !set_.wait_for_replica, doc.papers.acceptance_confirmed = doc.answered;
    doc.paper_event = log(g, {EventKind::document, papers.id.document_number, {}});
    if (doc.answered) return;
    doc.copied_by = now_ + set_.replication_timeout;
    g.to_answer.emplace_back(doc.paper_event, papers.id.document_number);
  }

  void restore_document(const DocumentState& papers, std::uint64_t highest) override {
    auto id = papers.id.group();
    bool known = groups_.count(id) > 0;
    Group& g = own_group(id);
    // Without a note nothing of the group was ever proposed, or the note is damaged: the others are asked.
    if (!known && id != current_) g.role = Role::returning, g.asks_since = now_;
    if (g.role == Role::former || g.role == Role::holder) {
      // Killed after it was known who took over, before the document was let go.
      if (id.origin != self_.member || papers.id.document_number <= g.highest)
        return done_.relinquished.push_back(papers.id);
      DocumentState mine = papers;
      mine.id = next_document_id(papers.id.document_number);
      done_.renumbered.emplace_back(papers.id, mine.id);
      return restore_document(mine, highest);
    }
    hold(g, papers).papers.acceptance_confirmed = true;
    // Of a group that was taken over here nobody adds documents: its note tells the highest.
    if (g.id.origin == self_.member) g.highest = std::max(g.highest, highest);
    if (g.role == Role::owner) g.acted = false;
  }

  void record_transmission(const GlobalDocId& deed, int transmission, ZoneId hall) override {
    auto [g, doc] = own(deed);
    if (!doc) return;
    doc->papers.transmission_count = std::max(doc->papers.transmission_count, transmission + 1);
    Risk risk{transmission, now_, hall, 0};
    risk.event = log(*g, {EventKind::transmission_started, deed.document_number, risk});
    doc->risks.push_back(risk);
    if (!acts(*g) || !goes(*g, *doc, transmission)) g->to_go.emplace_back(deed.document_number, transmission);
  }
  void record_never_ran(const GlobalDocId& deed, int transmission) override {
    auto [g, doc] = own(deed);
    if (!doc) return;
    std::erase_if(doc->risks, [&](const Risk& risk) { return risk.transmission == transmission; });
    log(*g, {EventKind::transmission_never_ran, deed.document_number, {transmission, 0, {}, 0}});
  }
  void record_ended(const GlobalDocId& deed, const std::string& record) override {
    auto [g, doc] = own(deed);
    if (!doc || doc->papers.ended) return;
    g->bytes -= doc->bytes();
    doc->papers.record = record, doc->papers.ended = true;
    g->bytes += doc->bytes();
    doc->end_event = log(*g, {EventKind::document, deed.document_number, {}});
    if (!may_report_end(deed)) g->to_tell.emplace_back(doc->end_event, deed.document_number);
  }
  void remove(const GlobalDocId& deed) override {
    auto [g, doc] = own(deed);
    if (!doc) return;
    drop(*g, deed.document_number);
    log(*g, {EventKind::removed, deed.document_number, {}});
  }

  bool owns(const GlobalDocId& deed) const override {
    auto found = groups_.find(deed.group());
    return found != groups_.end() && found->second.acted && acts(found->second) &&
           found->second.docs.count(deed.document_number) > 0;
  }
  bool is_accepted(const GlobalDocId& deed) const override {
    auto doc = find(deed);
    return doc && doc->answered;
  }
  bool may_send(const GlobalDocId& deed, int transmission) const override {
    auto doc = find(deed);
    return doc && owns(deed) && goes(groups_.at(deed.group()), *doc, transmission);
  }
  bool may_report_end(const GlobalDocId& deed) const override {
    auto doc = find(deed);
    return doc && owns(deed) && doc->papers.ended && doc->end_event <= proven(groups_.at(deed.group()));
  }
  bool holds_lease() const override {
    auto found = groups_.find(current_);
    return found == groups_.end() || acts(found->second);
  }
  Statistics statistics() const override {
    Statistics all = count_;
    for (const auto& [id, g] : groups_) {
      all.groups += g.role != Role::former;
      (g.role == Role::holder ? all.replicated_documents : all.owned_documents) += g.docs.size();
    }
    all.replicated_bytes = copies_bytes();
    return all;
  }

  Actions decide() override {
    own_group(current_);
    // From the first rule anew after each that fired: what is told to the host comes last, when all else is
    // settled.
    for (bool fired = true; fired;) {
      fired = false;
      for (const auto& rule : rules) {
        for (auto& [id, g] : groups_)
          if ((this->*rule.when)(g)) (this->*rule.then)(g), fired = true;
        if (fired) break;
      }
    }
    forget();
    done_.wake_in = next_due();
    return std::exchange(done_, {});
  }

 private:
  Millis beat() const { return set_.lease_duration / beats_a_lease; }
  double drawn(double low, double high) { return std::uniform_real_distribution<double>(low, high)(chance_); }
  const std::string& name(MemberId member) const {
    static const std::string nobody = "nobody";
    auto found = names_.find(member);
    return found == names_.end() ? nobody : found->second;
  }
  void say(const char* what, const Group& g, MemberId other, std::uint64_t number) {
    char line[110];
    std::snprintf(line, sizeof line, "documents: %s, group %.20s %llu, %.20s: %llu", what,
                  name(g.id.origin).c_str(), static_cast<unsigned long long>(g.id.number),
                  name(other).c_str(), static_cast<unsigned long long>(number));
    done_.log_lines.push_back(line);
  }
  bool lives(const RelayInstance& seat) const {
    auto found = known_.find(seat.member);
    return found != known_.end() && found->second.first == seat.incarnation && is_up(found->second.second);
  }
  static bool is_up(MemberState condition) {
    return condition == MemberState::alive || condition == MemberState::suspect;
  }
  RelayInstance present(MemberId member) const {  // filled: it lives
    auto found = known_.find(member);
    if (found == known_.end() || !is_up(found->second.second)) return {};
    return {member, found->second.first};
  }

  // Documents.
  Group& own_group(GroupId id) {
    Group& g = groups_[id];
    if (!g.views.empty()) return g;
    g.id = id, g.role = Role::owner, g.led_at = now_, g.acted = true;
    g.views = {Configuration{{1, self_.member}, 0, self_, {}}};
    g.voted = g.term();
    return g;
  }
  Doc& hold(Group& g, const DocumentState& papers) {
    drop(g, papers.id.document_number);
    Doc& doc = g.docs[papers.id.document_number];
    doc.papers = papers, doc.papers.in_doubt.clear();
    doc.expiry = now_ + papers.time_left;
    for (const auto& risk : papers.in_doubt)
      doc.risks.push_back({risk.number, now_ - risk.age, risk.zone, 0});
    g.bytes += doc.bytes(), g.highest = std::max(g.highest, papers.id.document_number);
    return doc;
  }
  void drop(Group& g, std::uint64_t number) {
    auto found = g.docs.find(number);
    if (found == g.docs.end()) return;
    g.bytes -= found->second.bytes();
    g.docs.erase(found);
  }
  DocumentState papers_of(const Doc& doc) const {
    DocumentState papers = doc.papers;
    papers.time_left = doc.expiry - now_;
    for (const Risk& risk : doc.risks)
      papers.in_doubt.push_back({risk.transmission, now_ - risk.at, risk.hall});
    return papers;
  }
  std::pair<Group*, Doc*> own(const GlobalDocId& deed) {
    auto found = groups_.find(deed.group());
    if (found == groups_.end() || found->second.role != Role::owner) return {};
    auto doc = found->second.docs.find(deed.document_number);
    if (doc == found->second.docs.end()) return {};
    return {&found->second, &doc->second};
  }
  const Doc* find(const GlobalDocId& deed) const {
    auto found = groups_.find(deed.group());
    if (found == groups_.end()) return nullptr;
    auto doc = found->second.docs.find(deed.document_number);
    return doc == found->second.docs.end() ? nullptr : &doc->second;
  }
  static GlobalDocId deed_of(const Group& g, std::uint64_t number) {
    return {g.id.origin, g.id.number, number};
  }
  std::size_t copies_bytes() const {
    std::size_t all = 0;
    for (const auto& [id, g] : groups_) all += g.role == Role::holder ? g.bytes : 0;
    return all;
  }
  std::uint64_t log(Group& g, Entry entry) {
    g.log.push_back(entry);
    if (g.log.size() > log_most) g.log.pop_front();
    return ++g.log_end;
  }

  // Safety: of each view that may count, a holder answered a renewal that was sent less than a lease ago. It
  // counts its promise from when the renewal came, and longer by the drift: it ends after this does.
  Millis lease_until(const Group& g) const {
    Millis until = never;
    for (const Configuration& view : g.views) {
      if (!binds(view)) continue;
      Millis best = -never;
      for (const RelayInstance& seat : view.replicas)
        if (auto found = g.progress.find(seat); found != g.progress.end())
          best = std::max(best, found->second.lease_from + set_.lease_duration);
      until = std::min(until, best);
    }
    return until;
  }
  bool acts(const Group& g) const { return g.role == Role::owner && now_ < lease_until(g); }

  std::uint64_t noted(const Group& g, const Configuration& view) const {
    std::uint64_t best = 0;
    for (const RelayInstance& seat : view.replicas)
      if (auto found = g.progress.find(seat); found != g.progress.end() && found->second.whole)
        best = std::max(best, found->second.noted);
    return best;
  }
  // Up to which entry of the log a copy has it, in each view that may count.
  std::uint64_t copied(const Group& g) const {
    std::uint64_t all = UINT64_MAX;
    for (const Configuration& view : g.views) all = std::min(all, noted(g, view));
    return all;
  }
  // Safety: up to which entry whoever may be elected surely has it. Nobody can be where two holders lack.
  std::uint64_t proven(const Group& g) const {
    std::uint64_t all = UINT64_MAX;
    for (const Configuration& view : g.views)
      if (binds(view)) all = std::min(all, noted(g, view));
    return all;
  }
  // Before it is answered nothing goes, so that one told to come again was surely never sent.
  bool goes(const Group& g, const Doc& doc, int transmission) const {
    if (!doc.answered) return false;
    if (!doc.papers.replicate_before_send) return true;
    auto risk = std::ranges::find(doc.risks, transmission, &Risk::transmission);
    return risk != doc.risks.end() && risk->event <= proven(g);
  }

  // Messages.
  CustodyMessage message(Kind kind, const Group& g) const {
    CustodyMessage m;
    m.kind = kind, m.group = g.id, m.sender = self_, m.term = g.term(), m.highest_document = g.highest;
    return m;
  }
  void send(MemberId to, CustodyMessage message) { done_.sends.push_back({to, std::move(message)}); }
  void refuse(const CustodyMessage& m, const Group& g) {
    auto no = message(Kind::refused, g);
    if (!g.views.empty()) no.configuration = g.view();
    no.term = g.voted;
    send(m.sender.member, std::move(no));
  }
  void note(const Group& g) {
    PersistentGroupState note{g.id,      g.voted, g.views, g.role == Role::owner || g.role == Role::returning,
                              g.highest, false};
    std::erase_if(done_.states_to_persist, [&](const auto& other) { return other.group == g.id; });
    done_.states_to_persist.push_back(std::move(note));
  }

  // Of an owner, as a holder.
  void proposed(const CustodyMessage& m) {
    const Configuration& view = m.configuration;
    if (m.sender != view.owner || view.replicas.size() > 2) return;
    auto found = groups_.find(m.group);
    bool seated = sits(view, self_);
    if (found == groups_.end() && !seated) return;
    Group& g = groups_[m.group];
    g.id = m.group;
    // Safety: who has voted for a later term, or knows a newer view, is nobody's holder of an older one.
    if (view.term < g.voted || (!g.views.empty() && g.view().newer_than(view))) return refuse(m, g);
    if (view.owner == self_) return;
    bool fresh = g.views.empty() || view.newer_than(g.view());
    if (fresh) {
      if (g.role == Role::owner || g.role == Role::returning) deposed(g, view, m.highest_document);
      bool same = !g.views.empty() && g.view().owner == view.owner && g.role == Role::holder;
      if (!same) g.whole = false;
      g.views = {view}, g.voted = view.term, g.asking = false;
      if (same && g.whole) g.position.term = view.term;
      if (!same) g.highest = m.highest_document;
      if (!seated) {
        release(g);
      } else g.role = Role::holder;
    }
    if (seated) give(g, view.owner);
    auto yes = message(Kind::configuration_accepted, g);
    yes.configuration.revision = view.revision, yes.number = m.number, yes.in_sync = g.whole,
    yes.position.index = g.cursor;
    send(m.sender.member, std::move(yes));
  }
  static void release(Group& g) {
    g.docs.clear(), g.bytes = 0;
    g.role = Role::former, g.position = {}, g.whole = g.asking = false;
  }
  void give(Group& g, const RelayInstance& owner) {
    g.given_to = owner, g.given_until = now_ + set_.lease_duration * (1 + set_.max_clock_drift),
    g.made_way = false;
    g.try_at = g.given_until + patience * set_.lease_duration * drawn(1, 2), g.asking = false;
  }
  // Whether this relay is the sender's holder, in its view.
  Group* holds_for(const CustodyMessage& m) {
    auto found = groups_.find(m.group);
    if (found == groups_.end()) return nullptr;
    Group& g = found->second;
    if (g.role == Role::holder && g.view().owner == m.sender && g.term() == m.term && g.voted == m.term)
      return &g;
    if (!g.views.empty()) refuse(m, g);
    return nullptr;
  }
  void renew(const CustodyMessage& m) {
    Group* g = holds_for(m);
    if (!g) return;
    give(*g, m.sender);
    auto yes = message(Kind::lease_renewed, *g);
    yes.number = m.number, yes.yes = leaving_;
    send(m.sender.member, std::move(yes));
  }
  void stream(const CustodyMessage& m) {
    Group* g = holds_for(m);
    if (!g || m.number == 0) return;
    auto number = m.number - 1;
    for (const auto& event : m.entries) {
      ++number;
      // One not whole takes what comes: what it lacks is found by the next digests.
      if (g->whole && number != g->cursor + 1) {
        if (number <= g->cursor) continue;
        break;
      }
      // Guards against an owner that fills this relay's memory: it is told no further, and goes elsewhere.
      if (event.kind == EventKind::document && !event.documents.empty() &&
          copies_bytes() + event.documents.front().record.size() > copies_bytes_most) {
        g->whole = false;
        break;
      }
      apply(*g, event);
      g->cursor = number;
    }
    note_back(*g, m);
  }
  void note_back(Group& g, const CustodyMessage& m) {
    if (g.whole) g.position = {g.term(), g.cursor};
    auto yes = message(Kind::entries_acknowledged, g);
    yes.number = g.cursor, yes.in_sync = g.whole;
    send(m.sender.member, std::move(yes));
  }
  void apply(Group& g, const WireLogEntry& event) {
    if (event.kind == EventKind::document) {
      if (!event.documents.empty() && event.documents.front().id == deed_of(g, event.document_number))
        hold(g, event.documents.front());
      return;
    }
    if (event.kind == EventKind::removed) return drop(g, event.document_number);
    auto found = g.docs.find(event.document_number);
    if (found == g.docs.end()) return;
    Doc& doc = found->second;
    std::erase_if(doc.risks, [&](const Risk& risk) {
      return event.kind != EventKind::acceptance_confirmed && risk.transmission == event.transmission.number;
    });
    if (event.kind == EventKind::acceptance_confirmed) doc.papers.acceptance_confirmed = true;
    if (event.kind == EventKind::transmission_started) {
      doc.risks.push_back(
          {event.transmission.number, now_ - event.transmission.age, event.transmission.zone, 0});
      doc.papers.transmission_count = std::max(doc.papers.transmission_count, event.transmission.number + 1);
    }
  }
  static std::uint64_t sum(const Group& g, const DocumentRange& range) {
    std::uint64_t all = 0;
    for (auto at = g.docs.lower_bound(range.first); at != g.docs.end() && at->first < range.end; ++at)
      all += sum_of(at->first, at->second);
    return all;
  }
  void digests(const CustodyMessage& m) {
    Group* g = holds_for(m);
    if (!g) return;
    auto wanted = message(Kind::request_ranges, *g);
    for (const auto& range : m.ranges)
      if (sum(*g, range) != range.digest) wanted.ranges.push_back(range);
    g->cursor = m.number;
    g->whole = wanted.ranges.empty();
    if (g->whole)
      return g->aged = false, g->highest = std::max(g->highest, m.highest_document), note_back(*g, m);
    send(m.sender.member, std::move(wanted));
  }
  void part(const CustodyMessage& m) {
    Group* g = holds_for(m);
    if (!g || m.ranges.size() != 1) return;
    const auto& range = m.ranges.front();
    std::size_t bytes = 0;
    for (const auto& papers : m.documents) bytes += papers.record.size() + upkeep_bytes;
    if (copies_bytes() + bytes > copies_bytes_most) return;
    for (auto at = g->docs.lower_bound(range.first); at != g->docs.end() && at->first < range.end;)
      drop(*g, (at++)->first);
    for (const auto& papers : m.documents)
      if (papers.id.group() == g->id) hold(*g, papers);
    auto had = message(Kind::request_ranges, *g);
    had.yes = true, had.ranges = m.ranges;
    send(m.sender.member, std::move(had));
  }

  // Of a holder, as the owner.
  void answer(const CustodyMessage& m) {
    auto found = groups_.find(m.group);
    if (found == groups_.end() || found->second.role != Role::owner || m.term != found->second.term()) return;
    Group& g = found->second;
    auto at = g.progress.find(m.sender);
    if (at == g.progress.end()) return;
    Progress& p = at->second;
    if (m.kind == Kind::configuration_accepted || m.kind == Kind::lease_renewed) {
      if (auto sent = p.renewals.find(m.number); sent != p.renewals.end()) {
        p.lease_from = std::max(p.lease_from, sent->second);
        p.renewals.erase(p.renewals.begin(), std::next(sent));
      }
      if (m.kind == Kind::lease_renewed && m.yes) leavers_.insert(m.sender);
      if (m.kind == Kind::configuration_accepted) {
        p.accepted = p.accepted || m.configuration.revision == g.view().revision;
        if (!m.in_sync && p.whole) p.whole = false, p.start_over(g.log_end);
        if (m.in_sync && !p.whole && m.position.index <= g.log_end &&
            m.position.index + g.log.size() >= g.log_end)
          p.whole = true, p.noted = p.sent = m.position.index;
      }
    } else if (m.kind == Kind::entries_acknowledged) {
      if (m.number > g.log_end) return;
      if (m.in_sync && !p.whole) {
        p.whole = true, p.noted = 0, p.todo.clear(), p.parts_out = 0, p.digests_out = false;
        p.sent = std::max(p.sent, m.number);
      } else if (!m.in_sync && p.whole) {
        p.whole = false, p.start_over(g.log_end);  // it had no room, or lost its place
      }
      p.heard_of(m.number);
    } else if (m.yes) {
      p.parts_out -= p.parts_out > 0;
    } else {
      p.digests_out = false;
      p.todo.assign(m.ranges.begin(), m.ranges.end());
    }
  }
  void refused(const CustodyMessage& m) {
    auto found = groups_.find(m.group);
    if (found == groups_.end()) return;
    Group& g = found->second;
    g.higher = std::max(g.higher, m.term);
    if (!g.views.empty() && !m.configuration.owner.is_valid()) return;
    learn(g, m.configuration, m.highest_document);
  }
  // A view that another member knows, newer than what is known here.
  void learn(Group& g, const Configuration& view, std::uint64_t highest) {
    if (g.views.empty() || view.term <= g.term()) {
      // As one that lost its place meanwhile: a holder that was replaced, by its own owner.
      if (g.views.empty() || g.role != Role::holder || !view.newer_than(g.view()) || sits(view, self_))
        return;
      g.views = {view};
      return release(g);
    }
    if (view.owner == self_) return;
    if (g.role == Role::owner || g.role == Role::returning) deposed(g, view, highest);
    if (!sits(view, self_)) release(g);
    else g.role = Role::holder;
    g.whole = g.asking = false;
    g.views = {view}, g.voted = std::max(g.voted, view.term), g.highest = highest;
    g.try_at = now_ + set_.lease_duration * (1 + set_.max_clock_drift);
    if (g.role == Role::former) note(g);
  }

  // Another owns the group: what it knew of is its own now; what it never heard of stays here, as new.
  void deposed(Group& g, const Configuration& by, std::uint64_t highest) {
    say("taken over by another", g, by.owner.member, g.docs.size());
    if (g.id == current_) ++current_.number;
    std::vector<std::pair<GlobalDocId, Doc>> kept;
    for (auto at = g.docs.begin(); at != g.docs.end();) {
      auto [number, doc] = *at++;
      if (number > highest && g.id.origin == self_.member) {
        kept.emplace_back(deed_of(g, number), doc);
        drop(g, number);
        continue;
      }
      // Whoever has it now owes it: its client may hear so.
      if (!doc.answered) done_.accepted.push_back(deed_of(g, number));
      done_.relinquished.push_back(deed_of(g, number));
    }
    if (g.role == Role::returning) g.position = {};
    else if (!g.from_copies) g.position = {g.term(), g.log_end};
    g.from_copies = false;
    g.log.clear(), g.progress.clear(), g.to_answer.clear(), g.to_tell.clear();
    g.views = {by}, g.role = Role::former, g.asking = false, g.highest = highest;
    auto to_go = std::exchange(g.to_go, {});
    note(g);
    for (auto& [deed, doc] : kept) {
      doc.papers.id = next_document_id(deed.document_number);
      Group& to = own_group(doc.papers.id.group());
      done_.renumbered.emplace_back(deed, doc.papers.id);
      Doc& moved = to.docs[deed.document_number] = doc;
      to.bytes += moved.bytes(), to.highest = std::max(to.highest, deed.document_number);
      moved.paper_event = log(to, {EventKind::document, deed.document_number, {}});
      for (Risk& risk : moved.risks) risk.event = moved.paper_event;
      if (moved.papers.ended) {
        moved.end_event = moved.paper_event;
        to.to_tell.emplace_back(moved.end_event, deed.document_number);
      }
      if (!moved.answered) to.to_answer.emplace_back(moved.paper_event, deed.document_number);
    }
    for (const auto& [number, transmission] : to_go) {
      auto& to = groups_[current_];
      if (to.docs.count(number)) to.to_go.emplace_back(number, transmission);
    }
  }

  // Votes.
  void asked(const CustodyMessage& m) {
    auto found = groups_.find(m.group);
    bool mine =
        m.configuration.owner.member == m.sender.member;  // the owner itself, in this life or a later one
    RelayInstance place;                                  // of this relay, maybe in an earlier life
    for (const RelayInstance& seat : m.configuration.replicas)
      if (seat.member == self_.member) place = seat;
    if (m.configuration.owner.member == self_.member) place = m.configuration.owner;
    bool present = place == self_;
    CustodyMessage no;
    no.kind = Kind::vote, no.group = m.group, no.sender = self_, no.term = m.term, no.pre_vote = m.pre_vote;
    no.configuration.revision = m.configuration.revision;
    auto deny = [&] {
      if (found != groups_.end() && !found->second.views.empty()) {
        no.configuration = found->second.view(), no.term = found->second.voted,
        no.highest_document = found->second.highest;
        no.number = m.configuration.revision;
      }
      send(m.sender.member, no);
    };
    if (found == groups_.end() && (!place.is_valid() || present || !mine)) return deny();
    // Safety: a restarted holder has lost its copies, but its folder tells how it voted; by its word nobody
    // but the owner goes on, who has all. A folder that did not see that life tells nothing.
    if (!present && !(mine && place.is_valid() && lived_.count(place.incarnation) > 0)) return deny();
    // Safety: nor does it know whom that life gave a lease to, so it waits for the end of any.
    if (!present && now_ < started_ + set_.lease_duration * (1 + set_.max_clock_drift)) return deny();
    Group& g = groups_[m.group];
    g.id = m.group;
    bool again = g.voted == m.term && !m.pre_vote && g.asked == m.term && g.given_to == m.sender;
    if (!again) {
      if (m.term <= g.voted) return deny();
      // Safety: by its last vote before its restart another may own the group: with its copies it lost
      // whether.
      if (!present && g.voted > m.configuration.term && g.voted.origin != m.sender.member) return deny();
      if (g.role == Role::owner || g.role == Role::returning) return deny();
      if (!g.views.empty()) {
        const Configuration& known = g.view();
        if (known.term > m.configuration.term) return deny();
        // Safety: an owner that knows less of its own changes than its holder has an older folder.
        if (mine && known.term == m.configuration.term && known.revision > m.number) return deny();
        if (!mine && known.newer_than(m.configuration)) return deny();
      }
      // Safety: not before the lease given to another has surely ended.
      if (now_ < g.given_until && g.given_to != m.sender) return deny();
      if (present && g.role == Role::holder) {
        // Safety: nobody is elected who lacks what this copy has.
        bool has = g.position.term.counter > 0;
        if (mine ? has && m.recovering && m.highest_document < g.highest : !has || m.position < g.position)
          return deny();
      } else if (!mine) return deny();
    }
    CustodyMessage yes = no;
    yes.yes = true, yes.number = m.configuration.revision, yes.configuration = {},
    yes.highest_document = g.highest;
    if (m.pre_vote) return send(m.sender.member, yes);
    if (!again) {
      g.voted = g.asked = m.term, g.asking = false, g.given_to = m.sender, g.given_until = -never;
      g.try_at = now_ + set_.lease_duration * (1 + set_.max_clock_drift) * drawn(1, 1.5);
      if (g.views.empty()) g.views = {m.configuration}, g.role = Role::former;
      note(g);
    }
    // One that returned may have an older folder, or have ended what was not told: it hears what is here.
    if (m.recovering && present && g.role == Role::holder && g.position.term.counter > 0) {
      auto list = message(Kind::inventory, g);
      list.term = m.term, list.in_sync = g.whole && !g.aged,
      list.number = yes.position.index = g.docs.size() + 1;
      auto flush = [&](bool last) {
        list.yes = last;
        send(m.sender.member, list);
        list.documents.clear();
      };
      for (const auto& [number, doc] : g.docs) {
        DocumentState papers = papers_of(doc);
        papers.record.clear();
        list.documents.push_back(std::move(papers));
        if (list.documents.size() >= inventory_docs) flush(false);
      }
      flush(true);
    }
    send(m.sender.member, yes);
  }
  void vote(const CustodyMessage& m) {
    auto found = groups_.find(m.group);
    if (found == groups_.end()) return;
    Group& g = found->second;
    if (!m.yes) {
      g.higher = std::max(g.higher, m.term);
      if (!m.configuration.owner.is_valid()) return;
      // Safety: of its own changes it knows less than another does: an older folder, which must not go on.
      if (g.role == Role::returning && m.configuration.newer_than(g.view())) g.objected = true;
      return learn(g, m.configuration, m.highest_document);
    }
    if (!g.asking || m.term != g.asked || m.pre_vote != g.trial) return;
    // Safety: the answers of one vote are not those of another, nor of another life of the voter.
    if (auto before = g.voters.find(m.sender.member); before != g.voters.end() && before->second != m.sender)
      return;
    g.yes.insert({m.number, m.sender.member}), g.voters[m.sender.member] = m.sender;
    if (m.position.index > 0) g.inventories[m.sender.member].second = m.position.index;
  }
  void inventory(const CustodyMessage& m) {
    auto found = groups_.find(m.group);
    if (found == groups_.end()) return;
    Group& g = found->second;
    if (!g.asking || g.trial || m.term != g.asked || g.role != Role::returning) return;
    auto& [got, all] = g.inventories[m.sender.member];
    if (got == 0) g.held_by.push_back({m.in_sync ? m.highest_document : 0, {}});
    got += m.documents.size() + m.yes, all = m.number;
    for (const auto& papers : m.documents) {
      g.held_by.back().second.insert(papers.id.document_number);
      for (const auto& risk : papers.in_doubt) {
        auto& risks = g.listed[papers.id.document_number];
        risks.push_back(risk);
      }
    }
  }

  // The rules. Of one that wants to own.
  bool wants_votes(Group& g) {
    if (g.asking) return now_ >= g.asked_at + beat();
    if (g.role == Role::returning) return true;
    // A later term was voted for elsewhere, by nobody's election yet: only by a term of its own it goes on.
    // So does one whose holders restarted: their folders tell that nobody was elected.
    if (g.role == Role::owner)
      return now_ >= g.try_at && std::ranges::any_of(g.views, binds) &&
             (g.higher > g.term() || (!acts(g) && now_ >= g.led_at + set_.lease_duration));
    return g.role == Role::holder && binds(g.view()) && now_ >= g.try_at && now_ >= g.given_until &&
           g.position.term.counter > 0;
  }
  void ask(Group& g) {
    bool owner = g.role != Role::holder;
    // Without room, the other holder goes first; nobody else: a document is owed all the same.
    if (!room_ && !owner && !g.asking) {
      if (!std::exchange(g.made_way, true)) return void(g.try_at = now_ + 2 * set_.lease_duration);
    }
    bool trial = g.role == Role::holder && !g.trial;
    if (g.asking && g.role == Role::holder && !trial) trial = true;  // the vote came to nothing
    begin_vote(g, trial);
  }
  void begin_vote(Group& g, bool trial) {
    bool repeat =
        g.asking && !trial && !g.trial && g.asked == g.voted && g.role != Role::holder && g.higher <= g.asked;
    if (!repeat) {
      if (g.role == Role::returning && !g.asking) g.asks_since = now_;
      auto above = std::max({g.voted, g.term(), g.higher});
      g.asked = {above.counter + 1, self_.member};
      g.yes.clear(), g.voters.clear(), g.inventories.clear(), g.listed.clear(), g.held_by.clear();
      if (!trial) g.voted = g.asked, note(g);
    } else {
      g.inventories.clear(), g.listed.clear(), g.held_by.clear();
    }
    g.asking = true, g.trial = trial, g.asked_at = now_;
    for (const Configuration& view : g.views) {
      auto m = message(Kind::request_vote, g);
      m.configuration = view, m.term = g.asked, m.pre_vote = trial, m.recovering = g.role == Role::returning;
      m.number = g.view().revision;
      m.position = g.role == Role::holder ? g.position : LogPosition{g.term(), g.log_end};
      for (const RelayInstance& seat : view.replicas)
        if (seat.member != self_.member) send(seat.member, m);
      if (view.owner.member != self_.member) send(view.owner.member, m);
    }
    // One that returned asks all others too: whoever knows of a later owner says so.
    if (g.role == Role::returning)
      for (MemberId other : ring_)
        if (!sits(g.view(), other)) {
          auto m = message(Kind::request_vote, g);
          m.configuration = g.view(), m.term = g.asked, m.pre_vote = true, m.recovering = true,
          m.number = g.view().revision;
          send(other, m);
        }
  }
  // Safety: a majority of three in each view that may count: this relay and one other seat of it.
  bool is_elected(Group& g) {
    if (!g.asking || g.role == Role::former || (!g.trial && g.voted != g.asked)) return false;
    if (g.role == Role::holder && !binds(g.view())) return false;
    for (const Configuration& view : g.views)
      if (binds(view) && std::ranges::none_of(g.yes, [&](const auto& vote) {
            return vote.first == view.revision && sits(view, vote.second);
          }))
        return false;
    if (g.role != Role::returning) return true;
    if (g.objected) return false;
    for (const auto& [member, list] : g.inventories)
      if (list.first != list.second) return false;
    // The other holders' word is waited for while they live: the folder may be older than what they know.
    bool waited = now_ >= g.asks_since + return_patience * set_.lease_duration;
    if (!waited && !binds(g.view()) && !ring_.empty()) return false;
    for (const Configuration& view : g.views)
      for (const RelayInstance& seat : view.replicas)
        if (!waited && !g.voters.count(seat.member)) {
          auto known = known_.find(seat.member);
          if (known == known_.end() || known->second.second != MemberState::dead) return false;
        }
    return true;
  }
  void elect(Group& g) {
    if (g.trial) return begin_vote(g, false);
    bool returned = g.role == Role::returning, taken = g.role == Role::holder;
    Configuration before = g.view(), next;
    next.term = g.asked, next.owner = self_;
    for (const RelayInstance& seat : before.replicas)
      if (seat.member != self_.member) {
        auto voter = g.voters.find(seat.member);
        next.replicas.push_back(voter == g.voters.end() || !sits(before, seat.member) ? seat : voter->second);
      }
    // Safety: the same three seats, so that the next election meets this one; the old owner's is a holder's
    // now.
    if (before.owner.member != self_.member) next.replicas.push_back(before.owner);
    g.asking = false, g.trial = false, g.views = {next}, g.beat_at = now_, g.led_at = now_;
    g.try_at = now_ + set_.lease_duration;
    if (returned) reconcile(g);
    if (taken) {
      g.log_end = g.position.index, g.log.clear(), g.from_copies = true, g.acted = false;
      ++count_.takeovers;
      say("takes over", g, before.owner.member, g.docs.size());
    }
    if (returned || taken) {
      g.progress.clear(), g.role = Role::owner, g.acted = false;
      // The entries of another log say nothing in this one.
      for (auto& [number, doc] : g.docs) {
        doc.paper_event = doc.end_event = 0;
        for (Risk& risk : doc.risks) risk.event = 0;
      }
    }
    std::erase_if(g.progress, [&](const auto& at) { return !sits(next, at.first); });
    for (auto& [seat, progress] : g.progress) progress.accepted = false;
    note(g);
  }
  // What the copies know that the folder does not: risks; and what was over, where the folder is older.
  void reconcile(Group& g) {
    for (auto& [number, risks] : g.listed)
      if (auto found = g.docs.find(number); found != g.docs.end())
        for (const auto& risk : risks) {
          Doc& doc = found->second;
          auto known = std::ranges::find(doc.risks, risk.number, &Risk::transmission);
          if (known == doc.risks.end()) doc.risks.push_back({risk.number, now_ - risk.age, risk.zone, 0});
          doc.papers.transmission_count = std::max(doc.papers.transmission_count, risk.number + 1);
        }
    for (const auto& [highest, deeds] : g.held_by)
      for (auto at = g.docs.begin(); at != g.docs.end();) {
        auto number = (at++)->first;
        if (number > highest || deeds.count(number)) continue;
        done_.relinquished.push_back(deed_of(g, number));
        drop(g, number);
      }
    g.listed.clear(), g.held_by.clear(), g.inventories.clear();
  }

  // Of an owner.
  bool may_act(Group& g) { return g.role == Role::owner && !g.acted && acts(g); }
  void act(Group& g) {
    g.acted = true, g.led_at = now_;
    bool taken = std::exchange(g.from_copies, false);
    for (auto& [number, doc] : g.docs) {
      // A document whose client may have been told to come again is taken for one that may have run.
      if (taken && doc.papers.replicate_before_send && !doc.papers.acceptance_confirmed &&
          doc.risks.empty() && !doc.papers.ended)
        doc.risks.push_back({doc.papers.transmission_count, now_, ZoneId(UINT32_MAX), 0});
      doc.papers.acceptance_confirmed = doc.answered = true, doc.copied_by = never;
      // Its end is told once a copy of this owner's has it too.
      if (doc.papers.ended && doc.end_event == 0) {
        doc.end_event = log(g, {EventKind::document, number, {}});
        g.to_tell.emplace_back(doc.end_event, number);
      }
      (taken ? done_.taken_over : done_.resumed).push_back(papers_of(doc));
    }
  }
  bool is_copied(Group& g) {
    return g.role == Role::owner && !g.to_answer.empty() && acts(g) && g.to_answer.front().first <= copied(g);
  }
  void answer_copied(Group& g) {
    auto upto = copied(g);
    while (!g.to_answer.empty() && g.to_answer.front().first <= upto) {
      auto number = g.to_answer.front().second;
      g.to_answer.pop_front();
      auto found = g.docs.find(number);
      if (found == g.docs.end() || found->second.answered) continue;
      found->second.answered = found->second.papers.acceptance_confirmed = true,
      found->second.copied_by = never;
      done_.accepted.push_back(deed_of(g, number));
      log(g, {EventKind::acceptance_confirmed, number, {}});
    }
  }
  bool is_too_late(Group& g) {
    if (g.to_answer.empty()) return false;
    auto found = g.docs.find(g.to_answer.front().second);
    return found == g.docs.end() || found->second.answered || now_ >= found->second.copied_by;
  }
  void turn_away(Group& g) {
    auto number = g.to_answer.front().second;
    g.to_answer.pop_front();
    auto found = g.docs.find(number);
    if (found == g.docs.end() || found->second.answered) return;
    done_.not_accepted.push_back(deed_of(g, number));
    drop(g, number);
    log(g, {EventKind::removed, number, {}});
  }
  bool some_may_go(Group& g) {
    return !g.to_go.empty() && acts(g) && std::ranges::any_of(g.to_go, [&](const auto& one) {
      auto found = g.docs.find(one.first);
      return found == g.docs.end() || goes(g, found->second, one.second);
    });
  }
  void let_some_go(Group& g) {
    std::erase_if(g.to_go, [&](const auto& one) {
      auto found = g.docs.find(one.first);
      if (found == g.docs.end()) return true;
      if (!goes(g, found->second, one.second)) return false;
      done_.cleared_transmissions.emplace_back(deed_of(g, one.first), one.second);
      return true;
    });
  }
  bool end_is_noted(Group& g) {
    return !g.to_tell.empty() && acts(g) && g.to_tell.front().first <= proven(g);
  }
  void tell_end(Group& g) {
    auto number = g.to_tell.front().second;
    g.to_tell.pop_front();
    if (g.docs.count(number)) done_.reportable_ends.push_back(deed_of(g, number));
  }

  // Safety: an older view no longer counts once a holder of it has the newest one: with the owner that is a
  // majority which elects nobody in the older one. Not before the newest has all that was noted.
  bool is_settled(Group& g) {
    if (g.role != Role::owner || g.views.size() < 2) return false;
    for (std::size_t i = 0; i + 1 < g.views.size(); ++i)
      if (binds(g.views[i]) && std::ranges::none_of(g.views[i].replicas, [&](const RelayInstance& seat) {
            auto found = g.progress.find(seat);
            return found != g.progress.end() && found->second.accepted;
          }))
        return false;
    Configuration last = g.views.back();
    return !binds(last) || noted(g, last) >= std::min(proven(g), g.log_end);
  }
  void settle(Group& g) {
    g.views.erase(g.views.begin(), g.views.end() - 1);
    std::erase_if(g.progress, [&](const auto& at) { return !sits(g.view(), at.first); });
    note(g);
  }

  // The two holders that the group should have: those that sit and live stay.
  std::vector<RelayInstance> wanted(const Group& g) const {
    std::vector<RelayInstance> seats;
    if (g.docs.empty() && g.id != current_) return seats;
    // One that leaves stays only for want of another: its copies go with it.
    for (bool leaving : {false, true}) {
      for (const RelayInstance& seat : g.view().replicas)
        if (seats.size() < 2 && lives(seat) && leavers_.count(seat) == leaving) seats.push_back(seat);
      for (MemberId other : ring_) {
        RelayInstance seat = present(other);
        if (seats.size() < 2 && seat.is_valid() && leavers_.count(seat) == leaving &&
            std::ranges::find(seats, other, &RelayInstance::member) == seats.end())
          seats.push_back(seat);
      }
    }
    return seats;
  }
  std::vector<RelayInstance> next_holders(Group& g) {
    auto seats = wanted(g);
    const auto& now = g.view().replicas;
    if (seats == now) return now;
    if (now.size() < 2) return seats;
    // Safety: of two holders one stays, so that no two views elect without a seat in common.
    std::vector<RelayInstance> kept;
    for (const RelayInstance& seat : now)
      if (lives(seat)) kept.push_back(seat);
    if (kept.empty()) return now;
    auto stays = [&](const RelayInstance& seat) { return std::ranges::find(seats, seat) != seats.end(); };
    // Of those that should stay the one that answered last: the lease goes on by it.
    std::ranges::stable_sort(kept, std::greater<>(), [&](const RelayInstance& seat) {
      auto found = g.progress.find(seat);
      return std::pair(stays(seat), found == g.progress.end() ? -never : found->second.lease_from);
    });
    if (seats.empty()) return {kept.front()};
    if (kept.size() == 2 && std::ranges::all_of(kept, stays)) return now;
    std::vector<RelayInstance> next{kept.front()};
    for (const RelayInstance& seat : seats)
      if (next.size() < 2 && seat != next.front()) next.push_back(seat);
    for (const Configuration& view : g.views)
      if (binds(view) && next.size() == 2 && std::ranges::none_of(view.replicas, [&](const RelayInstance& s) {
            return s == next[0] || s == next[1];
          }))
        return now;
    return next;
  }
  bool wants_change(Group& g) {
    if (g.role != Role::owner || g.asking || g.views.size() >= views_most) return false;
    return next_holders(g) != g.view().replicas;
  }
  void change(Group& g) {
    Configuration next = g.view();
    ++next.revision, next.replicas = next_holders(g);
    g.views.push_back(next), g.beat_at = now_;
    ++count_.configuration_changes;
    for (auto& [seat, progress] : g.progress) progress.accepted = false;
    note(g);
  }

  bool beat_is_due(Group& g) {
    return g.role == Role::owner && now_ >= g.beat_at &&
           std::ranges::any_of(g.views, [](const Configuration& view) { return !view.replicas.empty(); });
  }
  void send_beat(Group& g) {
    g.beat_at = now_ + beat();
    auto number = ++g.renewals;
    std::set<RelayInstance> seats;
    for (const Configuration& view : g.views) seats.insert(view.replicas.begin(), view.replicas.end());
    for (const RelayInstance& seat : seats) {
      auto [at, fresh] = g.progress.try_emplace(seat);
      Progress& p = at->second;
      if (fresh) p.sent = g.log_end;
      bool stuck = p.marked == p.noted && (p.sent > p.noted || !p.whole);
      if (std::exchange(p.marked, p.noted) == p.noted && stuck && !fresh) p.start_over(g.log_end);
      p.renewals[number] = now_;
      while (p.renewals.size() > 64) p.renewals.erase(p.renewals.begin());
      auto m = message(p.accepted ? Kind::renew_lease : Kind::propose_configuration, g);
      m.number = number;
      if (!p.accepted) m.configuration = g.view();
      send(seat.member, std::move(m));
    }
  }

  Progress* behind(Group& g, MemberId* to, bool stream) {
    if (g.role != Role::owner) return nullptr;
    for (auto& [seat, p] : g.progress) {
      *to = seat.member;
      if (p.lease_from <= -never) continue;  // not yet known to be the holder
      if (p.whole && p.sent + g.log.size() < g.log_end) p.whole = false, p.start_over(g.log_end);
      if (!p.whole && p.sent + g.log.size() < g.log_end) p.sent = g.log_end;
      if (stream ? p.sent < g.log_end && p.flight_bytes < window_bytes
                 : !p.whole && (!p.todo.empty() ? p.parts_out < parts_out_most
                                                : p.parts_out == 0 && !p.digests_out && p.sent == g.log_end))
        return &p;
    }
    return nullptr;
  }
  bool has_news(Group& g) {
    MemberId to{};
    return behind(g, &to, true) != nullptr;
  }
  void send_news(Group& g) {
    MemberId to{};
    Progress& p = *behind(g, &to, true);
    auto m = message(Kind::append_entries, g);
    m.number = p.sent + 1;
    std::size_t bytes = 0;
    for (auto at = g.log.size() - (g.log_end - p.sent); at < g.log.size() && bytes < batch_bytes; ++at) {
      const Entry& entry = g.log[at];
      WireLogEntry event{entry.kind, entry.deed, {}, {}};
      event.transmission = {entry.risk.transmission, now_ - entry.risk.at, entry.risk.hall};
      if (entry.kind == EventKind::document) {
        auto found = g.docs.find(entry.deed);
        if (found == g.docs.end()) event.kind = EventKind::no_op;
        else event.documents.push_back(papers_of(found->second)), bytes += found->second.bytes();
      }
      bytes += 64, ++p.sent;
      m.entries.push_back(std::move(event));
    }
    p.flight.emplace_back(p.sent, bytes), p.flight_bytes += bytes;
    send(to, std::move(m));
  }
  bool catches_up(Group& g) {
    MemberId to{};
    return behind(g, &to, false) != nullptr;
  }
  void catch_up(Group& g) {
    MemberId to{};
    Progress& p = *behind(g, &to, false);
    if (!p.todo.empty()) {
      auto m = message(Kind::range_documents, g);
      m.ranges.push_back(p.todo.front()), p.todo.pop_front();
      const auto& range = m.ranges.front();
      for (auto at = g.docs.lower_bound(range.first); at != g.docs.end() && at->first < range.end; ++at)
        m.documents.push_back(papers_of(at->second));
      ++p.parts_out;
      return send(to, std::move(m));
    }
    auto m = message(Kind::range_digests, g);
    m.number = g.log_end;
    DocumentRange range;
    std::size_t docs = 0, bytes = 0;
    for (const auto& [number, doc] : g.docs) {
      if (docs >= range_docs || bytes + doc.bytes() > range_bytes) {
        if (docs > 0) range.end = number, m.ranges.push_back(range), range = {number, 0, 0};
        docs = bytes = 0;
      }
      range.digest += sum_of(number, doc), ++docs, bytes += doc.bytes();
    }
    range.end = UINT64_MAX, m.ranges.push_back(range);
    p.digests_out = true;
    send(to, std::move(m));
  }

  // Guards against a relay that takes nothing on for as long as its holders are away: what comes from now on
  // is of another group, which nobody else knows of.
  bool lacks_lease_for_long(Group& g) {
    if (g.role == Role::owner && acts(g)) g.led_at = now_;
    return g.role == Role::owner && (g.id == current_ || g.acted) &&
           now_ >= g.led_at + give_up_after * set_.lease_duration;
  }
  void begin_anew(Group& g) {
    if (std::exchange(g.acted, false))
      for (const auto& [number, doc] : g.docs) done_.suspended.push_back(deed_of(g, number));
    if (g.id != current_) return;
    ++current_.number;
    say("no lease for long: further documents go apart", g, self_.member, g.docs.size());
  }

  bool some_are_past(Group& g) {
    Millis after = g.role == Role::holder ? keep_expired : forget_after;
    if (g.role == Role::holder && now_ < g.given_until + keep_expired) return false;
    if (g.role == Role::owner && acts(g)) return false;
    return std::ranges::any_of(g.docs, [&](const auto& at) { return now_ >= at.second.expiry + after; });
  }
  void drop_past(Group& g) {
    bool holder = g.role == Role::holder;
    for (auto at = g.docs.begin(); at != g.docs.end();) {
      auto number = at->first;
      bool past = now_ >= (at++)->second.expiry + (holder ? keep_expired : forget_after);
      if (!past) continue;
      if (holder) g.aged = true, g.whole = false;
      else done_.relinquished.push_back(deed_of(g, number));
      drop(g, number);
    }
    say("let go past their expiry, nobody can prove to own them", g, self_.member, g.docs.size());
  }

  // Groups that are over stay as a word on who owned them last, for one that returns late; not without end.
  void forget() {
    std::size_t idle = 0;
    for (auto& [id, g] : groups_) idle += is_idle(g);
    for (auto at = groups_.begin(); at != groups_.end() && idle > notes_most;) {
      if (!is_idle(at->second)) {
        ++at;
        continue;
      }
      PersistentGroupState note{at->first, {}, {}, false, 0, true};
      done_.states_to_persist.push_back(note);
      at = groups_.erase(at), --idle;
    }
  }
  bool is_idle(const Group& g) const {
    return g.id != current_ && g.docs.empty() &&
           (g.role == Role::former ||
            (g.role == Role::owner && g.views.size() == 1 && g.view().replicas.empty()));
  }

  Millis next_due() {
    Millis due = never;
    auto wake = [&](Millis when) { due = when > now_ ? std::min(due, when) : due; };
    for (auto& [id, g] : groups_) {
      if (g.asking) wake(g.asked_at + beat());
      if (g.role == Role::owner) {
        if (std::ranges::any_of(g.views, [](const Configuration& view) { return !view.replicas.empty(); }))
          wake(g.beat_at);
        if (!g.to_answer.empty())
          if (auto found = g.docs.find(g.to_answer.front().second); found != g.docs.end())
            wake(found->second.copied_by);
        if (!g.asking && std::ranges::any_of(g.views, binds) && (g.higher > g.term() || !acts(g)))
          wake(g.higher > g.term() ? g.try_at : std::max(g.try_at, g.led_at + set_.lease_duration));
        wake(g.led_at + give_up_after * set_.lease_duration);
      }
      if (g.role == Role::holder && binds(g.view()) && g.position.term.counter > 0 && !g.asking)
        wake(std::max(g.try_at, g.given_until));
      if (g.role == Role::returning) wake(g.asks_since + return_patience * set_.lease_duration);
    }
    return due >= never ? -1 : due - now_;
  }

  static constexpr Rule<Keeper, Group> rules[] = {
      {"votes are missing", &Keeper::wants_votes, &Keeper::ask},
      {"elected", &Keeper::is_elected, &Keeper::elect},
      {"a change is settled", &Keeper::is_settled, &Keeper::settle},
      {"a holder has gone, or could come", &Keeper::wants_change, &Keeper::change},
      {"the lease began", &Keeper::may_act, &Keeper::act},
      {"no lease for long", &Keeper::lacks_lease_for_long, &Keeper::begin_anew},
      {"copied", &Keeper::is_copied, &Keeper::answer_copied},
      {"not copied in time", &Keeper::is_too_late, &Keeper::turn_away},
      {"risks are noted", &Keeper::some_may_go, &Keeper::let_some_go},
      {"an end is noted", &Keeper::end_is_noted, &Keeper::tell_end},
      {"a beat", &Keeper::beat_is_due, &Keeper::send_beat},
      {"news for a holder", &Keeper::has_news, &Keeper::send_news},
      {"a holder catches up", &Keeper::catches_up, &Keeper::catch_up},
      {"past their expiry", &Keeper::some_are_past, &Keeper::drop_past},
  };

  const RelayInstance self_;
  const CustodySettings set_;
  std::minstd_rand chance_;
  std::vector<MemberId> ring_;  // the others, in the order in which they are wanted as holders
  std::map<MemberId, std::string> names_;
  std::map<MemberId, std::pair<Incarnation, MemberState>> known_;
  std::set<Incarnation> lived_;
  std::map<GroupId, Group> groups_;
  GroupId current_;
  Millis now_ = 0, started_ = -1;
  bool room_ = true, leaving_ = false;
  std::set<RelayInstance> leavers_;  // of other relays' lives
  Statistics count_;
  Actions done_;
};

}  // namespace

std::unique_ptr<Custody> Custody::make(const Roster& roster, MemberId self, Incarnation own,
                                       const CustodySettings& settings, std::uint64_t seed) {
  return std::make_unique<Keeper>(roster, self, own, settings, seed);
}

}  // namespace rockcrank::fleet
