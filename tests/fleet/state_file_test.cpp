// Tests of the file that keeps what a relay knows: each way in which it may not be used, and its bounds.

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
    RegisterRecord word;
    word.kind = RegisterKind::retry_after, word.name = text, word.duration = span, word.age = 100;
    word.version = {1000 + route, MemberId{7}};
    return word;
  }
  static ClockReading at(Millis wall, const std::string& boot = "b1") { return {boot, wall - 5000, wall}; }
  void written(const std::vector<RegisterRecord>& words, const ClockReading& when) {
    StateFile file(path, "f", MemberId{7});
    std::string why;
    ASSERT_TRUE(file.write(words, when, why)) << why;
  }
  // Set aside and named with these words.
  void refused(const ClockReading& now, const std::string& words, const std::string& fleet = "f",
               MemberId member = MemberId{7}) {
    StateFile file(path, fleet, member);
    std::string why;
    EXPECT_FALSE(file.read(now, why));
    EXPECT_NE(why.find(words), std::string::npos) << why;
    EXPECT_NE(why.find(path), std::string::npos) << why;
    EXPECT_FALSE(std::filesystem::exists(path));
    EXPECT_TRUE(std::filesystem::exists(path + ".1.aside"));
    EXPECT_FALSE(file.read(now, why));
    EXPECT_TRUE(why.empty());
  }
  std::string bytes() const {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  void put(const std::string& all) const { std::ofstream(path, std::ios::binary) << all; }

  std::string folder, path;
};

TEST_F(StateFileTest, KeepsWordsAndTheTimeGone) {
  written({wait(1, 60e3), wait(2, 70e3)}, at(1e12));
  StateFile file(path, "f", MemberId{7});
  std::string why;
  auto kept = file.read(at(1e12 + 12345), why);
  ASSERT_TRUE(kept) << why;
  EXPECT_NEAR(kept->elapsed, 12345, 0.01);
  ASSERT_EQ(kept->records.size(), 2u);
  EXPECT_EQ(kept->records[1].name, wait(2, 0).name);
  EXPECT_EQ(kept->records[1].duration, 70e3);
}

TEST_F(StateFileTest, AStepOfTheWallClockOnOneMachineDoesNotMatter) {
  written({wait(1, 60e3)}, at(1e12));
  ClockReading now = at(1e12 + 2000);
  now.wall_time -= 3600e3;
  StateFile file(path, "f", MemberId{7});
  std::string why;
  auto kept = file.read(now, why);
  ASSERT_TRUE(kept) << why;
  EXPECT_NEAR(kept->elapsed, 2000, 0.01);
}

TEST_F(StateFileTest, RefusesWhatIsOfTheFuture) {
  written({wait(1, 60e3)}, at(1e12));
  refused(at(1e12 - 2000, "b2"), "in the future");
  written({wait(1, 60e3)}, at(1e12));
  refused(at(1e12 - 1), "in the future");
}

TEST_F(StateFileTest, RefusesWhatIsOlderThanItsWords) {
  written({wait(1, 60e3)}, at(1e12));
  refused(at(1e12 + 3600e3, "b2"), "older");
}

TEST_F(StateFileTest, RefusesWhatIsOfOthers) {
  written({wait(1, 60e3)}, at(1e12));
  refused(at(1e12), "another fleet", "g");
  written({wait(1, 60e3)}, at(1e12));
  refused(at(1e12), "another member", "f", MemberId{8});
  written({wait(1, 60e3)}, at(1e12));
  auto all = bytes();
  all[all.find('\n') - 1] = '9';
  put(all);
  refused(at(1e12), "another form");
}

TEST_F(StateFileTest, RefusesEveryCutAndEveryFlippedByte) {
  written({wait(1, 60e3)}, at(1e12));
  const auto whole = bytes();
  for (std::size_t size = 0; size < whole.size(); ++size) {
    put(whole.substr(0, size));
    refused(at(1e12), "state file");
    auto flipped = whole;
    flipped[size] = static_cast<char>(flipped[size] ^ 0x20);
    put(flipped);
    refused(at(1e12), "state file");
  }
  put(whole + "x");
  refused(at(1e12), "damaged");
}

TEST_F(StateFileTest, WhatIsSetAsideIsBounded) {
  for (int i = 0; i < 5; ++i) {
    put(std::string(2 * max_state_file_bytes, 'x'));
    refused(at(1e12), "too large");
  }
  std::size_t bytes = 0, files = 0;
  for (const auto& file : std::filesystem::directory_iterator(folder)) bytes += file.file_size(), ++files;
  EXPECT_EQ(files, static_cast<std::size_t>(max_quarantined_state_files));
  EXPECT_LE(bytes, max_state_disk_bytes);
}

TEST_F(StateFileTest, KeepsTheMostNeededWithinItsBound) {
  std::vector<RegisterRecord> words;
  for (std::uint64_t i = 0; i < 20000; ++i) words.push_back(wait(i, 60e3));
  written(words, at(1e12));
  EXPECT_LE(std::filesystem::file_size(path), max_state_file_bytes);
  StateFile file(path, "f", MemberId{7});
  std::string why;
  auto kept = file.read(at(1e12), why);
  ASSERT_TRUE(kept) << why;
  EXPECT_GT(kept->records.size(), 500u);
  EXPECT_EQ(kept->records[10].name, words[10].name);
}

TEST_F(StateFileTest, WhatCannotBeWrittenLeavesWhatStands) {
  written({wait(1, 60e3)}, at(1e12));
  std::filesystem::create_directory(path + ".new");
  StateFile file(path, "f", MemberId{7});
  std::string why;
  EXPECT_FALSE(file.write({wait(2, 60e3)}, at(1e12), why));
  EXPECT_NE(why.find("cannot be kept"), std::string::npos);
  auto kept = file.read(at(1e12), why);
  ASSERT_TRUE(kept) << why;
  EXPECT_EQ(kept->records[0].name, wait(1, 0).name);
}

}  // namespace
}  // namespace rockcrank::peer
