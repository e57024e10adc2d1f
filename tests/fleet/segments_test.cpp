// Tests the log's files under crashes and a full disk at every step: appended records, and the newest of each
// key in particular, must be recovered.

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "in_memory_disk.h"
#include "peer/persistent_log.h"

namespace rockcrank::peer {
namespace {

using namespace latest;

constexpr StreamId stream{7};
const fleet::Roster single_member{{fleet::MemberId(1), "n1", "h0"}};

LatestSettings small_log_settings(std::size_t disk = 1 << 16) {
  LatestSettings settings;
  settings.streams = {{stream, "status", {DestinationId(5)}, 1e9, 0, 0.3}};
  settings.segment_bytes = 4096, settings.max_disk_bytes = disk, settings.max_clock_offset = 60000;
  return settings;
}

Record record(int key, int number, std::size_t bytes = 200) {
  Record made;
  made.stream = stream, made.key = "key" + std::to_string(key), made.id = "d" + std::to_string(number);
  made.body = std::string(bytes, 'b') + std::to_string(number);
  return made;
}

std::unique_ptr<PersistentLog> open(const std::shared_ptr<InMemoryDisk>& disk, Millis now,
                                    std::size_t most = 1 << 16) {
  return std::make_unique<PersistentLog>(std::make_unique<InMemoryFiles>(disk), "log", single_member,
                                         fleet::MemberId(1), small_log_settings(most), 1000, 1, now,
                                         1e6 + now);
}

// What was acknowledged; the last append may have been in progress.
struct Acknowledged {
  std::map<std::string, std::string> newest;
  std::string pending_key, pending_id;
};

void audit(PersistentLog& log, const Acknowledged& acknowledged, const std::string& when) {
  for (const auto& [key, id] : acknowledged.newest) {
    auto found = log.read(stream, key_hash(key));
    ASSERT_TRUE(found) << when << ": " << key << " is lost";
    bool torn = key == acknowledged.pending_key && found->id == acknowledged.pending_id;
    EXPECT_TRUE(found->id == id || torn) << when << ": " << key << " is at " << found->id << ", not " << id;
  }
}

// Appends with compactions in between; deliveries end at once, so that delivery states are written too.
void run_workload(PersistentLog& log, Acknowledged& acknowledged, Millis& now, int from, int to) {
  for (int i = from; i < to; ++i) {
    now += 1, log.begin_turn(now, 1e6 + now);
    auto appended = record(i * i % 11, i);
    acknowledged.pending_key = appended.key, acknowledged.pending_id = appended.id;
    try {
      log.append_local(appended);
      acknowledged.newest[appended.key] = appended.id;
    } catch (const fleet::StorageUnavailable&) {}
    acknowledged.pending_key.clear();
    for (int turn = 0; turn < 3; ++turn) {
      now += 10, log.begin_turn(now, 1e6 + now);
      for (const auto& going : log.decide().deliver) log.module().on_delivery_ended(going, true);
    }
  }
}

std::vector<std::string> file_error_lines(PersistentLog& log) {
  auto lines = log.decide().log;
  std::erase_if(lines, [](const auto& line) { return line.find(" at byte ") == std::string::npos; });
  return lines;
}

TEST(Segments, SurvivesAKillBetweenAnyTwoSteps) {
  auto counting = std::make_shared<InMemoryDisk>();
  Millis now = 0;
  Acknowledged all_acknowledged;
  auto log = open(counting, now);
  run_workload(*log, all_acknowledged, now, 0, 120);
  ASSERT_GT(log->module().usage().compacted_bytes, 0u);
  int steps = counting->step_count;
  ASSERT_GT(steps, 300);
  // is_partial: only part of that step's bytes is written.
  for (bool is_partial : {false, true})
    for (int crash_step = 1; crash_step <= steps; ++crash_step) {
      auto disk = std::make_shared<InMemoryDisk>();
      disk->crash_at_step = crash_step, disk->writes_partially = is_partial;
      Acknowledged acknowledged;
      now = 0;
      try {
        run_workload(*open(disk, now), acknowledged, now, 0, 120);
      } catch (const SimulatedCrash&) {}
      disk->crash_at_step = 0;
      auto description = "killed at step " + std::to_string(crash_step) + (is_partial ? ", short" : "");
      auto restarted = open(disk, now);
      audit(*restarted, acknowledged, description);
      run_workload(*restarted, acknowledged, now, 120, 140);
      audit(*restarted, acknowledged, description + ", gone on");
      restarted.reset();
      audit(*open(disk, now), acknowledged, description + ", started again");
      if (HasFatalFailure() || HasNonfatalFailure()) return;
    }
}

// Power fails during compactions: data that was not synced is lost, acknowledged records are not.
TEST(Segments, SurvivesAPowerFailureInACompaction) {
  for (int stop = 1;; ++stop) {
    auto disk = std::make_shared<InMemoryDisk>();
    Acknowledged acknowledged;
    Millis now = 0;
    auto log = open(disk, now);
    for (int i = 0; i < 60; ++i) {
      now += 1, log->begin_turn(now, 1e6 + now);
      auto appended = record(i * i % 11, i);
      log->append_local(appended), acknowledged.newest[appended.key] = appended.id;
    }
    disk->flush();
    disk->crash_at_step = disk->step_count + stop;
    bool is_cut = false;
    try {
      for (int turn = 0; turn < 200; ++turn) now += 200, log->begin_turn(now, 1e6 + now), log->decide();
    } catch (const SimulatedCrash&) { is_cut = true; }
    if (!is_cut) {
      EXPECT_GT(log->module().usage().compacted_bytes, 0u);
      EXPECT_GT(stop, 10);
      return;
    }
    disk->crash_at_step = 0, disk->cut_power();
    log = open(disk, now);
    audit(*log, acknowledged, "cut at step " + std::to_string(stop));
    if (HasFatalFailure() || HasNonfatalFailure()) return;
  }
}

// A tombstone must stay on disk for as long as any older record of its key does, also in another segment.
TEST(Segments, TombstoneOutlivesOlderRecordsOnDisk) {
  auto disk = std::make_shared<InMemoryDisk>();
  Millis now = 0;
  auto settings = small_log_settings();
  settings.streams[0].tombstone_retention = 1000, settings.streams[0].subscribers.clear();
  auto start = [&] {
    return std::make_unique<PersistentLog>(std::make_unique<InMemoryFiles>(disk), "log", single_member,
                                           fleet::MemberId(1), settings, 1000, 1, now, 1e6 + now);
  };
  auto log = start();
  auto turns = [&](int count) {
    for (int i = 0; i < count; ++i) now += 200, log->begin_turn(now, 1e6 + now), log->decide();
  };
  log->append_local(record(99, 0));
  for (int i = 0; i < 19; ++i)
    log->append_local(record(i, i + 1));  // these stay: their segment is below the dirty ratio
  auto ending = record(99, 50);
  ending.body.clear(), log->append_local(ending);
  for (int i = 20; i < 30; ++i) log->append_local(record(i, 60 + i));
  for (int i = 0; i < 40; ++i) log->append_local(record(50, 100 + i));
  turns(60);
  for (int i = 20; i < 30; ++i)
    log->append_local(record(i, 200 + i));  // records beside the tombstone are superseded
  turns(200);
  log.reset(), log = start();
  auto found = log->read(stream, key_hash("key99"));
  EXPECT_TRUE(!found || found->body.empty()) << "a deleted key is back";
  for (int round = 0; round < 3; ++round)  // once the older record is gone, the tombstone goes too
    for (int i = 0; i < 19; ++i) log->append_local(record(i, 1000 + 100 * round + i)), turns(2);
  turns(200);
  EXPECT_FALSE(log->read(stream, key_hash("key99")));
  log.reset(), log = start();
  EXPECT_FALSE(log->read(stream, key_hash("key99")));
}

TEST(Segments, LosesNothingWhenTheDiskFills) {
  std::size_t torn = 0;
  for (std::size_t room = 17000; room < 50000; room += 331) {
    auto disk = std::make_shared<InMemoryDisk>();
    disk->capacity = room;
    Acknowledged acknowledged;
    Millis now = 0;
    auto when = "full at " + std::to_string(room);
    std::unique_ptr<PersistentLog> log;
    try {
      log = open(disk, now);
    } catch (const fleet::StorageUnavailable&) { continue; }
    run_workload(*log, acknowledged, now, 0, 150);
    audit(*log, acknowledged, when);
    torn += acknowledged.newest.size() < 11 || disk->used_bytes() == room;
    if (room % 2 == 0) log.reset(), log = open(disk, now);
    audit(*log, acknowledged, when + ", started again");
    disk->capacity = 1 << 20;  // space is freed
    run_workload(*log, acknowledged, now, 150, 180);
    EXPECT_EQ(acknowledged.newest.at("key" + std::to_string(179 * 179 % 11)), "d179") << when;
    audit(*log, acknowledged, when + ", freed");
  }
  EXPECT_GT(torn, 10u);  // the disk was full in the middle
}

TEST(Segments, StaysWithinItsDiskLimit) {
  auto disk = std::make_shared<InMemoryDisk>();
  constexpr std::size_t most = 1 << 16;
  auto log = open(disk, 0, most);
  Acknowledged acknowledged;
  Millis now = 0;
  std::size_t largest = 0;
  for (int i = 0; i < 3000; i += 10) {
    run_workload(*log, acknowledged, now, i, i + 10);
    largest = std::max(largest, log->segments().disk_bytes());
  }
  EXPECT_LE(largest, most);
  EXPECT_EQ(acknowledged.newest.at("key" + std::to_string(2999 * 2999 % 11)), "d2999");
  EXPECT_LT(log->module().usage().segment_bytes, 20u * 11 * 300);
  audit(*log, acknowledged, "after many");
}

// More keys than fit are refused with StorageUnavailable, and no accepted key is lost.
TEST(Segments, RefusesRecordsThatDoNotFit) {
  auto disk = std::make_shared<InMemoryDisk>();
  Millis now = 0;
  std::set<int> accepted;
  int refused = 0;
  {
    auto log = open(disk, now, 1 << 16);
    for (int i = 0; i < 400; ++i) {
      now += 1, log->begin_turn(now, 1e6 + now);
      try {
        log->append_local(record(i, i, 300));
        accepted.insert(i);
      } catch (const fleet::StorageUnavailable&) { ++refused; }
      log->decide();
    }
  }
  EXPECT_GT(accepted.size(), 80u);
  EXPECT_GT(refused, 100);
  auto log = open(disk, now, 1 << 16);
  for (int i : accepted) EXPECT_TRUE(log->read(stream, key_hash("key" + std::to_string(i)))) << i;
}

TEST(Segments, ReportsAndRenamesADamagedSegmentAndSavesTheRest) {
  auto disk = std::make_shared<InMemoryDisk>();
  Millis now = 0;
  Acknowledged acknowledged;
  {
    auto log = open(disk, now);
    for (int i = 0; i < 30; ++i) {
      now += 1, log->begin_turn(now, 1e6 + now);
      log->append_local(record(i, i));
    }
  }
  auto& bytes = disk->files.begin()->second;
  std::string name;
  for (auto& [file, content] : disk->files)
    if (file.starts_with("seg-") && name.empty()) name = file, content[1000] ^= 1;
  ASSERT_FALSE(bytes.empty());
  auto log = open(disk, now);
  auto lines = file_error_lines(*log);
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_NE(lines[0].find(name + " at byte"), std::string::npos) << lines[0];
  EXPECT_NE(lines[0].find("a record's checksum does not match"), std::string::npos) << lines[0];
  EXPECT_TRUE(disk->files.count(name + ".bad"));
  EXPECT_FALSE(disk->files.count(name));
  int found = 0;
  for (int i = 0; i < 30; ++i) found += log->read(stream, key_hash("key" + std::to_string(i))).has_value();
  EXPECT_EQ(found, 29);
  log.reset();
  EXPECT_TRUE(file_error_lines(*open(disk, now)).empty());
}

TEST(Segments, ReportsForeignAndMissingFiles) {
  auto disk = std::make_shared<InMemoryDisk>();
  Millis now = 0;
  {
    auto log = open(disk, now);
    for (int i = 0; i < 40; ++i) now += 1, log->begin_turn(now, 1e6 + now), log->append_local(record(i, i));
  }
  auto manifest = disk->files.at("manifest");
  disk->files["manifest"] = "nothing that a manifest would hold, but long enough for a frame";
  {
    auto log = open(disk, now);  // rebuilt from the segments
    auto lines = file_error_lines(*log);
    EXPECT_TRUE(lines.size() == 1 && lines[0].find("manifest at byte 0") != std::string::npos);
    for (int i = 0; i < 40; ++i) EXPECT_TRUE(log->read(stream, key_hash("key" + std::to_string(i)))) << i;
  }
  std::string name;
  for (auto& [file, content] : disk->files)
    if (file.starts_with("seg-") && name.empty()) name = file;
  disk->files.erase(name);
  auto lines = file_error_lines(*open(disk, now));
  ASSERT_FALSE(lines.empty());
  EXPECT_NE(lines[0].find(name), std::string::npos);
}

}  // namespace
}  // namespace rockcrank::peer
