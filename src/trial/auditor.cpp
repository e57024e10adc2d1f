// Implements one function for each check. A check reports only what the log proves; where a line may not have
// been read or a copy may have been lost, the relay is excused, and the reason stands at each check.

#include "trial/auditor.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>

namespace rockcrank::trial {
namespace {

using Time = double;  // ms
constexpr Time never = 1e18;

// Tolerances for delays of the test machine and of the harness's poll loop.
constexpr Time answer_slack = 500;    // after a document's expiry
constexpr Time delivery_slack = 150;  // from writing a call or an answer to reading it
constexpr Time wait_slack = 60;       // a wait counts from when the relay reads the answer
// What the protocol allows of a relay's own waits, for any process that was held up.
constexpr Time wait_crossing_time =
    100;                             // calls that arrive so long after the answer was written are let through
constexpr Time wait_tolerance = 50;  // before a wait's end
constexpr Time answer_read_time = 250;   // until a running process has read an answer
constexpr Time first_call_time = 500;    // from accepting a document to its first call, without other faults
constexpr Time propagation_time = 1000;  // from one relay to another that is linked to it
constexpr Time reconnect_time = 2500;    // after a cut, or after a missing member returns
constexpr Time client_timeout = 3000;
constexpr Time startup_time = 200;  // until a process has installed its signal handlers
const char* const sigterm_code = "-15";
constexpr Time drain_slack = 300;
constexpr Time recovery_time = 8000;  // after the last fault: takeovers, catch-up and held documents

struct Line {
  Time at = 0;
  std::string kind, text;
  std::map<std::string, std::string> fields;
  std::string field(const std::string& name) const {
    auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
  }
  Time number(const std::string& name, Time absent = 0) const {
    auto value = field(name);
    return value.empty() ? absent : std::strtod(value.c_str(), nullptr);
  }
};

struct Call {
  // The last byte arrived after quiet_until and by received_at.
  Time started_at = 0, quiet_until = 0, received_at = 0, answered_at = never, broken_at = never, wait = 0;
  std::string relay, endpoint, dest, id, idempotency_key, key;
  long version = 0;
  int incarnation = 0, status = 0;
  // Whether the status proves that the document did not run; any other status leaves that open.
  bool surely_not_run() const {
    return status == 429 || status == 503 || status == 400 || status == 413 || status == 504 || status == 410;
  }
};
struct Notice {
  Time at = 0;
  std::string relay, status;
  int incarnation = 0;
};
struct Document {
  std::string id, relay, type, dest, key, idempotency_key, client;
  long version = 0;
  Time submitted_at = 0, answered_at = never, expiry = never;
  std::string answer;  // OK, BUSY or ERR, as the client received it
  int incarnation = 0, sequence = 0;
  bool connection_lost = false, tombstone = false;
  std::vector<Call> calls;
  std::vector<Notice> notices;
};
struct Type {
  std::string repeat, scope;
  Time window = 0;
  bool ordered = false;
  std::set<std::string> subscribers;  // destinations, if the type is a stream
};
struct Interval {
  Time from = 0, to = never;
  bool contains(Time at) const { return from <= at && at < to; }
  bool overlaps(Time a, Time b) const { return from <= b && a < to; }
};
struct Relay {
  std::vector<Interval> running, suspended;
  std::vector<Time> folder_lost_at;  // when its folder was emptied or replaced by an older copy
  std::vector<Time> disk_full_at;
  bool is_duplicate = false;
  bool runs(Time at) const {
    auto contains_time = [&](const Interval& span) { return span.contains(at); };
    return std::any_of(running.begin(), running.end(), contains_time) &&
           std::none_of(suspended.begin(), suspended.end(), contains_time);
  }
  bool runs_throughout(Time a, Time b) const {
    return std::any_of(running.begin(), running.end(),
                       [&](const Interval& s) { return s.from <= a && b < s.to; }) &&
           std::none_of(suspended.begin(), suspended.end(),
                        [&](const Interval& s) { return s.overlaps(a, b); });
  }
  int incarnation(Time at) const {
    int count = 0;
    for (const auto& span : running) count += span.from <= at;
    return count;
  }
};

class Auditor {
 public:
  explicit Auditor(const std::string& log) { read(log); }

  std::vector<Violation> run_checks() {
    collect_deliveries();
    check_crashes(), check_unknown(), check_unanswered(), check_ends(), check_effects(), check_windows(),
        check_drains(), check_cold_returns(), check_order(), check_waits(), check_opened_ahead(),
        check_offline(), check_versions(), check_convergence();
    return std::move(violations_);
  }

 private:
  // ---- parsing

  void read(const std::string& log) {
    std::istringstream in(log);
    for (std::string text; std::getline(in, text);) {
      Line line;
      std::istringstream words(text);
      line.text = text;
      if (!(words >> line.at >> line.kind)) throw std::runtime_error("cannot parse the log line: " + text);
      for (std::string word; words >> word;) {
        auto equals = word.find('=');
        if (equals == std::string::npos) throw std::runtime_error("cannot parse the log line: " + text);
        line.fields[word.substr(0, equals)] = word.substr(equals + 1);
      }
      apply(line);
      lines_.push_back(std::move(line));
    }
    end_ = lines_.empty() ? 0 : lines_.back().at;
  }

  void apply(const Line& line) {
    const auto& kind = line.kind;
    auto relay = line.field("r"), id = line.field("id");
    auto incarnation = [&] { return relays_[relay].incarnation(line.at); };
    if (kind == "set") settings_ = line;
    else if (kind == "type")
      types_[line.field("name")] = {line.field("repeat"), line.field("scope"), line.number("window"),
                                    line.field("ordered") == "1", split_list(line.field("stream"))};
    else if (kind == "endpoint")
      destination_of_[line.field("e")] = line.field("dest"), zone_of_[line.field("e")] = line.field("hall"),
      rate_of_[line.field("dest")] += line.number("rate");
    else if (kind == "relay") relays_[relay].is_duplicate = !line.field("twin").empty();
    else if (kind == "start") relays_[relay].running.push_back({line.at, never}), add_disturbance(line.at);
    else if (kind == "kill" || kind == "exit") {
      auto& state = relays_[relay];
      if (!state.running.empty()) state.running.back().to = std::min(state.running.back().to, line.at);
      if (!state.suspended.empty()) state.suspended.back().to = std::min(state.suspended.back().to, line.at);
      add_disturbance(line.at);
    } else if (kind == "term") add_disturbance(line.at);
    else if (kind == "stop") relays_[relay].suspended.push_back({line.at, never}), add_disturbance(line.at);
    else if (kind == "cont") relays_[relay].suspended.back().to = line.at, add_disturbance(line.at);
    else if (kind == "folder") relays_[relay].folder_lost_at.push_back(line.at), add_disturbance(line.at);
    else if (kind == "full" || kind == "roomy")
      relays_[relay].disk_full_at.push_back(line.at), add_disturbance(line.at);
    else if (kind == "link") {
      auto& cuts = cuts_[{line.field("i"), line.field("j")}];
      if (!cuts.empty() && cuts.back().to == never) cuts.back().to = line.at;
      if (line.field("way") != "open") cuts.push_back({line.at, never});
      add_disturbance(line.at);
    } else if (kind == "reset" || kind == "tear" || kind == "corrupt" || kind == "flood") {
      // Counts the link as down until it has had time to reconnect.
      cuts_[{line.field("i"), line.field("j")}].push_back({line.at, line.at + propagation_time}),
          add_disturbance(line.at);
    } else if (kind == "told") listed_states_[{relay, line.field("e")}].push_back(line);
    else if (kind == "fails" || kind == "works")
      outage_changes_[line.field("e")].emplace_back(line.at, kind == "fails");
    else if (kind == "peers") all_linked_at_.push_back(line.at);
    else if (kind == "out" || kind == "in") offline_orders_[line.field("e")].push_back(line);
    else if (kind == "hand") {
      Document& doc = documents_[id];
      doc.id = id, doc.relay = relay, doc.type = line.field("type"), doc.dest = line.field("dest");
      doc.key = line.field("key"), doc.idempotency_key = line.field("mark"), doc.client = line.field("c");
      doc.version = std::lround(line.number("v")), doc.submitted_at = line.at,
      doc.incarnation = incarnation();
      doc.expiry = line.at + line.number("left"), doc.sequence = ++submitted_count_,
      doc.tombstone = line.field("empty") == "1";
    } else if (kind == "said")
      documents_[id].answered_at = line.at, documents_[id].answer = line.field("what");
    else if (kind == "unsaid") documents_[id].connection_lost = true;
    else if (kind == "notice")
      documents_[id].notices.push_back({line.at, relay, line.field("status"), incarnation()});
    else if (kind == "call") {
      Call call;
      call.quiet_until = line.number("quiet", line.at);
      call.started_at = line.number("began", line.at), call.received_at = line.at, call.relay = relay;
      call.endpoint = line.field("e"), call.dest = line.field("dest"), call.id = id,
      call.idempotency_key = line.field("mark");
      call.key = line.field("key"), call.version = std::lround(line.number("v")),
      call.incarnation = incarnation();
      documents_[id].calls.push_back(call);
    } else if (kind == "answer" || kind == "broke") {
      auto& calls = documents_[id].calls;
      for (auto call = calls.rbegin(); call != calls.rend(); ++call)
        if (call->relay == relay && call->endpoint == line.field("e") && call->answered_at == never &&
            call->broken_at == never) {
          if (kind == "broke") call->broken_at = line.at;
          else
            call->answered_at = line.at, call->status = static_cast<int>(line.number("status")),
            call->wait = line.number("wait");
          break;
        }
    }
  }

  static std::set<std::string> split_list(const std::string& list) {
    std::set<std::string> all;
    std::istringstream in(list);
    for (std::string item; std::getline(in, item, ',');)
      if (!item.empty()) all.insert(item);
    return all;
  }
  // Collects the calls that deliver a stream's documents. Each subscriber gets a document under its id with
  // the subscriber's destination appended; the destination that the document was submitted for may also get
  // it under the plain id. The document is found by its id, since a tombstone has no body.
  void collect_deliveries() {
    for (auto& [id, doc] : documents_) {
      auto dot = id.rfind('.');
      const Document* source = &doc;
      if (doc.relay.empty()) {
        auto base = documents_.find(id.substr(0, dot));
        if (dot == std::string::npos || base == documents_.end() || base->second.relay.empty()) continue;
        source = &base->second;
      }
      auto type = types_.find(source->type);
      if (type == types_.end() || source->key == "0") continue;
      for (auto& call : doc.calls) {
        if (!type->second.subscribers.count(call.dest)) continue;
        if (doc.relay.empty() && call.dest != id.substr(dot + 1)) continue;
        call.key = source->key, call.version = source->version;
        deliveries_.push_back({&call, source});
      }
    }
  }
  bool to_subscriber(const Document& doc) const {
    auto type = types_.find(doc.type);
    return type != types_.end() && doc.key != "0" && type->second.subscribers.count(doc.dest);
  }
  struct Delivery {
    const Call* call;
    const Document* doc;
  };

  // ---- state at a given time

  void add_disturbance(Time at) { disturbances_.push_back(at); }
  bool sharing_enabled() const { return settings_.field("share") == "1"; }
  int copies() const { return static_cast<int>(settings_.number("copies")); }

  // Whether both relays ran and no fault was on the link between them in either direction.
  bool undisturbed_between(const std::string& first, const std::string& second, Time a, Time b) const {
    for (const auto& pair : {std::make_pair(first, second), std::make_pair(second, first)}) {
      auto cuts = cuts_.find(pair);
      if (cuts != cuts_.end() && std::any_of(cuts->second.begin(), cuts->second.end(),
                                             [&](const Interval& cut) { return cut.overlaps(a, b); }))
        return false;
    }
    return relays_.at(first).runs_throughout(a, b) && relays_.at(second).runs_throughout(a, b);
  }
  // Whether messages surely pass between the two relays during the whole interval: either the link was free
  // of faults for long enough to reconnect, or the harness has since seen traffic on all links.
  bool connected(const std::string& first, const std::string& second, Time a, Time b) const {
    if (undisturbed_between(first, second, a - reconnect_time, b)) return true;
    auto seen = std::upper_bound(all_linked_at_.begin(), all_linked_at_.end(), a);
    return seen != all_linked_at_.begin() && undisturbed_between(first, second, *std::prev(seen), b);
  }
  // Whether information that `from` had at `at` has surely reached `to` by `by`. It may travel over several
  // relays; the path must hold for the whole propagation time, either right after `at` or right before `by`.
  bool surely_informed(const std::string& from, const std::string& to, Time at, Time by) const {
    if (!sharing_enabled() || by < at + propagation_time ||
        !relays_.at(to).runs_throughout(by - propagation_time, by))
      return false;
    auto reaches = [&](Time a, Time b) {
      std::set<std::string> reached{from};
      for (bool grew = true; grew;) {
        grew = false;
        for (const auto& [name, relay] : relays_)
          if (!reached.count(name) && !relay.is_duplicate &&
              std::any_of(reached.begin(), reached.end(),
                          [&](const auto& informed) { return connected(informed, name, a, b); }))
            reached.insert(name), grew = true;
      }
      return reached.count(to) > 0;
    };
    return (relays_.at(to).runs_throughout(at, by) && reaches(at, at + propagation_time)) ||
           (relays_.at(from).runs_throughout(at, by) && reaches(by - propagation_time, by));
  }
  // Whether the relay that made the call surely read its answer.
  bool answer_was_read(const Call& call) const {
    return call.answered_at < never &&
           relays_.at(call.relay).runs_throughout(call.answered_at, call.answered_at + answer_read_time) &&
           relays_.at(call.relay).incarnation(call.answered_at) == call.incarnation;
  }
  // Whether a process or link had a fault, or a member was missing, during the interval.
  bool had_disturbance(Time a, Time b) const {
    if (std::any_of(disturbances_.begin(), disturbances_.end(), [&](Time at) { return a <= at && at <= b; }))
      return true;
    for (const auto& [pair, cuts] : cuts_)
      if (std::any_of(cuts.begin(), cuts.end(), [&](const Interval& cut) { return cut.overlaps(a, b); }))
        return true;
    for (const auto& [name, relay] : relays_)
      if (!relay.is_duplicate && !relay.runs_throughout(a, std::min(b, end_))) return true;
    return false;
  }
  // Counts members that lost their folder in the interval or that did not run at the end of the log.
  std::size_t lost_member_count(Time from, Time to) const {
    std::size_t count = 0;
    for (const auto& [name, relay] : relays_) {
      if (relay.is_duplicate) continue;
      bool not_running = relay.running.empty() || (relay.running.back().to < end_);
      bool lost_folder = std::any_of(relay.folder_lost_at.begin(), relay.folder_lost_at.end(),
                                     [&](Time at) { return from <= at && at <= to; });
      count += not_running || lost_folder;
    }
    return count;
  }
  // Whether the relay's folder and, before its documents were replicated anew, another member's memory were
  // lost: no more than one of the three members of a group may lose its memory at a time.
  bool lost_with_another_member(const std::string& relay, Time from, Time to) const {
    const Relay& owner = relays_.at(relay);
    for (Time emptied_at : owner.folder_lost_at) {
      if (emptied_at < from || emptied_at > to) continue;
      Interval lost{from, emptied_at + recovery_time};  // from its last end before that
      for (const Interval& life : owner.running)
        if (life.to <= emptied_at) lost.from = std::max(lost.from, life.to);
      for (const auto& [name, other] : relays_)
        if (name != relay && !other.is_duplicate && lost_memory_within(other, lost)) return true;
    }
    return false;
  }
  // Whether one of its processes had ended then and been started again, and its memory was not replicated
  // anew yet. One that was not started again counts in lost_member_count(), unless the log ends with it.
  static bool lost_memory_within(const Relay& relay, const Interval& span) {
    for (std::size_t i = 0; i + 1 < relay.running.size(); ++i) {
      Time ended = relay.running[i].to;
      Time replicated_by = relay.running[i + 1].from + recovery_time;
      if (span.overlaps(ended, replicated_by)) return true;
    }
    return false;
  }
  bool folder_was_lost(const std::string& relay, Time from, Time to) const {
    const auto& lost = relays_.at(relay).folder_lost_at;
    return std::any_of(lost.begin(), lost.end(), [&](Time at) { return from <= at && at <= to; });
  }
  // When a document must have its final answer: at its expiry or, if faults fell into its lifetime, the
  // recovery time after the last one.
  Time due(const Document& doc) const {
    Time due = doc.expiry;
    for (bool extended = true; extended;) {
      extended = false;
      for (Time at : disturbances_)
        if (doc.submitted_at - 50 <= at && at <= due && at + recovery_time > due)
          due = at + recovery_time, extended = true;
      auto extend_past = [&](const Interval& span) {
        if (!span.overlaps(doc.submitted_at, due)) return;
        auto until = std::min(span.to, end_) + recovery_time;
        if (until > due) due = until, extended = true;
      };
      for (const auto& [pair, cuts] : cuts_)
        for (const auto& cut : cuts) extend_past(cut);
      for (const auto& [name, relay] : relays_) {
        for (const auto& suspension : relay.suspended) extend_past(suspension);
        // A relay that never returns delays nothing if others hold copies. Without copies nobody else can end
        // the document, so it is never due.
        for (std::size_t i = 0; i < relay.running.size(); ++i) {
          bool back = i + 1 < relay.running.size();
          if (back || copies() == 0)
            extend_past({relay.running[i].to, back ? relay.running[i + 1].from : never});
        }
      }
    }
    return due;
  }

  void report(const std::string& check, const std::string& summary, const std::set<std::string>& ids,
              Time from, Time to, const std::string& endpoint_or_dest = "") {
    // Reports only the first violation of each check.
    if (!reported_.insert(check).second) return;
    Violation violation{check, summary, {}};
    static const std::set<std::string> faults{"start", "kill", "stop",    "cont", "folder", "link",
                                              "reset", "tear", "corrupt", "full", "roomy",  "exit",
                                              "term",  "out",  "in",      "saved"};
    for (const auto& line : lines_) {
      bool same_document = !line.field("id").empty() && ids.count(line.field("id"));
      bool same_place =
          !endpoint_or_dest.empty() &&
          (line.field("e") == endpoint_or_dest || line.field("dest") == endpoint_or_dest) &&
          (line.kind == "fails" || line.kind == "works" || line.kind == "list" || line.kind == "manner");
      bool fault = faults.count(line.kind) && from - 3000 <= line.at && line.at <= to;
      if (same_document || same_place || fault) violation.evidence.push_back(line.text);
    }
    constexpr std::size_t max_evidence_lines = 60;
    if (violation.evidence.size() > max_evidence_lines)
      violation.evidence.erase(violation.evidence.begin(),
                               violation.evidence.end() - static_cast<std::ptrdiff_t>(max_evidence_lines));
    violations_.push_back(std::move(violation));
  }
  static std::string ms(Time at) {
    char text[32];
    std::snprintf(text, sizeof text, "%.0f", at);
    return text;
  }

  // ---- checks

  // A process that was told to end before it could install its handler dies of the signal; after SIGTERM that
  // is no crash.
  bool ended_before_it_was_up(const Line& exit) const {
    const auto& runs = relays_.at(exit.field("r")).running;
    return exit.field("asked") == "1" && exit.field("code") == sigterm_code && !runs.empty() &&
           exit.at < runs.back().from + startup_time;
  }
  void check_crashes() {
    for (const auto& line : lines_)
      if (line.kind == "exit" && (line.field("asked") != "1" || line.field("code") != "0") &&
          !ended_before_it_was_up(line))
        report("crash", line.field("r") + " exited unexpectedly or with an error, with " + line.field("code"),
               {}, line.at, line.at);
  }

  // No relay sends a document that no client submitted.
  void check_unknown() {
    for (const auto& [id, doc] : documents_)
      if (doc.relay.empty() && !doc.calls.empty() &&
          std::none_of(deliveries_.begin(), deliveries_.end(),
                       [&](auto& delivery) { return delivery.call->id == id; }))
        report("unknown", doc.calls[0].relay + " sent " + id + ", which no client submitted", {id},
               doc.calls[0].started_at, doc.calls[0].received_at);
  }

  // Each client gets an answer while the relay runs.
  void check_unanswered() {
    for (const auto& [id, doc] : documents_) {
      if (doc.relay.empty() || doc.connection_lost) continue;
      auto by = doc.submitted_at + client_timeout;
      if (doc.answered_at <= by || end_ < by || !relays_.at(doc.relay).runs_throughout(doc.submitted_at, by))
        continue;
      report("unanswered",
             "the client that submitted " + id + " to " + doc.relay + " got no answer within " +
                 ms(client_timeout) + " ms",
             {id}, doc.submitted_at, by);
    }
  }

  // Each accepted document gets one final answer before its expiry, and no call after it.
  void check_ends() {
    for (const auto& [id, doc] : documents_) {
      if (doc.relay.empty()) continue;
      Time first = never;  // time of the first final answer
      for (const auto& call : doc.calls)
        if (call.status == 200 || call.status == 410) first = std::min(first, call.answered_at);
      for (const auto& notice : doc.notices) first = std::min(first, notice.at);
      bool is_stream_delivery = to_subscriber(doc);  // ended by its deliveries, see check_versions()
      if (doc.answer == "OK" && !is_stream_delivery) {
        bool excused = copies() > 0 ? lost_member_count(doc.submitted_at, end_) > 1 ||
                                          lost_with_another_member(doc.relay, doc.submitted_at, end_)
                                    : folder_was_lost(doc.relay, doc.submitted_at, end_) ||
                                          (relays_.at(doc.relay).running.back().to < end_);
        auto due_by = due(doc) + answer_slack;
        if (!excused && first == never && end_ > due_by)
          report("lost", id + " was accepted by " + doc.relay + " and has no final answer", {id},
                 doc.submitted_at, due_by);
        else if (!excused && first < never && first > due_by)
          report("late", id + " had its final answer " + ms(first - doc.expiry) + " ms after its expiry",
                 {id}, doc.submitted_at, first);
      }
      check_two_ends(doc);
    }
  }

  void check_two_ends(const Document& doc) {
    const auto& id = doc.id;
    for (std::size_t i = 0; i < doc.notices.size(); ++i)
      for (std::size_t j = i + 1; j < doc.notices.size(); ++j) {
        const Notice &first = doc.notices[i], &second = doc.notices[j];
        // The same final status may be reported twice after a restart or takeover, when the relay cannot know
        // whether the first report arrived.
        bool allowed = first.status == second.status && had_disturbance(doc.submitted_at, second.at);
        if (copies() == 0 && folder_was_lost(second.relay, doc.submitted_at, second.at)) allowed = true;
        if (!allowed)
          report("two-ends",
                 id + " was reported as " + first.status + " by " + first.relay + " and then as " +
                     second.status + " by " + second.relay,
                 {id}, doc.submitted_at, second.at);
      }
    auto record_was_lost = [&](const Call& call) {
      return copies() == 0 && folder_was_lost(call.relay, doc.submitted_at, call.received_at);
    };
    for (const auto& notice : doc.notices)
      for (const auto& call : doc.calls)
        if (call.started_at > notice.at + delivery_slack && !record_was_lost(call))
          report("after-end",
                 id + " was ended (" + notice.status + ") by " + notice.relay + " and then sent by " +
                     call.relay,
                 {id}, doc.submitted_at, call.received_at);
    check_withdrawn(doc);
    if (to_subscriber(doc)) return;
    for (const auto& accepted : doc.calls) {
      if (accepted.status != 200 || !answer_was_read(accepted)) continue;
      for (const auto& call : doc.calls)
        if (call.started_at > accepted.answered_at + answer_read_time &&
            !had_disturbance(doc.submitted_at, call.started_at) && !record_was_lost(call))
          report("after-end",
                 id + " was answered to " + accepted.relay + " and then sent again by " + call.relay, {id},
                 doc.submitted_at, call.received_at);
      for (const auto& notice : doc.notices)
        if (notice.at > accepted.answered_at + answer_read_time &&
            !had_disturbance(doc.submitted_at, notice.at))
          report("two-ends",
                 id + " was answered to " + accepted.relay + " and then reported as " + notice.status +
                     " by " + notice.relay,
                 {id}, doc.submitted_at, notice.at);
    }
  }

  // A document that its endpoint has ended is not called again, by the next process neither: stops, kills and
  // starts are no excuse once a running process has read the answer. A folder that could not be written is.
  void check_withdrawn(const Document& doc) {
    for (const auto& ended : doc.calls) {
      if (ended.status != 410 || !answer_was_read(ended)) continue;
      for (const auto& call : doc.calls) {
        const bool read_before = call.started_at > ended.answered_at + answer_read_time;
        const bool record_may_be_lost =
            call.incarnation != ended.incarnation &&
            (disk_was_full(ended.relay) || folder_was_lost(ended.relay, doc.submitted_at, call.received_at));
        if (read_before && call.relay == ended.relay && !record_may_be_lost)
          report("withdrawn",
                 doc.id + " was ended by its endpoint (410) and then sent again by " + call.relay, {doc.id},
                 doc.submitted_at, call.received_at);
      }
    }
  }

  // A non-repeatable document is sent again, or given back to the client, only if every earlier call surely
  // did not run. Faults are no excuse, unless all copies of the information were lost with folders.
  void check_effects() {
    for (const auto& [id, doc] : documents_) {
      if (doc.relay.empty() || types_[doc.type].repeat != "unsafe") continue;
      bool excused = copies() > 0 ? lost_member_count(doc.submitted_at, end_) > 1
                                  : folder_was_lost(doc.relay, doc.submitted_at, end_);
      if (excused) continue;
      for (const auto& earlier : doc.calls) {
        if (earlier.surely_not_run()) continue;
        for (const auto& later : doc.calls)
          if (later.received_at > earlier.received_at)
            report("effect-twice",
                   "non-repeatable " + id + " may have run in " + earlier.relay +
                       "'s call and was sent again by " + later.relay,
                   {id}, doc.submitted_at, later.received_at);
        for (const auto& notice : doc.notices)
          if (notice.status == "deferred" && notice.at > earlier.received_at)
            report("effect-twice",
                   "non-repeatable " + id + " may have run in " + earlier.relay +
                       "'s call and was given back for resubmission by " + notice.relay,
                   {id}, doc.submitted_at, notice.at);
      }
    }
  }

  // A document with an idempotency key is sent again only with that key and inside the key's scope and
  // window.
  void check_windows() {
    for (const auto& [id, doc] : documents_) {
      if (doc.relay.empty()) continue;
      const Type& type = types_[doc.type];
      for (const auto& call : doc.calls)
        if (call.idempotency_key != doc.idempotency_key)
          report("mark",
                 id + " was sent with the idempotency key '" + call.idempotency_key + "', not '" +
                     doc.idempotency_key + "'",
                 {id}, doc.submitted_at, call.received_at);
      if (type.repeat != "keyed") continue;
      bool excused = copies() > 0 ? lost_member_count(doc.submitted_at, end_) > 1
                                  : folder_was_lost(doc.relay, doc.submitted_at, end_);
      if (excused) continue;
      const Call* first_uncertain = nullptr;
      for (const auto& call : doc.calls) {
        if (first_uncertain && call.started_at > first_uncertain->started_at + type.window + delivery_slack)
          report("window",
                 "keyed " + id + " was sent again " + ms(call.started_at - first_uncertain->started_at) +
                     " ms after a call that may have run",
                 {id}, doc.submitted_at, call.received_at);
        if (first_uncertain && type.scope == "zone" &&
            zone_of_[call.endpoint] != zone_of_[first_uncertain->endpoint])
          report("window", "keyed " + id + " was sent again outside its key scope", {id}, doc.submitted_at,
                 call.received_at);
        if (!first_uncertain && !call.surely_not_run()) first_uncertain = &call;
      }
    }
  }

  // No calls to a draining or removed endpoint after the grace period that follows the announcement. A
  // suspended process gets the announcement when it resumes.
  void check_drains() {
    auto grace = settings_.number("grace");
    for (const auto& [id, doc] : documents_)
      for (const auto& call : doc.calls) {
        auto listed = listed_states_.find({call.relay, call.endpoint});
        if (listed == listed_states_.end()) continue;
        Time since = never;
        for (const auto& line : listed->second) {
          if (line.at > call.started_at) break;
          if (line.field("state") == "Ready") since = never;
          else since = std::min(since, line.at);
        }
        if (since == never) continue;
        for (const auto& suspension : relays_.at(call.relay).suspended)
          if (suspension.overlaps(since, call.started_at)) since = std::max(since, suspension.to);
        if (call.started_at > since + grace + drain_slack)
          report("drain",
                 call.relay + " called " + call.endpoint + " " + ms(call.started_at - since) +
                     " ms after it was announced as leaving",
                 {id}, since, call.received_at, call.endpoint);
      }
  }

  // A destination that returns from an outage is not overloaded by relays that knew of the outage, from a
  // failed call of their own or from another relay.
  void check_cold_returns() {
    auto multiple = settings_.number("multiple"), start = settings_.number("start"),
         warm = settings_.number("warm"), fall = settings_.number("fall");
    std::map<std::string, std::vector<const Call*>> calls;
    for (const auto& [id, doc] : documents_)
      for (const auto& call : doc.calls) calls[call.dest].push_back(&call);
    for (const auto& [endpoint, changes] : outage_changes_) {
      auto dest = destination_of_[endpoint];
      auto endpoint_count = std::count_if(destination_of_.begin(), destination_of_.end(),
                                          [&](auto& entry) { return entry.second == dest; });
      if (endpoint_count > 1) continue;  // the destination's other endpoints were up
      auto& dest_calls = calls[dest];
      std::sort(dest_calls.begin(), dest_calls.end(),
                [](const Call* a, const Call* b) { return a->received_at < b->received_at; });
      for (std::size_t i = 1; i < changes.size(); ++i) {
        if (changes[i].second || !changes[i - 1].second) continue;
        Time down = changes[i - 1].first, back = changes[i].first;
        if (back - down < fall) continue;            // too short for all relays to count it as an outage
        std::map<std::string, Time> informed_since;  // by relay
        for (const Call* call : dest_calls)
          if (call->received_at >= down && call->received_at < back) {
            auto failed = call->answered_at < never && call->status != 200 ? call->answered_at
                          : call->broken_at < never                        ? call->broken_at
                                                                           : never;
            if (failed < back && !informed_since.count(call->relay)) informed_since[call->relay] = failed;
          }
        // A refused connection is not in the log, so a relay counts as informed if it accepted a document for
        // this destination early enough in the outage and kept running.
        for (const auto& [id, doc] : documents_) {
          bool should_have_called =
              doc.dest == dest && doc.submitted_at >= down && doc.submitted_at < back - first_call_time;
          if (should_have_called && doc.answer == "OK" && !informed_since.count(doc.relay) &&
              relays_[doc.relay].runs_throughout(doc.submitted_at, doc.submitted_at + first_call_time))
            informed_since[doc.relay] = doc.submitted_at + first_call_time;
        }
        auto direct = informed_since;
        for (const auto& [relay, since] : direct)
          for (const auto& [other, state] : relays_)
            if (!informed_since.count(other) && !state.is_duplicate &&
                surely_informed(relay, other, since, back))
              informed_since[other] = since;
        for (std::size_t last = 0, first = 0; last < dest_calls.size(); ++last) {
          Time to = dest_calls[last]->received_at;
          if (to < back || to > back + warm) continue;  // a warm destination takes its usual load
          auto from = std::max(back, to - fall);
          while (dest_calls[first]->received_at < from) ++first;
          auto share_at = [&](Time at) { return start + (1 - start) * std::min(1.0, (at - back) / warm); };
          auto max_calls = multiple * rate_of_[dest] * fall / 1000 * (share_at(from) + share_at(to)) / 2;
          double count = static_cast<double>(last - first + 1), from_informed = 0;
          for (std::size_t k = first; k <= last; ++k)
            from_informed += informed_since.count(dest_calls[k]->relay);
          if (count > max_calls + 2 * std::sqrt(max_calls) + 2 && from_informed > count * 2 / 3) {
            report("pushed-over",
                   "destination " + dest + " returned cold and got " + ms(count) + " calls in " + ms(fall) +
                       " ms, " + ms(from_informed) +
                       " of them from relays that knew of the outage; it could take " + ms(max_calls),
                   {}, down, to, dest);
            break;
          }
        }
      }
    }
  }

  // Documents of one key are sent one at a time, in the order in which one process of one relay accepted
  // them.
  void check_order() {
    std::map<std::string, std::vector<const Document*>> by_key;
    for (const auto& [id, doc] : documents_)
      if (!doc.relay.empty() && types_[doc.type].ordered && doc.answer == "OK" && doc.key != "0")
        by_key[doc.relay + " " + std::to_string(doc.incarnation) + " " + doc.key + " " + doc.client]
            .push_back(&doc);
    for (auto& [key, docs] : by_key) {
      std::sort(docs.begin(), docs.end(),
                [](const Document* a, const Document* b) { return a->sequence < b->sequence; });
      for (std::size_t i = 0; i < docs.size(); ++i)
        for (std::size_t j = i + 1; j < docs.size(); ++j) {
          const Document &before = *docs[i], &after = *docs[j];
          Time ended_at = never;
          for (const auto& call : before.calls)
            if (call.status == 200 || call.status == 410) ended_at = std::min(ended_at, call.answered_at);
          for (const auto& notice : before.notices) ended_at = std::min(ended_at, notice.at);
          for (const auto& call : after.calls)
            // Allows for the delay between a document's end and its notice.
            if (call.relay == before.relay && call.incarnation == before.incarnation &&
                call.received_at + delivery_slack < ended_at)
              report("order",
                     after.id + " was sent before " + before.id +
                         ", accepted earlier with the same key, had ended",
                     {before.id, after.id}, before.submitted_at, call.received_at);
        }
    }
  }

  // A retry_after wait is honoured to its end by the relay that received it, also after a restart if it kept
  // its folder, and with sharing by all relays that were surely informed.
  void check_waits() {
    struct ReceivedWait {
      const Call* call;
      Time until;
    };
    std::map<std::string, std::vector<ReceivedWait>> by_dest;
    for (const auto& [id, doc] : documents_)
      for (const auto& call : doc.calls)
        if (call.wait > 0 && call.answered_at < never)
          by_dest[call.dest].push_back({&call, call.answered_at + call.wait});
    for (const auto& [id, doc] : documents_)
      for (const auto& call : doc.calls)
        for (const auto& wait : by_dest[call.dest]) {
          const Call& refused = *wait.call;
          if (call.relay == refused.relay && call.incarnation == refused.incarnation) {
            check_own_wait(call, id, refused, wait.until);
            continue;
          }
          if (!answer_was_read(refused)) continue;
          if (call.started_at >= wait.until - wait_slack ||
              call.started_at <= refused.answered_at + delivery_slack)
            continue;
          bool same_relay = call.relay == refused.relay;
          if (same_relay) {
            bool after_restart = call.incarnation != refused.incarnation;
            if (after_restart &&
                (!sharing_enabled() || folder_was_lost(call.relay, refused.answered_at, call.started_at) ||
                 disk_was_full(call.relay)))
              continue;
            // A relay killed right after the answer may not have stored the wait yet.
            if (after_restart &&
                !relays_.at(call.relay)
                     .runs_throughout(refused.answered_at, refused.answered_at + propagation_time))
              continue;
            report("wait",
                   call.relay + " called destination " + call.dest + " " + ms(wait.until - call.started_at) +
                       " ms before the end of its retry_after wait" +
                       (after_restart ? ", received before a restart" : ""),
                   {refused.id, id}, refused.answered_at, call.received_at, call.dest);
          } else if (surely_informed(refused.relay, call.relay, refused.answered_at, call.started_at)) {
            report("shared-wait",
                   call.relay + " called destination " + call.dest + " " + ms(wait.until - call.started_at) +
                       " ms before the end of a retry_after wait that " + refused.relay + " received " +
                       ms(call.started_at - refused.answered_at) + " ms before",
                   {refused.id, id}, refused.answered_at, call.received_at, call.dest);
          }
        }
  }
  // The protocol's rule: from 100 ms after an answer with a wait was written no call arrives before the
  // wait's end, whatever held the relay up. Only a restart ends a wait.
  void check_own_wait(const Call& call, const std::string& id, const Call& refused, Time until) {
    if (call.quiet_until <= refused.answered_at + wait_crossing_time ||
        call.received_at >= until - wait_tolerance)
      return;
    report("wait",
           call.relay + " called destination " + call.dest + " " + ms(until - call.received_at) +
               " ms before the end of its retry_after wait",
           {refused.id, id}, refused.answered_at, call.received_at, call.dest);
  }
  // No connection is opened to a destination during its retry_after wait, neither for a document nor in
  // advance.
  void check_opened_ahead() {
    for (const auto& [id, doc] : documents_)
      for (const auto& refused : doc.calls) {
        if (refused.wait <= 0 || !answer_was_read(refused)) continue;
        auto until = refused.answered_at + refused.wait;
        for (const auto& conn : connections_) {
          auto relay = conn.field("r");
          if (conn.field("dest") != refused.dest || conn.at >= until - wait_slack ||
              conn.at <= refused.answered_at + delivery_slack)
            continue;
          bool informed = relay == refused.relay
                              ? relays_.at(relay).incarnation(conn.at) == refused.incarnation
                              : surely_informed(refused.relay, relay, refused.answered_at, conn.at);
          if (informed)
            report("opened",
                   relay + " opened a connection to destination " + refused.dest + " " + ms(until - conn.at) +
                       " ms before the end of a retry_after wait that it knew of",
                   {id}, refused.answered_at, conn.at, refused.dest);
        }
      }
  }
  bool disk_was_full(const std::string& relay) const { return !relays_.at(relay).disk_full_at.empty(); }

  // An endpoint that operators took offline gets no calls from that relay or from those surely informed.
  void check_offline() {
    for (const auto& [endpoint, orders] : offline_orders_)
      for (std::size_t i = 0; i < orders.size(); ++i) {
        if (orders[i].kind != "out") continue;
        auto until = i + 1 < orders.size() ? orders[i + 1].at : never;
        auto relay = orders[i].field("r");
        for (const auto& [id, doc] : documents_)
          for (const auto& call : doc.calls) {
            if (call.endpoint != endpoint || call.started_at < orders[i].at + delivery_slack ||
                call.started_at >= until)
              continue;
            if (call.relay == relay ? folder_was_lost(relay, orders[i].at, call.started_at)
                                    : !surely_informed(relay, call.relay, orders[i].at, call.started_at))
              continue;
            report("out", call.relay + " called " + endpoint + ", taken offline by operators at " + relay,
                   {id}, orders[i].at, call.received_at, endpoint);
          }
      }
  }

  // No subscriber gets an older version of a key after a newer one.
  void check_versions() {
    std::map<std::pair<std::string, std::string>, std::vector<const Call*>>
        delivered;  // by destination and key
    for (const auto& [call, doc] : deliveries_) {
      delivered[{call->dest, call->key}].push_back(call);
      if (call->idempotency_key != doc->idempotency_key)
        report("mark",
               call->id + " was sent with the idempotency key '" + call->idempotency_key + "', not '" +
                   doc->idempotency_key + "'",
               {call->id}, call->started_at, call->received_at);
    }
    for (auto& [dest_and_key, calls] : delivered) {
      std::sort(calls.begin(), calls.end(),
                [](const Call* a, const Call* b) { return a->received_at < b->received_at; });
      const Call* newest = nullptr;
      for (const Call* call : calls) {
        if (newest && call->version < newest->version)
          report("backwards",
                 "subscriber " + dest_and_key.first + " had version " + std::to_string(newest->version) +
                     " of key " + dest_and_key.second + " and then got version " +
                     std::to_string(call->version) + " from " + call->relay,
                 {newest->id, call->id}, newest->received_at, call->received_at, dest_and_key.first);
        // Only a version that the subscriber accepted counts.
        if ((!newest || call->version > newest->version) && call->status == 200) newest = call;
      }
    }
  }
  // If the trial reached its quiet end, each listed subscriber has the latest version of each key, also one
  // that joined late.
  void check_convergence() {
    Time quiet_at = -1;
    for (const auto& line : lines_)
      if (line.kind == "quiet") quiet_at = line.at;
    if (quiet_at < 0) return;
    std::map<std::pair<std::string, std::string>, const Document*> latest;  // by type and key
    for (const auto& [id, doc] : documents_)
      if (auto type = types_.find(doc.type);
          type != types_.end() && !type->second.subscribers.empty() && doc.answer == "OK" && doc.key != "0") {
        auto& newest = latest[{doc.type, doc.key}];
        if (!newest || newest->version < doc.version) newest = &doc;
      }
    std::map<std::pair<std::string, std::string>, long> delivered;  // by destination and key
    for (const auto& [call, doc] : deliveries_)
      if (call->status == 200) {
        auto& newest = delivered[{call->dest, doc->type + " " + doc->key}];
        newest = std::max(newest, call->version);
      }
    for (const auto& line : lines_) {
      if (line.kind != "subscriber") continue;
      Time joined = line.at;
      for (const auto& [type_and_key, doc] : latest) {
        const auto& key = type_and_key.second;
        // A subscriber that joined after a key's tombstone needs no delivery for it.
        if (!types_[doc->type].subscribers.count(line.field("dest")) ||
            (doc->tombstone && joined > doc->answered_at) || lost_member_count(0, end_) > 1)
          continue;
        auto found = delivered.find({line.field("dest"), doc->type + " " + key});
        if (found != delivered.end() && found->second >= doc->version) continue;
        bool late = joined > doc->answered_at;
        report(late ? "joiner" : "convergence",
               "subscriber " + line.field("dest") + (late ? ", which joined late," : "") +
                   " never got version " + std::to_string(doc->version) + " of key " + key + ", the latest",
               {doc->id}, doc->submitted_at, end_, line.field("dest"));
      }
    }
  }

  std::vector<Line> lines_;
  Line settings_;
  std::map<std::string, Type> types_;
  std::map<std::string, Relay> relays_;
  std::map<std::string, Document> documents_;
  std::vector<Delivery> deliveries_;
  std::map<std::string, std::string> destination_of_, zone_of_;
  std::map<std::string, double> rate_of_;
  std::map<std::pair<std::string, std::string>, std::vector<Interval>> cuts_;
  std::map<std::pair<std::string, std::string>, std::vector<Line>> listed_states_;
  std::map<std::string, std::vector<std::pair<Time, bool>>> outage_changes_;
  std::map<std::string, std::vector<Line>> offline_orders_;
  std::vector<Time> disturbances_, all_linked_at_;
  std::vector<Line> connections_;
  int submitted_count_ = 0;
  Time end_ = 0;
  std::set<std::string> reported_;
  std::vector<Violation> violations_;
};

}  // namespace

std::vector<Violation> audit(const std::string& log) { return Auditor(log).run_checks(); }

}  // namespace rockcrank::trial
