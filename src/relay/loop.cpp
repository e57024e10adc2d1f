// Each descriptor is closed by the object that opened it or was given it.

#include "relay/loop.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <cmath>
#include <cstring>
#include <stdexcept>

namespace rockcrank {
namespace {

constexpr int listen_backlog = 512;
constexpr int max_accepts_per_event = 64;
constexpr Millis accept_retry_delay = 20;
constexpr std::size_t max_retained_capacity = 4096;  // bytes, of an empty buffer

sockaddr_in to_sockaddr(const Address& address) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(address.port));
  if (inet_pton(AF_INET, address.host.c_str(), &to.sin_addr) != 1)
    throw std::runtime_error("not an IPv4 address: " + address.host);
  return to;
}

int open_listening_socket(const Address& at) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), on = 1;
  auto to = to_sockaddr(at);
  if (fd >= 0) setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 ||
      listen(fd, listen_backlog) != 0) {
    std::string why = std::strerror(errno);
    if (fd >= 0) ::close(fd);
    throw std::runtime_error("cannot listen on " + at.host + ":" + std::to_string(at.port) + ": " + why);
  }
  return fd;
}

// Duplicates a listening socket that other processes share. If this relay fails before it serves, the
// original must still be open for the next one. Non-blocking, so that the loop does not wait in accept() for
// a connection that another process has accepted first.
int duplicate_listening_socket(int listening_fd) {
  int flags = fcntl(listening_fd, F_GETFL);
  if (flags >= 0 && fcntl(listening_fd, F_SETFL, flags | O_NONBLOCK) == 0)
    if (int fd = fcntl(listening_fd, F_DUPFD_CLOEXEC, 3); fd >= 0) return fd;
  throw std::runtime_error("cannot use the inherited listening socket: " + std::string(std::strerror(errno)));
}

volatile sig_atomic_t signal_pipe_end = -1;  // a signal handler can only use static data

void on_signal(int number) {
  int saved_errno = errno;
  char byte = static_cast<char>(number);
  [[maybe_unused]] auto written = ::write(signal_pipe_end, &byte, 1);
  errno = saved_errno;
}

void set_reload_mask(int how) {
  sigset_t reload;
  sigemptyset(&reload);
  sigaddset(&reload, SIGHUP);
  sigprocmask(how, &reload, nullptr);
}

}  // namespace

Address parse_address(std::string_view text) {
  auto colon = text.rfind(':');
  Address address;
  if (colon != std::string_view::npos) {
    address.host = std::string(text.substr(0, colon));
    auto port = text.substr(colon + 1);
    auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (error != std::errc{} || end != port.data() + port.size()) address.port = -1;
  }
  if (address.host.empty() || address.port < 0 || address.port > 65535)
    throw std::runtime_error("not an address with a port: '" + std::string(text.substr(0, 60)) + "'");
  to_sockaddr(address);
  return address;
}

EventLoop::EventLoop() = default;

// The offset from the monotonic clock is read once per process: stepping the system clock later must not move
// deadlines, windows and waits, which are spans of real time.
Millis EventLoop::to_wall_time(Millis monotonic) {
  static const Millis offset =
      std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count() -
      monotonic_time();
  return monotonic + offset;
}

Millis EventLoop::monotonic_time() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void EventLoop::add(int fd, short events, EventHandler* handler) {
  index_by_fd_[fd] = pollfds_.size();
  pollfds_.push_back({fd, events, 0});
  handlers_.push_back(handler);
}

void EventLoop::change(int fd, short events) {
  if (auto found = index_by_fd_.find(fd); found != index_by_fd_.end())
    pollfds_[found->second].events = events;
}

void EventLoop::remove(int fd) {
  auto found = index_by_fd_.find(fd);
  if (found == index_by_fd_.end()) return;
  pollfds_[found->second].fd = -1;  // erased at the end of the iteration
  handlers_[found->second] = nullptr;
  index_by_fd_.erase(found);
}

void EventLoop::run() {
  running_ = true;
  while (running_) {
    const Millis polled_from = now();
    int timeout = -1;
    if (!timers_.empty())
      timeout =
          static_cast<int>(std::clamp(std::ceil(timers_.begin()->first.first - polled_from), 0.0, 60000.0));
    int count = poll(pollfds_.data(), pollfds_.size(), timeout);
    std::size_t known = pollfds_.size();
    for (std::size_t i = 0; count > 0 && i < known && running_; ++i) {
      if (pollfds_[i].revents == 0 || !handlers_[i]) continue;
      handlers_[i]->ready(pollfds_[i].revents);
    }
    // The beginning of poll(2) counts: a process is stopped mostly at the end of a system call, when it has
    // looked already. One that a signal interrupts has not looked.
    if (count >= 0) inputs_read_at_ = polled_from;
    run_due_timers();
    std::size_t kept = 0;
    for (std::size_t i = 0; i < pollfds_.size(); ++i) {
      if (pollfds_[i].fd < 0) continue;
      pollfds_[kept] = pollfds_[i], handlers_[kept] = handlers_[i];
      pollfds_[kept].revents = 0;
      index_by_fd_[pollfds_[kept].fd] = kept;
      ++kept;
    }
    pollfds_.resize(kept), handlers_.resize(kept);
    deferred_deletes_.clear();
  }
}

// Timers that their callbacks set wait for the next iteration, so that they cannot starve the descriptors.
void EventLoop::run_due_timers() {
  const Millis due = now();
  const auto last = last_timer_id_;
  if (on_timer && !timers_.empty() && timers_.begin()->first.first <= due)
    on_timer(due - timers_.begin()->first.first);
  while (running_ && !timers_.empty() && timers_.begin()->first.first <= due &&
         timers_.begin()->first.second <= last) {
    Timer* timer = timers_.begin()->second;
    timer->clear();
    timer->callback_();
  }
}

void Timer::set(Millis when) {
  clear();
  key_ = {when, ++loop_.last_timer_id_};
  loop_.timers_[key_] = this;
}

void Timer::clear() {
  if (key_.second != 0) loop_.timers_.erase(key_);
  key_ = {};
}

Stream::Stream(EventLoop& loop, int connected_fd) : loop_(loop), fd_(connected_fd), state_(State::connected) {
  int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  loop_.add(fd_, POLLIN, this);
}

Stream::Stream(EventLoop& loop, Snapshot snapshot)
    : loop_(loop),
      fd_(snapshot.fd),
      state_(snapshot.connecting ? State::connecting : State::connected),
      input_(std::move(snapshot.unconsumed)),
      output_(std::move(snapshot.unsent)) {
  loop_.add(fd_, POLLIN, this);
  update_events();
}

Stream::Stream(EventLoop& loop, const Address& to) : loop_(loop) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) {
    out_of_resources_ = true, state_ = State::closed;
    return;
  }
  int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  auto at = to_sockaddr(to);
  // An interrupted connect() continues in the background, like one in progress.
  bool in_progress = connect(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 || errno == EINPROGRESS ||
                     errno == EINTR;
  if (!in_progress) {
    // This host lacks ports or memory; the peer is not at fault.
    out_of_resources_ = errno == EADDRNOTAVAIL || errno == EAGAIN || errno == ENOBUFS || errno == ENOMEM;
    ::close(std::exchange(fd_, -1));
    state_ = State::closed;
    return;
  }
  loop_.add(fd_, POLLOUT, this);
}

Stream::~Stream() { close(); }

void Stream::close() {
  if (fd_ >= 0) {
    loop_.remove(fd_);
    ::close(std::exchange(fd_, -1));
  }
  state_ = State::closed;
}

void Stream::update_events() {
  if (fd_ < 0) return;
  short events = 0;
  if (state_ == State::connecting || !output_.empty()) events |= POLLOUT;
  if (state_ == State::connected && reading_) events |= POLLIN;
  loop_.change(fd_, events);
}

void Stream::enable_reading(bool enabled) {
  reading_ = enabled;
  update_events();
}

bool Stream::has_no_pending_input() const {
  char byte = 0;
  return state_ == State::connected && recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

void Stream::read_now() {
  if (state_ == State::connected && reading_) read_available();
}

void Stream::consume(std::size_t count) {
  consumed_ += count;
  // Frees a grown buffer once it is empty, so that idle connections hold no memory.
  if (consumed_ == input_.size() && input_.capacity() > max_retained_capacity)
    std::string().swap(input_), consumed_ = 0;
  else if (consumed_ == input_.size()) input_.clear(), consumed_ = 0;
  else if (consumed_ > max_retained_capacity && consumed_ >= input_.size() - consumed_) compact_input();
}

// Moves what is not consumed to the front, and gives back what it no longer needs.
void Stream::compact_input() {
  input_.erase(0, std::exchange(consumed_, 0));
  if (input_.capacity() > 2 * std::max(input_.size(), max_retained_capacity)) input_.shrink_to_fit();
}

void Stream::discard_input() {
  std::string().swap(input_);
  consumed_ = 0;
}

bool Stream::is_reset() const {
  pollfd polled{fd_, 0, 0};
  return fd_ >= 0 && poll(&polled, 1, 0) > 0 && (polled.revents & (POLLERR | POLLHUP)) != 0;
}

void Stream::send(std::string_view bytes) {
  if (state_ == State::closed) return;
  output_.append(bytes);
  if (state_ == State::connected && !flush()) return;  // the error surfaces at the next read
  update_events();
}

bool Stream::flush() {
  std::size_t written = 0;
  while (written < output_.size()) {
    if (may_write_now && !may_write_now()) {
      output_.erase(0, written);
      return true;
    }
    auto count = ::send(fd_, output_.data() + written, output_.size() - written, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) {
      bool retry = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOBUFS);
      output_.erase(0, written);
      return retry;
    }
    written += static_cast<std::size_t>(count);
  }
  if (output_.capacity() > max_retained_capacity) std::string().swap(output_);
  else output_.clear();
  return true;
}

void Stream::read_available() {
  char chunk[16384];
  bool any = false;
  for (std::size_t left = max_read_; left > 0;) {
    const std::size_t wanted = std::min(left, sizeof chunk);
    auto count = ::recv(fd_, chunk, wanted, 0);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (count <= 0) {
      // What came before the end is still handed on; the callback may close this stream.
      if (any && on_data) on_data();
      if (fd_ < 0) return;
      if (count == 0 && closing_gracefully_ && !output_.empty()) return await_flush();
      if (count < 0 || !on_half_close) return handle_close();
      enable_reading(false);
      return on_half_close();
    }
    left -= static_cast<std::size_t>(count);
    if (closing_gracefully_) continue;
    input_.append(chunk, static_cast<std::size_t>(count));
    any = true;
    if (static_cast<std::size_t>(count) < wanted) break;
  }
  if (any && on_data) on_data();
}

void Stream::close_gracefully() {
  if (fd_ < 0 || std::exchange(closing_gracefully_, true)) return;
  on_half_close = nullptr;
  enable_reading(true);
  shutdown_write_when_flushed();
}

// close() with unread input would reset the connection and could lose the response just sent, so only sending
// is shut down; further input is read and dropped.
void Stream::shutdown_write_when_flushed() {
  if (!closing_gracefully_ || !output_.empty() || fd_ < 0) return;
  shutdown(fd_, SHUT_WR);
  if (std::exchange(awaiting_flush_, false)) enable_reading(true);
}

// The peer has shut down its sending side and may still read what is not written yet. The end of its input is
// read once more after that.
void Stream::await_flush() {
  awaiting_flush_ = true;
  enable_reading(false);
}

void Stream::handle_close() {
  close();
  if (on_close) on_close();
}

void Stream::ready(short events) {
  if (state_ == State::connecting) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0 || (events & (POLLERR | POLLNVAL))) return handle_close();
    state_ = State::connected;
    if (on_connected) on_connected();
    if (state_ != State::connected) return;
    if (!flush()) return handle_close();
    return update_events();
  }
  if ((events & POLLOUT) && !output_.empty() && may_write_rest && !may_write_rest()) return;
  if ((events & POLLOUT) && !flush()) return handle_close();
  shutdown_write_when_flushed();
  update_events();
  if ((events & POLLOUT) && output_.empty() && on_drain) on_drain();
  if (fd_ < 0) return;
  if (events & (POLLIN | POLLHUP | POLLERR | POLLNVAL)) {
    if (!reading_ && (events & (POLLHUP | POLLERR | POLLNVAL))) return handle_close();
    if (reading_) read_available();
  }
}

Listener::Listener(EventLoop& loop, const Address& address, std::function<void(int)> on_accept)
    : Listener(loop, std::move(on_accept), open_listening_socket(address)) {}

Listener::Listener(EventLoop& loop, int listening_fd, std::function<void(int)> on_accept)
    : Listener(loop, std::move(on_accept), duplicate_listening_socket(listening_fd)) {}

Listener::Listener(EventLoop& loop, std::function<void(int)> on_accept, int own_fd)
    : loop_(loop),
      fd_(own_fd),
      on_accept_(std::move(on_accept)),
      retry_timer_(loop, [this] { loop_.change(fd_, paused_ ? 0 : POLLIN); }) {
  loop_.add(fd_, POLLIN, this);
}

Listener::~Listener() {
  loop_.remove(fd_);
  ::close(fd_);
}

void Listener::set_paused(bool paused) {
  paused_ = paused;
  loop_.change(fd_, paused_ ? 0 : POLLIN);
}

void Listener::ready(short) {
  for (int round = 0; round < max_accepts_per_event && !paused_; ++round) {
    int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      on_accept_(fd);
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED) continue;
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
      // The backlog stays readable while no descriptor is free; polling it would spin the loop.
      loop_.change(fd_, 0);
      retry_timer_.set(loop_.now() + accept_retry_delay);
    }
    return;
  }
}

Signals::Signals(EventLoop& loop, std::function<void()> on_terminate, std::function<void()> on_reload)
    : loop_(loop), on_terminate_(std::move(on_terminate)), on_reload_(std::move(on_reload)) {
  if (pipe2(pipe_, O_NONBLOCK | O_CLOEXEC) != 0) throw std::runtime_error("cannot make a pipe");
  signal_pipe_end = pipe_[1];
  struct sigaction action {};
  action.sa_handler = on_signal;
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  sigaction(SIGHUP, &action, nullptr);
  signal(SIGPIPE, SIG_IGN);
  signal(SIGXFSZ, SIG_IGN);
  loop_.add(pipe_[0], POLLIN, this);
}

Signals::~Signals() {
  // A second termination signal must not kill a process that is already shutting down.
  auto disposition = terminating_ ? SIG_IGN : SIG_DFL;
  signal(SIGTERM, disposition);
  signal(SIGINT, disposition);
  signal(SIGHUP, SIG_IGN);  // a reload during shutdown is ignored
  loop_.remove(pipe_[0]);
  ::close(pipe_[0]), ::close(pipe_[1]);
}

// A SIGHUP between reading the configuration and the first loop iteration would kill the process, or the new
// configuration would be missed.
void Signals::block_reload() { set_reload_mask(SIG_BLOCK); }

void Signals::unblock_reload() { set_reload_mask(SIG_UNBLOCK); }

void Signals::ready(short) {
  char bytes[16];
  auto count = ::read(pipe_[0], bytes, sizeof bytes);
  bool reload = false, terminate = false;
  for (ssize_t i = 0; i < count; ++i) (bytes[i] == SIGHUP ? reload : terminate) = true;
  if (reload) on_reload_();
  if (terminate) set_terminating(), on_terminate_();
}

}  // namespace rockcrank
