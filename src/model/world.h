// Owns the model's kernel: a virtual clock, one queue of events, the machines with the processes that run on
// them, their clocks, and the network between them with its faults. It must never look into a message, know
// what a module is for, or read a real clock: the same seed and faults give the same run, byte for byte.
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
#include "model/chance.h"
#include "model/faults.h"
#include "warm/warm.h"

namespace rockcrank::model {

using Payload = std::variant<fleet::MembershipMessage, fleet::RegisterMessage, fleet::CustodyMessage,
                             warm::WarmupMessage, latest::LatestMessage>;
using Outbox = std::vector<std::pair<fleet::MemberId, Payload>>;

// What a check found: which check, and what was seen.
struct Broken : std::runtime_error {
  Broken(std::string check_name, const std::string& seen)
      : std::runtime_error(seen), check(std::move(check_name)) {}
  std::string check;
};

// The modules of one process. Times are of its own clock, which a stall makes jump.
class Modules {
 public:
  virtual ~Modules() = default;
  virtual void begin(Millis now) = 0;
  virtual void linked(fleet::MemberId peer, fleet::Incarnation life, bool up) = 0;
  virtual void heard(fleet::MemberId from, const Payload& message) = 0;
  virtual void work(std::uint64_t what) = 0;  // of the trial's own, from World::give
  virtual Millis decide(Outbox& outbox) = 0;  // until it is to be asked again; negative: when something comes
};

class World;

// What runs in the processes of one part's runs, and the checks of it: code of the model's own.
class Trial {
 public:
  virtual ~Trial() = default;
  virtual void begin(World&) {}
  virtual std::unique_ptr<Modules> boot(World& world, int machine, const std::any& folder,
                                        Millis gone_for) = 0;
  virtual std::any folder(World&, int /*machine*/) { return {}; }  // what lies in it now, to be found later
  virtual void killed(World&, int /*machine*/) {}
  virtual void event(World&, std::uint64_t /*what*/) {}  // of its own, from World::call
  virtual void watch(World&) {}                          // each `watch_each`
  virtual void finish(World&) {}                         // all is healed for long: what must hold now
};

struct Machine {
  enum class State : std::uint8_t { off, running, stalled };
  State state = State::off;
  int member = 0;  // place in the roster; of a twin, the same as of the other
  fleet::Incarnation life;
  std::unique_ptr<Modules> modules;
  double rate = 1;  // of its clock
  Millis clock_base = 0, booted = 0;
  Millis wall_off = 0;
  std::uint64_t last_life = 0;                                                 // in its folder
  std::vector<std::pair<Millis, std::pair<std::uint64_t, std::any>>> folders;  // as of earlier times
  int boots = 0;
  std::uint64_t sent = 0;  // messages given to the network
};

class World {
 public:
  static constexpr Millis watch_each = 100;

  World(const Shape& shape, std::uint64_t seed, std::vector<Fault> faults, Trial& trial, bool text);
  ~World();
  void run();  // throws Broken

  // For the trial.
  Millis now() const { return now_; }
  const Shape& shape() const { return shape_; }
  const std::vector<Fault>& faults() const { return faults_; }
  std::uint64_t seed() const { return seed_; }
  const fleet::Roster& roster() const { return roster_; }
  int machines() const { return static_cast<int>(machines_.size()); }
  Machine& machine(int place) { return machines_[place]; }
  int place_of(fleet::MemberId member) const { return places_.at(member); }
  bool running(int place) const { return machines_[place].state == Machine::State::running; }
  Millis local(int place) const;                        // its monotonic clock
  double wall(int place) const;                         // its wall clock, ms
  bool reaches(int from, int to) const;                 // nothing that is drawn stops a message now
  Millis longest_crossing() const { return longest_; }  // without faults and spikes
  void call(Millis at, std::uint64_t what);             // Trial::event then
  void give(int place, std::uint64_t what);             // Modules::work in that process's next turn
  Chance& chance() { return chance_; }                  // of the trial's own doings
  void note(const char* format, ...) __attribute__((format(printf, 2, 3)));  // into the trace
  [[noreturn]] void broken(const std::string& check, const char* format, ...)
      __attribute__((format(printf, 3, 4)));

  // What a run leaves.
  std::uint64_t digest() const { return digest_; }
  const std::string& trace() const { return trace_; }
  std::uint64_t events() const { return events_; }
  std::array<std::uint64_t, 5> messages{}, bytes{};  // by channel, as the variant orders them

 private:
  struct Input {
    enum class Kind : std::uint8_t { up, down, message, work } kind{};
    int from = 0;
    std::uint64_t generation = 0, what = 0;  // of the connection
    fleet::Incarnation life;
    std::shared_ptr<const Payload> payload;
  };
  struct Event {
    enum class Kind : std::uint8_t {
      input,
      turn,
      wake,
      dial,
      greeted,
      silent,
      lost,
      fault,
      fault_end,
      flap,
      boot,
      call,
      watch
    } kind{};
    Millis at = 0;
    std::uint64_t order = 0;
    int a = 0, b = 0;
    std::uint64_t number = 0;
    std::shared_ptr<Input> input;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  // What one machine dialled to reach another, and sends on. The other hears, and dials for its own sending.
  struct Way {
    std::uint64_t generation = 0;  // what was sent over an earlier one and has not arrived is lost
    bool up = false;               // as its sender sees it
    bool broken = false;           // nothing gets over any more; the sender will learn of it
    bool dialling = false;
    int failures = 0;  // dials that failed one after another
    Millis last = 0;   // arrival
    std::uint64_t count = 0;
    fleet::Incarnation life;                   // that answered
    std::vector<std::shared_ptr<Input>> held;  // stopped by a cut
  };

  void post(Event::Kind kind, Millis at, int a = 0, int b = 0, std::uint64_t number = 0,
            std::shared_ptr<Input> input = nullptr);
  Millis slowed(int from, int to) const;
  Way& way(int from, int to) { return ways_[static_cast<std::size_t>(from) * machines_.size() + to]; }
  void handle(Event& event);
  void boot(int place, Folder folder, Millis gone_for);
  void end_process(int place, bool abrupt);
  void begin_fault(int number);
  void end_fault(int number);
  void blocked_now(const Fault& fault, int number);
  void flush_held();
  void deliver(int from, int to, std::shared_ptr<Input> input, bool again = false);
  void send(int from, int to, Payload&& payload);
  void dial(int a, int b);
  void redial(int from, int to);
  void greeted(int from, int to, std::uint64_t generation);
  void break_off(int from, int to, Millis noticed_in);
  bool newer_life_reaches(int member, int than, int other);
  bool datagram_of_newest(int from, int to, fleet::Incarnation life);
  void arrive(int place, std::shared_ptr<Input> input);
  void turn(int place);
  Millis take_in(int place, const std::vector<std::shared_ptr<Input>>& inbox, Outbox& outbox);
  Millis crossing(int from, int to, std::uint64_t count) const;
  void fold(std::uint64_t a, std::uint64_t b, std::uint64_t c);

  Shape shape_;
  std::uint64_t seed_;
  std::vector<Fault> faults_;
  Trial& trial_;
  bool text_;
  Chance chance_;
  fleet::Roster roster_;
  std::map<fleet::MemberId, int> places_;
  std::vector<Machine> machines_;
  struct Waiting {
    std::vector<std::shared_ptr<Input>> inbox;
    bool turn_posted = false;
    std::uint64_t wake = 0, turns = 0;
    Millis second = 0;  // since which turns are counted
    int turns_since = 0;
  };
  std::vector<Waiting> waiting_;
  std::vector<int> hall_;
  std::vector<Way> ways_;
  std::set<int> active_;  // faults that stop or slow messages now
  std::set<std::pair<int, int>> holding_;
  std::priority_queue<Event> queue_;
  std::uint64_t order_ = 0, events_ = 0, digest_ = 0;
  Millis now_ = 0, longest_ = 0;
  std::string trace_;
};

}  // namespace rockcrank::model
