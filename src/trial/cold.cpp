// What is drawn for a cold return, and when; cold.h says what this owns.
#include "trial/cold.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

#include "trial/timetable.h"

namespace rockcrank::trial {
namespace {

constexpr int destinations = 3;
constexpr Millis known_rate_after = 9000;  // by then each relay knows its own rate
constexpr Millis watched_after = 8000;     // the last return
constexpr Millis ends_within = 15000;
constexpr double messages_a_second = 9;  // for one destination, from all relays
const char* const outages[] = {"down", "silent", "500", "shut", "reset"};

class ColdReturns {
 public:
  explicit ColdReturns(Rig& rig) : names_(rig.names()), chance_(rig.setup().seed) {
    draw_outages();
    draw_restarts();
    draw_load();
  }
  Timetable& timetable() { return timetable_; }
  Millis end() const { return last_return_ + watched_after; }

 private:
  double between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(chance_);
  }
  int below(int count) { return static_cast<int>(between(0, count)); }
  void act(Millis at, Timetable::Action action) { timetable_.add(at, std::move(action)); }

  // One destination or two fail, for a while that all relays with messages notice.
  void draw_outages() {
    int failing = 1 + below(2);
    for (int i = 1; i <= failing; ++i) {
      std::string endpoint = "e" + std::to_string(i);
      std::string manner = outages[below(std::size(outages))];
      Millis from = known_rate_after + between(0, 1500), to = from + between(5000, 8000);
      act(from, [=](Rig& rig) { rig.endpoint(endpoint, {{"manner", manner}}); });
      act(to, [=](Rig& rig) { rig.endpoint(endpoint, {{"manner", "200"}, {"after", "60"}}); });
      last_return_ = std::max(last_return_, to);
    }
  }

  // One, several or most of the relays are killed or stalled once, in the outage or the return.
  void draw_restarts() {
    double share = between(0, 1) < 0.3 ? 0.03 : between(0.1, 0.8);
    Millis first = known_rate_after + 2000, last = last_return_ + 4000;
    Millis together = between(first, last);
    bool at_once = below(2) == 0;
    for (const auto& relay : names_) {
      if (between(0, 1) > share) continue;
      Millis from = at_once ? together : between(first, last);
      Millis to = from + between(300, 900);
      if (between(0, 1) < 0.2) {
        act(from, [=](Rig& rig) { rig.stop(relay); });
        act(to, [=](Rig& rig) { rig.go_on(relay); });
        continue;
      }
      act(from, [=](Rig& rig) { rig.kill(relay); });
      act(to, [=](Rig& rig) { rig.start_at_once(relay, {}); });
    }
  }

  // Some relays see several times the mean.
  void draw_load() {
    std::lognormal_distribution<double> skew(0, 0.7);
    std::vector<double> weights;
    for (std::size_t i = 0; i < names_.size(); ++i) weights.push_back(skew(chance_));
    std::discrete_distribution<std::size_t> relay(weights.begin(), weights.end());
    static const char* const types[] = {"plain", "plain", "numbered", "binding"};
    int number = 0;
    Millis mean_gap = 1000 / (messages_a_second * destinations);
    for (Millis at = 0; at < end() - 2000; at += between(0.2, 1.8) * mean_gap) {
      std::string id = "d" + std::to_string(++number), name = names_[relay(chance_)];
      Words words{{"type", types[below(4)]},
                  {"for", std::to_string(1 + below(destinations))},
                  {"left", std::to_string(9000 + below(6000))},
                  {"c", "c" + std::to_string(below(2))}};
      act(at, [=](Rig& rig) {
        if (rig.runs(name) && !rig.stopped(name)) rig.hand(name, id, words);
      });
    }
  }

  std::vector<std::string> names_;
  std::mt19937_64 chance_;
  Timetable timetable_;
  Millis last_return_ = 0;
};

}  // namespace

void draw_cold_world(Setup& setup) {
  setup.fleet = setup.share = false;
  setup.settings["rules"]["startCapacity"] = 0.15;
  setup.settings["rules"]["warmWithinUs"] = 9000000;
}

std::string play_cold_returns(Rig& rig) {
  for (int i = 1; i <= destinations; ++i)
    rig.endpoint("e" + std::to_string(i), {{"for", std::to_string(i)}, {"rate", "12"}, {"after", "60"}});
  for (const auto& relay : rig.names()) rig.start_at_once(relay, {});
  for (const auto& relay : rig.names())
    if (!rig.start(relay, {})) return relay + " does not answer; its log:\n" + rig.process_log(relay);
  ColdReturns play(rig);
  Millis begun = rig.now();
  play.timetable().play(rig);
  rig.until(begun + play.end() - rig.now(), [] { return false; });
  for (const auto& relay : rig.names()) {
    rig.go_on(relay);
    if (!rig.start(relay, {})) return relay + " does not come up again; its log:\n" + rig.process_log(relay);
  }
  rig.until(ends_within, [&] { return rig.settled() && rig.unended().empty(); });
  for (const auto& relay : rig.names())
    if (rig.logged(relay, "event=violation")) return relay + " counted a violation of its own";
  return {};
}

}  // namespace rockcrank::trial
