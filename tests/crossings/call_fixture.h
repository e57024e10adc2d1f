// Fixture for tests of calls to endpoints: a scripted endpoint on loopback and the relay's own connections to
// it.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "relay/endpoints.h"
#include "relay/loop.h"

namespace rockcrank {

constexpr EndpointId endpoint{1};
constexpr Millis poll_interval = 1;    // for what the other side has done
constexpr Millis wait_timeout = 3000;  // a condition that doesn't hold by then fails the test
constexpr int small_buffer = 4096;     // bytes that an endpoint receives without reading

// An endpoint that acts only when its test calls a method.
class ScriptedEndpoint {
 public:
  explicit ScriptedEndpoint(int receive_buffer = 0) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (receive_buffer > 0)
      setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    EXPECT_EQ(listen(listener_, 16), 0);
    socklen_t size = sizeof at;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
    address = {"127.0.0.1", ntohs(at.sin_port)};
  }
  ~ScriptedEndpoint() {
    for (int fd : connections_)
      if (fd >= 0) close(fd);
    if (listener_ >= 0) close(listener_);
  }
  ScriptedEndpoint(const ScriptedEndpoint&) = delete;
  ScriptedEndpoint& operator=(const ScriptedEndpoint&) = delete;

  void stop_listening() { close(std::exchange(listener_, -1)); }

  std::size_t connections() {
    for (int fd = -1; (fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
      connections_.push_back(fd);
      read_.emplace_back();
    }
    return connections_.size();
  }
  // All that has been written on a connection. Connections are numbered from 0 in the order in which they
  // were accepted.
  const std::string& request(std::size_t number) {
    if (number >= connections()) return no_request_;
    char chunk[65536];
    ssize_t count = 0;
    while ((count = recv(connections_[number], chunk, sizeof chunk, MSG_DONTWAIT)) > 0)
      read_[number].append(chunk, static_cast<std::size_t>(count));
    return read_[number];
  }
  // Whether so many complete requests have arrived on a connection.
  bool has_request(std::size_t number, std::size_t count = 1) {
    const std::string& text = request(number);
    std::size_t at = 0;
    for (std::size_t found = 0; found < count; ++found) {
      const auto head = text.find("\r\n\r\n", at), length = text.find(length_header_, at);
      if (head == std::string::npos) return false;
      at = head + 4 + std::stoul(text.substr(length + length_header_.size()));
    }
    return text.size() >= at;
  }
  bool has_unread_bytes(std::size_t number) {
    int waiting = 0;
    return number < connections() && ioctl(connections_[number], FIONREAD, &waiting) == 0 && waiting > 0;
  }
  bool is_ended(std::size_t number) {
    char byte = 0;
    auto count = recv(connections_.at(number), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN);
  }
  void answer(std::size_t number, const std::string& bytes) {
    EXPECT_EQ(send(connections_.at(number), bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  void finish(std::size_t number) { shutdown(connections_.at(number), SHUT_WR); }
  void reset(std::size_t number) {
    linger reset_on_close{1, 0};
    setsockopt(connections_.at(number), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    close(std::exchange(connections_.at(number), -1));
  }

  Address address;

 private:
  int listener_ = -1;
  std::vector<int> connections_;
  std::vector<std::string> read_;
  const std::string no_request_;
  const std::string length_header_ = "Content-Length: ";
};

inline const std::string answered = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

class Calls : public testing::Test {
 protected:
  explicit Calls(int receive_buffer = 0) : server_(receive_buffer), endpoints_(loop_, {1500, 10000, 50}) {
    endpoints_.set_address(endpoint, server_.address);
    endpoints_.max_idle_time = 1e9;
    endpoints_.on_outcome = [this](const Outcome& outcome) { outcomes_.push_back(outcome); };
    endpoints_.on_connecting = [](DocId, int) {};
    endpoints_.before_write = [](EndpointId, const std::vector<Endpoints::InFlightTransmission>&) {
      return true;
    };
    endpoints_.may_write = [this](DocId, int) { return ++may_write_calls_, may_write_; };
    endpoints_.is_finished = [this](DocId doc) { return finished_.count(doc) > 0; };
  }

  // Documents by their numbers, with their timeouts; all go in one call. Returns the time at which it times
  // out.
  Millis call(const std::vector<std::pair<int, Millis>>& documents, const std::string& body = "hello") {
    std::vector<OutboundTransmission> transmissions;
    for (auto [number, timeout] : documents)
      transmissions.push_back(
          {DocId(number), 0, loop_.now() + timeout, ids_.at(static_cast<std::size_t>(number)), "", body});
    endpoints_.call(endpoint, transmissions);
    return std::ranges::min(transmissions, {}, &OutboundTransmission::deadline).deadline;
  }

  // Runs the loop until the condition holds.
  void run_until(const std::function<bool()>& condition) {
    const Millis end = EventLoop::monotonic_time() + wait_timeout;
    bool met = false;
    std::unique_ptr<Timer> poll_timer;
    poll_timer = std::make_unique<Timer>(loop_, [&] {
      met = condition();
      if (met || EventLoop::monotonic_time() > end) return loop_.stop();
      poll_timer->set(loop_.now() + poll_interval);
    });
    poll_timer->set(loop_.now());
    loop_.run();
    EXPECT_TRUE(met) << "the awaited condition did not hold in time";
  }

  // Runs the action in the round in which the timers of this moment are due, after that round's poll() and
  // before those timers. The loop is kept busy until the moment has passed, so that the action and the timers
  // are due in one round.
  void run_past(Millis moment, const std::function<void()>& action) {
    Timer busy(loop_, [&] {
      while (EventLoop::monotonic_time() < moment + 5) {}
    });
    Timer action_timer(loop_, action);
    Timer end(loop_, [&] { loop_.stop(); });
    busy.set(moment - 5);
    action_timer.set(moment - 1);
    end.set(moment + 1);
    loop_.run();
  }

  void wait_for_request(std::size_t connection) {
    run_until([&] { return server_.has_request(connection); });
  }
  // Leaves one connection idle after a call.
  void leave_one_idle() {
    call({{1, 1000}});
    wait_for_request(0);
    server_.answer(0, answered);
    run_until([&] { return outcomes_.size() == 1 && endpoints_.no_calls_in_flight(); });
    outcomes_.clear();
  }
  std::vector<TransmissionResult> results() const {
    std::vector<TransmissionResult> all;
    for (const auto& outcome : outcomes_) all.push_back(outcome.result);
    return all;
  }

  const std::vector<std::string> ids_{"id0", "id1", "id2", "id3"};
  EventLoop loop_;
  ScriptedEndpoint server_;
  Endpoints endpoints_;
  SendPermission may_write_ = SendPermission::now;
  int may_write_calls_ = 0;  // how often may_write was called
  std::set<DocId> finished_;
  std::vector<Outcome> outcomes_;
};

using Results = std::vector<TransmissionResult>;

inline std::string answer_of(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace rockcrank
