// Tests of the replicated registers: properties of the merge rules, and members that spread updates and catch
// up over links with delays, losses and cuts on a virtual clock. Prints the figures that it measures.

#include "fleet/registers.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "fleet/errors.h"
#include "fleet/register_table.h"
#include "peer/codec.h"

namespace rockcrank::fleet {
namespace {

using MergeResult = RegisterTable::MergeResult;

// Few distinct values, so that equal versions, ties and equal records are frequent.
RegisterRecord random_record() {
  auto below = [](int most) { return *rc::gen::inRange(0, most); };
  RegisterRecord record;
  record.kind = RegisterKind(below(4));
  record.name = record.kind == RegisterKind::offline ? "e" + std::to_string(below(2))
                                                     : "d000000000000000" + std::to_string(below(2));
  record.version = {std::uint64_t(below(4)), MemberId(below(3))};
  record.incarnation = {std::uint64_t(below(2)), 0};
  if (record.kind == RegisterKind::retry_after) record.duration = 1000 * (1 + below(3));
  if (record.kind == RegisterKind::outage)
    record.state = RouteState(below(3)), record.rate_before_outage = below(2);
  if (record.kind == RegisterKind::rate_limit)
    record.rate_limit = 1 + below(3), record.remaining_share = below(2);
  if (record.kind == RegisterKind::offline) record.offline = below(2);
  return record;
}

using Writes = std::vector<std::pair<RegisterRecord, Millis>>;  // with the time at which it was written
Writes random_writes(int most) {
  Writes writes;
  for (int i = *rc::gen::inRange(0, most); i > 0; --i) {
    auto record = random_record();
    writes.emplace_back(record, 10.0 * *rc::gen::inRange(0, 4));
  }
  return writes;
}

std::string contents(const RegisterTable& table, bool with_moments) {
  std::string all;
  for (const auto& [key, entry] : table.entries()) {
    all += peer::packed(entry.record);
    if (with_moments) all += peer::packed(entry.written_at);
  }
  return all;
}
std::uint64_t digest(const RegisterTable& table) {
  std::uint64_t sum = 0;
  for (RegisterKind kind : kinds_by_priority) sum = sum * 31 + table.digest(kind, 0, 0).sum;
  return sum;
}
RegisterTable table_of(const Writes& writes) {
  RegisterTable table;
  for (const auto& [record, at] : writes) table.merge(record, at, 100);
  return table;
}

TEST(RegisterTable, MergeIsCommutativeAssociativeAndIdempotent) {
  EXPECT_TRUE(rc::check("commutative, associative, idempotent", [] {
    auto writes = random_writes(24);
    auto again = writes;
    for (int i = *rc::gen::inRange(0, 8); i > 0 && !writes.empty(); --i)
      again.push_back(writes[*rc::gen::inRange<std::size_t>(0, writes.size())]);
    std::shuffle(again.begin(), again.end(), std::minstd_rand(*rc::gen::arbitrary<unsigned>()));
    // Associativity: one merged table is merged as a whole into another.
    auto cut = again.empty() ? 0 : *rc::gen::inRange<std::size_t>(0, again.size());
    auto first = table_of({again.begin(), again.begin() + cut});
    auto second = table_of({again.begin() + cut, again.end()});
    for (const auto& [key, entry] : second.entries()) first.merge(entry.record, entry.written_at, 100);
    RC_ASSERT(contents(first, true) == contents(table_of(writes), true));
  }));
}

TEST(RegisterTable, DigestsAreEqualIfAndOnlyIfContentsAre) {
  EXPECT_TRUE(rc::check("equal digests, equal contents", [] {
    auto first = table_of(random_writes(6)), second = table_of(random_writes(6));
    RC_ASSERT((digest(first) == digest(second)) == (contents(first, false) == contents(second, false)));
    for (RegisterKind kind : kinds_by_priority) {
      auto whole = first.digest(kind, 0, 0);
      std::uint64_t sum = 0, entries = 0;
      for (std::uint64_t i = 0; i < 1 << 14; ++i) {
        auto part = first.digest(kind, i, 14);
        sum += part.sum, entries += part.entry_count;
      }
      RC_ASSERT(sum == whole.sum && entries == whole.entry_count);
    }
  }));
}

TEST(RegisterTable, KeepsAndReportsConflictingRecords) {
  RegisterRecord offline_record, online_record;
  offline_record.kind = online_record.kind = RegisterKind::offline,
  offline_record.name = online_record.name = "e1";
  offline_record.version = online_record.version = {5, MemberId{1}}, offline_record.offline = true;
  for (bool first : {true, false}) {
    RegisterTable table;
    table.merge(first ? offline_record : online_record, 0, 0),
        table.merge(first ? online_record : offline_record, 0, 0);
    EXPECT_TRUE(table.find(key_of(offline_record))->record.offline);
    ASSERT_EQ(table.conflicting_records().size(), 1u);
    EXPECT_FALSE(table.conflicting_records().begin()->second.front().offline);
    EXPECT_EQ(table.take_conflicts().size(), 1u);
    table.merge(online_record, 0, 0);
    EXPECT_TRUE(table.take_conflicts().empty());
  }
}

TEST(RegisterTable, SupersededRecordDoesNotReturn) {
  RegisterRecord down;
  down.kind = RegisterKind::outage, down.name = "d0000000000000001", down.state = RouteState::down;
  down.version = {1, MemberId{1}};
  RegisterRecord well = down;
  well.state = RouteState::healthy, well.version = {2, MemberId{2}};
  RegisterTable table;
  table.merge(down, 0, 0), table.merge(well, 1000, 1000);
  auto end = 1000 + retention_of(well);
  for (Millis now = 2000; now < end + 5000; now += 60e3) {
    table.remove_outdated(now);
    EXPECT_NE(table.merge(down, 0, now), MergeResult::applied) << now;
  }
  table.remove_outdated(end + 1);
  EXPECT_TRUE(table.entries().empty());
  EXPECT_EQ(table.merge(down, 0, end + 1), MergeResult::outdated);
  EXPECT_EQ(table.digest(RegisterKind::outage, 0, 0).sum, 0u);
}

// --- members on a virtual clock ---

struct Network {
  struct Node {
    std::unique_ptr<Registers> registers;
    Millis clock_offset = 0;  // of its clock
    Millis wake = -1;
    std::vector<Millis> sent;
    std::map<std::string, Millis> wait_ends;  // as reported, on the true clock
    std::map<std::string, bool> offline;
    std::vector<std::string> conflicts;
    std::vector<RouteStatus> reports;
    std::size_t bytes = 0;
  };
  struct Event {
    Millis at;
    std::uint64_t number;
    std::size_t to, from;
    std::string bytes;  // empty: a wake-up
    bool operator<(const Event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };

  explicit Network(std::size_t size, unsigned seed) : random(seed), nodes(size) {
    for (std::size_t i = 0; i < size; ++i) {
      ids.push_back(MemberId{name_hash("member" + std::to_string(i))});
      numbers[ids[i]] = i;
    }
    for (std::size_t i = 0; i < size; ++i) start(i, 1);
    for (std::size_t i = 0; i < size; ++i)
      for (std::size_t j = 0; j < size; ++j)
        if (i != j) nodes[i].registers->on_link_change(ids[j], true);
  }
  double draw(double low, double high) { return std::uniform_real_distribution<double>(low, high)(random); }
  void start(std::size_t i, std::uint64_t incarnation) {
    nodes[i] = {};
    nodes[i].clock_offset = draw(0, 600e3);
    nodes[i].registers = Registers::make(ids[i], {incarnation, i}, static_cast<int>(nodes.size()), random());
    nodes[i].registers->begin_turn(now + nodes[i].clock_offset);
    nodes[i].registers->set_alive(alive);
    if (alive.empty()) nodes[i].registers->set_alive(ids);
    queue.push({now + draw(0, 1), ++number, i, i, {}});
  }
  void link(std::size_t a, std::size_t b, bool up) {
    if (up) cuts.erase({a, b}), cuts.erase({b, a});
    else cuts.insert({a, b}), cuts.insert({b, a});
    nodes[a].registers->on_link_change(ids[b], up), nodes[b].registers->on_link_change(ids[a], up);
    turn(a), turn(b);
  }
  // One node's turn; do_first supplies its input.
  void turn(std::size_t i, const std::function<void(Registers&)>& do_first = {}) {
    Node& node = nodes[i];
    node.registers->begin_turn(now + node.clock_offset);
    if (do_first) do_first(*node.registers);
    auto actions = node.registers->decide();
    for (const auto& send : actions.sends) {
      auto bytes = peer::packed(send.message);
      node.sent.push_back(now), node.bytes += bytes.size(), ++messages;
      records += send.message.records.size();
      largest = std::max(largest, bytes.size());
      auto to = numbers.at(send.to);
      if (cuts.count({i, to}) || draw(0, 1) < loss) continue;
      auto at = now + draw(min_delay, max_delay);
      auto& last = last_arrival[{i, to}];  // in order
      last = at = std::max(at, last);
      queue.push({at, ++number, to, i, bytes});
    }
    for (const auto& status : actions.route_statuses) {
      node.reports.push_back(status);
      if (status.retry_after_left > 0 && !node.wait_ends.count(std::to_string(status.route)))
        ++members_knowing[status.route];
      // As in the decision module, a wait is never shortened.
      auto& end = node.wait_ends[std::to_string(status.route)];
      end = std::max(end, now + status.retry_after_left);
    }
    for (const auto& order : actions.offline_orders) node.offline[order.endpoint] = order.offline;
    node.conflicts.insert(node.conflicts.end(), actions.conflicts.begin(), actions.conflicts.end());
    if (actions.wake_in >= 0) {
      auto at = now + std::max(actions.wake_in, 1.0);
      if (node.wake <= now || at < node.wake) node.wake = at, queue.push({at, ++number, i, i, {}});
    }
  }
  bool step(Millis until) {
    if (queue.empty() || queue.top().at > until) return now = until, false;
    auto event = queue.top();
    queue.pop(), now = event.at;
    if (event.bytes.empty()) {
      if (event.at >= nodes[event.to].wake || nodes[event.to].wake < 0) turn(event.to);
      return true;
    }
    turn(event.to, [&](Registers& registers) {
      registers.on_message(ids[event.from], peer::unpacked<RegisterMessage>(event.bytes));
    });
    return true;
  }
  void run(Millis for_ms) {
    for (auto until = now + for_ms; step(until);) {}
  }
  bool run_until(Millis for_ms, const std::function<bool()>& done) {
    for (auto until = now + for_ms;;) {
      if (done()) return true;
      if (!step(until)) return done();
    }
  }
  std::string contents(std::size_t i) {
    std::set<std::string> all;
    nodes[i].registers->begin_turn(now + nodes[i].clock_offset);
    for (auto record : nodes[i].registers->all_records()) record.age = 0, all.insert(peer::packed(record));
    return peer::packed(all);
  }
  bool equal_contents(const std::vector<std::size_t>& indices) {
    for (auto i : indices)
      if (contents(i) != contents(indices[0])) return false;
    return true;
  }
  std::vector<std::size_t> all_nodes() {
    std::vector<std::size_t> all(nodes.size());
    for (std::size_t i = 0; i < all.size(); ++i) all[i] = i;
    return all;
  }
  int max_per_second() {
    int most = 0;
    for (auto& node : nodes)
      for (std::size_t first = 0, last = 0; last < node.sent.size(); ++last) {
        while (node.sent[last] - node.sent[first] >= 1000) ++first;
        most = std::max(most, static_cast<int>(last - first + 1));
      }
    return most;
  }

  std::mt19937 random;
  Millis now = 0, min_delay = 1, max_delay = 5;
  double loss = 0;
  std::vector<MemberId> ids, alive;
  std::map<MemberId, std::size_t> numbers;
  std::vector<Node> nodes;
  std::set<std::pair<std::size_t, std::size_t>> cuts;
  std::map<std::pair<std::size_t, std::size_t>, Millis> last_arrival;
  std::priority_queue<Event> queue;
  std::uint64_t number = 0;
  std::size_t messages = 0, records = 0, largest = 0;
  std::map<std::uint64_t, std::size_t> members_knowing;  // by route: how many members have learned of a wait
};

RouteStatus retry_after_status(std::uint64_t route, Millis left) {
  RouteStatus status;
  status.route = route, status.retry_after_left = left, status.state_age = 1e18;
  return status;
}

// Random members, topologies, delays and losses: every member knows each published wait until its end, and no
// longer than the network delays on the way. Time spent inside a member or repeated receipt must not lengthen
// it.
TEST(Registers, ConvergesAndNeverLengthensAWait) {
  EXPECT_TRUE(rc::check("converges", [] {
    Network network(*rc::gen::inRange<std::size_t>(2, 14), *rc::gen::arbitrary<unsigned>());
    network.max_delay = *rc::gen::inRange(2, 60);
    network.loss = *rc::gen::inRange(0, 4) * 0.1;
    auto size = network.nodes.size();
    // A chain keeps all connected; every other link exists at random.
    int cut = *rc::gen::inRange(0, 100);
    for (std::size_t i = 0; i < size; ++i)
      for (std::size_t j = i + 2; j < size; ++j)
        if (network.draw(0, 100) < cut) network.link(i, j, false);
    std::map<std::string, Millis> ends;
    for (int write = 0; write < 12; ++write) {
      auto i = static_cast<std::size_t>(network.draw(0, static_cast<double>(size)));
      auto left = network.draw(20e3, 60e3);
      std::uint64_t route = 1 + write % 3;
      auto& end = ends[std::to_string(route)];
      end = std::max(end, network.now + left);
      network.turn(i, [&](Registers& r) { r.publish(retry_after_status(route, left)); });
      // The decision module publishes what it learned, as if it were its own.
      auto j = static_cast<std::size_t>(network.draw(0, static_cast<double>(size)));
      auto known_ends = network.nodes[j].wait_ends;
      for (const auto& [name, end] : known_ends)
        network.turn(
            j, [&](Registers& r) { r.publish(retry_after_status(std::stoull(name), end - network.now)); });
      network.run(network.draw(0, 300));
    }
    RC_ASSERT(network.run_until(40e3, [&] { return network.equal_contents(network.all_nodes()); }));
    for (std::size_t i = 0; i < size; ++i)
      for (const auto& record : network.nodes[i].registers->all_records()) {
        auto end = network.now + record.duration - record.age;
        auto published = ends.at(std::to_string(std::stoull(record.name.substr(1), nullptr, 16)));
        RC_ASSERT(end <= published + static_cast<double>(size) * network.max_delay);
      }
    for (const auto& [name, published] : ends)
      for (std::size_t i = 0; i < size; ++i) {
        Millis end = 0;
        for (const auto& record : network.nodes[i].registers->all_records())
          if (std::stoull(record.name.substr(1), nullptr, 16) == std::stoull(name))
            end = std::max(end, network.now + record.duration - record.age);
        RC_ASSERT(end >= published - 0.01);
      }
  }));
}

// While a peer or this process is stopped, messages wait in buffers, and the waits in them age.
TEST(Registers, BufferedMessageDoesNotLengthenAWait) {
  Network network(2, 1);
  network.run(3000);
  auto bytes = std::string();
  network.nodes[0].registers->begin_turn(network.now + network.nodes[0].clock_offset);
  network.nodes[0].registers->publish(retry_after_status(7, 60e3));
  auto published_end = network.now + 60e3;
  for (const auto& send : network.nodes[0].registers->decide().sends) bytes = peer::packed(send.message);
  ASSERT_FALSE(bytes.empty());
  network.now += 40e3;  // no process ran
  network.turn(1,
               [&](Registers& r) { r.on_message(network.ids[0], peer::unpacked<RegisterMessage>(bytes)); });
  ASSERT_TRUE(network.nodes[1].wait_ends.count("7"));
  EXPECT_GE(network.nodes[1].wait_ends["7"], published_end);
  EXPECT_LE(network.nodes[1].wait_ends["7"], published_end + 0.001 * 45e3 + 10);
}

struct SpreadResult {
  std::vector<Millis> spread_times;
  int most = 0;
  double mean = 0;
};
SpreadResult measure_spread(std::size_t size, int waits, Millis apart, double loss, Millis least,
                            Millis most) {
  Network network(size, 11);
  network.min_delay = least, network.max_delay = most, network.loss = loss;
  network.run(5000);
  network.messages = 0;
  for (auto& node : network.nodes) node.sent.clear();
  auto began = network.now;
  SpreadResult result;
  std::map<std::uint64_t, Millis> spreading;
  auto record_completed = [&] {
    for (auto at = spreading.begin(); at != spreading.end();)
      if (network.members_knowing[at->first] + 1 >= size)
        result.spread_times.push_back(network.now - at->second), at = spreading.erase(at);
      else ++at;
  };
  for (int i = 0; i < waits; ++i) {
    std::uint64_t route = 100 + i;
    auto from = static_cast<std::size_t>(network.draw(0, static_cast<double>(size)));
    spreading[route] = network.now;
    network.turn(from, [&](Registers& r) { r.publish(retry_after_status(route, 30e3)); });
    auto next = network.now + (i + 1 == waits ? 5000 : apart);
    while (network.step(next)) record_completed();
  }
  for (std::size_t left = spreading.size(); left > 0; --left) result.spread_times.push_back(5000);
  std::sort(result.spread_times.begin(), result.spread_times.end());
  result.most = network.max_per_second();
  result.mean =
      static_cast<double>(network.messages) / static_cast<double>(size) / ((network.now - began) / 1000);
  return result;
}
void print(const char* label, const SpreadResult& result) {
  auto percentile = [&](double share) {
    return result.spread_times[std::min(result.spread_times.size() - 1,
                                        static_cast<std::size_t>(share * result.spread_times.size()))];
  };
  std::printf(
      "%s: known by all p50 %.0f ms, p99 %.0f ms, most %.0f ms; messages a member and second: mean %.1f, "
      "most in any second %d\n",
      label, percentile(0.5), percentile(0.99), result.spread_times.back(), result.mean, result.most);
}

TEST(Registers, WaitReachesAllInTime) {
  auto five = measure_spread(5, 100, 400, 0, 9, 10);
  print("5 members, 10 ms a crossing", five);
  EXPECT_LT(five.spread_times.back(), 2 * 10 + 50);
  auto lossy = measure_spread(5, 100, 400, 0.05, 9, 10);
  print("5 members, 1 message in 20 lost", lossy);
  auto many = measure_spread(300, 25, 400, 0, 5, 20);
  print("300 members, 5 to 20 ms a crossing", many);
  EXPECT_LT(many.spread_times.back(), 1000);
  EXPECT_LE(many.most, 15);
  auto busy = measure_spread(300, 25, 50, 0, 5, 20);
  print("300 members, 20 waits a second", busy);
  EXPECT_LE(busy.most, 15);
  auto many_lossy = measure_spread(300, 25, 400, 0.02, 5, 20);
  print("300 members, 1 message in 50 lost", many_lossy);
  EXPECT_LT(many_lossy.spread_times.back(), 1000);
  EXPECT_LE(many_lossy.most, 15);
}

TEST(Registers, CutLinkDelaysNothing) {
  Network network(3, 5);
  network.run(3000);
  network.link(0, 1, false);
  network.run(1000);
  network.turn(0, [](Registers& r) { r.publish(retry_after_status(9, 5000)); });
  auto published = network.now;
  ASSERT_TRUE(network.run_until(100, [&] { return network.nodes[1].wait_ends.count("9") > 0; }));
  EXPECT_LT(network.now - published, 20);
  EXPECT_GE(network.nodes[1].wait_ends["9"], published + 5000);
  EXPECT_LE(network.nodes[1].wait_ends["9"], published + 5000 + 2 * network.max_delay);
}

// Guards against a wait that no copy brings round a cut, as other messages have used up its copies: the links
// are cut in one direction and seem up, and the members have just begun to compare what they hold.
TEST(Registers, WaitGoesRoundOneWayCutsWhileMembersCompare) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE(seed);
    Network network(3, seed);
    network.run(network.draw(10, 500));
    network.cuts = {{0, 1}, {1, 2}};
    network.turn(0, [](Registers& r) { r.publish(retry_after_status(1, 2500)); });
    network.turn(1, [](Registers& r) { r.publish(retry_after_status(2, 2500)); });
    EXPECT_TRUE(network.run_until(1000, [&] {
      return network.nodes[1].wait_ends.count("1") > 0 && network.nodes[2].wait_ends.count("2") > 0;
    }));
  }
}

TEST(Registers, LatestOfflineOrderWins) {
  Network network(4, 6);
  network.run(2000);
  network.turn(0, [](Registers& r) { r.publish_offline("10.0.0.1:80", true); });
  network.run(500);
  EXPECT_TRUE(network.nodes[3].offline["10.0.0.1:80"]);
  network.turn(3, [](Registers& r) { r.publish_offline("10.0.0.1:80", false); });
  network.run(500);
  EXPECT_FALSE(network.nodes[0].offline["10.0.0.1:80"]);
  // Concurrent orders on both sides of a cut converge once it heals.
  for (std::size_t i : {0, 1})
    for (std::size_t j : {2, 3}) network.link(i, j, false);
  network.turn(0, [](Registers& r) { r.publish_offline("10.0.0.2:80", true); });
  network.turn(3, [](Registers& r) {
    r.publish_offline("10.0.0.2:80", true), r.publish_offline("10.0.0.2:80", false);
  });
  network.run(1000);
  EXPECT_TRUE(network.nodes[1].offline["10.0.0.2:80"]);
  EXPECT_FALSE(network.nodes[2].offline["10.0.0.2:80"]);
  for (std::size_t i : {0, 1})
    for (std::size_t j : {2, 3}) network.link(i, j, true);
  ASSERT_TRUE(network.run_until(5000, [&] { return network.equal_contents(network.all_nodes()); }));
}

// A member returns with an emptied folder, and its catch-up is interrupted halfway.
TEST(Registers, CatchUpResumesAfterInterruption) {
  Network network(3, 7);
  constexpr std::uint64_t entries = 20000;
  std::vector<RegisterRecord> records;
  for (std::uint64_t i = 0; i < entries; ++i) {
    RegisterRecord record;
    char name_text[24];
    std::snprintf(name_text, sizeof name_text, "d%016llx", static_cast<unsigned long long>(i));
    record.kind = i % 100 ? RegisterKind::outage : RegisterKind::retry_after, record.name = name_text,
    record.version = {i, network.ids[2]};
    record.incarnation = {1, 2};
    if (i % 100) record.state = RouteState::down;
    else record.duration = 600e3;
    records.push_back(record);
  }
  for (std::size_t i : {1, 2}) network.nodes[i].registers->restore(records, 0);
  EXPECT_FALSE(network.nodes[0].registers->caught_up());
  auto whole = peer::packed(records).size();
  auto held = [&] { return network.nodes[0].registers->all_records(); };
  ASSERT_TRUE(network.run_until(10e3, [&] { return network.records > entries / 2; }));
  for (std::size_t j : {1, 2}) network.link(0, j, false);
  network.run(2000);
  auto before = held();
  EXPECT_GT(before.size(), entries / 4);
  EXPECT_EQ(std::count_if(before.begin(), before.end(),
                          [](auto& w) { return w.kind == RegisterKind::retry_after; }),
            200);
  network.records = 0;
  for (std::size_t j : {1, 2}) network.link(0, j, true);
  ASSERT_TRUE(network.run_until(20e3, [&] { return held().size() == entries; }));
  EXPECT_LT(network.records, entries - before.size() + entries / 5);
  ASSERT_TRUE(network.run_until(5e3, [&] { return network.nodes[0].registers->caught_up(); }));
  std::printf("catch-up from empty: %zu entries, whole copy %zu bytes, largest message %zu bytes\n",
              records.size(), whole, network.largest);
}

TEST(Registers, CatchUpCostIsProportionalToDifferences) {
  Network network(2, 8);
  constexpr std::uint64_t entries = 100000;
  std::vector<RegisterRecord> old, changed;
  for (std::uint64_t i = 0; i < entries; ++i) {
    RegisterRecord record;
    char name_text[24];
    std::snprintf(name_text, sizeof name_text, "d%016llx", static_cast<unsigned long long>(i * 2654435761u));
    record.kind = RegisterKind::outage, record.name = name_text;
    record.version = {(1ull << 40) + i, network.ids[i % 2]}, record.incarnation = {1ull << 40, i % 2},
    record.state = RouteState::down;
    old.push_back(record);
    if (i % 100 == 0) record.version.counter += entries, record.state = RouteState::recovering;
    changed.push_back(record);
  }
  network.nodes[0].registers->restore(old, 0), network.nodes[1].registers->restore(changed, 0);
  auto whole = peer::packed(changed).size();
  ASSERT_TRUE(network.run_until(20e3, [&] { return network.nodes[0].registers->caught_up(); }));
  ASSERT_TRUE(network.equal_contents({0, 1}));
  auto bytes = network.nodes[0].bytes + network.nodes[1].bytes;
  std::printf(
      "catch-up with 1 in 100 of %zu entries differing: %zu bytes of %zu of a whole copy, %.2f in 100, "
      "in %.0f ms and %zu messages\n",
      changed.size(), bytes, whole, 100.0 * bytes / whole, network.now, network.messages);
  EXPECT_LT(bytes * 20, whole);
}

TEST(Registers, RestartedMemberKeepsTheExactEnd) {
  Network network(2, 9);
  network.run(2000);
  network.turn(0, [](Registers& r) { r.publish(retry_after_status(3, 60e3)); });
  auto end = network.now + 60e3;
  network.run(1000);
  network.link(0, 1, false);
  auto records = network.nodes[1].registers->all_records();
  network.now += 10e3;
  network.start(1, 2);
  network.turn(1, [&](Registers& r) { r.restore(records, 10e3); });
  EXPECT_NEAR(network.nodes[1].wait_ends["3"], end, network.max_delay);
  // From the start, its own records are newer than those of its earlier incarnation.
  network.turn(1, [&](Registers& r) { r.publish(retry_after_status(3, 100e3)); });
  network.link(0, 1, true);
  ASSERT_TRUE(network.run_until(5000, [&] { return network.nodes[0].wait_ends["3"] > network.now + 90e3; }));
}

TEST(Registers, SendsNothingWithoutChanges) {
  Network network(3, 10);
  network.run(5000);
  network.messages = 0;
  for (int i = 0; i < 100; ++i) {
    RouteStatus status = retry_after_status(4, 0);  // still healthy
    network.turn(0, [&](Registers& r) { r.publish(status); });
    network.run(100);
  }
  EXPECT_LT(network.messages, 3 * 10 * 2.5);
  EXPECT_TRUE(network.nodes[1].reports.empty());
}

TEST(Registers, RejectsInvalidMessages) {
  Network network(2, 12);
  RegisterRecord good;
  good.kind = RegisterKind::retry_after, good.name = "d0000000000000001", good.duration = 10;
  auto expect_rejected = [&](auto change) {
    RegisterRecord record = good;
    change(record);
    RegisterMessage message;
    message.records = {record};
    network.nodes[0].registers->begin_turn(1);
    EXPECT_THROW(network.nodes[0].registers->on_message(network.ids[1], message), BadMessage);
    EXPECT_THROW(network.nodes[0].registers->restore({good, record}, 0), BadMessage);
    EXPECT_TRUE(network.nodes[0].registers->all_records().empty());
  };
  expect_rejected([](RegisterRecord& record) { record.duration = std::nan(""); });
  expect_rejected([](RegisterRecord& record) { record.duration = 1e18; });
  expect_rejected([](RegisterRecord& record) { record.age = -1; });
  expect_rejected([](RegisterRecord& record) { record.name = "d1"; });
  expect_rejected([](RegisterRecord& record) { record.name = "x0000000000000001"; });
  expect_rejected([](RegisterRecord& record) { record.version.counter = UINT64_MAX; });
  expect_rejected([](RegisterRecord& record) { record.state = RouteState(9); });
  expect_rejected([](RegisterRecord& record) { record.kind = RegisterKind(9); });
  RegisterMessage message;
  message.requested = {{RegisterKind::retry_after, 16, 4, 0, 0}};
  EXPECT_THROW(network.nodes[0].registers->on_message(network.ids[1], message), BadMessage);
}

}  // namespace
}  // namespace rockcrank::fleet
