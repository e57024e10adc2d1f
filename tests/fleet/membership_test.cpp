// Tests membership on a simulated network with virtual time: random delays, losses, cut links, stalls, kills
// and restarts. Checks that no live and reachable member is declared dead, that a dead one is found in
// bounded time with a bounded number of messages, and that all views agree after healing.
#include "fleet/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace rockcrank::fleet {
namespace {

constexpr Millis second = 1000, minute = 60 * second;

struct Network {
  struct Node {
    std::unique_ptr<Membership> module;
    Incarnation incarnation;
    bool runs = false;
    Millis stalled_until = -1, wake = 0;
    std::vector<std::pair<int, MembershipMessage>> waiting;  // received while it was stalled
    std::vector<Millis> sent;
    std::vector<Membership::Change> changes;
    int declared_dead = 0, duplicates = 0;
  };
  struct Event {
    Millis at;
    std::uint64_t order;
    int from, to;
    MembershipMessage message;
    bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };

  Network(int size, std::uint32_t seed) : size(size), random(seed) {
    for (int i = 0; i < size; ++i) roster.push_back({id(i), "n" + std::to_string(i), "h0"});
    for (int i = 0; i < size; ++i) nodes[i];
  }
  static MemberId id(int node) { return MemberId(node + 1); }
  static int of(MemberId member) { return static_cast<int>(member) - 1; }
  double draw(double low, double high) { return std::uniform_real_distribution<double>(low, high)(random); }

  void start(int at, Incarnation incarnation) {
    auto& node = nodes[at];
    node.incarnation = incarnation, node.runs = true, node.stalled_until = -1, node.wake = now;
    node.sent.clear(), node.module = Membership::make(roster, id(at), incarnation, random());
  }
  void start_all() {
    for (int i = 0; i < size; ++i) start(i, {1, random()});
  }
  void kill(int at, bool links_report = false) {
    nodes[at].runs = false;
    for (int i = 0; i < size && links_report; ++i)
      if (auto& node = nodes[i]; i != at && node.runs)
        node.module->begin_turn(now), node.module->on_link_change(id(at), nodes[at].incarnation, false),
            turn(i, false);
  }

  void turn(int at, bool begins_turn = true) {
    auto& node = nodes[at];
    if (begins_turn) node.module->begin_turn(now);
    for (auto& [from, message] : std::exchange(node.waiting, {})) node.module->on_message(id(from), message);
    auto actions = node.module->decide();
    for (auto& send : actions.sends) {
      node.sent.push_back(now);
      int to = of(send.to);
      if (cut.count({at, to}) || (link_down && link_down(at, to)) || draw(0, 1) < loss) continue;
      events.push({now + draw(min_delay, max_delay), ++order, at, to, std::move(send.message)});
    }
    node.changes.insert(node.changes.end(), actions.changes.begin(), actions.changes.end());
    node.declared_dead += actions.declared_dead,
        node.duplicates += static_cast<int>(actions.duplicates.size());
    node.wake = now + actions.wake_in;
    ASSERT_GE(actions.wake_in, 0);
  }

  // Runs until the condition holds, checked ten times a second; returns whether it held.
  bool run(
      Millis within, const std::function<bool()>& condition_holds = [] { return false; }) {
    auto end = now + within, next_check = now;
    while (true) {
      Millis next = end;
      int waking = -1;
      for (auto& [i, node] : nodes)
        if (node.runs && std::max(node.wake, node.stalled_until) < next)
          next = std::max(node.wake, node.stalled_until), waking = i;
      bool message = !events.empty() && events.top().at <= next;
      if (message) next = events.top().at;
      if (next >= next_check) {
        now = std::max(now, next_check), next_check = std::min(next_check + 100, end);
        if (condition_holds()) return true;
        if (now >= end) return false;
        continue;
      }
      now = std::max(now, next);
      if (message) {
        auto event = events.top();
        events.pop();
        auto& node = nodes[event.to];
        if (!node.runs) continue;
        node.waiting.emplace_back(event.from, std::move(event.message));
        if (node.stalled_until <= now) turn(event.to);
      } else if (waking >= 0) {
        turn(waking);
      }
    }
  }

  bool sees(int observer, int other, MemberState state) {
    return nodes[observer].module->state(id(other)) == state;
  }
  bool all_see_as(int other, MemberState state, const std::set<int>& except = {}) {
    for (auto& [i, node] : nodes)
      if (i != other && node.runs && !except.count(i) && !sees(i, other, state)) return false;
    return true;
  }
  bool settled() {  // all running nodes see each other alive, in their current incarnations
    for (auto& [i, node] : nodes)
      for (auto& [j, other] : nodes)
        if (i != j && node.runs && other.runs &&
            (!sees(i, j, MemberState::alive) || node.module->incarnation(id(j)) != other.incarnation))
          return false;
    return true;
  }
  std::string unsettled() {  // for the message of a failed test
    std::string text;
    for (auto& [i, node] : nodes)
      for (auto& [j, other] : nodes)
        if (i != j && node.runs && other.runs && text.size() < 200 && !sees(i, j, MemberState::alive))
          text += " " + std::to_string(i) + " sees " + std::to_string(j) + " as " +
                  std::to_string(static_cast<int>(node.module->state(id(j))));
    return text;
  }
  int deaths_declared(int member_index = -1) {  // deaths declared, of any member or of one
    int count = 0;
    for (auto& [i, node] : nodes)
      for (const auto& change : node.changes)
        count += change.state == MemberState::dead && (member_index < 0 || change.member == id(member_index));
    return count;
  }
  void forget() {
    for (auto& [i, node] : nodes) node.changes.clear(), node.declared_dead = 0;
  }
  // The most messages sent by one member in any second, and the highest average from `since` on.
  std::pair<int, double> rate(Millis since) {
    int most = 0;
    double average = 0;
    for (auto& [i, node] : nodes) {
      std::size_t first = 0, counted = 0;
      for (std::size_t k = 0; k < node.sent.size(); ++k) {
        while (node.sent[k] - node.sent[first] >= second) ++first;
        most = std::max(most, static_cast<int>(k - first + 1));
        counted += node.sent[k] >= since;
      }
      average = std::max(average, static_cast<double>(counted) * second / std::max(1.0, now - since));
    }
    return {most, average};
  }
  void partition(const std::function<int(int)>& side_of) {
    for (int i = 0; i < size; ++i)
      for (int j = 0; j < size; ++j)
        if (side_of(i) != side_of(j)) cut.insert({i, j});
  }

  int size;
  std::minstd_rand random;
  Roster roster;
  std::map<int, Node> nodes;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t order = 0;
  Millis now = 0, min_delay = 0.1, max_delay = 2;
  double loss = 0;
  std::set<std::pair<int, int>> cut;  // from, to
  std::function<bool(int, int)> link_down;
};

// Upper bounds on the time to detect a death, and to agree again after faults end.
Millis detection_bound(int size) { return 4 * second + 2400 * std::log2(size); }
Millis healing_bound(int size) { return 6 * second + 2000 * std::log2(size); }

const int sizes[] = {3, 5, 10, 30, 100};

class MembershipOf : public testing::TestWithParam<int> {
 protected:
  int size() const { return GetParam(); }
  // A started network in which all nodes see each other.
  Network settled(std::uint32_t seed) {
    Network network(size(), seed);
    network.start_all();
    EXPECT_TRUE(network.run(healing_bound(size()), [&] { return network.settled(); }));
    return network;
  }
};

TEST_P(MembershipOf, DeclaresNoDeathsAndStaysWithinMessageRateWithoutFaults) {
  auto network = settled(1);
  auto since = network.now;
  network.run(minute);
  EXPECT_EQ(network.deaths_declared(), 0);
  auto [most, average] = network.rate(since);
  EXPECT_LE(most, 10);
  EXPECT_LE(average, 4.0);
  RecordProperty("messages", std::to_string(average));
}

TEST_P(MembershipOf, DeclaresNoDeathsUnderLossAndDelay) {
  for (std::uint32_t seed = 1; seed <= 3; ++seed) {
    auto network = settled(seed);
    network.loss = 0.15, network.max_delay = 100;
    auto since = network.now;
    network.run(2 * minute);
    EXPECT_EQ(network.deaths_declared(), 0) << seed;
    auto [most, average] = network.rate(since);
    EXPECT_LE(most, 10);
    EXPECT_LE(average, Membership::messages_per_second + 0.2);
  }
}

TEST_P(MembershipOf, DetectsOneDeathInBoundedTimeAndNoOther) {
  for (bool links_report : {false, true}) {
    auto network = settled(links_report ? 1 : 2);
    network.forget();
    network.kill(1, links_report);
    auto since = network.now;
    EXPECT_TRUE(
        network.run(detection_bound(size()), [&] { return network.all_see_as(1, MemberState::dead); }));
    RecordProperty(links_report ? "told" : "untold", std::to_string(network.now - since));
    network.run(20 * second);
    EXPECT_EQ(network.deaths_declared(), size() - 1);
    EXPECT_LE(network.rate(since).first, 10);
    // Its next incarnation is distinguished from the last.
    network.start(1, {2, 7});
    EXPECT_TRUE(network.run(healing_bound(size()), [&] { return network.settled(); }));
  }
}

TEST_P(MembershipOf, DetectsManySimultaneousDeaths) {
  auto network = settled(5);
  int dead = std::max(1, size() * 7 / 10);
  for (int i = 0; i < dead; ++i) network.kill(i);
  EXPECT_TRUE(network.run(2 * detection_bound(size()), [&] {
    for (int i = 0; i < dead; ++i)
      if (!network.all_see_as(i, MemberState::dead)) return false;
    return true;
  }));
  network.forget();
  network.run(20 * second);
  EXPECT_EQ(network.deaths_declared(), 0);
}

TEST_P(MembershipOf, BrokenLinkIsNotADeath) {
  for (bool one_way : {true, false}) {
    auto network = settled(one_way ? 1 : 2);
    network.cut = {{0, 1}};
    if (!one_way) network.cut.insert({1, 0});
    network.run(2 * minute);
    EXPECT_EQ(network.deaths_declared(), 0) << one_way;
  }
}

TEST_P(MembershipOf, FlappingLinkOrMemberIsNotADeath) {
  auto network = settled(3);
  network.link_down = [&](int from,
                          int to) {  // one link, and all links of one member, down every other second
    bool down = static_cast<int>(network.now / second) % 2 == 0;
    return down && (from == 1 || to == 1 || (from == 0 && to == 2));
  };
  network.run(2 * minute);
  EXPECT_EQ(network.deaths_declared(), 0);
}

TEST_P(MembershipOf, MemberThatCannotSendIsDeclaredDeadAndDeclaresNobodyDead) {
  auto network = settled(4);
  for (int i = 1; i < size(); ++i) network.cut.insert({0, i});
  EXPECT_TRUE(network.run(detection_bound(size()), [&] { return network.all_see_as(0, MemberState::dead); }));
  network.run(minute);
  EXPECT_EQ(network.nodes[0].declared_dead, 1);
  EXPECT_EQ(network.deaths_declared() - network.deaths_declared(0), 0);
  network.cut.clear();
  EXPECT_TRUE(network.run(healing_bound(size()), [&] { return network.settled(); }));
}

TEST_P(MembershipOf, MemberThatCannotReceiveCausesNoOtherDeaths) {
  auto network = settled(4);
  for (int i = 1; i < size(); ++i) network.cut.insert({i, 0});
  EXPECT_TRUE(network.run(detection_bound(size()), [&] { return network.all_see_as(0, MemberState::dead); }));
  network.run(minute);
  for (int i = 1; i < size(); ++i)
    for (const auto& change : network.nodes[i].changes)
      EXPECT_TRUE(change.state != MemberState::dead || change.member == Network::id(0));
  network.cut.clear();
  EXPECT_TRUE(network.run(healing_bound(size()), [&] { return network.settled(); }));
}

TEST_P(MembershipOf, ThreePartitionsHeal) {
  for (std::uint32_t seed = 1; seed <= 3; ++seed) {
    auto network = settled(seed);
    network.partition([](int node) { return node % 3; });
    EXPECT_TRUE(network.run(2 * detection_bound(size()), [&] {
      for (int i = 0; i < size(); ++i)
        for (int j = 0; j < size(); ++j)
          if (i != j && network.sees(i, j, MemberState::dead) != (i % 3 != j % 3)) return false;
      return true;
    }));
    network.cut.clear();
    auto since = network.now;
    EXPECT_TRUE(network.run(healing_bound(size()), [&] { return network.settled(); }))
        << seed << network.unsettled();
    RecordProperty("healed", std::to_string(network.now - since));
    network.forget();
    network.run(30 * second);
    EXPECT_EQ(network.deaths_declared(), 0);
    EXPECT_LE(network.rate(0).first, 10);
  }
}

TEST_P(MembershipOf, StalledMemberLearnsOfItsDeathAndDeclaresNobodyDead) {
  auto network = settled(6);
  network.nodes[0].stalled_until = network.now + 800;  // too short to be declared dead
  network.run(5 * second);
  EXPECT_EQ(network.deaths_declared(), 0);
  network.nodes[0].stalled_until = network.now + minute;
  EXPECT_TRUE(
      network.run(detection_bound(size()), [&] { return network.all_see_as(0, MemberState::dead, {0}); }));
  network.run(network.nodes[0].stalled_until - network.now);
  EXPECT_TRUE(network.run(healing_bound(size()), [&] { return network.settled(); }));
  EXPECT_GE(network.nodes[0].declared_dead, 1);
  EXPECT_EQ(network.deaths_declared(), network.deaths_declared(0));
}

TEST_P(MembershipOf, IsolatedMemberRecoversSoon) {
  auto network = settled(8);
  network.partition([](int node) { return node == 0; });
  EXPECT_TRUE(network.run(2 * detection_bound(size()), [&] {
    return network.nodes[0].module->alive().size() == 1 && network.all_see_as(0, MemberState::dead);
  }));
  network.forget();
  network.cut.clear();
  EXPECT_TRUE(network.run(healing_bound(size()), [&] { return network.settled(); }));
  network.run(20 * second);
  EXPECT_EQ(network.deaths_declared(), 0);
}

INSTANTIATE_TEST_SUITE_P(Sizes, MembershipOf, testing::ValuesIn(sizes));

TEST(Membership, DistinguishesOlderProcessFromDuplicate) {
  Network network(3, 1);
  network.start_all();
  ASSERT_TRUE(network.run(10 * second, [&] { return network.settled(); }));
  // The first process still runs, as after a stall during which it was replaced.
  auto former = std::move(network.nodes[0].module);
  network.start(0, {2, 1});
  ASSERT_TRUE(network.run(10 * second, [&] { return network.settled(); }));
  former->begin_turn(network.now);
  former->on_message(Network::id(1), {ProbeMessageType::ping,
                                      1,
                                      Network::id(0),
                                      {{Network::id(1), network.nodes[1].incarnation, MemberState::alive, 0},
                                       {Network::id(0), {2, 1}, MemberState::alive, 0}}});
  auto actions = former->decide();
  ASSERT_EQ(actions.duplicates.size(), 1u);
  EXPECT_EQ(actions.duplicates[0].incarnation, (Incarnation{2, 1}));
  // Its updates are ignored, and it is told of its newer incarnation.
  auto& other = *network.nodes[1].module;
  other.begin_turn(network.now);
  other.on_message(Network::id(0), {ProbeMessageType::ping,
                                    9,
                                    Network::id(1),
                                    {{Network::id(0), {1, 1}, MemberState::alive, 0},
                                     {Network::id(2), network.nodes[2].incarnation, MemberState::dead, 0}}});
  auto answer = other.decide();
  EXPECT_EQ(other.state(Network::id(2)), MemberState::alive);
  EXPECT_TRUE(answer.duplicates.empty());  // a lower number is an older process
  // An equal number with another nonce is a second process.
  other.on_message(
      Network::id(0),
      {ProbeMessageType::ping, 9, Network::id(1), {{Network::id(0), {2, 5}, MemberState::alive, 0}}});
  EXPECT_EQ(other.decide().duplicates.size(), 1u);
}

TEST(Membership, SameSeedGivesSameMessages) {
  auto trace = [] {
    Network network(10, 42);
    network.start_all(), network.loss = 0.2;
    network.run(20 * second);
    std::vector<Millis> sent;
    for (auto& [i, node] : network.nodes) sent.insert(sent.end(), node.sent.begin(), node.sent.end());
    return sent;
  };
  EXPECT_EQ(trace(), trace());
}

// Prints the figures of docs/fleet-figures.md; run with --gtest_also_run_disabled_tests. Virtual
// milliseconds.
TEST(Membership, DISABLED_Figures) {
  for (int size : {3, 5, 10, 30, 100, 300}) {
    std::map<std::string, std::vector<double>> figures;
    for (std::uint32_t seed = 1; seed <= (size > 100 ? 1u : size > 30 ? 3u : 10u); ++seed) {
      Network network(size, seed);
      network.start_all();
      auto within = [&](const char* name, const std::function<bool()>& condition_holds) {
        auto since = network.now;
        figures[network.run(2 * minute, condition_holds) ? name : "FAILED"].push_back(network.now - since);
      };
      within("1 all know all, from a cold start", [&] { return network.settled(); });
      network.run(10 * second);
      auto since = network.now;
      network.run(minute);
      figures["2 messages a second"].push_back(network.rate(since).second);
      network.forget();
      for (bool links_report : {true, false}) {
        int gone = links_report ? 1 : 2;
        network.kill(gone, links_report);
        auto killed_at = network.now;
        within(links_report ? "3 killed, link broken: first verdict" : "5 silent: first verdict",
               [&] { return network.deaths_declared(gone) > 0; });
        network.run(minute, [&] { return network.all_see_as(gone, MemberState::dead); });
        figures[links_report ? "4 killed, link broken: all know" : "6 silent: all know"].push_back(
            network.now - killed_at);
        network.start(gone, {2, 7});
        network.run(minute, [&] { return network.settled(); });
      }
      network.partition([](int node) { return node % 3; });
      network.run(minute);
      network.cut.clear();
      within("7 three islands healed", [&] { return network.settled(); });
      network.run(minute);
      figures["8 most messages in any second"].push_back(network.rate(0).first);
      figures["9 wrong verdicts after all"].push_back(
          (network.forget(), network.run(minute), network.deaths_declared()));
    }
    for (auto& [name, values] : figures) {
      std::sort(values.begin(), values.end());
      std::printf("%4d %-40s %9.1f %9.1f %9.1f\n", size, name.c_str(), values.front(),
                  values[values.size() / 2], values.back());
    }
  }
}

// After any sequence of cuts, losses, stalls, kills and restarts, all members see each other again.
TEST(Membership, ViewsAgreeAfterAnyFaults) {
  setenv("RC_PARAMS", "seed=7 max_success=300", 0);  // reproducible; another seed may be given
  EXPECT_TRUE(rc::check([] {
    int size = *rc::gen::inRange(3, 12);
    auto faults = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, size), rc::gen::inRange(0, size)));
    Network network(size, static_cast<std::uint32_t>(*rc::gen::inRange(1, 1'000'000)));
    network.start_all();
    std::uint64_t number = 1;
    for (auto [kind, target, argument] : faults) {
      auto& node = network.nodes[target];
      if (kind == 0) node.runs = false;
      else if (kind == 1) network.start(target, {++number, network.random()});
      else if (kind == 2 && node.runs) node.stalled_until = network.now + 500.0 * argument;
      else if (kind == 3) network.cut.insert({target, argument});
      else if (kind == 4) network.cut.clear();
      else network.loss = 0.05 * argument;
      network.run(1500);
    }
    network.cut.clear(), network.loss = 0;
    for (auto& [i, node] : network.nodes)
      if (!node.runs) network.start(i, {++number, network.random()});
    RC_ASSERT(network.run(6 * second + healing_bound(size), [&] { return network.settled(); }));
    network.forget();
    network.run(20 * second);
    RC_ASSERT(network.deaths_declared() == 0);
    RC_ASSERT(network.rate(0).first <= 10);
  }));
}

}  // namespace
}  // namespace rockcrank::fleet
