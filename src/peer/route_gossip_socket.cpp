// Sends and receives route gossip. Received datagrams are untrusted: they are validated, and their number per
// loop iteration is bounded.

#include "peer/route_gossip_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

#include "peer/codec.h"
#include "relay/log.h"

namespace rockcrank::peer {
namespace {

constexpr std::size_t max_datagram_bytes = 256;  // limit of the protocol
constexpr int max_datagrams_per_turn = 256;      // read in one loop iteration

sockaddr_in socket_address(const Address& configured) {
  sockaddr_in address{};
  address.sin_family = AF_INET, address.sin_port = htons(static_cast<std::uint16_t>(configured.port));
  if (inet_pton(AF_INET, configured.host.c_str(), &address.sin_addr) != 1)
    throw std::runtime_error("not an IPv4 address: " + configured.host);
  return address;
}

}  // namespace

RouteGossipSocket::RouteGossipSocket(EventLoop& loop, Decision& decision, const Config& config,
                                     std::function<void()> begin_turn)
    : loop_(loop),
      decision_(decision),
      begin_turn_(std::move(begin_turn)),
      gossip_(fleet::RouteGossip::make(config.seed)),
      send_timer_(loop, [this] { send_updates(); }),
      broadcast_address_(socket_address(config.peer_broadcast)) {
  auto address = socket_address(config.peer_listen);
  fd_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0 || ::bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    if (fd_ >= 0) ::close(fd_);
    throw std::runtime_error("cannot listen for route gossip at " + config.peer_listen.host);
  }
  loop_.add(fd_, POLLIN, this);
}

RouteGossipSocket::~RouteGossipSocket() {
  loop_.remove(fd_);
  ::close(fd_);
}

void RouteGossipSocket::ready(short) {
  gossip_->begin_turn(loop_.now());
  char bytes[max_datagram_bytes + 1];
  for (int i = 0; i < max_datagrams_per_turn; ++i) {
    auto count = ::recv(fd_, bytes, sizeof bytes, 0);
    if (count <= 0) break;
    try {
      gossip_->on_datagram(unpacked<fleet::RouteDatagram>({bytes, static_cast<std::size_t>(count)}));
    } catch (const fleet::FleetError& error) { log_line("route gossip: %s", error.what()); }
  }
  begin_turn_();
}

void RouteGossipSocket::send_updates() {
  gossip_->begin_turn(loop_.now());
  auto actions = gossip_->decide();
  for (const auto& datagram : actions.datagrams) {
    auto bytes = packed(datagram);
    if (bytes.size() <= max_datagram_bytes)
      ::sendto(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
               reinterpret_cast<const sockaddr*>(&broadcast_address_), sizeof broadcast_address_);
  }
  if (actions.wake_in >= 0) send_timer_.set(loop_.now() + actions.wake_in);
}

void RouteGossipSocket::before_turn() {
  for (const auto& status : gossip_->take_route_statuses()) decision_.apply_route_status(status);
}

void RouteGossipSocket::after_turn() {
  auto statuses = decision_.route_statuses(false);
  if (statuses.empty()) return;  // pending updates have their own timer
  gossip_->begin_turn(loop_.now());
  for (const auto& status : statuses) gossip_->publish(status);
  send_updates();
}

}  // namespace rockcrank::peer
