// Runs the scenarios of tests/scenarios; the README.txt there describes their language. The *.scene files run
// the decision module on a virtual clock: endpoints answer as scripted, the module is woken at the time that
// it requested, and every send and final answer is checked against the module's rules.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>

#include "adapter/wire.h"
#include "decision/decision.h"
#include "relay/http.h"
#include "relay/resp.h"
#include "settings/base64.h"
#include "stand_in.h"

namespace rockcrank {
namespace {

// The number in a name such as e12 or d1.
std::uint64_t id_number(const std::string& name) {
  return std::stoull(name.substr(name.find_first_of("0123456789")));
}

const std::map<std::string, TransmissionResult> results_by_name{
    {"answered", TransmissionResult::answered},
    {"error", TransmissionResult::error},
    {"refused", TransmissionResult::refused},
    {"turned_away", TransmissionResult::refused},
    {"not_connected", TransmissionResult::not_connected},
    {"broken", TransmissionResult::connection_lost}};

// Runs one *.scene file against the decision module.
class DecisionScenario {
 public:
  void run_line(const std::string& text) {
    std::istringstream in(text.substr(0, text.find('#')));
    std::string verb;
    if (!(in >> verb)) return;
    Options options;
    std::vector<std::string> arguments;
    for (std::string word; in >> word;) {
      auto equals = word.find('=');
      if (equals == std::string::npos) arguments.push_back(word);
      else options[word.substr(0, equals)] = word.substr(equals + 1);
    }
    if (verb == "relay") set_relay(options);
    else if (verb == "type") add_doc_type(options);
    else if (verb == "kind")
      settings_.destination_kinds.push_back(
          {number_or(options, "apart", 0) > 0, int(number_or(options, "bundle", 1))});
    else if (verb == "expect") expect(arguments, options, text);
    else if (verb[0] == '@') run_event(std::stod(verb.substr(1)), arguments, options);
    else FAIL() << "unknown directive: " << text;
  }

 private:
  struct Behavior {
    std::string answer = "answered";
    double after = 100, wait = 0, every = 1, share = 0, limit = -1, idle = 0, nth = 0, queue = 1e9;
  };
  struct SentTransmission {
    Millis at;
    DocId doc;
    EndpointId endpoint;
    int transmission;
  };
  struct DocState {
    Document doc;
    Millis expiry;
    int transmissions = 0, in_flight = 0;
    bool ended = false, may_have_run = false;
    Millis first_send = 0;
  };

  void set_relay(const Options& options) {
    settings_.relays = int(number_or(options, "relays", 1)),
    settings_.slots = int(number_or(options, "slots", 20));
    settings_.max_documents = int(number_or(options, "room", 0)),
    settings_.max_transmissions = int(number_or(options, "tries", 12));
    settings_.connect_timeout = number_or(options, "connect", 1500);
    settings_.tick = 5, settings_.overload_multiple = number_or(options, "multiple", 2);
    settings_.start_capacity = number_or(options, "start", 0.2),
    settings_.warm_up_time = number_or(options, "warm", 10000);
    settings_.order_settle_time = number_or(options, "rest", 0),
    settings_.exponential_value_decay = number_or(options, "halves", 1) > 0;
    settings_.limits_from_discovery = number_or(options, "listed", 0) > 0,
    seed_ = std::uint64_t(number_or(options, "seed", 7));
    settings_.max_retry_after = 3000, settings_.may_cancel = true,
    settings_.discovery_on_request = options.count("asks") > 0;
    settings_.local_discovery_agent = options.count("at_hand") > 0,
    reports_changes_ = options.count("tells") > 0;
  }
  void add_doc_type(const Options& options) {
    DocType type;
    type.target_latency = number_or(options, "agreed", 2000),
    type.lifetime = number_or(options, "life", 20000);
    type.value = number_or(options, "value", 1);
    type.late_value = 0.3, type.idempotency_window = number_or(options, "window", 12000),
    type.in_order = number_or(options, "ordered", 0) > 0;
    auto repeat = options.count("repeat") ? options.at("repeat") : "replayable";
    type.retry_safety = repeat == "binding"    ? RetrySafety::unsafe
                        : repeat == "numbered" ? RetrySafety::keyed
                                               : RetrySafety::idempotent;
    type.idempotency_scope = options.count("group") && options.at("group") == "hall"
                                 ? IdempotencyScope::zone
                                 : IdempotencyScope::global;
    settings_.doc_types.push_back(type);
  }

  void run_event(Millis time, const std::vector<std::string>& arguments, const Options& options) {
    if (settings_.destination_kinds.empty()) settings_.destination_kinds.push_back({});
    if (settings_.doc_types.empty()) add_doc_type({{"repeat", "replayable"}});
    if (settings_.tick == 0) set_relay({});
    if (!decision_) decision_ = Decision::make(settings_, seed_);
    if (arguments.at(0) == "end") {
      end_turn();
      run_until(time + settings_.tick / 2);
      now_ = time;
      return;
    }
    if (time > now_) {
      end_turn();
      run_until(time);
      now_ = time;
    }
    if (!in_turn_) decision_->begin_turn(now_), in_turn_ = true;
    const std::string& verb = arguments.at(0);
    auto option = [&](const char* name, double absent = 0) { return number_or(options, name, absent); };
    if (arguments.size() > 2) {
      behaviors_[EndpointId(id_number(arguments.at(1)))] = {
          arguments.at(2),     option("after", 100), option("wait"), option("every", 1),  option("share", 1),
          option("limit", -1), option("idle"),       option("nth"),  option("queue", 1e9)};
    }
    if (verb == "out" || verb == "back") {
      EndpointId e{id_number(arguments.at(1))};
      last_send_time_[e] = verb == "out" ? now_ + 2000 : 1e18;
      decision_->set_offline(e, verb == "out");
    } else if (verb == "retune") {
      auto updated = settings_;
      if (options.count("tries")) updated.max_transmissions = int(option("tries"));
      for (auto& type : updated.doc_types)
        if (options.count("repeat")) type.retry_safety = RetrySafety::unsafe;
      decision_->update_settings(updated);
    } else if (verb == "unlisted") {
      decision_->discovery_failed(option("turned_away") > 0, option("took"));
    } else if (verb == "list" || verb == "drain" || verb == "gone") {
      EndpointEntry e;
      e.endpoint = EndpointId(id_number(arguments.at(1))), e.destination = DestinationId(option("for", 1));
      e.kind = DestinationKindId(option("kind")), e.zone = ZoneId(option("hall")),
      e.listed_rate = option("rate");
      e.status = verb == "list"    ? EndpointStatus::ready
                 : verb == "drain" ? EndpointStatus::draining
                                   : EndpointStatus::gone;
      if (!options.count("yet_out")) last_send_time_[e.endpoint] = verb == "list" ? 1e18 : now_ + 2000;
      route_of_[e.endpoint] = settings_.destination_kinds.at(std::size_t(e.kind)).route_per_endpoint
                                  ? 1000 + id_number(arguments.at(1))
                                  : std::uint64_t(e.destination);
      decision_->update_endpoints({e}, false);
    } else if (verb == "take") {
      for (int i = 0; i < int(number_or(options, "times", 1)); ++i) {
        DocState state;
        state.doc.id = DocId(id_number(arguments.at(1)) + std::uint64_t(i)),
        state.doc.type = DocTypeId(option("type"));
        state.doc.destination = DestinationId(option("for", 1)), state.doc.key = KeyId(option("key"));
        state.doc.has_key = options.count("key") > 0;
        state.doc.time_left =
            number_or(options, "left", settings_.doc_types.at(std::size_t(state.doc.type)).lifetime);
        state.expiry = now_ + state.doc.time_left;
        state.transmissions = state.doc.transmissions = int(option("tries"));
        state.may_have_run = state.doc.may_have_run = options.count("ran") > 0;
        state.doc.may_have_run_ago = option("ran"), state.first_send = now_ - option("ran");
        if (state.may_have_run && state.doc.has_key)
          key_settle_ends_[state.doc.key] = now_ + settings_.order_settle_time;
        doc_states_[state.doc.id] = state;
        acceptance_order_.push_back(state.doc.id);
        decision_->accept(state.doc);
      }
    } else if (verb == "leave") {
      decision_->begin_shutdown(option("within"));
    } else if (verb == "stall") {
      stalled_until_ = now_ + number_or(options, "for", 0);
    } else if (verb == "learn") {
      RouteStatus status;
      status.per_endpoint = arguments.at(1)[0] == 'e', status.route = id_number(arguments.at(1)),
      status.retry_after_left = option("wait");
      const std::map<std::string, RouteState> states{
          {"well", RouteState::healthy}, {"down", RouteState::down}, {"returning", RouteState::recovering}};
      status.state = states.at(options.count("state") ? options.at("state") : "well"),
      status.state_age = option("age", 1e9);
      status.from_this_relay = option("own") > 0, status.rate_before_outage = option("before"),
      status.rate_limit = option("limit"), status.remaining_share = option("share", 1);
      status.limit_age = option("limit_age");
      auto route = status.per_endpoint ? 1000 + status.route : status.route;
      retry_after_ends_[route] = std::max(retry_after_ends_[route], now_ + status.retry_after_left);
      decision_->apply_route_status(status);
    } else if (verb == "knowledge") {
      record_statuses(decision_->route_statuses(options.count("all") > 0));
    } else if (verb == "ahead") {
      bool may = decision_->may_preconnect(EndpointId(id_number(arguments.at(1))), int(option("up")));
      event_times_[may ? "opened" : "unopened"][DocId(id_number(arguments.at(1)))] = now_;
    } else if (verb == "restart") {
      decision_ = Decision::make(settings_, ++seed_);
      decision_->begin_turn(now_);
      pending_.clear(), doc_states_.clear(), key_settle_ends_.clear(), retry_after_ends_.clear();
    } else if (verb != "endpoint") {
      FAIL() << "unknown event " << verb;
    }
  }

  void end_turn() {
    if (!in_turn_) return;
    in_turn_ = false;
    auto started = std::clock();
    auto decided = decision_->decide();
    if (reports_changes_) record_statuses(decision_->route_statuses(false));
    cpu_ms_ += 1e3 * double(std::clock() - started) / CLOCKS_PER_SEC, ++turns_;
    for (const auto& line : decided.log) log_lines_.push_back(line.text);
    for (const auto& r : decided.rejected) record_final_answer(r.doc, true);
    for (DocId d : decided.abandoned) record_final_answer(d, false);
    for (const auto& c : decided.canceled)
      for (auto at = pending_.begin(); at != pending_.end(); ++at)
        if (at->second.doc == c.doc && at->second.transmission == c.transmission) {
          Outcome o = at->second;
          o.result = TransmissionResult::canceled, o.end = DocumentEnd::none, o.retry_after = 0;
          pending_.erase(at);
          pending_.emplace(now_ + settings_.tick, o);
          break;
        }
    for (auto [e, idle_least] : decided.closed_connections)
      if (idle_least == 0) last_used_.erase(e), event_times_["closed"][DocId(std::uint64_t(e))] = now_;
      else event_times_["thinned"][DocId(std::uint64_t(e))] = now_;
    for (EndpointId e : decided.forgotten_endpoints)
      event_times_["forgotten"][DocId(std::uint64_t(e))] = now_;
    if (decided.long_poll_wait > 0) event_times_["follows"][DocId(event_times_["follows"].size())] = now_;
    broken_this_turn_.clear();
    for (const auto& t : decided.transmissions)
      if (int nth = int(behaviors_[t.endpoint].nth); nth > 0 && ++doc_counts_[t.endpoint] % nth == 0)
        broken_this_turn_.insert(t.endpoint);
    for (const auto& t : decided.transmissions) transmit(t);
    next_wakeup_ = decided.wake_in < 0
                       ? 1e18
                       : now_ + std::ceil(std::max(decided.wake_in, 1.0) / settings_.tick) * settings_.tick;
  }

  // Formats the statuses as lines that "expect knows" searches.
  void record_statuses(const std::vector<RouteStatus>& all) {
    const char* states[] = {"well", "down", "returning"};
    for (const auto& status : all) {
      char line[160];
      std::snprintf(line, sizeof line, "%s%llu wait %.0f, %s for %.0f, %.3g before, limit %.3g, %.2g left",
                    status.per_endpoint ? "e" : "d", static_cast<unsigned long long>(status.route),
                    status.retry_after_left, states[int(status.state)], std::min(status.state_age, 1e6),
                    status.rate_before_outage, status.rate_limit, status.remaining_share);
      status_lines_.push_back({now_, line});
    }
  }

  void record_final_answer(DocId id, bool rejected) {
    DocState& state = doc_states_.at(id);
    EXPECT_FALSE(state.ended) << "a second final answer for " << std::uint64_t(id);
    EXPECT_LE(now_, state.expiry) << "a final answer after the expiry of " << std::uint64_t(id);
    auto& type = settings_.doc_types.at(std::size_t(state.doc.type));
    if (rejected && type.retry_safety == RetrySafety::unsafe) {
      EXPECT_TRUE(!state.may_have_run && state.in_flight == 0) << "rejected, though it may have run";
    }
    state.ended = true;
    event_times_[rejected ? "rejected" : "abandoned"][id] = now_;
  }

  void transmit(const Transmit& t) {
    DocState& state = doc_states_.at(t.doc);
    auto& type = settings_.doc_types.at(std::size_t(state.doc.type));
    EXPECT_FALSE(state.ended) << "sent after its final answer";
    EXPECT_LE(now_, last_send_time_[t.endpoint]) << "sent after the grace period of a drain";
    EXPECT_GE(now_, retry_after_ends_[route_of_[t.endpoint]])
        << "sent before the end of a Retry-After, at " << now_;
    if (state.may_have_run || state.in_flight > 0) {
      EXPECT_NE(type.retry_safety, RetrySafety::unsafe) << "an unsafe document was sent again";
      if (type.retry_safety == RetrySafety::keyed) {
        EXPECT_LT(now_, state.first_send + type.idempotency_window)
            << "sent again after the idempotency window";
      }
    }
    if (type.in_order && state.doc.has_key)
      for (DocId other : acceptance_order_) {
        if (other == t.doc) break;
        auto o = doc_states_.find(other);
        if (o == doc_states_.end() || !o->second.doc.has_key || o->second.doc.key != state.doc.key) continue;
        EXPECT_TRUE(o->second.ended && o->second.in_flight == 0) << "out of order";
        if (state.transmissions == 0) {
          EXPECT_GE(now_, key_settle_ends_[state.doc.key])
              << "sent before the settle time of its key was over";
        }
      }
    if (!state.may_have_run && state.in_flight == 0) state.first_send = now_;
    sent_.push_back({now_, t.doc, t.endpoint, state.transmissions});
    Behavior behavior = behaviors_[t.endpoint];
    auto batch = std::make_pair(now_, t.endpoint);
    if (behavior.every > 1 && !batches_.count(batch) && ++call_counts_[t.endpoint] % int(behavior.every) != 0)
      behavior.answer = "answered";
    batches_.insert(batch);
    if (behavior.idle > 0 && last_used_.count(t.endpoint) && now_ > last_used_[t.endpoint] + behavior.idle)
      behavior.answer = "broken", behavior.after = 10;
    if (broken_this_turn_.count(t.endpoint)) behavior.answer = "broken";
    auto to_endpoint = [&](const auto& pending) { return pending.second.endpoint == t.endpoint; };
    if (double(std::count_if(pending_.begin(), pending_.end(), to_endpoint)) >= behavior.queue)
      behavior.answer = "refused", behavior.after = 10;
    last_used_[t.endpoint] = now_;
    bool times_out = behavior.answer == "silent" || (t.timeout > 0 && behavior.after >= t.timeout);
    Outcome o;
    o.doc = t.doc, o.transmission = state.transmissions++, o.endpoint = t.endpoint;
    o.result = times_out ? TransmissionResult::timed_out : results_by_name.at(behavior.answer);
    o.duration = times_out ? (t.timeout > 0 ? t.timeout : state.expiry - now_) : behavior.after;
    if (o.result == TransmissionResult::refused) o.retry_after = behavior.wait;
    if (behavior.answer == "turned_away") o.connection_idle_time = 0, o.connection_closed = true;
    if (behavior.limit >= 0) o.hints = {true, behavior.share, behavior.limit};
    ++state.in_flight;
    pending_.emplace(now_ + std::ceil(o.duration / settings_.tick) * settings_.tick, o);
  }

  void run_until(Millis time) {
    while (true) {
      Millis next = std::min(next_wakeup_, pending_.empty() ? 1e18 : pending_.begin()->first);
      next = std::max(next, stalled_until_);
      if (next >= time) return;
      now_ = std::max(now_, next);
      decision_->begin_turn(now_), in_turn_ = true;
      while (!pending_.empty() && pending_.begin()->first <= now_) {
        Outcome o = pending_.begin()->second;
        pending_.erase(pending_.begin());
        DocState& state = doc_states_.at(o.doc);
        --state.in_flight;
        const bool is_over = state.ended || o.result == TransmissionResult::answered;
        o.end = is_over ? DocumentEnd::over : DocumentEnd::none;
        if (o.result == TransmissionResult::answered && !state.ended) event_times_["answered"][o.doc] = now_;
        state.ended = is_over;
        if (o.result != TransmissionResult::refused && o.result != TransmissionResult::not_connected)
          state.may_have_run = true;
        if (o.result == TransmissionResult::timed_out || o.result == TransmissionResult::connection_lost)
          key_settle_ends_[state.doc.key] = now_ + settings_.order_settle_time;
        if (o.retry_after > 0)
          retry_after_ends_[route_of_[o.endpoint]] =
              std::max(retry_after_ends_[route_of_[o.endpoint]], now_ + o.retry_after);
        decision_->outcome(o);
      }
      end_turn();
    }
  }

  // The CPU time that this machine needs for a thousand steps through a list, in ms.
  static double cpu_unit() {
    std::map<int, double> list;
    for (int i = 0; i < 10000; ++i) list[i * 7919 % 10007] = i;
    double sum = 0;
    auto started = std::clock();
    for (int round = 0; round < 50; ++round)
      for (auto& [key, value] : list) sum += value = std::exp2(-value / 10000);
    return sum > 0 ? 1e3 * double(std::clock() - started) / CLOCKS_PER_SEC / 500 : 1;
  }

  void expect(const std::vector<std::string>& arguments, const Options& options, const std::string& text) {
    const std::string& expectation = arguments.at(0);
    Millis from = number_or(options, "from", 0), to = number_or(options, "to", 1e18);
    double count = 0;
    auto within = [&](Millis at) { return at >= from && at <= to; };
    auto count_events = [&](const std::map<DocId, Millis>& times) {
      for (auto& [id, when] : times)
        count += within(when) && (arguments.size() < 2 || DocId(id_number(arguments[1])) == id);
    };
    if (expectation == "sends" || expectation == "calls") {
      std::set<std::pair<Millis, EndpointId>> calls;
      for (const auto& s : sent_)
        if (within(s.at) && (!options.count("doc") || DocId(number_or(options, "doc", 0)) == s.doc) &&
            (!options.count("try") || int(number_or(options, "try", 0)) == s.transmission + 1) &&
            (!options.count("endpoint") || EndpointId(id_number(options.at("endpoint"))) == s.endpoint))
          ++count, calls.emplace(s.at, s.endpoint);
      if (expectation == "calls") count = double(calls.size());
    } else if (expectation == "cpu") count = cpu_ms_ / turns_ / cpu_unit();
    else if (event_times_.count(expectation)) count_events(event_times_[expectation]);
    else if (expectation == "log" || expectation == "nolog") {
      std::string expected = text.substr(text.find("log ") + 4);
      for (const auto& line : log_lines_) count += line.find(expected) != std::string::npos;
      EXPECT_EQ(count > 0, expectation == "log") << text;
      return;
    } else if (expectation == "knows") {
      std::string expected = text.substr(text.find("\"") + 1);
      expected = expected.substr(0, expected.find("\""));
      for (const auto& [when, line] : status_lines_)
        count += within(when) && line.find(expected) != std::string::npos;
    } else FAIL() << "unknown expectation: " << text;
    EXPECT_GE(count, number_or(options, "least", options.count("most") ? 0 : 1)) << text;
    EXPECT_LE(count, number_or(options, "most", 1e9)) << text;
  }

  Settings settings_;
  std::uint64_t seed_ = 7;
  std::unique_ptr<Decision> decision_;
  Millis now_ = 0, next_wakeup_ = 1e18, stalled_until_ = 0;
  bool in_turn_ = false, reports_changes_ = false;
  double cpu_ms_ = 0, turns_ = 0;
  std::map<EndpointId, Behavior> behaviors_;
  std::map<EndpointId, Millis> last_send_time_;  // the latest at which a call may be sent there
  std::map<EndpointId, std::uint64_t> route_of_;
  std::map<EndpointId, int> call_counts_, doc_counts_;
  std::set<EndpointId> broken_this_turn_;  // endpoints whose call of this turn loses its connection
  std::map<EndpointId, Millis> last_used_;
  std::set<std::pair<Millis, EndpointId>>
      batches_;  // documents sent to one endpoint in one turn share a call
  std::map<std::uint64_t, Millis> retry_after_ends_;
  std::map<KeyId, Millis> key_settle_ends_;
  std::map<DocId, DocState> doc_states_;
  std::vector<DocId> acceptance_order_;
  std::multimap<Millis, Outcome> pending_;
  std::vector<SentTransmission> sent_;
  std::map<std::string, std::map<DocId, Millis>> event_times_{
      {"answered", {}},  {"rejected", {}}, {"abandoned", {}}, {"closed", {}},  {"thinned", {}},
      {"forgotten", {}}, {"follows", {}},  {"opened", {}},    {"unopened", {}}};
  std::vector<std::string> log_lines_;
  std::vector<std::pair<Millis, std::string>> status_lines_;
};

// Formats what a parser returns for a text: "resp TEXT => ...", "http TEXT => ..." and base64.
std::string parsed(const std::string& parser, const std::string& text) {
  const char* states[] = {"partial", "whole", "malformed"};
  std::ostringstream out;
  if (parser == "resp") {
    auto command = parse_command(text, 4, 64);
    out << states[int(command.state)];
    for (auto word : command.arguments) out << " [" << word << "]";
    if (command.size > 0) out << " " << command.size;
  } else if (parser == "http" || parser == "http-ended") {
    auto answer = parse_response(text, 64, parser == "http-ended");
    out << states[int(answer.state)] << " " << answer.status;
    if (answer.size > 0)
      out << " [" << answer.body() << "] " << answer.size << (answer.closes_connection ? " closes" : "");
  } else {
    out << base64_encode(text);
  }
  return out.str();
}

class Scenario : public testing::TestWithParam<std::filesystem::path> {};

TEST_P(Scenario, Plays) {
  std::ifstream in(GetParam());
  if (GetParam().extension() == ".wire") {
    std::string text, expected, line;
    auto check_case = [&] {
      if (expected.empty()) return;
      std::istringstream input(text);
      std::ostringstream output;
      wire::Host host(input, output);
      std::string got = "none";
      try {
        host.run();
      } catch (const wire::ParseError& fault) {
        got = "line " + std::to_string(host.line_number()) + ": " + fault.what();
      }
      EXPECT_EQ(got.substr(0, expected.size()), expected) << text;
    };
    while (std::getline(in, line)) {
      if (line.rfind("== ", 0) == 0) check_case(), expected = line.substr(3), text.clear();
      else text += line + "\n";
    }
    return check_case();
  }
  if (GetParam().extension() == ".parse") {
    for (std::string line; std::getline(in, line);) {
      auto space = line.find(' '), arrow = line.find(" => ");
      if (line.empty() || line[0] == '#') continue;
      ASSERT_NE(arrow, std::string::npos) << line;
      EXPECT_EQ(parsed(line.substr(0, space), unescaped(line.substr(space + 1, arrow - space - 1))),
                line.substr(arrow + 4))
          << line;
    }
    return;
  }
  if (GetParam().extension() == ".relay") {
    StandIn stand_in;
    for (std::string line; std::getline(in, line) && !HasFatalFailure();) stand_in.run_line(line);
    return;
  }
  DecisionScenario scenario;
  for (std::string line; std::getline(in, line);) scenario.run_line(line);
}

std::vector<std::filesystem::path> scenarios() {
  std::vector<std::filesystem::path> found;
  for (const auto& entry : std::filesystem::directory_iterator(SCENARIOS))
    if (entry.path().extension() != ".txt") found.push_back(entry.path());
  std::sort(found.begin(), found.end());
  return found;
}

INSTANTIATE_TEST_SUITE_P(All, Scenario, testing::ValuesIn(scenarios()),
                         [](const auto& info) { return info.param.stem().string(); });

}  // namespace
}  // namespace rockcrank
