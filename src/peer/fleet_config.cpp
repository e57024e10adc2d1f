// Reads the fleet file with toml++. Every key is requested by name, type and range; a key that was not
// requested is reported as unknown. Values are never corrected or guessed.

#include "peer/fleet_config.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>

#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

#include "fleet/errors.h"
#include "settings/settings.h"

namespace rockcrank::peer {
namespace {

using fleet::BadFleetFile;

// Limits of the file.
constexpr std::size_t max_file_bytes = 1 << 20, max_members = 1000, max_name_bytes = 64;
// Shares of the relay's disk limit.
constexpr std::size_t reserved_state_bytes = 256 << 10, min_store_bytes = 128 << 10;
// Connections of unidentified peers, as in link.cpp, and those left for endpoints.
constexpr std::size_t max_unidentified_connections = 16, min_endpoint_connections = 4;
constexpr double day = 86'400'000, client_timeout = 400;  // ms; the client's own timeout for +OK
// In replication timeouts: one lost renewal must not end a lease.
constexpr double min_renewals_per_lease = 3;

const char* type_name(toml::node_type kind) {
  switch (kind) {
    case toml::node_type::string: return "a string";
    case toml::node_type::integer: return "an integer";
    case toml::node_type::floating_point: return "a number";
    case toml::node_type::boolean: return "true or false";
    case toml::node_type::array: return "a list";
    case toml::node_type::table: return "a table";
    default: return "a date or time";
  }
}

std::string format_number(double value) {
  auto integer = static_cast<long long>(value);
  if (static_cast<double>(integer) == value) return std::to_string(integer);
  std::string text = std::to_string(value);
  while (text.back() == '0') text.pop_back();
  return text;
}

// One table of the file. It tracks the requested keys and reports the others.
class Section {
 public:
  Section(const std::string& file, const toml::table& table, std::string name)
      : file_(file), table_(table), name_(std::move(name)) {}

  [[noreturn]] void fail(const std::string& key, const std::string& what, const std::string& remedy) const {
    const toml::node* node = key.empty() ? nullptr : table_.get(key);
    auto line = node ? node->source().begin.line : table_.source().begin.line;
    auto path = name_.empty() ? key : key.empty() ? name_ : name_ + "." + key;
    throw BadFleetFile(what, file_ + ":" + std::to_string(std::max<std::size_t>(line, 1)) + ", " + path,
                       remedy);
  }

  std::string text(const std::string& key) {
    const auto& node = require(key, {toml::node_type::string});
    auto value = node.as_string()->get();
    if (value.empty() || value.size() > max_name_bytes || !is_printable(value))
      fail(key, "the string is empty, too long, or contains spaces or non-ASCII bytes",
           "give 1 to " + std::to_string(max_name_bytes) + " printable ASCII characters without spaces");
    return value;
  }
  std::string string_or(const std::string& key, const std::string& fallback) {
    return has(key) ? text(key) : (requested_.insert(key), fallback);
  }
  bool boolean(const std::string& key) {
    return require(key, {toml::node_type::boolean}).as_boolean()->get();
  }
  double integer(const std::string& key, double low, double high) {
    return check_range(key, *require(key, {toml::node_type::integer}).value<double>(), low, high);
  }
  double number(const std::string& key, double low, double high) {
    return check_range(
        key, *require(key, {toml::node_type::floating_point, toml::node_type::integer}).value<double>(), low,
        high);
  }
  const toml::array& list(const std::string& key) {
    return *require(key, {toml::node_type::array}).as_array();
  }
  bool has(const std::string& key) const { return table_.contains(key); }
  std::optional<Section> subtable(const std::string& key) {
    if (!has(key)) return requested_.insert(key), std::nullopt;
    return Section(file_, *require(key, {toml::node_type::table}).as_table(), key);
  }
  std::vector<Section> subtables(const std::string& key) {
    std::vector<Section> found;
    if (!has(key)) return requested_.insert(key), found;
    const auto& nodes = list(key);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (!nodes[i].is_table())
        fail(key, "the list contains an item that is not a table", "write [[" + key + "]]");
      found.emplace_back(file_, *nodes[i].as_table(), key + "[" + std::to_string(i) + "]");
    }
    return found;
  }
  // Rejects unknown keys, so that a misspelt key does not go unnoticed.
  void check_unknown_keys() const {
    for (const auto& [key, node] : table_)
      if (!requested_.count(key.str()))
        fail(std::string(key.str()), "the key is unknown",
             "correct or remove it; deploy/fleet.toml shows all keys");
  }

 private:
  const toml::node& require(const std::string& key, std::initializer_list<toml::node_type> kinds) {
    requested_.insert(key);
    const toml::node* node = table_.get(key);
    if (!node) fail(key, "the key is missing", "add it; deploy/fleet.toml shows all keys");
    if (std::find(kinds.begin(), kinds.end(), node->type()) == kinds.end())
      fail(key, std::string("it is ") + type_name(node->type()),
           std::string("give ") + type_name(*kinds.begin()));
    return *node;
  }
  double check_range(const std::string& key, double value, double low, double high) const {
    if (!(value >= low && value <= high))
      fail(key, format_number(value) + " is out of range",
           "give a number from " + format_number(low) + " to " + format_number(high));
    return value;
  }

  const std::string& file_;
  const toml::table& table_;
  std::string name_;
  std::set<std::string, std::less<>> requested_;
};

toml::table parse_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text(max_file_bytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!file.eof() || file.bad())
    throw BadFleetFile(file.is_open() && !file.fail() ? "the file is too large" : "the file cannot be read",
                       path,
                       "have BALANCER_FLEET, or \"fleet\" in the configuration, name a readable fleet file");
  text.resize(static_cast<std::size_t>(file.gcount()));
  try {
    return toml::parse(text);
  } catch (const toml::parse_error& error) {
    throw BadFleetFile(std::string(error.description()),
                       path + ":" + std::to_string(error.source().begin.line) + ", column " +
                           std::to_string(error.source().begin.column),
                       "correct the line: it is not valid TOML, or repeats a key");
  }
}

void read_members(Section& file, const std::string& self_name, FleetConfig& config) {
  std::set<std::string> places;
  auto members = file.subtables("member");
  if (members.empty() || members.size() > max_members)
    file.fail("member", std::to_string(members.size()) + " members",
              "give each relay of the fleet one [[member]], " + std::to_string(max_members) + " at most");
  for (auto& entry : members) {
    fleet::Member member{{}, entry.text("name"), entry.text("hall")};
    member.id = fleet::MemberId(fnv1a_hash(member.name));
    Address at;
    try {
      at = parse_address(entry.text("at"));
    } catch (const BadFleetFile&) { throw; } catch (const std::exception& error) {
      entry.fail("at", error.what(), "give an IPv4 address and a port, as 10.0.0.1:7946");
    }
    if (at.port == 0) entry.fail("at", "the port is 0", "give the port on which it listens for members");
    entry.check_unknown_keys();
    if (!config.addresses.emplace(member.id, at).second)
      entry.fail("name", "the member " + member.name + " is listed twice", "give each relay a unique name");
    if (!places.insert(at.host + ":" + std::to_string(at.port)).second)
      entry.fail("at", "two members have one address", "give each relay a unique address");
    config.roster.push_back(std::move(member));
  }
  std::sort(config.roster.begin(), config.roster.end(),
            [](const auto& one, const auto& other) { return one.id < other.id; });
  config.self_name = file.string_or("self", self_name);
  config.self = fleet::MemberId(fnv1a_hash(config.self_name));
  if (!config.addresses.count(config.self))
    file.fail("self", "this relay, " + config.self_name + ", is not a member",
              "add a [[member]] of that name, or set self to this relay's member name");
}

// Largest custody message: a batch, or one document larger than that.
constexpr std::size_t max_document_frame_bytes = 192 * 1024;

void read_documents(Section& documents, std::size_t members, FleetConfig& config) {
  config.replica_count = static_cast<int>(documents.integer("copies", 0, 2));
  if (config.replica_count == 1)
    documents.fail("copies", "the owner and one copy cannot form a majority", "give 0 or 2");
  if (config.replica_count > 0 && members < static_cast<std::size_t>(config.replica_count) + 1)
    documents.fail("copies",
                   "there are only " + std::to_string(members) + " members for an owner and 2 copies",
                   "list at least 3 members, or give 0");
  config.wait_for_replica = documents.boolean("wait");
  config.replication_timeout = documents.integer("copy_within_ms", 1, client_timeout);
  config.lease_duration = documents.integer("lease_ms", 1, day);
  config.max_clock_drift = documents.number("drift", 0, 0.2);
  documents.check_unknown_keys();
  if (config.wait_for_replica && config.replica_count == 0)
    documents.fail("wait", "there is no copy to wait for", "set copies to 2, or wait to false");
  // Otherwise one late message could end the ownership; the drift counts at both ends.
  if (auto min_lease = min_renewals_per_lease * config.replication_timeout / (1 - config.max_clock_drift);
      config.lease_duration < min_lease)
    documents.fail(
        "lease_ms", "the lease is too short for copy_within_ms",
        "give " + format_number(static_cast<double>(static_cast<long long>(min_lease) + 1)) + " or more");
}

void read_warm(Section& warm, FleetConfig& config) {
  config.warmup_enabled = warm.boolean("on");
  config.warmup_max_neighbours = static_cast<int>(warm.integer("neighbours", 1, 16));
  config.warmup_max_connections = static_cast<int>(warm.integer("connections", 0, 65536));
  config.warmup_max_list_items = static_cast<int>(warm.integer("list", 1, 4096));
  config.warmup_max_bytes = static_cast<std::size_t>(warm.integer("body_kb", 0, 1 << 20)) * 1024;
  config.warmup_time_limit = warm.integer("within_ms", 1, day);
  warm.check_unknown_keys();
}

void read_latest(Section& latest, FleetConfig& config) {
  config.max_log_disk_bytes = static_cast<std::size_t>(latest.integer("disk_mb", 1, 1 << 20)) << 20;
  config.segment_bytes = static_cast<std::size_t>(latest.integer("segment_kb", 1, 1 << 16)) * 1024;
  config.max_clock_offset = latest.integer("version_ahead_ms", 0, day);
  latest.check_unknown_keys();
  // A compaction needs space for its copy before the old segment can be deleted.
  if (config.segment_bytes * 4 > config.max_log_disk_bytes)
    latest.fail("segment_kb", "four segments do not fit in disk_mb", "give smaller segments or more disk");
}

void read_stream(Section& entry, const std::map<std::string, RetrySafety>& retry_safety,
                 FleetConfig& config) {
  FleetConfig::Stream stream;
  stream.type = entry.text("type");
  auto type = retry_safety.find(stream.type);
  if (type == retry_safety.end())
    entry.fail("type", "the document type " + stream.type + " is unknown",
               "name a document type of the relay's configuration");
  // A non-idempotent document must not be delivered twice, as could happen when a subscriber is taken over.
  if (type->second == RetrySafety::unsafe)
    entry.fail("type", "the document type " + stream.type + " is not safe to repeat",
               "only replayable and numbered document types may be streams");
  for (const auto& other : config.streams)
    if (other.type == stream.type)
      entry.fail("type", "the stream " + stream.type + " is listed twice",
                 "give each document type one [[stream]]");
  if (entry.text("keep") != "latest") entry.fail("keep", "it is not \"latest\"", "give \"latest\"");
  for (const auto& node : entry.list("subscribers")) {
    auto number = node.value_exact<std::int64_t>();
    if (!number || *number < 0)
      entry.fail("subscribers", "an item is not a destination number", "give destination numbers");
    if (!stream.subscribers.insert(DestinationId(*number)).second)
      entry.fail("subscribers", "destination " + std::to_string(*number) + " is listed twice",
                 "name it once");
  }
  stream.tombstone_retention = entry.integer("tombstone_life_ms", 0, 400 * day);
  stream.min_compaction_lag = entry.integer("least_age_ms", 0, 400 * day);
  stream.min_dirty_ratio = entry.number("superseded_share", 0.01, 1);
  entry.check_unknown_keys();
  if (stream.tombstone_retention < stream.min_compaction_lag)
    entry.fail("tombstone_life_ms", "it is shorter than least_age_ms", "give least_age_ms or more");
  config.streams.push_back(std::move(stream));
}

}  // namespace

FleetConfig read_fleet_file(const std::string& path, const std::string& self_name,
                            const std::map<std::string, RetrySafety>& retry_safety) {
  auto table = parse_file(path);
  Section file(path, table, "");
  FleetConfig config;
  config.fleet_name = file.text("fleet");
  read_members(file, self_name, config);
  auto link = file.subtable("link");
  if (!link) file.fail("link", "the section is missing", "add [link] with queue_kb and frame_kb");
  config.max_queue_bytes = static_cast<std::size_t>(link->integer("queue_kb", 4, 1 << 20)) * 1024;
  config.max_frame_bytes = static_cast<std::size_t>(link->integer("frame_kb", 4, 1 << 16)) * 1024;
  link->check_unknown_keys();
  if (config.max_frame_bytes > config.max_queue_bytes)
    link->fail("frame_kb", "one message does not fit in queue_kb", "give queue_kb or less");
  if (auto share = file.subtable("share"))
    config.shared_state_enabled = share->boolean("on"), share->check_unknown_keys();
  if (auto documents = file.subtable("documents")) read_documents(*documents, config.roster.size(), config);
  if (config.replica_count > 0 && config.max_frame_bytes < max_document_frame_bytes)
    link->fail("frame_kb", "a document with its replication state may not fit in one message",
               "give 192 or more, or documents.copies = 0");
  if (auto warm = file.subtable("warm")) read_warm(*warm, config);
  if (auto latest = file.subtable("latest")) read_latest(*latest, config);
  for (auto& entry : file.subtables("stream")) {
    read_stream(entry, retry_safety, config);
    if (!file.has("latest"))
      file.fail("stream", "there is a stream but no [latest]",
                "add [latest] with disk_mb, segment_kb and more");
  }
  file.check_unknown_keys();
  return config;
}

std::size_t reserved_disk_bytes(const std::optional<FleetConfig>& config) {
  return config ? reserved_state_bytes + config->max_log_disk_bytes : 0;
}

std::size_t reserved_descriptors(const std::optional<FleetConfig>& config) {
  return config ? 3 * config->roster.size() + max_unidentified_connections : 0;
}

std::optional<FleetConfig> load_fleet_config(const Config& relay) {
  if (relay.fleet_file.empty()) return std::nullopt;
  std::optional config = read_fleet_file(relay.fleet_file, relay.name, relay.retry_safety_by_type());
  if (relay.max_disk_bytes < reserved_disk_bytes(config) + min_store_bytes)
    throw BadFleetFile(
        "the fleet components would use " + format_number(static_cast<double>(reserved_disk_bytes(config))) +
            " of " + format_number(static_cast<double>(relay.max_disk_bytes)) + " bytes on disk",
        relay.fleet_file + ", latest.disk_mb", "lower it, or raise limits.disk_mb of the relay");
  if (relay.max_endpoint_connections < reserved_descriptors(config) + min_endpoint_connections)
    throw BadFleetFile(
        format_number(static_cast<double>(config->roster.size())) + " members may take " +
            format_number(static_cast<double>(reserved_descriptors(config))) + " of " +
            format_number(static_cast<double>(relay.max_endpoint_connections)) + " connections",
        relay.fleet_file + ", member", "raise limits.sockets of the relay, or name fewer members");
  return config;
}

}  // namespace rockcrank::peer
