// One metadata entry for each route. An entry that cannot be read is logged and removed; it doesn't keep the
// relay from starting.
#include "relay/route_state_store.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "relay/log.h"
#include "relay/loop.h"

namespace rockcrank {
namespace {

using Json = nlohmann::json;

constexpr const char* name_prefix = "route/";

std::string metadata_name(const RouteStatus& status) {
  return name_prefix + std::string(status.per_endpoint ? "e" : "d") + std::to_string(status.route);
}

std::string encode(const RouteStatus& status) {
  Json entry{{"apart", status.per_endpoint},
             {"route", status.route},
             {"told_left", status.retry_after_left},
             {"state", static_cast<int>(status.state)},
             {"state_age", status.state_age},
             {"rate_before", status.rate_before_outage},
             {"limit", status.rate_limit},
             {"left_share", status.remaining_share},
             {"limit_age", status.limit_age},
             {"machine_start", Store::boot_id()},
             {"monotonic", EventLoop::monotonic_time()},
             {"wall", EventLoop::wall_time()}};
  return entry.dump();
}

// How long ago an entry was written. The wall clock is used only if the machine has been rebooted since.
Millis age_of_entry(const Json& entry) {
  auto boot = entry.at("machine_start").get<std::uint64_t>();
  bool same_boot = boot != 0 && boot == Store::boot_id();
  Millis age = same_boot ? EventLoop::monotonic_time() - entry.at("monotonic").get<double>()
                         : EventLoop::wall_time() - entry.at("wall").get<double>();
  return std::max(0.0, age);
}

bool is_complete(const Json& entry) {
  if (!entry.is_object()) return false;
  return std::ranges::all_of(std::array{"machine_start", "monotonic", "wall", "told_left"}, [&](auto field) {
    return entry.contains(field) && entry.at(field).is_number();
  });
}

// From the writing of one entry to that of the other, by the clock that both can be compared on.
Millis time_between(const Json& earlier, const Json& later) {
  const auto boot = earlier.at("machine_start").get<std::uint64_t>();
  const bool same_boot = boot != 0 && boot == later.at("machine_start").get<std::uint64_t>();
  const char* clock = same_boot ? "monotonic" : "wall";
  return later.at(clock).get<double>() - earlier.at(clock).get<double>();
}

// Entries of the same time are ordered by their texts, so that the order is total.
bool written_after(const Json& one, const Json& other) {
  const Millis between = time_between(other, one);
  return between != 0 ? between > 0 : one.dump() > other.dump();
}

// The state in an entry, with its durations brought up to now.
RouteStatus decode(const std::string& text) {
  Json entry = Json::parse(text);
  RouteStatus status;
  status.from_this_relay = true;
  status.per_endpoint = entry.at("apart").get<bool>();
  status.route = entry.at("route").get<std::uint64_t>();
  Millis age = age_of_entry(entry);
  status.retry_after_left = std::max(0.0, entry.at("told_left").get<double>() - age);
  status.state = static_cast<RouteState>(entry.at("state").get<int>());
  status.state_age = entry.at("state_age").get<double>() + age;
  status.rate_before_outage = entry.at("rate_before").get<double>();
  status.rate_limit = entry.at("limit").get<double>();
  status.remaining_share = entry.at("left_share").get<double>();
  status.limit_age = entry.at("limit_age").get<double>() + age;
  return status;
}

}  // namespace

void RouteStateStore::restore() {
  std::vector<std::string> unreadable;
  int restored = 0;
  for (const auto& [name, text] : store_.metadata()) {
    if (!name.starts_with(name_prefix)) continue;
    try {
      decision_.apply_route_status(decode(text));
      ++restored;
    } catch (const Json::exception& error) {
      log_line("event=route_note_unreadable note=%s reason=\"%s\"", name.c_str(), error.what());
      unreadable.push_back(name);
    }
  }
  for (const auto& name : unreadable) store_.set_metadata(name, {});
  if (restored > 0) log_line("event=routes_remembered routes=%d", restored);
}

bool RouteStateStore::owns_name(const std::string& metadata_name) {
  return metadata_name.starts_with(name_prefix);
}

std::string RouteStateStore::merge(const std::string& one, const std::string& other) {
  const Json first = Json::parse(one, nullptr, false), second = Json::parse(other, nullptr, false);
  if (!is_complete(first) && !is_complete(second)) return std::max(one, other);
  if (!is_complete(first)) return other;
  if (!is_complete(second)) return one;
  const bool first_is_later = written_after(first, second);
  Json later = first_is_later ? first : second;
  const Json& earlier = first_is_later ? second : first;
  const Millis elapsed = time_between(earlier, later);
  later["told_left"] =
      std::max(later.at("told_left").get<double>(), earlier.at("told_left").get<double>() - elapsed);
  return later.dump();
}

void RouteStateStore::save() {
  for (const auto& status : decision_.route_statuses_to_persist()) {
    bool must_persist = status.state != RouteState::healthy || status.retry_after_left > 0;
    std::string name = metadata_name(status);
    if (must_persist) store_.set_metadata(name, encode(status));
    else if (store_.metadata().count(name)) store_.set_metadata(name, {});
  }
}

}  // namespace rockcrank
