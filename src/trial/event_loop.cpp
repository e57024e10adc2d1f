// Implements the event loop with poll(2).

#include "trial/event_loop.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace rockcrank::trial {
namespace {

constexpr std::size_t max_unsent_bytes = 4 << 20;  // limits what a proxy buffers while a link is cut

sockaddr_in to_sockaddr(const Address& address) {
  sockaddr_in at{};
  at.sin_family = AF_INET, at.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.host.c_str(), &at.sin_addr);
  return at;
}

int create_socket() {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0), on = 1;
  if (fd < 0) throw std::runtime_error("cannot create a socket");
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

}  // namespace

EventLoop::EventLoop() {
  update_clock();
  started_at_ = now_, now_ = 0;
}
EventLoop::~EventLoop() {
  for (auto& [id, sock] : sockets_) ::close(sock->fd);
}

void EventLoop::update_clock() {
  auto since = std::chrono::steady_clock::now().time_since_epoch();
  now_ = std::chrono::duration<double, std::milli>(since).count() - started_at_;
}

Socket& EventLoop::add(int fd) {
  auto sock = std::make_unique<Socket>();
  sock->id = ++last_id_, sock->fd = fd;
  sock->quiet_until = polled_before_;
  return *(sockets_[last_id_] = std::move(sock));
}

Socket* EventLoop::find(std::uint64_t id) {
  auto found = sockets_.find(id);
  return found == sockets_.end() ? nullptr : found->second.get();
}

Socket* EventLoop::listen(const Address& address) {
  int fd = create_socket(), on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto at = to_sockaddr(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 256) != 0) {
    ::close(fd);
    throw std::runtime_error("cannot listen on " + address.text());
  }
  Socket& sock = add(fd);
  sock.listening = true;
  return &sock;
}

Socket* EventLoop::connect(const Address& address) {
  Socket& sock = add(create_socket());
  auto to = to_sockaddr(address);
  sock.connecting = true;
  if (::connect(sock.fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS)
    schedule(now_, [this, id = sock.id] {
      if (Socket* failed = find(id)) handle_closed(*failed);
    });
  return &sock;
}

void EventLoop::send(Socket& sock, std::string_view bytes) {
  if (sock.fd < 0) return;
  sock.out += bytes;
  if (!sock.connecting) write(sock);
}

void EventLoop::close(Socket& sock, bool reset) {
  auto found = sockets_.find(sock.id);
  if (found == sockets_.end()) return;
  linger hard{1, 0};
  if (reset) setsockopt(sock.fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  ::close(sock.fd);
  sock.fd = -1;
  closed_.push_back(std::move(found->second));
  sockets_.erase(found);
}

void EventLoop::finish_sending(Socket& sock) { shutdown(sock.fd, SHUT_WR); }

void EventLoop::handle_closed(Socket& sock) {
  auto callback = sock.on_closed;
  close(sock);
  if (callback) callback();
}

void EventLoop::schedule(Millis when, std::function<void()> callback) {
  timers_.emplace(when, std::move(callback));
}

void EventLoop::write(Socket& sock) {
  while (!sock.out.empty()) {
    auto count = ::send(sock.fd, sock.out.data(), sock.out.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count <= 0) break;  // errors and end of stream are handled by read()
    sock.out.erase(0, static_cast<std::size_t>(count));
  }
  if (sock.out.size() > max_unsent_bytes || (sock.out.empty() && sock.closes_when_sent)) close(sock);
}

void EventLoop::read(Socket& sock) {
  char bytes[65536];
  auto count = recv(sock.fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (count <= 0) return handle_closed(sock);
  if (sock.in.empty()) sock.first_byte_at = now_;
  sock.in.append(bytes, static_cast<std::size_t>(count));
  if (sock.on_data) {
    auto callback = sock.on_data;  // copied, since the callback may close and free the socket
    callback();
  }
}

void EventLoop::handle_events(Socket& sock, short events) {
  if (sock.listening) {
    while (true) {
      int fd = accept4(sock.fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK), on = 1;
      if (fd < 0) return;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      sock.on_accepted(add(fd));
      if (sock.fd < 0) return;
    }
  }
  if (sock.connecting && (events & (POLLOUT | POLLERR | POLLHUP))) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(sock.fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return handle_closed(sock);
    sock.connecting = false;
    if (auto callback = sock.on_connected) callback();
    if (sock.fd < 0) return;
  }
  if (events & POLLOUT) write(sock);
  if (sock.fd >= 0 && !sock.paused && (events & (POLLIN | POLLHUP | POLLERR))) read(sock);
}

void EventLoop::run_once(Millis max_wait) {
  std::vector<pollfd> polled;
  std::vector<std::uint64_t> ids;
  for (auto& [id, sock] : sockets_) {
    short wanted = sock->paused ? 0 : POLLIN;
    if (sock->connecting || !sock->out.empty()) wanted |= POLLOUT;
    if (wanted == 0) continue;
    polled.push_back({sock->fd, wanted, 0}), ids.push_back(id);
  }
  auto wait = timers_.empty() ? max_wait : std::min(max_wait, timers_.begin()->first - now_);
  update_clock();
  polled_before_ = std::exchange(polled_from_, now_);
  poll(polled.data(), polled.size(), wait <= 0 ? 0 : static_cast<int>(wait) + 1);
  update_clock();
  for (std::size_t i = 0; i < ids.size(); ++i)
    if ((polled[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0 && (polled[i].events & POLLIN))
      sockets_.at(ids[i])->quiet_until = polled_from_;
  for (std::size_t i = 0; i < ids.size(); ++i)
    if (polled[i].revents != 0)
      if (Socket* sock = find(ids[i])) handle_events(*sock, polled[i].revents);
  update_clock();
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    auto callback = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    callback();
  }
  closed_.clear();
}

}  // namespace rockcrank::trial
