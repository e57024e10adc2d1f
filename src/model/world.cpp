// The model's kernel; world.h says what it owns. It must never take a number from anywhere but seed and
// faults.
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

constexpr Millis latest_turn = 0.3;  // from an input to the turn that takes it in
// As peer/link.cpp has them: dials that wait ever longer, and pings that find a connection that carries
// nothing.
constexpr Millis redial_first = 50, redial_most = 1000;
constexpr Millis silent_least = 1500, silent_most = 2200, accepted_silence = 10000;
constexpr double trips_to_greet = 4;  // crossings from a dial until its greeting is answered
constexpr Millis resent_most = 300;   // after a cut, until what was held goes over
constexpr double spikes = 0.0005;     // share of messages that take far longer
constexpr Millis spike_most = 60;
constexpr Millis folder_each = 1000;
constexpr int folders_kept = 30;
constexpr int turns_most = 20000;  // a second and process: more is a module that asks to be woken at once
constexpr double wall_epoch = 1.7e12;

std::string formatted(const char* format, va_list values) {
  char line[600];
  std::vsnprintf(line, sizeof line, format, values);
  return line;
}

}  // namespace

World::World(const Shape& shape, std::uint64_t seed, std::vector<Fault> faults, Trial& trial, bool text)
    : shape_(shape),
      seed_(seed),
      faults_(std::move(faults)),
      trial_(trial),
      text_(text),
      chance_(mixed(seed, 0x3a)) {
  Chance chance(mixed(seed, 0x77));
  int n = shape_.members;
  for (int i = 0; i < n; ++i) {
    std::string name = "m", hall = "h";
    name += std::to_string(i), hall += std::to_string(chance.below(shape_.halls));
    roster_.push_back({fleet::MemberId{fnv1a_hash(name)}, name, hall});
  }
  std::sort(roster_.begin(), roster_.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
  for (int i = 0; i < n; ++i) {
    places_[roster_[i].id] = i;
    hall_.push_back(std::stoi(roster_[i].zone.substr(1)));
  }
  int twins = 0;
  for (const auto& fault : faults_) twins += fault.kind == Fault::Kind::twin;
  machines_.resize(n + twins);
  waiting_.resize(n + twins);
  ways_.resize(machines_.size() * machines_.size());
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    machines_[i].member = static_cast<int>(i) < n ? static_cast<int>(i) : 0;
    machines_[i].rate = 1 + shape_.drift * chance.between(-0.499, 0.499);
    machines_[i].wall_off = chance.between(-0.5, 0.5) * shape_.wall_apart;
  }
  int twin = n;
  for (const auto& fault : faults_)
    if (fault.kind == Fault::Kind::twin)
      machines_[twin].member = fault.who[0], hall_.push_back(hall_[fault.who[0]]), ++twin;
  for (int a = 0; a < n; ++a)
    for (int b = 0; b < n; ++b)
      if (a != b) longest_ = std::max(longest_, crossing(a, b, ~0ULL));
}

World::~World() = default;

Millis World::local(int place) const {
  const auto& machine = machines_[place];
  return machine.clock_base + (now_ - machine.booted) * machine.rate;
}

double World::wall(int place) const {
  return wall_epoch + now_ * machines_[place].rate + machines_[place].wall_off;
}

void World::note(const char* format, ...) {
  char line[600];
  va_list values;
  va_start(values, format);
  int size = std::vsnprintf(line, sizeof line, format, values);
  va_end(values);
  size = std::clamp(size, 0, static_cast<int>(sizeof line) - 1);
  fold(XXH3_64bits(line, static_cast<std::size_t>(size)), 0, 0);
  if (!text_) return;
  char time[40];
  std::snprintf(time, sizeof time, "%11.3f ", now_);
  trace_ += time, trace_ += line, trace_ += '\n';
}

void World::broken(const std::string& check, const char* format, ...) {
  va_list values;
  va_start(values, format);
  auto text = formatted(format, values);
  va_end(values);
  note("broken: %s: %s", check.c_str(), text.c_str());
  throw Broken(check, "at " + std::to_string(static_cast<long>(now_)) + " ms: " + text);
}

void World::fold(std::uint64_t a, std::uint64_t b, std::uint64_t c) {
  std::uint64_t time;
  std::memcpy(&time, &now_, sizeof time);
  digest_ = mixed(digest_, time, a, b, c);
}

void World::post(Event::Kind kind, Millis at, int a, int b, std::uint64_t number,
                 std::shared_ptr<Input> input) {
  queue_.push({kind, std::max(at, now_), ++order_, a, b, number, std::move(input)});
}

// Count ~0: the longest without a spike.
Millis World::crossing(int from, int to, std::uint64_t count) const {
  auto link = mixed(seed_, 0x11, from, to);
  Millis base = 0.08 + 0.4 * share_of(link);
  if (hall_[from] != hall_[to])
    base += shape_.far * (0.2 + 0.8 * share_of(mixed(seed_, 0x12, std::min(hall_[from], hall_[to]),
                                                     std::max(hall_[from], hall_[to]))));
  if (count == ~0ULL) return base * 1.3;
  auto drawn = mixed(link, count);
  Millis time = base * (1 + 0.3 * share_of(drawn));
  if (share_of(mixed(drawn, 1)) < shape_.spikes) time += spike_most * share_of(mixed(drawn, 2));
  return time;
}

bool World::reaches(int from, int to) const {
  int a = machines_[from].member, b = machines_[to].member;
  for (int number : active_)
    if (faults_[number].stops(a, b, now_)) return false;
  return true;
}

Millis World::slowed(int from, int to) const {
  Millis by = 0;
  for (int number : active_) {
    const auto& fault = faults_[number];
    if (fault.kind == Fault::Kind::slow && machines_[from].member == fault.who[0] &&
        (fault.whom.empty() || machines_[to].member == fault.whom[0]))
      by += fault.by;
  }
  return by;
}

void World::call(Millis at, std::uint64_t what) { post(Event::Kind::call, at, 0, 0, what); }

void World::give(int place, std::uint64_t what) {
  auto input = std::make_shared<Input>();
  input->kind = Input::Kind::work, input->what = what;
  arrive(place, std::move(input));
}

void World::run() {
  int n = shape_.members;
  trial_.begin(*this);
  for (int i = 0; i < n; ++i)
    post(Event::Kind::boot, chance_.between(0, std::min(500.0, shape_.warm_up / 4)), i, 0);
  for (int i = 0; i < static_cast<int>(faults_.size()); ++i) {
    post(Event::Kind::fault, faults_[i].at, 0, 0, i);
    if (faults_[i].until >= 0) post(Event::Kind::fault_end, faults_[i].until, 0, 0, i);
  }
  post(Event::Kind::watch, watch_each);
  while (!queue_.empty()) {
    Event event = queue_.top();
    queue_.pop();
    if (event.at > shape_.end) break;
    now_ = event.at;
    ++events_;
    handle(event);
  }
  now_ = shape_.end;
  trial_.finish(*this);
}

void World::handle(Event& event) {
  using Kind = Event::Kind;
  switch (event.kind) {
    case Kind::input:
      if (shape_.datagrams) {
        if (!datagram_of_newest(event.a, event.b, event.input->life)) return;
      } else if (way(event.a, event.b).generation != event.input->generation) return;
      return arrive(event.b, std::move(event.input));
    case Kind::turn: return turn(event.a);
    case Kind::wake:
      if (waiting_[event.a].wake == event.number && running(event.a)) turn(event.a);
      return;
    case Kind::dial: return dial(event.a, event.b);
    case Kind::greeted: return greeted(event.a, event.b, event.number);
    case Kind::silent: {
      auto& link = way(event.a, event.b);
      bool stopped = !reaches(event.a, event.b) || !reaches(event.b, event.a) || !running(event.b);
      if (link.generation == event.number && link.up && stopped) break_off(event.a, event.b, 0);
      return;
    }
    case Kind::lost: {  // the sender learns that its connection is over
      auto& link = way(event.a, event.b);
      if (link.generation != event.number || !link.up || !link.broken) return;
      link.up = false;
      auto input = std::make_shared<Input>();
      input->kind = Input::Kind::down, input->from = event.b, input->life = link.life;
      arrive(event.a, std::move(input));
      return redial(event.a, event.b);
    }
    case Kind::fault: return begin_fault(static_cast<int>(event.number));
    case Kind::fault_end: return end_fault(static_cast<int>(event.number));
    case Kind::flap: {
      const auto& fault = faults_[event.number];
      if (now_ >= fault.until) return;
      blocked_now(fault, static_cast<int>(event.number));
      flush_held();
      post(Kind::flap, now_ + fault.flaps, 0, 0, event.number);
      return;
    }
    case Kind::boot: return boot(event.a, Folder::emptied, 0);
    case Kind::call: return trial_.event(*this, event.number);
    case Kind::watch:
      trial_.watch(*this);
      if (std::fmod(now_ + 0.5, folder_each) < watch_each)
        for (int i = 0; i < machines(); ++i)
          if (running(i)) {
            auto& list = machines_[i].folders;
            list.push_back({now_, {machines_[i].last_life, trial_.folder(*this, i)}});
            if (list.size() > folders_kept) list.erase(list.begin());
          }
      post(Kind::watch, now_ + watch_each);
      return;
  }
}

void World::boot(int place, Folder folder, Millis gone_for) {
  auto& machine = machines_[place];
  if (machine.state != Machine::State::off) return;
  std::any found;
  if (folder == Folder::emptied) machine.last_life = 0;
  else if (!machine.folders.empty()) {
    const auto& [at, lain] = folder == Folder::kept ? machine.folders.back() : machine.folders.front();
    machine.last_life = lain.first, found = lain.second;
    if (folder == Folder::older) gone_for = now_ - at;
  }
  auto number = std::max(static_cast<std::uint64_t>(wall(place)), machine.last_life + 1);
  machine.last_life = number;
  machine.life = {number, mixed(seed_, 0x31, place, ++machine.boots) >> 1};
  machine.clock_base = 1000 + 1e6 * share_of(mixed(seed_, 0x32, place, machine.boots));
  machine.booted = now_;
  machine.state = Machine::State::running;
  note("%s %d begins life %llu", place < shape_.members ? "member" : "twin of member", machine.member,
       static_cast<unsigned long long>(number));
  if (folder == Folder::emptied) machine.folders.clear();
  machine.folders.push_back({now_, {number, found}});
  machine.modules = trial_.boot(*this, place, found, gone_for);
  waiting_[place].inbox.clear();
  for (int other = 0; other < machines(); ++other) {
    if (other == place || machines_[other].member == machine.member) continue;
    if (shape_.datagrams) {
      way(other, place).life = {};
      auto input = std::make_shared<Input>();
      input->kind = Input::Kind::up, input->from = other;
      arrive(place, std::move(input));
      continue;
    }
    redial(place, other);
    way(place, other).failures = 0;
    // It dials at once, and whoever hears of it dials back.
    if (place < shape_.members) redial(other, place);
  }
  if (!waiting_[place].turn_posted) waiting_[place].turn_posted = true, post(Event::Kind::turn, now_, place);
}

void World::end_process(int place, bool abrupt) {
  auto& machine = machines_[place];
  if (machine.state == Machine::State::off) return;
  note("member %d ends", machine.member);
  if (!shape_.folder_lags)
    machine.folders.push_back({now_, {machine.last_life, trial_.folder(*this, place)}});
  trial_.killed(*this, place);
  machine.state = Machine::State::off;
  machine.modules.reset();
  waiting_[place].inbox.clear();
  ++waiting_[place].wake;
  if (shape_.datagrams) return;
  for (int other = 0; other < machines(); ++other) {
    if (other == place) continue;
    // What it sent is on its way; what comes for it finds nobody.
    auto& own = way(place, other);
    own.up = false;
    own.held.clear();
    auto& theirs = way(other, place);
    if (!theirs.up || theirs.broken) continue;
    bool told = !abrupt && reaches(place, other);
    auto drawn = share_of(mixed(seed_, 0x23, place, other, theirs.generation));
    theirs.broken = true, theirs.failures = 1, ++theirs.generation;
    theirs.held.clear();
    post(Event::Kind::lost,
         now_ + (told ? crossing(place, other, own.count++)
                      : silent_least + (silent_most - silent_least) * drawn),
         other, place, theirs.generation);
  }
}

void World::begin_fault(int number) {
  const auto& fault = faults_[number];
  using Kind = Fault::Kind;
  note("fault: %s", fault.told().c_str());
  switch (fault.kind) {
    case Kind::cut:
    case Kind::islands:
      active_.insert(number);
      blocked_now(fault, number);
      if (fault.flaps > 0) post(Event::Kind::flap, now_ + fault.flaps, 0, 0, number);
      return;
    case Kind::slow: active_.insert(number); return;
    case Kind::reset:
      if (shape_.datagrams) return;
      for (int a : fault.who)
        for (int b = 0; b < machines(); ++b)
          if (b != a &&
              (fault.whom.empty() || std::find(fault.whom.begin(), fault.whom.end(), b) != fault.whom.end()))
            for (auto [from, to] : {std::pair(a, b), std::pair(b, a)})
              break_off(from, to, 2 * share_of(mixed(seed_, 0x28, from, to, number)));
      return;
    case Kind::kill: return end_process(fault.who[0], fault.abrupt);
    case Kind::stall: {
      int place = fault.who[0];
      if (!running(place)) return;
      machines_[place].state = Machine::State::stalled;
      note("member %d stands still", place);
      if (shape_.datagrams) return;
      for (int other = 0; other < machines(); ++other) {
        if (other == place) continue;
        auto drawn = share_of(mixed(seed_, 0x24, place, other, number));
        post(Event::Kind::silent, now_ + silent_least + (silent_most - silent_least) * drawn, other, place,
             way(other, place).generation);
        auto until = fault.until;
        if (until - now_ > accepted_silence && way(place, other).up)
          break_off(place, other, until - now_ + drawn);
      }
      return;
    }
    case Kind::wall: machines_[fault.who[0]].wall_off += fault.by; return;
    case Kind::twin: {
      int place = shape_.members;
      for (int i = 0; i < number; ++i) place += faults_[i].kind == Kind::twin;
      machines_[place].folders = machines_[fault.who[0]].folders;
      return boot(place, Folder::older, 0);
    }
  }
}

void World::end_fault(int number) {
  const auto& fault = faults_[number];
  using Kind = Fault::Kind;
  active_.erase(number);
  switch (fault.kind) {
    case Kind::cut:
    case Kind::islands: note("healed: %s", fault.told().c_str()); return flush_held();
    case Kind::kill: return boot(fault.who[0], fault.folder, now_ - fault.at);
    case Kind::stall: {
      int place = fault.who[0];
      if (machines_[place].state != Machine::State::stalled) return;
      machines_[place].state = Machine::State::running;
      note("member %d runs on", place);
      // Its own timers come before what waits for it, or after.
      if (share_of(mixed(seed_, 0x25, number)) < 0.5) {
        auto inbox = std::move(waiting_[place].inbox);
        waiting_[place].inbox.clear();
        turn(place);
        auto& now_there = waiting_[place].inbox;
        now_there.insert(now_there.begin(), inbox.begin(), inbox.end());
      }
      if (!waiting_[place].turn_posted)
        waiting_[place].turn_posted = true, post(Event::Kind::turn, now_, place);
      return;
    }
    case Kind::twin: {
      int place = shape_.members;
      for (int i = 0; i < number; ++i) place += faults_[i].kind == Kind::twin;
      return end_process(place, false);
    }
    default: return;
  }
}

// A connection over which nothing goes in one of its directions ends after a while.
void World::blocked_now(const Fault& fault, int number) {
  if (shape_.datagrams) return;
  for (int a = 0; a < machines(); ++a)
    for (int b = 0; b < machines(); ++b) {
      if (a == b || !way(a, b).up) continue;
      int x = machines_[a].member, y = machines_[b].member;
      if (!fault.stops(x, y, now_) && !fault.stops(y, x, now_)) continue;
      auto drawn = share_of(mixed(seed_, 0x26, a, b, number));
      post(Event::Kind::silent, now_ + silent_least + (silent_most - silent_least) * drawn, a, b,
           way(a, b).generation);
    }
}

void World::flush_held() {
  for (auto it = holding_.begin(); it != holding_.end();) {
    auto [from, to] = *it;
    if (!reaches(from, to)) {
      ++it;
      continue;
    }
    it = holding_.erase(it);
    for (auto& input : std::exchange(way(from, to).held, {})) deliver(from, to, std::move(input), true);
  }
}

void World::redial(int from, int to) {
  auto& link = way(from, to);
  if (to >= shape_.members || link.up || link.dialling || machines_[from].state == Machine::State::off)
    return;
  link.dialling = true;
  auto drawn = share_of(mixed(seed_, 0x27, from, to, ++link.count));
  auto pause = link.failures == 0 ? 5 * drawn
                                  : std::min(redial_most, redial_first * std::pow(2, link.failures - 1)) *
                                        (0.75 + 0.5 * drawn);
  post(Event::Kind::dial, now_ + pause, from, to);
}

// Another process of the member, in a newer life, is heard there: this one is not.
bool World::newer_life_reaches(int member, int than, int other) {
  for (int i = 0; i < machines(); ++i)
    if (i != than && machines_[i].member == member && machines_[i].state != Machine::State::off &&
        way(i, other).up && machines_[i].life > machines_[than].life)
      return true;
  return false;
}

void World::dial(int from, int to) {
  auto& link = way(from, to);
  link.dialling = false;
  if (machines_[from].state == Machine::State::off || link.up) return;
  bool answered = running(from) && running(to) && reaches(from, to) && reaches(to, from) &&
                  !newer_life_reaches(machines_[from].member, from, to) &&
                  !newer_life_reaches(machines_[to].member, to, from);
  if (!answered) {
    link.failures = std::min(link.failures + 1, 16);
    return redial(from, to);
  }
  link.dialling = true;
  ++link.generation;
  post(Event::Kind::greeted, now_ + trips_to_greet * crossing(from, to, link.count++), from, to,
       link.generation);
}

void World::greeted(int from, int to, std::uint64_t generation) {
  auto& link = way(from, to);
  link.dialling = false;
  if (link.generation != generation || link.up || machines_[from].state == Machine::State::off) return;
  if (!running(to) || !reaches(from, to) || !reaches(to, from)) {
    link.failures = std::min(link.failures + 1, 16);
    return redial(from, to);
  }
  link.up = true, link.broken = false, link.failures = 0, link.life = machines_[to].life;
  link.held.clear();
  auto input = std::make_shared<Input>();
  input->kind = Input::Kind::up, input->from = to, input->life = link.life;
  arrive(from, std::move(input));
  // The other hears of a newer life before anything that this one says, whatever its own dial still holds.
  auto& back = way(to, from);
  if (back.up && back.life < machines_[from].life) {
    back.up = false, ++back.generation, back.held.clear();
    auto gone = std::make_shared<Input>();
    gone->kind = Input::Kind::down, gone->from = from, gone->life = back.life;
    arrive(to, std::move(gone));
    back.failures = 0;
    redial(to, from);
  }
  // An older life of the same member is shut out, both ways.
  for (int i = 0; i < machines(); ++i)
    if (i != from && machines_[i].member == machines_[from].member &&
        machines_[i].life < machines_[from].life)
      break_off(i, to, 2), break_off(to, i, 0);
}

void World::break_off(int from, int to, Millis noticed_in) {
  auto& link = way(from, to);
  if (!link.up || link.broken) return;
  link.broken = true, link.failures = 1;
  link.held.clear();
  post(Event::Kind::lost, now_ + noticed_in, from, to, link.generation);
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
  fold(static_cast<std::uint64_t>(from) << 32 | static_cast<std::uint32_t>(to), channel, content);
  if (text_) {
    char line[120];
    std::snprintf(line, sizeof line, "%11.3f %d to %d channel %zu %016llx\n", now_, from, to, channel + 1,
                  static_cast<unsigned long long>(content));
    trace_ += line;
  }
  auto input = std::make_shared<Input>();
  input->kind = Input::Kind::message, input->from = from, input->life = machines_[from].life;
  input->payload = std::make_shared<const Payload>(std::move(payload));
  if (shape_.datagrams) {
    if (machines_[to].state == Machine::State::off || !reaches(from, to)) return;
    auto& count = way(from, to).count;
    for (int copy = 0; copy < 2; ++copy) {
      auto drawn = mixed(seed_, 0x29, from, to, ++count);
      if (copy == 1 && share_of(drawn) >= shape_.doubled) return;
      if (share_of(mixed(drawn, 3)) < shape_.lost) continue;
      auto at =
          now_ + crossing(from, to, count) * (share_of(mixed(drawn, 4)) < 0.1 ? 1 + 3 * share_of(drawn) : 1);
      post(Event::Kind::input, at + slowed(from, to), from, to, 0, input);
    }
    return;
  }
  auto& link = way(from, to);
  if (!link.up || link.broken) return;
  input->generation = link.generation;
  deliver(from, to, std::move(input));
}

void World::deliver(int from, int to, std::shared_ptr<Input> input, bool again) {
  auto& link = way(from, to);
  if (link.generation != input->generation || link.broken) return;
  if (!link.held.empty() || !reaches(from, to)) {
    link.held.push_back(std::move(input));
    holding_.insert({from, to});
    return;
  }
  auto count = link.count++;
  auto at = now_ + crossing(from, to, count);
  if (again) at += resent_most * share_of(mixed(seed_, 0x2a, from, to, count));
  link.last = std::max(at + slowed(from, to), link.last);
  post(Event::Kind::input, link.last, from, to, 0, std::move(input));
}

// A datagram names its sender's life: the first of a newer one says that the peer began anew, and what an
// older one left on its way is not heard.
bool World::datagram_of_newest(int from, int to, fleet::Incarnation life) {
  auto& known = way(from, to).life;
  if (life < known) return false;
  if (known.number > 0 && life > known)
    for (bool up : {false, true}) {
      auto input = std::make_shared<Input>();
      input->kind = up ? Input::Kind::up : Input::Kind::down, input->from = from,
      input->life = up ? life : known;
      arrive(to, std::move(input));
    }
  known = life;
  return true;
}

void World::arrive(int place, std::shared_ptr<Input> input) {
  if (machines_[place].state == Machine::State::off) return;
  auto& waiting = waiting_[place];
  waiting.inbox.push_back(std::move(input));
  if (waiting.turn_posted || machines_[place].state == Machine::State::stalled) return;
  waiting.turn_posted = true;
  post(Event::Kind::turn, now_ + latest_turn * share_of(mixed(seed_, 0x2b, place, ++waiting.turns)), place);
}

Millis World::take_in(int place, const std::vector<std::shared_ptr<Input>>& inbox, Outbox& outbox) {
  auto& modules = *machines_[place].modules;
  modules.begin(local(place));
  for (const auto& input : inbox) {
    if (input->kind == Input::Kind::work) {
      modules.work(input->what);
      continue;
    }
    auto peer = roster_[machines_[input->from].member].id;
    if (input->kind != Input::Kind::message)
      note("member %d: link to %d %s", machines_[place].member, machines_[input->from].member,
           input->kind == Input::Kind::up ? "up" : "down");
    switch (input->kind) {
      case Input::Kind::up: modules.linked(peer, input->life, true); break;
      case Input::Kind::down: modules.linked(peer, input->life, false); break;
      case Input::Kind::message: modules.heard(peer, *input->payload); break;
      case Input::Kind::work: break;
    }
  }
  return modules.decide(outbox);
}

void World::turn(int place) {
  auto& waiting = waiting_[place];
  auto& machine = machines_[place];
  waiting.turn_posted = false;
  if (machine.state != Machine::State::running) return;
  auto inbox = std::exchange(waiting.inbox, {});
  Outbox outbox;
  Millis wake_in = -1;
  try {
    wake_in = take_in(place, inbox, outbox);
  } catch (const fleet::FleetError& error) {
    broken("refused", "member %d refuses what an honest member sent: %s", machine.member, error.what());
  }
  for (auto& [to, payload] : outbox) {
    auto found = places_.find(to);
    if (found != places_.end() && found->second != machine.member)
      send(place, found->second, std::move(payload));
  }
  ++waiting.wake;
  if (now_ - waiting.second >= 1000) waiting.second = now_, waiting.turns_since = 0;
  if (++waiting.turns_since > turns_most)
    broken("turns", "member %d takes more than %d turns a second", machine.member, turns_most);
  if (wake_in >= 0)
    post(Event::Kind::wake,
         now_ + wake_in / machine.rate + latest_turn * share_of(mixed(seed_, 0x2c, place, waiting.wake)),
         place, 0, waiting.wake);
}

}  // namespace rockcrank::model
