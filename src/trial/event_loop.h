// Owns the trial's own sockets and timers: one poll(2), one thread. It must never know what the bytes mean,
// and shares nothing with the program under trial.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace rockcrank::trial {

using Millis = double;

struct Address {
  std::string host;
  int port = 0;
  std::string text() const { return host + ":" + std::to_string(port); }
};

// One socket. Callbacks may close any socket, this one included; it lives to the end of the round.
struct Socket {
  std::uint64_t id = 0;
  int fd = -1;
  bool listening = false, connecting = false, paused = false;
  bool closes_when_sent = false;
  Millis first_byte_at = -1;  // when the first byte in `in` came
  std::string in, out;
  std::function<void(Socket& accepted)> on_accepted;
  std::function<void()> on_connected, on_data, on_closed;
};

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  Millis now() const { return now_; }  // monotonic, from this object's beginning; as of this round
  Socket* find(std::uint64_t id);
  Socket* listen(const Address& address);   // throws std::runtime_error
  Socket* connect(const Address& address);  // on_end is told later where that fails
  void send(Socket& sock, std::string_view bytes);
  void close(Socket& sock, bool reset = false);
  void schedule(Millis when, std::function<void()> callback);
  void run_once(Millis longest_wait);

 private:
  Socket& add(int fd);
  void handle_events(Socket& sock, short events);
  void read(Socket& sock);
  void write(Socket& sock);
  void handle_closed(Socket& sock);
  void update_clock();

  Millis started_at_ = 0, now_ = 0;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Socket>> sockets_;
  std::vector<std::unique_ptr<Socket>> closed_;
  std::multimap<Millis, std::function<void()>> timers_;
};

}  // namespace rockcrank::trial
