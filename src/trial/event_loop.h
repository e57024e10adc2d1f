// A single-threaded poll(2) event loop for the trial's sockets and timers. It does not interpret the bytes
// and shares no code with the relay.
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

// A socket with its buffers and callbacks. A callback may close any socket, also its own; a closed socket
// stays allocated until the current iteration ends.
struct Socket {
  std::uint64_t id = 0;
  int fd = -1;
  bool listening = false, connecting = false, paused = false;
  bool closes_when_sent = false;
  Millis first_byte_at = -1;  // when the first byte in `in` arrived
  Millis quiet_until = 0;     // the socket surely held no unread byte at this time
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

  Millis now() const { return now_; }  // monotonic time since construction, as of this iteration
  void update_clock();
  Socket* find(std::uint64_t id);
  Socket* listen(const Address& address);   // throws std::runtime_error
  Socket* connect(const Address& address);  // a failure is reported later through on_closed
  void send(Socket& sock, std::string_view bytes);
  void close(Socket& sock, bool reset = false);
  void finish_sending(Socket& sock);  // half-closes it; it is still read
  void schedule(Millis when, std::function<void()> callback);
  void run_once(Millis max_wait);

 private:
  Socket& add(int fd);
  void handle_events(Socket& sock, short events);
  void read(Socket& sock);
  void write(Socket& sock);
  void handle_closed(Socket& sock);

  Millis started_at_ = 0, now_ = 0;
  Millis polled_from_ = 0, polled_before_ = 0;  // when this iteration and the one before began to poll
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Socket>> sockets_;
  std::vector<std::unique_ptr<Socket>> closed_;
  std::multimap<Millis, std::function<void()>> timers_;
};

}  // namespace rockcrank::trial
