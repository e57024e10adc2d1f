// The old process blocks while it sends, so that its state does not change meanwhile, but never for longer
// than a caller at the admin address may wait.

#include "relay/handover.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "relay/log.h"

namespace rockcrank {
namespace {

constexpr Millis send_timeout = 700;      // for the whole payload; then the old process goes on serving
constexpr Millis receive_timeout = 1000;  // slightly longer than send_timeout
constexpr Millis request_timeout = 50;    // for the request line of a connected process
constexpr std::size_t max_descriptors_per_message = 64, max_descriptors = 4096, max_state_bytes = 64 << 20;
constexpr const char* socket_name = "/successor";

// The address of the socket in a folder. A path too long for sockaddr_un is reached through /proc/self/fd.
class SocketAddress {
 public:
  explicit SocketAddress(const std::string& folder) {
    at_.sun_family = AF_UNIX;
    auto path = folder + socket_name;
    if (path.size() >= sizeof at_.sun_path) {
      folder_ = ::open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC);
      path = "/proc/self/fd/" + std::to_string(folder_) + socket_name;
    }
    std::strncpy(at_.sun_path, path.c_str(), sizeof at_.sun_path - 1);
  }
  ~SocketAddress() {
    if (folder_ >= 0) ::close(folder_);
  }
  SocketAddress(const SocketAddress&) = delete;
  SocketAddress& operator=(const SocketAddress&) = delete;
  const sockaddr* address() const { return reinterpret_cast<const sockaddr*>(&at_); }
  socklen_t size() const { return sizeof at_; }
  const char* path() const { return at_.sun_path; }

 private:
  sockaddr_un at_{};
  int folder_ = -1;
};

int open_unix_socket() { return ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

bool poll_until(int fd, short events, Millis deadline) {
  pollfd polled{fd, events, 0};
  while (true) {
    auto remaining = deadline - EventLoop::monotonic_time();
    if (remaining <= 0) return false;
    int count = poll(&polled, 1, static_cast<int>(remaining) + 1);
    if (count > 0) return true;
    if (count < 0 && errno != EINTR) return false;
  }
}

bool send_bytes(int fd, const char* bytes, std::size_t size, Millis deadline) {
  while (size > 0) {
    auto count = ::send(fd, bytes, size, MSG_NOSIGNAL);
    if (count > 0) bytes += count, size -= static_cast<std::size_t>(count);
    else if (errno != EAGAIN && errno != EINTR) return false;
    else if (!poll_until(fd, POLLOUT, deadline)) return false;
  }
  return true;
}

bool receive_bytes(int fd, char* bytes, std::size_t size, Millis deadline) {
  while (size > 0) {
    auto count = ::recv(fd, bytes, size, 0);
    if (count > 0) bytes += count, size -= static_cast<std::size_t>(count);
    else if (count == 0 || (errno != EAGAIN && errno != EINTR)) return false;
    else if (!poll_until(fd, POLLIN, deadline)) return false;
  }
  return true;
}

union ControlBuffer {  // ancillary data of one message
  cmsghdr header;
  char bytes[CMSG_SPACE(sizeof(int) * max_descriptors_per_message)];
};

msghdr make_message(iovec& buffer, ControlBuffer& control, std::size_t count) {
  msghdr message{};
  message.msg_iov = &buffer, message.msg_iovlen = 1;
  message.msg_control = control.bytes, message.msg_controllen = CMSG_SPACE(sizeof(int) * count);
  return message;
}

bool send_descriptors(int fd, const int* first, std::size_t count, Millis deadline) {
  char byte = 'd';
  iovec buffer{&byte, 1};
  ControlBuffer control{};
  auto message = make_message(buffer, control, count);
  auto* header = CMSG_FIRSTHDR(&message);
  header->cmsg_level = SOL_SOCKET, header->cmsg_type = SCM_RIGHTS,
  header->cmsg_len = CMSG_LEN(sizeof(int) * count);
  std::memcpy(CMSG_DATA(header), first, sizeof(int) * count);
  while (::sendmsg(fd, &message, MSG_NOSIGNAL) != 1) {
    if (errno != EAGAIN && errno != EINTR) return false;
    if (!poll_until(fd, POLLOUT, deadline)) return false;
  }
  return true;
}

// Receives the descriptors of one message; false: none arrived, or some were truncated.
bool receive_descriptors(int fd, std::vector<int>& to, Millis deadline) {
  char byte = 0;
  iovec buffer{&byte, 1};
  ControlBuffer control{};
  auto message = make_message(buffer, control, max_descriptors_per_message);
  while (true) {
    auto count = ::recvmsg(fd, &message, MSG_CMSG_CLOEXEC);
    if (count == 1) break;
    if (count == 0 || (errno != EAGAIN && errno != EINTR) || !poll_until(fd, POLLIN, deadline)) return false;
  }
  bool any = false;
  for (auto* header = CMSG_FIRSTHDR(&message); header; header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS) continue;
    auto size = (header->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    auto at = to.size();
    to.resize(at + size);
    std::memcpy(to.data() + at, CMSG_DATA(header), sizeof(int) * size);
    any = true;
  }
  return any && !(message.msg_flags & MSG_CTRUNC);
}

}  // namespace

int HandoverPayload::take_descriptor(std::size_t index) {
  int fd = std::exchange(descriptors.at(index), -1);
  if (fd < 0) throw std::runtime_error("the handover state uses a descriptor twice");
  return fd;
}

void HandoverPayload::close_unclaimed() {
  for (int fd : std::exchange(descriptors, {}))
    if (fd >= 0) ::close(fd);
}

// If Unix sockets are not permitted, replacing this relay is an ordinary restart.
HandoverServer::HandoverServer(EventLoop& loop, const std::string& folder) : loop_(loop), folder_(folder) {
  SocketAddress address(folder_);
  fd_ = open_unix_socket();
  ::unlink(address.path());
  if (fd_ < 0 || bind(fd_, address.address(), address.size()) != 0 || listen(fd_, 4) != 0) {
    log_line("handover: cannot listen for a new process: %s", std::strerror(errno));
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    return;
  }
  loop_.add(fd_, POLLIN, this);
}

HandoverServer::~HandoverServer() {
  if (fd_ < 0) return;
  loop_.remove(fd_);
  ::close(fd_);
}

void HandoverServer::ready(short) {
  int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) return;
  hand_over(fd);
  ::close(fd);
}

void HandoverServer::hand_over(int fd) {
  auto deadline = EventLoop::monotonic_time() + request_timeout;
  std::string numbering_hash;
  for (char byte = 0; receive_bytes(fd, &byte, 1, deadline) && byte != '\n' && numbering_hash.size() < 64;)
    numbering_hash += byte;
  deadline = EventLoop::monotonic_time() + send_timeout;
  auto payload = make_payload(numbering_hash);
  if (!payload) return;
  std::uint64_t sizes[2] = {payload->descriptors.size(), payload->state.size()};
  bool sent = send_bytes(fd, reinterpret_cast<const char*>(sizes), sizeof sizes, deadline);
  for (std::size_t at = 0; sent && at < payload->descriptors.size(); at += max_descriptors_per_message)
    sent =
        send_descriptors(fd, payload->descriptors.data() + at,
                         std::min(max_descriptors_per_message, payload->descriptors.size() - at), deadline);
  char reply = 0;
  sent = sent && send_bytes(fd, payload->state.data(), payload->state.size(), deadline) &&
         receive_bytes(fd, &reply, 1, deadline) && reply == 'r';
  // The commit point: once 'g' is sent, the new process owns everything. If the send fails, this process
  // cannot tell whether the new one is alive and goes on serving; the new one received no 'g' and gives up.
  reply = 'g';
  if (!sent || ::send(fd, &reply, 1, MSG_NOSIGNAL) != 1)
    return log_line("handover: the new process did not take over");
  on_complete();
}

HandoverClient::~HandoverClient() { close(); }

void HandoverClient::close() {
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

std::optional<HandoverPayload> HandoverClient::request(const std::string& numbering_hash) {
  close();
  SocketAddress address(folder_);
  fd_ = open_unix_socket();
  if (fd_ < 0 || connect(fd_, address.address(), address.size()) != 0) return {};
  auto deadline = EventLoop::monotonic_time() + receive_timeout;
  auto line = numbering_hash + "\n";
  std::uint64_t sizes[2] = {0, 0};
  if (!send_bytes(fd_, line.data(), line.size(), deadline) ||
      !receive_bytes(fd_, reinterpret_cast<char*>(sizes), sizeof sizes, deadline) ||
      sizes[0] > max_descriptors || sizes[1] > max_state_bytes)
    return {};
  HandoverPayload payload;
  bool complete = true;
  while (complete && payload.descriptors.size() < sizes[0])
    complete = receive_descriptors(fd_, payload.descriptors, deadline);
  payload.state.resize(sizes[1]);
  complete = complete && receive_bytes(fd_, payload.state.data(), payload.state.size(), deadline);
  if (!complete) return payload.close_unclaimed(), std::nullopt;
  return payload;
}

bool HandoverClient::confirm() {
  char reply = 'r';
  auto deadline = EventLoop::monotonic_time() + receive_timeout;
  bool committed =
      send_bytes(fd_, &reply, 1, deadline) && receive_bytes(fd_, &reply, 1, deadline) && reply == 'g';
  close();
  return committed;
}

}  // namespace rockcrank
