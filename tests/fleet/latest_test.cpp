// The log on several relays over a simulated network with random loss, delays, partitions, crashes and
// stalls: all relays converge, every subscriber receives the newest version of each key, and none gets an
// older version after a newer one. Property tests cover the merges.

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

LatestSettings settings_for(std::vector<DestinationId> subscribers, Millis tombstone_retention = 1e9) {
  LatestSettings settings;
  settings.streams = {{stream, "status", std::move(subscribers), tombstone_retention, 0, 0.5}};
  settings.segment_bytes = 1 << 15, settings.max_disk_bytes = 1 << 22, settings.max_clock_offset = 60000;
  return settings;
}

// Several relays, their links and the subscribers, on one virtual clock.
class Simulation {
 public:
  Simulation(int relays, std::vector<DestinationId> subscribers, std::uint64_t seed,
             Millis tombstone_retention = 1e9)
      : settings_(settings_for(std::move(subscribers), tombstone_retention)), random_(seed % 2147483646 + 1) {
    for (int i = 0; i < relays; ++i)
      roster_.push_back({MemberId(static_cast<std::uint64_t>(i) + 1), "n" + std::to_string(i + 1), "h0"});
    for (const auto& member : roster_) {
      nodes_[member.id].disk = std::make_shared<InMemoryDisk>();
      start(member.id);
    }
  }

  struct Node {
    std::shared_ptr<InMemoryDisk> disk;
    std::unique_ptr<PersistentLog> log;  // null: crashed
    Millis clock_offset = 0, stalled_until = 0;
    std::vector<std::pair<Millis, CompactedLog::Delivery>> in_flight;
    std::set<MemberId> partitioned_from;  // members whose messages do not arrive here
  };
  using ReceivedVersions = std::map<DestinationId, std::map<std::string, std::vector<HybridTimestamp>>>;

  void start(MemberId id) {
    Node& node = nodes_.at(id);
    node.log =
        std::make_unique<PersistentLog>(std::make_unique<InMemoryFiles>(node.disk), "log", roster_, id,
                                        settings_, 1 << 16, static_cast<std::uint64_t>(id), now_, wall(node));
    node.in_flight.clear();
    relink();
  }
  void kill(MemberId id) { nodes_.at(id).log.reset(), relink(); }
  void stall(MemberId id, Millis time) { nodes_.at(id).stalled_until = now_ + time; }
  void cut(MemberId from, MemberId to, bool cut) {
    if (cut) nodes_.at(to).partitioned_from.insert(from);
    else nodes_.at(to).partitioned_from.erase(from);
    relink();
  }
  void heal() {
    loss = 0;
    for (auto& [id, node] : nodes_) {
      node.partitioned_from.clear(), node.stalled_until = 0;
      if (!node.log) start(id);
    }
    relink();
  }
  void resubscribe(std::vector<DestinationId> subscribers) {
    settings_.streams[0].subscribers = std::move(subscribers);
    for (auto& [id, node] : nodes_) node.log.reset(), start(id);
  }

  bool accept(MemberId id, int key, bool is_tombstone = false) {
    Node& node = nodes_.at(id);
    if (!node.log || now_ < node.stalled_until) return false;
    Record record;
    record.stream = stream, record.key = "k" + std::to_string(key),
    record.id = "d" + std::to_string(++accepted);
    record.body = is_tombstone ? "" : "body " + record.id;
    node.log->begin_turn(now_, wall(node));
    try {
      auto timestamp = node.log->append_local(record);
      key_names_[key_hash(record.key)] = record.key;
      newest[record.key] = std::max(newest[record.key], timestamp);
    } catch (const fleet::FleetError&) { return false; }
    return true;
  }

  void run(Millis time) {
    for (Millis end = now_ + time; now_ < end;) {
      now_ += 10;
      for (auto arrival = in_transit_.begin(); arrival != in_transit_.end() && arrival->first <= now_;) {
        auto [from, to, message] = std::move(arrival->second);
        arrival = in_transit_.erase(arrival);
        Node& node = nodes_.at(to);
        if (!node.log || node.partitioned_from.count(from)) continue;
        if (now_ < node.stalled_until) {
          in_transit_.emplace(node.stalled_until + 1, std::tuple(from, to, std::move(message)));
          arrival =
              in_transit_.upper_bound(now_) == in_transit_.begin() ? in_transit_.end() : in_transit_.begin();
          continue;
        }
        node.log->begin_turn(now_, wall(node));
        node.log->on_message(from, message);
      }
      for (auto& [id, node] : nodes_)
        if (node.log && now_ >= node.stalled_until) run_turn(id, node);
    }
  }

  bool converged() {
    for (auto& [id, node] : nodes_) {
      if (!node.log ||
          node.log->module().digest(stream) != nodes_.begin()->second.log->module().digest(stream))
        return false;
      for (const auto& [key, timestamp] : newest)
        if (auto newest_here = node.log->module().newest_timestamp(stream, key_hash(key));
            !newest_here || *newest_here < timestamp)
          return false;
    }
    for (auto subscriber : settings_.streams[0].subscribers)
      for (const auto& [key, timestamp] : newest)
        if (received[subscriber][key].empty() || received[subscriber][key].back() < timestamp) return false;
    return true;
  }
  bool converge(Millis within) {
    for (Millis end = now_ + within; now_ < end;) {
      run(200);
      if (converged()) return true;
    }
    return false;
  }

  double random_between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  MemberId member(std::size_t number) { return roster_[number % roster_.size()].id; }
  PersistentLog& log(MemberId id) { return *nodes_.at(id).log; }
  Millis now() const { return now_; }

  double loss = 0, answer_loss = 0;
  std::set<DestinationId> unavailable;
  int accepted = 0, duplicates = 0, older_after_newer = 0;
  std::uint64_t delivered = 0, bytes = 0;
  std::map<std::string, HybridTimestamp> newest;
  ReceivedVersions received;  // all versions that each subscriber received, in order

 private:
  Millis wall(const Node& node) const { return 1e12 + now_ + node.clock_offset; }

  void relink() {
    for (auto& [id, node] : nodes_) {
      if (!node.log) continue;
      std::vector<MemberId> alive;
      node.log->begin_turn(now_, wall(node));
      for (auto& [other, peer] : nodes_) {
        bool up = peer.log && !peer.partitioned_from.count(id) && !node.partitioned_from.count(other);
        if (peer.log || other == id) alive.push_back(other);
        if (other != id) node.log->module().on_link_change(other, up);
      }
      node.log->module().set_alive(alive);
    }
  }

  void run_turn(MemberId id, Node& node) {
    node.log->begin_turn(now_, wall(node));
    auto actions = node.log->decide();
    for (auto& [to, message] : actions.sends) {
      if (random_between(0, 1) < loss) continue;
      auto delay = random_between(1, 40);
      // In order or not at all, as on a real link.
      auto& last = last_arrivals_[{id, to}];
      last = std::max(last + 0.001, now_ + delay);
      bytes += packed(message).size();
      in_transit_.emplace(last, std::tuple(id, to, std::move(message)));
    }
    for (const auto& withdrawn : actions.withdraw)
      std::erase_if(node.in_flight, [&](const auto& entry) { return entry.second == withdrawn; });
    for (const auto& delivery : actions.deliver)
      node.in_flight.push_back({now_ + random_between(0, 150), delivery});
    for (std::size_t i = 0; i < node.in_flight.size();) {
      auto [arrival, delivery] = node.in_flight[i];
      if (now_ < arrival) {
        ++i;
        continue;
      }
      node.in_flight.erase(node.in_flight.begin() + static_cast<std::ptrdiff_t>(i));
      // When the transmission begins, the host checks whether it still has the lease.
      bool is_sent = node.log->module().has_delivery_lease(delivery.subscription, now_) &&
                     !unavailable.count(delivery.subscription.subscriber);
      if (is_sent) receive(delivery);
      bool is_answered = is_sent && random_between(0, 1) >= answer_loss;  // otherwise the answer is lost
      node.log->module().on_delivery_ended(delivery, is_answered);
    }
  }

  void receive(const CompactedLog::Delivery& delivery) {
    ++delivered;
    auto& list = received[delivery.subscription.subscriber][key_names_.at(delivery.key)];
    older_after_newer += !list.empty() && delivery.timestamp < list.back();
    duplicates += !list.empty() && delivery.timestamp == list.back();
    list.push_back(delivery.timestamp);
  }

  LatestSettings settings_;
  std::minstd_rand random_;
  fleet::Roster roster_;
  std::map<MemberId, Node> nodes_;
  std::multimap<Millis, std::tuple<MemberId, MemberId, LatestMessage>> in_transit_;
  std::map<std::pair<MemberId, MemberId>, Millis> last_arrivals_;
  std::map<KeyHash, std::string> key_names_;
  Millis now_ = 1000;
};

const DestinationId first_subscriber{5}, second_subscriber{6};

TEST(Latest, LateSubscriberGetsTheNewestOfEachKeyThenChanges) {
  Simulation simulation(3, {first_subscriber}, 1);
  simulation.run(4000);
  for (int i = 0; i < 600; ++i) simulation.accept(simulation.member(i), i % 40), simulation.run(10);
  ASSERT_TRUE(simulation.converge(10000));
  simulation.resubscribe({first_subscriber, second_subscriber});
  simulation.run(2500);
  for (int i = 0; i < 60; ++i)
    simulation.accept(simulation.member(i), i % 50), simulation.run(20);  // ten keys are new
  ASSERT_TRUE(simulation.converge(20000));
  std::size_t got = 0;
  for (const auto& [key, list] : simulation.received[second_subscriber]) got += list.size();
  EXPECT_EQ(simulation.received[second_subscriber].size(), 50u);
  EXPECT_LE(got, 50u + 60u);
  EXPECT_EQ(simulation.older_after_newer, 0);
}

TEST(Latest, RandomFaultsNeverTakeAKeyBackAndAllRelaysConverge) {
  int repeats = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    Simulation simulation(3 + static_cast<int>(seed % 3), {first_subscriber, second_subscriber}, seed);
    simulation.run(3000);
    for (int step = 0; step < 120; ++step) {
      auto target = simulation.member(static_cast<std::size_t>(simulation.random_between(0, 100)));
      auto peer = simulation.member(static_cast<std::size_t>(simulation.random_between(0, 100)));
      switch (static_cast<int>(simulation.random_between(0, 14))) {
        case 0: simulation.kill(target); break;
        case 1: simulation.cut(target, peer, true); break;
        case 2: simulation.cut(target, peer, false); break;
        case 3: simulation.stall(target, simulation.random_between(100, 6000)); break;
        case 4: simulation.loss = simulation.random_between(0, 0.3); break;
        case 5: simulation.heal(); break;
        case 6: simulation.answer_loss = simulation.random_between(0, 0.3); break;
        case 7:
          simulation.random_between(0, 1) < 0.5 ? void(simulation.unavailable.insert(second_subscriber))
                                                : void(simulation.unavailable.clear());
          break;
        default: break;
      }
      for (int i = 0; i < 8; ++i) {
        int key = static_cast<int>(simulation.random_between(0, 12));
        simulation.accept(simulation.member(static_cast<std::size_t>(simulation.random_between(0, 100))), key,
                          simulation.random_between(0, 1) < 0.1);
        simulation.run(simulation.random_between(10, 120));
      }
    }
    simulation.heal(), simulation.unavailable.clear(), simulation.answer_loss = 0;
    EXPECT_TRUE(simulation.converge(200000)) << "seed " << seed;
    EXPECT_EQ(simulation.older_after_newer, 0) << "seed " << seed;
    repeats += simulation.duplicates;
  }
  EXPECT_GT(repeats, 0);  // the injected faults had an effect
}

TEST(Latest, LeaseIsTakenOverWhenItsHolderDies) {
  Simulation simulation(3, {first_subscriber}, 3);
  simulation.run(4000);
  MemberId holder{};
  for (std::size_t i = 0; i < 3; ++i)
    if (simulation.log(simulation.member(i))
            .module()
            .has_delivery_lease({stream, first_subscriber}, simulation.now()))
      holder = simulation.member(i);
  ASSERT_NE(holder, MemberId{});
  simulation.kill(holder);
  auto other = holder == simulation.member(0) ? simulation.member(1) : simulation.member(0);
  ASSERT_TRUE(simulation.accept(other, 1));
  auto since = simulation.now();
  while (simulation.received[first_subscriber]["k1"].empty() && simulation.now() < since + 10000)
    simulation.run(50);
  EXPECT_LT(simulation.now() - since, 5000);
  EXPECT_FALSE(simulation.received[first_subscriber]["k1"].empty());
}

// Guards against two lease holders: the holder is isolated in both directions, and others take over while its
// transmissions are in flight.
TEST(Latest, OnlyOneSideOfAPartitionDelivers) {
  Simulation simulation(3, {first_subscriber}, 4);
  simulation.run(4000);
  for (int round = 0; round < 6; ++round) {
    auto isolated = simulation.member(static_cast<std::size_t>(round));
    for (std::size_t i = 0; i < 3; ++i) {
      if (simulation.member(i) == isolated) continue;
      simulation.cut(isolated, simulation.member(i), true),
          simulation.cut(simulation.member(i), isolated, true);
    }
    for (int i = 0; i < 60; ++i)
      simulation.accept(simulation.member(static_cast<std::size_t>(i)), i % 5), simulation.run(100);
    int holders = 0;
    for (std::size_t i = 0; i < 3; ++i)
      holders += simulation.log(simulation.member(i))
                     .module()
                     .has_delivery_lease({stream, first_subscriber}, simulation.now());
    EXPECT_LE(holders, 1);
    simulation.heal();
    simulation.run(1000);
  }
  EXPECT_TRUE(simulation.converge(20000));
  EXPECT_EQ(simulation.older_after_newer, 0);
}

TEST(Latest, RejoiningSubscriberReceivesTombstones) {
  Simulation simulation(3, {first_subscriber, second_subscriber}, 5, 2000);
  simulation.run(4000);
  for (int i = 0; i < 20; ++i) simulation.accept(simulation.member(static_cast<std::size_t>(i)), i);
  ASSERT_TRUE(simulation.converge(10000));
  auto before = simulation.received[second_subscriber].size();
  simulation.resubscribe({first_subscriber});
  for (int i = 0; i < 10; ++i) simulation.accept(simulation.member(static_cast<std::size_t>(i)), i, true);
  simulation.run(30000);  // far longer than the tombstone retention
  for (std::size_t i = 0; i < 3; ++i)
    EXPECT_EQ(simulation.log(simulation.member(i)).module().usage().keys, 20u)
        << "one subscriber has not received it: kept";
  simulation.resubscribe({first_subscriber, second_subscriber});
  ASSERT_TRUE(simulation.converge(20000));
  EXPECT_EQ(simulation.received[second_subscriber].size(), before);
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(simulation.received[second_subscriber]["k" + std::to_string(i)].size(), i < 10 ? 2u : 1u);
  for (int i = 0; i < 200 && simulation.log(simulation.member(0)).module().usage().keys > 10; ++i)
    simulation.run(500);
  simulation.run(20000);
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(simulation.log(simulation.member(i)).module().usage().keys, 10u)
        << "all subscribers received them: purged";
    EXPECT_EQ(simulation.log(simulation.member(i)).module().digest(stream),
              simulation.log(simulation.member(0)).module().digest(stream));
  }
}

// Guards against an older value coming back from one relay after its tombstone was purged on another.
TEST(Latest, TombstoneStaysWhileOneRelayIsDown) {
  Simulation simulation(3, {first_subscriber}, 6, 1000);
  simulation.run(4000);
  for (int i = 0; i < 5; ++i) simulation.accept(simulation.member(0), i);
  ASSERT_TRUE(simulation.converge(10000));
  simulation.kill(simulation.member(2));
  for (int i = 0; i < 5; ++i) simulation.accept(simulation.member(0), i, true);
  simulation.run(30000);
  EXPECT_EQ(simulation.log(simulation.member(0)).module().usage().keys, 5u);
  simulation.start(simulation.member(2));
  for (int i = 0; i < 100 && simulation.log(simulation.member(2)).module().usage().keys > 0; ++i)
    simulation.run(500);
  simulation.run(20000);
  for (std::size_t i = 0; i < 3; ++i)
    EXPECT_EQ(simulation.log(simulation.member(i)).module().usage().keys, 0u);
  EXPECT_EQ(simulation.older_after_newer, 0);
  for (auto& [key, list] : simulation.received[first_subscriber]) EXPECT_EQ(list.size(), 2u) << key;
}

// --- One module: merges, versions, the rate of a backlog.

const fleet::Roster two_members{{MemberId(1), "n1", "h0"}, {MemberId(2), "n2", "h0"}};

std::unique_ptr<CompactedLog> make_module(const fleet::Roster& roster,
                                          std::vector<DestinationId> subscribers = {first_subscriber}) {
  auto made = CompactedLog::make(roster, MemberId(1), settings_for(std::move(subscribers)), 1);
  made->begin_turn(1000, 1e6);
  made->add_segment(SegmentId(1), stream, false);
  return made;
}

// Records of few keys and timestamps, so that equal timestamps with different content occur.
RecordHeader random_header() {
  RecordHeader header;
  header.stream = stream, header.key = {*rc::gen::inRange<std::uint64_t>(0, 4) << 60, 1};
  header.timestamp = {*rc::gen::inRange<std::uint64_t>(1, 5), 0,
                      MemberId(*rc::gen::inRange<std::uint64_t>(1, 3))};
  header.content_hash = *rc::gen::inRange<std::uint64_t>(1, 4),
  header.tombstone = *rc::gen::arbitrary<bool>();
  return header;
}

void store_all(CompactedLog& module, const std::vector<RecordHeader>& headers) {
  std::uint32_t offset = 0;
  for (const auto& header : headers) {
    auto check = module.check_record(header);
    if (check == RecordCheck::newer || check == RecordCheck::conflict_replace_local)
      module.on_record_stored(header, {SegmentId(1), offset += 10, 10}, false);
  }
}

TEST(Latest, MergingRecordsIsCommutativeAssociativeAndIdempotent) {
  EXPECT_TRUE(rc::check("any order, any repeats, one newest version per key", [] {
    auto headers = *rc::gen::container<std::vector<RecordHeader>>(rc::gen::exec(random_header));
    auto order = headers;
    std::minstd_rand random(*rc::gen::inRange<unsigned>(1, 1000000));
    std::ranges::shuffle(order, random);
    order.insert(order.end(), headers.begin(), headers.begin() + static_cast<long>(headers.size() / 2));
    auto first = make_module(two_members), second = make_module(two_members);
    store_all(*first, headers), store_all(*second, order);
    RC_ASSERT(first->digest(stream) == second->digest(stream));
    auto before = first->digest(stream);
    store_all(*first, order);
    RC_ASSERT(first->digest(stream) == before);
  }));
}

TEST(Latest, MergingDeliveryStatesIsCommutativeAssociativeAndIdempotent) {
  EXPECT_TRUE(rc::check("any order, any repeats, one position", [] {
    auto states = *rc::gen::container<std::vector<DeliveryState>>(rc::gen::exec([] {
      DeliveryState state;
      state.subscription = {stream, first_subscriber},
      state.key = {*rc::gen::inRange<std::uint64_t>(0, 4) << 60, 1};
      state.timestamp = {900000 + *rc::gen::inRange<std::uint64_t>(1, 5), 0, MemberId(1)};
      state.delivered = *rc::gen::arbitrary<bool>();
      return state;
    }));
    auto order = states;
    std::minstd_rand random(*rc::gen::inRange<unsigned>(1, 1000000));
    std::ranges::shuffle(order, random);
    order.insert(order.end(), states.begin(), states.end());
    auto first = make_module(two_members), second = make_module(two_members);
    LatestMessage message;
    message.delivery_states = states, first->on_message(MemberId(2), message, true);
    message.delivery_states = order, second->on_message(MemberId(2), message, true);
    RC_ASSERT(first->digest({stream, first_subscriber}) == second->digest({stream, first_subscriber}));
  }));
}

TEST(Latest, DigestTreeSumsMatchItsItems) {
  struct Item {
    KeyHash key;
    std::uint64_t value = 0;
    std::uint64_t sum() const { return value; }
  };
  EXPECT_TRUE(rc::check("of any range, after any changes", [] {
    DigestTree<Item> tree;
    std::map<KeyHash, std::uint64_t> expected_items;
    for (int i = *rc::gen::inRange(0, 400); i > 0; --i) {
      KeyHash key{*rc::gen::inRange<std::uint64_t>(0, 512) << 55, 0};
      if (*rc::gen::inRange(0, 4) == 0) RC_ASSERT(tree.erase(key) == (expected_items.erase(key) > 0));
      else tree.upsert({key, expected_items[key] = *rc::gen::inRange<std::uint64_t>(0, 9)});
    }
    int bits = *rc::gen::inRange(0, 12);
    auto prefix = bits ? *rc::gen::inRange<std::uint64_t>(0, 1u << bits) << (64 - bits) : 0;
    std::uint64_t sum = 0, keys = 0;
    for (auto [key, value] : expected_items)
      if (bits == 0 || key.high >> (64 - bits) == prefix >> (64 - bits)) sum += value, keys += value > 0;
    auto got = tree.sum(prefix, bits);
    RC_ASSERT(got.sum == sum && got.key_count == keys && tree.size() == expected_items.size());
  }));
}

TEST(Latest, VersionsGrowDespiteClockStepsAndThoseTooFarAheadAreRefused) {
  auto log_module = make_module(two_members);
  KeyHash key{1, 1};
  auto before = *log_module->next_timestamp(stream, key);
  log_module->begin_turn(1001, 1e6 - 30000);  // back by half a minute
  auto after = *log_module->next_timestamp(stream, key);
  EXPECT_LT(before, after);
  RecordHeader header{stream, key, {1070000, 0, MemberId(2)}, false, 1, {}, 0};
  EXPECT_EQ(log_module->check_record(header), RecordCheck::too_far_ahead);
  log_module->begin_turn(1002, 1e6 + 10000);
  EXPECT_EQ(log_module->check_record(header), RecordCheck::newer);
  log_module->on_record_stored(header, {SegmentId(1), 0, 10}, false);
  EXPECT_GT(*log_module->next_timestamp(stream, key), header.timestamp);
  // back by more than a version may lie ahead: the other relays would refuse it
  log_module->begin_turn(1003, 1e6 - 120000);
  EXPECT_FALSE(log_module->next_timestamp(stream, key));
}

// A member that has granted member 2 the lease of a subscription, with epoch 7.
class VotingMember {
 public:
  explicit VotingMember(std::unique_ptr<CompactedLog> module) : module_(std::move(module)) {
    module_->begin_turn(10000, 1e6 + 9000);
    module_->on_link_change(MemberId(2), true);
    LatestMessage request;
    request.lease_requests = {{subscription, 7, 1, false}};
    module_->on_message(MemberId(2), request, true);
    auto sends = module_->decide().sends;
    granted = std::ranges::any_of(sends, [](const auto& send) {
      return !send.message.lease_responses.empty() && send.message.lease_responses[0].granted;
    });
  }
  // Whether it acknowledges that the delivery of this version is about to begin.
  bool acknowledges(std::uint64_t number, std::uint64_t wall, std::uint64_t epoch) {
    LatestMessage message;
    message.sequence = number,
    message.delivery_states = {{subscription, key, {wall, 0, MemberId(2)}, false, epoch}};
    module_->on_message(MemberId(2), message, true);
    for (const auto& send : module_->decide().sends)
      if (std::ranges::count(send.message.acknowledged, number)) return true;
    return false;
  }
  std::optional<DeliveryState> noted() const { return module_->delivery_state(subscription, key); }

  const Subscription subscription{stream, first_subscriber};
  const KeyHash key{1, 1};
  bool granted = false;

 private:
  std::unique_ptr<CompactedLog> module_;
};

// Guards against a key going back to an older version: any two majorities share a member, and that member
// does not acknowledge an older version after a newer one.
TEST(Latest, OlderVersionIsNotAcknowledgedAfterANewerOne) {
  VotingMember voter(make_module(two_members));
  ASSERT_TRUE(voter.granted);
  EXPECT_TRUE(voter.acknowledges(1, 1000005, 7));
  EXPECT_FALSE(voter.acknowledges(2, 1000004, 7)) << "older than what it has recorded";
  EXPECT_TRUE(voter.acknowledges(3, 1000005, 7)) << "the same once more";
  EXPECT_FALSE(voter.acknowledges(4, 1000006, 6)) << "of a lease that is over";
  // merged nevertheless
  EXPECT_EQ(voter.noted()->timestamp.wall_time, 1000006u);
  EXPECT_TRUE(voter.acknowledges(5, 1000007, 7));
}

// Guards against a subscriber that gets an older version after a newer one: the next lease holder knows
// nothing of a version that the majority has acknowledged and not noted.
TEST(Latest, VersionTooFarAheadIsNotAcknowledged) {
  VotingMember voter(make_module(two_members));
  ASSERT_TRUE(voter.granted);
  EXPECT_FALSE(voter.acknowledges(1, 2000000, 7));
  EXPECT_FALSE(voter.noted().has_value());
}

TEST(Latest, EqualVersionsWithDifferentContentAreReported) {
  Simulation simulation(2, {first_subscriber}, 7);
  Record record;
  record.stream = stream, record.key = "k1", record.id = "a", record.body = "one";
  record.timestamp = {static_cast<std::uint64_t>(1e12), 0, MemberId(1)};
  auto other = record;
  other.id = "b", other.body = "two";
  LatestMessage first_message, second_message;
  first_message.records = {record}, second_message.records = {other};
  for (int i : {0, 1}) {
    auto& log = simulation.log(simulation.member(static_cast<std::size_t>(i)));
    auto peer = simulation.member(static_cast<std::size_t>(1 - i));
    log.begin_turn(simulation.now(), 1e12 + 2000);
    log.on_message(peer, i == 0 ? first_message : second_message),
        log.on_message(peer, i == 0 ? second_message : first_message);
    auto lines = log.decide().log;
    EXPECT_TRUE(std::ranges::any_of(lines, [](const auto& line) {
      return line.find("equal version and other content") != std::string::npos;
    }));
  }
  EXPECT_EQ(simulation.log(MemberId(1)).read(stream, key_hash("k1"))->id,
            simulation.log(MemberId(2)).read(stream, key_hash("k1"))->id);
}

// Guards against a backlog that floods a subscriber: few deliveries are in flight, fewer while documents
// wait, and none while the destination is impaired.
TEST(Latest, BacklogIsBounded) {
  Simulation simulation(1, {}, 8);
  for (int i = 0; i < 200; ++i) simulation.accept(MemberId(1), i), simulation.run(10);
  simulation.resubscribe({first_subscriber});
  simulation.unavailable.insert(second_subscriber);
  auto& log = simulation.log(MemberId(1));
  auto out = [&](int waiting, bool rests) {
    std::size_t most = 0;
    log.module().set_waiting_documents(waiting),
        log.module().set_destination_impaired(first_subscriber, rests);
    std::vector<CompactedLog::Delivery> in_flight;
    for (int i = 0; i < 30; ++i) {
      log.begin_turn(simulation.now() + i * 10, 1e12 + simulation.now() + i * 10);
      for (auto& delivery : log.decide().deliver) in_flight.push_back(delivery);
      most = std::max(most, in_flight.size());
    }
    for (auto& delivery : in_flight) log.module().on_delivery_ended(delivery, true);
    return most;
  };
  EXPECT_EQ(out(0, true), 0u);
  EXPECT_EQ(out(10, false), 1u);
  EXPECT_EQ(out(0, false), 4u);
}

// Guards against a process that ends: its own clock was set back behind a version that it has yet to deliver.
TEST(Latest, VersionAheadOfTheOwnClockWaitsForIt) {
  Simulation simulation(1, {}, 8);
  simulation.accept(MemberId(1), 0);
  simulation.run(10);
  simulation.resubscribe({first_subscriber});
  auto& log = simulation.log(MemberId(1));
  Millis now = simulation.now();
  auto deliveries_within = [&](Millis duration, Millis clock_offset) {
    std::size_t deliveries = 0;
    for (const Millis end = now + duration; now < end; now += 100) {
      log.begin_turn(now, 1e12 + now + clock_offset);
      deliveries += log.decide().deliver.size();
    }
    return deliveries;
  };
  EXPECT_EQ(deliveries_within(20000, -120000), 0u);
  EXPECT_EQ(deliveries_within(70000, 0), 1u);
}

// Guards against a backoff that grows with each delivery that fails in the same moment: together they count
// as one failure.
TEST(Latest, FailuresTogetherCountOnce) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Simulation simulation(1, {first_subscriber}, seed);
    simulation.run(10000);  // it has the lease
    simulation.unavailable.insert(first_subscriber);
    for (int i = 0; i < 40; ++i) simulation.accept(MemberId(1), i);
    simulation.run(2500);
    simulation.unavailable.clear();
    EXPECT_TRUE(simulation.converge(4000)) << "seed " << seed;
  }
}

}  // namespace
}  // namespace rockcrank::peer
