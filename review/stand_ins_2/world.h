// Stand-ins for one review case: the platform's agent, endpoints, clients and links between members, all on
// loopback addresses, with a thread for each connection. The relays are started as separate processes with the
// `run` command of deploy/balancer.toml. Every event goes to record.txt.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Lock = std::unique_lock<std::mutex>;

inline double now_ms() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}
inline double unix_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
}
inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// ---- the record

inline std::mutex record_mutex;
inline FILE* record_file = nullptr;
inline void record(const char* format, ...) {
  char text[600];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  Lock lock(record_mutex);
  if (!record_file) return;
  std::fprintf(record_file, "%10.1f %s\n", now_ms(), text);
  std::fflush(record_file);
}

// The case could not run: exit code 2.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// ---- the processes that the case started, ended with it whatever happens

constexpr unsigned most_seconds = 115;
constexpr int max_started = 256;
inline volatile pid_t started[max_started];
inline volatile sig_atomic_t started_count = 0;
inline void note_started(pid_t pid) {
  if (started_count >= max_started) return;
  started[started_count] = pid;
  started_count = started_count + 1;
}
// A child that has been waited for is forgotten, as its id may be given to another process.
inline void forget_started(pid_t pid) {
  for (int i = 0; i < started_count; ++i)
    if (started[i] == pid) started[i] = 0;
}
inline void end_started() {
  for (int i = 0; i < started_count; ++i)
    if (started[i] > 0) ::kill(started[i], SIGKILL);
  for (int i = 0; i < started_count; ++i)
    if (started[i] > 0) ::waitpid(started[i], nullptr, 0);
}
inline void on_abort(int) {  // out of time, or asked to end: the case could not run
  end_started();
  _exit(2);
}
// Waits for a child, up to a time; then it is killed. Returns its status.
inline int wait_or_kill(pid_t pid, double most) {
  int status = 0;
  const double until = now_ms() + most;
  while (waitpid(pid, &status, WNOHANG) != pid) {
    if (now_ms() > until) ::kill(pid, SIGKILL);
    sleep_ms(5);
  }
  forget_started(pid);
  return status;
}

// ---- sockets

inline std::string host() {  // an address of this run alone, so that ports are free
  static const std::string address = [] {
    auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(130 + (pid >> 16 & 63)) + "." + std::to_string(pid >> 8 & 255) + "." +
           std::to_string(pid & 255);
  }();
  return address;
}
inline sockaddr_in address_of(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET, at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host().c_str(), &at.sin_addr);
  return at;
}
inline std::string text_of(int port) { return host() + ":" + std::to_string(port); }
inline int port_of(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}
inline int open_listener(int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto at = address_of(port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(fd, 256) != 0) {
    ::close(fd);
    throw CannotRun("cannot listen on " + text_of(port));
  }
  return fd;
}
// Ports that were given out, to a listener here or to a relay that is yet to start: none is given twice.
inline bool take_port(int port) {
  static std::mutex mutex;
  static std::set<int> taken;
  Lock lock(mutex);
  return taken.insert(port).second;
}
inline int listen_on(int port) {
  while (true) {
    int fd = open_listener(port);
    if (port != 0 || take_port(port_of(fd))) return fd;
    ::close(fd);
  }
}
inline int free_port() {
  int fd = listen_on(0), port = port_of(fd);
  ::close(fd);
  return port;
}
inline int connect_to(int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  auto at = address_of(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0) return fd;
  ::close(fd);
  return -1;
}
inline bool send_all(int fd, const std::string& bytes) {
  for (std::size_t at = 0; at < bytes.size();) {
    auto count = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (count <= 0) return false;
    at += static_cast<std::size_t>(count);
  }
  return true;
}
// Appends what arrives. False: nothing in that time, or the connection has ended.
inline bool receive(int fd, std::string& to, double timeout, bool* ended = nullptr) {
  pollfd polled{fd, POLLIN, 0};
  if (poll(&polled, 1, static_cast<int>(timeout)) <= 0) return false;
  char bytes[65536];
  auto count = recv(fd, bytes, sizeof bytes, 0);
  if (count <= 0) {
    if (ended) *ended = true;
    return false;
  }
  to.append(bytes, static_cast<std::size_t>(count));
  return true;
}
inline void reset_connection(int fd) {
  linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  ::close(fd);
}

struct Request {
  std::string method, target, body;
  std::map<std::string, std::string> headers;
};
// The next whole request in the buffer.
inline std::optional<Request> next_request(std::string& in) {
  auto end = in.find("\r\n\r\n");
  if (end == std::string::npos) return {};
  Request request;
  std::size_t at = 0, line = 0;
  for (; at < end + 2; ++line) {
    auto stop = in.find("\r\n", at);
    std::string text = in.substr(at, stop - at);
    at = stop + 2;
    if (line == 0) {
      auto one = text.find(' '), two = text.find(' ', one + 1);
      request.method = text.substr(0, one), request.target = text.substr(one + 1, two - one - 1);
    } else if (auto colon = text.find(':'); colon != std::string::npos) {
      std::string name = text.substr(0, colon), value = text.substr(colon + 1);
      while (!value.empty() && value[0] == ' ') value.erase(0, 1);
      for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      request.headers[name] = value;
    }
  }
  std::size_t size = request.headers.count("content-length") ? std::stoul(request.headers["content-length"]) : 0;
  if (in.size() < end + 4 + size) return {};
  request.body = in.substr(end + 4, size);
  in.erase(0, end + 4 + size);
  return request;
}
inline std::string response(int status, const std::string& body = {}, const std::string& headers = {}) {
  return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Said") + "\r\n" + headers +
         (status == 204 ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

inline std::atomic<bool> stopping{false};

// ---- the platform: its list of endpoints, which all relays see alike, and the notices. Made with new and never
// deleted, as its threads go on until the process ends.

class Platform {
 public:
  struct Notice {
    double at = 0;
    std::string status;
  };
  void set(const Json& target) {
    Lock lock(mutex_);
    targets_[target.at("uid")] = {++revision_, target};
    record("platform revision=%d uid=%s state=%s address=%s dest=%d", revision_,
           target.at("uid").get<std::string>().c_str(), target.at("state").get<std::string>().c_str(),
           target.at("endpoint").get<std::string>().c_str(), target.at("pod_group").get<int>());
    changed_.notify_all();
  }
  Json list(int after = -1) {
    Lock lock(mutex_);
    return list_locked(after);
  }
  std::vector<Notice> notices(const std::string& id) {
    Lock lock(mutex_);
    return notices_[id];
  }
  int add_agent(const std::string& relay) {
    int fd = listen_on(0), port = port_of(fd);
    std::thread([this, fd, relay] {
      while (!stopping) {
        int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection >= 0) std::thread([this, connection, relay] { serve(connection, relay); }).detach();
      }
    }).detach();
    return port;
  }

 private:
  Json list_locked(int after) {
    Json all{{"rev", revision_}, {"all", after < 0}, {"targets", Json::array()}};
    for (const auto& [uid, one] : targets_)
      if (one.first > after && (after >= 0 || one.second.at("state") != "Gone"))
        all["targets"].push_back(one.second);
    return all;
  }
  void serve(int fd, const std::string& relay) {
    std::string in;
    bool ended = false;
    while (!stopping && !ended) {
      auto request = next_request(in);
      if (!request) {
        receive(fd, in, 200, &ended);
        continue;
      }
      std::string answer;
      if (request->target == "/reports") {
        Lock lock(mutex_);
        std::size_t at = 0;
        while (at < request->body.size()) {
          auto stop = std::min(request->body.find('\n', at), request->body.size());
          auto line = Json::parse(request->body.substr(at, stop - at));
          at = stop + 1;
          record("notice relay=%s %s", relay.c_str(), line.dump().c_str());
          notices_[line.at("id")].push_back({now_ms(), line.at("status")});
        }
        answer = response(204);
      } else if (auto after = request->target.find("after="); after != std::string::npos) {
        int version = std::stoi(request->target.substr(after + 6));
        auto wait = request->target.find("wait_ms=");
        double left = wait == std::string::npos ? 0 : std::stod(request->target.substr(wait + 8));
        Lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::duration<double, std::milli>(left),
                          [&] { return revision_ > version || stopping; });
        answer = response(200, list_locked(version).dump());
      } else {
        answer = response(200, list().dump());
      }
      if (!send_all(fd, answer)) break;
    }
    ::close(fd);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  int revision_ = 0;
  std::map<std::string, std::pair<int, Json>> targets_;
  std::map<std::string, std::vector<Notice>> notices_;
};

// ---- an endpoint's process

class Endpoint {
 public:
  struct Call {
    double at = 0;
    std::string endpoint, id, key, body;
    bool ran = false;  // else a repeat, dropped by its key
  };
  // window: how long it remembers an idempotency key, in milliseconds; 0: this kind of document has none.
  Endpoint(std::string name, double window, double work, int port = 0)
      : name_(std::move(name)), window_(window), work_(work) {
    listener_ = listen_on(port), port_ = port_of(listener_);
    acceptor_ = std::thread([this] { accept_all(); });
  }
  ~Endpoint() { end(); }
  int port() const { return port_; }
  Json listed(int dest, const std::string& state = "Ready", double boot_ms = 0) const {
    return {{"uid", name_},   {"endpoint", text_of(port_)}, {"az", "hall-a"},        {"model", "large"},
            {"pod_group", dest}, {"state", state},          {"capacity_hint", 50.0}, {"boot_ms", boot_ms}};
  }
  // From now on it reads and answers nothing, on connections that come up meanwhile too. A call that is being run
  // ends, and its answer is never sent.
  void fall_silent() { silent_ = true, record("endpoint=%s silent", name_.c_str()); }
  // What arrived meanwhile is reset unread, and never runs; new connections are served.
  void recover() { sleep_ms(100), ++generation_, silent_ = false, record("endpoint=%s answers again", name_.c_str()); }
  // Falls silent within the next call that it runs: after its effect, before its answer.
  void fall_silent_in_next_call() { silent_in_next_call_ = true; }
  void refuse_next(int calls) { refusals_ = calls; }  // answers 503 to them; they never run
  int refused() const { return refused_; }
  // The process ends: connections are reset, and new ones are refused.
  void end() {
    if (ended_.exchange(true)) return;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    while (open_ > 0) sleep_ms(5);
    record("endpoint=%s process ended", name_.c_str());
  }
  std::vector<Call> calls() {
    Lock lock(mutex_);
    return calls_;
  }

 private:
  void accept_all() {
    while (!ended_) {
      pollfd polled{listener_, POLLIN, 0};
      if (poll(&polled, 1, 50) <= 0) continue;
      int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      ++open_;
      std::thread([this, fd, generation = generation_.load()] { serve(fd, generation), --open_; }).detach();
    }
  }
  // generation: counts the times that it has recovered. A connection from before is reset, with what it carries.
  void serve(int fd, int generation) {
    std::string in;
    bool closed = false;
    while (!ended_ && !closed && !stopping) {
      if (silent_) {
        sleep_ms(5);
        continue;
      }
      if (generation != generation_) break;
      auto request = next_request(in);
      if (!request) {
        receive(fd, in, 20, &closed);
        continue;
      }
      int status = handle(*request);
      if (silent_ || ended_) continue;
      if (!send_all(fd, response(status))) break;
    }
    if (closed) ::close(fd);
    else reset_connection(fd);
  }
  int handle(const Request& request) {
    if (request.method != "POST") return 404;
    const double at = now_ms();
    Call call{at, name_, "", "", request.body, false};
    if (auto id = request.headers.find("request-id"); id != request.headers.end()) call.id = id->second;
    if (auto key = request.headers.find("idempotency-key"); key != request.headers.end()) call.key = key->second;
    if (refusals_-- > 0) {
      ++refused_;
      record("endpoint=%s id=%s answer=503", name_.c_str(), call.id.c_str());
      return 503;
    }
    sleep_ms(work_);
    Lock lock(mutex_);
    auto known = first_run_.find(call.key);
    const bool repeat = window_ > 0 && !call.key.empty() && known != first_run_.end() && at < known->second + window_;
    call.ran = !repeat;
    if (call.ran) first_run_[call.key] = at;
    calls_.push_back(call);
    record("endpoint=%s id=%s key=%s body=%.40s %s", name_.c_str(), call.id.c_str(), call.key.c_str(),
           call.body.c_str(), call.ran ? "run" : "repeat dropped");
    if (silent_in_next_call_.exchange(false)) fall_silent();
    return 200;
  }

  const std::string name_;
  const double window_, work_;
  int listener_ = -1, port_ = 0;
  std::thread acceptor_;
  std::atomic<bool> silent_{false}, silent_in_next_call_{false}, ended_{false};
  std::atomic<int> generation_{0}, open_{0}, refusals_{0}, refused_{0};
  std::mutex mutex_;
  std::map<std::string, double> first_run_;
  std::vector<Call> calls_;
};

// ---- a link between two members: forwards bytes, each after a delay; may be cut. Never deleted, as the platform.

class LinkProxy {
 public:
  LinkProxy(int target, double delay) : target_(target), delay_(delay) {
    listener_ = listen_on(0), port_ = port_of(listener_);
    std::thread([this] {
      while (!stopping) {
        int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) std::thread([this, fd] { forward(fd); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  // A cut link loses what is on its way; its connections are reset, new ones too.
  void cut(bool is_cut) { cut_ = is_cut; }

 private:
  struct Pending {
    double due;
    std::string bytes;
  };
  void forward(int from) {
    int to = cut_ ? -1 : connect_to(target_);
    if (to < 0) return reset_connection(from);
    int on = 1;
    setsockopt(from, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    int fds[2] = {from, to};
    std::vector<Pending> waiting[2];
    bool ended = false;
    while (!ended && !cut_ && !stopping) {
      double next = now_ms() + 20;
      for (auto& queue : waiting)
        if (!queue.empty()) next = std::min(next, queue.front().due);
      pollfd polled[2] = {{from, POLLIN, 0}, {to, POLLIN, 0}};
      poll(polled, 2, std::max(0, static_cast<int>(next - now_ms())));
      for (int side = 0; side < 2; ++side) {
        if (polled[side].revents) {
          std::string bytes;
          if (receive(fds[side], bytes, 0, &ended)) waiting[side].push_back({now_ms() + delay_, bytes});
        }
        while (!waiting[side].empty() && waiting[side].front().due <= now_ms() && !cut_) {
          if (!send_all(fds[1 - side], waiting[side].front().bytes)) ended = true;
          waiting[side].erase(waiting[side].begin());
        }
      }
    }
    reset_connection(from), reset_connection(to);
  }

  const int target_;
  const double delay_;
  int listener_ = -1, port_ = 0;
  std::atomic<bool> cut_{false};
};

// ---- clients

inline std::string words(const std::vector<std::string>& all) {
  std::string text = "*" + std::to_string(all.size()) + "\r\n";
  for (const auto& one : all) text += "$" + std::to_string(one.size()) + "\r\n" + one + "\r\n";
  return text;
}
// One command on a connection of its own; the client waits 400 ms for its answer. Empty: none came.
inline std::string ask(int port, const std::vector<std::string>& command, double timeout = 400) {
  int fd = connect_to(port);
  if (fd < 0) return {};
  std::string in;
  bool ended = false;
  const double until = now_ms() + timeout;
  if (send_all(fd, words(command)))
    while (in.find('\n') == std::string::npos && now_ms() < until && !ended)
      receive(fd, in, std::max(1.0, until - now_ms()), &ended);
  ::close(fd);
  while (!in.empty() && (in.back() == '\n' || in.back() == '\r')) in.pop_back();
  return in;
}
struct Document {
  std::string id, key, type, body, order_key = "0000000000000000";
  int dest = 0;
  double time_left = 0;
};
inline std::string hand_in(int port, const std::string& relay, const Document& document) {
  auto list = "c=" + document.type + ",d=" + std::to_string(static_cast<long>(document.time_left)) +
              (document.key.empty() ? "" : ",k=" + document.key) + ",dest=" + std::to_string(document.dest);
  record("client relay=%s id=%s key=%s order_key=%s dest=%d body=%.40s handed in", relay.c_str(), document.id.c_str(),
         document.key.c_str(), document.order_key.c_str(), document.dest, document.body.c_str());
  auto answer = ask(port, {"ENQUEUE", document.order_key, document.id, list, document.body});
  record("client relay=%s id=%s answer=%s", relay.c_str(), document.id.c_str(), answer.c_str());
  return answer;
}
inline std::string ask_line(int port, const std::string& line, double timeout = 1000) {  // the second address
  int fd = connect_to(port);
  if (fd < 0) return {};
  std::string in;
  bool ended = false;
  const double until = now_ms() + timeout;
  if (send_all(fd, line + "\n"))
    while (in.find('\n') == std::string::npos && now_ms() < until && !ended)
      receive(fd, in, std::max(1.0, until - now_ms()), &ended);
  ::close(fd);
  while (!in.empty() && in.back() == '\n') in.pop_back();
  return in;
}

// ---- relays

// The settings of a small deployment: figures of a partner system whose documents carry a key (agreed time 2 s,
// expiry 28 s, a repeat dropped for 15 s), which may go again at a destination of any hall.
inline Json small_settings(int relays) {
  return {{"balancers", relays},
          {"az", 0},
          {"weightKind", "rough"},
          {"registryMode", "pushed"},
          {"tickUs", 5000},
          {"zones", {"hall-a", "hall-b"}},
          {"skus", {"large", "small"}},
          {"specifics", {{"slots", 32}, {"bundleMax", {1, 5}}, {"routesApart", {false, false}}, {"decay", "halving"}}},
          {"limits",
           {{"maxAttempts", 12},
            {"dialTimeoutUs", 1500000},
            {"keepaliveUs", 10000000},
            {"openCap", 400},
            {"cancel", true},
            {"retryAfter", true},
            {"maxRetryAfterUs", 3000000}}},
          {"rules",
           {{"fallMultiple", 2.5},
            {"fallUs", 2000000},
            {"startCapacity", 0.14},
            {"warmWithinUs", 14000000},
            {"drainGraceUs", 2000000}}},
          {"classes",
           {{{"name", "boundary"},
             {"goalTimeUs", 2000000},
             {"deadlineUs", 28000000},
             {"lateWorth", 0.3},
             {"repeat", "keyed"},
             {"keyScope", "all"},
             {"windowUs", 15000000}}}}};
}

class Relay {
 public:
  Relay(std::string name, const std::string& folder, Platform& platform)
      : name(std::move(name)), folder(folder + "/" + this->name), platform_(platform) {
    std::filesystem::create_directories(this->folder + "/state");
    client_port = free_port(), admin_port = free_port(), member_port = free_port();
    agent_port = platform.add_agent(this->name);
  }
  ~Relay() { kill(); }

  void write_config(const Json& settings) {
    Json config{{"name", name},
                {"listen", text_of(client_port)},
                {"discovery", text_of(agent_port)},
                {"admin", text_of(admin_port)},
                {"seed", "8c1f30d27a5be964" + name},
                {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}, {"disk_mb", 3}}},
                {"known", platform_.list()},
                {"settings", settings}};
    std::ofstream(folder + "/config.json") << config.dump(1);
  }
  // With the deploy file's `run`, from the root of the repository. passed: the clients' listening socket.
  pid_t start(int passed = -1, int other_admin = 0) {
    pid_t child = fork();
    if (child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // no relay outlives the case
      setenv("BALANCER_CONFIG", (folder + "/config.json").c_str(), 1);
      setenv("BALANCER_STATE", (folder + "/state").c_str(), 1);
      setenv("BALANCER_NAME", name.c_str(), 1);
      setenv("BALANCER_LISTEN", text_of(client_port).c_str(), 1);
      setenv("BALANCER_DISCOVERY", text_of(agent_port).c_str(), 1);
      setenv("BALANCER_ADMIN", text_of(other_admin ? other_admin : admin_port).c_str(), 1);
      if (std::filesystem::exists(folder + "/fleet.toml"))
        setenv("BALANCER_FLEET", (folder + "/fleet.toml").c_str(), 1);
      int log = open((folder + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(log, 1), dup2(log, 2);
      if (passed >= 0) {
        if (passed == 3) fcntl(3, F_SETFD, 0);
        else dup2(passed, 3);
        setenv("BALANCER_PASSED_SOCKET", "3", 1);
        close_range(4, ~0u, 0);
      } else {
        close_range(3, ~0u, 0);
      }
      execl("/bin/sh", "sh", "-c", "exec build/rockcrank serve", nullptr);
      _exit(127);
    }
    if (child < 0) throw CannotRun("cannot start a process");
    note_started(child);
    pid = child;
    record("relay=%s started", name.c_str());
    return child;
  }
  void wait_until_ready(double timeout = 10000) {
    for (const double until = now_ms() + timeout; now_ms() < until; sleep_ms(20))
      if (ask(client_port, {"PING"}) == "+PONG") return record("relay=%s ready", name.c_str());
    throw CannotRun("relay " + name + " is not ready");
  }
  void signal(int number, const char* what) {
    if (pid > 0) ::kill(pid, number), record("relay=%s %s", name.c_str(), what);
  }
  void kill() {
    if (pid <= 0) return;
    ::kill(pid, SIGCONT), ::kill(pid, SIGKILL), waitpid(pid, nullptr, 0);
    forget_started(pid);
    pid = -1, record("relay=%s SIGKILL", name.c_str());
  }
  bool is_running() {
    if (pid <= 0) return false;
    int status = 0;
    if (waitpid(pid, &status, WNOHANG) != pid) return true;
    forget_started(pid);
    pid = -1;
    record("relay=%s ended, status=%d", name.c_str(), status);
    return false;
  }
  std::string log() const {
    std::ifstream file(folder + "/log");
    return {std::istreambuf_iterator<char>(file), {}};
  }

  const std::string name, folder;
  int client_port = 0, admin_port = 0, member_port = 0, agent_port = 0;
  pid_t pid = -1;

 private:
  Platform& platform_;
};

// Members of one fleet, with the figures of deploy/fleet.toml.
class FleetOf {
 public:
  struct Options {
    bool streams = false;
    std::vector<int> subscribers;
    std::size_t in_hall_b = 1;  // the last of the members; the others are in hall-a
    double link_delay = -1;  // not negative: through proxies
    std::string fleet_name = "review";
  };
  FleetOf(int count, const std::string& folder, Platform& platform, const Json& settings, const Options& options) {
    for (int i = 1; i <= count; ++i)
      relays.push_back(std::make_unique<Relay>("n" + std::to_string(i), folder, platform));
    for (auto& from : relays) {
      from->write_config(settings);
      std::ofstream file(from->folder + "/fleet.toml");
      file << "fleet = \"" << options.fleet_name << "\"\n";
      for (std::size_t i = 0; i < relays.size(); ++i) {
        auto& to = relays[i];
        int port = to->member_port;
        if (options.link_delay >= 0 && to != from) {
          auto& link = links[{from->name, to->name}];
          link = new LinkProxy(to->member_port, options.link_delay);
          port = link->port();
        }
        file << "[[member]]\nname = \"" << to->name << "\"\nhall = \"" << (i + options.in_hall_b >= relays.size() ? "hall-b" : "hall-a")
             << "\"\nat = \"" << text_of(port) << "\"\n";
      }
      file << "[link]\nqueue_kb = 4096\nframe_kb = 1024\n[share]\non = true\n[documents]\ncopies = 2\nwait = true\n"
              "copy_within_ms = 200\nlease_ms = 2000\ndrift = 0.01\n";
      if (options.streams) {
        file << "[latest]\ndisk_mb = 2\nsegment_kb = 64\nversion_ahead_ms = 60000\n[[stream]]\ntype = \"boundary\"\n"
                "keep = \"latest\"\nsubscribers = [";
        for (std::size_t i = 0; i < options.subscribers.size(); ++i)
          file << (i ? ", " : "") << options.subscribers[i];
        file << "]\ntombstone_life_ms = 86400000\nleast_age_ms = 60000\nsuperseded_share = 0.5\n";
      }
    }
  }
  void start() {
    for (auto& one : relays) one->start();
    for (auto& one : relays) one->wait_until_ready();
  }
  Relay& operator[](std::size_t i) { return *relays[i]; }

  std::vector<std::unique_ptr<Relay>> relays;
  std::map<std::pair<std::string, std::string>, LinkProxy*> links;
};

// ---- a case

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// Runs the case and returns its exit code. The working folder is the root of the repository.
inline int run_case(int argc, char** argv, const std::function<bool(const std::string& folder)>& holds) {
  ::signal(SIGPIPE, SIG_IGN);
  for (int number : {SIGALRM, SIGTERM, SIGINT, SIGHUP, SIGSEGV, SIGABRT}) ::signal(number, on_abort);
  alarm(most_seconds);
  if (argc < 2) return std::fprintf(stderr, "usage: %s RECORD\n", argv[0]), 2;
  record_file = std::fopen(argv[1], "w");
  if (!record_file) return 2;
  const char* base = std::getenv("TMPDIR");
  std::string folder = std::string(base && *base ? base : "/tmp") + "/review-XXXXXX";
  if (!mkdtemp(folder.data())) return 2;
  now_ms();
  int code = 2;
  try {
    record("TROUBLE=%d", trouble() ? 1 : 0);
    code = holds(folder) ? 0 : 1;
    record("%s", code == 0 ? "the rule held" : "the rule was broken");
  } catch (const std::exception& error) { record("could not run: %s", error.what()); }
  stopping = true;
  end_started();
  std::fflush(record_file);
  std::error_code ignored;
  if (const char* keep = std::getenv("KEEP"); keep && *keep)
    std::filesystem::copy(folder, keep, std::filesystem::copy_options::recursive, ignored);
  std::filesystem::remove_all(folder, ignored);
  std::printf("exit %d\n", code);
  std::fflush(stdout);
  _exit(code);
}

}  // namespace review
