// Parses settings, load hints and ids from text, for both the adapter and the relay. It only decodes into the
// decision module's types; it makes no decisions and corrects no values.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "decision/decision.h"

namespace rockcrank {

// Thrown for text that cannot be parsed; what() names the field and quotes the text.
class ParseError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The first 60 bytes of the text in single quotes, for error messages.
std::string quote_excerpt(std::string_view text);
bool is_printable(std::string_view text);  // only visible ASCII, no spaces
// Returns the text before the separator and removes both from `rest`.
std::string_view next_token(std::string_view& rest, char separator);
// The parsers below throw ParseError; `what` names the field in its message.
std::int64_t parse_integer(std::string_view text, const char* what, std::int64_t min, std::int64_t max);
double parse_number(std::string_view text, const char* what);
bool parse_flag(std::string_view text, const char* what);

template <typename Value>
struct EnumName {
  std::string_view name;
  Value value;
};

template <typename Value, std::size_t count>
Value parse_enum(const std::array<EnumName<Value>, count>& names, std::string_view text, const char* what) {
  for (const auto& entry : names)
    if (entry.name == text) return entry.value;
  throw ParseError("unknown " + std::string(what) + ": " + quote_excerpt(text));
}

// Settings as path=value pairs, looked up by path. Unknown paths are ignored, and so is a value of "-".
class KeyValues {
 public:
  KeyValues() = default;
  explicit KeyValues(std::string_view text);  // separated by spaces
  void set(std::string path, std::string value) { values_[std::move(path)] = std::move(value); }
  std::string_view text(const std::string& path) const;
  double number(const std::string& path, double default_value = 0) const;
  int count(const std::string& path, int default_value = 0) const;
  Millis duration(const std::string& path) const { return number(path) / 1000.0; }  // given in microseconds
  bool flag(const std::string& path) const;
  std::vector<std::string_view> list(const std::string& path) const;

 private:
  std::map<std::string, std::string> values_;
};

Settings decode_settings(const KeyValues& values);

// FNV-1a, 64 bits. Ids derived from texts by it are the same in every process.
std::uint64_t fnv1a_hash(std::string_view text);

// Parses "x0:0.5,x1:20" (with this separator between name and value); "-" holds no hints.
LoadHints parse_hints(std::string_view text, char separator);

}  // namespace rockcrank
