// A fake of everything around one relay: its clients, its endpoints and the platform's discovery agent. It
// starts and stops the relay's process, uses loopback sockets and runs on one thread. It runs the socket
// scenarios (*.relay); scenarios/README.txt describes their language.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "crowd.h"
#include "relay/handover.h"
#include "relay/store.h"
#include "reserved_port.h"
#include "settings/settings.h"

namespace rockcrank {

// The NAME=VALUE words of a scenario line.
using Options = std::map<std::string, std::string>;

inline double number_or(const Options& options, const std::string& name, double fallback) {
  auto found = options.find(name);
  return found == options.end() ? fallback : std::stod(found->second);
}

inline std::string text_or(const Options& options, const std::string& name, const std::string& fallback) {
  auto found = options.find(name);
  return found == options.end() ? fallback : found->second;
}

inline bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Resolves \r, \n, \s (space) and \0; a backslash before another character is dropped.
inline std::string unescaped(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\' || i + 1 == text.size()) {
      out += text[i];
      continue;
    }
    char c = text[++i];
    out += c == 'r' ? '\r' : c == 'n' ? '\n' : c == 's' ? ' ' : c == '0' ? '\0' : c;
  }
  return out;
}

// The fake environment of one relay and its process: runs the lines of a socket scenario one after another.
class StandIn {
 public:
  using Json = nlohmann::json;
  static constexpr int small_receive_buffer = 4096;  // bytes, for a client that doesn't read

  StandIn() {
    char name[] = "/tmp/rockcrank-test-XXXXXX";
    folder_ = mkdtemp(name);
    agent_ = listen_on(0);
    settings_ = Json::parse(R"({"balancers":1,"az":0,"tickUs":5000,"zones":["h0","h1"],"skus":["m0","m1"],
      "specifics":{"slots":8,"bundleMax":[1,5],"routesApart":[false,false],"decay":"halving"},
      "limits":{"maxAttempts":12,"dialTimeoutUs":1500000,"keepaliveUs":10000000,"openCap":200,"cancel":true,
        "retryAfter":true,"maxRetryAfterUs":3000000},
      "rules":{"fallMultiple":2.5,"startCapacity":0.2,"warmWithinUs":10000000,"drainGraceUs":2000000},
      "classes":[
        {"name":"plain","goalTimeUs":2000000,"deadlineUs":20000000,"lateWorth":0.3,"repeat":"safe"},
        {"name":"numbered","goalTimeUs":2000000,"deadlineUs":20000000,"lateWorth":0.3,"repeat":"keyed",
         "keyScope":"all","windowUs":15000000},
        {"name":"binding","goalTimeUs":2000000,"deadlineUs":20000000,"lateWorth":0.3,"repeat":"unsafe"}]})");
  }
  ~StandIn() {
    for (pid_t pid : crowds_) ::kill(pid, SIGKILL), waitpid(pid, nullptr, 0);
    signal_process(SIGKILL);
    if (old_pid_ > 0) ::kill(old_pid_, SIGCONT), ::kill(old_pid_, SIGKILL), waitpid(old_pid_, nullptr, 0);
    if (passed_socket_ >= 0) ::close(passed_socket_);
    request_unconfirmed_handover({{"gone", "1"}});
    for (auto& [fd, connection] : connections_) ::close(fd);
    for (auto& [name, endpoint] : endpoints_) {
      if (endpoint.listener >= 0) ::close(endpoint.listener);
    }
    ::close(agent_);
    std::filesystem::remove_all(folder_);
  }

  // A second relay with an agent and clients of its own; the events of both are processed together.
  StandIn& second_relay() {
    if (!second_) second_ = std::make_unique<StandIn>(), second_->other_ = this, other_ = second_.get();
    return *second_;
  }

  void run_line(const std::string& text) {
    if (text.starts_with("also ")) return second_relay().run_line(text.substr(5));
    std::istringstream in(text);
    std::vector<std::string> arguments;
    Options options;
    for (std::string word; in >> word;) {
      auto equals = word.find('=');
      if (arguments.empty() || equals == std::string::npos || arguments[0] == "say" || arguments[0] == "hear")
        arguments.push_back(word);
      else options[word.substr(0, equals)] = word.substr(equals + 1);
    }
    if (arguments.empty() || arguments[0][0] == '#') return;
    SCOPED_TRACE(text);
    execute(arguments, options, text);
  }

 private:
  struct Endpoint {
    int listener = -1;
    std::shared_ptr<ReservedPort> reserved_port;  // the same for all stand-ins that share the endpoint
    int port() const { return reserved_port->port(); }
    std::string behavior = "200";
    Options options;
    Json list_entry;
    std::int64_t listed_in = 0;               // the revision of the list in which it changed last
    std::shared_ptr<ReservedPort> left_port;  // where it listened before it moved
  };
  struct Connection {  // accepted by an endpoint or the agent, or opened by a client
    std::string endpoint, input, output;
    bool agent = false, client = false, ended = false, used = false;
    bool over_limit = false;             // beyond the endpoint's connection cap
    bool ignored = false;                // requests to the agent get no answer
    bool not_reading = false;            // a client that doesn't read
    std::string last_answer;             // of an endpoint, or to a report
    std::int64_t watched_revision = -1;  // of an open long poll; -1: none
    double watch_deadline = 0;
  };
  struct ScheduledWrite {
    int fd;
    std::string bytes;
    bool close;
  };
  struct HeldAnswer {  // to a call, until the scenario releases it
    std::string endpoint;
    ScheduledWrite answer;
  };

  static double now() {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
  }
  // Listens on a reserved port; 0: on any free port.
  static int listen_on(int port) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto at = loopback(port);
    EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    EXPECT_EQ(listen(fd, 64), 0);
    return fd;
  }
  static sockaddr_in loopback(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET, at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return at;
  }
  static int port_of(int fd) {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    return ntohs(at.sin_port);
  }
  static std::string address_text(int port) { return "127.0.0.1:" + std::to_string(port); }

  // Processes events until the condition holds or the time is over. Returns whether the condition held.
  bool run_until(double timeout_ms, const std::function<bool()>& condition) {
    double deadline = now() + timeout_ms;
    while (true) {
      if (condition()) return true;
      if (now() >= deadline) return false;
      poll_once();
      if (counts_memory) sample_memory();
      if (other_) other_->poll_once();
    }
  }
  void poll_once() {
    std::vector<pollfd> polled;
    if (!agent_silent_) polled.push_back({agent_, POLLIN, 0});
    for (auto& [name, endpoint] : endpoints_)
      if (endpoint.listener >= 0 && endpoint.behavior != "deaf")
        polled.push_back({endpoint.listener, POLLIN, 0});
    for (auto& [fd, connection] : connections_)
      if (!connection.ended)
        polled.push_back({fd,
                          static_cast<short>((connection.not_reading ? 0 : POLLIN) |
                                             (connection.output.empty() ? 0 : POLLOUT)),
                          0});
    poll(polled.data(), polled.size(), 2);
    for (auto& entry : polled)
      if (entry.revents != 0) on_ready(entry.fd, entry.revents);
    for (auto& [fd, connection] : connections_)
      if (connection.agent && connection.watched_revision >= 0 && now() >= connection.watch_deadline)
        send_list(fd);
    while (!scheduled_writes_.empty() && scheduled_writes_.begin()->first <= now()) {
      auto due = scheduled_writes_.begin()->second;
      scheduled_writes_.erase(scheduled_writes_.begin());
      auto found = connections_.find(due.fd);
      if (found == connections_.end()) continue;
      found->second.output += due.bytes;
      write(due.fd, found->second);
      if (due.close) close_connection(due.fd);
    }
  }

  void on_ready(int fd, short events) {
    if (fd == agent_) return accept_connection(fd, "", true);
    for (auto& [name, endpoint] : endpoints_)
      if (endpoint.listener == fd) return accept_connection(fd, name, false);
    auto found = connections_.find(fd);
    if (found == connections_.end()) return;
    Connection& connection = found->second;
    if (events & POLLOUT) write(fd, connection);
    if (connection.not_reading || !(events & (POLLIN | POLLHUP | POLLERR))) return;
    char bytes[65536];
    auto count = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
    if (count <= 0) {
      if (connection.client) return void(connection.ended = true);
      ++closed_by_relay_[connection.endpoint];
      return close_connection(fd);
    }
    connection.input.append(bytes, static_cast<std::size_t>(count));
    if (!connection.client) handle_requests(fd, connection);
  }
  void accept_connection(int listener, const std::string& endpoint, bool agent) {
    int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd < 0) return;
    ++accepted_counts_[endpoint];
    connections_[fd].endpoint = endpoint, connections_[fd].agent = agent;
    auto open_count = std::count_if(connections_.begin(), connections_.end(), [&](const auto& other) {
      return !other.second.client && !other.second.over_limit && other.second.endpoint == endpoint;
    });
    connections_[fd].over_limit =
        !agent && double(open_count) > number_or(endpoints_.at(endpoint).options, "conns", 1e9);
  }
  void write(int fd, Connection& connection) {
    auto count = ::send(fd, connection.output.data(), connection.output.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) connection.output.erase(0, static_cast<std::size_t>(count));
  }
  void close_connection(int fd, bool reset = false) {
    linger reset_on_close{1, 0};
    if (reset) setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    ::close(fd);
    connections_.erase(fd);
    // The next connection may get the same descriptor: it must not receive answers scheduled for this one.
    std::erase_if(scheduled_writes_, [&](const auto& due) { return due.second.fd == fd; });
    std::erase_if(held_answers_, [&](const auto& held) { return held.answer.fd == fd; });
  }

  void handle_requests(int fd, Connection& connection) {
    while (true) {
      auto head = connection.input.find("\r\n\r\n");
      if (head == std::string::npos) return;
      auto text = connection.input.substr(0, head + 2);
      auto length = text.find("Content-Length: ");
      std::size_t size = length == std::string::npos ? 0 : std::stoul(text.substr(length + 16));
      if (connection.input.size() < head + 4 + size) return;
      auto body = connection.input.substr(head + 4, size);
      connection.input.erase(0, head + 4 + size);
      if (connection.agent ? !handle_agent_request(fd, connection, text, body)
                           : !handle_call(fd, connection, text, body))
        return;
    }
  }

  bool handle_agent_request(int fd, Connection& connection, const std::string& head,
                            const std::string& body) {
    if (agent_silent_) return true;
    if (head.rfind("GET /v1/servers?after=", 0) == 0) requested_after_ = std::stoll(head.substr(22));
    if (connection.ignored) return true;
    bool lists = head.rfind("GET /v1/servers", 0) == 0;
    list_requests_ += lists, full_list_requests_ += lists && head.find('?') > head.find('\r');
    if (lists && agent_busy_) {
      scheduled_writes_.emplace(now(),
                                ScheduledWrite{fd, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false});
      return true;
    }
    if (head.rfind("POST /reports ", 0) == 0) {
      constexpr const char* acknowledged = "HTTP/1.1 204 No Content\r\n\r\n";
      if (agent_fails_next_report_ && reports_acknowledged_ > 0) {
        agent_fails_next_report_ = false;
        if (!connection.last_answer.empty())
          scheduled_writes_.emplace(now(), ScheduledWrite{fd, connection.last_answer, false});
        scheduled_writes_.emplace(
            now() + 20, ScheduledWrite{fd, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false});
        return true;
      }
      ++reports_acknowledged_;
      connection.last_answer = acknowledged;
      std::istringstream lines(body);
      for (std::string line; std::getline(lines, line);) {
        auto report = Json::parse(line);
        reports_[report.at("id").get<std::string>()].push_back(report);
      }
      scheduled_writes_.emplace(now(), ScheduledWrite{fd, acknowledged, false});
    } else if (head.rfind("GET /v1/servers ", 0) == 0) {
      send_list(fd);
    } else if (head.rfind("GET /v1/servers?after=", 0) == 0) {
      connection.watched_revision = std::stoll(head.substr(22));
      connection.watch_deadline = now() + std::stod(head.substr(head.find("wait_ms=") + 8));
      if (connection.watched_revision < revision_) send_list(fd);
    } else {
      ADD_FAILURE() << "unexpected request to the agent: " << head;
    }
    return true;
  }
  Json endpoint_list() const {
    Json list{{"rev", revision_}, {"all", true}, {"targets", Json::array()}};
    for (const auto& [name, endpoint] : endpoints_) list["targets"].push_back(endpoint.list_entry);
    return list;
  }
  Json changes_after(std::int64_t revision) const {
    Json list{{"rev", revision_}, {"all", false}, {"targets", Json::array()}};
    for (const auto& [name, endpoint] : endpoints_)
      if (endpoint.listed_in > revision) list["targets"].push_back(endpoint.list_entry);
    return list;
  }
  void send_list(int fd) {
    const std::int64_t watched = std::exchange(connections_.at(fd).watched_revision, -1);
    auto fault = std::exchange(next_list_fault_, "");
    const bool only_changes = tells_changes_ && watched >= 0 && fault.empty();
    auto body = (only_changes ? changes_after(watched) : faulty_list(fault)).dump(1);
    if (fault == "cut") body.resize(body.size() / 2);
    auto text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    auto sent = fault == "head"   ? text.size() - body.size()
                : fault == "half" ? text.size() - body.size() / 2
                                  : text.size();
    if (fault == "end") sent = 0;
    scheduled_writes_.emplace(now(), ScheduledWrite{fd, text.substr(0, sent), fault == "end"});
    withheld_[fd] = text.substr(sent);
    faulty_lists_sent_ += !fault.empty();
  }
  Json faulty_list(const std::string& fault) const {
    Json result = endpoint_list();
    if (fault == "older") result["rev"] = revision_ - 2, result["all"] = false;
    if (fault == "older" || fault == "empty") result["targets"] = Json::array();
    if (fault == "twice") {
      auto after = result["targets"];
      for (auto& target : result["targets"]) target["state"] = "Gone";
      result["all"] = false;
      result["targets"].insert(result["targets"].end(), after.begin(), after.end());
    }
    return result;
  }
  // Sends the rest of responses that stopped midway, on connections that are still open.
  void send_withheld() {
    for (auto& [fd, rest] : std::exchange(withheld_, {}))
      if (connections_.count(fd) && connections_[fd].agent)
        scheduled_writes_.emplace(now(), ScheduledWrite{fd, rest, false});
  }
  void ignore_agent_connections() {
    for (auto& [fd, connection] : connections_)
      if (connection.agent) connection.ignored = true, connection.watched_revision = -1;
  }
  void close_agent_connections() {
    for (auto connection = connections_.begin(); connection != connections_.end();) {
      auto at = connection++;
      if (at->second.agent) close_connection(at->first);
    }
  }

  bool handle_call(int fd, Connection& connection, const std::string& head, const std::string& body) {
    Endpoint& endpoint = endpoints_.at(connection.endpoint);
    std::vector<std::string> ids;
    if (head.rfind("POST /v1/messages:batch ", 0) == 0) {
      for (const auto& item : Json::parse(body)) ids.push_back(item.at("id").get<std::string>());
      ++batches_;
    } else {
      auto id = head.find("Request-Id: ") + 12;
      ids.push_back(head.substr(id, head.find('\r', id) - id));
    }
    for (const auto& id : ids)
      calls_.push_back({id, connection.endpoint, head + body, clients_with_answers()});
    const auto& behavior = endpoint.behavior;
    double after = now() + number_or(endpoint.options, "after", 0);
    bool used = std::exchange(connection.used, true);
    if (behavior == "reset" || (used && behavior == "200" && endpoint.options.count("fragile")))
      return close_connection(fd, true), false;
    if (behavior == "silent") return true;
    if (connection.over_limit) {
      scheduled_writes_.emplace(
          now(),
          ScheduledWrite{fd, "HTTP/1.1 503 Full\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", true});
      return true;
    }
    auto answer = endpoint.options.count("raw") ? unescaped(endpoint.options.at("raw"))
                                                : "HTTP/1.1 " + behavior + " Said\r\n";
    if (!endpoint.options.count("raw")) {
      std::string answer_body;
      if (ids.size() > 1 && behavior == "200") {
        auto states = Json::array();
        for (const auto& id : ids)
          states.push_back(
              {{"id", id}, {"state", endpoint.options.count(id) ? endpoint.options.at(id) : "ok"}});
        answer_body = states.dump();
      }
      if (endpoint.options.count("unique")) answer_body += "answer" + std::to_string(calls_.size());
      if (endpoint.options.count("wait")) answer += "Retry-After: " + endpoint.options.at("wait") + "\r\n";
      answer += "Content-Length: " + std::to_string(answer_body.size()) + "\r\n\r\n" + answer_body;
    }
    bool close = endpoint.options.count("close") > 0;
    write_copies(fd, connection, endpoint.options, after, answer);
    if (endpoint.options.count("held")) {
      held_answers_.push_back({connection.endpoint, {fd, answer, close}});
      return true;
    }
    if (number_or(endpoint.options, "piecewise", 0) > 0)
      for (std::size_t i = 0; i < answer.size(); ++i)
        scheduled_writes_.emplace(after + 2 * double(i),
                                  ScheduledWrite{fd, answer.substr(i, 1), close && i + 1 == answer.size()});
    else scheduled_writes_.emplace(after, ScheduledWrite{fd, answer, close});
    return true;
  }

  // Writes the answer to the previous call of a connection once more, while the next call is out (copy_next)
  // or after this call's own answer (copy).
  void write_copies(int fd, Connection& connection, const Options& options, double answered_at,
                    const std::string& answer) {
    const auto previous = std::exchange(connection.last_answer, answer);
    if (options.count("copy_next") && !previous.empty())
      for (int i = 0; i < number_or(options, "copies", 1); ++i)
        scheduled_writes_.emplace(now() + number_or(options, "copy_next", 0),
                                  ScheduledWrite{fd, previous, false});
    if (options.count("copy"))
      scheduled_writes_.emplace(answered_at + number_or(options, "copy", 0),
                                ScheduledWrite{fd, answer, false});
  }

  // The names of clients with received bytes, read from the socket or not, that no hear has consumed yet.
  std::string clients_with_answers() const {
    std::string names = " ";
    for (const auto& [name, fd] : clients_) {
      int unread = 0;
      if (ioctl(fd, FIONREAD, &unread) != 0) continue;
      if (unread > 0 || !connections_.at(fd).input.empty()) names += name + " ";
    }
    return names;
  }

  // Sends the answers that an endpoint withheld, or resets the connections that wait for them.
  void release_answers(const std::string& endpoint, bool reset) {
    for (const auto& held : std::vector<HeldAnswer>(held_answers_)) {
      if (held.endpoint != endpoint) continue;
      if (reset) close_connection(held.answer.fd, true);
      else scheduled_writes_.emplace(now(), held.answer);
    }
    std::erase_if(held_answers_, [&](const auto& held) { return held.endpoint == endpoint; });
  }

  // The endpoint's process comes up at the address of one that has gone, whose connections are reset.
  void take_address(Endpoint& endpoint, const std::string& gone) {
    Endpoint& before = endpoints_.at(gone);
    if (before.listener >= 0) ::close(std::exchange(before.listener, -1));
    for (auto connection = connections_.begin(); connection != connections_.end();) {
      auto at = connection++;
      if (at->second.endpoint == gone && !at->second.client) close_connection(at->first, true);
    }
    endpoint.reserved_port = before.reserved_port;
    endpoint.listener = listen_on(endpoint.port());
  }

  // The endpoint's process goes on at an address of its own; connections to the one before are reset.
  void move_endpoint(Endpoint& endpoint, const std::string& name) {
    if (endpoint.listener >= 0) ::close(std::exchange(endpoint.listener, -1));
    for (auto connection = connections_.begin(); connection != connections_.end();) {
      auto at = connection++;
      if (at->second.endpoint == name && !at->second.client) close_connection(at->first, true);
    }
    endpoint.left_port = std::exchange(endpoint.reserved_port, std::make_shared<ReservedPort>());
  }

  // Fills the listener's accept queue, so that no further connection is established.
  void fill_accept_queue(const Endpoint& endpoint) {
    listen(endpoint.listener, 0);
    for (int i = 0; i < 2; ++i) {
      int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      auto to = loopback(endpoint.port());
      connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
      connections_[fd].client = true;
    }
  }

  int client_socket(const std::string& name, int receive_buffer = 0) {
    return connect_client(name, relay_port_.port(), receive_buffer);
  }
  int connect_client(const std::string& name, int port, int receive_buffer = 0) {
    if (auto found = clients_.find(name); found != clients_.end()) return found->second;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    auto to = loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
      ::close(fd);
      return -1;
    }
    fcntl(fd, F_SETFL, O_NONBLOCK);
    connections_[fd].client = true;
    return clients_[name] = fd;
  }
  void send_from(const std::string& name, const std::string& bytes) {
    int fd = client_socket(name);
    ASSERT_GE(fd, 0) << "the relay accepts no connection";
    connections_[fd].output += bytes;
    write(fd, connections_[fd]);
  }
  static std::string resp_command(const std::vector<std::string>& parts) {
    std::ostringstream out;
    out << '*' << parts.size() << "\r\n";
    for (const auto& word : parts) out << '$' << word.size() << "\r\n" << word << "\r\n";
    return out.str();
  }

  std::string write_config(const Options& options) {
    if (text_or(options, "known", "") != "old") known_list_ = endpoint_list();
    if (text_or(options, "known", "") == "none")
      known_list_ = {{"rev", -1}, {"all", true}, {"targets", Json::array()}};
    Json config{
        {"name", "r1"},
        {"listen", address_text(relay_port_.port())},
        {"discovery", address_text(port_of(agent_))},
        {"seed", "7"},
        {"limits",
         {{"sockets", number_or(options, "sockets", 200)}, {"disk_mb", number_or(options, "disk", 1)}}},
        {"known", known_list_},
        {"settings", settings_}};
    if (options.count("memory")) config["limits"]["memory_mb"] = number_or(options, "memory", 0);
    if (options.count("admin")) config["admin"] = address_text(admin_port_.port());
    auto path = folder_ + "/config.json";
    std::ofstream(path) << (options.count("config") ? unescaped(options.at("config")) : config.dump());
    return path;
  }
  // Starts a new process beside the running one, as an upgrade does. The old one gets SIGTERM once the new
  // one answers HEALTH with done.
  void start_replacement(const Options& options) {
    old_pid_ = std::exchange(pid_, -1);
    admin_port_ = ReservedPort();
    Options new_options = options;
    new_options["passed"] = new_options["admin"] = new_options["run"] = "serve";
    start(new_options);
    auto started_at = now();
    while (now() < started_at + number_or(options, "within", 6000)) {
      auto name = "health" + std::to_string(health_checks_++);
      if (connect_client(name, admin_port_.port()) >= 0) {
        if (options.count("begun")) return;  // it has read its configuration and requests the handover
        send_from(name, "HEALTH\n");
        run_until(500, [&] { return connections_[clients_[name]].ended; });
        if (connections_[clients_[name]].input == "done\n") {
          if (!options.count("keep_old")) ::kill(old_pid_, SIGTERM);
          return;
        }
      }
      run_until(20, [] { return false; });
    }
    ADD_FAILURE() << "the new process did not become ready in time: " << log();
  }
  // Runs a previous process that hands over an unreadable decision state: it owns the store's file and keeps
  // running.
  void run_previous_with_unreadable_state() {
    pid_ = fork();
    if (pid_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    Store store(folder_ + "/state", 1000000);
    auto store_state = store.handover_state();
    EventLoop loop;
    HandoverServer server(loop, folder_ + "/state");
    server.make_payload = [&](const std::string&) {
      HandoverPayload payload;
      payload.descriptors = {store_state.descriptor};
      Json state{{"form", 2}, {"version", 1}, {"decision", "no state"}};
      state["store"] = {store_state.path,       store_state.snapshot,      0, store_state.last_doc_number,
                        store_state.file_bytes, store_state.rewrite_needed};
      Json::to_cbor(state, payload.state);
      return payload;
    };
    loop.run();
    _exit(0);
  }
  // Requests the handover as a new process does, but never confirms it.
  void request_unconfirmed_handover(const Options& options) {
    if (options.count("gone")) {
      for (int fd : std::exchange(unconfirmed_descriptors_, {})) ::close(fd);
      return;
    }
    HandoverClient handover_client(folder_ + "/state");
    auto numbering = options.count("numbering")
                         ? options.at("numbering")
                         : std::to_string(fnv1a_hash(Json{settings_["skus"], settings_["zones"]}.dump()));
    auto payload = handover_client.request(numbering);
    EXPECT_EQ(payload.has_value(), !options.count("numbering"));
    if (options.count("silent")) run_until(1000, [] { return false; });
    if (payload) unconfirmed_descriptors_ = payload->descriptors;
    if (options.count("kills")) ::kill(pid_, SIGKILL), waitpid(std::exchange(pid_, -1), &status_, 0);
    if (!options.count("keep")) request_unconfirmed_handover({{"gone", "1"}});
  }
  void start(const Options& options) {
    auto state = folder_ + "/state", path = write_config(options);
    std::filesystem::create_directories(state);
    auto max_files = static_cast<rlim_t>(number_or(options, "files", 0));
    auto max_file_bytes = static_cast<rlim_t>(number_or(options, "file_bytes", 0));
    bool inherits_socket = options.count("passed") > 0;
    if (inherits_socket && passed_socket_ < 0) {
      constexpr int platform_backlog = 512;  // hundreds of clients connect at once
      passed_socket_ = listen_on(relay_port_.port());
      listen(passed_socket_, platform_backlog);
    }
    signal_process(SIGKILL);
    halts_ = 0;
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends the relay if the tests end
      setenv("BALANCER_CONFIG", path.c_str(), 1), setenv("BALANCER_STATE", state.c_str(), 1);
      int log = open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND | (old_pid_ > 0 ? 0 : O_TRUNC),
                     0600);
      dup2(log, 1), dup2(log, 2);
      if (inherits_socket) dup2(passed_socket_, 3), setenv("BALANCER_PASSED_SOCKET", "3", 1);
      set_fault_environment(options);
      // Closes what the test runner itself inherited: scenarios count the relay's descriptors.
      close_range(inherits_socket ? 4 : 3, ~0u, 0);
      rlimit files_limit{max_files, max_files}, file_size_limit{max_file_bytes, max_file_bytes};
      if (max_files > 0) setrlimit(RLIMIT_NOFILE, &files_limit);
      if (max_file_bytes > 0) setrlimit(RLIMIT_FSIZE, &file_size_limit);
      execl(PROGRAM, PROGRAM, options.count("run") ? options.at("run").c_str() : "serve", nullptr);
      _exit(127);
    }
    if (old_pid_ < 0) clients_.clear();
    if (options.count("config") || options.count("run")) return;
    auto halted = [&] { return (halts_ += has_halted()) > 0; };
    bool up = run_until(5000, [&] { return halted() || client_socket("first") >= 0; });
    if (halts_ > 0) return;
    ASSERT_TRUE(up) << "the relay does not listen: " << log();
    send_from("first", "*1\r\n$4\r\nPING\r\n");
    EXPECT_TRUE(run_until(5000, [&] {
      return halted() || connections_[clients_["first"]].input == "+PONG\r\n";
    })) << log();
    connections_[clients_["first"]].input.clear();
  }
  // Called in the child process before exec: sets the environment that crossings/halt.cpp reads there.
  static void set_fault_environment(const Options& options) {
    if (!options.count("halt") && !options.count("wall_ahead") && !options.count("fail")) return;
    auto points = unescaped(text_or(options, "halt", ""));
    std::replace(points.begin(), points.end(), ';', '\n');
    auto failures = text_or(options, "fail", "");
    std::replace(failures.begin(), failures.end(), ';', '\n');
    setenv("LD_PRELOAD", HALT_LIBRARY, 1);
    setenv("ROCKCRANK_FAIL", failures.c_str(), 1);
    setenv("ROCKCRANK_HALT", points.c_str(), 1);
    setenv("ROCKCRANK_WALL_AHEAD_MS", text_or(options, "wall_ahead", "0").c_str(), 1);
  }
  // Whether the process has stopped itself since the last call.
  bool has_halted() {
    int status = 0;
    return pid_ > 0 && waitpid(pid_, &status, WNOHANG | WUNTRACED) == pid_ && WIFSTOPPED(status);
  }
  bool refuses_connections() {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto to = loopback(relay_port_.port());
    bool refused = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0;
    ::close(fd);
    return refused;
  }
  std::string log() const {
    std::ifstream in(folder_ + "/log");
    return std::string(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
  }
  bool has_exited() {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = -1;
    return pid_ < 0;
  }
  void signal_process(int signal) {
    if (has_exited()) return;
    ::kill(pid_, signal);
    if (signal != SIGKILL) return;
    waitpid(pid_, &status_, 0);
    pid_ = -1;
  }

  // Rewrites the store's records as version 0.2.0 wrote them: documents without type and allowance.
  void rewrite_store_as_0_2_0() {
    auto path = folder_ + "/state/held";
    std::ifstream in(path, std::ios::binary);
    std::string stored((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>()), rewritten;
    constexpr std::size_t header_bytes = 8, added_bytes = 39, trailer_bytes = 9;
    for (std::size_t at = 0; at < stored.size();) {
      std::uint32_t size = 0;
      std::memcpy(&size, stored.data() + at, sizeof size);
      auto record = stored.substr(at + header_bytes, size);
      at += header_bytes + size;
      if (record[0] == 'D')
        record.erase(record.size() - trailer_bytes - added_bytes, added_bytes), record[0] = 'T';
      std::uint32_t header[2] = {static_cast<std::uint32_t>(record.size()),
                                 static_cast<std::uint32_t>(fnv1a_hash(record) >> 7)};
      rewritten.append(reinterpret_cast<const char*>(header), sizeof header).append(record);
    }
    std::ofstream(path, std::ios::binary) << rewritten;
  }

  void execute(const std::vector<std::string>& arguments, const Options& options, const std::string& text) {
    const auto& verb = arguments[0];
    auto rest_of = [&](std::size_t skipped) {
      std::size_t from = 0;
      for (std::size_t i = 0; i < skipped; ++i) from = text.find(' ', text.find_first_not_of(' ', from));
      return unescaped(text.substr(from + 1));
    };
    if (verb == "set") {
      auto pointer = Json::json_pointer("/" + arguments.at(1));
      settings_[pointer] = Json::parse(arguments.at(2));
    } else if (verb == "endpoint") {
      Endpoint& endpoint = endpoints_[arguments.at(1)];
      bool shared = options.count("shared") > 0;  // the other stand-in listens there
      if (shared) endpoint.reserved_port = other_->endpoints_.at(arguments[1]).reserved_port;
      bool down = arguments.size() > 2 && arguments[2] == "down";
      if (options.count("takes")) take_address(endpoint, options.at("takes"));
      if (options.count("moves")) move_endpoint(endpoint, arguments[1]);
      if (options.count("takes_left"))
        endpoint.reserved_port = endpoints_.at(options.at("takes_left")).left_port;
      if (!endpoint.reserved_port) {
        endpoint.reserved_port = std::make_shared<ReservedPort>();
        endpoint.listener = listen_on(endpoint.port());
      }
      if (down && endpoint.listener >= 0) {
        ::close(std::exchange(endpoint.listener, -1));
        for (auto connection = connections_.begin(); connection != connections_.end();) {
          auto at = connection++;
          if (at->second.endpoint == arguments[1] && !at->second.client) close_connection(at->first, true);
        }
      }
      if (!down && !shared && endpoint.listener < 0) endpoint.listener = listen_on(endpoint.port());
      if (arguments.size() > 2) endpoint.behavior = arguments[2];
      if (endpoint.behavior == "deaf") fill_accept_queue(endpoint);
      else if (endpoint.listener >= 0)
        listen(endpoint.listener, 64);  // the accept queue is no longer kept short
      endpoint.options = options;
      if (endpoint.list_entry.is_null() || options.count("state")) {
        endpoint.list_entry = {{"uid", arguments[1]},
                               {"endpoint", address_text(endpoint.port())},
                               {"az", "h0"},
                               {"model", text_or(options, "kind", "m0")},
                               {"pod_group", int(number_or(options, "for", 1))},
                               {"state", text_or(options, "state", "Ready")},
                               {"capacity_hint", 1.0},
                               {"boot_ms", std::int64_t(number_or(options, "boot", 0))}};
        endpoint.listed_in = ++revision_;
        for (auto& [fd, connection] : connections_)
          if (connection.agent && connection.watched_revision >= 0 && connection.watched_revision < revision_)
            send_list(fd);
      }
    } else if (verb == "agent" && arguments.at(1) == "moves") {
      ::close(agent_);
      agent_ = listen_on(0);
      if (options.count("keep")) ignore_agent_connections();
      else close_agent_connections();
    } else if (verb == "agent" && (arguments.at(1) == "changes" || arguments.at(1) == "whole")) {
      tells_changes_ = arguments[1] == "changes";
    } else if (verb == "agent" && arguments.at(1) == "deafens") {
      ignore_agent_connections();
    } else if (verb == "agent" && arguments.at(1) == "hangs_up") {
      close_agent_connections();
    } else if (verb == "agent" && arguments.at(1) == "tells") {
      next_list_fault_ = arguments.at(2);
    } else if (verb == "agent" && arguments.at(1) == "goes_on") {
      send_withheld();
    } else if (verb == "agent" && arguments.at(1) == "copies") {
      agent_fails_next_report_ = true;
    } else if (verb == "agent" && arguments.at(1) == "forgets") {
      for (auto& [fd, connection] : connections_) connection.watched_revision = -1;
    } else if (verb == "agent") {
      agent_silent_ = arguments.at(1) == "silent", agent_busy_ = arguments.at(1) == "busy";
    } else if (verb == "release") {
      release_answers(arguments.at(1), options.count("reset") > 0);
    } else if (verb == "reload") {
      write_config(options);
      if (options.count("old")) ::kill(old_pid_, SIGHUP);
      else signal_process(SIGHUP);
    } else if (verb == "start") {
      start(options);
    } else if (verb == "kill" || verb == "term") {
      signal_process(verb == "kill" ? SIGKILL : SIGTERM);
    } else if (verb == "tear") {
      auto path = folder_ + "/state/held";
      auto size = std::filesystem::file_size(path);
      auto bytes = std::stoul(arguments.at(1));
      std::filesystem::resize_file(path, size - bytes);
      if (options.count("smear"))
        std::ofstream(path, std::ios::app | std::ios::binary) << std::string(bytes, '#');
    } else if (verb == "age") {
      rewrite_store_as_0_2_0();
    } else if (verb == "wait") {
      run_until(std::stod(arguments.at(1)), [] { return false; });
    } else if (verb == "say") {
      send_from(arguments.at(1), rest_of(2));
    } else if (verb == "open") {
      for (int i = 0; i < int(number_or(options, "times", 1)); ++i)
        client_socket(arguments.at(1) + std::to_string(i));
    } else if (verb == "replace") {
      if (old_pid_ > 0) ::kill(old_pid_, SIGKILL), waitpid(old_pid_, nullptr, 0), old_pid_ = -1;
      start_replacement(options);
    } else if (verb == "pose") {
      request_unconfirmed_handover(options);
    } else if (verb == "elder") {
      run_previous_with_unreadable_state();
    } else if (verb == "stall") {
      int stopped = 0;
      ::kill(pid_, SIGSTOP), waitpid(pid_, &stopped, WUNTRACED);
    } else if (verb == "resume") {
      ::kill(pid_, SIGCONT);
    } else if (verb == "unread") {
      connections_[client_socket(arguments.at(1), small_receive_buffer)].not_reading = true;
    } else if (verb == "old") {
      bool gone = arguments.at(1) == "ends";
      if (arguments.at(1) == "resumes") return void(::kill(old_pid_, SIGCONT));
      if (!gone) ::kill(old_pid_, SIGKILL);
      EXPECT_TRUE(run_until(number_or(options, "within", 1000), [&] {
        return waitpid(old_pid_, &status_, WNOHANG) == old_pid_;
      })) << log();
      EXPECT_TRUE(!gone || (WIFEXITED(status_) && WEXITSTATUS(status_) == 0)) << log();
      old_pid_ = -1;
    } else if (verb == "dial") {
      EXPECT_GE(connect_client(arguments.at(1), admin_port_.port()), 0)
          << "nothing listens on the second address";
    } else if (verb == "program") {
      std::vector<const char*> program_arguments{PROGRAM};
      for (std::size_t i = 1; i < arguments.size(); ++i) program_arguments.push_back(arguments[i].c_str());
      program_arguments.push_back(nullptr);
      auto pid = fork();
      if (pid == 0) {
        setenv("BALANCER_ADMIN", address_text(admin_port_.port()).c_str(), 1);
        execv(PROGRAM, const_cast<char* const*>(program_arguments.data()));
        _exit(127);
      }
      int status = 0;
      EXPECT_TRUE(run_until(4000, [&] { return waitpid(pid, &status, WNOHANG) == pid; }));
      EXPECT_EQ(WEXITSTATUS(status), int(number_or(options, "code", 0)));
    } else if (verb == "ping") {
      auto count = static_cast<std::size_t>(number_or(options, "times", 1));
      auto command = resp_command({"PING"});
      std::string all;
      for (std::size_t i = 0; i < count; ++i) all += command;
      send_from(arguments.at(1), all);
    } else if (verb == "leave") {
      close_connection(client_socket(arguments.at(1)), options.count("reset") > 0);
      clients_.erase(arguments.at(1));
    } else if (verb == "crowd") {
      crowds_.push_back(crowd::start_crowd(crowd::misuse_by_name(arguments.at(1)), relay_port_.port(),
                                           int(number_or(options, "connections", 1)),
                                           number_or(options, "for", 3000),
                                           std::uint64_t(number_or(options, "seed", 1))));
    } else if (verb == "plain") {
      const auto file = folder_ + "/plain" + std::to_string(plain_files_.size());
      plain_files_.push_back(file);
      crowds_.push_back(crowd::start_plain_clients(relay_port_.port(), int(number_or(options, "clients", 20)),
                                                   std::size_t(number_or(options, "large_every", 0)),
                                                   number_or(options, "for", 3000), file));
    } else if (verb == "half") {
      shutdown(client_socket(arguments.at(1)), SHUT_WR);
    } else if (verb == "hand") {
      auto document = [&](const std::string& id) {
        auto list = "c=" + text_or(options, "type", "plain") + ",d=" + text_or(options, "left", "20000") +
                    ",dest=" + text_or(options, "for", "1");
        for (const char* name : {"k", "t"})
          if (options.count(name)) list += std::string(",") + name + "=" + options.at(name);
        auto body = text_or(options, "body", "hello") +
                    std::string(static_cast<std::size_t>(number_or(options, "fill", 0)), 'x');
        return resp_command({"ENQUEUE", text_or(options, "key", "0000000000000000"), id, list, body});
      };
      for (int i = 0; i < int(number_or(options, "clients", 0)); ++i)
        send_from(arguments.at(1) + std::to_string(i), document(arguments.at(1) + std::to_string(i)));
      if (options.count("clients")) return;
      if (options.count("first") || options.count("last")) {
        auto command = document(arguments.at(2)), first_half = command.substr(0, command.size() / 2);
        auto bytes = options.count("first") ? first_half : command.substr(first_half.size());
        if (options.count("then")) {
          auto next = document(options.at("then"));
          bytes += next.substr(0, next.size() / 2);
        }
        return send_from(arguments.at(1), bytes);
      }
      auto count = int(number_or(options, "times", 1));
      std::string out;
      for (int i = 0; i < count; ++i)
        out += document(count > 1 ? arguments.at(2) + std::to_string(i) : arguments.at(2));
      send_from(arguments.at(1), out);
    } else if (verb == "hear") {
      auto expected = rest_of(2);
      int fd = client_socket(arguments.at(1));
      constexpr int large_receive_buffer = 1 << 20;
      if (std::exchange(connections_[fd].not_reading, false))
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &large_receive_buffer, sizeof large_receive_buffer);
      if (expected == "BUSY") {
        auto& in = connections_[fd].input;
        EXPECT_TRUE(run_until(1500, [&] { return in.find('\n') != std::string::npos; }));
        EXPECT_TRUE(in.rfind("-BUSY ", 0) == 0 && std::atoi(in.c_str() + 6) > 0)
            << "received instead: " << in;
        in.erase(0, in.find('\n') + 1);
        return;
      }
      bool received = run_until(1500, [&] {
        return expected == "END" ? connections_[fd].ended : connections_[fd].input.rfind(expected, 0) == 0;
      });
      EXPECT_TRUE(received) << "received instead: " << connections_[fd].input << "; log: " << log();
      if (received && expected != "END") connections_[fd].input.erase(0, expected.size());
    } else if (verb == "expect") {
      expect(arguments, options);
    } else {
      FAIL() << "unknown directive";
    }
  }

  static double process_bytes(pid_t pid, const std::string& field) {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);)
      if (line.starts_with(field + ":")) return std::stod(line.substr(field.size() + 1)) * 1024;
    return 0;
  }
  // Memory of the relay as the system counts it, with the files of its folder, in megabytes.
  double memory_mb(const std::string& field) const {
    double bytes = process_bytes(pid_, field);
    // While a process is replaced, both count.
    if (old_pid_ > 0)
      bytes = std::max(bytes, process_bytes(pid_, "VmRSS") + process_bytes(old_pid_, "VmRSS"));
    for (const auto& entry : std::filesystem::directory_iterator(folder_ + "/state"))
      if (std::error_code error; entry.is_regular_file(error)) bytes += double(entry.file_size(error));
    return bytes / 1e6;
  }
  // Waits until the plain clients and crowds that were started have ended.
  void await_crowds() {
    std::erase_if(crowds_, [&](pid_t pid) {
      return run_until(20000, [&] { return waitpid(pid, nullptr, WNOHANG) == pid; });
    });
    EXPECT_TRUE(crowds_.empty());
  }
  // The most memory that both processes of a replacement had together, where they were looked at.
  void sample_memory() {
    constexpr double sample_interval_ms = 5;
    if (old_pid_ <= 0 || now() < sampled_at_ + sample_interval_ms) return;
    sampled_at_ = now();
    sampled_peak_mb_ = std::max(sampled_peak_mb_, memory_mb("VmRSS"));
  }
  // What the plain clients saw: refused= and failed= answers and missing= ones at most, accepted= at least.
  void expect_plain(const Options& options) {
    await_crowds();
    for (const auto& file : std::exchange(plain_files_, {})) {
      const auto seen = crowd::read_plain_answers(file);
      SCOPED_TRACE("accepted " + std::to_string(seen.accepted) + ", refused " + std::to_string(seen.refused) +
                   ", failed " + std::to_string(seen.failed) + ", missing " + std::to_string(seen.missing) +
                   " (" + std::to_string(seen.ended) + " ended, first after " +
                   std::to_string(seen.first_missing_ms) + " ms), 99 of 100 within " +
                   std::to_string(seen.late_percentile_ms) + " ms, all within " +
                   std::to_string(seen.latest_ms) + " ms");
      EXPECT_GE(double(seen.accepted), number_or(options, "accepted", 1));
      EXPECT_LE(double(seen.refused), number_or(options, "refused", 1e9));
      EXPECT_LE(double(seen.failed), number_or(options, "failed", 0));
      EXPECT_LE(double(seen.missing), number_or(options, "missing", 0)) << log();
      EXPECT_LE(seen.late_percentile_ms, number_or(options, "late", 1e9));
      EXPECT_LE(seen.latest_ms, number_or(options, "latest", 1e9));
    }
  }

  void expect(const std::vector<std::string>& arguments, const Options& options) {
    const auto& expectation = arguments.at(1);
    double within = number_or(options, "within", 1500);
    auto least = static_cast<std::size_t>(number_or(options, "least", options.count("most") ? 0 : 1));
    auto most = static_cast<std::size_t>(number_or(options, "most", 1e9));
    std::function<std::size_t()> count;
    if (expectation == "calls")
      count = [&] {
        std::size_t found = 0;
        for (const auto& call : calls_) {
          if (options.count("before") && call[0] == options.at("before")) break;
          found +=
              (arguments.size() < 3 || call[0] == arguments[2]) &&
              (!options.count("heard") || contains(call[3], " " + options.at("heard") + " ")) &&
              (!options.count("at") || call[1] == options.at("at")) &&
              (!options.count("says") || call[2].find(unescaped(options.at("says"))) != std::string::npos);
        }
        return found;
      };
    else if (expectation == "descriptors")
      count = [&] {
        std::filesystem::directory_iterator open("/proc/" + std::to_string(pid_) + "/fd"), end;
        return static_cast<std::size_t>(std::distance(open, end));
      };
    else if (expectation == "asked")
      count = [&] { return arguments.size() > 2 ? full_list_requests_ : list_requests_; };
    else if (expectation == "told") count = [&] { return std::size_t(requested_after_ >= revision_); };
    else if (expectation == "spoilt") count = [&] { return faulty_lists_sent_; };
    else if (expectation == "batches") count = [&] { return batches_; };
    else if (expectation == "connections") count = [&] { return accepted_counts_[arguments.at(2)]; };
    else if (expectation == "closed") count = [&] { return closed_by_relay_[arguments.at(2)]; };
    else if (expectation == "notices")
      count = [&] {
        std::size_t found = 0;
        for (const auto& [id, reports] : reports_)
          for (const auto& report : reports)
            found += (arguments.size() < 3 || id == arguments[2]) &&
                     (!options.count("status") || report.at("status") == options.at("status"));
        return found;
      };
    else if (expectation == "heard")
      count = [&] { return connections_[client_socket(arguments.at(2))].input.size(); };
    else if (expectation == "answers")
      count = [&] {
        const std::string& input = connections_[client_socket(arguments.at(2))].input;
        return static_cast<std::size_t>(std::count(input.begin(), input.end(), '\n'));
      };
    else if (expectation == "reset")
      count = [&] {
        pollfd polled{client_socket(arguments.at(2)), 0, 0};
        return std::size_t(poll(&polled, 1, 0) > 0 && (polled.revents & POLLERR) != 0);
      };
    else if (expectation == "refused") count = [&] { return std::size_t(refuses_connections()); };
    else if (expectation == "halted") count = [&] { return halts_ += has_halted(); };
    else if (expectation == "log")
      count = [&] { return std::size_t(log().find(unescaped(options.at("says"))) != std::string::npos); };
    else if (expectation == "exit") {
      EXPECT_TRUE(run_until(within, [&] { return has_exited(); })) << log();
      EXPECT_TRUE(WIFEXITED(status_) && WEXITSTATUS(status_) == int(number_or(options, "code", 0)))
          << "status " << status_ << ": " << log();
      return;
    } else if (expectation == "running") {
      EXPECT_FALSE(has_exited()) << log();
      return;
    } else if (expectation == "plain") {
      return expect_plain(options);
    } else if (expectation == "peak") {
      if (!counts_memory) return;
      EXPECT_LE(std::max(sampled_peak_mb_, memory_mb("VmHWM")), number_or(options, "most", 0)) << log();
      return;
    } else if (expectation == "memory") {
      if (!counts_memory) return;
      run_until(within, [&] { return memory_mb("VmRSS") <= number_or(options, "most", 0); });
      EXPECT_LE(memory_mb("VmRSS"), number_or(options, "most", 0)) << log();
      return;
    } else if (expectation == "disk") {
      std::size_t bytes = 0;
      for (const auto& entry : std::filesystem::directory_iterator(folder_ + "/state"))
        if (entry.is_regular_file()) bytes += (std::filesystem::file_size(entry.path()) + 511) / 512 * 512;
      EXPECT_LE(double(bytes), number_or(options, "most", 0));
      return;
    } else {
      FAIL() << "unknown expectation";
    }
    // A maximum is checked over the whole time; a minimum ends the wait once it is reached.
    if (options.count("most"))
      run_until(options.count("within") ? within : 0, [&] { return count() > most; });
    else run_until(within, [&] { return count() >= least; });
    EXPECT_GE(count(), least) << log();
    EXPECT_LE(count(), most) << log();
  }

  // The sanitizers' own memory is many times the relay's.
#ifdef __SANITIZE_ADDRESS__
  static constexpr bool counts_memory = false;
#else
  static constexpr bool counts_memory = true;
#endif
  double sampled_at_ = 0, sampled_peak_mb_ = 0;
  std::vector<pid_t> crowds_;             // processes of crowds and of plain clients
  std::vector<std::string> plain_files_;  // what plain clients saw
  std::string folder_;
  int agent_ = -1, status_ = 0;
  ReservedPort relay_port_, admin_port_;
  pid_t pid_ = -1, old_pid_ = -1;
  int passed_socket_ = -1, health_checks_ = 0;
  std::size_t halts_ = 0;  // of the current process
  std::vector<int> unconfirmed_descriptors_;
  Json settings_;
  std::int64_t revision_ = 1;
  Json known_list_;  // the list as written into the last configuration
  bool agent_silent_ = false, agent_busy_ = false;
  bool tells_changes_ = false;            // a watch is answered with what changed, else with the whole list
  bool agent_fails_next_report_ = false;  // after one was acknowledged; that answer is written once more
  std::size_t reports_acknowledged_ = 0;
  std::string next_list_fault_;          // fault of the next list, empty: none
  std::map<int, std::string> withheld_;  // the rest of a response, by connection
  std::int64_t requested_after_ = -1;    // the version after which the relay last requested updates
  std::size_t faulty_lists_sent_ = 0;
  StandIn* other_ = nullptr;
  std::unique_ptr<StandIn> second_;
  std::size_t list_requests_ = 0, full_list_requests_ = 0;
  std::size_t batches_ = 0;
  std::map<std::string, Endpoint> endpoints_;
  std::map<int, Connection> connections_;
  std::map<std::string, int> clients_;
  std::multimap<double, ScheduledWrite> scheduled_writes_;
  std::vector<HeldAnswer> held_answers_;
  std::map<std::string, std::size_t> closed_by_relay_;  // connections, by endpoint
  std::vector<std::vector<std::string>> calls_;  // id, endpoint, the whole request, clients_with_answers()
  std::map<std::string, std::size_t> accepted_counts_;  // by endpoint
  std::map<std::string, std::vector<Json>> reports_;
};

}  // namespace rockcrank
