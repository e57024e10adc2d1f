// Draws the conditions of a cold return from a seed.
#include "model/cold_scenario.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <random>

namespace rockcrank::model {
namespace {

constexpr Millis first_outage = 30000;  // by then every relay knows its own rate
constexpr Millis longest_connection_delay = 1500;

using RandomEngine = std::mt19937_64;

double draw_uniform(RandomEngine& random, double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random);
}
bool draw_bool(RandomEngine& random, double share) { return draw_uniform(random, 0, 1) < share; }

void draw_outages(ColdScenario& scenario, RandomEngine& random) {
  int count = draw_bool(random, 0.7) ? 1 : 2 + static_cast<int>(draw_uniform(random, 0, 2));
  auto kind = OutageKind(static_cast<int>(draw_uniform(random, 0, 6)));
  Millis from = first_outage;
  for (int i = 0; i < count; ++i) {
    Outage outage;
    outage.from = from;
    outage.kind = draw_bool(random, 0.8) ? kind : OutageKind(static_cast<int>(draw_uniform(random, 0, 6)));
    // Without a reason given, refusals of a few seconds can't be distinguished from a rate limit.
    Millis shortest = outage.kind == OutageKind::refuses_calls ? 5000 : 3000;
    outage.to = from + std::exp(draw_uniform(random, std::log(shortest), std::log(30000)));
    if (outage.kind == OutageKind::fails_most) outage.failing_share = draw_uniform(random, 0.6, 1);
    scenario.outages.push_back(outage);
    from = outage.to + draw_uniform(random, 1500, 1.2 * scenario.warm_up_time);
  }
}

// Kills none, one, several or most of the relays, at once or spread out, during the outage or the return.
void draw_restarts(ColdScenario& scenario, RandomEngine& random) {
  double category = draw_uniform(random, 0, 1);
  if (category < 0.4) return;
  double share = category < 0.55   ? 0
                 : category < 0.75 ? draw_uniform(random, 0.05, 0.4)
                                   : draw_uniform(random, 0.4, 0.9);
  bool together = draw_bool(random, 0.5), storage_kept = draw_bool(random, 0.75);
  const Outage& last = scenario.outages.back();
  Millis restart_time = draw_uniform(random, last.from, last.to + scenario.warm_up_time);
  std::size_t count = scenario.relay_rates.size();
  for (std::size_t i = 0; i < count; ++i) {
    if (share == 0 ? i != 0 : !draw_bool(random, share)) continue;
    Restart restart;
    restart.relay = i;
    restart.from = together ? restart_time : draw_uniform(random, last.from, last.to + scenario.warm_up_time);
    restart.to = restart.from + draw_uniform(random, 300, 1500);
    restart.storage_kept = storage_kept;
    scenario.restarts.push_back(restart);
  }
}

}  // namespace

const char* name_of(OutageKind kind) {
  static const char* const names[] = {"connections refused", "silent", "hanging", "calls refused",
                                      "most calls failing",  "resets"};
  return names[static_cast<int>(kind)];
}

DocType ColdScenario::default_document_type() {
  DocType type;
  type.target_latency = 4000;
  type.lifetime = 20000;
  type.retry_safety = RetrySafety::idempotent;
  return type;
}

std::string ColdScenario::describe() const {
  static const char* const limits[] = {"unknown", "listed", "listed roughly", "reported"};
  std::string kinds;
  for (const auto& outage : outages) {
    char text[80];
    std::snprintf(text, sizeof text, "%s%s %.1f s", kinds.empty() ? "" : ", ", name_of(outage.kind),
                  (outage.to - outage.from) / 1000);
    kinds += text;
  }
  char text[400];
  std::snprintf(
      text, sizeof text,
      "%zu relays, %zu restarts%s, outages: %s; limit %.1f/s (%s), capacity %.1f/s from %.2f within %.1f s, "
      "multiple %.1f in %.1f s, batches of %d, %d endpoints, late connections %.2f%s%s%s, idle during "
      "outages %zu",
      relay_rates.size(), restarts.size(),
      !restarts.empty() && !restarts[0].storage_kept ? " with empty storage" : "", kinds.c_str(), limit,
      limits[static_cast<int>(limit_knowledge)], capacity, start_capacity, warm_up_time / 1000,
      overload_multiple, overload_window / 1000, max_batch_size, endpoints, late_connection_share,
      rejects_excess ? ", rejects excess" : "",
      host_reports_connections ? "" : ", host reports no connections", relays_gossip ? ", relays gossip" : "",
      static_cast<std::size_t>(std::count(idle_during_outage.begin(), idle_during_outage.end(), true)));
  std::string description = text;
  if (limits_calls) {
    double demand = std::accumulate(relay_rates.begin(), relay_rates.end(), 0.0);
    std::snprintf(
        text, sizeof text,
        "; crowded: %.1f documents/s of %.0f ms (lifetime %.0f ms, safety %d), queue %.0f ms, %d slots, "
        "other destination %.1f/s, hangs for %.1f s, %zu replacements, %zu configurations, first outage "
        "at %.1f s%s%s",
        demand, call_time, document_type.lifetime, static_cast<int>(document_type.retry_safety), queue_time,
        slots, other_destination.documents_per_second,
        (other_destination.hangs_to - other_destination.hangs_from) / 1000, replacements.size(),
        reconfigurations.size(), outages.front().from / 1000,
        refusals_use_limit ? ", refusals use the limit" : "", may_cancel ? ", cancels" : "");
    description += text;
  }
  return description;
}

ColdScenario draw_cold_scenario(std::uint64_t seed, int relays) {
  RandomEngine random(seed * 2654435761ULL + static_cast<std::uint64_t>(relays));
  ColdScenario scenario;
  double documents_per_second = std::exp(draw_uniform(random, std::log(3), std::log(40)));
  scenario.limit = documents_per_second * draw_uniform(random, 1.0, 1.6);
  scenario.capacity = scenario.limit * draw_uniform(random, 1.15, 1.6);
  scenario.start_capacity = draw_uniform(random, 0.14, 0.31);
  static const double multiples[] = {1.5, 2, 2.5, 2.5};
  scenario.overload_multiple = multiples[static_cast<int>(draw_uniform(random, 0, 4))];
  static const Millis windows[] = {1500, 2000, 2000, 3000};
  scenario.overload_window = windows[static_cast<int>(draw_uniform(random, 0, 4))];
  scenario.warm_up_time = draw_uniform(random, 9000, 14000);
  scenario.call_time = std::exp(draw_uniform(random, std::log(40), std::log(600)));
  scenario.limit_knowledge = LimitKnowledge(static_cast<int>(draw_uniform(random, 0, 4)));
  bool rough = scenario.limit_knowledge == LimitKnowledge::listed_roughly;
  scenario.listed_limit = scenario.limit * (rough ? draw_uniform(random, 0.5, 1.5) : 1);
  scenario.endpoints = draw_bool(random, 0.6) ? 1 : 2 + static_cast<int>(draw_uniform(random, 0, 2));
  scenario.max_batch_size = draw_bool(random, 0.6) ? 1 : 5;
  if (draw_bool(random, 0.3)) {
    scenario.late_connection_share = draw_uniform(random, 0.05, 0.5);
    scenario.max_connection_delay = draw_uniform(random, 200, longest_connection_delay);
  }
  scenario.rejects_excess = draw_bool(random, 0.4);
  scenario.relays_gossip = draw_bool(random, 0.15);
  scenario.host_reports_connections = draw_bool(random, 0.7);
  std::lognormal_distribution<double> skew(
      0, draw_uniform(random, 0, 1));  // some relays see several times the mean
  double sum = 0;
  for (int i = 0; i < relays; ++i) sum += scenario.relay_rates.emplace_back(skew(random));
  for (double& rate : scenario.relay_rates) rate *= documents_per_second / sum;
  double idle_share = draw_bool(random, 0.5) ? 0 : draw_uniform(random, 0, 0.5);
  for (int i = 0; i < relays; ++i) scenario.idle_during_outage.push_back(draw_bool(random, idle_share));
  draw_outages(scenario, random);
  draw_restarts(scenario, random);
  return scenario;
}

ColdScenario draw_crowded_scenario(std::uint64_t seed, int relays) {
  constexpr std::uint64_t other_seeds = 0x5eed0000000000ULL;
  ColdScenario scenario = draw_cold_scenario(seed ^ other_seeds, relays);
  RandomEngine random(seed * 0x9e3779b97f4a7c15ULL + static_cast<std::uint64_t>(relays));
  scenario.limits_calls = scenario.ends_running_calls = true;
  scenario.refusals_use_limit = draw_bool(random, 0.5);
  double larger = std::exp(draw_uniform(random, 0, std::log(3))), crowding = draw_uniform(random, 1, 2);
  scenario.limit *= larger, scenario.listed_limit *= larger, scenario.capacity *= larger;
  for (double& rate : scenario.relay_rates) rate *= larger * crowding;
  scenario.queue_time = draw_uniform(random, 300, 1000);
  scenario.reused_connection_share = draw_uniform(random, 0, 1);
  scenario.may_cancel = draw_bool(random, 0.7);
  scenario.slots = static_cast<int>(draw_uniform(random, 4, 40));
  scenario.document_type.lifetime = std::exp(draw_uniform(random, std::log(4000), std::log(12000)));
  scenario.document_type.target_latency = scenario.document_type.lifetime * draw_uniform(random, 0.07, 0.4);
  static const RetrySafety safeties[] = {RetrySafety::idempotent, RetrySafety::keyed, RetrySafety::unsafe};
  scenario.document_type.retry_safety = safeties[static_cast<int>(draw_uniform(random, 0, 3))];
  scenario.document_type.idempotency_window = draw_uniform(random, 3000, 15000);
  // The first outage comes early in two of three.
  Millis earlier = draw_bool(random, 0.67) ? draw_uniform(random, 0, first_outage - 5000) : 0;
  for (Outage& outage : scenario.outages) outage.from -= earlier, outage.to -= earlier;
  for (Restart& restart : scenario.restarts) restart.from -= earlier, restart.to -= earlier;
  const Outage& last = scenario.outages.back();
  auto during_outage_or_return = [&] { return draw_uniform(random, last.from, last.to + 4000); };
  OtherDestination& other = scenario.other_destination;
  if (draw_bool(random, 0.7)) {
    other.documents_per_second = draw_uniform(random, 5, 40);
    other.call_time = std::exp(draw_uniform(random, std::log(60), std::log(500)));
  }
  if (draw_bool(random, 0.5)) {
    other.hangs_from = std::max(1000.0, last.from - draw_uniform(random, -3000, 10000));
    other.hangs_to = other.hangs_from + draw_uniform(random, 3000, 15000);
  }
  if (draw_bool(random, 0.4)) {
    int count = 1 + static_cast<int>(draw_uniform(random, 0, 3));
    for (int i = 0; i < count; ++i) scenario.replacements.push_back({0, during_outage_or_return()});
  }
  if (draw_bool(random, 0.4)) scenario.reconfigurations.push_back({0, during_outage_or_return()});
  return scenario;
}

}  // namespace rockcrank::model
