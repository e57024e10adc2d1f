// Runs the relay processes and the simulated agents.

#include "trial/harness.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

#include "trial/messages.h"
#include "trial/process_faults.h"

namespace rockcrank::trial {
namespace {

namespace fs = std::filesystem;

constexpr Millis max_poll_time = 10;
constexpr Millis start_timeout = 8000;  // allows for other tests running at the same time

}  // namespace

nlohmann::json default_settings() {
  return nlohmann::json::parse(
      R"({"balancers":3,"az":0,"weightKind":"nominal","tickUs":5000,"zones":["h0","h1"],"skus":["m0","m1"],
    "specifics":{"slots":32,"bundleMax":[1,5],"routesApart":[false,false],"decay":"halving"},
    "limits":{"maxAttempts":30,"dialTimeoutUs":1000000,"keepaliveUs":10000000,"openCap":4000,"cancel":true,
      "retryAfter":true,"maxRetryAfterUs":3000000},
    "rules":{"fallMultiple":2.5,"fallUs":2000000,"startCapacity":0.2,"warmWithinUs":6000000,
      "drainGraceUs":2000000,"orderSettleUs":500000},
    "classes":[
      {"name":"plain","goalTimeUs":2000000,"deadlineUs":20000000,"lateWorth":0.3,"repeat":"safe"},
      {"name":"numbered","goalTimeUs":2000000,"deadlineUs":20000000,"lateWorth":0.3,"repeat":"keyed",
       "keyScope":"all","windowUs":4000000},
      {"name":"binding","goalTimeUs":2000000,"deadlineUs":20000000,"lateWorth":0.3,"repeat":"unsafe"},
      {"name":"ordered","goalTimeUs":2000000,"deadlineUs":20000000,"lateWorth":0.3,"repeat":"safe",
       "inOrder":true},
      {"name":"status","goalTimeUs":2000000,"deadlineUs":20000000,"lateWorth":0.3,"repeat":"safe"}]})");
}

Harness::Harness(Setup setup) : setup_(std::move(setup)) {
  // Uses a loopback address derived from the process id, so that parallel trials don't collide.
  auto process_id = static_cast<unsigned>(getpid());
  host_ = "127." + std::to_string(64 + (process_id >> 16 & 63)) + "." +
          std::to_string(process_id >> 8 & 255) + "." + std::to_string(process_id & 255);
  char name[] = "/tmp/rockcrank-trial-XXXXXX";
  if (!mkdtemp(name)) throw std::runtime_error("cannot create a folder under /tmp");
  folder_ = name;
  const Json& rules = setup_.settings.at("rules");
  auto ms = [](const Json& object, const char* field) {
    std::ostringstream out;
    out << (object.contains(field) ? object.at(field).get<double>() / 1000 : 0.0);
    return out.str();
  };
  auto share = [&](const char* field) { return rules.at(field).dump(); };
  record("set", {{"grace", ms(rules, "drainGraceUs")},
                 {"multiple", share("fallMultiple")},
                 {"fall", ms(rules, "fallUs")},
                 {"start", share("startCapacity")},
                 {"warm", ms(rules, "warmWithinUs")},
                 {"share", setup_.fleet && setup_.share ? "1" : "0"},
                 {"copies", setup_.fleet && setup_.documents ? "2" : "0"},
                 {"lease", option(setup_.fleet_keys, "documents.lease_ms", "1000")}});
  auto streams = [&](const std::string& type) {
    std::string list;
    auto found = setup_.streams.find(type);
    if (found == setup_.streams.end() || !setup_.fleet || !setup_.latest) return list;
    for (int subscriber : found->second) list += (list.empty() ? "" : ",") + std::to_string(subscriber);
    return list;
  };
  for (const auto& type : setup_.settings.at("classes"))
    record("type", {{"name", type.at("name")},
                    {"repeat", type.at("repeat")},
                    {"scope", type.value("keyScope", "all")},
                    {"window", ms(type, "windowUs")},
                    {"ordered", type.value("inOrder", false) ? "1" : "0"},
                    {"stream", streams(type.at("name"))}});
  for (int i = 1; i <= setup_.relays; ++i) {
    auto name = std::string(1, 'n').append(std::to_string(i));
    Relay& relay = relays_[name];
    relay.name = name, relay.zone = i % 2 ? "h0" : "h1";
  }
  for (auto& [id, relay] : relays_) {
    relay.client_port = next_port(), relay.admin_port = next_port(), relay.agent_port = next_port(),
    relay.member_port = next_port();
    fs::create_directories(folder(id) + "/state");
    record("relay", {{"r", id}});
    Socket* agent = event_loop_.listen({host_, relay.agent_port});
    agent->on_accepted = [this, id = id](Socket& sock) { accept_agent(id, sock); };
  }
  for (const auto& from : relay_names())
    for (const auto& to : relay_names())
      if (setup_.fleet && from != to) open_proxy(from, to);
}

Harness::~Harness() {
  for (auto& [id, relay] : relays_)
    if (relay.pid > 0) ::kill(relay.pid, SIGKILL), waitpid(relay.pid, nullptr, 0);
  if (!std::getenv("ROCKCRANK_TRIAL_KEEP")) {
    std::error_code ignored;
    fs::remove_all(folder_, ignored);
  } else {
    std::fprintf(stderr, "folder kept: %s\n", folder_.c_str());
  }
}

std::vector<std::string> Harness::relay_names() const {
  std::vector<std::string> all;
  for (const auto& [id, relay] : relays_) all.push_back(id);
  return all;
}

void Harness::record(const std::string& kind, std::vector<std::pair<std::string, std::string>> fields) {
  log_.push_back({event_loop_.now(), kind, std::move(fields)});
  if (setup_.verbose) std::fprintf(stderr, "%s\n", log_.back().text().c_str());
}

// ---- processes

void Harness::write_files(Relay& relay) {
  Json config{
      {"name", relay.name},
      {"listen", Address{host_, relay.client_port}.text()},
      {"discovery", Address{host_, relay.agent_port}.text()},
      {"admin", Address{host_, relay.admin_port}.text()},
      {"seed", std::to_string(setup_.seed * 100 + static_cast<unsigned long>(relay.client_port % 97))},
      {"limits", {{"sockets", 250}, {"disk_mb", setup_.disk_mb}}},
      {"settings", setup_.settings}};
  config["settings"]["az"] = relay.zone == "h0" ? 0 : 1;
  config["settings"]["balancers"] = setup_.relays;
  auto id = std::find_if(relays_.begin(), relays_.end(), [&](auto& entry) {
              return &entry.second == &relay;
            })->first;
  config["known"] = list_for(id);
  std::ofstream(folder(id) + "/config.json") << config.dump();
  std::ofstream toml(folder(id) + "/fleet.toml");
  toml << "fleet = \"" << (id[0] == 'x' ? "stranger" : "trial") << "\"\nself = \"" << relay.name << "\"\n";
  for (const auto& [member, other] : relays_) {
    if (member[0] == 'x' || member.back() == 'b') continue;
    auto proxied = proxy_ports_.find({relay.name, member});
    auto port = member == relay.name            ? relay.member_port
                : proxied == proxy_ports_.end() ? other.member_port
                                                : proxied->second;
    toml << "[[member]]\nname = \"" << member << "\"\nhall = \"" << other.zone << "\"\nat = \""
         << Address{host_, port}.text() << "\"\n";
  }
  std::map<std::string, Options> sections;
  sections["link"] = {{"queue_kb", "1024"}, {"frame_kb", "256"}};
  if (setup_.share) sections["share"] = {{"on", "true"}};
  if (setup_.documents)
    sections["documents"] = {{"copies", "2"},
                             {"wait", "true"},
                             {"copy_within_ms", "200"},
                             {"lease_ms", "1000"},
                             {"drift", "0.01"}};
  if (setup_.warm)
    sections["warm"] = {{"on", "true"}, {"neighbours", "2"}, {"connections", "16"},
                        {"list", "64"}, {"body_kb", "256"},  {"within_ms", "4000"}};
  if (setup_.latest)
    sections["latest"] = {{"disk_mb", "2"}, {"segment_kb", "16"}, {"version_ahead_ms", "60000"}};
  for (const auto& [key, value] : setup_.fleet_keys) {
    auto dot = key.find('.');
    if (sections.count(key.substr(0, dot))) sections[key.substr(0, dot)][key.substr(dot + 1)] = value;
  }
  for (const auto& [section, keys] : sections) {
    toml << "[" << section << "]\n";
    for (const auto& [key, value] : keys) toml << key << " = " << value << "\n";
  }
  for (const auto& [type, subscribers] : setup_.latest ? setup_.streams : decltype(setup_.streams){}) {
    toml << "[[stream]]\ntype = \"" << type << "\"\nkeep = \"latest\"\nsubscribers = [";
    for (std::size_t i = 0; i < subscribers.size(); ++i) toml << (i ? ", " : "") << subscribers[i];
    toml << "]\n";
    Options keys{{"tombstone_life_ms", "4000"}, {"least_age_ms", "500"}, {"superseded_share", "0.3"}};
    for (auto& [key, value] : keys)
      toml << key << " = " << option(setup_.fleet_keys, "stream." + key, value) << "\n";
  }
}

pid_t Harness::spawn(const std::string& folder, const Options& variables, std::uint64_t file_bytes) {
  auto pid = fork();
  if (pid != 0) return pid;
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // no relay outlives the trial
  for (const auto& [name, value] : variables) setenv(name.c_str(), value.c_str(), 1);
  int log = open((folder + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(log, 1), dup2(log, 2);
  close_range(3, ~0u, 0);
  rlimit size{file_bytes, file_bytes};
  if (file_bytes > 0) setrlimit(RLIMIT_FSIZE, &size);
  execl(setup_.program.c_str(), setup_.program.c_str(), "serve", nullptr);
  _exit(127);
}

void Harness::start_without_waiting(const std::string& relay_name, const Options& options) {
  Relay& relay = relays_.at(relay_name);
  if (relay.pid > 0) return;
  write_files(relay);
  Options variables{{"BALANCER_CONFIG", folder(relay_name) + "/config.json"},
                    {"BALANCER_STATE", folder(relay_name) + "/state"}};
  if (setup_.fleet) variables["BALANCER_FLEET"] = folder(relay_name) + "/fleet.toml";
  ++relay.incarnation;
  variables.merge(draw_process_faults(setup_.fault_library, setup_.seed, relay_name, relay.incarnation));
  relay.suspended = relay.asked_to_stop = false;
  record("start", {{"r", relay_name}, {"life", std::to_string(relay.incarnation)}});
  relay.pid =
      spawn(folder(relay_name), variables, static_cast<std::uint64_t>(number(options, "file_bytes", 0)));
  for (auto& [name, endpoint] : endpoints_)
    record("told", {{"r", relay_name}, {"e", name}, {"state", endpoint.state}});
}

bool Harness::answers_ping(const std::string& relay_name) {
  auto reply = std::make_shared<std::string>();
  auto closed = std::make_shared<bool>(false);
  Socket* sock = event_loop_.connect({host_, relays_.at(relay_name).client_port});
  auto socket_id = sock->id;
  sock->on_closed = [closed] { *closed = true; };
  sock->on_data = [this, reply, socket_id] {
    if (Socket* open_socket = event_loop_.find(socket_id)) *reply += open_socket->in, open_socket->in.clear();
  };
  event_loop_.send(*sock, "*1\r\n$4\r\nPING\r\n");
  run_until(500, [&] { return *closed || !reply->empty(); });
  if (Socket* open_socket = event_loop_.find(socket_id)) event_loop_.close(*open_socket);
  return *reply == "+PONG\r\n";
}

bool Harness::start(const std::string& relay_name, const Options& options) {
  start_without_waiting(relay_name, options);
  auto end = now() + start_timeout;
  while (now() < end && is_running(relay_name)) {
    if (answers_ping(relay_name)) return record("up", {{"r", relay_name}}), true;
    run_until(20, [] { return false; });
  }
  return false;
}

void Harness::kill(const std::string& relay_name) {
  Relay& relay = relays_.at(relay_name);
  if (relay.pid <= 0) return;
  ::kill(relay.pid, SIGKILL);
  waitpid(std::exchange(relay.pid, -1), nullptr, 0);
  relay.suspended = false;
  record("kill", {{"r", relay_name}});
}
void Harness::suspend(const std::string& relay_name) {
  Relay& relay = relays_.at(relay_name);
  if (relay.pid <= 0 || std::exchange(relay.suspended, true)) return;
  ::kill(relay.pid, SIGSTOP);
  record("stop", {{"r", relay_name}});
}
void Harness::resume(const std::string& relay_name) {
  Relay& relay = relays_.at(relay_name);
  if (relay.pid <= 0 || !std::exchange(relay.suspended, false)) return;
  record("cont", {{"r", relay_name}});
  ::kill(relay.pid, SIGCONT);
}
void Harness::terminate(const std::string& relay_name) {
  Relay& relay = relays_.at(relay_name);
  if (relay.pid <= 0) return;
  relay.asked_to_stop = true;
  record("term", {{"r", relay_name}});
  ::kill(relay.pid, SIGTERM);
}

void Harness::reload(const std::string& relay_name) {
  Relay& relay = relays_.at(relay_name);
  if (relay.pid <= 0) return;
  write_files(relay);
  record("reload", {{"r", relay_name}});
  ::kill(relay.pid, SIGHUP);
}

void Harness::open_idle_clients(const std::string& relay_name, int count) {
  for (int i = 0; i < count; ++i) event_loop_.connect({host_, relays_.at(relay_name).client_port});
}

void Harness::reap() {
  for (auto& [id, relay] : relays_) {
    int status = 0;
    if (relay.pid <= 0 || waitpid(relay.pid, &status, WNOHANG) != relay.pid) continue;
    relay.pid = -1, relay.suspended = false;
    record("exit", {{"r", id},
                    {"asked", relay.asked_to_stop ? "1" : "0"},
                    {"code", std::to_string(WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status))}});
  }
}

void Harness::empty_folder(const std::string& relay_name) {
  fs::remove_all(folder(relay_name) + "/state");
  fs::create_directories(folder(relay_name) + "/state");
  record("folder", {{"r", relay_name}, {"state", "emptied"}});
}
void Harness::save_folder(const std::string& relay_name) {
  std::error_code ignored;  // files may come and go while the process runs
  fs::remove_all(folder(relay_name) + "/image", ignored);
  fs::create_directories(folder(relay_name) + "/image");
  for (const auto& entry : fs::recursive_directory_iterator(folder(relay_name) + "/state", ignored)) {
    auto to =
        folder(relay_name) + "/image/" + fs::relative(entry.path(), folder(relay_name) + "/state").string();
    if (entry.is_directory()) fs::create_directories(to, ignored);
    else if (entry.is_regular_file()) fs::copy_file(entry.path(), to, ignored);
  }
  record("saved", {{"r", relay_name}});
}
void Harness::restore_folder(const std::string& relay_name) {
  fs::remove_all(folder(relay_name) + "/state");
  if (fs::exists(folder(relay_name) + "/image"))
    fs::copy(folder(relay_name) + "/image", folder(relay_name) + "/state", fs::copy_options::recursive);
  else fs::create_directories(folder(relay_name) + "/state");
  record("folder", {{"r", relay_name}, {"state", "older"}});
}

// Prevents any file in the folder from growing, or allows it again.
void Harness::set_disk_full(const std::string& relay_name, bool full) {
  Relay& relay = relays_.at(relay_name);
  if (relay.pid <= 0) return;
  std::uintmax_t largest = 1;
  std::error_code ignored;
  for (const auto& entry : fs::recursive_directory_iterator(folder(relay_name) + "/state", ignored))
    if (entry.is_regular_file(ignored)) largest = std::max(largest, fs::file_size(entry.path(), ignored));
  rlimit limit{full ? static_cast<rlim_t>(largest) : RLIM_INFINITY, RLIM_INFINITY};
  prlimit(relay.pid, RLIMIT_FSIZE, &limit, nullptr);
  record(full ? "full" : "roomy", {{"r", relay_name}});
}

void Harness::damage_files(const std::string& relay_name, const std::string& how) {
  std::string foreign(1000, 'z');
  for (const auto& entry : fs::recursive_directory_iterator(folder(relay_name) + "/state")) {
    auto name = entry.path().filename().string();
    if (!entry.is_regular_file() || name.rfind("held", 0) == 0) continue;
    auto size = entry.file_size();
    if (how == "cut") fs::resize_file(entry.path(), size / 2);
    else if (how == "foreign") std::ofstream(entry.path(), std::ios::binary) << foreign;
    else {
      std::fstream file(entry.path(), std::ios::in | std::ios::out | std::ios::binary);
      file.seekp(static_cast<std::streamoff>(size / 2))
          << std::string(std::min<std::size_t>(size / 3, 64), '#');
    }
    record("spoilt", {{"r", relay_name}, {"file", name}, {"how", how}});
  }
  record("folder", {{"r", relay_name}, {"state", "spoilt"}});
}
void Harness::run_duplicate(const std::string& relay_name, bool starts) {
  auto other = relay_name + "b";
  if (!starts) return kill(other);
  if (!relays_.count(other)) {
    Relay& relay = relays_[other];
    relay.name = relay_name, relay.zone = relays_.at(relay_name).zone;
    relay.client_port = next_port(), relay.admin_port = next_port(), relay.agent_port = next_port();
    relay.member_port = next_port();
    Socket* agent = event_loop_.listen({host_, relay.agent_port});
    agent->on_accepted = [this, other](Socket& sock) { accept_agent(other, sock); };
    record("relay", {{"r", other}, {"twin", relay_name}});
    for (auto& [name, endpoint] : endpoints_)
      if (!endpoint.listeners.empty()) open_endpoint(endpoint);
  }
  fs::remove_all(folder(other));
  fs::create_directories(folder(other));
  fs::copy(folder(relay_name) + "/image", folder(other) + "/state", fs::copy_options::recursive);
  record("folder", {{"r", other}, {"state", "older"}});
  start(other, {});
}

void Harness::run_foreign_relay(bool starts) {
  if (!starts) return kill("x1");
  if (!relays_.count("x1")) {
    Relay& relay = relays_["x1"];
    relay.name = "n1", relay.zone = "h0";
    relay.client_port = next_port(), relay.admin_port = next_port(), relay.agent_port = next_port();
    relay.member_port = next_port();
    Socket* agent = event_loop_.listen({host_, relay.agent_port});
    agent->on_accepted = [this](Socket& sock) { accept_agent("x1", sock); };
    record("relay", {{"r", "x1"}, {"twin", "n1"}});
    fs::create_directories(folder("x1") + "/state");
  }
  start("x1", {});
}

// ---- the platform's agent

void Harness::accept_agent(const std::string& relay_name, Socket& sock) {
  sock.on_data = [this, relay_name, socket_id = sock.id] { handle_agent_request(relay_name, socket_id); };
  sock.on_closed = [this, relay_name, socket_id = sock.id] {
    polling_agents_[relay_name].erase(socket_id), poll_versions_.erase(socket_id);
  };
}

nlohmann::json Harness::list_for(const std::string& relay_name) {
  Json list{{"rev", revision_}, {"all", true}, {"targets", Json::array()}};
  for (const auto& [name, endpoint] : endpoints_)
    if (endpoint.ports.count(relay_name))
      list["targets"].push_back({{"uid", name},
                                 {"endpoint", Address{host_, endpoint.ports.at(relay_name)}.text()},
                                 {"az", endpoint.zone},
                                 {"model", endpoint.kind == 0 ? "m0" : "m1"},
                                 {"pod_group", endpoint.dest},
                                 {"state", endpoint.state},
                                 {"capacity_hint", endpoint.rate},
                                 {"boot_ms", 0}});
  return list;
}

void Harness::send_list(Relay& relay, std::uint64_t socket_id) {
  auto id = std::find_if(relays_.begin(), relays_.end(), [&](auto& entry) {
              return &entry.second == &relay;
            })->first;
  polling_agents_[id].erase(socket_id);
  Socket* sock = event_loop_.find(socket_id);
  if (!sock) return;
  event_loop_.send(*sock, http("200 OK", "", list_for(id).dump()));
  for (auto& [name, endpoint] : endpoints_)
    record("told", {{"r", id}, {"e", name}, {"state", endpoint.state}});
}

void Harness::handle_agent_request(const std::string& relay_name, std::uint64_t socket_id) {
  std::string head, body;
  while (Socket* sock = event_loop_.find(socket_id)) {
    if (!take_request(sock->in, head, body)) return;
    if (head.rfind("POST /reports ", 0) == 0) {
      if (agent_fails_report(*sock)) continue;
      std::istringstream lines(body);
      for (std::string line; std::getline(lines, line);) {
        auto notice = Json::parse(line, nullptr, false);
        if (!notice.is_object()) continue;
        auto doc = notice.value("id", "");
        record("notice", {{"r", relay_name}, {"id", doc}, {"status", notice.value("status", "")}});
        if (auto found = documents_.find(doc); found != documents_.end()) found->second.ended = true;
      }
      event_loop_.send(*sock, http("204 No Content", "", ""));
      if (agent_copies_every_ > 0 && ++agent_acknowledgements_ % agent_copies_every_ == 0)
        pending_copies_[socket_id] = {http("204 No Content", "", ""), {}}, agent_fails_next_ = true;
    } else if (head.rfind("GET /v1/servers?after=", 0) == 0) {
      auto version = std::stoll(head.substr(22));
      if (version < revision_) {
        send_list(relays_.at(relay_name), socket_id);
        continue;
      }
      polling_agents_[relay_name].insert(socket_id);
      auto wait = std::stod(head.substr(head.find("wait_ms=") + 8));
      event_loop_.schedule(now() + wait, [this, relay_name, socket_id] {
        if (polling_agents_[relay_name].count(socket_id)) send_list(relays_.at(relay_name), socket_id);
      });
    } else {
      send_list(relays_.at(relay_name), socket_id);
    }
  }
}

// ---- endpoints

bool Harness::run_until(Millis within, const std::function<bool()>& holds) {
  auto end = now() + within;
  while (!holds()) {
    if (now() >= end) return false;
    event_loop_.run_once(std::min(max_poll_time, std::max(0.0, end - now())));
    reap();
  }
  return true;
}

std::size_t Harness::count_entries(const std::string& kind, const Options& wanted, std::size_t from) const {
  std::size_t found = 0;
  for (std::size_t i = from; i < log_.size(); ++i) found += log_[i].matches(kind, wanted);
  return found;
}

std::vector<std::string> Harness::documents_without_end() const {
  std::vector<std::string> all;
  for (const auto& [id, doc] : documents_)
    if (doc.accepted && !doc.ended) all.push_back(id);
  return all;
}

bool Harness::subscribers_converged() const {
  struct Newest {
    int version = -1;
    bool tombstone = false;
    Millis accepted_at = 0;
  };
  std::map<std::string, const LogEntry*> submitted;
  std::map<std::pair<std::string, std::string>, Newest> newest;  // by type and key
  std::map<std::pair<std::string, std::string>, int> delivered;  // by destination, and type and key
  std::vector<std::pair<std::string, Millis>> subscribers;
  auto number = [](const std::string& text) { return text.empty() ? 0 : std::stoi(text); };
  for (const auto& entry : log_) {
    auto id = entry.field("id");
    if (entry.kind == "subscriber") subscribers.emplace_back(entry.field("dest"), entry.at);
    if (entry.kind == "hand" && setup_.streams.count(entry.field("type"))) submitted[id] = &entry;
    if (entry.kind == "said" && entry.field("what") == "OK" && submitted.count(id)) {
      auto& latest_accepted = newest[{submitted[id]->field("type"), submitted[id]->field("key")}];
      auto version = number(submitted[id]->field("v"));
      if (version > latest_accepted.version)
        latest_accepted = {version, submitted[id]->field("empty") == "1", entry.at};
    }
    if (entry.kind == "answer" && entry.field("status") == "200") {
      auto submission = submitted.find(submitted.count(id) ? id : id.substr(0, id.rfind('.')));
      if (submission == submitted.end()) continue;
      auto& delivered_version = delivered[{
          entry.field("dest"), submission->second->field("type") + " " + submission->second->field("key")}];
      delivered_version = std::max(delivered_version, number(submission->second->field("v")));
    }
  }
  for (const auto& [dest, joined] : subscribers)
    for (const auto& [key, expected] : newest) {
      const auto& stream_subscribers = setup_.streams.at(key.first);
      if (std::find(stream_subscribers.begin(), stream_subscribers.end(), std::stoi(dest)) ==
              stream_subscribers.end() ||
          (expected.tombstone && joined > expected.accepted_at))
        continue;
      auto found = delivered.find({dest, key.first + " " + key.second});
      if (found == delivered.end() || found->second < expected.version) return false;
    }
  return true;
}

bool Harness::all_submissions_answered() const {
  return std::none_of(documents_.begin(), documents_.end(), [&](const auto& entry) {
    return entry.second.awaiting_answer && relays_.at(entry.second.relay).pid > 0 &&
           !relays_.at(entry.second.relay).suspended;
  });
}

std::string Harness::process_log(const std::string& relay_name) const {
  std::ifstream in(folder(relay_name) + "/log");
  return std::string(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
}
bool Harness::process_has_logged(const std::string& relay_name, const std::string& text) const {
  return process_log(relay_name).find(text) != std::string::npos;
}

}  // namespace rockcrank::trial
