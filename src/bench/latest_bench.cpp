// Measures the log of latest versions on real files: the cost of a late joiner, disk use after compaction,
// write amplification, memory per key, start time, and a catch-up between two relays. It checks nothing and
// replaces no test.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <filesystem>
#include <random>
#include <string>

#include "peer/codec.h"
#include "peer/persistent_log.h"

namespace {

using namespace rockcrank;
using namespace rockcrank::latest;
using peer::PersistentLog;

constexpr StreamId stream{7};
constexpr DestinationId joiner{5};
constexpr int keys = 10000, documents = 1000000;
const fleet::Roster single_member{{fleet::MemberId(1), "n1", "h0"}};
const fleet::Roster two_members{{fleet::MemberId(1), "n1", "h0"}, {fleet::MemberId(2), "n2", "h0"}};

LatestSettings settings_for(std::vector<DestinationId> subscribers) {
  LatestSettings settings;
  settings.streams = {{stream, "status", std::move(subscribers), 86400000, 1000, 0.5}};
  settings.segment_bytes = 1 << 20, settings.max_disk_bytes = 64 << 20, settings.max_clock_offset = 60000;
  return settings;
}

struct Folder {
  Folder()
      : path(std::filesystem::temp_directory_path() / ("rockcrank_latest_" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(path);
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::filesystem::path path;
  std::size_t bytes() const {
    std::size_t sum = 0;
    for (const auto& file : std::filesystem::directory_iterator(path)) sum += file.file_size();
    return sum;
  }
};

struct LogDriver {
  std::unique_ptr<PersistentLog> log;
  Millis now = 1000;
  std::uint64_t appended_record_bytes = 0, delivered = 0;

  void open(const std::string& folder, const fleet::Roster& roster, fleet::MemberId self,
            std::vector<DestinationId> subscribers) {
    log.reset();
    log = std::make_unique<PersistentLog>(peer::make_disk_file_system(folder), folder, roster, self,
                                          settings_for(std::move(subscribers)), 1 << 20, 1, now, 1e12 + now);
  }
  void append(std::uint64_t key, std::uint64_t number) {
    Record record;
    record.stream = stream, record.key = "account-" + std::to_string(key);
    record.id = "doc-" + std::to_string(number);
    record.body = std::string(180 + number % 41, 'b') + record.id;
    appended_record_bytes += peer::packed(record).size();
    log->begin_turn(now, 1e12 + now);
    log->append_local(std::move(record));
  }
  PersistentLog::Actions turn(Millis elapsed) {
    now += elapsed;
    log->begin_turn(now, 1e12 + now);
    auto actions = log->decide();
    for (const auto& delivery : actions.deliver) ++delivered, log->module().on_delivery_ended(delivery, true);
    return actions;
  }
  void advance(Millis time) {
    for (Millis until = now + time; now < until;) turn(50);
  }
};

// Accepts 1,000,000 documents over 10,000 keys at 10,000 a second; then a subscriber joins, with one new
// document for every 20 deliveries.
void late_joiner(benchmark::State& state) {
  for (auto run : state) {
    Folder folder;
    LogDriver driver;
    std::minstd_rand random(static_cast<unsigned>(state.range(0)));
    driver.open(folder.path, single_member, fleet::MemberId(1), {});
    for (int i = 0; i < documents; ++i) {
      driver.append(i < keys ? static_cast<std::uint64_t>(i) : random() % keys,
                    static_cast<std::uint64_t>(i));
      if (i % 100 == 99) driver.turn(10);
    }
    auto peak_bytes = folder.bytes();
    driver.advance(60000);  // lets pending compactions finish
    auto usage = driver.log->module().usage();
    state.counters["latest_bytes"] = static_cast<double>(usage.live_bytes);
    state.counters["disk_of_latest"] =
        static_cast<double>(folder.bytes()) / static_cast<double>(usage.live_bytes);
    state.counters["disk_under_load"] =
        static_cast<double>(peak_bytes) / static_cast<double>(usage.live_bytes);
    state.counters["write_amplification"] = static_cast<double>(driver.log->segments().appended_bytes()) /
                                            static_cast<double>(driver.appended_record_bytes);
    state.counters["memory_a_key"] =
        static_cast<double>(usage.memory_bytes) / static_cast<double>(usage.keys);
    auto before = std::chrono::steady_clock::now();
    driver.open(folder.path, single_member, fleet::MemberId(1), {joiner});
    std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - before;
    state.counters["start_ms"] = took.count();
    int number = documents, quiet = 0;
    std::uint64_t live = 0;
    while (quiet < 100) {
      auto delivered_before = driver.delivered;
      driver.turn(5);
      quiet = driver.delivered == delivered_before ? quiet + 1 : 0;
      for (; quiet == 0 && live * 20 < driver.delivered; ++live)
        driver.append(random() % keys, static_cast<std::uint64_t>(number++));
    }
    state.counters["documents_a_key"] = static_cast<double>(driver.delivered) / keys;
    driver.advance(60000);
    usage = driver.log->module().usage();
    state.counters["memory_a_key_and_mark"] =
        static_cast<double>(usage.memory_bytes) / static_cast<double>(usage.keys);
    state.counters["disk_with_marks"] =
        static_cast<double>(folder.bytes()) / static_cast<double>(usage.live_bytes);
  }
}
BENCHMARK(late_joiner)->Arg(1)->Arg(2)->Arg(3)->Iterations(1)->Unit(benchmark::kMillisecond);

// Compares the bytes of a catch-up with those of a full copy, for two relays of 100,000 keys of which 1%
// differ.
void catch_up(benchmark::State& state) {
  for (auto run : state) {
    Folder folder;
    LogDriver first, second;
    first.open(folder.path / "1", two_members, fleet::MemberId(1), {}),
        second.open(folder.path / "2", two_members, fleet::MemberId(2), {});
    std::uint64_t full_copy_bytes = 0, catch_up_bytes = 0, messages = 0;
    constexpr int key_count = 100000;
    for (int i = 0; i < key_count; ++i) {
      Record record;
      record.stream = stream, record.key = "account-" + std::to_string(i),
      record.id = "doc-" + std::to_string(i);
      record.body = std::string(200, 'b'),
      record.timestamp = {1000000000000, static_cast<std::uint32_t>(i), fleet::MemberId(1)};
      LatestMessage message;
      message.records = {record}, full_copy_bytes += peer::packed(record).size();
      first.log->on_message(fleet::MemberId(2), message);
      if (i % 100 == 0) record.timestamp.wall_time -= 1000, record.body[0] = 'a', message.records = {record};
      second.log->on_message(fleet::MemberId(1), message);
    }
    auto start = first.now;
    for (bool up : {true}) {
      first.log->begin_turn(first.now, 1e12), first.log->module().on_link_change(fleet::MemberId(2), up);
      second.log->begin_turn(second.now, 1e12), second.log->module().on_link_change(fleet::MemberId(1), up);
    }
    while (first.log->module().digest(stream) != second.log->module().digest(stream) &&
           first.now < start + 600000) {
      auto first_actions = first.turn(5), second_actions = second.turn(5);
      for (const auto& [to, message] : first_actions.sends)
        catch_up_bytes += peer::packed(message).size(), ++messages,
            second.log->on_message(fleet::MemberId(1), message);
      for (const auto& [to, message] : second_actions.sends)
        catch_up_bytes += peer::packed(message).size(), ++messages,
            first.log->on_message(fleet::MemberId(2), message);
    }
    state.counters["bytes_of_whole"] =
        static_cast<double>(catch_up_bytes) / static_cast<double>(full_copy_bytes);
    state.counters["virtual_ms"] = first.now - start;
    state.counters["messages"] = static_cast<double>(messages);
  }
}
BENCHMARK(catch_up)->Iterations(1)->Unit(benchmark::kMillisecond);

void take_one(benchmark::State& state) {
  Folder folder;
  LogDriver driver;
  driver.open(folder.path, single_member, fleet::MemberId(1), {});
  std::uint64_t number = 0;
  for (auto run : state) {
    driver.append(number % keys, number);
    if (++number % 100 == 0) driver.turn(10);
  }
}
BENCHMARK(take_one);

}  // namespace

BENCHMARK_MAIN();
