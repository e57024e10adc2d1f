// A stand-in for everything around one relay: clients, endpoints and the platform's agent, and the process
// itself, all on loopback sockets and driven by one thread. Plays the socket scenarios (*.relay); their
// notation is in scenarios/README.txt.
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

#include "relay/handover.h"
#include "relay/store.h"
#include "reserved_port.h"
#include "settings/settings.h"

namespace rockcrank {

using Words = std::map<std::string, std::string>;

inline double number(const Words& words, const std::string& name, double absent) {
  auto found = words.find(name);
  return found == words.end() ? absent : std::stod(found->second);
}

inline std::string text_or(const Words& words, const std::string& name, const std::string& absent) {
  auto found = words.find(name);
  return found == words.end() ? absent : found->second;
}

inline bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

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

class StandIn {
 public:
  using Json = nlohmann::json;
  static constexpr int small_window = 4096;  // bytes that a client which does not read takes in

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
    end_process(SIGKILL);
    if (old_ > 0) ::kill(old_, SIGCONT), ::kill(old_, SIGKILL), waitpid(old_, nullptr, 0);
    if (passed_ >= 0) ::close(passed_);
    pose({{"gone", "1"}});
    for (auto& [fd, peer] : peers_) ::close(fd);
    for (auto& [name, endpoint] : endpoints_) {
      if (endpoint.listener >= 0) ::close(endpoint.listener);
    }
    ::close(agent_);
    std::filesystem::remove_all(folder_);
  }

  // One more relay, with an agent and clients of its own: both go on together.
  StandIn& also() {
    if (!also_) also_ = std::make_unique<StandIn>(), also_->beside_ = this, beside_ = also_.get();
    return *also_;
  }

  void line(const std::string& text) {
    if (text.starts_with("also ")) return also().line(text.substr(5));
    std::istringstream in(text);
    std::vector<std::string> plain;
    Words words;
    for (std::string word; in >> word;) {
      auto equals = word.find('=');
      if (plain.empty() || equals == std::string::npos || plain[0] == "say" || plain[0] == "hear")
        plain.push_back(word);
      else words[word.substr(0, equals)] = word.substr(equals + 1);
    }
    if (plain.empty() || plain[0][0] == '#') return;
    SCOPED_TRACE(text);
    obey(plain, words, text);
  }

 private:
  struct Endpoint {
    int listener = -1;
    std::shared_ptr<ReservedPort> address;  // one for all stand-ins that share the endpoint
    int port() const { return address->port(); }
    std::string manner = "200";
    Words how;
    Json entry;
  };
  struct Peer {  // an accepted connection, or a client's
    std::string endpoint, in, out;
    bool agent = false, client = false, ended = false, used = false, crowded = false, deaf = false;
    bool unread = false;  // a client that does not read
    std::int64_t watching = -1;
    double watch_ends = 0;
  };
  struct Later {
    int fd;
    std::string bytes;
    bool close;
  };
  struct HeldAnswer {  // to a call, until the scenario lets it go
    std::string endpoint;
    Later answer;
  };

  static double now() {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
  }
  // Listens at a port that is reserved, or at any.
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
  static std::string at(int port) { return "127.0.0.1:" + std::to_string(port); }

  // Goes on until the condition holds or the time is over; says whether it held.
  bool pump(double within, const std::function<bool()>& until) {
    double end = now() + within;
    while (true) {
      if (until()) return true;
      if (now() >= end) return false;
      turn();
      if (beside_) beside_->turn();
    }
  }
  void turn() {
    std::vector<pollfd> polled;
    if (!agent_silent_) polled.push_back({agent_, POLLIN, 0});
    for (auto& [name, endpoint] : endpoints_)
      if (endpoint.listener >= 0 && endpoint.manner != "deaf")
        polled.push_back({endpoint.listener, POLLIN, 0});
    for (auto& [fd, peer] : peers_)
      if (!peer.ended)
        polled.push_back(
            {fd, static_cast<short>((peer.unread ? 0 : POLLIN) | (peer.out.empty() ? 0 : POLLOUT)), 0});
    poll(polled.data(), polled.size(), 2);
    for (auto& one : polled)
      if (one.revents != 0) ready(one.fd, one.revents);
    for (auto& [fd, peer] : peers_)
      if (peer.agent && peer.watching >= 0 && now() >= peer.watch_ends) tell_list(fd);
    while (!later_.empty() && later_.begin()->first <= now()) {
      auto due = later_.begin()->second;
      later_.erase(later_.begin());
      auto peer = peers_.find(due.fd);
      if (peer == peers_.end()) continue;
      peer->second.out += due.bytes;
      write(due.fd, peer->second);
      if (due.close) drop(due.fd);
    }
  }

  void ready(int fd, short events) {
    if (fd == agent_) return accept_one(fd, "", true);
    for (auto& [name, endpoint] : endpoints_)
      if (endpoint.listener == fd) return accept_one(fd, name, false);
    auto found = peers_.find(fd);
    if (found == peers_.end()) return;
    Peer& peer = found->second;
    if (events & POLLOUT) write(fd, peer);
    if (peer.unread || !(events & (POLLIN | POLLHUP | POLLERR))) return;
    char bytes[65536];
    auto count = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
    if (count <= 0) {
      if (peer.client) return void(peer.ended = true);
      ++closed_by_relay_[peer.endpoint];
      return drop(fd);
    }
    peer.in.append(bytes, static_cast<std::size_t>(count));
    if (!peer.client) serve(fd, peer);
  }
  void accept_one(int listener, const std::string& endpoint, bool agent) {
    int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd < 0) return;
    ++connections_[endpoint];
    peers_[fd].endpoint = endpoint, peers_[fd].agent = agent;
    auto here = std::count_if(peers_.begin(), peers_.end(), [&](const auto& other) {
      return !other.second.client && !other.second.crowded && other.second.endpoint == endpoint;
    });
    peers_[fd].crowded = !agent && double(here) > number(endpoints_.at(endpoint).how, "conns", 1e9);
  }
  void write(int fd, Peer& peer) {
    auto count = ::send(fd, peer.out.data(), peer.out.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) peer.out.erase(0, static_cast<std::size_t>(count));
  }
  void drop(int fd, bool reset = false) {
    linger hard{1, 0};
    if (reset) setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::close(fd);
    peers_.erase(fd);
    // Guards against an answer that is written on the next connection, which may get the same descriptor.
    std::erase_if(later_, [&](const auto& due) { return due.second.fd == fd; });
    std::erase_if(held_answers_, [&](const auto& held) { return held.answer.fd == fd; });
  }

  void serve(int fd, Peer& peer) {
    while (true) {
      auto head = peer.in.find("\r\n\r\n");
      if (head == std::string::npos) return;
      auto text = peer.in.substr(0, head + 2);
      auto length = text.find("Content-Length: ");
      std::size_t size = length == std::string::npos ? 0 : std::stoul(text.substr(length + 16));
      if (peer.in.size() < head + 4 + size) return;
      auto body = peer.in.substr(head + 4, size);
      peer.in.erase(0, head + 4 + size);
      if (peer.agent ? !told(fd, peer, text, body) : !called(fd, peer, text, body)) return;
    }
  }

  bool told(int fd, Peer& peer, const std::string& head, const std::string& body) {
    if (agent_silent_) return true;
    if (head.rfind("GET /v1/servers?after=", 0) == 0) asked_after_ = std::stoll(head.substr(22));
    if (peer.deaf) return true;
    bool lists = head.rfind("GET /v1/servers", 0) == 0;
    asked_ += lists, asked_whole_ += lists && head.find('?') > head.find('\r');
    if (lists && agent_busy_) {
      later_.emplace(now(), Later{fd, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false});
      return true;
    }
    if (head.rfind("POST /reports ", 0) == 0) {
      std::istringstream lines(body);
      for (std::string one; std::getline(lines, one);) {
        auto notice = Json::parse(one);
        notices_[notice.at("id").get<std::string>()].push_back(notice);
      }
      later_.emplace(now(), Later{fd, "HTTP/1.1 204 No Content\r\n\r\n", false});
    } else if (head.rfind("GET /v1/servers ", 0) == 0) {
      tell_list(fd);
    } else if (head.rfind("GET /v1/servers?after=", 0) == 0) {
      peer.watching = std::stoll(head.substr(22));
      peer.watch_ends = now() + std::stod(head.substr(head.find("wait_ms=") + 8));
      if (peer.watching < revision_) tell_list(fd);
    } else {
      ADD_FAILURE() << "the agent was asked: " << head;
    }
    return true;
  }
  Json list() const {
    Json list{{"rev", revision_}, {"all", true}, {"targets", Json::array()}};
    for (const auto& [name, endpoint] : endpoints_) list["targets"].push_back(endpoint.entry);
    return list;
  }
  void tell_list(int fd) {
    peers_.at(fd).watching = -1;
    auto spoilt = std::exchange(spoil_next_, "");
    auto body = spoilt_list(spoilt).dump(1);
    if (spoilt == "cut") body.resize(body.size() / 2);
    auto text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    auto sent = spoilt == "head"   ? text.size() - body.size()
                : spoilt == "half" ? text.size() - body.size() / 2
                                   : text.size();
    if (spoilt == "end") sent = 0;
    later_.emplace(now(), Later{fd, text.substr(0, sent), spoilt == "end"});
    held_back_[fd] = text.substr(sent);
    spoilt_ += !spoilt.empty();
  }
  Json spoilt_list(const std::string& how) const {
    Json told = list();
    if (how == "older") told["rev"] = revision_ - 2, told["all"] = false;
    if (how == "older" || how == "empty") told["targets"] = Json::array();
    if (how == "twice") {
      auto after = told["targets"];
      for (auto& target : told["targets"]) target["state"] = "Gone";
      told["all"] = false;
      told["targets"].insert(told["targets"].end(), after.begin(), after.end());
    }
    return told;
  }
  // What is left of answers that stopped midway, on connections that are still open.
  void tell_rest() {
    for (auto& [fd, rest] : std::exchange(held_back_, {}))
      if (peers_.count(fd) && peers_[fd].agent) later_.emplace(now(), Later{fd, rest, false});
  }
  void deafen_agent() {
    for (auto& [fd, peer] : peers_)
      if (peer.agent) peer.deaf = true, peer.watching = -1;
  }
  void hang_up_agent() {
    for (auto peer = peers_.begin(); peer != peers_.end();) {
      auto at = peer++;
      if (at->second.agent) drop(at->first);
    }
  }

  bool called(int fd, Peer& peer, const std::string& head, const std::string& body) {
    Endpoint& endpoint = endpoints_.at(peer.endpoint);
    std::vector<std::string> ids;
    if (head.rfind("POST /v1/messages:batch ", 0) == 0) {
      for (const auto& item : Json::parse(body)) ids.push_back(item.at("id").get<std::string>());
      ++batches_;
    } else {
      auto id = head.find("Request-Id: ") + 12;
      ids.push_back(head.substr(id, head.find('\r', id) - id));
    }
    for (const auto& id : ids) calls_.push_back({id, peer.endpoint, head + body, who_has_heard()});
    const auto& manner = endpoint.manner;
    double after = now() + number(endpoint.how, "after", 0);
    bool used = std::exchange(peer.used, true);
    if (manner == "reset" || (used && manner == "200" && endpoint.how.count("fragile")))
      return drop(fd, true), false;
    if (manner == "silent") return true;
    if (peer.crowded) {
      later_.emplace(now(),
                     Later{fd, "HTTP/1.1 503 Full\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", true});
      return true;
    }
    auto answer =
        endpoint.how.count("raw") ? unescaped(endpoint.how.at("raw")) : "HTTP/1.1 " + manner + " Said\r\n";
    if (!endpoint.how.count("raw")) {
      std::string said;
      if (ids.size() > 1 && manner == "200") {
        auto states = Json::array();
        for (const auto& id : ids)
          states.push_back({{"id", id}, {"state", endpoint.how.count(id) ? endpoint.how.at(id) : "ok"}});
        said = states.dump();
      }
      if (endpoint.how.count("wait")) answer += "Retry-After: " + endpoint.how.at("wait") + "\r\n";
      answer += "Content-Length: " + std::to_string(said.size()) + "\r\n\r\n" + said;
    }
    bool close = endpoint.how.count("close") > 0;
    if (endpoint.how.count("held")) {
      held_answers_.push_back({peer.endpoint, {fd, answer, close}});
      return true;
    }
    if (number(endpoint.how, "piecewise", 0) > 0)
      for (std::size_t i = 0; i < answer.size(); ++i)
        later_.emplace(after + 2 * double(i),
                       Later{fd, answer.substr(i, 1), close && i + 1 == answer.size()});
    else later_.emplace(after, Later{fd, answer, close});
    return true;
  }

  // The clients to which an answer has come, read or not, that their scenario has not looked at yet.
  std::string who_has_heard() const {
    std::string names = " ";
    for (const auto& [name, fd] : clients_) {
      int unread = 0;
      if (ioctl(fd, FIONREAD, &unread) != 0) continue;
      if (unread > 0 || !peers_.at(fd).in.empty()) names += name + " ";
    }
    return names;
  }

  // The answers that an endpoint has held go out, or the connections on which they are awaited are reset.
  void release(const std::string& endpoint, bool reset) {
    for (const auto& held : std::vector<HeldAnswer>(held_answers_)) {
      if (held.endpoint != endpoint) continue;
      if (reset) drop(held.answer.fd, true);
      else later_.emplace(now(), held.answer);
    }
    std::erase_if(held_answers_, [&](const auto& held) { return held.endpoint == endpoint; });
  }

  // Connections of nobody, until no further one comes up.
  void fill_queue(const Endpoint& endpoint) {
    listen(endpoint.listener, 0);
    for (int i = 0; i < 2; ++i) {
      int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      auto to = loopback(endpoint.port());
      connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
      peers_[fd].client = true;
    }
  }

  int client(const std::string& name, int window = 0) { return connected(name, relay_port_.port(), window); }
  int connected(const std::string& name, int port, int window = 0) {
    if (auto found = clients_.find(name); found != clients_.end()) return found->second;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (window > 0) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    auto to = loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
      ::close(fd);
      return -1;
    }
    fcntl(fd, F_SETFL, O_NONBLOCK);
    peers_[fd].client = true;
    return clients_[name] = fd;
  }
  void say(const std::string& name, const std::string& bytes) {
    int fd = client(name);
    ASSERT_GE(fd, 0) << "the relay takes no connection";
    peers_[fd].out += bytes;
    write(fd, peers_[fd]);
  }
  static std::string command(const std::vector<std::string>& words) {
    std::ostringstream out;
    out << '*' << words.size() << "\r\n";
    for (const auto& word : words) out << '$' << word.size() << "\r\n" << word << "\r\n";
    return out.str();
  }

  std::string write_config(const Words& words) {
    if (text_or(words, "known", "") != "old") known_ = list();
    if (text_or(words, "known", "") == "none")
      known_ = {{"rev", -1}, {"all", true}, {"targets", Json::array()}};
    Json config{
        {"name", "r1"},
        {"listen", at(relay_port_.port())},
        {"discovery", at(port_of(agent_))},
        {"seed", "7"},
        {"limits", {{"sockets", number(words, "sockets", 200)}, {"disk_mb", number(words, "disk", 1)}}},
        {"known", known_},
        {"settings", settings_}};
    if (words.count("admin")) config["admin"] = at(admin_port_.port());
    auto path = folder_ + "/config.json";
    std::ofstream(path) << (words.count("config") ? unescaped(words.at("config")) : config.dump());
    return path;
  }
  // One more process beside the one that runs, as an upgrade begins; the one before gets its SIGTERM on the
  // yes.
  void replace(const Words& words) {
    old_ = std::exchange(pid_, -1);
    admin_port_ = ReservedPort();
    Words again = words;
    again["passed"] = again["admin"] = again["run"] = "serve";
    start(again);
    auto begun = now();
    while (now() < begun + number(words, "within", 6000)) {
      auto name = "health" + std::to_string(healths_++);
      if (connected(name, admin_port_.port()) >= 0) {
        if (words.count("begun")) return;  // it has read its configuration and asks the one before
        say(name, "HEALTH\n");
        pump(500, [&] { return peers_[clients_[name]].ended; });
        if (peers_[clients_[name]].in == "done\n") {
          if (!words.count("keep_old")) ::kill(old_, SIGTERM);
          return;
        }
      }
      pump(20, [] { return false; });
    }
    ADD_FAILURE() << "no yes in time: " << log();
  }
  // A process before the next one that gives what cannot be read: it has the store's file and goes on.
  void elder() {
    pid_ = fork();
    if (pid_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    Store store(folder_ + "/state", 1000000);
    auto passed = store.handover_state();
    EventLoop loop;
    HandoverServer successor(loop, folder_ + "/state");
    successor.make_payload = [&](const std::string&) {
      HandoverPayload baggage;
      baggage.descriptors = {passed.descriptor};
      Json all{{"form", 1}, {"version", 1}, {"decision", "no state"}};
      all["store"] = {passed.path,       passed.snapshot,      0, passed.last_doc_number,
                      passed.file_bytes, passed.rewrite_needed};
      Json::to_cbor(all, baggage.state);
      return baggage;
    };
    loop.run();
    _exit(0);
  }
  // Someone who asks for all as a successor does, and takes it or not.
  void pose(const Words& words) {
    if (words.count("gone")) {
      for (int fd : std::exchange(posing_, {})) ::close(fd);
      return;
    }
    HandoverClient predecessor(folder_ + "/state");
    auto numbering = words.count("numbering")
                         ? words.at("numbering")
                         : std::to_string(fnv1a_hash(Json{settings_["skus"], settings_["zones"]}.dump()));
    auto got = predecessor.request(numbering);
    EXPECT_EQ(got.has_value(), !words.count("numbering"));
    if (words.count("silent")) pump(1000, [] { return false; });
    if (got) posing_ = got->descriptors;
    if (words.count("kills")) ::kill(pid_, SIGKILL), waitpid(std::exchange(pid_, -1), &status_, 0);
    if (!words.count("keep")) pose({{"gone", "1"}});
  }
  void start(const Words& words) {
    auto state = folder_ + "/state", path = write_config(words);
    std::filesystem::create_directories(state);
    auto files = static_cast<rlim_t>(number(words, "files", 0));
    auto largest = static_cast<rlim_t>(number(words, "file_bytes", 0));
    bool passed = words.count("passed") > 0;
    if (passed && passed_ < 0) passed_ = listen_on(relay_port_.port());
    end_process(SIGKILL);
    halts_ = 0;
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // no relay outlives the tests
      setenv("BALANCER_CONFIG", path.c_str(), 1), setenv("BALANCER_STATE", state.c_str(), 1);
      int log = open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT | (old_ > 0 ? O_APPEND : O_TRUNC), 0600);
      dup2(log, 1), dup2(log, 2);
      if (passed) dup2(passed_, 3), setenv("BALANCER_PASSED_SOCKET", "3", 1);
      load_halt(words);
      close_range(passed ? 4 : 3, ~0u, 0);  // whatever this runner was started with: descriptors are counted
      rlimit limit{files, files}, size{largest, largest};
      if (files > 0) setrlimit(RLIMIT_NOFILE, &limit);
      if (largest > 0) setrlimit(RLIMIT_FSIZE, &size);
      execl(PROGRAM, PROGRAM, words.count("run") ? words.at("run").c_str() : "serve", nullptr);
      _exit(127);
    }
    if (old_ < 0) clients_.clear();
    if (words.count("config") || words.count("run")) return;
    auto halted = [&] { return (halts_ += has_halted()) > 0; };
    bool up = pump(5000, [&] { return halted() || client("first") >= 0; });
    if (halts_ > 0) return;
    ASSERT_TRUE(up) << "the relay does not listen: " << log();
    say("first", "*1\r\n$4\r\nPING\r\n");
    EXPECT_TRUE(pump(5000, [&] { return halted() || peers_[clients_["first"]].in == "+PONG\r\n"; })) << log();
    peers_[clients_["first"]].in.clear();
  }
  // Called in the relay's process before it runs: crossings/halt.cpp says what this does there.
  static void load_halt(const Words& words) {
    if (!words.count("halt") && !words.count("wall_ahead") && !words.count("fail")) return;
    auto points = unescaped(text_or(words, "halt", ""));
    std::replace(points.begin(), points.end(), ';', '\n');
    auto failures = text_or(words, "fail", "");
    std::replace(failures.begin(), failures.end(), ';', '\n');
    setenv("LD_PRELOAD", HALT_LIBRARY, 1);
    setenv("ROCKCRANK_FAIL", failures.c_str(), 1);
    setenv("ROCKCRANK_HALT", points.c_str(), 1);
    setenv("ROCKCRANK_WALL_AHEAD_MS", text_or(words, "wall_ahead", "0").c_str(), 1);
  }
  // Whether the process has stopped itself since this was last asked.
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
  bool has_ended() {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = -1;
    return pid_ < 0;
  }
  void end_process(int signal) {
    if (has_ended()) return;
    ::kill(pid_, signal);
    if (signal != SIGKILL) return;
    waitpid(pid_, &status_, 0);
    pid_ = -1;
  }

  // The store's records as version 0.2.0 wrote them: a document's without its type and allowance.
  void age() {
    auto path = folder_ + "/state/held";
    std::ifstream in(path, std::ios::binary);
    std::string old((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>()), aged;
    constexpr std::size_t head = 8, added = 39, end = 9;
    for (std::size_t at = 0; at < old.size();) {
      std::uint32_t size = 0;
      std::memcpy(&size, old.data() + at, sizeof size);
      auto inner = old.substr(at + head, size);
      at += head + size;
      if (inner[0] == 'D') inner.erase(inner.size() - end - added, added), inner[0] = 'T';
      std::uint32_t parts[2] = {static_cast<std::uint32_t>(inner.size()),
                                static_cast<std::uint32_t>(fnv1a_hash(inner) >> 7)};
      aged.append(reinterpret_cast<const char*>(parts), sizeof parts).append(inner);
    }
    std::ofstream(path, std::ios::binary) << aged;
  }

  void obey(const std::vector<std::string>& plain, const Words& words, const std::string& text) {
    const auto& verb = plain[0];
    auto rest_of = [&](std::size_t skipped) {
      std::size_t from = 0;
      for (std::size_t i = 0; i < skipped; ++i) from = text.find(' ', text.find_first_not_of(' ', from));
      return unescaped(text.substr(from + 1));
    };
    if (verb == "set") {
      auto pointer = Json::json_pointer("/" + plain.at(1));
      settings_[pointer] = Json::parse(plain.at(2));
    } else if (verb == "endpoint") {
      Endpoint& endpoint = endpoints_[plain.at(1)];
      bool shared = words.count("shared") > 0;  // the other relay's stand-in answers there
      if (shared) endpoint.address = beside_->endpoints_.at(plain[1]).address;
      bool down = plain.size() > 2 && plain[2] == "down";
      if (!endpoint.address) {
        endpoint.address = std::make_shared<ReservedPort>();
        endpoint.listener = listen_on(endpoint.port());
      }
      if (down && endpoint.listener >= 0) {
        ::close(std::exchange(endpoint.listener, -1));
        for (auto peer = peers_.begin(); peer != peers_.end();) {
          auto at = peer++;
          if (at->second.endpoint == plain[1] && !at->second.client) drop(at->first, true);
        }
      }
      if (!down && !shared && endpoint.listener < 0) endpoint.listener = listen_on(endpoint.port());
      if (plain.size() > 2) endpoint.manner = plain[2];
      if (endpoint.manner == "deaf") fill_queue(endpoint);
      else if (endpoint.listener >= 0) listen(endpoint.listener, 64);  // its queue is no longer kept short
      endpoint.how = words;
      if (endpoint.entry.is_null() || words.count("state")) {
        endpoint.entry = {{"uid", plain[1]},
                          {"endpoint", at(endpoint.port())},
                          {"az", "h0"},
                          {"model", text_or(words, "kind", "m0")},
                          {"pod_group", int(number(words, "for", 1))},
                          {"state", text_or(words, "state", "Ready")},
                          {"capacity_hint", 1.0},
                          {"boot_ms", 0}};
        ++revision_;
        for (auto& [fd, peer] : peers_)
          if (peer.agent && peer.watching >= 0 && peer.watching < revision_) tell_list(fd);
      }
    } else if (verb == "agent" && plain.at(1) == "moves") {
      ::close(agent_);
      agent_ = listen_on(0);
      if (words.count("keep")) deafen_agent();
      else hang_up_agent();
    } else if (verb == "agent" && plain.at(1) == "deafens") {
      deafen_agent();
    } else if (verb == "agent" && plain.at(1) == "hangs_up") {
      hang_up_agent();
    } else if (verb == "agent" && plain.at(1) == "tells") {
      spoil_next_ = plain.at(2);
    } else if (verb == "agent" && plain.at(1) == "goes_on") {
      tell_rest();
    } else if (verb == "agent" && plain.at(1) == "forgets") {
      for (auto& [fd, peer] : peers_) peer.watching = -1;
    } else if (verb == "agent") {
      agent_silent_ = plain.at(1) == "silent", agent_busy_ = plain.at(1) == "busy";
    } else if (verb == "release") {
      release(plain.at(1), words.count("reset") > 0);
    } else if (verb == "reload") {
      write_config(words);
      if (words.count("old")) ::kill(old_, SIGHUP);
      else end_process(SIGHUP);
    } else if (verb == "start") {
      start(words);
    } else if (verb == "kill" || verb == "term") {
      end_process(verb == "kill" ? SIGKILL : SIGTERM);
    } else if (verb == "tear") {
      auto path = folder_ + "/state/held";
      auto size = std::filesystem::file_size(path);
      auto bytes = std::stoul(plain.at(1));
      std::filesystem::resize_file(path, size - bytes);
      if (words.count("smear"))
        std::ofstream(path, std::ios::app | std::ios::binary) << std::string(bytes, '#');
    } else if (verb == "age") {
      age();
    } else if (verb == "wait") {
      pump(std::stod(plain.at(1)), [] { return false; });
    } else if (verb == "say") {
      say(plain.at(1), rest_of(2));
    } else if (verb == "open") {
      for (int i = 0; i < int(number(words, "times", 1)); ++i) client(plain.at(1) + std::to_string(i));
    } else if (verb == "replace") {
      if (old_ > 0) ::kill(old_, SIGKILL), waitpid(old_, nullptr, 0), old_ = -1;
      replace(words);
    } else if (verb == "pose") {
      pose(words);
    } else if (verb == "elder") {
      elder();
    } else if (verb == "stall") {
      int stopped = 0;
      ::kill(pid_, SIGSTOP), waitpid(pid_, &stopped, WUNTRACED);
    } else if (verb == "resume") {
      ::kill(pid_, SIGCONT);
    } else if (verb == "unread") {
      peers_[client(plain.at(1), small_window)].unread = true;
    } else if (verb == "old") {
      bool gone = plain.at(1) == "ends";
      if (plain.at(1) == "resumes") return void(::kill(old_, SIGCONT));
      if (!gone) ::kill(old_, SIGKILL);
      EXPECT_TRUE(pump(number(words, "within", 1000), [&] {
        return waitpid(old_, &status_, WNOHANG) == old_;
      })) << log();
      EXPECT_TRUE(!gone || (WIFEXITED(status_) && WEXITSTATUS(status_) == 0)) << log();
      old_ = -1;
    } else if (verb == "dial") {
      EXPECT_GE(connected(plain.at(1), admin_port_.port()), 0) << "nobody listens at the second address";
    } else if (verb == "program") {
      std::vector<const char*> arguments{PROGRAM};
      for (std::size_t i = 1; i < plain.size(); ++i) arguments.push_back(plain[i].c_str());
      arguments.push_back(nullptr);
      auto pid = fork();
      if (pid == 0) {
        setenv("BALANCER_ADMIN", at(admin_port_.port()).c_str(), 1);
        execv(PROGRAM, const_cast<char* const*>(arguments.data()));
        _exit(127);
      }
      int status = 0;
      EXPECT_TRUE(pump(4000, [&] { return waitpid(pid, &status, WNOHANG) == pid; }));
      EXPECT_EQ(WEXITSTATUS(status), int(number(words, "code", 0)));
    } else if (verb == "ping") {
      auto count = static_cast<std::size_t>(number(words, "times", 1));
      auto one = command({"PING"});
      std::string all;
      for (std::size_t i = 0; i < count; ++i) all += one;
      say(plain.at(1), all);
    } else if (verb == "half") {
      shutdown(client(plain.at(1)), SHUT_WR);
    } else if (verb == "hand") {
      auto document = [&](const std::string& id) {
        auto list = "c=" + text_or(words, "type", "plain") + ",d=" + text_or(words, "left", "20000") +
                    ",dest=" + text_or(words, "for", "1");
        for (const char* name : {"k", "t"})
          if (words.count(name)) list += std::string(",") + name + "=" + words.at(name);
        auto body = text_or(words, "body", "hello") +
                    std::string(static_cast<std::size_t>(number(words, "fill", 0)), 'x');
        return command({"ENQUEUE", text_or(words, "key", "0000000000000000"), id, list, body});
      };
      for (int i = 0; i < int(number(words, "clients", 0)); ++i)
        say(plain.at(1) + std::to_string(i), document(plain.at(1) + std::to_string(i)));
      if (words.count("clients")) return;
      if (words.count("first") || words.count("last")) {
        auto whole = document(plain.at(2)), part = whole.substr(0, whole.size() / 2);
        auto said = words.count("first") ? part : whole.substr(part.size());
        if (words.count("then")) {
          auto next = document(words.at("then"));
          said += next.substr(0, next.size() / 2);
        }
        return say(plain.at(1), said);
      }
      auto count = int(number(words, "times", 1));
      std::string out;
      for (int i = 0; i < count; ++i)
        out += document(count > 1 ? plain.at(2) + std::to_string(i) : plain.at(2));
      say(plain.at(1), out);
    } else if (verb == "hear") {
      auto wanted = rest_of(2);
      int fd = client(plain.at(1));
      constexpr int large_window = 1 << 20;
      if (std::exchange(peers_[fd].unread, false))
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &large_window, sizeof large_window);
      if (wanted == "BUSY") {
        auto& in = peers_[fd].in;
        EXPECT_TRUE(pump(1500, [&] { return in.find('\n') != std::string::npos; }));
        EXPECT_TRUE(in.rfind("-BUSY ", 0) == 0 && std::atoi(in.c_str() + 6) > 0) << "heard instead: " << in;
        in.erase(0, in.find('\n') + 1);
        return;
      }
      bool heard = pump(
          1500, [&] { return wanted == "END" ? peers_[fd].ended : peers_[fd].in.rfind(wanted, 0) == 0; });
      EXPECT_TRUE(heard) << "heard instead: " << peers_[fd].in << "; log: " << log();
      if (heard && wanted != "END") peers_[fd].in.erase(0, wanted.size());
    } else if (verb == "expect") {
      expect(plain, words);
    } else {
      FAIL() << "unknown line";
    }
  }

  void expect(const std::vector<std::string>& plain, const Words& words) {
    const auto& what = plain.at(1);
    double within = number(words, "within", 1500);
    auto least = static_cast<std::size_t>(number(words, "least", words.count("most") ? 0 : 1));
    auto most = static_cast<std::size_t>(number(words, "most", 1e9));
    std::function<std::size_t()> count;
    if (what == "calls")
      count = [&] {
        std::size_t found = 0;
        for (const auto& call : calls_) {
          if (words.count("before") && call[0] == words.at("before")) break;
          found += (plain.size() < 3 || call[0] == plain[2]) &&
                   (!words.count("heard") || contains(call[3], " " + words.at("heard") + " ")) &&
                   (!words.count("at") || call[1] == words.at("at")) &&
                   (!words.count("says") || call[2].find(unescaped(words.at("says"))) != std::string::npos);
        }
        return found;
      };
    else if (what == "descriptors")
      count = [&] {
        std::filesystem::directory_iterator open("/proc/" + std::to_string(pid_) + "/fd"), end;
        return static_cast<std::size_t>(std::distance(open, end));
      };
    else if (what == "asked") count = [&] { return plain.size() > 2 ? asked_whole_ : asked_; };
    else if (what == "told") count = [&] { return std::size_t(asked_after_ >= revision_); };
    else if (what == "spoilt") count = [&] { return spoilt_; };
    else if (what == "batches") count = [&] { return batches_; };
    else if (what == "connections") count = [&] { return connections_[plain.at(2)]; };
    else if (what == "closed") count = [&] { return closed_by_relay_[plain.at(2)]; };
    else if (what == "notices")
      count = [&] {
        std::size_t found = 0;
        for (const auto& [id, told] : notices_)
          for (const auto& one : told)
            found += (plain.size() < 3 || id == plain[2]) &&
                     (!words.count("status") || one.at("status") == words.at("status"));
        return found;
      };
    else if (what == "heard") count = [&] { return peers_[client(plain.at(2))].in.size(); };
    else if (what == "reset")
      count = [&] {
        pollfd one{client(plain.at(2)), 0, 0};
        return std::size_t(poll(&one, 1, 0) > 0 && (one.revents & POLLERR) != 0);
      };
    else if (what == "refused") count = [&] { return std::size_t(refuses_connections()); };
    else if (what == "halted") count = [&] { return halts_ += has_halted(); };
    else if (what == "log")
      count = [&] { return std::size_t(log().find(unescaped(words.at("says"))) != std::string::npos); };
    else if (what == "exit") {
      EXPECT_TRUE(pump(within, [&] { return has_ended(); })) << log();
      EXPECT_TRUE(WIFEXITED(status_) && WEXITSTATUS(status_) == int(number(words, "code", 0)))
          << "status " << status_ << ": " << log();
      return;
    } else if (what == "running") {
      EXPECT_FALSE(has_ended()) << log();
      return;
    } else if (what == "disk") {
      std::size_t bytes = 0;
      for (const auto& entry : std::filesystem::directory_iterator(folder_ + "/state"))
        if (entry.is_regular_file()) bytes += (std::filesystem::file_size(entry.path()) + 511) / 512 * 512;
      EXPECT_LE(double(bytes), number(words, "most", 0));
      return;
    } else {
      FAIL() << "unknown expectation";
    }
    // What must not come is given the whole time to come; what must come, ends the wait.
    if (words.count("most")) pump(words.count("within") ? within : 0, [&] { return count() > most; });
    else pump(within, [&] { return count() >= least; });
    EXPECT_GE(count(), least) << log();
    EXPECT_LE(count(), most) << log();
  }

  std::string folder_;
  int agent_ = -1, status_ = 0;
  ReservedPort relay_port_, admin_port_;
  pid_t pid_ = -1, old_ = -1;
  int passed_ = -1, healths_ = 0;
  std::size_t halts_ = 0;  // of the present process
  std::vector<int> posing_;
  Json settings_;
  std::int64_t revision_ = 1;
  Json known_;  // the list, as written into the last configuration
  bool agent_silent_ = false, agent_busy_ = false;
  std::string spoil_next_;                // how the next list is spoilt
  std::map<int, std::string> held_back_;  // the rest of an answer, by connection
  std::int64_t asked_after_ = -1;         // the version that the relay last said it has
  std::size_t spoilt_ = 0;
  StandIn* beside_ = nullptr;
  std::unique_ptr<StandIn> also_;
  std::size_t asked_ = 0, asked_whole_ = 0;
  std::size_t batches_ = 0;
  std::map<std::string, Endpoint> endpoints_;
  std::map<int, Peer> peers_;
  std::map<std::string, int> clients_;
  std::multimap<double, Later> later_;
  std::vector<HeldAnswer> held_answers_;
  std::map<std::string, std::size_t> closed_by_relay_;  // connections of endpoints
  std::vector<std::vector<std::string>> calls_;         // id, endpoint, the whole text, who had heard
  std::map<std::string, std::size_t> connections_;
  std::map<std::string, std::vector<Json>> notices_;
};

}  // namespace rockcrank
