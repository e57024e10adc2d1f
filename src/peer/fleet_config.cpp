// Reads the fleet file by toml++; fleet_config.h says what it owns. Every key is asked for by name, with its
// kind and range; what was not asked for is unknown. It must never correct or guess a value.

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

// What a file may tell at most; none of these is a tuned value.
constexpr std::size_t file_most = 1 << 20, members_most = 1000, name_most = 64;
constexpr std::size_t state_bytes = 256 << 10, store_least = 128 << 10;  // of the relay's room on disk
constexpr std::size_t strangers_most = 16, connections_least = 4;        // as the link allows; for endpoints
constexpr double day = 86'400'000, client_patience = 400;  // ms; the client's own limit on its +OK
constexpr double renewals_in_lease = 3;  // of a copy's round trip: one lost renewal must not end a lease

const char* kind_name(toml::node_type kind) {
  switch (kind) {
    case toml::node_type::string: return "a text";
    case toml::node_type::integer: return "a whole number";
    case toml::node_type::floating_point: return "a number";
    case toml::node_type::boolean: return "true or false";
    case toml::node_type::array: return "a list";
    case toml::node_type::table: return "a section";
    default: return "a date or time";
  }
}

std::string plain(double value) {
  auto whole = static_cast<long long>(value);
  if (static_cast<double>(whole) == value) return std::to_string(whole);
  std::string text = std::to_string(value);
  while (text.back() == '0') text.pop_back();
  return text;
}

// One table of the file: it remembers what was asked for, and names what was not.
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
    const auto& node = need(key, {toml::node_type::string});
    auto value = node.as_string()->get();
    if (value.empty() || value.size() > name_most || !is_printable(value))
      fail(key, "the text is empty, too long, or holds spaces or bytes beyond ASCII",
           "give 1 to " + std::to_string(name_most) + " printable ASCII characters without spaces");
    return value;
  }
  std::string text_or(const std::string& key, const std::string& absent) {
    return has(key) ? text(key) : (asked_.insert(key), absent);
  }
  bool flag(const std::string& key) { return need(key, {toml::node_type::boolean}).as_boolean()->get(); }
  double whole(const std::string& key, double low, double high) {
    return within(key, *need(key, {toml::node_type::integer}).value<double>(), low, high);
  }
  double share(const std::string& key, double low, double high) {
    return within(key,
                  *need(key, {toml::node_type::floating_point, toml::node_type::integer}).value<double>(),
                  low, high);
  }
  const toml::array& list(const std::string& key) { return *need(key, {toml::node_type::array}).as_array(); }
  bool has(const std::string& key) const { return table_.contains(key); }
  std::optional<Section> part(const std::string& key) {
    if (!has(key)) return asked_.insert(key), std::nullopt;
    return Section(file_, *need(key, {toml::node_type::table}).as_table(), key);
  }
  std::vector<Section> parts(const std::string& key) {
    std::vector<Section> found;
    if (!has(key)) return asked_.insert(key), found;
    const auto& nodes = list(key);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (!nodes[i].is_table()) fail(key, "the list holds what is no section", "write [[" + key + "]]");
      found.emplace_back(file_, *nodes[i].as_table(), key + "[" + std::to_string(i) + "]");
    }
    return found;
  }
  // Guards against a key that is misspelt and silently without effect.
  void done() const {
    for (const auto& [key, node] : table_)
      if (!asked_.count(key.str()))
        fail(std::string(key.str()), "the key is unknown",
             "correct or remove it; deploy/fleet.toml shows all keys");
  }

 private:
  const toml::node& need(const std::string& key, std::initializer_list<toml::node_type> kinds) {
    asked_.insert(key);
    const toml::node* node = table_.get(key);
    if (!node) fail(key, "the key is missing", "add it; deploy/fleet.toml shows all keys");
    if (std::find(kinds.begin(), kinds.end(), node->type()) == kinds.end())
      fail(key, std::string("it is ") + kind_name(node->type()),
           std::string("give ") + kind_name(*kinds.begin()));
    return *node;
  }
  double within(const std::string& key, double value, double low, double high) const {
    if (!(value >= low && value <= high))
      fail(key, plain(value) + " is out of range", "give a number from " + plain(low) + " to " + plain(high));
    return value;
  }

  const std::string& file_;
  const toml::table& table_;
  std::string name_;
  std::set<std::string, std::less<>> asked_;
};

toml::table parsed(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text(file_most + 1, '\0');
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
                       "correct the line: it is no TOML, or gives a key twice");
  }
}

void read_members(Section& file, const std::string& self_name, FleetConfig& config) {
  std::set<std::string> places;
  auto members = file.parts("member");
  if (members.empty() || members.size() > members_most)
    file.fail("member", std::to_string(members.size()) + " members",
              "give each relay of the fleet one [[member]], " + std::to_string(members_most) + " at most");
  for (auto& entry : members) {
    fleet::Member member{{}, entry.text("name"), entry.text("hall")};
    member.id = fleet::MemberId(fnv1a_hash(member.name));
    Address at;
    try {
      at = parse_address(entry.text("at"));
    } catch (const BadFleetFile&) { throw; } catch (const std::exception& error) {
      entry.fail("at", error.what(), "give an IPv4 address and a port, as 10.0.0.1:7946");
    }
    if (at.port == 0) entry.fail("at", "the port is 0", "give the port at which it listens to members");
    entry.done();
    if (!config.addresses.emplace(member.id, at).second)
      entry.fail("name", "the member " + member.name + " stands twice", "give each relay a name of its own");
    if (!places.insert(at.host + ":" + std::to_string(at.port)).second)
      entry.fail("at", "two members are at one address", "give each relay an address of its own");
    config.roster.push_back(std::move(member));
  }
  std::sort(config.roster.begin(), config.roster.end(),
            [](const auto& one, const auto& other) { return one.id < other.id; });
  config.self_name = file.text_or("self", self_name);
  config.self = fleet::MemberId(fnv1a_hash(config.self_name));
  if (!config.addresses.count(config.self))
    file.fail("self", "this relay, " + config.self_name + ", is no member",
              "add a [[member]] of that name, or set self to the member that it is");
}

// The largest message of custody: a batch, and one document larger than it.
constexpr std::size_t document_frame = 192 * 1024;

void read_documents(Section& documents, std::size_t members, FleetConfig& config) {
  config.replica_count = static_cast<int>(documents.whole("copies", 0, 2));
  if (config.replica_count == 1)
    documents.fail("copies", "one copy and the owner are no majority of three", "give 0 or 2");
  if (config.replica_count > 0 && members < static_cast<std::size_t>(config.replica_count) + 1)
    documents.fail("copies",
                   "there are only " + std::to_string(members) + " members for an owner and 2 copies",
                   "list at least 3 members, or give 0");
  config.wait_for_replica = documents.flag("wait");
  config.replication_timeout = documents.whole("copy_within_ms", 1, client_patience);
  config.lease_duration = documents.whole("lease_ms", 1, day);
  config.max_clock_drift = documents.share("drift", 0, 0.2);
  documents.done();
  if (config.wait_for_replica && config.replica_count == 0)
    documents.fail("wait", "there is no copy to wait for", "set copies to 2, or wait to false");
  // Guards against ownership lost each time that one message is late: the drift is taken off at both ends.
  if (auto least = renewals_in_lease * config.replication_timeout / (1 - config.max_clock_drift);
      config.lease_duration < least)
    documents.fail("lease_ms", "the lease is too short against copy_within_ms",
                   "give " + plain(static_cast<double>(static_cast<long long>(least) + 1)) + " or more");
}

void read_warm(Section& warm, FleetConfig& config) {
  config.warmup_enabled = warm.flag("on");
  config.warmup_max_neighbours = static_cast<int>(warm.whole("neighbours", 1, 16));
  config.warmup_max_connections = static_cast<int>(warm.whole("connections", 0, 65536));
  config.warmup_max_list_items = static_cast<int>(warm.whole("list", 1, 4096));
  config.warmup_max_bytes = static_cast<std::size_t>(warm.whole("body_kb", 0, 1 << 20)) * 1024;
  config.warmup_time_limit = warm.whole("within_ms", 1, day);
  warm.done();
}

void read_latest(Section& latest, FleetConfig& config) {
  config.max_log_disk_bytes = static_cast<std::size_t>(latest.whole("disk_mb", 1, 1 << 20)) << 20;
  config.segment_bytes = static_cast<std::size_t>(latest.whole("segment_kb", 1, 1 << 16)) * 1024;
  config.max_clock_offset = latest.whole("version_ahead_ms", 0, day);
  latest.done();
  // A compaction needs room for what it writes anew before the old segment may go.
  if (config.segment_bytes * 4 > config.max_log_disk_bytes)
    latest.fail("segment_kb", "four segments do not fit in disk_mb", "give smaller segments or more disk");
}

void read_stream(Section& entry, const std::map<std::string, RetrySafety>& repeats, FleetConfig& config) {
  FleetConfig::Stream stream;
  stream.type = entry.text("type");
  auto type = repeats.find(stream.type);
  if (type == repeats.end())
    entry.fail("type", "the document type " + stream.type + " is unknown",
               "name a document type of the relay's configuration");
  // Guards against a binding document delivered twice: a subscriber taken over may have an effect again.
  if (type->second == RetrySafety::unsafe)
    entry.fail("type", "the document type " + stream.type + " is binding",
               "only replayable and numbered document types may be streams");
  for (const auto& other : config.streams)
    if (other.type == stream.type)
      entry.fail("type", "the stream " + stream.type + " stands twice",
                 "give each document type one [[stream]]");
  if (entry.text("keep") != "latest") entry.fail("keep", "it is not \"latest\"", "give \"latest\"");
  for (const auto& node : entry.list("subscribers")) {
    auto number = node.value_exact<std::int64_t>();
    if (!number || *number < 0)
      entry.fail("subscribers", "the list holds what is no destination", "give destinations' numbers");
    if (!stream.subscribers.insert(DestinationId(*number)).second)
      entry.fail("subscribers", "destination " + std::to_string(*number) + " stands twice", "name it once");
  }
  stream.tombstone_retention = entry.whole("tombstone_life_ms", 0, 400 * day);
  stream.min_compaction_lag = entry.whole("least_age_ms", 0, 400 * day);
  stream.min_dirty_ratio = entry.share("superseded_share", 0.01, 1);
  entry.done();
  if (stream.tombstone_retention < stream.min_compaction_lag)
    entry.fail("tombstone_life_ms", "it is shorter than least_age_ms", "give least_age_ms or more");
  config.streams.push_back(std::move(stream));
}

}  // namespace

FleetConfig read_fleet_file(const std::string& path, const std::string& self_name,
                            const std::map<std::string, RetrySafety>& repeats) {
  auto table = parsed(path);
  Section file(path, table, "");
  FleetConfig config;
  config.fleet_name = file.text("fleet");
  read_members(file, self_name, config);
  auto link = file.part("link");
  if (!link) file.fail("link", "the section is missing", "add [link] with queue_kb and frame_kb");
  config.max_queue_bytes = static_cast<std::size_t>(link->whole("queue_kb", 4, 1 << 20)) * 1024;
  config.max_frame_bytes = static_cast<std::size_t>(link->whole("frame_kb", 4, 1 << 16)) * 1024;
  link->done();
  if (config.max_frame_bytes > config.max_queue_bytes)
    link->fail("frame_kb", "one message does not fit in queue_kb", "give queue_kb or less");
  if (auto share = file.part("share")) config.shared_state_enabled = share->flag("on"), share->done();
  if (auto documents = file.part("documents")) read_documents(*documents, config.roster.size(), config);
  if (config.replica_count > 0 && config.max_frame_bytes < document_frame)
    link->fail("frame_kb", "a document with what its copies know of it may not fit in one message",
               "give 192 or more, or documents.copies = 0");
  if (auto warm = file.part("warm")) read_warm(*warm, config);
  if (auto latest = file.part("latest")) read_latest(*latest, config);
  for (auto& entry : file.parts("stream")) {
    read_stream(entry, repeats, config);
    if (!file.has("latest"))
      file.fail("stream", "there is a stream but no [latest]",
                "add [latest] with disk_mb, segment_kb and more");
  }
  file.done();
  return config;
}

std::size_t reserved_disk_bytes(const std::optional<FleetConfig>& config) {
  return config ? state_bytes + config->max_log_disk_bytes : 0;
}

std::size_t reserved_descriptors(const std::optional<FleetConfig>& config) {
  return config ? 3 * config->roster.size() + strangers_most : 0;
}

std::optional<FleetConfig> load_fleet_config(const Config& relay) {
  if (relay.fleet_file.empty()) return std::nullopt;
  std::optional config = read_fleet_file(relay.fleet_file, relay.name, relay.retry_safety_by_type());
  if (relay.max_disk_bytes < reserved_disk_bytes(config) + store_least)
    throw BadFleetFile("its parts would take " + plain(static_cast<double>(reserved_disk_bytes(config))) +
                           " of " + plain(static_cast<double>(relay.max_disk_bytes)) + " bytes on disk",
                       relay.fleet_file + ", latest.disk_mb",
                       "lower it, or raise limits.disk_mb of the relay");
  if (relay.max_endpoint_connections < reserved_descriptors(config) + connections_least)
    throw BadFleetFile(plain(static_cast<double>(config->roster.size())) + " members may take " +
                           plain(static_cast<double>(reserved_descriptors(config))) + " of " +
                           plain(static_cast<double>(relay.max_endpoint_connections)) + " connections",
                       relay.fleet_file + ", member",
                       "raise limits.sockets of the relay, or name fewer members");
  return config;
}

}  // namespace rockcrank::peer
