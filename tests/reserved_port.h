// Reserves a TCP port on loopback for one test.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <utility>

// Reserves a port for its lifetime with a socket that is bound but doesn't listen: connections are refused.
// The system assigns the port neither to an outgoing connection nor to a listener that asks for any port, but
// a program can bind it by number with SO_REUSEADDR, any number of times. Without this, a port found free and
// closed again could be taken by a concurrent test before the program under test listens there.
class ReservedPort {
 public:
  // Reserves the given port; 0: one that the system chooses.
  explicit ReservedPort(int port = 0) : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    int on = 1;
    setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(socket_, generic, size) != 0 || getsockname(socket_, generic, &size) != 0) {
      std::string reason = std::strerror(errno);
      ::close(socket_);
      throw std::runtime_error("cannot reserve port " + std::to_string(port) + ": " + reason);
    }
    port_ = ntohs(address.sin_port);
  }
  ReservedPort(ReservedPort&& other) noexcept
      : socket_(std::exchange(other.socket_, -1)), port_(std::exchange(other.port_, 0)) {}
  ReservedPort& operator=(ReservedPort&& other) noexcept {
    std::swap(socket_, other.socket_);
    std::swap(port_, other.port_);
    return *this;
  }
  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;
  ~ReservedPort() {
    if (socket_ >= 0) ::close(socket_);
  }

  int port() const { return port_; }

 private:
  int socket_ = -1;
  int port_ = 0;
};
