// Implements one log mutation for each check, named as the check that must report it.

#include "trial/injected_violations.h"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>

namespace rockcrank::trial {
namespace {

double number(const LogEntry& entry, const std::string& name) { return std::atof(entry.field(name).c_str()); }

std::optional<LogEntry> find_first(
    const Log& log, const std::string& kind, const std::map<std::string, std::string>& wanted,
    const std::function<bool(const LogEntry&)>& predicate = [](const LogEntry&) { return true; }) {
  for (const auto& entry : log)
    if (entry.matches(kind, wanted) && predicate(entry)) return entry;
  return {};
}

void insert(Log& log, LogEntry entry, double at) {
  entry.at = at;
  if (entry.kind == "call") entry.set("began", std::to_string(at)), entry.set("quiet", std::to_string(at));
  auto position = std::upper_bound(log.begin(), log.end(), at,
                                   [](double when, const LogEntry& e) { return when < e.at; });
  log.insert(position, std::move(entry));
}

// Inserts a call of a separate document, so that no other check fails because of it.
void insert_stray_call(Log& log, LogEntry call, double at, const std::string& id = "stray") {
  LogEntry submission{0,
                      "hand",
                      {{"r", call.field("r")},
                       {"id", id},
                       {"type", "plain"},
                       {"dest", call.field("dest")},
                       {"key", "0"},
                       {"v", "0"},
                       {"left", "100000"},
                       {"mark", call.field("mark")},
                       {"c", "c"},
                       {"empty", "0"}}};
  insert(log, submission, at - 1), insert(log, {0, "unsaid", {{"r", call.field("r")}, {"id", id}}}, at - 1);
  call.set("id", id);
  insert(log, std::move(call), at);
}

// Finds the first accepted, called and answered document of a type.
struct AnsweredCall {
  LogEntry call, answer;
};
std::optional<AnsweredCall> find_answered(const Log& log, const std::string& type,
                                          const std::string& status = "200") {
  for (const auto& submission : log) {
    if (submission.kind != "hand" || (!type.empty() && submission.field("type") != type)) continue;
    auto id = submission.field("id");
    auto client_answer = find_first(log, "said", {{"id", id}, {"what", "OK"}});
    auto call = find_first(log, "call", {{"id", id}});
    auto answer = find_first(log, "answer", {{"id", id}, {"status", status}});
    if (client_answer && call && answer) return AnsweredCall{*call, *answer};
  }
  return {};
}

using Injector = std::function<bool(Log&)>;

bool insert_later_call(Log& log, const std::string& type, double after) {
  auto found = find_answered(log, type);
  if (!found) return false;
  insert(log, found->call, found->answer.at + after);
  return true;
}

bool insert_call_in_wait(Log& log, bool same_relay) {
  auto refusal = find_first(log, "answer", {}, [](const LogEntry& e) { return number(e, "wait") > 0; });
  if (!refusal) return false;
  auto call = find_first(log, "call", {{"dest", refusal->field("dest")}}, [&](const LogEntry& e) {
    return (e.field("r") == refusal->field("r")) == same_relay &&
           e.at > refusal->at + number(*refusal, "wait");
  });
  if (!call) return false;
  // Late in the wait, so that the information has had time to spread.
  insert_stray_call(log, *call, refusal->at + number(*refusal, "wait") - 300);
  return true;
}

void erase_calls(Log& log, const std::string& id) {
  std::erase_if(log, [&](const LogEntry& e) {
    return (e.kind == "call" || e.kind == "answer") && e.field("id") == id;
  });
}

const std::map<std::string, Injector>& injectors() {
  static const std::map<std::string, Injector> all{
      {"crash",
       [](Log& log) {
         auto started = find_first(log, "up", {});
         if (!started) return false;
         insert(log, {0, "exit", {{"r", started->field("r")}, {"asked", "0"}, {"code", "-11"}}},
                log.back().at);
         return true;
       }},
      {"unanswered",
       [](Log& log) {
         auto client_answer = find_first(log, "said", {{"what", "OK"}});
         if (!client_answer) return false;
         log.erase(std::find_if(log.begin(), log.end(), [&](auto& e) {
           return e.matches("said", {{"id", client_answer->field("id")}});
         }));
         return true;
       }},
      {"lost",
       [](Log& log) {
         auto found = find_answered(log, "plain");
         if (!found) return false;
         erase_calls(log, found->call.field("id"));
         return true;
       }},
      {"late",
       [](Log& log) {
         auto found = find_answered(log, "plain");
         if (!found) return false;
         erase_calls(log, found->call.field("id"));
         auto at = log.back().at - 20;
         insert(log, found->call, at), insert(log, found->answer, at + 10);
         return true;
       }},
      {"two-ends",
       [](Log& log) {
         auto found = find_answered(log, "plain");
         if (!found) return false;
         LogEntry notice{
             0,
             "notice",
             {{"r", found->call.field("r")}, {"id", found->call.field("id")}, {"status", "deferred"}}};
         insert(log, notice, found->answer.at + 600);
         return true;
       }},
      {"after-end", [](Log& log) { return insert_later_call(log, "plain", 600); }},
      {"withdrawn",
       [](Log& log) {
         auto found = find_answered(log, "plain");
         if (!found) return false;
         for (auto& entry : log)
           if (entry.matches("answer", {{"id", found->call.field("id")}})) entry.set("status", "410");
         insert(log, found->call, found->answer.at + 600);
         return true;
       }},
      {"effect-twice", [](Log& log) { return insert_later_call(log, "binding", 20); }},
      {"window",
       [](Log& log) {
         auto type = find_first(log, "type", {{"name", "numbered"}});
         auto found = find_answered(log, "numbered");
         if (!type || !found) return false;
         // The first call may have run, so sending it again outside the window is a violation.
         for (auto& entry : log)
           if (entry.matches("answer", {{"id", found->call.field("id")}})) entry.set("status", "500");
         auto at = found->answer.at + number(*type, "window") + 300;
         insert(log, found->call, at), insert(log, found->answer, at + 10);
         return true;
       }},
      {"mark",
       [](Log& log) {
         for (auto& entry : log)
           if (entry.kind == "call" && !entry.field("mark").empty())
             return entry.set("mark", "another"), true;
         return false;
       }},
      {"unknown",
       [](Log& log) {
         auto call = find_first(log, "call", {});
         if (!call) return false;
         call->set("id", "nobody's");
         insert(log, *call, call->at + 5);
         return true;
       }},
      {"drain",
       [](Log& log) {
         auto leaving =
             find_first(log, "list", {}, [](const LogEntry& e) { return e.field("state") != "Ready"; });
         auto settings = find_first(log, "set", {});
         if (!leaving || !settings) return false;
         auto call = find_first(log, "call", {{"e", leaving->field("e")}});
         if (!call) return false;
         insert_stray_call(log, *call, leaving->at + number(*settings, "grace") + 600);
         return true;
       }},
      {"pushed-over",
       [](Log& log) {
         for (const auto& recovery : log) {
           if (recovery.kind != "works") continue;
           auto call = find_first(log, "call", {{"e", recovery.field("e")}},
                                  [&](const LogEntry& e) { return e.at > recovery.at; });
           auto failed = find_first(log, "broke", {{"e", recovery.field("e")}},
                                    [&](const LogEntry& e) { return e.at < recovery.at; });
           if (!call || !failed) continue;
           call->set("r", failed->field("r"));
           auto from = recovery.at + 200;
           for (int i = 0; i < 600; ++i) insert_stray_call(log, *call, from + i, "stray" + std::to_string(i));
           return true;
         }
         return false;
       }},
      {"order",
       [](Log& log) {
         std::map<std::string, LogEntry> submitted;  // by key and relay
         for (const auto& submission : log) {
           if (submission.kind != "hand" || submission.field("type") != "ordered") continue;
           auto key = submission.field("r") + submission.field("key") + submission.field("c");
           auto before = submitted.find(key);
           if (before != submitted.end()) {
             auto answer = find_first(log, "answer", {{"id", before->second.field("id")}});
             auto call = find_first(log, "call", {{"id", submission.field("id")}});
             if (answer && call) return insert(log, *call, answer->at - 200), true;
           }
           submitted.emplace(key, submission);
         }
         return false;
       }},
      {"wait", [](Log& log) { return insert_call_in_wait(log, true); }},
      {"opened",
       [](Log& log) {
         auto refusal =
             find_first(log, "answer", {}, [](const LogEntry& e) { return number(e, "wait") > 0; });
         auto connection =
             refusal ? find_first(log, "conn", {{"dest", refusal->field("dest")}, {"r", refusal->field("r")}})
                     : std::optional<LogEntry>{};
         if (!connection) return false;
         insert(log, *connection, refusal->at + number(*refusal, "wait") - 300);
         return true;
       }},
      {"shared-wait", [](Log& log) { return insert_call_in_wait(log, false); }},
      {"out",
       [](Log& log) {
         auto order = find_first(log, "out", {});
         if (!order) return false;
         auto call = find_first(log, "call", {{"e", order->field("e")}},
                                [&](const LogEntry& e) { return e.field("r") != order->field("r"); });
         if (!call) return false;
         insert_stray_call(log, *call, order->at + 1300);
         return true;
       }},
      {"backwards",
       [](Log& log) {
         std::map<std::string, LogEntry> delivered;  // by destination and key
         for (const auto& call : Log(log)) {
           if (call.kind != "call" || call.field("id").find('.') == std::string::npos) continue;
           auto dest_and_key = call.field("dest") + " " + call.field("key");
           auto before = delivered.find(dest_and_key);
           if (before != delivered.end() && number(before->second, "v") < number(call, "v")) {
             auto answer =
                 find_first(log, "answer", {{"id", call.field("id")}, {"dest", call.field("dest")}});
             if (answer) return insert(log, before->second, answer->at + 100), true;
           }
           delivered.emplace(dest_and_key, call);
         }
         return false;
       }},
  };
  return all;
}

// Removes a subscriber's deliveries of the latest version of one key. late: of a subscriber that joined after
// the document was submitted.
bool erase_delivery(Log& log, bool late) {
  for (const auto& subscriber : Log(log)) {
    if (subscriber.kind != "subscriber") continue;
    for (const auto& submission : Log(log)) {
      if (submission.kind != "hand" || submission.field("type") != "status" ||
          (submission.at < subscriber.at) != late)
        continue;
      bool newer = find_first(log, "hand", {{"type", "status"}, {"key", submission.field("key")}},
                              [&](const LogEntry& e) { return number(e, "v") > number(submission, "v"); })
                       .has_value();
      auto call = find_first(log, "call",
                             {{"dest", subscriber.field("dest")},
                              {"key", submission.field("key")},
                              {"v", submission.field("v")}});
      if (newer || !call) continue;
      std::erase_if(log, [&](const LogEntry& e) {
        return e.matches("call", {{"dest", subscriber.field("dest")},
                                  {"key", submission.field("key")},
                                  {"v", submission.field("v")}});
      });
      return true;
    }
  }
  return false;
}

}  // namespace

std::vector<std::string> violation_names() {
  std::vector<std::string> names{"joiner", "convergence"};
  for (const auto& [name, injector] : injectors()) names.push_back(name);
  return names;
}

bool inject_violation(const std::string& name, Log& log) {
  if (name == "joiner") return erase_delivery(log, true);
  if (name == "convergence") return erase_delivery(log, false);
  return injectors().at(name)(log);
}

}  // namespace rockcrank::trial
