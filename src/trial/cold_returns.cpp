// Draws the outages, restarts and load of a cold-return trial.
#include "trial/cold_returns.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

#include "trial/schedule.h"

namespace rockcrank::trial {
namespace {

constexpr int destinations = 3;
constexpr Millis observation_time = 8000;  // after the last return
constexpr Millis final_answers_timeout = 15000;
const char* const outages[] = {"down", "silent", "500", "shut", "reset"};

class ColdReturns {
 public:
  ColdReturns(Harness& harness, const ColdReturnLoad& load)
      : names_(harness.relay_names()), random_(harness.setup().seed), load_(load) {
    draw_outages();
    draw_restarts();
    draw_load();
    if (load_.reloads) draw_reloads();
  }
  Schedule& schedule() { return schedule_; }
  Millis end() const { return last_return_ + observation_time; }

 private:
  double between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  int below(int count) { return static_cast<int>(between(0, count)); }
  void schedule_action(Millis at, Schedule::Action action) { schedule_.add(at, std::move(action)); }

  // One or two destinations fail long enough for every relay with documents for them to notice.
  void draw_outages() {
    int failing = 1 + below(2);
    for (int i = 1; i <= failing; ++i) {
      std::string endpoint = "e" + std::to_string(i);
      std::string behaviour = outages[below(std::size(outages))];
      if (load_.silent_only) behaviour = "silent";
      Millis from = load_.first_outage + between(0, 1500),
             to = from + between(load_.shortest_outage, load_.longest_outage);
      schedule_action(from, [=](Harness& harness) {
        harness.set_endpoint(endpoint, {{"manner", behaviour}});
      });
      std::string answer_time = std::to_string(static_cast<int>(load_.answer_time));
      schedule_action(to, [=](Harness& harness) {
        harness.set_endpoint(endpoint, {{"manner", "200"}, {"after", answer_time}});
      });
      last_return_ = std::max(last_return_, to);
    }
  }

  // One, several or most of the relays are killed or suspended once, during the outage or the return.
  void draw_restarts() {
    double restarted_share = between(0, 1) < 0.3 ? 0.03 : between(0.1, 0.8);
    Millis first = load_.first_outage + 2000, last = last_return_ + 4000;
    Millis common_time = between(first, last);
    bool all_at_once = below(2) == 0;
    for (const auto& relay : names_) {
      if (between(0, 1) > restarted_share) continue;
      Millis from = all_at_once ? common_time : between(first, last);
      Millis to = from + between(300, 900);
      if (between(0, 1) < 0.2) {
        schedule_action(from, [=](Harness& harness) { harness.suspend(relay); });
        schedule_action(to, [=](Harness& harness) { harness.resume(relay); });
        continue;
      }
      schedule_action(from, [=](Harness& harness) { harness.kill(relay); });
      schedule_action(to, [=](Harness& harness) { harness.start_without_waiting(relay, {}); });
    }
  }

  // The load is skewed: some relays get several times the mean.
  void draw_load() {
    std::lognormal_distribution<double> skew(0, 0.7);
    std::vector<double> weights;
    for (std::size_t i = 0; i < names_.size(); ++i) weights.push_back(skew(random_));
    std::discrete_distribution<std::size_t> relay(weights.begin(), weights.end());
    static const char* const types[] = {"plain", "plain", "numbered", "binding"};
    int number = 0;
    Millis mean_gap = 1000 / (load_.documents_per_second * destinations);
    for (Millis at = 0; at < end() - 2000; at += between(0.2, 1.8) * mean_gap) {
      std::string id = "d" + std::to_string(++number), name = names_[relay(random_)];
      Options options{
          {"type", types[below(4)]},
          {"for", std::to_string(1 + below(destinations))},
          {"left", std::to_string(static_cast<int>(load_.shortest_life) +
                                  below(static_cast<int>(load_.longest_life - load_.shortest_life)))},
          {"c", "c" + std::to_string(below(2))}};
      schedule_action(at, [=](Harness& harness) {
        if (harness.is_running(name) && !harness.is_suspended(name)) harness.submit(name, id, options);
      });
    }
  }

  void draw_reloads() {
    for (const auto& relay : names_)
      schedule_action(between(load_.first_outage, last_return_ + 2000), [=](Harness& harness) {
        if (harness.is_running(relay)) harness.reload(relay);
      });
  }

  std::vector<std::string> names_;
  std::mt19937_64 random_;
  const ColdReturnLoad load_;
  Schedule schedule_;
  Millis last_return_ = 0;
};

}  // namespace

void set_up_cold_returns(Setup& setup, const ColdReturnLoad& load) {
  setup.fleet = setup.share = false;
  setup.settings["specifics"]["slots"] = load.slots;
  setup.settings["rules"]["startCapacity"] = 0.15;
  setup.settings["rules"]["warmWithinUs"] = 9000000;
}

std::string play_cold_returns(Harness& harness, const ColdReturnLoad& load) {
  for (int i = 1; i <= destinations; ++i)
    harness.set_endpoint("e" + std::to_string(i),
                         {{"for", std::to_string(i)},
                          {"rate", std::to_string(load.rate)},
                          {"after", std::to_string(static_cast<int>(load.answer_time))}});
  for (const auto& relay : harness.relay_names()) harness.start_without_waiting(relay, {});
  for (const auto& relay : harness.relay_names())
    if (!harness.start(relay, {})) return relay + " does not answer; its log:\n" + harness.process_log(relay);
  ColdReturns play(harness, load);
  Millis start = harness.now();
  play.schedule().play(harness);
  harness.run_until(start + play.end() - harness.now(), [] { return false; });
  for (const auto& relay : harness.relay_names()) {
    harness.resume(relay);
    if (!harness.start(relay, {}))
      return relay + " does not start again; its log:\n" + harness.process_log(relay);
  }
  harness.run_until(final_answers_timeout, [&] {
    return harness.all_submissions_answered() && harness.documents_without_end().empty();
  });
  for (const auto& relay : harness.relay_names())
    if (harness.process_has_logged(relay, "event=violation")) return relay + " logged a violation itself";
  return {};
}

}  // namespace rockcrank::trial
