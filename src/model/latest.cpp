// Workload of the log per key. Invariants, also with clocks minutes apart or jumping: logs converge to one
// latest document per key, no subscriber gets an older version after a newer one, a subscriber that joins
// late gets all keys, and no two members have the delivery lease of the same subscription. The log runs on
// files in memory; deliveries are sent after a random delay and take a random time. The checks track
// themselves what a subscriber has received and don't read the module's positions.
#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "model/member_process.h"
#include "model/part.h"
#include "peer/persistent_log.h"
#include "peer/segments.h"

namespace rockcrank::model {

namespace {

using fleet::MemberId;
using latest::CompactedLog;
using latest::HybridTimestamp;

constexpr Millis settle_time = 45000;
constexpr Millis max_send_delay = 150, max_network_delay = 80;
constexpr latest::StreamId stream{77};
constexpr std::size_t segment_bytes = 1 << 13, disk_bytes = 1 << 21, cache_bytes = 1 << 14;

using FileContents = std::map<std::string, std::string>;

class MemoryFiles final : public peer::FileSystem {
 public:
  explicit MemoryFiles(std::shared_ptr<FileContents> contents) : contents_(std::move(contents)) {}
  std::vector<std::string> list() override {
    std::vector<std::string> names;
    for (const auto& [name, bytes] : *contents_) names.push_back(name);
    return names;
  }
  std::optional<std::string> read(const std::string& name, std::size_t offset, std::size_t bytes) override {
    auto found = contents_->find(name);
    if (found == contents_->end()) return std::nullopt;
    return offset > found->second.size() ? std::string() : found->second.substr(offset, bytes);
  }
  std::optional<std::size_t> size(const std::string& name) override {
    auto found = contents_->find(name);
    return found == contents_->end() ? std::nullopt : std::optional(found->second.size());
  }
  std::size_t append(const std::string& name, std::string_view bytes) override {
    (*contents_)[name].append(bytes);
    return bytes.size();
  }
  bool truncate(const std::string& name, std::size_t size) override {
    (*contents_)[name].resize(size);
    return true;
  }
  bool sync(const std::string&) override { return true; }
  bool rename(const std::string& from, const std::string& to) override {
    (*contents_)[to] = std::move((*contents_)[from]);
    contents_->erase(from);
    return true;
  }
  bool remove(const std::string& name) override {
    contents_->erase(name);
    return true;
  }

 private:
  std::shared_ptr<FileContents> contents_;
};

class LatestNode : public PartModules {
 public:
  std::shared_ptr<FileContents> files;
  std::unique_ptr<peer::PersistentLog> log;
  std::function<std::unique_ptr<peer::PersistentLog>(Millis)> open;
  std::function<Millis()> wall_clock;
  std::function<void(std::uint64_t)> on_task;
  std::function<void(peer::PersistentLog::Actions&)> on_actions;
  std::vector<CompactedLog::Delivery> to_send;
  Millis now = 0;

  void begin_turn(Millis at) override {
    now = at;
    if (!log) log = open(at);
    log->begin_turn(at, wall_clock());
  }
  void on_alive_members(const std::vector<MemberId>& members) override { log->module().set_alive(members); }
  void on_link_change(MemberId peer, fleet::Incarnation, bool up) override {
    log->module().on_link_change(peer, up);
  }
  void on_message(MemberId from, const Payload& message) override {
    if (const auto* records = std::get_if<latest::LatestMessage>(&message)) log->on_message(from, *records);
  }
  void run_task(std::uint64_t task) override { on_task(task); }
  Millis decide(Outbox& outbox) override {
    auto actions = log->decide();
    on_actions(actions);
    for (auto& [to, message] : actions.sends) outbox.emplace_back(to, std::move(message));
    return actions.wake_in;
  }
};

class LatestWorkload : public Workload {
 public:
  explicit LatestWorkload(const RunOptions& options) : options_(options) {}

  void begin(World& world) override {
    nodes_.resize(world.machines());
    RandomSource random(hash_values(world.seed(), 0x61));
    const auto& config = world.config();
    Millis max_clock_difference = config.max_wall_clock_offset;
    storage_kept_ = fault_free_ = true;
    for (const auto& fault : world.faults()) {
      if (fault.kind == Fault::Kind::wall_clock_jump) max_clock_difference += std::abs(fault.delta);
      storage_kept_ &=
          fault.kind != Fault::Kind::kill || (fault.storage == StorageOnRestart::kept && fault.until >= 0);
      fault_free_ = false;
    }
    // Mostly set for the clock difference of the run, as a correct configuration has it; otherwise versions
    // are refused.
    limit_fits_clocks_ = random.bernoulli(0.85);
    settings_.max_clock_offset =
        limit_fits_clocks_ ? std::max(60000.0, 1.2 * max_clock_difference + 1000) : 60000;
    clocks_exceed_limit_ = max_clock_difference > settings_.max_clock_offset;
    settings_.streams = {{stream, "status", {DestinationId{5}, DestinationId{6}}, 1e9, 0, 0.5}};
    settings_.segment_bytes = segment_bytes, settings_.max_disk_bytes = disk_bytes;
    join_time_ = random.bernoulli(0.5) ? 0 : random.between(config.faults_from, config.faults_until);
    int keys = 1 + random.uniform_below(60), count = 50 + random.uniform_below(400);
    for (int i = 0; i < count; ++i) {
      Step step;
      step.kind = Step::accept, step.index = random.uniform_below(config.members),
      step.key = random.uniform_below(keys);
      step.tombstone = random.bernoulli(0.08);
      this->schedule_step(world, random.between(6000, config.faults_until), step);
    }
  }

  std::unique_ptr<Process> boot(World& world, int index, const std::any& stored, Millis) override {
    auto& machine = world.machine(index);
    auto self = world.roster()[machine.member].id;
    auto node = std::make_unique<LatestNode>();
    auto* node_pointer = nodes_[index] = node.get();
    node_pointer->files = std::make_shared<FileContents>();
    if (const auto* files = std::any_cast<FileContents>(&stored)) *node_pointer->files = *files;
    node_pointer->wall_clock = [&world, index] { return std::floor(world.wall_time(index)); };
    node_pointer->open = [this, &world, index, node_pointer, self, boots = machine.boots](Millis now) {
      return std::make_unique<peer::PersistentLog>(
          std::make_unique<MemoryFiles>(node_pointer->files), "log", world.roster(), self, settings_,
          cache_bytes, hash_values(world.seed(), 0x62, index, boots), now, node_pointer->wall_clock());
    };
    node_pointer->on_task = [this, &world, index](std::uint64_t task) {
      run_step(world, index, steps_[task]);
    };
    node_pointer->on_actions = [this, &world, index](auto& actions) { apply_actions(world, index, actions); };
    auto membership_seed = hash_values(world.seed(), 0x41, index, machine.boots);
    return std::make_unique<MemberProcess>(
        fleet::Membership::make(world.roster(), self, machine.incarnation, membership_seed), std::move(node));
  }
  std::any storage_snapshot(World&, int index) override { return *nodes_[index]->files; }
  void on_process_end(World&, int index) override { nodes_[index] = nullptr; }

  void on_timer(World& world, std::uint64_t task) override {
    const auto& step = steps_[task];
    if (step.kind == Step::received) return received(world, step);
    bool is_running = world.machine(step.index).state != Machine::State::off &&
                      (step.boots == 0 || world.machine(step.index).boots == step.boots);
    if (is_running) world.enqueue_task(step.index, task);
  }

  void check(World& world) override {
    for (auto subscriber : settings_.streams[0].subscribers) {
      int holder = -1;
      for (int i = 0; i < world.machines(); ++i) {
        if (!world.is_running(i) || !nodes_[i] || !nodes_[i]->log) continue;
        bool has_lease =
            nodes_[i]->log->module().has_delivery_lease({stream, subscriber}, world.local_time(i)) ||
            (options_.injected_fault == "duty-always" && world.now() > 9000);
        if (has_lease && holder >= 0)
          world.report_violation("two-duties", "members %d and %d both have the duty for subscriber %llu",
                                 holder, i, static_cast<unsigned long long>(subscriber));
        if (has_lease) holder = i;
      }
    }
    if (!options_.samples || !fault_free_) return;
    for (auto it = unreplicated_.begin(); it != unreplicated_.end();) {
      bool held_by_all = true;
      for (int i = 0; i < world.machines() && held_by_all; ++i) {
        auto held = nodes_[i]->log->module().newest_timestamp(stream, it->key);
        held_by_all = held && *held >= it->stamp;
      }
      if (held_by_all) samples_["ms until a record is held by all, to 100"].push_back(world.now() - it->at);
      it = held_by_all ? unreplicated_.erase(it) : std::next(it);
    }
  }

  void check_final(World& world) override {
    int first_index = -1;
    for (int i = 0; i < world.machines() && !clocks_exceed_limit_; ++i) {
      if (!world.is_running(i)) continue;
      if (first_index < 0) first_index = i;
      auto digest = [&](int index) {
        return nodes_[index]->log->module().digest(stream) +
               (options_.injected_fault == "logs-differ" && index == first_index);
      };
      if (digest(i) != digest(first_index))
        world.report_violation("converge", "members %d and %d hold different logs", first_index, i);
      for (const auto& [key, stamp] : newest_accepted_) {
        auto held = nodes_[i]->log->module().newest_timestamp(stream, key);
        if (storage_kept_ && (!held || *held < stamp))
          world.report_violation("lost", "member %d lacks the newest version of key %d", i,
                                 key_numbers_[key]);
      }
    }
    // Delivery needs the lease, which a majority of all members grants.
    int running = 0;
    for (int i = 0; i < world.config().members; ++i) running += world.is_running(i);
    const bool delivery_promised = running > world.config().members / 2 && !clocks_exceed_limit_;
    for (auto subscriber : settings_.streams[0].subscribers)
      for (const auto& [key, number] : key_numbers_) {
        if (!delivery_promised) break;
        auto held = nodes_[first_index]->log->module().newest_timestamp(stream, key);
        auto received_stamp = received_stamps_[subscriber].find(key);
        if (held && (received_stamp == received_stamps_[subscriber].end() || received_stamp->second < *held))
          world.report_violation("complete", "subscriber %llu lacks the newest version of key %d",
                                 static_cast<unsigned long long>(subscriber), number);
      }
    if (!options_.samples) return;
    auto size = std::to_string(world.config().members) + " members" + (fault_free_ ? "" : ", under faults");
    if (fault_free_ && join_time_ > 0)
      samples_["documents a key for one that joins late"].push_back(
          static_cast<double>(deliveries_to_joiner_) /
          static_cast<double>(std::max<std::size_t>(1, joiner_keys_.size())));
    samples_["deliveries repeated, of 1000"].push_back(1000.0 * repeats_ / std::max(1, received_));
    for (auto& [name, list] : samples_) {
      auto& all = (*options_.samples)[name + ", " + size];
      all.insert(all.end(), list.begin(), list.end());
    }
  }

 private:
  struct Step {
    enum Kind { accept, send, received, answered } kind{};
    int index = 0, boots = 0, key = 0;
    bool tombstone = false, delivered = false;
    CompactedLog::Delivery delivery;
  };
  struct UnreplicatedRecord {
    latest::KeyHash key;
    HybridTimestamp stamp;
    Millis at = 0;
  };

  void schedule_step(World& world, Millis at, Step step) {
    steps_.push_back(std::move(step));
    world.schedule(at, steps_.size() - 1);
  }

  bool not_joined(const World& world, DestinationId subscriber) const {
    return subscriber == DestinationId{6} && world.now() < join_time_;
  }

  void run_step(World& world, int index, const Step& step) {
    if (step.kind == Step::accept) accept(world, index, step);
    else if (step.kind == Step::send) send(world, index, step);
    else nodes_[index]->log->module().on_delivery_ended(step.delivery, step.delivered);
  }

  void accept(World& world, int index, const Step& step) {
    auto& log = *nodes_[index]->log;
    latest::Record record;
    record.stream = stream, record.key = "k" + std::to_string(step.key);
    record.id = "d" + std::to_string(++accepted_count_);
    if (!step.tombstone)
      record.body =
          "body of " + record.id + std::string(static_cast<std::size_t>(accepted_count_ % 200), 'x');
    try {
      auto stamp = log.append_local(record);
      auto key = peer::key_hash(record.key);
      key_numbers_[key] = step.key;
      world.trace_line("member %d accepts %s of key %d, version %llu.%u", index, record.id.c_str(), step.key,
                       static_cast<unsigned long long>(stamp.wall_time), stamp.counter);
      auto& newest = newest_accepted_[key];
      newest = std::max(newest, stamp);
      if (fault_free_ && options_.samples) unreplicated_.push_back({key, stamp, world.now()});
    } catch (const fleet::FleetError& error) {
      world.trace_line("member %d rejects a document: %s", index, error.what());
      if (limit_fits_clocks_ && world.faults().empty())
        world.report_violation("turned-away", "member %d: %s", index, error.what());
    }
  }

  void apply_actions(World& world, int index, peer::PersistentLog::Actions& actions) {
    auto& node = *nodes_[index];
    for (const auto& line : actions.log) world.trace_line("member %d logs: %s", index, line.c_str());
    for (const auto& withdrawn : actions.withdraw)
      std::erase_if(node.to_send, [&](const auto& one) { return one == withdrawn; });
    for (const auto& delivery : actions.deliver) {
      node.to_send.push_back(delivery);
      Step send;
      send.kind = Step::send, send.index = index, send.boots = world.machine(index).boots,
      send.delivery = delivery;
      schedule_step(world, world.now() + world.random().between(0, max_send_delay), send);
    }
  }

  // Sends a delivery: the host first asks whether it still has the delivery lease.
  void send(World& world, int index, const Step& step) {
    auto& node = *nodes_[index];
    auto found = std::find(node.to_send.begin(), node.to_send.end(), step.delivery);
    if (found == node.to_send.end()) return;
    node.to_send.erase(found);
    auto& module = node.log->module();
    bool may_send = module.has_delivery_lease(step.delivery.subscription, node.now) ||
                    options_.injected_fault == "sends-without-duty";
    may_send = may_send && !not_joined(world, step.delivery.subscription.subscriber);
    if (options_.injected_fault == "told-delivered" && !may_send)
      return module.on_delivery_ended(step.delivery, true);
    if (!may_send) return module.on_delivery_ended(step.delivery, false);
    auto arrival = world.now() + world.random().between(0, max_network_delay);
    Step next = step;
    next.kind = Step::received;
    this->schedule_step(world, arrival, next);
    next.kind = Step::answered;
    // In runs with faults, some answers are lost.
    next.delivered = fault_free_ || !world.random().bernoulli(0.05);
    this->schedule_step(world, arrival + world.random().between(0, max_network_delay), next);
  }

  void received(World& world, const Step& step) {
    auto subscriber = step.delivery.subscription.subscriber;
    auto& received_stamps = received_stamps_[subscriber];
    auto [newest_received, inserted] =
        received_stamps.try_emplace(step.delivery.key, step.delivery.timestamp);
    ++received_;
    if (subscriber == DestinationId{6} && join_time_ > 0) {
      ++deliveries_to_joiner_, joiner_keys_.insert(step.delivery.key);
    }
    if (inserted) return;
    repeats_ += newest_received->second == step.delivery.timestamp;
    if (step.delivery.timestamp < newest_received->second)
      world.report_violation(
          "taken-back",
          "subscriber %llu gets a version of key %d older than one it already received, from member %d",
          static_cast<unsigned long long>(subscriber), key_numbers_[step.delivery.key], step.index);
    newest_received->second = step.delivery.timestamp;
  }

  RunOptions options_;
  latest::LatestSettings settings_;
  std::vector<LatestNode*> nodes_;
  std::vector<Step> steps_;
  std::map<latest::KeyHash, HybridTimestamp> newest_accepted_;
  std::map<latest::KeyHash, int> key_numbers_;
  std::map<DestinationId, std::map<latest::KeyHash, HybridTimestamp>> received_stamps_;
  std::vector<UnreplicatedRecord> unreplicated_;
  std::set<latest::KeyHash> joiner_keys_;
  Samples samples_;
  int accepted_count_ = 0, received_ = 0, repeats_ = 0, deliveries_to_joiner_ = 0;
  bool fault_free_ = false, storage_kept_ = true, limit_fits_clocks_ = true, clocks_exceed_limit_ = false;
  Millis join_time_ = 0;
};

RunConfig draw_config(RandomSource& random, int relays) {
  RunConfig config;
  config.members = draw_members(random, relays, relays > 0 ? 300 : 25);
  config.zones = 1 + random.uniform_below(3);
  config.farthest_zone_delay = random.between(0.5, 30);
  config.faults_from = 8000;
  config.faults_until = config.faults_from + random.between(5000, 30000);
  config.end = config.faults_until + settle_time;
  config.max_clock_drift = 0.02;
  config.max_wall_clock_offset = random.bernoulli(0.3) ? 0 : 300000;
  return config;
}

}  // namespace

Part latest_part() {
  Part part;
  part.name = "latest", part.draw_config = draw_config;
  part.make_workload = [](const RunOptions& options) -> std::unique_ptr<Workload> {
    return std::make_unique<LatestWorkload>(options);
  };
  part.fault_profile.fault_free_share = 0.15, part.fault_profile.wall_clock_jumps = true;
  part.injected_faults = {{"duty-always", "two-duties"},
                          {"sends-without-duty", "taken-back"},
                          {"logs-differ", "converge"},
                          {"told-delivered", "complete"}};
  return part;
}

}  // namespace rockcrank::model
