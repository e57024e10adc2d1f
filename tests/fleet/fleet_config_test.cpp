// Tests the fleet file's reader: deploy/fleet.toml is valid, and each error is reported with its line, key,
// reason and remedy.
#include "peer/fleet_config.h"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "fleet/errors.h"
#include "settings/settings.h"

namespace rockcrank::peer {
namespace {

const std::map<std::string, RetrySafety> retry_safety{
    {"status", RetrySafety::idempotent}, {"order", RetrySafety::keyed}, {"pay", RetrySafety::unsafe}};

constexpr const char* stream_text = R"([[stream]]
type = "status"
keep = "latest"
subscribers = [7, 9]
tombstone_life_ms = 86400000
least_age_ms = 60000
superseded_share = 0.5
)";

std::string shipped() {
  std::ifstream file(DEPLOY "/fleet.toml");
  return {std::istreambuf_iterator<char>(file), {}};
}

FleetConfig read_text(const std::string& text, const std::string& self = "n1") {
  auto path = testing::TempDir() + "fleet-" + std::to_string(getpid()) + ".toml";
  std::ofstream(path) << text;
  struct RemoveOnExit {
    std::string path;
    ~RemoveOnExit() { std::filesystem::remove(path); }
  } remove_on_exit{path};
  return read_fleet_file(path, self, retry_safety);
}

TEST(FleetConfig, ReadsTheShippedFile) {
  auto config = read_text(shipped() + stream_text, "n2");
  EXPECT_EQ(config.fleet_name, "example");
  EXPECT_EQ(config.self, fleet::MemberId(fnv1a_hash("n2")));
  ASSERT_EQ(config.roster.size(), 3u);
  EXPECT_LT(config.roster[0].id, config.roster[1].id);
  EXPECT_EQ(config.addresses.at(fleet::MemberId(fnv1a_hash("n3"))), (Address{"127.0.0.1", 7948}));
  EXPECT_EQ(config.max_queue_bytes, 4096u * 1024);
  EXPECT_TRUE(config.shared_state_enabled && config.wait_for_replica && config.warmup_enabled);
  EXPECT_EQ(config.replica_count, 2);
  EXPECT_EQ(config.lease_duration, 2000);
  EXPECT_EQ(config.max_clock_drift, 0.01);
  ASSERT_EQ(config.streams.size(), 1u);
  EXPECT_EQ(config.streams[0].subscribers, (std::set{DestinationId(7), DestinationId(9)}));
  EXPECT_EQ(config.max_log_disk_bytes, std::size_t{64} << 20);
}

TEST(FleetConfig, MissingSectionsAreOff) {
  auto text = shipped();
  auto config = read_text(text.substr(0, text.find("[share]")));
  EXPECT_FALSE(config.shared_state_enabled || config.wait_for_replica || config.warmup_enabled);
  EXPECT_EQ(config.replica_count, 0);
  EXPECT_TRUE(config.streams.empty());
}

struct Mutation {
  const char *from, *to;  // the first `from` in the file is replaced by `to`
  const char* key;        // expected key in the error
  const char* reason;
};

// The error gives the line of the key, or of its table if the key is missing.
TEST(FleetConfig, ReportsEachError) {
  const Mutation all[] = {
      {"fleet = \"example\"", "flet = \"example\"", "fleet", "missing"},
      {"fleet = \"example\"", "fleet = \"example\"\ncolour = 1", "colour", "unknown"},
      {"fleet = \"example\"", "fleet = \"example\"\nfleet = \"b\"", "", "redefine"},
      {"fleet = \"example\"", "fleet = 7", "fleet", "it is an integer"},
      {"fleet = \"example\"", "fleet = \"\"", "fleet", "empty"},
      {"fleet = \"example\"", "fleet = \"exa", "", ""},
      {"# self = \"n1\"", "self = \"n9\"", "self", "is not a member"},
      {"name = \"n2\"", "name = \"n1\"", "member[1].name", "is listed twice"},
      {"name = \"n2\"", "nam = \"n2\"", "member[1].name", "missing"},
      {"at = \"127.0.0.1:7947\"", "at = \"127.0.0.1:7946\"", "member[1].at", "one address"},
      {"at = \"127.0.0.1:7947\"", "at = \"here\"", "member[1].at", "not an address"},
      {"at = \"127.0.0.1:7947\"", "at = \"127.0.0.1:0\"", "member[1].at", "port is 0"},
      {"[link]", "[lnk]", "link", "missing"},
      {"queue_kb = 4096", "queue_kb = 4096.5", "link.queue_kb", "a number"},
      {"queue_kb = 4096", "queue_kb = 512", "link.frame_kb", "does not fit"},
      {"frame_kb = 1024", "frame_kb = 0", "link.frame_kb", "out of range"},
      {"frame_kb = 1024", "frame_kb = 64", "link.frame_kb", "may not fit"},
      {"on = true", "on = 1", "share.on", "it is an integer"},
      {"copies = 2", "copies = 1", "documents.copies", "majority"},
      {"copies = 2", "copies = 3", "documents.copies", "out of range"},
      {"copies = 2", "copies = 0", "documents.wait", "no copy"},
      {"[[member]]\nname = \"n3\"\nhall = \"h1\"\nat = \"127.0.0.1:7948\"", "", "documents.copies", "only 2"},
      {"copy_within_ms = 200", "copy_within_ms = 401", "documents.copy_within_ms", "out of range"},
      {"lease_ms = 2000", "lease_ms = 606", "documents.lease_ms", "too short"},
      {"drift = 0.01", "drift = nan", "documents.drift", "out of range"},
      {"drift = 0.01", "drift = -0.01", "documents.drift", "out of range"},
      {"drift = 0.01", "", "documents.drift", "missing"},
      {"neighbours = 4", "neighbours = 0", "warm.neighbours", "out of range"},
      {"segment_kb = 1024", "segment_kb = 32768", "latest.segment_kb", "do not fit"},
      {"type = \"status\"", "type = \"pay\"", "stream[0].type", "is not safe to repeat"},
      {"type = \"status\"", "type = \"other\"", "stream[0].type", "unknown"},
      {"keep = \"latest\"", "keep = \"all\"", "stream[0].keep", "not \"latest\""},
      {"[7, 9]", "[7, 7]", "stream[0].subscribers", "is listed twice"},
      {"[7, 9]", "[7, \"nine\"]", "stream[0].subscribers", "is not a destination number"},
      {"tombstone_life_ms = 86400000", "tombstone_life_ms = 5", "stream[0].tombstone_life_ms", "shorter"},
      {"superseded_share = 0.5", "superseded_share = 1.5", "stream[0].superseded_share", "out of range"},
      {"[latest]", "[later]", "stream", "no [latest]"},
      {"[[stream]]", "[stream]", "stream", "it is a table"},
  };
  for (const auto& mutation : all) {
    SCOPED_TRACE(std::string(mutation.from) + " -> " + mutation.to);
    auto text = shipped();
    text.erase(text.find("# [[stream]]"));
    text += stream_text;
    auto at = text.find(mutation.from);
    ASSERT_NE(at, std::string::npos);
    text.replace(at, std::string(mutation.from).size(), mutation.to);
    try {
      read_text(text);
      ADD_FAILURE() << "taken";
    } catch (const fleet::BadFleetFile& error) {
      std::string error_text = error.what();
      EXPECT_NE(error_text.find(std::string(", ") + mutation.key), std::string::npos) << error_text;
      EXPECT_NE(error_text.find(mutation.reason), std::string::npos) << error_text;
      EXPECT_NE(error_text.find("): "), std::string::npos) << error_text;
    }
  }
}

TEST(FleetConfig, ReportsTheLine) {
  auto error_text = [](const std::string& text) -> std::string {
    try {
      return read_text(text), "taken";
    } catch (const fleet::BadFleetFile& error) { return error.what(); }
  };
  EXPECT_NE(error_text("fleet = \"a\"\n\nnoise = 1\n[[member]]\nname=\"n1\"\nhall=\"h\"\nat=\"127.0.0.1:1\"\n"
                       "[link]\nqueue_kb=64\nframe_kb=64\n")
                .find(".toml:3, noise"),
            std::string::npos);
  EXPECT_NE(error_text("fleet = \"a\"\n[[member]]\nname=\"n1\"\nhall=\"h\"\n").find(".toml:2, member[0].at"),
            std::string::npos);
  EXPECT_NE(error_text("fleet = \"a\"\nfleet = \"b\"\n").find(".toml:2, column"), std::string::npos);
}

// `rockcrank check` reads the file named in the relay's configuration or in the environment.
TEST(FleetConfig, CheckCommandReadsTheFile) {
  auto folder = testing::TempDir() + "fleet-check-" + std::to_string(getpid());
  std::filesystem::create_directories(folder);
  auto check = [&](const std::string& fleet, const std::string& named, const std::string& variable) {
    std::ofstream(folder + "/fleet.toml") << fleet;
    std::ofstream(folder + "/relay.json")
        << R"({"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2",
      "state":"unused","limits":{"disk_mb":200},)"
        << named << R"("settings":{"limits":{"maxAttempts":2},"rules":{},"specifics":{},
      "classes":[{"name":"status","goalTimeUs":1,"deadlineUs":2,"repeat":"safe"}]}})";
    auto command = variable + " BALANCER_CONFIG=" + folder + "/relay.json " PROGRAM " check 2>&1";
    std::string error_text;
    FILE* pipe = popen(command.c_str(), "r");
    for (int c; (c = fgetc(pipe)) != EOF;) error_text += static_cast<char>(c);
    return std::pair(WEXITSTATUS(pclose(pipe)), error_text);
  };
  auto good = shipped(), bad = good + "colour = 1\n", path = folder + "/fleet.toml";
  auto named = "\"fleet\":\"" + path + "\",";
  EXPECT_EQ(check(good, named, ""), std::pair(0, std::string("n1: good\n")));
  EXPECT_EQ(check(bad, "", "").first, 0);  // not named, so not read
  for (const auto& [code, error_text] : {check(bad, named, ""), check(bad, "", "BALANCER_FLEET=" + path)}) {
    EXPECT_EQ(code, 1);
    EXPECT_NE(error_text.find("latest.colour): "), std::string::npos) << error_text;
  }
  std::filesystem::remove_all(folder);
}

TEST(FleetConfig, ReportsAnUnreadableFile) {
  for (const auto& path : {testing::TempDir() + "not-there.toml", testing::TempDir()}) try {
      read_fleet_file(path, "n1", retry_safety);
      ADD_FAILURE() << "taken";
    } catch (const fleet::BadFleetFile& error) {
      EXPECT_NE(std::string(error.what()).find("cannot be read (" + path), std::string::npos) << error.what();
    }
  try {
    read_text(std::string((1 << 20) + 1, '\n'));
    ADD_FAILURE() << "taken";
  } catch (const fleet::BadFleetFile& error) {
    EXPECT_NE(std::string(error.what()).find("too large"), std::string::npos) << error.what();
  }
}

}  // namespace
}  // namespace rockcrank::peer
