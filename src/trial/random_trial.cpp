// Draws the load and the faults of a random trial and runs it.

#include "trial/random_trial.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <stdexcept>
#include <utility>
#include <vector>

#include "trial/schedule.h"

namespace rockcrank::trial {
namespace {

constexpr Millis mean_document_gap = 20;
constexpr Millis final_answers_timeout = 20000, convergence_timeout = 12000;
constexpr double faults_per_second = 1.6;
constexpr int destinations = 5;  // destination 1 has two endpoints; destination 5 takes batches
const std::vector<int> subscribers{21, 22, 23};

class RandomTrial {
 public:
  RandomTrial(Harness& harness, std::string part, double seconds)
      : names_(harness.relay_names()),
        part_(std::move(part)),
        duration_(seconds * 1000),
        random_(harness.setup().seed) {
    draw_load(), draw_faults();
  }
  Schedule& schedule() { return schedule_; }
  Millis healed_at() const { return 0.65 * duration_; }

 private:
  int below(int count) { return static_cast<int>(random_() % static_cast<unsigned long>(count)); }
  Millis between(Millis low, Millis high) {
    return low + (high - low) * static_cast<double>(below(10001)) / 10000;
  }
  const std::string& any_relay() {
    return names_[static_cast<std::size_t>(below(static_cast<int>(names_.size())))];
  }
  void schedule_action(Millis at, Schedule::Action action) { schedule_.add(at, std::move(action)); }

  void draw_load() {
    static const char* const types[] = {"plain", "plain", "numbered", "binding", "ordered"};
    int number = 0;
    std::map<std::string, int> versions;
    bool streams = part_.empty() || part_ == "latest";
    for (Millis at = 0; at < duration_; at += between(0.5, 1.5) * mean_document_gap) {
      auto id = "d" + std::to_string(++number);
      auto relay = any_relay();
      Options options{{"type", types[below(5)]},
                      {"for", std::to_string(1 + below(destinations))},
                      {"left", std::to_string(3000 + below(4000))},
                      {"c", "c" + std::to_string(below(3))}};
      if (options["type"] == "ordered") options["key"] = "a" + std::to_string(below(4)), options["c"] = "c0";
      if (streams && below(3) == 0) {
        // Each key has one writer, so that its versions are accepted in the order of submission.
        auto key = "b" + std::to_string(below(8));
        options = {{"type", "status"},
                   {"for", below(2) ? "21" : "2"},
                   {"left", "15000"},
                   {"key", key},
                   {"c", "s" + key}};
        options["v"] = std::to_string(++versions[key]);
        relay = names_[std::hash<std::string>{}(key) % names_.size()];
      }
      schedule_action(at, [=](Harness& harness) {
        if (harness.is_running(relay) && !harness.is_suspended(relay)) harness.submit(relay, id, options);
      });
    }
  }

  // Adds a fault from `from` to `to`.
  void add_fault(Millis from, Millis to, std::function<void(Harness&)> begin,
                 std::function<void(Harness&)> end) {
    schedule_action(from, std::move(begin));
    schedule_action(std::min(to, healed_at()), std::move(end));
  }

  void draw_faults() {
    auto count = static_cast<int>(faults_per_second * healed_at() / 1000) + 1;
    // Only one member loses its folder, so at most one of the three holders of a document does.
    auto victim = any_relay();
    for (int i = 0; i < count; ++i) {
      auto from = between(300, healed_at() - 300), to = from + between(200, 2500);
      auto a = any_relay(), b = any_relay();
      while (b == a && names_.size() > 1) b = any_relay();
      auto endpoint = "e" + std::to_string(1 + below(destinations));
      switch (below(names_.size() > 1 ? 20 : 12)) {
        case 0:
        case 1: add_restart(from, to, a, "kept"); break;
        case 2: add_restart(from, to, victim, "emptied"); break;
        case 3: add_restart(from, to, victim, "older"); break;
        case 4:
        case 5:
          add_fault(
              from, to, [=](Harness& harness) { harness.suspend(a); },
              [=](Harness& harness) { harness.resume(a); });
          break;
        case 6: add_planned_restart(from, to, a); break;
        case 7:
          add_fault(
              from, to, [=](Harness& harness) { harness.set_disk_full(a, true); },
              [=](Harness& harness) { harness.set_disk_full(a, false); });
          break;
        case 8:
          add_endpoint_fault(from, to, endpoint, {{"manner", "429"}, {"wait", "1.5"}, {"times", "3"}});
          break;
        case 9: add_endpoint_fault(from, to, endpoint, {{"manner", below(2) ? "down" : "500"}}); break;
        case 10: add_endpoint_fault(from, to, endpoint, {{"manner", below(2) ? "silent" : "reset"}}); break;
        case 11: add_endpoint_fault(from, to, endpoint, {{"manner", "200"}, {"after", "400"}}); break;
        case 12:
          add_fault(
              from, to,
              [=](Harness& harness) {
                harness.set_link(a, b, LinkState::cut), harness.set_link(b, a, LinkState::cut);
              },
              [=](Harness& harness) {
                harness.set_link(a, b, LinkState::open), harness.set_link(b, a, LinkState::open);
              });
          break;
        case 13:
          add_fault(
              from, to, [=](Harness& harness) { harness.set_link(a, b, LinkState::cut); },
              [=](Harness& harness) { harness.set_link(a, b, LinkState::open); });
          break;
        case 14: add_isolation(from, to, a, below(2) == 0); break;
        case 15:
          add_fault(
              from, to,
              [=](Harness& harness) {
                harness.set_link(a, b, LinkState::slow, 40), harness.set_link(b, a, LinkState::slow, 90);
              },
              [=](Harness& harness) {
                harness.set_link(a, b, LinkState::open), harness.set_link(b, a, LinkState::open);
              });
          break;
        case 16: schedule_action(from, [=](Harness& harness) { harness.reset_connections(a, b); }); break;
        case 17: schedule_action(from, [=](Harness& harness) { harness.truncate_next(a, b); }); break;
        case 18: schedule_action(from, [=](Harness& harness) { harness.corrupt_next(a, b); }); break;
        default:
          schedule_action(from, [=, what = std::string(i % 3 == 0   ? "junk"
                                                       : i % 3 == 1 ? "large"
                                                                    : "half")](Harness& harness) {
            harness.flood(a, what);
          });
      }
    }
  }
  void add_endpoint_fault(Millis from, Millis to, const std::string& endpoint, Options how) {
    add_fault(
        from, to, [=](Harness& harness) { harness.set_endpoint(endpoint, how); },
        [=](Harness& harness) {
          harness.set_endpoint(endpoint, {{"manner", "200"}});
        });
  }
  void add_restart(Millis from, Millis to, const std::string& relay, const std::string& folder) {
    if (folder == "older") schedule_action(from / 2, [=](Harness& harness) { harness.save_folder(relay); });
    add_fault(
        from, to, [=](Harness& harness) { harness.kill(relay); },
        [=](Harness& harness) {
          if (harness.is_running(relay)) return;
          if (folder == "emptied") harness.empty_folder(relay);
          if (folder == "older") harness.restore_folder(relay);
          harness.start_without_waiting(relay, {});
        });
  }
  void add_planned_restart(Millis from, Millis to, const std::string& relay) {
    schedule_action(from, [=](Harness& harness) { harness.terminate(relay); });
    schedule_action(to + 4000, [=](Harness& harness) { harness.start_without_waiting(relay, {}); });
  }
  // Isolates a member: its links to the others are cut and, unless it still receives, also their links to it.
  void add_isolation(Millis from, Millis to, const std::string& relay, bool receives) {
    auto set_links = [names = names_, relay, receives](Harness& harness, LinkState state) {
      for (const auto& other : names) {
        if (other == relay) continue;
        harness.set_link(relay, other, state);
        if (!receives) harness.set_link(other, relay, state);
      }
    };
    add_fault(
        from, to, [=](Harness& harness) { set_links(harness, LinkState::cut); },
        [=](Harness& harness) { set_links(harness, LinkState::open); });
  }

  std::vector<std::string> names_;
  std::string part_;
  Millis duration_;
  std::minstd_rand random_;
  Schedule schedule_;
};

}  // namespace

void set_up_random_trial(Setup& setup, const std::string& part) {
  setup.share = true;
  setup.documents = part.empty() || part == "documents";
  setup.warm = part.empty() || part == "warm";
  setup.latest = part.empty() || part == "latest";
  setup.streams = {{"status", subscribers}};
}

std::string play_random_trial(Harness& harness, const std::string& part, double seconds) {
  for (int i = 1; i <= destinations; ++i)
    harness.set_endpoint("e" + std::to_string(i),
                         {{"for", std::to_string(i)}, {"kind", i == destinations ? "m1" : "m0"}});
  harness.set_endpoint("e1b", {{"for", "1"}, {"hall", "h1"}});
  bool streams = harness.setup().latest;
  for (std::size_t i = 0; streams && i + 1 < subscribers.size(); ++i) {
    harness.set_endpoint("e" + std::to_string(subscribers[i]), {{"for", std::to_string(subscribers[i])}});
    harness.record("subscriber", {{"dest", std::to_string(subscribers[i])}});
  }
  for (const auto& relay : harness.relay_names()) harness.start_without_waiting(relay, {});
  for (const auto& relay : harness.relay_names())
    if (!harness.start(relay, {})) return relay + " does not answer; its log:\n" + harness.process_log(relay);
  auto start = harness.now();
  if (harness.run_until(5000, [&] { return harness.all_linked_since(start); })) harness.record("peers", {});
  RandomTrial trial(harness, part, seconds);
  bool joined = !streams;
  trial.schedule().play(harness, [&](Millis at) {
    if (joined || at <= trial.healed_at()) return;
    joined = true;
    auto late_subscriber = std::to_string(subscribers.back());
    harness.set_endpoint("e" + late_subscriber, {{"for", late_subscriber}});
    harness.record("subscriber", {{"dest", late_subscriber}});
  });
  // After healing, all relays are started again and the remaining documents are delivered.
  harness.heal_links();
  harness.record("healed", {});
  for (const auto& relay : harness.relay_names()) harness.resume(relay);
  for (const auto& relay : harness.relay_names())
    if (!harness.run_until(
            8000,
            [&] {
              return harness.is_running(relay) || harness.count_entries("exit", {{"r", relay}}) == 0;
            }) ||
        !harness.start(relay, {}))
      if (!harness.start(relay, {}))
        return relay + " does not start again; its log:\n" + harness.process_log(relay);
  harness.run_until(final_answers_timeout, [&] {
    return harness.all_submissions_answered() && harness.documents_without_end().empty();
  });
  if (streams) {
    auto checked_at = harness.now();
    bool converged = false;
    harness.run_until(convergence_timeout, [&] {
      if (harness.now() - checked_at > 100)
        converged = harness.subscribers_converged(), checked_at = harness.now();
      return converged;
    });
    harness.record("quiet", {});
  }
  // Leaves time for calls after a document's end to show up.
  harness.run_until(700, [] { return false; });
  return {};
}

}  // namespace rockcrank::trial
