// What is drawn, and when; draw.h says what this owns.

#include "trial/draw.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <stdexcept>
#include <utility>
#include <vector>

#include "trial/timetable.h"

namespace rockcrank::trial {
namespace {

constexpr Millis between_documents = 20;
constexpr Millis ends_within = 20000, converges_within = 12000;
constexpr double faults_a_second = 1.6;
constexpr int destinations = 5;  // 1 has two endpoints; 5 bundles
const std::vector<int> subscribers{21, 22, 23};

class Drawing {
 public:
  Drawing(Rig& rig, std::string part, double seconds)
      : names_(rig.names()), part_(std::move(part)), length_(seconds * 1000), rng_(rig.setup().seed) {
    load(), faults();
  }
  Timetable& timetable() { return timetable_; }
  Millis healed_at() const { return 0.65 * length_; }

 private:
  int below(int count) { return static_cast<int>(rng_() % static_cast<unsigned long>(count)); }
  Millis between(Millis low, Millis high) {
    return low + (high - low) * static_cast<double>(below(10001)) / 10000;
  }
  const std::string& any() {
    return names_[static_cast<std::size_t>(below(static_cast<int>(names_.size())))];
  }
  void act(Millis at, Timetable::Action action) { timetable_.add(at, std::move(action)); }

  void load() {
    static const char* const types[] = {"plain", "plain", "numbered", "binding", "ordered"};
    int number = 0;
    std::map<std::string, int> versions;
    bool streams = part_.empty() || part_ == "latest";
    for (Millis at = 0; at < length_; at += between(0.5, 1.5) * between_documents) {
      auto id = "d" + std::to_string(++number);
      auto relay = any();
      Words words{{"type", types[below(5)]},
                  {"for", std::to_string(1 + below(destinations))},
                  {"left", std::to_string(3000 + below(4000))},
                  {"c", "c" + std::to_string(below(3))}};
      if (words["type"] == "ordered") words["key"] = "a" + std::to_string(below(4)), words["c"] = "c0";
      if (streams && below(3) == 0) {
        // One writer for each key, so that its versions are in the order in which they were handed in.
        auto key = "b" + std::to_string(below(8));
        words = {{"type", "status"},
                 {"for", below(2) ? "21" : "2"},
                 {"left", "15000"},
                 {"key", key},
                 {"c", "s" + key}};
        words["v"] = std::to_string(++versions[key]);
        relay = names_[std::hash<std::string>{}(key) % names_.size()];
      }
      act(at, [=](Rig& rig) {
        if (rig.runs(relay) && !rig.stopped(relay)) rig.hand(relay, id, words);
      });
    }
  }

  // A fault and what ends it, from `from` to `to`.
  void spell(Millis from, Millis to, std::function<void(Rig&)> begins, std::function<void(Rig&)> ends) {
    act(from, std::move(begins));
    act(std::min(to, healed_at()), std::move(ends));
  }

  void faults() {
    auto count = static_cast<int>(faults_a_second * healed_at() / 1000) + 1;
    // Folders of one member only are lost, so that no more than one holder of three is.
    auto victim = any();
    for (int i = 0; i < count; ++i) {
      auto from = between(300, healed_at() - 300), to = from + between(200, 2500);
      auto a = any(), b = any();
      while (b == a && names_.size() > 1) b = any();
      auto endpoint = "e" + std::to_string(1 + below(destinations));
      switch (below(names_.size() > 1 ? 20 : 12)) {
        case 0:
        case 1: restart(from, to, a, "kept"); break;
        case 2: restart(from, to, victim, "emptied"); break;
        case 3: restart(from, to, victim, "older"); break;
        case 4:
        case 5:
          spell(
              from, to, [=](Rig& rig) { rig.stop(a); }, [=](Rig& rig) { rig.go_on(a); });
          break;
        case 6: planned(from, to, a); break;
        case 7:
          spell(
              from, to, [=](Rig& rig) { rig.fill_disk(a, true); },
              [=](Rig& rig) { rig.fill_disk(a, false); });
          break;
        case 8: manner(from, to, endpoint, {{"manner", "429"}, {"wait", "1.5"}, {"times", "3"}}); break;
        case 9: manner(from, to, endpoint, {{"manner", below(2) ? "down" : "500"}}); break;
        case 10: manner(from, to, endpoint, {{"manner", below(2) ? "silent" : "reset"}}); break;
        case 11: manner(from, to, endpoint, {{"manner", "200"}, {"after", "400"}}); break;
        case 12:
          spell(
              from, to, [=](Rig& rig) { rig.way(a, b, Way::hold), rig.way(b, a, Way::hold); },
              [=](Rig& rig) { rig.way(a, b, Way::open), rig.way(b, a, Way::open); });
          break;
        case 13:
          spell(
              from, to, [=](Rig& rig) { rig.way(a, b, Way::hold); },
              [=](Rig& rig) { rig.way(a, b, Way::open); });
          break;
        case 14: alone(from, to, a, below(2) == 0); break;
        case 15:
          spell(
              from, to, [=](Rig& rig) { rig.way(a, b, Way::slow, 40), rig.way(b, a, Way::slow, 90); },
              [=](Rig& rig) { rig.way(a, b, Way::open), rig.way(b, a, Way::open); });
          break;
        case 16: act(from, [=](Rig& rig) { rig.reset(a, b); }); break;
        case 17: act(from, [=](Rig& rig) { rig.tear(a, b); }); break;
        case 18: act(from, [=](Rig& rig) { rig.corrupt(a, b); }); break;
        default:
          act(from, [=, what = std::string(i % 3 == 0   ? "junk"
                                           : i % 3 == 1 ? "large"
                                                        : "half")](Rig& rig) { rig.flood(a, what); });
      }
    }
  }
  void manner(Millis from, Millis to, const std::string& endpoint, Words how) {
    spell(
        from, to, [=](Rig& rig) { rig.endpoint(endpoint, how); },
        [=](Rig& rig) {
          rig.endpoint(endpoint, {{"manner", "200"}});
        });
  }
  void restart(Millis from, Millis to, const std::string& relay, const std::string& folder) {
    if (folder == "older") act(from / 2, [=](Rig& rig) { rig.save_folder(relay); });
    spell(
        from, to, [=](Rig& rig) { rig.kill(relay); },
        [=](Rig& rig) {
          if (rig.runs(relay)) return;
          if (folder == "emptied") rig.empty_folder(relay);
          if (folder == "older") rig.restore_folder(relay);
          rig.start_at_once(relay, {});
        });
  }
  void planned(Millis from, Millis to, const std::string& relay) {
    act(from, [=](Rig& rig) { rig.term(relay); });
    act(to + 4000, [=](Rig& rig) { rig.start_at_once(relay, {}); });
  }
  // A member that hears all and is heard by none, or neither.
  void alone(Millis from, Millis to, const std::string& relay, bool hears) {
    auto each = [names = names_, relay, hears](Rig& rig, Way way) {
      for (const auto& other : names) {
        if (other == relay) continue;
        rig.way(relay, other, way);
        if (!hears) rig.way(other, relay, way);
      }
    };
    spell(
        from, to, [=](Rig& rig) { each(rig, Way::hold); }, [=](Rig& rig) { each(rig, Way::open); });
  }

  std::vector<std::string> names_;
  std::string part_;
  Millis length_;
  std::minstd_rand rng_;
  Timetable timetable_;
};

}  // namespace

void draw_world(Setup& setup, const std::string& part) {
  setup.share = true;
  setup.documents = part.empty() || part == "documents";
  setup.warm = part.empty() || part == "warm";
  setup.latest = part.empty() || part == "latest";
  setup.streams = {{"status", subscribers}};
}

std::string play_drawn(Rig& rig, const std::string& part, double seconds) {
  for (int i = 1; i <= destinations; ++i)
    rig.endpoint("e" + std::to_string(i),
                 {{"for", std::to_string(i)}, {"kind", i == destinations ? "m1" : "m0"}});
  rig.endpoint("e1b", {{"for", "1"}, {"hall", "h1"}});
  bool streams = rig.setup().latest;
  for (std::size_t i = 0; streams && i + 1 < subscribers.size(); ++i) {
    rig.endpoint("e" + std::to_string(subscribers[i]), {{"for", std::to_string(subscribers[i])}});
    rig.note("subscriber", {{"dest", std::to_string(subscribers[i])}});
  }
  for (const auto& relay : rig.names()) rig.start_at_once(relay, {});
  for (const auto& relay : rig.names())
    if (!rig.start(relay, {})) return relay + " does not answer; its log:\n" + rig.process_log(relay);
  auto begun = rig.now();
  if (rig.until(5000, [&] { return rig.linked(begun); })) rig.note("peers", {});
  Drawing drawing(rig, part, seconds);
  bool joined = !streams;
  drawing.timetable().play(rig, [&](Millis at) {
    if (joined || at <= drawing.healed_at()) return;
    joined = true;
    auto late = std::to_string(subscribers.back());
    rig.endpoint("e" + late, {{"for", late}});
    rig.note("subscriber", {{"dest", late}});
  });
  // All is well again: whoever is not there comes up, and what is owed goes.
  rig.heal();
  rig.note("healed", {});
  for (const auto& relay : rig.names()) rig.go_on(relay);
  for (const auto& relay : rig.names())
    if (!rig.until(8000,
                   [&] {
                     return rig.runs(relay) || rig.count("exit", {{"r", relay}}) == 0;
                   }) ||
        !rig.start(relay, {}))
      if (!rig.start(relay, {}))
        return relay + " does not come up again; its log:\n" + rig.process_log(relay);
  rig.until(ends_within, [&] { return rig.settled() && rig.unended().empty(); });
  if (streams) {
    auto looked = rig.now();
    bool converged = false;
    rig.until(converges_within, [&] {
      if (rig.now() - looked > 100) converged = rig.has_converged(), looked = rig.now();
      return converged;
    });
    rig.note("quiet", {});
  }
  // Nothing more may come of what has ended.
  rig.until(700, [] { return false; });
  return {};
}

}  // namespace rockcrank::trial
