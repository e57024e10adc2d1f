// Draws the load and the overlapping faults of a soak for told waits, and runs it.
#include "trial/wait_soak.h"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <random>
#include <utility>
#include <vector>

#include "trial/schedule.h"

namespace rockcrank::trial {
namespace {

constexpr Millis mean_document_gap = 12;
constexpr Millis min_kill_delay = 3700;  // from SIGTERM to SIGKILL, the earliest that a platform does it
constexpr Millis start_delay = 600;      // from SIGKILL to the next start
constexpr Millis final_answers_timeout = 20000;
constexpr double faults_per_second = 2.5;
constexpr int crowd_percent = 25, crowd_clients = 60;
// Destination 1 has two endpoints, 3 takes batches.
struct EndpointPlan {
  const char* name;
  const char* destination;
  const char* kind;
};
constexpr EndpointPlan endpoints[] = {
    {"e1", "1", "m0"}, {"e1b", "1", "m0"}, {"e2", "2", "m0"}, {"e3", "3", "m1"}};

class WaitSoak {
 public:
  WaitSoak(Harness& harness, double seconds, AnswerFaults faults)
      : names_(harness.relay_names()), duration_(seconds * 1000), random_(harness.setup().seed) {
    draw_refusals();
    draw_faults();
    draw_crowd();
    draw_load();
    const bool has_copies = faults == AnswerFaults::copies || faults == AnswerFaults::copied_statuses;
    if (has_copies) draw_copies();
    if (faults != AnswerFaults::none && faults != AnswerFaults::copies) draw_statuses();
    if (faults == AnswerFaults::transport) draw_transport();
  }
  Schedule& schedule() { return schedule_; }

 private:
  double between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  int below(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random_); }
  const std::string& any_relay() {
    return names_[static_cast<std::size_t>(below(static_cast<int>(names_.size())))];
  }
  Millis fault_end() const { return 0.75 * duration_; }

  static std::string decimal(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", value);
    return text;
  }

  // Waits from 0.05 to 5 s, told at once or late, by one call or several, some in answers that are cut short.
  void draw_refusals() {
    for (Millis at = 100; at < fault_end(); at += between(50, 700)) {
      const auto& endpoint = endpoints[below(static_cast<int>(std::size(endpoints)))];
      Options how{{"manner", below(4) == 0 ? "503" : "429"},
                  {"wait", decimal(below(2) ? between(0.05, 1) : between(1, 5))},
                  {"after", std::to_string(below(3) ? below(60) : below(900))},
                  {"times", std::to_string(1 + below(4))}};
      if (below(5) == 0) how["cut"] = "1";
      schedule_.add(at, [how, name = std::string(endpoint.name)](Harness& harness) {
        harness.set_endpoint(name, how);
      });
    }
    for (const auto& endpoint : endpoints)
      schedule_.add(fault_end(), [name = std::string(endpoint.name)](Harness& harness) {
        harness.set_endpoint(name, {{"manner", "200"}});
      });
  }

  // Copies right behind an answer, while its connection is idle, and while the next call is out, of any
  // answer.
  void draw_copies() {
    for (Millis at = 50; at < fault_end(); at += between(200, 1500)) {
      const auto& endpoint = endpoints[below(static_cast<int>(std::size(endpoints)))];
      Options how{{"every", std::to_string(1 + below(7))}};
      if (below(3) == 0) how["after"] = decimal(between(0, 100));
      else how["next"] = decimal(below(2) ? between(0, 10) : between(0, 100));
      if (below(4) == 0) how["times"] = std::to_string(1 + below(3));
      if (below(4) == 0) how["pieces"] = "1";
      if (below(2)) how["unique"] = "1";
      schedule_.add(
          at, [how, name = std::string(endpoint.name)](Harness& harness) { harness.set_copies(name, how); });
    }
    schedule_.add(0, [every = 1 + below(5)](Harness& harness) { harness.set_agent_copies(every); });
    schedule_.add(fault_end(), [](Harness& harness) {
      harness.set_agent_copies(0);
      for (const auto& endpoint : endpoints) harness.set_copies(endpoint.name, {});
    });
  }

  // Answers of each status, at once or late, by some calls each, some with an end of the connection behind
  // them.
  void draw_statuses() {
    static const char* const statuses[] = {"410", "410", "410", "504", "500", "503", "400", "413", "200"};
    for (Millis at = 30; at < fault_end(); at += between(30, 400)) {
      const auto& endpoint = endpoints[below(static_cast<int>(std::size(endpoints)))];
      Options how{{"manner", statuses[below(static_cast<int>(std::size(statuses)))]},
                  {"after", std::to_string(below(3) ? below(30) : below(900))},
                  {"times", std::to_string(1 + below(12))}};
      if (how["manner"] == "503" && below(2)) how["busy"] = "1";
      if (how["manner"] == "200") how["states"] = "1";
      if (below(4) == 0) how[below(2) ? "close" : "reset"] = "1";
      schedule_.add(at, [how, name = std::string(endpoint.name)](Harness& harness) {
        harness.set_endpoint(name, how);
      });
    }
  }

  // Pieces of any size, pauses from none to longer than a call, and ends of the connection at any byte.
  void draw_transport() {
    static const char* const faults[] = {"stall", "close", "reset", "half_close"};
    for (Millis at = 20; at < fault_end(); at += between(50, 500)) {
      const auto& endpoint = endpoints[below(static_cast<int>(std::size(endpoints)))];
      Options how{{"every", std::to_string(1 + below(4))},
                  {"piece", std::to_string(below(3) ? 1 + below(20) : 1000)},
                  {"gap", decimal(below(4) ? between(0, 3) : between(0, 60))},
                  {"at", decimal(below(4) ? between(0, 1) : 1)},
                  {"stall", decimal(below(3) ? between(0, 300) : between(300, 3000))}};
      how["fault"] = faults[below(static_cast<int>(std::size(faults)))];
      schedule_.add(at, [how, name = std::string(endpoint.name)](Harness& harness) {
        harness.set_transport(name, how);
      });
    }
    for (const auto& endpoint : endpoints)
      schedule_.add(fault_end(), [name = std::string(endpoint.name)](Harness& harness) {
        harness.set_transport(name, {});
      });
  }

  void draw_faults() {
    int count = static_cast<int>(faults_per_second * fault_end() / 1000);
    for (int i = 0; i < count; ++i) {
      const auto relay = any_relay();
      const Millis at = between(200, fault_end());
      switch (below(8)) {
        case 0: add_planned_restart(at, relay); break;
        case 1: add_kill(at, relay); break;
        case 2: add_full_disk(at, relay); break;
        case 3: schedule_.add(at, [relay](Harness& harness) { harness.reload(relay); }); break;
        default: add_stops(at, relay);
      }
    }
  }

  void add_stops(Millis at, const std::string& relay) {
    for (int left = 1 + below(4); left > 0 && at < fault_end(); --left) {
      schedule_.add(at, [relay](Harness& harness) { harness.suspend(relay); });
      at += below(2) ? between(20, 250) : between(250, 2000);
      schedule_.add(at, [relay](Harness& harness) { harness.resume(relay); });
      at += between(1, 120);
    }
  }
  void add_kill(Millis at, const std::string& relay) {
    schedule_.add(at, [relay](Harness& harness) { harness.kill(relay); });
    schedule_.add(at + start_delay, [relay](Harness& harness) { harness.start_without_waiting(relay, {}); });
  }
  void add_planned_restart(Millis at, const std::string& relay) {
    schedule_.add(at, [relay](Harness& harness) { harness.terminate(relay); });
    add_kill(at + min_kill_delay, relay);
  }
  void add_full_disk(Millis at, const std::string& relay) {
    schedule_.add(at, [relay](Harness& harness) { harness.set_disk_full(relay, true); });
    schedule_.add(at + between(100, 1500),
                  [relay](Harness& harness) { harness.set_disk_full(relay, false); });
  }

  void draw_crowd() {
    if (below(100) >= crowd_percent) return;
    for (const auto& relay : names_)
      schedule_.add(between(0, duration_ / 2), [relay](Harness& harness) {
        if (harness.is_running(relay)) harness.open_idle_clients(relay, crowd_clients);
      });
  }

  // Clients go on while a relay is stopped, and on open connections while it ends.
  void draw_load() {
    static const char* const types[] = {"plain", "plain", "numbered", "binding", "ordered"};
    static const char* const destinations[] = {"1", "1", "2", "3"};
    int number = 0;
    for (Millis at = 0; at < duration_; at += between(0.2, 1.8) * mean_document_gap) {
      Options options{{"type", types[below(5)]},
                      {"for", destinations[below(4)]},
                      {"left", std::to_string(6000 + below(6000))},
                      {"c", "c" + std::to_string(below(3))}};
      if (options["type"] == "ordered") options["key"] = "a" + std::to_string(below(4)), options["c"] = "c0";
      schedule_.add(at,
                    [options, relay = any_relay(), id = "d" + std::to_string(++number)](Harness& harness) {
                      if (harness.is_running(relay)) harness.submit(relay, id, options);
                    });
    }
  }

  std::vector<std::string> names_;
  Millis duration_;
  std::mt19937_64 random_;
  Schedule schedule_;
};

}  // namespace

void set_up_wait_soak(Setup& setup) { setup.fleet = setup.share = false; }

std::string play_wait_soak(Harness& harness, double seconds, AnswerFaults faults) {
  for (const auto& endpoint : endpoints)
    harness.set_endpoint(endpoint.name, {{"for", endpoint.destination}, {"kind", endpoint.kind}});
  for (const auto& relay : harness.relay_names())
    if (!harness.start(relay, {})) return relay + " does not answer; its log:\n" + harness.process_log(relay);
  WaitSoak soak(harness, seconds, faults);
  soak.schedule().play(harness);
  for (const auto& relay : harness.relay_names()) {
    harness.resume(relay), harness.kill(relay);
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
