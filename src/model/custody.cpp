// The runs of custody, and what must hold of it: never two processes that may act for a document, no
// acknowledged document lost while one holder of three is lost at a time, one end, nothing binding sent once
// it may have run, a take-over in time. The owner's decision module is a short stand-in that sends now and
// then until an end is due. It must never ask the module whom it believes to be the owner but by owns().
#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "model/fellow.h"
#include "model/part.h"

namespace rockcrank::model {

namespace {

using fleet::Custody;
using fleet::DocumentState;
using fleet::GlobalDocId;
using fleet::MemberId;

constexpr Millis lease = 2000, copy_within = 200, lifetime = 15000;
constexpr Millis settled_within = 20000 + lifetime;
constexpr Millis healed_after = 10000;  // a lost holder is replaced by then
constexpr Millis alone_before = 5000;   // no other fault so long before a kill, where nothing may be lost
constexpr Millis call_least = 1, call_most = 400;
constexpr int transmissions_most = 4;

struct OnDisk {
  GlobalDocId deed;
  int doc = 0, transmissions = 0;
  bool binding = false, ended = false;
  Millis expiry = 0;  // true time, as a wall clock has it
  std::string end;
  std::map<int, Millis> risks;
};

struct Disk {
  std::map<fleet::GroupId, fleet::PersistentGroupState> notes;
  std::map<std::uint64_t, OnDisk> docs;
  std::set<fleet::Incarnation> lives;
  std::uint64_t highest = 0;
};

class Keeper : public Upper {
 public:
  std::unique_ptr<Custody> custody;
  Disk disk;
  std::map<GlobalDocId, std::uint64_t> numbers;
  std::set<std::uint64_t> owed, out;
  std::function<void(std::uint64_t)> on_work;
  std::function<void(const Custody::Actions&)> on_decided;
  bool begun = false;

  void begin(Millis now) override {
    custody->begin_turn(now);
    if (begun) return;
    begun = true;
    recover();
  }
  std::function<void()> recover;
  void member(const fleet::Membership::Change& change) override {
    custody->on_member_change(change.member, change.incarnation, change.state);
  }
  void linked(MemberId peer, fleet::Incarnation, bool up) override { custody->on_link_change(peer, up); }
  void heard(MemberId from, const Payload& message) override {
    if (const auto* papers = std::get_if<fleet::CustodyMessage>(&message)) custody->on_message(from, *papers);
  }
  void work(std::uint64_t what) override { on_work(what); }
  Millis decide(Outbox& outbox) override {
    auto decided = custody->decide();
    on_decided(decided);
    for (auto& send : decided.sends) outbox.emplace_back(send.to, std::move(send.message));
    return decided.wake_in;
  }
  void drop(std::uint64_t number) {
    auto found = disk.docs.find(number);
    if (found == disk.docs.end()) return;
    numbers.erase(found->second.deed);
    disk.docs.erase(found), owed.erase(number), out.erase(number);
  }
};

class CustodyTrial : public Trial {
 public:
  explicit CustodyTrial(const Order& order) : order_(order) {}

  void begin(World& world) override {
    keepers_.resize(world.machines());
    Chance chance(mixed(world.seed(), 0x51));
    wait_ = chance.odds(0.75);
    int count = 30 + chance.below(world.shape().members > 30 ? 60 : 150);
    for (int i = 0; i < count; ++i) {
      Doc doc;
      doc.at = chance.between(6000, world.shape().healed), doc.place = chance.below(world.shape().members);
      doc.binding = chance.odds(0.5), doc.expiry = doc.at + chance.between(0.3, 1) * lifetime;
      docs_.push_back(doc);
      act(world, doc.at, {Act::hand_in, doc.place, 0, i, 0, {}, 0, 0});
    }
    strict_ = nothing_may_be_lost(world);
    quiet_ = std::all_of(world.faults().begin(), world.faults().end(),
                         [](const Fault& fault) { return fault.kind == Fault::Kind::kill; });
  }

  std::unique_ptr<Modules> boot(World& world, int place, const std::any& folder, Millis) override {
    auto& machine = world.machine(place);
    auto self = world.roster()[machine.member].id;
    auto keeper = std::make_unique<Keeper>();
    auto* raw = keepers_[place] = keeper.get();
    if (const auto* disk = std::any_cast<Disk>(&folder)) keeper->disk = *disk;
    keeper->custody =
        Custody::make(world.roster(), self, machine.life, {lease, world.shape().drift, copy_within, wait_},
                      mixed(world.seed(), 0x52, place, machine.boots));
    keeper->recover = [this, &world, place, raw, life = machine.life] {
      auto& custody = *raw->custody;
      for (const auto& one : raw->disk.lives) custody.add_past_incarnation(one);
      raw->disk.lives.insert(life);
      for (const auto& [group, note] : raw->disk.notes) custody.restore_group(note);
      for (const auto& [number, doc] : raw->disk.docs) {
        raw->numbers[doc.deed] = number;
        custody.restore_document(papers_of(world, doc), raw->disk.highest);
      }
      custody.set_has_capacity(true);
    };
    raw->on_work = [this, &world, place](std::uint64_t what) { work(world, place, acts_[what]); };
    raw->on_decided = [this, &world, place](const auto& decided) { carry_out(world, place, decided); };
    auto below = mixed(world.seed(), 0x41, place, machine.boots);
    return std::make_unique<Fellow>(fleet::Membership::make(world.roster(), self, machine.life, below),
                                    std::move(keeper));
  }
  std::any folder(World&, int place) override { return keepers_[place]->disk; }
  void killed(World& world, int place) override {
    for (const auto& [number, doc] : keepers_[place]->disk.docs) {
      auto& truth = docs_[doc.doc];
      if (truth.ok && !truth.over()) truth.owner_died = world.now();
    }
    keepers_[place] = nullptr;
  }

  void event(World& world, std::uint64_t what) override {
    const auto& act = acts_[what];
    bool there = world.machine(act.place).state != Machine::State::off &&
                 (act.boots == 0 || world.machine(act.place).boots == act.boots);
    if (there) world.give(act.place, what);
  }

  void watch(World& world) override {
    std::map<int, int> owner;
    for (int i = 0; i < world.machines(); ++i) {
      if (!world.running(i) || !keepers_[i]->begun) continue;
      auto& keeper = *keepers_[i];
      keeper.custody->begin_turn(world.local(i));
      for (const auto& [number, doc] : keeper.disk.docs)
        if (owns(keeper, doc)) {
          auto [at, fresh] = owner.try_emplace(doc.doc, i);
          if (!fresh)
            world.broken("two-owners", "members %d and %d may both act for document %d", at->second, i,
                         doc.doc);
        }
    }
  }

  void finish(World& world) override {
    int ok = 0;
    for (std::size_t i = 0; i < docs_.size(); ++i) {
      const auto& doc = docs_[i];
      ok += doc.ok;
      if (!strict_ || !wait_ || !doc.ok || doc.over()) continue;
      std::string held;
      for (int p = 0; p < world.machines(); ++p)
        if (world.running(p))
          for (const auto& [number, one] : keepers_[p]->disk.docs)
            if (one.doc == static_cast<int>(i)) {
              held += " ";
              held += std::to_string(p);
              held += owns(*keepers_[p], one) ? " owns" : " waits";
            }
      world.broken("lost", "document %zu was acknowledged at %.0f and has no end at the end; it is with:%s",
                   i, doc.ok_at, held.empty() ? " nobody" : held.c_str());
    }
    if (world.faults().empty() && ok * 20 < static_cast<int>(docs_.size()) * 19)
      world.broken("taken", "%d of %zu documents were taken on where nothing failed", ok, docs_.size());
    if (!order_.samples) return;
    auto size = std::to_string(world.shape().members) + " members" + (wait_ ? "" : ", not waiting");
    for (auto& [name, list] : samples_) {
      auto& all = (*order_.samples)[name + ", " + size];
      all.insert(all.end(), list.begin(), list.end());
    }
    (*order_.samples)["custody messages a document, " + size].push_back(
        static_cast<double>(world.messages[2]) / static_cast<double>(docs_.size()));
  }

 private:
  struct Doc {
    Millis at = 0, expiry = 0, ok_at = 0, owner_died = -1;
    int place = 0;
    bool binding = false, ok = false, busy = false, delivered = false, settled = false;
    std::string told;
    int ran = 0;
    bool over() const { return delivered || !told.empty(); }
  };
  struct Act {
    enum Kind { hand_in, go_on, came_back } kind{};
    int place = 0, boots = 0, doc = 0;
    std::uint64_t number = 0;
    GlobalDocId deed;
    int transmission = 0, ending = 0;
  };

  // Kills one after another, and around each no link cut and nobody stalled.
  bool nothing_may_be_lost(const World& world) const {
    Millis free = 0;
    int for_good = 0;
    for (const auto& kill : world.faults()) {
      if (kill.kind != Fault::Kind::kill) continue;
      if (kill.at < free) return false;
      auto until = (kill.until < 0 ? kill.at : kill.until) + healed_after;
      for_good += kill.until < 0;
      if (world.shape().members - for_good < 3) until = world.shape().end;
      free = until;
      for (const auto& other : world.faults()) {
        using Kind = Fault::Kind;
        bool stops = other.kind == Kind::cut || other.kind == Kind::islands || other.kind == Kind::stall;
        if (stops && other.at < until && other.until > kill.at - alone_before) return false;
      }
    }
    return true;
  }

  void act(World& world, Millis at, Act what) {
    acts_.push_back(std::move(what));
    world.call(at, acts_.size() - 1);
  }

  bool owns(const Keeper& keeper, const OnDisk& doc) const {
    if (order_.plant == "owns-always") return true;
    return keeper.custody->owns(doc.deed);
  }

  DocumentState papers_of(World& world, const OnDisk& doc) const {
    DocumentState papers;
    papers.id = doc.deed, papers.record = std::to_string(doc.doc) + "/" + doc.end;
    papers.time_left = doc.expiry - world.now();
    papers.transmission_count = doc.transmissions, papers.replicate_before_send = doc.binding,
    papers.ended = doc.ended;
    papers.acceptance_confirmed = docs_[doc.doc].ok;
    for (const auto& [risk, at] : doc.risks) papers.in_doubt.push_back({risk, world.now() - at, {}});
    return papers;
  }

  void work(World& world, int place, const Act& act) {
    switch (act.kind) {
      case Act::hand_in: return hand_in(world, place, act.doc);
      case Act::go_on: return go_on(world, place, act.number);
      case Act::came_back: return came_back(world, place, act);
    }
  }

  void hand_in(World& world, int place, int number_of_doc) {
    auto& keeper = *keepers_[place];
    auto& truth = docs_[number_of_doc];
    truth.at = world.now();
    OnDisk doc;
    doc.doc = number_of_doc, doc.binding = truth.binding, doc.expiry = truth.expiry;
    auto number = ++keeper.disk.highest;
    doc.deed = keeper.custody->next_document_id(number);
    keeper.numbers[doc.deed] = number, keeper.disk.docs[number] = doc, keeper.owed.insert(number);
    auto papers = papers_of(world, doc);
    papers.acceptance_confirmed = false;
    keeper.custody->accept(papers);
    if (order_.plant == "answered-early") answer(world, place, doc.deed, true);
    if (keeper.custody->is_accepted(doc.deed)) answer(world, place, doc.deed, true);
    soon(world, place, number);
  }

  void soon(World& world, int place, std::uint64_t number) {
    act(world, world.now() + world.chance().between(1, 3000),
        {Act::go_on, place, world.machine(place).boots, 0, number, {}, 0, 0});
  }

  void answer(World& world, int place, const GlobalDocId& deed, bool taken) {
    auto& keeper = *keepers_[place];
    auto found = keeper.numbers.find(deed);
    if (found == keeper.numbers.end()) return;
    auto number = found->second;
    auto& truth = docs_[keeper.disk.docs[number].doc];
    world.note("member %d answers document %d: %s", place, keeper.disk.docs[number].doc,
               taken ? "taken" : "busy");
    if (taken && !truth.ok) {
      truth.ok = true, truth.ok_at = world.now();
      if (order_.samples) samples_["ms until +OK"].push_back(world.now() - truth.at);
    }
    if (!taken) truth.busy = true;
    if (truth.ok && truth.busy)
      world.broken("answered-twice", "document %d: both taken and not", keeper.disk.docs[number].doc);
    if (!taken && truth.ran > 0 && truth.binding)
      world.broken("sent-unanswered", "document %d went out and its client was told to come again",
                   keeper.disk.docs[number].doc);
    if (!taken) keeper.drop(number);
  }

  // The decision module, in short.
  void go_on(World& world, int place, std::uint64_t number) {
    auto& keeper = *keepers_[place];
    if (!keeper.owed.count(number) || keeper.out.count(number)) return;
    auto& doc = keeper.disk.docs[number];
    if (!owns(keeper, doc)) return soon(world, place, number);
    bool late = world.now() >= doc.expiry || doc.transmissions >= transmissions_most;
    if (doc.ended || late || (doc.binding && !doc.risks.empty() && order_.plant != "risk-forgotten")) {
      if (!doc.ended) {
        doc.ended = true;
        doc.end =
            "abandoned by " + std::to_string(place) + " at " + std::to_string(static_cast<long>(world.now()));
        keeper.custody->record_ended(doc.deed, std::to_string(doc.doc) + "/" + doc.end);
      }
      if (order_.plant == "told-early" || keeper.custody->may_report_end(doc.deed))
        tell(world, place, number);
      return;
    }
    int transmission = doc.transmissions++;
    doc.risks[transmission] = world.now();
    keeper.out.insert(number);
    keeper.custody->record_transmission(doc.deed, transmission, {});
    if (order_.plant == "goes-early" || keeper.custody->may_send(doc.deed, transmission))
      call(world, place, number, transmission);
  }

  // No other process may act for it now.
  void alone(World& world, int place, int number_of_doc, const char* doing) {
    for (int i = 0; i < world.machines(); ++i) {
      if (i == place || !world.running(i) || !keepers_[i]->begun) continue;
      for (const auto& [number, doc] : keepers_[i]->disk.docs) {
        if (doc.doc != number_of_doc) continue;
        keepers_[i]->custody->begin_turn(world.local(i));
        if (owns(*keepers_[i], doc))
          world.broken("two-owners", "member %d %s document %d, for which member %d may act", place, doing,
                       number_of_doc, i);
      }
    }
  }

  void call(World& world, int place, std::uint64_t number, int transmission) {
    auto& keeper = *keepers_[place];
    const auto& doc = keeper.disk.docs[number];
    auto& truth = docs_[doc.doc];
    world.note("member %d sends document %d, transmission %d", place, doc.doc, transmission);
    if (!owns(keeper, doc))
      world.broken("sent-unowned", "member %d sends document %d without owning it", place, doc.doc);
    alone(world, place, doc.doc, "sends");
    if (!truth.told.empty())
      world.broken("sent-after-end", "document %d goes out after its end was told", doc.doc);
    if (truth.busy && doc.binding)
      world.broken("sent-unanswered", "document %d goes out, not taken on", doc.doc);
    int ending = world.chance().below(3);  // 0: it never ran, 1: it ran, 2: it ran and nobody knows
    if (ending > 0 && ++truth.ran > 1 && doc.binding)
      world.broken("ran-twice", "document %d, which is binding, runs a second time", doc.doc);
    Act back{Act::came_back, place, world.machine(place).boots, doc.doc, number, doc.deed,
             transmission,   ending};
    act(world, world.now() + world.chance().between(call_least, call_most), back);
  }

  void came_back(World& world, int place, const Act& back) {
    auto& keeper = *keepers_[place];
    if (back.ending == 1) docs_[back.doc].delivered = true, ended(world, back.doc);
    auto found = keeper.numbers.find(back.deed);
    if (found == keeper.numbers.end()) return;
    auto number = found->second;
    keeper.out.erase(number);
    auto& doc = keeper.disk.docs[number];
    if (back.ending == 1) {
      keeper.custody->remove(back.deed);
      keeper.drop(number);
      return;
    }
    if (back.ending == 0)
      doc.risks.erase(back.transmission), keeper.custody->record_never_ran(back.deed, back.transmission);
    soon(world, place, number);
  }

  void tell(World& world, int place, std::uint64_t number) {
    auto& keeper = *keepers_[place];
    auto doc = keeper.disk.docs[number];
    auto& truth = docs_[doc.doc];
    world.note("member %d tells the end of document %d: %s", place, doc.doc, doc.end.c_str());
    if (!owns(keeper, doc))
      world.broken("told-unowned", "member %d tells the end of document %d", place, doc.doc);
    alone(world, place, doc.doc, "ends");
    if (!truth.told.empty() && truth.told != doc.end)
      world.broken("two-ends", "document %d: %s, and before that %s", doc.doc, doc.end.c_str(),
                   truth.told.c_str());
    truth.told = doc.end;
    ended(world, doc.doc);
    keeper.custody->remove(doc.deed);
    keeper.drop(number);
  }

  void ended(World& world, int number) {
    auto& truth = docs_[number];
    if (std::exchange(truth.settled, true)) return;
    if (order_.samples && truth.owner_died >= 0 && quiet_)
      samples_["ms from a kill to an owed document's end"].push_back(world.now() - truth.owner_died);
  }

  void carry_out(World& world, int place, const Custody::Actions& decided) {
    auto& keeper = *keepers_[place];
    for (const auto& note : decided.states_to_persist) {
      if (note.deleted) keeper.disk.notes.erase(note.group);
      else keeper.disk.notes[note.group] = note;
    }
    for (const auto& line : decided.log_lines) world.note("member %d says: %s", place, line.c_str());
    for (const auto& deed : decided.accepted) answer(world, place, deed, true);
    for (const auto& deed : decided.not_accepted) answer(world, place, deed, false);
    for (const auto& [from, to] : decided.renumbered) {
      auto found = keeper.numbers.find(from);
      if (found == keeper.numbers.end()) continue;
      auto number = found->second;
      keeper.numbers.erase(found), keeper.numbers[to] = number, keeper.disk.docs[number].deed = to;
    }
    for (const auto& deed : decided.relinquished) {
      auto found = keeper.numbers.find(deed);
      if (found == keeper.numbers.end()) continue;
      world.note("member %d lets document %d go", place, keeper.disk.docs[found->second].doc);
      keeper.drop(found->second);
    }
    for (const auto* list : {&decided.taken_over, &decided.resumed})
      for (const auto& papers : *list) gain(world, place, papers, list == &decided.taken_over);
    for (const auto& [deed, transmission] : decided.cleared_transmissions) {
      auto found = keeper.numbers.find(deed);
      if (found != keeper.numbers.end()) call(world, place, found->second, transmission);
    }
    for (const auto& deed : decided.reportable_ends) {
      auto found = keeper.numbers.find(deed);
      if (found != keeper.numbers.end()) tell(world, place, found->second);
    }
  }

  void gain(World& world, int place, const DocumentState& papers, bool taken_over) {
    auto& keeper = *keepers_[place];
    if (taken_over && order_.plant == "taken-over-lost") return;
    if (!keeper.numbers.count(papers.id)) keeper.numbers[papers.id] = ++keeper.disk.highest;
    auto number = keeper.numbers[papers.id];
    auto& doc = keeper.disk.docs[number];
    doc.deed = papers.id, doc.doc = std::stoi(papers.record);
    doc.end = papers.record.substr(papers.record.find('/') + 1), doc.ended = papers.ended;
    doc.expiry = world.now() + papers.time_left, doc.binding = papers.replicate_before_send;
    doc.transmissions = papers.transmission_count, doc.risks.clear();
    for (const auto& risk : papers.in_doubt) doc.risks[risk.number] = world.now() - risk.age;
    keeper.owed.insert(number);
    const auto& truth = docs_[doc.doc];
    world.note("member %d %s document %d with %zu risks", place, taken_over ? "takes over" : "regains",
               doc.doc, papers.in_doubt.size());
    alone(world, place, doc.doc, taken_over ? "takes over" : "regains");
    if (taken_over && order_.samples && quiet_ && truth.owner_died >= 0)
      samples_["ms from a kill to a take-over"].push_back(world.now() - truth.owner_died);
    soon(world, place, number);
  }

  Order order_;
  std::vector<Keeper*> keepers_;
  std::vector<Doc> docs_;
  std::vector<Act> acts_;
  Samples samples_;
  bool wait_ = true, strict_ = false, quiet_ = false;
};

Shape shape_of(Chance& chance, int relays) {
  Shape shape;
  shape.members = draw_members(chance, relays, relays > 0 ? 300 : 60);
  shape.halls = 1 + chance.below(3);
  shape.far = chance.between(0.5, 20);
  shape.warm_up = 7000;
  shape.healed = shape.warm_up + chance.between(5000, 35000);
  shape.end = shape.healed + settled_within + 500;
  shape.drift = 0.01;
  shape.wall_apart = chance.odds(0.5) ? 0 : 300000;
  shape.many_lost = chance.odds(0.4);
  return shape;
}

}  // namespace

Part custody_part() {
  Part part;
  part.name = "custody", part.shape = shape_of;
  part.make = [](const Order& order) -> std::unique_ptr<Trial> {
    return std::make_unique<CustodyTrial>(order);
  };
  part.weather.calm = 0.05, part.weather.kills_only = 0.35, part.weather.links_only = 0.1;
  part.weather.one_at_a_time = true, part.weather.apart = healed_after + 1000, part.weather.most = 8;
  part.plants = {{"owns-always", "two-owners"},   {"answered-early", "answered-twice"},
                 {"told-early", "two-ends"},      {"goes-early", "ran-twice"},
                 {"risk-forgotten", "ran-twice"}, {"taken-over-lost", "lost"}};
  return part;
}

}  // namespace rockcrank::model
