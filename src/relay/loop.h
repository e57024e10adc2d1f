// Owns the one loop: poll(2) over descriptors and a queue of timers, and the byte streams on them. It knows
// nothing of protocols and must never block, decide what is sent, or be entered from a callback.
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

class EventHandler {
 public:
  virtual ~EventHandler() = default;
  virtual void ready(short events) = 0;
};

class EventLoop {
 public:
  EventLoop();
  Millis now() const { return now_; }  // monotonic, as of this round
  static Millis wall_time();           // Unix time, as it was set when the process began
  static Millis monotonic_time();      // at this moment
  void run();
  void stop() { running_ = false; }

  void add(int fd, short events, EventHandler* handler);
  void change(int fd, short events);
  void remove(int fd);
  // Whatever must not be freed inside its own callback lives until the end of the round.
  template <typename Thing>
  void defer_delete(std::unique_ptr<Thing> thing) {
    buried_.push_back(std::shared_ptr<void>(std::move(thing)));
  }

 private:
  friend class Timer;
  using Due = std::pair<Millis, std::uint64_t>;
  void refresh();

  std::vector<pollfd> polled_;
  std::vector<EventHandler*> handlers_;
  std::map<int, std::size_t> places_;
  std::map<Due, class Timer*> timers_;
  std::vector<std::shared_ptr<void>> buried_;
  std::uint64_t timer_number_ = 0;
  Millis now_ = 0;
  bool running_ = true;
};

class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> due) : loop_(loop), due_(std::move(due)) {}
  ~Timer() { clear(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  void set(Millis when);
  void clear();

 private:
  friend class EventLoop;
  EventLoop& loop_;
  std::function<void()> due_;
  EventLoop::Due key_{};
};

struct Address {
  std::string host;
  int port = 0;
  bool operator==(const Address&) const = default;
};
Address parse_address(std::string_view text);  // host:port; throws std::runtime_error

// A non-blocking TCP connection. Its owner frees it, through bury() inside a callback; that closes it.
class Stream : public EventHandler {
 public:
  enum class State { connecting, connected, closed };

  // A connection that another process gave: what it had read and not used, and had not sent yet.
  struct Snapshot {
    int fd = -1;
    bool connecting = false;
    std::string unconsumed, unsent;
  };

  Stream(EventLoop& loop, int connected_fd);
  Stream(EventLoop& loop, Snapshot kept);
  Stream(EventLoop& loop, const Address& to);  // ended at once where no socket is to be had
  ~Stream() override;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  std::function<void()> on_connected;
  std::function<void()> on_data;   // more was received
  std::function<void()> on_drain;  // what could not be written at once has gone
  std::function<void()> on_close;  // the connection broke, or ended; called once
  // Set: the other side has ended its sending but may still be sent to. Not set: that is an end.
  std::function<void()> on_half_close;

  State state() const { return state_; }
  Snapshot snapshot() const { return {fd_, state_ == State::connecting, std::string(received()), out_}; }
  bool out_of_resources() const { return lacks_descriptor_; }
  std::string_view received() const { return std::string_view(in_).substr(consumed_); }
  bool has_no_pending_input() const;  // up, and nothing has come that was not read yet: no bytes, no end
  void read_now();                    // what has come by now, without waiting for the loop to find it
  void consume(std::size_t count);
  void send(std::string_view bytes);
  std::size_t unsent_bytes() const { return out_.size(); }
  void enable_reading(bool wanted);  // off: the other side is left to wait
  void close_gracefully();  // ends its own sending once what is unsent has gone, and itself when the other
                            // side does
  void close();

 private:
  void ready(short events) override;
  void read_some();
  bool write_some();
  void finish_sending();
  void ended();
  void want();

  EventLoop& loop_;
  int fd_ = -1;
  State state_ = State::connecting;
  bool lacks_descriptor_ = false, reading_ = true, finishing_ = false;
  std::string in_, out_;
  std::size_t consumed_ = 0;
};

// Takes connections on one address. Out of descriptors, or told to pause, it leaves them in the queue.
class Listener : public EventHandler {
 public:
  Listener(EventLoop& loop, const Address& at, std::function<void(int)> taken);
  Listener(EventLoop& loop, int listening_fd,
           std::function<void(int)> taken);  // one that others have, and keep
  ~Listener() override;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  void set_paused(bool paused);

 private:
  Listener(EventLoop& loop, std::function<void(int)> taken, int own_fd);
  void ready(short events) override;

  EventLoop& loop_;
  int fd_;
  bool paused_ = false;
  std::function<void(int)> taken_;
  Timer again_;
};

// SIGTERM and SIGINT (to end) and SIGHUP (to read the configuration again), brought into the loop through a
// pipe; those that a failed write would raise are ignored. One in a process.
class Signals : public EventHandler {
 public:
  Signals(EventLoop& loop, std::function<void()> asked_to_end, std::function<void()> asked_to_read);
  // SIGHUP waits from hold_back(), to be called before the configuration is read, until listen().
  static void block_reload();
  void unblock_reload();
  // From here on the process ends in order; further signals to end change nothing.
  void set_terminating() { ending_ = true; }
  ~Signals() override;
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;

 private:
  void ready(short events) override;

  EventLoop& loop_;
  std::function<void()> asked_to_end_, asked_to_read_;
  bool ending_ = false;  // it was asked to end
  int ends_[2];
};

}  // namespace rockcrank
