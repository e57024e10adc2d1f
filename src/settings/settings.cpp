#include "settings/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace rockcrank {
namespace {

constexpr std::int64_t id_limit = std::int64_t{1} << 32;
constexpr std::array<EnumName<RetrySafety>, 3> repeats{
    {{"safe", RetrySafety::idempotent}, {"keyed", RetrySafety::keyed}, {"unsafe", RetrySafety::unsafe}}};

}  // namespace

std::string quote_excerpt(std::string_view text) {
  return std::string(1, '\'').append(text.substr(0, 60)).append(1, '\'');
}

bool is_printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 32 && c < 127; });
}

std::string_view next_token(std::string_view& rest, char separator) {
  auto end = rest.find(separator);
  auto part = rest.substr(0, end);
  rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
  return part;
}

std::int64_t parse_integer(std::string_view text, const char* what, std::int64_t min, std::int64_t max) {
  std::int64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error == std::errc::result_out_of_range)
    throw ParseError(std::string(what) + " is out of range: " + quote_excerpt(text));
  if (error != std::errc{} || end != text.data() + text.size())
    throw ParseError(std::string(what) + " is not a whole number: " + quote_excerpt(text));
  if (value < min || value > max)
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

double KeyValues::number(const std::string& path, double default_value) const {
  auto value = text(path);
  return value.empty() ? default_value : parse_number(value, path.c_str());
}

int KeyValues::count(const std::string& path, int default_value) const {
  auto value = text(path);
  return value.empty()
             ? default_value
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

Settings decode_settings(const KeyValues& values) {
  Settings settings;
  settings.relays = std::max(1, values.count("balancers", 1));
  settings.zone = ZoneId(values.count("az"));
  settings.slots = values.count("specifics.slots", 1);
  settings.max_documents = values.count("limits.openCap");
  settings.max_transmissions = values.count("limits.maxAttempts", 1);
  settings.discovery_on_request = values.text("registryMode") == "on_request";
  settings.local_discovery_agent = values.text("registryMode") == "pushed";
  settings.may_cancel = values.flag("limits.cancel");
  settings.exponential_value_decay = values.text("specifics.decay") == "halving";
  auto weights = values.text("weightKind");
  settings.limits_from_discovery = weights == "nominal" || weights == "rough";
  settings.tick = values.duration("tickUs");
  settings.connect_timeout = values.duration("limits.dialTimeoutUs");
  settings.overload_multiple = values.number("rules.fallMultiple", 1);
  settings.overload_window = values.duration("rules.fallUs");
  settings.start_capacity = values.number("rules.startCapacity", 1);
  settings.warm_up_time = values.duration("rules.warmWithinUs");
  settings.order_settle_time = values.duration("rules.orderSettleUs");
  if (values.flag("limits.retryAfter")) settings.max_retry_after = values.duration("limits.maxRetryAfterUs");
  for (int i = 0; i < values.count("classes.count"); ++i) {
    auto path = "classes." + std::to_string(i) + ".";
    DocType type;
    type.target_latency = values.duration(path + "goalTimeUs");
    type.lifetime = values.duration(path + "deadlineUs");
    type.value = values.number(path + "worth", type.value);
    type.late_value = values.number(path + "lateWorth");
    auto repeat = values.text(path + "repeat");
    if (!repeat.empty()) type.retry_safety = parse_enum(repeats, repeat, "repeat");
    type.idempotency_scope =
        values.text(path + "keyScope") == "all" ? IdempotencyScope::global : IdempotencyScope::zone;
    type.idempotency_window = values.duration(path + "windowUs");
    type.in_order = values.flag(path + "inOrder");
    settings.doc_types.push_back(type);
  }
  auto separate_routes = values.list("specifics.routesApart");
  auto batch_sizes = values.list("specifics.bundleMax");
  auto kinds =
      std::max({std::size_t{1}, values.list("skus").size(), separate_routes.size(), batch_sizes.size()});
  for (std::size_t i = 0; i < kinds; ++i) {
    DestinationKind kind;
    if (i < separate_routes.size())
      kind.route_per_endpoint = parse_flag(separate_routes[i], "specifics.routesApart");
    if (i < batch_sizes.size())
      kind.max_batch_size =
          static_cast<int>(parse_integer(batch_sizes[i], "specifics.bundleMax", 1, id_limit));
    settings.destination_kinds.push_back(kind);
  }
  for (int i = 0; i < values.count("orgs.count"); ++i)
    settings.tenant_rates.push_back(values.number("orgs." + std::to_string(i) + ".allowancePerS"));
  return settings;
}

std::uint64_t fnv1a_hash(std::string_view text) {
  // FNV-1a.
  std::uint64_t hash = 14695981039346656037ULL;
  for (unsigned char c : text) hash = (hash ^ c) * 1099511628211ULL;
  return hash;
}

LoadHints parse_hints(std::string_view text, char separator) {
  LoadHints hints;
  if (text == "-") return hints;
  while (!text.empty()) {
    auto pair = next_token(text, ',');
    auto colon = pair.find(separator);
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
