// Tests the state file: every reason to reject it, and its size limits.

#include "peer/state_file.h"

#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "fleet/register_table.h"

namespace rockcrank::peer {
namespace {

using fleet::MemberId;
using fleet::RegisterKind;
using fleet::RegisterRecord;

class StateFileTest : public ::testing::Test {
 protected:
  StateFileTest() {
    char name[] = "/tmp/rockcrank_state_XXXXXX";
    folder = ::mkdtemp(name), path = folder + "/state";
  }
  ~StateFileTest() override { std::filesystem::remove_all(folder); }

  static RegisterRecord wait(std::uint64_t route, Millis span) {
    char text[24];
    std::snprintf(text, sizeof text, "d%016llx", static_cast<unsigned long long>(route));
    RegisterRecord record;
    record.kind = RegisterKind::retry_after, record.name = text, record.duration = span, record.age = 100;
    record.version = {1000 + route, MemberId{7}};
    return record;
  }
  static ClockReading at(Millis wall, const std::string& boot_id = "b1") {
    return {boot_id, wall - 5000, wall};
  }
  void write_file(const std::vector<RegisterRecord>& records, const ClockReading& when) {
    StateFile file(path, "f", MemberId{7});
    std::string error_text;
    ASSERT_TRUE(file.write(records, when, error_text)) << error_text;
  }
  // Expects that the file is set aside and that the error contains this text.
  void expect_rejected(const ClockReading& now, const std::string& text, const std::string& fleet = "f",
                       MemberId member = MemberId{7}) {
    StateFile file(path, fleet, member);
    std::string error_text;
    EXPECT_FALSE(file.read(now, error_text));
    EXPECT_NE(error_text.find(text), std::string::npos) << error_text;
    EXPECT_NE(error_text.find(path), std::string::npos) << error_text;
    EXPECT_FALSE(std::filesystem::exists(path));
    EXPECT_TRUE(std::filesystem::exists(path + ".1.aside"));
    EXPECT_FALSE(file.read(now, error_text));
    EXPECT_TRUE(error_text.empty());
  }
  std::string bytes() const {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  void write_bytes(const std::string& all) const { std::ofstream(path, std::ios::binary) << all; }

  std::string folder, path;
};

TEST_F(StateFileTest, RestoresRecordsAndElapsedTime) {
  write_file({wait(1, 60e3), wait(2, 70e3)}, at(1e12));
  StateFile file(path, "f", MemberId{7});
  std::string error_text;
  auto kept = file.read(at(1e12 + 12345), error_text);
  ASSERT_TRUE(kept) << error_text;
  EXPECT_NEAR(kept->elapsed, 12345, 0.01);
  ASSERT_EQ(kept->records.size(), 2u);
  EXPECT_EQ(kept->records[1].name, wait(2, 0).name);
  EXPECT_EQ(kept->records[1].duration, 70e3);
}

TEST_F(StateFileTest, IgnoresAWallClockStepWithinOneBoot) {
  write_file({wait(1, 60e3)}, at(1e12));
  ClockReading now = at(1e12 + 2000);
  now.wall_time -= 3600e3;
  StateFile file(path, "f", MemberId{7});
  std::string error_text;
  auto kept = file.read(now, error_text);
  ASSERT_TRUE(kept) << error_text;
  EXPECT_NEAR(kept->elapsed, 2000, 0.01);
}

TEST_F(StateFileTest, RejectsAFileDatedInTheFuture) {
  write_file({wait(1, 60e3)}, at(1e12));
  expect_rejected(at(1e12 - 2000, "b2"), "in the future");
  write_file({wait(1, 60e3)}, at(1e12));
  expect_rejected(at(1e12 - 1), "in the future");
}

TEST_F(StateFileTest, RejectsAFileOlderThanItsRecords) {
  write_file({wait(1, 60e3)}, at(1e12));
  expect_rejected(at(1e12 + 3600e3, "b2"), "older");
}

TEST_F(StateFileTest, RejectsAnotherFleetMemberOrFormat) {
  write_file({wait(1, 60e3)}, at(1e12));
  expect_rejected(at(1e12), "another fleet", "g");
  write_file({wait(1, 60e3)}, at(1e12));
  expect_rejected(at(1e12), "another member", "f", MemberId{8});
  write_file({wait(1, 60e3)}, at(1e12));
  auto all = bytes();
  all[all.find('\n') - 1] = '9';
  write_bytes(all);
  expect_rejected(at(1e12), "another format version");
}

TEST_F(StateFileTest, RejectsEveryTruncationAndFlippedByte) {
  write_file({wait(1, 60e3)}, at(1e12));
  const auto whole = bytes();
  for (std::size_t size = 0; size < whole.size(); ++size) {
    write_bytes(whole.substr(0, size));
    expect_rejected(at(1e12), "state file");
    auto flipped = whole;
    flipped[size] = static_cast<char>(flipped[size] ^ 0x20);
    write_bytes(flipped);
    expect_rejected(at(1e12), "state file");
  }
  write_bytes(whole + "x");
  expect_rejected(at(1e12), "damaged");
}

TEST_F(StateFileTest, BoundsTheFilesSetAside) {
  for (int i = 0; i < 5; ++i) {
    write_bytes(std::string(2 * max_state_file_bytes, 'x'));
    expect_rejected(at(1e12), "too large");
  }
  std::size_t bytes = 0, files = 0;
  for (const auto& file : std::filesystem::directory_iterator(folder)) bytes += file.file_size(), ++files;
  EXPECT_EQ(files, static_cast<std::size_t>(max_quarantined_state_files));
  EXPECT_LE(bytes, max_state_disk_bytes);
}

TEST_F(StateFileTest, KeepsTheMostImportantRecordsWithinItsLimit) {
  std::vector<RegisterRecord> records;
  for (std::uint64_t i = 0; i < 20000; ++i) records.push_back(wait(i, 60e3));
  write_file(records, at(1e12));
  EXPECT_LE(std::filesystem::file_size(path), max_state_file_bytes);
  StateFile file(path, "f", MemberId{7});
  std::string error_text;
  auto kept = file.read(at(1e12), error_text);
  ASSERT_TRUE(kept) << error_text;
  EXPECT_GT(kept->records.size(), 500u);
  EXPECT_EQ(kept->records[10].name, records[10].name);
}

TEST_F(StateFileTest, KeepsTheOldFileWhenWritingFails) {
  write_file({wait(1, 60e3)}, at(1e12));
  std::filesystem::create_directory(path + ".new");
  StateFile file(path, "f", MemberId{7});
  std::string error_text;
  EXPECT_FALSE(file.write({wait(2, 60e3)}, at(1e12), error_text));
  EXPECT_NE(error_text.find("the destination state cannot be stored"), std::string::npos);
  auto kept = file.read(at(1e12), error_text);
  ASSERT_TRUE(kept) << error_text;
  EXPECT_EQ(kept->records[0].name, wait(1, 0).name);
}

}  // namespace
}  // namespace rockcrank::peer
