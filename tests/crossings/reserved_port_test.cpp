// ReservedPort: only a program that binds the port by number gets it.
#include "../reserved_port.h"

#include <gtest/gtest.h>

#include <cerrno>
#include <vector>

#include "relay/loop.h"

namespace {

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

TEST(ReservedPort, RefusesConnectionsBeforeAndAfterARelayListens) {
  rockcrank::EventLoop loop;
  ReservedPort reserved;
  auto can_connect = [&] {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto to = loopback(reserved.port());
    int result = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
    ::close(fd);
    return result == 0;
  };
  for (int round = 0; round < 3; ++round) {
    EXPECT_FALSE(can_connect());
    rockcrank::Listener listener(loop, rockcrank::Address{"127.0.0.1", reserved.port()}, [](int) {});
    EXPECT_TRUE(can_connect());
  }
}

TEST(ReservedPort, IsNotAssignedToOtherSockets) {
  ReservedPort reserved;
  int other_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto at = loopback(reserved.port());
  EXPECT_NE(bind(other_socket, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
  EXPECT_EQ(errno, EADDRINUSE);
  ::close(other_socket);

  // Reserves more ports than one test run uses; all must differ.
  std::vector<ReservedPort> others;
  for (int count = 0; count < 500; ++count) {
    others.emplace_back();
    ASSERT_NE(others.back().port(), reserved.port());
  }
}

}  // namespace
