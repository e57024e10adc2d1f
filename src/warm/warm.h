// Cache warming: a bounded list of what this relay uses most (space_saving.h), sent to neighbours on request,
// and the plan by which a new relay preconnects and loads bodies from the lists it received. It does no I/O.
// The decision module is asked before each connection, and waiting documents take precedence.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fleet/ids.h"

namespace rockcrank::warm {

// An endpoint that was called, or a key of a stream that was delivered.
enum class ItemKind : std::uint8_t { endpoint, key };
struct PopularItem {
  ItemKind kind{};
  std::uint64_t id = 0;                   // EndpointId, or hash of the stream and key
  double rate = 0, max_overestimate = 0;  // per second; the rate is too high by at most max_overestimate
  Millis mean_duration = 0;               // mean duration of a use; 0: unknown
  auto fields() { return std::tie(kind, id, rate, max_overestimate, mean_duration); }
};

struct WarmupMessage {
  bool is_request = false;                 // requests the list
  Millis serving_time = 0;                 // how long the sender has served since its start or last stall
  double endpoint_rate = 0, key_rate = 0;  // per second, of all items together
  std::vector<PopularItem> items;
  auto fields() { return std::tie(is_request, serving_time, endpoint_rate, key_rate, items); }
};

struct WarmupBudget {
  int max_neighbours = 0, max_connections = 0, max_list_items = 0;
  std::size_t max_bytes = 0;
  Millis time_limit = 0;
  Millis idle_timeout = 0;  // idle connections are closed after this time; 0: never
};

class Warmer {
 public:
  struct Preconnect {
    EndpointId endpoint{};
    int max_connections = 0;  // total connections there, including those opened by documents
  };
  struct Actions {
    fleet::OutgoingMessages<WarmupMessage> sends;
    // Endpoints whose state is synchronized first, highest rate first; set once, when the plan is made.
    std::vector<EndpointId> sync_first;
    // One more connection each, unless there are already max_connections (on_preconnect_unneeded) or
    // Decision::may_preconnect refuses (on_preconnect_refused).
    std::vector<Preconnect> preconnects;
    // Ids of stream record bodies to load into memory; on_body_loaded() answers each.
    std::vector<std::uint64_t> bodies_to_load;
    std::vector<std::string> log;
    Millis wake_in = -1;
  };
  struct PreconnectStats {
    std::uint64_t opened = 0, used = 0, failed = 0, unused = 0;
  };
  // cold: this process starts without connections. roster: neighbours are chosen from it, those of the own
  // zone first.
  static std::unique_ptr<Warmer> make(const fleet::Roster& roster, fleet::MemberId self,
                                      const WarmupBudget& budget, bool cold, std::uint64_t seed);
  virtual ~Warmer() = default;

  virtual void begin_turn(Millis now) = 0;
  virtual void set_alive(const std::vector<fleet::MemberId>& members) = 0;
  virtual void on_link_change(fleet::MemberId peer, bool up) = 0;
  virtual void on_message(fleet::MemberId from, const WarmupMessage& message) = 0;
  // Other relays declared this process dead: its list is as old as that of a new relay.
  virtual void on_stall() = 0;
  // An endpoint was called or a key delivered.
  virtual void record_use(ItemKind kind, std::uint64_t id, Millis duration) = 0;
  // Documents of this turn, which take precedence. waiting: sent in this turn or waiting for a slot.
  virtual void set_load(int waiting, int free_slots) = 0;
  // Whether the other relays' route state has been received; nothing is preconnected before.
  virtual void set_state_known(bool known) = 0;
  // A preconnection was established, first used by a document, failed, or closed unused.
  enum class ConnectionEvent : std::uint8_t { connected, used, failed, unused };
  virtual void on_connection_event(EndpointId endpoint, ConnectionEvent event) = 0;
  // The decision module refused it for now.
  virtual void on_preconnect_refused(EndpointId endpoint) = 0;
  // There are enough connections, or the endpoint isn't known here.
  virtual void on_preconnect_unneeded(EndpointId endpoint) = 0;
  virtual void on_body_loaded(std::size_t bytes) = 0;  // one body; 0: it isn't stored here
  virtual Actions decide() = 0;

  virtual bool is_finished() const = 0;  // warming has ended
  virtual PreconnectStats stats() const = 0;
};

}  // namespace rockcrank::warm
