// Parses and runs the lines of a scene.

#include "trial/scene.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace rockcrank::trial {
namespace {

// Time to wait for a condition; longer than any takeover takes with all cores busy.
constexpr Millis default_timeout = 8000;

// Returns the fields that log entries must match: all options except those of the wait itself.
Options condition_fields(Options options) {
  for (const char* wait_option : {"within", "least", "for_ms", "most"}) options.erase(wait_option);
  return options;
}

}  // namespace

Scene::Scene(const std::string& path) : path_(path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read the scene " + path);
  int number = 0;
  for (std::string text; std::getline(file, text);) {
    Step step;
    step.line = ++number, step.text = text;
    std::istringstream in(text);
    for (std::string word; in >> word;) {
      auto equals = word.find('=');
      if (step.positional.empty() || equals == std::string::npos) step.positional.push_back(word);
      else step.options[word.substr(0, equals)] = word.substr(equals + 1);
    }
    if (!step.positional.empty() && step.positional[0][0] != '#') steps_.push_back(std::move(step));
  }
}

bool Scene::is_setup(const Step& step) const {
  const auto& verb = step.positional[0];
  return verb == "relays" || verb == "part" || verb == "fleet" || verb == "set" || verb == "stream" ||
         verb == "disk";
}

void Scene::set_up(Setup& setup) const {
  for (const auto& step : steps_) try {
      if (!is_setup(step)) continue;
      const auto& verb = step.positional[0];
      if (verb == "relays") setup.relays = std::stoi(step.positional.at(1));
      else if (verb == "disk") setup.disk_mb = std::stod(step.positional.at(1));
      else if (verb == "set")
        setup.settings[nlohmann::json::json_pointer("/" + step.positional.at(1))] =
            nlohmann::json::parse(step.positional.at(2));
      else if (verb == "stream") {
        std::istringstream in(step.options.at("subscribers"));
        for (std::string subscriber; std::getline(in, subscriber, ',');)
          setup.streams[step.positional.at(1)].push_back(std::stoi(subscriber));
      } else if (verb == "fleet") {
        for (const auto& [key, value] : step.options) setup.fleet_keys[key] = value;
      } else {
        setup.share = setup.documents = setup.warm = setup.latest = setup.fleet = false;
        for (std::size_t i = 1; i < step.positional.size(); ++i) {
          const auto& part = step.positional[i];
          setup.fleet = true;
          if (part == "fleet") setup.share = true;
          else if (part == "documents") setup.documents = true;
          else if (part == "warm") setup.warm = true;
          else if (part == "latest") setup.latest = true;
          else if (part == "none") setup.fleet = false;
          else throw std::runtime_error("unknown part: " + part);
        }
      }
    } catch (const std::exception& error) {
      throw std::runtime_error(path_ + ":" + std::to_string(step.line) + ": " + step.text + ": " +
                               error.what());
    }
}

std::string Scene::play(Harness& harness) const {
  std::size_t search_from = 0;
  for (const auto& step : steps_) {
    if (is_setup(step)) continue;
    std::string failure;
    try {
      failure = run_step(harness, step, search_from);
    } catch (const std::exception& error) {
      throw std::runtime_error(path_ + ":" + std::to_string(step.line) + ": " + step.text + ": " +
                               error.what());
    }
    if (!failure.empty()) return path_ + ":" + std::to_string(step.line) + ": " + step.text + ": " + failure;
  }
  return {};
}

std::string Scene::run_step(Harness& harness, const Step& step, std::size_t& search_from) const {
  const auto& positional = step.positional;
  const auto& options = step.options;
  const auto& verb = positional[0];
  auto members = harness.relay_names();
  members.erase(std::remove_if(members.begin(), members.end(),
                               [](auto& id) { return id.back() == 'b' || id[0] == 'x'; }),
                members.end());
  auto relays_from = [&](std::size_t at) {
    return positional.size() > at
               ? std::vector<std::string>(positional.begin() + static_cast<std::ptrdiff_t>(at),
                                          positional.end())
               : members;
  };
  auto within = number(options, "within", default_timeout);
  // "n1->n2" is one direction, "n1 n2" both directions, "n1" all links of n1.
  auto directions = [&](std::size_t at) {
    std::vector<std::pair<std::string, std::string>> found;
    auto arrow = positional.at(at).find("->");
    if (arrow != std::string::npos) {
      found.emplace_back(positional[at].substr(0, arrow), positional[at].substr(arrow + 2));
    } else if (positional.size() > at + 1) {
      found = {{positional[at], positional[at + 1]}, {positional[at + 1], positional[at]}};
    } else {
      for (const auto& other : members)
        if (other != positional[at])
          found.emplace_back(positional[at], other), found.emplace_back(other, positional[at]);
    }
    for (const auto& [a, b] : found)
      if (!harness.has_relay(a) || !harness.has_relay(b)) throw std::runtime_error("unknown relay");
    return found;
  };
  if (verb == "endpoint") {
    harness.set_endpoint(positional.at(1), options);
  } else if (verb == "list") {
    harness.set_listed_state(positional.at(1), positional.at(2));
  } else if (verb == "start") {
    for (const auto& relay : relays_from(1)) harness.start_without_waiting(relay, options);
    for (const auto& relay : relays_from(1))
      if (!harness.start(relay, options))
        return relay + " does not answer; its log:\n" + harness.process_log(relay);
  } else if (verb == "kill" || verb == "stop" || verb == "cont" || verb == "term") {
    for (const auto& relay : relays_from(1))
      verb == "kill"   ? harness.kill(relay)
      : verb == "stop" ? harness.suspend(relay)
      : verb == "cont" ? harness.resume(relay)
                       : harness.terminate(relay);
  } else if (verb == "kill-caller") {
    // Kills the relay that made the last call.
    auto call = std::find_if(harness.log().rbegin(), harness.log().rend(),
                             [](auto& entry) { return entry.kind == "call"; });
    if (call == harness.log().rend()) return "no call in the log";
    harness.kill(call->field("r"));
  } else if (verb == "folder") {
    if (positional.at(2) == "save") harness.save_folder(positional.at(1));
    else if (positional.at(2) == "restore") harness.restore_folder(positional.at(1));
    else if (positional.at(2) == "empty") harness.empty_folder(positional.at(1));
    else throw std::runtime_error("unknown word");
  } else if (verb == "spoil") {
    harness.damage_files(positional.at(1), positional.at(2));
  } else if (verb == "full" || verb == "roomy") {
    harness.set_disk_full(positional.at(1), verb == "full");
  } else if (verb == "twin" || verb == "twin-ends") {
    harness.run_duplicate(positional.at(1), verb == "twin");
  } else if (verb == "stranger" || verb == "stranger-ends") {
    harness.run_foreign_relay(verb == "stranger");
  } else if (verb == "cut" || verb == "slow" || verb == "open") {
    for (const auto& [a, b] : directions(1))
      harness.set_link(a, b,
                       verb == "cut"    ? LinkState::cut
                       : verb == "slow" ? LinkState::slow
                                        : LinkState::open,
                       number(options, "ms", 50));
  } else if (verb == "heal") {
    harness.heal_links();
  } else if (verb == "reset" || verb == "tear" || verb == "corrupt") {
    for (const auto& [a, b] : directions(1))
      verb == "reset"  ? harness.reset_connections(a, b)
      : verb == "tear" ? harness.truncate_next(a, b)
                       : harness.corrupt_next(a, b);
  } else if (verb == "flood") {
    harness.flood(positional.at(1), positional.at(2));
  } else if (verb == "hand") {
    auto times = static_cast<int>(number(options, "times", 1));
    for (int i = 0; i < times; ++i)
      harness.submit(positional.at(1), times > 1 ? positional.at(2) + std::to_string(i) : positional.at(2),
                     options);
  } else if (verb == "load") {
    harness.schedule_load(positional.at(1), positional.at(2), options,
                          static_cast<int>(number(options, "times", 100)), number(options, "every", 20));
  } else if (verb == "versions") {
    // Submits documents of a stream: `keys` keys, each in `times` versions starting at `first`.
    auto first = static_cast<int>(number(options, "first", 1)),
         times = static_cast<int>(number(options, "times", 1));
    for (int version = first; version < first + times; ++version)
      for (int key = 0; key < static_cast<int>(number(options, "keys", 1)); ++key) {
        auto version_options = options;
        version_options["key"] = "b" + std::to_string(key), version_options["v"] = std::to_string(version);
        version_options["type"] = options.count("type") ? options.at("type") : "status";
        harness.submit(positional.at(1),
                       positional.at(2) + "-" + std::to_string(version) + "-" + std::to_string(key),
                       version_options);
      }
  } else if (verb == "offline" || verb == "online") {
    harness.set_offline(positional.at(1), positional.at(2), verb == "offline");
  } else if (verb == "subscriber") {
    harness.record("subscriber", {{"dest", positional.at(1)}});
  } else if (verb == "mark") {
    search_from = harness.log().size();
  } else if (verb == "until" && positional.at(1) == "peers") {
    auto start = harness.now();
    if (!harness.run_until(within, [&] { return harness.all_linked_since(start); }))
      return "some member does not receive from another";
    harness.record("peers", {});
  } else if (verb == "until") {
    auto wanted = condition_fields(options);
    auto min_count = static_cast<std::size_t>(number(options, "least", 1));
    if (!harness.run_until(within, [&] {
          return harness.count_entries(positional.at(1), wanted, search_from) >= min_count;
        }))
      return "seen " + std::to_string(harness.count_entries(positional.at(1), wanted, search_from)) +
             " times";
  } else if (verb == "none") {
    // Waits the full time, to see that no matching entry appears.
    auto wanted = condition_fields(options);
    auto max_count = static_cast<std::size_t>(number(options, "most", 0));
    harness.run_until(number(options, "for_ms", 0), [&] {
      return harness.count_entries(positional.at(1), wanted, search_from) > max_count;
    });
    if (harness.count_entries(positional.at(1), wanted, search_from) > max_count) return "it was seen";
  } else if (verb == "pause") {
    harness.run_until(std::stod(positional.at(1)), [] { return false; });
  } else if (verb == "logged") {
    auto text = step.text.substr(
        step.text.find(positional.at(2), step.text.find(positional.at(1)) + positional[1].size()));
    if (!harness.run_until(within, [&] { return harness.process_has_logged(positional.at(1), text); }))
      return "the log of " + positional[1] + ":\n" + harness.process_log(positional[1]);
  } else if (verb == "ended") {
    if (!harness.run_until(within, [&] {
          return harness.all_submissions_answered() && harness.documents_without_end().empty();
        })) {
      auto unended = harness.documents_without_end();
      return std::to_string(unended.size()) + " documents have no final answer; the first is " +
             (unended.empty() ? "-" : unended[0]);
    }
  } else if (verb == "latest") {
    Millis checked_at = -1e9;
    bool converged = false;
    harness.run_until(within, [&] {
      if (harness.now() - checked_at > 50)
        converged = harness.all_submissions_answered() && harness.subscribers_converged(),
        checked_at = harness.now();
      return converged;
    });
    harness.record("quiet", {});
    if (!converged) return "some subscriber lacks the latest version of some key";
  } else if (verb == "quiet") {
    harness.record("quiet", {});
  } else {
    throw std::runtime_error("unknown word");
  }
  return {};
}

}  // namespace rockcrank::trial
