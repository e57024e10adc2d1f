// Tests of the route gossip: datagrams are small enough, one of many relays sends an update, the rate is
// bounded, and no update claims more than was known.
#include "fleet/route_gossip.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "peer/codec.h"

namespace rockcrank::fleet {
namespace {

RouteStatus wait_of(std::uint64_t route, Millis left) {
  RouteStatus status;
  status.route = route, status.retry_after_left = left;
  return status;
}
RouteStatus state_of(std::uint64_t route, RouteState state, Millis age = 0) {
  RouteStatus status;
  status.route = route, status.state = state, status.state_age = age, status.rate_before_outage = 3.5;
  return status;
}

// Relays that receive each other's datagrams after a random delay, on one clock.
class Simulation {
 public:
  explicit Simulation(int relays, double loss_probability = 0)
      : loss_probability_(loss_probability), random_(7) {
    for (int i = 0; i < relays; ++i) gossip_.push_back(RouteGossip::make(static_cast<std::uint64_t>(i) + 11));
    received.resize(gossip_.size());
  }
  void publish(int relay, const RouteStatus& status) {
    at(relay).publish(status);
    turn(relay);
  }
  void run_to(Millis until) {
    while (!events_.empty() && events_.begin()->first <= until) {
      auto [when, event] = *events_.begin();
      events_.erase(events_.begin());
      now_ = when;
      if (!event.datagram.empty()) {
        at(event.relay).on_datagram(event.datagram);
        for (const auto& status : at(event.relay).take_route_statuses())
          received[static_cast<std::size_t>(event.relay)].emplace_back(now_, status);
      }
      turn(event.relay);
    }
    now_ = until;
  }

  int sent = 0;
  std::vector<std::vector<std::pair<Millis, RouteStatus>>> received;

 private:
  struct Event {
    int relay = 0;
    RouteDatagram datagram;
  };
  RouteGossip& at(int relay) {
    auto& gossip = *gossip_[static_cast<std::size_t>(relay)];
    gossip.begin_turn(now_);
    return gossip;
  }
  void turn(int relay) {
    auto actions = at(relay).decide();
    for (const auto& datagram : actions.datagrams) {
      ++sent;
      EXPECT_LE(datagram.size(), max_updates_per_datagram);
      EXPECT_LE(peer::packed(datagram).size(), 256u);
      for (int other = 0; other < static_cast<int>(gossip_.size()); ++other)
        if (other != relay && std::uniform_real_distribution<>(0, 1)(random_) >= loss_probability_)
          events_.emplace(now_ + std::uniform_real_distribution<>(1, 8)(random_), Event{other, datagram});
    }
    if (actions.wake_in >= 0) events_.emplace(now_ + std::max(0.01, actions.wake_in), Event{relay, {}});
  }

  const double loss_probability_;
  std::minstd_rand random_;
  Millis now_ = 1000;
  std::vector<std::unique_ptr<RouteGossip>> gossip_;
  std::multimap<Millis, Event> events_;
};

TEST(RouteGossip, FewOfManyRelaysSendAndAllReceive) {
  Simulation simulation(100);
  for (int i = 0; i < 100; ++i) simulation.publish(i, state_of(9, RouteState::down));
  simulation.run_to(1500);
  EXPECT_GE(simulation.sent, 1);
  EXPECT_LE(simulation.sent, 40);  // those whose delay ended while the first datagram was in transit
  Simulation one_down(100);
  one_down.publish(3, state_of(9, RouteState::down));
  one_down.run_to(1500);
  EXPECT_EQ(one_down.sent, 1);
  for (std::size_t i = 0; i < 100; ++i) EXPECT_EQ(one_down.received[i].size(), i == 3 ? 0u : 1u);
}

TEST(RouteGossip, WaitIsNeverLengthened) {
  Simulation simulation(5);
  simulation.publish(0, wait_of(4, 900));  // published at 1000
  simulation.run_to(3000);
  for (std::size_t i = 1; i < 5; ++i) {
    ASSERT_EQ(simulation.received[i].size(), 1u);
    const auto& [when, status] = simulation.received[i][0];
    EXPECT_LE(when + status.retry_after_left, 1900 + 8);  // later by no more than the network delay
    EXPECT_GE(when + status.retry_after_left, 1900 - 1);
  }
}

TEST(RouteGossip, ShortWaitsAndRepeatsAreNotSent) {
  Simulation simulation(3);
  simulation.publish(0, wait_of(4, 100));
  simulation.publish(0, state_of(5, RouteState::healthy));
  simulation.run_to(2000);
  EXPECT_EQ(simulation.sent, 0);
  simulation.publish(0, wait_of(4, 2000));
  simulation.run_to(2200);
  simulation.publish(1, wait_of(4, 1810));  // same end as the one that it received
  simulation.run_to(2400);
  EXPECT_EQ(simulation.sent, 1);
  simulation.publish(1, wait_of(4, 4000));
  simulation.run_to(2600);
  EXPECT_EQ(simulation.sent, 2);
}

TEST(RouteGossip, OutageAndItsEndAreBothSent) {
  Simulation simulation(3);
  simulation.publish(0, state_of(5, RouteState::down, 300));
  simulation.run_to(1500);
  simulation.publish(0, state_of(5, RouteState::recovering));
  simulation.run_to(2000);
  simulation.publish(0, state_of(5, RouteState::healthy));
  simulation.run_to(2500);
  ASSERT_EQ(simulation.received[1].size(), 3u);
  EXPECT_EQ(simulation.received[1][0].second.state, RouteState::down);
  EXPECT_GE(simulation.received[1][0].second.state_age, 300);
  EXPECT_NEAR(simulation.received[1][0].second.rate_before_outage, 3.5, 0.001);
  EXPECT_EQ(simulation.received[1][1].second.state, RouteState::recovering);
  EXPECT_EQ(simulation.received[1][2].second.state, RouteState::healthy);
}

TEST(RouteGossip, RelayKeepsWithinItsRate) {
  Simulation simulation(2);
  for (int step = 0; step < 200; ++step) {
    for (std::uint64_t route = 0; route < 30; ++route)
      simulation.publish(0, wait_of(route, 500 + 100 * step + static_cast<double>(route)));
    simulation.run_to(1000 + 50 * (step + 1));
  }
  EXPECT_LE(simulation.sent, 4 * 10 + 4);
  EXPECT_GE(simulation.sent, 20);
}

TEST(RouteGossip, UnknownKindsAreIgnored) {
  auto gossip = RouteGossip::make(1);
  gossip->begin_turn(10);
  gossip->on_datagram(
      {{static_cast<UpdateKind>(9), false, 1, 100, 0, 0}, {UpdateKind::retry_after, false, 2, 700, 0, 0}});
  auto reports = gossip->take_route_statuses();
  ASSERT_EQ(reports.size(), 1u);
  EXPECT_EQ(reports[0].route, 2u);
  EXPECT_EQ(reports[0].retry_after_left, 700);
}

}  // namespace
}  // namespace rockcrank::fleet
