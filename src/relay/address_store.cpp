// One metadata entry for each endpoint and address: the start time of the process that is there by now.
#include "relay/address_store.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string_view>

#include "relay/log.h"
#include "settings/settings.h"

namespace rockcrank {
namespace {

constexpr std::string_view name_prefix = "address/";

std::string metadata_name(const SupersededEndpoint& superseded) {
  return std::string(name_prefix) + std::to_string(static_cast<std::uint64_t>(superseded.endpoint)) + "/" +
         superseded.address;
}

Millis decode_time(const std::string& text) {
  return static_cast<Millis>(parse_integer(text, "the start of a process", 0, INT64_MAX));
}

bool is_number(const std::string& text) {
  constexpr std::size_t max_digits = 18;
  return !text.empty() && text.size() <= max_digits &&
         text.find_first_not_of("0123456789") == std::string::npos;
}

SupersededEndpoint decode(std::string_view name, const std::string& text) {
  name.remove_prefix(name_prefix.size());
  const std::string_view endpoint = next_token(name, '/');
  if (name.empty()) throw std::runtime_error("it names no address");
  std::uint64_t id = 0;
  if (std::from_chars(endpoint.begin(), endpoint.end(), id).ptr != endpoint.end())
    throw std::runtime_error("its endpoint is not a number");
  SupersededEndpoint superseded;
  superseded.endpoint = EndpointId(id);
  superseded.address = name;
  superseded.successor_started_at = decode_time(text);
  return superseded;
}

}  // namespace

std::vector<SupersededEndpoint> AddressStore::load() {
  std::vector<SupersededEndpoint> all;
  std::vector<std::string> unreadable;
  for (const auto& [name, text] : store_.metadata()) {
    if (!owns_name(name)) continue;
    try {
      all.push_back(decode(name, text));
    } catch (const std::exception& error) {
      log_line("event=address_note_unreadable note=%s reason=\"%s\"", name.c_str(), error.what());
      unreadable.push_back(name);
    }
  }
  for (const auto& name : unreadable) store_.set_metadata(name, {});
  return all;
}

void AddressStore::save(const std::vector<SupersededEndpoint>& superseded) {
  std::map<std::string, std::string> current;
  for (const auto& one : superseded)
    current[metadata_name(one)] = std::to_string(static_cast<std::int64_t>(one.successor_started_at));
  std::vector<std::string> outdated;
  for (const auto& [name, text] : store_.metadata())
    if (owns_name(name) && current.count(name) == 0) outdated.push_back(name);
  for (const auto& name : outdated) store_.set_metadata(name, {});
  for (const auto& [name, text] : current) {
    auto stored = store_.metadata().find(name);
    if (stored == store_.metadata().end() || stored->second != text) store_.set_metadata(name, text);
  }
}

bool AddressStore::owns_name(const std::string& metadata_name) {
  return metadata_name.starts_with(name_prefix);
}

std::string AddressStore::merge(const std::string& one, const std::string& other) {
  const bool is_one_readable = is_number(one), is_other_readable = is_number(other);
  if (is_one_readable && is_other_readable) return decode_time(one) >= decode_time(other) ? one : other;
  if (is_one_readable != is_other_readable) return is_one_readable ? one : other;
  return std::max(one, other);
}

}  // namespace rockcrank
