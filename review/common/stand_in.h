// Stand-ins for one relay's surroundings: clients (RESP2), endpoints (HTTP/1.1), the platform's agent, and the
// relay processes themselves. One thread, one poll(2) loop. All addresses are loopback addresses. Everything that
// is seen goes to record.txt, one line each, with milliseconds since the start.
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

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Ms = double;

// The case could not run: exit code 2.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline Ms clock_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(clock_ms()) {
    if (!file_) throw CannotRun("cannot write " + path);
    std::setvbuf(file_, nullptr, _IOLBF, 1 << 16);
  }
  ~Record() { std::fclose(file_); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::fprintf(file_, "%9.1f ", clock_ms() - start_);
    va_list values;
    va_start(values, format);
    std::vfprintf(file_, format, values);
    va_end(values);
    std::fputc('\n', file_);
  }
  void text(const std::string& all) { std::fputs(all.c_str(), file_); }

 private:
  std::FILE* file_;
  Ms start_;
};

struct Socket {
  int fd = -1, id = 0;
  bool listening = false, connecting = false, ended = false;
  std::string in, out;
  std::function<void(int)> on_accept;  // a new socket's id
  std::function<void()> on_data, on_end;
};

class Loop {
 public:
  ~Loop() {
    for (auto& [id, socket] : sockets_) ::close(socket->fd);
  }
  static sockaddr_in at(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET, address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }
  // A bound and listening socket on a free port, or on the given one.
  static int listening(int port, int& bound) {
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0), on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = at(port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
      ::close(fd);
      throw CannotRun("cannot listen on a loopback port");
    }
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    bound = ntohs(address.sin_port);
    return fd;
  }
  int listen(std::function<void(int)> on_accept, int port = 0) {
    int bound = 0;
    Socket& socket = add(listening(port, bound));
    socket.listening = true, socket.on_accept = std::move(on_accept);
    return bound;
  }
  Socket& connect(int port) {
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0), on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto address = at(port);
    ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    Socket& socket = add(fd);
    socket.connecting = true;
    return socket;
  }
  Socket* find(int id) {
    auto found = sockets_.find(id);
    return found == sockets_.end() || found->second->ended ? nullptr : found->second.get();
  }
  void send(int id, const std::string& bytes) {
    if (Socket* socket = find(id)) socket->out += bytes, flush(*socket);
  }
  void close(int id) {
    if (Socket* socket = find(id)) socket->ended = true;
  }
  // Closes with a reset, as a process that dies does.
  void reset(int id) {
    if (Socket* socket = find(id)) {
      linger hard{1, 0};
      setsockopt(socket->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      socket->ended = true;
    }
  }
  void after(Ms delay, std::function<void()> what) { timers_.emplace(clock_ms() + delay, std::move(what)); }
  // Runs until the condition holds; false: not within that time.
  bool run(Ms within, const std::function<bool()>& holds = [] { return false; }) {
    const Ms end = clock_ms() + within;
    while (!holds()) {
      if (clock_ms() >= end) return false;
      once(std::min(20.0, end - clock_ms()));
    }
    return true;
  }

 private:
  Socket& add(int fd) {
    auto socket = std::make_unique<Socket>();
    socket->fd = fd, socket->id = ++last_;
    return *(sockets_[last_] = std::move(socket));
  }
  void flush(Socket& socket) {
    while (!socket.out.empty() && !socket.connecting && !socket.ended) {
      auto count = ::send(socket.fd, socket.out.data(), socket.out.size(), MSG_NOSIGNAL);
      if (count <= 0) return;
      socket.out.erase(0, static_cast<std::size_t>(count));
    }
  }
  void once(Ms most) {
    if (!timers_.empty()) most = std::clamp(timers_.begin()->first - clock_ms(), 0.0, most);
    std::vector<pollfd> polled;
    std::vector<int> ids;
    for (auto& [id, socket] : sockets_) {
      short events = POLLIN;
      if (socket->connecting || !socket->out.empty()) events |= POLLOUT;
      polled.push_back({socket->fd, events, 0}), ids.push_back(id);
    }
    ::poll(polled.data(), polled.size(), static_cast<int>(most) + (most > 0 ? 1 : 0));
    for (std::size_t i = 0; i < ids.size(); ++i)
      if (polled[i].revents != 0)
        if (Socket* socket = find(ids[i])) ready(*socket, polled[i].revents);
    while (!timers_.empty() && timers_.begin()->first <= clock_ms()) {
      auto what = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      what();
    }
    std::erase_if(sockets_, [](auto& entry) {
      if (entry.second->ended) ::close(entry.second->fd);
      return entry.second->ended;
    });
  }
  void ready(Socket& socket, short events) {
    if (socket.listening) {
      int fd = ::accept4(socket.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC), on = 1;
      if (fd < 0) return;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      return socket.on_accept(add(fd).id);
    }
    if (socket.connecting) {
      int error = 0;
      socklen_t size = sizeof error;
      getsockopt(socket.fd, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0) return end(socket);
      if (!(events & POLLOUT)) return;
      socket.connecting = false;
    }
    flush(socket);
    if (!(events & (POLLIN | POLLHUP | POLLERR))) return;
    char bytes[65536];
    auto count = ::recv(socket.fd, bytes, sizeof bytes, 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (count <= 0) return end(socket);
    socket.in.append(bytes, static_cast<std::size_t>(count));
    if (socket.on_data) socket.on_data();
  }
  void end(Socket& socket) {
    socket.ended = true;
    if (socket.on_end) socket.on_end();
  }

  std::map<int, std::unique_ptr<Socket>> sockets_;
  std::multimap<Ms, std::function<void()>> timers_;
  int last_ = 0;
};

// One HTTP request at the front of the bytes, if it is whole.
struct Request {
  std::string line, body;
  std::map<std::string, std::string> headers;
  std::string header(const std::string& name) const {
    auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};
inline bool take_request(std::string& in, Request& request) {
  auto end = in.find("\r\n\r\n");
  if (end == std::string::npos) return false;
  request = {};
  std::size_t length = 0, start = 0;
  for (bool first = true; start < end + 2; first = false) {
    auto stop = in.find("\r\n", start);
    auto line = in.substr(start, stop - start);
    start = stop + 2;
    if (first) request.line = line;
    else if (auto colon = line.find(": "); colon != std::string::npos)
      request.headers[line.substr(0, colon)] = line.substr(colon + 2);
  }
  if (auto text = request.header("Content-Length"); !text.empty()) length = std::stoul(text);
  if (in.size() < end + 4 + length) return false;
  request.body = in.substr(end + 4, length);
  in.erase(0, end + 4 + length);
  return true;
}
inline std::string response(const std::string& status, const std::string& body = "",
                            const std::string& headers = "") {
  return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

struct Notice {
  Ms at = 0;
  std::string status;
};

// What the platform's agent on a relay's machine does: the list, the watch, and the notices.
class Agent {
 public:
  Agent(Loop& loop, Record& record, std::string name) : loop_(loop), record_(record), name_(std::move(name)) {
    port = loop_.listen([this](int id) {
      Socket* socket = loop_.find(id);
      socket->on_data = [this, id] { serve(id); };
      socket->on_end = [this, id] { watches_.erase(id); };
    });
  }
  Json list() const { return {{"rev", revision_}, {"all", true}, {"targets", targets_}}; }
  void set_targets(const Json& targets) {
    targets_ = targets, ++revision_;
    for (auto& [id, watch] : std::exchange(watches_, {})) loop_.send(id, response("200 OK", list().dump()));
  }
  int port = 0;
  std::map<std::string, std::vector<Notice>> notices;
  std::function<void(const std::string&, const std::string&)> on_notice;

 private:
  void serve(int id) {
    Request request;
    for (Socket* socket = loop_.find(id); socket && take_request(socket->in, request); socket = loop_.find(id)) {
      if (request.line.rfind("POST /reports ", 0) == 0) {
        loop_.send(id, response("204 No Content"));
        std::size_t start = 0;
        while (start < request.body.size()) {
          auto stop = std::min(request.body.find('\n', start), request.body.size());
          auto notice = Json::parse(request.body.substr(start, stop - start), nullptr, false);
          start = stop + 1;
          if (!notice.is_object()) continue;
          auto doc = notice.value("id", ""), status = notice.value("status", "");
          record_.line("notice to %s: %s %s", name_.c_str(), doc.c_str(), status.c_str());
          notices[doc].push_back({clock_ms(), status});
          if (on_notice) on_notice(doc, status);
        }
        continue;
      }
      auto after = request.line.find("after="), wait = request.line.find("wait_ms=");
      if (after == std::string::npos || std::stol(request.line.substr(after + 6)) < revision_ ||
          wait == std::string::npos) {
        loop_.send(id, response("200 OK", list().dump()));
        continue;
      }
      auto number = ++last_watch_;
      watches_[id] = number;
      loop_.after(std::stod(request.line.substr(wait + 8)), [this, id, number] {
        auto found = watches_.find(id);
        if (found == watches_.end() || found->second != number) return;
        watches_.erase(found);
        loop_.send(id, response("200 OK", Json{{"rev", revision_}, {"all", false}, {"targets", Json::array()}}.dump()));
      });
    }
  }
  Loop& loop_;
  Record& record_;
  std::string name_;
  Json targets_ = Json::array();
  long revision_ = 40;
  std::map<int, int> watches_;
  int last_watch_ = 0;
};

// One call as an endpoint sees it, once its last byte has come.
struct Call {
  int socket = 0;
  std::string id, key, body;
  Ms at = 0;
};

// An endpoint: hands each call to on_call, which answers it at once, later, or not at all.
class Endpoint {
 public:
  Endpoint(Loop& loop, Record& record, std::string uid) : uid(std::move(uid)), loop_(loop), record_(record) {
    port = loop_.listen([this](int id) {
      ++connections;
      Socket* socket = loop_.find(id);
      socket->on_data = [this, id] {
        Request request;
        for (Socket* open = loop_.find(id); open && take_request(open->in, request); open = loop_.find(id)) {
          Call call{id, request.header("Request-Id"), request.header("Idempotency-Key"), request.body, clock_ms()};
          record_.line("call at %s: %s key %s, %zu bytes", this->uid.c_str(), call.id.c_str(), call.key.c_str(),
                       call.body.size());
          on_call(call);
        }
      };
    });
  }
  void answer(const Call& call, const std::string& status = "200 OK", const std::string& headers = "") {
    record_.line("answer of %s: %s %s%s", uid.c_str(), call.id.c_str(), status.c_str(),
                 loop_.find(call.socket) ? "" : " (its connection had ended)");
    loop_.send(call.socket, response(status, "", headers));
  }
  Json listed(int destination, const std::string& zone, const std::string& kind, const std::string& state = "Ready",
              double rate = 0) const {
    return {{"uid", uid},  {"endpoint", "127.0.0.1:" + std::to_string(port)},
            {"az", zone},  {"model", kind},
            {"pod_group", destination}, {"state", state},
            {"capacity_hint", rate},    {"boot_ms", 0}};
  }
  std::string uid;
  int port = 0, connections = 0;
  std::function<void(const Call&)> on_call;

 private:
  Loop& loop_;
  Record& record_;
};

// A relay process, started with the deploy file's command.
struct Process {
  pid_t pid = -1;
  bool running() {
    if (pid <= 0) return false;
    int status = 0;
    if (waitpid(pid, &status, WNOHANG) == pid) pid = -1, last_status = status;
    return pid > 0;
  }
  void signal(int number) {
    if (pid > 0) ::kill(pid, number);
  }
  void kill() {
    if (pid <= 0) return;
    ::kill(pid, SIGKILL);
    waitpid(pid, &last_status, 0);
    pid = -1;
  }
  ~Process() { kill(); }
  int last_status = 0;
};

inline std::string run_command() {
  std::ifstream file("deploy/balancer.toml");
  for (std::string line; std::getline(file, line);)
    if (line.rfind("run = \"", 0) == 0) return line.substr(7, line.rfind('"') - 7);
  throw CannotRun("deploy/balancer.toml has no run command");
}

// The passed socket, if any, becomes descriptor 3.
inline void start(Process& process, const std::map<std::string, std::string>& variables, const std::string& log,
                  int passed = -1) {
  auto command = run_command();
  auto pid = fork();
  if (pid < 0) throw CannotRun("cannot fork");
  if (pid > 0) {
    process.pid = pid;
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  for (const auto& [name, value] : variables) setenv(name.c_str(), value.c_str(), 1);
  int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(out, 1), dup2(out, 2);
  if (passed >= 0) {
    if (passed == 3) fcntl(3, F_SETFD, 0);
    else dup2(passed, 3);
  }
  close_range(passed >= 0 ? 4 : 3, ~0U, 0);
  execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
  _exit(127);
}

// Whether the relay at this port answers PING.
inline bool answers_ping(Loop& loop, int port) {
  Socket& socket = loop.connect(port);
  int id = socket.id;
  bool over = false, good = false;
  socket.on_end = [&] { over = true; };
  socket.on_data = [&] {
    Socket* open = loop.find(id);
    over = open && open->in.size() >= 7, good = open && open->in == "+PONG\r\n";
  };
  loop.send(id, "*1\r\n$4\r\nPING\r\n");
  loop.run(300, [&] { return over; });
  if (Socket* open = loop.find(id)) open->on_data = {}, open->on_end = {};
  loop.close(id);
  return good;
}
inline void wait_ready(Loop& loop, Process& process, int port, Ms within = 15000) {
  const Ms end = clock_ms() + within;
  while (!answers_ping(loop, port)) {
    if (!process.running() || clock_ms() > end) throw CannotRun("a relay did not start");
    loop.run(10);
  }
}
// One line to the second address, and its answer; empty: none within 1 s.
inline std::string ask_admin(Loop& loop, int port, const std::string& line) {
  Socket& socket = loop.connect(port);
  int id = socket.id;
  bool over = false;
  std::string answer;
  socket.on_end = [&] { over = true; };
  socket.on_data = [&] {
    if (Socket* open = loop.find(id)) answer = open->in, over = answer.find('\n') != std::string::npos;
  };
  loop.send(id, line + "\n");
  loop.run(1000, [&] { return over; });
  if (Socket* open = loop.find(id)) open->on_data = {}, open->on_end = {};
  loop.close(id);
  return answer.substr(0, answer.find('\n'));
}

inline std::string bulk(const std::string& text) {
  return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}
inline std::string enqueue(const std::string& key, const std::string& id, const std::string& list,
                           const std::string& body) {
  return "*5\r\n" + bulk("ENQUEUE") + bulk(key) + bulk(id) + bulk(list) + bulk(body);
}

// A free loopback port for a program that binds it later: below those that the system gives to connections.
inline int free_port() {
  static int next = 12000 + static_cast<int>(getpid()) * 17 % 18000;
  for (int tries = 0; tries < 2000; ++tries) {
    int bound = 0;
    next = next >= 30000 ? 12000 : next + 1;
    try {
      ::close(Loop::listening(next, bound));
      return bound;
    } catch (const CannotRun&) {}
  }
  throw CannotRun("no free loopback port");
}

inline std::string make_folder() {
  const char* base = std::getenv("TMPDIR");
  std::string name = std::string(base && *base ? base : "/tmp") + "/rockcrank-review-XXXXXX";
  if (!mkdtemp(name.data())) throw CannotRun("cannot make a temporary folder");
  return name;
}

// Settings of a small deployment: the shape of the first deployment's, with its limits and rules.
inline Json small_settings() {
  return Json::parse(R"({"balancers":3,"az":0,"registryMode":"pushed","weightKind":"rough","tickUs":5000,
    "zones":["hall-a","hall-b"],"skus":["large","small"],
    "specifics":{"slots":24,"bundleMax":[1,1],"routesApart":[false,false],"decay":"halving"},
    "limits":{"maxAttempts":12,"dialTimeoutUs":1500000,"keepaliveUs":10000000,"openCap":400,"cancel":true,
      "mayDuplicate":true,"retryAfter":true,"maxRetryAfterUs":3000000},
    "rules":{"fallMultiple":2.5,"fallUs":2000000,"startCapacity":0.14,"warmWithinUs":14000000,
      "drainGraceUs":2000000},
    "classes":[{"name":"boundary","goalTimeUs":2000000,"deadlineUs":28000000,"lateWorth":0.3,"worth":1,
      "repeat":"keyed","keyScope":"all","windowUs":15000000}]})");
}

inline std::string at(int port) { return "127.0.0.1:" + std::to_string(port); }

inline int main_of(int argc, char** argv, const std::function<bool(Loop&, Record&, const std::string&, bool)>& play) {
  if (argc < 2) return 2;
  const char* trouble = std::getenv("TROUBLE");
  signal(SIGPIPE, SIG_IGN);
  std::string folder;
  int result = 2;
  try {
    Record record(argv[1]);
    try {
      folder = make_folder();
      Loop loop;
      result = play(loop, record, folder, !(trouble && std::string(trouble) == "0")) ? 0 : 1;
      record.line("result: %s", result == 0 ? "the rule held" : "the rule was broken");
      std::printf("%s\n", result == 0 ? "the rule held" : "the rule was broken");
    } catch (const std::exception& error) {
      record.line("result: could not run: %s", error.what());
      std::printf("could not run: %s\n", error.what());
      result = 2;
    }
    if (!folder.empty())
      for (const auto& entry : std::filesystem::recursive_directory_iterator(folder))
        if (entry.path().extension() == ".log") {
          std::ifstream log(entry.path());
          record.text("---- log of the relay, " + entry.path().filename().string() + "\n" +
                      std::string(std::istreambuf_iterator<char>(log), {}));
        }
  } catch (const std::exception& error) { std::printf("could not run: %s\n", error.what()); }
  std::error_code ignored;
  if (!folder.empty() && !std::getenv("KEEP")) std::filesystem::remove_all(folder, ignored);
  return result;
}

}  // namespace review
