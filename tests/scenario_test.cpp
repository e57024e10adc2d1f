// Plays the scenarios of tests/scenarios, whose notation is told in tests/scenarios/README.txt. Endpoints
// answer as the scenario says, the relay is woken when it asked, and the six rules are checked on every step.
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

std::uint64_t tag(const std::string& name) {
  return std::stoull(name.substr(name.find_first_of("0123456789")));
}

const std::map<std::string, TransmissionResult> endings{{"answered", TransmissionResult::answered},
                                                        {"error", TransmissionResult::error},
                                                        {"refused", TransmissionResult::refused},
                                                        {"turned_away", TransmissionResult::refused},
                                                        {"not_connected", TransmissionResult::not_connected},
                                                        {"broken", TransmissionResult::connection_lost}};

class Play {
 public:
  void line(const std::string& text) {
    std::istringstream in(text.substr(0, text.find('#')));
    std::string verb;
    if (!(in >> verb)) return;
    Words words;
    std::vector<std::string> plain;
    for (std::string word; in >> word;) {
      auto equals = word.find('=');
      if (equals == std::string::npos) plain.push_back(word);
      else words[word.substr(0, equals)] = word.substr(equals + 1);
    }
    if (verb == "relay") relay(words);
    else if (verb == "type") type(words);
    else if (verb == "kind")
      set_.destination_kinds.push_back({number(words, "apart", 0) > 0, int(number(words, "bundle", 1))});
    else if (verb == "expect") expect(plain, words, text);
    else if (verb[0] == '@') at(std::stod(verb.substr(1)), plain, words);
    else FAIL() << "unknown line: " << text;
  }

 private:
  struct Manner {
    std::string ending = "answered";
    double after = 100, wait = 0, every = 1, share = 0, limit = -1, idle = 0, nth = 0, queue = 1e9;
  };
  struct Sent {
    Millis at;
    DocId doc;
    EndpointId endpoint;
    int transmission;
  };
  struct Known {
    Document doc;
    Millis expiry;
    int tries = 0, out = 0;
    bool ended = false, may_have_run = false;
    Millis first_send = 0;
  };

  void relay(const Words& w) {
    set_.relays = int(number(w, "relays", 1)), set_.slots = int(number(w, "slots", 20));
    set_.max_documents = int(number(w, "room", 0)), set_.max_transmissions = int(number(w, "tries", 12));
    set_.connect_timeout = number(w, "connect", 1500);
    set_.tick = 5, set_.overload_multiple = number(w, "multiple", 2);
    set_.start_capacity = number(w, "start", 0.2), set_.warm_up_time = number(w, "warm", 10000);
    set_.order_settle_time = number(w, "rest", 0), set_.exponential_value_decay = number(w, "halves", 1) > 0;
    set_.limits_from_discovery = number(w, "listed", 0) > 0, seed_ = std::uint64_t(number(w, "seed", 7));
    set_.max_retry_after = 3000, set_.may_cancel = true, set_.discovery_on_request = w.count("asks") > 0;
    set_.local_discovery_agent = w.count("at_hand") > 0, tells_ = w.count("tells") > 0;
  }
  void type(const Words& w) {
    DocType t;
    t.target_latency = number(w, "agreed", 2000), t.lifetime = number(w, "life", 20000);
    t.value = number(w, "value", 1);
    t.late_value = 0.3, t.idempotency_window = number(w, "window", 12000),
    t.in_order = number(w, "ordered", 0) > 0;
    auto repeat = w.count("repeat") ? w.at("repeat") : "replayable";
    t.retry_safety = repeat == "binding"    ? RetrySafety::unsafe
                     : repeat == "numbered" ? RetrySafety::keyed
                                            : RetrySafety::idempotent;
    t.idempotency_scope =
        w.count("group") && w.at("group") == "hall" ? IdempotencyScope::zone : IdempotencyScope::global;
    set_.doc_types.push_back(t);
  }

  void at(Millis time, const std::vector<std::string>& plain, const Words& words) {
    if (set_.destination_kinds.empty()) set_.destination_kinds.push_back({});
    if (set_.doc_types.empty()) type({{"repeat", "replayable"}});
    if (set_.tick == 0) relay({});
    if (!decision_) decision_ = Decision::make(set_, seed_);
    if (plain.at(0) == "end") {
      turn_end();
      run_until(time + set_.tick / 2);
      now_ = time;
      return;
    }
    if (time > now_) {
      turn_end();
      run_until(time);
      now_ = time;
    }
    if (!open_) decision_->begin_turn(now_), open_ = true;
    const std::string& verb = plain.at(0);
    auto of = [&](const char* name, double absent = 0) { return number(words, name, absent); };
    if (plain.size() > 2) {
      manners_[EndpointId(tag(plain.at(1)))] = {plain.at(2),    of("after", 100), of("wait"),
                                                of("every", 1), of("share", 1),   of("limit", -1),
                                                of("idle"),     of("nth"),        of("queue", 1e9)};
    }
    if (verb == "out" || verb == "back") {
      EndpointId e{tag(plain.at(1))};
      told_off_[e] = verb == "out" ? now_ + 2000 : 1e18;
      decision_->set_offline(e, verb == "out");
    } else if (verb == "retune") {
      auto fresh = set_;
      if (words.count("tries")) fresh.max_transmissions = int(of("tries"));
      for (auto& type : fresh.doc_types)
        if (words.count("repeat")) type.retry_safety = RetrySafety::unsafe;
      decision_->update_settings(fresh);
    } else if (verb == "unlisted") {
      decision_->discovery_failed(of("turned_away") > 0, of("took"));
    } else if (verb == "list" || verb == "drain" || verb == "gone") {
      EndpointEntry e;
      e.endpoint = EndpointId(tag(plain.at(1))), e.destination = DestinationId(of("for", 1));
      e.kind = DestinationKindId(of("kind")), e.zone = ZoneId(of("hall")), e.listed_rate = of("rate");
      e.status = verb == "list"    ? EndpointStatus::ready
                 : verb == "drain" ? EndpointStatus::draining
                                   : EndpointStatus::gone;
      if (!words.count("yet_out")) told_off_[e.endpoint] = verb == "list" ? 1e18 : now_ + 2000;
      owner_[e.endpoint] = set_.destination_kinds.at(std::size_t(e.kind)).route_per_endpoint
                               ? 1000 + tag(plain.at(1))
                               : std::uint64_t(e.destination);
      decision_->update_endpoints({e}, false);
    } else if (verb == "take") {
      for (int i = 0; i < int(number(words, "times", 1)); ++i) {
        Known k;
        k.doc.id = DocId(tag(plain.at(1)) + std::uint64_t(i)), k.doc.type = DocTypeId(of("type"));
        k.doc.destination = DestinationId(of("for", 1)), k.doc.key = KeyId(of("key"));
        k.doc.has_key = words.count("key") > 0;
        k.doc.time_left = number(words, "left", set_.doc_types.at(std::size_t(k.doc.type)).lifetime);
        k.expiry = now_ + k.doc.time_left;
        k.tries = k.doc.transmissions = int(of("tries"));
        k.may_have_run = k.doc.may_have_run = words.count("ran") > 0;
        k.doc.may_have_run_ago = of("ran"), k.first_send = now_ - of("ran");
        if (k.may_have_run && k.doc.has_key) rests_[k.doc.key] = now_ + set_.order_settle_time;
        known_[k.doc.id] = k;
        order_.push_back(k.doc.id);
        decision_->accept(k.doc);
      }
    } else if (verb == "leave") {
      decision_->begin_shutdown(of("within"));
    } else if (verb == "stall") {
      stalled_until_ = now_ + number(words, "for", 0);
    } else if (verb == "learn") {
      RouteStatus k;
      k.per_endpoint = plain.at(1)[0] == 'e', k.route = tag(plain.at(1)), k.retry_after_left = of("wait");
      const std::map<std::string, RouteState> states{
          {"well", RouteState::healthy}, {"down", RouteState::down}, {"returning", RouteState::recovering}};
      k.state = states.at(words.count("state") ? words.at("state") : "well"), k.state_age = of("age", 1e9);
      k.from_this_relay = of("own") > 0, k.rate_before_outage = of("before"), k.rate_limit = of("limit"),
      k.remaining_share = of("share", 1);
      k.limit_age = of("limit_age");
      auto owner = k.per_endpoint ? 1000 + k.route : k.route;
      waits_[owner] = std::max(waits_[owner], now_ + k.retry_after_left);
      decision_->apply_route_status(k);
    } else if (verb == "knowledge") {
      told(decision_->route_statuses(words.count("all") > 0));
    } else if (verb == "ahead") {
      bool may = decision_->may_preconnect(EndpointId(tag(plain.at(1))), int(of("up")));
      ended_[may ? "opened" : "unopened"][DocId(tag(plain.at(1)))] = now_;
    } else if (verb == "restart") {
      decision_ = Decision::make(set_, ++seed_);
      decision_->begin_turn(now_);
      pending_.clear(), known_.clear(), rests_.clear(), waits_.clear();
    } else if (verb != "endpoint") {
      FAIL() << "unknown event " << verb;
    }
  }

  void turn_end() {
    if (!open_) return;
    open_ = false;
    auto begun = std::clock();
    auto done = decision_->decide();
    if (tells_) told(decision_->route_statuses(false));
    cpu_ms_ += 1e3 * double(std::clock() - begun) / CLOCKS_PER_SEC, ++turns_;
    for (const auto& text : done.log) logs_.push_back(text);
    for (const auto& r : done.rejected) final_answer(r.doc, true);
    for (DocId d : done.abandoned) final_answer(d, false);
    for (const auto& c : done.canceled)
      for (auto at = pending_.begin(); at != pending_.end(); ++at)
        if (at->second.doc == c.doc && at->second.transmission == c.transmission) {
          Outcome o = at->second;
          o.result = TransmissionResult::canceled, o.completed = false, o.retry_after = 0;
          pending_.erase(at);
          pending_.emplace(now_ + set_.tick, o);
          break;
        }
    for (auto [e, idle_least] : done.closed_connections)
      if (idle_least == 0) used_.erase(e), ended_["closed"][DocId(std::uint64_t(e))] = now_;
      else ended_["thinned"][DocId(std::uint64_t(e))] = now_;
    for (EndpointId e : done.forgotten_endpoints) ended_["forgotten"][DocId(std::uint64_t(e))] = now_;
    if (done.long_poll_wait > 0) ended_["follows"][DocId(ended_["follows"].size())] = now_;
    struck_.clear();
    for (const auto& t : done.transmissions)
      if (int nth = int(manners_[t.endpoint].nth); nth > 0 && ++docs_[t.endpoint] % nth == 0)
        struck_.insert(t.endpoint);
    for (const auto& t : done.transmissions) send(t);
    wake_ = done.wake_in < 0 ? 1e18 : now_ + std::ceil(std::max(done.wake_in, 1.0) / set_.tick) * set_.tick;
  }

  // As lines that a scenario can look for, as of the log.
  void told(const std::vector<RouteStatus>& all) {
    const char* states[] = {"well", "down", "returning"};
    for (const auto& k : all) {
      char line[160];
      std::snprintf(line, sizeof line, "%s%llu wait %.0f, %s for %.0f, %.3g before, limit %.3g, %.2g left",
                    k.per_endpoint ? "e" : "d", static_cast<unsigned long long>(k.route), k.retry_after_left,
                    states[int(k.state)], std::min(k.state_age, 1e6), k.rate_before_outage, k.rate_limit,
                    k.remaining_share);
      knowledge_.push_back({now_, line});
    }
  }

  void final_answer(DocId id, bool rejected) {
    Known& k = known_.at(id);
    EXPECT_FALSE(k.ended) << "rule 1: a second final answer for " << std::uint64_t(id);
    EXPECT_LE(now_, k.expiry) << "rule 1: a late final answer for " << std::uint64_t(id);
    auto& t = set_.doc_types.at(std::size_t(k.doc.type));
    if (rejected && t.retry_safety == RetrySafety::unsafe) {
      EXPECT_TRUE(!k.may_have_run && k.out == 0) << "rule 2: rejected, yet it may have run";
    }
    k.ended = true;
    ended_[rejected ? "rejected" : "abandoned"][id] = now_;
  }

  void send(const Transmit& t) {
    Known& k = known_.at(t.doc);
    auto& type = set_.doc_types.at(std::size_t(k.doc.type));
    EXPECT_FALSE(k.ended) << "rule 1: sent after its end";
    EXPECT_LE(now_, told_off_[t.endpoint]) << "rule 3: sent past the grace of a drain";
    EXPECT_GE(now_, waits_[owner_[t.endpoint]]) << "rule 6: sent inside a told wait at " << now_;
    if (k.may_have_run || k.out > 0) {
      EXPECT_NE(type.retry_safety, RetrySafety::unsafe) << "rule 2: a binding document went again";
      if (type.retry_safety == RetrySafety::keyed) {
        EXPECT_LT(now_, k.first_send + type.idempotency_window) << "rule 2: past the window";
      }
    }
    if (type.in_order && k.doc.has_key)
      for (DocId other : order_) {
        if (other == t.doc) break;
        auto o = known_.find(other);
        if (o == known_.end() || !o->second.doc.has_key || o->second.doc.key != k.doc.key) continue;
        EXPECT_TRUE(o->second.ended && o->second.out == 0) << "rule 5: out of order";
        if (k.tries == 0) { EXPECT_GE(now_, rests_[k.doc.key]) << "rule 5: the key had to rest"; }
      }
    if (!k.may_have_run && k.out == 0) k.first_send = now_;
    sent_.push_back({now_, t.doc, t.endpoint, k.tries});
    Manner m = manners_[t.endpoint];
    auto bundle = std::make_pair(now_, t.endpoint);
    if (m.every > 1 && !bundled_.count(bundle) && ++counts_[t.endpoint] % int(m.every) != 0)
      m.ending = "answered";
    bundled_.insert(bundle);
    if (m.idle > 0 && used_.count(t.endpoint) && now_ > used_[t.endpoint] + m.idle)
      m.ending = "broken", m.after = 10;
    if (struck_.count(t.endpoint)) m.ending = "broken";
    auto there = [&](const auto& out) { return out.second.endpoint == t.endpoint; };
    if (double(std::count_if(pending_.begin(), pending_.end(), there)) >= m.queue)
      m.ending = "refused", m.after = 10;
    used_[t.endpoint] = now_;
    bool late = m.ending == "silent" || (t.timeout > 0 && m.after >= t.timeout);
    Outcome o;
    o.doc = t.doc, o.transmission = k.tries++, o.endpoint = t.endpoint;
    o.result = late ? TransmissionResult::timed_out : endings.at(m.ending);
    o.duration = late ? (t.timeout > 0 ? t.timeout : k.expiry - now_) : m.after;
    if (o.result == TransmissionResult::refused) o.retry_after = m.wait;
    if (m.ending == "turned_away") o.connection_idle_time = 0, o.connection_closed = true;
    if (m.limit >= 0) o.hints = {true, m.share, m.limit};
    ++k.out;
    pending_.emplace(now_ + std::ceil(o.duration / set_.tick) * set_.tick, o);
  }

  void run_until(Millis time) {
    while (true) {
      Millis next = std::min(wake_, pending_.empty() ? 1e18 : pending_.begin()->first);
      next = std::max(next, stalled_until_);
      if (next >= time) return;
      now_ = std::max(now_, next);
      decision_->begin_turn(now_), open_ = true;
      while (!pending_.empty() && pending_.begin()->first <= now_) {
        Outcome o = pending_.begin()->second;
        pending_.erase(pending_.begin());
        Known& k = known_.at(o.doc);
        --k.out;
        o.completed = k.ended || o.result == TransmissionResult::answered;
        if (o.result == TransmissionResult::answered && !k.ended) ended_["answered"][o.doc] = now_;
        k.ended = o.completed;
        if (o.result != TransmissionResult::refused && o.result != TransmissionResult::not_connected)
          k.may_have_run = true;
        if (o.result == TransmissionResult::timed_out || o.result == TransmissionResult::connection_lost)
          rests_[k.doc.key] = now_ + set_.order_settle_time;
        if (o.retry_after > 0)
          waits_[owner_[o.endpoint]] = std::max(waits_[owner_[o.endpoint]], now_ + o.retry_after);
        decision_->outcome(o);
      }
      turn_end();
    }
  }

  static double cpu_unit() {  // what this machine takes for a thousand steps of a list
    std::map<int, double> list;
    for (int i = 0; i < 10000; ++i) list[i * 7919 % 10007] = i;
    double sum = 0;
    auto begun = std::clock();
    for (int round = 0; round < 50; ++round)
      for (auto& [key, value] : list) sum += value = std::exp2(-value / 10000);
    return sum > 0 ? 1e3 * double(std::clock() - begun) / CLOCKS_PER_SEC / 500 : 1;
  }

  void expect(const std::vector<std::string>& plain, const Words& words, const std::string& text) {
    const std::string& what = plain.at(0);
    Millis from = number(words, "from", 0), to = number(words, "to", 1e18);
    double count = 0;
    auto within = [&](Millis at) { return at >= from && at <= to; };
    auto ends = [&](const std::map<DocId, Millis>& of) {
      for (auto& [id, when] : of) count += within(when) && (plain.size() < 2 || DocId(tag(plain[1])) == id);
    };
    if (what == "sends" || what == "calls") {
      std::set<std::pair<Millis, EndpointId>> calls;
      for (const auto& s : sent_)
        if (within(s.at) && (!words.count("doc") || DocId(number(words, "doc", 0)) == s.doc) &&
            (!words.count("try") || int(number(words, "try", 0)) == s.transmission + 1) &&
            (!words.count("endpoint") || EndpointId(tag(words.at("endpoint"))) == s.endpoint))
          ++count, calls.emplace(s.at, s.endpoint);
      if (what == "calls") count = double(calls.size());
    } else if (what == "cpu") count = cpu_ms_ / turns_ / cpu_unit();
    else if (ended_.count(what)) ends(ended_[what]);
    else if (what == "log" || what == "nolog") {
      std::string wanted = text.substr(text.find("log ") + 4);
      for (const auto& line : logs_) count += line.find(wanted) != std::string::npos;
      EXPECT_EQ(count > 0, what == "log") << text;
      return;
    } else if (what == "knows") {
      std::string wanted = text.substr(text.find("\"") + 1);
      wanted = wanted.substr(0, wanted.find("\""));
      for (const auto& [when, line] : knowledge_)
        count += within(when) && line.find(wanted) != std::string::npos;
    } else FAIL() << "unknown expectation: " << text;
    EXPECT_GE(count, number(words, "least", words.count("most") ? 0 : 1)) << text;
    EXPECT_LE(count, number(words, "most", 1e9)) << text;
  }

  Settings set_;
  std::uint64_t seed_ = 7;
  std::unique_ptr<Decision> decision_;
  Millis now_ = 0, wake_ = 1e18, stalled_until_ = 0;
  bool open_ = false, tells_ = false;
  double cpu_ms_ = 0, turns_ = 0;
  std::map<EndpointId, Manner> manners_;
  std::map<EndpointId, Millis> told_off_;
  std::map<EndpointId, std::uint64_t> owner_;
  std::map<EndpointId, int> counts_, docs_;
  std::set<EndpointId> struck_;  // this turn's call there breaks
  std::map<EndpointId, Millis> used_;
  std::set<std::pair<Millis, EndpointId>> bundled_;
  std::map<std::uint64_t, Millis> waits_;
  std::map<KeyId, Millis> rests_;
  std::map<DocId, Known> known_;
  std::vector<DocId> order_;
  std::multimap<Millis, Outcome> pending_;
  std::vector<Sent> sent_;
  std::map<std::string, std::map<DocId, Millis>> ended_{{"answered", {}}, {"rejected", {}}, {"abandoned", {}},
                                                        {"closed", {}},   {"thinned", {}},  {"forgotten", {}},
                                                        {"follows", {}},  {"opened", {}},   {"unopened", {}}};
  std::vector<std::string> logs_;
  std::vector<std::pair<Millis, std::string>> knowledge_;
};

// What a parser makes of a text: "resp TEXT => ..." and "http TEXT => ...".
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
    std::string text, wanted, line;
    auto play = [&] {
      if (wanted.empty()) return;
      std::istringstream input(text);
      std::ostringstream output;
      wire::Host host(input, output);
      std::string got = "none";
      try {
        host.run();
      } catch (const wire::ParseError& fault) {
        got = "line " + std::to_string(host.line_number()) + ": " + fault.what();
      }
      EXPECT_EQ(got.substr(0, wanted.size()), wanted) << text;
    };
    while (std::getline(in, line)) {
      if (line.rfind("== ", 0) == 0) play(), wanted = line.substr(3), text.clear();
      else text += line + "\n";
    }
    return play();
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
    for (std::string line; std::getline(in, line) && !HasFatalFailure();) stand_in.line(line);
    return;
  }
  Play play;
  for (std::string line; std::getline(in, line);) play.line(line);
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
