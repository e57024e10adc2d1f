// Streams on loopback: TCP_NODELAY is set on every connection, whether it was dialled, accepted or passed, so
// that Nagle's algorithm doesn't delay a small last write.
#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "relay/loop.h"

namespace rockcrank {
namespace {

bool has_no_delay(int fd) {
  int on = 0;
  socklen_t size = sizeof on;
  return getsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, &size) == 0 && on != 0;
}

struct ListeningSocket {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Address address{"127.0.0.1", 0};
  ListeningSocket() {
    sockaddr_in at{};
    at.sin_family = AF_INET, at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    EXPECT_EQ(listen(fd, 8), 0);
    EXPECT_EQ(getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size), 0);
    address.port = ntohs(at.sin_port);
  }
  ~ListeningSocket() { ::close(fd); }
};

TEST(Stream, SetsNoDelayOnDialledAcceptedAndPassedConnections) {
  EventLoop loop;
  ListeningSocket listening;
  Stream dialled(loop, listening.address);
  int accepted_fd = accept4(listening.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  ASSERT_GE(accepted_fd, 0);
  EXPECT_FALSE(has_no_delay(accepted_fd));  // the system's default; Stream sets it
  Stream accepted(loop, accepted_fd);
  EXPECT_TRUE(has_no_delay(dialled.snapshot().fd));
  EXPECT_TRUE(has_no_delay(accepted.snapshot().fd));
  // As when passed to another process: a second descriptor of the same connection.
  Stream::Snapshot kept = accepted.snapshot();
  kept.fd = fcntl(kept.fd, F_DUPFD_CLOEXEC, 3);
  ASSERT_GE(kept.fd, 0);
  accepted.close();
  Stream passed(loop, kept);
  EXPECT_TRUE(has_no_delay(passed.snapshot().fd));
}

}  // namespace
}  // namespace rockcrank
