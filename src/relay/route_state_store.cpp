// One metadata entry for each route. An entry that cannot be read is logged and removed; it doesn't keep the
// relay from starting.
#include "relay/route_state_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "relay/log.h"
#include "relay/loop.h"

namespace rockcrank {
namespace {

using Json = nlohmann::json;

constexpr const char* name_prefix = "route/";

std::string metadata_name(const RouteStatus& known) {
  return name_prefix + std::string(known.per_endpoint ? "e" : "d") + std::to_string(known.route);
}

std::string encode(const RouteStatus& known) {
  Json note{{"apart", known.per_endpoint},
            {"route", known.route},
            {"told_left", known.retry_after_left},
            {"state", static_cast<int>(known.state)},
            {"state_age", known.state_age},
            {"rate_before", known.rate_before_outage},
            {"limit", known.rate_limit},
            {"left_share", known.remaining_share},
            {"limit_age", known.limit_age},
            {"machine_start", Store::boot_id()},
            {"monotonic", EventLoop::monotonic_time()},
            {"wall", EventLoop::wall_time()}};
  return note.dump();
}

// How long ago an entry was written. The wall clock is used only if the machine has been rebooted since.
Millis age_of_entry(const Json& note) {
  auto start = note.at("machine_start").get<std::uint64_t>();
  bool same_start = start != 0 && start == Store::boot_id();
  Millis age = same_start ? EventLoop::monotonic_time() - note.at("monotonic").get<double>()
                          : EventLoop::wall_time() - note.at("wall").get<double>();
  return std::max(0.0, age);
}

// The state in an entry, with its durations brought up to now.
RouteStatus decode(const std::string& text) {
  Json note = Json::parse(text);
  RouteStatus known;
  known.from_this_relay = true;
  known.per_endpoint = note.at("apart").get<bool>();
  known.route = note.at("route").get<std::uint64_t>();
  Millis ago = age_of_entry(note);
  known.retry_after_left = std::max(0.0, note.at("told_left").get<double>() - ago);
  known.state = static_cast<RouteState>(note.at("state").get<int>());
  known.state_age = note.at("state_age").get<double>() + ago;
  known.rate_before_outage = note.at("rate_before").get<double>();
  known.rate_limit = note.at("limit").get<double>();
  known.remaining_share = note.at("left_share").get<double>();
  known.limit_age = note.at("limit_age").get<double>() + ago;
  return known;
}

}  // namespace

void RouteStateStore::restore() {
  std::vector<std::string> unreadable;
  int told = 0;
  for (const auto& [name, text] : store_.metadata()) {
    if (!name.starts_with(name_prefix)) continue;
    try {
      decision_.apply_route_status(decode(text));
      ++told;
    } catch (const Json::exception& error) {
      log_line("event=route_note_unreadable note=%s reason=\"%s\"", name.c_str(), error.what());
      unreadable.push_back(name);
    }
  }
  for (const auto& name : unreadable) store_.set_metadata(name, {});
  if (told > 0) log_line("event=routes_remembered routes=%d", told);
}

void RouteStateStore::save() {
  for (const auto& known : decision_.route_statuses_to_persist()) {
    bool binds = known.state != RouteState::healthy || known.retry_after_left > 0;
    std::string name = metadata_name(known);
    if (binds) store_.set_metadata(name, encode(known));
    else if (store_.metadata().count(name)) store_.set_metadata(name, {});
  }
}

}  // namespace rockcrank
