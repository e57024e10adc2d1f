// Holds the short notes to their word: small enough, said once by one of many, bounded in rate, and no more
// than was known.
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
  RouteStatus known;
  known.route = route, known.retry_after_left = left;
  return known;
}
RouteStatus state_of(std::uint64_t route, RouteState state, Millis age = 0) {
  RouteStatus known;
  known.route = route, known.state = state, known.state_age = age, known.rate_before_outage = 3.5;
  return known;
}

// Relays that hear each other after a drawn time, on one clock.
class Tier {
 public:
  explicit Tier(int relays, double lost = 0) : lost_(lost), chance_(7) {
    for (int i = 0; i < relays; ++i) notes_.push_back(RouteGossip::make(static_cast<std::uint64_t>(i) + 11));
    learned.resize(notes_.size());
  }
  void tell(int relay, const RouteStatus& known) {
    at(relay).publish(known);
    turn(relay);
  }
  void run_to(Millis until) {
    while (!events_.empty() && events_.begin()->first <= until) {
      auto [when, event] = *events_.begin();
      events_.erase(events_.begin());
      now_ = when;
      if (!event.datagram.empty()) {
        at(event.relay).on_datagram(event.datagram);
        for (const auto& known : at(event.relay).take_reports())
          learned[static_cast<std::size_t>(event.relay)].emplace_back(now_, known);
      }
      turn(event.relay);
    }
    now_ = until;
  }

  int sent = 0;
  std::vector<std::vector<std::pair<Millis, RouteStatus>>> learned;

 private:
  struct Event {
    int relay = 0;
    RouteDatagram datagram;
  };
  RouteGossip& at(int relay) {
    auto& notes = *notes_[static_cast<std::size_t>(relay)];
    notes.begin_turn(now_);
    return notes;
  }
  void turn(int relay) {
    auto decided = at(relay).decide();
    for (const auto& datagram : decided.datagrams) {
      ++sent;
      EXPECT_LE(datagram.size(), max_updates_per_datagram);
      EXPECT_LE(peer::packed(datagram).size(), 256u);
      for (int other = 0; other < static_cast<int>(notes_.size()); ++other)
        if (other != relay && std::uniform_real_distribution<>(0, 1)(chance_) >= lost_)
          events_.emplace(now_ + std::uniform_real_distribution<>(1, 8)(chance_), Event{other, datagram});
    }
    if (decided.wake_in >= 0) events_.emplace(now_ + std::max(0.01, decided.wake_in), Event{relay, {}});
  }

  const double lost_;
  std::minstd_rand chance_;
  Millis now_ = 1000;
  std::vector<std::unique_ptr<RouteGossip>> notes_;
  std::multimap<Millis, Event> events_;
};

TEST(Notes, OfManyThatLearnTheSameFewSpeakAndAllKnow) {
  Tier tier(100);
  for (int i = 0; i < 100; ++i) tier.tell(i, state_of(9, RouteState::down));
  tier.run_to(1500);
  EXPECT_GE(tier.sent, 1);
  EXPECT_LE(tier.sent, 40);  // those whose moment fell into the first one's time on its way
  Tier one(100);
  one.tell(3, state_of(9, RouteState::down));
  one.run_to(1500);
  EXPECT_EQ(one.sent, 1);
  for (std::size_t i = 0; i < 100; ++i) EXPECT_EQ(one.learned[i].size(), i == 3 ? 0u : 1u);
}

TEST(Notes, AWaitIsNeverLongerThanTold) {
  Tier tier(5);
  tier.tell(0, wait_of(4, 900));  // told at 1000
  tier.run_to(3000);
  for (std::size_t i = 1; i < 5; ++i) {
    ASSERT_EQ(tier.learned[i].size(), 1u);
    const auto& [when, known] = tier.learned[i][0];
    EXPECT_LE(when + known.retry_after_left, 1900 + 8);  // beyond it by no more than the time on its way
    EXPECT_GE(when + known.retry_after_left, 1900 - 1);
  }
}

TEST(Notes, WhatIsOverSoonOrSaidAlreadyIsNotWorthOne) {
  Tier tier(3);
  tier.tell(0, wait_of(4, 100));
  tier.tell(0, state_of(5, RouteState::healthy));
  tier.run_to(2000);
  EXPECT_EQ(tier.sent, 0);
  tier.tell(0, wait_of(4, 2000));
  tier.run_to(2200);
  tier.tell(1, wait_of(4, 1810));  // ends as the one that it has heard of
  tier.run_to(2400);
  EXPECT_EQ(tier.sent, 1);
  tier.tell(1, wait_of(4, 4000));
  tier.run_to(2600);
  EXPECT_EQ(tier.sent, 2);
}

TEST(Notes, AnOutageAndItsEndAreBothSaid) {
  Tier tier(3);
  tier.tell(0, state_of(5, RouteState::down, 300));
  tier.run_to(1500);
  tier.tell(0, state_of(5, RouteState::recovering));
  tier.run_to(2000);
  tier.tell(0, state_of(5, RouteState::healthy));
  tier.run_to(2500);
  ASSERT_EQ(tier.learned[1].size(), 3u);
  EXPECT_EQ(tier.learned[1][0].second.state, RouteState::down);
  EXPECT_GE(tier.learned[1][0].second.state_age, 300);
  EXPECT_NEAR(tier.learned[1][0].second.rate_before_outage, 3.5, 0.001);
  EXPECT_EQ(tier.learned[1][1].second.state, RouteState::recovering);
  EXPECT_EQ(tier.learned[1][2].second.state, RouteState::healthy);
}

TEST(Notes, NoRelaySaysMoreThanItsRate) {
  Tier tier(2);
  for (int step = 0; step < 200; ++step) {
    for (std::uint64_t route = 0; route < 30; ++route)
      tier.tell(0, wait_of(route, 500 + 100 * step + static_cast<double>(route)));
    tier.run_to(1000 + 50 * (step + 1));
  }
  EXPECT_LE(tier.sent, 4 * 10 + 4);
  EXPECT_GE(tier.sent, 20);
}

TEST(Notes, WhatALaterVersionSaysIsPassedOver) {
  auto notes = RouteGossip::make(1);
  notes->begin_turn(10);
  notes->on_datagram(
      {{static_cast<UpdateKind>(9), false, 1, 100, 0, 0}, {UpdateKind::retry_after, false, 2, 700, 0, 0}});
  auto known = notes->take_reports();
  ASSERT_EQ(known.size(), 1u);
  EXPECT_EQ(known[0].route, 2u);
  EXPECT_EQ(known[0].retry_after_left, 700);
}

}  // namespace
}  // namespace rockcrank::fleet
