// Owns how settings, hints and ids are read from text, for the adapter and the relay alike. It decodes into
// the module's types and must never choose, correct or default anything that bears on a decision.
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

class ParseError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::string quote_excerpt(std::string_view text);
bool is_printable(std::string_view text);  // no spaces, no bytes beyond ASCII
std::string_view next_token(std::string_view& rest,
                            char mark);  // the part up to the mark; both go from the rest
std::int64_t parse_integer(std::string_view text, const char* what, std::int64_t low, std::int64_t high);
double parse_number(std::string_view text, const char* what);
bool parse_flag(std::string_view text, const char* what);

template <typename Value>
struct EnumName {
  std::string_view name;
  Value value;
};

template <typename Value, std::size_t count>
Value parse_enum(const std::array<EnumName<Value>, count>& words, std::string_view text, const char* what) {
  for (const auto& word : words)
    if (word.name == text) return word.value;
  throw ParseError("unknown " + std::string(what) + ": " + quote_excerpt(text));
}

// Settings as path=value pairs, looked up by path; paths that nobody asks for are skipped.
class KeyValues {
 public:
  KeyValues() = default;
  explicit KeyValues(std::string_view text);  // pairs set apart by spaces
  void set(std::string path, std::string value) { values_[std::move(path)] = std::move(value); }
  std::string_view text(const std::string& path) const;
  double number(const std::string& path, double absent = 0) const;
  int count(const std::string& path, int absent = 0) const;
  Millis duration(const std::string& path) const { return number(path) / 1000.0; }  // written in microseconds
  bool flag(const std::string& path) const;
  std::vector<std::string_view> list(const std::string& path) const;

 private:
  std::map<std::string, std::string> values_;
};

Settings decode_settings(const KeyValues& pairs);

// An id of a text: alike in every process, whatever came first.
std::uint64_t fnv1a_hash(std::string_view text);

LoadHints parse_hints(std::string_view text, char between);

}  // namespace rockcrank
