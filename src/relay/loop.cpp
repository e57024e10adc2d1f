// poll(2), timers, streams, listener and signals; loop.h says what they own. Every descriptor is opened by
// one object here and closed by the same; nothing here may look into the bytes.

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

sockaddr_in to_sockaddr(const Address& address) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(address.port));
  if (inet_pton(AF_INET, address.host.c_str(), &to.sin_addr) != 1)
    throw std::runtime_error("not an IPv4 address: " + address.host);
  return to;
}

int listening_at(const Address& at) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), on = 1;
  auto to = to_sockaddr(at);
  if (fd >= 0) setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 || listen(fd, 512) != 0) {
    std::string why = std::strerror(errno);
    if (fd >= 0) ::close(fd);
    throw std::runtime_error("cannot listen on " + at.host + ":" + std::to_string(at.port) + ": " + why);
  }
  return fd;
}

// A descriptor of its own on a socket that others have too. Guards against a relay that is given up before it
// served: the socket that was passed must be there for the next one. And against a loop that waits in
// accept() for a connection that another process took first.
int shared(int listening_fd) {
  int flags = fcntl(listening_fd, F_GETFL);
  if (flags >= 0 && fcntl(listening_fd, F_SETFL, flags | O_NONBLOCK) == 0)
    if (int fd = fcntl(listening_fd, F_DUPFD_CLOEXEC, 3); fd >= 0) return fd;
  throw std::runtime_error("the passed socket is of no use: " + std::string(std::strerror(errno)));
}

constexpr std::size_t kept_most = 4096;  // of an empty buffer

volatile sig_atomic_t signal_end = -1;  // a handler reaches nothing but what is static

void on_signal(int number) {
  int kept = errno;
  char byte = static_cast<char>(number);
  [[maybe_unused]] auto written = ::write(signal_end, &byte, 1);
  errno = kept;
}

void mask_reload(int how) {
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

EventLoop::EventLoop() { refresh(); }

// Set once for each process, from the clock that nobody sets: a wall clock that is stepped while the process
// runs moves no deadline, window or wait, which are spans of real time.
Millis EventLoop::wall_time() {
  static const Millis ahead =
      std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count() -
      monotonic_time();
  return monotonic_time() + ahead;
}

Millis EventLoop::monotonic_time() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void EventLoop::refresh() { now_ = monotonic_time(); }

void EventLoop::add(int fd, short events, EventHandler* handler) {
  places_[fd] = polled_.size();
  polled_.push_back({fd, events, 0});
  handlers_.push_back(handler);
}

void EventLoop::change(int fd, short events) {
  if (auto found = places_.find(fd); found != places_.end()) polled_[found->second].events = events;
}

void EventLoop::remove(int fd) {
  auto found = places_.find(fd);
  if (found == places_.end()) return;
  polled_[found->second].fd = -1;  // swept out after the round
  handlers_[found->second] = nullptr;
  places_.erase(found);
}

void EventLoop::run() {
  running_ = true;
  while (running_) {
    refresh();
    int timeout = -1;
    if (!timers_.empty())
      timeout = static_cast<int>(std::clamp(std::ceil(timers_.begin()->first.first - now_), 0.0, 60000.0));
    int count = poll(polled_.data(), polled_.size(), timeout);
    refresh();
    std::size_t known = polled_.size();
    for (std::size_t i = 0; count > 0 && i < known && running_; ++i) {
      if (polled_[i].revents == 0 || !handlers_[i]) continue;
      handlers_[i]->ready(polled_[i].revents);
    }
    auto last = timer_number_;
    while (running_ && !timers_.empty() && timers_.begin()->first.first <= now_ &&
           timers_.begin()->first.second <= last) {
      Timer* timer = timers_.begin()->second;
      timer->clear();
      timer->due_();
    }
    std::size_t kept = 0;
    for (std::size_t i = 0; i < polled_.size(); ++i) {
      if (polled_[i].fd < 0) continue;
      polled_[kept] = polled_[i], handlers_[kept] = handlers_[i];
      polled_[kept].revents = 0;
      places_[polled_[kept].fd] = kept;
      ++kept;
    }
    polled_.resize(kept), handlers_.resize(kept);
    buried_.clear();
  }
}

void Timer::set(Millis when) {
  clear();
  key_ = {when, ++loop_.timer_number_};
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

Stream::Stream(EventLoop& loop, Snapshot kept)
    : loop_(loop),
      fd_(kept.fd),
      state_(kept.connecting ? State::connecting : State::connected),
      in_(std::move(kept.unconsumed)),
      out_(std::move(kept.unsent)) {
  loop_.add(fd_, POLLIN, this);
  want();
}

Stream::Stream(EventLoop& loop, const Address& to) : loop_(loop) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) {
    lacks_descriptor_ = true, state_ = State::closed;
    return;
  }
  int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  auto at = to_sockaddr(to);
  // A connect that is interrupted goes on by itself, as one that is in progress.
  bool goes_on = connect(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 || errno == EINPROGRESS ||
                 errno == EINTR;
  if (!goes_on) {
    // No port or no memory is free here: not the other side's doing.
    lacks_descriptor_ = errno == EADDRNOTAVAIL || errno == EAGAIN || errno == ENOBUFS || errno == ENOMEM;
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

void Stream::want() {
  if (fd_ < 0) return;
  short events = 0;
  if (state_ == State::connecting || !out_.empty()) events |= POLLOUT;
  if (state_ == State::connected && reading_) events |= POLLIN;
  loop_.change(fd_, events);
}

void Stream::enable_reading(bool wanted) {
  reading_ = wanted;
  want();
}

bool Stream::has_no_pending_input() const {
  char byte = 0;
  return state_ == State::connected && recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

void Stream::read_now() {
  if (state_ == State::connected && reading_) read_some();
}

void Stream::consume(std::size_t count) {
  consumed_ += count;
  // Guards against memory that idle connections keep: a buffer that has grown is given back once it is empty.
  if (consumed_ == in_.size() && in_.capacity() > kept_most) std::string().swap(in_), consumed_ = 0;
  else if (consumed_ == in_.size()) in_.clear(), consumed_ = 0;
  else if (consumed_ > 65536) in_.erase(0, std::exchange(consumed_, 0));
}

void Stream::send(std::string_view bytes) {
  if (state_ == State::closed) return;
  out_.append(bytes);
  if (state_ == State::connected && !write_some()) return;  // the break is met when the loop reads
  want();
}

bool Stream::write_some() {
  std::size_t written = 0;
  while (written < out_.size()) {
    auto count = ::send(fd_, out_.data() + written, out_.size() - written, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) {
      bool later = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOBUFS);
      out_.erase(0, written);
      return later;
    }
    written += static_cast<std::size_t>(count);
  }
  if (out_.capacity() > kept_most) std::string().swap(out_);
  else out_.clear();
  return true;
}

void Stream::read_some() {
  char piece[16384];
  bool any = false;
  for (int round = 0; round < 4; ++round) {
    auto count = ::recv(fd_, piece, sizeof piece, 0);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (count <= 0) {
      // What came before the end is still handed on; the callback may close this stream.
      if (any && on_data) on_data();
      if (fd_ < 0) return;
      if (count < 0 || !on_half_close) return ended();
      enable_reading(false);
      return on_half_close();
    }
    if (finishing_) continue;
    in_.append(piece, static_cast<std::size_t>(count));
    any = true;
    if (static_cast<std::size_t>(count) < sizeof piece) break;
  }
  if (any && on_data) on_data();
}

void Stream::close_gracefully() {
  if (fd_ < 0 || std::exchange(finishing_, true)) return;
  on_half_close = nullptr;
  enable_reading(true);
  finish_sending();
}

// Guards against losing an answer just given: a close with unread bytes would reset the connection. What
// still comes is read and dropped.
void Stream::finish_sending() {
  if (finishing_ && out_.empty() && fd_ >= 0) shutdown(fd_, SHUT_WR);
}

void Stream::ended() {
  close();
  if (on_close) on_close();
}

void Stream::ready(short events) {
  if (state_ == State::connecting) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0 || (events & (POLLERR | POLLNVAL))) return ended();
    state_ = State::connected;
    if (on_connected) on_connected();
    if (state_ != State::connected) return;
    if (!write_some()) return ended();
    return want();
  }
  if ((events & POLLOUT) && !write_some()) return ended();
  finish_sending();
  want();
  if ((events & POLLOUT) && out_.empty() && on_drain) on_drain();
  if (fd_ < 0) return;
  if (events & (POLLIN | POLLHUP | POLLERR | POLLNVAL)) {
    if (!reading_ && (events & (POLLHUP | POLLERR | POLLNVAL))) return ended();
    if (reading_) read_some();
  }
}

Listener::Listener(EventLoop& loop, const Address& at, std::function<void(int)> taken)
    : Listener(loop, std::move(taken), listening_at(at)) {}

Listener::Listener(EventLoop& loop, int listening_fd, std::function<void(int)> taken)
    : Listener(loop, std::move(taken), shared(listening_fd)) {}

Listener::Listener(EventLoop& loop, std::function<void(int)> taken, int own_fd)
    : loop_(loop),
      fd_(own_fd),
      taken_(std::move(taken)),
      again_(loop, [this] { loop_.change(fd_, paused_ ? 0 : POLLIN); }) {
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
  for (int round = 0; round < 64 && !paused_; ++round) {
    int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      taken_(fd);
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED) continue;
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
      // Guards against a spinning loop: the queue stays readable while no descriptor is free.
      loop_.change(fd_, 0);
      again_.set(loop_.now() + 20);
    }
    return;
  }
}

Signals::Signals(EventLoop& loop, std::function<void()> asked_to_end, std::function<void()> asked_to_read)
    : loop_(loop), asked_to_end_(std::move(asked_to_end)), asked_to_read_(std::move(asked_to_read)) {
  if (pipe2(ends_, O_NONBLOCK | O_CLOEXEC) != 0) throw std::runtime_error("cannot make a pipe");
  signal_end = ends_[1];
  struct sigaction action {};
  action.sa_handler = on_signal;
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  sigaction(SIGHUP, &action, nullptr);
  signal(SIGPIPE, SIG_IGN);
  signal(SIGXFSZ, SIG_IGN);
  loop_.add(ends_[0], POLLIN, this);
}

Signals::~Signals() {
  // Guards against a further signal to end that kills a process which ends in order already.
  auto from_now = ending_ ? SIG_IGN : SIG_DFL;
  signal(SIGTERM, from_now);
  signal(SIGINT, from_now);
  signal(SIGHUP, SIG_IGN);  // one that comes as the relay ends must not spoil its end
  loop_.remove(ends_[0]);
  ::close(ends_[0]), ::close(ends_[1]);
}

// Guards against a SIGHUP that comes between the reading of the configuration and the first round: it would
// end the process, or be lost with the new configuration.
void Signals::block_reload() { mask_reload(SIG_BLOCK); }

void Signals::unblock_reload() { mask_reload(SIG_UNBLOCK); }

void Signals::ready(short) {
  char bytes[16];
  auto count = ::read(ends_[0], bytes, sizeof bytes);
  bool read_again = false, end = false;
  for (ssize_t i = 0; i < count; ++i) (bytes[i] == SIGHUP ? read_again : end) = true;
  if (read_again) asked_to_read_();
  if (end) set_terminating(), asked_to_end_();
}

}  // namespace rockcrank
