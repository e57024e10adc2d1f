// Both sides of a hand-over; handover.h says what it owns. The old side blocks while it gives, so that
// nothing changes under what it gives, but never for longer than a caller at the second address may wait.

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

constexpr Millis give_within = 700;   // all of it; the old side goes on after that
constexpr Millis take_within = 1000;  // the new side waits a little longer than the old one gives
constexpr Millis ask_within = 50;     // for the request of one that has connected
constexpr std::size_t descriptors_at_once = 64, descriptors_most = 4096, text_most = 64 << 20;
constexpr const char* name = "/successor";

// A path may be longer than a Unix address holds; the folder is then reached through a descriptor of it.
class Place {
 public:
  explicit Place(const std::string& folder) {
    at_.sun_family = AF_UNIX;
    auto path = folder + name;
    if (path.size() >= sizeof at_.sun_path) {
      folder_ = ::open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC);
      path = "/proc/self/fd/" + std::to_string(folder_) + name;
    }
    std::strncpy(at_.sun_path, path.c_str(), sizeof at_.sun_path - 1);
  }
  ~Place() {
    if (folder_ >= 0) ::close(folder_);
  }
  Place(const Place&) = delete;
  Place& operator=(const Place&) = delete;
  const sockaddr* address() const { return reinterpret_cast<const sockaddr*>(&at_); }
  socklen_t size() const { return sizeof at_; }
  const char* path() const { return at_.sun_path; }

 private:
  sockaddr_un at_{};
  int folder_ = -1;
};

int local_socket() { return ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

bool wait_for(int fd, short events, Millis until) {
  pollfd one{fd, events, 0};
  while (true) {
    auto left = until - EventLoop::monotonic_time();
    if (left <= 0) return false;
    int count = poll(&one, 1, static_cast<int>(left) + 1);
    if (count > 0) return true;
    if (count < 0 && errno != EINTR) return false;
  }
}

bool send_bytes(int fd, const char* bytes, std::size_t size, Millis until) {
  while (size > 0) {
    auto count = ::send(fd, bytes, size, MSG_NOSIGNAL);
    if (count > 0) bytes += count, size -= static_cast<std::size_t>(count);
    else if (errno != EAGAIN && errno != EINTR) return false;
    else if (!wait_for(fd, POLLOUT, until)) return false;
  }
  return true;
}

bool receive_bytes(int fd, char* bytes, std::size_t size, Millis until) {
  while (size > 0) {
    auto count = ::recv(fd, bytes, size, 0);
    if (count > 0) bytes += count, size -= static_cast<std::size_t>(count);
    else if (count == 0 || (errno != EAGAIN && errno != EINTR)) return false;
    else if (!wait_for(fd, POLLIN, until)) return false;
  }
  return true;
}

union Space {  // for the descriptors of one message
  cmsghdr head;
  char bytes[CMSG_SPACE(sizeof(int) * descriptors_at_once)];
};

msghdr message_of(iovec& one, Space& space, std::size_t count) {
  msghdr message{};
  message.msg_iov = &one, message.msg_iovlen = 1;
  message.msg_control = space.bytes, message.msg_controllen = CMSG_SPACE(sizeof(int) * count);
  return message;
}

bool send_descriptors(int fd, const int* first, std::size_t count, Millis until) {
  char byte = 'd';
  iovec one{&byte, 1};
  Space space{};
  auto message = message_of(one, space, count);
  auto* head = CMSG_FIRSTHDR(&message);
  head->cmsg_level = SOL_SOCKET, head->cmsg_type = SCM_RIGHTS, head->cmsg_len = CMSG_LEN(sizeof(int) * count);
  std::memcpy(CMSG_DATA(head), first, sizeof(int) * count);
  while (::sendmsg(fd, &message, MSG_NOSIGNAL) != 1) {
    if (errno != EAGAIN && errno != EINTR) return false;
    if (!wait_for(fd, POLLOUT, until)) return false;
  }
  return true;
}

// One message's descriptors; false: none came.
bool receive_descriptors(int fd, std::vector<int>& to, Millis until) {
  char byte = 0;
  iovec one{&byte, 1};
  Space space{};
  auto message = message_of(one, space, descriptors_at_once);
  while (true) {
    auto count = ::recvmsg(fd, &message, MSG_CMSG_CLOEXEC);
    if (count == 1) break;
    if (count == 0 || (errno != EAGAIN && errno != EINTR) || !wait_for(fd, POLLIN, until)) return false;
  }
  bool any = false;
  for (auto* head = CMSG_FIRSTHDR(&message); head; head = CMSG_NXTHDR(&message, head)) {
    if (head->cmsg_level != SOL_SOCKET || head->cmsg_type != SCM_RIGHTS) continue;
    auto size = (head->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    auto at = to.size();
    to.resize(at + size);
    std::memcpy(to.data() + at, CMSG_DATA(head), sizeof(int) * size);
    any = true;
  }
  return any && !(message.msg_flags & MSG_CTRUNC);
}

}  // namespace

int HandoverPayload::take_descriptor(std::size_t place) {
  int fd = std::exchange(descriptors.at(place), -1);
  if (fd < 0) throw std::runtime_error("a descriptor is named twice");
  return fd;
}

void HandoverPayload::close_unclaimed() {
  for (int fd : std::exchange(descriptors, {}))
    if (fd >= 0) ::close(fd);
}

// Where Unix sockets are refused, this relay is replaced as by a planned restart.
HandoverServer::HandoverServer(EventLoop& loop, const std::string& folder) : loop_(loop), folder_(folder) {
  Place place(folder_);
  fd_ = local_socket();
  ::unlink(place.path());
  if (fd_ < 0 || bind(fd_, place.address(), place.size()) != 0 || listen(fd_, 4) != 0) {
    log_line("nothing is handed over from here: %s", std::strerror(errno));
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
  give(fd);
  ::close(fd);
}

void HandoverServer::give(int fd) {
  auto until = EventLoop::monotonic_time() + ask_within;
  std::string numbering;
  for (char byte = 0; receive_bytes(fd, &byte, 1, until) && byte != '\n' && numbering.size() < 64;)
    numbering += byte;
  until = EventLoop::monotonic_time() + give_within;
  auto baggage = make_payload(numbering);
  if (!baggage) return;
  std::uint64_t sizes[2] = {baggage->descriptors.size(), baggage->state.size()};
  bool sent = send_bytes(fd, reinterpret_cast<const char*>(sizes), sizeof sizes, until);
  for (std::size_t at = 0; sent && at < baggage->descriptors.size(); at += descriptors_at_once)
    sent = send_descriptors(fd, baggage->descriptors.data() + at,
                            std::min(descriptors_at_once, baggage->descriptors.size() - at), until);
  char said = 0;
  sent = sent && send_bytes(fd, baggage->state.data(), baggage->state.size(), until) &&
         receive_bytes(fd, &said, 1, until) && said == 'r';
  // The one step from which on all is the other's. Not even this process could tell, where it fails, whether
  // the other still lives; so it goes on, and the other, that heard nothing, does not.
  said = 'g';
  if (!sent || ::send(fd, &said, 1, MSG_NOSIGNAL) != 1)
    return log_line("a successor came and did not take over");
  on_complete();
}

HandoverClient::~HandoverClient() { close(); }

void HandoverClient::close() {
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

std::optional<HandoverPayload> HandoverClient::request(const std::string& numbering) {
  close();
  Place place(folder_);
  fd_ = local_socket();
  if (fd_ < 0 || connect(fd_, place.address(), place.size()) != 0) return {};
  auto until = EventLoop::monotonic_time() + take_within;
  auto line = numbering + "\n";
  std::uint64_t sizes[2] = {0, 0};
  if (!send_bytes(fd_, line.data(), line.size(), until) ||
      !receive_bytes(fd_, reinterpret_cast<char*>(sizes), sizeof sizes, until) ||
      sizes[0] > descriptors_most || sizes[1] > text_most)
    return {};
  HandoverPayload baggage;
  bool whole = true;
  while (whole && baggage.descriptors.size() < sizes[0])
    whole = receive_descriptors(fd_, baggage.descriptors, until);
  baggage.state.resize(sizes[1]);
  whole = whole && receive_bytes(fd_, baggage.state.data(), baggage.state.size(), until);
  if (!whole) return baggage.close_unclaimed(), std::nullopt;
  return baggage;
}

bool HandoverClient::confirm() {
  char said = 'r';
  auto until = EventLoop::monotonic_time() + take_within;
  bool gone = send_bytes(fd_, &said, 1, until) && receive_bytes(fd_, &said, 1, until) && said == 'g';
  close();
  return gone;
}

}  // namespace rockcrank
