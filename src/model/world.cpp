// The simulation kernel. Everything it draws follows from the seed and the faults.
#include "model/world.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <cstring>

#include "peer/codec.h"
#include "settings/settings.h"

namespace rockcrank::model {

namespace {

constexpr Millis max_turn_delay = 0.3;  // from an input's arrival to the turn that processes it
// As in peer/link.cpp: redials back off, and pings detect a connection that carries nothing.
constexpr Millis min_redial_delay = 50, max_redial_delay = 1000;
constexpr Millis min_silence_timeout = 1500, max_silence_timeout = 2200, max_peer_silence = 10000;
constexpr double handshake_crossings = 4;     // one-way latencies from a dial until its handshake is done
constexpr Millis max_resend_delay = 300;      // until held messages are resent after a cut
constexpr double delay_spike_share = 0.0005;  // share of messages with a delay spike
constexpr Millis max_delay_spike = 60;
constexpr Millis snapshot_interval = 1000;
constexpr int max_snapshots = 30;
constexpr int max_turns_per_second = 20000;  // per process; more means a module that asks to be woken at once
constexpr double wall_epoch = 1.7e12;

std::string format_text(const char* format, va_list values) {
  char line[600];
  std::vsnprintf(line, sizeof line, format, values);
  return line;
}

}  // namespace

World::World(const RunConfig& config, std::uint64_t seed, std::vector<Fault> faults, Workload& workload,
             bool record_trace)
    : config_(config),
      seed_(seed),
      faults_(std::move(faults)),
      workload_(workload),
      record_trace_(record_trace),
      random_(hash_values(seed, 0x3a)) {
  RandomSource random(hash_values(seed, 0x77));
  int n = config_.members;
  for (int i = 0; i < n; ++i) {
    std::string name = "m", zone = "h";
    name += std::to_string(i), zone += std::to_string(random.uniform_below(config_.zones));
    roster_.push_back({fleet::MemberId{fnv1a_hash(name)}, name, zone});
  }
  std::sort(roster_.begin(), roster_.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
  for (int i = 0; i < n; ++i) {
    index_by_member_[roster_[i].id] = i;
    zone_of_.push_back(std::stoi(roster_[i].zone.substr(1)));
  }
  int duplicates = 0;
  for (const auto& fault : faults_) duplicates += fault.kind == Fault::Kind::duplicate_process;
  machines_.resize(n + duplicates);
  turn_states_.resize(n + duplicates);
  connections_.resize(machines_.size() * machines_.size());
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    machines_[i].member = static_cast<int>(i) < n ? static_cast<int>(i) : 0;
    machines_[i].rate = 1 + config_.max_clock_drift * random.between(-0.499, 0.499);
    machines_[i].wall_clock_offset = random.between(-0.5, 0.5) * config_.max_wall_clock_offset;
  }
  int duplicate = n;
  for (const auto& fault : faults_)
    if (fault.kind == Fault::Kind::duplicate_process)
      machines_[duplicate].member = fault.members[0], zone_of_.push_back(zone_of_[fault.members[0]]),
      ++duplicate;
  for (int a = 0; a < n; ++a)
    for (int b = 0; b < n; ++b)
      if (a != b) max_latency_ = std::max(max_latency_, latency(a, b, ~0ULL));
}

World::~World() = default;

Millis World::local_time(int index) const {
  const auto& machine = machines_[index];
  return machine.clock_base + (now_ - machine.booted) * machine.rate;
}

double World::wall_time(int index) const {
  return wall_epoch + now_ * machines_[index].rate + machines_[index].wall_clock_offset;
}

void World::trace_line(const char* format, ...) {
  char line[600];
  va_list values;
  va_start(values, format);
  int size = std::vsnprintf(line, sizeof line, format, values);
  va_end(values);
  size = std::clamp(size, 0, static_cast<int>(sizeof line) - 1);
  add_to_digest(XXH3_64bits(line, static_cast<std::size_t>(size)), 0, 0);
  if (!record_trace_) return;
  char time[40];
  std::snprintf(time, sizeof time, "%11.3f ", now_);
  trace_ += time, trace_ += line, trace_ += '\n';
}

void World::report_violation(const std::string& check, const char* format, ...) {
  va_list values;
  va_start(values, format);
  auto text = format_text(format, values);
  va_end(values);
  trace_line("violated: %s: %s", check.c_str(), text.c_str());
  throw InvariantViolation(check, "at " + std::to_string(static_cast<long>(now_)) + " ms: " + text);
}

void World::add_to_digest(std::uint64_t a, std::uint64_t b, std::uint64_t c) {
  std::uint64_t time;
  std::memcpy(&time, &now_, sizeof time);
  digest_ = hash_values(digest_, time, a, b, c);
}

void World::post(Event::Kind kind, Millis at, int a, int b, std::uint64_t number,
                 std::shared_ptr<Input> input) {
  queue_.push({kind, std::max(at, now_), ++last_event_order_, a, b, number, std::move(input)});
}

// With count ~0: the maximum without a spike.
Millis World::latency(int from, int to, std::uint64_t count) const {
  auto link_hash = hash_values(seed_, 0x11, from, to);
  Millis base = 0.08 + 0.4 * unit_interval(link_hash);
  if (zone_of_[from] != zone_of_[to])
    base += config_.farthest_zone_delay *
            (0.2 + 0.8 * unit_interval(hash_values(seed_, 0x12, std::min(zone_of_[from], zone_of_[to]),
                                                   std::max(zone_of_[from], zone_of_[to]))));
  if (count == ~0ULL) return base * 1.3;
  auto drawn = hash_values(link_hash, count);
  Millis time = base * (1 + 0.3 * unit_interval(drawn));
  if (unit_interval(hash_values(drawn, 1)) < config_.delay_spike_rate)
    time += max_delay_spike * unit_interval(hash_values(drawn, 2));
  return time;
}

bool World::can_reach(int from, int to) const {
  int a = machines_[from].member, b = machines_[to].member;
  for (int number : active_)
    if (faults_[number].blocks(a, b, now_)) return false;
  return true;
}

Millis World::extra_delay(int from, int to) const {
  Millis total = 0;
  for (int number : active_) {
    const auto& fault = faults_[number];
    if (fault.kind == Fault::Kind::delay && machines_[from].member == fault.members[0] &&
        (fault.peers.empty() || machines_[to].member == fault.peers[0]))
      total += fault.delta;
  }
  return total;
}

void World::schedule(Millis at, std::uint64_t task) { post(Event::Kind::timer, at, 0, 0, task); }

void World::enqueue_task(int index, std::uint64_t task) {
  auto input = std::make_shared<Input>();
  input->kind = Input::Kind::task, input->task = task;
  arrive(index, std::move(input));
}

void World::run() {
  int n = config_.members;
  workload_.begin(*this);
  for (int i = 0; i < n; ++i)
    post(Event::Kind::boot, random_.between(0, std::min(500.0, config_.faults_from / 4)), i, 0);
  for (int i = 0; i < static_cast<int>(faults_.size()); ++i) {
    post(Event::Kind::fault, faults_[i].at, 0, 0, i);
    if (faults_[i].until >= 0) post(Event::Kind::fault_end, faults_[i].until, 0, 0, i);
  }
  post(Event::Kind::check, check_interval);
  while (!queue_.empty()) {
    Event event = queue_.top();
    queue_.pop();
    if (event.at > config_.end) break;
    now_ = event.at;
    ++events_;
    handle(event);
  }
  now_ = config_.end;
  workload_.check_final(*this);
}

void World::handle(Event& event) {
  using Kind = Event::Kind;
  switch (event.kind) {
    case Kind::input:
      if (config_.datagrams) {
        if (!accept_datagram(event.a, event.b, event.input->incarnation)) return;
      } else if (connection_at(event.a, event.b).generation != event.input->generation) return;
      return arrive(event.b, std::move(event.input));
    case Kind::turn: return run_turn(event.a);
    case Kind::wake:
      if (turn_states_[event.a].wake_generation == event.number && is_running(event.a)) run_turn(event.a);
      return;
    case Kind::dial: return dial(event.a, event.b);
    case Kind::handshake_done: return finish_handshake(event.a, event.b, event.number);
    case Kind::silence_timeout: {
      auto& connection = connection_at(event.a, event.b);
      bool stopped = !can_reach(event.a, event.b) || !can_reach(event.b, event.a) || !is_running(event.b);
      if (connection.generation == event.number && connection.up && stopped)
        break_connection(event.a, event.b, 0);
      return;
    }
    case Kind::connection_lost: {  // the sender detects that its connection is broken
      auto& connection = connection_at(event.a, event.b);
      if (connection.generation != event.number || !connection.up || !connection.broken) return;
      connection.up = false;
      auto input = std::make_shared<Input>();
      input->kind = Input::Kind::down, input->from = event.b, input->incarnation = connection.incarnation;
      arrive(event.a, std::move(input));
      return schedule_dial(event.a, event.b);
    }
    case Kind::fault: return begin_fault(static_cast<int>(event.number));
    case Kind::fault_end: return end_fault(static_cast<int>(event.number));
    case Kind::flap: {
      const auto& fault = faults_[event.number];
      if (now_ >= fault.until) return;
      schedule_silence_timeouts(fault, static_cast<int>(event.number));
      deliver_unblocked();
      post(Kind::flap, now_ + fault.flap_period, 0, 0, event.number);
      return;
    }
    case Kind::boot: return boot(event.a, StorageOnRestart::emptied, 0);
    case Kind::timer: return workload_.on_timer(*this, event.number);
    case Kind::check:
      workload_.check(*this);
      if (std::fmod(now_ + 0.5, snapshot_interval) < check_interval)
        for (int i = 0; i < machines(); ++i)
          if (is_running(i)) {
            auto& list = machines_[i].storage_snapshots;
            list.push_back({now_, {machines_[i].last_incarnation, workload_.storage_snapshot(*this, i)}});
            if (list.size() > max_snapshots) list.erase(list.begin());
          }
      post(Kind::check, now_ + check_interval);
      return;
  }
}

void World::boot(int index, StorageOnRestart storage, Millis downtime) {
  auto& machine = machines_[index];
  if (machine.state != Machine::State::off) return;
  std::any stored;
  if (storage == StorageOnRestart::emptied) machine.last_incarnation = 0;
  else if (!machine.storage_snapshots.empty()) {
    const auto& [at, snapshot] = storage == StorageOnRestart::kept ? machine.storage_snapshots.back()
                                                                   : machine.storage_snapshots.front();
    machine.last_incarnation = snapshot.first, stored = snapshot.second;
    if (storage == StorageOnRestart::outdated) downtime = now_ - at;
  }
  auto number = std::max(static_cast<std::uint64_t>(wall_time(index)), machine.last_incarnation + 1);
  machine.last_incarnation = number;
  machine.incarnation = {number, hash_values(seed_, 0x31, index, ++machine.boots) >> 1};
  machine.clock_base = 1000 + 1e6 * unit_interval(hash_values(seed_, 0x32, index, machine.boots));
  machine.booted = now_;
  machine.state = Machine::State::running;
  trace_line("%s %d starts as incarnation %llu",
             index < config_.members ? "member" : "duplicate process of member", machine.member,
             static_cast<unsigned long long>(number));
  if (storage == StorageOnRestart::emptied) machine.storage_snapshots.clear();
  machine.storage_snapshots.push_back({now_, {number, stored}});
  machine.process = workload_.boot(*this, index, stored, downtime);
  turn_states_[index].inbox.clear();
  for (int other = 0; other < machines(); ++other) {
    if (other == index || machines_[other].member == machine.member) continue;
    if (config_.datagrams) {
      connection_at(other, index).incarnation = {};
      auto input = std::make_shared<Input>();
      input->kind = Input::Kind::up, input->from = other;
      arrive(index, std::move(input));
      continue;
    }
    schedule_dial(index, other);
    connection_at(index, other).failures = 0;
    // It dials at once, and each peer dials back.
    if (index < config_.members) schedule_dial(other, index);
  }
  if (!turn_states_[index].turn_posted)
    turn_states_[index].turn_posted = true, post(Event::Kind::turn, now_, index);
}

void World::end_process(int index, bool abrupt) {
  auto& machine = machines_[index];
  if (machine.state == Machine::State::off) return;
  trace_line("member %d: process ended", machine.member);
  if (!config_.storage_lags)
    machine.storage_snapshots.push_back(
        {now_, {machine.last_incarnation, workload_.storage_snapshot(*this, index)}});
  workload_.on_process_end(*this, index);
  machine.state = Machine::State::off;
  machine.process.reset();
  turn_states_[index].inbox.clear();
  ++turn_states_[index].wake_generation;
  if (config_.datagrams) return;
  for (int other = 0; other < machines(); ++other) {
    if (other == index) continue;
    // Messages that it sent still arrive; messages to it are dropped.
    auto& own = connection_at(index, other);
    own.up = false;
    own.blocked.clear();
    auto& theirs = connection_at(other, index);
    if (!theirs.up || theirs.broken) continue;
    bool peer_notified = !abrupt && can_reach(index, other);
    auto drawn = unit_interval(hash_values(seed_, 0x23, index, other, theirs.generation));
    theirs.broken = true, theirs.failures = 1, ++theirs.generation;
    theirs.blocked.clear();
    post(Event::Kind::connection_lost,
         now_ + (peer_notified ? latency(index, other, own.draws++)
                               : min_silence_timeout + (max_silence_timeout - min_silence_timeout) * drawn),
         other, index, theirs.generation);
  }
}

void World::begin_fault(int number) {
  const auto& fault = faults_[number];
  using Kind = Fault::Kind;
  trace_line("fault: %s", fault.describe().c_str());
  switch (fault.kind) {
    case Kind::cut:
    case Kind::partition:
      active_.insert(number);
      schedule_silence_timeouts(fault, number);
      if (fault.flap_period > 0) post(Event::Kind::flap, now_ + fault.flap_period, 0, 0, number);
      return;
    case Kind::delay: active_.insert(number); return;
    case Kind::reset:
      if (config_.datagrams) return;
      for (int a : fault.members)
        for (int b = 0; b < machines(); ++b)
          if (b != a && (fault.peers.empty() ||
                         std::find(fault.peers.begin(), fault.peers.end(), b) != fault.peers.end()))
            for (auto [from, to] : {std::pair(a, b), std::pair(b, a)})
              break_connection(from, to, 2 * unit_interval(hash_values(seed_, 0x28, from, to, number)));
      return;
    case Kind::kill: return end_process(fault.members[0], fault.abrupt);
    case Kind::stall: {
      int index = fault.members[0];
      if (!is_running(index)) return;
      machines_[index].state = Machine::State::stalled;
      trace_line("member %d stalled", index);
      if (config_.datagrams) return;
      for (int other = 0; other < machines(); ++other) {
        if (other == index) continue;
        auto drawn = unit_interval(hash_values(seed_, 0x24, index, other, number));
        post(Event::Kind::silence_timeout,
             now_ + min_silence_timeout + (max_silence_timeout - min_silence_timeout) * drawn, other, index,
             connection_at(other, index).generation);
        auto until = fault.until;
        if (until - now_ > max_peer_silence && connection_at(index, other).up)
          break_connection(index, other, until - now_ + drawn);
      }
      return;
    }
    case Kind::wall_clock_jump: machines_[fault.members[0]].wall_clock_offset += fault.delta; return;
    case Kind::duplicate_process: {
      int index = config_.members;
      for (int i = 0; i < number; ++i) index += faults_[i].kind == Kind::duplicate_process;
      machines_[index].storage_snapshots = machines_[fault.members[0]].storage_snapshots;
      return boot(index, StorageOnRestart::outdated, 0);
    }
  }
}

void World::end_fault(int number) {
  const auto& fault = faults_[number];
  using Kind = Fault::Kind;
  active_.erase(number);
  switch (fault.kind) {
    case Kind::cut:
    case Kind::partition: trace_line("fault over: %s", fault.describe().c_str()); return deliver_unblocked();
    case Kind::kill: return boot(fault.members[0], fault.storage, now_ - fault.at);
    case Kind::stall: {
      int index = fault.members[0];
      if (machines_[index].state != Machine::State::stalled) return;
      machines_[index].state = Machine::State::running;
      trace_line("member %d resumed", index);
      // Its own timers fire before the queued input or after it.
      if (unit_interval(hash_values(seed_, 0x25, number)) < 0.5) {
        auto inbox = std::move(turn_states_[index].inbox);
        turn_states_[index].inbox.clear();
        run_turn(index);
        auto& current_inbox = turn_states_[index].inbox;
        current_inbox.insert(current_inbox.begin(), inbox.begin(), inbox.end());
      }
      if (!turn_states_[index].turn_posted)
        turn_states_[index].turn_posted = true, post(Event::Kind::turn, now_, index);
      return;
    }
    case Kind::duplicate_process: {
      int index = config_.members;
      for (int i = 0; i < number; ++i) index += faults_[i].kind == Kind::duplicate_process;
      return end_process(index, false);
    }
    default: return;
  }
}

// A connection that is blocked in either direction ends after the silence timeout.
void World::schedule_silence_timeouts(const Fault& fault, int number) {
  if (config_.datagrams) return;
  for (int a = 0; a < machines(); ++a)
    for (int b = 0; b < machines(); ++b) {
      if (a == b || !connection_at(a, b).up) continue;
      int x = machines_[a].member, y = machines_[b].member;
      if (!fault.blocks(x, y, now_) && !fault.blocks(y, x, now_)) continue;
      auto drawn = unit_interval(hash_values(seed_, 0x26, a, b, number));
      post(Event::Kind::silence_timeout,
           now_ + min_silence_timeout + (max_silence_timeout - min_silence_timeout) * drawn, a, b,
           connection_at(a, b).generation);
    }
}

void World::deliver_unblocked() {
  for (auto it = blocked_connections_.begin(); it != blocked_connections_.end();) {
    auto [from, to] = *it;
    if (!can_reach(from, to)) {
      ++it;
      continue;
    }
    it = blocked_connections_.erase(it);
    for (auto& input : std::exchange(connection_at(from, to).blocked, {}))
      deliver(from, to, std::move(input), true);
  }
}

void World::schedule_dial(int from, int to) {
  auto& connection = connection_at(from, to);
  if (to >= config_.members || connection.up || connection.dialling ||
      machines_[from].state == Machine::State::off)
    return;
  connection.dialling = true;
  auto drawn = unit_interval(hash_values(seed_, 0x27, from, to, ++connection.draws));
  auto pause = connection.failures == 0
                   ? 5 * drawn
                   : std::min(max_redial_delay, min_redial_delay * std::pow(2, connection.failures - 1)) *
                         (0.75 + 0.5 * drawn);
  post(Event::Kind::dial, now_ + pause, from, to);
}

// True where another process of the member, of a newer incarnation, is connected to `other`, which then
// ignores the older one.
bool World::newer_incarnation_connected(int member, int own_index, int other) {
  for (int i = 0; i < machines(); ++i)
    if (i != own_index && machines_[i].member == member && machines_[i].state != Machine::State::off &&
        connection_at(i, other).up && machines_[i].incarnation > machines_[own_index].incarnation)
      return true;
  return false;
}

void World::dial(int from, int to) {
  auto& connection = connection_at(from, to);
  connection.dialling = false;
  if (machines_[from].state == Machine::State::off || connection.up) return;
  bool answered = is_running(from) && is_running(to) && can_reach(from, to) && can_reach(to, from) &&
                  !newer_incarnation_connected(machines_[from].member, from, to) &&
                  !newer_incarnation_connected(machines_[to].member, to, from);
  if (!answered) {
    connection.failures = std::min(connection.failures + 1, 16);
    return schedule_dial(from, to);
  }
  connection.dialling = true;
  ++connection.generation;
  post(Event::Kind::handshake_done, now_ + handshake_crossings * latency(from, to, connection.draws++), from,
       to, connection.generation);
}

void World::finish_handshake(int from, int to, std::uint64_t generation) {
  auto& connection = connection_at(from, to);
  connection.dialling = false;
  if (connection.generation != generation || connection.up || machines_[from].state == Machine::State::off)
    return;
  if (!is_running(to) || !can_reach(from, to) || !can_reach(to, from)) {
    connection.failures = std::min(connection.failures + 1, 16);
    return schedule_dial(from, to);
  }
  connection.up = true, connection.broken = false, connection.failures = 0,
  connection.incarnation = machines_[to].incarnation;
  connection.blocked.clear();
  auto input = std::make_shared<Input>();
  input->kind = Input::Kind::up, input->from = to, input->incarnation = connection.incarnation;
  arrive(from, std::move(input));
  // The other side learns of the newer incarnation before any message of it, even while its own connection to
  // the older one is up.
  auto& reverse = connection_at(to, from);
  if (reverse.up && reverse.incarnation < machines_[from].incarnation) {
    reverse.up = false, ++reverse.generation, reverse.blocked.clear();
    auto link_down = std::make_shared<Input>();
    link_down->kind = Input::Kind::down, link_down->from = from, link_down->incarnation = reverse.incarnation;
    arrive(to, std::move(link_down));
    reverse.failures = 0;
    schedule_dial(to, from);
  }
  // Connections of older incarnations of the same member are closed in both directions.
  for (int i = 0; i < machines(); ++i)
    if (i != from && machines_[i].member == machines_[from].member &&
        machines_[i].incarnation < machines_[from].incarnation)
      break_connection(i, to, 2), break_connection(to, i, 0);
}

void World::break_connection(int from, int to, Millis detection_delay) {
  auto& connection = connection_at(from, to);
  if (!connection.up || connection.broken) return;
  connection.broken = true, connection.failures = 1;
  connection.blocked.clear();
  post(Event::Kind::connection_lost, now_ + detection_delay, from, to, connection.generation);
}

void World::send(int from, int to, Payload&& payload) {
  auto channel = payload.index();
  ++messages[channel], ++machines_[from].sent;
  std::uint64_t content = 0;
  std::visit(
      [&](const auto& message) {
        auto packed = peer::packed(message);
        content = XXH3_64bits(packed.data(), packed.size());
        bytes[channel] += packed.size();
      },
      payload);
  add_to_digest(static_cast<std::uint64_t>(from) << 32 | static_cast<std::uint32_t>(to), channel, content);
  if (record_trace_) {
    char line[120];
    std::snprintf(line, sizeof line, "%11.3f %d to %d channel %zu %016llx\n", now_, from, to, channel + 1,
                  static_cast<unsigned long long>(content));
    trace_ += line;
  }
  auto input = std::make_shared<Input>();
  input->kind = Input::Kind::message, input->from = from, input->incarnation = machines_[from].incarnation;
  input->payload = std::make_shared<const Payload>(std::move(payload));
  if (config_.datagrams) {
    if (machines_[to].state == Machine::State::off || !can_reach(from, to)) return;
    auto& count = connection_at(from, to).draws;
    for (int copy = 0; copy < 2; ++copy) {
      auto drawn = hash_values(seed_, 0x29, from, to, ++count);
      if (copy == 1 && unit_interval(drawn) >= config_.duplication_rate) return;
      if (unit_interval(hash_values(drawn, 3)) < config_.loss_rate) continue;
      auto at = now_ + latency(from, to, count) *
                           (unit_interval(hash_values(drawn, 4)) < 0.1 ? 1 + 3 * unit_interval(drawn) : 1);
      post(Event::Kind::input, at + extra_delay(from, to), from, to, 0, input);
    }
    return;
  }
  auto& connection = connection_at(from, to);
  if (!connection.up || connection.broken) return;
  input->generation = connection.generation;
  deliver(from, to, std::move(input));
}

void World::deliver(int from, int to, std::shared_ptr<Input> input, bool resent) {
  auto& connection = connection_at(from, to);
  if (connection.generation != input->generation || connection.broken) return;
  if (!connection.blocked.empty() || !can_reach(from, to)) {
    connection.blocked.push_back(std::move(input));
    blocked_connections_.insert({from, to});
    return;
  }
  auto count = connection.draws++;
  auto at = now_ + latency(from, to, count);
  if (resent) at += max_resend_delay * unit_interval(hash_values(seed_, 0x2a, from, to, count));
  connection.last_arrival = std::max(at + extra_delay(from, to), connection.last_arrival);
  post(Event::Kind::input, connection.last_arrival, from, to, 0, std::move(input));
}

// A datagram carries its sender's incarnation. The first one of a newer incarnation reports a restart of the
// peer; datagrams of older incarnations are dropped.
bool World::accept_datagram(int from, int to, fleet::Incarnation incarnation) {
  auto& newest_incarnation = connection_at(from, to).incarnation;
  if (incarnation < newest_incarnation) return false;
  if (newest_incarnation.number > 0 && incarnation > newest_incarnation)
    for (bool up : {false, true}) {
      auto input = std::make_shared<Input>();
      input->kind = up ? Input::Kind::up : Input::Kind::down, input->from = from,
      input->incarnation = up ? incarnation : newest_incarnation;
      arrive(to, std::move(input));
    }
  newest_incarnation = incarnation;
  return true;
}

void World::arrive(int index, std::shared_ptr<Input> input) {
  if (machines_[index].state == Machine::State::off) return;
  auto& turn_state = turn_states_[index];
  turn_state.inbox.push_back(std::move(input));
  if (turn_state.turn_posted || machines_[index].state == Machine::State::stalled) return;
  turn_state.turn_posted = true;
  post(Event::Kind::turn,
       now_ + max_turn_delay * unit_interval(hash_values(seed_, 0x2b, index, ++turn_state.turns)), index);
}

Millis World::process_inputs(int index, const std::vector<std::shared_ptr<Input>>& inbox, Outbox& outbox) {
  auto& process = *machines_[index].process;
  process.begin_turn(local_time(index));
  for (const auto& input : inbox) {
    if (input->kind == Input::Kind::task) {
      process.run_task(input->task);
      continue;
    }
    auto peer = roster_[machines_[input->from].member].id;
    if (input->kind != Input::Kind::message)
      trace_line("member %d: connection to %d %s", machines_[index].member, machines_[input->from].member,
                 input->kind == Input::Kind::up ? "up" : "down");
    switch (input->kind) {
      case Input::Kind::up: process.on_link_change(peer, input->incarnation, true); break;
      case Input::Kind::down: process.on_link_change(peer, input->incarnation, false); break;
      case Input::Kind::message: process.on_message(peer, *input->payload); break;
      case Input::Kind::task: break;
    }
  }
  return process.decide(outbox);
}

void World::run_turn(int index) {
  auto& turn_state = turn_states_[index];
  auto& machine = machines_[index];
  turn_state.turn_posted = false;
  if (machine.state != Machine::State::running) return;
  auto inbox = std::exchange(turn_state.inbox, {});
  Outbox outbox;
  Millis wake_in = -1;
  try {
    wake_in = process_inputs(index, inbox, outbox);
  } catch (const fleet::FleetError& error) {
    report_violation("refused", "member %d refused a message of a correct member: %s", machine.member,
                     error.what());
  }
  for (auto& [to, payload] : outbox) {
    auto found = index_by_member_.find(to);
    if (found != index_by_member_.end() && found->second != machine.member)
      send(index, found->second, std::move(payload));
  }
  ++turn_state.wake_generation;
  if (now_ - turn_state.window_start >= 1000) turn_state.window_start = now_, turn_state.turns_in_window = 0;
  if (++turn_state.turns_in_window > max_turns_per_second)
    report_violation("turns", "member %d takes more than %d turns a second", machine.member,
                     max_turns_per_second);
  if (wake_in >= 0)
    post(Event::Kind::wake,
         now_ + wake_in / machine.rate +
             max_turn_delay * unit_interval(hash_values(seed_, 0x2c, index, turn_state.wake_generation)),
         index, 0, turn_state.wake_generation);
}

}  // namespace rockcrank::model
