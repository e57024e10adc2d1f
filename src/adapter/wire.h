// The simulator's wire: lines in, lines out. Hosts the instances; decides nothing.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fleet/route_gossip.h"
#include "settings/settings.h"

namespace rockcrank::wire {

using rockcrank::ParseError;

// One line, taken apart field by field.
class Fields {
 public:
  explicit Fields(std::string_view line) : rest_(line) {}
  std::string_view word(const char* what);
  std::string_view text() { return std::exchange(rest_, {}); }
  std::int64_t integer(const char* what, std::int64_t low, std::int64_t high);
  std::int64_t integer_or(const char* what, std::int64_t low, std::int64_t high, std::int64_t absent);
  bool flag(const char* what);
  bool at_end() const { return rest_.empty(); }
  void end();

 private:
  std::string_view rest_;
};

class Host {
 public:
  // notes: short ones go between instances where the settings allow them.
  Host(std::istream& in, std::ostream& out, bool notes = false) : in_(in), out_(out), with_notes_(notes) {}
  void run();  // until the input ends; throws Fault on malformed input
  std::uint64_t line_number() const { return line_number_; }

 private:
  struct Instance {
    std::unique_ptr<Decision> decision;
    std::unique_ptr<fleet::RouteGossip> notes;  // none: none are sent or heard
    int kinds, doc_types;
    std::int64_t wake_at = -1;
    std::string fault;
  };

  bool next_line();
  void turn(std::int64_t clock, std::int64_t number);
  void event(std::string_view name, Fields& fields, std::int64_t clock);
  void power_on(Fields& fields, std::int64_t clock);
  void register_list(Fields& fields);
  void update(Fields& fields, Instance& instance);
  void reply(Fields& fields, Instance& instance);
  void answer(int number, Instance& instance, std::int64_t clock);
  Millis tell_notes(int number, Instance& instance, Millis now);
  Instance& instance_of(Fields& fields, std::int64_t clock);
  EndpointId endpoint_id(std::string_view address);
  template <typename Call>
  void guarded(Instance& instance, Call call);

  std::istream& in_;
  std::ostream& out_;
  const bool with_notes_;
  std::string line_;
  std::uint64_t line_number_ = 0;
  std::map<int, Instance> instances_;
  std::set<int> acting_;
  std::map<int, std::vector<EndpointEntry>> lists_;
  std::unordered_map<std::uint64_t, std::string> addresses_;
};

}  // namespace rockcrank::wire
