// The interface of warming: a bounded list of what this relay uses most (space_saving.h), lent to neighbours,
// and the plan by which a newcomer warms itself from the lists it borrows. Free of I/O. It must never decide
// whether a connection may go up (the decision module is asked for each), nor go before documents at hand.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fleet/ids.h"

namespace rockcrank::warm {

// What a popular thing is: an endpoint called, or a key of a stream delivered.
enum class Sort : std::uint8_t { endpoint, key };
struct Popular {
  Sort sort{};
  std::uint64_t id = 0;            // EndpointId, or hash of the stream and key
  double uses = 0, most_over = 0;  // a second; too high by this at most
  Millis took = 0;                 // the mean time of a use; 0: not known
  auto fields() { return std::tie(sort, id, uses, most_over, took); }
};

struct WarmMessage {
  bool asks = false;                       // for the list
  Millis serving = 0;                      // how long the sender has served since its start or stall
  double endpoint_uses = 0, key_uses = 0;  // a second, of all things together
  std::vector<Popular> list;
  auto fields() { return std::tie(asks, serving, endpoint_uses, key_uses, list); }
};

struct Budget {
  int neighbours = 0, connections = 0, list_most = 0;
  std::size_t bytes = 0;
  Millis within = 0;
  Millis idle_life = 0;  // a connection at rest is closed after so long; 0: never
};

class Warmer {
 public:
  struct Ahead {
    EndpointId endpoint{};
    int up_to = 0;  // connections there, those opened by documents counted
  };
  struct Decided {
    fleet::OutgoingMessages<WarmMessage> sends;
    // Whose state is to be caught up with first, the busiest first: told once, when a plan is made.
    std::vector<EndpointId> state_first;
    // One more connection each, unless there are as many (enough), or Decision::may_open_ahead says no
    // (may_not).
    std::vector<Ahead> open;
    std::vector<std::uint64_t>
        load;  // bodies of part 3 to bring into memory, by id; each is answered by loaded
    std::vector<std::string> log;
    Millis wake_in = -1;
  };
  struct Count {  // of connections opened ahead
    std::uint64_t opened = 0, used = 0, failed = 0, unused = 0;
  };
  // cold: this process starts with no connection up. roster: neighbours are drawn from it, own hall first.
  static std::unique_ptr<Warmer> make(const fleet::Roster& roster, fleet::MemberId self, const Budget& budget,
                                      bool cold, std::uint64_t seed);
  virtual ~Warmer() = default;

  virtual void begin(Millis now) = 0;
  virtual void alive(const std::vector<fleet::MemberId>& members) = 0;
  virtual void linked(fleet::MemberId peer, bool up) = 0;
  virtual void heard(fleet::MemberId from, const WarmMessage& message) = 0;
  virtual void stalled() = 0;  // others gave this process up: what it lends is as old as a newcomer's
  virtual void used(Sort sort, std::uint64_t id, Millis took) = 0;  // an endpoint called, a key delivered
  // At hand in this turn: they go first. waiting: that went in this turn, or wait for a slot.
  virtual void documents(int waiting, int free_slots) = 0;
  // Whether what other relays know of destinations is here: before that nothing is opened ahead.
  virtual void state_known(bool known) = 0;
  // Of one opened ahead: came up, was first used by a document, failed, or closed unused.
  enum class Fate : std::uint8_t { up, used, failed, unused };
  virtual void fate(EndpointId endpoint, Fate fate) = 0;
  virtual void may_not(EndpointId endpoint) = 0;  // the decision module said no, for now
  virtual void enough(EndpointId endpoint) = 0;  // there are as many as were wanted, or it is not listed here
  virtual void loaded(std::size_t bytes) = 0;    // one body; 0: there is none here
  virtual Decided decide() = 0;

  virtual bool over() const = 0;  // nothing more is warmed
  virtual Count count() const = 0;
};

}  // namespace rockcrank::warm
