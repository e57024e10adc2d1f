// The simulation kernel: a virtual clock, one event queue, the machines with their processes and clocks, and
// the network between them with its faults. It doesn't inspect messages, knows nothing of what the modules do
// and reads no real clock: the same seed and faults give the same run, byte for byte.
#pragma once

#include <any>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

#include "fleet/custody.h"
#include "fleet/membership.h"
#include "fleet/registers.h"
#include "latest/latest.h"
#include "model/faults.h"
#include "model/random.h"
#include "warm/warm.h"

namespace rockcrank::model {

using Payload = std::variant<fleet::MembershipMessage, fleet::RegisterMessage, fleet::CustodyMessage,
                             warm::WarmupMessage, latest::LatestMessage>;
using Outbox = std::vector<std::pair<fleet::MemberId, Payload>>;

// Thrown when a check fails: the check's name, and what it observed.
struct InvariantViolation : std::runtime_error {
  InvariantViolation(std::string check_name, const std::string& details)
      : std::runtime_error(details), check(std::move(check_name)) {}
  std::string check;
};

// The code of one simulated process. Its times are those of its own clock, which jumps over a stall.
class Process {
 public:
  virtual ~Process() = default;
  virtual void begin_turn(Millis now) = 0;
  virtual void on_link_change(fleet::MemberId peer, fleet::Incarnation incarnation, bool up) = 0;
  virtual void on_message(fleet::MemberId from, const Payload& message) = 0;
  virtual void run_task(std::uint64_t task) = 0;  // queued by the workload with World::enqueue_task
  // Returns the time until the next call; negative: none until input arrives.
  virtual Millis decide(Outbox& outbox) = 0;
};

class World;

// The workload of one part: creates its processes, drives them and checks the invariants.
class Workload {
 public:
  virtual ~Workload() = default;
  virtual void begin(World&) {}
  virtual std::unique_ptr<Process> boot(World& world, int machine, const std::any& stored,
                                        Millis downtime) = 0;
  // Returns what the process has on disk now.
  virtual std::any storage_snapshot(World&, int /*machine*/) { return {}; }
  virtual void on_process_end(World&, int /*machine*/) {}
  virtual void on_timer(World&, std::uint64_t /*task*/) {}  // scheduled with World::schedule
  virtual void check(World&) {}                             // every check_interval
  virtual void check_final(World&) {}  // all faults ended long ago: checks what has to hold by now
};

struct Machine {
  enum class State : std::uint8_t { off, running, stalled };
  State state = State::off;
  int member = 0;  // index in the roster; a duplicate process has that of the original
  fleet::Incarnation incarnation;
  std::unique_ptr<Process> process;
  double rate = 1;  // of its clock, relative to the virtual clock
  Millis clock_base = 0, booted = 0;
  Millis wall_clock_offset = 0;
  std::uint64_t last_incarnation = 0;  // as its storage has it
  // Each with its time and the last incarnation as of then.
  std::vector<std::pair<Millis, std::pair<std::uint64_t, std::any>>> storage_snapshots;
  int boots = 0;
  std::uint64_t sent = 0;  // messages passed to the network
};

class World {
 public:
  static constexpr Millis check_interval = 100;

  World(const RunConfig& config, std::uint64_t seed, std::vector<Fault> faults, Workload& workload,
        bool record_trace);
  ~World();
  void run();  // throws InvariantViolation

  // For the workload.
  Millis now() const { return now_; }
  const RunConfig& config() const { return config_; }
  const std::vector<Fault>& faults() const { return faults_; }
  std::uint64_t seed() const { return seed_; }
  const fleet::Roster& roster() const { return roster_; }
  int machines() const { return static_cast<int>(machines_.size()); }
  Machine& machine(int index) { return machines_[index]; }
  int index_of(fleet::MemberId member) const { return index_by_member_.at(member); }
  bool is_running(int index) const { return machines_[index].state == Machine::State::running; }
  Millis local_time(int index) const;                  // the machine's monotonic clock
  double wall_time(int index) const;                   // the machine's wall clock, ms
  bool can_reach(int from, int to) const;              // no cut or partition blocks messages now
  Millis max_latency() const { return max_latency_; }  // without faults and delay spikes
  void schedule(Millis at, std::uint64_t task);        // calls Workload::on_timer then
  void enqueue_task(int index, std::uint64_t task);    // calls Process::run_task in that process's next turn
  RandomSource& random() { return random_; }           // for the workload
  // Adds a line to the trace and to the digest.
  void trace_line(const char* format, ...) __attribute__((format(printf, 2, 3)));
  [[noreturn]] void report_violation(const std::string& check, const char* format, ...)
      __attribute__((format(printf, 3, 4)));

  // Results of the run.
  std::uint64_t digest() const { return digest_; }
  const std::string& trace() const { return trace_; }
  std::uint64_t events() const { return events_; }
  std::array<std::uint64_t, 5> messages{}, bytes{};  // by channel, in the order of Payload's alternatives

 private:
  struct Input {
    enum class Kind : std::uint8_t { up, down, message, task } kind{};
    int from = 0;
    std::uint64_t generation = 0, task = 0;  // generation: of the connection
    fleet::Incarnation incarnation;
    std::shared_ptr<const Payload> payload;
  };
  struct Event {
    enum class Kind : std::uint8_t {
      input,
      turn,
      wake,
      dial,
      handshake_done,
      silence_timeout,
      connection_lost,
      fault,
      fault_end,
      flap,
      boot,
      timer,
      check
    } kind{};
    Millis at = 0;
    std::uint64_t order = 0;
    int a = 0, b = 0;          // machines; of a connection: from and to
    std::uint64_t number = 0;  // of the fault, task or generation
    std::shared_ptr<Input> input;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  // A connection that one machine dialled to send to another. Each direction has its own connection.
  struct Connection {
    std::uint64_t generation = 0;  // messages in flight of earlier generations are lost
    bool up = false;               // as the sender sees it
    bool broken = false;           // carries nothing any more; the sender has yet to detect it
    bool dialling = false;
    int failures = 0;  // consecutive failed dials
    Millis last_arrival = 0;
    std::uint64_t draws = 0;
    fleet::Incarnation incarnation;               // of the process that answered
    std::vector<std::shared_ptr<Input>> blocked;  // messages held by a cut or partition
  };

  void post(Event::Kind kind, Millis at, int a = 0, int b = 0, std::uint64_t number = 0,
            std::shared_ptr<Input> input = nullptr);
  Millis extra_delay(int from, int to) const;
  Connection& connection_at(int from, int to) {
    return connections_[static_cast<std::size_t>(from) * machines_.size() + to];
  }
  void handle(Event& event);
  void boot(int index, StorageOnRestart storage, Millis downtime);
  void end_process(int index, bool abrupt);
  void begin_fault(int number);
  void end_fault(int number);
  void schedule_silence_timeouts(const Fault& fault, int number);
  void deliver_unblocked();
  void deliver(int from, int to, std::shared_ptr<Input> input, bool resent = false);
  void send(int from, int to, Payload&& payload);
  void dial(int from, int to);
  void schedule_dial(int from, int to);
  void finish_handshake(int from, int to, std::uint64_t generation);
  void break_connection(int from, int to, Millis detection_delay);
  bool newer_incarnation_connected(int member, int own_index, int other);
  bool accept_datagram(int from, int to, fleet::Incarnation incarnation);
  void arrive(int index, std::shared_ptr<Input> input);
  void run_turn(int index);
  Millis process_inputs(int index, const std::vector<std::shared_ptr<Input>>& inbox, Outbox& outbox);
  Millis latency(int from, int to, std::uint64_t count) const;
  void add_to_digest(std::uint64_t a, std::uint64_t b, std::uint64_t c);

  RunConfig config_;
  std::uint64_t seed_;
  std::vector<Fault> faults_;
  Workload& workload_;
  bool record_trace_;
  RandomSource random_;
  fleet::Roster roster_;
  std::map<fleet::MemberId, int> index_by_member_;
  std::vector<Machine> machines_;
  struct TurnState {
    std::vector<std::shared_ptr<Input>> inbox;
    bool turn_posted = false;
    std::uint64_t wake_generation = 0, turns = 0;
    Millis window_start = 0;  // start of the window for turns_in_window
    int turns_in_window = 0;
  };
  std::vector<TurnState> turn_states_;
  std::vector<int> zone_of_;
  std::vector<Connection> connections_;
  std::set<int> active_;  // indexes of faults that block or delay messages now
  std::set<std::pair<int, int>> blocked_connections_;
  std::priority_queue<Event> queue_;
  std::uint64_t last_event_order_ = 0, events_ = 0, digest_ = 0;
  Millis now_ = 0, max_latency_ = 0;
  std::string trace_;
};

}  // namespace rockcrank::model
