// Workload of warming. Invariants: budgets are kept; connections are not opened after warming ends, ahead of
// waiting documents or where forbidden; handshakes of many new processes spread over endpoints and time;
// false reports of one neighbour don't determine which connections the others open. Calls, connections and
// endpoints are simplified. The checks don't use the lists that the modules exchange.
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <set>

#include "model/member_process.h"
#include "model/part.h"

namespace rockcrank::model {

namespace {

using fleet::MemberId;
using warm::ItemKind;
using warm::Warmer;

constexpr Millis warm_up_time = 10000, idle_timeout = 8000, measurement_time = 30000;
constexpr int max_connections = 64, max_neighbours = 4, max_list_size = 64;
constexpr std::size_t max_bytes = 256 << 10;
constexpr double endpoint_handshakes_per_second = 20, handshakes_per_call = 0.25;
// By this factor, random variation may exceed the handshake rate.
constexpr double random_variation = 2;
constexpr int slots = 20;

// The connections of one process to one endpoint.
struct EndpointConnections {
  std::deque<std::pair<Millis, bool>> idle;  // idle since, and whether opened ahead and not used yet
};

class WarmNode : public PartModules {
 public:
  std::unique_ptr<Warmer> warmer;  // null: starts without warming
  std::map<int, EndpointConnections> connections;
  int calls_in_flight = 0, new_calls = 0;
  bool sends_false_reports = false;
  int promoted_endpoint = 0;
  Millis now = 0;
  std::function<void(std::uint64_t)> on_task;
  std::function<void(Warmer::Actions&, int waiting_documents, int free_slots)> on_actions;
  std::function<void(const warm::WarmupMessage&)> on_warmup_message;

  void begin_turn(Millis at) override {
    now = at;
    if (warmer) warmer->begin_turn(at);
  }
  void on_alive_members(const std::vector<MemberId>& members) override {
    if (warmer) warmer->set_alive(members);
  }
  void on_link_change(MemberId peer, fleet::Incarnation, bool up) override {
    if (warmer) warmer->on_link_change(peer, up);
  }
  void on_message(MemberId from, const Payload& message) override {
    if (const auto* warmup_message = std::get_if<warm::WarmupMessage>(&message); warmup_message && warmer)
      warmer->on_message(from, *warmup_message);
  }
  void on_declared_dead() override {
    if (warmer) warmer->on_stall();
  }
  void run_task(std::uint64_t task) override { on_task(task); }
  Millis decide(Outbox& outbox) override {
    if (!warmer) return -1;
    int waiting_documents = std::exchange(new_calls, 0), free_slots = slots - calls_in_flight;
    warmer->set_load(waiting_documents, free_slots);
    warmer->set_state_known(true);
    auto actions = warmer->decide();
    on_actions(actions, waiting_documents, free_slots);
    for (auto& send : actions.sends) {
      if (sends_false_reports && !send.message.is_request) {
        send.message.serving_time = 1e9, send.message.items.clear();
        warm::PopularItem false_entry;
        false_entry.id = static_cast<std::uint64_t>(promoted_endpoint), false_entry.rate = 1e6,
        false_entry.mean_duration = 1000;
        send.message.items.push_back(false_entry);
        send.message.endpoint_rate = 1e6;
      }
      outbox.emplace_back(send.to, std::move(send.message));
    }
    return actions.wake_in;
  }
};

class WarmWorkload : public Workload {
 public:
  explicit WarmWorkload(const RunOptions& options) : options_(options) {}

  void begin(World& world) override {
    RandomSource random(hash_values(world.seed(), 0x71));
    members_.resize(world.machines());
    endpoints_ = 5 + random.uniform_below(150);
    zipf_exponent_ = random.between(0.6, 1.2);
    double sum = 0;
    for (int i = 0; i < endpoints_; ++i) {
      weights_.push_back(sum += std::pow(i + 1, -zipf_exponent_));
      preconnect_forbidden_.push_back(i > 0 && random.bernoulli(0.1)),
          failing_.push_back(i > 0 && random.bernoulli(0.05));
    }
    calls_a_second_ = random.between(5, world.config().members > 30 ? 12 : 40);
    false_reporter_ = random.bernoulli(0.3) ? random.uniform_below(world.config().members) : -1;
    handshake_times_.resize(endpoints_);
  }

  std::unique_ptr<Process> boot(World& world, int index, const std::any&, Millis) override {
    auto& machine = world.machine(index);
    auto self = world.roster()[machine.member].id;
    auto& member = members_[index];
    member = Member();
    auto node = std::make_unique<WarmNode>();
    member.node = node.get();
    member.restarted = machine.boots > 1;
    member.warms_up = unit_interval(hash_values(world.seed(), 0x72, index, machine.boots)) < 0.8;
    member.booted = world.now();
    node->sends_false_reports = index == false_reporter_, node->promoted_endpoint = endpoints_ - 1;
    warm::WarmupBudget budget{max_neighbours, max_connections, max_list_size,
                              max_bytes,      warm_up_time,    idle_timeout};
    if (member.warms_up || !member.restarted)
      node->warmer = Warmer::make(world.roster(), self, budget, true,
                                  hash_values(world.seed(), 0x73, index, machine.boots));
    node->on_task = [this, &world, index](std::uint64_t task) { run_step(world, index, steps_[task]); };
    node->on_actions = [this, &world, index](auto& actions, int waiting_documents, int free_slots) {
      apply_actions(world, index, actions, waiting_documents, free_slots);
    };
    // Calls begin at once: a new process serves from its start.
    schedule_next_call(world, index);
    auto membership_seed = hash_values(world.seed(), 0x41, index, machine.boots);
    return std::make_unique<MemberProcess>(
        fleet::Membership::make(world.roster(), self, machine.incarnation, membership_seed), std::move(node));
  }
  void on_process_end(World& world, int index) override {
    record_samples(world, index), members_[index].node = nullptr;
  }

  void on_timer(World& world, std::uint64_t task) override {
    const auto& step = steps_[task];
    if (world.machine(step.index).state != Machine::State::off &&
        world.machine(step.index).boots == step.boots)
      world.enqueue_task(step.index, task);
  }

  void check(World& world) override {
    for (int i = 0; i < world.machines(); ++i) {
      auto& member = members_[i];
      if (!world.is_running(i) || !member.node || !member.node->warmer) continue;
      if (world.now() > member.booted + 1.05 * warm_up_time + 2000 + member.stalled &&
          !member.node->warmer->is_finished() && world.faults().empty())
        world.report_violation("ends", "member %d is still warming after %.0f ms", i,
                               world.now() - member.booted);
    }
  }

  void check_final(World& world) override {
    for (int i = 0; i < world.machines(); ++i)
      if (members_[i].node) record_samples(world, i);
    if (!options_.samples) return;
    auto size = std::to_string(world.config().members) + " members";
    for (auto& [name, list] : samples_) {
      auto& all = (*options_.samples)[name + ", " + size];
      all.insert(all.end(), list.begin(), list.end());
    }
  }

 private:
  struct Member {
    WarmNode* node = nullptr;
    bool restarted = false, warms_up = true;
    Millis booted = 0, stalled = 0;
    int opened = 0, opened_to_promoted = 0, handshakes_waited_for = 0, calls = 0;
    int opened_used = 0, opened_unused = 0;
    std::set<MemberId> asked_neighbours;
  };
  struct Step {
    enum Kind { call, answered, up, idle } kind{};
    int index = 0, boots = 0, endpoint = 0;
    bool preconnected = false;
  };

  void schedule_step(World& world, Millis at, Step step) {
    step.boots = world.machine(step.index).boots;
    steps_.push_back(step);
    world.schedule(at, steps_.size() - 1);
  }
  void schedule_next_call(World& world, int index) {
    schedule_step(world, world.now() - 1000 / calls_a_second_ * std::log(1 - world.random().uniform()),
                  {Step::call, index, 0, 0, false});
  }
  int draw_endpoint(World& world) {
    auto drawn = world.random().uniform() * weights_.back();
    return static_cast<int>(std::lower_bound(weights_.begin(), weights_.end(), drawn) - weights_.begin());
  }
  void record_use(WarmNode& node, int endpoint) {
    if (node.warmer) node.warmer->record_use(ItemKind::endpoint, static_cast<std::uint64_t>(endpoint), 20);
  }
  void report_connection_event(WarmNode& node, int endpoint, Warmer::ConnectionEvent event) {
    if (node.warmer)
      node.warmer->on_connection_event(EndpointId{static_cast<std::uint64_t>(endpoint)}, event);
  }

  void run_step(World& world, int index, const Step& step) {
    auto& member = members_[index];
    auto& node = *member.node;
    auto& idle = node.connections[step.endpoint].idle;
    switch (step.kind) {
      case Step::call: {
        schedule_next_call(world, index);
        auto endpoint = draw_endpoint(world);
        if (preconnect_forbidden_[endpoint] || failing_[endpoint] || node.calls_in_flight >= slots) return;
        ++node.new_calls, ++node.calls_in_flight, ++calls_by_endpoint_[endpoint];
        auto& connections = node.connections[endpoint].idle;
        bool is_measured = world.now() < member.booted + measurement_time;
        member.calls += is_measured;
        Millis duration = world.random().between(2, 60);
        if (connections.empty())
          member.handshakes_waited_for += is_measured, duration += world.random().between(5, 30);
        else {
          if (connections.back().second)
            report_connection_event(node, endpoint, Warmer::ConnectionEvent::used), ++member.opened_used;
          connections.pop_back();
        }
        this->schedule_step(world, world.now() + duration, {Step::answered, index, 0, endpoint, false});
        return;
      }
      case Step::answered:
        --node.calls_in_flight;
        record_use(node, step.endpoint);
        idle.push_back({world.now(), false});
        this->schedule_step(world, world.now() + idle_timeout + 1,
                            {Step::idle, index, 0, step.endpoint, false});
        return;
      case Step::up:
        if (failing_[step.endpoint])
          return report_connection_event(node, step.endpoint, Warmer::ConnectionEvent::failed);
        report_connection_event(node, step.endpoint, Warmer::ConnectionEvent::connected);
        idle.push_front({world.now(), true});
        this->schedule_step(world, world.now() + idle_timeout + 1,
                            {Step::idle, index, 0, step.endpoint, true});
        return;
      case Step::idle:
        for (auto it = idle.begin(); it != idle.end();) {
          if (world.now() < it->first + idle_timeout) {
            ++it;
            continue;
          }
          if (it->second)
            report_connection_event(node, step.endpoint, Warmer::ConnectionEvent::unused),
                ++member.opened_unused;
          it = idle.erase(it);
        }
        return;
    }
  }

  void apply_actions(World& world, int index, Warmer::Actions& actions, int waiting_documents,
                     int free_slots) {
    auto& member = members_[index];
    auto& node = *member.node;
    for (const auto& line : actions.log) world.trace_line("member %d logs: %s", index, line.c_str());
    for (const auto& send : actions.sends)
      if (send.message.is_request) member.asked_neighbours.insert(send.to);
    if (options_.injected_fault == "asks-all" && member.restarted)
      for (const auto& other : world.roster()) member.asked_neighbours.insert(other.id);
    if (static_cast<int>(member.asked_neighbours.size()) > max_neighbours * 3)
      world.report_violation("asks", "member %d asks %zu neighbours", index, member.asked_neighbours.size());
    if (options_.injected_fault == "opens-much" && !actions.preconnects.empty())
      for (int i = 0; i < 100; ++i)
        actions.preconnects.push_back({EndpointId{static_cast<std::uint64_t>(i % endpoints_)}, 1000});
    for (const auto& preconnect : actions.preconnects) {
      int endpoint = static_cast<int>(static_cast<std::uint64_t>(preconnect.endpoint));
      if (endpoint < 0 || endpoint >= endpoints_) {
        node.warmer->on_preconnect_unneeded(preconnect.endpoint);
        continue;
      }
      if (free_slots <= 0)
        world.report_violation("documents-first",
                               "member %d opens connections ahead with %d documents waiting", index,
                               waiting_documents);
      if (world.now() > member.booted + 1.05 * warm_up_time + 2000 && world.faults().empty())
        world.report_violation("ends", "member %d opens connections ahead %.0f ms after its start", index,
                               world.now() - member.booted);
      auto& idle = node.connections[endpoint].idle;
      if (static_cast<int>(idle.size()) >= preconnect.max_connections) {
        node.warmer->on_preconnect_unneeded(preconnect.endpoint);
        continue;
      }
      if (preconnect_forbidden_[endpoint]) {
        node.warmer->on_preconnect_refused(preconnect.endpoint);
        continue;
      }
      if (++member.opened > max_connections)
        world.report_violation("budget", "member %d opens %d connections ahead", index, member.opened);
      member.opened_to_promoted += endpoint == endpoints_ - 1;
      if (false_reporter_ >= 0 && index != false_reporter_ && world.config().members > 4 &&
          member.opened_to_promoted > max_connections / 4)
        world.report_violation("steered", "member %d opens %d connections that only a false report asks for",
                               index, member.opened_to_promoted);
      record_handshake(world, endpoint);
      schedule_step(world, world.now() + world.random().between(5, 30), {Step::up, index, 0, endpoint, true});
    }
    for (std::size_t i = 0; i < actions.bodies_to_load.size(); ++i) node.warmer->on_body_loaded(1000);
  }

  // Records a handshake opened ahead, and checks their number at one endpoint within a second, over all
  // members.
  void record_handshake(World& world, int endpoint) {
    auto& times = handshake_times_[endpoint];
    int recorded_count = options_.injected_fault == "all-at-once" ? 40 : 1;
    for (int i = 0; i < recorded_count; ++i) times.push_back(world.now());
    while (!times.empty() && times.front() < world.now() - 1000) times.pop_front();
    auto calls_a_second = calls_by_endpoint_[endpoint] / std::max(1.0, world.now() / 1000);
    auto max_handshakes =
        random_variation * std::max(endpoint_handshakes_per_second, handshakes_per_call * calls_a_second) +
        10;
    if (static_cast<double>(times.size()) > max_handshakes)
      world.report_violation("spread", "endpoint %d gets %zu handshakes ahead within a second", endpoint,
                             times.size());
  }

  void record_samples(World& world, int index) {
    const auto& member = members_[index];
    if (!options_.samples || !member.restarted || world.now() < member.booted + measurement_time ||
        member.calls < 50)
      return;
    std::string name = member.warms_up ? "warmed" : "cold";
    samples_["handshakes met by documents in 30 s, of 1000 calls, " + name].push_back(
        1000.0 * member.handshakes_waited_for / member.calls);
    if (member.warms_up && member.opened > 0)
      samples_["opened ahead and never used, of 100"].push_back(100.0 * member.opened_unused / member.opened);
  }

  RunOptions options_;
  std::vector<Member> members_;
  std::vector<Step> steps_;
  std::vector<double> weights_;
  std::vector<bool> preconnect_forbidden_, failing_;
  std::vector<std::deque<Millis>> handshake_times_;
  std::map<int, double> calls_by_endpoint_;
  Samples samples_;
  int endpoints_ = 0, false_reporter_ = -1;
  double zipf_exponent_ = 1, calls_a_second_ = 10;
};

RunConfig draw_config(RandomSource& random, int relays) {
  RunConfig config;
  config.members = draw_members(random, relays, relays > 0 ? 300 : 100);
  config.zones = 1 + random.uniform_below(3);
  config.farthest_zone_delay = random.between(0.5, 20);
  config.faults_from = 25000;
  config.faults_until = config.faults_from + 12000;
  config.end = config.faults_until + measurement_time + 3000;
  config.max_clock_drift = 0.01;
  return config;
}

}  // namespace

Part warm_part() {
  Part part;
  part.name = "warm", part.draw_config = draw_config;
  part.make_workload = [](const RunOptions& options) -> std::unique_ptr<Workload> {
    return std::make_unique<WarmWorkload>(options);
  };
  part.fault_profile.fault_free_share = 0.05, part.fault_profile.kills_only_share = 0.4,
  part.fault_profile.single_link_share = 0.05, part.fault_profile.permanent_kill_share = 0;
  part.fault_profile.mass_restart_share = 0.3;
  part.injected_faults = {{"asks-all", "asks"}, {"opens-much", "budget"}, {"all-at-once", "spread"}};
  return part;
}

}  // namespace rockcrank::model
