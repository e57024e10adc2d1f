// The log per key over an in-test network with drawn loss, delays, partitions, kills and stalls: all relays
// end alike, every subscriber ends with the newest of each key, and no key is ever taken back. Merges by
// property.

#include "latest/latest.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "in_memory_disk.h"
#include "latest/digest_tree.h"
#include "peer/codec.h"
#include "peer/persistent_log.h"

namespace rockcrank::peer {
namespace {

using namespace latest;
using fleet::MemberId;

constexpr StreamId stream{7};

LatestSettings settings_for(std::vector<DestinationId> subscribers, Millis tombstone_life = 1e9) {
  LatestSettings settings;
  settings.streams = {{stream, "status", std::move(subscribers), tombstone_life, 0, 0.5}};
  settings.segment_bytes = 1 << 15, settings.max_disk_bytes = 1 << 22, settings.max_clock_offset = 60000;
  return settings;
}

// Several relays, their links, and the subscribers, on one virtual clock.
class World {
 public:
  World(int relays, std::vector<DestinationId> subscribers, std::uint64_t seed, Millis tombstone_life = 1e9)
      : settings_(settings_for(std::move(subscribers), tombstone_life)), chance_(seed % 2147483646 + 1) {
    for (int i = 0; i < relays; ++i)
      roster_.push_back({MemberId(static_cast<std::uint64_t>(i) + 1), "n" + std::to_string(i + 1), "h0"});
    for (const auto& member : roster_) {
      nodes_[member.id].disk = std::make_shared<InMemoryDisk>();
      start(member.id);
    }
  }

  struct Node {
    std::shared_ptr<InMemoryDisk> disk;
    std::unique_ptr<PersistentLog> log;  // none: killed
    Millis skew = 0, stalled_until = 0;
    std::vector<std::pair<Millis, CompactedLog::Delivery>> under_way;
    std::set<MemberId> cut;  // those whose messages do not arrive here
  };
  using Lanes = std::map<DestinationId, std::map<std::string, std::vector<HybridTimestamp>>>;

  void start(MemberId id) {
    Node& node = nodes_.at(id);
    node.log =
        std::make_unique<PersistentLog>(std::make_unique<InMemoryFiles>(node.disk), "log", roster_, id,
                                        settings_, 1 << 16, static_cast<std::uint64_t>(id), now_, wall(node));
    node.under_way.clear();
    relink();
  }
  void kill(MemberId id) { nodes_.at(id).log.reset(), relink(); }
  void stall(MemberId id, Millis time) { nodes_.at(id).stalled_until = now_ + time; }
  void cut(MemberId from, MemberId to, bool cut) {
    if (cut) nodes_.at(to).cut.insert(from);
    else nodes_.at(to).cut.erase(from);
    relink();
  }
  void heal() {
    loss = 0;
    for (auto& [id, node] : nodes_) {
      node.cut.clear(), node.stalled_until = 0;
      if (!node.log) start(id);
    }
    relink();
  }
  void resubscribe(std::vector<DestinationId> subscribers) {
    settings_.streams[0].subscribers = std::move(subscribers);
    for (auto& [id, node] : nodes_) node.log.reset(), start(id);
  }

  bool take(MemberId id, int key, bool ends = false) {
    Node& node = nodes_.at(id);
    if (!node.log || now_ < node.stalled_until) return false;
    Record record;
    record.stream = stream, record.key = "k" + std::to_string(key), record.id = "d" + std::to_string(++taken);
    record.body = ends ? "" : "body " + record.id;
    node.log->begin_turn(now_, wall(node));
    try {
      auto stamp = node.log->append_local(record);
      names_[key_hash(record.key)] = record.key;
      newest[record.key] = std::max(newest[record.key], stamp);
    } catch (const fleet::FleetError&) { return false; }
    return true;
  }

  void run(Millis time) {
    for (Millis end = now_ + time; now_ < end;) {
      now_ += 10;
      for (auto at = on_way_.begin(); at != on_way_.end() && at->first <= now_;) {
        auto [from, to, message] = std::move(at->second);
        at = on_way_.erase(at);
        Node& node = nodes_.at(to);
        if (!node.log || node.cut.count(from)) continue;
        if (now_ < node.stalled_until) {
          on_way_.emplace(node.stalled_until + 1, std::tuple(from, to, std::move(message)));
          at = on_way_.upper_bound(now_) == on_way_.begin() ? on_way_.end() : on_way_.begin();
          continue;
        }
        node.log->begin_turn(now_, wall(node));
        node.log->on_message(from, message);
      }
      for (auto& [id, node] : nodes_)
        if (node.log && now_ >= node.stalled_until) turn(id, node);
    }
  }

  bool converged() {
    for (auto& [id, node] : nodes_) {
      if (!node.log ||
          node.log->module().digest(stream) != nodes_.begin()->second.log->module().digest(stream))
        return false;
      for (const auto& [key, stamp] : newest)
        if (auto held = node.log->module().newest_timestamp(stream, key_hash(key)); !held || *held < stamp)
          return false;
    }
    for (auto subscriber : settings_.streams[0].subscribers)
      for (const auto& [key, stamp] : newest)
        if (had[subscriber][key].empty() || had[subscriber][key].back() < stamp) return false;
    return true;
  }
  bool converge(Millis within) {
    for (Millis end = now_ + within; now_ < end;) {
      run(200);
      if (converged()) return true;
    }
    return false;
  }

  double drawn(double low, double high) { return std::uniform_real_distribution<double>(low, high)(chance_); }
  MemberId member(std::size_t number) { return roster_[number % roster_.size()].id; }
  PersistentLog& log(MemberId id) { return *nodes_.at(id).log; }
  Millis now() const { return now_; }

  double loss = 0, failing = 0;
  std::set<DestinationId> down;
  int taken = 0, repeats = 0, backwards = 0;
  std::uint64_t delivered = 0, bytes = 0;
  std::map<std::string, HybridTimestamp> newest;
  Lanes had;  // all that each subscriber got, in its order

 private:
  Millis wall(const Node& node) const { return 1e12 + now_ + node.skew; }

  void relink() {
    for (auto& [id, node] : nodes_) {
      if (!node.log) continue;
      std::vector<MemberId> alive;
      node.log->begin_turn(now_, wall(node));
      for (auto& [other, peer] : nodes_) {
        bool up = peer.log && !peer.cut.count(id) && !node.cut.count(other);
        if (peer.log || other == id) alive.push_back(other);
        if (other != id) node.log->module().on_link_change(other, up);
      }
      node.log->module().set_alive(alive);
    }
  }

  void turn(MemberId id, Node& node) {
    node.log->begin_turn(now_, wall(node));
    auto decided = node.log->decide();
    for (auto& [to, message] : decided.sends) {
      if (drawn(0, 1) < loss) continue;
      auto delay = drawn(1, 40);
      // In order or not at all, as the link keeps it.
      auto& last = last_[{id, to}];
      last = std::max(last + 0.001, now_ + delay);
      bytes += packed(message).size();
      on_way_.emplace(last, std::tuple(id, to, std::move(message)));
    }
    for (const auto& gone : decided.withdraw)
      std::erase_if(node.under_way, [&](const auto& one) { return one.second == gone; });
    for (const auto& going : decided.deliver) node.under_way.push_back({now_ + drawn(0, 150), going});
    for (std::size_t i = 0; i < node.under_way.size();) {
      auto [at, delivery] = node.under_way[i];
      if (now_ < at) {
        ++i;
        continue;
      }
      node.under_way.erase(node.under_way.begin() + static_cast<std::ptrdiff_t>(i));
      // The moment of sending: the host asks whether it still has the duty.
      bool goes = node.log->module().has_delivery_lease(delivery.subscription, now_) &&
                  !down.count(delivery.subscription.subscriber);
      if (goes) receive(delivery);
      bool told = goes && drawn(0, 1) >= failing;  // else the answer is lost
      node.log->module().on_delivery_ended(delivery, told);
    }
  }

  void receive(const CompactedLog::Delivery& delivery) {
    ++delivered;
    auto& list = had[delivery.subscription.subscriber][names_.at(delivery.key)];
    backwards += !list.empty() && delivery.timestamp < list.back();
    repeats += !list.empty() && delivery.timestamp == list.back();
    list.push_back(delivery.timestamp);
  }

  LatestSettings settings_;
  std::minstd_rand chance_;
  fleet::Roster roster_;
  std::map<MemberId, Node> nodes_;
  std::multimap<Millis, std::tuple<MemberId, MemberId, LatestMessage>> on_way_;
  std::map<std::pair<MemberId, MemberId>, Millis> last_;
  std::map<KeyHash, std::string> names_;
  Millis now_ = 1000;
};

const DestinationId first{5}, second{6};

TEST(Latest, LateJoinerGetsTheNewestOfEachKeyThenWhatIsNew) {
  World world(3, {first}, 1);
  world.run(4000);
  for (int i = 0; i < 600; ++i) world.take(world.member(i), i % 40), world.run(10);
  ASSERT_TRUE(world.converge(10000));
  world.resubscribe({first, second});
  world.run(2500);
  for (int i = 0; i < 60; ++i) world.take(world.member(i), i % 50), world.run(20);  // ten keys are new
  ASSERT_TRUE(world.converge(20000));
  std::size_t got = 0;
  for (const auto& [key, list] : world.had[second]) got += list.size();
  EXPECT_EQ(world.had[second].size(), 50u);
  EXPECT_LE(got, 50u + 60u);
  EXPECT_EQ(world.backwards, 0);
}

TEST(Latest, DrawnFaultsNeverTakeAKeyBackAndAllEndAlike) {
  int repeats = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    World world(3 + static_cast<int>(seed % 3), {first, second}, seed);
    world.run(3000);
    for (int step = 0; step < 120; ++step) {
      auto which = world.member(static_cast<std::size_t>(world.drawn(0, 100)));
      auto other = world.member(static_cast<std::size_t>(world.drawn(0, 100)));
      switch (static_cast<int>(world.drawn(0, 14))) {
        case 0: world.kill(which); break;
        case 1: world.cut(which, other, true); break;
        case 2: world.cut(which, other, false); break;
        case 3: world.stall(which, world.drawn(100, 6000)); break;
        case 4: world.loss = world.drawn(0, 0.3); break;
        case 5: world.heal(); break;
        case 6: world.failing = world.drawn(0, 0.3); break;
        case 7: world.drawn(0, 1) < 0.5 ? void(world.down.insert(second)) : void(world.down.clear()); break;
        default: break;
      }
      for (int i = 0; i < 8; ++i) {
        int key = static_cast<int>(world.drawn(0, 12));
        world.take(world.member(static_cast<std::size_t>(world.drawn(0, 100))), key, world.drawn(0, 1) < 0.1);
        world.run(world.drawn(10, 120));
      }
    }
    world.heal(), world.down.clear(), world.failing = 0;
    EXPECT_TRUE(world.converge(200000)) << "seed " << seed;
    EXPECT_EQ(world.backwards, 0) << "seed " << seed;
    repeats += world.repeats;
  }
  EXPECT_GT(repeats, 0);  // the faults did what they are for
}

TEST(Latest, DutyIsTakenOverWhenItsRelayDies) {
  World world(3, {first}, 3);
  world.run(4000);
  MemberId holder{};
  for (std::size_t i = 0; i < 3; ++i)
    if (world.log(world.member(i)).module().has_delivery_lease({stream, first}, world.now()))
      holder = world.member(i);
  ASSERT_NE(holder, MemberId{});
  world.kill(holder);
  auto other = holder == world.member(0) ? world.member(1) : world.member(0);
  ASSERT_TRUE(world.take(other, 1));
  auto since = world.now();
  while (world.had[first]["k1"].empty() && world.now() < since + 10000) world.run(50);
  EXPECT_LT(world.now() - since, 5000);
  EXPECT_FALSE(world.had[first]["k1"].empty());
}

// Two that both believe: the holder is cut off both ways, and others take over while its calls are under way.
TEST(Latest, OnlyOneOfTwoThatAreCutApartDelivers) {
  World world(3, {first}, 4);
  world.run(4000);
  for (int round = 0; round < 6; ++round) {
    auto lonely = world.member(static_cast<std::size_t>(round));
    for (std::size_t i = 0; i < 3; ++i) {
      if (world.member(i) == lonely) continue;
      world.cut(lonely, world.member(i), true), world.cut(world.member(i), lonely, true);
    }
    for (int i = 0; i < 60; ++i) world.take(world.member(static_cast<std::size_t>(i)), i % 5), world.run(100);
    int holders = 0;
    for (std::size_t i = 0; i < 3; ++i)
      holders += world.log(world.member(i)).module().has_delivery_lease({stream, first}, world.now());
    EXPECT_LE(holders, 1);
    world.heal();
    world.run(1000);
  }
  EXPECT_TRUE(world.converge(20000));
  EXPECT_EQ(world.backwards, 0);
}

TEST(Latest, SubscriberThatJoinsGoesAndJoinsAgainIsToldWhichKeysEnded) {
  World world(3, {first, second}, 5, 2000);
  world.run(4000);
  for (int i = 0; i < 20; ++i) world.take(world.member(static_cast<std::size_t>(i)), i);
  ASSERT_TRUE(world.converge(10000));
  auto before = world.had[second].size();
  world.resubscribe({first});
  for (int i = 0; i < 10; ++i) world.take(world.member(static_cast<std::size_t>(i)), i, true);
  world.run(30000);  // far longer than the tombstones' life
  for (std::size_t i = 0; i < 3; ++i)
    EXPECT_EQ(world.log(world.member(i)).module().usage().keys, 20u) << "one not past it: kept";
  world.resubscribe({first, second});
  ASSERT_TRUE(world.converge(20000));
  EXPECT_EQ(world.had[second].size(), before);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(world.had[second]["k" + std::to_string(i)].size(), i < 10 ? 2u : 1u);
  for (int i = 0; i < 200 && world.log(world.member(0)).module().usage().keys > 10; ++i) world.run(500);
  world.run(20000);
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(world.log(world.member(i)).module().usage().keys, 10u) << "all past them: gone";
    EXPECT_EQ(world.log(world.member(i)).module().digest(stream),
              world.log(world.member(0)).module().digest(stream));
  }
}

// A tombstone purged on one relay must not let the older value of another come back.
TEST(Latest, TombstoneStaysWhileOneRelayIsAway) {
  World world(3, {first}, 6, 1000);
  world.run(4000);
  for (int i = 0; i < 5; ++i) world.take(world.member(0), i);
  ASSERT_TRUE(world.converge(10000));
  world.kill(world.member(2));
  for (int i = 0; i < 5; ++i) world.take(world.member(0), i, true);
  world.run(30000);
  EXPECT_EQ(world.log(world.member(0)).module().usage().keys, 5u);
  world.start(world.member(2));
  for (int i = 0; i < 100 && world.log(world.member(2)).module().usage().keys > 0; ++i) world.run(500);
  world.run(20000);
  for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(world.log(world.member(i)).module().usage().keys, 0u);
  EXPECT_EQ(world.backwards, 0);
  for (auto& [key, list] : world.had[first]) EXPECT_EQ(list.size(), 2u) << key;
}

// --- One module: merges, versions, the pace of a backlog.

const fleet::Roster pair_of{{MemberId(1), "n1", "h0"}, {MemberId(2), "n2", "h0"}};

std::unique_ptr<CompactedLog> module(const fleet::Roster& roster,
                                     std::vector<DestinationId> subscribers = {first}) {
  auto made = CompactedLog::make(roster, MemberId(1), settings_for(std::move(subscribers)), 1);
  made->begin_turn(1000, 1e6);
  made->add_segment(SegmentId(1), stream, false);
  return made;
}

// Entries of few keys and stamps, so that equal stamps with other content come up.
RecordHeader drawn_entry() {
  RecordHeader entry;
  entry.stream = stream, entry.key = {*rc::gen::inRange<std::uint64_t>(0, 4) << 60, 1};
  entry.timestamp = {*rc::gen::inRange<std::uint64_t>(1, 5), 0,
                     MemberId(*rc::gen::inRange<std::uint64_t>(1, 3))};
  entry.content_hash = *rc::gen::inRange<std::uint64_t>(1, 4), entry.tombstone = *rc::gen::arbitrary<bool>();
  return entry;
}

void give(CompactedLog& module, const std::vector<RecordHeader>& entries) {
  std::uint32_t offset = 0;
  for (const auto& entry : entries) {
    auto verdict = module.check_record(entry);
    if (verdict == RecordCheck::newer || verdict == RecordCheck::conflict_replace_local)
      module.on_record_stored(entry, {SegmentId(1), offset += 10, 10}, false);
  }
}

TEST(Latest, MergingRecordsIsCommutativeAssociativeAndIdempotent) {
  EXPECT_TRUE(rc::check("any order, any repeats, one newest a key", [] {
    auto entries = *rc::gen::container<std::vector<RecordHeader>>(rc::gen::exec(drawn_entry));
    auto order = entries;
    std::minstd_rand chance(*rc::gen::inRange<unsigned>(1, 1000000));
    std::ranges::shuffle(order, chance);
    order.insert(order.end(), entries.begin(), entries.begin() + static_cast<long>(entries.size() / 2));
    auto one = module(pair_of), other = module(pair_of);
    give(*one, entries), give(*other, order);
    RC_ASSERT(one->digest(stream) == other->digest(stream));
    auto before = one->digest(stream);
    give(*one, order);
    RC_ASSERT(one->digest(stream) == before);
  }));
}

TEST(Latest, MergingMarksIsCommutativeAssociativeAndIdempotent) {
  EXPECT_TRUE(rc::check("any order, any repeats, one position", [] {
    auto marks = *rc::gen::container<std::vector<DeliveryState>>(rc::gen::exec([] {
      DeliveryState mark;
      mark.subscription = {stream, first}, mark.key = {*rc::gen::inRange<std::uint64_t>(0, 4) << 60, 1};
      mark.timestamp = {900000 + *rc::gen::inRange<std::uint64_t>(1, 5), 0, MemberId(1)};
      mark.delivered = *rc::gen::arbitrary<bool>();
      return mark;
    }));
    auto order = marks;
    std::minstd_rand chance(*rc::gen::inRange<unsigned>(1, 1000000));
    std::ranges::shuffle(order, chance);
    order.insert(order.end(), marks.begin(), marks.end());
    auto one = module(pair_of), other = module(pair_of);
    LatestMessage message;
    message.delivery_states = marks, one->on_message(MemberId(2), message, true);
    message.delivery_states = order, other->on_message(MemberId(2), message, true);
    RC_ASSERT(one->digest({stream, first}) == other->digest({stream, first}));
  }));
}

TEST(Latest, ShelfSumsAreThoseOfItsItems) {
  struct Item {
    KeyHash key;
    std::uint64_t value = 0;
    std::uint64_t sum() const { return value; }
  };
  EXPECT_TRUE(rc::check("of any range, after any changes", [] {
    DigestTree<Item> shelf;
    std::map<KeyHash, std::uint64_t> plain;
    for (int i = *rc::gen::inRange(0, 400); i > 0; --i) {
      KeyHash key{*rc::gen::inRange<std::uint64_t>(0, 512) << 55, 0};
      if (*rc::gen::inRange(0, 4) == 0) RC_ASSERT(shelf.erase(key) == (plain.erase(key) > 0));
      else shelf.upsert({key, plain[key] = *rc::gen::inRange<std::uint64_t>(0, 9)});
    }
    int bits = *rc::gen::inRange(0, 12);
    auto prefix = bits ? *rc::gen::inRange<std::uint64_t>(0, 1u << bits) << (64 - bits) : 0;
    std::uint64_t sum = 0, keys = 0;
    for (auto [key, value] : plain)
      if (bits == 0 || key.high >> (64 - bits) == prefix >> (64 - bits)) sum += value, keys += value > 0;
    auto got = shelf.sum(prefix, bits);
    RC_ASSERT(got.sum == sum && got.key_count == keys && shelf.size() == plain.size());
  }));
}

TEST(Latest, VersionsGrowWhateverTheClockDoesAndOnesTooFarAheadAreRefused) {
  auto one = module(pair_of);
  KeyHash key{1, 1};
  auto before = *one->next_timestamp(stream, key);
  one->begin_turn(1001, 1e6 - 30000);  // back by half a minute
  auto after = *one->next_timestamp(stream, key);
  EXPECT_LT(before, after);
  RecordHeader entry{stream, key, {1070000, 0, MemberId(2)}, false, 1, {}, 0};
  EXPECT_EQ(one->check_record(entry), RecordCheck::too_far_ahead);
  one->begin_turn(1002, 1e6 + 10000);
  EXPECT_EQ(one->check_record(entry), RecordCheck::newer);
  one->on_record_stored(entry, {SegmentId(1), 0, 10}, false);
  EXPECT_GT(*one->next_timestamp(stream, key), entry.timestamp);
  one->begin_turn(1003, 1e6 - 120000);  // back by more than a version may lie ahead: others would refuse it
  EXPECT_FALSE(one->next_timestamp(stream, key));
}

// Two majorities share a member, and that one does not note an older version after a newer one.
TEST(Latest, OlderVersionIsNotNotedAfterANewerOne) {
  auto voter = module(pair_of);
  voter->begin_turn(10000, 1e6 + 9000);
  voter->on_link_change(MemberId(2), true);
  const Subscription lane{stream, first};
  LatestMessage ask;
  ask.lease_requests = {{lane, 7, 1, false}};
  voter->on_message(MemberId(2), ask, true);
  auto said = voter->decide().sends;
  ASSERT_TRUE(std::ranges::any_of(said, [](const auto& one) {
    return !one.message.lease_responses.empty() && one.message.lease_responses[0].granted;
  }));
  auto noted = [&](std::uint64_t number, std::uint64_t wall, std::uint64_t epoch) {
    LatestMessage note;
    note.sequence = number, note.delivery_states = {{lane, {1, 1}, {wall, 0, MemberId(2)}, false, epoch}};
    voter->on_message(MemberId(2), note, true);
    for (const auto& one : voter->decide().sends)
      if (std::ranges::count(one.message.acknowledged, number)) return true;
    return false;
  };
  EXPECT_TRUE(noted(1, 1000005, 7));
  EXPECT_FALSE(noted(2, 1000004, 7)) << "older than what it has noted";
  EXPECT_TRUE(noted(3, 1000005, 7)) << "the same once more";
  EXPECT_FALSE(noted(4, 1000006, 6)) << "of a duty that is over";
  EXPECT_EQ(voter->delivery_state(lane, {1, 1})->timestamp.wall_time, 1000006u);  // told all the same
  EXPECT_TRUE(noted(5, 1000007, 7));
}

TEST(Latest, EqualVersionOtherContentIsNeverSilent) {
  World world(2, {first}, 7);
  Record record;
  record.stream = stream, record.key = "k1", record.id = "a", record.body = "one";
  record.timestamp = {static_cast<std::uint64_t>(1e12), 0, MemberId(1)};
  auto other = record;
  other.id = "b", other.body = "two";
  LatestMessage one, two;
  one.records = {record}, two.records = {other};
  for (int i : {0, 1}) {
    auto& log = world.log(world.member(static_cast<std::size_t>(i)));
    auto peer = world.member(static_cast<std::size_t>(1 - i));
    log.begin_turn(world.now(), 1e12 + 2000);
    log.on_message(peer, i == 0 ? one : two), log.on_message(peer, i == 0 ? two : one);
    auto lines = log.decide().log;
    EXPECT_TRUE(std::ranges::any_of(lines, [](const auto& line) {
      return line.find("equal version and other content") != std::string::npos;
    }));
  }
  EXPECT_EQ(world.log(MemberId(1)).read(stream, key_hash("k1"))->id,
            world.log(MemberId(2)).read(stream, key_hash("k1"))->id);
}

// A backlog is handed over few at a time, less beside waiting documents, and not at all to one that rests.
TEST(Latest, BacklogIsBounded) {
  World world(1, {}, 8);
  for (int i = 0; i < 200; ++i) world.take(MemberId(1), i), world.run(10);
  world.resubscribe({first});
  world.down.insert(second);
  auto& log = world.log(MemberId(1));
  auto out = [&](int waiting, bool rests) {
    std::size_t most = 0;
    log.module().set_waiting_documents(waiting), log.module().set_destination_impaired(first, rests);
    std::vector<CompactedLog::Delivery> under_way;
    for (int i = 0; i < 30; ++i) {
      log.begin_turn(world.now() + i * 10, 1e12 + world.now() + i * 10);
      for (auto& one : log.decide().deliver) under_way.push_back(one);
      most = std::max(most, under_way.size());
    }
    for (auto& one : under_way) log.module().on_delivery_ended(one, true);
    return most;
  };
  EXPECT_EQ(out(0, true), 0u);
  EXPECT_EQ(out(10, false), 1u);
  EXPECT_EQ(out(0, false), 4u);
}

// Deliveries that fail in the same moment tell of one failure: the subscriber is tried again as after one.
TEST(Latest, FailuresTogetherCountOnce) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    World world(1, {first}, seed);
    world.run(10000);  // it has the duty
    world.down.insert(first);
    for (int i = 0; i < 40; ++i) world.take(MemberId(1), i);
    world.run(2500);
    world.down.clear();
    EXPECT_TRUE(world.converge(4000)) << "seed " << seed;
  }
}

}  // namespace
}  // namespace rockcrank::peer
