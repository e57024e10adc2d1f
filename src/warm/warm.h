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
enum class ItemKind : std::uint8_t { endpoint, key };
struct PopularItem {
  ItemKind kind{};
  std::uint64_t id = 0;                   // EndpointId, or hash of the stream and key
  double rate = 0, max_overestimate = 0;  // a second; too high by this at most
  Millis mean_duration = 0;               // the mean time of a use; 0: not known
  auto fields() { return std::tie(kind, id, rate, max_overestimate, mean_duration); }
};

struct WarmupMessage {
  bool is_request = false;                 // for the list
  Millis serving_time = 0;                 // how long the sender has served since its start or stall
  double endpoint_rate = 0, key_rate = 0;  // a second, of all things together
  std::vector<PopularItem> items;
  auto fields() { return std::tie(is_request, serving_time, endpoint_rate, key_rate, items); }
};

struct WarmupBudget {
  int max_neighbours = 0, max_connections = 0, max_list_items = 0;
  std::size_t max_bytes = 0;
  Millis time_limit = 0;
  Millis idle_timeout = 0;  // a connection at rest is closed after so long; 0: never
};

class Warmer {
 public:
  struct Preconnect {
    EndpointId endpoint{};
    int max_connections = 0;  // connections there, those opened by documents counted
  };
  struct Actions {
    fleet::OutgoingMessages<WarmupMessage> sends;
    // Whose state is to be caught up with first, the busiest first: told once, when a plan is made.
    std::vector<EndpointId> sync_first;
    // One more connection each, unless there are as many (enough), or Decision::may_open_ahead says no
    // (may_not).
    std::vector<Preconnect> preconnects;
    std::vector<std::uint64_t>
        bodies_to_load;  // bodies of part 3 to bring into memory, by id; each is answered by loaded
    std::vector<std::string> log;
    Millis wake_in = -1;
  };
  struct PreconnectStats {  // of connections opened ahead
    std::uint64_t opened = 0, used = 0, failed = 0, unused = 0;
  };
  // cold: this process starts with no connection up. roster: neighbours are drawn from it, own hall first.
  static std::unique_ptr<Warmer> make(const fleet::Roster& roster, fleet::MemberId self,
                                      const WarmupBudget& budget, bool cold, std::uint64_t seed);
  virtual ~Warmer() = default;

  virtual void begin_turn(Millis now) = 0;
  virtual void set_alive(const std::vector<fleet::MemberId>& members) = 0;
  virtual void on_link_change(fleet::MemberId peer, bool up) = 0;
  virtual void on_message(fleet::MemberId from, const WarmupMessage& message) = 0;
  virtual void on_stall() = 0;  // others gave this process up: what it lends is as old as a newcomer's
  virtual void record_use(ItemKind sort, std::uint64_t id,
                          Millis took) = 0;  // an endpoint called, a key delivered
  // At hand in this turn: they go first. waiting: that went in this turn, or wait for a slot.
  virtual void set_load(int waiting, int free_slots) = 0;
  // Whether what other relays know of destinations is here: before that nothing is opened ahead.
  virtual void set_state_known(bool known) = 0;
  // Of one opened ahead: came up, was first used by a document, failed, or closed unused.
  enum class ConnectionEvent : std::uint8_t { connected, used, failed, unused };
  virtual void on_connection_event(EndpointId endpoint, ConnectionEvent fate) = 0;
  virtual void on_preconnect_refused(EndpointId endpoint) = 0;  // the decision module said no, for now
  virtual void on_preconnect_unneeded(
      EndpointId endpoint) = 0;  // there are as many as were wanted, or it is not listed here
  virtual void on_body_loaded(std::size_t bytes) = 0;  // one body; 0: there is none here
  virtual Actions decide() = 0;

  virtual bool is_finished() const = 0;  // nothing more is warmed
  virtual PreconnectStats stats() const = 0;
};

}  // namespace rockcrank::warm
