// Measures the fleet's parts on real processes on loopback, paired plays in turn, and prints tables:
// documents taken on, how soon a told wait is known, what a kill costs, a replacement warmed against a cold
// one. It must never stand in for a test: it judges no rule.

#include <sys/types.h>

#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>

#include "bench/load.h"
#include "trial/rig.h"

namespace {

using namespace rockcrank;
using bench::Load;
using bench::LoadOrder;
using bench::LoadResult;
using trial::Millis;
using trial::Rig;
using trial::Setup;

constexpr int done = 0, failed = 1, bad_arguments = 2;

struct Arguments {
  std::string part, program, old;
  int rounds = 3;
  double seconds = 1.5;
};

// Least, middle and greatest of several plays.
std::string spread(std::vector<double> all, int places = 0) {
  if (all.empty()) return "none";
  std::sort(all.begin(), all.end());
  char text[100];
  std::snprintf(text, sizeof text, "%.*f / %.*f / %.*f", places, all.front(), places, all[all.size() / 2],
                places, all.back());
  return text;
}
double share_of(std::vector<Millis> all, double share) {
  if (all.empty()) return -1;
  auto at = std::min(all.size() - 1, static_cast<std::size_t>(share * static_cast<double>(all.size())));
  std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(at), all.end());
  return all[at];
}

// Milliseconds of processor that a process, of one thread, has used.
Millis processor(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/schedstat");
  double nanos = 0;
  file >> nanos;
  return nanos / 1e6;
}

Setup plain_setup(const Arguments& all, int relays) {
  Setup setup;
  setup.program = all.program, setup.relays = relays, setup.settings = trial::plain_settings();
  setup.settings["specifics"]["slots"] = 128;
  return setup;
}
void start_all(Rig& rig, bool linked) {
  for (const auto& name : rig.names()) rig.start_at_once(name, {});
  for (const auto& name : rig.names())
    if (!rig.until(8000, [&] { return rig.answers(name); }))
      throw std::runtime_error(name + " does not answer");
  auto from = rig.now();
  if (linked && !rig.until(8000, [&] { return rig.linked(from); }))
    throw std::runtime_error("members do not reach each other");
}
void pause(Rig& rig, Millis time) {
  rig.until(time, [] { return false; });
}
std::vector<trial::Place> places(const Rig& rig) {
  std::vector<trial::Place> all;
  for (const auto& name : rig.names()) all.push_back(rig.clients_at(name));
  return all;
}

// ---- documents taken on

struct Taken {
  double rate = 0, cost = 0, p50 = 0, p99 = 0, busy = 0;
};

// First paced (waits of +OK, and processor for a document that is taken on, delivered and ended), then as
// many as the relays take.
Taken play_taken(const Arguments& all, Setup setup, double pace) {
  Rig rig(std::move(setup));
  for (int i = 0; i < 4; ++i)
    rig.endpoint("e" + std::to_string(i), {{"for", "1"}, {"rate", "20000"}, {"hall", i % 2 ? "h1" : "h0"}});
  start_all(rig, rig.setup().fleet);
  pause(rig, 300);
  auto used = [&] {
    Millis sum = 0;
    for (const auto& name : rig.names()) sum += processor(rig.process_of(name));
    return sum;
  };
  Taken play;
  LoadOrder order;
  order.relays = places(rig), order.mark = "p", order.rate = pace;
  auto before = used();
  Load paced(order);
  pause(rig, all.seconds * 1000);
  auto first = paced.end(0);
  pause(rig, 200);
  play.cost = (used() - before) * 1000 / static_cast<double>(std::max<std::uint64_t>(first.taken, 1));
  play.p50 = share_of(first.waits, 0.5), play.p99 = share_of(first.waits, 0.99);
  order.mark = "s", order.window = 256;  // relays answer once a tick: few at once would measure that
  Load full(order);
  pause(rig, all.seconds * 1000);
  auto second = full.end(0);
  play.rate = static_cast<double>(second.taken) / second.lasted * 1000;
  play.busy = static_cast<double>(second.busy + first.busy);
  return play;
}

struct Mode {
  std::string name;
  bool fleet = true, documents = false, wait = false, old = false;
};

void measure_taken(const Arguments& all, double pace) {
  std::vector<Mode> modes{{"off", false},
                          {"share only", true},
                          {"copies, +OK at once", true, true},
                          {"copies, +OK waits for one", true, true, true}};
  if (!all.old.empty()) modes.insert(modes.begin(), {"before the fleet's part", false, false, false, true});
  std::map<std::string, std::vector<Taken>> plays;
  for (int round = 0; round < all.rounds; ++round)
    for (const auto& mode : modes) {
      auto setup = plain_setup(all, 3);
      setup.fleet = mode.fleet, setup.documents = mode.documents;
      setup.fleet_keys["documents.wait"] = mode.wait ? "true" : "false";
      setup.fleet_keys["documents.lease_ms"] = "2000";
      setup.fleet_keys["link.queue_kb"] = "16384";
      if (mode.old) setup.program = all.old;
      plays[mode.name].push_back(play_taken(all, std::move(setup), pace));
      const auto& last = plays[mode.name].back();
      std::fprintf(stderr, "%s: %.0f a second, %.0f us, p50 %.2f p99 %.2f, busy %.0f\n", mode.name.c_str(),
                   last.rate, last.cost, last.p50, last.p99, last.busy);
    }
  std::printf(
      "\n| part | documents a second | of off in the same round | +OK p50 ms | +OK p99 ms | processor a "
      "document, us | -BUSY |\n| --- | --- | --- | --- | --- | --- | --- |\n");
  for (const auto& mode : modes) {
    auto of = [&](double Taken::*what) {
      std::vector<double> out;
      for (const auto& play : plays[mode.name]) out.push_back(play.*what);
      return out;
    };
    std::vector<double> shares;
    for (std::size_t i = 0; i < plays[mode.name].size(); ++i)
      shares.push_back(plays[mode.name][i].rate / plays["off"][i].rate);
    std::printf("| %s | %s | %s | %s | %s | %s | %s |\n", mode.name.c_str(), spread(of(&Taken::rate)).c_str(),
                spread(shares, 2).c_str(), spread(of(&Taken::p50), 2).c_str(),
                spread(of(&Taken::p99), 2).c_str(), spread(of(&Taken::cost)).c_str(),
                spread(of(&Taken::busy)).c_str());
  }
}

// ---- told waits

// From a 429 with Retry-After, as it is sent, to the line about that wait in the log of the last other relay.
std::vector<Millis> play_waits(const Arguments& all, Millis crossing, int plays) {
  auto setup = plain_setup(all, 5);
  Rig rig(std::move(setup));
  for (int i = 1; i <= plays; ++i)
    rig.endpoint("w" + std::to_string(i), {{"for", std::to_string(i)}, {"manner", "429"}, {"wait", "2"}});
  start_all(rig, true);
  for (const auto& from : rig.names())
    for (const auto& to : rig.names())
      if (crossing > 0 && from != to) rig.way(from, to, trial::Way::slow, crossing);
  pause(rig, 1000);
  std::vector<Millis> known;
  for (int i = 1; i <= plays; ++i) {
    auto names = rig.names();
    auto teller = names[static_cast<std::size_t>(i) % names.size()], id = "d" + std::to_string(i);
    std::map<std::string, std::size_t> seen;
    for (const auto& name : names) seen[name] = rig.process_log(name).size();
    auto from = rig.log().size();
    rig.hand(teller, id, {{"for", std::to_string(i)}, {"left", "600"}});
    if (!rig.until(3000, [&] { return rig.count("answer", {{"id", id}}, from) > 0; }))
      throw std::runtime_error("no call of " + id);
    Millis told = 0;
    for (auto at = from; at < rig.log().size(); ++at)
      if (rig.log()[at].matches("answer", {{"id", id}})) told = rig.log()[at].at;
    auto all_know = [&] {
      return std::all_of(names.begin(), names.end(), [&](const auto& name) {
        return name == teller || rig.process_log(name).find("Retry-After wait reported by another relay",
                                                            seen[name]) != std::string::npos;
      });
    };
    auto end = rig.now() + 3000;
    while (!all_know() && rig.now() < end) pause(rig, 0.5);
    if (rig.now() >= end) std::fprintf(stderr, "wait %d is not known everywhere after 3 s\n", i);
    known.push_back(rig.now() - told);
    pause(rig, 120);
  }
  return known;
}

void measure_waits(const Arguments& all) {
  std::printf(
      "\n| one crossing | plays | p50 ms | p99 ms | least / middle / greatest ms | aim: p99 under |\n"
      "| --- | --- | --- | --- | --- | --- |\n");
  for (Millis crossing : {0.0, 10.0}) {
    auto known = play_waits(all, crossing, 40);
    std::printf("| %.0f ms | %zu | %.1f | %.1f | %s | %.0f ms |\n", crossing, known.size(),
                share_of(known, 0.5), share_of(known, 0.99), spread(known, 1).c_str(), 2 * crossing + 50);
  }
}

// ---- a kill

struct Killed {
  Millis took = -1;
  std::size_t owed = 0, left = 0;
};

Killed play_kill(const Arguments& all, const std::string& lease, unsigned long seed) {
  auto setup = plain_setup(all, 3);
  setup.documents = true, setup.seed = seed;
  setup.settings["specifics"]["slots"] = 32;
  setup.fleet_keys["documents.lease_ms"] = lease;
  Rig rig(std::move(setup));
  rig.endpoint("e1", {{"for", "1"}, {"rate", "2000"}, {"after", "50"}});
  start_all(rig, true);
  pause(rig, 1000);
  for (int i = 0; i < 300; ++i)
    rig.hand("n1", "k" + std::to_string(i), {{"key", std::to_string(i)}, {"left", "18000"}});
  rig.until(2000, [&] { return rig.settled(); });
  Killed play;
  play.owed = rig.unended().size();
  rig.kill("n1");
  auto killed = rig.now();
  bool all_ended = rig.until(19000, [&] { return rig.unended().empty(); });
  play.took = rig.now() - killed, play.left = rig.unended().size();
  if (!all_ended) std::fprintf(stderr, "%zu of %zu documents have no end\n", play.left, play.owed);
  return play;
}

void measure_kill(const Arguments& all) {
  std::printf(
      "\n| lease | plays | documents owed at the kill | to the last final answer, ms | without an end |\n"
      "| --- | --- | --- | --- | --- |\n");
  std::map<std::string, std::vector<Killed>> plays;
  for (int round = 0; round < all.rounds; ++round)
    for (const auto* lease : {"1000", "2000"})
      plays[lease].push_back(play_kill(all, lease, static_cast<unsigned long>(round) + 1));
  for (const auto& [lease, all_plays] : plays) {
    std::vector<double> took, owed;
    std::size_t left = 0;
    for (const auto& play : all_plays) {
      took.push_back(play.took), owed.push_back(static_cast<double>(play.owed));
      left += play.left;
    }
    std::printf("| %s ms | %zu | %s | %s | %zu |\n", lease.c_str(), all_plays.size(), spread(owed).c_str(),
                spread(took).c_str(), left);
  }
}

// ---- a replacement

constexpr int popular = 30;       // endpoints, one for each destination, asked for by Zipf
constexpr Millis soon = 5;        // a call that comes so soon after its connection has waited for it
constexpr Millis window = 250;    // of the search for the steady state
constexpr Millis warm_up = 4000;  // traffic before the kill; the last half of it is the steady state
constexpr Millis watched = 8000;  // of the replacement's life

struct Replaced {
  double met = 0, steady_after = 0, wasted = 0, refused = 0, opened = 0;
};

Replaced play_replaced(const Arguments& all, bool warmed, unsigned seed) {
  auto setup = plain_setup(all, 5);
  setup.share = setup.warm = warmed, setup.seed = seed;
  setup.fleet_keys["warm.connections"] = "64", setup.fleet_keys["warm.neighbours"] = "4";
  Rig rig(std::move(setup));
  LoadOrder order;
  for (int i = 1; i <= popular; ++i) {
    rig.endpoint(
        "d" + std::to_string(i),
        {{"for", std::to_string(i)}, {"rate", "500"}, {"after", "15"}, {"hall", i % 2 ? "h0" : "h1"}});
    order.weights.push_back(1.0 / i);
  }
  // One more destination, under a told wait when the replacement comes.
  rig.endpoint("shut", {{"for", std::to_string(popular + 1)}, {"rate", "500"}, {"after", "15"}});
  order.weights.push_back(0.2);
  start_all(rig, warmed);
  pause(rig, 300);
  order.relays = places(rig), order.mark = "r", order.rate = 120, order.connections = 1, order.left = 4000;
  order.seed = seed;
  Load load(order);
  pause(rig, warm_up);
  rig.endpoint("shut", {{"for", std::to_string(popular + 1)}, {"manner", "429"}, {"wait", "3"}});
  pause(rig, 500);
  auto killed = rig.now();
  rig.kill("n5");
  rig.empty_folder("n5");
  rig.start_at_once("n5", {});
  auto from = rig.log().size();
  pause(rig, watched);
  load.end(0);
  // A connection: when it came up, and when its first call came. A call has met a handshake if it is the
  // first of its connection and came at once.
  struct Connection {
    Millis up = 0, first = -1;
  };
  std::map<std::string, Connection> connections;
  std::map<int, std::pair<int, int>> windows;  // calls, and those that met a handshake
  int steady_calls = 0, steady_met = 0;
  Millis began = -1;
  Replaced play;
  for (std::size_t at = 0; at < rig.log().size(); ++at) {
    const auto& entry = rig.log()[at];
    if (entry.field("r") != "n5") continue;
    if (at >= from && entry.kind == "answer" && entry.field("status") != "200") ++play.refused;
    // What goes to the one under a told wait is counted as refused, and as nothing else.
    if (entry.field("e") == "shut") continue;
    if (entry.kind == "conn") connections[entry.field("conn")] = {entry.at, -1};
    if (entry.kind != "call") continue;
    auto& connection = connections[entry.field("conn")];
    bool met = connection.first < 0 && entry.at - connection.up < soon;
    if (connection.first < 0) connection.first = entry.at;
    if (at < from) {
      if (entry.at > killed - warm_up / 2) ++steady_calls, steady_met += met;
      continue;
    }
    if (began < 0) began = entry.at;
    auto& counted = windows[static_cast<int>((entry.at - began) / window)];
    ++counted.first, counted.second += met, play.met += met;
  }
  for (const auto& [number, connection] : connections)
    if (connection.up > killed) ++play.opened, play.wasted += connection.first < 0;
  auto steady = 1 - static_cast<double>(steady_met) / std::max(steady_calls, 1);
  // The end of the last window that is below 90 in 100 of the steady state.
  for (const auto& [number, counted] : windows)
    if (1 - static_cast<double>(counted.second) / counted.first < 0.9 * steady)
      play.steady_after = window * (number + 1);
  return play;
}

void measure_replaced(const Arguments& all) {
  std::map<bool, std::vector<Replaced>> plays;
  for (int round = 0; round < all.rounds; ++round)
    for (bool warmed : {false, true}) {
      plays[warmed].push_back(play_replaced(all, warmed, static_cast<unsigned>(round) + 1));
      const auto& last = plays[warmed].back();
      std::fprintf(stderr, "%s: met %.0f, steady after %.0f ms, wasted %.0f of %.0f, refused %.0f\n",
                   warmed ? "warmed" : "cold", last.met, last.steady_after, last.wasted, last.opened,
                   last.refused);
    }
  std::printf(
      "\n| replacement | handshakes met by documents in its first %.0f s | steady after, ms | connections | "
      "never used | calls refused |\n| --- | --- | --- | --- | --- | --- |\n",
      watched / 1000);
  for (auto& [warmed, own] : plays) {
    auto of = [&, &own = own](double Replaced::*what) {
      std::vector<double> out;
      for (const auto& play : own) out.push_back(play.*what);
      return spread(out);
    };
    std::printf("| %s | %s | %s | %s | %s | %s |\n", warmed ? "warmed" : "cold", of(&Replaced::met).c_str(),
                of(&Replaced::steady_after).c_str(), of(&Replaced::opened).c_str(),
                of(&Replaced::wasted).c_str(), of(&Replaced::refused).c_str());
  }
}

Arguments read_arguments(int argc, char** argv, double& pace) {
  cxxopts::Options options("rockcrank_fleet_bench", "figures of the fleet's parts on real processes");
  options.add_options()("part", "taken, waits, kill or replaced; all if left out",
                        cxxopts::value<std::string>())("rounds", "paired plays, 1 to 100",
                                                       cxxopts::value<int>()->default_value("3"))(
      "seconds", "of each load of `taken`, 0.2 to 60", cxxopts::value<double>()->default_value("1.2"))(
      "pace", "documents a second to each relay in `taken`", cxxopts::value<double>()->default_value("500"))(
      "program", "path of rockcrank; else beside this program", cxxopts::value<std::string>())(
      "old", "another rockcrank, measured without a fleet file beside", cxxopts::value<std::string>())(
      "h,help", "this");
  auto given = options.parse(argc, argv);
  if (given.count("help")) std::fputs(options.help().c_str(), stdout), std::exit(done);
  if (!given.unmatched().empty()) throw std::runtime_error("what is '" + given.unmatched().front() + "'?");
  Arguments all;
  if (given.count("part")) all.part = given["part"].as<std::string>();
  if (given.count("program")) all.program = given["program"].as<std::string>();
  if (given.count("old")) all.old = given["old"].as<std::string>();
  all.rounds = given["rounds"].as<int>(), all.seconds = given["seconds"].as<double>();
  pace = given["pace"].as<double>();
  auto wrong = [](const std::string& what) { throw std::runtime_error(what); };
  if (all.rounds < 1 || all.rounds > 100) wrong("--rounds is from 1 to 100");
  if (!(all.seconds >= 0.2 && all.seconds <= 60)) wrong("--seconds is from 0.2 to 60");
  if (!(pace >= 1 && pace <= 20000)) wrong("--pace is from 1 to 20000");
  if (!all.part.empty() && all.part != "taken" && all.part != "waits" && all.part != "kill" &&
      all.part != "replaced")
    wrong("--part is taken, waits, kill or replaced, not '" + all.part + "'");
  if (all.program.empty())
    for (const char* place : {"rockcrank", "../rockcrank"}) {
      auto beside = std::filesystem::read_symlink("/proc/self/exe").parent_path() / place;
      if (all.program.empty() && std::filesystem::is_regular_file(beside)) all.program = beside.string();
    }
  for (const auto& program : {all.program, all.old.empty() ? all.program : all.old})
    if (!std::filesystem::is_regular_file(program))
      wrong("no program at '" + program + "'; --program PATH tells where rockcrank is");
  return all;
}

}  // namespace

int main(int argc, char** argv) {
  Arguments all;
  double pace = 0;
  try {
    all = read_arguments(argc, argv, pace);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank_fleet_bench: %s\n", error.what());
    return bad_arguments;
  }
  try {
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    auto wanted = [&](const char* part) { return all.part.empty() || all.part == part; };
    if (wanted("taken")) measure_taken(all, pace);
    if (wanted("waits")) measure_waits(all);
    if (wanted("kill")) measure_kill(all);
    if (wanted("replaced")) measure_replaced(all);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank_fleet_bench: %s\n", error.what());
    return failed;
  }
  return done;
}
