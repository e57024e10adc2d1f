// Runs the processes, the simulated clients, endpoints and agents, and the proxies.

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

#include "settings/base64.h"
#include "trial/process_faults.h"

namespace rockcrank::trial {
namespace {

namespace fs = std::filesystem;

constexpr Millis max_poll_time = 10;
constexpr Millis start_timeout = 8000;  // allows for other tests running at the same time

std::string option(const Options& options, const std::string& name, const std::string& fallback) {
  auto found = options.find(name);
  return found == options.end() ? fallback : found->second;
}
double number(const Options& options, const std::string& name, double fallback) {
  auto found = options.find(name);
  return found == options.end() ? fallback : std::stod(found->second);
}

// Returns a field of a document's body, which begins "key=K v=N ".
std::string body_field(const std::string& body, const std::string& name) {
  auto from = body.find(name + "=");
  if (from != 0 && (from == std::string::npos || body[from - 1] != ' ')) return "";
  from += name.size() + 1;
  return body.substr(from, body.find(' ', from) - from);
}

std::string header(const std::string& head, const std::string& name) {
  auto from = head.find("\r\n" + name + ": ");
  if (from == std::string::npos) return "";
  from += name.size() + 4;
  return head.substr(from, head.find('\r', from) - from);
}

std::string command(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  out << '*' << arguments.size() << "\r\n";
  for (const auto& argument : arguments) out << '$' << argument.size() << "\r\n" << argument << "\r\n";
  return out.str();
}

// Takes one complete request from the front of the input. Returns false if it is incomplete.
bool take_request(std::string& in, std::string& head, std::string& body) {
  auto end = in.find("\r\n\r\n");
  if (end == std::string::npos) return false;
  head = in.substr(0, end + 2);
  auto length = header(head, "Content-Length");
  auto size = length.empty() ? std::size_t{0} : std::stoul(length);
  if (in.size() < end + 4 + size) return false;
  body = in.substr(end + 4, size);
  in.erase(0, end + 4 + size);
  return true;
}

std::string http(const std::string& status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

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

bool Harness::all_linked_since(Millis from) const {
  for (const auto& [dialled, port] : proxy_ports_) {
    if (relays_.at(dialled.first).pid <= 0 || relays_.at(dialled.second).pid <= 0) continue;
    for (bool back : {false, true}) {
      auto passed = last_passed_.find({dialled, back});
      if (passed == last_passed_.end() || passed->second < from) return false;
    }
  }
  return true;
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
      std::istringstream lines(body);
      for (std::string line; std::getline(lines, line);) {
        auto notice = Json::parse(line, nullptr, false);
        if (!notice.is_object()) continue;
        auto doc = notice.value("id", "");
        record("notice", {{"r", relay_name}, {"id", doc}, {"status", notice.value("status", "")}});
        if (auto found = documents_.find(doc); found != documents_.end()) found->second.ended = true;
      }
      event_loop_.send(*sock, http("204 No Content", "", ""));
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

void Harness::open_endpoint(Endpoint& endpoint) {
  for (auto& [id, relay] : relays_) {
    if (id[0] == 'x' || endpoint.listeners.count(id)) continue;
    if (!endpoint.ports.count(id)) endpoint.ports[id] = next_port();
    Socket* listener = event_loop_.listen({host_, endpoint.ports[id]});
    endpoint.listeners[id] = listener->id;
    listener->on_accepted = [this, name = endpoint.name, id = id](Socket& sock) {
      connections_[name].insert(sock.id);
      record("conn", {{"e", name},
                      {"dest", std::to_string(endpoints_.at(name).dest)},
                      {"r", id},
                      {"conn", std::to_string(sock.id)}});
      sock.on_data = [this, name, id, socket_id = sock.id] { handle_call_data(name, id, socket_id); };
      sock.on_closed = [this, name, socket_id = sock.id] { connections_[name].erase(socket_id); };
    };
  }
}
void Harness::close_endpoint(Endpoint& endpoint) {
  for (auto& [id, socket_id] : std::exchange(endpoint.listeners, {}))
    if (Socket* sock = event_loop_.find(socket_id)) event_loop_.close(*sock);
  for (auto socket_id : std::exchange(connections_[endpoint.name], {}))
    if (Socket* sock = event_loop_.find(socket_id)) event_loop_.close(*sock, true);
}

void Harness::set_endpoint(const std::string& name, const Options& how) {
  bool is_new = !endpoints_.count(name);
  Endpoint& endpoint = endpoints_[name];
  if (is_new) {
    endpoint.name = name, endpoint.zone = option(how, "hall", "h0");
    endpoint.dest = static_cast<int>(number(how, "for", 1)), endpoint.rate = number(how, "rate", 200);
    endpoint.kind = option(how, "kind", "m0") == "m1";
    record("endpoint", {{"e", name},
                        {"dest", std::to_string(endpoint.dest)},
                        {"hall", endpoint.zone},
                        {"rate", option(how, "rate", "200")}});
    ++revision_;
  }
  endpoint.how = how;
  auto behaviour = endpoint.how["manner"] = option(how, "manner", "200");
  endpoint.times = static_cast<int>(number(how, "times", -1));
  bool failing = behaviour == "down" || behaviour == "silent" || behaviour == "reset" || behaviour == "500" ||
                 behaviour == "shut";
  if (behaviour == "down") {
    close_endpoint(endpoint);
    if (is_new) open_endpoint(endpoint), close_endpoint(endpoint);  // reserves its ports
  } else {
    open_endpoint(endpoint);
  }
  if (failing != endpoint.failing) record(failing ? "fails" : "works", {{"e", name}, {"how", behaviour}});
  else if (!is_new) record("manner", {{"e", name}, {"how", behaviour}});
  endpoint.failing = failing;
  if (is_new) set_listed_state(name, option(how, "state", "Ready"));
}

void Harness::set_listed_state(const std::string& name, const std::string& state) {
  endpoints_.at(name).state = state;
  ++revision_;
  record("list", {{"e", name}, {"state", state}});
  for (auto& [id, relay] : relays_)
    for (auto socket_id : std::set<std::uint64_t>(polling_agents_[id])) send_list(relay, socket_id);
}

void Harness::handle_call_data(const std::string& name, const std::string& relay_name,
                               std::uint64_t socket_id) {
  std::string head, body;
  while (Socket* sock = event_loop_.find(socket_id)) {
    auto started_at = sock->first_byte_at;
    if (!take_request(sock->in, head, body)) return;
    sock->first_byte_at = event_loop_.now();
    handle_call(endpoints_.at(name), relay_name, *sock, head, body, started_at);
  }
}

void Harness::handle_call(Endpoint& endpoint, const std::string& relay_name, Socket& sock,
                          const std::string& head, const std::string& body, Millis started_at) {
  struct CalledDocument {
    std::string id, idempotency_key, body;
  };
  std::vector<CalledDocument> items;
  bool batch = head.rfind("POST /v1/messages:batch ", 0) == 0;
  if (batch) {
    auto list = Json::parse(body, nullptr, false);
    for (const auto& item : list.is_array() ? list : Json::array())
      items.push_back({item.value("id", ""), item.value("key", ""), base64_decode(item.value("body", ""))});
  } else {
    items.push_back({header(head, "Request-Id"), header(head, "Idempotency-Key"), body});
  }
  char time[32], quiet[32];
  std::snprintf(time, sizeof time, "%.3f", started_at);
  std::snprintf(quiet, sizeof quiet, "%.3f", sock.quiet_until);
  for (const auto& item : items)
    record("call", {{"e", endpoint.name},
                    {"dest", std::to_string(endpoint.dest)},
                    {"r", relay_name},
                    {"conn", std::to_string(sock.id)},
                    {"began", time},
                    {"quiet", quiet},
                    {"id", item.id},
                    {"mark", item.idempotency_key},
                    {"key", body_field(item.body, "key")},
                    {"v", body_field(item.body, "v")},
                    {"items", std::to_string(items.size())}});
  auto how = endpoint.how;
  if (endpoint.times == 0) how = {{"manner", "200"}, {"after", option(how, "after", "0")}};
  if (endpoint.times > 0) --endpoint.times;
  const auto behaviour = how["manner"];
  if (behaviour == "silent") return;
  auto socket_id = sock.id;
  if (behaviour == "reset") {
    for (const auto& item : items)
      record("broke", {{"e", endpoint.name}, {"r", relay_name}, {"id", item.id}});
    connections_[endpoint.name].erase(socket_id);
    return event_loop_.close(sock, true);
  }
  std::string answer_body, headers;
  if (batch && behaviour == "200") {
    auto states = Json::array();
    for (const auto& item : items) states.push_back({{"id", item.id}, {"state", "ok"}});
    answer_body = states.dump();
  }
  if (how.count("wait")) headers = "Retry-After: " + how["wait"] + "\r\n";
  const auto status = behaviour == "shut" ? std::string("503") : behaviour;
  bool cut = how.count("cut") > 0;
  auto answer = http(status + " Said", headers, cut ? "not sent whole" : answer_body);
  if (cut) answer.resize(answer.size() - 5);
  auto name = endpoint.name;
  auto wait = how.count("wait") ? std::stod(how["wait"]) * 1000 : 0;
  event_loop_.schedule(now() + number(how, "after", 0), [=, this] {
    event_loop_.update_clock();  // a wait counts from the write
    Socket* open_socket = event_loop_.find(socket_id);
    for (const auto& item : items) {
      if (!open_socket) {
        record("broke", {{"e", name}, {"r", relay_name}, {"id", item.id}});  // the caller has disconnected
        continue;
      }
      std::vector<std::pair<std::string, std::string>> fields{
          {"e", name},       {"dest", std::to_string(endpoints_.at(name).dest)},
          {"r", relay_name}, {"conn", std::to_string(socket_id)},
          {"id", item.id},   {"status", status}};
      if (wait > 0) fields.emplace_back("wait", std::to_string(static_cast<long>(wait)));
      record("answer", std::move(fields));
      if (auto found = documents_.find(item.id);
          found != documents_.end() && (behaviour == "200" || behaviour == "410"))
        found->second.ended = true;
    }
    if (open_socket) event_loop_.send(*open_socket, answer);
    if (open_socket && cut) event_loop_.close(*open_socket);
  });
}

// ---- links

void Harness::open_proxy(const std::string& from, const std::string& to) {
  int port = proxy_ports_[{from, to}] = next_port();
  event_loop_.listen({host_, port})->on_accepted = [this, from, to](Socket& inbound) {
    Socket* outbound = event_loop_.connect({host_, relays_.at(to).member_port});
    auto inbound_id = inbound.id, outbound_id = outbound->id;
    inbound.on_data = [=, this] { forward({from, to}, false, inbound_id, outbound_id); };
    outbound->on_data = [=, this] { forward({from, to}, true, outbound_id, inbound_id); };
    auto close_other = [this](std::uint64_t other) {
      if (Socket* sock = event_loop_.find(other)) event_loop_.close(*sock);
    };
    inbound.on_closed = [=] { close_other(outbound_id); };
    outbound->on_closed = [=] { close_other(inbound_id); };
    proxied_[{from, to}].push_back({{from, to}, false, inbound_id, outbound_id});
    proxied_[{to, from}].push_back({{from, to}, true, outbound_id, inbound_id});
  };
}

void Harness::forward(const Pair& dialled, bool back, std::uint64_t in_id, std::uint64_t out_id) {
  auto direction = back ? Pair{dialled.second, dialled.first} : dialled;
  Socket *in = event_loop_.find(in_id), *out = event_loop_.find(out_id);
  if (!in || !out) return;
  auto setting = link_states_.find(direction);
  if (setting != link_states_.end() && setting->second.state == LinkState::cut)
    return void(in->paused = true);
  if (in->in.empty()) return;
  auto bytes = std::exchange(in->in, {});
  last_passed_[{dialled, back}] = now();
  if (corrupted_next_.erase(direction))
    for (std::size_t i = bytes.size() / 2; i < bytes.size(); ++i) bytes[i] = static_cast<char>(~bytes[i]);
  if (truncated_next_.erase(direction)) {
    event_loop_.send(*out, std::string_view(bytes).substr(0, bytes.size() / 2));
    out->closes_when_sent = true;
    event_loop_.close(*in, true);
    if (out->out.empty()) event_loop_.close(*out);
    return;
  }
  if (setting == link_states_.end() || setting->second.state != LinkState::slow)
    return event_loop_.send(*out, bytes);
  event_loop_.schedule(now() + setting->second.delay, [this, out_id, bytes] {
    if (Socket* target = event_loop_.find(out_id)) event_loop_.send(*target, bytes);
  });
}

void Harness::set_link(const std::string& from, const std::string& to, LinkState state, Millis delay) {
  Pair direction{from, to};
  record("link", {{"i", from},
                  {"j", to},
                  {"way", state == LinkState::open  ? "open"
                          : state == LinkState::cut ? "cut"
                                                    : "slow"}});
  if (state == LinkState::open) link_states_.erase(direction);
  else link_states_[direction] = {state, delay};
  auto directions = proxied_[direction];
  for (const auto& proxied : directions)
    if (Socket* in = event_loop_.find(proxied.in)) {
      in->paused = state == LinkState::cut;
      if (state != LinkState::cut) forward(proxied.dialled, proxied.back, proxied.in, proxied.out);
    }
}

void Harness::heal_links() {
  for (const auto& [direction, setting] : std::map<Pair, LinkSetting>(link_states_))
    this->set_link(direction.first, direction.second, LinkState::open);
}

void Harness::reset_connections(const std::string& from, const std::string& to) {
  record("reset", {{"i", from}, {"j", to}});
  for (const auto& proxied : std::exchange(proxied_[{from, to}], {}))
    for (auto id : {proxied.in, proxied.out})
      if (Socket* sock = event_loop_.find(id)) event_loop_.close(*sock, true);
}
void Harness::truncate_next(const std::string& from, const std::string& to) {
  record("tear", {{"i", from}, {"j", to}});
  truncated_next_.insert({from, to});
}
void Harness::corrupt_next(const std::string& from, const std::string& to) {
  record("corrupt", {{"i", from}, {"j", to}});
  corrupted_next_.insert({from, to});
}

void Harness::flood(const std::string& to, const std::string& what) {
  record("flood", {{"r", to}, {"what", what}});
  std::string bytes;
  if (what == "junk")
    for (unsigned i = 0; i < 200000; ++i) bytes += static_cast<char>((i + 77) * 2654435761u >> 13);
  else if (what == "large") bytes = std::string(8, '\xff') + std::string(1 << 20, 'x');
  else bytes = std::string(3, '\0');  // half of a length prefix and then nothing
  for (int i = 0; i < (what == "half" ? 40 : 3); ++i) {
    Socket* sock = event_loop_.connect({host_, relays_.at(to).member_port});
    sock->on_connected = [this, id = sock->id, bytes] {
      if (Socket* open_socket = event_loop_.find(id)) event_loop_.send(*open_socket, bytes);
    };
  }
}

// ---- clients and operators

void Harness::handle_client_data(const std::string& relay_name, const std::string& client_name) {
  Client& client = clients_[relay_name][client_name];
  Socket* sock = event_loop_.find(client.socket_id);
  if (!sock) return;
  for (auto end = sock->in.find("\r\n"); end != std::string::npos; end = sock->in.find("\r\n")) {
    auto line = sock->in.substr(0, end);
    sock->in.erase(0, end + 2);
    if (client.unanswered_ids.empty()) continue;
    auto id = client.unanswered_ids.front();
    client.unanswered_ids.pop_front();
    auto what = line == "+OK" ? "OK" : line.rfind("-BUSY", 0) == 0 ? "BUSY" : "ERR";
    record("said", {{"r", relay_name}, {"id", id}, {"what", what}});
    Document& doc = documents_[id];
    doc.accepted = line == "+OK", doc.awaiting_answer = false;
  }
}

void Harness::submit(const std::string& relay_name, const std::string& id, const Options& options) {
  auto name = option(options, "c", "c");
  auto type = option(options, "type", "plain"), key = option(options, "key", "0"),
       version = option(options, "v", "0");
  auto time_to_expiry = option(options, "left", "8000"), dest = option(options, "for", "1");
  auto idempotency_key = option(options, "mark", type == "numbered" ? "m-" + id : "");
  auto body = options.count("empty")
                  ? std::string()
                  : "key=" + key + " v=" + version + " " +
                        std::string(static_cast<std::size_t>(number(options, "fill", 0)), 'x');
  auto order_key = std::string(key.size() < 16 ? 16 - key.size() : 0, '0') + key;
  auto list = "c=" + type + ",d=" + time_to_expiry + ",dest=" + dest +
              (idempotency_key.empty() ? "" : ",k=" + idempotency_key);
  Client& client = clients_[relay_name][name];
  Socket* sock = event_loop_.find(client.socket_id);
  if (!sock) {
    sock = event_loop_.connect({host_, relays_.at(relay_name).client_port});
    client.socket_id = sock->id;
    sock->on_data = [this, relay_name, name] { handle_client_data(relay_name, name); };
    sock->on_closed = [this, relay_name, name] {
      for (const auto& unanswered_id : std::exchange(clients_[relay_name][name].unanswered_ids, {})) {
        record("unsaid", {{"r", relay_name}, {"id", unanswered_id}});
        documents_[unanswered_id].awaiting_answer = false;
      }
    };
  }
  documents_[id] = {relay_name};
  client.unanswered_ids.push_back(id);
  record("hand", {{"r", relay_name},
                  {"id", id},
                  {"type", type},
                  {"dest", dest},
                  {"key", key},
                  {"v", version},
                  {"left", time_to_expiry},
                  {"mark", idempotency_key},
                  {"c", name},
                  {"empty", options.count("empty") ? "1" : "0"}});
  event_loop_.send(*sock, command({"ENQUEUE", order_key, id, list, body}));
}

void Harness::schedule_load(const std::string& relay_name, const std::string& id, const Options& options,
                            int times, Millis every) {
  for (int i = 0; i < times; ++i)
    event_loop_.schedule(now() + i * every, [=, this] {
      if (is_running(relay_name) && !is_suspended(relay_name))
        submit(relay_name, id + std::to_string(i), options);
    });
}

void Harness::set_offline(const std::string& relay_name, const std::string& endpoint, bool offline) {
  Socket* sock = event_loop_.connect({host_, relays_.at(relay_name).admin_port});
  auto id = sock->id;
  sock->on_data = [this, id, relay_name, endpoint, offline] {
    Socket* open_socket = event_loop_.find(id);
    if (open_socket && open_socket->in.rfind("done", 0) == 0)
      record(offline ? "out" : "in", {{"r", relay_name}, {"e", endpoint}});
    if (open_socket) open_socket->in.clear();
  };
  event_loop_.send(*sock, (offline ? "OFFLINE " : "ONLINE ") + endpoint + "\n");
}

// ---- waiting

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
