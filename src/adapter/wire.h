// The simulator's line protocol: parses its lines, reports them to the decision module of each instance and
// writes the answers. It makes no decisions itself.
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

// Reads the space-separated fields of one line in order. `what` names the field in errors.
class Fields {
 public:
  explicit Fields(std::string_view line) : rest_(line) {}
  std::string_view word(const char* what);
  std::string_view text() { return std::exchange(rest_, {}); }
  std::int64_t integer(const char* what, std::int64_t min, std::int64_t max);
  std::int64_t integer_or(const char* what, std::int64_t min, std::int64_t max, std::int64_t default_value);
  bool flag(const char* what);
  bool at_end() const { return rest_.empty(); }
  void end();  // throws if anything is left

 private:
  std::string_view rest_;
};

// Runs one decision module for each simulated relay instance.
class Host {
 public:
  // gossip_enabled: instances send each other gossip datagrams if their settings allow it.
  Host(std::istream& in, std::ostream& out, bool gossip_enabled = false)
      : in_(in), out_(out), gossip_enabled_(gossip_enabled) {}
  void run();  // until the input ends; throws ParseError on malformed input
  std::uint64_t line_number() const { return line_number_; }

 private:
  struct Instance {
    std::unique_ptr<Decision> decision;
    std::unique_ptr<fleet::RouteGossip> gossip;  // null: no gossip is sent or received
    int kinds, doc_types;
    std::int64_t wake_at = -1;  // microseconds; negative: no timer set
    std::string error;          // of the decision module; reported as a panic at the end of the batch
  };

  bool next_line();
  void process_batch(std::int64_t clock, std::int64_t batch_number);
  void process_event(std::string_view name, Fields& fields, std::int64_t clock);
  void power_on(Fields& fields, std::int64_t clock);
  void register_list(Fields& fields);
  void update(Fields& fields, Instance& instance);
  void reply(Fields& fields, Instance& instance);
  void write_decision(int relay, Instance& instance, std::int64_t clock);
  Millis send_gossip(int relay, Instance& instance, Millis now);
  Instance& find_instance(Fields& fields, std::int64_t clock);
  EndpointId endpoint_id(std::string_view address);
  template <typename Call>
  void run_guarded(Instance& instance, Call call);

  std::istream& in_;
  std::ostream& out_;
  const bool gossip_enabled_;
  std::string line_;
  std::uint64_t line_number_ = 0;
  std::map<int, Instance> instances_;
  std::set<int> active_;  // instances with events in this batch
  std::map<int, std::vector<EndpointEntry>> lists_;
  std::unordered_map<std::uint64_t, std::string> addresses_;  // by endpoint id
};

}  // namespace rockcrank::wire
