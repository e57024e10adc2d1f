// A reserved port goes to the program that asks for it by number, and to nobody else.
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

TEST(ReservedPort, IsRefusedUntilTheRelayListensAndAgainAfterIt) {
  rockcrank::EventLoop loop;
  ReservedPort reserved;
  auto connects = [&] {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto to = loopback(reserved.port());
    int result = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
    ::close(fd);
    return result == 0;
  };
  for (int times = 0; times < 3; ++times) {
    EXPECT_FALSE(connects());
    rockcrank::Listener listener(loop, rockcrank::Address{"127.0.0.1", reserved.port()}, [](int) {});
    EXPECT_TRUE(connects());
  }
}

TEST(ReservedPort, NoConnectionAndNoListenerAtAnyPortGetsIt) {
  ReservedPort reserved;
  int stranger = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto at = loopback(reserved.port());
  EXPECT_NE(bind(stranger, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
  EXPECT_EQ(errno, EADDRINUSE);
  ::close(stranger);

  // Reserves more ports beside it than one test run has, all different.
  std::vector<ReservedPort> others;
  for (int count = 0; count < 500; ++count) {
    others.emplace_back();
    ASSERT_NE(others.back().port(), reserved.port());
  }
}

}  // namespace
