// How texts become settings, hints and ids; settings.h says what it owns. No figure is made up here.

#include "settings/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace rockcrank {
namespace {

constexpr std::int64_t id_end = std::int64_t{1} << 32;
constexpr std::array<EnumName<RetrySafety>, 3> repeats{
    {{"safe", RetrySafety::idempotent}, {"keyed", RetrySafety::keyed}, {"unsafe", RetrySafety::unsafe}}};

}  // namespace

std::string quote_excerpt(std::string_view text) {
  return std::string(1, '\'').append(text.substr(0, 60)).append(1, '\'');
}

bool is_printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 32 && c < 127; });
}

std::string_view next_token(std::string_view& rest, char mark) {
  auto end = rest.find(mark);
  auto part = rest.substr(0, end);
  rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
  return part;
}

std::int64_t parse_integer(std::string_view text, const char* what, std::int64_t low, std::int64_t high) {
  std::int64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error == std::errc::result_out_of_range)
    throw ParseError(std::string(what) + " is out of range: " + quote_excerpt(text));
  if (error != std::errc{} || end != text.data() + text.size())
    throw ParseError(std::string(what) + " is not a whole number: " + quote_excerpt(text));
  if (value < low || value > high)
    throw ParseError(std::string(what) + " is out of range: " + quote_excerpt(text));
  return value;
}

double parse_number(std::string_view text, const char* what) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value))
    throw ParseError(std::string(what) + " is not a number: " + quote_excerpt(text));
  return value;
}

bool parse_flag(std::string_view text, const char* what) {
  if (text == "1" || text == "true") return true;
  if (text == "0" || text == "false" || text == "-") return false;
  throw ParseError(std::string(what) + " is neither 1 nor 0: " + quote_excerpt(text));
}

KeyValues::KeyValues(std::string_view text) {
  while (!text.empty()) {
    auto pair = next_token(text, ' ');
    auto equals = pair.find('=');
    if (equals == std::string_view::npos) {
      if (pair.empty() || pair == "-") continue;
      throw ParseError("a setting has no '=': " + quote_excerpt(pair));
    }
    set(std::string(pair.substr(0, equals)), std::string(pair.substr(equals + 1)));
  }
}

std::string_view KeyValues::text(const std::string& path) const {
  auto found = values_.find(path);
  return found == values_.end() || found->second == "-" ? std::string_view{}
                                                        : std::string_view(found->second);
}

double KeyValues::number(const std::string& path, double absent) const {
  auto value = text(path);
  return value.empty() ? absent : parse_number(value, path.c_str());
}

int KeyValues::count(const std::string& path, int absent) const {
  auto value = text(path);
  return value.empty()
             ? absent
             : static_cast<int>(parse_integer(value, path.c_str(), 0, std::numeric_limits<int>::max()));
}

bool KeyValues::flag(const std::string& path) const {
  auto value = text(path);
  return !value.empty() && parse_flag(value, path.c_str());
}

std::vector<std::string_view> KeyValues::list(const std::string& path) const {
  std::vector<std::string_view> parts;
  auto rest = text(path);
  while (!rest.empty()) parts.push_back(next_token(rest, ','));
  return parts;
}

Settings decode_settings(const KeyValues& pairs) {
  Settings settings;
  settings.relays = std::max(1, pairs.count("balancers", 1));
  settings.zone = ZoneId(pairs.count("az"));
  settings.slots = pairs.count("specifics.slots", 1);
  settings.max_documents = pairs.count("limits.openCap");
  settings.max_transmissions = pairs.count("limits.maxAttempts", 1);
  settings.discovery_on_request = pairs.text("registryMode") == "on_request";
  settings.local_discovery_agent = pairs.text("registryMode") == "pushed";
  settings.may_cancel = pairs.flag("limits.cancel");
  settings.exponential_value_decay = pairs.text("specifics.decay") == "halving";
  auto weights = pairs.text("weightKind");
  settings.limits_from_discovery = weights == "nominal" || weights == "rough";
  settings.tick = pairs.duration("tickUs");
  settings.connect_timeout = pairs.duration("limits.dialTimeoutUs");
  settings.overload_multiple = pairs.number("rules.fallMultiple", 1);
  settings.overload_window = pairs.duration("rules.fallUs");
  settings.start_capacity = pairs.number("rules.startCapacity", 1);
  settings.warm_up_time = pairs.duration("rules.warmWithinUs");
  settings.order_settle_time = pairs.duration("rules.orderSettleUs");
  if (pairs.flag("limits.retryAfter")) settings.max_retry_after = pairs.duration("limits.maxRetryAfterUs");
  for (int i = 0; i < pairs.count("classes.count"); ++i) {
    auto path = "classes." + std::to_string(i) + ".";
    DocType type;
    type.target_latency = pairs.duration(path + "goalTimeUs");
    type.lifetime = pairs.duration(path + "deadlineUs");
    type.value = pairs.number(path + "worth", type.value);
    type.late_value = pairs.number(path + "lateWorth");
    auto repeat = pairs.text(path + "repeat");
    if (!repeat.empty()) type.retry_safety = parse_enum(repeats, repeat, "repeat");
    type.idempotency_scope =
        pairs.text(path + "keyScope") == "all" ? IdempotencyScope::global : IdempotencyScope::zone;
    type.idempotency_window = pairs.duration(path + "windowUs");
    type.in_order = pairs.flag(path + "inOrder");
    settings.doc_types.push_back(type);
  }
  auto apart = pairs.list("specifics.routesApart");
  auto bundles = pairs.list("specifics.bundleMax");
  auto kinds = std::max({std::size_t{1}, pairs.list("skus").size(), apart.size(), bundles.size()});
  for (std::size_t i = 0; i < kinds; ++i) {
    DestinationKind kind;
    if (i < apart.size()) kind.route_per_endpoint = parse_flag(apart[i], "specifics.routesApart");
    if (i < bundles.size())
      kind.max_batch_size = static_cast<int>(parse_integer(bundles[i], "specifics.bundleMax", 1, id_end));
    settings.destination_kinds.push_back(kind);
  }
  for (int i = 0; i < pairs.count("orgs.count"); ++i)
    settings.tenant_rates.push_back(pairs.number("orgs." + std::to_string(i) + ".allowancePerS"));
  return settings;
}

std::uint64_t fnv1a_hash(std::string_view text) {
  // FNV-1a.
  std::uint64_t hash = 14695981039346656037ULL;
  for (unsigned char c : text) hash = (hash ^ c) * 1099511628211ULL;
  return hash;
}

LoadHints parse_hints(std::string_view text, char between) {
  LoadHints hints;
  if (text == "-") return hints;
  while (!text.empty()) {
    auto pair = next_token(text, ',');
    auto colon = pair.find(between);
    if (colon == std::string_view::npos)
      throw ParseError("a report value without a name: " + quote_excerpt(pair));
    auto name = pair.substr(0, colon);
    auto value = parse_number(pair.substr(colon + 1), "report value");
    if (name == "x0") hints.remaining_share = value;
    if (name == "x1") hints.rate_limit = value;
    hints.present = hints.present || name == "x1";
  }
  return hints;
}

}  // namespace rockcrank
