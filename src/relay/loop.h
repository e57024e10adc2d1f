// A single-threaded event loop on poll(2) with timers, and the TCP streams, listeners and signals that run on
// it. It knows no protocols and never blocks. run() must not be called from a callback.
#pragma once

#include <poll.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "decision/decision.h"

namespace rockcrank {

// Receives the poll(2) events of a descriptor.
class EventHandler {
 public:
  virtual ~EventHandler() = default;
  virtual void ready(short events) = 0;
};

class EventLoop {
 public:
  EventLoop();
  // Monotonic. Read anew at each call: an iteration may last long, and the process may be stopped in it.
  static Millis now() { return monotonic_time(); }
  static Millis wall_time() { return to_wall_time(monotonic_time()); }
  static Millis to_wall_time(Millis monotonic);  // Unix time, by the system clock as read at process start
  static Millis monotonic_time();
  // All that had arrived at this time has been handed to the handlers.
  Millis inputs_read_at() const { return inputs_read_at_; }
  std::function<void(Millis late)> on_timer;  // by how much the earliest due timer is late
  void run();
  void stop() { running_ = false; }

  void add(int fd, short events, EventHandler* handler);
  void change(int fd, short events);
  void remove(int fd);
  // Deletes an object at the end of the iteration, so that it may be dropped inside its own callback.
  template <typename Thing>
  void defer_delete(std::unique_ptr<Thing> thing) {
    deferred_deletes_.push_back(std::shared_ptr<void>(std::move(thing)));
  }

 private:
  friend class Timer;
  using TimerKey = std::pair<Millis, std::uint64_t>;  // due time, timer id
  void run_due_timers();

  std::vector<pollfd> pollfds_;
  std::vector<EventHandler*> handlers_;
  std::map<int, std::size_t> index_by_fd_;
  std::map<TimerKey, class Timer*> timers_;
  std::vector<std::shared_ptr<void>> deferred_deletes_;
  std::uint64_t last_timer_id_ = 0;
  Millis inputs_read_at_ = -1e18;
  bool running_ = true;
};

// A one-shot timer. Setting it again replaces the earlier time.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> callback) : loop_(loop), callback_(std::move(callback)) {}
  ~Timer() { clear(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  void set(Millis when);
  void clear();

 private:
  friend class EventLoop;
  EventLoop& loop_;
  std::function<void()> callback_;
  EventLoop::TimerKey key_{};
};

struct Address {
  std::string host;
  int port = 0;
  bool operator==(const Address&) const = default;
};
Address parse_address(std::string_view text);  // host:port; throws std::runtime_error

// A non-blocking TCP connection. Its owner deletes it, which closes it; inside a callback of the stream this
// must go through EventLoop::defer_delete().
class Stream : public EventHandler {
 public:
  enum class State { connecting, connected, closed };
  static constexpr std::size_t default_max_read = 65536;  // bytes

  // A connection handed over between processes, with both of its buffers.
  struct Snapshot {
    int fd = -1;
    bool connecting = false;
    std::string unconsumed, unsent;
  };

  Stream(EventLoop& loop, int connected_fd);
  Stream(EventLoop& loop, Snapshot snapshot);
  Stream(EventLoop& loop, const Address& to);  // closed from the start if connect() fails at once
  ~Stream() override;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  std::function<void()> on_connected;
  std::function<void()> on_data;   // more bytes were received
  std::function<void()> on_drain;  // bytes that could not be written at once have been written
  std::function<void()> on_close;  // the connection failed or was closed by the peer; called once
  // Asked right before each write to the socket; false: the bytes wait until the socket is ready again.
  std::function<bool()> may_write_now;
  // Asked before bytes that could not be written at once are written after all; false: the owner has closed
  // this connection.
  std::function<bool()> may_write_rest;
  // The peer has shut down its sending side and can still receive. If not set, this closes the connection.
  std::function<void()> on_half_close;

  State state() const { return state_; }
  Snapshot snapshot() const { return {fd_, state_ == State::connecting, std::string(received()), output_}; }
  // The connection could not be opened for lack of local descriptors, ports or memory.
  bool out_of_resources() const { return out_of_resources_; }
  std::string_view received() const { return std::string_view(input_).substr(consumed_); }
  bool has_no_pending_input() const;  // connected, and the socket holds neither unread bytes nor an EOF
  void read_now();                    // reads what has arrived without waiting for poll
  void consume(std::size_t count);
  void send(std::string_view bytes);
  std::size_t unsent_bytes() const { return output_.size(); }
  // Memory held for bytes that were received, and for bytes that are not written yet.
  std::size_t input_capacity() const { return input_.capacity(); }
  std::size_t output_capacity() const { return output_.capacity(); }
  // The most bytes that are read for one event of the socket.
  void set_max_read(std::size_t bytes) { max_read_ = bytes; }
  void reserve_input(std::size_t bytes) { input_.reserve(consumed_ + bytes); }
  void discard_input();  // no view of received() may be used after it
  // The peer has reset the connection, whether or not that was read yet.
  bool is_reset() const;
  void enable_reading(bool enabled);  // disabled: TCP flow control slows the peer down
  // Shuts down sending once everything is written, and closes when the peer does.
  void close_gracefully();
  void close();

 private:
  void ready(short events) override;
  void read_available();
  void compact_input();
  bool flush();
  void shutdown_write_when_flushed();
  void await_flush();
  void handle_close();
  void update_events();

  EventLoop& loop_;
  int fd_ = -1;
  State state_ = State::connecting;
  bool out_of_resources_ = false, reading_ = true, closing_gracefully_ = false;
  bool awaiting_flush_ = false;
  std::size_t max_read_ = default_max_read;
  std::string input_, output_;
  std::size_t consumed_ = 0;
};

// Accepts connections on one address. While paused, or out of descriptors, it leaves them in the backlog.
class Listener : public EventHandler {
 public:
  Listener(EventLoop& loop, const Address& address, std::function<void(int)> on_accept);
  // Duplicates a listening socket that other processes share; the original stays open.
  Listener(EventLoop& loop, int listening_fd, std::function<void(int)> on_accept);
  ~Listener() override;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  void set_paused(bool paused);

 private:
  Listener(EventLoop& loop, std::function<void(int)> on_accept, int own_fd);
  void ready(short events) override;

  EventLoop& loop_;
  int fd_;
  bool paused_ = false;
  std::function<void(int)> on_accept_;
  Timer retry_timer_;
};

// Delivers SIGTERM and SIGINT (terminate) and SIGHUP (reload the configuration) to the loop through a pipe,
// and ignores SIGPIPE and SIGXFSZ. One instance per process.
class Signals : public EventHandler {
 public:
  Signals(EventLoop& loop, std::function<void()> on_terminate, std::function<void()> on_reload);
  // SIGHUP stays pending from block_reload(), which is called before the configuration is read, until
  // unblock_reload().
  static void block_reload();
  void unblock_reload();
  // The process is shutting down: after this object is gone, further SIGTERM and SIGINT are ignored.
  void set_terminating() { terminating_ = true; }
  ~Signals() override;
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;

 private:
  void ready(short events) override;

  EventLoop& loop_;
  std::function<void()> on_terminate_, on_reload_;
  bool terminating_ = false;
  int pipe_[2];
};

}  // namespace rockcrank
