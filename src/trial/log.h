// The trial's log: what the harness saw and did, in order of time, as lines of text. Scenes wait for its
// entries; the auditor reads the text with a parser of its own.
#pragma once

#include <cstdio>
#include <initializer_list>
#include <map>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace rockcrank::trial {

struct LogEntry {
  double at = 0;  // ms since the trial started
  std::string kind;
  std::vector<std::pair<std::string, std::string>> fields;  // neither may contain spaces

  std::string field(const std::string& name) const {
    for (const auto& [key, value] : fields)
      if (key == name) return value;
    return {};
  }
  void set(const std::string& name, const std::string& value) {
    for (auto& [key, before] : fields)
      if (key == name) return void(before = value);
    fields.emplace_back(name, value);
  }
  std::string text() const {
    char time[32];
    std::snprintf(time, sizeof time, "%.3f", at);
    std::string out = time;
    out += ' ' + kind;
    for (const auto& [key, value] : fields) out += ' ' + key + '=' + value;
    return out;
  }
  bool matches(const std::string& wanted_kind, const std::map<std::string, std::string>& wanted) const {
    if (kind != wanted_kind) return false;
    for (const auto& [key, value] : wanted)
      if (field(key) != value) return false;
    return true;
  }
};
using Log = std::vector<LogEntry>;

inline std::string format_log(const Log& log) {
  std::string out;
  for (const auto& entry : log) out += entry.text() + '\n';
  return out;
}

// Parses a stored log.
inline Log parse_log(const std::string& text) {
  Log log;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    LogEntry entry;
    words >> entry.at >> entry.kind;
    for (std::string word; words >> word;)
      if (auto equals = word.find('='); equals != std::string::npos)
        entry.fields.emplace_back(word.substr(0, equals), word.substr(equals + 1));
    log.push_back(std::move(entry));
  }
  return log;
}

}  // namespace rockcrank::trial
