// Streams set TCP_NODELAY on every connection, so that the last small write is not held back.
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

struct Listening {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Address address{"127.0.0.1", 0};
  Listening() {
    sockaddr_in at{};
    at.sin_family = AF_INET, at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    EXPECT_EQ(listen(fd, 8), 0);
    EXPECT_EQ(getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size), 0);
    address.port = ntohs(at.sin_port);
  }
  ~Listening() { ::close(fd); }
};

TEST(Stream, SetsNoDelayOnConnectedAcceptedAndInheritedStreams) {
  EventLoop loop;
  Listening listening;
  Stream connected(loop, listening.address);
  int accepted_fd = accept4(listening.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  ASSERT_GE(accepted_fd, 0);
  EXPECT_FALSE(has_no_delay(accepted_fd));  // the system default is off; Stream sets it
  Stream accepted(loop, accepted_fd);
  EXPECT_TRUE(has_no_delay(connected.snapshot().fd));
  EXPECT_TRUE(has_no_delay(accepted.snapshot().fd));
  // As handed over to another process: a duplicate descriptor of the same connection.
  Stream::Snapshot snapshot = accepted.snapshot();
  snapshot.fd = fcntl(snapshot.fd, F_DUPFD_CLOEXEC, 3);
  ASSERT_GE(snapshot.fd, 0);
  accepted.close();
  Stream inherited(loop, snapshot);
  EXPECT_TRUE(has_no_delay(inherited.snapshot().fd));
}

}  // namespace
}  // namespace rockcrank
