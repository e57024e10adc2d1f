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

struct Net {
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

  Net(int size, std::uint32_t seed) : size(size), random(seed) {
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
    auto end = now + within, look = now;
    while (true) {
      Millis next = end;
      int waking = -1;
      for (auto& [i, node] : nodes)
        if (node.runs && std::max(node.wake, node.stalled_until) < next)
          next = std::max(node.wake, node.stalled_until), waking = i;
      bool message = !events.empty() && events.top().at <= next;
      if (message) next = events.top().at;
      if (next >= look) {
        now = std::max(now, look), look = std::min(look + 100, end);
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

  bool sees(int at, int other, MemberState state) { return nodes[at].module->state(id(other)) == state; }
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
  int deaths_declared(int on = -1) {  // deaths declared, of any member or of one
    int count = 0;
    for (auto& [i, node] : nodes)
      for (const auto& change : node.changes)
        count += change.state == MemberState::dead && (on < 0 || change.member == id(on));
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
  void island(const std::function<int(int)>& of_node) {
    for (int i = 0; i < size; ++i)
      for (int j = 0; j < size; ++j)
        if (of_node(i) != of_node(j)) cut.insert({i, j});
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
  Net settled(std::uint32_t seed) {
    Net net(size(), seed);
    net.start_all();
    EXPECT_TRUE(net.run(healing_bound(size()), [&] { return net.settled(); }));
    return net;
  }
};

TEST_P(MembershipOf, DeclaresNoDeathsAndStaysWithinMessageRateWithoutFaults) {
  auto net = settled(1);
  auto since = net.now;
  net.run(minute);
  EXPECT_EQ(net.deaths_declared(), 0);
  auto [most, average] = net.rate(since);
  EXPECT_LE(most, 10);
  EXPECT_LE(average, 4.0);
  RecordProperty("messages", std::to_string(average));
}

TEST_P(MembershipOf, DeclaresNoDeathsUnderLossAndDelay) {
  for (std::uint32_t seed = 1; seed <= 3; ++seed) {
    auto net = settled(seed);
    net.loss = 0.15, net.max_delay = 100;
    auto since = net.now;
    net.run(2 * minute);
    EXPECT_EQ(net.deaths_declared(), 0) << seed;
    auto [most, average] = net.rate(since);
    EXPECT_LE(most, 10);
    EXPECT_LE(average, Membership::messages_per_second + 0.2);
  }
}

TEST_P(MembershipOf, DetectsOneDeathInBoundedTimeAndNoOther) {
  for (bool links_report : {false, true}) {
    auto net = settled(links_report ? 1 : 2);
    net.forget();
    net.kill(1, links_report);
    auto since = net.now;
    EXPECT_TRUE(net.run(detection_bound(size()), [&] { return net.all_see_as(1, MemberState::dead); }));
    RecordProperty(links_report ? "told" : "untold", std::to_string(net.now - since));
    net.run(20 * second);
    EXPECT_EQ(net.deaths_declared(), size() - 1);
    EXPECT_LE(net.rate(since).first, 10);
    // Its next incarnation is distinguished from the last.
    net.start(1, {2, 7});
    EXPECT_TRUE(net.run(healing_bound(size()), [&] { return net.settled(); }));
  }
}

TEST_P(MembershipOf, DetectsManySimultaneousDeaths) {
  auto net = settled(5);
  int dead = std::max(1, size() * 7 / 10);
  for (int i = 0; i < dead; ++i) net.kill(i);
  EXPECT_TRUE(net.run(2 * detection_bound(size()), [&] {
    for (int i = 0; i < dead; ++i)
      if (!net.all_see_as(i, MemberState::dead)) return false;
    return true;
  }));
  net.forget();
  net.run(20 * second);
  EXPECT_EQ(net.deaths_declared(), 0);
}

TEST_P(MembershipOf, BrokenLinkIsNotADeath) {
  for (bool one_way : {true, false}) {
    auto net = settled(one_way ? 1 : 2);
    net.cut = {{0, 1}};
    if (!one_way) net.cut.insert({1, 0});
    net.run(2 * minute);
    EXPECT_EQ(net.deaths_declared(), 0) << one_way;
  }
}

TEST_P(MembershipOf, FlappingLinkOrMemberIsNotADeath) {
  auto net = settled(3);
  net.link_down = [&](int from, int to) {  // one link, and all links of one member, down every other second
    bool down = static_cast<int>(net.now / second) % 2 == 0;
    return down && (from == 1 || to == 1 || (from == 0 && to == 2));
  };
  net.run(2 * minute);
  EXPECT_EQ(net.deaths_declared(), 0);
}

TEST_P(MembershipOf, MemberThatCannotSendIsDeclaredDeadAndDeclaresNobodyDead) {
  auto net = settled(4);
  for (int i = 1; i < size(); ++i) net.cut.insert({0, i});
  EXPECT_TRUE(net.run(detection_bound(size()), [&] { return net.all_see_as(0, MemberState::dead); }));
  net.run(minute);
  EXPECT_EQ(net.nodes[0].declared_dead, 1);
  EXPECT_EQ(net.deaths_declared() - net.deaths_declared(0), 0);
  net.cut.clear();
  EXPECT_TRUE(net.run(healing_bound(size()), [&] { return net.settled(); }));
}

TEST_P(MembershipOf, MemberThatCannotReceiveCausesNoOtherDeaths) {
  auto net = settled(4);
  for (int i = 1; i < size(); ++i) net.cut.insert({i, 0});
  EXPECT_TRUE(net.run(detection_bound(size()), [&] { return net.all_see_as(0, MemberState::dead); }));
  net.run(minute);
  for (int i = 1; i < size(); ++i)
    for (const auto& change : net.nodes[i].changes)
      EXPECT_TRUE(change.state != MemberState::dead || change.member == Net::id(0));
  net.cut.clear();
  EXPECT_TRUE(net.run(healing_bound(size()), [&] { return net.settled(); }));
}

TEST_P(MembershipOf, ThreePartitionsHeal) {
  for (std::uint32_t seed = 1; seed <= 3; ++seed) {
    auto net = settled(seed);
    net.island([](int node) { return node % 3; });
    EXPECT_TRUE(net.run(2 * detection_bound(size()), [&] {
      for (int i = 0; i < size(); ++i)
        for (int j = 0; j < size(); ++j)
          if (i != j && net.sees(i, j, MemberState::dead) != (i % 3 != j % 3)) return false;
      return true;
    }));
    net.cut.clear();
    auto since = net.now;
    EXPECT_TRUE(net.run(healing_bound(size()), [&] { return net.settled(); })) << seed << net.unsettled();
    RecordProperty("healed", std::to_string(net.now - since));
    net.forget();
    net.run(30 * second);
    EXPECT_EQ(net.deaths_declared(), 0);
    EXPECT_LE(net.rate(0).first, 10);
  }
}

TEST_P(MembershipOf, StalledMemberLearnsOfItsDeathAndDeclaresNobodyDead) {
  auto net = settled(6);
  net.nodes[0].stalled_until = net.now + 800;  // too short to be declared dead
  net.run(5 * second);
  EXPECT_EQ(net.deaths_declared(), 0);
  net.nodes[0].stalled_until = net.now + minute;
  EXPECT_TRUE(net.run(detection_bound(size()), [&] { return net.all_see_as(0, MemberState::dead, {0}); }));
  net.run(net.nodes[0].stalled_until - net.now);
  EXPECT_TRUE(net.run(healing_bound(size()), [&] { return net.settled(); }));
  EXPECT_GE(net.nodes[0].declared_dead, 1);
  EXPECT_EQ(net.deaths_declared(), net.deaths_declared(0));
}

TEST_P(MembershipOf, IsolatedMemberRecoversSoon) {
  auto net = settled(8);
  net.island([](int node) { return node == 0; });
  EXPECT_TRUE(net.run(2 * detection_bound(size()), [&] {
    return net.nodes[0].module->alive().size() == 1 && net.all_see_as(0, MemberState::dead);
  }));
  net.forget();
  net.cut.clear();
  EXPECT_TRUE(net.run(healing_bound(size()), [&] { return net.settled(); }));
  net.run(20 * second);
  EXPECT_EQ(net.deaths_declared(), 0);
}

INSTANTIATE_TEST_SUITE_P(Sizes, MembershipOf, testing::ValuesIn(sizes));

TEST(Membership, DistinguishesOlderProcessFromDuplicate) {
  Net net(3, 1);
  net.start_all();
  ASSERT_TRUE(net.run(10 * second, [&] { return net.settled(); }));
  // The first process still runs, as after a stall during which it was replaced.
  auto former = std::move(net.nodes[0].module);
  net.start(0, {2, 1});
  ASSERT_TRUE(net.run(10 * second, [&] { return net.settled(); }));
  former->begin_turn(net.now);
  former->on_message(Net::id(1), {ProbeMessageType::ping,
                                  1,
                                  Net::id(0),
                                  {{Net::id(1), net.nodes[1].incarnation, MemberState::alive, 0},
                                   {Net::id(0), {2, 1}, MemberState::alive, 0}}});
  auto actions = former->decide();
  ASSERT_EQ(actions.duplicates.size(), 1u);
  EXPECT_EQ(actions.duplicates[0].incarnation, (Incarnation{2, 1}));
  // Its updates are ignored, and it is told of its newer incarnation.
  auto& other = *net.nodes[1].module;
  other.begin_turn(net.now);
  other.on_message(Net::id(0), {ProbeMessageType::ping,
                                9,
                                Net::id(1),
                                {{Net::id(0), {1, 1}, MemberState::alive, 0},
                                 {Net::id(2), net.nodes[2].incarnation, MemberState::dead, 0}}});
  auto answer = other.decide();
  EXPECT_EQ(other.state(Net::id(2)), MemberState::alive);
  EXPECT_TRUE(answer.duplicates.empty());  // a lower number is an older process
  // An equal number with another nonce is a second process.
  other.on_message(Net::id(0),
                   {ProbeMessageType::ping, 9, Net::id(1), {{Net::id(0), {2, 5}, MemberState::alive, 0}}});
  EXPECT_EQ(other.decide().duplicates.size(), 1u);
}

TEST(Membership, SameSeedGivesSameMessages) {
  auto trace = [] {
    Net net(10, 42);
    net.start_all(), net.loss = 0.2;
    net.run(20 * second);
    std::vector<Millis> sent;
    for (auto& [i, node] : net.nodes) sent.insert(sent.end(), node.sent.begin(), node.sent.end());
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
      Net net(size, seed);
      net.start_all();
      auto within = [&](const char* name, const std::function<bool()>& condition_holds) {
        auto since = net.now;
        figures[net.run(2 * minute, condition_holds) ? name : "FAILED"].push_back(net.now - since);
      };
      within("1 all know all, from a cold start", [&] { return net.settled(); });
      net.run(10 * second);
      auto since = net.now;
      net.run(minute);
      figures["2 messages a second"].push_back(net.rate(since).second);
      net.forget();
      for (bool links_report : {true, false}) {
        int gone = links_report ? 1 : 2;
        net.kill(gone, links_report);
        auto was = net.now;
        within(links_report ? "3 killed, link broken: first verdict" : "5 silent: first verdict",
               [&] { return net.deaths_declared(gone) > 0; });
        net.run(minute, [&] { return net.all_see_as(gone, MemberState::dead); });
        figures[links_report ? "4 killed, link broken: all know" : "6 silent: all know"].push_back(net.now -
                                                                                                   was);
        net.start(gone, {2, 7});
        net.run(minute, [&] { return net.settled(); });
      }
      net.island([](int node) { return node % 3; });
      net.run(minute);
      net.cut.clear();
      within("7 three islands healed", [&] { return net.settled(); });
      net.run(minute);
      figures["8 most messages in any second"].push_back(net.rate(0).first);
      figures["9 wrong verdicts after all"].push_back((net.forget(), net.run(minute), net.deaths_declared()));
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
    Net net(size, static_cast<std::uint32_t>(*rc::gen::inRange(1, 1'000'000)));
    net.start_all();
    std::uint64_t number = 1;
    for (auto [kind, one, other] : faults) {
      auto& node = net.nodes[one];
      if (kind == 0) node.runs = false;
      else if (kind == 1) net.start(one, {++number, net.random()});
      else if (kind == 2 && node.runs) node.stalled_until = net.now + 500.0 * other;
      else if (kind == 3) net.cut.insert({one, other});
      else if (kind == 4) net.cut.clear();
      else net.loss = 0.05 * other;
      net.run(1500);
    }
    net.cut.clear(), net.loss = 0;
    for (auto& [i, node] : net.nodes)
      if (!node.runs) net.start(i, {++number, net.random()});
    RC_ASSERT(net.run(6 * second + healing_bound(size), [&] { return net.settled(); }));
    net.forget();
    net.run(20 * second);
    RC_ASSERT(net.deaths_declared() == 0);
    RC_ASSERT(net.rate(0).first <= 10);
  }));
}

}  // namespace
}  // namespace rockcrank::fleet
