// How texts become settings, hints and ids; settings.h says what it owns. No figure is made up here.

#include "settings/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace rockcrank {
namespace {

constexpr std::int64_t id_end = std::int64_t{1} << 32;
constexpr std::array<Word<Repeat>, 3> repeats{
    {{"safe", Repeat::replayable}, {"keyed", Repeat::numbered}, {"unsafe", Repeat::binding}}};

}  // namespace

std::string quoted(std::string_view text) {
  return std::string(1, '\'').append(text.substr(0, 60)).append(1, '\'');
}

bool printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 32 && c < 127; });
}

std::string_view cut(std::string_view& rest, char mark) {
  auto end = rest.find(mark);
  auto part = rest.substr(0, end);
  rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
  return part;
}

std::int64_t to_integer(std::string_view text, const char* what, std::int64_t low, std::int64_t high) {
  std::int64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error == std::errc::result_out_of_range)
    throw Fault(std::string(what) + " is out of range: " + quoted(text));
  if (error != std::errc{} || end != text.data() + text.size())
    throw Fault(std::string(what) + " is not a whole number: " + quoted(text));
  if (value < low || value > high) throw Fault(std::string(what) + " is out of range: " + quoted(text));
  return value;
}

double to_number(std::string_view text, const char* what) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value))
    throw Fault(std::string(what) + " is not a number: " + quoted(text));
  return value;
}

bool to_flag(std::string_view text, const char* what) {
  if (text == "1" || text == "true") return true;
  if (text == "0" || text == "false" || text == "-") return false;
  throw Fault(std::string(what) + " is neither 1 nor 0: " + quoted(text));
}

Pairs::Pairs(std::string_view text) {
  while (!text.empty()) {
    auto pair = cut(text, ' ');
    auto equals = pair.find('=');
    if (equals == std::string_view::npos) {
      if (pair.empty() || pair == "-") continue;
      throw Fault("a setting has no '=': " + quoted(pair));
    }
    set(std::string(pair.substr(0, equals)), std::string(pair.substr(equals + 1)));
  }
}

std::string_view Pairs::text(const std::string& path) const {
  auto found = values_.find(path);
  return found == values_.end() || found->second == "-" ? std::string_view{}
                                                        : std::string_view(found->second);
}

double Pairs::number(const std::string& path, double absent) const {
  auto value = text(path);
  return value.empty() ? absent : to_number(value, path.c_str());
}

int Pairs::count(const std::string& path, int absent) const {
  auto value = text(path);
  return value.empty()
             ? absent
             : static_cast<int>(to_integer(value, path.c_str(), 0, std::numeric_limits<int>::max()));
}

bool Pairs::flag(const std::string& path) const {
  auto value = text(path);
  return !value.empty() && to_flag(value, path.c_str());
}

std::vector<std::string_view> Pairs::list(const std::string& path) const {
  std::vector<std::string_view> parts;
  auto rest = text(path);
  while (!rest.empty()) parts.push_back(cut(rest, ','));
  return parts;
}

Settings decode_settings(const Pairs& pairs) {
  Settings settings;
  settings.relays = std::max(1, pairs.count("balancers", 1));
  settings.hall = HallId(pairs.count("az"));
  settings.slots = pairs.count("specifics.slots", 1);
  settings.room = pairs.count("limits.openCap");
  settings.max_transmissions = pairs.count("limits.maxAttempts", 1);
  settings.list_on_request = pairs.text("registryMode") == "on_request";
  settings.list_at_hand = pairs.text("registryMode") == "pushed";
  settings.may_call_off = pairs.flag("limits.cancel");
  settings.value_halves = pairs.text("specifics.decay") == "halving";
  auto weights = pairs.text("weightKind");
  settings.limits_listed = weights == "nominal" || weights == "rough";
  settings.tick = pairs.time("tickUs");
  settings.connect_within = pairs.time("limits.dialTimeoutUs");
  settings.fall_multiple = pairs.number("rules.fallMultiple", 1);
  settings.fall_time = pairs.time("rules.fallUs");
  settings.start_capacity = pairs.number("rules.startCapacity", 1);
  settings.warm_within = pairs.time("rules.warmWithinUs");
  settings.order_rest = pairs.time("rules.orderSettleUs");
  if (pairs.flag("limits.retryAfter")) settings.reject_wait_max = pairs.time("limits.maxRetryAfterUs");
  for (int i = 0; i < pairs.count("classes.count"); ++i) {
    auto path = "classes." + std::to_string(i) + ".";
    DocType type;
    type.agreed_time = pairs.time(path + "goalTimeUs");
    type.lifetime = pairs.time(path + "deadlineUs");
    type.value = pairs.number(path + "worth", type.value);
    type.late_value = pairs.number(path + "lateWorth");
    auto repeat = pairs.text(path + "repeat");
    if (!repeat.empty()) type.repeat = one_of(repeats, repeat, "repeat");
    type.key_group = pairs.text(path + "keyScope") == "all" ? KeyGroup::everywhere : KeyGroup::hall;
    type.key_window = pairs.time(path + "windowUs");
    type.in_order = pairs.flag(path + "inOrder");
    settings.doc_types.push_back(type);
  }
  auto apart = pairs.list("specifics.routesApart");
  auto bundles = pairs.list("specifics.bundleMax");
  auto kinds = std::max({std::size_t{1}, pairs.list("skus").size(), apart.size(), bundles.size()});
  for (std::size_t i = 0; i < kinds; ++i) {
    Kind kind;
    if (i < apart.size()) kind.routes_apart = to_flag(apart[i], "specifics.routesApart");
    if (i < bundles.size())
      kind.bundle_max = static_cast<int>(to_integer(bundles[i], "specifics.bundleMax", 1, id_end));
    settings.kinds.push_back(kind);
  }
  for (int i = 0; i < pairs.count("orgs.count"); ++i)
    settings.tenant_rates.push_back(pairs.number("orgs." + std::to_string(i) + ".allowancePerS"));
  return settings;
}

std::uint64_t hash_of(std::string_view text) {
  // FNV-1a.
  std::uint64_t hash = 14695981039346656037ULL;
  for (unsigned char c : text) hash = (hash ^ c) * 1099511628211ULL;
  return hash;
}

Hints hints_of(std::string_view text, char between) {
  Hints hints;
  if (text == "-") return hints;
  while (!text.empty()) {
    auto pair = cut(text, ',');
    auto colon = pair.find(between);
    if (colon == std::string_view::npos) throw Fault("a report value without a name: " + quoted(pair));
    auto name = pair.substr(0, colon);
    auto value = to_number(pair.substr(colon + 1), "report value");
    if (name == "x0") hints.left_share = value;
    if (name == "x1") hints.limit = value;
    hints.told = hints.told || name == "x1";
  }
  return hints;
}

}  // namespace rockcrank
