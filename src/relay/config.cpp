// Reads the environment and the configuration file; config.h says what it owns. What is missing or wrong ends
// in an exception with a plain text, never in a guess.

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

constexpr std::size_t spare_descriptors = 16;  // files, agent, listener, signals and the three standard ones

std::string plain(const Json& value) {
  if (value.is_string()) return value.get<std::string>();
  if (value.is_null()) return "-";
  return value.dump();
}

// Nested JSON as the paths that the simulator's first message uses for the same settings.
void flatten(const Json& value, const std::string& path, Pairs& pairs) {
  auto under = [&](const std::string& name) { return path.empty() ? name : path + "." + name; };
  if (value.is_object()) {
    for (const auto& [name, inner] : value.items()) flatten(inner, under(name), pairs);
  } else if (value.is_array()) {
    bool objects = std::any_of(value.begin(), value.end(), [](const Json& item) { return item.is_object(); });
    std::string joined;
    for (std::size_t i = 0; i < value.size(); ++i) {
      if (objects) flatten(value[i], under(std::to_string(i)), pairs);
      else joined.append(i > 0 ? "," : "").append(plain(value[i]));
    }
    if (objects) pairs.set(under("count"), std::to_string(value.size()));
    else pairs.set(path, joined);
  } else {
    pairs.set(path, plain(value));
  }
}

template <typename Id>
std::unordered_map<std::string, Id> numbered_names(const std::vector<std::string_view>& names) {
  std::unordered_map<std::string, Id> numbers;
  for (std::size_t i = 0; i < names.size(); ++i) numbers[std::string(names[i])] = Id(i);
  return numbers;
}

template <typename Id>
Id number_of(const std::unordered_map<std::string, Id>& names, const Json& target, const char* field) {
  auto value = target.find(field);
  if (value == target.end()) return Id{};
  auto found = names.find(plain(*value));
  return found == names.end() ? Id{} : found->second;
}

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

Json read_file() {
  auto path = environment("BALANCER_CONFIG");
  if (path.empty()) throw std::runtime_error("BALANCER_CONFIG names no configuration file");
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read the configuration file " + path);
  return Json::parse(file);
}

}  // namespace

ListAnswer Config::to_list(const Json& answer) const {
  ListAnswer list;
  list.version = answer.at("rev").get<std::int64_t>();
  list.whole = answer.at("all").get<bool>();
  for (const auto& target : answer.at("targets")) try {
      Listed listed;
      auto state = target.at("state").get<std::string>();
      listed.entry.endpoint = EndpointId(hash_of(target.at("uid").get<std::string>()));
      // One that drains or is gone may be told by its name alone.
      bool needed = state == "Ready";
      if (needed || target.contains("pod_group"))
        listed.entry.destination = DestinationId(target.at("pod_group").get<std::uint64_t>());
      listed.entry.kind = number_of(kinds, target, "model");
      listed.entry.hall = number_of(halls, target, "az");
      listed.entry.standing = needed            ? Standing::listed
                              : state == "Gone" ? Standing::gone
                                                : Standing::draining;
      listed.entry.listed_rate = target.value("capacity_hint", 0.0);
      if (needed || target.contains("endpoint"))
        listed.address = address_of(target.at("endpoint").get<std::string>());
      list.entries.push_back(std::move(listed));
    } catch (const std::exception& error) {
      log_line("list: an entry is left out: %s", error.what());  // the others still hold
    }
  return list;
}

Address admin_address() {
  auto at = environment("BALANCER_ADMIN");
  if (at.empty()) at = read_file().value("admin", "");
  if (at.empty()) throw std::runtime_error("neither BALANCER_ADMIN nor 'admin' is told");
  return address_of(at);
}

Config read_config() {
  Json json = read_file();
  auto told = [&](const char* variable, const char* field) {
    auto value = environment(variable);
    if (value.empty()) value = json.value(field, "");
    if (value.empty())
      throw std::runtime_error(std::string("neither ") + variable + " nor '" + field + "' is told");
    return value;
  };
  Config config;
  config.name = told("BALANCER_NAME", "name");
  config.listen = address_of(told("BALANCER_LISTEN", "listen"));
  // The file is what is replaced while the relay runs, so its own word on discovery comes first.
  auto discovery = json.value("discovery", "");
  config.discovery = address_of(discovery.empty() ? told("BALANCER_DISCOVERY", "discovery") : discovery);
  config.state_folder = told("BALANCER_STATE", "state");
  auto seed = json.find("seed");
  if (seed != json.end()) config.seed = hash_of(plain(*seed));
  auto limits = json.value("limits", Json::object());
  auto sockets = limits.value("sockets", std::size_t{256});
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) == 0)
    sockets = std::min(sockets, static_cast<std::size_t>(files.rlim_cur));
  auto admin = environment("BALANCER_ADMIN");
  if (admin.empty()) admin = json.value("admin", "");
  if (!admin.empty()) config.admin = address_of(admin);
  auto spare = spare_descriptors + (admin.empty() ? 0 : Admin::callers_most + 1);
  if (sockets < spare + 4) throw std::runtime_error("too few sockets: " + std::to_string(sockets));
  config.client_connections = (sockets - spare) / 2;
  config.clients_at_rest = sockets / 6;  // half of what the platform lets clients hold for requests
  config.endpoint_connections = sockets - spare - config.client_connections;
  config.disk_bytes = static_cast<std::size_t>(limits.value("disk_mb", 1.0) * 1e6);
  Pairs pairs;
  flatten(json.at("settings"), "", pairs);
  config.settings = decode_settings(pairs);
  // No more calls can be out than there are sockets for them.
  config.settings.slots = std::min(config.settings.slots, static_cast<int>(config.endpoint_connections));
  config.settings.list_on_request = true;  // on sockets the list changes only for those who watch it
  auto names = [&](const std::string& list) {
    std::vector<std::string_view> found;
    for (int i = 0; i < pairs.count(list + ".count"); ++i)
      found.push_back(pairs.text(list + "." + std::to_string(i) + ".name"));
    return found;
  };
  config.doc_types = numbered_names<DocTypeId>(names("classes"));
  config.tenants = numbered_names<TenantId>(names("orgs"));
  config.kinds = numbered_names<KindId>(pairs.list("skus"));
  config.halls = numbered_names<HallId>(pairs.list("zones"));
  config.connect_within = pairs.time("limits.dialTimeoutUs");
  config.idle_life = pairs.time("limits.keepaliveUs");
  if (auto known = json.find("known"); known != json.end() && known->is_object())
    config.known = config.to_list(*known);
  for (const char* changing : {"discovery", "known", "seed", "admin"}) json.erase(changing);
  config.rest_sum = hash_of(json.dump());
  return config;
}

}  // namespace rockcrank
