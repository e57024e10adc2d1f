// Missing or invalid configuration throws; nothing is guessed.

#include "relay/config.h"

#include <sys/resource.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

#include "relay/admin.h"
#include "relay/log.h"
#include "settings/settings.h"

namespace rockcrank {
namespace {

using Json = nlohmann::json;

constexpr std::size_t reserved_descriptors = 16;  // files, agent, listener, signals, stdin, stdout, stderr

std::string to_text(const Json& value) {
  if (value.is_string()) return value.get<std::string>();
  if (value.is_null()) return "-";
  return value.dump();
}

// Flattens nested JSON to the dotted paths that the simulator's protocol uses for the same settings.
void flatten(const Json& value, const std::string& path, KeyValues& pairs) {
  auto under = [&](const std::string& name) { return path.empty() ? name : path + "." + name; };
  if (value.is_object()) {
    for (const auto& [name, inner] : value.items()) flatten(inner, under(name), pairs);
  } else if (value.is_array()) {
    bool objects = std::any_of(value.begin(), value.end(), [](const Json& item) { return item.is_object(); });
    std::string joined;
    for (std::size_t i = 0; i < value.size(); ++i) {
      if (objects) flatten(value[i], under(std::to_string(i)), pairs);
      else joined.append(i > 0 ? "," : "").append(to_text(value[i]));
    }
    if (objects) pairs.set(under("count"), std::to_string(value.size()));
    else pairs.set(path, joined);
  } else {
    pairs.set(path, to_text(value));
  }
}

template <typename Id>
std::unordered_map<std::string, Id> ids_by_name(const std::vector<std::string_view>& names) {
  std::unordered_map<std::string, Id> numbers;
  for (std::size_t i = 0; i < names.size(); ++i) numbers[std::string(names[i])] = Id(i);
  return numbers;
}

template <typename Id>
Id find_id(const std::unordered_map<std::string, Id>& names, const Json& target, const char* field) {
  auto value = target.find(field);
  if (value == target.end()) return Id{};
  auto found = names.find(to_text(*value));
  return found == names.end() ? Id{} : found->second;
}

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

// Collects the keys of nested objects as paths. Array elements are not included: they may be added and
// removed.
void collect_keys(const Json& object, const std::string& path, std::set<std::string>& keys) {
  for (const auto& [name, inner] : object.items()) {
    keys.insert(path + name);
    if (inner.is_object()) collect_keys(inner, path + name + ".", keys);
  }
}

// The paths that a reloaded file must still hold: its settings, and the relay's name and addresses.
std::set<std::string> required_keys_of(const Json& json) {
  std::set<std::string> keys;
  collect_keys(json.at("settings"), "settings.", keys);
  for (const char* name : {"name", "listen", "discovery", "limits", "settings"})
    if (json.contains(name)) keys.insert(name);
  // A field that all document types have must stay in all of them.
  const Json& types = json.at("settings").at("classes");
  for (const auto& [field, value] : types.at(0).items())
    if (std::all_of(types.begin(), types.end(), [&](const Json& type) { return type.contains(field); }))
      keys.insert("settings.classes.*." + field);
  return keys;
}

// Rejects values by which no document could ever be accepted, or every document would expire at once.
void validate(const Json& json) {
  auto positive = [](const Json& where, const char* field, const std::string& place) {
    auto found = where.find(field);
    if (found == where.end() || !found->is_number() || found->get<double>() <= 0)
      throw std::runtime_error(place + "." + field + " must be a positive number");
  };
  if (!json.contains("settings")) throw std::runtime_error("settings is missing");
  const Json& settings = json.at("settings");
  if (!settings.is_object()) throw std::runtime_error("settings must be an object");
  auto is_set = [](const Json& where, const char* field) {
    return where.is_object() && where.contains(field) && !where[field].is_null();
  };
  auto limits = settings.value("limits", Json::object()), rules = settings.value("rules", Json::object());
  positive(limits, "maxAttempts", "settings.limits");
  if (is_set(limits, "dialTimeoutUs")) positive(limits, "dialTimeoutUs", "settings.limits");
  if (is_set(rules, "orderSettleUs") &&
      (!rules["orderSettleUs"].is_number() || rules["orderSettleUs"].get<double>() < 0))
    throw std::runtime_error("settings.rules.orderSettleUs must be a number, 0 or greater");
  auto types = settings.value("classes", Json::array());
  if (!types.is_array() || types.empty())
    throw std::runtime_error("settings.classes must list at least one document type");
  std::set<std::string> names;
  for (std::size_t i = 0; i < types.size(); ++i) {
    auto place = "settings.classes." + std::to_string(i);
    if (!types[i].is_object()) throw std::runtime_error(place + " must be an object");
    for (const char* field : {"deadlineUs", "goalTimeUs"}) positive(types[i], field, place);
    if (is_set(types[i], "worth")) positive(types[i], "worth", place);
    if (is_set(types[i], "inOrder") && !types[i]["inOrder"].is_boolean())
      throw std::runtime_error(place + ".inOrder must be true or false");
    for (const char* field : {"name", "repeat"})
      if (!types[i].contains(field) || !types[i][field].is_string() || types[i][field] == "")
        throw std::runtime_error(place + "." + field + " is missing");
    if (!names.insert(types[i]["name"].get<std::string>()).second)
      throw std::runtime_error(place + ".name is not unique");
  }
}

// Ids of kinds and zones are in use by held documents and listed endpoints, so a change of them takes effect
// only at the next start. Tenants may be added and removed; known ones keep their ids.
void keep_assigned_ids(const Config& before, Config& config) {
  config.kinds = before.kinds, config.settings.destination_kinds = before.settings.destination_kinds;
  config.zones = before.zones, config.settings.zone = before.settings.zone;
  auto tenants = before.tenants;
  auto rates = before.settings.tenant_rates;
  for (const auto& [name, number] : config.tenants) {
    auto at = static_cast<std::size_t>(tenants.try_emplace(name, TenantId(tenants.size())).first->second);
    rates.resize(std::max(rates.size(), at + 1));
    rates[at] = config.settings.tenant_rates.at(static_cast<std::size_t>(number));
  }
  config.tenants = std::move(tenants), config.settings.tenant_rates = std::move(rates);
}

std::string environment_or_file(const Json& json, const char* variable, const char* field) {
  auto value = environment(variable);
  return value.empty() ? json.value(field, "") : value;
}

Json read_file() {
  auto path = environment("BALANCER_CONFIG");
  if (path.empty()) throw std::runtime_error("BALANCER_CONFIG is not set");
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read the configuration file " + path);
  return Json::parse(file);
}

}  // namespace

EndpointListUpdate Config::parse_endpoint_list(const Json& answer) const {
  EndpointListUpdate list;
  list.version = answer.at("rev").get<std::int64_t>();
  list.full = answer.at("all").get<bool>();
  for (const auto& target : answer.at("targets")) try {
      ListedEndpoint listed;
      auto state = target.at("state").get<std::string>();
      listed.entry.endpoint = EndpointId(fnv1a_hash(target.at("uid").get<std::string>()));
      // A draining or gone endpoint may be listed by its id alone.
      bool needed = state == "Ready";
      if (needed || target.contains("pod_group"))
        listed.entry.destination = DestinationId(target.at("pod_group").get<std::uint64_t>());
      listed.entry.kind = find_id(kinds, target, "model");
      listed.entry.zone = find_id(zones, target, "az");
      listed.entry.status = needed            ? EndpointStatus::ready
                            : state == "Gone" ? EndpointStatus::gone
                                              : EndpointStatus::draining;
      listed.started_at = target.value("boot_ms", 0.0);
      listed.entry.listed_rate = target.value("capacity_hint", 0.0);
      if (needed || target.contains("endpoint"))
        listed.address = parse_address(target.at("endpoint").get<std::string>());
      list.entries.push_back(std::move(listed));
    } catch (const std::exception& error) {
      log_line("discovery: list entry skipped: %s", error.what());  // the other entries are valid
    }
  return list;
}

std::map<std::string, RetrySafety> Config::retry_safety_by_type() const {
  std::map<std::string, RetrySafety> repeats;
  for (const auto& [name, type] : doc_types) repeats[name] = type.retry_safety;
  return repeats;
}

Address read_admin_address() {
  auto at = environment("BALANCER_ADMIN");
  if (at.empty()) at = read_file().value("admin", "");
  if (at.empty()) throw std::runtime_error("neither BALANCER_ADMIN nor 'admin' is set");
  return parse_address(at);
}

Config read_config(const Config* before) {
  Json json = read_file();
  if (!json.is_object()) throw std::runtime_error("the configuration file must hold a JSON object");
  auto required = [&](const char* variable, const char* field) {
    auto value = environment_or_file(json, variable, field);
    if (value.empty())
      throw std::runtime_error(std::string("neither ") + variable + " nor '" + field + "' is set");
    return value;
  };
  Config config;
  config.name = required("BALANCER_NAME", "name");
  config.listen = parse_address(required("BALANCER_LISTEN", "listen"));
  // Only the file can change while the relay runs, so its discovery address takes precedence.
  auto discovery = json.value("discovery", "");
  config.discovery =
      parse_address(discovery.empty() ? required("BALANCER_DISCOVERY", "discovery") : discovery);
  if (auto passed = environment("BALANCER_PASSED_SOCKET"); !passed.empty())
    config.inherited_socket = static_cast<int>(parse_integer(passed, "BALANCER_PASSED_SOCKET", 0, 1 << 20));
  config.state_folder = required("BALANCER_STATE", "state");
  config.fleet_file = environment_or_file(json, "BALANCER_FLEET", "fleet");
  auto seed = json.find("seed");
  if (seed != json.end()) config.seed = fnv1a_hash(to_text(*seed));
  auto limits = json.value("limits", Json::object());
  auto sockets = limits.value("sockets", std::size_t{256});
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) == 0)
    sockets = std::min(sockets, static_cast<std::size_t>(files.rlim_cur));
  auto admin = environment_or_file(json, "BALANCER_ADMIN", "admin");
  if (!admin.empty()) config.admin = parse_address(admin);
  auto reserved = reserved_descriptors + (admin.empty() ? 0 : AdminServer::max_connections + 1);
  if (sockets < reserved + 4)
    throw std::runtime_error("too few sockets (limits.sockets or RLIMIT_NOFILE): " + std::to_string(sockets));
  config.max_client_connections = (sockets - reserved) / 2;
  config.max_idle_clients = sockets / 6;  // half of the connections that the platform allows clients
  config.max_endpoint_connections = sockets - reserved - config.max_client_connections;
  config.max_disk_bytes = static_cast<std::size_t>(limits.value("disk_mb", 1.0) * 1e6);
  config.max_memory_bytes = static_cast<std::size_t>(limits.value("memory_mb", 0.0) * 1e6);
  validate(json);
  config.required_keys = required_keys_of(json);
  for (const auto& key : before ? before->required_keys : std::set<std::string>{})
    if (!config.required_keys.count(key)) throw std::runtime_error("the key " + key + " is missing");
  KeyValues pairs;
  flatten(json.at("settings"), "", pairs);
  config.settings = decode_settings(pairs);
  // There cannot be more concurrent calls than connections.
  config.settings.slots = std::min(config.settings.slots, static_cast<int>(config.max_endpoint_connections));
  config.settings.end_reports_acknowledged = true;  // by the agent's response to a report
  config.settings.discovery_on_request = true;      // list changes arrive only while the list is watched
  auto names = [&](const std::string& list) {
    std::vector<std::string_view> found;
    for (int i = 0; i < pairs.count(list + ".count"); ++i)
      found.push_back(pairs.text(list + "." + std::to_string(i) + ".name"));
    return found;
  };
  auto types = names("classes");
  for (std::size_t i = 0; i < types.size(); ++i)
    config.doc_types[std::string(types[i])] = config.settings.doc_types.at(i);
  config.tenants = ids_by_name<TenantId>(names("orgs"));
  config.kinds = ids_by_name<DestinationKindId>(pairs.list("skus"));
  config.zones = ids_by_name<ZoneId>(pairs.list("zones"));
  if (before) keep_assigned_ids(*before, config);
  config.gossip_allowed =
      pairs.flag("limits.peerMessages") && json.contains("peer_listen") && json.contains("peers_all");
  if (config.gossip_allowed) {
    config.peer_listen = parse_address(json["peer_listen"].get<std::string>());
    config.peer_broadcast = parse_address(json["peers_all"].get<std::string>());
  }
  config.idle_timeout = pairs.duration("limits.keepaliveUs");
  if (auto known = json.find("known"); known != json.end() && known->is_object())
    config.known_endpoints = config.parse_endpoint_list(*known);
  for (const char* reloadable : {"discovery", "known", "seed", "admin"}) json.erase(reloadable);
  Json numbered{json["settings"].value("skus", Json{}), json["settings"].value("zones", Json{})};
  json["settings"] = numbered;
  config.numbering_hash = before ? before->numbering_hash : std::to_string(fnv1a_hash(numbered.dump()));
  config.restart_only_hash = fnv1a_hash(json.dump());
  return config;
}

}  // namespace rockcrank
